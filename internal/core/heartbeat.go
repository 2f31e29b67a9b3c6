package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// heartbeatState is the state that the worker manager keeps while this controller leads.
type heartbeatState struct {
	held heldHeartbeats
	// releaseRequested is set if there may now be commands for held heartbeats.
	releaseRequested bool
	departed         departedMachines
}

func newHeartbeatState() heartbeatState {
	return heartbeatState{
		held:     newHeldHeartbeats(),
		departed: newDepartedMachines(),
	}
}

// requestRelease schedules a check of the held heartbeats for after the current message has
// been handled.
func (s *heartbeatState) requestRelease() { s.releaseRequested = true }

// workerManager handles the heartbeats of all workers at the leader, and reconciles the
// tasks that they list with the placed tasks.
type workerManager struct {
	*engine

	cache      *stateCache
	elector    *elector
	prefetcher *prefetcher
	tasks      *taskManager
}

// heartbeatRefusal is the reason for which a heartbeat is refused, as sent to its worker.
type heartbeatRefusal string

const (
	refusedNoProof     heartbeatRefusal = "no proof of leadership"
	refusedNewerToken  heartbeatRefusal = "a newer token exists"
	refusedReturned    heartbeatRefusal = "a report of a machine that was returned"
	refusedOutdated    heartbeatRefusal = "an older report"
	refusedProbeNeeded heartbeatRefusal = "what is on the machine has to be asked"
	refusedNotLeading  heartbeatRefusal = "no longer leading"
)

// getOrAddMachine returns the machine with the given name, and adds it to the fleet if it
// is not known.
func (w *workerManager) getOrAddMachine(name string) *fleet.Machine {
	term := w.elector.leadership
	if machine := term.fleet.Get(name); machine != nil {
		return machine
	}
	machine := fleet.NewMachine(name, w.now)
	if w.now == term.since {
		// A previous leader may continue to answer the machine until that leader's
		// authority expires.
		machine.LastAnswer = w.now + w.settings.LeaderAuthorityTime()
	}
	if departure, ok := term.heartbeats.departed.byName[name]; ok {
		// Late copies of the machine's heartbeats may still arrive; the last epoch and
		// sequence number make them recognizable as outdated.
		machine.Epoch, machine.Seq = departure.epoch, departure.seq
	}
	w.prefetcher.restoreKnownImages(machine)
	term.fleet.Add(machine)
	return machine
}

// handleHeartbeat updates the machine from a heartbeat and answers its worker with commands,
// either immediately or, if the answer is held, when there are commands or the hold time is over.
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
	w.updateDelivery(machine, heartbeat)
	w.recordHeartbeatVia(m.From)
	w.releaseReply(machine.Name, false)
	w.updateMachine(machine, heartbeat)
	w.handlePreemptionNotice(machine, heartbeat.PreemptionNotice)
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

// authorize returns "" if a heartbeat may be handled, and otherwise the reason why not: either
// this controller may not act as the leader, or the machine was returned to the cloud.
func (w *workerManager) authorize(heartbeat *Heartbeat) heartbeatRefusal {
	term := w.elector.leadership
	if !w.elector.mayAnswerWorkers() {
		return refusedNoProof
	}
	if heartbeat.FencingToken > term.fencingToken {
		// There is a newer leader; read the state service to learn about it.
		w.emit(ReadState{AfterRevision: w.cache.appliedRevision})
		return refusedNewerToken
	}
	if term.heartbeats.departed.wasReturned(heartbeat.Machine) {
		// The machine is certainly gone, so this is a late copy.
		return refusedReturned
	}
	return ""
}

// isOutdated reports whether a heartbeat may be a late copy: it is from an earlier epoch of its
// machine, it is not newer than the newest heartbeat of the current epoch, or it is not plausible
// after a restart of the sequence numbers.
func (w *workerManager) isOutdated(machine *fleet.Machine, heartbeat *Heartbeat) bool {
	return !machine.IsNewer(heartbeat.Epoch, heartbeat.Seq) ||
		!machine.IsPlausible(heartbeat.Epoch, heartbeat.Seq, w.now)
}

// recordHeartbeatVia records which controller received a heartbeat from the worker; "" is this
// controller.
func (w *workerManager) recordHeartbeatVia(controller string) {
	if controller == "" {
		controller = w.settings.Name
	}
	w.elector.leadership.partitions.recordHeartbeatVia(controller, w.now)
}

// updateMachine updates the machine from a heartbeat, except for its tasks.
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
	// A worker that knew the current token when it sent the heartbeat no longer accepts
	// commands from an earlier leader. Only such a heartbeat proves that an unlisted task
	// is absent.
	hadToken := machine.HasCurrentToken
	machine.HasCurrentToken = heartbeat.FencingToken == term.fencingToken
	if isFirst || newEpoch || !hadToken && machine.HasCurrentToken {
		term.planning.requestRound()
	}
}

// handlePreemptionNotice drains a machine that the cloud is about to reclaim. A negative notice
// means that there is no preemption notice.
func (w *workerManager) handlePreemptionNotice(machine *fleet.Machine, notice int64) {
	if notice < 0 || machine.ReclaimAt != 0 {
		return
	}
	machine.ReclaimAt = w.now + notice
	w.log.Info("preemption notice", "machine", machine.Name, "seconds", notice/second)
	w.tasks.drainMachine(machine, notice)
}

// answerHeartbeat sends commands in the answer to a heartbeat. It records those whose effect the
// next heartbeat shows if the machine receives answers.
func (w *workerManager) answerHeartbeat(machine *fleet.Machine, requestID uint64, commands []Command) {
	delivery := &machine.Delivery
	delivery.SentCommands = delivery.SentCommands[:0]
	for _, command := range commands {
		switch command.Kind {
		case CommandStop:
			continue // its effect may become visible only after the task's grace period
		case CommandStart:
			machine.RecordStart(command.Task, uint64(command.Attempt), w.now)
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

// refuse answers a heartbeat with a refusal, which contains no commands and does not renew
// the worker's lease.
func (w *workerManager) refuse(requestID uint64, refusal heartbeatRefusal) {
	w.emit(Reply{RequestID: requestID, Status: ReplyUnavailable, Error: string(refusal)})
}
