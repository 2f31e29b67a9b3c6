package core

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/core/kv"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sharedread"
)

// Deadlines of users' requests, below what users wait for an answer.
const (
	maxReadWait       = 1_500_000 // of the 2 s for a poll
	maxWriteWait      = 3_500_000 // of the 5 s for a submission
	maxQueuedRequests = 2000
)

// request is a user's request under way.
type request struct {
	id         uint64
	jobID      string
	kind       requestKind
	spec       *jobstate.Spec
	receivedAt int64
	// refusal is what a submission gets if it is not known already: only an
	// id that is surely new may be refused for good.
	refusal             Reply
	dependenciesChecked int // how many of the awaited jobs are known to be accepted
	tries               int
	// forwarded: a peer has handed the request on.
	forwarded bool
	// sweep is a submitted one; after and most say which runs are asked for.
	sweep        *SubmitSweep
	after, limit int
	// revision is what a follower has that asks for a view, need how many changes
	// it lacks.
	revision     uint64
	writesNeeded int
}

type requestKind uint8

const (
	requestStatus requestKind = iota
	requestSubmit
	requestCancel
	requestFollowerRead // another controller asks what is stored
	// All from here on are about sweeps.
	requestSweepSubmit
	requestSweepStatus
	requestSweepRuns
	requestSweepCancel
)

// requestQueues serves the users: it shares one read of the moment among all requests
// that wait for one, and holds writes back while the budget is used up.
type requestQueues struct {
	stateReads   sharedread.Batch[*request]
	queuedWrites []*request
	endLookups   sharedread.KeyBatch[*request] // by the job's id
	// inFlight has, for each job that a write is under way about, the requests that
	// wait for what it makes true: a user who repeats one is to cost no more.
	inFlight map[string][]*request
}

// coalesce says whether a write about the same job is under way; then the request goes
// on from what is stored after it.
func (d *requestQueues) coalesce(a *request) bool {
	l, ok := d.inFlight[a.jobID]
	if ok {
		d.inFlight[a.jobID] = append(l, a)
	}
	return ok
}

// requestHandler serves users' requests about jobs from reads that are younger than they are.
type requestHandler struct {
	*engine

	cache        *stateCache
	dependencies *dependencyResolver
	elector      *elector
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

// resumeCoalesced lets those go on that waited for a write.
func (rh *requestHandler) resumeCoalesced(id string) {
	l := rh.queues.inFlight[id]
	delete(rh.queues.inFlight, id)
	for _, a := range l {
		rh.waitForRead(a)
	}
}

func (rh *requestHandler) onReady(m CheckReady) {
	// A controller that has read the state once can take requests; an
	// outage of the state service is answered request by request, so that
	// not all controllers are taken out at once.
	rh.peers.connectivity.Users.RecordSuccess(rh.now, rh.now)
	switch {
	case rh.membership.incompatible != "":
		rh.emit(Reply{RequestID: m.RequestID, Status: 503, Error: rh.membership.incompatible})
	case rh.cache.appliedRevision == 0 && !rh.cache.synced:
		rh.emit(Reply{RequestID: m.RequestID, Status: 503, Error: "starting"})
	case rh.settings.Ops.Reach && rh.peers.connectivity.Isolated(rh.now):
		rh.emit(Reply{RequestID: m.RequestID, Status: 503, Error: "neither the state service nor another controller answers"})
	default:
		rh.emit(Reply{RequestID: m.RequestID, Status: 200})
	}
}

func (rh *requestHandler) onStatus(m QueryJob) {
	if e, ok := rh.cache.ends[m.ID]; ok {
		rh.answerEnd(m.RequestID, m.ID, e)
		return
	}
	rh.waitForRead(&request{id: m.RequestID, jobID: m.ID, kind: requestStatus, receivedAt: rh.now, forwarded: m.Forwarded})
}

func (rh *requestHandler) onCancel(m CancelJob) {
	if e, ok := rh.cache.ends[m.ID]; ok {
		rh.answerEnd(m.RequestID, m.ID, e)
		return
	}
	rh.waitForRead(&request{id: m.RequestID, jobID: m.ID, kind: requestCancel, receivedAt: rh.now, forwarded: m.Forwarded})
}

func (rh *requestHandler) onSubmit(m SubmitJob) {
	id := m.Spec.ID
	if e, ok := rh.cache.ends[id]; ok {
		rh.answerEnd(m.RequestID, id, e)
		return
	}
	a := &request{id: m.RequestID, jobID: id, kind: requestSubmit, spec: m.Spec, receivedAt: rh.now, forwarded: m.Forwarded}
	if rh.cache.jobs[id] != nil {
		rh.waitForRead(a)
		return
	}
	if !rh.cache.synced {
		rh.refuse(a)
		return
	}
	if rh.sweepManager.sweepsEnabled() && strings.HasPrefix(id, RunPrefix) {
		a.refusal = Reply{Status: 400, Error: "name_id: begins like the runs of sweeps"}
		rh.waitForRead(a)
		return
	}
	if m.Invalid != "" {
		a.refusal = Reply{Status: 400, Error: m.Invalid}
		rh.waitForRead(a)
		return
	}
	if len(rh.cache.machineTypes) == 0 {
		rh.emit(Reply{RequestID: m.RequestID, Status: 503, RetryAfter: 2, Error: "machine types are not known yet"})
		return
	}
	if why := rh.infeasibleReason(m.Spec); why != "" {
		a.refusal = Reply{Status: 422, Error: why}
		rh.waitForRead(a)
		return
	}
	if len(m.Spec.Dependencies) > 0 && !rh.membership.logEnabled() {
		// A controller of version 1 would store the job without what it
		// awaits, or start it at once.
		rh.emit(Reply{RequestID: m.RequestID, Status: 503, RetryAfter: 2, Error: "awaits: not before all controllers have the new version"})
		return
	}
	if slices.Contains(m.Spec.Dependencies, id) {
		rh.dependencies.refuseDependency(a, id, "is the job itself")
		return
	}
	rh.dependencies.checkDependencies(a)
}

// infeasibleReason says why a job can never run, or "".
func (rh *requestHandler) infeasibleReason(s *jobstate.Spec) string {
	t := rh.settings.Team(s.Team)
	if t == nil {
		return fmt.Sprintf("unknown team %q", s.Team)
	}
	if !fleet.FitsAnyType(rh.cache.machineTypes, s) {
		return "no allowed machine type has room for a task"
	}
	if !fleet.FitsSpread(rh.cache.machineTypes, s) {
		return "scatter: its tasks have to be in two zones at least, and may be in one only"
	}
	n := 1.0
	if s.Kind != jobstate.Array {
		n = float64(s.Tasks)
	}
	if t.CPUsMax > 0 && float64(s.Need.CPU)*n > t.CPUsMax*1000 || t.GPUsMax > 0 && float64(s.Need.GPU)*n > t.GPUsMax*1000 {
		return "the job needs more than its team's limit"
	}
	return ""
}

// waitForRead queues a request for the next view of the state.
func (rh *requestHandler) waitForRead(a *request) {
	if !rh.cache.synced || rh.health.unavailable() && a.tries == 0 || rh.queues.stateReads.Waiting() >= maxQueuedRequests {
		rh.refuse(a)
		return
	}
	rh.queues.stateReads.Add(a)
	rh.readForRequests()
}

// readForRequests asks what is stored for those that wait to know, the leader or else the
// state service, which allows only so many reads. A follower's question costs no
// request, and the leader paces its own.
func (rh *requestHandler) readForRequests() {
	v := &rh.queues.stateReads
	source := rh.reader.readSource()
	gap := rh.health.viewInterval()
	if source != "" {
		gap = leaderReadGap
	}
	if !rh.cache.synced || !v.Due(rh.now, gap) || source == "" && !rh.health.tryTakeRead() {
		return
	}
	rh.beginRead(source)
}

// beginRead asks now, for all that wait, who may be none.
func (rh *requestHandler) beginRead(source string) {
	rh.queues.stateReads.Begin(rh.now)
	if source == "" {
		rh.emit(ReadState{AfterRevision: rh.cache.appliedRevision, ForRequests: true})
		return
	}
	rh.emit(ReadFromLeader{To: source, AfterRevision: rh.cache.appliedRevision, Number: rh.reader.follower.BeginRequest(), WritesNeeded: rh.queues.writesLacking(rh.health.writesLeft())})
}

func (rh *requestHandler) requestsReadDone(ok bool) {
	v := &rh.queues.stateReads
	if !v.InFlight() {
		return
	}
	for _, a := range v.End() {
		switch {
		case ok:
			rh.resumeRequest(a)
		case rh.now-a.receivedAt < maxReadWait/2 && rh.cache.synced:
			v.Add(a)
		default:
			rh.refuse(a)
		}
	}
	rh.readForRequests()
}

// stateUnavailableReply is the answer while the state service can't be asked.
var stateUnavailableReply = Reply{Status: 503, RetryAfter: 1, Error: "the state service does not answer"}

// refuse hands a request on to a peer that can answer it, or says at once
// that the answer can't be had now.
func (rh *requestHandler) refuse(a *request) {
	if rh.health.unavailable() && rh.peers.forwardToPeer(a) {
		return
	}
	r := stateUnavailableReply
	r.RequestID = a.id
	rh.emit(r)
}

// resumeRequest goes on with a request after a view that is younger than it.
func (rh *requestHandler) resumeRequest(a *request) {
	if a.kind >= requestSweepSubmit {
		rh.sweepManager.resumeSweep(a)
		return
	}
	if a.kind == requestFollowerRead {
		rh.reader.answerFollower(a)
		return
	}
	if e, ok := rh.cache.ends[a.jobID]; ok {
		rh.answerEnd(a.id, a.jobID, e)
		return
	}
	j := rh.cache.jobs[a.jobID]
	switch {
	case j == nil && a.kind == requestSubmit && a.refusal.Status == 0:
		rh.queueWrite(a)
	case j == nil:
		rh.lookUpEnd(a)
	case j.Outcome != "":
		rh.answerEnd(a.id, a.jobID, jobstate.End{Outcome: j.Outcome, Tasks: j.Tasks})
	case a.kind == requestCancel:
		rh.queueWrite(a)
	case !rh.dependencies.dependenciesKnown(j):
		r := stateUnavailableReply
		r.RequestID, r.Error = a.id, "an end that the job's state depends on is being read"
		rh.emit(r)
	default:
		rh.emit(Reply{RequestID: a.id, Status: 200, Job: stateOf(j)})
	}
}

// queueWrite queues a submission or cancellation for the state service.
func (rh *requestHandler) queueWrite(a *request) {
	if len(rh.queues.queuedWrites) >= maxQueuedRequests || rh.health.unavailable() && a.tries == 0 {
		rh.refuse(a)
		return
	}
	rh.queues.queuedWrites = append(rh.queues.queuedWrites, a)
	rh.writeQueued()
}

func (rh *requestHandler) writeQueued() {
	d := &rh.queues
	rh.health.refillWrites()
	for len(d.queuedWrites) > 0 {
		a := d.queuedWrites[0]
		if rh.now-a.receivedAt > maxWriteWait {
			d.queuedWrites = d.queuedWrites[1:]
			rh.refuse(a)
			continue
		}
		if d.coalesce(a) {
			d.queuedWrites = d.queuedWrites[1:]
			continue
		}
		if rh.health.writesLeft() < rh.health.minUserBudget() {
			return
		}
		d.queuedWrites = d.queuedWrites[1:]
		switch a.kind {
		case requestSubmit:
			rh.health.spendWrites(1)
			rh.writeJob(a)
		case requestSweepSubmit:
			rh.sweepManager.createSweep(a)
		case requestSweepCancel:
			rh.sweepManager.cancelSweep(a)
		default:
			rh.health.spendWrites(2)
			rh.writeCancellation(a)
		}
	}
}

func (rh *requestHandler) writeJob(a *request) {
	job := jobPrefix + a.jobID
	value := jobstate.Record{Spec: a.spec, SubmittedWall: a.receivedAt + rh.wallOffset}.Encode(0)
	if len(value) > rh.membership.valueLimit() {
		a.refusal = Reply{Status: 400, Error: fmt.Sprintf("the description takes %d bytes, and %d can be stored", len(value), rh.membership.valueLimit())}
		rh.waitForRead(a)
		return
	}
	rh.queues.inFlight[a.jobID] = nil
	rh.commitTransaction([]Cond{kv.RevisionIs(job, 0), kv.RevisionIs(endPrefix+a.jobID, 0)}, []Write{{Key: job, Value: value}}, func(m Committed) {
		defer rh.resumeCoalesced(a.jobID)
		switch m.Status {
		case 200:
			rh.emit(Reply{RequestID: a.id, Status: 201, Job: &JobState{ID: a.jobID, State: Queued}})
		case 409:
			// It is known: a repeat, perhaps of this very request.
			rh.waitForRead(a)
		case 400:
			// It is no longer than the limits that were known of.
			rh.membership.lowerLimits("a job's description was refused")
			rh.retryWrite(a)
		default:
			rh.retryWrite(a)
		}
	})
}

// retryWrite repeats a write that failed or whose outcome is unknown: its
// conditions make that safe.
func (rh *requestHandler) retryWrite(a *request) {
	a.tries++
	if a.tries > 4 || rh.now-a.receivedAt > maxWriteWait {
		rh.refuse(a)
		return
	}
	if a.kind == requestCancel || a.kind == requestSweepCancel {
		rh.waitForRead(a) // the job's version may have changed
		return
	}
	rh.queues.queuedWrites = append(rh.queues.queuedWrites, a)
}

func (rh *requestHandler) writeCancellation(a *request) {
	j := rh.cache.jobs[a.jobID]
	if j == nil || j.Outcome != "" {
		rh.waitForRead(a)
		return
	}
	e := rh.newEnd(jobstate.Cancelled, j)
	stamp := j.Revision
	rh.queues.inFlight[a.jobID] = nil
	rh.commitTransaction([]Cond{kv.RevisionIs(jobPrefix+a.jobID, stamp), kv.RevisionIs(endPrefix+a.jobID, 0)}, []Write{
		{Key: endPrefix + a.jobID, Value: encodeJSON(e)},
		{Key: jobPrefix + a.jobID, Value: rh.endedRecord(j, jobstate.Cancelled)},
	}, func(m Committed) {
		defer rh.resumeCoalesced(a.jobID)
		switch m.Status {
		case 200:
			if j.Revision == stamp {
				j.Revision = m.Revision
			}
			rh.cache.noteEnd(a.jobID, e, m.Revision)
			rh.answerEnd(a.id, a.jobID, e)
		case 409:
			rh.retryCancellation(a)
		default:
			rh.retryWrite(a)
		}
	})
}

// retryCancellation goes on with a cancellation whose conditions did not hold, from what
// is stored by now.
func (rh *requestHandler) retryCancellation(a *request) {
	if a.tries++; a.tries > 4 {
		rh.refuse(a)
		return
	}
	rh.waitForRead(a)
}

// newEnd makes the stored end of a job.
func (rh *requestHandler) newEnd(outcome string, j *jobstate.Job) jobstate.End {
	e := jobstate.End{Outcome: outcome, Tasks: j.Tasks}
	if rh.membership.logEnabled() {
		e.At = rh.now + rh.wallOffset
	}
	return e
}

// endedRecord is the stored job from its end until its keys are removed.
func (rh *requestHandler) endedRecord(j *jobstate.Job, outcome string) []byte {
	return jobstate.Record{Spec: j.Spec, Arrival: j.Arrival, Outcome: outcome, SubmittedWall: j.SubmittedWall, Truncated: j.Truncated}.Encode(rh.membership.valueLimit())
}

func (rh *requestHandler) answerEnd(req uint64, id string, e jobstate.End) {
	s := &JobState{ID: id, State: e.Outcome}
	if e.Outcome == jobstate.Done {
		s.Done = e.Tasks
	}
	r := Reply{RequestID: req, Status: 200, Job: s}
	if e.Outcome == jobstate.Cancelled {
		rh.readLeases.replyCancelled(r, id)
		return
	}
	rh.emit(r)
}

func stateOf(j *jobstate.Job) *JobState {
	s := &JobState{ID: j.ID, State: Queued, Done: min(j.NumDone, j.Tasks), Running: j.NumRunning}
	if j.NumRunning == 0 && j.NumPlaced > 0 {
		s.Running = j.NumPlaced // another controller knows the details
	}
	if s.Running > 0 {
		s.State = Running
	}
	return s
}

func (rh *requestHandler) requestsTick() {
	d := &rh.queues
	if !rh.cache.synced {
		for _, a := range d.stateReads.DropWaiting() {
			rh.refuse(a)
		}
	}
	rh.writeQueued()
	rh.readForRequests()
	rh.lookUpEnds()
	if !rh.cache.synced || d.stateReads.InFlight() {
		return
	}
	source, age := rh.reader.readSource(), d.stateReads.Age(rh.now)
	// The mirror lacks a revision that an answer has told of, or the changes of a
	// transaction whose answer may be lost.
	lacks := rh.health.watchLags() || rh.transactions.HasUnansweredWrite(rh.now, expectedChangeGap)
	switch {
	case rh.health.unavailable() && age > second/2, !rh.elector.isLeader() && !rh.health.unavailable() && rh.health.lastRequestFailed() && age > expectedChangeGap && rh.health.tryTakeRead():
		// Requests are refused meanwhile, or soon, so something has to find out
		// when the state service answers again.
		rh.beginRead("")
	case source != "" && (rh.reader.follower.RefreshDue(rh.now, age) || lacks && age > expectedChangeGap || d.writesLacking(rh.health.writesLeft()) > 0):
		rh.beginRead(source)
	}
}
