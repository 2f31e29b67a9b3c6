package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/ledger"
)

// outcome is the stored end of a job, as far as it is known here.
func (c *Core) outcome(id string) (ledger.End, bool) {
	if e, ok := c.ends[id]; ok {
		return e, true
	}
	if j := c.jobs[id]; j != nil && j.Over != "" {
		return ledger.End{Outcome: j.Over, Tasks: j.Tasks}, true
	}
	return ledger.End{}, false
}

// enterGraph is called for each unfinished job that is new here.
func (c *Core) enterGraph(j *ledger.Job) {
	if len(j.Awaits) == 0 {
		return
	}
	last, cancelled := c.graph.Add(j, c.outcome)
	switch {
	case cancelled:
		c.derive(j)
	case j.Waits():
		j.Released = last
	default:
		c.release(j, last)
	}
}

// release lets a job's tasks start: its times count from the end of the last
// job that it needed, at a time of day; 0 where the first format has none.
func (c *Core) release(j *ledger.Job, last int64) {
	j.Known = max(j.Born, c.steady(last))
	if c.lead != nil {
		c.lead.planWanted = true
	}
}

// endedFor tells the jobs that wait for one that has ended. Each that is
// cancelled by it tells those behind it in turn.
func (c *Core) endedFor(id string, e ledger.End) {
	released, cancelled := c.graph.Ended(id, e)
	for _, j := range released {
		c.release(j, j.Released)
	}
	for _, j := range cancelled {
		c.derive(j)
	}
}

// derive ends a job because one that it needs is cancelled. Every controller
// does so for itself, from ends and needs that are stored and never change: so
// all users are told at once, however many jobs there are, and the leader
// stores the ends as its budget allows.
func (c *Core) derive(j *ledger.Job) {
	if j.Over != "" {
		return
	}
	c.graph.Drop(j)
	j.Derived = true
	if _, ok := c.ends[j.ID]; ok {
		// Its end was known before the job.
		j.Over = ledger.Cancelled
		c.jobOver(j)
		return
	}
	c.noteEnd(j.ID, ledger.End{Outcome: ledger.Cancelled, Tasks: j.Tasks}, 0)
}

// endStored notes that a job's own end is in the state service.
func (c *Core) endStored(id string) {
	if j := c.jobs[id]; j != nil {
		j.Derived = false
	}
}

// settled says whether a job is certainly not cancelled by an end that this
// controller has not read.
func (c *Core) settled(j *ledger.Job) bool {
	return !j.Waits() || c.graph.Settled(j, func(id string) *ledger.Job { return c.jobs[id] })
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
	ids := c.graph.Unknown(func(id string) bool {
		j := c.jobs[id]
		_, asked := c.asking[id]
		return j != nil && j.Over == "" || asked
	}, max(0, asksAtOnce-reading))
	for _, id := range ids {
		if e, ok := c.outcome(id); ok {
			c.endedFor(id, e)
			continue
		}
		c.asking[id] = 0
		c.get(endPrefix+id, func(g Got) {
			var e ledger.End
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
	for ; a.checked < len(a.spec.Awaits); a.checked++ {
		id := a.spec.Awaits[a.checked]
		if j := c.jobs[id]; j != nil {
			if j.Kind == ledger.Service {
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
		var r ledger.Record
		switch {
		case g.Err != nil:
			c.refuse(a)
			return
		case g.Stamp != 0 && json.Unmarshal(g.Value, &r) == nil && r.Spec != nil && r.Spec.Kind == ledger.Service:
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
