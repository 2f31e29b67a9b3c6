package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// taskManager stops tasks, clears their placements, records how attempts end, and sends urgent
// commands directly to workers.
type taskManager struct {
	*engine

	committer    *committer
	dependencies *dependencyResolver
	elector      *elector
	prefetcher   *prefetcher
	workers      *workerManager
}

// The times for which a job is not started again after one of its attempts has failed. A faulty
// job fails on every machine; it is retried less and less often, so that it does not affect
// others.
const (
	failureBackoff    = 2 * second // per failure
	maxFailureBackoff = 30 * second
	notStartedBackoff = second // after the worker could not start the attempt
)

// checkpointGrace returns a grace period that is long enough for a task of the job to save a
// checkpoint, or 0 if the job saves none.
func checkpointGrace(job *jobstate.Job) int64 {
	if job.Checkpoint > 0 {
		return job.Save*3/2 + second
	}
	return 0
}

// preempt stops a task, or its whole gang, within a grace period to make room for other work.
func (t *taskManager) preempt(job *jobstate.Job, index int, grace int64) {
	t.stopWithGang(job, index, jobstate.StopPreempt, grace)
}

// endTrial stops a task whose trial run is over, or its whole gang, with time for a checkpoint.
func (t *taskManager) endTrial(job *jobstate.Job, index int) {
	t.stopWithGang(job, index, jobstate.StopTrial, checkpointGrace(job))
}

// drain stops a task whose machine is being drained, or its whole gang, with time for a
// checkpoint.
func (t *taskManager) drain(job *jobstate.Job, index int) {
	t.stopWithGang(job, index, jobstate.StopDrain, checkpointGrace(job))
}

// cancel stops all placed tasks of a job without a grace period, as their results are no longer
// needed.
func (t *taskManager) cancel(job *jobstate.Job, reason jobstate.StopReason) {
	job.EachPlaced(func(i int, task *jobstate.Task) {
		if !task.StartSent {
			t.clearPlacement(job, i) // no worker knows the attempt
			return
		}
		t.requestStop(job, i, reason, 0)
	})
}

// abandonGangAttempt stops the remaining tasks of a gang's attempt; the next attempt begins when
// all of them are gone. If the attempt was only incomplete for too long, tasks that are still
// fetching the image continue until they have it. If they were stopped, the next attempt would
// restart the fetch and be incomplete as well, and this would repeat endlessly if one machine
// fetches slowly and the others have the image.
func (t *taskManager) abandonGangAttempt(job *jobstate.Job, incomplete bool) {
	if job.NumDone == job.Tasks {
		return
	}
	job.EachPlaced(func(i int, task *jobstate.Task) {
		if incomplete && task.StartSent && task.Phase == jobstate.Fetching {
			return
		}
		t.stopTask(job, i, jobstate.StopGang, 0)
	})
}

// stopWithGang stops a task, or all tasks of its job if that is a gang.
func (t *taskManager) stopWithGang(job *jobstate.Job, index int, reason jobstate.StopReason, grace int64) {
	if job.Kind != jobstate.Gang {
		t.stopTask(job, index, reason, grace)
		return
	}
	job.EachPlaced(func(i int, _ *jobstate.Task) { t.stopTask(job, i, reason, grace) })
}

// stopTask clears the placement of a task whose start was not sent, and otherwise requests its
// stop. A task that is already stopping keeps its reason and grace period.
func (t *taskManager) stopTask(job *jobstate.Job, index int, reason jobstate.StopReason, grace int64) {
	task := job.Task(index)
	if !task.StartSent {
		t.clearPlacement(job, index)
		return
	}
	if !task.IsStopping() {
		t.requestStop(job, index, reason, grace)
	}
}

// requestStop requests that an attempt is stopped within a grace period; 0 stops it immediately.
// The grace period of an attempt that is already stopping can only be shortened.
func (t *taskManager) requestStop(job *jobstate.Job, index int, reason jobstate.StopReason, grace int64) {
	task := job.Task(index)
	if task.IsStopping() && grace >= task.Grace {
		return
	}
	if !task.IsStopping() {
		task.StopRequestedAt = t.now
	}
	task.StopReason, task.Grace = reason, grace
	t.elector.leadership.heartbeats.requestRelease()
	t.queueDirectStop(job, index)
}

// clearPlacement removes the placement of an attempt that is proven to be gone.
func (t *taskManager) clearPlacement(job *jobstate.Job, index int) {
	task := job.Task(index)
	if machine := t.elector.leadership.fleet.Get(task.Machine); machine != nil {
		machine.RemovePlacement(fleet.TaskRef{Job: job, Index: index})
		if task.Phase == jobstate.Fetching && !machine.HasTaskFetching(job.Image) {
			machine.AbandonFetch(job.Image)
		}
		if len(machine.Placed) == 0 {
			machine.IdleSince = t.now
		}
	}
	job.UnplaceTask(index, t.now)
	t.committer.markDirty(job)
	t.elector.leadership.planning.requestRound()
}

// clearGone clears the placements of attempts that are proven to be gone: those in lost were on
// their machines, those in neverStarted were not. It handles them in sorted order, because each
// lost task stops the rest of its gang, and changes are written in the order in which they were
// made.
func (t *taskManager) clearGone(lost, neverStarted []fleet.TaskRef) {
	fleet.SortTaskRefs(lost)
	for _, ref := range lost {
		t.taskLost(ref.Job, ref.Index)
	}
	fleet.SortTaskRefs(neverStarted)
	for _, ref := range neverStarted {
		if ref.Job.Task(ref.Index).Machine != "" {
			t.clearPlacement(ref.Job, ref.Index)
		}
	}
}

// taskLost handles an attempt that is proven to be gone without having reported its exit.
func (t *taskManager) taskLost(job *jobstate.Job, index int) {
	t.log.Debug("task lost", "job", job.ID, "task", index, "machine", job.Task(index).Machine)
	t.clearPlacement(job, index)
	if job.Kind == jobstate.Gang && job.Outcome() == "" {
		t.abandonGangAttempt(job, false)
	}
}

// taskDone records a completed task; the tasks of a gang complete together.
func (t *taskManager) taskDone(job *jobstate.Job, index int) {
	if job.Kind == jobstate.Gang {
		for i := range job.Tasks {
			job.SetDone(i, t.now)
		}
	} else {
		job.SetDone(index, t.now)
	}
	t.committer.markDirty(job)
}

// taskExited handles the exit of a placed attempt.
func (t *taskManager) taskExited(machine *fleet.Machine, job *jobstate.Job, index int, status *TaskStatus) {
	task := job.Task(index)
	t.log.Debug("task exited", "class", job.Class, "task", status.Name, "attempt", status.Attempt, "machine", machine.Name,
		"reason", status.Reason, "stop_reason", task.StopReason,
		"ran_s", float64(t.now-task.StartedAt)/1e6, "estimate_s", float64(job.Estimate)/1e6)
	if task.Trial && task.StopReason == jobstate.StopTrial {
		job.SetTrialDone(t.now)
	}
	switch status.Reason {
	case ExitDone, ExitError, ExitGangIncomplete:
		machine.RecordImageUse(job.Image, job.ImageMB, t.now) // the image was on the machine
	}
	t.clearPlacement(job, index)
	switch status.Reason {
	case ExitDone:
		clear(machine.FailedJobs)
		return
	case ExitError:
		job.Failures++
		job.NotBefore = t.now + min(int64(job.Failures)*failureBackoff, maxFailureBackoff)
		t.suspectMachine(machine, job)
	case ExitNoRoom, ExitBusy, ExitUnknownTask:
		job.NotBefore = t.now + notStartedBackoff
	}
	t.holdExitedStart(machine, job, status)
	if job.Kind == jobstate.Gang && job.Outcome() == "" {
		t.abandonGangAttempt(job, status.Reason == ExitGangIncomplete)
	}
}

// jobArrived handles a job that is new to the state cache.
func (t *taskManager) jobArrived(job *jobstate.Job) {
	if !t.elector.isLeader() {
		return
	}
	t.elector.leadership.planning.requestRound()
	t.prefetcher.addImageDemand(job.Spec)
	t.elector.leadership.planning.classSizes.record(job.Spec)
}

// jobEnded stops the remaining tasks of a job that now has an outcome.
func (t *taskManager) jobEnded(job *jobstate.Job) {
	t.dependencies.removeJob(job)
	if !t.elector.isLeader() {
		return
	}
	t.cancel(job, job.OutcomeStopReason())
	t.committer.markDirty(job)
	t.elector.leadership.planning.requestRound()
}

// jobRemoved drops a job whose keys were removed.
func (t *taskManager) jobRemoved(job *jobstate.Job) {
	t.dependencies.removeJob(job)
	if !t.elector.isLeader() {
		return
	}
	t.committer.forget(job)
	job.EachPlaced(func(i int, task *jobstate.Task) {
		if machine := t.elector.leadership.fleet.Get(task.Machine); machine != nil {
			machine.RemovePlacement(fleet.TaskRef{Job: job, Index: i})
		}
	})
	t.elector.leadership.planning.requestRound()
}
