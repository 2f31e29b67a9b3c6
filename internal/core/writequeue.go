package core

// Number of writes that a request takes from the budget. For the submission of a sweep it
// depends on the sweep's size.
const (
	submitWrites      = 1
	cancelWrites      = 2
	cancelSweepWrites = 1
)

// queueWrite queues the write of a submission or cancellation until the write budget
// allows it.
func (h *requestHandler) queueWrite(r *request) {
	if len(h.queues.queuedWrites) >= maxQueuedRequests || h.health.unavailable() && r.retries == 0 {
		h.refuse(r)
		return
	}
	h.queues.queuedWrites = append(h.queues.queuedWrites, r)
	h.writeQueued()
}

// writeQueued starts the queued writes that the write budget allows.
func (h *requestHandler) writeQueued() {
	q := &h.queues
	h.health.refillWrites()
	for len(q.queuedWrites) > 0 {
		r := q.queuedWrites[0]
		switch {
		case h.now-r.receivedAt > maxWriteWait:
			q.queuedWrites = q.queuedWrites[1:]
			h.refuse(r)
		case q.coalesce(r):
			q.queuedWrites = q.queuedWrites[1:]
		case h.health.writesLeft() < h.health.minUserBudget():
			return
		default:
			q.queuedWrites = q.queuedWrites[1:]
			h.beginWrite(r)
		}
	}
}

// beginWrite takes the cost of a request's write from the budget and starts the write.
func (h *requestHandler) beginWrite(r *request) {
	switch r.kind {
	case requestSubmit:
		h.health.spendWrites(submitWrites)
		h.writeJob(r)
	case requestSweepSubmit:
		h.sweepManager.createSweep(r)
	case requestSweepCancel:
		h.sweepManager.cancelSweep(r)
	default:
		h.health.spendWrites(cancelWrites)
		h.writeCancellation(r)
	}
}

// retryWrite repeats a write that failed or whose outcome is unknown. This is safe because
// the write's conditions hold only if it was not executed before.
func (h *requestHandler) retryWrite(r *request) {
	r.retries++
	if r.retries > maxWriteRetries || h.now-r.receivedAt > maxWriteWait {
		h.refuse(r)
		return
	}
	if r.kind == requestCancel || r.kind == requestSweepCancel {
		h.waitForRead(r) // the job's revision may have changed
		return
	}
	h.queues.queuedWrites = append(h.queues.queuedWrites, r)
}

// writesNeeded returns the number of writes that queued requests need, or 0 if the budget
// has at least one write left.
func (q *requestQueues) writesNeeded(left float64) int {
	if len(q.queuedWrites) == 0 || left >= 1 {
		return 0
	}
	n := 0
	for _, r := range q.queuedWrites {
		n += r.writeCost()
	}
	return n
}

// writeCost returns the number of writes that a request needs. For the submission of a
// sweep this is a minimum: the number depends on its size, which is known when it is
// written.
func (r *request) writeCost() int {
	if r.kind == requestCancel {
		return cancelWrites
	}
	return submitWrites
}
