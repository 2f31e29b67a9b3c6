package core

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// The maximum times, in microseconds, for which the answer to a heartbeat is held. The worker
// stops waiting for it after 4 s and sends nothing new in the meantime, so only the answer to a
// machine without tasks is held for long.
const (
	holdIdle      = 3 * second
	holdAfterExit = 400_000
	holdForStart  = 400_000
)

// heldHeartbeat is a heartbeat whose answer is held for a short time, as in a long poll: a start
// can be sent only in the answer to a heartbeat, and the next heartbeat is an interval away. As
// it has not been answered yet, it can be reconciled again when it is released.
type heldHeartbeat struct {
	requestID uint64
	heartbeat Heartbeat
	until     int64
	// via is the controller that relayed the heartbeat, "" for this one.
	via string
}

// heldHeartbeats are the heartbeats whose answers are held. At any time there is one for a large
// part of the machines of an idle fleet, so neither ticks nor writes may iterate over all of them.
type heldHeartbeats struct {
	byName     map[string]heldHeartbeat
	byDeadline *btree.BTreeG[heldDeadline]
	// maybeReady are the machines for which there may be commands, now or soon.
	maybeReady map[string]struct{}
	// countVia is the number of held heartbeats by the controller that relayed them; each
	// occupies a connection there.
	countVia map[string]int
}

// heldDeadline is the time at which a machine's held heartbeat must be answered.
type heldDeadline struct {
	at   int64
	name string
}

// hasEarlierDeadline orders held heartbeats by deadline, then by machine name.
func hasEarlierDeadline(a, b heldDeadline) bool {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name)) < 0
}

func newHeldHeartbeats() heldHeartbeats {
	return heldHeartbeats{
		byName:     map[string]heldHeartbeat{},
		byDeadline: btree.NewBTreeGOptions(hasEarlierDeadline, btree.Options{NoLocks: true}),
		maybeReady: map[string]struct{}{},
		countVia:   map[string]int{},
	}
}

// has reports whether a machine's heartbeat is held.
func (h *heldHeartbeats) has(name string) bool {
	_, ok := h.byName[name]
	return ok
}

// hold adds a heartbeat; the caller has removed an earlier one of the machine.
func (h *heldHeartbeats) hold(machine *fleet.Machine, held heldHeartbeat) {
	machine.MarkChanged()
	h.byName[machine.Name] = held
	h.countVia[held.via]++
	h.byDeadline.Set(heldDeadline{held.until, machine.Name})
	if len(machine.Placed) > 0 || machine.Prefetch != nil {
		h.maybeReady[machine.Name] = struct{}{}
	}
}

// expectCommands records that there may soon be commands for a machine.
func (h *heldHeartbeats) expectCommands(name string) {
	if h.has(name) {
		h.maybeReady[name] = struct{}{}
	}
}

// take removes a machine's heartbeat and returns it.
func (h *heldHeartbeats) take(name string) (heldHeartbeat, bool) {
	held, ok := h.byName[name]
	if !ok {
		return held, false
	}
	delete(h.byName, name)
	delete(h.maybeReady, name)
	h.countVia[held.via]--
	if h.countVia[held.via] == 0 {
		delete(h.countVia, held.via)
	}
	h.byDeadline.Delete(heldDeadline{held.until, name})
	return held, true
}

// ready returns the names of the machines whose held heartbeat has reached its deadline,
// followed by those of the machines that have commands.
func (h *heldHeartbeats) ready(now int64, hasCommands func(name string) bool) []string {
	var names []string
	h.byDeadline.Scan(func(deadline heldDeadline) bool {
		if deadline.at <= now {
			names = append(names, deadline.name)
		}
		return deadline.at <= now
	})
	due := len(names)
	for name := range h.maybeReady {
		if h.byName[name].until > now && hasCommands(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names[due:])
	return names
}

// holdTime returns the time for which the answer to a heartbeat may be held, given the commands
// that it would contain now and whether the heartbeat lists a placed attempt that has exited.
func (w *workerManager) holdTime(machine *fleet.Machine, commands []Command, exited bool) int64 {
	for _, command := range commands {
		if command.Kind != CommandForget {
			return 0
		}
	}
	switch {
	case !machine.HasCurrentToken || machine.Draining || machine.ReclaimAt != 0:
		return 0
	case exited:
		return holdAfterExit
	case hasUnstoredPlacement(machine):
		// The start may be sent once the placement is stored, usually within
		// milliseconds; without the hold it would wait for the next heartbeat.
		return holdForStart
	case len(machine.Placed) == 0 && len(commands) == 0 && machine.OrphanUsage == (jobstate.Resources{}):
		return min(holdIdle, config.MicrosOf(w.settings.Workers.ReportS)*3/4)
	}
	return 0
}

// hasUnstoredPlacement reports whether a placement on a machine is not stored yet.
func hasUnstoredPlacement(machine *fleet.Machine) bool {
	for ref := range machine.Placed {
		if !ref.Job.Task(ref.Index).Stored {
			return true
		}
	}
	return false
}

// mayHold reports whether one more heartbeat that came through a controller may be held. Half of
// the controller's connections are left for other workers, users and peers; without a
// configured socket limit there is no bound.
func (w *workerManager) mayHold(via string) bool {
	sockets := w.settings.Limits.Sockets
	return sockets == 0 || w.elector.leadership.heartbeats.held.countVia[via] < sockets/2
}

// releaseReadyReplies answers the held heartbeats for which there are commands now, or whose
// deadline has passed.
//
// It is called on ticks and after messages that may have created commands, not after every
// message.
func (w *workerManager) releaseReadyReplies() {
	heartbeats := &w.elector.leadership.heartbeats
	heartbeats.releaseRequested = false
	for _, name := range heartbeats.held.ready(w.now, w.hasCommandsFor) {
		w.releaseReply(name, true)
	}
}

// hasCommandsFor is hasCommands for a machine name; it returns false for an unknown machine.
func (w *workerManager) hasCommandsFor(name string) bool {
	machine := w.elector.leadership.fleet.Get(name)
	return machine != nil && hasCommands(machine)
}

// hasCommands reports whether the answer to a machine's heartbeat would contain commands.
func hasCommands(machine *fleet.Machine) bool {
	for ref := range machine.Placed {
		task := ref.Job.Task(ref.Index)
		if task.Stored && !task.StartSent || task.IsStopping() {
			return true
		}
	}
	return machine.Prefetch != nil && !machine.Prefetch.Sent
}

// releaseReply answers a machine's held heartbeat, if there is one: with commands, or with a
// refusal if withCommands is false because a newer heartbeat has arrived, or if the machine is
// unknown or this controller may no longer answer workers.
func (w *workerManager) releaseReply(name string, withCommands bool) {
	term := w.elector.leadership
	held, ok := term.heartbeats.held.take(name)
	if !ok {
		return
	}
	machine := term.fleet.Get(name)
	if machine != nil {
		machine.MarkChanged() // further commands for it must wait for its next heartbeat
	}
	if !withCommands || machine == nil || !w.elector.mayAnswerWorkers() {
		w.refuse(held.requestID, refusedOutdated)
		return
	}
	machine.LastAnswer = w.now
	commands, _ := w.reconcile(machine, &held.heartbeat)
	w.answerHeartbeat(machine, held.requestID, commands)
}

// refuseHeld refuses all held heartbeats because this controller no longer leads.
func (w *workerManager) refuseHeld() {
	held := &w.elector.leadership.heartbeats.held
	for _, name := range sortedKeys(held.byName) {
		w.refuse(held.byName[name].requestID, refusedNotLeading)
	}
}
