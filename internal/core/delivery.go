package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A table in docs/design.md lists what a heartbeat proves, and as of which time. In short: a
// heartbeat was sent at some time in the past, by a machine that may not receive answers, as
// in a one-way partition. It may be a late copy, so it counts only if its sequence number is
// the newest and its machine has not departed.

// maxDeliveryProbes is the maximum number of machines that are probed per tick because they
// do not receive answers.
const maxDeliveryProbes = 8

// updateDelivery determines from a new heartbeat whether its machine receives answers.
func (w *workerManager) updateDelivery(machine *fleet.Machine, heartbeat *Heartbeat) {
	delivery := &machine.Delivery
	stoppedReceiving := false
	switch {
	case w.endedEpochDespiteAnswers(machine, heartbeat):
		stoppedReceiving = delivery.RecordMissedAnswer(w.now)
	case heartbeat.Epoch == machine.Epoch:
		couldNotReceive := delivery.CannotReceive
		stoppedReceiving = delivery.RecordHeartbeat(heartbeat.listsAttempt, w.now)
		if couldNotReceive && !delivery.CannotReceive {
			w.deliveryRestored(machine)
		}
	}
	delivery.SentCommands = delivery.SentCommands[:0]
	if stoppedReceiving {
		w.log.Info("one-way partition: machine sends heartbeats and does not receive answers",
			"machine", machine.Name, "tasks", len(machine.Placed))
		machine.MarkChanged()
		w.abandonUnacknowledged(machine)
	}
}

// endedEpochDespiteAnswers reports whether a worker has ended its epoch because it received no
// answers, although an answer was recently sent to it.
func (w *workerManager) endedEpochDespiteAnswers(machine *fleet.Machine, heartbeat *Heartbeat) bool {
	lease := config.MicrosOf(w.settings.Workers.LeaseS)
	return machine.Epoch != 0 && heartbeat.Epoch > machine.Epoch && w.now-machine.LastAnswer < lease*3/4
}

// abandonUnacknowledged requests the stop of those attempts on a machine that have not been in
// any heartbeat, as the machine does not receive answers. Like all stopping attempts, they are
// cleared when a later heartbeat does not list them either. Attempts that were listed stay on the
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
			w.tasks.abandonGangAttempt(ref.Job, false) // the gang would wait for this task forever
		}
	}
}

// deliveryRestored makes a machine usable again after it was found to receive answers, or after
// its retry delay.
func (w *workerManager) deliveryRestored(machine *fleet.Machine) {
	w.log.Info("machine receives answers again", "machine", machine.Name)
	machine.MarkChanged()
	w.elector.leadership.planning.requestRound()
}

// probeNotReceiving probes machines that do not receive answers. As not every machine can be
// probed, it makes a machine usable again when its retry delay is over.
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

// probeOutdated probes a machine after an outdated heartbeat. Either the heartbeat is a late
// copy, or the machine has lost its state and restarted its sequence numbers; only the answer
// to a probe distinguishes the two.
func (w *workerManager) probeOutdated(machine *fleet.Machine, addr string) {
	if w.now-machine.LastHeartbeat > config.MicrosOf(w.settings.Workers.ReportS)/2 {
		w.probe(machine, addr)
	}
}

// probe asks a machine for a heartbeat, unless it was probed recently. It reports whether it
// sent a probe.
func (w *workerManager) probe(machine *fleet.Machine, addr string) bool {
	if !machine.BeginProbe(w.now) {
		return false
	}
	w.emit(ProbeMachine{Machine: machine.Name, Addr: addr})
	return true
}

// needsProbe reports whether a heartbeat must be refused until the machine has answered a
// probe. This is the case if the machine has restarted its sequence numbers and the heartbeat
// does not list an unconfirmed stopping task whose start was sent. Such a heartbeat may be a copy
// from before the restart, so it does not prove that the task is absent. The machine then gets
// no answers until none of the earlier ones can still be accepted. Only after that is it probed,
// so that its reply proves which tasks it does not have. If only confirmed tasks are missing, the
// machine is probed immediately and the heartbeat is handled.
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
	if inDoubt && (!needed || w.now-machine.LastAnswer > fleet.AnswerLifetime) {
		w.probe(machine, machine.Addr)
	}
	return needed
}

// listsAttempt reports whether the heartbeat lists the given attempt of a task.
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
		// It is not known when the sequence numbers restarted; tasks that were started
		// after the restart are still on the machine.
		w.log.Info("machine restarted its heartbeat sequence numbers", "machine", machine.Name, "tasks", len(machine.Placed))
		machine.LastHeartbeat, machine.HasCurrentToken = w.now, false
		machine.MarkChanged()
	}
	if machine.SeqRestarted() && heartbeat.FencingToken == w.elector.fencingToken() {
		w.clearUnlisted(machine, heartbeat, m.SentAt)
	}
}

// clearUnlisted clears the placements and the prefetch that a machine with restarted sequence
// numbers does not list in its answer to a probe that was sent at sentAt.
func (w *workerManager) clearUnlisted(machine *fleet.Machine, heartbeat *Heartbeat, sentAt int64) {
	answersExpired := sentAt > machine.LastAnswer+fleet.AnswerLifetime
	var lost, neverStarted []fleet.TaskRef
	for ref := range machine.Placed {
		task := ref.Job.Task(ref.Index)
		name := jobstate.TaskName(ref.Job.ID, ref.Index)
		switch {
		case heartbeat.listsAttempt(name, task.Attempt):
		case task.Confirmed && machine.StartMayRepeat(name, uint64(task.Attempt), sentAt):
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
