package sched

import (
	"cmp"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// MachineClass is what machines have in common that decides whether a job may ever
// be on them, and whose partition they are in.
type MachineClass struct {
	Type, Zone string
	Spot       bool
	Partition  int
	Cap        jobstate.Resources
}

func (c MachineClass) compare(o MachineClass) int {
	spot := 0
	if c.Spot != o.Spot {
		spot = 1
		if o.Spot {
			spot = -1
		}
	}
	return cmp.Or(cmp.Compare(c.Type, o.Type), cmp.Compare(c.Zone, o.Zone), spot, cmp.Compare(c.Partition, o.Partition),
		cmp.Compare(c.Cap.GPU, o.Cap.GPU), cmp.Compare(c.Cap.CPU, o.Cap.CPU), cmp.Compare(c.Cap.Mem, o.Cap.Mem))
}

// machineGroup is the machines of a class, by what is free on them.
type machineGroup struct {
	MachineClass
	free *btree.BTreeG[*Machine]
}

// imageHolders is which machines have an image or are fetching it.
type imageHolders struct {
	name     string
	machines *roaring.Bitmap
	// worth is what it is worth in this round to jobs to come, as a delay.
	worth int64
}

// Index holds the machines that tasks may be placed on now, so that a round
// looks only at those that come into question: by class, by what is free on
// them, and by image. It is kept from round to round; Put and Remove repair it
// as what is known of a machine changes.
type Index struct {
	groups    []*machineGroup // in the order of their classes
	byName    map[string]*Machine
	slots     []*Machine
	freeSlots []uint32
	images    map[string]*imageHolders
	// round numbers the rounds of planning: what a machine has of an earlier
	// one means nothing.
	round uint64
}

// NewIndex makes an index of machines.
func NewIndex(machines ...*Machine) *Index {
	x := &Index{byName: map[string]*Machine{}, images: map[string]*imageHolders{}}
	for _, m := range machines {
		x.Put(m)
	}
	return x
}

// Len is how many machines there are.
func (x *Index) Len() int { return len(x.byName) }

// Capacity is what all machines have together.
func (x *Index) Capacity() jobstate.Resources {
	var all jobstate.Resources
	for _, g := range x.groups {
		all = all.Add(g.Cap.Scale(int64(g.free.Len())))
	}
	return all
}

// Find returns a machine, or nil.
func (x *Index) Find(name string) *Machine { return x.byName[name] }

// byFree orders by GPUs first, as they are what runs short where there are any.
func byFree(a, b *Machine) bool {
	if a.free.GPU != b.free.GPU {
		return a.free.GPU < b.free.GPU
	}
	if a.free.CPU != b.free.CPU {
		return a.free.CPU < b.free.CPU
	}
	return a.Name < b.Name
}

// Put enters a machine, or takes over what has changed of one that was
// entered. One name is always the same *Machine.
func (x *Index) Put(m *Machine) {
	class := MachineClass{m.Type, m.Zone, m.Spot, m.Partition, m.Cap}
	if m.group == nil {
		x.byName[m.Name] = m
		if n := len(x.freeSlots); n > 0 {
			m.slot, x.freeSlots = x.freeSlots[n-1], x.freeSlots[:n-1]
			x.slots[m.slot] = m
		} else {
			m.slot = uint32(len(x.slots))
			x.slots = append(x.slots, m)
		}
	} else if m.group.MachineClass != class {
		m.group.free.Delete(m)
		m.group = nil
	} else if m.free != m.Free {
		x.setFree(m, m.Free)
	}
	if m.group == nil {
		m.free = m.Free
		m.group = x.group(class)
		m.group.free.Set(m)
	}
	x.putImages(m)
	m.round = 0
}

// Remove takes a machine out.
func (x *Index) Remove(m *Machine) {
	if m.group == nil {
		return
	}
	m.group.free.Delete(m)
	m.group = nil
	for _, im := range m.images {
		x.dropImage(im, m)
	}
	m.images = m.images[:0]
	if x.byName[m.Name] == m {
		delete(x.byName, m.Name)
	}
	x.slots[m.slot] = nil
	x.freeSlots = append(x.freeSlots, m.slot)
}

// setFree moves a machine to its place by what is free on it.
func (x *Index) setFree(m *Machine, free jobstate.Resources) {
	m.group.free.Delete(m)
	m.Free, m.free = free, free
	m.group.free.Set(m)
}

func (x *Index) group(c MachineClass) *machineGroup {
	i, ok := slices.BinarySearchFunc(x.groups, c, func(g *machineGroup, c MachineClass) int { return g.compare(c) })
	if !ok {
		x.groups = slices.Insert(x.groups, i, &machineGroup{MachineClass: c, free: btree.NewBTreeGOptions(byFree, btree.Options{NoLocks: true})})
	}
	return x.groups[i]
}

// putImages repairs which images a machine has. Most have a few, and mostly the
// same as before.
func (x *Index) putImages(m *Machine) {
	m.images = slices.DeleteFunc(m.images, func(im *imageHolders) bool {
		if _, ok := m.Images[im.name]; ok {
			return false
		}
		x.dropImage(im, m)
		return true
	})
	if len(m.images) == len(m.Images) {
		return
	}
	for name := range m.Images {
		im := x.images[name]
		if im == nil {
			im = &imageHolders{name: name, machines: roaring.New()}
			x.images[name] = im
		}
		if im.machines.CheckedAdd(m.slot) {
			m.images = append(m.images, im)
		}
	}
}

func (x *Index) dropImage(im *imageHolders, m *Machine) {
	im.machines.Remove(m.slot)
	if im.machines.IsEmpty() {
		delete(x.images, im.name)
	}
}

// beginRound starts a round, in which images are worth so much.
func (x *Index) beginRound(worth map[string]int64) {
	x.round++
	for name, im := range x.images {
		im.worth = worth[name]
	}
}

// eachWithImage calls f for the machines that have an image.
func (x *Index) eachWithImage(name string, f func(*Machine)) {
	if im := x.images[name]; im != nil {
		for it := im.machines.Iterator(); it.HasNext(); {
			f(x.slots[it.Next()])
		}
	}
}

// Machine is a machine that tasks may be placed on now. Its exported fields are
// set by the owner, who then calls Index.Put.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Partition        int
	Cap, Free        jobstate.Resources
	// NextContact is when orders can get to it next: in the answer to its worker's
	// next report, or at once if one waits for them.
	NextContact int64
	// FetchRate is in MB a second, Images what it has or is fetching; the
	// planner only reads it, and keeps what it adds itself in coming.
	FetchRate int64
	Images    map[string]fleet.Image
	// RunningTasks are what occupies it, by their ends; where the planner has Load
	// they are there once it was called.
	RunningTasks []RunningTask

	group  *machineGroup
	free   jobstate.Resources // what it is ordered by in its group
	slot   uint32
	images []*imageHolders
	// What follows is of one round.
	round         uint64
	tasksLoaded   bool
	imageWorth    int64
	reservations  []reservation
	plannedImages []string
}

// willHaveImage says whether the machine has an image or will have it.
func (m *Machine) willHaveImage(name string) bool {
	for _, im := range m.images {
		if im.name == name {
			return true
		}
	}
	return slices.Contains(m.plannedImages, name)
}

// hasImage says whether an image is on the machine, and not on its way only.
func (m *Machine) hasImage(name string) bool {
	im, ok := m.Images[name]
	return ok && !im.Fetching
}

// claimedAhead says whether the machine is claimed for another job that j may
// not take it from.
func (m *Machine) claimedAhead(j *Job) bool {
	return slices.ContainsFunc(m.reservations, func(h reservation) bool { return h.kind == forClaim && h.blocks(j) })
}

// claimedFor says whether room is being made there for j.
func (m *Machine) claimedFor(j *Job) bool {
	return slices.ContainsFunc(m.reservations, func(h reservation) bool { return h.kind == forClaim && h.job.Job == j.Job })
}
