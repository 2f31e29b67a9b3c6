package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// What a report proves, and of when, is a table in docs/design.md. In short: it
// was sent at some time, by a machine that may not hear. A copy of one comes
// late, so its number has to be the newest, and the machine not be gone.

// departedMachines are the machines that a leader has forgotten. Copies of their reports
// may still come, and would bring back a machine that is not there.
type departedMachines struct {
	byName    map[string]departure
	expiredAt int64
}

// departure is the newest report of a machine that is forgotten; returned says
// that the cloud has answered its release, so that it is gone for certain.
type departure struct {
	epoch, seq uint64
	returned   bool
	at         int64
}

// departedRetention is how long a machine's departure is remembered: copies of reports
// come well over a lease late.
const departedRetention = 900 * second

func (d *departedMachines) note(name string, r Heartbeat, returned bool, now int64) {
	old := d.byName[name]
	d.byName[name] = departure{max(old.epoch, r.Epoch), max(old.seq, r.Seq), old.returned || returned, now}
	if now-d.expiredAt > departedRetention/8 {
		d.expiredAt = now
		for n, x := range d.byName {
			if now-x.at > departedRetention {
				delete(d.byName, n)
			}
		}
	}
}

// wasReturned says whether a machine is gone for certain.
func (d *departedMachines) wasReturned(name string) bool { return d.byName[name].returned }

// judgeDelivery judges by a new report whether its machine hears what it is told.
func (wm *workerManager) judgeDelivery(m *fleet.Machine, r *Heartbeat) {
	h := &m.Delivery
	deaf := false
	if m.Epoch != 0 && r.Epoch > m.Epoch && wm.now-m.LastAnswer < config.MicrosOf(wm.settings.Workers.LeaseS)*3/4 {
		// It has ended its session for want of answers, and was given some.
		deaf = h.RecordMissedAnswer(wm.now)
	} else if r.Epoch == m.Epoch {
		wasDeaf := h.CannotReceive
		deaf = h.RecordHeartbeat(func(task string, attempt uint32) bool { return listsAttempt(r, task, attempt) }, wm.now)
		if wasDeaf && !h.CannotReceive {
			wm.deliveryRestored(m)
		}
	}
	h.SentCommands = h.SentCommands[:0]
	if deaf {
		wm.log.Info("a machine reports and does not hear", "machine", m.Name, "tasks", len(m.Placed))
		m.MarkChanged()
		wm.abandonUnacknowledged(m)
	}
}

// abandonUnacknowledged takes back what a deaf machine was told to start and has not shown. It is
// cleared when a later report does not have it either, as any attempt that is to
// stop; what the machine has shown stays on it until its lease has run out.
func (wm *workerManager) abandonUnacknowledged(m *fleet.Machine) {
	var refs []fleet.TaskRef
	for ref := range m.Placed {
		if t := ref.Job.Task(ref.Index); !t.Confirmed && !t.IsStopping() {
			refs = append(refs, ref)
		}
	}
	sortRefs(refs)
	for _, ref := range refs {
		wm.tasks.requestStop(ref.Job, ref.Index, jobstate.StopNotReceiving, 0)
		if ref.Job.Kind == jobstate.Gang && ref.Job.Outcome == "" {
			wm.tasks.breakGang(ref.Job, false) // it would wait for this one in vain
		}
	}
}

func (wm *workerManager) deliveryRestored(m *fleet.Machine) {
	wm.log.Info("a deaf machine hears again", "machine", m.Name)
	m.MarkChanged()
	wm.elector.leadership.planning.requestRound()
}

// maxDeliveryProbes bounds the machines that are asked in a tick.
const maxDeliveryProbes = 8

// probeNotReceiving asks deaf machines whether they hear by now, and has those tried that
// can't be asked.
func (wm *workerManager) probeNotReceiving() {
	asked := 0
	for _, m := range wm.elector.leadership.fleet.All() {
		if !m.Delivery.CannotReceive {
			continue
		}
		if m.Delivery.RetryDue(wm.now) {
			wm.deliveryRestored(m)
		} else if asked < maxDeliveryProbes && m.BeginProbe(wm.now) {
			asked++
			wm.emit(ProbeMachine{Machine: m.Name, Addr: m.Addr})
		}
	}
}

// probeOutdated asks a machine for a report, as an older one has come than the newest: that
// is a copy, or the machine has lost all and counts anew. Only an answer to a
// question of one's own tells.
func (wm *workerManager) probeOutdated(m *fleet.Machine, addr string) {
	if wm.now-m.LastHeartbeat > config.MicrosOf(wm.settings.Workers.ReportS)/2 && m.BeginProbe(wm.now) {
		wm.emit(ProbeMachine{Machine: m.Name, Addr: addr})
	}
}

// answerLifetime is for how long an answer to a report can still be taken: the
// worker gives up on it after 4 s.
const answerLifetime = 4_200_000

// needsProbe says that a report of a machine that counts anew lacks what was to be
// there. The report may be a copy from before, and proves nothing. So the machine
// is asked, and gets no answers until none that it was given can still be taken:
// then its own answer proves what it does not have.
func (wm *workerManager) needsProbe(m *fleet.Machine, r *Heartbeat) bool {
	if !m.SeqRestarted() {
		return false
	}
	doubt, wait := false, false
	for ref := range m.Placed {
		t := ref.Job.Task(ref.Index)
		if !listsAttempt(r, jobstate.TaskName(ref.Job.ID, ref.Index), t.Attempt) {
			doubt = doubt || t.Confirmed || t.IsStopping() && t.StartSent
			wait = wait || !t.Confirmed && t.IsStopping() && t.StartSent
		}
	}
	if doubt && (!wait || wm.now-m.LastAnswer > answerLifetime) && m.BeginProbe(wm.now) {
		wm.emit(ProbeMachine{Machine: m.Name, Addr: m.Addr})
	}
	return wait
}

// listsAttempt says whether a report has an attempt.
func listsAttempt(r *Heartbeat, task string, attempt uint32) bool {
	for k := range r.Tasks {
		if t := &r.Tasks[k]; t.Name == task && t.Attempt == uint64(attempt) {
			return true
		}
	}
	return false
}

// onMachineProbed takes a machine's answer to a question.
func (wm *workerManager) onMachineProbed(p MachineProbed) {
	if !wm.elector.isLeader() || !p.OK {
		return
	}
	m := wm.elector.leadership.fleet.Get(p.Machine)
	if m == nil {
		return
	}
	if m.Delivery.CannotReceive {
		m.Delivery.RecordReceived()
		wm.deliveryRestored(m)
	}
	r := p.Heartbeat
	if r == nil || r.Machine != m.Name {
		return
	}
	wm.stopListedTasks(m, r)
	if m.ApplyProbe(p.SentAt, r.Epoch, r.Seq) {
		// Since when is not known: what was started after that is still there.
		wm.log.Info("a machine has begun anew", "machine", m.Name, "tasks", len(m.Placed))
		m.LastHeartbeat, m.HasCurrentToken = wm.now, false
		m.MarkChanged()
	}
	if m.SeqRestarted() && r.FencingToken == wm.elector.fencingToken() {
		wm.clearUnlisted(m, r, p.SentAt)
	}
}

// clearUnlisted clears what a machine that counts anew says that it does not have.
func (wm *workerManager) clearUnlisted(m *fleet.Machine, r *Heartbeat, sent int64) {
	var lost, never []fleet.TaskRef
	for ref := range m.Placed {
		t := ref.Job.Task(ref.Index)
		switch {
		case listsAttempt(r, jobstate.TaskName(ref.Job.ID, ref.Index), t.Attempt):
		case t.Confirmed:
			lost = append(lost, ref)
		case t.IsStopping() && t.StartSent && sent > m.LastAnswer+answerLifetime:
			never = append(never, ref)
		}
	}
	wm.tasks.clearGone(lost, never)
	if w := m.Prefetch; w != nil && sent > m.LastAnswer+answerLifetime && !listsAttempt(r, w.Task, w.Attempt) {
		wm.prefetcher.endPrefetch(m)
	}
}
