package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// taskManager places, stops and clears tasks, and sends commands straight to workers where they are urgent.
type taskManager struct {
	*engine

	committer    *committer
	dependencies *dependencyResolver
	elector      *elector
	prefetcher   *prefetcher
	workers      *workerManager
}

// requestStop asks for an attempt to be stopped; grace 0 ends it at once.
func (tm *taskManager) requestStop(j *jobstate.Job, i int, reason jobstate.StopReason, grace int64) {
	t := j.Task(i)
	if t.IsStopping() && grace >= t.Grace {
		return
	}
	if !t.IsStopping() {
		t.StopRequestedAt = tm.now
	}
	t.StopReason, t.Grace = reason, grace
	tm.elector.leadership.heartbeats.releaseWanted = true
	tm.queueDirectCommand(j, i)
}

// clearPlacement removes a placement that is proven to be gone.
func (tm *taskManager) clearPlacement(j *jobstate.Job, i int) {
	t := j.Task(i)
	if m := tm.elector.leadership.fleet.Get(t.Machine); m != nil {
		m.RemovePlacement(fleet.TaskRef{Job: j, Index: i})
		if t.Phase == jobstate.Fetching && !fetchesImage(m, j.Image) {
			m.AbandonFetch(j.Image)
		}
		if len(m.Placed) == 0 {
			m.IdleSince = tm.now
		}
	}
	j.UnplaceTask(i, tm.now)
	tm.committer.markDirty(j)
	tm.elector.leadership.planning.requestRound()
}

// preemptGang stops a task, or the whole gang, with time to save.
func (tm *taskManager) preemptGang(j *jobstate.Job, i int, reason jobstate.StopReason) {
	tm.stopAtCheckpoint(j, i, reason, checkpointGrace(j))
}

func (tm *taskManager) stopAtCheckpoint(j *jobstate.Job, i int, reason jobstate.StopReason, grace int64) {
	if j.Kind != jobstate.Gang {
		tm.stopTask(j, i, reason, grace)
		return
	}
	j.EachPlaced(func(i int, _ *jobstate.Task) { tm.stopTask(j, i, reason, grace) })
}

func (tm *taskManager) stopTask(j *jobstate.Job, i int, reason jobstate.StopReason, grace int64) {
	t := j.Task(i)
	if !t.StartSent {
		tm.clearPlacement(j, i)
		return
	}
	if !t.IsStopping() {
		tm.requestStop(j, i, reason, grace)
	}
}

// stopAllPlaced stops all placed tasks of a job at once.
func (tm *taskManager) stopAllPlaced(j *jobstate.Job, reason jobstate.StopReason) {
	j.EachPlaced(func(i int, t *jobstate.Task) {
		if !t.StartSent {
			tm.clearPlacement(j, i) // no worker knows of it
			return
		}
		tm.requestStop(j, i, reason, 0)
	})
}

// queueDirectCommand sends a stop to the worker's own address, which is faster than its
// next report. That is safe however late it arrives: an attempt that was
// once told to stop is never wanted again. One of a job that is over may be sent
// even by a leader that was replaced and does not know.
func (tm *taskManager) queueDirectCommand(j *jobstate.Job, i int) {
	t := j.Task(i)
	m := tm.elector.leadership.fleet.Get(t.Machine)
	if m == nil || m.Addr == "" || m.Epoch == 0 || !tm.workers.mayDeliverStop(j, t) {
		return
	}
	tm.elector.leadership.directCommands[m.Name] = append(tm.elector.leadership.directCommands[m.Name], Command{Kind: CommandStop, Task: jobstate.TaskName(j.ID, i), Attempt: t.Attempt, Grace: t.Grace})
}

// sendDirectCommands sends a machine's orders together: hundreds of tasks may be stopped
// in one moment, and each message takes a connection.
func (tm *taskManager) sendDirectCommands() {
	for _, name := range sortedKeys(tm.elector.leadership.directCommands) {
		m := tm.elector.leadership.fleet.Get(name)
		if m == nil {
			continue
		}
		for orders := range slices.Chunk(tm.elector.leadership.directCommands[name], maxDirectCommands) {
			tm.emit(SendCommands{Addr: m.Addr, FencingToken: tm.elector.fencingToken(), Epoch: m.Epoch, Commands: orders})
		}
	}
	clear(tm.elector.leadership.directCommands)
}

// breakGang ends what is left of a gang's attempt; the next one begins when
// all of its tasks are gone. If it was only incomplete for too long, those that
// still fetch the image go on until they have it: stopped, they would begin
// the fetch anew with the next attempt, which would be incomplete as well, and
// so on for ever where a machine fetches slowly and the others have the image.
func (tm *taskManager) breakGang(j *jobstate.Job, incomplete bool) {
	if j.NumDone == j.Tasks {
		return
	}
	j.EachPlaced(func(i int, t *jobstate.Task) {
		if !t.StartSent {
			tm.clearPlacement(j, i)
			return
		}
		if !t.IsStopping() && !(incomplete && t.Phase == jobstate.Fetching) {
			tm.requestStop(j, i, jobstate.StopGang, 0)
		}
	})
}

// taskLost handles a task that is proven to be gone without an exit.
func (tm *taskManager) taskLost(j *jobstate.Job, i int) {
	tm.log.Debug("attempt lost", "job", j.ID, "task", i, "machine", j.Task(i).Machine)
	tm.clearPlacement(j, i)
	if j.Kind == jobstate.Gang && j.Outcome == "" {
		tm.breakGang(j, false)
	}
}

// clearGone clears placements that are proven to be gone: lost ones were there,
// the others never came to be. It goes by their order, as orders for the rest of
// a gang go out for each, and changes are written in the order they were made.
func (tm *taskManager) clearGone(lost, never []fleet.TaskRef) {
	sortRefs(lost)
	for _, ref := range lost {
		tm.taskLost(ref.Job, ref.Index)
	}
	sortRefs(never)
	for _, ref := range never {
		if t := ref.Job.Task(ref.Index); t.Machine != "" {
			tm.clearPlacement(ref.Job, ref.Index)
		}
	}
}

// jobArrived, jobEnded and jobRemoved are called by the mirror.
func (tm *taskManager) jobArrived(j *jobstate.Job) {
	if tm.elector.isLeader() {
		tm.elector.leadership.planning.requestRound()
		tm.prefetcher.noteImageDemand(j.Spec)
		tm.elector.leadership.planning.classSizes.note(j.Spec)
	}
}

func (tm *taskManager) jobEnded(j *jobstate.Job) {
	tm.dependencies.dependencyGraph.Remove(j)
	if !tm.elector.isLeader() {
		return
	}
	tm.stopAllPlaced(j, j.OutcomeStopReason())
	tm.committer.markDirty(j)
	tm.elector.leadership.planning.requestRound()
}

func (tm *taskManager) jobRemoved(j *jobstate.Job) {
	tm.dependencies.dependencyGraph.Remove(j)
	if !tm.elector.isLeader() {
		return
	}
	delete(tm.elector.leadership.commits.dirty, j)
	delete(tm.elector.leadership.commits.backoffUntil, j)
	j.EachPlaced(func(i int, t *jobstate.Task) {
		if m := tm.elector.leadership.fleet.Get(t.Machine); m != nil {
			m.RemovePlacement(fleet.TaskRef{Job: j, Index: i})
		}
	})
	tm.elector.leadership.planning.requestRound()
}

// taskDone notes a completed task; the tasks of a gang complete together.
func (tm *taskManager) taskDone(j *jobstate.Job, i int) {
	if j.Kind == jobstate.Gang {
		for k := range j.Tasks {
			j.SetDone(k, tm.now)
		}
	} else {
		j.SetDone(i, tm.now)
	}
	tm.committer.markDirty(j)
}

// taskExited handles the end of a placed attempt.
func (tm *taskManager) taskExited(m *fleet.Machine, j *jobstate.Job, i int, tr *TaskStatus) {
	t := j.Task(i)
	stopped := t.StopReason
	tm.log.Debug("exited", "class", j.Class, "task", tr.Name, "attempt", tr.Attempt, "machine", m.Name, "why", tr.Reason, "stopped", stopped,
		"ran_s", float64(tm.now-t.StartedAt)/1e6, "estimate_s", float64(j.Estimate)/1e6)
	if t.Trial && stopped == jobstate.StopTrial {
		j.SetTrialDone(tm.now)
	}
	switch tr.Reason {
	case ExitDone, ExitError, ExitGangIncomplete:
		m.RecordImageUse(j.Image, j.ImageMB, tm.now) // it had it
	}
	tm.clearPlacement(j, i)
	switch tr.Reason {
	case ExitDone:
		clear(m.FailedJobs)
		return
	case ExitError:
		j.Failures++
		// A bad submission fails everywhere; it comes back more and more
		// seldom, so that it harms nobody.
		j.NotBefore = tm.now + min(int64(j.Failures)*2*second, 30*second)
		tm.suspectMachine(m, j)
	case ExitNoRoom, ExitBusy, ExitUnknownTask:
		j.NotBefore = tm.now + second
	}
	if j.Kind == jobstate.Gang && j.Outcome == "" {
		tm.breakGang(j, tr.Reason == ExitGangIncomplete)
	}
}

// suspectMachine counts failures of different jobs on a machine: a faulty machine
// fails everything, a faulty job fails everywhere.
func (tm *taskManager) suspectMachine(m *fleet.Machine, j *jobstate.Job) {
	if j.FailedOn == nil {
		j.FailedOn = map[string]bool{}
	}
	j.FailedOn[m.Name] = true
	if len(j.FailedOn) > minFailedMachines {
		// It is the job: two such must not have every machine drained.
		for _, o := range tm.elector.leadership.fleet.All() {
			delete(o.FailedJobs, j.ID)
		}
		return
	}
	m.FailedJobs[j.ID] = true
	if len(m.FailedJobs) >= 2 && !m.Draining {
		tm.log.Info("machine looks faulty, draining it", "machine", m.Name, "jobs", len(m.FailedJobs))
		m.Draining = true
		m.MarkChanged()
		tm.drainMachine(m, 0)
	}
}

// drainMachine stops what is on a machine that is to go, with time to save where
// the notice leaves it.
func (tm *taskManager) drainMachine(m *fleet.Machine, notice int64) {
	refs := make([]fleet.TaskRef, 0, len(m.Placed))
	for ref := range m.Placed {
		refs = append(refs, ref)
	}
	sortRefs(refs)
	for _, ref := range refs {
		j := ref.Job
		if j.Outcome != "" || j.Task(ref.Index) == nil || j.Task(ref.Index).Machine != m.Name {
			continue
		}
		if j.Checkpoint == 0 && notice > 0 && tm.finishesWithin(j, j.Task(ref.Index), notice) {
			continue
		}
		tm.preemptGang(j, ref.Index, jobstate.StopDrain)
	}
	tm.elector.leadership.planning.requestRound()
}

func (tm *taskManager) finishesWithin(j *jobstate.Job, t *jobstate.Task, d int64) bool {
	return t.StartedAt != 0 && t.StartedAt+j.Estimate < tm.now+d*3/4
}
