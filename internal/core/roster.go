package core

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// roster keeps the planner's index of machines in step with what is known of
// them. A machine is looked at when it was touched, when the partitions moved,
// and when it has been silent for too long; a round costs nothing for the rest.
type roster struct {
	index *sched.Index
	views map[*fleet.Machine]*view
	// heard are the machines in the index by their last report.
	heard *btree.BTreeG[*view]
	cuts  []uint32
}

// view is what the planner has of a machine.
type view struct {
	sched.Machine
	heard int64
}

func newRoster() roster {
	return roster{index: sched.NewIndex(), views: map[*fleet.Machine]*view{}, heard: btree.NewBTreeGOptions(func(a, b *view) bool {
		return cmp.Or(cmp.Compare(a.heard, b.heard), cmp.Compare(a.Name, b.Name)) < 0
	}, btree.Options{NoLocks: true})}
}

// usable says whether tasks may be placed on a machine now: its worker has
// accepted this leader, hears it, reports in time, and the machine is to stay.
func (c *Core) usable(m *fleet.Machine) bool {
	return m.HasCurrentToken && !m.Delivery.CannotReceive && !m.Draining && !m.Releasing && m.ReclaimAt == 0 && m.LastHeartbeat > c.now-c.set.Overdue() && m.Cap != jobstate.Resources{}
}

// refresh repairs the index and returns it.
func (c *Core) refresh() *sched.Index {
	l := c.lead
	r := &l.roster
	if !slices.Equal(r.cuts, c.bounds.Boundaries) {
		r.cuts = slices.Clone(c.bounds.Boundaries)
		l.fleet.MarkAllChanged()
	}
	// Those that are forgotten go first, so that all that were heard are there.
	l.fleet.DrainChanged(c.repair)
	for {
		v, ok := r.heard.Min()
		if !ok || v.heard > c.now-c.set.Overdue() {
			return r.index
		}
		c.repair(l.fleet.Get(v.Name))
	}
}

// repair makes the index say of one machine what is known of it now.
func (c *Core) repair(m *fleet.Machine) {
	r := &c.lead.roster
	v := r.views[m]
	if c.lead.fleet.Get(m.Name) != m || !c.usable(m) {
		if v != nil {
			r.heard.Delete(v)
			r.index.Remove(&v.Machine)
			delete(r.views, m)
		}
		return
	}
	if v == nil {
		v = &view{heard: m.LastHeartbeat}
		v.Name = m.Name
		r.views[m] = v
		r.heard.Set(v)
	} else if v.heard != m.LastHeartbeat {
		r.heard.Delete(v)
		v.heard = m.LastHeartbeat
		r.heard.Set(v)
	}
	v.Type, v.Zone, v.Spot, v.Partition = m.Type, m.Zone, m.Spot, c.bounds.PartitionOfHash(m.Hash)
	v.Cap, v.Free, v.NextContact, v.FetchRate, v.Images = m.Cap, m.Free(), c.nextOrders(m), m.FetchRate, m.Images
	r.index.Put(&v.Machine)
}

// loadRuns tells the planner what occupies a machine.
func (c *Core) loadRuns(sm *sched.Machine, guaranteed map[*jobstate.Job]bool) {
	m := c.lead.fleet.Get(sm.Name)
	sm.RunningTasks = sm.RunningTasks[:0]
	for ref := range m.Placed {
		sm.RunningTasks = append(sm.RunningTasks, c.run(m, ref, guaranteed[ref.Job]))
	}
	slices.SortFunc(sm.RunningTasks, func(a, b sched.RunningTask) int {
		return cmp.Or(cmp.Compare(a.End, b.End), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index))
	})
}
