// Package fleet knows the machines: what types there are, which machines
// report, what may still be on a silent one, and how partitions are cut.
package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Type is a machine type of the cloud. Prices are per hour.
type Type struct {
	Name      string             `json:"n"`
	Cap       jobstate.Resources `json:"v"`
	FetchRate int64              `json:"f"` // MB a second
	CacheMB   int64              `json:"l"`
	Price     float64            `json:"p"`
	SpotPrice float64            `json:"sp"`
	Boot      int64              `json:"b"`
	Zones     []string           `json:"z"`
}

// FitsAnyType says whether some machine of the types a job allows can take a task.
func FitsAnyType(types []Type, s *jobstate.Spec) bool {
	return fitsTypeWhere(types, s, func(*Type) bool { return true })
}

// FitsSpread says whether the tasks of a job, all at once, can be in as many zones
// as they have to be: spread over zones, at most half of them is in one.
func FitsSpread(types []Type, s *jobstate.Spec) bool {
	if !s.Spread || s.Kind == jobstate.Array || s.Tasks == 1 {
		return true // an array's tasks may go one after the other
	}
	zones := map[string]bool{}
	fitsTypeWhere(types, s, func(t *Type) bool {
		if fitsTypeWhere([]Type{*t}, s, func(*Type) bool { return true }) {
			for _, z := range t.Zones {
				zones[z] = true
			}
		}
		return false
	})
	return s.Zone == "" && !s.OneZone && len(zones) > 1
}

// FitsWithoutGPUs says the same of the types without GPUs.
func FitsWithoutGPUs(types []Type, s *jobstate.Spec) bool {
	return fitsTypeWhere(types, s, func(t *Type) bool { return t.Cap.GPU == 0 })
}

func fitsTypeWhere(types []Type, s *jobstate.Spec, may func(*Type) bool) bool {
	for i := range types {
		t := &types[i]
		if may(t) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && s.Need.Fits(t.Cap) &&
			(s.Zone == "" || slices.Contains(t.Zones, s.Zone)) {
			return true
		}
	}
	return false
}

// TaskRef names a task of a job.
type TaskRef struct {
	Job   *jobstate.Job
	Index int
}

// Machine is what the leader knows of one machine.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Cap                    jobstate.Resources
	FetchRate, CacheMB     int64
	// Epoch and Seq are of the newest report, Fresh says that it was sent
	// by a worker that knew the current token.
	Epoch, Seq      uint64
	HasCurrentToken bool
	// LastHeartbeat is when the newest report came, Answered when the last answer
	// that renews the worker's lease may have been given.
	LastHeartbeat, LastAnswer int64
	// ReclaimAt is when the cloud takes the machine, 0 for never.
	ReclaimAt int64
	// InCloudList: the cloud's newest list has it.
	InCloudList bool
	// Placed are the stored or planned placements on it, used what they take;
	// Put and Drop change both.
	Placed map[TaskRef]struct{}
	used   jobstate.Resources
	// Hash is the name's, which decides the partition.
	Hash uint32
	// OrphanUsage is what reported tasks without a placement still occupy.
	OrphanUsage jobstate.Resources
	// Images are the images that attempts here have fetched or are fetching,
	// as far as they can still be in its cache. Use adds to them.
	Images map[string]Image
	// Prefetch is a finished task that carries its image here, nil for none.
	Prefetch *Prefetch
	// IdleSince is when the last placement went, 0 while there are any.
	IdleSince int64
	// Releasing: its release was asked for, and no answer came yet.
	Releasing bool
	Draining  bool
	// FailedJobs are jobs that failed here since the last success.
	FailedJobs map[string]bool
	// Hears is what is known of whether answers get to it.
	Delivery Delivery
	// seqRestarted: its reports' numbers have begun anew.
	seqRestarted bool

	// set is the one that the machine is in, at place at of its list.
	set     *MachineSet
	index   int
	changed bool
}

// Image is an image in a machine's cache: its size, and when it was last used.
type Image struct {
	MB, LastUsed int64
	// Fetching: it is being fetched, and was not seen to be there.
	Fetching bool
}

// RecordImageUse notes that the machine has an image for a task. Its cache keeps the most
// recently used images.
func (m *Machine) RecordImageUse(image string, mb, now int64) { m.recordImage(image, mb, now, false) }

// RecordImageFetch notes that the machine fetches an image for a task.
func (m *Machine) RecordImageFetch(image string, mb, now int64) { m.recordImage(image, mb, now, true) }

// AbandonFetch notes that no task on the machine waits for an image any more: unless
// the machine had it all along the fetch is given up, and begins anew next time.
func (m *Machine) AbandonFetch(image string) {
	if m.Images[image].Fetching {
		m.MarkChanged()
		delete(m.Images, image)
	}
}

func (m *Machine) recordImage(image string, mb, now int64, fetching bool) {
	if image == "" {
		return
	}
	m.MarkChanged()
	old, had := m.Images[image]
	m.Images[image] = Image{max(mb, old.MB), now, fetching && (old.Fetching || !had)}
	if had || m.CacheMB <= 0 {
		return
	}
	for len(m.Images) > 1 {
		var sum int64
		oldest := ""
		for n, im := range m.Images {
			sum += im.MB
			if n != image && (oldest == "" || im.LastUsed < m.Images[oldest].LastUsed || im.LastUsed == m.Images[oldest].LastUsed && n < oldest) {
				oldest = n
			}
		}
		if sum <= m.CacheMB {
			return
		}
		delete(m.Images, oldest)
	}
}

// Prefetch is a finished task that is started again for its image.
type Prefetch struct {
	Task    string
	Attempt uint32
	Image   string
	ImageMB int64
	Need    jobstate.Resources
	Team    string
	Sent    bool
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

// NewMachine makes a machine that nothing is known of but its name.
func NewMachine(name string, now int64) *Machine {
	return &Machine{
		Name: name, Hash: Hash(name), Placed: make(map[TaskRef]struct{}), Images: make(map[string]Image),
		FailedJobs: make(map[string]bool), LastAnswer: now, IdleSince: now,
	}
}

// IsNewer says whether a report is newer than the newest so far.
func (m *Machine) IsNewer(session, seq uint64) bool {
	return session > m.Epoch || session == m.Epoch && seq > m.Seq
}

// AddPlacement adds a placement.
func (m *Machine) AddPlacement(r TaskRef) {
	if _, ok := m.Placed[r]; !ok {
		m.MarkChanged()
		m.Placed[r] = struct{}{}
		m.used = m.used.Add(r.Job.Need)
	}
}

// RemovePlacement removes a placement.
func (m *Machine) RemovePlacement(r TaskRef) {
	if _, ok := m.Placed[r]; ok {
		m.MarkChanged()
		delete(m.Placed, r)
		m.used = m.used.Sub(r.Job.Need)
	}
}

// Free is what its placements and orphans leave of it.
func (m *Machine) Free() jobstate.Resources { return m.Cap.Sub(m.OrphanUsage).Sub(m.used) }

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

// Partitions cut the hashes of machine names into partitions: partition i ends
// before Cuts[i], the last at the end. Holders are the controllers to which
// the partitions are leased, for Term microseconds from when it is read.
type Partitions struct {
	Boundaries    []uint32 `json:"c"`
	Holders       []string `json:"h"`
	LeaseDuration int64    `json:"t"`
	FencingToken  uint64   `json:"k"`
	Seq           uint64   `json:"s"`
}

// Partition is the partition of a machine.
func (b *Partitions) Partition(name string) int { return b.PartitionOfHash(Hash(name)) }

// PartitionOfHash is the partition of a machine whose name has a hash.
func (b *Partitions) PartitionOfHash(h uint32) int {
	for i, c := range b.Boundaries {
		if h < c {
			return i
		}
	}
	return len(b.Boundaries)
}

// Holder is the controller that takes a machine's reports, or "".
func (b *Partitions) Holder(name string) string {
	if p := b.Partition(name); p < len(b.Holders) {
		return b.Holders[p]
	}
	return ""
}

// PartitionHashes makes n partitions that share the machines of every type equally, as
// far as the order of their hashes allows. It sorts the hashes.
func PartitionHashes(hashes []uint32, n int) []uint32 {
	slices.SortFunc(hashes, cmp.Compare)
	cuts := make([]uint32, n-1)
	for i := range cuts {
		if len(hashes) < n {
			cuts[i] = uint32((uint64(i+1) << 32) / uint64(n))
			continue
		}
		cuts[i] = hashes[(i+1)*len(hashes)/n]
	}
	return cuts
}
