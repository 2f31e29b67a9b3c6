package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// abandonedFetchFactor limits the image fetch of a task whose gang attempt was abandoned: the
// maximum time since the task's placement, as a multiple of the expected fetch time.
const abandonedFetchFactor = 4

// reconcile compares a heartbeat with the placements on its machine. It returns the commands
// that bring the machine in line with them, and whether a placed attempt has exited.
func (w *workerManager) reconcile(machine *fleet.Machine, heartbeat *Heartbeat) (commands []Command, exited bool) {
	commands, exited = w.reconcileListed(machine, heartbeat)
	return w.reconcileMissing(machine, heartbeat, commands), exited
}

// listedTask is a task listed in a heartbeat, with the job and task that it belongs to.
type listedTask struct {
	status *TaskStatus
	// job and task are nil if they are not known.
	job   *jobstate.Job
	task  *jobstate.Task
	index int
	// isPlaced is set if this attempt is placed on the machine that lists it.
	isPlaced bool
}

// command returns a command for the listed attempt.
func (l *listedTask) command(kind CommandKind, grace int64) Command {
	return Command{Kind: kind, Task: l.status.Name, Attempt: uint32(l.status.Attempt), Grace: grace}
}

// findListed looks up the job and task of a task status in a heartbeat.
func (w *workerManager) findListed(machine *fleet.Machine, status *TaskStatus) (listedTask, error) {
	id, index, err := jobstate.ParseTaskName(status.Name)
	if err != nil {
		return listedTask{}, err
	}
	listed := listedTask{status: status, job: w.cache.jobs[id], index: index}
	if listed.job != nil {
		listed.task = listed.job.Task(index)
	}
	if task := listed.task; task != nil {
		listed.isPlaced = task.Machine == machine.Name && uint64(task.Attempt) == status.Attempt
	}
	return listed, nil
}

// reconcileListed reconciles the tasks that a heartbeat lists. It returns the commands for
// them, and whether a placed attempt has exited.
func (w *workerManager) reconcileListed(machine *fleet.Machine, heartbeat *Heartbeat) (commands []Command, exited bool) {
	machine.OrphanUsage = jobstate.Resources{}
	prefetchListed := false
	for k := range heartbeat.Tasks {
		status := &heartbeat.Tasks[k]
		if p := machine.Prefetch; p != nil && p.Task == status.Name && uint64(p.Attempt) == status.Attempt {
			prefetchListed = true
			commands = append(commands, w.prefetcher.reconcilePrefetch(machine, status)...)
			continue
		}
		listed, err := w.findListed(machine, status)
		if err != nil {
			continue // no task of this cluster has such a name
		}
		switch {
		case status.State == TaskExited:
			exited = exited || listed.isPlaced
			if w.reconcileExited(machine, &listed) {
				commands = append(commands, listed.command(CommandForget, 0))
			}
		case !listed.isPlaced:
			// An abandoned attempt, or one of an earlier leader.
			commands = append(commands, listed.command(CommandStop, 0))
			if listed.job != nil {
				machine.OrphanUsage = machine.OrphanUsage.Add(listed.job.Need)
			}
		default:
			w.reconcilePlaced(machine, &listed)
			if listed.task.IsStopping() {
				commands = append(commands, listed.command(CommandStop, listed.task.Grace))
			}
		}
	}
	return append(commands, w.prefetcher.prefetchCommand(machine, prefetchListed)...), exited
}

// reconcileExited records the exit of an attempt, and reports whether the worker may forget
// the attempt. The exit must be stored first: otherwise the stored placement could lead to
// another start, which would run the task again. So could a copy of the answer with the start, if it
// came after the worker has forgotten the attempt.
func (w *workerManager) reconcileExited(machine *fleet.Machine, listed *listedTask) (forget bool) {
	job, task := listed.job, listed.task
	expired := !machine.StartMayRepeat(listed.status.Name, listed.status.Attempt, w.now)
	if task == nil {
		return expired
	}
	if job.Outcome() == "" && listed.status.Reason == ExitDone {
		w.tasks.taskDone(job, listed.index)
	}
	if listed.isPlaced {
		task.Confirmed = true
		w.tasks.taskExited(machine, job, listed.index, listed.status)
	}
	return expired && (job.Outcome() != "" || job.IsTaskStored(listed.index))
}

// reconcilePlaced records the state of a placed attempt, and requests its stop if its gang
// attempt was abandoned or its job has an outcome.
func (w *workerManager) reconcilePlaced(machine *fleet.Machine, listed *listedTask) {
	job, task := listed.job, listed.task
	task.Confirmed, task.StartSent = true, true
	w.recordTaskPhase(machine, job, task, listed.status.State)
	if job.IsPartiallyPlaced() && !task.IsStopping() && !w.mayFinishFetch(machine, job, task) {
		w.tasks.requestStop(job, listed.index, jobstate.StopGang, 0)
	}
	if job.Outcome() != "" && !task.IsStopping() {
		task.StopReason, task.StopRequestedAt = job.OutcomeStopReason(), w.now
	}
}

// mayFinishFetch reports whether a task whose gang attempt was abandoned may continue until it
// has fetched its image; see abandonGangAttempt.
func (w *workerManager) mayFinishFetch(machine *fleet.Machine, job *jobstate.Job, task *jobstate.Task) bool {
	return task.Phase == jobstate.Fetching &&
		w.now-task.PlacedAt <= abandonedFetchFactor*job.FetchTime(machine.FetchRate)
}

// phaseOf converts the state of an attempt in a heartbeat to a phase.
func phaseOf(state TaskState) jobstate.Phase {
	switch state {
	case TaskWaiting:
		return jobstate.Waiting
	case TaskRunning:
		return jobstate.Running
	case TaskCheckpointing:
		return jobstate.Checkpointing
	}
	return jobstate.Fetching
}

// recordTaskPhase records the state of a placed attempt.
func (w *workerManager) recordTaskPhase(machine *fleet.Machine, job *jobstate.Job, task *jobstate.Task, state TaskState) {
	phase := phaseOf(state)
	if phase == jobstate.Running && task.StartedAt == 0 {
		task.StartedAt = w.now
		w.log.Debug("task running", "class", job.Class, "job", job.ID, "machine", machine.Name,
			"placed_s", float64(w.now-task.PlacedAt)/1e6, "ready_s", float64(w.now-job.ReadyAt)/1e6)
	}
	if phase == task.Phase {
		return
	}
	if phase == jobstate.Fetching {
		machine.RecordImageFetch(job.Image, job.ImageMB, w.now)
	} else {
		machine.RecordImageUse(job.Image, job.ImageMB, w.now)
	}
	job.SetPhase(task, phase)
	w.elector.leadership.planning.requestRound()
}

// missingTasks are placements that a heartbeat does not list.
type missingTasks struct {
	// toStart are stored placements that were not started yet, or whose start was lost.
	toStart []fleet.TaskRef
	// lost are placements whose tasks were on the machine and are gone; neverStarted are
	// placements whose tasks have never been on it.
	lost, neverStarted []fleet.TaskRef
}

// reconcileMissing handles the placements that a heartbeat does not list. It appends a start
// for those that are stored, and clears those that can no longer be on the machine.
func (w *workerManager) reconcileMissing(machine *fleet.Machine, heartbeat *Heartbeat, commands []Command) []Command {
	if len(machine.Placed) == 0 {
		return commands
	}
	missing := w.findMissing(machine, heartbeat)
	w.tasks.clearGone(missing.lost, missing.neverStarted)
	fleet.SortTaskRefs(missing.toStart)
	for _, ref := range missing.toStart {
		task := ref.Job.Task(ref.Index)
		if task.Machine != machine.Name || task.IsStopping() {
			continue // another task of its gang was just lost
		}
		task.StartSent = true
		commands = append(commands, Command{
			Kind:    CommandStart,
			Task:    jobstate.TaskName(ref.Job.ID, ref.Index),
			Attempt: task.Attempt,
		})
	}
	return commands
}

// attempts returns the attempts that the heartbeat lists. It may list several of one task, of which
// all but one have exited, in any order.
func (h *Heartbeat) attempts() map[fleet.AttemptRef]bool {
	listed := make(map[fleet.AttemptRef]bool, len(h.Tasks))
	for k := range h.Tasks {
		listed[fleet.AttemptRef{Task: h.Tasks[k].Name, Attempt: h.Tasks[k].Attempt}] = true
	}
	return listed
}

// findMissing groups the placements that a heartbeat does not list by how they are handled.
func (w *workerManager) findMissing(machine *fleet.Machine, heartbeat *Heartbeat) (missing missingTasks) {
	listed := heartbeat.attempts()
	for ref := range machine.Placed {
		job, task := ref.Job, ref.Job.Task(ref.Index)
		name := jobstate.TaskName(job.ID, ref.Index)
		if listed[fleet.AttemptRef{Task: name, Attempt: uint64(task.Attempt)}] {
			continue
		}
		switch {
		case machine.SeqRestarted() && (task.Confirmed || task.IsStopping() && task.StartSent):
			// The heartbeat may be a copy from before the sequence numbers restarted,
			// so the machine is probed; see needsProbe.
		case (task.Confirmed || task.IsStopping()) && machine.StartMayRepeat(name, uint64(task.Attempt), w.now):
			// The machine may have been restarted right after the start, and a copy of the
			// start may reach it yet.
		case task.Confirmed && machine.HasCurrentToken:
			// The task was on the machine and is gone: it ended with the worker's previous
			// epoch.
			missing.lost = append(missing.lost, ref)
		case task.IsStopping() && (machine.HasCurrentToken || !task.StartSent):
			// The start was lost or never sent: if the worker had received it, this
			// later heartbeat would list the task.
			missing.neverStarted = append(missing.neverStarted, ref)
		case !task.IsStopping() && job.Outcome() == "" && task.Stored && w.elector.mayStartTasks():
			missing.toStart = append(missing.toStart, ref)
		}
	}
	return missing
}
