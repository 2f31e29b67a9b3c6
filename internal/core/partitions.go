package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/kv"
)

const (
	// partitionWriteGap is the minimum time between two writes of the partitions.
	partitionWriteGap = second
	// partitionCheckGap is the minimum time between two checks whether the partitions must be
	// written.
	partitionCheckGap = second / 4
	// maxHeartbeatGap is the time that is added to two heartbeat intervals to get the maximum
	// age of the last heartbeat of a machine that is included in the division into partitions.
	maxHeartbeatGap = 10 * second
	// minMachinesForExclusion is the minimum number of machines in a holder's partition, and the
	// minimum number of machines that still send heartbeats, for the leader to conclude
	// that workers can't reach the holder.
	minMachinesForExclusion = 2
	// knownMachineTimeout is the age of a machine's last heartbeat above which the leader ignores
	// the machine when it checks whether workers reach a holder.
	knownMachineTimeout = 60 * second
)

// partitionState is the state that the partition manager keeps while this controller leads.
type partitionState struct {
	seq       uint64
	writtenAt int64
	checkedAt int64
	writing   bool
	// machineHashes are the hashes of the machines that send heartbeats; the slice is kept
	// for reuse.
	machineHashes []uint32
	// lastHeartbeatVia is, by controller, the time of the last heartbeat that the controller
	// received directly from a worker.
	lastHeartbeatVia map[string]int64
	// excludedUntil is, by controller, the time until which the controller gets no partition
	// because it received no heartbeats.
	excludedUntil map[string]int64
}

func newPartitionState() partitionState {
	return partitionState{lastHeartbeatVia: map[string]int64{}, excludedUntil: map[string]int64{}}
}

// recordHeartbeatVia records that a heartbeat came directly from a worker to a controller.
func (s *partitionState) recordHeartbeatVia(controller string, now int64) {
	s.lastHeartbeatVia[controller] = now
}

// partitionManager divides the machines into partitions and leases these to controllers, to
// which the workers then send their heartbeats.
type partitionManager struct {
	*engine

	cache     *stateCache
	committer *committer
	elector   *elector
	health    *stateHealth
	peers     *peerMonitor
}

// partitionsTick writes the boundaries and holders of the partitions when a holder is lost, when
// machines were added or removed, and before the leases of the holders expire.
func (p *partitionManager) partitionsTick() {
	state := &p.elector.leadership.partitions
	if state.writing || p.now-state.writtenAt < partitionWriteGap || p.now-state.checkedAt < partitionCheckGap {
		return
	}
	state.checkedAt = p.now
	partitions := p.newPartitions()
	if p.isStored(partitions) && p.now-state.writtenAt < p.settings.Ops.Term/2 {
		return
	}
	if p.health.writesLeft() < 1 {
		return
	}
	p.health.spendWrites(1)
	p.writePartitions(partitions)
}

// newPartitions returns the partitions and their holders as they should be now.
func (p *partitionManager) newPartitions() fleet.Partitions {
	term := p.elector.leadership
	hashes := p.liveMachineHashes()
	partitions := fleet.Partitions{
		Boundaries:    p.cache.partitions.Boundaries,
		Holders:       p.holders(),
		LeaseDuration: p.settings.Ops.Term,
		FencingToken:  term.fencingToken,
		Seq:           term.partitions.seq + 1,
	}
	if len(partitions.Boundaries) != queueCount-1 || p.partitionsUnbalanced(hashes) {
		partitions.Boundaries = fleet.PartitionBoundaries(hashes, queueCount)
	}
	return partitions
}

// liveMachineHashes returns the hashes of the machines that send heartbeats.
func (p *partitionManager) liveMachineHashes() []uint32 {
	term := p.elector.leadership
	hashes := term.partitions.machineHashes[:0]
	for _, m := range term.fleet.All() {
		if m.LastHeartbeat != 0 && p.now-m.LastHeartbeat < maxHeartbeatGap+2*p.heartbeatInterval() {
			hashes = append(hashes, m.Hash)
		}
	}
	term.partitions.machineHashes = hashes
	return hashes
}

// isStored reports whether this controller has written the same boundaries and holders in its
// current term.
func (p *partitionManager) isStored(partitions fleet.Partitions) bool {
	stored := &p.cache.partitions
	return stored.FencingToken == partitions.FencingToken &&
		slices.Equal(partitions.Holders, stored.Holders) && slices.Equal(partitions.Boundaries, stored.Boundaries)
}

// writePartitions stores the partitions. The leader plans with the new boundaries immediately:
// lending a machine to another queue or moving a boundary only changes the accounting and does not
// move any worker's task.
func (p *partitionManager) writePartitions(partitions fleet.Partitions) {
	term := p.elector.leadership
	term.partitions.writing, term.partitions.writtenAt = true, p.now
	term.partitions.seq++
	p.cache.assignPartitions(partitions)
	p.committer.putAsLeader(partitionsKey, encodeJSON(partitions), func(result TransactionResult) {
		if p.elector.leadership != term {
			return
		}
		term.partitions.writing = false
		if result.Outcome != kv.Committed {
			term.partitions.writtenAt = p.now - p.settings.Ops.Term/2
		}
	})
}

// isExcluded reports whether a controller gets no partition. A controller is excluded for
// keepWorkerTime if it has held a partition for a while without receiving a heartbeat directly,
// although machines still send heartbeats: workers can't reach it. isExcluded also records the start
// of an exclusion.
func (p *partitionManager) isExcluded(controller string) bool {
	term := p.elector.leadership
	if term.partitions.excludedUntil[controller] > p.now {
		return true
	}
	if !p.receivesNoHeartbeats(controller) {
		return false
	}
	p.log.Info("no heartbeats reach a controller, leasing its partition to another", "controller", controller)
	term.partitions.excludedUntil[controller] = p.now + keepWorkerTime
	return true
}

// receivesNoHeartbeats reports whether a holder has received no heartbeat for a long time although
// enough machines are known in its partition and enough machines still send heartbeats.
func (p *partitionManager) receivesNoHeartbeats(controller string) bool {
	term := p.elector.leadership
	silenceTimeout := 3*p.heartbeatInterval() + second
	partitions := &p.cache.partitions
	if !slices.Contains(partitions.Holders, controller) || partitions.FencingToken != term.fencingToken {
		return false
	}
	last := max(term.partitions.lastHeartbeatVia[controller], term.partitions.excludedUntil[controller])
	if p.now-term.since < 2*silenceTimeout || p.now-last < silenceTimeout {
		return false
	}
	held, live := 0, 0
	for _, machine := range term.fleet.All() {
		if machine.LastHeartbeat == 0 || p.now-machine.LastHeartbeat > knownMachineTimeout {
			continue
		}
		if partitions.Holder(machine.Name) == controller {
			held++
		}
		if p.now-machine.LastHeartbeat < silenceTimeout {
			live++
		}
	}
	return held >= minMachinesForExclusion && live >= minMachinesForExclusion
}

// partitionsUnbalanced reports whether the sizes of the partitions differ too much.
func (p *partitionManager) partitionsUnbalanced(hashes []uint32) bool {
	var sizes [queueCount]int
	for _, h := range hashes {
		sizes[min(p.cache.partitions.PartitionOfHash(h), queueCount-1)]++
	}
	return slices.Max(sizes[:])-slices.Min(sizes[:]) > 2+len(hashes)/6
}

// holders assigns the partitions to the controllers that answer and that workers can reach.
func (p *partitionManager) holders() []string {
	candidates := []string{}
	for _, name := range append([]string{p.settings.Name}, p.settings.Peers...) {
		isUp := name == p.settings.Name || p.peers.connectivity.PeerUp(name, p.now)
		if isUp && !p.peers.connectivity.CannotReachMostZones(name) && !p.isExcluded(name) {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		candidates = append(candidates, p.settings.Name)
	}
	slices.Sort(candidates)
	holders := make([]string, queueCount)
	for i := range holders {
		holders[i] = candidates[i%len(candidates)]
	}
	return holders
}
