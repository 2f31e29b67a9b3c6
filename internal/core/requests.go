package core

import (
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sharedread"
)

// Limits of users' requests. The deadlines are shorter than the time that users wait.
const (
	maxReadWait       = 1_500_000 // µs, of the 2 s that users wait for a query
	maxWriteWait      = 3_500_000 // µs, of the 5 s that users wait for a submission
	maxQueuedRequests = 2000

	// maxWriteRetries is the maximum number of retries of a request with a write. Retries of the
	// lookup of an end count as well.
	maxWriteRetries = 4
)

// request is an unfinished request of a user or a follower. It is received, waits for a
// read of the state that began after it arrived, may then queue a write, and ends with one
// Reply. After a failed write, or a write by another request about the same job, it waits
// for a read again.
type request struct {
	id   uint64
	kind requestKind
	// targetID is the id of the job or sweep that the request is about.
	targetID   string
	receivedAt int64
	// forwarded is set if a peer has forwarded the request; it is not forwarded again.
	forwarded bool
	// retries is the number of writes and lookups of this request that had to be repeated.
	retries int

	// spec is the submitted job. For a submitted sweep it has the sweep's id and the jobs
	// outside the sweep that its runs depend on.
	spec *jobstate.Spec
	// dependenciesChecked is the number of dependencies that are known to be accepted.
	dependenciesChecked int
	// refusal is the reply to an unacceptable submission if its id turns out to be new.
	// Only an id that is certainly new may be refused permanently.
	refusal Reply

	sweep        sweepRequest
	followerRead followerRead
}

// sweepRequest has the fields that only requests about sweeps use.
type sweepRequest struct {
	submission *SubmitSweep
	// after is the number of the first run to list, limit the maximum number of runs.
	after, limit int
}

// followerRead has the parameters of a follower's read of the state from its leader.
type followerRead struct {
	// revision is the revision up to which the follower has the state.
	revision uint64
	// writesNeeded is the number of writes that the follower's budget lacks.
	writesNeeded int
}

type requestKind uint8

const (
	requestStatus requestKind = iota
	requestSubmit
	requestCancel
	requestFollowerRead // another controller reads the state from this one
	// The kinds from here on are about sweeps.
	requestSweepSubmit
	requestSweepStatus
	requestSweepRuns
	requestSweepCancel
)

// isAboutSweep reports whether a request is about a sweep and not about a job.
func (k requestKind) isAboutSweep() bool { return k >= requestSweepSubmit }

// maxWait returns the maximum time that a request may wait for the lookup of a job's end.
func (r *request) maxWait() int64 {
	if r.kind == requestStatus {
		return maxReadWait
	}
	return maxWriteWait
}

// retryLaterReply asks a user to repeat the request after the given number of seconds.
func retryLaterReply(requestID uint64, seconds int, reason string) Reply {
	return Reply{RequestID: requestID, Status: ReplyUnavailable, RetryAfter: seconds, Error: reason}
}

// stateUnavailableReply is the reply while the state service does not respond.
func stateUnavailableReply(requestID uint64) Reply {
	return retryLaterReply(requestID, 1, "the state service does not answer")
}

// requestQueues has the unfinished requests. They share reads of the state, and their
// writes wait for the write budget.
type requestQueues struct {
	stateReads   sharedread.Batch[*request]
	queuedWrites []*request
	endLookups   sharedread.KeyBatch[*request] // by job id
	// inFlight has, for each job with a write in flight, the requests that wait for its
	// outcome, so that a user's repeated request costs no additional write.
	inFlight map[string][]*request
}

// coalesce reports whether a write about the same job is in flight. If so, the request
// waits for it and then continues from the stored state.
func (q *requestQueues) coalesce(r *request) bool {
	waiting, ok := q.inFlight[r.targetID]
	if ok {
		q.inFlight[r.targetID] = append(waiting, r)
	}
	return ok
}

// requestHandler serves users' requests about jobs. It answers each from a read of the
// state that began after the request arrived.
type requestHandler struct {
	*engine

	cache        *stateCache
	dependencies *dependencyResolver
	elector      *elector
	endMonitor   *endMonitor
	health       *stateHealth
	membership   *membership
	peers        *peerMonitor
	readLeases   *readLeaseManager
	reader       *stateReader
	sweepManager *sweepManager

	queues requestQueues
}

func newRequestHandler(shared *engine) *requestHandler {
	return &requestHandler{engine: shared, queues: requestQueues{inFlight: map[string][]*request{}}}
}

// hasQueuedWrites reports whether users' writes wait for the write budget.
func (h *requestHandler) hasQueuedWrites() bool { return len(h.queues.queuedWrites) > 0 }

// resumeCoalesced continues the requests that waited for a write about this job.
func (h *requestHandler) resumeCoalesced(id string) {
	waiting := h.queues.inFlight[id]
	delete(h.queues.inFlight, id)
	for _, r := range waiting {
		h.waitForRead(r)
	}
}

func (h *requestHandler) onReady(m CheckReady) {
	h.peers.connectivity.Users.RecordSuccess(h.now, h.now)
	reason := h.unreadyReason()
	if reason != "" {
		h.emit(Reply{RequestID: m.RequestID, Status: ReplyUnavailable, Error: reason})
		return
	}
	h.emit(Reply{RequestID: m.RequestID, Status: ReplyOK})
}

// unreadyReason returns why this controller can't serve requests, or "" if it can.
//
// A controller that has read the state once is ready even during an outage of the state
// service: requests then fail one by one, so that load balancers don't remove all
// controllers at once.
func (h *requestHandler) unreadyReason() string {
	switch {
	case h.membership.incompatible != "":
		return h.membership.incompatible
	case h.cache.appliedRevision == 0 && !h.cache.synced:
		return "starting"
	case h.settings.Ops.Reach && h.peers.connectivity.Isolated(h.now):
		return "neither the state service nor another controller answers"
	}
	return ""
}

func (h *requestHandler) onFollowerRead(m FollowerRead) {
	h.waitForRead(&request{
		id:           m.RequestID,
		kind:         requestFollowerRead,
		receivedAt:   h.now,
		forwarded:    true, // only this controller can answer it
		followerRead: followerRead{revision: m.AfterRevision, writesNeeded: m.WritesNeeded},
	})
}

// waitForRead queues a request for the next read of the state.
func (h *requestHandler) waitForRead(r *request) {
	if !h.cache.synced || h.health.unavailable() && r.retries == 0 || h.queues.stateReads.Waiting() >= maxQueuedRequests {
		h.refuse(r)
		return
	}
	h.queues.stateReads.Add(r)
	h.readForRequests()
}

// readForRequests reads the state for the waiting requests, from the leader if possible and
// otherwise from the state service, whose reads are rate limited. A read from the leader
// uses none of this controller's read budget, and the leader limits the rate of its own
// reads.
func (h *requestHandler) readForRequests() {
	reads := &h.queues.stateReads
	source := h.reader.readSource()
	interval := h.health.viewInterval()
	if source != "" {
		interval = leaderReadGap
	}
	if !h.cache.synced || !reads.Due(h.now, interval) || source == "" && !h.health.tryTakeRead() {
		return
	}
	h.beginRead(source)
}

// beginRead starts a read for all waiting requests, even if there are none.
func (h *requestHandler) beginRead(source string) {
	h.queues.stateReads.Begin(h.now)
	if source == "" {
		h.emit(ReadState{AfterRevision: h.cache.appliedRevision, ForRequests: true})
		return
	}
	h.emit(ReadFromLeader{
		To:            source,
		AfterRevision: h.cache.appliedRevision,
		Number:        h.reader.follower.BeginRequest(),
		WritesNeeded:  h.queues.writesNeeded(h.health.writesLeft()),
	})
}

func (h *requestHandler) onReadDone(ok bool) {
	reads := &h.queues.stateReads
	if !reads.InFlight() {
		return
	}
	for _, r := range reads.End() {
		switch {
		case ok:
			h.resumeRequest(r)
		case h.now-r.receivedAt < maxReadWait/2 && h.cache.synced:
			reads.Add(r)
		default:
			h.refuse(r)
		}
	}
	h.readForRequests()
}

// refuse forwards a request to a peer that can answer it, or replies that it can't be
// answered now.
func (h *requestHandler) refuse(r *request) {
	if h.health.unavailable() && h.peers.forwardToPeer(r) {
		return
	}
	h.emit(stateUnavailableReply(r.id))
}

// refuseUnlessKnown refuses a submission permanently, unless its id turns out to be known.
func (h *requestHandler) refuseUnlessKnown(r *request, status ReplyCode, reason string) {
	r.refusal = Reply{Status: status, Error: reason}
	h.waitForRead(r)
}

// resumeRequest continues a request after a read of the state that began after it arrived.
func (h *requestHandler) resumeRequest(r *request) {
	switch {
	case r.kind.isAboutSweep():
		h.sweepManager.resumeSweepRequest(r)
	case r.kind == requestFollowerRead:
		h.reader.answerFollower(r)
	default:
		h.resumeJobRequest(r)
	}
}

func (h *requestHandler) resumeJobRequest(r *request) {
	if end, ok := h.cache.ends.Get(r.targetID); ok {
		h.answerEnd(r.id, r.targetID, end.End)
		return
	}
	job := h.cache.jobs[r.targetID]
	switch {
	case job == nil && r.kind == requestSubmit && r.refusal.Status == 0:
		h.queueWrite(r)
	case job == nil:
		h.lookUpEnd(r)
	case job.Outcome() != "":
		h.answerEnd(r.id, r.targetID, job.End().End)
	case r.kind == requestCancel:
		h.queueWrite(r)
	case !h.dependencies.dependenciesKnown(job):
		h.emit(retryLaterReply(r.id, 1, "an end that the job's state depends on is being read"))
	default:
		h.emit(Reply{RequestID: r.id, Status: ReplyOK, Job: stateOf(job)})
	}
}

// tick continues the requests whose next read or write is now due and within budget.
func (h *requestHandler) tick() {
	reads := &h.queues.stateReads
	if !h.cache.synced {
		for _, r := range reads.DropWaiting() {
			h.refuse(r)
		}
	}
	h.writeQueued()
	h.readForRequests()
	h.lookUpEnds()
	if !h.cache.synced || reads.InFlight() {
		return
	}
	source, age := h.reader.readSource(), reads.Age(h.now)
	switch {
	case h.shouldProbeState(age):
		h.beginRead("")
	case source != "" && h.shouldRefresh(age):
		h.beginRead(source)
	}
}

// shouldProbeState reports whether to read from the state service although no request
// waits. While it does not respond, requests are refused or soon will be, so only such a
// read can find out when it responds again. age is the time since the last read began.
func (h *requestHandler) shouldProbeState(age int64) bool {
	if h.health.unavailable() {
		return age > second/2
	}
	return !h.elector.isLeader() && h.health.lastRequestFailed() && age > expectedChangeGap && h.health.tryTakeRead()
}

// shouldRefresh reports whether to read from the leader although no request waits: the
// cache may lack a change, or queued writes need budget from the leader.
func (h *requestHandler) shouldRefresh(age int64) bool {
	if h.reader.follower.RefreshDue(h.now, age) {
		return true
	}
	if age > expectedChangeGap && h.mayLackChanges() {
		return true
	}
	return h.queues.writesNeeded(h.health.writesLeft()) > 0
}

// mayLackChanges reports whether the cache is known to lag behind, or may lack the changes
// of a transaction whose response may be lost.
func (h *requestHandler) mayLackChanges() bool {
	return h.health.watchLags() || h.transactions.HasUnansweredWrite(h.now, expectedChangeGap)
}
