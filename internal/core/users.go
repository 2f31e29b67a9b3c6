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
	askPatience    = 1_500_000 // of the 2 s for a poll
	commitPatience = 3_500_000 // of the 5 s for a submission
	maxWaiting     = 2000
)

// ask is a user's request under way.
type ask struct {
	req   uint64
	id    string
	kind  askKind
	spec  *jobstate.Spec
	since int64
	// refusal is what a submission gets if it is not known already: only an
	// id that is surely new may be refused for good.
	refusal Reply
	checked int // how many of the awaited jobs are known to be accepted
	tries   int
	// handed: a peer has handed the request on.
	handed bool
	// sweep is a submitted one; after and most say which runs are asked for.
	sweep       *SubmitSweep
	after, most int
	// revision is what a follower has that asks for a view, need how many changes
	// it lacks.
	revision uint64
	need     int
}

type askKind uint8

const (
	askStatus askKind = iota
	askSubmit
	askCancel
	askView // another controller asks what is stored
	// All from here on are about sweeps.
	askSweepSubmit
	askSweepStatus
	askSweepRuns
	askSweepCancel
)

// requests serves the users: it shares one read of the moment among all requests
// that wait for one, and holds writes back while the budget is used up.
type requests struct {
	views  sharedread.Batch[*ask]
	writes []*ask
	ends   sharedread.KeyBatch[*ask] // by the job's id
	// inFlight has, for each job that a write is under way about, the requests that
	// wait for what it makes true: a user who repeats one is to cost no more.
	inFlight map[string][]*ask
}

// coalesce says whether a write about the same job is under way; then the request goes
// on from what is stored after it.
func (d *requests) coalesce(a *ask) bool {
	l, ok := d.inFlight[a.id]
	if ok {
		d.inFlight[a.id] = append(l, a)
	}
	return ok
}

// resumeCoalesced lets those go on that waited for a write.
func (c *Core) resumeCoalesced(id string) {
	l := c.requests.inFlight[id]
	delete(c.requests.inFlight, id)
	for _, a := range l {
		c.wait(a)
	}
}

func (c *Core) onReady(m Ready) {
	// A controller that has read the state once can take requests; an
	// outage of the state service is answered request by request, so that
	// not all controllers are taken out at once.
	c.links.Users.RecordSuccess(c.now, c.now)
	switch {
	case c.unfit != "":
		c.emit(Reply{Req: m.Req, Status: 503, Error: c.unfit})
	case c.applied == 0 && !c.synced:
		c.emit(Reply{Req: m.Req, Status: 503, Error: "starting"})
	case c.set.Ops.Reach && c.links.Isolated(c.now):
		c.emit(Reply{Req: m.Req, Status: 503, Error: "neither the state service nor another controller answers"})
	default:
		c.emit(Reply{Req: m.Req, Status: 200})
	}
}

func (c *Core) onStatus(m Status) {
	if e, ok := c.ends[m.ID]; ok {
		c.answerEnd(m.Req, m.ID, e)
		return
	}
	c.wait(&ask{req: m.Req, id: m.ID, kind: askStatus, since: c.now, handed: m.Handed})
}

func (c *Core) onCancel(m Cancel) {
	if e, ok := c.ends[m.ID]; ok {
		c.answerEnd(m.Req, m.ID, e)
		return
	}
	c.wait(&ask{req: m.Req, id: m.ID, kind: askCancel, since: c.now, handed: m.Handed})
}

func (c *Core) onSubmit(m Submit) {
	id := m.Spec.ID
	if e, ok := c.ends[id]; ok {
		c.answerEnd(m.Req, id, e)
		return
	}
	a := &ask{req: m.Req, id: id, kind: askSubmit, spec: m.Spec, since: c.now, handed: m.Handed}
	if c.jobs[id] != nil {
		c.wait(a)
		return
	}
	if !c.synced {
		c.refuse(a)
		return
	}
	if c.sweeping() && strings.HasPrefix(id, RunPrefix) {
		a.refusal = Reply{Status: 400, Error: "name_id: begins like the runs of sweeps"}
		c.wait(a)
		return
	}
	if m.Invalid != "" {
		a.refusal = Reply{Status: 400, Error: m.Invalid}
		c.wait(a)
		return
	}
	if len(c.types) == 0 {
		c.emit(Reply{Req: m.Req, Status: 503, Retry: 2, Error: "machine types are not known yet"})
		return
	}
	if why := c.infeasible(m.Spec); why != "" {
		a.refusal = Reply{Status: 422, Error: why}
		c.wait(a)
		return
	}
	if len(m.Spec.Dependencies) > 0 && !c.joined() {
		// A controller of version 1 would store the job without what it
		// awaits, or start it at once.
		c.emit(Reply{Req: m.Req, Status: 503, Retry: 2, Error: "awaits: not before all controllers have the new version"})
		return
	}
	if slices.Contains(m.Spec.Dependencies, id) {
		c.notAwaited(a, id, "is the job itself")
		return
	}
	c.checkAwaits(a)
}

// infeasible says why a job can never run, or "".
func (c *Core) infeasible(s *jobstate.Spec) string {
	t := c.set.Team(s.Team)
	if t == nil {
		return fmt.Sprintf("unknown team %q", s.Team)
	}
	if !fleet.FitsAnyType(c.types, s) {
		return "no allowed machine type has room for a task"
	}
	if !fleet.FitsSpread(c.types, s) {
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

// wait queues a request for the next view of the state.
func (c *Core) wait(a *ask) {
	if !c.synced || c.stateLost() && a.tries == 0 || c.requests.views.Waiting() >= maxWaiting {
		c.refuse(a)
		return
	}
	c.requests.views.Add(a)
	c.viewNow()
}

// viewNow asks what is stored for those that wait to know, the leader or else the
// state service, which allows only so many reads. A follower's question costs no
// request, and the leader paces its own.
func (c *Core) viewNow() {
	v := &c.requests.views
	source := c.viewSource()
	gap := ratelimit.Interval(c.allowance.Views)
	if source != "" {
		gap = askViewGap
	}
	if !c.synced || !v.Due(c.now, gap) || source == "" && !c.reading.TryTake() {
		return
	}
	c.beginView(source)
}

// beginView asks now, for all that wait, who may be none.
func (c *Core) beginView(source string) {
	c.requests.views.Begin(c.now)
	if source == "" {
		c.emit(View{After: c.applied, Asked: true})
		return
	}
	c.emit(AskView{To: source, After: c.applied, Number: c.follower.BeginRequest(), Need: c.requests.lackingChanges(c.budget.Level())})
}

func (c *Core) onView(ok bool) {
	v := &c.requests.views
	if !v.InFlight() {
		return
	}
	for _, a := range v.End() {
		switch {
		case ok:
			c.resume(a)
		case c.now-a.since < askPatience/2 && c.synced:
			v.Add(a)
		default:
			c.refuse(a)
		}
	}
	c.viewNow()
}

// unavailable is the answer while the state service can't be asked.
var unavailable = Reply{Status: 503, Retry: 1, Error: "the state service does not answer"}

// refuse hands a request on to a peer that can answer it, or says at once
// that the answer can't be had now.
func (c *Core) refuse(a *ask) {
	if c.stateLost() && c.forward(a) {
		return
	}
	r := unavailable
	r.Req = a.req
	c.emit(r)
}

// resume goes on with a request after a view that is younger than it.
func (c *Core) resume(a *ask) {
	if a.kind >= askSweepSubmit {
		c.resumeSweep(a)
		return
	}
	if a.kind == askView {
		c.showView(a)
		return
	}
	if e, ok := c.ends[a.id]; ok {
		c.answerEnd(a.req, a.id, e)
		return
	}
	j := c.jobs[a.id]
	switch {
	case j == nil && a.kind == askSubmit && a.refusal.Status == 0:
		c.write(a)
	case j == nil:
		c.readEnd(a)
	case j.Outcome != "":
		c.answerEnd(a.req, a.id, jobstate.End{Outcome: j.Outcome, Tasks: j.Tasks})
	case a.kind == askCancel:
		c.write(a)
	case !c.settled(j):
		r := unavailable
		r.Req, r.Error = a.req, "an end that the job's state depends on is being read"
		c.emit(r)
	default:
		c.emit(Reply{Req: a.req, Status: 200, Job: jobState(j)})
	}
}

// write queues a submission or cancellation for the state service.
func (c *Core) write(a *ask) {
	if len(c.requests.writes) >= maxWaiting || c.stateLost() && a.tries == 0 {
		c.refuse(a)
		return
	}
	c.requests.writes = append(c.requests.writes, a)
	c.writeNow()
}

func (c *Core) writeNow() {
	d := &c.requests
	c.budget.Refill(c.now, c.allowance.Changes)
	for len(d.writes) > 0 {
		a := d.writes[0]
		if c.now-a.since > commitPatience {
			d.writes = d.writes[1:]
			c.refuse(a)
			continue
		}
		if d.coalesce(a) {
			d.writes = d.writes[1:]
			continue
		}
		if c.budget.Level() < usersLeast(c.allowance, c.lead != nil) {
			return
		}
		d.writes = d.writes[1:]
		switch a.kind {
		case askSubmit:
			c.budget.Spend(1)
			c.create(a)
		case askSweepSubmit:
			c.createSweep(a)
		case askSweepCancel:
			c.cancelSweep(a)
		default:
			c.budget.Spend(2)
			c.cancel(a)
		}
	}
}

// usersLeast is the least budget with which a user's request is written. Users come
// before placements, so they may use what the leader's own writes keep back, and some
// of what it will have.
func usersLeast(s ratelimit.Share, leads bool) float64 {
	if !leads {
		return 1
	}
	return 1 - s.Changes/4
}

func (c *Core) create(a *ask) {
	job := jobPrefix + a.id
	value := jobstate.Record{Spec: a.spec, SubmittedWall: a.since + c.wallOffset}.Encode(0)
	if len(value) > c.valueLimit() {
		a.refusal = Reply{Status: 400, Error: fmt.Sprintf("the description takes %d bytes, and %d can be stored", len(value), c.valueLimit())}
		c.wait(a)
		return
	}
	c.requests.inFlight[a.id] = nil
	c.multi([]Cond{kv.RevisionIs(job, 0), kv.RevisionIs(endPrefix+a.id, 0)}, []Write{{Key: job, Value: value}}, func(m Committed) {
		defer c.resumeCoalesced(a.id)
		switch m.Status {
		case 200:
			c.emit(Reply{Req: a.req, Status: 201, Job: &JobState{ID: a.id, State: Queued}})
		case 409:
			// It is known: a repeat, perhaps of this very request.
			c.wait(a)
		case 400:
			// It is no longer than the limits that were known of.
			c.lower("a job's description was refused")
			c.again(a)
		default:
			c.again(a)
		}
	})
}

// again repeats a write that failed or whose outcome is unknown: its
// conditions make that safe.
func (c *Core) again(a *ask) {
	a.tries++
	if a.tries > 4 || c.now-a.since > commitPatience {
		c.refuse(a)
		return
	}
	if a.kind == askCancel || a.kind == askSweepCancel {
		c.wait(a) // the job's version may have changed
		return
	}
	c.requests.writes = append(c.requests.writes, a)
}

func (c *Core) cancel(a *ask) {
	j := c.jobs[a.id]
	if j == nil || j.Outcome != "" {
		c.wait(a)
		return
	}
	e := c.end(jobstate.Cancelled, j)
	stamp := j.Revision
	c.requests.inFlight[a.id] = nil
	c.multi([]Cond{kv.RevisionIs(jobPrefix+a.id, stamp), kv.RevisionIs(endPrefix+a.id, 0)}, []Write{
		{Key: endPrefix + a.id, Value: encode(e)},
		{Key: jobPrefix + a.id, Value: c.overRecord(j, jobstate.Cancelled)},
	}, func(m Committed) {
		defer c.resumeCoalesced(a.id)
		switch m.Status {
		case 200:
			if j.Revision == stamp {
				j.Revision = m.Revision
			}
			c.noteEnd(a.id, e, m.Revision)
			c.answerEnd(a.req, a.id, e)
		case 409:
			c.overtaken(a)
		default:
			c.again(a)
		}
	})
}

// overtaken goes on with a cancellation whose conditions did not hold, from what
// is stored by now.
func (c *Core) overtaken(a *ask) {
	if a.tries++; a.tries > 4 {
		c.refuse(a)
		return
	}
	c.wait(a)
}

// end makes the stored end of a job.
func (c *Core) end(outcome string, j *jobstate.Job) jobstate.End {
	e := jobstate.End{Outcome: outcome, Tasks: j.Tasks}
	if c.joined() {
		e.At = c.now + c.wallOffset
	}
	return e
}

// overRecord is the stored job from its end until its keys are removed.
func (c *Core) overRecord(j *jobstate.Job, outcome string) []byte {
	return jobstate.Record{Spec: j.Spec, Arrival: j.Arrival, Outcome: outcome, SubmittedWall: j.SubmittedWall, Truncated: j.Truncated}.Encode(c.valueLimit())
}

func (c *Core) answerEnd(req uint64, id string, e jobstate.End) {
	s := &JobState{ID: id, State: e.Outcome}
	if e.Outcome == jobstate.Done {
		s.Done = e.Tasks
	}
	r := Reply{Req: req, Status: 200, Job: s}
	if e.Outcome == jobstate.Cancelled {
		c.answerCancelled(r, id)
		return
	}
	c.emit(r)
}

func jobState(j *jobstate.Job) *JobState {
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
	d := &c.requests
	if !c.synced {
		for _, a := range d.views.DropWaiting() {
			c.refuse(a)
		}
	}
	c.writeNow()
	c.viewNow()
	c.lookNow()
	if !c.synced || d.views.InFlight() {
		return
	}
	source, age := c.viewSource(), d.views.Age(c.now)
	// The mirror lacks a revision that an answer has told of, or the changes of a
	// transaction whose answer may be lost.
	lacks := c.behind > c.applied || c.txns.HasUnansweredWrite(c.now, newsGap)
	switch {
	case c.stateLost() && age > second/2, c.lead == nil && !c.stateLost() && c.stateBad > c.stateOK && age > newsGap && c.reading.TryTake():
		// Requests are refused meanwhile, or soon, so something has to find out
		// when the state service answers again.
		c.beginView("")
	case source != "" && (c.follower.RefreshDue(c.now, age) || lacks && age > newsGap || d.lackingChanges(c.budget.Level()) > 0):
		c.beginView(source)
	}
}
