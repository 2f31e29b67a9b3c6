package core

import "github.com/zinclb/zinclb/internal/core/jobstate"

func (h *requestHandler) onStatus(m QueryJob) {
	h.requestJob(m.RequestID, m.ID, requestStatus, m.Forwarded)
}

// requestJob handles a query or a cancellation. An end never changes, so a request about a
// job whose end is known is answered without a read.
func (h *requestHandler) requestJob(requestID uint64, jobID string, kind requestKind, forwarded bool) {
	if end, ok := h.cache.ends.Get(jobID); ok {
		h.answerEnd(requestID, jobID, end.End)
		return
	}
	h.waitForRead(&request{id: requestID, kind: kind, targetID: jobID, receivedAt: h.now, forwarded: forwarded})
}

// answerEnd answers a request about a job that has ended.
func (h *requestHandler) answerEnd(requestID uint64, jobID string, end jobstate.End) {
	state := &JobState{ID: jobID, State: end.Outcome}
	if end.Outcome == jobstate.Done {
		state.Done = end.Tasks
	}
	reply := Reply{RequestID: requestID, Status: ReplyOK, Job: state}
	if end.Outcome == jobstate.Cancelled {
		h.readLeases.replyCancelled(reply, jobID)
		return
	}
	h.emit(reply)
}

// stateOf returns the state of an unfinished job as users see it.
func stateOf(job *jobstate.Job) *JobState {
	state := &JobState{ID: job.ID, State: Queued, Done: min(job.NumDone, job.Tasks), Running: job.NumRunning}
	if job.NumRunning == 0 && job.NumPlaced > 0 {
		state.Running = job.NumPlaced // only the leader knows which of these are running
	}
	if state.Running > 0 {
		state.State = Running
	}
	return state
}
