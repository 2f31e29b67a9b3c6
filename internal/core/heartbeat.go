package core

import (
	"github.com/zinclb/zinclb/internal/config"
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

// heartbeatState is what the worker manager keeps while this controller leads.
type heartbeatState struct {
	held heldHeartbeats
	// releaseWanted: commands may have come for held heartbeats.
	releaseWanted bool
	departed      departedMachines
}

func newHeartbeatState() heartbeatState {
	return heartbeatState{held: newHeldHeartbeats(), departed: departedMachines{byName: map[string]departure{}}}
}

// workerManager handles the heartbeats of all workers at the leader and reconciles what they list with what is placed.
type workerManager struct {
	*engine

	cache      *stateCache
	elector    *elector
	prefetcher *prefetcher
	tasks      *taskManager
}

func (wm *workerManager) machine(name string) *fleet.Machine {
	m := wm.elector.leadership.fleet.Get(name)
	if m == nil {
		m = fleet.NewMachine(name, wm.now)
		if wm.now == wm.elector.leadership.since {
			// An earlier leader may go on answering it for the hold time.
			m.LastAnswer = wm.now + wm.settings.LeaderAuthorityTime()
		}
		if r, ok := wm.elector.leadership.heartbeats.departed.byName[name]; ok {
			// Copies of its reports may still come: they are not news.
			m.Epoch, m.Seq = r.epoch, r.seq
		}
		wm.prefetcher.restoreKnownImages(m)
		wm.elector.leadership.fleet.Add(m)
	}
	return m
}

// handleHeartbeat takes one report and answers with orders.
func (wm *workerManager) handleHeartbeat(b HeartbeatReceived) {
	l, r := wm.elector.leadership, &b.Heartbeat
	refuse := func(why string) { wm.emit(Reply{RequestID: b.RequestID, Status: 503, Error: why}) }
	if !wm.elector.mayAnswerWorkers() {
		refuse("no proof of leadership")
		return
	}
	if r.FencingToken > l.fencingToken {
		// There is a newer leader somewhere; the state will say so.
		wm.emit(ReadState{AfterRevision: wm.cache.appliedRevision})
		refuse("a newer token exists")
		return
	}
	if l.heartbeats.departed.wasReturned(r.Machine) {
		// The machine is gone for certain, so this was sent long ago.
		refuse("a report of a machine that was returned")
		return
	}
	m := wm.machine(r.Machine)
	if !m.IsNewer(r.Epoch, r.Seq) || !m.Plausible(r.Epoch, r.Seq, wm.now) {
		wm.probeOutdated(m, r.Addr)
		refuse("an older report")
		return
	}
	wm.judgeDelivery(m, r)
	via := b.From
	if via == "" {
		via = wm.settings.Name
	}
	l.partitions.recordHeartbeatVia(via, wm.now)
	first := m.LastHeartbeat == 0
	newSession := r.Epoch != m.Epoch
	wm.releaseReply(r.Machine, false)
	m.Epoch, m.Seq, m.LastHeartbeat = r.Epoch, r.Seq, wm.now
	m.Addr, m.Zone, m.Spot = r.Addr, r.Zone, r.Spot
	m.MarkChanged()
	if m.Type != r.Type || m.Cap == (jobstate.Resources{}) {
		m.Type = r.Type
		m.SetType(wm.cache.machineTypes)
	}
	// A worker that knew the token when it sent the report takes no orders
	// of an earlier leader any more: only then does it prove what is absent.
	wasFresh := m.HasCurrentToken
	m.HasCurrentToken = r.FencingToken == l.fencingToken
	if first || newSession || !wasFresh && m.HasCurrentToken {
		l.planning.requestRound()
	}
	if r.PreemptionNotice >= 0 && m.ReclaimAt == 0 {
		m.ReclaimAt = wm.now + r.PreemptionNotice
		wm.log.Info("spot notice", "machine", m.Name, "seconds", r.PreemptionNotice/second)
		wm.tasks.drainMachine(m, r.PreemptionNotice)
	}
	if wm.needsProbe(m, r) {
		refuse("what is on the machine has to be asked")
		return
	}
	m.LastAnswer = wm.now
	orders, ended := wm.reconcileListed(m, r)
	orders = wm.reconcileMissing(m, r, orders)
	if wait := wm.holdTime(m, orders, ended); wait > 0 && wm.mayPark(b.From) {
		l.heartbeats.held.hold(m, heldHeartbeat{requestID: b.RequestID, heartbeat: *r, until: wm.now + wait, by: b.From})
		return
	}
	wm.answerHeartbeat(m, b.RequestID, orders)
}

// answerHeartbeat gives orders in the answer to a report. What of them takes effect shows
// whether the machine hears.
func (wm *workerManager) answerHeartbeat(m *fleet.Machine, req uint64, orders []Command) {
	m.Delivery.SentCommands = m.Delivery.SentCommands[:0]
	for _, o := range orders {
		if o.Kind != CommandStop {
			m.Delivery.SentCommands = append(m.Delivery.SentCommands, fleet.SentCommand{Task: o.Task, Attempt: o.Attempt, Forget: o.Kind == CommandForget})
		}
	}
	wm.emit(Reply{RequestID: req, Status: 200, FencingToken: wm.elector.fencingToken(), Commands: orders})
}

// How long an answer may wait. The worker gives up on it after 4 s and tells
// nothing new meanwhile, so only a machine without tasks waits for long.
const (
	holdIdle      = 3 * second
	holdAfterExit = 400_000
)

func (wm *workerManager) holdTime(m *fleet.Machine, orders []Command, ended bool) int64 {
	for _, o := range orders {
		if o.Kind != CommandForget {
			return 0
		}
	}
	switch {
	case !m.HasCurrentToken || m.Draining || m.ReclaimAt != 0:
		return 0
	case ended:
		return holdAfterExit
	case len(m.Placed) == 0 && len(orders) == 0 && m.OrphanUsage == (jobstate.Resources{}):
		return min(holdIdle, config.MicrosOf(wm.settings.Workers.ReportS)*3/4)
	}
	return 0
}

// releaseReadyReplies answers the parked reports for which there are orders now, or
// whose time is up.
//
// It is called after what may have made orders and with the ticks, and not
// after every message.
func (wm *workerManager) releaseReadyReplies() {
	wm.elector.leadership.heartbeats.releaseWanted = false
	for _, name := range wm.elector.leadership.heartbeats.held.ready(wm.now, func(name string) bool {
		m := wm.elector.leadership.fleet.Get(name)
		return m != nil && hasCommands(m)
	}) {
		wm.releaseReply(name, true)
	}
}

// hasCommands says whether an answer to a machine's report would have orders.
func hasCommands(m *fleet.Machine) bool {
	for ref := range m.Placed {
		if t := ref.Job.Task(ref.Index); t.Stored && !t.StartSent || t.IsStopping() {
			return true
		}
	}
	return m.Prefetch != nil && !m.Prefetch.Sent
}

// releaseReply answers a parked report, with orders unless a newer one has come.
func (wm *workerManager) releaseReply(name string, answer bool) {
	p, ok := wm.elector.leadership.heartbeats.held.take(name)
	if !ok {
		return
	}
	m := wm.elector.leadership.fleet.Get(name)
	if m != nil {
		m.MarkChanged() // orders for it wait for its next report now
	}
	if !answer || m == nil || !wm.elector.mayAnswerWorkers() {
		wm.emit(Reply{RequestID: p.requestID, Status: 503, Error: "an older report"})
		return
	}
	m.LastAnswer = wm.now
	orders, _ := wm.reconcileListed(m, &p.heartbeat)
	orders = wm.reconcileMissing(m, &p.heartbeat, orders)
	wm.answerHeartbeat(m, p.requestID, orders)
}

// reconcileListed goes through the tasks that the worker lists; ended says that a
// placed attempt has come to its end.
func (wm *workerManager) reconcileListed(m *fleet.Machine, r *Heartbeat) (orders []Command, ended bool) {
	m.OrphanUsage = jobstate.Resources{}
	warmListed := false
	for k := range r.Tasks {
		tr := &r.Tasks[k]
		if w := m.Prefetch; w != nil && w.Task == tr.Name && uint64(w.Attempt) == tr.Attempt {
			warmListed = true
			orders = append(orders, wm.prefetcher.reconcilePrefetch(m, tr)...)
			continue
		}
		id, i, err := jobstate.ParseTaskName(tr.Name)
		if err != nil {
			continue
		}
		j := wm.cache.jobs[id]
		var t *jobstate.Task
		if j != nil {
			t = j.Task(i)
		}
		order := Command{Task: tr.Name, Attempt: uint32(tr.Attempt)}
		mine := t != nil && t.Machine == m.Name && uint64(t.Attempt) == tr.Attempt
		if tr.State == TaskExited {
			if t != nil && j.Outcome == "" && tr.Reason == ExitDone {
				wm.tasks.taskDone(j, i)
			}
			if mine {
				t.Confirmed, ended = true, true
				wm.tasks.taskExited(m, j, i, tr)
			}
			// The exit must be stored first: a run could follow from the
			// stored placement, and would start the task again.
			if t == nil || j.Outcome != "" || j.IsTaskStored(i) {
				order.Kind = CommandForget
				orders = append(orders, order)
			}
			continue
		}
		if !mine {
			order.Kind = CommandStop
			orders = append(orders, order)
			if j != nil {
				m.OrphanUsage = m.OrphanUsage.Add(j.Need)
			}
			continue
		}
		t.Confirmed, t.StartSent = true, true
		wm.noteTaskPhase(m, j, t, tr.State)
		if j.IsPartiallyPlaced() && !t.IsStopping() && (t.Phase != jobstate.Fetching || wm.now-t.PlacedAt > abandonedFetchFactor*j.FetchTime(m.FetchRate)) {
			wm.tasks.requestStop(j, i, jobstate.StopGang, 0) // it was left to fetch its image
		}
		if j.Outcome != "" && !t.IsStopping() {
			t.StopReason, t.StopRequestedAt = j.OutcomeStopReason(), wm.now
		}
		if t.IsStopping() {
			order.Kind, order.Grace = CommandStop, t.Grace
			orders = append(orders, order)
		}
	}
	return append(orders, wm.prefetcher.prefetchCommand(m, warmListed)...), ended
}

func (wm *workerManager) noteTaskPhase(m *fleet.Machine, j *jobstate.Job, t *jobstate.Task, state TaskState) {
	p := jobstate.Fetching
	switch state {
	case TaskWaiting:
		p = jobstate.Waiting
	case TaskRunning:
		p = jobstate.Running
		if t.StartedAt == 0 {
			t.StartedAt = wm.now
			wm.log.Debug("running", "class", j.Class, "job", j.ID, "machine", m.Name, "after_s", float64(wm.now-t.PlacedAt)/1e6, "known_s", float64(wm.now-j.ReadyAt)/1e6)
		}
	case TaskCheckpointing:
		p = jobstate.Checkpointing
	}
	if p != t.Phase {
		if p == jobstate.Fetching {
			m.RecordImageFetch(j.Image, j.ImageMB, wm.now)
		} else {
			m.RecordImageUse(j.Image, j.ImageMB, wm.now)
		}
		j.SetPhase(t, p)
		wm.elector.leadership.planning.requestRound()
	}
}

// reconcileMissing goes through the placements that the worker does not list: it is
// told to run what is stored, and what can't be there any more is cleared.
func (wm *workerManager) reconcileMissing(m *fleet.Machine, r *Heartbeat, orders []Command) []Command {
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
		case m.SeqRestarted() && (t.Confirmed || t.IsStopping() && t.StartSent):
			// It is asked, see unsettled.
		case t.Confirmed && m.HasCurrentToken:
			// It was here and is gone: a new session has killed it.
			lost = append(lost, ref)
		case t.IsStopping() && (m.HasCurrentToken || !t.StartSent):
			// The order was dropped, or never given: had the worker taken
			// it, this later report would list the task.
			never = append(never, ref)
		case !t.IsStopping() && j.Outcome == "" && t.Stored && wm.elector.mayStartTasks():
			runs = append(runs, ref)
		}
	}
	wm.tasks.clearGone(lost, never)
	sortRefs(runs)
	for _, ref := range runs {
		t := ref.Job.Task(ref.Index)
		if t.Machine != m.Name || t.IsStopping() {
			continue // the rest of its gang was lost just now
		}
		t.StartSent = true
		orders = append(orders, Command{Kind: CommandStart, Task: jobstate.TaskName(ref.Job.ID, ref.Index), Attempt: t.Attempt})
	}
	return orders
}

// abandonedFetchFactor is how many times as long as it should take the fetch of an
// image may go on after its gang was given up.
const abandonedFetchFactor = 4

// minFailedMachines is on how many machines a job may fail before the job itself is
// taken to be the cause.
const minFailedMachines = 2

// checkpointGrace is long enough for a task to save, if it can.
func checkpointGrace(j *jobstate.Job) int64 {
	if j.Checkpoint > 0 {
		return j.Save*3/2 + second
	}
	return 0
}

// maxDirectCommands is how many orders go to a machine at once.
const maxDirectCommands = 200
