package sched

import (
	"container/heap"
)

// resetForRound resets the per-round state of a machine if it is from an earlier round, and
// returns the machine.
func (p *Planner) resetForRound(m *Machine) *Machine {
	if m.round != p.Index.round {
		m.round, m.tasksLoaded = p.Index.round, p.LoadRunningTasks == nil
		m.reservations, m.plannedImages = m.reservations[:0], m.plannedImages[:0]
		m.imageWorth = 0
		for _, holders := range m.images {
			m.imageWorth += holders.worth
		}
	}
	return m
}

// runningTasks returns the tasks that occupy a machine, in the order of their estimated ends. It
// loads them if necessary.
func (p *Planner) runningTasks(m *Machine) []RunningTask {
	if p.resetForRound(m); !m.tasksLoaded {
		m.tasksLoaded = true
		p.LoadRunningTasks(m)
	}
	return m.RunningTasks
}

// contactDelay returns the time until commands can next be sent to a machine.
func (p *Planner) contactDelay(m *Machine) int64 { return max(0, m.NextContact-p.Now) }

// eachSuitable calls visit for all machines that could run a task of j if they were empty.
func (p *Planner) eachSuitable(j *Job, visit func(*Machine)) {
	for _, g := range p.Index.groups {
		if j.suits(g.MachineClass) {
			g.free.Scan(func(m *Machine) bool {
				visit(p.resetForRound(m))
				return true
			})
		}
	}
}

// eachFitting calls visit for the machines of a group that have room for a task of j.
// Machines with free GPUs that j does not need are included only if includeAvoided is set.
func (p *Planner) eachFitting(j *Job, g *machineGroup, includeAvoided bool, visit func(*Machine)) {
	from := Machine{free: j.Need}
	skipsGPUs := j.avoidsGPUs(g.MachineClass) && !includeAvoided
	g.free.Ascend(&from, func(m *Machine) bool {
		if skipsGPUs && m.Free.GPU > 0 {
			// Machines without free GPUs come first in the order and may be used.
			return false
		}
		if j.Need.Fits(m.Free) {
			visit(p.resetForRound(m))
		}
		return true
	})
}

// candidate is a machine on which a task could be placed, and the cost of placing it there.
type candidate struct {
	cost int64
	m    *Machine
}

// machineSearch returns the machines for the tasks of a job one after the other, cheapest first.
// The placement of a task changes only the cost of its own machine. The search is a heap of the
// machines by cost and name, and implements heap.Interface.
type machineSearch struct {
	planner *Planner
	job     *Job
	// tasksByZone is the number of the job's tasks per zone. It may grow during the search.
	tasksByZone map[string]int
	heap        []candidate
}

// search starts a search among the machines of one partition and zone, or of all partitions
// with anyPartition and all zones with nil.
func (p *Planner) search(j *Job, partition int, zone *string, tasksByZone map[string]int) *machineSearch {
	s := &machineSearch{planner: p, job: j, tasksByZone: tasksByZone, heap: p.searchBuffer[:0]}
	for _, g := range p.Index.groups {
		if partition != anyPartition && g.Partition != partition || zone != nil && g.Zone != *zone {
			continue
		}
		if !j.allows(g.MachineClass) || !j.fitsZone(g.Zone, tasksByZone) {
			continue
		}
		p.eachFitting(j, g, false, func(m *Machine) {
			if p.respectsReservations(m, j, p.Now+j.durationOn(m)) {
				s.heap = append(s.heap, candidate{p.cost(j, m), m})
			}
		})
	}
	p.searchBuffer = s.heap
	heap.Init(s)
	return s
}

// next removes and returns the cheapest machine, or nil if there is none.
func (s *machineSearch) next() *Machine {
	for len(s.heap) > 0 {
		last := len(s.heap) - 1
		m := s.heap[0].m
		s.heap[0], s.heap = s.heap[last], s.heap[:last]
		if last > 0 {
			heap.Fix(s, 0)
		}
		// A zone that is full stays full, so its machines are dropped.
		if s.job.fitsZone(m.Zone, s.tasksByZone) {
			return m
		}
	}
	return nil
}

// reinsert adds a machine again after a task was placed on it, if it has room for another.
func (s *machineSearch) reinsert(m *Machine) {
	p, j := s.planner, s.job
	if !j.Need.Fits(m.Free) || m.Free.GPU > 0 && j.avoidsGPUs(m.group.MachineClass) {
		return
	}
	if !p.respectsReservations(m, j, p.Now+j.durationOn(m)) {
		return
	}
	s.heap = append(s.heap, candidate{p.cost(j, m), m})
	heap.Fix(s, len(s.heap)-1)
}

func (s *machineSearch) Len() int { return len(s.heap) }

func (s *machineSearch) Less(a, b int) bool {
	one, other := &s.heap[a], &s.heap[b]
	return one.cost < other.cost || one.cost == other.cost && one.m.Name < other.m.Name
}

func (s *machineSearch) Swap(a, b int) { s.heap[a], s.heap[b] = s.heap[b], s.heap[a] }

// Push is not used, as it would allocate for every candidate.
func (s *machineSearch) Push(any) {}

// Pop is not used, as it would allocate for every candidate.
func (s *machineSearch) Pop() any { return nil }
