package core

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// Limits of the work on sweeps.
const (
	sweepInterval     = 200_000    // µs between two rounds
	sweepCountDelay   = 5 * second // after this time counted runs are stored even without other writes
	sweepRetry        = second     // delay before a sweep is advanced again after a failed read
	sweepWriteReserve = 0.4        // share of the leader's writes per second kept for other uses

	positionWrites   = 1   // writes of a step in addition to the runs that it creates
	runOverheadBytes = 200 // bytes of a run in a transaction in addition to its value
)

// tick advances the unfinished sweeps. It is called while this controller leads.
func (m *sweepManager) tick() {
	term := m.elector.leadership
	if !m.enabled() || len(m.sweeps) == 0 || m.now-term.sweepsAdvancedAt < sweepInterval || !m.elector.mayStartTasks() {
		return
	}
	term.sweepsAdvancedAt = m.now
	for _, s := range m.readySweeps() {
		if s.plan == nil {
			m.loadSweepPlan(s)
			continue
		}
		m.advanceSweep(s, m.countRuns(s))
	}
}

// readySweeps returns the sweeps that can be advanced now, in the order of their acceptance.
func (m *sweepManager) readySweeps() []*sweep {
	var ready []*sweep
	for _, s := range m.sweeps {
		if s.headRevision != 0 && !s.closed && !s.writing && s.stoppedReason == "" && m.now >= s.notBefore {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, func(a, b *sweep) int {
		return cmp.Or(cmp.Compare(a.headRevision, b.headRevision), cmp.Compare(a.id, b.id))
	})
	return ready
}

// countRuns counts the runs whose ends are stored, and returns the number of created runs that
// remain open. It reads ends of runs that are no longer in the cache.
func (m *sweepManager) countRuns(s *sweep) (open int) {
	reads := 0
	for it := s.openRuns().Iterator(); it.HasNext(); {
		i := int(it.Next())
		id := s.plan.Specs[i].ID
		job := m.cache.jobs[id]
		end, ended := m.cache.knownEnd(id)
		switch {
		case ended && end.IsStored():
			s.countRun(i, end.Outcome, m.now)
			continue
		case job == nil && reads < maxEndReads && m.dependencies.mayReadRunEnd(id):
			reads++
			m.dependencies.readRunEnd(id)
		}
		open++
	}
	return open
}

// countRun counts a run whose end is stored.
func (s *sweep) countRun(number int, outcome string, now int64) {
	s.ended.AddInt(number)
	if outcome != jobstate.Done {
		s.cancelled.AddInt(number)
	}
	if s.countPendingSince == 0 {
		s.countPendingSince = now
	}
}

// sweepStep is one transaction that advances a sweep.
type sweepStep struct {
	conditions []Cond
	writes     []Write
	// position is the progress that the step stores, cancelled the number of cancelled
	// runs that it stores, and countPendingSince the sweep's value when the step was made.
	position          sweepPosition
	cancelled         uint64
	countPendingSince int64
}

// advanceSweep commits the next transaction of a sweep, if there is something to store and
// the write budget allows it: users' requests and task starts have priority. open is the
// number of its unfinished runs.
func (m *sweepManager) advanceSweep(s *sweep, open int) {
	m.health.refillWrites()
	spare := int(m.health.writesLeft() - m.health.writeRate()*sweepWriteReserve)
	if m.requests.hasQueuedWrites() || spare < positionWrites+1 {
		return
	}
	step := m.nextStep(s, open, spare)
	countDue := s.countPendingSince != 0 && m.now-s.countPendingSince >= sweepCountDelay
	if len(step.writes) == 0 && !step.position.Closed && !countDue {
		return
	}
	s.addProgress(step)
	m.health.spendWrites(float64(len(step.writes)))
	m.commitStep(s, step)
}

// nextStep returns the next transaction of a sweep, which creates runs or ends the sweep.
// spare is the number of writes that it may use.
func (m *sweepManager) nextStep(s *sweep, open, spare int) *sweepStep {
	step := &sweepStep{
		conditions: []Cond{
			kv.RevisionIs(LeaderKey, m.elector.leadership.keyRevision),
			kv.RevisionIs(sweepPositionPrefix+s.id, s.positionRevision),
		},
		position: sweepPosition{Next: s.next},
	}
	endKey := sweepEndPrefix + s.id
	switch {
	case s.outcome != "":
		step.position.Closed = open == 0
	case s.cancelConfirmed:
		// No more runs are created.
	case s.next == len(s.plan.Specs) && open == 0:
		end := sweepEndRecord{Outcome: jobstate.Done, At: m.now + m.wallOffset}
		step.conditions = append(step.conditions, kv.RevisionIs(endKey, 0))
		step.writes = append(step.writes, Write{Key: endKey, Value: encodeJSON(end)})
		step.position.Closed = true
	default:
		step.conditions = append(step.conditions, kv.RevisionIs(endKey, 0))
		m.addRuns(s, step, min(s.head.MaxUnfinished-open, spare-positionWrites, m.membership.limits().TxnOps-2))
	}
	return step
}

// addRuns adds at most maxRuns runs to a step, as far as they fit into the transaction.
func (m *sweepManager) addRuns(s *sweep, step *sweepStep, maxRuns int) {
	size := 0
	position := &step.position
	for position.Next < len(s.plan.Specs) && position.Next-s.next < maxRuns {
		spec := s.plan.Specs[position.Next]
		value := jobstate.Record{Spec: spec, SubmittedWall: m.now + m.wallOffset}.Encode(0)
		size += len(value) + runOverheadBytes
		if size > maxTxnBytes {
			return
		}
		step.conditions = append(step.conditions, kv.RevisionIs(jobPrefix+spec.ID, 0), kv.RevisionIs(endPrefix+spec.ID, 0))
		step.writes = append(step.writes, Write{Key: jobPrefix + spec.ID, Value: value})
		position.Next++
	}
}

// addProgress adds the writes of the sweep's position and cancelled runs to a step.
func (s *sweep) addProgress(step *sweepStep) {
	key := sweepPositionPrefix + s.id
	open := roaring.New()
	open.AddRange(uint64(s.next), uint64(step.position.Next))
	open.Or(s.openRuns())
	step.position.Open = encodeRunSet(open)
	step.writes = append(step.writes, Write{Key: key, Value: encodeJSON(step.position)})

	step.countPendingSince = s.countPendingSince
	step.cancelled = s.cancelled.GetCardinality()
	if step.cancelled != s.cancelledStored {
		stored := cancelledRuns{Runs: encodeRunSet(s.cancelled)}
		step.writes = append(step.writes, Write{Key: key + cancelledRunsSuffix, Value: encodeJSON(stored)})
	}
}

func (m *sweepManager) commitStep(s *sweep, step *sweepStep) {
	term := m.elector.leadership
	s.writing = true
	m.commitTransaction(step.conditions, step.writes, func(result TransactionResult) {
		if m.sweeps[s.id] != s {
			return // the state was read again from the start in the meantime
		}
		switch result.Outcome {
		case kv.Committed:
			m.stepCommitted(s, step, result.Revision)
		case kv.Conflict:
			m.sweepConflict(term, s, result.Failed)
		default:
			m.rereadSweep(s)
		}
	})
}

func (m *sweepManager) stepCommitted(s *sweep, step *sweepStep, revision uint64) {
	s.writing = false
	s.next = step.position.Next
	s.positionRevision = max(s.positionRevision, revision)
	s.cancelledStored = step.cancelled
	if s.countPendingSince == step.countPendingSince {
		s.countPendingSince = 0
	}
	if step.position.Closed {
		m.sweepEnded(s.id, jobstate.Done, 0) // unless it was cancelled
		s.close()
	}
}

// sweepConflict handles a step whose conditions failed.
func (m *sweepManager) sweepConflict(term *leadership, s *sweep, failed []string) {
	for _, key := range failed {
		switch {
		case key == LeaderKey:
			if m.elector.leadership == term {
				m.committer.resolveConflict(term, key)
			}
		case strings.HasPrefix(key, jobPrefix), strings.HasPrefix(key, endPrefix):
			// This step may have been executed before without a response; then the
			// condition on the position failed too. If that condition holds, another
			// job has the id.
			if !slices.Contains(failed, sweepPositionPrefix+s.id) {
				s.stoppedReason = "a job has the id of a run: " + key
				m.log.Error("id of sweep run in use by another job", "sweep", s.id, "key", key)
			}
		}
	}
	m.rereadSweep(s)
}

// rereadSweep reads the stored position and end of a sweep after a write that failed or whose
// outcome is unknown. The service may still execute that write after the read. Then it executes
// either that write or the next step, not both, as both are conditional on the same position.
func (m *sweepManager) rereadSweep(s *sweep) {
	retryLater := func() {
		s.notBefore = m.now + sweepRetry
		s.writing = false
	}
	m.readKey(sweepPositionPrefix+s.id, func(read KeyRead) {
		if m.sweeps[s.id] != s {
			return
		}
		if read.Err != nil {
			retryLater()
			return
		}
		if read.Revision != 0 {
			m.cache.apply(Change{Key: sweepPositionPrefix + s.id, Value: read.Value, Revision: read.Revision})
		}
		m.readSweepEnd(s.id, retryLater, func() { s.writing = false })
	})
}

// readSweepEnd reads whether a sweep was cancelled, and calls done, or failed if the read
// failed.
func (m *sweepManager) readSweepEnd(id string, failed, done func()) {
	m.readKey(sweepEndPrefix+id, func(read KeyRead) {
		if read.Err != nil {
			failed()
			return
		}
		var end sweepEndRecord
		if read.Revision != 0 && json.Unmarshal(read.Value, &end) == nil && end.Outcome == jobstate.Cancelled {
			m.recordCancelled(id)
		}
		done()
	})
}
