package core

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// plannerIndex keeps the planner's index of machines in step with what is known of
// them. A machine is looked at when it was touched, when the partitions moved,
// and when it has been silent for too long; a round costs nothing for the rest.
type plannerIndex struct {
	index   *sched.Index
	indexed map[*fleet.Machine]*indexedMachine
	// byLastHeartbeat are the machines in the index by their last report.
	byLastHeartbeat *btree.BTreeG[*indexedMachine]
	partitionCuts   []uint32
}

// indexedMachine is what the planner has of a machine.
type indexedMachine struct {
	sched.Machine
	heard int64
}

func newPlannerIndex() plannerIndex {
	return plannerIndex{index: sched.NewIndex(), indexed: map[*fleet.Machine]*indexedMachine{}, byLastHeartbeat: btree.NewBTreeGOptions(func(a, b *indexedMachine) bool {
		return cmp.Or(cmp.Compare(a.heard, b.heard), cmp.Compare(a.Name, b.Name)) < 0
	}, btree.Options{NoLocks: true})}
}

// usable says whether tasks may be placed on a machine now: its worker has
// accepted this leader, hears it, reports in time, and the machine is to stay.
func (p *planner) usable(m *fleet.Machine) bool {
	return m.HasCurrentToken && !m.Delivery.CannotReceive && !m.Draining && !m.Releasing && m.ReclaimAt == 0 && m.LastHeartbeat > p.now-p.settings.Overdue() && m.Cap != jobstate.Resources{}
}

// refreshIndex repairs the index and returns it.
func (p *planner) refreshIndex() *sched.Index {
	l := p.elector.leadership
	r := &l.plannerIndex
	if !slices.Equal(r.partitionCuts, p.cache.partitions.Boundaries) {
		r.partitionCuts = slices.Clone(p.cache.partitions.Boundaries)
		l.fleet.MarkAllChanged()
	}
	// Those that are forgotten go first, so that all that were heard are there.
	l.fleet.DrainChanged(p.repairIndexed)
	for {
		v, ok := r.byLastHeartbeat.Min()
		if !ok || v.heard > p.now-p.settings.Overdue() {
			return r.index
		}
		p.repairIndexed(l.fleet.Get(v.Name))
	}
}

// repairIndexed makes the index say of one machine what is known of it now.
func (p *planner) repairIndexed(m *fleet.Machine) {
	r := &p.elector.leadership.plannerIndex
	v := r.indexed[m]
	if p.elector.leadership.fleet.Get(m.Name) != m || !p.usable(m) {
		if v != nil {
			r.byLastHeartbeat.Delete(v)
			r.index.Remove(&v.Machine)
			delete(r.indexed, m)
		}
		return
	}
	if v == nil {
		v = &indexedMachine{heard: m.LastHeartbeat}
		v.Name = m.Name
		r.indexed[m] = v
		r.byLastHeartbeat.Set(v)
	} else if v.heard != m.LastHeartbeat {
		r.byLastHeartbeat.Delete(v)
		v.heard = m.LastHeartbeat
		r.byLastHeartbeat.Set(v)
	}
	v.Type, v.Zone, v.Spot, v.Partition = m.Type, m.Zone, m.Spot, p.cache.partitions.PartitionOfHash(m.Hash)
	v.Cap, v.Free, v.NextContact, v.FetchRate, v.Images = m.Cap, m.Free(), p.nextHeartbeatAt(m), m.FetchRate, m.Images
	r.index.Put(&v.Machine)
}

// loadRuns tells the planner what occupies a machine.
func (p *planner) loadRuns(sm *sched.Machine, guaranteed map[*jobstate.Job]bool) {
	m := p.elector.leadership.fleet.Get(sm.Name)
	sm.RunningTasks = sm.RunningTasks[:0]
	for ref := range m.Placed {
		sm.RunningTasks = append(sm.RunningTasks, p.plannedRun(m, ref, guaranteed[ref.Job]))
	}
	slices.SortFunc(sm.RunningTasks, func(a, b sched.RunningTask) int {
		return cmp.Or(cmp.Compare(a.End, b.End), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index))
	})
}
