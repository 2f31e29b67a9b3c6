package core

import (
	"fmt"
	"github.com/zinclb/zinclb/internal/core/kv"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
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

// resumeCoalesced lets those go on that waited for a write.
func (c *Core) resumeCoalesced(id string) {
	l := c.queues.inFlight[id]
	delete(c.queues.inFlight, id)
	for _, a := range l {
		c.waitForRead(a)
	}
}

func (c *Core) onReady(m CheckReady) {
	// A controller that has read the state once can take requests; an
	// outage of the state service is answered request by request, so that
	// not all controllers are taken out at once.
	c.connectivity.Users.RecordSuccess(c.now, c.now)
	switch {
	case c.incompatible != "":
		c.emit(Reply{RequestID: m.RequestID, Status: 503, Error: c.incompatible})
	case c.appliedRevision == 0 && !c.synced:
		c.emit(Reply{RequestID: m.RequestID, Status: 503, Error: "starting"})
	case c.settings.Ops.Reach && c.connectivity.Isolated(c.now):
		c.emit(Reply{RequestID: m.RequestID, Status: 503, Error: "neither the state service nor another controller answers"})
	default:
		c.emit(Reply{RequestID: m.RequestID, Status: 200})
	}
}

func (c *Core) onStatus(m QueryJob) {
	if e, ok := c.ends[m.ID]; ok {
		c.answerEnd(m.RequestID, m.ID, e)
		return
	}
	c.waitForRead(&request{id: m.RequestID, jobID: m.ID, kind: requestStatus, receivedAt: c.now, forwarded: m.Forwarded})
}

func (c *Core) onCancel(m CancelJob) {
	if e, ok := c.ends[m.ID]; ok {
		c.answerEnd(m.RequestID, m.ID, e)
		return
	}
	c.waitForRead(&request{id: m.RequestID, jobID: m.ID, kind: requestCancel, receivedAt: c.now, forwarded: m.Forwarded})
}

func (c *Core) onSubmit(m SubmitJob) {
	id := m.Spec.ID
	if e, ok := c.ends[id]; ok {
		c.answerEnd(m.RequestID, id, e)
		return
	}
	a := &request{id: m.RequestID, jobID: id, kind: requestSubmit, spec: m.Spec, receivedAt: c.now, forwarded: m.Forwarded}
	if c.jobs[id] != nil {
		c.waitForRead(a)
		return
	}
	if !c.synced {
		c.refuse(a)
		return
	}
	if c.sweepsEnabled() && strings.HasPrefix(id, RunPrefix) {
		a.refusal = Reply{Status: 400, Error: "name_id: begins like the runs of sweeps"}
		c.waitForRead(a)
		return
	}
	if m.Invalid != "" {
		a.refusal = Reply{Status: 400, Error: m.Invalid}
		c.waitForRead(a)
		return
	}
	if len(c.machineTypes) == 0 {
		c.emit(Reply{RequestID: m.RequestID, Status: 503, RetryAfter: 2, Error: "machine types are not known yet"})
		return
	}
	if why := c.infeasibleReason(m.Spec); why != "" {
		a.refusal = Reply{Status: 422, Error: why}
		c.waitForRead(a)
		return
	}
	if len(m.Spec.Dependencies) > 0 && !c.logEnabled() {
		// A controller of version 1 would store the job without what it
		// awaits, or start it at once.
		c.emit(Reply{RequestID: m.RequestID, Status: 503, RetryAfter: 2, Error: "awaits: not before all controllers have the new version"})
		return
	}
	if slices.Contains(m.Spec.Dependencies, id) {
		c.refuseDependency(a, id, "is the job itself")
		return
	}
	c.checkDependencies(a)
}

// infeasibleReason says why a job can never run, or "".
func (c *Core) infeasibleReason(s *jobstate.Spec) string {
	t := c.settings.Team(s.Team)
	if t == nil {
		return fmt.Sprintf("unknown team %q", s.Team)
	}
	if !fleet.FitsAnyType(c.machineTypes, s) {
		return "no allowed machine type has room for a task"
	}
	if !fleet.FitsSpread(c.machineTypes, s) {
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
func (c *Core) waitForRead(a *request) {
	if !c.synced || c.stateUnavailable() && a.tries == 0 || c.queues.stateReads.Waiting() >= maxQueuedRequests {
		c.refuse(a)
		return
	}
	c.queues.stateReads.Add(a)
	c.readForRequests()
}

// readForRequests asks what is stored for those that wait to know, the leader or else the
// state service, which allows only so many reads. A follower's question costs no
// request, and the leader paces its own.
func (c *Core) readForRequests() {
	v := &c.queues.stateReads
	source := c.readSource()
	gap := ratelimit.Interval(c.allowance.Views)
	if source != "" {
		gap = leaderReadGap
	}
	if !c.synced || !v.Due(c.now, gap) || source == "" && !c.readBudget.TryTake() {
		return
	}
	c.beginRead(source)
}

// beginRead asks now, for all that wait, who may be none.
func (c *Core) beginRead(source string) {
	c.queues.stateReads.Begin(c.now)
	if source == "" {
		c.emit(ReadState{AfterRevision: c.appliedRevision, ForRequests: true})
		return
	}
	c.emit(ReadFromLeader{To: source, AfterRevision: c.appliedRevision, Number: c.follower.BeginRequest(), WritesNeeded: c.queues.writesLacking(c.writeBudget.Level())})
}

func (c *Core) requestsReadDone(ok bool) {
	v := &c.queues.stateReads
	if !v.InFlight() {
		return
	}
	for _, a := range v.End() {
		switch {
		case ok:
			c.resumeRequest(a)
		case c.now-a.receivedAt < maxReadWait/2 && c.synced:
			v.Add(a)
		default:
			c.refuse(a)
		}
	}
	c.readForRequests()
}

// stateUnavailableReply is the answer while the state service can't be asked.
var stateUnavailableReply = Reply{Status: 503, RetryAfter: 1, Error: "the state service does not answer"}

// refuse hands a request on to a peer that can answer it, or says at once
// that the answer can't be had now.
func (c *Core) refuse(a *request) {
	if c.stateUnavailable() && c.forwardToPeer(a) {
		return
	}
	r := stateUnavailableReply
	r.RequestID = a.id
	c.emit(r)
}

// resumeRequest goes on with a request after a view that is younger than it.
func (c *Core) resumeRequest(a *request) {
	if a.kind >= requestSweepSubmit {
		c.resumeSweep(a)
		return
	}
	if a.kind == requestFollowerRead {
		c.answerFollower(a)
		return
	}
	if e, ok := c.ends[a.jobID]; ok {
		c.answerEnd(a.id, a.jobID, e)
		return
	}
	j := c.jobs[a.jobID]
	switch {
	case j == nil && a.kind == requestSubmit && a.refusal.Status == 0:
		c.queueWrite(a)
	case j == nil:
		c.lookUpEnd(a)
	case j.Outcome != "":
		c.answerEnd(a.id, a.jobID, jobstate.End{Outcome: j.Outcome, Tasks: j.Tasks})
	case a.kind == requestCancel:
		c.queueWrite(a)
	case !c.dependenciesKnown(j):
		r := stateUnavailableReply
		r.RequestID, r.Error = a.id, "an end that the job's state depends on is being read"
		c.emit(r)
	default:
		c.emit(Reply{RequestID: a.id, Status: 200, Job: stateOf(j)})
	}
}

// queueWrite queues a submission or cancellation for the state service.
func (c *Core) queueWrite(a *request) {
	if len(c.queues.queuedWrites) >= maxQueuedRequests || c.stateUnavailable() && a.tries == 0 {
		c.refuse(a)
		return
	}
	c.queues.queuedWrites = append(c.queues.queuedWrites, a)
	c.writeQueued()
}

func (c *Core) writeQueued() {
	d := &c.queues
	c.writeBudget.Refill(c.now, c.allowance.Changes)
	for len(d.queuedWrites) > 0 {
		a := d.queuedWrites[0]
		if c.now-a.receivedAt > maxWriteWait {
			d.queuedWrites = d.queuedWrites[1:]
			c.refuse(a)
			continue
		}
		if d.coalesce(a) {
			d.queuedWrites = d.queuedWrites[1:]
			continue
		}
		if c.writeBudget.Level() < minUserBudget(c.allowance, c.leadership != nil) {
			return
		}
		d.queuedWrites = d.queuedWrites[1:]
		switch a.kind {
		case requestSubmit:
			c.writeBudget.Spend(1)
			c.writeJob(a)
		case requestSweepSubmit:
			c.createSweep(a)
		case requestSweepCancel:
			c.cancelSweep(a)
		default:
			c.writeBudget.Spend(2)
			c.writeCancellation(a)
		}
	}
}

// minUserBudget is the least budget with which a user's request is written. Users come
// before placements, so they may use what the leader's own writes keep back, and some
// of what it will have.
func minUserBudget(s ratelimit.Share, leads bool) float64 {
	if !leads {
		return 1
	}
	return 1 - s.Changes/4
}

func (c *Core) writeJob(a *request) {
	job := jobPrefix + a.jobID
	value := jobstate.Record{Spec: a.spec, SubmittedWall: a.receivedAt + c.wallOffset}.Encode(0)
	if len(value) > c.valueLimit() {
		a.refusal = Reply{Status: 400, Error: fmt.Sprintf("the description takes %d bytes, and %d can be stored", len(value), c.valueLimit())}
		c.waitForRead(a)
		return
	}
	c.queues.inFlight[a.jobID] = nil
	c.commitTransaction([]Cond{kv.RevisionIs(job, 0), kv.RevisionIs(endPrefix+a.jobID, 0)}, []Write{{Key: job, Value: value}}, func(m Committed) {
		defer c.resumeCoalesced(a.jobID)
		switch m.Status {
		case 200:
			c.emit(Reply{RequestID: a.id, Status: 201, Job: &JobState{ID: a.jobID, State: Queued}})
		case 409:
			// It is known: a repeat, perhaps of this very request.
			c.waitForRead(a)
		case 400:
			// It is no longer than the limits that were known of.
			c.lowerLimits("a job's description was refused")
			c.retryWrite(a)
		default:
			c.retryWrite(a)
		}
	})
}

// retryWrite repeats a write that failed or whose outcome is unknown: its
// conditions make that safe.
func (c *Core) retryWrite(a *request) {
	a.tries++
	if a.tries > 4 || c.now-a.receivedAt > maxWriteWait {
		c.refuse(a)
		return
	}
	if a.kind == requestCancel || a.kind == requestSweepCancel {
		c.waitForRead(a) // the job's version may have changed
		return
	}
	c.queues.queuedWrites = append(c.queues.queuedWrites, a)
}

func (c *Core) writeCancellation(a *request) {
	j := c.jobs[a.jobID]
	if j == nil || j.Outcome != "" {
		c.waitForRead(a)
		return
	}
	e := c.newEnd(jobstate.Cancelled, j)
	stamp := j.Revision
	c.queues.inFlight[a.jobID] = nil
	c.commitTransaction([]Cond{kv.RevisionIs(jobPrefix+a.jobID, stamp), kv.RevisionIs(endPrefix+a.jobID, 0)}, []Write{
		{Key: endPrefix + a.jobID, Value: encodeJSON(e)},
		{Key: jobPrefix + a.jobID, Value: c.endedRecord(j, jobstate.Cancelled)},
	}, func(m Committed) {
		defer c.resumeCoalesced(a.jobID)
		switch m.Status {
		case 200:
			if j.Revision == stamp {
				j.Revision = m.Revision
			}
			c.noteEnd(a.jobID, e, m.Revision)
			c.answerEnd(a.id, a.jobID, e)
		case 409:
			c.retryCancellation(a)
		default:
			c.retryWrite(a)
		}
	})
}

// retryCancellation goes on with a cancellation whose conditions did not hold, from what
// is stored by now.
func (c *Core) retryCancellation(a *request) {
	if a.tries++; a.tries > 4 {
		c.refuse(a)
		return
	}
	c.waitForRead(a)
}

// newEnd makes the stored end of a job.
func (c *Core) newEnd(outcome string, j *jobstate.Job) jobstate.End {
	e := jobstate.End{Outcome: outcome, Tasks: j.Tasks}
	if c.logEnabled() {
		e.At = c.now + c.wallOffset
	}
	return e
}

// endedRecord is the stored job from its end until its keys are removed.
func (c *Core) endedRecord(j *jobstate.Job, outcome string) []byte {
	return jobstate.Record{Spec: j.Spec, Arrival: j.Arrival, Outcome: outcome, SubmittedWall: j.SubmittedWall, Truncated: j.Truncated}.Encode(c.valueLimit())
}

func (c *Core) answerEnd(req uint64, id string, e jobstate.End) {
	s := &JobState{ID: id, State: e.Outcome}
	if e.Outcome == jobstate.Done {
		s.Done = e.Tasks
	}
	r := Reply{RequestID: req, Status: 200, Job: s}
	if e.Outcome == jobstate.Cancelled {
		c.replyCancelled(r, id)
		return
	}
	c.emit(r)
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

func (c *Core) requestsTick() {
	d := &c.queues
	if !c.synced {
		for _, a := range d.stateReads.DropWaiting() {
			c.refuse(a)
		}
	}
	c.writeQueued()
	c.readForRequests()
	c.lookUpEnds()
	if !c.synced || d.stateReads.InFlight() {
		return
	}
	source, age := c.readSource(), d.stateReads.Age(c.now)
	// The mirror lacks a revision that an answer has told of, or the changes of a
	// transaction whose answer may be lost.
	lacks := c.announcedRevision > c.appliedRevision || c.transactions.HasUnansweredWrite(c.now, expectedChangeGap)
	switch {
	case c.stateUnavailable() && age > second/2, c.leadership == nil && !c.stateUnavailable() && c.stateFailedAt > c.stateAnsweredAt && age > expectedChangeGap && c.readBudget.TryTake():
		// Requests are refused meanwhile, or soon, so something has to find out
		// when the state service answers again.
		c.beginRead("")
	case source != "" && (c.follower.RefreshDue(c.now, age) || lacks && age > expectedChangeGap || d.writesLacking(c.writeBudget.Level()) > 0):
		c.beginRead(source)
	}
}
