package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A worker that comes back soon after it was sent elsewhere could not be
// served there, as when it can't reach that controller: it is kept for a
// while, so that it does not lose seconds again and again, and so that two
// controllers never pass a worker to and fro without end.
const (
	cameBack = 15 * second
	keepFor  = 60 * second
)

// redirect is when a worker was last sent elsewhere, until when it is not
// sent elsewhere again, and when it was last served here.
type redirect struct{ at, keep, served int64 }

func (c *Core) machine(name string) *fleet.Machine {
	m := c.lead.fleet.Get(name)
	if m == nil {
		m = fleet.NewMachine(name, c.now)
		if c.now == c.lead.since {
			// An earlier leader may go on answering it for the hold time.
			m.LastAnswer = c.now + c.set.LeaderAuthorityTime()
		}
		if r, ok := c.lead.gone.last[name]; ok {
			// Copies of its reports may still come: they are not news.
			m.Epoch, m.Seq = r.session, r.seq
		}
		c.knownImages(m)
		c.lead.fleet.Add(m)
	}
	return m
}

// onBeat routes a report to the one who decides: the partition's holder
// takes it from the worker and hands it to the leader.
func (c *Core) onBeat(b Beat) {
	name := b.Report.Machine
	at := connectivity.Machine{Name: name, Addr: b.Report.Addr, Zone: b.Report.Zone}
	if b.From == "" {
		c.links.Workers.RecordHeartbeat(at, b.Report.Session, b.Report.Seq, c.now)
	} else {
		c.links.RecordInbound(b.From, c.now)
		c.links.Workers.Add(at, c.now)
	}
	if c.lead != nil {
		holder := c.bounds.Holder(name)
		if b.From == "" && holder != "" && holder != c.set.Name && c.links.PeerUp(holder, c.now) && !c.links.CannotReachZone(holder, b.Report.Zone) && c.mayRedirect(&b.Report, c.lead.token) {
			c.emit(Reply{Req: b.Req, Status: 421, Leader: holder})
			return
		}
		c.served(name, b.From)
		c.report(b)
		return
	}
	c.noteNewest(c.leader)
	leader := c.newest.Name
	up := leader != "" && leader != c.set.Name && c.links.PeerUp(leader, c.now)
	if b.From != "" {
		if b.Onward && up {
			c.emit(Relay{Req: b.Req, To: leader, Report: b.Report})
			return
		}
		c.emit(Reply{Req: b.Req, Status: 503, Error: "not leading"})
		return
	}
	if !up {
		c.aside(b, leader)
		return
	}
	if c.holds(name) || c.links.CannotReachZone(leader, b.Report.Zone) || !c.mayRedirect(&b.Report, c.newest.Token) {
		c.served(name, "")
		c.emit(Relay{Req: b.Req, To: leader, Report: b.Report})
		return
	}
	to := c.bounds.Holder(name)
	if to == "" || to == c.set.Name || !c.links.PeerUp(to, c.now) || c.links.CannotReachZone(to, b.Report.Zone) {
		to = leader
	}
	c.emit(Reply{Req: b.Req, Status: 421, Leader: to})
}

// aside handles a report that can't be handed to the leader. Its worker is sent
// to a controller that can do that, or to the leader itself where that reaches
// the worker's zone; one that comes back can reach neither, and its report goes
// by way of another controller.
func (c *Core) aside(b Beat, leader string) {
	if c.set.Ops.Reach && leader != "" && leader != c.set.Name {
		way := c.links.RelayTo(leader)
		to := way
		if to == "" && !c.stateLost() && c.links.ReachesZone(leader, b.Report.Zone) {
			to = leader // by its stored word, which is as old as the mirror
		}
		switch {
		case to != "" && c.mayRedirect(&b.Report, c.newest.Token):
			c.emit(Reply{Req: b.Req, Status: 421, Leader: to})
			return
		case way != "":
			c.served(b.Report.Machine, "")
			c.emit(Relay{Req: b.Req, To: way, Report: b.Report, Onward: true})
			return
		}
	}
	c.emit(Reply{Req: b.Req, Status: 503, Error: "no leader known"})
}

// holds says whether this controller holds the lease of a machine's partition.
func (c *Core) holds(name string) bool {
	return c.bounds.Holder(name) == c.set.Name && c.bounds.FencingToken == c.leader.Token && c.now-c.boundsOn < c.bounds.LeaseDuration
}

// served notes that a worker's report is taken here.
func (c *Core) served(name, from string) {
	if from == "" {
		r := c.seen[name]
		r.served = c.now
		c.seen[name] = r
	}
}

// mayRedirect says whether a worker is to be sent to its holder.
func (c *Core) mayRedirect(rep *Report, token uint64) bool {
	r := c.seen[rep.Machine]
	if c.now < r.keep {
		return false
	}
	// One that has orders of this leader, and not from here, has left its
	// holder for a reason.
	left := rep.Token == token && (r.served == 0 || c.now-r.served > cameBack)
	if left || r.at != 0 && c.now-r.at < cameBack {
		r.keep = c.now + keepFor
		c.seen[rep.Machine] = r
		return false
	}
	r.at = c.now
	c.seen[rep.Machine] = r
	return true
}

func (c *Core) onRelayed(m Relayed) {
	a := m.Answer
	if m.Err != nil {
		a = Reply{Status: 503, Error: "the leader does not answer"}
	}
	a.Req = m.Req
	c.emit(a)
}

// report takes one report and answers with orders.
func (c *Core) report(b Beat) {
	l, r := c.lead, &b.Report
	refuse := func(why string) { c.emit(Reply{Req: b.Req, Status: 503, Error: why}) }
	if !c.entitled() {
		refuse("no proof of leadership")
		return
	}
	if r.Token > l.token {
		// There is a newer leader somewhere; the state will say so.
		c.emit(View{After: c.applied})
		refuse("a newer token exists")
		return
	}
	if l.gone.released(r.Machine) {
		// The machine is gone for certain, so this was sent long ago.
		refuse("a report of a machine that was returned")
		return
	}
	m := c.machine(r.Machine)
	if !m.IsNewer(r.Session, r.Seq) || !m.Plausible(r.Session, r.Seq, c.now) {
		c.ask(m, r.Addr)
		refuse("an older report")
		return
	}
	c.heard(m, r)
	via := b.From
	if via == "" {
		via = c.set.Name
	}
	l.via[via] = c.now
	first := m.LastHeartbeat == 0
	newSession := r.Session != m.Epoch
	c.unpark(r.Machine, false)
	m.Epoch, m.Seq, m.LastHeartbeat = r.Session, r.Seq, c.now
	m.Addr, m.Zone, m.Spot = r.Addr, r.Zone, r.Spot
	m.MarkChanged()
	if m.Type != r.Type || m.Cap == (jobstate.Resources{}) {
		m.Type = r.Type
		m.SetType(c.types)
	}
	// A worker that knew the token when it sent the report takes no orders
	// of an earlier leader any more: only then does it prove what is absent.
	wasFresh := m.HasCurrentToken
	m.HasCurrentToken = r.Token == l.token
	if first || newSession || !wasFresh && m.HasCurrentToken {
		l.planWanted = true
	}
	if r.Notice >= 0 && m.ReclaimAt == 0 {
		m.ReclaimAt = c.now + r.Notice
		c.log.Info("spot notice", "machine", m.Name, "seconds", r.Notice/second)
		c.drain(m, r.Notice)
	}
	if c.unsettled(m, r) {
		refuse("what is on the machine has to be asked")
		return
	}
	m.LastAnswer = c.now
	orders, ended := c.reported(m, r)
	orders = c.missing(m, r, orders)
	if wait := c.parkTime(m, orders, ended); wait > 0 && c.mayPark(b.From) {
		l.parkedAnswers.park(m, parked{req: b.Req, report: *r, until: c.now + wait, by: b.From})
		return
	}
	c.answer(m, b.Req, orders)
}

// answer gives orders in the answer to a report. What of them takes effect shows
// whether the machine hears.
func (c *Core) answer(m *fleet.Machine, req uint64, orders []Order) {
	m.Delivery.SentCommands = m.Delivery.SentCommands[:0]
	for _, o := range orders {
		if o.Op != "stop" {
			m.Delivery.SentCommands = append(m.Delivery.SentCommands, fleet.SentCommand{Task: o.Task, Attempt: o.Attempt, Forget: o.Op == "forget"})
		}
	}
	c.emit(Reply{Req: req, Status: 200, Token: c.lead.token, Orders: orders})
}

// How long an answer may wait. The worker gives up on it after 4 s and tells
// nothing new meanwhile, so only a machine without tasks waits for long.
const (
	parkIdle = 3 * second
	parkExit = 400_000
)

func (c *Core) parkTime(m *fleet.Machine, orders []Order, ended bool) int64 {
	for _, o := range orders {
		if o.Op != "forget" {
			return 0
		}
	}
	switch {
	case !m.HasCurrentToken || m.Draining || m.ReclaimAt != 0:
		return 0
	case ended:
		return parkExit
	case len(m.Placed) == 0 && len(orders) == 0 && m.OrphanUsage == (jobstate.Resources{}):
		return min(parkIdle, config.MicrosOf(c.set.Workers.ReportS)*3/4)
	}
	return 0
}

// unparkReady answers the parked reports for which there are orders now, or
// whose time is up.
//
// It is called after what may have made orders and with the ticks, and not
// after every message.
func (c *Core) unparkReady() {
	c.lead.unparkWanted = false
	for _, name := range c.lead.parkedAnswers.ready(c.now, func(name string) bool {
		m := c.lead.fleet.Get(name)
		return m != nil && hasOrders(m)
	}) {
		c.unpark(name, true)
	}
}

// hasOrders says whether an answer to a machine's report would have orders.
func hasOrders(m *fleet.Machine) bool {
	for ref := range m.Placed {
		if t := ref.Job.Task(ref.Index); t.Stored && !t.StartSent || t.StopReason != "" {
			return true
		}
	}
	return m.Prefetch != nil && !m.Prefetch.Sent
}

// unpark answers a parked report, with orders unless a newer one has come.
func (c *Core) unpark(name string, answer bool) {
	p, ok := c.lead.parkedAnswers.take(name)
	if !ok {
		return
	}
	m := c.lead.fleet.Get(name)
	if m != nil {
		m.MarkChanged() // orders for it wait for its next report now
	}
	if !answer || m == nil || !c.entitled() {
		c.emit(Reply{Req: p.req, Status: 503, Error: "an older report"})
		return
	}
	m.LastAnswer = c.now
	orders, _ := c.reported(m, &p.report)
	orders = c.missing(m, &p.report, orders)
	c.answer(m, p.req, orders)
}

// reported goes through the tasks that the worker lists; ended says that a
// placed attempt has come to its end.
func (c *Core) reported(m *fleet.Machine, r *Report) (orders []Order, ended bool) {
	m.OrphanUsage = jobstate.Resources{}
	warmListed := false
	for k := range r.Tasks {
		tr := &r.Tasks[k]
		if w := m.Prefetch; w != nil && w.Task == tr.Name && uint64(w.Attempt) == tr.Attempt {
			warmListed = true
			orders = append(orders, c.reportedWarm(m, tr)...)
			continue
		}
		id, i, err := jobstate.ParseTaskName(tr.Name)
		if err != nil {
			continue
		}
		j := c.jobs[id]
		var t *jobstate.Task
		if j != nil {
			t = j.Task(i)
		}
		order := Order{Task: tr.Name, Attempt: uint32(tr.Attempt)}
		mine := t != nil && t.Machine == m.Name && uint64(t.Attempt) == tr.Attempt
		if tr.State == "exited" {
			if t != nil && j.Outcome == "" && tr.Why == "done" {
				c.taskDone(j, i)
			}
			if mine {
				t.Confirmed, ended = true, true
				c.exited(m, j, i, tr)
			}
			// The exit must be stored first: a run could follow from the
			// stored placement, and would start the task again.
			if t == nil || j.Outcome != "" || j.IsTaskStored(i) {
				order.Op = "forget"
				orders = append(orders, order)
			}
			continue
		}
		if !mine {
			order.Op = "stop"
			orders = append(orders, order)
			if j != nil {
				m.OrphanUsage = m.OrphanUsage.Add(j.Need)
			}
			continue
		}
		t.Confirmed, t.StartSent = true, true
		c.progress(m, j, t, tr.State)
		if j.IsPartiallyPlaced() && t.StopReason == "" && (t.Phase != jobstate.Fetching || c.now-t.PlacedAt > fetchesAtMost*j.FetchTime(m.FetchRate)) {
			c.stop(j, i, stopGang, 0) // it was left to fetch its image
		}
		if j.Outcome != "" && t.StopReason == "" {
			t.StopReason, t.StopRequestedAt = j.Outcome, c.now
		}
		if t.StopReason != "" {
			order.Op, order.Grace = "stop", t.Grace
			orders = append(orders, order)
		}
	}
	return append(orders, c.warmOrder(m, warmListed)...), ended
}

func (c *Core) progress(m *fleet.Machine, j *jobstate.Job, t *jobstate.Task, state string) {
	p := jobstate.Fetching
	switch state {
	case "waiting":
		p = jobstate.Waiting
	case "running":
		p = jobstate.Running
		if t.StartedAt == 0 {
			t.StartedAt = c.now
			c.log.Debug("running", "class", j.Class, "job", j.ID, "machine", m.Name, "after_s", float64(c.now-t.PlacedAt)/1e6, "known_s", float64(c.now-j.ReadyAt)/1e6)
		}
	case "saving":
		p = jobstate.Checkpointing
	}
	if p != t.Phase {
		if p == jobstate.Fetching {
			m.RecordImageFetch(j.Image, j.ImageMB, c.now)
		} else {
			m.RecordImageUse(j.Image, j.ImageMB, c.now)
		}
		j.SetPhase(t, p)
		c.lead.planWanted = true
	}
}

// missing goes through the placements that the worker does not list: it is
// told to run what is stored, and what can't be there any more is cleared.
func (c *Core) missing(m *fleet.Machine, r *Report, orders []Order) []Order {
	if len(m.Placed) == 0 {
		return orders
	}
	listed := make(map[string]uint64, len(r.Tasks))
	for k := range r.Tasks {
		listed[r.Tasks[k].Name] = r.Tasks[k].Attempt
	}
	var runs, lost, never []fleet.TaskRef
	for ref := range m.Placed {
		j, t := ref.Job, ref.Job.Task(ref.Index)
		name := jobstate.TaskName(j.ID, ref.Index)
		if a, ok := listed[name]; ok && a == uint64(t.Attempt) {
			continue
		}
		switch {
		case m.SeqRestarted() && (t.Confirmed || t.StopReason != "" && t.StartSent):
			// It is asked, see unsettled.
		case t.Confirmed && m.HasCurrentToken:
			// It was here and is gone: a new session has killed it.
			lost = append(lost, ref)
		case t.StopReason != "" && (m.HasCurrentToken || !t.StartSent):
			// The order was dropped, or never given: had the worker taken
			// it, this later report would list the task.
			never = append(never, ref)
		case t.StopReason == "" && j.Outcome == "" && t.Stored && c.sure():
			runs = append(runs, ref)
		}
	}
	c.clearAbsent(lost, never)
	sortRefs(runs)
	for _, ref := range runs {
		t := ref.Job.Task(ref.Index)
		if t.Machine != m.Name || t.StopReason != "" {
			continue // the rest of its gang was lost just now
		}
		t.StartSent = true
		orders = append(orders, Order{Op: "start", Task: jobstate.TaskName(ref.Job.ID, ref.Index), Attempt: t.Attempt})
	}
	return orders
}

// taskDone notes a completed task; the tasks of a gang complete together.
func (c *Core) taskDone(j *jobstate.Job, i int) {
	if j.Kind == jobstate.Gang {
		for k := range j.Tasks {
			j.SetDone(k, c.now)
		}
	} else {
		j.SetDone(i, c.now)
	}
	c.mark(j)
}

// exited handles the end of a placed attempt.
func (c *Core) exited(m *fleet.Machine, j *jobstate.Job, i int, tr *TaskReport) {
	t := j.Task(i)
	stopped := t.StopReason
	c.log.Debug("exited", "class", j.Class, "task", tr.Name, "attempt", tr.Attempt, "machine", m.Name, "why", tr.Why, "stopped", stopped,
		"ran_s", float64(c.now-t.StartedAt)/1e6, "estimate_s", float64(j.Estimate)/1e6)
	if t.Trial && stopped == stopTrial {
		j.SetTrialDone(c.now)
	}
	switch tr.Why {
	case "done", "error", "alone":
		m.RecordImageUse(j.Image, j.ImageMB, c.now) // it had it
	}
	c.clear(j, i)
	switch tr.Why {
	case "done":
		clear(m.FailedJobs)
		return
	case "error":
		j.Failures++
		// A bad submission fails everywhere; it comes back more and more
		// seldom, so that it harms nobody.
		j.NotBefore = c.now + min(int64(j.Failures)*2*second, 30*second)
		c.suspect(m, j)
	case "no_room", "busy", "unknown":
		j.NotBefore = c.now + second
	}
	if j.Kind == jobstate.Gang && j.Outcome == "" {
		c.breakGang(j, tr.Why == "alone")
	}
}

// lost handles a task that is proven to be gone without an exit.
func (c *Core) lost(j *jobstate.Job, i int) {
	c.log.Debug("attempt lost", "job", j.ID, "task", i, "machine", j.Task(i).Machine)
	c.clear(j, i)
	if j.Kind == jobstate.Gang && j.Outcome == "" {
		c.breakGang(j, false)
	}
}

// fetchesAtMost is how many times as long as it should take the fetch of an
// image may go on after its gang was given up.
const fetchesAtMost = 4

// breakGang ends what is left of a gang's attempt; the next one begins when
// all of its tasks are gone. If it was only incomplete for too long, those that
// still fetch the image go on until they have it: stopped, they would begin
// the fetch anew with the next attempt, which would be incomplete as well, and
// so on for ever where a machine fetches slowly and the others have the image.
func (c *Core) breakGang(j *jobstate.Job, incomplete bool) {
	if j.NumDone == j.Tasks {
		return
	}
	j.EachPlaced(func(i int, t *jobstate.Task) {
		if !t.StartSent {
			c.clear(j, i)
			return
		}
		if t.StopReason == "" && !(incomplete && t.Phase == jobstate.Fetching) {
			c.stop(j, i, stopGang, 0)
		}
	})
}

// suspect counts failures of different jobs on a machine: a faulty machine
// fails everything, a faulty job fails everywhere.
func (c *Core) suspect(m *fleet.Machine, j *jobstate.Job) {
	if j.FailedOn == nil {
		j.FailedOn = map[string]bool{}
	}
	j.FailedOn[m.Name] = true
	if len(j.FailedOn) > badMachines {
		// It is the job: two such must not have every machine drained.
		for _, o := range c.lead.fleet.All() {
			delete(o.FailedJobs, j.ID)
		}
		return
	}
	m.FailedJobs[j.ID] = true
	if len(m.FailedJobs) >= 2 && !m.Draining {
		c.log.Info("machine looks faulty, draining it", "machine", m.Name, "jobs", len(m.FailedJobs))
		m.Draining = true
		m.MarkChanged()
		c.drain(m, 0)
	}
}

// badMachines is on how many machines a job may fail before the job itself is
// taken to be the cause.
const badMachines = 2

// Reasons for which attempts are stopped.
const (
	stopTrial   = "trial"
	stopGang    = "gang"
	stopDrain   = "drain"
	stopPreempt = "preempt"
)

// drain stops what is on a machine that is to go, with time to save where
// the notice leaves it.
func (c *Core) drain(m *fleet.Machine, notice int64) {
	refs := make([]fleet.TaskRef, 0, len(m.Placed))
	for ref := range m.Placed {
		refs = append(refs, ref)
	}
	sortRefs(refs)
	for _, ref := range refs {
		j := ref.Job
		if j.Outcome != "" || j.Task(ref.Index) == nil || j.Task(ref.Index).Machine != m.Name {
			continue
		}
		if j.Checkpoint == 0 && notice > 0 && c.endsWithin(j, j.Task(ref.Index), notice) {
			continue
		}
		c.stopOrderly(j, ref.Index, stopDrain)
	}
	c.lead.planWanted = true
}

func (c *Core) endsWithin(j *jobstate.Job, t *jobstate.Task, d int64) bool {
	return t.StartedAt != 0 && t.StartedAt+j.Estimate < c.now+d*3/4
}

// stopOrderly stops a task, or the whole gang, with time to save.
func (c *Core) stopOrderly(j *jobstate.Job, i int, why string) {
	c.stopWith(j, i, why, saveGrace(j))
}

// saveGrace is long enough for a task to save, if it can.
func saveGrace(j *jobstate.Job) int64 {
	if j.Checkpoint > 0 {
		return j.Save*3/2 + second
	}
	return 0
}

func (c *Core) stopWith(j *jobstate.Job, i int, why string, grace int64) {
	if j.Kind != jobstate.Gang {
		c.stopOne(j, i, why, grace)
		return
	}
	j.EachPlaced(func(i int, _ *jobstate.Task) { c.stopOne(j, i, why, grace) })
}

func (c *Core) stopOne(j *jobstate.Job, i int, why string, grace int64) {
	t := j.Task(i)
	if !t.StartSent {
		c.clear(j, i)
		return
	}
	if t.StopReason == "" {
		c.stop(j, i, why, grace)
	}
}

// direct sends a stop to the worker's own address, which is faster than its
// next report. That is safe however late it arrives: an attempt that was
// once told to stop is never wanted again. One of a job that is over may be sent
// even by a leader that was replaced and does not know.
func (c *Core) direct(j *jobstate.Job, i int) {
	t := j.Task(i)
	m := c.lead.fleet.Get(t.Machine)
	if m == nil || m.Addr == "" || m.Epoch == 0 || !c.mayStop(j, t) {
		return
	}
	c.lead.directs[m.Name] = append(c.lead.directs[m.Name], Order{Op: "stop", Task: jobstate.TaskName(j.ID, i), Attempt: t.Attempt, Grace: t.Grace})
}

// directMost is how many orders go to a machine at once.
const directMost = 200

// sendDirect sends a machine's orders together: hundreds of tasks may be stopped
// in one moment, and each message takes a connection.
func (c *Core) sendDirect() {
	for _, name := range inOrder(c.lead.directs) {
		m := c.lead.fleet.Get(name)
		if m == nil {
			continue
		}
		for orders := range slices.Chunk(c.lead.directs[name], directMost) {
			c.emit(Direct{Addr: m.Addr, Token: c.lead.token, Session: m.Epoch, Orders: orders})
		}
	}
	clear(c.lead.directs)
}
