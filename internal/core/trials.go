package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// wantsTrial says whether a job's next attempt is its trial, the paper's speculative
// execution (section 2.1): a job that can restart is first run for a short time where its
// estimate puts it in one of the longer queues, as the estimate may be far too long.
func (p *planner) wantsTrial(job *jobstate.Job) bool {
	return job.Checkpoint > 0 && !job.TrialDone && job.Kind != jobstate.Service && p.queueOf(job.Spec) > shortQueue
}

// endTrials stops trials that are over while some job waits for a machine
// they are on that would come before the job when it is requeued. Otherwise
// the job itself would be started again there at once, after a checkpoint and an
// image fetch for nothing, so it goes on as if it had been.
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

// jobsOnTrial lists the jobs that may have tasks on trial, by ID.
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

// trialIsOver says whether a task has been on trial for long enough on a machine that
// a job before the requeued one waits for.
func (p *planner) trialIsOver(requeued *sched.Job, waiting []*sched.Job) bool {
	over := false
	requeued.EachPlaced(func(_ int, t *jobstate.Task) {
		over = over || t.Trial && !t.IsStopping() && t.Phase == jobstate.Running &&
			p.now-t.PlacedAt >= p.settings.Ops.Trial && p.hasWaitingUse(t.Machine, requeued, waiting)
	})
	return over
}

// hasWaitingUse says whether a job that waits could use a machine, and
// would go before the requeued one.
func (p *planner) hasWaitingUse(machine string, requeued *sched.Job, waiting []*sched.Job) bool {
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
