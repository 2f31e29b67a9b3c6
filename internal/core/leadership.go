package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// leadership is the state of one term in which this controller leads. It exists only on the
// leader and is discarded when the leader steps down. The parts that act for the leader keep
// their own state of the term here.
type leadership struct {
	// fencingToken rises with each term; workers refuse commands with a token older
	// than the newest that they have seen.
	fencingToken uint64
	// keyRevision is the revision of the leadership key. Each of the leader's
	// transactions has the condition that the key still has this revision.
	keyRevision uint64
	since       int64 // when the term began

	// tokenProvenAt is the send time of the newest request whose answer proved that no
	// higher fencing token had been stored. The state cache contains everything that was
	// stored up to cacheFreshAt.
	tokenProvenAt, cacheFreshAt int64
	// cacheRefreshReadAt is the time of the last read of the stored state that served only
	// to refresh the state cache; urgentPingAt is the time of the last ping of the peers
	// outside the regular interval.
	cacheRefreshReadAt, urgentPingAt int64
	// readLeases are the read leases that the other controllers have granted, for use
	// during an outage of the state service.
	readLeases *readlease.Holder

	// directCommands are the commands to send to the machines' own addresses, by machine.
	directCommands map[string][]Command
	fleet          *fleet.MachineSet
	plannerIndex   plannerIndex

	commits    commitState
	planning   planState
	partitions partitionState
	heartbeats heartbeatState
	scaling    scalingState
	prefetch   prefetchState
	hints      hintState
	activation activationState
	alerts     alertState

	machinesScannedAt int64
	sweepsAdvancedAt  int64
}

// stateProofAt returns the time up to which the state service has proved the fencing token
// and delivered everything that was stored. Renewing the lease proves only the token, because
// the state cache may lag behind.
func (l *leadership) stateProofAt() int64 { return min(l.tokenProvenAt, l.cacheFreshAt) }

// authorityProvenAt returns the time up to which it is proven that no other controller led and
// that this controller knows every end reported to users. Read leases from all other controllers
// prove both. A newer leader would be one of these controllers, and a peer that knows of a higher
// fencing token reports the token in the same answer as the read lease, so this controller would
// step down.
func (l *leadership) authorityProvenAt() int64 {
	return max(l.stateProofAt(), l.readLeases.OldestGrant())
}

// newLeadership returns the state of a term whose leadership key this controller has just
// found in the state cache. The cache contains everything stored up to cacheFreshAt.
func (e *elector) newLeadership(cacheFreshAt int64) *leadership {
	return &leadership{
		fencingToken:  e.cache.leader.Token,
		keyRevision:   e.cache.leaderRevision,
		since:         e.now,
		tokenProvenAt: e.candidacy.leaseProvenAt,
		cacheFreshAt:  cacheFreshAt,
		readLeases:    readlease.NewHolder(e.settings.Peers, e.settings.LeaderAuthorityTime()),

		directCommands: map[string][]Command{},
		fleet:          fleet.NewMachineSet(),
		plannerIndex:   newPlannerIndex(),

		commits:    newCommitState(),
		planning:   newPlanState(),
		partitions: newPartitionState(),
		heartbeats: newHeartbeatState(),
		scaling:    newScalingState(e.now),
		prefetch:   newPrefetchState(),
		hints:      newHintState(e.now),
		alerts:     newAlertState(),
	}
}
