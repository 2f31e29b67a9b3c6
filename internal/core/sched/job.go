package sched

import (
	"cmp"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// Unlimited stands for no limit.
	Unlimited = int64(1) << 50
	// never stands for a time that never comes.
	never = int64(1) << 50
)

// Job is a job with tasks that wait.
type Job struct {
	*jobstate.Job
	Queue int
	// ExpectedDuration is how long a task is expected to hold its machine.
	ExpectedDuration int64
	// Headroom is what its team's limit leaves, shared by the team's jobs.
	Headroom *Headroom
	// Guaranteed: with its team's earlier jobs it fits the guarantee.
	Guaranteed bool
	// DeadlineLost: its deadline is lost, so it lets its equals go first.
	DeadlineLost bool
	// StartOverdue: it is one of its class's largest and has waited so long that it
	// goes before its equals.
	StartOverdue bool
	// NeedsGPUMachine: it needs no GPU, and yet no machine without GPUs can take it.
	NeedsGPUMachine bool
	// QueueOrder is when it came or, with a deadline, its latest start.
	QueueOrder int64
	// TasksByZone are the zones of its placed tasks, with their number.
	TasksByZone map[string]int
	// StartBy is when it needs free machines to start in time, 0 for no such time.
	StartBy int64

	// deferred: better machines are being freed for it than there are.
	deferred bool
	// nextTask is where the search for unplaced tasks goes on, planned how many found a
	// machine in this round.
	nextTask, planned int
}

// Headroom is what a team may still place; a resource without a limit is Unlimited.
type Headroom struct{ CPU, GPU int64 }

// tasksFitting is how many tasks of a need the headroom is good for.
func (h *Headroom) tasksFitting(need jobstate.Resources) int {
	tasks := Unlimited
	if need.CPU > 0 {
		tasks = min(tasks, h.CPU/need.CPU)
	}
	if need.GPU > 0 {
		tasks = min(tasks, h.GPU/need.GPU)
	}
	return int(max(tasks, 0))
}

// compareJobs is figure 2's order: high priority first, each by arrival; with the
// exceptions that a job within its team's guarantee goes before its equals, as
// it is not to wait for other teams, and that a job with a deadline waits its
// turn by when it has to start at the latest, and after its equals once its
// deadline is lost. Of equals those go first that are large and have to begin by now.
func compareJobs(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(b.EffectivePriority, a.EffectivePriority),
		compareFalseFirst(!a.Guaranteed, !b.Guaranteed),
		compareFalseFirst(!a.StartOverdue, !b.StartOverdue),
		compareFalseFirst(a.DeadlineLost, b.DeadlineLost),
		cmp.Compare(a.QueueOrder, b.QueueOrder),
		cmp.Compare(a.Arrival, b.Arrival),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareFalseFirst orders false before true.
func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Before says whether a goes before b where both wait.
func Before(a, b *Job) bool { return compareJobs(a, b) < 0 }

// tasksLeft is how many tasks have no machine yet in this round.
func (j *Job) tasksLeft() int { return j.Unplaced() - j.planned }

// tasksAtOnce is how many tasks have to start together: all of a gang, one of an array.
func (j *Job) tasksAtOnce() int {
	if j.Kind == jobstate.Gang {
		return j.tasksLeft()
	}
	return 1
}

// tasksByZone is TasksByZone as a map that can be written to.
func (j *Job) tasksByZone() map[string]int {
	if j.TasksByZone == nil {
		j.TasksByZone = make(map[string]int)
	}
	return j.TasksByZone
}

// allows says whether a job may ever be on machines of a class.
func (j *Job) allows(c MachineClass) bool {
	return j.Allows(c.Type, c.Zone, c.Spot, c.Cap)
}

// suits says whether a machine of a class could take a task of j, were it empty.
func (j *Job) suits(c MachineClass) bool {
	return j.allows(c) && j.fitsZone(c.Zone, j.TasksByZone) && !j.avoidsGPUs(c)
}

// avoidsGPUs says that a job leaves machines with GPUs to others.
func (j *Job) avoidsGPUs(c MachineClass) bool {
	return j.Need.GPU == 0 && c.Cap.GPU > 0 && !j.NeedsGPUMachine
}

// zoneKey is what machines are distinguished by where the tasks of a gang have to
// be together: the zone, if it matters.
func (j *Job) zoneKey(c MachineClass) string {
	if j.OneZone {
		return c.Zone
	}
	return ""
}

// fitsZone says whether a job that has so many tasks in each zone may have one more in a
// zone: one_zone keeps all of them in one, spread at most half of them.
func (j *Job) fitsZone(zone string, tasksByZone map[string]int) bool {
	if j.OneZone {
		for other, tasks := range tasksByZone {
			if tasks > 0 && other != zone {
				return false
			}
		}
	}
	if j.Spread && tasksByZone[zone]+1 > (j.Tasks+1)/2 {
		return false
	}
	return true
}

// fetchDelay is how long a machine takes to fetch the job's image if it lacks it.
func (j *Job) fetchDelay(m *Machine) int64 {
	if j.Image == "" || m.willHaveImage(j.Image) {
		return 0
	}
	return j.FetchTime(m.FetchRate)
}

// durationOn is for how long a task is expected to hold a machine.
func (j *Job) durationOn(m *Machine) int64 { return j.ExpectedDuration + j.fetchDelay(m) }

// isDeadlineCritical says that a task lost with a spot machine is likely to cost a
// deadline that urgent work has: that of a pipeline, by one stage's slowest task.
func (j *Job) isDeadlineCritical() bool {
	return j.EffectiveDeadline > 0 && j.EffectivePriority >= jobstate.Urgent && j.Checkpoint == 0
}
