package sched

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// minPreemptDelay is the time until a pivot's start, in microseconds, up to which a
	// preemption would not let the pivot start earlier.
	minPreemptDelay = 2_000_000
	// killCheckpointRatio is the largest ratio of the checkpoint interval to the time to
	// save a checkpoint at which work is killed for an urgent job.
	killCheckpointRatio = 4
)

// RunningTask is a task that occupies a machine until its estimated End.
type RunningTask struct {
	End int64
	// Job and Index identify the task.
	Job   *jobstate.Job
	Index int
	// LostWork is the work that is lost if the task is stopped. Preemptible reports whether
	// it may be stopped now.
	LostWork    int64
	Preemptible bool
	// Guaranteed reports whether the job is within its team's guarantee. Such a task is not
	// preempted for another team's guarantee, as otherwise two teams would preempt each
	// other's work in turn.
	Guaranteed bool
}

// preemptOption is a machine that a task of a pivot could use, and the cost of using it.
type preemptOption struct {
	m *Machine
	// preempts reports whether work has to be stopped on the machine. lost is the work lost
	// by stopping it and by the image fetch.
	preempts bool
	lost     int64
}

// preempt plans preemptions for pivots that would wait longer than preemptDelay. Work of lower
// priority is stopped for any pivot. For a job within its team's guarantee, work of other teams
// that exceeds those teams' guarantees is stopped too. The machines with the least lost work are
// chosen, for a gang together with free machines.
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

// preemptOptions returns the machines, free or busy, that a job could use, by zone if it needs a
// single zone.
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

// preemptOption returns the cost of machine m for a task of j. ok reports whether j can use it.
func (p *Planner) preemptOption(j *Job, m *Machine) (option preemptOption, ok bool) {
	if m.claimedAhead(j) {
		return option, false // claimed for another job
	}
	option.m = m
	// On a machine that is claimed for j, the work in the way is already being stopped.
	// That may take longer than the preemption delay. Stopping more work elsewhere in every
	// round until then would free machines that no job uses.
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
		// A machine without the image costs the work not done during the fetch.
		option.lost += j.fetchDelay(m) * j.Need.Weight()
	}
	return option, true
}

// cheapestZone returns the machines for the given number of tasks with the least total loss, nil
// if no zone has enough machines.
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

// preemptDelay returns the time until a pivot's start above which lower-priority work is preempted
// for the pivot. The delay must not make the job start too late. It is reduced by the time that the
// job has already waited, because tasks past their estimates are repeatedly expected to end soon:
// among many machines with such tasks, some always seem about to become free.
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

// victims returns the tasks to stop on m for one task of j, and the work that is lost with them.
// The slice is valid until the next call: the method is called on every machine for every pivot
// and few results are used, so it reuses a buffer.
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
	free, count := m.Free, 0
	for count < len(candidates) && !j.Need.Fits(free) {
		free = free.Add(candidates[count].Job.Need)
		lost += candidates[count].LostWork
		count++
	}
	return candidates[:count], lost, count > 0
}

// overGuarantee reports whether j is within its team's guarantee, and run belongs to the work of
// another team that exceeds that team's guarantee.
func (p *Planner) overGuarantee(j *Job, run RunningTask) bool {
	return j.Guaranteed && !run.Guaranteed && run.Job.Team != j.Team &&
		p.BeyondGuarantee != nil && p.BeyondGuarantee(run.Job.Team, run.Job.Need)
}

// killsVictim reports whether work is stopped for j without saving a checkpoint. An urgent job
// would have to wait for the save, which costs about as much as the work of half a checkpoint
// interval that a kill loses on average.
func killsVictim(j *Job, victim *jobstate.Job) bool {
	return j.EffectivePriority >= jobstate.Urgent && victim.Checkpoint <= killCheckpointRatio*victim.Save
}

// planPreemption plans to stop tasks on m for j, and claims the machine for j.
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
