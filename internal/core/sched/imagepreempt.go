package sched

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// imagePreemptDelay is what preempting for an image takes besides saving,
	// minImagePreemptGain the least that it has to gain.
	imagePreemptDelay   = 1_500_000
	minImagePreemptGain = 4_000_000
	// maxLostPerFetch is how many times the work that the fetch would idle may be lost.
	maxLostPerFetch = 2
)

// imageOption is a machine that a gang could have, how long a task takes to start there,
// and what is stopped for it.
type imageOption struct {
	m       *Machine
	delay   int64
	victims []RunningTask
}

// preemptForImage finds an urgent gang machines that have its image but run lower work,
// where those that are free lack it and a fetch would take much longer than
// stopping that work. What is stopped can go to the free ones. It says that
// the gang is to wait for them.
func (p *Planner) preemptForImage(j *Job) bool {
	if j.EffectivePriority < jobstate.Urgent || j.Kind != jobstate.Gang || j.Image == "" || p.isFinished(j) {
		return false
	}
	tasks := j.tasksLeft()
	options, fetchDelay := p.freeMachines(j, tasks)
	if fetchDelay == never || fetchDelay < minImagePreemptGain {
		return false
	}
	p.addBusyMachines(j, options)
	best, delay := fastestZone(options, tasks)
	if fetchDelay-delay < minImagePreemptGain {
		return false
	}
	for _, option := range best {
		p.planPreemption(j, option.m, option.victims)
	}
	j.deferred = true
	return true
}

// freeMachines are the machines that a gang could have now, by zone if it needs one zone,
// and after what delay all its tasks would have started there; never if it could not.
func (p *Planner) freeMachines(j *Job, tasks int) (options map[string][]imageOption, delay int64) {
	delays := map[string][]int64{}
	options = map[string][]imageOption{}
	for _, g := range p.Index.groups {
		if !j.suits(g.MachineClass) {
			continue
		}
		key := j.zoneKey(g.MachineClass)
		p.eachFitting(j, g, false, func(m *Machine) {
			if p.respectsReservations(m, j, p.Now+j.durationOn(m)) {
				option := imageOption{m: m, delay: j.fetchDelay(m) + p.contactDelay(m)}
				delays[key] = append(delays[key], option.delay)
				options[key] = append(options[key], option)
			}
		})
	}
	delay = never
	for _, zoneDelays := range delays {
		if len(zoneDelays) >= tasks {
			slices.Sort(zoneDelays)
			delay = min(delay, zoneDelays[tasks-1])
		}
	}
	return options, delay
}

// addBusyMachines adds the machines that have the image, or will have it, and run work
// that can be stopped for the gang.
func (p *Planner) addBusyMachines(j *Job, options map[string][]imageOption) {
	add := func(m *Machine) {
		if !j.suits(m.group.MachineClass) || j.Need.Fits(m.Free) {
			return
		}
		if victims, delay, ok := p.imageVictims(j, m); ok {
			key := j.zoneKey(m.group.MachineClass)
			options[key] = append(options[key], imageOption{m, delay, victims})
		}
	}
	p.Index.eachWithImage(j.Image, add)
	for _, m := range p.fetching[j.Image] {
		add(m)
	}
}

// fastestZone picks the machines on which so many tasks would start soonest, and after
// what delay; never if no zone has enough.
func fastestZone(byZone map[string][]imageOption, tasks int) (best []imageOption, delay int64) {
	delay = never
	for _, options := range byZone {
		if len(options) < tasks {
			continue
		}
		slices.SortStableFunc(options, func(a, b imageOption) int {
			return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(len(a.victims), len(b.victims)), cmp.Compare(a.m.Name, b.m.Name))
		})
		if d := options[tasks-1].delay; d < delay || d == delay && options[0].m.Name < best[0].m.Name {
			best, delay = options[:tasks], d
		}
	}
	return best, delay
}

// imageVictims finds what to stop on m, which has work, for one task of a gang, and
// how long that takes: nothing more where work is being stopped for j already.
func (p *Planner) imageVictims(j *Job, m *Machine) (victims []RunningTask, delay int64, ok bool) {
	if m.FetchRate <= 0 || !m.willHaveImage(j.Image) || m.claimedAhead(j) {
		return nil, 0, false
	}
	if m.claimedFor(j) {
		return nil, imagePreemptDelay, true
	}
	victims, lost, ok := p.victims(j, m)
	if !ok || lost > maxLostPerFetch*j.FetchTime(m.FetchRate)*j.Need.Weight() {
		return nil, 0, false
	}
	delay = imagePreemptDelay
	for _, victim := range victims {
		if victim.Job.Kind == jobstate.Gang && victim.Job.NumPlaced > 1 {
			return nil, 0, false // the rest of it would stop elsewhere
		}
		if !killsVictim(j, victim.Job) {
			delay = max(delay, imagePreemptDelay+victim.Job.Save)
		}
	}
	return slices.Clone(victims), delay, true
}
