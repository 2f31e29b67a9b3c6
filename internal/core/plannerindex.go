package core

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// plannerIndex keeps the planner's index of machines up to date with the fleet. A machine
// is examined only when it or the partitions have changed, or when its heartbeats are
// overdue, so the other machines add no cost to a round.
type plannerIndex struct {
	index   *sched.Index
	indexed map[*fleet.Machine]*indexedMachine
	// byLastHeartbeat has the machines in the index ordered by their last heartbeat.
	byLastHeartbeat *btree.BTreeG[*indexedMachine]
	// boundaries are the partition boundaries that the index is based on.
	boundaries []uint32
}

// indexedMachine is the planner's entry for a machine.
type indexedMachine struct {
	sched.Machine
	lastHeartbeat int64
}

// hasEarlierHeartbeat orders machines by their last heartbeat, then by name.
func hasEarlierHeartbeat(a, b *indexedMachine) bool {
	return cmp.Or(cmp.Compare(a.lastHeartbeat, b.lastHeartbeat), cmp.Compare(a.Name, b.Name)) < 0
}

func newPlannerIndex() plannerIndex {
	return plannerIndex{
		index:           sched.NewIndex(),
		indexed:         map[*fleet.Machine]*indexedMachine{},
		byLastHeartbeat: btree.NewBTreeGOptions(hasEarlierHeartbeat, btree.Options{NoLocks: true}),
	}
}

// put adds a machine or updates its position after a new heartbeat, and returns its entry.
func (x *plannerIndex) put(machine *fleet.Machine) *indexedMachine {
	entry := x.indexed[machine]
	switch {
	case entry == nil:
		entry = &indexedMachine{lastHeartbeat: machine.LastHeartbeat}
		entry.Name = machine.Name
		x.indexed[machine] = entry
		x.byLastHeartbeat.Set(entry)
	case entry.lastHeartbeat != machine.LastHeartbeat:
		x.byLastHeartbeat.Delete(entry)
		entry.lastHeartbeat = machine.LastHeartbeat
		x.byLastHeartbeat.Set(entry)
	}
	return entry
}

// remove removes a machine that the planner may not use.
func (x *plannerIndex) remove(machine *fleet.Machine) {
	entry := x.indexed[machine]
	if entry == nil {
		return
	}
	x.byLastHeartbeat.Delete(entry)
	x.index.Remove(&entry.Machine)
	delete(x.indexed, machine)
}

// usable reports whether tasks may be placed on a machine now: its worker has accepted this
// leader, receives responses and sends heartbeats in time, and the machine has a known capacity
// and is not being drained, returned or reclaimed.
func (p *planner) usable(machine *fleet.Machine) bool {
	return machine.HasCurrentToken &&
		!machine.Delivery.CannotReceive &&
		!machine.Draining &&
		!machine.Releasing &&
		machine.ReclaimAt == 0 &&
		machine.LastHeartbeat > p.now-p.settings.MaxHeartbeatAge() &&
		machine.Cap != jobstate.Resources{}
}

// refreshIndex brings the index up to date and returns it.
func (p *planner) refreshIndex() *sched.Index {
	term := p.elector.leadership
	index := &term.plannerIndex
	if !slices.Equal(index.boundaries, p.cache.partitions.Boundaries) {
		index.boundaries = slices.Clone(p.cache.partitions.Boundaries)
		term.fleet.MarkAllChanged()
	}
	// Process changed machines first: this removes those that have left the fleet from the
	// index, so that the fleet has every machine that the loop below looks up.
	term.fleet.ForEachChanged(p.updateIndexed)
	for {
		oldest, ok := index.byLastHeartbeat.Min()
		if !ok || oldest.lastHeartbeat > p.now-p.settings.MaxHeartbeatAge() {
			return index.index
		}
		p.updateIndexed(term.fleet.Get(oldest.Name))
	}
}

// updateIndexed updates the index entry of one machine, or removes it if the machine is no
// longer usable.
func (p *planner) updateIndexed(machine *fleet.Machine) {
	term := p.elector.leadership
	if term.fleet.Get(machine.Name) != machine || !p.usable(machine) {
		term.plannerIndex.remove(machine)
		return
	}
	entry := term.plannerIndex.put(machine)
	entry.Type, entry.Zone, entry.Spot = machine.Type, machine.Zone, machine.Spot
	entry.Partition = p.cache.partitions.PartitionOfHash(machine.Hash)
	entry.Cap, entry.Free = machine.Cap, machine.Free()
	entry.NextContact = p.nextHeartbeatAt(machine)
	entry.FetchRate, entry.Images = machine.FetchRate, machine.Images
	term.plannerIndex.index.Put(&entry.Machine)
}

// loadRunningTasks sets the tasks that occupy a machine, ordered by their estimated end.
func (p *planner) loadRunningTasks(entry *sched.Machine, guaranteed map[*jobstate.Job]bool) {
	machine := p.elector.leadership.fleet.Get(entry.Name)
	entry.RunningTasks = entry.RunningTasks[:0]
	for ref := range machine.Placed {
		entry.RunningTasks = append(entry.RunningTasks, p.runningTask(machine, ref, guaranteed[ref.Job]))
	}
	slices.SortFunc(entry.RunningTasks, func(a, b sched.RunningTask) int {
		return cmp.Or(cmp.Compare(a.End, b.End), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index))
	})
}
