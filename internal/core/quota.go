package core

import (
	"maps"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// A team has a guarantee and a limit. Within the guarantee its jobs take precedence over
// otherwise equal jobs and are not preempted for other teams; the limit is never exceeded.
// The settings give both in whole CPUs and GPUs; usage is counted in thousandths.

// milliPerUnit is the number of thousandths in a CPU or GPU.
const milliPerUnit = 1000

// prefetchQuotaShare is the maximum share of a team's limit that prefetches may use.
// Running prefetches are not stored. So while prefetches of the previous leader may still
// be on machines, a new leader leaves this share of the limit unused and sends no
// prefetches for teams with a limit. Otherwise the leader after it would have to account
// for the prefetches of two leaders.
const prefetchQuotaShare = 0.125

// teamUsage is a team's usage of the resources that quotas limit, in thousandths.
type teamUsage struct{ cpu, gpu int64 }

// plus returns the usage with the given number of tasks added, or removed if negative.
func (u teamUsage) plus(need jobstate.Resources, tasks int64) teamUsage {
	return teamUsage{cpu: u.cpu + need.CPU*tasks, gpu: u.gpu + need.GPU*tasks}
}

// usage returns the usage of each team: its placements, stored or planned, the image prefetches
// for its jobs, and attempts whose starts may still be repeated.
func (p *planner) usage() map[string]teamUsage {
	used := maps.Clone(p.elector.leadership.prefetch.usedByTeam)
	for _, job := range p.cache.jobs {
		used[job.Team] = used[job.Team].plus(job.Need, int64(job.NumPlaced))
	}
	p.elector.leadership.planning.addExitedStarts(used, p.now)
	return used
}

// jobsWithinGuarantee returns the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (p *planner) jobsWithinGuarantee(unfinished []*jobstate.Job) map[*jobstate.Job]bool {
	requested := map[string]teamUsage{}
	within := map[*jobstate.Job]bool{}
	for _, job := range unfinished {
		total := requested[job.Team].plus(job.Need, int64(job.Tasks-job.NumDone))
		requested[job.Team] = total
		if team := p.settings.Team(job.Team); team != nil {
			within[job] = fitsGuarantee(team, total)
		}
	}
	return within
}

// fitsGuarantee reports whether a usage is within a team's guarantee. It is false for a
// team without a guarantee; with a guarantee for CPUs only, GPUs are ignored, and vice
// versa.
func fitsGuarantee(team *config.Team, total teamUsage) bool {
	if team.GPUs == 0 && team.CPUs == 0 {
		return false
	}
	return (team.GPUs == 0 || total.gpu <= int64(team.GPUs*milliPerUnit)) &&
		(team.CPUs == 0 || total.cpu <= int64(team.CPUs*milliPerUnit))
}

// isBeyondGuarantee reports whether a team with this usage still uses all of its guarantee
// after a task with this need is stopped.
func (p *planner) isBeyondGuarantee(name string, used teamUsage, need jobstate.Resources) bool {
	team := p.settings.Team(name)
	return team == nil || used.gpu-need.GPU >= int64(team.GPUs*milliPerUnit) &&
		(team.CPUs == 0 || used.cpu-need.CPU >= int64(team.CPUs*milliPerUnit))
}

// quotaHeadroom returns the unused part of a team's limit. All jobs of the team share one
// Headroom, so that a round can't use the same headroom for several jobs.
func (p *planner) quotaHeadroom(headrooms map[string]*sched.Headroom, used map[string]teamUsage, name string) *sched.Headroom {
	if known := headrooms[name]; known != nil {
		return known
	}
	headroom := &sched.Headroom{CPU: sched.Unlimited, GPU: sched.Unlimited}
	team := p.settings.Team(name)
	share := 1.0
	if p.prefetcher.earlierPrefetchesRunning() {
		share -= prefetchQuotaShare
	}
	if team != nil && team.CPUsMax > 0 {
		headroom.CPU = int64(team.CPUsMax*milliPerUnit*share) - used[name].cpu
	}
	if team != nil && team.GPUsMax > 0 {
		headroom.GPU = int64(team.GPUsMax*milliPerUnit*share) - used[name].gpu
	}
	headrooms[name] = headroom
	return headroom
}

// fitsLimit reports whether a usage is within a share of a team's limit.
func fitsLimit(team *config.Team, total teamUsage, share float64) bool {
	return (team.CPUsMax == 0 || total.cpu <= int64(team.CPUsMax*milliPerUnit*share)) &&
		(team.GPUsMax == 0 || total.gpu <= int64(team.GPUsMax*milliPerUnit*share))
}

// withinLimit reports whether a team with this usage may add a task with this need within
// a share of its limit.
func (p *prefetcher) withinLimit(name string, used teamUsage, share float64, need jobstate.Resources) bool {
	team := p.settings.Team(name)
	return team != nil && fitsLimit(team, used.plus(need, 1), share)
}

// earlierPrefetchesRunning reports whether prefetches of an earlier leader may still be
// running on machines.
func (p *prefetcher) earlierPrefetchesRunning() bool {
	return p.elector.fencingToken() > 1 && p.now-p.elector.leadership.since < p.settings.FailoverEpochTimeout()
}

// quotaShareForPrefetch returns the share of a team's limit that prefetches may use now.
func (p *prefetcher) quotaShareForPrefetch() float64 {
	if p.earlierPrefetchesRunning() {
		return 0
	}
	return prefetchQuotaShare
}
