package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// What a heartbeat proves, and of when, is a table in docs/design.md. In short: it was sent
// at some time, by a machine that may not receive answers, as in a one-way partition. A
// copy of one comes late, so its number has to be the newest, and the machine not have
// departed.

// maxDeliveryProbes bounds the machines that are probed in a tick as they do not receive
// answers.
const maxDeliveryProbes = 8

// answerLifetime is for how long an answer to a heartbeat can still be accepted: the
// worker gives up on it after 4 s.
const answerLifetime = 4_200_000

// judgeDelivery judges by a new heartbeat whether its machine receives answers.
func (w *workerManager) judgeDelivery(machine *fleet.Machine, heartbeat *Heartbeat) {
	delivery := &machine.Delivery
	lost := false
	switch {
	case w.endedEpochThoughAnswered(machine, heartbeat):
		lost = delivery.RecordMissedAnswer(w.now)
	case heartbeat.Epoch == machine.Epoch:
		couldNotReceive := delivery.CannotReceive
		lost = delivery.RecordHeartbeat(heartbeat.listsAttempt, w.now)
		if couldNotReceive && !delivery.CannotReceive {
			w.deliveryRestored(machine)
		}
	}
	delivery.SentCommands = delivery.SentCommands[:0]
	if lost {
		w.log.Info("one-way partition: machine sends heartbeats and does not receive answers",
			"machine", machine.Name, "tasks", len(machine.Placed))
		machine.MarkChanged()
		w.abandonUnacknowledged(machine)
	}
}

// endedEpochThoughAnswered says that a worker has ended its epoch for want of answers
// though it was sent some.
func (w *workerManager) endedEpochThoughAnswered(machine *fleet.Machine, heartbeat *Heartbeat) bool {
	lease := config.MicrosOf(w.settings.Workers.LeaseS)
	return machine.Epoch != 0 && heartbeat.Epoch > machine.Epoch && w.now-machine.LastAnswer < lease*3/4
}

// abandonUnacknowledged gives up the attempts on a machine that does not receive answers,
// as far as no heartbeat has listed them. They are cleared when a later heartbeat does not
// list them either, as any attempt that is to stop; those that were listed stay on the
// machine until its lease has expired.
func (w *workerManager) abandonUnacknowledged(machine *fleet.Machine) {
	var refs []fleet.TaskRef
	for ref := range machine.Placed {
		if task := ref.Job.Task(ref.Index); !task.Confirmed && !task.IsStopping() {
			refs = append(refs, ref)
		}
	}
	fleet.SortTaskRefs(refs)
	for _, ref := range refs {
		w.tasks.requestStop(ref.Job, ref.Index, jobstate.StopNotReceiving, 0)
		if ref.Job.Kind == jobstate.Gang && ref.Job.Outcome() == "" {
			w.tasks.breakGang(ref.Job, false) // it would wait for this one in vain
		}
	}
}

// deliveryRestored lets a machine be used again that receives answers, or is tried again.
func (w *workerManager) deliveryRestored(machine *fleet.Machine) {
	w.log.Info("machine receives answers again", "machine", machine.Name)
	machine.MarkChanged()
	w.elector.leadership.planning.requestRound()
}

// probeNotReceiving probes machines that do not receive answers, and has those tried again
// that can't be probed.
func (w *workerManager) probeNotReceiving() {
	probed := 0
	for _, machine := range w.elector.leadership.fleet.All() {
		if !machine.Delivery.CannotReceive {
			continue
		}
		if machine.Delivery.RetryDue(w.now) {
			w.deliveryRestored(machine)
			continue
		}
		if probed < maxDeliveryProbes && w.probe(machine, machine.Addr) {
			probed++
		}
	}
}

// probeOutdated probes a machine of which an outdated heartbeat has come: that is a copy,
// or the machine has lost its state and numbers its heartbeats anew. Only the answer to a
// probe tells them apart.
func (w *workerManager) probeOutdated(machine *fleet.Machine, addr string) {
	if w.now-machine.LastHeartbeat > config.MicrosOf(w.settings.Workers.ReportS)/2 {
		w.probe(machine, addr)
	}
}

// probe asks a machine for a heartbeat, unless it was asked just now.
func (w *workerManager) probe(machine *fleet.Machine, addr string) bool {
	if !machine.BeginProbe(w.now) {
		return false
	}
	w.emit(ProbeMachine{Machine: machine.Name, Addr: addr})
	return true
}

// needsProbe says that a heartbeat of a machine that numbers them anew lacks what was to be
// there. It may be a copy from before, and proves nothing. So the machine is probed, and
// gets no answers until none that it was sent can still be accepted: then its own answer
// proves what it does not have.
func (w *workerManager) needsProbe(machine *fleet.Machine, heartbeat *Heartbeat) bool {
	if !machine.SeqRestarted() {
		return false
	}
	inDoubt, needed := false, false
	for ref := range machine.Placed {
		task := ref.Job.Task(ref.Index)
		if heartbeat.listsAttempt(jobstate.TaskName(ref.Job.ID, ref.Index), task.Attempt) {
			continue
		}
		stopSent := task.IsStopping() && task.StartSent
		inDoubt = inDoubt || task.Confirmed || stopSent
		needed = needed || !task.Confirmed && stopSent
	}
	if inDoubt && (!needed || w.now-machine.LastAnswer > answerLifetime) {
		w.probe(machine, machine.Addr)
	}
	return needed
}

// listsAttempt says whether a heartbeat lists an attempt.
func (h *Heartbeat) listsAttempt(task string, attempt uint32) bool {
	for k := range h.Tasks {
		if t := &h.Tasks[k]; t.Name == task && t.Attempt == uint64(attempt) {
			return true
		}
	}
	return false
}

// onMachineProbed handles a machine's answer to a probe.
func (w *workerManager) onMachineProbed(m MachineProbed) {
	if !w.elector.isLeader() || !m.OK {
		return
	}
	machine := w.elector.leadership.fleet.Get(m.Machine)
	if machine == nil {
		return
	}
	if machine.Delivery.CannotReceive {
		machine.Delivery.RecordReceived()
		w.deliveryRestored(machine)
	}
	heartbeat := m.Heartbeat
	if heartbeat == nil || heartbeat.Machine != machine.Name {
		return
	}
	w.stopListedTasks(machine, heartbeat)
	if machine.ApplyProbe(m.SentAt, heartbeat.Epoch, heartbeat.Seq) {
		// Since when is not known: what was started after that is still there.
		w.log.Info("machine numbers its heartbeats anew", "machine", machine.Name, "tasks", len(machine.Placed))
		machine.LastHeartbeat, machine.HasCurrentToken = w.now, false
		machine.MarkChanged()
	}
	if machine.SeqRestarted() && heartbeat.FencingToken == w.elector.fencingToken() {
		w.clearUnlisted(machine, heartbeat, m.SentAt)
	}
}

// clearUnlisted clears what a machine that numbers its heartbeats anew does not list in its
// answer to a probe that was sent at sentAt.
func (w *workerManager) clearUnlisted(machine *fleet.Machine, heartbeat *Heartbeat, sentAt int64) {
	answersExpired := sentAt > machine.LastAnswer+answerLifetime
	var lost, neverStarted []fleet.TaskRef
	for ref := range machine.Placed {
		task := ref.Job.Task(ref.Index)
		switch {
		case heartbeat.listsAttempt(jobstate.TaskName(ref.Job.ID, ref.Index), task.Attempt):
		case task.Confirmed:
			lost = append(lost, ref)
		case task.IsStopping() && task.StartSent && answersExpired:
			neverStarted = append(neverStarted, ref)
		}
	}
	w.tasks.clearGone(lost, neverStarted)
	if prefetch := machine.Prefetch; prefetch != nil && answersExpired && !heartbeat.listsAttempt(prefetch.Task, prefetch.Attempt) {
		w.prefetcher.endPrefetch(machine)
	}
}
