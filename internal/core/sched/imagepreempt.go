package sched

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// imagePreemptDelay is the time that a preemption for an image takes besides saving a
	// checkpoint. minImagePreemptGain is the minimum time by which a gang has to start earlier
	// with the preemption than with a fetch. Both are in microseconds.
	imagePreemptDelay   = 1_500_000
	minImagePreemptGain = 4_000_000
	// maxLostPerFetch is the maximum work lost by a preemption, as a multiple of the work
	// that the task's resources could do during the fetch.
	maxLostPerFetch = 2
)

// imageOption is a machine that a task of a gang could use, the time until the task would start
// there, and the tasks that have to be stopped for it.
type imageOption struct {
	m       *Machine
	delay   int64
	victims []RunningTask
}

// preemptForImage preempts work of lower priority on machines that have the image of an urgent
// gang, if the free machines lack the image and a fetch would take much longer than stopping
// that work. The stopped work can move to the free machines. The result reports whether the
// gang has to wait for the machines that are being freed.
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

// freeMachines returns the machines that a gang could use now, by zone if it needs a single
// zone, and the delay after which all its tasks would have started there. The delay is never
// if there are too few machines.
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

// addBusyMachines adds the machines that have the image, or will have it, and on which work
// can be stopped for the gang.
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

// fastestZone returns the machines on which the given number of tasks would start soonest, and
// the delay until then. The delay is never if no zone has enough machines.
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

// imageVictims returns the tasks to stop on the busy machine m for one task of a gang, and the
// time that this takes. No tasks are returned if work on m is already being stopped for j.
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
			return nil, 0, false // its other tasks would stop as well
		}
		if !killsVictim(j, victim.Job) {
			delay = max(delay, imagePreemptDelay+victim.Job.Save)
		}
	}
	return slices.Clone(victims), delay, true
}
