package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Limits that distinguish a faulty machine, on which tasks of different jobs fail, from a faulty
// job, which fails on different machines.
const (
	// faultyMachineJobs is the number of jobs that fail on a machine before it is drained.
	faultyMachineJobs = 2
	// maxFailedMachines is the maximum number of machines on which a job may fail before
	// the job itself is considered faulty.
	maxFailedMachines = 2
)

// suspectMachine records that a job has failed on a machine, and drains the machine if enough
// different jobs have failed on it.
func (t *taskManager) suspectMachine(machine *fleet.Machine, job *jobstate.Job) {
	if job.FailedOn == nil {
		job.FailedOn = map[string]bool{}
	}
	job.FailedOn[machine.Name] = true
	if len(job.FailedOn) > maxFailedMachines {
		// The job is faulty: two such jobs must not cause every machine to be drained.
		for _, other := range t.elector.leadership.fleet.All() {
			delete(other.FailedJobs, job.ID)
		}
		return
	}
	machine.FailedJobs[job.ID] = true
	if len(machine.FailedJobs) >= faultyMachineJobs && !machine.Draining {
		t.log.Info("draining machine that looks faulty", "machine", machine.Name, "jobs", len(machine.FailedJobs))
		machine.Draining = true
		machine.MarkChanged()
		t.drainMachine(machine, 0)
	}
}

// drainMachine evicts the tasks of a machine, with time for a checkpoint. A task without
// checkpoints is left to finish if it should end well within the preemption notice (endsWithin).
// A notice of 0 means that there is no preemption notice.
func (t *taskManager) drainMachine(machine *fleet.Machine, notice int64) {
	for _, ref := range machine.PlacedInOrder() {
		job, task := ref.Job, ref.Job.Task(ref.Index)
		if job.Outcome() != "" || task == nil || task.Machine != machine.Name {
			continue // already stopped with its gang, or because its job is over
		}
		if job.Checkpoint == 0 && notice > 0 && t.endsWithin(job, task, notice) {
			continue
		}
		t.drain(job, ref.Index)
	}
	t.elector.leadership.planning.requestRound()
}

// endsWithin reports whether a task, by its estimate, should end within three quarters of a
// duration.
func (t *taskManager) endsWithin(job *jobstate.Job, task *jobstate.Task, duration int64) bool {
	return task.StartedAt != 0 && task.StartedAt+job.Estimate < t.now+duration*3/4
}
