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

// maxLookup is how many ends are asked about at once.
const maxLookup = 64

// maxWait is how long a request may be tried.
func (a *request) maxWait() int64 {
	if a.kind == requestStatus {
		return maxReadWait
	}
	return maxWriteWait
}

// lookUpEnd looks for the end of a job that is not unfinished: it was either
// finished earlier or never accepted.
func (c *Core) lookUpEnd(a *request) {
	if c.queues.endLookups.Waiting() >= maxQueuedRequests {
		c.refuse(a)
		return
	}
	c.queues.endLookups.Add(a.jobID, a)
	c.lookUpEnds()
}

// lookUpEnds asks about the ends that requests wait for, if nothing is under way.
func (c *Core) lookUpEnds() {
	l := &c.queues.endLookups
	if !l.Due(c.now, ratelimit.Interval(c.allowance.Views)) || c.leadership == nil && !c.readBudget.TryTake() {
		return
	}
	ids, byID := l.Begin(c.now, min(4*c.limits().TxnOps, maxLookup))
	if len(ids) == 1 {
		c.readEnd(byID[ids[0]], l.End)
		return
	}
	var when []Cond
	for _, id := range ids {
		when = append(when, kv.RevisionIs(endPrefix+id, 0))
	}
	c.commitTransaction(when, nil, func(m Committed) {
		l.End()
		for _, id := range ids {
			asks := byID[id]
			switch {
			case m.Status == 200:
				c.answerNoEnd(asks)
			case m.Status == 409 && slices.Contains(m.Failed, endPrefix+id):
				c.readEnd(asks, func() {})
			default:
				c.retryLookup(asks)
			}
		}
	})
}

// retryLookup has requests asked about once more, those that may still wait.
func (c *Core) retryLookup(asks []*request) {
	for _, a := range asks {
		if a.tries++; c.now-a.receivedAt > a.maxWait()*3/4 || c.stateUnavailable() || c.queues.endLookups.Waiting() >= maxQueuedRequests {
			c.refuse(a)
		} else {
			c.queues.endLookups.Add(a.jobID, a)
		}
	}
}

// answerNoEnd answers requests about a job that is neither unfinished nor over.
func (c *Core) answerNoEnd(asks []*request) {
	for _, a := range asks {
		r := a.refusal
		if r.Status == 0 {
			r = Reply{Status: 404, Error: "no such job"}
		}
		r.RequestID = a.id
		c.emit(r)
	}
}

// lookUpEnd reads an end for requests about one job.
func (c *Core) readEnd(asks []*request, done func()) {
	id := asks[0].jobID
	c.readKey(endPrefix+id, func(g KeyRead) {
		done()
		var e jobstate.End
		switch {
		case g.Err != nil:
			c.retryLookup(asks)
		case g.Revision == 0:
			c.answerNoEnd(asks)
		case json.Unmarshal(g.Value, &e) != nil:
			c.log.Error("stored end can't be read", "job", id)
			for _, a := range asks {
				c.refuse(a)
			}
		default:
			c.noteEnd(id, e, g.Revision)
			for _, a := range asks {
				c.answerEnd(a.id, id, e)
			}
		}
	})
}
