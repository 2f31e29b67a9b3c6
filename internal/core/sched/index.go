package sched

import (
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

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
	groups []*machineGroup // in the order of their classes
	byName map[string]*Machine
	// slots are the machines by number, freeSlots the numbers without one.
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
	class := m.class()
	switch {
	case m.group == nil:
		x.byName[m.Name] = m
		x.assignSlot(m)
	case m.group.MachineClass != class:
		m.group.free.Delete(m)
		m.group = nil
	case m.free != m.Free:
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

// assignSlot numbers a machine, with the number of one that was removed if there is any.
func (x *Index) assignSlot(m *Machine) {
	n := len(x.freeSlots)
	if n == 0 {
		m.slot = uint32(len(x.slots))
		x.slots = append(x.slots, m)
		return
	}
	m.slot, x.freeSlots = x.freeSlots[n-1], x.freeSlots[:n-1]
	x.slots[m.slot] = m
}

// Remove takes a machine out.
func (x *Index) Remove(m *Machine) {
	if m.group == nil {
		return
	}
	m.group.free.Delete(m)
	m.group = nil
	for _, holders := range m.images {
		x.dropImage(holders, m)
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

// group is the group of a class; there is one from now on.
func (x *Index) group(class MachineClass) *machineGroup {
	i, ok := slices.BinarySearchFunc(x.groups, class, func(g *machineGroup, c MachineClass) int { return g.compare(c) })
	if !ok {
		free := btree.NewBTreeGOptions(byFree, btree.Options{NoLocks: true})
		x.groups = slices.Insert(x.groups, i, &machineGroup{MachineClass: class, free: free})
	}
	return x.groups[i]
}

// putImages repairs which images a machine has. Most have a few, and mostly the
// same as before.
func (x *Index) putImages(m *Machine) {
	m.images = slices.DeleteFunc(m.images, func(holders *imageHolders) bool {
		if _, ok := m.Images[holders.name]; ok {
			return false
		}
		x.dropImage(holders, m)
		return true
	})
	if len(m.images) == len(m.Images) {
		return
	}
	for name := range m.Images {
		holders := x.images[name]
		if holders == nil {
			holders = &imageHolders{name: name, machines: roaring.New()}
			x.images[name] = holders
		}
		if holders.machines.CheckedAdd(m.slot) {
			m.images = append(m.images, holders)
		}
	}
}

// dropImage takes a machine from those that have an image.
func (x *Index) dropImage(holders *imageHolders, m *Machine) {
	holders.machines.Remove(m.slot)
	if holders.machines.IsEmpty() {
		delete(x.images, holders.name)
	}
}

// beginRound starts a round, in which images are worth so much.
func (x *Index) beginRound(worth map[string]int64) {
	x.round++
	for name, holders := range x.images {
		holders.worth = worth[name]
	}
}

// eachWithImage calls visit for the machines that have an image or are fetching it.
func (x *Index) eachWithImage(name string, visit func(*Machine)) {
	holders := x.images[name]
	if holders == nil {
		return
	}
	for it := holders.machines.Iterator(); it.HasNext(); {
		visit(x.slots[it.Next()])
	}
}
