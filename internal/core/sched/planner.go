package sched

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// anyPartition has tasks placed on machines of all partitions.
const anyPartition = -1

// Start is one task to be placed.
type Start struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// Pivot is the head of a queue that waits; StartAt is its expected start, 0 if no
// machine there is can ever take it.
type Pivot struct {
	Queue   int
	Job     *Job
	StartAt int64
}

// Preemption is a task to be stopped, and for which job.
type Preemption struct {
	RunningTask
	For *Job
	// Kill: without saving.
	Kill bool
}

// Plan is what is to be done now.
type Plan struct {
	Starts []Start
	Pivots []Pivot
	// Preemptions are tasks to be stopped to free machines.
	Preemptions []Preemption
	// Claims are on the machines of the preemptions.
	Claims []Claim
	// Waiting are jobs with tasks that found no machine.
	Waiting []*Job
}

// Planner carries one planning round: its exported fields are the input, and Plan may be
// called once.
type Planner struct {
	Now    int64
	Queues int
	Index  *Index
	// LoadRunningTasks sets a machine's RunningTasks; a round calls it for those whose work
	// it has to know, once each. Without it they are as they stand.
	LoadRunningTasks func(*Machine)
	// ImageWorth is what images are worth to jobs to come, as a delay.
	ImageWorth map[string]int64
	// MaxStarts bounds the tasks placed in a round, so that a large array can
	// not keep heartbeats waiting; the next round goes on. It is counted down.
	MaxStarts int
	// ReserveAhead is for how many urgent jobs after a queue's pivot machines are freed as
	// for the pivot, and reserved against lower work. Freeing takes seconds, so that one
	// at a time starves a large deployment's urgent jobs; a small one needs none.
	ReserveAhead int
	// LargestGPUTask is what the largest task with GPUs needs.
	LargestGPUTask jobstate.Resources
	// PreemptDelay is how far off a start may be before lower work is stopped.
	PreemptDelay int64
	// HasSpareMachines: so many machines are idle that services may take more than they fill.
	HasSpareMachines bool
	// PreferSpot are the types whose on-demand machines are wanted by jobs that
	// may use no others; of the rest on-demand ones go first, as they stay.
	PreferSpot map[string]bool
	// BeyondGuarantee says whether stopping work of a team only takes it from
	// beyond the team's guarantee.
	BeyondGuarantee func(team string, need jobstate.Resources) bool
	// Claims are those of earlier rounds.
	Claims []Claim

	plan Plan
	// fetching are the machines on which this round has placed a task that
	// brings an image, by the image.
	fetching map[string][]*Machine

	// What follows is allocated once and filled anew.
	searchBuffer []candidate
	timesBuffer  []int64
	victimBuffer []RunningTask
	slotBuffer   slotHeap
}

// Plan runs the round.
func (p *Planner) Plan(jobs []*Job) Plan {
	p.Index.beginRound(p.ImageWorth)
	queues := make([][]*Job, p.Queues)
	slices.SortStableFunc(jobs, compareJobs)
	for _, j := range jobs {
		queues[j.Queue] = append(queues[j.Queue], j)
	}
	p.reserveClaims(jobs)
	p.placePivots(queues)
	// Rules 7a and 7b: machines of the own partition.
	for _, queue := range queues {
		for _, j := range queue {
			p.placeTasks(j, j.Queue)
		}
	}
	// Rule 7c: lending, to jobs of high priority first (jobs is sorted).
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

// isFinished says that a job has nothing more to place in this round.
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
