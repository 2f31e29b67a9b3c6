// Package fleet holds the leader's view of the machines: their types, the tasks placed on
// them, the images they have cached, whether they receive answers, and how they are divided
// into partitions.
package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// second is one second in microseconds, the time unit of the core.
const second = 1_000_000

// TaskRef names a task of a job.
type TaskRef struct {
	Job   *jobstate.Job
	Index int
}

// SortTaskRefs sorts tasks by the arrival of their jobs, then by job ID and task index.
func SortTaskRefs(refs []TaskRef) { slices.SortFunc(refs, compareTaskRefs) }

func compareTaskRefs(a, b TaskRef) int {
	return cmp.Or(
		cmp.Compare(a.Job.Arrival, b.Job.Arrival),
		cmp.Compare(a.Job.ID, b.Job.ID),
		cmp.Compare(a.Index, b.Index),
	)
}

// Machine is the leader's view of one machine.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Cap                    jobstate.Resources
	FetchRate, CacheMB     int64
	// Epoch and Seq are those of the newest heartbeat.
	Epoch, Seq uint64
	// HasCurrentToken reports whether the worker knew the current fencing token when it
	// sent the newest heartbeat.
	HasCurrentToken bool
	// LastHeartbeat is the arrival time of the newest heartbeat. LastAnswer is the latest
	// time at which an answer that renews the worker's lease may have been given.
	LastHeartbeat, LastAnswer int64
	// ReclaimAt is the time at which the cloud reclaims the machine, 0 for never.
	ReclaimAt int64
	// InCloudList reports whether the cloud's newest list contains the machine.
	InCloudList bool
	// Placed are the stored or planned placements on the machine, and used is the sum of
	// their resources. AddPlacement and RemovePlacement update both.
	Placed map[TaskRef]struct{}
	used   jobstate.Resources
	// Hash is the hash of the name, which determines the partition.
	Hash uint32
	// OrphanUsage are the resources occupied by tasks that the machine still lists but that
	// have no placement.
	OrphanUsage jobstate.Resources
	// Images are the images that attempts on the machine have fetched or are fetching,
	// without those that the cache must have evicted. RecordImageUse and RecordImageFetch
	// add images.
	Images map[string]Image
	// Prefetch is a finished task that is started again here to fetch its image, nil for
	// none.
	Prefetch *Prefetch
	// IdleSince is the time at which the last placement was removed, 0 while the machine
	// has placements.
	IdleSince int64
	// Releasing reports whether the machine's return to the cloud was requested and
	// the answer is pending.
	Releasing bool
	// Draining reports whether the machine gets no more tasks because it looks faulty.
	Draining bool
	// FailedJobs are the IDs of the jobs of which a task has failed on the machine since the
	// last success.
	FailedJobs map[string]bool
	// Delivery tracks whether the machine receives answers.
	Delivery Delivery
	// starts are the starts of which copies may still arrive.
	starts recentStarts
	// seqRestarted reports whether the machine has restarted its heartbeat sequence
	// numbers.
	seqRestarted bool

	// set is the set that contains the machine, index is its position in the set's list,
	// and changed reports whether the set's list of changed machines contains it.
	set     *MachineSet
	index   int
	changed bool
}

// NewMachine returns a machine of which only the name is known.
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

// SetType copies the capacity, fetch rate and cache size from the machine's type, if types
// contains it.
func (m *Machine) SetType(types []Type) {
	for i := range types {
		if t := &types[i]; t.Name == m.Type {
			m.Cap, m.FetchRate, m.CacheMB = t.Cap, t.FetchRate, t.CacheMB
			m.MarkChanged()
		}
	}
}

// IsNewer reports whether a heartbeat is newer than the newest so far.
func (m *Machine) IsNewer(epoch, seq uint64) bool {
	return epoch > m.Epoch || epoch == m.Epoch && seq > m.Seq
}

// AddPlacement adds a placement if the machine does not have it.
func (m *Machine) AddPlacement(ref TaskRef) {
	if _, ok := m.Placed[ref]; ok {
		return
	}
	m.MarkChanged()
	m.Placed[ref] = struct{}{}
	m.used = m.used.Add(ref.Job.Need)
}

// RemovePlacement removes a placement if the machine has it.
func (m *Machine) RemovePlacement(ref TaskRef) {
	if _, ok := m.Placed[ref]; !ok {
		return
	}
	m.MarkChanged()
	delete(m.Placed, ref)
	m.used = m.used.Sub(ref.Job.Need)
}

// PlacedInOrder returns the placements in the order of SortTaskRefs.
func (m *Machine) PlacedInOrder() []TaskRef {
	return slices.SortedFunc(maps.Keys(m.Placed), compareTaskRefs)
}

// Free returns the resources that neither placements nor orphaned tasks occupy.
func (m *Machine) Free() jobstate.Resources { return m.Cap.Sub(m.OrphanUsage).Sub(m.used) }

// MarkChanged records that the view of the machine has changed, for
// MachineSet.ForEachChanged. AddPlacement, RemovePlacement and the Record methods for images
// call it themselves.
func (m *Machine) MarkChanged() {
	if m.set != nil && !m.changed {
		m.changed = true
		m.set.changed = append(m.set.changed, m)
	}
}

// Hash returns the hash of a machine name that assigns it to a partition. It spreads
// machines evenly whatever naming scheme they follow.
func Hash(name string) uint32 {
	fnvHash := fnv.New32a()
	fnvHash.Write([]byte(name))
	// The FNV hashes of names that differ only in the last digits are close to each other.
	hash := fnvHash.Sum32()
	hash ^= hash >> 16
	hash *= 0x7feb352d
	hash ^= hash >> 15
	hash *= 0x846ca68b
	return hash ^ hash>>16
}
