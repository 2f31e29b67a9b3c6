package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A machine may reach no controller while direct commands reach it: then no answer to a
// heartbeat brings it stops, and a leader that was elected since does not know its epoch,
// nor its address but from the cloud's list. What is to stop there would go on until the
// machine's lease has expired. So a silent machine with something to stop is probed, and
// what its answer lists is stopped under the epoch that the answer names. An answer proves
// nothing else here: what it does not list may still start.

// maxUnreachableProbes bounds the silent machines that are probed in a tick.
const maxUnreachableProbes = 8

// missedHeartbeat says that a machine's heartbeats have not come for more than one interval.
func (w *workerManager) missedHeartbeat(machine *fleet.Machine) bool {
	return machine.LastHeartbeat == 0 ||
		w.now-machine.LastHeartbeat > config.MicrosOf(w.settings.Workers.ReportS)*3/2
}

// probeUnreachable probes silent machines on which something is to stop for good.
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

// hasFinalStops says whether something on a machine is to stop for good.
func (w *workerManager) hasFinalStops(machine *fleet.Machine) bool {
	for ref := range machine.Placed {
		if task := ref.Job.Task(ref.Index); w.mayDeliverStop(ref.Job, task) && isUnwanted(ref.Job, task) {
			return true
		}
	}
	return false
}

// isUnwanted says whether a task is to run nowhere any more, as its job or sweep is over,
// whoever leads by now. One that only makes room, or is to go elsewhere, goes on on a
// silent machine: no heartbeat would show that the room is there.
func isUnwanted(job *jobstate.Job, task *jobstate.Task) bool {
	return job.Outcome() != "" || task.StopReason == jobstate.StopSweep
}

// mayDeliverStop says whether a task is to be stopped, and this controller may command it.
// A job that is over stays so, whoever leads by now.
func (w *workerManager) mayDeliverStop(job *jobstate.Job, task *jobstate.Task) bool {
	return task.IsStopping() && task.StartSent && (w.elector.mayStartTasks() || isUnwanted(job, task))
}

// stopListedTasks stops what a silent machine lists in its answer to a probe, as far as it
// is to stop for good.
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
