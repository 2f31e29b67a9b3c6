package core

import (
	"encoding/json"
	"github.com/zinclb/zinclb/internal/core/kv"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
)

// Whoever asks about a job that is not unfinished costs a read of its end, and most
// such questions are about jobs that are over for long or were never accepted. So
// they are asked together: a transaction that only compares says in one request which
// of many ends are absent, and those that are not are read. What the state service
// refuses for its rate is asked again, within what users wait for.

// lookupMost is how many ends are asked about at once.
const lookupMost = 64

// patience is how long a request may be tried.
func (a *ask) patience() int64 {
	if a.kind == askStatus {
		return askPatience
	}
	return commitPatience
}

// readEnd looks for the end of a job that is not unfinished: it was either
// finished earlier or never accepted.
func (c *Core) readEnd(a *ask) {
	if c.requests.ends.Waiting() >= maxWaiting {
		c.refuse(a)
		return
	}
	c.requests.ends.Add(a.id, a)
	c.lookNow()
}

// lookNow asks about the ends that requests wait for, if nothing is under way.
func (c *Core) lookNow() {
	l := &c.requests.ends
	if !l.Due(c.now, ratelimit.Interval(c.allowance.Views)) || c.lead == nil && !c.reading.TryTake() {
		return
	}
	ids, byID := l.Begin(c.now, min(4*c.limits().TxnOps, lookupMost))
	if len(ids) == 1 {
		c.getEnd(byID[ids[0]], l.End)
		return
	}
	var when []Cond
	for _, id := range ids {
		when = append(when, kv.RevisionIs(endPrefix+id, 0))
	}
	c.multi(when, nil, func(m Committed) {
		l.End()
		for _, id := range ids {
			asks := byID[id]
			switch {
			case m.Status == 200:
				c.noEnd(asks)
			case m.Status == 409 && slices.Contains(m.Failed, endPrefix+id):
				c.getEnd(asks, func() {})
			default:
				c.lookAgain(asks)
			}
		}
	})
}

// lookAgain has requests asked about once more, those that may still wait.
func (c *Core) lookAgain(asks []*ask) {
	for _, a := range asks {
		if a.tries++; c.now-a.since > a.patience()*3/4 || c.stateLost() || c.requests.ends.Waiting() >= maxWaiting {
			c.refuse(a)
		} else {
			c.requests.ends.Add(a.id, a)
		}
	}
}

// noEnd answers requests about a job that is neither unfinished nor over.
func (c *Core) noEnd(asks []*ask) {
	for _, a := range asks {
		r := a.refusal
		if r.Status == 0 {
			r = Reply{Status: 404, Error: "no such job"}
		}
		r.Req = a.req
		c.emit(r)
	}
}

// getEnd reads an end for requests about one job.
func (c *Core) getEnd(asks []*ask, done func()) {
	id := asks[0].id
	c.get(endPrefix+id, func(g Got) {
		done()
		var e jobstate.End
		switch {
		case g.Err != nil:
			c.lookAgain(asks)
		case g.Stamp == 0:
			c.noEnd(asks)
		case json.Unmarshal(g.Value, &e) != nil:
			c.log.Error("stored end can't be read", "job", id)
			for _, a := range asks {
				c.refuse(a)
			}
		default:
			c.noteEnd(id, e, g.Stamp)
			for _, a := range asks {
				c.answerEnd(a.req, id, e)
			}
		}
	})
}
