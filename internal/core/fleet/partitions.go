package fleet

import (
	"cmp"
	"slices"
)

// Partitions divides the hashes of machine names into partitions: partition i ends before
// Boundaries[i], and the last one at the end. Holders are the controllers to which the
// partitions are leased, for LeaseDuration microseconds from when it is read, under the
// leader with FencingToken.
type Partitions struct {
	Boundaries    []uint32 `json:"c"`
	Holders       []string `json:"h"`
	LeaseDuration int64    `json:"t"`
	FencingToken  uint64   `json:"k"`
	Seq           uint64   `json:"s"`
}

// Partition is the partition of a machine.
func (p *Partitions) Partition(name string) int { return p.PartitionOfHash(Hash(name)) }

// PartitionOfHash is the partition of a machine whose name has a hash.
func (p *Partitions) PartitionOfHash(hash uint32) int {
	for i, boundary := range p.Boundaries {
		if hash < boundary {
			return i
		}
	}
	return len(p.Boundaries)
}

// Holder is the controller that takes a machine's heartbeats, or "".
func (p *Partitions) Holder(name string) string {
	if i := p.Partition(name); i < len(p.Holders) {
		return p.Holders[i]
	}
	return ""
}

// PartitionHashes returns the boundaries of n partitions that share the machines of every
// type equally, as far as the order of their hashes allows. It sorts the hashes.
func PartitionHashes(hashes []uint32, n int) []uint32 {
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
