package sched

import (
	"cmp"
	"container/heap"
)

// fresh makes sure that what a machine has of a round is of this one.
func (p *Planner) fresh(m *Machine) *Machine {
	if m.round != p.Index.round {
		m.round, m.loaded = p.Index.round, p.Load == nil
		m.holds, m.coming = m.holds[:0], m.coming[:0]
		m.worth = 0
		for _, im := range m.images {
			m.worth += im.worth
		}
	}
	return m
}

// runs are what occupies a machine, by their ends.
func (p *Planner) runs(m *Machine) []Run {
	if p.fresh(m); !m.loaded {
		m.loaded = true
		p.Load(m)
	}
	return m.Runs
}

// reach is how long it takes until orders can get to a machine.
func (p *Planner) reach(m *Machine) int64 { return max(0, m.Next-p.Now) }

// each calls f for all machines that could take a task of j, were they empty.
func (p *Planner) each(j *Job, f func(*Machine)) {
	for _, g := range p.Index.groups {
		if j.suits(g.Class) {
			g.free.Scan(func(m *Machine) bool {
				f(p.fresh(m))
				return true
			})
		}
	}
}

// withRoom calls f for the machines of a group that have room for a task of j:
// with GPUs that it would leave idle only if shunned says so.
func (p *Planner) withRoom(j *Job, g *group, shunned bool, f func(*Machine)) {
	from := Machine{free: j.Need}
	shuns := j.shuns(g.Class) && !shunned
	g.free.Ascend(&from, func(m *Machine) bool {
		if shuns && m.Free.GPU > 0 {
			// What is beside busy GPUs it may have.
			return false
		}
		if j.Need.Fits(m.Free) {
			f(p.fresh(m))
		}
		return true
	})
}

// candidate is a machine that a task could go to, and what that costs.
type candidate struct {
	cost int64
	m    *Machine
}

// search finds, one after the other, the machines that cost least for the tasks
// of a job. A task that is placed changes only what its own machine costs.
type search struct {
	p     *Planner
	j     *Job
	part  int
	zones map[string]int
	heap  []candidate
}

// search begins with the machines of one partition and zone, or of all; zones
// counts the job's tasks and may grow meanwhile.
func (p *Planner) search(j *Job, part int, zone *string, zones map[string]int) *search {
	c := &search{p: p, j: j, part: part, zones: zones, heap: p.found[:0]}
	for _, g := range p.Index.groups {
		if part >= 0 && g.Part != part || zone != nil && g.Zone != *zone || !j.allows(g.Class) || !zoneFits(j, g.Zone, zones) {
			continue
		}
		p.withRoom(j, g, false, func(m *Machine) {
			if p.harmless(m, j, p.Now+j.lengthOn(m)) {
				c.heap = append(c.heap, candidate{p.cost(j, m, part), m})
			}
		})
	}
	p.found = c.heap
	heap.Init(c)
	return c
}

// next takes the best machine out, nil if there is none.
func (c *search) next() *Machine {
	for len(c.heap) > 0 {
		last := len(c.heap) - 1
		m := c.heap[0].m
		c.heap[0], c.heap = c.heap[last], c.heap[:last]
		if last > 0 {
			heap.Fix(c, 0)
		}
		// Zones only ever get full.
		if zoneFits(c.j, m.Zone, c.zones) {
			return m
		}
	}
	return nil
}

// again enters a machine that a task was put on, if there is room for another.
func (c *search) again(m *Machine) {
	p, j := c.p, c.j
	if !j.Need.Fits(m.Free) || m.Free.GPU > 0 && j.shuns(m.group.Class) || !p.harmless(m, j, p.Now+j.lengthOn(m)) {
		return
	}
	c.heap = append(c.heap, candidate{p.cost(j, m, c.part), m})
	heap.Fix(c, len(c.heap)-1)
}

func (c *search) Len() int { return len(c.heap) }

func (c *search) Less(a, b int) bool {
	x, y := &c.heap[a], &c.heap[b]
	return x.cost < y.cost || x.cost == y.cost && x.m.Name < y.m.Name
}

func (c *search) Swap(a, b int) { c.heap[a], c.heap[b] = c.heap[b], c.heap[a] }

// Push and Pop are not used: they would box every candidate.
func (c *search) Push(any) {}

// Pop is not used.
func (c *search) Pop() any { return nil }

// slot is when a machine has room for one task.
type slot struct {
	m  *Machine
	at int64
}

// slots are a heap by time.
type slots []slot

func (s slots) Len() int { return len(s) }

func (s slots) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(s[a].at, s[b].at), cmp.Compare(s[a].m.Name, s[b].m.Name)) < 0
}

func (s slots) Swap(a, b int) { s[a], s[b] = s[b], s[a] }

func (s *slots) Push(x any) { *s = append(*s, x.(slot)) }

func (s *slots) Pop() any {
	x := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return x
}
