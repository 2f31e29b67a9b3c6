package core

import (
	"encoding/json"
	"math"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Limits of the reads of dependencies' ends.
const (
	maxEndReads  = 8      // reads in flight
	endReadRetry = second // delay after a failed read before an end is read again
)

// endReadInFlight is the value in endReads for a read in flight.
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
	// endReads has, by job id, the time from which the job's end may be read again, or
	// endReadInFlight.
	endReads map[string]int64
}

func newDependencyResolver(shared *engine) *dependencyResolver {
	return &dependencyResolver{
		engine:   shared,
		graph:    jobstate.NewDependencyGraph(),
		endReads: map[string]int64{},
	}
}

// reset is called before the stored state is read again from the start.
func (d *dependencyResolver) reset() { d.graph = jobstate.NewDependencyGraph() }

// removeJob is called for each job that has ended or was removed.
func (d *dependencyResolver) removeJob(job *jobstate.Job) { d.graph.Remove(job) }

// isInPipeline reports whether a job depends on others, or others on it.
func (d *dependencyResolver) isInPipeline(job *jobstate.Job) bool {
	return len(job.Dependencies) > 0 || d.graph.HasDependents(job)
}

// addJob is called for each unfinished job that is new to this controller.
func (d *dependencyResolver) addJob(job *jobstate.Job) {
	if len(job.Dependencies) == 0 {
		return
	}
	lastEndWall, cancelled := d.graph.Add(job, d.cache.knownEnd)
	switch {
	case cancelled:
		d.deriveFromDependencies(job)
	case job.IsBlocked():
		job.DependenciesEndedWall = lastEndWall
	default:
		d.startDependent(job, lastEndWall)
	}
}

// startDependent makes a job ready to start. Its waiting time and start objective count from
// the end of its last dependency. lastEndWall is a time of day, or 0 if the end is stored in the
// first format, which has no time.
func (d *dependencyResolver) startDependent(job *jobstate.Job, lastEndWall int64) {
	job.ReadyAt = max(job.SubmittedAt, d.monotonicTime(lastEndWall))
	if d.elector.isLeader() {
		d.elector.leadership.planning.requestRound()
	}
}

// resolveDependents applies the end of a job to the jobs that depend on it. If one of them is
// cancelled as a result, its end is applied to its own dependents in the same way.
func (d *dependencyResolver) resolveDependents(id string, end jobstate.KnownEnd) {
	released, cancelled := d.graph.RecordEnd(id, end.End)
	for _, job := range released {
		d.startDependent(job, job.DependenciesEndedWall)
	}
	for _, job := range cancelled {
		d.deriveEnd(job, id, end)
	}
}

// deriveFromDependencies ends a job that has a dependency known to be cancelled.
func (d *dependencyResolver) deriveFromDependencies(job *jobstate.Job) {
	for _, id := range job.Dependencies {
		if end, ok := d.cache.knownEnd(id); ok && end.Outcome == jobstate.Cancelled {
			d.deriveEnd(job, id, end)
			return
		}
	}
}

// deriveEnd ends a job because a dependency or its sweep is cancelled; from is the id of
// that dependency or sweep. Every controller derives such ends by itself, from stored ends
// and dependencies that never change. So all users see the cancellation at once, however
// many jobs are affected, and the leader stores the ends as its write budget allows.
func (d *dependencyResolver) deriveEnd(job *jobstate.Job, from string, fromEnd jobstate.KnownEnd) {
	if job.Outcome() != "" {
		return
	}
	d.graph.Remove(job)
	d.endMonitor.recordDerived(job.ID, from, fromEnd)
	d.cache.recordEnd(job.ID, jobstate.DerivedEnd(jobstate.End{Outcome: jobstate.Cancelled, Tasks: job.Tasks}))
}

// dependenciesKnown reports whether all direct and indirect dependencies that a job waits for are
// known to be unfinished. Otherwise an end that this controller has not read yet may have
// cancelled the job.
func (d *dependencyResolver) dependenciesKnown(job *jobstate.Job) bool {
	if !job.IsBlocked() {
		return true
	}
	return d.graph.IsResolved(job, func(id string) *jobstate.Job { return d.cache.jobs[id] })
}

// tick reads the ends of dependencies that this controller does not know. This happens
// after a start, when only unfinished jobs are listed.
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
	job := d.cache.jobs[id]
	return job != nil && job.Outcome() == ""
}

// countUnknownEnds counts the dependencies of which this controller knows neither an unfinished
// job nor an end.
func (d *dependencyResolver) countUnknownEnds() int {
	return len(d.graph.Unresolved(d.isUnfinished, math.MaxInt))
}

// countEndReads counts the reads in flight and removes the entries of ends that may be read
// again.
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
			// A dependency was accepted before the job that depends on it. So if the
			// dependency itself no longer exists, its end is stored and a later read
			// finds it.
			d.endMonitor.recordFailedRead(id, read.Err)
		case json.Unmarshal(read.Value, &end) != nil:
			d.log.Error("cannot decode stored end", "job", id)
		default:
			delete(d.endReads, id)
			stored := jobstate.EndStoredAt(end, read.Revision)
			d.cache.recordEnd(id, stored)
			d.resolveDependents(id, stored) // in case the cache knew the end and the graph did not
		}
	})
}

// readRunEnd reads the end of a sweep's run whose job is not in the cache because it ended
// before this controller became leader. The end is only added to the cache, and the read is
// not counted as in flight.
func (d *dependencyResolver) readRunEnd(id string) {
	d.endReads[id] = d.now + endReadRetry
	d.readKey(endPrefix+id, func(read KeyRead) {
		var end jobstate.End
		if read.Err == nil && read.Revision != 0 && json.Unmarshal(read.Value, &end) == nil {
			delete(d.endReads, id)
			d.cache.recordEnd(id, jobstate.EndStoredAt(end, read.Revision))
		}
	})
}

// mayReadRunEnd reports whether the last read of a run's end, if any, is at least endReadRetry
// ago.
func (d *dependencyResolver) mayReadRunEnd(id string) bool { return d.endReads[id] <= d.now }

// checkDependencies queues the write of a submission once all its dependencies are known to
// have been accepted. Unknown dependencies are read, the job before its end, so that a job
// that ends between the two reads is not missed.
func (d *dependencyResolver) checkDependencies(r *request) {
	for ; r.dependenciesChecked < len(r.spec.Dependencies); r.dependenciesChecked++ {
		id := r.spec.Dependencies[r.dependenciesChecked]
		if job := d.cache.jobs[id]; job != nil {
			if job.Kind == jobstate.Service {
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

// refuseDependency refuses a submission because of a job that it depends on, unless the
// submitted job itself is already known.
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

// dependencyAccepted continues a submission after its next dependency was found to be
// accepted.
func (d *dependencyResolver) dependencyAccepted(r *request) {
	r.dependenciesChecked++
	d.checkDependencies(r)
}

// isStoredService reports whether a stored job is a service.
func isStoredService(value []byte) bool {
	var record jobstate.Record
	err := json.Unmarshal(value, &record)
	return err == nil && record.Spec != nil && record.Spec.Kind == jobstate.Service
}
