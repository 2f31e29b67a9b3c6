package fleet

import (
	"cmp"
	"slices"
)

// Partitions divides the hashes of machine names into partitions: partition i ends before
// Boundaries[i], and the last one at the end of the hash range. Holders are the controllers
// to which the leader with FencingToken leases the partitions. A lease lasts LeaseDuration
// microseconds from the time at which the value is read.
type Partitions struct {
	Boundaries    []uint32 `json:"c"`
	Holders       []string `json:"h"`
	LeaseDuration int64    `json:"t"`
	FencingToken  uint64   `json:"k"`
	Seq           uint64   `json:"s"`
}

// Partition returns the partition of a machine.
func (p *Partitions) Partition(name string) int { return p.PartitionOfHash(Hash(name)) }

// PartitionOfHash returns the partition of a machine from the hash of its name.
func (p *Partitions) PartitionOfHash(hash uint32) int {
	for i, boundary := range p.Boundaries {
		if hash < boundary {
			return i
		}
	}
	return len(p.Boundaries)
}

// Holder returns the controller that receives a machine's heartbeats, or "".
func (p *Partitions) Holder(name string) string {
	if i := p.Partition(name); i < len(p.Holders) {
		return p.Holders[i]
	}
	return ""
}

// PartitionBoundaries returns the boundaries of n partitions that contain equal numbers of the
// hashes, as nearly as possible, and so roughly equal numbers of machines of every type. If there
// are fewer hashes than partitions, the hash range is divided evenly. hashes is sorted in place.
func PartitionBoundaries(hashes []uint32, n int) []uint32 {
	slices.SortFunc(hashes, cmp.Compare)
	boundaries := make([]uint32, n-1)
	for i := range boundaries {
		if len(hashes) < n {
			boundaries[i] = uint32((uint64(i+1) << 32) / uint64(n))
			continue
		}
		boundaries[i] = hashes[(i+1)*len(hashes)/n]
	}
	return boundaries
}
