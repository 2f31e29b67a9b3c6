package core

import (
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sharedread"
)

// Deadlines of users' requests, below what users wait for an answer.
const (
	maxReadWait       = 1_500_000 // of the 2 s for a poll
	maxWriteWait      = 3_500_000 // of the 5 s for a submission
	maxQueuedRequests = 2000

	// maxWriteTries bounds how often a failed write is repeated.
	maxWriteTries = 4
)

// request is a request of a user, or of a follower, under way. It is received, waits
// for a read of the state that began after it came, may then queue a write, and ends
// with one Reply. A write that fails, or that another request makes for it, sends it
// back to wait for a read.
type request struct {
	id   uint64
	kind requestKind
	// targetID is the id of the job or sweep that the request is about.
	targetID   string
	receivedAt int64
	// forwarded: a peer has forwarded the request, so it is not forwarded again.
	forwarded bool
	tries     int

	// spec is a submitted job. A submitted sweep has one too, with the dependencies of
	// all its runs.
	spec *jobstate.Spec
	// dependenciesChecked is how many of the dependencies are known to be accepted.
	dependenciesChecked int
	// refusal is the reply to a submission whose id is not known already: only an id
	// that is surely new may be refused for good.
	refusal Reply

	sweep        sweepRequest
	followerRead followerRead
}

// sweepRequest is what only requests about sweeps carry.
type sweepRequest struct {
	submission *SubmitSweep
	// after and limit say which runs are listed.
	after, limit int
}

// followerRead is what a follower says that reads the state from its leader.
type followerRead struct {
	// revision is the one up to which the follower has the state.
	revision uint64
	// writesNeeded is how many writes its budget lacks.
	writesNeeded int
}

type requestKind uint8

const (
	requestStatus requestKind = iota
	requestSubmit
	requestCancel
	requestFollowerRead // another controller reads the state from this one
	// All from here on are about sweeps.
	requestSweepSubmit
	requestSweepStatus
	requestSweepRuns
	requestSweepCancel
)

// isAboutSweep says whether a request is about a sweep and not about a job.
func (k requestKind) isAboutSweep() bool { return k >= requestSweepSubmit }

// maxWait is how long the end of a job may be looked up for a request.
func (r *request) maxWait() int64 {
	if r.kind == requestStatus {
		return maxReadWait
	}
	return maxWriteWait
}

// retryLaterReply asks a user to repeat the request in so many seconds.
func retryLaterReply(requestID uint64, seconds int, reason string) Reply {
	return Reply{RequestID: requestID, Status: ReplyUnavailable, RetryAfter: seconds, Error: reason}
}

// stateUnavailableReply is the answer while the state service does not answer.
func stateUnavailableReply(requestID uint64) Reply {
	return retryLaterReply(requestID, 1, "the state service does not answer")
}

// requestQueues has the requests under way: they share one read of the state, and
// their writes wait for budget.
type requestQueues struct {
	stateReads   sharedread.Batch[*request]
	queuedWrites []*request
	endLookups   sharedread.KeyBatch[*request] // by the job's id
	// inFlight has, for each job with a write under way, the requests that wait for its
	// outcome: a user's repeated request costs no write of its own.
	inFlight map[string][]*request
}

// coalesce says whether a write about the same job is under way; then the request goes
// on from what is stored after it.
func (q *requestQueues) coalesce(r *request) bool {
	waiting, ok := q.inFlight[r.targetID]
	if ok {
		q.inFlight[r.targetID] = append(waiting, r)
	}
	return ok
}

// requestHandler serves users' requests about jobs from reads that are younger than they are.
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

func newRequestHandler(run *engine) *requestHandler {
	return &requestHandler{engine: run, queues: requestQueues{inFlight: map[string][]*request{}}}
}

// hasQueuedWrites says whether users' writes wait for budget.
func (h *requestHandler) hasQueuedWrites() bool { return len(h.queues.queuedWrites) > 0 }

// resumeCoalesced lets those go on that waited for a write.
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

// unreadyReason says why this controller can't take requests, or "".
//
// One that has read the state once can: an outage of the state service is answered
// request by request, so that not all controllers are taken out at once.
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
		forwarded:    true, // no other controller can answer it
		followerRead: followerRead{revision: m.AfterRevision, writesNeeded: m.WritesNeeded},
	})
}

// waitForRead queues a request for the next read of the state.
func (h *requestHandler) waitForRead(r *request) {
	if !h.cache.synced || h.health.unavailable() && r.tries == 0 || h.queues.stateReads.Waiting() >= maxQueuedRequests {
		h.refuse(r)
		return
	}
	h.queues.stateReads.Add(r)
	h.readForRequests()
}

// readForRequests reads the state for the requests that wait, from the leader or else
// from the state service, which allows only so many reads. A read from the leader costs
// none of them, and the leader paces its own.
func (h *requestHandler) readForRequests() {
	reads := &h.queues.stateReads
	source := h.reader.readSource()
	gap := h.health.viewInterval()
	if source != "" {
		gap = leaderReadGap
	}
	if !h.cache.synced || !reads.Due(h.now, gap) || source == "" && !h.health.tryTakeRead() {
		return
	}
	h.beginRead(source)
}

// beginRead reads now, for all requests that wait, of which there may be none.
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
		WritesNeeded:  h.queues.writesLacking(h.health.writesLeft()),
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

// refuse forwards a request to a peer that can answer it, or says at once that it can't
// be answered now.
func (h *requestHandler) refuse(r *request) {
	if h.health.unavailable() && h.peers.forwardToPeer(r) {
		return
	}
	h.emit(stateUnavailableReply(r.id))
}

// refuseUnlessKnown refuses a submission for good, unless its id turns out to be known.
func (h *requestHandler) refuseUnlessKnown(r *request, status ReplyCode, reason string) {
	r.refusal = Reply{Status: status, Error: reason}
	h.waitForRead(r)
}

// resumeRequest goes on with a request after a read that is younger than it.
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
	j := h.cache.jobs[r.targetID]
	switch {
	case j == nil && r.kind == requestSubmit && r.refusal.Status == 0:
		h.queueWrite(r)
	case j == nil:
		h.lookUpEnd(r)
	case j.Outcome() != "":
		h.answerEnd(r.id, r.targetID, j.End().End)
	case r.kind == requestCancel:
		h.queueWrite(r)
	case !h.dependencies.dependenciesKnown(j):
		h.emit(retryLaterReply(r.id, 1, "an end that the job's state depends on is being read"))
	default:
		h.emit(Reply{RequestID: r.id, Status: ReplyOK, Job: stateOf(j)})
	}
}

// tick goes on with the requests for which there is time or budget by now.
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

// shouldProbeState says whether to read from the state service although no request
// waits: requests are refused meanwhile, or soon, so something has to find out when it
// answers again. age is how long ago the last read began.
func (h *requestHandler) shouldProbeState(age int64) bool {
	if h.health.unavailable() {
		return age > second/2
	}
	return !h.elector.isLeader() && h.health.lastRequestFailed() && age > expectedChangeGap && h.health.tryTakeRead()
}

// shouldRefresh says whether to read from the leader although no request waits: the
// cache may lack a change, or queued writes need the leader's budget.
func (h *requestHandler) shouldRefresh(age int64) bool {
	if h.reader.follower.RefreshDue(h.now, age) {
		return true
	}
	if age > expectedChangeGap && h.mayLackChanges() {
		return true
	}
	return h.queues.writesLacking(h.health.writesLeft()) > 0
}

// mayLackChanges says whether the cache is known to be behind, or lacks the changes of
// a transaction whose answer may be lost.
func (h *requestHandler) mayLackChanges() bool {
	return h.health.watchLags() || h.transactions.HasUnansweredWrite(h.now, expectedChangeGap)
}
