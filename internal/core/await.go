package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// outcome is the stored end of a job, as far as it is known here.
func (c *Core) outcome(id string) (jobstate.End, bool) {
	if e, ok := c.ends[id]; ok {
		return e, true
	}
	if j := c.jobs[id]; j != nil && j.Outcome != "" {
		return jobstate.End{Outcome: j.Outcome, Tasks: j.Tasks}, true
	}
	return jobstate.End{}, false
}

// enterGraph is called for each unfinished job that is new here.
func (c *Core) enterGraph(j *jobstate.Job) {
	if len(j.Dependencies) == 0 {
		return
	}
	last, cancelled := c.graph.Add(j, c.outcome)
	switch {
	case cancelled:
		c.derive(j)
	case j.IsBlocked():
		j.DependenciesEndedWall = last
	default:
		c.release(j, last)
	}
}

// release lets a job's tasks start: its times count from the end of the last
// job that it needed, at a time of day; 0 where the first format has none.
func (c *Core) release(j *jobstate.Job, last int64) {
	j.ReadyAt = max(j.SubmittedAt, c.steady(last))
	if c.lead != nil {
		c.lead.planWanted = true
	}
}

// endedFor tells the jobs that wait for one that has ended. Each that is
// cancelled by it tells those behind it in turn.
func (c *Core) endedFor(id string, e jobstate.End) {
	released, cancelled := c.graph.RecordEnd(id, e)
	for _, j := range released {
		c.release(j, j.DependenciesEndedWall)
	}
	for _, j := range cancelled {
		c.derive(j)
	}
}

// derive ends a job because one that it needs is cancelled. Every controller
// does so for itself, from ends and needs that are stored and never change: so
// all users are told at once, however many jobs there are, and the leader
// stores the ends as its budget allows.
func (c *Core) derive(j *jobstate.Job) {
	if j.Outcome != "" {
		return
	}
	c.graph.Remove(j)
	j.CancelledByDependency = true
	if _, ok := c.ends[j.ID]; ok {
		// Its end was known before the job.
		j.Outcome = jobstate.Cancelled
		c.jobOver(j)
		return
	}
	c.noteEnd(j.ID, jobstate.End{Outcome: jobstate.Cancelled, Tasks: j.Tasks}, 0)
}

// endStored notes that a job's own end is in the state service.
func (c *Core) endStored(id string) {
	if j := c.jobs[id]; j != nil {
		j.CancelledByDependency = false
	}
}

// settled says whether a job is certainly not cancelled by an end that this
// controller has not read.
func (c *Core) settled(j *jobstate.Job) bool {
	return !j.IsBlocked() || c.graph.IsResolved(j, func(id string) *jobstate.Job { return c.jobs[id] })
}

// asksAtOnce is how many ends are read at once, asksAgain how long after a
// failure one is read again.
const (
	asksAtOnce = 8
	asksAgain  = second
)

// awaitTick reads the ends of awaited jobs that are not known here, as after a
// start, when only unfinished jobs are listed.
func (c *Core) awaitTick() {
	if !c.synced || c.graph.Empty() {
		return
	}
	reading := 0
	for id, until := range c.asking {
		if until != 0 && until < c.now {
			delete(c.asking, id)
		} else if until == 0 {
			reading++
		}
	}
	ids := c.graph.Unresolved(func(id string) bool {
		j := c.jobs[id]
		_, asked := c.asking[id]
		return j != nil && j.Outcome == "" || asked
	}, max(0, asksAtOnce-reading))
	for _, id := range ids {
		if e, ok := c.outcome(id); ok {
			c.endedFor(id, e)
			continue
		}
		c.asking[id] = 0
		c.get(endPrefix+id, func(g Got) {
			var e jobstate.End
			c.asking[id] = c.now + asksAgain
			switch {
			case g.Err != nil || g.Stamp == 0:
				// A job that another awaits was accepted before it, so its
				// end comes if the job itself is gone.
			case json.Unmarshal(g.Value, &e) != nil:
				c.log.Error("stored end can't be read", "job", id)
			default:
				delete(c.asking, id)
				c.noteEnd(id, e, g.Stamp)
				c.endedFor(id, e) // if the end was known, but not to the graph
			}
		})
	}
}

// checkAwaits goes on with a submission whose awaited jobs are all known to
// have been accepted. Those that are not known here are read, the job before
// its end, so that one which ends meanwhile is not missed.
func (c *Core) checkAwaits(a *ask) {
	for ; a.checked < len(a.spec.Dependencies); a.checked++ {
		id := a.spec.Dependencies[a.checked]
		if j := c.jobs[id]; j != nil {
			if j.Kind == jobstate.Service {
				c.notAwaited(a, id, "is a service, which is never done")
				return
			}
		} else if _, ok := c.ends[id]; !ok {
			c.readAwaited(a, id)
			return
		}
	}
	c.write(a)
}

// notAwaited refuses a submission for a job that it names, unless it is known
// itself.
func (c *Core) notAwaited(a *ask, id, why string) {
	a.refusal = Reply{Status: 422, Error: "awaits: " + id + " " + why}
	c.wait(a)
}

func (c *Core) readAwaited(a *ask, id string) {
	known := func() {
		a.checked++
		c.checkAwaits(a)
	}
	c.get(jobPrefix+id, func(g Got) {
		var r jobstate.Record
		switch {
		case g.Err != nil:
			c.refuse(a)
			return
		case g.Stamp != 0 && json.Unmarshal(g.Value, &r) == nil && r.Spec != nil && r.Spec.Kind == jobstate.Service:
			c.notAwaited(a, id, "is a service, which is never done")
			return
		case g.Stamp != 0:
			known()
			return
		}
		c.get(endPrefix+id, func(g Got) {
			switch {
			case g.Err != nil:
				c.refuse(a)
			case g.Stamp == 0:
				c.notAwaited(a, id, "was never accepted")
			default:
				known()
			}
		})
	})
}
