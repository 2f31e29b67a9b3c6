package sched

import (
	"container/heap"
)

// resetForRound makes sure that what a machine has of a round is of this one.
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

// runningTasks are what occupies a machine, by their ends.
func (p *Planner) runningTasks(m *Machine) []RunningTask {
	if p.resetForRound(m); !m.tasksLoaded {
		m.tasksLoaded = true
		p.LoadRunningTasks(m)
	}
	return m.RunningTasks
}

// contactDelay is how long it takes until commands can get to a machine.
func (p *Planner) contactDelay(m *Machine) int64 { return max(0, m.NextContact-p.Now) }

// eachSuitable calls visit for all machines that could take a task of j, were they empty.
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
// Those whose free GPUs j would leave idle are among them only if avoided says so.
func (p *Planner) eachFitting(j *Job, g *machineGroup, avoided bool, visit func(*Machine)) {
	from := Machine{free: j.Need}
	skipsGPUs := j.avoidsGPUs(g.MachineClass) && !avoided
	g.free.Ascend(&from, func(m *Machine) bool {
		if skipsGPUs && m.Free.GPU > 0 {
			// What is beside busy GPUs it may have.
			return false
		}
		if j.Need.Fits(m.Free) {
			visit(p.resetForRound(m))
		}
		return true
	})
}

// candidate is a machine that a task could go to, and what that costs.
type candidate struct {
	cost int64
	m    *Machine
}

// machineSearch finds, one after the other, the machines that cost least for the tasks
// of a job. A task that is placed changes only what its own machine costs.
// It is a heap of the machines by cost, and implements heap.Interface.
type machineSearch struct {
	planner *Planner
	job     *Job
	// tasksByZone counts the job's tasks; it may grow meanwhile.
	tasksByZone map[string]int
	heap        []candidate
}

// search begins with the machines of one partition and zone, or of all.
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

// next takes the best machine out, nil if there is none.
func (s *machineSearch) next() *Machine {
	for len(s.heap) > 0 {
		last := len(s.heap) - 1
		m := s.heap[0].m
		s.heap[0], s.heap = s.heap[last], s.heap[:last]
		if last > 0 {
			heap.Fix(s, 0)
		}
		// Zones only ever get full.
		if s.job.fitsZone(m.Zone, s.tasksByZone) {
			return m
		}
	}
	return nil
}

// reinsert enters a machine that a task was put on, if there is room for another.
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
	x, y := &s.heap[a], &s.heap[b]
	return x.cost < y.cost || x.cost == y.cost && x.m.Name < y.m.Name
}

func (s *machineSearch) Swap(a, b int) { s.heap[a], s.heap[b] = s.heap[b], s.heap[a] }

// Push and Pop are not used: they would box every candidate.
func (s *machineSearch) Push(any) {}

// Pop is not used.
func (s *machineSearch) Pop() any { return nil }
