package core

import (
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// leadership is one term of this controller as the leader: what only the leader has,
// and what is forgotten when it steps down. The parts that act for the leader keep
// their own state of the term here.
type leadership struct {
	// fencingToken rises with each term, and workers refuse commands that come with
	// an older one than they have seen.
	fencingToken uint64
	// keyRevision is the revision of the leadership key. Each of the leader's
	// transactions has the condition that the key still has this revision.
	keyRevision uint64
	since       int64 // when the term began

	// tokenProvenAt is when the newest request was sent whose answer proved that no
	// higher fencing token had been stored; mirrorFreshAt is up to when all that was
	// stored is known here.
	tokenProvenAt, mirrorFreshAt int64
	// mirrorReadAt is when the stored state was last read for no other purpose than to
	// know it; peersAskedAt when the peers were last pinged out of turn.
	mirrorReadAt, peersAskedAt int64
	// readLeases are what the other controllers have granted for an outage of the
	// state service.
	readLeases *readlease.Holder

	// directCommands are the commands to be sent to machines' own addresses, by machine.
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

	machinesSweptAt  int64
	sweepsAdvancedAt int64
}

// stateProofAt is up to when the state service has proved the fencing token and shown all
// that is stored. The renewal of a lease proves the token alone: the mirror may lag behind.
func (l *leadership) stateProofAt() int64 { return min(l.tokenProvenAt, l.mirrorFreshAt) }

// authorityProvenAt is up to when it is proven that nobody else led, and that everything
// users were told is known here. Read leases of all other controllers prove both: only
// a failover raises the fencing token, and a peer that knows of a newer leader says so.
func (l *leadership) authorityProvenAt() int64 {
	return max(l.stateProofAt(), l.readLeases.OldestGrant())
}

// newLeadership begins a term whose leadership key this controller has just found in the
// mirror, which was as it is now at mirrorFreshAt, at the earliest.
func (e *elector) newLeadership(mirrorFreshAt int64) *leadership {
	return &leadership{
		fencingToken:  e.cache.leader.Token,
		keyRevision:   e.cache.leaderRevision,
		since:         e.now,
		tokenProvenAt: e.candidacy.leaseProvenAt,
		mirrorFreshAt: mirrorFreshAt,
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
