package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
)

// partitionState is what the partition manager keeps while this controller leads.
type partitionState struct {
	term                 uint64
	writtenAt, checkedAt int64
	writing              bool
	machineHashes        []uint32 // of the machines that send heartbeats, kept for its room
	// lastHeartbeatVia is when a heartbeat last came straight to a controller,
	// shunnedUntil until when one gets no partition because none came to it.
	lastHeartbeatVia, shunnedUntil map[string]int64
}

func newPartitionState() partitionState {
	return partitionState{lastHeartbeatVia: map[string]int64{}, shunnedUntil: map[string]int64{}}
}

// partitionManager leases the partitions of the machines to the controllers.
type partitionManager struct {
	*engine

	cache     *stateCache
	committer *committer
	elector   *elector
	health    *stateHealth
	peers     *peerMonitor
}

// partitionsTick writes the partitions' bounds and holders: when a holder is
// lost, when machines have come or gone, and before the term is over.
func (pt *partitionManager) partitionsTick() {
	l := pt.elector.leadership
	if l.partitions.writing || pt.now-l.partitions.writtenAt < second || pt.now-l.partitions.checkedAt < second/4 {
		return
	}
	l.partitions.checkedAt = pt.now
	// A machine counts while it reports: the interval is the settings'.
	hashes := l.partitions.machineHashes[:0]
	for _, m := range l.fleet.All() {
		if m.LastHeartbeat != 0 && pt.now-m.LastHeartbeat < 10*second+2*config.MicrosOf(pt.settings.Workers.ReportS) {
			hashes = append(hashes, m.Hash)
		}
	}
	l.partitions.machineHashes = hashes
	b := fleet.Partitions{Boundaries: pt.cache.partitions.Boundaries, Holders: pt.holders(), LeaseDuration: pt.settings.Ops.Term, FencingToken: l.fencingToken, Seq: l.partitions.term + 1}
	if len(b.Boundaries) != queueCount-1 || pt.partitionsUnequal(hashes) {
		b.Boundaries = fleet.PartitionHashes(hashes, queueCount)
	}
	same := pt.cache.partitions.FencingToken == l.fencingToken && slices.Equal(b.Holders, pt.cache.partitions.Holders) && slices.Equal(b.Boundaries, pt.cache.partitions.Boundaries)
	if same && pt.now-l.partitions.writtenAt < pt.settings.Ops.Term/2 {
		return
	}
	if pt.health.writesLeft() < 1 {
		return
	}
	pt.health.spendWrites(1)
	l.partitions.writing, l.partitions.writtenAt = true, pt.now
	l.partitions.term++
	// The leader plans by the new cuts at once: a loan or a moved boundary
	// is bookkeeping and moves no worker's task.
	pt.cache.partitions = b
	pt.committer.putAsLeader(partitionsKey, encodeJSON(b), func(m Committed) {
		if pt.elector.leadership != l {
			return
		}
		l.partitions.writing = false
		if m.Status != 200 {
			l.partitions.writtenAt = pt.now - pt.settings.Ops.Term/2
		}
	})
}

// shunHolder says that a controller has held a partition for a while and no report
// came straight to it, though they come by others: workers can't reach it.
func (pt *partitionManager) shunHolder(node string) bool {
	l := pt.elector.leadership
	if l.partitions.shunnedUntil[node] > pt.now {
		return true
	}
	quiet := 3*config.MicrosOf(pt.settings.Workers.ReportS) + second
	if !slices.Contains(pt.cache.partitions.Holders, node) || pt.cache.partitions.FencingToken != l.fencingToken || pt.now-l.since < 2*quiet || pt.now-max(l.partitions.lastHeartbeatVia[node], l.partitions.shunnedUntil[node]) < quiet {
		return false
	}
	machines, heard := 0, 0
	for _, m := range l.fleet.All() {
		if m.LastHeartbeat == 0 || pt.now-m.LastHeartbeat > 60*second {
			continue
		}
		if pt.cache.partitions.Holder(m.Name) == node {
			machines++
		}
		if pt.now-m.LastHeartbeat < quiet {
			heard++
		}
	}
	if machines < 2 || heard < 2 {
		return false
	}
	pt.log.Info("no reports come to a controller, leasing its partition to another", "controller", node)
	l.partitions.shunnedUntil[node] = pt.now + keepWorkerTime
	return true
}

// partitionsUnequal says whether the partitions have drifted apart in size.
func (pt *partitionManager) partitionsUnequal(hashes []uint32) bool {
	var n [queueCount]int
	for _, h := range hashes {
		n[min(pt.cache.partitions.PartitionOfHash(h), queueCount-1)]++
	}
	lo, hi := slices.Min(n[:]), slices.Max(n[:])
	return hi-lo > 2+len(hashes)/6
}

// holders leases the partitions to the controllers that answer, and that
// their workers can reach.
func (pt *partitionManager) holders() []string {
	up := []string{}
	for _, p := range append([]string{pt.settings.Name}, pt.settings.Peers...) {
		if (p == pt.settings.Name || pt.peers.connectivity.PeerUp(p, pt.now)) && !pt.peers.connectivity.CannotReachMostZones(p) && !pt.shunHolder(p) {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		up = append(up, pt.settings.Name)
	}
	slices.Sort(up)
	h := make([]string, queueCount)
	for i := range h {
		h[i] = up[i%len(up)]
	}
	return h
}
