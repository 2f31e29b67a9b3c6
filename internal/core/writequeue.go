package core

// Writes that one request spends of the budget; those of a sweep's submission depend on
// its size.
const (
	submitWrites      = 1
	cancelWrites      = 2
	cancelSweepWrites = 1
)

// queueWrite queues the write of a submission or cancellation until the budget allows it.
func (h *requestHandler) queueWrite(r *request) {
	if len(h.queues.queuedWrites) >= maxQueuedRequests || h.health.unavailable() && r.tries == 0 {
		h.refuse(r)
		return
	}
	h.queues.queuedWrites = append(h.queues.queuedWrites, r)
	h.writeQueued()
}

// writeQueued begins the queued writes that the budget allows.
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

// beginWrite spends the budget for a request's write and begins it.
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

// retryWrite repeats a write that failed or whose outcome is unknown: its
// conditions make that safe.
func (h *requestHandler) retryWrite(r *request) {
	r.tries++
	if r.tries > maxWriteTries || h.now-r.receivedAt > maxWriteWait {
		h.refuse(r)
		return
	}
	if r.kind == requestCancel || r.kind == requestSweepCancel {
		h.waitForRead(r) // the job's revision may have changed
		return
	}
	h.queues.queuedWrites = append(h.queues.queuedWrites, r)
}

// writesLacking is how many changes requests wait for, with so many left.
func (q *requestQueues) writesLacking(left float64) int {
	if len(q.queuedWrites) == 0 || left >= 1 {
		return 0
	}
	n := 0
	for _, r := range q.queuedWrites {
		n += r.writeCost()
	}
	return n
}

// writeCost is how many changes a request takes; a sweep's are told from its size when
// it is written.
func (r *request) writeCost() int {
	if r.kind == requestCancel {
		return cancelWrites
	}
	return submitWrites
}
