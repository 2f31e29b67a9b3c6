package sched

import (
	"cmp"
	"container/heap"
)

// resetForRound makes sure that what a machine has of a round is of this one.
func (p *Planner) resetForRound(m *Machine) *Machine {
	if m.round != p.Index.round {
		m.round, m.tasksLoaded = p.Index.round, p.LoadRunningTasks == nil
		m.reservations, m.plannedImages = m.reservations[:0], m.plannedImages[:0]
		m.imageWorth = 0
		for _, im := range m.images {
			m.imageWorth += im.worth
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

// contactDelay is how long it takes until orders can get to a machine.
func (p *Planner) contactDelay(m *Machine) int64 { return max(0, m.NextContact-p.Now) }

// eachSuitable calls f for all machines that could take a task of j, were they empty.
func (p *Planner) eachSuitable(j *Job, f func(*Machine)) {
	for _, g := range p.Index.groups {
		if j.suits(g.MachineClass) {
			g.free.Scan(func(m *Machine) bool {
				f(p.resetForRound(m))
				return true
			})
		}
	}
}

// eachFitting calls f for the machines of a group that have room for a task of j:
// with GPUs that it would leave idle only if shunned says so.
func (p *Planner) eachFitting(j *Job, g *machineGroup, shunned bool, f func(*Machine)) {
	from := Machine{free: j.Need}
	shuns := j.avoidsGPUs(g.MachineClass) && !shunned
	g.free.Ascend(&from, func(m *Machine) bool {
		if shuns && m.Free.GPU > 0 {
			// What is beside busy GPUs it may have.
			return false
		}
		if j.Need.Fits(m.Free) {
			f(p.resetForRound(m))
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
type machineSearch struct {
	planner *Planner
	job     *Job
	part    int
	zones   map[string]int
	heap    []candidate
}

// search begins with the machines of one partition and zone, or of all; zones
// counts the job's tasks and may grow meanwhile.
func (p *Planner) search(j *Job, part int, zone *string, zones map[string]int) *machineSearch {
	c := &machineSearch{planner: p, job: j, part: part, zones: zones, heap: p.searchBuffer[:0]}
	for _, g := range p.Index.groups {
		if part >= 0 && g.Partition != part || zone != nil && g.Zone != *zone || !j.allows(g.MachineClass) || !zoneFits(j, g.Zone, zones) {
			continue
		}
		p.eachFitting(j, g, false, func(m *Machine) {
			if p.respectsReservations(m, j, p.Now+j.durationOn(m)) {
				c.heap = append(c.heap, candidate{p.cost(j, m, part), m})
			}
		})
	}
	p.searchBuffer = c.heap
	heap.Init(c)
	return c
}

// next takes the best machine out, nil if there is none.
func (c *machineSearch) next() *Machine {
	for len(c.heap) > 0 {
		last := len(c.heap) - 1
		m := c.heap[0].m
		c.heap[0], c.heap = c.heap[last], c.heap[:last]
		if last > 0 {
			heap.Fix(c, 0)
		}
		// Zones only ever get full.
		if zoneFits(c.job, m.Zone, c.zones) {
			return m
		}
	}
	return nil
}

// reinsert enters a machine that a task was put on, if there is room for another.
func (c *machineSearch) reinsert(m *Machine) {
	p, j := c.planner, c.job
	if !j.Need.Fits(m.Free) || m.Free.GPU > 0 && j.avoidsGPUs(m.group.MachineClass) || !p.respectsReservations(m, j, p.Now+j.durationOn(m)) {
		return
	}
	c.heap = append(c.heap, candidate{p.cost(j, m, c.part), m})
	heap.Fix(c, len(c.heap)-1)
}

func (c *machineSearch) Len() int { return len(c.heap) }

func (c *machineSearch) Less(a, b int) bool {
	x, y := &c.heap[a], &c.heap[b]
	return x.cost < y.cost || x.cost == y.cost && x.m.Name < y.m.Name
}

func (c *machineSearch) Swap(a, b int) { c.heap[a], c.heap[b] = c.heap[b], c.heap[a] }

// Push and Pop are not used: they would box every candidate.
func (c *machineSearch) Push(any) {}

// Pop is not used.
func (c *machineSearch) Pop() any { return nil }

// freeSlot is when a machine has room for one task.
type freeSlot struct {
	m  *Machine
	at int64
}

// slotHeap are a heap by time.
type slotHeap []freeSlot

func (s slotHeap) Len() int { return len(s) }

func (s slotHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(s[a].at, s[b].at), cmp.Compare(s[a].m.Name, s[b].m.Name)) < 0
}

func (s slotHeap) Swap(a, b int) { s[a], s[b] = s[b], s[a] }

func (s *slotHeap) Push(x any) { *s = append(*s, x.(freeSlot)) }

func (s *slotHeap) Pop() any {
	x := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return x
}
