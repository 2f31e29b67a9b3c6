package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// wantsTrial reports whether a job's next attempt is its trial, the paper's speculative
// execution (section 2.1). A job that can restart from a checkpoint and that its estimate
// puts in one of the longer queues is first run for a short time, because the estimate may
// be far too long.
func (p *planner) wantsTrial(job *jobstate.Job) bool {
	return job.Checkpoint > 0 && !job.TrialDone && job.Kind != jobstate.Service && p.queueOf(job.Spec) > shortQueue
}

// endTrials stops trials that have used up their time, but only if a waiting job could use
// one of their machines and would precede the requeued job. Otherwise the same job would be
// started there again at once, after a useless checkpoint and image fetch, so it continues
// to run.
func (p *planner) endTrials(plan sched.Plan, guaranteed map[*jobstate.Job]bool) {
	if len(plan.Waiting) == 0 {
		return
	}
	for _, job := range p.jobsOnTrial() {
		requeued := &sched.Job{Job: job, QueueOrder: p.queueOrder(job), Guaranteed: guaranteed[job]}
		if !p.trialIsOver(requeued, plan.Waiting) {
			continue
		}
		p.log.Debug("trial over", "job", job.ID)
		job.EachPlaced(func(i int, t *jobstate.Task) {
			if t.Trial {
				p.tasks.endTrial(job, i)
			}
		})
	}
}

// jobsOnTrial lists the jobs that may have tasks on trial, ordered by ID.
func (p *planner) jobsOnTrial() []*jobstate.Job {
	var jobs []*jobstate.Job
	for _, job := range p.cache.jobs {
		if job.NumPlaced > 0 && !job.TrialDone && job.Outcome() == "" && job.Checkpoint > 0 {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *jobstate.Job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

// trialIsOver reports whether a task of the job has used up its trial time on a machine
// that a waiting job preceding the requeued one could use.
func (p *planner) trialIsOver(requeued *sched.Job, waiting []*sched.Job) bool {
	over := false
	requeued.EachPlaced(func(_ int, t *jobstate.Task) {
		over = over || t.Trial && !t.IsStopping() && t.Phase == jobstate.Running &&
			p.now-t.PlacedAt >= p.settings.Ops.Trial && p.waitingJobCanUse(t.Machine, requeued, waiting)
	})
	return over
}

// waitingJobCanUse reports whether a waiting job could use a machine and would precede the
// requeued one.
func (p *planner) waitingJobCanUse(machine string, requeued *sched.Job, waiting []*sched.Job) bool {
	m := p.elector.leadership.fleet.Get(machine)
	if m == nil {
		return false
	}
	for _, job := range waiting {
		if sched.Before(job, requeued) && job.Allows(m.Type, m.Zone, m.Spot, m.Cap) && (job.Need.GPU > 0 || m.Cap.GPU == 0) {
			return true
		}
	}
	return false
}
