package core

import (
	"github.com/RoaringBitmap/roaring/v2"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// cancelledSweepPrefix marks a sweep among the cancellations that controllers pass on to
// each other; no job's id has a slash.
const cancelledSweepPrefix = "sweep/"

// sweep is what a controller knows of one.
type sweep struct {
	id           string
	head         sweepHead
	headRevision uint64         // 0 until the head is known
	parts        map[int]string // of the description

	// next is the first run that is not created, ended the runs that are counted, and
	// cancelled those of them that are not done. The leader's may be ahead of what is
	// stored at positionRevision.
	next             int
	ended, cancelled *roaring.Bitmap
	cancelledStored  uint64 // how many of the cancelled runs are stored
	positionRevision uint64
	// closed: all runs have ended and are counted, and that is stored.
	closed bool
	// countPendingSince is since when a count waits to be stored, 0 for none.
	countPendingSince int64

	outcome string
	// cancelConfirmed: it is known to be cancelled, but perhaps not yet what was stored
	// before; nothing of it is started any more.
	cancelConfirmed bool

	plan         *SweepPlan
	expanding    bool
	planRequests []*request // that wait for the plan

	stoppedReason string // why nothing more is created
	writing       bool
	notBefore     int64
}

// sweepManager expands sweeps into jobs and follows how these end.
type sweepManager struct {
	*engine

	cache        *stateCache
	committer    *committer
	dependencies *dependencyResolver
	elector      *elector
	health       *stateHealth
	membership   *membership
	readLeases   *readLeaseManager
	requests     *requestHandler
	tasks        *taskManager

	sweeps map[string]*sweep
	// lastPlanned is the closed sweep whose plan was last loaded: only that is kept.
	lastPlanned string
	// mayHaveOpenRuns: a cancelled sweep may have runs that are not ended here.
	mayHaveOpenRuns bool
}

func (m *sweepManager) enabled() bool { return m.membership.featureEnabled(upgrade.Sweeps) }

// sweep finds a sweep, or makes what is to be filled by the keys that are read.
func (m *sweepManager) sweep(id string) *sweep {
	s := m.sweeps[id]
	if s == nil {
		s = &sweep{id: id, parts: map[int]string{}, ended: roaring.New(), cancelled: roaring.New()}
		m.sweeps[id] = s
	}
	return s
}

// knownSweep finds an accepted sweep, or nil.
func (m *sweepManager) knownSweep(id string) *sweep {
	if s := m.sweeps[id]; s != nil && s.headRevision != 0 {
		return s
	}
	return nil
}

// isCancelled says whether a sweep is cancelled, as far as it is known here with all
// that was stored before.
func (m *sweepManager) isCancelled(id string) bool {
	s := m.sweeps[id]
	return s != nil && s.outcome == jobstate.Cancelled
}

// mayStart says whether a job's tasks may be started, as far as its sweep goes.
func (m *sweepManager) mayStart(j *jobstate.Job) bool {
	if j.Sweep == "" {
		return true
	}
	s := m.sweeps[j.Sweep]
	return s == nil || !s.cancelConfirmed
}

// state is the state of a sweep as users see it.
func (s *sweep) state() *SweepState {
	cancelled := int(s.cancelled.GetCardinality())
	state := &SweepState{
		ID:        s.id,
		State:     s.outcome,
		Runs:      s.head.Runs,
		Created:   s.next,
		Done:      int(s.ended.GetCardinality()) - cancelled,
		Cancelled: cancelled,
	}
	switch {
	case s.outcome == jobstate.Cancelled:
		state.Cancelled = s.head.Runs - state.Done // what is not done never will be
	case s.outcome == "" && s.next > 0:
		state.State = Running
	case s.outcome == "":
		state.State = Queued
	}
	return state
}

// open are the runs that are created and not counted.
func (s *sweep) open() *roaring.Bitmap {
	runs := roaring.New()
	runs.AddRange(0, uint64(s.next))
	runs.AndNot(s.ended)
	return runs
}

// close forgets what only a sweep under way needs.
func (s *sweep) close() {
	s.closed = true
	s.forgetPlan()
}

// forgetPlan frees the plan and the description, which can be read again.
func (s *sweep) forgetPlan() {
	s.parts, s.plan = map[int]string{}, nil
}

// noteRun is called for each unfinished job that is new here.
func (m *sweepManager) noteRun(j *jobstate.Job) {
	if j.Sweep != "" {
		m.mayHaveOpenRuns = true
	}
}

// sweepEnded notes how a sweep has ended.
func (m *sweepManager) sweepEnded(id, outcome string, revision uint64) {
	s := m.sweep(id)
	if outcome == jobstate.Cancelled {
		m.readLeases.recordCancellation(cancelledSweepPrefix+id, revision)
	}
	if s.outcome != "" {
		return
	}
	s.outcome = outcome
	if outcome == jobstate.Cancelled {
		m.mayHaveOpenRuns = true
	}
}

// endCancelledRuns ends the unfinished runs of cancelled sweeps, as every controller
// derives for itself: users see it at once, and the leader stores the ends as its budget
// allows.
//
// It is called only when the cache has all that was stored before some moment: a run
// whose end was stored before its sweep was cancelled is done, and a list, a key that was
// read or another controller's message would miss that.
func (m *sweepManager) endCancelledRuns() {
	if !m.mayHaveOpenRuns {
		return
	}
	m.mayHaveOpenRuns = false
	sweepEnd := jobstate.EndStoredAt(jobstate.End{Outcome: jobstate.Cancelled}, m.cache.appliedRevision)
	for _, id := range sortedKeys(m.cache.jobs) {
		j := m.cache.jobs[id]
		if j.Sweep != "" && j.Outcome() == "" && m.isCancelled(j.Sweep) {
			m.dependencies.deriveEnd(j, j.Sweep, sweepEnd)
		}
	}
}

// noteCancelled is called when a sweep is known to be cancelled but the cache may
// lag: its tasks are stopped, and none is started.
func (m *sweepManager) noteCancelled(id string) {
	s := m.sweep(id)
	if s.cancelConfirmed || s.outcome != "" {
		return
	}
	s.cancelConfirmed = true
	m.emit(ReadState{AfterRevision: m.cache.appliedRevision})
	if !m.elector.isLeader() {
		return
	}
	for _, j := range m.cache.jobs {
		if j.Sweep == id && j.Outcome() == "" {
			m.tasks.cancel(j, jobstate.StopSweep)
		}
	}
}

// reset is called before the stored state is read anew.
func (m *sweepManager) reset() {
	for _, id := range sortedKeys(m.sweeps) {
		for _, r := range m.sweeps[id].planRequests {
			m.requests.refuse(r)
		}
	}
	m.sweeps = map[string]*sweep{}
}
