package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// taskManager stops tasks and clears their placements, keeps account of how attempts end,
// and sends commands straight to workers where they are urgent.
type taskManager struct {
	*engine

	committer    *committer
	dependencies *dependencyResolver
	elector      *elector
	prefetcher   *prefetcher
	workers      *workerManager
}

// For how long a job is not started again after an attempt of it has failed. A bad
// submission fails everywhere; it comes back more and more seldom, so that it harms nobody.
const (
	failureBackoff    = 2 * second // for each failure
	maxFailureBackoff = 30 * second
	notStartedBackoff = second // the worker could not start it
)

// checkpointGrace is long enough for a task to save a checkpoint, if it can.
func checkpointGrace(job *jobstate.Job) int64 {
	if job.Checkpoint > 0 {
		return job.Save*3/2 + second
	}
	return 0
}

// preempt makes room for other work: it stops a task, or the whole gang, within a grace
// period.
func (t *taskManager) preempt(job *jobstate.Job, index int, grace int64) {
	t.stopWithGang(job, index, jobstate.StopPreempt, grace)
}

// endTrial stops a task whose trial run is over, or the whole gang, with time for a
// checkpoint.
func (t *taskManager) endTrial(job *jobstate.Job, index int) {
	t.stopWithGang(job, index, jobstate.StopTrial, checkpointGrace(job))
}

// drain stops a task whose machine is to go, or the whole gang, with time for a checkpoint.
func (t *taskManager) drain(job *jobstate.Job, index int) {
	t.stopWithGang(job, index, jobstate.StopDrain, checkpointGrace(job))
}

// cancel stops all placed tasks of a job at once: nobody wants them any more.
func (t *taskManager) cancel(job *jobstate.Job, reason jobstate.StopReason) {
	job.EachPlaced(func(i int, task *jobstate.Task) {
		if !task.StartSent {
			t.clearPlacement(job, i) // no worker knows of it
			return
		}
		t.requestStop(job, i, reason, 0)
	})
}

// breakGang ends what is left of a gang's attempt; the next one begins when all of its
// tasks are gone. If it was only incomplete for too long, those that still fetch the image
// go on until they have it: stopped, they would begin the fetch anew with the next attempt,
// which would be incomplete as well, and so on for ever where a machine fetches slowly and
// the others have the image.
func (t *taskManager) breakGang(job *jobstate.Job, incomplete bool) {
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

// stopWithGang stops a task, and where it is one of a gang all of the gang.
func (t *taskManager) stopWithGang(job *jobstate.Job, index int, reason jobstate.StopReason, grace int64) {
	if job.Kind != jobstate.Gang {
		t.stopTask(job, index, reason, grace)
		return
	}
	job.EachPlaced(func(i int, _ *jobstate.Task) { t.stopTask(job, i, reason, grace) })
}

// stopTask clears a placement that no worker knows of, and requests the stop of one that
// may be started. One that is stopping already keeps its reason and grace period.
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

// requestStop asks for an attempt to be stopped within a grace period; 0 ends it at once.
// One that is stopping already can only be given less time.
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

// clearPlacement removes a placement that is proven to be gone.
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

// clearGone clears placements that are proven to be gone: lost ones were on their machine,
// the others were never started. It goes by their order, as the rest of a gang is stopped
// for each, and changes are written in the order in which they were made.
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

// taskLost handles a task that is proven to be gone without an exit.
func (t *taskManager) taskLost(job *jobstate.Job, index int) {
	t.log.Debug("task lost", "job", job.ID, "task", index, "machine", job.Task(index).Machine)
	t.clearPlacement(job, index)
	if job.Kind == jobstate.Gang && job.Outcome() == "" {
		t.breakGang(job, false)
	}
}

// taskDone notes a completed task; the tasks of a gang complete together.
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

// taskExited handles the end of a placed attempt.
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
		machine.RecordImageUse(job.Image, job.ImageMB, t.now) // it was there
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
	if job.Kind == jobstate.Gang && job.Outcome() == "" {
		t.breakGang(job, status.Reason == ExitGangIncomplete)
	}
}

// jobArrived notes a job that the state cache has not had.
func (t *taskManager) jobArrived(job *jobstate.Job) {
	if !t.elector.isLeader() {
		return
	}
	t.elector.leadership.planning.requestRound()
	t.prefetcher.noteImageDemand(job.Spec)
	t.elector.leadership.planning.classSizes.note(job.Spec)
}

// jobEnded stops what is left of a job that has an outcome by now.
func (t *taskManager) jobEnded(job *jobstate.Job) {
	t.dependencies.removeJob(job)
	if !t.elector.isLeader() {
		return
	}
	t.cancel(job, job.OutcomeStopReason())
	t.committer.markDirty(job)
	t.elector.leadership.planning.requestRound()
}

// jobRemoved forgets a job whose keys are gone.
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
