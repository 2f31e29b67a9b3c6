package sched

import (
	"cmp"
	"maps"
	"slices"
)

// unboundedStarts is from which bound of a round on a gang is placed although it is
// larger than what is left of the bound.
const unboundedStarts = 1000

// placeGang places all tasks of a gang or none. With one_zone it tries the
// zones one after the other, the one that would have it start first to begin with.
func (p *Planner) placeGang(j *Job, partition int) {
	tasks := j.tasksLeft()
	if tasks > p.MaxStarts && p.MaxStarts < unboundedStarts {
		return
	}
	for _, zone := range p.zoneChoices(j, tasks) {
		machines := p.tryGang(j, tasks, partition, zone)
		for _, m := range machines {
			p.deallocate(j, m)
		}
		if len(machines) == tasks {
			for _, m := range machines {
				p.placeTask(j, m)
			}
			return
		}
	}
}

// tryGang allocates machines for as many tasks of a gang as find one; the caller takes the
// allocations back.
func (p *Planner) tryGang(j *Job, tasks, partition int, zone *string) []*Machine {
	var placed []*Machine
	tasksByZone := map[string]int{}
	maps.Copy(tasksByZone, j.TasksByZone)
	machines := p.search(j, partition, zone, tasksByZone)
	for len(placed) < tasks {
		m := machines.next()
		if m == nil {
			break
		}
		p.allocate(j, m, trialIndex)
		tasksByZone[m.Zone]++
		placed = append(placed, m)
		machines.reinsert(m)
	}
	return placed
}

// zoneChoices are the zones to try for a gang of so many more tasks; nil stands for
// any. A gang starts with the last of its tasks, so a zone is as good as the
// costliest machine that would be taken there.
func (p *Planner) zoneChoices(j *Job, tasks int) []*string {
	if !j.OneZone {
		return []*string{nil}
	}
	costs := map[string][]int64{}
	for _, g := range p.Index.groups {
		if j.allows(g.MachineClass) {
			p.eachFitting(j, g, true, func(m *Machine) { costs[g.Zone] = append(costs[g.Zone], p.cost(j, m)) })
		}
	}
	zoneCost := map[string]int64{}
	var zones []string
	for zone, machineCosts := range costs {
		slices.Sort(machineCosts)
		zoneCost[zone] = machineCosts[min(tasks, len(machineCosts))-1]
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(zoneCost[a], zoneCost[b]), cmp.Compare(a, b))
	})
	choices := make([]*string, len(zones))
	for i := range zones {
		choices[i] = &zones[i]
	}
	return choices
}
