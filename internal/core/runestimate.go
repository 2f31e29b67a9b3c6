package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

const (
	// checkpointLoss is the work assumed to be lost, in addition to the time to save, when
	// a task with checkpoints is preempted.
	checkpointLoss = 10 * second
	// earlyPreemptionWindow is the time after a task's start during which preempting the task
	// costs extra, so that other tasks are preempted first.
	earlyPreemptionWindow = 30 * second
)

// nextHeartbeatAt returns the next time at which a machine can probably receive commands. Commands
// are sent in the response to a heartbeat: immediately if the response to the last heartbeat is
// held back, otherwise with the response to the next one. If heartbeats are seconds apart, this
// time decides when an urgent job starts.
func (p *planner) nextHeartbeatAt(m *fleet.Machine) int64 {
	if p.elector.leadership.heartbeats.held.has(m.Name) {
		return 0
	}
	return m.LastHeartbeat + p.heartbeatInterval()
}

// runningTask estimates the time until which a placed task occupies its machine and the cost of
// preempting it.
func (p *planner) runningTask(m *fleet.Machine, ref fleet.TaskRef, guaranteed bool) sched.RunningTask {
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

// estimatedEnd returns when a task is expected to end. A task that exceeds its estimate is
// assumed to end after one heartbeat interval.
func (p *planner) estimatedEnd(m *fleet.Machine, job *jobstate.Job, task *jobstate.Task) int64 {
	var end int64
	switch {
	case job.Kind == jobstate.Service:
		end = p.now + serviceDuration
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

// lostWork returns the cost of preempting a task: the lost time, weighted by the resources
// that the task needs.
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
	isEarly := task.StartedAt == 0 || p.now-task.StartedAt < earlyPreemptionWindow
	if isEarly && (guaranteed || p.settings.StartTimeMatters(job.Class)) {
		// For its user, a task that is stopped this early has not really started.
		lost += earlyPreemptionWindow
	}
	lost *= job.Need.Weight()
	if job.Kind == jobstate.Gang {
		// Stopping one task stops the whole gang.
		lost *= int64(max(job.NumPlaced, 1))
	}
	return lost
}
