package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A machine may be unable to reach any controller while direct commands still reach it. It then
// receives no stops in answers to heartbeats, and a leader that was elected in the meantime does
// not know its epoch, and knows its address only from the cloud's list. Tasks that should stop
// would continue until the machine's lease has expired. So a silent machine with tasks to stop is
// probed, and the tasks that its answer lists are stopped under the epoch given in the answer.
// The answer proves nothing else here: a task that it does not list may still start.

// maxUnreachableProbes is the maximum number of silent machines that are probed per tick.
const maxUnreachableProbes = 8

// missedHeartbeat reports whether a machine has sent no heartbeat yet, or none for more than one
// and a half heartbeat intervals.
func (w *workerManager) missedHeartbeat(machine *fleet.Machine) bool {
	return machine.LastHeartbeat == 0 ||
		w.now-machine.LastHeartbeat > config.MicrosOf(w.settings.Workers.ReportS)*3/2
}

// probeUnreachable probes silent machines that have tasks to stop permanently.
func (w *workerManager) probeUnreachable() {
	probed := 0
	for _, machine := range w.elector.leadership.fleet.All() {
		if probed == maxUnreachableProbes {
			return
		}
		if machine.Addr == "" || len(machine.Placed) == 0 || !w.missedHeartbeat(machine) || !w.hasFinalStops(machine) {
			continue
		}
		if w.probe(machine, machine.Addr) {
			probed++
		}
	}
}

// hasFinalStops reports whether a task on a machine is to stop permanently.
func (w *workerManager) hasFinalStops(machine *fleet.Machine) bool {
	for ref := range machine.Placed {
		if task := ref.Job.Task(ref.Index); w.mayDeliverStop(ref.Job, task) && isUnwanted(ref.Job, task) {
			return true
		}
	}
	return false
}

// isUnwanted reports whether a task must not run anywhere any more because its job or sweep is
// over; this holds whichever controller leads now. A task that is only preempted or moved
// continues on a silent machine, as no heartbeat would show that the room was freed.
func isUnwanted(job *jobstate.Job, task *jobstate.Task) bool {
	return job.Outcome() != "" || task.StopReason == jobstate.StopSweep
}

// mayDeliverStop reports whether a task is to be stopped and this controller may send the stop.
// A task that is no longer wanted may be stopped without proof of leadership, as its job or sweep
// stays over whichever controller leads now.
func (w *workerManager) mayDeliverStop(job *jobstate.Job, task *jobstate.Task) bool {
	return task.IsStopping() && task.StartSent && (w.elector.mayStartTasks() || isUnwanted(job, task))
}

// stopListedTasks sends stops for those tasks in a silent machine's answer to a probe that are
// to stop permanently.
func (w *workerManager) stopListedTasks(machine *fleet.Machine, heartbeat *Heartbeat) {
	if !w.missedHeartbeat(machine) {
		return
	}
	var commands []Command
	for k := range heartbeat.Tasks {
		status := &heartbeat.Tasks[k]
		listed, err := w.findListed(machine, status)
		if err != nil || status.State == TaskExited || !listed.isPlaced {
			continue
		}
		if len(commands) < maxDirectCommands && w.mayDeliverStop(listed.job, listed.task) && isUnwanted(listed.job, listed.task) {
			commands = append(commands, listed.command(CommandStop, listed.task.Grace))
		}
	}
	if len(commands) > 0 {
		w.emit(SendCommands{
			Addr:         machine.Addr,
			FencingToken: w.elector.fencingToken(),
			Epoch:        heartbeat.Epoch,
			Commands:     commands,
		})
	}
}
