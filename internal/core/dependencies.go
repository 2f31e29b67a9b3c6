package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// knownEnd is the stored end of a job, as far as it is known here.
func (c *Core) knownEnd(id string) (jobstate.End, bool) {
	if e, ok := c.ends[id]; ok {
		return e, true
	}
	if j := c.jobs[id]; j != nil && j.Outcome != "" {
		return jobstate.End{Outcome: j.Outcome, Tasks: j.Tasks}, true
	}
	return jobstate.End{}, false
}

// addDependencies is called for each unfinished job that is new here.
func (c *Core) addDependencies(j *jobstate.Job) {
	if len(j.Dependencies) == 0 {
		return
	}
	last, cancelled := c.dependencyGraph.Add(j, c.knownEnd)
	switch {
	case cancelled:
		c.deriveEnd(j)
	case j.IsBlocked():
		j.DependenciesEndedWall = last
	default:
		c.startDependents(j, last)
	}
}

// startDependents lets a job's tasks start: its times count from the end of the last
// job that it needed, at a time of day; 0 where the first format has none.
func (c *Core) startDependents(j *jobstate.Job, last int64) {
	j.ReadyAt = max(j.SubmittedAt, c.steadyTime(last))
	if c.leadership != nil {
		c.leadership.planWanted = true
	}
}

// resolveDependents tells the jobs that wait for one that has ended. Each that is
// cancelled by it tells those behind it in turn.
func (c *Core) resolveDependents(id string, e jobstate.End) {
	released, cancelled := c.dependencyGraph.RecordEnd(id, e)
	for _, j := range released {
		c.startDependents(j, j.DependenciesEndedWall)
	}
	for _, j := range cancelled {
		c.deriveEnd(j)
	}
}

// deriveEnd ends a job because one that it needs is cancelled. Every controller
// does so for itself, from ends and needs that are stored and never change: so
// all users are told at once, however many jobs there are, and the leader
// stores the ends as its budget allows.
func (c *Core) deriveEnd(j *jobstate.Job) {
	if j.Outcome != "" {
		return
	}
	c.dependencyGraph.Remove(j)
	j.CancelledByDependency = true
	if _, ok := c.ends[j.ID]; ok {
		// Its end was known before the job.
		j.Outcome = jobstate.Cancelled
		c.jobEnded(j)
		return
	}
	c.noteEnd(j.ID, jobstate.End{Outcome: jobstate.Cancelled, Tasks: j.Tasks}, 0)
}

// endWasStored notes that a job's own end is in the state service.
func (c *Core) endWasStored(id string) {
	if j := c.jobs[id]; j != nil {
		j.CancelledByDependency = false
	}
}

// dependenciesKnown says whether a job is certainly not cancelled by an end that this
// controller has not read.
func (c *Core) dependenciesKnown(j *jobstate.Job) bool {
	return !j.IsBlocked() || c.dependencyGraph.IsResolved(j, func(id string) *jobstate.Job { return c.jobs[id] })
}

// maxEndReads is how many ends are read at once, endReadRetry how long after a
// failure one is read again.
const (
	maxEndReads  = 8
	endReadRetry = second
)

// dependencyTick reads the ends of awaited jobs that are not known here, as after a
// start, when only unfinished jobs are listed.
func (c *Core) dependencyTick() {
	if !c.synced || c.dependencyGraph.Empty() {
		return
	}
	reading := 0
	for id, until := range c.endReads {
		if until != 0 && until < c.now {
			delete(c.endReads, id)
		} else if until == 0 {
			reading++
		}
	}
	ids := c.dependencyGraph.Unresolved(func(id string) bool {
		j := c.jobs[id]
		_, asked := c.endReads[id]
		return j != nil && j.Outcome == "" || asked
	}, max(0, maxEndReads-reading))
	for _, id := range ids {
		if e, ok := c.knownEnd(id); ok {
			c.resolveDependents(id, e)
			continue
		}
		c.endReads[id] = 0
		c.readKey(endPrefix+id, func(g KeyRead) {
			var e jobstate.End
			c.endReads[id] = c.now + endReadRetry
			switch {
			case g.Err != nil || g.Revision == 0:
				// A job that another awaits was accepted before it, so its
				// end comes if the job itself is gone.
			case json.Unmarshal(g.Value, &e) != nil:
				c.log.Error("stored end can't be read", "job", id)
			default:
				delete(c.endReads, id)
				c.noteEnd(id, e, g.Revision)
				c.resolveDependents(id, e) // if the end was known, but not to the graph
			}
		})
	}
}

// checkDependencies goes on with a submission whose awaited jobs are all known to
// have been accepted. Those that are not known here are read, the job before
// its end, so that one which ends meanwhile is not missed.
func (c *Core) checkDependencies(a *request) {
	for ; a.dependenciesChecked < len(a.spec.Dependencies); a.dependenciesChecked++ {
		id := a.spec.Dependencies[a.dependenciesChecked]
		if j := c.jobs[id]; j != nil {
			if j.Kind == jobstate.Service {
				c.refuseDependency(a, id, "is a service, which is never done")
				return
			}
		} else if _, ok := c.ends[id]; !ok {
			c.readDependencyEnd(a, id)
			return
		}
	}
	c.queueWrite(a)
}

// refuseDependency refuses a submission for a job that it names, unless it is known
// itself.
func (c *Core) refuseDependency(a *request, id, why string) {
	a.refusal = Reply{Status: 422, Error: "awaits: " + id + " " + why}
	c.waitForRead(a)
}

func (c *Core) readDependencyEnd(a *request, id string) {
	known := func() {
		a.dependenciesChecked++
		c.checkDependencies(a)
	}
	c.readKey(jobPrefix+id, func(g KeyRead) {
		var r jobstate.Record
		switch {
		case g.Err != nil:
			c.refuse(a)
			return
		case g.Revision != 0 && json.Unmarshal(g.Value, &r) == nil && r.Spec != nil && r.Spec.Kind == jobstate.Service:
			c.refuseDependency(a, id, "is a service, which is never done")
			return
		case g.Revision != 0:
			known()
			return
		}
		c.readKey(endPrefix+id, func(g KeyRead) {
			switch {
			case g.Err != nil:
				c.refuse(a)
			case g.Revision == 0:
				c.refuseDependency(a, id, "was never accepted")
			default:
				known()
			}
		})
	})
}
