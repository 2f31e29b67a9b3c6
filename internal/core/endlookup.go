package core

import (
	"encoding/json"
	"slices"

	"github.com/zinclb/zinclb/internal/core/kv"

	"github.com/zinclb/zinclb/internal/core/jobstate"
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
func (rh *requestHandler) lookUpEnd(a *request) {
	if rh.queues.endLookups.Waiting() >= maxQueuedRequests {
		rh.refuse(a)
		return
	}
	rh.queues.endLookups.Add(a.jobID, a)
	rh.lookUpEnds()
}

// lookUpEnds asks about the ends that requests wait for, if nothing is under way.
func (rh *requestHandler) lookUpEnds() {
	l := &rh.queues.endLookups
	if !l.Due(rh.now, rh.health.viewInterval()) || !rh.elector.isLeader() && !rh.health.tryTakeRead() {
		return
	}
	ids, byID := l.Begin(rh.now, min(4*rh.membership.limits().TxnOps, maxLookup))
	if len(ids) == 1 {
		rh.readEnd(byID[ids[0]], l.End)
		return
	}
	var when []Cond
	for _, id := range ids {
		when = append(when, kv.RevisionIs(endPrefix+id, 0))
	}
	rh.commitTransaction(when, nil, func(m Committed) {
		l.End()
		for _, id := range ids {
			asks := byID[id]
			switch {
			case m.Status == 200:
				rh.answerNoEnd(asks)
			case m.Status == 409 && slices.Contains(m.Failed, endPrefix+id):
				rh.readEnd(asks, func() {})
			default:
				rh.retryLookup(asks)
			}
		}
	})
}

// retryLookup has requests asked about once more, those that may still wait.
func (rh *requestHandler) retryLookup(asks []*request) {
	for _, a := range asks {
		if a.tries++; rh.now-a.receivedAt > a.maxWait()*3/4 || rh.health.unavailable() || rh.queues.endLookups.Waiting() >= maxQueuedRequests {
			rh.refuse(a)
		} else {
			rh.queues.endLookups.Add(a.jobID, a)
		}
	}
}

// answerNoEnd answers requests about a job that is neither unfinished nor over.
func (rh *requestHandler) answerNoEnd(asks []*request) {
	for _, a := range asks {
		r := a.refusal
		if r.Status == 0 {
			r = Reply{Status: 404, Error: "no such job"}
		}
		r.RequestID = a.id
		rh.emit(r)
	}
}

// lookUpEnd reads an end for requests about one job.
func (rh *requestHandler) readEnd(asks []*request, done func()) {
	id := asks[0].jobID
	rh.readKey(endPrefix+id, func(g KeyRead) {
		done()
		var e jobstate.End
		switch {
		case g.Err != nil:
			rh.retryLookup(asks)
		case g.Revision == 0:
			rh.answerNoEnd(asks)
		case json.Unmarshal(g.Value, &e) != nil:
			rh.log.Error("stored end can't be read", "job", id)
			for _, a := range asks {
				rh.refuse(a)
			}
		default:
			rh.cache.noteEnd(id, e, g.Revision)
			for _, a := range asks {
				rh.answerEnd(a.id, id, e)
			}
		}
	})
}
