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

// indexContents returns all contents of an index as text, except for the state of a round. It adds
// "broken" where the index is inconsistent.
func indexContents(x *Index) string {
	var out string
	for _, g := range x.groups {
		if g.free.Len() == 0 {
			continue // all its machines were removed
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
		var holders []string
		x.eachWithImage(name, func(m *Machine) { holders = append(holders, m.Name) })
		slices.Sort(holders)
		out += fmt.Sprint(" ", name, holders)
	}
	return out
}

// TestIndex checks that after random changes of machines the index equals one that is built from
// scratch, and that a search in it returns the same machines as a scan of all machines.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		index := NewIndex()
		current := map[string]*Machine{}
		for range 40 {
			name := fmt.Sprint("m", draw(9, "machine"))
			m := current[name]
			if m != nil && draw(5, "remove") == 0 {
				index.Remove(m)
				delete(current, name)
				continue
			}
			if m == nil {
				m = &Machine{Name: name, Images: map[string]fleet.Image{}}
				current[name] = m
			}
			m.Type, m.Zone, m.Spot, m.Partition = fmt.Sprint("t", draw(2, "type")), fmt.Sprint("z", draw(2, "zone")), draw(2, "spot") == 0, draw(2, "part")
			m.Cap = jobstate.Resources{CPU: 8000, GPU: int64(draw(2, "gpus")) * 2000, Mem: 9000}
			m.Free = jobstate.Resources{CPU: int64(draw(10, "cpu")-1) * 1000, GPU: min(m.Cap.GPU, int64(draw(3, "gpu"))*1000), Mem: int64(draw(10, "mem")) * 1000}
			if image := fmt.Sprint("im", draw(4, "image")); draw(2, "gain") == 0 {
				m.Images[image] = fleet.Image{}
			} else {
				delete(m.Images, image)
			}
			index.Put(m)
		}
		var copies []*Machine
		for _, m := range current {
			copies = append(copies, &Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Partition: m.Partition, Cap: m.Cap, Free: m.Free, Images: m.Images})
		}
		slices.SortFunc(copies, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
		rebuilt := NewIndex(copies...)
		if got, want := indexContents(index), indexContents(rebuilt); got != want {
			t.Fatalf("index contents:\ngot  %s\nwant %s", got, want)
		}

		j := testJob("j", 0, 0, jobstate.Array, 9, 1+int64(draw(3, "need")), 10)
		j.Need.GPU, j.Image, j.ImageMB = int64(draw(2, "need gpu"))*1000, "im1", 5000
		p := Planner{Queues: 3, Index: index, MaxStarts: 9, ImageWorth: map[string]int64{"im2": 7}}
		index.beginRound(p.ImageWorth)
		rebuilt.beginRound(p.ImageWorth)
		partition := draw(3, "in part") - 1
		search := p.search(j, partition, nil, map[string]int{})
		for got := search.next(); ; got = search.next() {
			want := cheapestByScan(&p, j, partition, copies)
			if got == nil || want == nil {
				if (got == nil) != (want == nil) {
					t.Fatalf("next machine of the search: got %v, want %v", got, want)
				}
				return
			}
			if got.Name != want.Name {
				t.Fatalf("next machine of the search: got %s, want %s", got.Name, want.Name)
			}
			p.allocate(j, got, 0)
			want.Free = want.Free.Sub(j.Need)
			search.reinsert(got)
		}
	})
}

// cheapestByScan returns the machine that costs least by a scan of all machines, nil if none fits.
func cheapestByScan(p *Planner, j *Job, partition int, machines []*Machine) *Machine {
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
