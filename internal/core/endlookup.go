package core

import (
	"encoding/json"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// A request about a job that is not among the unfinished ones costs a read of its end, and
// most such requests are about jobs that ended long ago or were never accepted. So ends are
// looked up in batches: one transaction without writes determines by its conditions which of
// many ends are absent, and the others are read. Lookups that fail, for example because of the
// state service's rate limit, are retried within the time that users wait.

// maxEndsPerLookup is the maximum number of ends that are looked up at once.
const maxEndsPerLookup = 64

// lookUpEnd looks up the end of the job that a request is about. The job is not among the
// unfinished ones, so it has either ended or was never accepted.
func (h *requestHandler) lookUpEnd(r *request) {
	if h.queues.endLookups.Waiting() >= maxQueuedRequests {
		h.refuse(r)
		return
	}
	h.queues.endLookups.Add(r.targetID, r)
	h.lookUpEnds()
}

// lookUpEnds looks up the ends that requests wait for, if no lookup is in flight and the
// read budget allows one.
func (h *requestHandler) lookUpEnds() {
	lookups := &h.queues.endLookups
	if !lookups.Due(h.now, h.health.viewInterval()) {
		return
	}
	if !h.elector.isLeader() && !h.health.tryTakeRead() {
		return
	}
	ids, byID := lookups.Begin(h.now, min(4*h.membership.limits().TxnOps, maxEndsPerLookup))
	if len(ids) == 1 {
		h.readEnd(byID[ids[0]], lookups.End)
		return
	}
	var conditions []Cond
	for _, id := range ids {
		conditions = append(conditions, kv.RevisionIs(endPrefix+id, 0))
	}
	h.commitTransaction(conditions, nil, func(result TransactionResult) {
		lookups.End()
		for _, id := range ids {
			h.onEndCompared(id, byID[id], result)
		}
	})
}

// onEndCompared continues the requests about a job after a transaction whose conditions
// were that the ends of this job and others are absent.
func (h *requestHandler) onEndCompared(id string, requests []*request, result TransactionResult) {
	switch {
	case result.Outcome == kv.Committed:
		h.answerNoEnd(requests, endLookup{compared: true, revision: result.Revision})
	case result.Outcome == kv.Conflict && slices.Contains(result.Failed, endPrefix+id):
		h.readEnd(requests, func() {})
	default:
		h.retryLookup(requests)
	}
}

// retryLookup repeats a failed lookup for the requests that have enough time left, and
// refuses the others.
func (h *requestHandler) retryLookup(requests []*request) {
	lookups := &h.queues.endLookups
	for _, r := range requests {
		r.retries++
		late := h.now-r.receivedAt > r.maxWait()*3/4
		if late || h.health.unavailable() || lookups.Waiting() >= maxQueuedRequests {
			h.refuse(r)
			continue
		}
		lookups.Add(r.targetID, r)
	}
}

// answerNoEnd answers requests about a job that is neither unfinished nor ended.
func (h *requestHandler) answerNoEnd(requests []*request, lookup endLookup) {
	for _, r := range requests {
		reply := r.refusal
		if reply.Status == 0 {
			reply = Reply{Status: ReplyNotFound, Error: "no such job"}
			h.endMonitor.recordNotFound(r.targetID, lookup)
		}
		reply.RequestID = r.id
		h.emit(reply)
	}
}

// readEnd reads an end for requests about one job and calls done when the read has ended.
func (h *requestHandler) readEnd(requests []*request, done func()) {
	id := requests[0].targetID
	h.readKey(endPrefix+id, func(read KeyRead) {
		done()
		var end jobstate.End
		switch {
		case read.Err != nil:
			h.retryLookup(requests)
		case read.Revision == 0:
			h.answerNoEnd(requests, endLookup{revision: read.AbsentAt})
		case json.Unmarshal(read.Value, &end) != nil:
			h.log.Error("cannot decode stored end", "job", id)
			for _, r := range requests {
				h.refuse(r)
			}
		default:
			h.cache.recordEnd(id, jobstate.EndStoredAt(end, read.Revision))
			for _, r := range requests {
				h.answerEnd(r.id, id, end)
			}
		}
	})
}
