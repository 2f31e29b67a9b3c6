package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// heartbeatState is what the worker manager keeps while this controller leads.
type heartbeatState struct {
	held heldHeartbeats
	// releaseWanted: there may be commands for held heartbeats by now.
	releaseWanted bool
	departed      departedMachines
}

func newHeartbeatState() heartbeatState {
	return heartbeatState{
		held:     newHeldHeartbeats(),
		departed: newDepartedMachines(),
	}
}

// requestRelease has the held heartbeats looked at once the present message is handled.
func (s *heartbeatState) requestRelease() { s.releaseWanted = true }

// workerManager handles the heartbeats of all workers at the leader, and reconciles the
// tasks that they list with those that are placed.
type workerManager struct {
	*engine

	cache      *stateCache
	elector    *elector
	prefetcher *prefetcher
	tasks      *taskManager
}

// heartbeatRefusal is why a heartbeat is refused, as its worker is told.
type heartbeatRefusal string

const (
	refusedNoProof     heartbeatRefusal = "no proof of leadership"
	refusedNewerToken  heartbeatRefusal = "a newer token exists"
	refusedReturned    heartbeatRefusal = "a report of a machine that was returned"
	refusedOutdated    heartbeatRefusal = "an older report"
	refusedProbeNeeded heartbeatRefusal = "what is on the machine has to be asked"
	refusedNotLeading  heartbeatRefusal = "no longer leading"
)

// getOrAddMachine returns a machine, which the leader knows from then on.
func (w *workerManager) getOrAddMachine(name string) *fleet.Machine {
	term := w.elector.leadership
	if machine := term.fleet.Get(name); machine != nil {
		return machine
	}
	machine := fleet.NewMachine(name, w.now)
	if w.now == term.since {
		// An earlier leader may go on answering it for the hold time.
		machine.LastAnswer = w.now + w.settings.LeaderAuthorityTime()
	}
	if departure, ok := term.heartbeats.departed.byName[name]; ok {
		// Copies of its heartbeats may still come: they are outdated.
		machine.Epoch, machine.Seq = departure.epoch, departure.seq
	}
	w.prefetcher.restoreKnownImages(machine)
	term.fleet.Add(machine)
	return machine
}

// handleHeartbeat brings what is known of a machine up to date, and answers its worker with
// commands, at once or as soon as there are any.
func (w *workerManager) handleHeartbeat(m HeartbeatReceived) {
	heartbeat := &m.Heartbeat
	if refusal := w.authorize(heartbeat); refusal != "" {
		w.refuse(m.RequestID, refusal)
		return
	}
	machine := w.getOrAddMachine(heartbeat.Machine)
	if w.isOutdated(machine, heartbeat) {
		w.probeOutdated(machine, heartbeat.Addr)
		w.refuse(m.RequestID, refusedOutdated)
		return
	}
	w.judgeDelivery(machine, heartbeat)
	w.noteHeartbeatVia(m.From)
	w.releaseReply(machine.Name, false)
	w.updateMachine(machine, heartbeat)
	w.notePreemption(machine, heartbeat.PreemptionNotice)
	if w.needsProbe(machine, heartbeat) {
		w.refuse(m.RequestID, refusedProbeNeeded)
		return
	}
	machine.LastAnswer = w.now
	commands, exited := w.reconcile(machine, heartbeat)
	if wait := w.holdTime(machine, commands, exited); wait > 0 && w.mayHold(m.From) {
		w.elector.leadership.heartbeats.held.hold(machine, heldHeartbeat{
			requestID: m.RequestID,
			heartbeat: *heartbeat,
			until:     w.now + wait,
			via:       m.From,
		})
		return
	}
	w.answerHeartbeat(machine, m.RequestID, commands)
}

// authorize says why a heartbeat may not be handled: this controller may not act as the
// leader, or the machine has departed.
func (w *workerManager) authorize(heartbeat *Heartbeat) heartbeatRefusal {
	term := w.elector.leadership
	if !w.elector.mayAnswerWorkers() {
		return refusedNoProof
	}
	if heartbeat.FencingToken > term.fencingToken {
		// There is a newer leader, which the state service will show.
		w.emit(ReadState{AfterRevision: w.cache.appliedRevision})
		return refusedNewerToken
	}
	if term.heartbeats.departed.wasReturned(heartbeat.Machine) {
		// The machine is gone for certain, so this was sent long ago.
		return refusedReturned
	}
	return ""
}

// isOutdated says whether a heartbeat is of an earlier epoch of its machine, or no newer
// than the newest of this epoch: it is a copy that comes late.
func (w *workerManager) isOutdated(machine *fleet.Machine, heartbeat *Heartbeat) bool {
	return !machine.IsNewer(heartbeat.Epoch, heartbeat.Seq) ||
		!machine.IsPlausible(heartbeat.Epoch, heartbeat.Seq, w.now)
}

// noteHeartbeatVia notes by way of which controller a heartbeat came, "" for this one.
func (w *workerManager) noteHeartbeatVia(controller string) {
	if controller == "" {
		controller = w.settings.Name
	}
	w.elector.leadership.partitions.recordHeartbeatVia(controller, w.now)
}

// updateMachine takes over what a heartbeat says of its machine, tasks aside.
func (w *workerManager) updateMachine(machine *fleet.Machine, heartbeat *Heartbeat) {
	term := w.elector.leadership
	isFirst := machine.LastHeartbeat == 0
	newEpoch := heartbeat.Epoch != machine.Epoch
	machine.Epoch, machine.Seq = heartbeat.Epoch, heartbeat.Seq
	machine.LastHeartbeat = w.now
	machine.Addr, machine.Zone, machine.Spot = heartbeat.Addr, heartbeat.Zone, heartbeat.Spot
	machine.MarkChanged()
	if machine.Type != heartbeat.Type || machine.Cap == (jobstate.Resources{}) {
		machine.Type = heartbeat.Type
		machine.SetType(w.cache.machineTypes)
	}
	// A worker that knew the token when it sent the heartbeat accepts no commands of an
	// earlier leader any more: only then does it prove what is absent.
	hadToken := machine.HasCurrentToken
	machine.HasCurrentToken = heartbeat.FencingToken == term.fencingToken
	if isFirst || newEpoch || !hadToken && machine.HasCurrentToken {
		term.planning.requestRound()
	}
}

// notePreemption drains a machine that the cloud is about to take.
func (w *workerManager) notePreemption(machine *fleet.Machine, notice int64) {
	if notice < 0 || machine.ReclaimAt != 0 {
		return
	}
	machine.ReclaimAt = w.now + notice
	w.log.Info("preemption notice", "machine", machine.Name, "seconds", notice/second)
	w.tasks.drainMachine(machine, notice)
}

// answerHeartbeat sends commands in the answer to a heartbeat. Which of them take effect
// shows whether the machine receives answers.
func (w *workerManager) answerHeartbeat(machine *fleet.Machine, requestID uint64, commands []Command) {
	delivery := &machine.Delivery
	delivery.SentCommands = delivery.SentCommands[:0]
	for _, command := range commands {
		if command.Kind == CommandStop {
			continue // it may take the task's grace to show
		}
		delivery.SentCommands = append(delivery.SentCommands, fleet.SentCommand{
			Task:    command.Task,
			Attempt: command.Attempt,
			Forget:  command.Kind == CommandForget,
		})
	}
	w.emit(Reply{
		RequestID:    requestID,
		Status:       ReplyOK,
		FencingToken: w.elector.fencingToken(),
		Commands:     commands,
	})
}

// refuse answers a heartbeat without commands; the answer does not renew the worker's
// lease.
func (w *workerManager) refuse(requestID uint64, refusal heartbeatRefusal) {
	w.emit(Reply{RequestID: requestID, Status: ReplyUnavailable, Error: string(refusal)})
}
