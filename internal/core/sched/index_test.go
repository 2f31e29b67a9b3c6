package sched

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// contents is all that an index says, without what it has of a round.
func contents(x *Index) string {
	var out string
	for _, g := range x.groups {
		if g.free.Len() == 0 {
			continue // its machines have gone
		}
		out += fmt.Sprintf("%v:", g.MachineClass)
		last := Machine{free: jobstate.Resources{GPU: -1 << 40}}
		g.free.Scan(func(m *Machine) bool {
			if !lessFree(&last, m) || m.group != g || m.free != m.Free || x.byName[m.Name] != m || x.slots[m.slot] != m {
				out += " broken"
			}
			last = Machine{Name: m.Name, free: m.free}
			out += fmt.Sprint(" ", m.Name, m.Free)
			return true
		})
	}
	for _, name := range slices.Sorted(func(yield func(string) bool) {
		for name := range x.images {
			if !yield(name) {
				return
			}
		}
	}) {
		var on []string
		x.eachWithImage(name, func(m *Machine) { on = append(on, m.Name) })
		slices.Sort(on)
		out += fmt.Sprint(" ", name, on)
	}
	return out
}

// TestIndex: whatever happens to machines, the index says the same as one that
// is made of them anew, and the best machine that it finds for a task is the one
// that going through all of them finds.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int, of string) int { return rapid.IntRange(0, n-1).Draw(t, of) }
		x := NewIndex()
		there := map[string]*Machine{}
		for range 40 {
			name := fmt.Sprint("m", draw(9, "machine"))
			m := there[name]
			if m != nil && draw(5, "remove") == 0 {
				x.Remove(m)
				delete(there, name)
				continue
			}
			if m == nil {
				m = &Machine{Name: name, Images: map[string]fleet.Image{}}
				there[name] = m
			}
			m.Type, m.Zone, m.Spot, m.Partition = fmt.Sprint("t", draw(2, "type")), fmt.Sprint("z", draw(2, "zone")), draw(2, "spot") == 0, draw(2, "part")
			m.Cap = jobstate.Resources{CPU: 8000, GPU: int64(draw(2, "gpus")) * 2000, Mem: 9000}
			m.Free = jobstate.Resources{CPU: int64(draw(10, "cpu")-1) * 1000, GPU: min(m.Cap.GPU, int64(draw(3, "gpu"))*1000), Mem: int64(draw(10, "mem")) * 1000}
			if im := fmt.Sprint("im", draw(4, "image")); draw(2, "gain") == 0 {
				m.Images[im] = fleet.Image{}
			} else {
				delete(m.Images, im)
			}
			x.Put(m)
		}
		var anew []*Machine
		for _, m := range there {
			anew = append(anew, &Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Partition: m.Partition, Cap: m.Cap, Free: m.Free, Images: m.Images})
		}
		slices.SortFunc(anew, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
		y := NewIndex(anew...)
		if got, want := contents(x), contents(y); got != want {
			t.Fatalf("got  %s\nwant %s", got, want)
		}

		j := job("j", 0, 0, jobstate.Array, 9, 1+int64(draw(3, "need")), 10)
		j.Need.GPU, j.Image, j.ImageMB = int64(draw(2, "need gpu"))*1000, "im1", 5000
		p := Planner{Queues: 3, Index: x, MaxStarts: 9, ImageWorth: map[string]int64{"im2": 7}}
		x.beginRound(p.ImageWorth)
		y.beginRound(p.ImageWorth)
		partition := draw(3, "in part") - 1
		c := p.search(j, partition, nil, map[string]int{})
		for got := c.next(); ; got = c.next() {
			want := plainBest(&p, j, partition, anew)
			if got == nil || want == nil {
				if (got == nil) != (want == nil) {
					t.Fatalf("got %v, want %v", got, want)
				}
				return
			}
			if got.Name != want.Name {
				t.Fatalf("got %s, want %s", got.Name, want.Name)
			}
			p.allocate(j, got, 0)
			want.Free = want.Free.Sub(j.Need)
			c.reinsert(got)
		}
	})
}

// plainBest goes through all machines for the one that costs least.
func plainBest(p *Planner, j *Job, partition int, machines []*Machine) *Machine {
	var best *Machine
	for _, m := range machines {
		class := MachineClass{m.Type, m.Zone, m.Spot, m.Partition, m.Cap}
		if partition >= 0 && m.Partition != partition || !j.allows(class) || !j.Need.Fits(m.Free) || m.Free.GPU > 0 && j.avoidsGPUs(class) {
			continue
		}
		if best == nil || p.cost(j, m) < p.cost(j, best) {
			best = m
		}
	}
	return best
}
