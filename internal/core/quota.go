package core

import (
	"maps"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// A team has a guarantee, within which its jobs go before their equals and are not
// preempted for other teams, and a limit, which it never exceeds. Both are in whole CPUs
// and GPUs in the settings; usage counts thousandths.

// milliPerUnit is how many of the units that resources are counted in make a CPU or GPU.
const milliPerUnit = 1000

// prefetchQuotaShare is what prefetches may use of a team's limit at most. What the last
// leader had running is stored nowhere, so for as long as any of it may be on its
// machine a new one leaves that share of the limit alone, and sends no prefetches of
// teams with a limit itself: else the next would have two leaders' to reckon with.
const prefetchQuotaShare = 0.125

// teamUsage is what a team uses of what quotas count.
type teamUsage struct{ cpu, gpu int64 }

// plus is the usage with so many tasks more, or fewer.
func (u teamUsage) plus(need jobstate.Resources, tasks int64) teamUsage {
	return teamUsage{cpu: u.cpu + need.CPU*tasks, gpu: u.gpu + need.GPU*tasks}
}

// usage is what the teams' placements take, stored or planned, and what image prefetches
// take in their names.
func (p *planner) usage() map[string]teamUsage {
	used := maps.Clone(p.elector.leadership.prefetch.usedByTeam)
	for _, job := range p.cache.jobs {
		used[job.Team] = used[job.Team].plus(job.Need, int64(job.NumPlaced))
	}
	return used
}

// jobsWithinQuota finds the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (p *planner) jobsWithinQuota(unfinished []*jobstate.Job) map[*jobstate.Job]bool {
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

// fitsGuarantee says whether so much lies within a team's guarantee. A team without any
// has none to be within; of one for CPUs only, GPUs do not count, and the reverse.
func fitsGuarantee(team *config.Team, total teamUsage) bool {
	if team.GPUs == 0 && team.CPUs == 0 {
		return false
	}
	return (team.GPUs == 0 || total.gpu <= int64(team.GPUs*milliPerUnit)) &&
		(team.CPUs == 0 || total.cpu <= int64(team.CPUs*milliPerUnit))
}

// isBeyondGuarantee says whether a team that uses so much still has its guarantee when
// a task with this need is stopped.
func (p *planner) isBeyondGuarantee(name string, used teamUsage, need jobstate.Resources) bool {
	team := p.settings.Team(name)
	return team == nil || used.gpu-need.GPU >= int64(team.GPUs*milliPerUnit) &&
		(team.CPUs == 0 || used.cpu-need.CPU >= int64(team.CPUs*milliPerUnit))
}

// quotaHeadroom is what a team's limit leaves. All its jobs share it, so that one
// round can't place for each of them what is there once.
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

// fitsLimit says whether so much lies within a share of a team's limit.
func fitsLimit(team *config.Team, total teamUsage, share float64) bool {
	return (team.CPUsMax == 0 || total.cpu <= int64(team.CPUsMax*milliPerUnit*share)) &&
		(team.GPUsMax == 0 || total.gpu <= int64(team.GPUsMax*milliPerUnit*share))
}

// withinLimit says whether a team that uses so much may use more, of a share of
// its limit.
func (p *prefetcher) withinLimit(name string, used teamUsage, share float64, need jobstate.Resources) bool {
	team := p.settings.Team(name)
	return team != nil && fitsLimit(team, used.plus(need, 1), share)
}

// earlierPrefetchesRunning says whether an earlier leader's prefetches may still be on
// machines.
func (p *prefetcher) earlierPrefetchesRunning() bool {
	return p.elector.fencingToken() > 1 && p.now-p.elector.leadership.since < p.settings.FailoverEpochTimeout()
}

// quotaShareForPrefetch is the share of a limit that prefetches may use now.
func (p *prefetcher) quotaShareForPrefetch() float64 {
	if p.earlierPrefetchesRunning() {
		return 0
	}
	return prefetchQuotaShare
}
