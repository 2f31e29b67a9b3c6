package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

const (
	shortQueue = iota
	mediumQueue
	longQueue
)

const (
	// startOverhead is how long a start takes besides the image: stopping what is in
	// the way, the write, the command and the heartbeat.
	startOverhead = 3 * second
	// shortFirstFactor is how many times the time that the whole fleet needs for a job
	// its queue order is later by: of jobs that can't all be in time those with little
	// work go first, as they keep the others waiting for the least.
	shortFirstFactor = 10
	// onDemandWantedFor is how long a job that may use on-demand machines only keeps
	// them free for its like.
	onDemandWantedFor = 600 * second
	// lateJobPatience is for how many times its deadline a job that can't meet it lets
	// others go first.
	lateJobPatience = 8
)

// queueOf is the queue of a job by its estimate: equation (1) of the paper with cutoffs
// from the settings. Services never end and go to the long queue.
func (p *planner) queueOf(spec *jobstate.Spec) int {
	switch {
	case spec.Kind == jobstate.Service:
		return longQueue
	case spec.Estimate < p.settings.Ops.ShortCutoff:
		return shortQueue
	case spec.Estimate < p.settings.Ops.LongCutoff:
		return mediumQueue
	}
	return longQueue
}

// inheritPriorities gives jobs the priorities of those that depend on them: a job in
// front of an urgent one holds it up.
func (p *planner) inheritPriorities() {
	delay := p.heartbeatInterval()/2 + second
	p.dependencies.graph.InheritPriorities(maps.Values(p.cache.jobs), delay)
}

// unfinished lists the jobs that are not over and wait for no other, by arrival.
func (p *planner) unfinished() []*jobstate.Job {
	var jobs []*jobstate.Job
	for _, job := range p.cache.jobs {
		if job.Outcome() == "" && !job.IsBlocked() && p.sweepManager.mayStart(job) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *jobstate.Job) int {
		return cmp.Or(cmp.Compare(a.Arrival, b.Arrival), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// schedJobs lists the jobs that have tasks to place, as package sched takes them.
func (p *planner) schedJobs(unfinished []*jobstate.Job, used map[string]teamUsage, guaranteed map[*jobstate.Job]bool) []*sched.Job {
	headrooms := map[string]*sched.Headroom{}
	var jobs []*sched.Job
	for _, job := range unfinished {
		if job.Unplaced() <= 0 || p.now < job.NotBefore || job.IsBlocked() {
			continue
		}
		if job.Kind == jobstate.Gang && job.NumPlaced > 0 {
			continue // what is left of the last attempt has to go first
		}
		var tasksByZone map[string]int
		headroom := p.quotaHeadroom(headrooms, used, job.Team)
		if job.OneZone || job.Spread {
			if tasksByZone = p.tasksByZone(job); tasksByZone == nil {
				continue
			}
		}
		jobs = append(jobs, &sched.Job{
			Job:              job,
			Queue:            p.queueOf(job.Spec),
			ExpectedDuration: p.expectedDuration(job),
			Headroom:         headroom,
			Guaranteed:       guaranteed[job],
			DeadlineLost:     p.hasLostDeadline(job),
			StartOverdue:     p.startIsOverdue(job),
			NeedsGPUMachine:  job.Need.GPU == 0 && !fleet.FitsWithoutGPUs(p.cache.machineTypes, job.Spec),
			QueueOrder:       p.queueOrder(job),
			TasksByZone:      tasksByZone,
			StartBy:          p.startBy(job, guaranteed[job]),
		})
	}
	return jobs
}

// expectedDuration is how long a task of a job is expected to hold its machine.
func (p *planner) expectedDuration(job *jobstate.Job) int64 {
	switch {
	case job.Kind == jobstate.Service:
		return distantFuture
	case p.wantsTrial(job):
		return min(job.Estimate, p.settings.Ops.Trial)
	}
	return job.Estimate
}

// startBy is when a job needs free machines to start as its class should, if its
// image has to be fetched; 0 if there is no objective for its start.
func (p *planner) startBy(job *jobstate.Job, guaranteed bool) int64 {
	within := p.settings.StartWithin(job.Class, guaranteed)
	if within == 0 {
		return 0
	}
	var fetch int64
	for i := range p.cache.machineTypes {
		if t := &p.cache.machineTypes[i]; mayUseType(job.Spec, t) {
			fetch = max(fetch, job.FetchTime(t.FetchRate))
		}
	}
	return job.ReadyAt + within - fetch - startOverhead
}

// mayUseType says whether a task of a job fits a machine type and allows it.
func mayUseType(spec *jobstate.Spec, t *fleet.Type) bool {
	return spec.Need.Fits(t.Cap) && (len(spec.Types) == 0 || slices.Contains(spec.Types, t.Name))
}

// largestGPUTask is what the largest task with GPUs of any job needs.
func (p *planner) largestGPUTask() jobstate.Resources {
	var largest jobstate.Resources
	for _, job := range p.cache.jobs {
		need := job.Need
		if need.GPU > largest.GPU || need.GPU == largest.GPU && need.GPU > 0 && need.CPU > largest.CPU {
			largest = need
		}
	}
	return largest
}

// queueOrder is when a job came or, with a deadline, its latest start, later by how
// much the job would hold up others.
func (p *planner) queueOrder(job *jobstate.Job) int64 {
	if job.EffectiveDeadline == 0 {
		return job.ReadyAt
	}
	latestStart := max(job.SubmittedAt, job.EffectiveDeadline-job.Estimate)
	if p.dependencies.isInPipeline(job) {
		return latestStart // a stage of a pipeline: its deadline is all of its stages'
	}
	return latestStart + shortFirstFactor*p.fleetTime(job)
}

// fleetTime is how long all machines together would work on what is left of a job.
func (p *planner) fleetTime(job *jobstate.Job) int64 {
	capacity, left := p.elector.leadership.planning.capacity, int64(job.Tasks-job.NumDone)
	need, available := left*job.Need.CPU, capacity.CPU
	if job.Need.GPU > 0 {
		need, available = left*job.Need.GPU, capacity.GPU
	}
	if available <= 0 {
		return 0
	}
	return int64(float64(need) / float64(available) * float64(job.Estimate))
}

// hasLostDeadline says that a job can hardly meet its deadline any more. It then lets
// those that still can go first, until it has waited for many times its
// deadline: with more work than machines, strict arrival order would make
// every job late by the same backlog.
func (p *planner) hasLostDeadline(job *jobstate.Job) bool {
	if job.Deadline == 0 || job.Unplaced() == 0 {
		return false
	}
	age := p.now - job.SubmittedAt
	return age+job.Estimate > job.Deadline && age < lateJobPatience*job.Deadline
}

// spotPreferred finds the machine types on which jobs that may use spot machines
// leave the on-demand ones to others.
func (p *planner) spotPreferred() map[string]bool {
	wantedAt := p.elector.leadership.planning.onDemandWantedAt
	for _, job := range p.cache.jobs {
		if job.Spot || job.Outcome() != "" || job.IsBlocked() {
			continue
		}
		for i := range p.cache.machineTypes {
			if t := &p.cache.machineTypes[i]; mayUseType(job.Spec, t) && (job.Need.GPU > 0 || t.Cap.GPU == 0) {
				wantedAt[t.Name] = p.now
			}
		}
	}
	preferred := map[string]bool{}
	for name, at := range wantedAt {
		preferred[name] = p.now-at < onDemandWantedFor
	}
	return preferred
}

// tasksByZone counts a job's placements by zone; nil if a machine's zone is not
// known, as after a failover before its first heartbeat.
func (p *planner) tasksByZone(job *jobstate.Job) map[string]int {
	tasks := map[string]int{}
	known := true
	job.EachPlaced(func(_ int, t *jobstate.Task) {
		m := p.elector.leadership.fleet.Get(t.Machine)
		if m == nil || m.Zone == "" {
			known = false
			return
		}
		tasks[m.Zone]++
	})
	if !known {
		return nil
	}
	return tasks
}
