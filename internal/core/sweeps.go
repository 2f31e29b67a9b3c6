package core

import (
	"github.com/RoaringBitmap/roaring/v2"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// cancelledSweepPrefix marks the id of a sweep among the cancellations that controllers send
// to each other; job ids contain no slash.
const cancelledSweepPrefix = "sweep/"

// sweep is a controller's state of one sweep.
type sweep struct {
	id           string
	head         sweepHead
	headRevision uint64         // 0 until the head is known
	parts        map[int]string // parts of the description by number

	// next is the number of the first run that is not created, ended has the runs that
	// are counted as ended, and cancelled those of them that are not done. On the leader
	// these may be ahead of the position stored at positionRevision.
	next             int
	ended, cancelled *roaring.Bitmap
	cancelledStored  uint64 // number of cancelled runs that are stored as such
	positionRevision uint64
	// closed is set if all runs have ended and are counted, and that is stored.
	closed bool
	// countPendingSince is the time since which counted runs wait to be stored, 0 for none.
	countPendingSince int64

	outcome string
	// cancelConfirmed is set if the sweep is known to be cancelled but the cache may lack
	// changes that were stored before the cancellation. No task of it is started any more.
	cancelConfirmed bool

	plan         *SweepPlan
	expanding    bool
	planRequests []*request // requests that wait for the plan

	stoppedReason string // why no more runs are created
	writing       bool
	notBefore     int64 // time before which the sweep is not advanced and its plan not loaded
}

// sweepManager expands sweeps into jobs and tracks how these end.
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
	// lastPlanned is the id of the closed sweep whose plan was loaded last; the plans of
	// other closed sweeps are not kept.
	lastPlanned string
	// mayHaveOpenRuns is set if a cancelled sweep may have runs that have not ended in the
	// cache.
	mayHaveOpenRuns bool
}

func (m *sweepManager) enabled() bool { return m.membership.featureEnabled(upgrade.Sweeps) }

// getOrAddSweep returns a sweep, or adds an empty one that is filled from the keys as they are
// read.
func (m *sweepManager) getOrAddSweep(id string) *sweep {
	s := m.sweeps[id]
	if s == nil {
		s = &sweep{id: id, parts: map[int]string{}, ended: roaring.New(), cancelled: roaring.New()}
		m.sweeps[id] = s
	}
	return s
}

// knownSweep returns an accepted sweep, or nil.
func (m *sweepManager) knownSweep(id string) *sweep {
	if s := m.sweeps[id]; s != nil && s.headRevision != 0 {
		return s
	}
	return nil
}

// isCancelled reports whether a sweep is cancelled and the cache has everything that was
// stored before the cancellation.
func (m *sweepManager) isCancelled(id string) bool {
	s := m.sweeps[id]
	return s != nil && s.outcome == jobstate.Cancelled
}

// mayStart reports whether a job's sweep, if any, allows its tasks to start.
func (m *sweepManager) mayStart(job *jobstate.Job) bool {
	if job.Sweep == "" {
		return true
	}
	s := m.sweeps[job.Sweep]
	return s == nil || !s.cancelConfirmed
}

// state returns the state of a sweep as users see it.
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
		state.Cancelled = s.head.Runs - state.Done // the other runs will never be done
	case s.outcome == "" && s.next > 0:
		state.State = Running
	case s.outcome == "":
		state.State = Queued
	}
	return state
}

// openRuns returns the runs that are created and not counted as ended.
func (s *sweep) openRuns() *roaring.Bitmap {
	runs := roaring.New()
	runs.AddRange(0, uint64(s.next))
	runs.AndNot(s.ended)
	return runs
}

// close marks the sweep as closed and releases what only an unfinished sweep needs.
func (s *sweep) close() {
	s.closed = true
	s.forgetPlan()
}

// forgetPlan releases the plan and the description, which can be read again.
func (s *sweep) forgetPlan() {
	s.parts, s.plan = map[int]string{}, nil
}

// recordRun records that an unfinished job, which is new to this controller, may be a run of a
// cancelled sweep.
func (m *sweepManager) recordRun(job *jobstate.Job) {
	if job.Sweep != "" {
		m.mayHaveOpenRuns = true
	}
}

// sweepEnded records how a sweep has ended.
func (m *sweepManager) sweepEnded(id, outcome string, revision uint64) {
	s := m.getOrAddSweep(id)
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

// endCancelledRuns ends the unfinished runs of cancelled sweeps. Every controller derives
// these ends by itself, so users see them at once, and the leader stores the ends as its
// write budget allows.
//
// It may be called only when the cache has everything that was stored up to some revision.
// A run whose end was stored before its sweep was cancelled is done, and the cache could
// miss that after a list, the read of a single key or a message from another controller.
func (m *sweepManager) endCancelledRuns() {
	if !m.mayHaveOpenRuns {
		return
	}
	m.mayHaveOpenRuns = false
	sweepEnd := jobstate.EndStoredAt(jobstate.End{Outcome: jobstate.Cancelled}, m.cache.appliedRevision)
	for _, id := range sortedKeys(m.cache.jobs) {
		job := m.cache.jobs[id]
		if job.Sweep != "" && job.Outcome() == "" && m.isCancelled(job.Sweep) {
			m.dependencies.deriveEnd(job, job.Sweep, sweepEnd)
		}
	}
}

// recordCancelled records that a sweep is known to be cancelled although the cache may lag
// behind. The leader stops its tasks, and none is started any more.
func (m *sweepManager) recordCancelled(id string) {
	s := m.getOrAddSweep(id)
	if s.cancelConfirmed || s.outcome != "" {
		return
	}
	s.cancelConfirmed = true
	m.emit(ReadState{AfterRevision: m.cache.appliedRevision})
	if !m.elector.isLeader() {
		return
	}
	for _, job := range m.cache.jobs {
		if job.Sweep == id && job.Outcome() == "" {
			m.tasks.cancel(job, jobstate.StopSweep)
		}
	}
}

// reset drops all sweeps, before those of a new list are applied, and refuses the requests that
// wait for their plans.
func (m *sweepManager) reset() {
	for _, id := range sortedKeys(m.sweeps) {
		for _, r := range m.sweeps[id].planRequests {
			m.requests.refuse(r)
		}
	}
	m.sweeps = map[string]*sweep{}
}
