package sched

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// anyPartition stands for the machines of all partitions.
const anyPartition = -1

// Start is one task to be placed on a machine.
type Start struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// Pivot is a waiting job at the head of a queue: the first one for which machines can be reserved,
// an urgent job behind it for which machines are reserved as well, or a job that the existing
// machines can never run. StartAt is the expected start, 0 for a job that they can never run.
type Pivot struct {
	Queue   int
	Job     *Job
	StartAt int64
}

// Preemption is a task to be stopped, and the job for which it is stopped.
type Preemption struct {
	RunningTask
	For *Job
	// Kill reports whether the task is stopped without saving a checkpoint.
	Kill bool
}

// Plan is the result of a planning round.
type Plan struct {
	Starts []Start
	Pivots []Pivot
	// Preemptions are tasks to be stopped to free machines.
	Preemptions []Preemption
	// Claims reserve the machines that are being freed.
	Claims []Claim
	// Waiting are the jobs with tasks that were not placed.
	Waiting []*Job
}

// Planner runs one planning round. Its exported fields are the input, and Plan may be called
// once.
type Planner struct {
	Now    int64
	Queues int
	Index  *Index
	// LoadRunningTasks sets the RunningTasks of a machine. A round calls it once for each
	// machine whose tasks it needs. If it is nil, RunningTasks are used as they are.
	LoadRunningTasks func(*Machine)
	// ImageWorth is the value of images to future jobs, as a delay in microseconds.
	ImageWorth map[string]int64
	// MaxStarts is the maximum number of tasks placed in a round, so that a large array does
	// not delay heartbeats; the next round continues. It is decremented with each placement.
	MaxStarts int
	// ReserveAhead is the number of urgent jobs behind a queue's pivot for which machines are
	// freed as for the pivot, and reserved against lower-priority work. Freeing a machine takes
	// seconds, so freeing machines for one job at a time would starve the urgent jobs of a
	// large deployment. In a small deployment the value is 0.
	ReserveAhead int
	// LargestGPUTask is the need of the largest task with GPUs.
	LargestGPUTask jobstate.Resources
	// PreemptDelay is the time until a pivot's start, in microseconds, above which work of
	// lower priority is preempted for the pivot.
	PreemptDelay int64
	// HasSpareMachines reports whether so many machines are idle that the replicas of a
	// service may be spread over more machines than they would fill.
	HasSpareMachines bool
	// PreferSpot are the machine types whose on-demand machines are needed by jobs that may
	// not use spot machines. Of other types on-demand machines are preferred, as the cloud
	// does not reclaim them.
	PreferSpot map[string]bool
	// BeyondGuarantee reports whether a team still uses all of its guarantee after work with
	// the given need is stopped.
	BeyondGuarantee func(team string, need jobstate.Resources) bool
	// Claims are the claims of earlier rounds.
	Claims []Claim

	plan Plan
	// fetching are the machines on which this round has placed a task that makes them fetch
	// an image, by image.
	fetching map[string][]*Machine

	// The following buffers are reused within a round.
	searchBuffer []candidate
	timesBuffer  []int64
	victimBuffer []RunningTask
	slotBuffer   slotHeap
}

// Plan runs the planning round. It sorts jobs.
func (p *Planner) Plan(jobs []*Job) Plan {
	p.Index.beginRound(p.ImageWorth)
	queues := make([][]*Job, p.Queues)
	slices.SortStableFunc(jobs, compareJobs)
	for _, j := range jobs {
		queues[j.Queue] = append(queues[j.Queue], j)
	}
	p.reserveClaims(jobs)
	p.placePivots(queues)
	// Rules 7a and 7b of the paper's figure 2: machines of the queue's own partition.
	for _, queue := range queues {
		for _, j := range queue {
			p.placeTasks(j, j.Queue)
		}
	}
	// Rule 7c: lending, to jobs of high priority first, as jobs is sorted.
	for _, j := range jobs {
		p.placeTasks(j, anyPartition)
	}
	for _, j := range jobs {
		if j.tasksLeft() > 0 {
			p.plan.Waiting = append(p.plan.Waiting, j)
		}
	}
	p.preempt()
	return p.plan
}

// isFinished reports whether no more tasks of a job can be placed in this round: none is left,
// MaxStarts is used up, the job is deferred, or the team's headroom is too small.
func (p *Planner) isFinished(j *Job) bool {
	left := j.tasksLeft()
	if left <= 0 || p.MaxStarts <= 0 || j.deferred {
		return true
	}
	if j.Kind == jobstate.Gang {
		return j.Headroom.tasksFitting(j.Need) < left
	}
	return j.Headroom.tasksFitting(j.Need) < 1
}
