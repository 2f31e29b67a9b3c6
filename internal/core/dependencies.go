package core

import (
	"encoding/json"
	"math"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Bounds of the reads of dependencies' ends: how many are under way at once, and how long
// after a failure one is read again.
const (
	maxEndReads  = 8
	endReadRetry = second
)

// endReadInFlight stands in endReads for a read that is under way.
const endReadInFlight = 0

// dependencyResolver starts jobs when the jobs that they depend on are done, and ends
// those that depend on one that is cancelled.
type dependencyResolver struct {
	*engine

	cache      *stateCache
	elector    *elector
	endMonitor *endMonitor
	requests   *requestHandler
	tasks      *taskManager

	graph *jobstate.DependencyGraph
	// endReads has when the end of a job may be read again, or endReadInFlight.
	endReads map[string]int64
}

func newDependencyResolver(run *engine) *dependencyResolver {
	return &dependencyResolver{
		engine:   run,
		graph:    jobstate.NewDependencyGraph(),
		endReads: map[string]int64{},
	}
}

// reset is called before the stored state is read anew.
func (d *dependencyResolver) reset() { d.graph = jobstate.NewDependencyGraph() }

// removeJob is called for each job that has ended or is gone.
func (d *dependencyResolver) removeJob(j *jobstate.Job) { d.graph.Remove(j) }

// isInPipeline says whether a job depends on others, or others on it.
func (d *dependencyResolver) isInPipeline(j *jobstate.Job) bool {
	return len(j.Dependencies) > 0 || d.graph.HasDependents(j)
}

// addJob is called for each unfinished job that is new here.
func (d *dependencyResolver) addJob(j *jobstate.Job) {
	if len(j.Dependencies) == 0 {
		return
	}
	lastEndWall, cancelled := d.graph.Add(j, d.cache.knownEnd)
	switch {
	case cancelled:
		d.deriveFromDependencies(j)
	case j.IsBlocked():
		j.DependenciesEndedWall = lastEndWall
	default:
		d.startDependent(j, lastEndWall)
	}
}

// startDependent lets a job's tasks start. Its times count from the end of the last of
// its dependencies, a time of day that is 0 where the first format has none.
func (d *dependencyResolver) startDependent(j *jobstate.Job, lastEndWall int64) {
	j.ReadyAt = max(j.SubmittedAt, d.steadyTime(lastEndWall))
	if d.elector.isLeader() {
		d.elector.leadership.planning.requestRound()
	}
}

// resolveDependents passes the end of a job on to the jobs that depend on it. Each that is
// cancelled by it passes that on in turn.
func (d *dependencyResolver) resolveDependents(id string, end jobstate.KnownEnd) {
	released, cancelled := d.graph.RecordEnd(id, end.End)
	for _, j := range released {
		d.startDependent(j, j.DependenciesEndedWall)
	}
	for _, j := range cancelled {
		d.deriveEnd(j, id, end)
	}
}

// deriveFromDependencies ends a job one of whose dependencies is known to be cancelled.
func (d *dependencyResolver) deriveFromDependencies(j *jobstate.Job) {
	for _, id := range j.Dependencies {
		if end, ok := d.cache.knownEnd(id); ok && end.Outcome == jobstate.Cancelled {
			d.deriveEnd(j, id, end)
			return
		}
	}
}

// deriveEnd ends a job because one that it depends on is cancelled. Every controller
// does so for itself, from ends and dependencies that are stored and never change: so
// all users see it at once, however many jobs there are, and the leader stores the ends
// as its budget allows. from is the dependency, or the sweep, that is cancelled.
func (d *dependencyResolver) deriveEnd(j *jobstate.Job, from string, fromEnd jobstate.KnownEnd) {
	if j.Outcome() != "" {
		return
	}
	d.graph.Remove(j)
	d.endMonitor.derived(j.ID, from, fromEnd)
	d.cache.noteEnd(j.ID, jobstate.DerivedEnd(jobstate.End{Outcome: jobstate.Cancelled, Tasks: j.Tasks}))
}

// dependenciesKnown says whether a job is certainly not cancelled by an end that this
// controller has not read.
func (d *dependencyResolver) dependenciesKnown(j *jobstate.Job) bool {
	if !j.IsBlocked() {
		return true
	}
	return d.graph.IsResolved(j, func(id string) *jobstate.Job { return d.cache.jobs[id] })
}

// tick reads the ends of dependencies that are not known here, as after a
// start, when only unfinished jobs are listed.
func (d *dependencyResolver) tick() {
	if !d.cache.synced || d.graph.Empty() {
		return
	}
	inFlight := d.countEndReads()
	ids := d.graph.Unresolved(func(id string) bool {
		_, read := d.endReads[id]
		return d.isUnfinished(id) || read
	}, max(0, maxEndReads-inFlight))
	for _, id := range ids {
		if end, ok := d.cache.knownEnd(id); ok {
			d.resolveDependents(id, end)
			continue
		}
		d.readDependencyEnd(id)
	}
}

func (d *dependencyResolver) isUnfinished(id string) bool {
	j := d.cache.jobs[id]
	return j != nil && j.Outcome() == ""
}

// countUnknownEnds counts the dependencies that have ended and of which no end is known here.
func (d *dependencyResolver) countUnknownEnds() int {
	return len(d.graph.Unresolved(d.isUnfinished, math.MaxInt))
}

// countEndReads counts the reads under way, and forgets those that may be repeated.
func (d *dependencyResolver) countEndReads() int {
	inFlight := 0
	for id, retryAt := range d.endReads {
		switch {
		case retryAt == endReadInFlight:
			inFlight++
		case retryAt < d.now:
			delete(d.endReads, id)
		}
	}
	return inFlight
}

// readDependencyEnd reads the end of a job that others depend on.
func (d *dependencyResolver) readDependencyEnd(id string) {
	d.endReads[id] = endReadInFlight
	d.readKey(endPrefix+id, func(read KeyRead) {
		var end jobstate.End
		d.endReads[id] = d.now + endReadRetry
		switch {
		case read.Err != nil || read.Revision == 0:
			// A job that another depends on was accepted before it, so its end comes if
			// the job itself is gone.
			d.endMonitor.readFailed(id, read.Err)
		case json.Unmarshal(read.Value, &end) != nil:
			d.log.Error("stored end can't be read", "job", id)
		default:
			delete(d.endReads, id)
			stored := jobstate.EndStoredAt(end, read.Revision)
			d.cache.noteEnd(id, stored)
			d.resolveDependents(id, stored) // if the end was known, but not to the graph
		}
	})
}

// readRunEnd reads the end of a run whose job is not here: it ended before this
// controller led. The result is only noted, and the read is not counted as under way.
func (d *dependencyResolver) readRunEnd(id string) {
	d.endReads[id] = d.now + endReadRetry
	d.readKey(endPrefix+id, func(read KeyRead) {
		var end jobstate.End
		if read.Err == nil && read.Revision != 0 && json.Unmarshal(read.Value, &end) == nil {
			delete(d.endReads, id)
			d.cache.noteEnd(id, jobstate.EndStoredAt(end, read.Revision))
		}
	})
}

// mayReadRunEnd says whether the end of a run was not read of late.
func (d *dependencyResolver) mayReadRunEnd(id string) bool { return d.endReads[id] <= d.now }

// checkDependencies goes on with a submission once all its dependencies are known to
// have been accepted. Those that are not known here are read, the job before its end, so
// that one which ends meanwhile is not missed.
func (d *dependencyResolver) checkDependencies(r *request) {
	for ; r.dependenciesChecked < len(r.spec.Dependencies); r.dependenciesChecked++ {
		id := r.spec.Dependencies[r.dependenciesChecked]
		if j := d.cache.jobs[id]; j != nil {
			if j.Kind == jobstate.Service {
				d.refuseService(r, id)
				return
			}
			continue
		}
		if _, ok := d.cache.ends.Get(id); !ok {
			d.checkDependencyJob(r, id)
			return
		}
	}
	d.requests.queueWrite(r)
}

// refuseDependency refuses a submission for a job that it depends on, unless it is known
// itself.
func (d *dependencyResolver) refuseDependency(r *request, id, reason string) {
	d.requests.refuseUnlessKnown(r, ReplyUnacceptable, "awaits: "+id+" "+reason)
}

func (d *dependencyResolver) refuseService(r *request, id string) {
	d.refuseDependency(r, id, "is a service, which is never done")
}

// checkDependencyJob reads the job that a submission depends on, or else its end.
func (d *dependencyResolver) checkDependencyJob(r *request, id string) {
	d.readKey(jobPrefix+id, func(read KeyRead) {
		switch {
		case read.Err != nil:
			d.requests.refuse(r)
		case read.Revision == 0:
			d.checkDependencyEnd(r, id)
		case isStoredService(read.Value):
			d.refuseService(r, id)
		default:
			d.dependencyAccepted(r)
		}
	})
}

func (d *dependencyResolver) checkDependencyEnd(r *request, id string) {
	d.readKey(endPrefix+id, func(read KeyRead) {
		switch {
		case read.Err != nil:
			d.requests.refuse(r)
		case read.Revision == 0:
			d.refuseDependency(r, id, "was never accepted")
		default:
			d.dependencyAccepted(r)
		}
	})
}

// dependencyAccepted goes on with a submission whose next dependency was accepted.
func (d *dependencyResolver) dependencyAccepted(r *request) {
	r.dependenciesChecked++
	d.checkDependencies(r)
}

// isStoredService says whether a stored job is a service.
func isStoredService(value []byte) bool {
	var record jobstate.Record
	err := json.Unmarshal(value, &record)
	return err == nil && record.Spec != nil && record.Spec.Kind == jobstate.Service
}
