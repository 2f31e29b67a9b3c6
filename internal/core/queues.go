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
	// startOverhead is the duration of a start apart from fetching the image: preempting
	// tasks, the state write, the command and the heartbeat.
	startOverhead = 3 * second
	// shortFirstFactor is the multiple of a job's fleetTime that is added to its queue
	// order. If not all jobs can meet their deadlines, those with little work go first,
	// because they delay the others least.
	shortFirstFactor = 10
	// onDemandReserveTime is the time for which on-demand machines stay reserved for jobs
	// that may not use spot machines, counted from the last time at which there was such a job.
	onDemandReserveTime = 600 * second
	// lateJobYieldFactor is the age, as a multiple of its deadline, until which a job that can't
	// meet the deadline yields to others.
	lateJobYieldFactor = 8
)

// queueOf returns the queue of a job by its estimate: equation (1) of the paper that package
// sched implements, with the cutoffs from the settings. Services never end and go to the long
// queue.
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

// inheritPriorities gives jobs the priorities of the jobs that depend on them, because an
// urgent job can't start before its dependencies are done.
func (p *planner) inheritPriorities() {
	delay := p.heartbeatInterval()/2 + second
	p.dependencies.graph.InheritPriorities(maps.Values(p.cache.jobs), delay)
}

// unfinished lists the jobs that have not ended, are not blocked by dependencies and whose
// sweep allows starts, ordered by arrival.
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

// schedJobs lists the jobs that have tasks to place, as input for package sched.
func (p *planner) schedJobs(unfinished []*jobstate.Job, used map[string]teamUsage, guaranteed map[*jobstate.Job]bool) []*sched.Job {
	headrooms := map[string]*sched.Headroom{}
	var jobs []*sched.Job
	for _, job := range unfinished {
		if job.Unplaced() <= 0 || p.now < job.NotBefore || job.IsBlocked() {
			continue
		}
		if job.Kind == jobstate.Gang && job.NumPlaced > 0 {
			continue // the remaining tasks of the last attempt have to stop first
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

// expectedDuration returns the expected time for which a task of a job occupies its machine.
func (p *planner) expectedDuration(job *jobstate.Job) int64 {
	switch {
	case job.Kind == jobstate.Service:
		return serviceDuration
	case p.wantsTrial(job):
		return min(job.Estimate, p.settings.Ops.Trial)
	}
	return job.Estimate
}

// startBy returns the time by which a job needs free machines to meet the start objective
// of its class even if its image has to be fetched, or 0 if no start objective applies.
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

// mayUseType reports whether a task of a job fits a machine type and the job allows that
// type.
func mayUseType(spec *jobstate.Spec, machineType *fleet.Type) bool {
	return spec.Need.Fits(machineType.Cap) && (len(spec.Types) == 0 || slices.Contains(spec.Types, machineType.Name))
}

// largestGPUTask returns the resources that the largest GPU task of any job needs, by GPUs
// and then by CPUs.
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

// queueOrder returns the sort key of a job within its queue: the time it became ready or,
// with a deadline, its latest start plus a penalty for the delay it causes other jobs.
func (p *planner) queueOrder(job *jobstate.Job) int64 {
	if job.EffectiveDeadline == 0 {
		return job.ReadyAt
	}
	latestStart := max(job.SubmittedAt, job.EffectiveDeadline-job.Estimate)
	if p.dependencies.isInPipeline(job) {
		return latestStart // a pipeline stage: missing the deadline delays all later stages
	}
	return latestStart + shortFirstFactor*p.fleetTime(job)
}

// fleetTime returns the time that all machines together would need for the remaining tasks of a
// job.
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

// hasLostDeadline reports whether a job is unlikely to meet its deadline any more. Such a
// job yields to those that still can, until its age is lateJobYieldFactor times its
// deadline. With more work than machines, strict arrival order would make every job late
// by the same backlog.
func (p *planner) hasLostDeadline(job *jobstate.Job) bool {
	if job.Deadline == 0 || job.Unplaced() == 0 {
		return false
	}
	age := p.now - job.SubmittedAt
	return age+job.Estimate > job.Deadline && age < lateJobYieldFactor*job.Deadline
}

// spotPreferred returns the machine types whose on-demand machines are left to jobs that
// may not use spot machines.
func (p *planner) spotPreferred() map[string]bool {
	neededAt := p.elector.leadership.planning.onDemandNeededAt
	for _, job := range p.cache.jobs {
		if job.Spot || job.Outcome() != "" || job.IsBlocked() {
			continue
		}
		for i := range p.cache.machineTypes {
			if t := &p.cache.machineTypes[i]; mayUseType(job.Spec, t) && (job.Need.GPU > 0 || t.Cap.GPU == 0) {
				neededAt[t.Name] = p.now
			}
		}
	}
	preferred := map[string]bool{}
	for name, at := range neededAt {
		preferred[name] = p.now-at < onDemandReserveTime
	}
	return preferred
}

// tasksByZone counts a job's placements by zone. It returns nil if a machine's zone is
// unknown, as after a failover before the machine's first heartbeat.
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
