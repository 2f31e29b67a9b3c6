package core

import (
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

func (h *requestHandler) onCancel(m CancelJob) {
	h.requestJob(m.RequestID, m.ID, requestCancel, m.Forwarded)
}

// writeCancellation stores that a job is cancelled.
func (h *requestHandler) writeCancellation(r *request) {
	j := h.cache.jobs[r.targetID]
	if j == nil || j.Outcome() != "" {
		h.waitForRead(r)
		return
	}
	end := h.newEnd(jobstate.Cancelled, j)
	revision := j.Revision
	h.queues.inFlight[r.targetID] = nil
	conditions := []Cond{
		kv.RevisionIs(jobPrefix+r.targetID, revision),
		kv.RevisionIs(endPrefix+r.targetID, 0),
	}
	writes := []Write{
		{Key: endPrefix + r.targetID, Value: encodeJSON(end)},
		{Key: jobPrefix + r.targetID, Value: h.endedRecord(j, jobstate.Cancelled)},
	}
	h.commitTransaction(conditions, writes, func(result TransactionResult) {
		defer h.resumeCoalesced(r.targetID)
		switch result.Outcome {
		case kv.Committed:
			if j.Revision == revision {
				j.Revision = result.Revision
			}
			h.cache.recordEnd(r.targetID, jobstate.EndStoredAt(end, result.Revision))
			h.answerEnd(r.id, r.targetID, end)
		case kv.Conflict:
			h.retryCancellation(r)
		default:
			h.retryWrite(r)
		}
	})
}

// retryCancellation continues a cancellation whose transaction conditions failed, after a
// new read of the state.
func (h *requestHandler) retryCancellation(r *request) {
	r.tries++
	if r.tries > maxWriteTries {
		h.refuse(r)
		return
	}
	h.waitForRead(r)
}

// newEnd returns the end of a job as it is stored.
func (h *requestHandler) newEnd(outcome string, j *jobstate.Job) jobstate.End {
	end := jobstate.End{Outcome: outcome, Tasks: j.Tasks}
	if h.membership.logEnabled() {
		end.At = h.now + h.wallOffset
	}
	return end
}

// endedRecord encodes the job record that is stored from the job's end until its keys are
// removed.
func (h *requestHandler) endedRecord(j *jobstate.Job, outcome string) []byte {
	record := jobstate.Record{
		Spec:          j.Spec,
		Arrival:       j.Arrival,
		Outcome:       outcome,
		SubmittedWall: j.SubmittedWall,
		Truncated:     j.Truncated,
	}
	return record.Encode(h.membership.valueLimit())
}
