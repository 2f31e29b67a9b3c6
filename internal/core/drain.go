package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A faulty machine fails the tasks of different jobs, a faulty job fails on different
// machines.
const (
	// faultyMachineJobs is how many jobs fail on a machine before it is drained.
	faultyMachineJobs = 2
	// maxFailedMachines is on how many machines a job may fail before the job itself is
	// taken to be the cause.
	maxFailedMachines = 2
)

// suspectMachine counts failures of different jobs on a machine, and drains it if it looks
// faulty.
func (t *taskManager) suspectMachine(machine *fleet.Machine, job *jobstate.Job) {
	if job.FailedOn == nil {
		job.FailedOn = map[string]bool{}
	}
	job.FailedOn[machine.Name] = true
	if len(job.FailedOn) > maxFailedMachines {
		// It is the job: two such must not have every machine drained.
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

// drainMachine evicts the tasks of a machine that is to go, with time for a checkpoint. A
// task that makes none is left to end where the notice is long enough; notice 0 is none.
func (t *taskManager) drainMachine(machine *fleet.Machine, notice int64) {
	for _, ref := range machine.PlacedInOrder() {
		job, task := ref.Job, ref.Job.Task(ref.Index)
		if job.Outcome() != "" || task == nil || task.Machine != machine.Name {
			continue // it went with its gang, or goes anyway
		}
		if job.Checkpoint == 0 && notice > 0 && t.endsWithin(job, task, notice) {
			continue
		}
		t.drain(job, ref.Index)
	}
	t.elector.leadership.planning.requestRound()
}

// endsWithin reports whether a task should end well within a duration, by its estimate.
func (t *taskManager) endsWithin(job *jobstate.Job, task *jobstate.Task, duration int64) bool {
	return task.StartedAt != 0 && task.StartedAt+job.Estimate < t.now+duration*3/4
}
