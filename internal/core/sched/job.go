package sched

import (
	"cmp"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// Unlimited is the headroom of a team without a limit.
	Unlimited = int64(1) << 50
	// never is the delay of something that cannot happen.
	never = int64(1) << 50
)

// Job is a job with tasks that wait to be placed.
type Job struct {
	*jobstate.Job
	Queue int
	// ExpectedDuration is the time for which a task is expected to occupy its machine,
	// without the image fetch.
	ExpectedDuration int64
	// Headroom is the unused part of the team's limit, shared by the team's jobs.
	Headroom *Headroom
	// Guaranteed reports whether the job, together with its team's earlier jobs, is within
	// the team's guarantee.
	Guaranteed bool
	// DeadlineLost reports whether the job's deadline can no longer be met. Otherwise equal
	// jobs then go before the job.
	DeadlineLost bool
	// StartOverdue reports whether the job is among the largest jobs of its class and has
	// waited so long that it goes before otherwise equal jobs.
	StartOverdue bool
	// NeedsGPUMachine reports whether the job needs no GPU, but fits only on machines with
	// GPUs.
	NeedsGPUMachine bool
	// QueueOrder is the time by which otherwise equal jobs are ordered: the job's arrival
	// or, with a deadline, its latest start.
	QueueOrder int64
	// TasksByZone is the number of the job's placed tasks per zone.
	TasksByZone map[string]int
	// StartBy is the time by which machines have to be free for the job to start in time, 0
	// if the job has no objective for its start.
	StartBy int64

	// deferred reports whether the job waits for machines that are being freed for it,
	// because they are better than the free ones.
	deferred bool
	// nextTask is the index at which the search for unplaced tasks continues, planned is the
	// number of the job's tasks placed in this round.
	nextTask, planned int
}

// Headroom is the amount that a team may still place, Unlimited for a resource without a
// limit.
type Headroom struct{ CPU, GPU int64 }

// tasksFitting returns the number of tasks with a need that fit into the headroom.
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

// compareJobs orders jobs as in figure 2 of the paper, by descending priority and then by
// arrival, with these exceptions among jobs of equal priority, in order of precedence:
//
//   - A job within its team's guarantee goes first, as it must not wait for other teams.
//   - Next go large jobs whose start is overdue.
//   - A job whose deadline is lost goes last.
//   - A job with a deadline is ordered by its latest start instead of its arrival.
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

// Before reports whether a goes before b if both wait.
func Before(a, b *Job) bool { return compareJobs(a, b) < 0 }

// tasksLeft returns the number of tasks that have no machine yet in this round.
func (j *Job) tasksLeft() int { return j.Unplaced() - j.planned }

// tasksAtOnce returns the number of tasks that have to start together: all remaining tasks of
// a gang, one task of any other job.
func (j *Job) tasksAtOnce() int {
	if j.Kind == jobstate.Gang {
		return j.tasksLeft()
	}
	return 1
}

// tasksByZone returns TasksByZone, which it creates if it is nil.
func (j *Job) tasksByZone() map[string]int {
	if j.TasksByZone == nil {
		j.TasksByZone = make(map[string]int)
	}
	return j.TasksByZone
}

// allows reports whether the job's tasks may ever be placed on machines of a class.
func (j *Job) allows(c MachineClass) bool {
	return j.Allows(c.Type, c.Zone, c.Spot, c.Cap)
}

// suits reports whether an empty machine of a class could run a task of j in this round.
func (j *Job) suits(c MachineClass) bool {
	return j.allows(c) && j.fitsZone(c.Zone, j.TasksByZone) && !j.avoidsGPUs(c)
}

// avoidsGPUs reports whether the job leaves machines of a class to other jobs because they
// have GPUs that it does not need.
func (j *Job) avoidsGPUs(c MachineClass) bool {
	return j.Need.GPU == 0 && c.Cap.GPU > 0 && !j.NeedsGPUMachine
}

// zoneKey returns the key by which machines are grouped so that all tasks that start together
// can be in one group: the zone for a job with one_zone, else "".
func (j *Job) zoneKey(c MachineClass) string {
	if j.OneZone {
		return c.Zone
	}
	return ""
}

// fitsZone reports whether a job with tasksByZone tasks in each zone may have one more in zone.
// With one_zone all tasks must be in one zone, with Spread at most half of them, rounded up.
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

// fetchDelay returns the time that a machine needs to fetch the job's image, 0 if the machine has
// the image or will have it.
func (j *Job) fetchDelay(m *Machine) int64 {
	if j.Image == "" || m.willHaveImage(j.Image) {
		return 0
	}
	return j.FetchTime(m.FetchRate)
}

// durationOn returns the time for which a task is expected to occupy a machine, with the image
// fetch.
func (j *Job) durationOn(m *Machine) int64 { return j.ExpectedDuration + j.fetchDelay(m) }

// isDeadlineCritical reports whether urgent work is likely to miss its deadline if one task is
// lost with a spot machine. An example is a pipeline, whose stages each depend on their slowest
// task. Tasks with checkpoints are not critical.
func (j *Job) isDeadlineCritical() bool {
	return j.EffectiveDeadline > 0 && j.EffectivePriority >= jobstate.Urgent && j.Checkpoint == 0
}
