package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

const (
	// checkpointLoss is what is taken to be lost, besides the time to save, when work
	// with checkpoints is preempted.
	checkpointLoss = 10 * second
	// earlyStop is how soon after its start a task is spared where it can be.
	earlyStop = 30 * second
)

// nextHeartbeatAt is when commands can probably get to a machine next: they
// travel in the response to a heartbeat, so a held one takes them at once, and
// else they wait for the next. Where heartbeats are seconds apart that decides
// when an urgent job starts.
func (p *planner) nextHeartbeatAt(m *fleet.Machine) int64 {
	if p.elector.leadership.heartbeats.held.has(m.Name) {
		return 0
	}
	return m.LastHeartbeat + p.heartbeatInterval()
}

// plannedRun estimates until when a placed task occupies its machine, and what
// preempting it would cost.
func (p *planner) plannedRun(m *fleet.Machine, ref fleet.TaskRef, guaranteed bool) sched.RunningTask {
	job, task := ref.Job, ref.Job.Task(ref.Index)
	run := sched.RunningTask{Job: job, Index: ref.Index, Guaranteed: guaranteed}
	if job.Outcome() != "" || task.IsStopping() {
		run.End = max(task.StopRequestedAt+task.Grace+p.heartbeatInterval(), p.now+second)
		return run
	}
	run.End = p.estimatedEnd(m, job, task)
	run.Preemptible = task.StartSent
	run.LostWork = p.lostWork(job, task, guaranteed)
	return run
}

// estimatedEnd is when a task should end. One past its estimate is taken to end one
// heartbeat interval later.
func (p *planner) estimatedEnd(m *fleet.Machine, job *jobstate.Job, task *jobstate.Task) int64 {
	var end int64
	switch {
	case job.Kind == jobstate.Service:
		end = p.now + distantFuture
	case task.StartedAt != 0:
		end = task.StartedAt + job.Estimate
	default:
		end = task.PlacedAt + job.Estimate + job.FetchTime(m.FetchRate)
	}
	if end <= p.now {
		return p.now + p.heartbeatInterval()
	}
	return end
}

// lostWork is what preempting a task costs: the time that is lost, by how much of a
// machine it takes.
func (p *planner) lostWork(job *jobstate.Job, task *jobstate.Task, guaranteed bool) int64 {
	var lost int64
	switch {
	case task.StartedAt == 0:
		lost = p.now - task.PlacedAt
	case job.Checkpoint > 0:
		lost = job.Save + checkpointLoss
	default:
		lost = p.now - task.StartedAt
	}
	isEarly := task.StartedAt == 0 || p.now-task.StartedAt < earlyStop
	if isEarly && (guaranteed || p.settings.StartTimeMatters(job.Class)) {
		// A start that is stopped this early was no start for its user.
		lost += earlyStop
	}
	lost *= job.Need.Weight()
	if job.Kind == jobstate.Gang {
		// All of it stops with one task.
		lost *= int64(max(job.NumPlaced, 1))
	}
	return lost
}
