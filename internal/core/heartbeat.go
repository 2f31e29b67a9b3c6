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
	redirectReturnTime = 15 * second
	keepWorkerTime     = 60 * second
)

// redirect is when a worker was last sent elsewhere, until when it is not
// sent elsewhere again, and when it was last served here.
type redirect struct{ sentAt, keepUntil, servedAt int64 }

func (c *Core) machine(name string) *fleet.Machine {
	m := c.leadership.fleet.Get(name)
	if m == nil {
		m = fleet.NewMachine(name, c.now)
		if c.now == c.leadership.since {
			// An earlier leader may go on answering it for the hold time.
			m.LastAnswer = c.now + c.settings.LeaderAuthorityTime()
		}
		if r, ok := c.leadership.departed.byName[name]; ok {
			// Copies of its reports may still come: they are not news.
			m.Epoch, m.Seq = r.epoch, r.seq
		}
		c.restoreKnownImages(m)
		c.leadership.fleet.Add(m)
	}
	return m
}

// onHeartbeat routes a report to the one who decides: the partition's holder
// takes it from the worker and hands it to the leader.
func (c *Core) onHeartbeat(b HeartbeatReceived) {
	name := b.Heartbeat.Machine
	at := connectivity.Machine{Name: name, Addr: b.Heartbeat.Addr, Zone: b.Heartbeat.Zone}
	if b.From == "" {
		c.connectivity.Workers.RecordHeartbeat(at, b.Heartbeat.Epoch, b.Heartbeat.Seq, c.now)
	} else {
		c.connectivity.RecordInbound(b.From, c.now)
		c.connectivity.Workers.Add(at, c.now)
	}
	if c.leadership != nil {
		holder := c.partitions.Holder(name)
		if b.From == "" && holder != "" && holder != c.settings.Name && c.connectivity.PeerUp(holder, c.now) && !c.connectivity.CannotReachZone(holder, b.Heartbeat.Zone) && c.mayRedirect(&b.Heartbeat, c.leadership.token) {
			c.emit(Reply{RequestID: b.RequestID, Status: 421, Leader: holder})
			return
		}
		c.noteServedHere(name, b.From)
		c.handleHeartbeat(b)
		return
	}
	c.noteNewestLeader(c.leader)
	leader := c.newestLeader.Name
	up := leader != "" && leader != c.settings.Name && c.connectivity.PeerUp(leader, c.now)
	if b.From != "" {
		if b.ViaPeer && up {
			c.emit(RelayHeartbeat{RequestID: b.RequestID, To: leader, Heartbeat: b.Heartbeat})
			return
		}
		c.emit(Reply{RequestID: b.RequestID, Status: 503, Error: "not leading"})
		return
	}
	if !up {
		c.redirectFromLeaderless(b, leader)
		return
	}
	if c.holdsPartition(name) || c.connectivity.CannotReachZone(leader, b.Heartbeat.Zone) || !c.mayRedirect(&b.Heartbeat, c.newestLeader.Token) {
		c.noteServedHere(name, "")
		c.emit(RelayHeartbeat{RequestID: b.RequestID, To: leader, Heartbeat: b.Heartbeat})
		return
	}
	to := c.partitions.Holder(name)
	if to == "" || to == c.settings.Name || !c.connectivity.PeerUp(to, c.now) || c.connectivity.CannotReachZone(to, b.Heartbeat.Zone) {
		to = leader
	}
	c.emit(Reply{RequestID: b.RequestID, Status: 421, Leader: to})
}

// redirectFromLeaderless handles a report that can't be handed to the leader. Its worker is sent
// to a controller that can do that, or to the leader itself where that reaches
// the worker's zone; one that comes back can reach neither, and its report goes
// by way of another controller.
func (c *Core) redirectFromLeaderless(b HeartbeatReceived, leader string) {
	if c.settings.Ops.Reach && leader != "" && leader != c.settings.Name {
		way := c.connectivity.RelayTo(leader)
		to := way
		if to == "" && !c.stateUnavailable() && c.connectivity.ReachesZone(leader, b.Heartbeat.Zone) {
			to = leader // by its stored word, which is as old as the mirror
		}
		switch {
		case to != "" && c.mayRedirect(&b.Heartbeat, c.newestLeader.Token):
			c.emit(Reply{RequestID: b.RequestID, Status: 421, Leader: to})
			return
		case way != "":
			c.noteServedHere(b.Heartbeat.Machine, "")
			c.emit(RelayHeartbeat{RequestID: b.RequestID, To: way, Heartbeat: b.Heartbeat, ViaPeer: true})
			return
		}
	}
	c.emit(Reply{RequestID: b.RequestID, Status: 503, Error: "no leader known"})
}

// holdsPartition says whether this controller holds the lease of a machine's partition.
func (c *Core) holdsPartition(name string) bool {
	return c.partitions.Holder(name) == c.settings.Name && c.partitions.FencingToken == c.leader.Token && c.now-c.partitionsReadAt < c.partitions.LeaseDuration
}

// noteServedHere notes that a worker's report is taken here.
func (c *Core) noteServedHere(name, from string) {
	if from == "" {
		r := c.redirects[name]
		r.servedAt = c.now
		c.redirects[name] = r
	}
}

// mayRedirect says whether a worker is to be sent to its holder.
func (c *Core) mayRedirect(rep *Heartbeat, token uint64) bool {
	r := c.redirects[rep.Machine]
	if c.now < r.keepUntil {
		return false
	}
	// One that has orders of this leader, and not from here, has left its
	// holder for a reason.
	left := rep.FencingToken == token && (r.servedAt == 0 || c.now-r.servedAt > redirectReturnTime)
	if left || r.sentAt != 0 && c.now-r.sentAt < redirectReturnTime {
		r.keepUntil = c.now + keepWorkerTime
		c.redirects[rep.Machine] = r
		return false
	}
	r.sentAt = c.now
	c.redirects[rep.Machine] = r
	return true
}

func (c *Core) onHeartbeatRelayed(m HeartbeatRelayed) {
	a := m.Answer
	if m.Err != nil {
		a = Reply{Status: 503, Error: "the leader does not answer"}
	}
	a.RequestID = m.RequestID
	c.emit(a)
}

// handleHeartbeat takes one report and answers with orders.
func (c *Core) handleHeartbeat(b HeartbeatReceived) {
	l, r := c.leadership, &b.Heartbeat
	refuse := func(why string) { c.emit(Reply{RequestID: b.RequestID, Status: 503, Error: why}) }
	if !c.mayAnswerWorkers() {
		refuse("no proof of leadership")
		return
	}
	if r.FencingToken > l.token {
		// There is a newer leader somewhere; the state will say so.
		c.emit(ReadState{AfterRevision: c.appliedRevision})
		refuse("a newer token exists")
		return
	}
	if l.departed.wasReturned(r.Machine) {
		// The machine is gone for certain, so this was sent long ago.
		refuse("a report of a machine that was returned")
		return
	}
	m := c.machine(r.Machine)
	if !m.IsNewer(r.Epoch, r.Seq) || !m.Plausible(r.Epoch, r.Seq, c.now) {
		c.probeOutdated(m, r.Addr)
		refuse("an older report")
		return
	}
	c.judgeDelivery(m, r)
	via := b.From
	if via == "" {
		via = c.settings.Name
	}
	l.lastHeartbeatVia[via] = c.now
	first := m.LastHeartbeat == 0
	newSession := r.Epoch != m.Epoch
	c.releaseReply(r.Machine, false)
	m.Epoch, m.Seq, m.LastHeartbeat = r.Epoch, r.Seq, c.now
	m.Addr, m.Zone, m.Spot = r.Addr, r.Zone, r.Spot
	m.MarkChanged()
	if m.Type != r.Type || m.Cap == (jobstate.Resources{}) {
		m.Type = r.Type
		m.SetType(c.machineTypes)
	}
	// A worker that knew the token when it sent the report takes no orders
	// of an earlier leader any more: only then does it prove what is absent.
	wasFresh := m.HasCurrentToken
	m.HasCurrentToken = r.FencingToken == l.token
	if first || newSession || !wasFresh && m.HasCurrentToken {
		l.planWanted = true
	}
	if r.PreemptionNotice >= 0 && m.ReclaimAt == 0 {
		m.ReclaimAt = c.now + r.PreemptionNotice
		c.log.Info("spot notice", "machine", m.Name, "seconds", r.PreemptionNotice/second)
		c.drainMachine(m, r.PreemptionNotice)
	}
	if c.needsProbe(m, r) {
		refuse("what is on the machine has to be asked")
		return
	}
	m.LastAnswer = c.now
	orders, ended := c.reconcileListed(m, r)
	orders = c.reconcileMissing(m, r, orders)
	if wait := c.holdTime(m, orders, ended); wait > 0 && c.mayPark(b.From) {
		l.heldHeartbeats.hold(m, heldHeartbeat{requestID: b.RequestID, heartbeat: *r, until: c.now + wait, by: b.From})
		return
	}
	c.answerHeartbeat(m, b.RequestID, orders)
}

// answerHeartbeat gives orders in the answer to a report. What of them takes effect shows
// whether the machine hears.
func (c *Core) answerHeartbeat(m *fleet.Machine, req uint64, orders []Command) {
	m.Delivery.SentCommands = m.Delivery.SentCommands[:0]
	for _, o := range orders {
		if o.Op != "stop" {
			m.Delivery.SentCommands = append(m.Delivery.SentCommands, fleet.SentCommand{Task: o.Task, Attempt: o.Attempt, Forget: o.Op == "forget"})
		}
	}
	c.emit(Reply{RequestID: req, Status: 200, FencingToken: c.leadership.token, Commands: orders})
}

// How long an answer may wait. The worker gives up on it after 4 s and tells
// nothing new meanwhile, so only a machine without tasks waits for long.
const (
	holdIdle      = 3 * second
	holdAfterExit = 400_000
)

func (c *Core) holdTime(m *fleet.Machine, orders []Command, ended bool) int64 {
	for _, o := range orders {
		if o.Op != "forget" {
			return 0
		}
	}
	switch {
	case !m.HasCurrentToken || m.Draining || m.ReclaimAt != 0:
		return 0
	case ended:
		return holdAfterExit
	case len(m.Placed) == 0 && len(orders) == 0 && m.OrphanUsage == (jobstate.Resources{}):
		return min(holdIdle, config.MicrosOf(c.settings.Workers.ReportS)*3/4)
	}
	return 0
}

// releaseReadyReplies answers the parked reports for which there are orders now, or
// whose time is up.
//
// It is called after what may have made orders and with the ticks, and not
// after every message.
func (c *Core) releaseReadyReplies() {
	c.leadership.releaseWanted = false
	for _, name := range c.leadership.heldHeartbeats.ready(c.now, func(name string) bool {
		m := c.leadership.fleet.Get(name)
		return m != nil && hasCommands(m)
	}) {
		c.releaseReply(name, true)
	}
}

// hasCommands says whether an answer to a machine's report would have orders.
func hasCommands(m *fleet.Machine) bool {
	for ref := range m.Placed {
		if t := ref.Job.Task(ref.Index); t.Stored && !t.StartSent || t.StopReason != "" {
			return true
		}
	}
	return m.Prefetch != nil && !m.Prefetch.Sent
}

// releaseReply answers a parked report, with orders unless a newer one has come.
func (c *Core) releaseReply(name string, answer bool) {
	p, ok := c.leadership.heldHeartbeats.take(name)
	if !ok {
		return
	}
	m := c.leadership.fleet.Get(name)
	if m != nil {
		m.MarkChanged() // orders for it wait for its next report now
	}
	if !answer || m == nil || !c.mayAnswerWorkers() {
		c.emit(Reply{RequestID: p.requestID, Status: 503, Error: "an older report"})
		return
	}
	m.LastAnswer = c.now
	orders, _ := c.reconcileListed(m, &p.heartbeat)
	orders = c.reconcileMissing(m, &p.heartbeat, orders)
	c.answerHeartbeat(m, p.requestID, orders)
}

// reconcileListed goes through the tasks that the worker lists; ended says that a
// placed attempt has come to its end.
func (c *Core) reconcileListed(m *fleet.Machine, r *Heartbeat) (orders []Command, ended bool) {
	m.OrphanUsage = jobstate.Resources{}
	warmListed := false
	for k := range r.Tasks {
		tr := &r.Tasks[k]
		if w := m.Prefetch; w != nil && w.Task == tr.Name && uint64(w.Attempt) == tr.Attempt {
			warmListed = true
			orders = append(orders, c.reconcilePrefetch(m, tr)...)
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
		order := Command{Task: tr.Name, Attempt: uint32(tr.Attempt)}
		mine := t != nil && t.Machine == m.Name && uint64(t.Attempt) == tr.Attempt
		if tr.State == "exited" {
			if t != nil && j.Outcome == "" && tr.Reason == "done" {
				c.taskDone(j, i)
			}
			if mine {
				t.Confirmed, ended = true, true
				c.taskExited(m, j, i, tr)
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
		c.noteTaskPhase(m, j, t, tr.State)
		if j.IsPartiallyPlaced() && t.StopReason == "" && (t.Phase != jobstate.Fetching || c.now-t.PlacedAt > abandonedFetchFactor*j.FetchTime(m.FetchRate)) {
			c.requestStop(j, i, stopGang, 0) // it was left to fetch its image
		}
		if j.Outcome != "" && t.StopReason == "" {
			t.StopReason, t.StopRequestedAt = j.Outcome, c.now
		}
		if t.StopReason != "" {
			order.Op, order.Grace = "stop", t.Grace
			orders = append(orders, order)
		}
	}
	return append(orders, c.prefetchCommand(m, warmListed)...), ended
}

func (c *Core) noteTaskPhase(m *fleet.Machine, j *jobstate.Job, t *jobstate.Task, state string) {
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
		c.leadership.planWanted = true
	}
}

// reconcileMissing goes through the placements that the worker does not list: it is
// told to run what is stored, and what can't be there any more is cleared.
func (c *Core) reconcileMissing(m *fleet.Machine, r *Heartbeat, orders []Command) []Command {
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
		case t.StopReason == "" && j.Outcome == "" && t.Stored && c.mayStartTasks():
			runs = append(runs, ref)
		}
	}
	c.clearGone(lost, never)
	sortRefs(runs)
	for _, ref := range runs {
		t := ref.Job.Task(ref.Index)
		if t.Machine != m.Name || t.StopReason != "" {
			continue // the rest of its gang was lost just now
		}
		t.StartSent = true
		orders = append(orders, Command{Op: "start", Task: jobstate.TaskName(ref.Job.ID, ref.Index), Attempt: t.Attempt})
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
	c.markDirty(j)
}

// taskExited handles the end of a placed attempt.
func (c *Core) taskExited(m *fleet.Machine, j *jobstate.Job, i int, tr *TaskStatus) {
	t := j.Task(i)
	stopped := t.StopReason
	c.log.Debug("exited", "class", j.Class, "task", tr.Name, "attempt", tr.Attempt, "machine", m.Name, "why", tr.Reason, "stopped", stopped,
		"ran_s", float64(c.now-t.StartedAt)/1e6, "estimate_s", float64(j.Estimate)/1e6)
	if t.Trial && stopped == stopTrial {
		j.SetTrialDone(c.now)
	}
	switch tr.Reason {
	case "done", "error", "alone":
		m.RecordImageUse(j.Image, j.ImageMB, c.now) // it had it
	}
	c.clearPlacement(j, i)
	switch tr.Reason {
	case "done":
		clear(m.FailedJobs)
		return
	case "error":
		j.Failures++
		// A bad submission fails everywhere; it comes back more and more
		// seldom, so that it harms nobody.
		j.NotBefore = c.now + min(int64(j.Failures)*2*second, 30*second)
		c.suspectMachine(m, j)
	case "no_room", "busy", "unknown":
		j.NotBefore = c.now + second
	}
	if j.Kind == jobstate.Gang && j.Outcome == "" {
		c.breakGang(j, tr.Reason == "alone")
	}
}

// taskLost handles a task that is proven to be gone without an exit.
func (c *Core) taskLost(j *jobstate.Job, i int) {
	c.log.Debug("attempt lost", "job", j.ID, "task", i, "machine", j.Task(i).Machine)
	c.clearPlacement(j, i)
	if j.Kind == jobstate.Gang && j.Outcome == "" {
		c.breakGang(j, false)
	}
}

// abandonedFetchFactor is how many times as long as it should take the fetch of an
// image may go on after its gang was given up.
const abandonedFetchFactor = 4

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
			c.clearPlacement(j, i)
			return
		}
		if t.StopReason == "" && !(incomplete && t.Phase == jobstate.Fetching) {
			c.requestStop(j, i, stopGang, 0)
		}
	})
}

// suspectMachine counts failures of different jobs on a machine: a faulty machine
// fails everything, a faulty job fails everywhere.
func (c *Core) suspectMachine(m *fleet.Machine, j *jobstate.Job) {
	if j.FailedOn == nil {
		j.FailedOn = map[string]bool{}
	}
	j.FailedOn[m.Name] = true
	if len(j.FailedOn) > minFailedMachines {
		// It is the job: two such must not have every machine drained.
		for _, o := range c.leadership.fleet.All() {
			delete(o.FailedJobs, j.ID)
		}
		return
	}
	m.FailedJobs[j.ID] = true
	if len(m.FailedJobs) >= 2 && !m.Draining {
		c.log.Info("machine looks faulty, draining it", "machine", m.Name, "jobs", len(m.FailedJobs))
		m.Draining = true
		m.MarkChanged()
		c.drainMachine(m, 0)
	}
}

// minFailedMachines is on how many machines a job may fail before the job itself is
// taken to be the cause.
const minFailedMachines = 2

// Reasons for which attempts are stopped.
const (
	stopTrial   = "trial"
	stopGang    = "gang"
	stopDrain   = "drain"
	stopPreempt = "preempt"
)

// drainMachine stops what is on a machine that is to go, with time to save where
// the notice leaves it.
func (c *Core) drainMachine(m *fleet.Machine, notice int64) {
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
		if j.Checkpoint == 0 && notice > 0 && c.finishesWithin(j, j.Task(ref.Index), notice) {
			continue
		}
		c.preemptGang(j, ref.Index, stopDrain)
	}
	c.leadership.planWanted = true
}

func (c *Core) finishesWithin(j *jobstate.Job, t *jobstate.Task, d int64) bool {
	return t.StartedAt != 0 && t.StartedAt+j.Estimate < c.now+d*3/4
}

// preemptGang stops a task, or the whole gang, with time to save.
func (c *Core) preemptGang(j *jobstate.Job, i int, why string) {
	c.stopAtCheckpoint(j, i, why, checkpointGrace(j))
}

// checkpointGrace is long enough for a task to save, if it can.
func checkpointGrace(j *jobstate.Job) int64 {
	if j.Checkpoint > 0 {
		return j.Save*3/2 + second
	}
	return 0
}

func (c *Core) stopAtCheckpoint(j *jobstate.Job, i int, why string, grace int64) {
	if j.Kind != jobstate.Gang {
		c.stopTask(j, i, why, grace)
		return
	}
	j.EachPlaced(func(i int, _ *jobstate.Task) { c.stopTask(j, i, why, grace) })
}

func (c *Core) stopTask(j *jobstate.Job, i int, why string, grace int64) {
	t := j.Task(i)
	if !t.StartSent {
		c.clearPlacement(j, i)
		return
	}
	if t.StopReason == "" {
		c.requestStop(j, i, why, grace)
	}
}

// queueDirectCommand sends a stop to the worker's own address, which is faster than its
// next report. That is safe however late it arrives: an attempt that was
// once told to stop is never wanted again. One of a job that is over may be sent
// even by a leader that was replaced and does not know.
func (c *Core) queueDirectCommand(j *jobstate.Job, i int) {
	t := j.Task(i)
	m := c.leadership.fleet.Get(t.Machine)
	if m == nil || m.Addr == "" || m.Epoch == 0 || !c.mayDeliverStop(j, t) {
		return
	}
	c.leadership.directCommands[m.Name] = append(c.leadership.directCommands[m.Name], Command{Op: "stop", Task: jobstate.TaskName(j.ID, i), Attempt: t.Attempt, Grace: t.Grace})
}

// maxDirectCommands is how many orders go to a machine at once.
const maxDirectCommands = 200

// sendDirectCommands sends a machine's orders together: hundreds of tasks may be stopped
// in one moment, and each message takes a connection.
func (c *Core) sendDirectCommands() {
	for _, name := range sortedKeys(c.leadership.directCommands) {
		m := c.leadership.fleet.Get(name)
		if m == nil {
			continue
		}
		for orders := range slices.Chunk(c.leadership.directCommands[name], maxDirectCommands) {
			c.emit(SendCommands{Addr: m.Addr, FencingToken: c.leadership.token, Epoch: m.Epoch, Commands: orders})
		}
	}
	clear(c.leadership.directCommands)
}
