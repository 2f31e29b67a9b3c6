package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A machine may reach no controller while direct commands reach it: then its reports
// bring it no stops, and a leader that has begun since does not know its session, nor
// its address but from the cloud's list. What is to stop there would go on until the
// machine's lease has run out. So a silent machine with something to stop is asked for
// a report, and what that lists is stopped by the session that it names. An answer
// proves nothing else here: what it lacks may still come to be.

// maxUnreachableProbes bounds the silent machines that are asked in a tick.
const maxUnreachableProbes = 8

// missedHeartbeat says that a machine's reports have not come for more than one interval.
func (wm *workerManager) missedHeartbeat(m *fleet.Machine) bool {
	return m.LastHeartbeat == 0 || wm.now-m.LastHeartbeat > config.MicrosOf(wm.settings.Workers.ReportS)*3/2
}

// probeUnreachable asks silent machines on which something is to stop.
func (wm *workerManager) probeUnreachable() {
	asked := 0
	for _, m := range wm.elector.leadership.fleet.All() {
		if asked < maxUnreachableProbes && m.Addr != "" && len(m.Placed) > 0 && wm.missedHeartbeat(m) && wm.hasFinalStops(m) && m.BeginProbe(wm.now) {
			asked++
			wm.emit(ProbeMachine{Machine: m.Name, Addr: m.Addr})
		}
	}
}

func (wm *workerManager) hasFinalStops(m *fleet.Machine) bool {
	for ref := range m.Placed {
		if t := ref.Job.Task(ref.Index); wm.mayDeliverStop(ref.Job, t) && isUnwanted(ref.Job, t) {
			return true
		}
	}
	return false
}

// isUnwanted says whether nobody wants a task any more. One that only makes room, or is
// to go elsewhere, goes on where it is: nobody hears when the room is there.
func isUnwanted(j *jobstate.Job, t *jobstate.Task) bool {
	return j.Outcome != "" || t.StopReason == jobstate.StopSweep
}

// mayDeliverStop says whether a task is to be stopped, and this controller may say so: a
// job that is over stays so, whoever leads by now.
func (wm *workerManager) mayDeliverStop(j *jobstate.Job, t *jobstate.Task) bool {
	return t.IsStopping() && t.StartSent && (wm.elector.mayStartTasks() || j.Outcome != "" || t.StopReason == jobstate.StopSweep)
}

// stopListedTasks stops what a silent machine's answer lists and is to stop.
func (wm *workerManager) stopListedTasks(m *fleet.Machine, r *Heartbeat) {
	if !wm.missedHeartbeat(m) {
		return
	}
	var orders []Command
	for k := range r.Tasks {
		tr := &r.Tasks[k]
		id, i, err := jobstate.ParseTaskName(tr.Name)
		j := wm.cache.jobs[id]
		if err != nil || j == nil || tr.State == TaskExited {
			continue
		}
		if t := j.Task(i); t != nil && t.Machine == m.Name && uint64(t.Attempt) == tr.Attempt && wm.mayDeliverStop(j, t) && isUnwanted(j, t) && len(orders) < maxDirectCommands {
			orders = append(orders, Command{Kind: CommandStop, Task: tr.Name, Attempt: t.Attempt, Grace: t.Grace})
		}
	}
	if len(orders) > 0 {
		wm.emit(SendCommands{Addr: m.Addr, FencingToken: wm.elector.fencingToken(), Epoch: r.Epoch, Commands: orders})
	}
}
