package sched

import (
	"cmp"
	"maps"
	"slices"
)

// unboundedStarts is the minimum value of Planner.MaxStarts, which falls with each placement, with
// which a gang is placed even if it has more tasks than MaxStarts. Below it, such a gang is not
// placed in this round.
const unboundedStarts = 1000

// placeGang places all tasks of a gang or none. With one_zone it tries one zone after the other,
// beginning with the zone in which the gang would start soonest.
func (p *Planner) placeGang(j *Job, partition int) {
	tasks := j.tasksLeft()
	if tasks > p.MaxStarts && p.MaxStarts < unboundedStarts {
		return
	}
	for _, zone := range p.zoneChoices(j, tasks) {
		machines := p.allocateGang(j, tasks, partition, zone)
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

// allocateGang tentatively allocates machines for as many tasks of a gang as possible. The caller
// must deallocate them.
func (p *Planner) allocateGang(j *Job, tasks, partition int, zone *string) []*Machine {
	var placed []*Machine
	tasksByZone := map[string]int{}
	maps.Copy(tasksByZone, j.TasksByZone)
	machines := p.search(j, partition, zone, tasksByZone)
	for len(placed) < tasks {
		m := machines.next()
		if m == nil {
			break
		}
		p.allocate(j, m, tentativeIndex)
		tasksByZone[m.Zone]++
		placed = append(placed, m)
		machines.reinsert(m)
	}
	return placed
}

// zoneChoices returns the zones to try for the remaining tasks of a gang, best first; nil
// stands for any zone. A gang starts when the last of its tasks does, so the cost of a zone is
// the cost of the most expensive machine that would be used there.
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
