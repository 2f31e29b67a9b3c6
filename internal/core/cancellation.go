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
	job := h.cache.jobs[r.targetID]
	if job == nil || job.Outcome() != "" {
		h.waitForRead(r)
		return
	}
	end := h.newEnd(jobstate.Cancelled, job)
	revision := job.Revision
	h.queues.inFlight[r.targetID] = nil
	conditions := []Cond{
		kv.RevisionIs(jobPrefix+r.targetID, revision),
		kv.RevisionIs(endPrefix+r.targetID, 0),
	}
	writes := []Write{
		{Key: endPrefix + r.targetID, Value: encodeJSON(end)},
		{Key: jobPrefix + r.targetID, Value: h.endedRecord(job, jobstate.Cancelled)},
	}
	h.commitTransaction(conditions, writes, func(result TransactionResult) {
		defer h.resumeCoalesced(r.targetID)
		switch result.Outcome {
		case kv.Committed:
			if job.Revision == revision {
				job.Revision = result.Revision
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
	r.retries++
	if r.retries > maxWriteRetries {
		h.refuse(r)
		return
	}
	h.waitForRead(r)
}

// newEnd returns the end of a job as it is stored.
func (h *requestHandler) newEnd(outcome string, job *jobstate.Job) jobstate.End {
	end := jobstate.End{Outcome: outcome, Tasks: job.Tasks}
	if h.membership.logEnabled() {
		end.At = h.now + h.wallOffset
	}
	return end
}

// endedRecord encodes the job record that is stored from the job's end until its keys are
// removed.
func (h *requestHandler) endedRecord(job *jobstate.Job, outcome string) []byte {
	record := jobstate.Record{
		Spec:          job.Spec,
		Arrival:       job.Arrival,
		Outcome:       outcome,
		SubmittedWall: job.SubmittedWall,
		Truncated:     job.Truncated,
	}
	return record.Encode(h.membership.valueLimit())
}
