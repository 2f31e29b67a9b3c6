// Package fleet keeps what the leader knows of the machines: their types, what is placed on
// them, which images they have, whether they receive answers, and how they are shared out
// among partitions.
package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// second is in the core's unit of time, microseconds.
const second = 1_000_000

// TaskRef names a task of a job.
type TaskRef struct {
	Job   *jobstate.Job
	Index int
}

// SortTaskRefs puts tasks in the order of their jobs' arrival.
func SortTaskRefs(refs []TaskRef) { slices.SortFunc(refs, compareTaskRefs) }

func compareTaskRefs(a, b TaskRef) int {
	return cmp.Or(
		cmp.Compare(a.Job.Arrival, b.Job.Arrival),
		cmp.Compare(a.Job.ID, b.Job.ID),
		cmp.Compare(a.Index, b.Index),
	)
}

// Machine is what the leader knows of one machine.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Cap                    jobstate.Resources
	FetchRate, CacheMB     int64
	// Epoch and Seq are those of the newest heartbeat.
	Epoch, Seq uint64
	// HasCurrentToken: the worker knew the current fencing token when it sent the newest
	// heartbeat.
	HasCurrentToken bool
	// LastHeartbeat is when the newest heartbeat came, LastAnswer when the last answer
	// that renews the worker's lease may have been given.
	LastHeartbeat, LastAnswer int64
	// ReclaimAt is when the cloud takes the machine, 0 for never.
	ReclaimAt int64
	// InCloudList: the cloud's newest list has it.
	InCloudList bool
	// Placed are the stored or planned placements on it, used what they take;
	// AddPlacement and RemovePlacement change both.
	Placed map[TaskRef]struct{}
	used   jobstate.Resources
	// Hash is the name's, which decides the partition.
	Hash uint32
	// OrphanUsage is what listed tasks without a placement still occupy.
	OrphanUsage jobstate.Resources
	// Images are the images that attempts here have fetched or are fetching, as far as
	// they can still be in its cache. RecordImageUse and RecordImageFetch add to them.
	Images map[string]Image
	// Prefetch is a finished task that carries its image here, nil for none.
	Prefetch *Prefetch
	// IdleSince is when the last placement went, 0 while there are any.
	IdleSince int64
	// Releasing: its release was asked for, and no answer has come yet.
	Releasing bool
	// Draining: it looks faulty, and gets no more tasks.
	Draining bool
	// FailedJobs are jobs that failed here since the last success.
	FailedJobs map[string]bool
	// Delivery is what is known of whether answers get to it.
	Delivery Delivery
	// seqRestarted: it numbers its heartbeats anew.
	seqRestarted bool

	// set is the one that the machine is in, index its place in the set's list.
	set     *MachineSet
	index   int
	changed bool
}

// NewMachine makes a machine of which nothing is known but its name.
func NewMachine(name string, now int64) *Machine {
	return &Machine{
		Name:       name,
		Hash:       Hash(name),
		Placed:     make(map[TaskRef]struct{}),
		Images:     make(map[string]Image),
		FailedJobs: make(map[string]bool),
		LastAnswer: now,
		IdleSince:  now,
	}
}

// SetType takes over what a machine's type says of it.
func (m *Machine) SetType(types []Type) {
	for i := range types {
		if t := &types[i]; t.Name == m.Type {
			m.Cap, m.FetchRate, m.CacheMB = t.Cap, t.FetchRate, t.CacheMB
			m.MarkChanged()
		}
	}
}

// IsNewer says whether a heartbeat is newer than the newest so far.
func (m *Machine) IsNewer(epoch, seq uint64) bool {
	return epoch > m.Epoch || epoch == m.Epoch && seq > m.Seq
}

// AddPlacement adds a placement.
func (m *Machine) AddPlacement(ref TaskRef) {
	if _, ok := m.Placed[ref]; ok {
		return
	}
	m.MarkChanged()
	m.Placed[ref] = struct{}{}
	m.used = m.used.Add(ref.Job.Need)
}

// RemovePlacement removes a placement.
func (m *Machine) RemovePlacement(ref TaskRef) {
	if _, ok := m.Placed[ref]; !ok {
		return
	}
	m.MarkChanged()
	delete(m.Placed, ref)
	m.used = m.used.Sub(ref.Job.Need)
}

// PlacedInOrder lists the placements in the order of their jobs' arrival.
func (m *Machine) PlacedInOrder() []TaskRef {
	return slices.SortedFunc(maps.Keys(m.Placed), compareTaskRefs)
}

// Free is what its placements and orphans leave of it.
func (m *Machine) Free() jobstate.Resources { return m.Cap.Sub(m.OrphanUsage).Sub(m.used) }

// MarkChanged notes that what is known of the machine has changed. AddPlacement,
// RemovePlacement and the Record methods of images do so themselves.
func (m *Machine) MarkChanged() {
	if m.set != nil && !m.changed {
		m.changed = true
		m.set.changed = append(m.set.changed, m)
	}
}

// Hash spreads machines over the partitions, whatever their names stand for.
func Hash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	// FNV leaves names that differ in the last digits close together.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}
