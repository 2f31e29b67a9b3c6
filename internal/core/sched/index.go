package sched

import (
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// machineGroup holds the machines of a class, ordered by their free resources.
type machineGroup struct {
	MachineClass
	free *btree.BTreeG[*Machine]
}

// imageHolders is the set of machines that have an image or are fetching it.
type imageHolders struct {
	name     string
	machines *roaring.Bitmap
	// worth is the value of the image to future jobs in this round, as a delay in
	// microseconds.
	worth int64
}

// Index holds the machines on which tasks may be placed now, by class, by free resources and
// by image, so that a planning round visits only candidates. It is kept from round to round;
// Put and Remove update it as machines change.
type Index struct {
	groups []*machineGroup // in the order of their classes
	byName map[string]*Machine
	// slots are the machines by their number in image bitmaps, freeSlots the unused numbers.
	slots     []*Machine
	freeSlots []uint32
	images    map[string]*imageHolders
	// round is the number of the current planning round. Per-round state of a machine from
	// an earlier round is invalid.
	round uint64
}

// NewIndex returns an index of machines.
func NewIndex(machines ...*Machine) *Index {
	x := &Index{byName: map[string]*Machine{}, images: map[string]*imageHolders{}}
	for _, m := range machines {
		x.Put(m)
	}
	return x
}

// Len returns the number of machines.
func (x *Index) Len() int { return len(x.byName) }

// Capacity returns the total resources of all machines.
func (x *Index) Capacity() jobstate.Resources {
	var all jobstate.Resources
	for _, g := range x.groups {
		all = all.Add(g.Cap.Scale(int64(g.free.Len())))
	}
	return all
}

// Find returns the machine with a name, or nil.
func (x *Index) Find(name string) *Machine { return x.byName[name] }

// lessFree orders machines by free GPUs first, as GPUs are the scarce resource where there are
// any, then by free CPUs and name.
func lessFree(a, b *Machine) bool {
	if a.free.GPU != b.free.GPU {
		return a.free.GPU < b.free.GPU
	}
	if a.free.CPU != b.free.CPU {
		return a.free.CPU < b.free.CPU
	}
	return a.Name < b.Name
}

// Put adds a machine, or updates the index after the fields of a machine in it have changed.
// A name must always belong to the same *Machine.
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

// assignSlot assigns a number to a machine, reusing that of a removed machine if there is one.
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

// Remove removes a machine if it is in the index.
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

// setFree sets the free resources of a machine and reorders it in its group.
func (x *Index) setFree(m *Machine, free jobstate.Resources) {
	m.group.free.Delete(m)
	m.Free, m.free = free, free
	m.group.free.Set(m)
}

// group returns the group of a class, which it creates if there is none.
func (x *Index) group(class MachineClass) *machineGroup {
	i, ok := slices.BinarySearchFunc(x.groups, class, func(g *machineGroup, c MachineClass) int { return g.compare(c) })
	if !ok {
		free := btree.NewBTreeGOptions(lessFree, btree.Options{NoLocks: true})
		x.groups = slices.Insert(x.groups, i, &machineGroup{MachineClass: class, free: free})
	}
	return x.groups[i]
}

// putImages updates the image sets that contain a machine. Most machines have a few images,
// and mostly the same ones as before.
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

// dropImage removes a machine from the holders of an image.
func (x *Index) dropImage(holders *imageHolders, m *Machine) {
	holders.machines.Remove(m.slot)
	if holders.machines.IsEmpty() {
		delete(x.images, holders.name)
	}
}

// beginRound starts a planning round. worth is the value of each image in this round.
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
