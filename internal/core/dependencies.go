package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// dependencyResolver starts jobs when the jobs that they depend on are done, and ends those that depend on one that is not.
type dependencyResolver struct {
	*engine

	cache    *stateCache
	elector  *elector
	requests *requestHandler
	tasks    *taskManager

	dependencyGraph *jobstate.DependencyGraph
	endReads        map[string]int64
}

func newDependencyResolver(run *engine) *dependencyResolver {
	return &dependencyResolver{engine: run, dependencyGraph: jobstate.NewDependencyGraph(), endReads: map[string]int64{}}
}

// knownEnd is the stored end of a job, as far as it is known here.
func (d *dependencyResolver) knownEnd(id string) (jobstate.End, bool) {
	if e, ok := d.cache.ends[id]; ok {
		return e, true
	}
	if j := d.cache.jobs[id]; j != nil && j.Outcome != "" {
		return jobstate.End{Outcome: j.Outcome, Tasks: j.Tasks}, true
	}
	return jobstate.End{}, false
}

// addDependencies is called for each unfinished job that is new here.
func (d *dependencyResolver) addDependencies(j *jobstate.Job) {
	if len(j.Dependencies) == 0 {
		return
	}
	last, cancelled := d.dependencyGraph.Add(j, d.knownEnd)
	switch {
	case cancelled:
		d.deriveEnd(j)
	case j.IsBlocked():
		j.DependenciesEndedWall = last
	default:
		d.startDependents(j, last)
	}
}

// startDependents lets a job's tasks start: its times count from the end of the last
// job that it needed, at a time of day; 0 where the first format has none.
func (d *dependencyResolver) startDependents(j *jobstate.Job, last int64) {
	j.ReadyAt = max(j.SubmittedAt, d.steadyTime(last))
	if d.elector.isLeader() {
		d.elector.leadership.planning.requestRound()
	}
}

// resolveDependents tells the jobs that wait for one that has ended. Each that is
// cancelled by it tells those behind it in turn.
func (d *dependencyResolver) resolveDependents(id string, e jobstate.End) {
	released, cancelled := d.dependencyGraph.RecordEnd(id, e)
	for _, j := range released {
		d.startDependents(j, j.DependenciesEndedWall)
	}
	for _, j := range cancelled {
		d.deriveEnd(j)
	}
}

// deriveEnd ends a job because one that it needs is cancelled. Every controller
// does so for itself, from ends and needs that are stored and never change: so
// all users are told at once, however many jobs there are, and the leader
// stores the ends as its budget allows.
func (d *dependencyResolver) deriveEnd(j *jobstate.Job) {
	if j.Outcome != "" {
		return
	}
	d.dependencyGraph.Remove(j)
	j.CancelledByDependency = true
	if _, ok := d.cache.ends[j.ID]; ok {
		// Its end was known before the job.
		j.Outcome = jobstate.Cancelled
		d.tasks.jobEnded(j)
		return
	}
	d.cache.noteEnd(j.ID, jobstate.End{Outcome: jobstate.Cancelled, Tasks: j.Tasks}, 0)
}

// endWasStored notes that a job's own end is in the state service.
func (d *dependencyResolver) endWasStored(id string) {
	if j := d.cache.jobs[id]; j != nil {
		j.CancelledByDependency = false
	}
}

// dependenciesKnown says whether a job is certainly not cancelled by an end that this
// controller has not read.
func (d *dependencyResolver) dependenciesKnown(j *jobstate.Job) bool {
	return !j.IsBlocked() || d.dependencyGraph.IsResolved(j, func(id string) *jobstate.Job { return d.cache.jobs[id] })
}

// maxEndReads is how many ends are read at once, endReadRetry how long after a
// failure one is read again.
const (
	maxEndReads  = 8
	endReadRetry = second
)

// dependencyTick reads the ends of awaited jobs that are not known here, as after a
// start, when only unfinished jobs are listed.
func (d *dependencyResolver) dependencyTick() {
	if !d.cache.synced || d.dependencyGraph.Empty() {
		return
	}
	reading := 0
	for id, until := range d.endReads {
		if until != 0 && until < d.now {
			delete(d.endReads, id)
		} else if until == 0 {
			reading++
		}
	}
	ids := d.dependencyGraph.Unresolved(func(id string) bool {
		j := d.cache.jobs[id]
		_, asked := d.endReads[id]
		return j != nil && j.Outcome == "" || asked
	}, max(0, maxEndReads-reading))
	for _, id := range ids {
		if e, ok := d.knownEnd(id); ok {
			d.resolveDependents(id, e)
			continue
		}
		d.endReads[id] = 0
		d.readKey(endPrefix+id, func(g KeyRead) {
			var e jobstate.End
			d.endReads[id] = d.now + endReadRetry
			switch {
			case g.Err != nil || g.Revision == 0:
				// A job that another awaits was accepted before it, so its
				// end comes if the job itself is gone.
			case json.Unmarshal(g.Value, &e) != nil:
				d.log.Error("stored end can't be read", "job", id)
			default:
				delete(d.endReads, id)
				d.cache.noteEnd(id, e, g.Revision)
				d.resolveDependents(id, e) // if the end was known, but not to the graph
			}
		})
	}
}

// checkDependencies goes on with a submission whose awaited jobs are all known to
// have been accepted. Those that are not known here are read, the job before
// its end, so that one which ends meanwhile is not missed.
func (d *dependencyResolver) checkDependencies(a *request) {
	for ; a.dependenciesChecked < len(a.spec.Dependencies); a.dependenciesChecked++ {
		id := a.spec.Dependencies[a.dependenciesChecked]
		if j := d.cache.jobs[id]; j != nil {
			if j.Kind == jobstate.Service {
				d.refuseDependency(a, id, "is a service, which is never done")
				return
			}
		} else if _, ok := d.cache.ends[id]; !ok {
			d.readDependencyEnd(a, id)
			return
		}
	}
	d.requests.queueWrite(a)
}

// refuseDependency refuses a submission for a job that it names, unless it is known
// itself.
func (d *dependencyResolver) refuseDependency(a *request, id, why string) {
	a.refusal = Reply{Status: 422, Error: "awaits: " + id + " " + why}
	d.requests.waitForRead(a)
}

func (d *dependencyResolver) readDependencyEnd(a *request, id string) {
	known := func() {
		a.dependenciesChecked++
		d.checkDependencies(a)
	}
	d.readKey(jobPrefix+id, func(g KeyRead) {
		var r jobstate.Record
		switch {
		case g.Err != nil:
			d.requests.refuse(a)
			return
		case g.Revision != 0 && json.Unmarshal(g.Value, &r) == nil && r.Spec != nil && r.Spec.Kind == jobstate.Service:
			d.refuseDependency(a, id, "is a service, which is never done")
			return
		case g.Revision != 0:
			known()
			return
		}
		d.readKey(endPrefix+id, func(g KeyRead) {
			switch {
			case g.Err != nil:
				d.requests.refuse(a)
			case g.Revision == 0:
				d.refuseDependency(a, id, "was never accepted")
			default:
				known()
			}
		})
	})
}
