package sched

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// minPreemptDelay is how far off a start may be for which stopping work is no use.
	minPreemptDelay = 2_000_000
	// killCheckpointRatio is how many times the time to save a checkpoint interval may
	// be for work to be killed for an urgent job.
	killCheckpointRatio = 4
)

// RunningTask is something that occupies a machine until about End.
type RunningTask struct {
	End int64
	// Job and Index name the task.
	Job   *jobstate.Job
	Index int
	// LostWork is the work that stopping it costs, Preemptible whether it may be stopped
	// now.
	LostWork    int64
	Preemptible bool
	// Guaranteed: its job lies within its team's guarantee, which is not to
	// be taken from it for another's; else two teams stop each other's work
	// in turns.
	Guaranteed bool
}

// preemptOption is a machine that a pivot could have, and what that costs.
type preemptOption struct {
	m *Machine
	// preempts: work is stopped on it; lost is what that and the image cost.
	preempts bool
	lost     int64
}

// preempt stops lower work for pivots that would wait longer than preemptDelay:
// work of lower priority for any, and for a job within its team's guarantee
// what other teams run beyond theirs. It takes the machines where least work
// is lost, for a gang together with those that are free.
func (p *Planner) preempt() {
	for _, pivot := range p.plan.Pivots {
		j := pivot.Job
		if pivot.StartAt != 0 && pivot.StartAt-p.Now <= p.preemptDelay(j) {
			continue
		}
		machines := cheapestZone(p.preemptOptions(j), j.tasksAtOnce())
		if !slices.ContainsFunc(machines, func(o preemptOption) bool { return o.preempts }) {
			continue
		}
		for _, option := range machines {
			var victims []RunningTask
			if option.preempts {
				victims, _, _ = p.victims(j, option.m)
			}
			p.planPreemption(j, option.m, victims)
		}
	}
}

// preemptOptions are the machines that a job could have, free ones and others, by zone
// if it needs one zone.
func (p *Planner) preemptOptions(j *Job) map[string][]preemptOption {
	byZone := map[string][]preemptOption{}
	p.eachSuitable(j, func(m *Machine) {
		if option, ok := p.preemptOption(j, m); ok {
			key := j.zoneKey(m.group.MachineClass)
			byZone[key] = append(byZone[key], option)
		}
	})
	return byZone
}

// preemptOption is what a machine costs for a task of j, if j can have it.
func (p *Planner) preemptOption(j *Job, m *Machine) (option preemptOption, ok bool) {
	if m.claimedAhead(j) {
		return option, false // what is stopped there is stopped for another
	}
	option.m = m
	// What is in the way on a machine that is claimed is being stopped. That may take
	// longer than the delay; stopping more elsewhere in every round until then would free
	// machines for nobody.
	isClaimed := m.claimedFor(j)
	if !j.Need.Fits(m.Free) {
		if _, lost, ok := p.victims(j, m); ok {
			option.preempts, option.lost = true, lost
		} else if !isClaimed {
			return option, false
		}
	} else if !p.respectsReservations(m, j, p.Now+j.durationOn(m)) {
		return option, false
	}
	if !isClaimed || option.preempts {
		// Room without the image is worth as much less.
		option.lost += j.fetchDelay(m) * j.Need.Weight()
	}
	return option, true
}

// cheapestZone picks the machines for so many tasks on which least is lost in all, nil if
// no zone has enough.
func cheapestZone(byZone map[string][]preemptOption, tasks int) []preemptOption {
	var best []preemptOption
	var least int64
	for _, options := range byZone {
		if len(options) < tasks {
			continue
		}
		slices.SortStableFunc(options, func(a, b preemptOption) int {
			return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.m.Name, b.m.Name))
		})
		var lost int64
		for _, option := range options[:tasks] {
			lost += option.lost
		}
		if best == nil || lost < least || lost == least && options[0].m.Name < best[0].m.Name {
			best, least = options[:tasks], lost
		}
	}
	return best
}

// preemptDelay is how far off a pivot's start may be before lower work is stopped
// for it: not so far that it would start too late. What it has waited already
// counts: tasks past their estimates are taken to end soon, again and again, so that of
// many such machines some always seem about to come free.
func (p *Planner) preemptDelay(j *Job) int64 {
	if j.EffectivePriority < jobstate.Urgent && !j.Guaranteed {
		return p.PreemptDelay
	}
	left := p.PreemptDelay - (p.Now - j.ReadyAt)
	if j.StartBy != 0 {
		left = min(left, j.StartBy-p.Now)
	}
	return max(minPreemptDelay, left)
}

// victims finds what to stop on m for one task of j. What it returns is valid until
// it is called again: it is asked about every machine for every pivot, and few of its
// answers are used.
func (p *Planner) victims(j *Job, m *Machine) (victims []RunningTask, lost int64, ok bool) {
	candidates, available := p.victimBuffer[:0], m.Free
	for _, run := range p.runningTasks(m) {
		if run.Preemptible && (run.Job.EffectivePriority < j.EffectivePriority || p.overGuarantee(j, run)) {
			candidates = append(candidates, run)
			available = available.Add(run.Job.Need)
		}
	}
	p.victimBuffer = candidates
	if len(candidates) == 0 || !j.Need.Fits(available) {
		return nil, 0, false
	}
	slices.SortStableFunc(candidates, func(a, b RunningTask) int {
		return cmp.Or(cmp.Compare(a.Job.EffectivePriority, b.Job.EffectivePriority), cmp.Compare(a.LostWork, b.LostWork))
	})
	free, n := m.Free, 0
	for n < len(candidates) && !j.Need.Fits(free) {
		free = free.Add(candidates[n].Job.Need)
		lost += candidates[n].LostWork
		n++
	}
	return candidates[:n], lost, n > 0
}

// overGuarantee says that j is within its team's guarantee, and that a running task is
// what another team runs beyond its own.
func (p *Planner) overGuarantee(j *Job, run RunningTask) bool {
	return j.Guaranteed && !run.Guaranteed && run.Job.Team != j.Team &&
		p.BeyondGuarantee != nil && p.BeyondGuarantee(run.Job.Team, run.Job.Need)
}

// killsVictim says whether work is stopped for j without saving: an urgent job waits
// for the save, which costs about as much as the half interval that is lost.
func killsVictim(j *Job, victim *jobstate.Job) bool {
	return j.EffectivePriority >= jobstate.Urgent && victim.Checkpoint <= killCheckpointRatio*victim.Save
}

// planPreemption plans to stop tasks on m for j, and claims what comes free.
func (p *Planner) planPreemption(j *Job, m *Machine, victims []RunningTask) {
	if !m.claimedFor(j) {
		p.plan.Claims = append(p.plan.Claims, Claim{j.Job, m.Name})
	}
	for _, victim := range victims {
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{victim, j, killsVictim(j, victim.Job)})
		for i := range m.RunningTasks {
			if m.RunningTasks[i].Job == victim.Job && m.RunningTasks[i].Index == victim.Index {
				m.RunningTasks[i].Preemptible = false
			}
		}
	}
}
