package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// candidacy is this controller's side of choosing a leader: a lease in the
// state service, and a key on it that one controller at a time can create.
type candidacy struct {
	lease           uint64
	leaseProvenAt   int64 // when the lease or its last renewal was sent
	requestingLease bool  // for a lease
	renewing        bool
	renewedAt       int64
	campaigning     bool  // the key
	notUntil        int64 // no attempt before this
	backoffChosen   bool  // a pause was chosen since the leader went
	publishAt       int64 // when this controller's version may next be written
}

// leadership is what only the leader has.
type leadership struct {
	token       uint64
	keyRevision uint64 // of the leadership key
	since       int64
	// tokenProvenAt is when a question was sent by whose answer the state service proved
	// the token, mirrored up to when all that was stored is known here.
	tokenProvenAt, mirrorFreshAt int64
	// mirrorReadAt is when what is stored was last asked for only to know it, asked when
	// the peers were last asked out of turn.
	mirrorReadAt, peersAskedAt int64
	// readLeases is what the other controllers have vouched for.
	readLeases *readlease.Holder
	// directCommands are orders that go to machines' own addresses, by machine.
	directCommands map[string][]Command
	fleet          *fleet.MachineSet
	plannerIndex   plannerIndex

	// What each part keeps while this controller leads.
	commits    commitState
	planning   planState
	partitions partitionState
	heartbeats heartbeatState
	scaling    scalingState
	prefetch   prefetchState
	hints      hintState
	activation activationState

	machinesSweptAt  int64
	sweepsAdvancedAt int64
}

// madeCall says whether a call of the cloud was made under this leadership; there may be
// none. The answer to one of an earlier term of this controller says nothing of the
// calls of this one: another has led in between.
func (l *leadership) madeCall(token uint64) bool { return l != nil && l.token == token }

// isNew says whether this leadership, if there is one, has just begun: the others may
// still use what nobody leading leaves them.
func (l *leadership) isNew(now int64) bool { return l != nil && now-l.since < leadershipSeenWithin }

// leadershipSeenWithin is how long the others may take to see that a controller leads.
const leadershipSeenWithin = 300_000

// withClockDrift widens a duration by what two steady clocks may differ.
func withClockDrift(d int64) int64 { return d + d/1000 }

// elector campaigns for the leadership of the controllers, keeps its lease, and holds the term while this controller leads.
type elector struct {
	*engine

	cache      *stateCache
	committer  *committer
	health     *stateHealth
	membership *membership
	peers      *peerMonitor
	prefetcher *prefetcher
	tasks      *taskManager
	workers    *workerManager

	candidacy    candidacy
	leadership   *leadership
	newestLeader leaderRecord
}

func (el *elector) electionTick() {
	e := &el.candidacy
	ttl := el.settings.Ops.LeaderLease
	renew := ttl / 4
	if el.leadership == nil && el.membership.logEnabled() {
		renew = ttl / 3 // what rides on it is this controller's word alone
	}
	if e.lease != 0 && !e.renewing && el.now-e.renewedAt >= renew {
		e.renewing, e.renewedAt = true, el.now
		el.emit(RenewLease{Lease: e.lease})
	}
	if !el.cache.synced || el.cache.leaderRevision != 0 {
		e.backoffChosen = false
		if el.cache.synced && el.cache.leader.Name == el.settings.Name && el.cache.leader.Incarnation != el.settings.Incarnation && el.leadership == nil {
			// An earlier start of this very controller: it is dead, so
			// its lease need not run out.
			if e.notUntil <= el.now {
				e.notUntil = el.now + second
				el.emit(RevokeLease{Lease: el.cache.leader.Lease})
			}
		}
		return
	}
	if el.leadership != nil {
		return
	}
	if !e.backoffChosen {
		// A short pause of random length keeps candidates apart. In the middle
		// of an upgrade the new ones go first: an old one that led would soon
		// be restarted in its turn.
		e.backoffChosen = true
		pause := int64(300_000)
		if !el.membership.logEnabled() {
			pause /= 5
		}
		e.notUntil = el.now + el.rng.Int64N(pause)
		if el.settings.Ops.Reach {
			e.notUntil += el.peers.connectivity.CandidateDelay()
		}
	}
	if el.now < e.notUntil || e.campaigning {
		return
	}
	if e.lease == 0 {
		el.requestLease()
		return
	}
	el.campaign()
}

func (el *elector) requestLease() {
	if e := &el.candidacy; !e.requestingLease && el.now >= e.notUntil {
		e.requestingLease = true
		el.emit(GrantLease{TTL: el.settings.Ops.LeaderLease})
	}
}

func (el *elector) campaign() {
	e := &el.candidacy
	e.campaigning = true
	token := el.cache.token.Token + 1
	v := leaderRecord{Name: el.settings.Name, Incarnation: el.settings.Incarnation, Token: token, Lease: e.lease}
	el.commitTransaction([]Cond{kv.RevisionIs(LeaderKey, 0), kv.RevisionIs(tokenKey, el.cache.tokenRevision)}, []Write{
		{Key: LeaderKey, Value: encodeJSON(v), Lease: e.lease},
		{Key: tokenKey, Value: encodeJSON(tokenRecord{token})},
	}, func(m Committed) {
		e.campaigning = false
		e.notUntil = el.now + 300_000 + el.rng.Int64N(300_000)
		switch m.Status {
		case 400:
			e.lease = 0
		case 200, 409, 0:
			// Leadership begins when the mirror shows the key, and with it
			// everything written before.
			el.emit(ReadState{AfterRevision: el.cache.appliedRevision})
		}
	})
}

func (el *elector) onLeaseGranted(m LeaseGranted) {
	e := &el.candidacy
	e.requestingLease = false
	if m.Err != nil {
		e.notUntil = el.now + 300_000
		return
	}
	e.lease, e.leaseProvenAt, e.renewedAt, e.renewing = m.Lease, m.SentAt, el.now, false
}

func (el *elector) onLeaseRenewed(m LeaseRenewed) {
	e := &el.candidacy
	if m.Lease != e.lease {
		return
	}
	e.renewing = false
	el.health.noteStateResult(&el.peers.connectivity.Lease, m.Err)
	switch {
	case m.Expired:
		e.lease = 0
		if el.leadership != nil {
			el.stepDown("the leader's lease ran out")
		}
	case m.Err == nil:
		e.leaseProvenAt = m.SentAt
		if el.leadership != nil {
			el.tokenProven(m.SentAt)
		}
	default:
		ttl := el.settings.Ops.LeaderLease
		e.renewedAt = el.now - ttl/8 // try again soon
		if el.settings.Ops.Reach && el.now-e.leaseProvenAt > ttl && faultOf(m.Err) == connectivity.NoResponse {
			// What is sent may arrive though no answer does: such a leader would
			// keep its lease alive, and everybody else from leading. So it lets
			// it run out before it tries once more.
			e.renewedAt = el.now + ttl + second/2
		}
	}
}

// checkLeadership compares the mirror's leader with what this controller
// takes itself for; asked is when the mirror was, at the earliest, as it is now.
func (el *elector) checkLeadership(asked int64) {
	mine := el.cache.synced && el.cache.leaderRevision != 0 && el.cache.leader.Name == el.settings.Name && el.cache.leader.Incarnation == el.settings.Incarnation
	switch {
	case el.leadership != nil && (!mine || el.cache.leaderRevision != el.leadership.keyRevision):
		el.stepDown("another controller leads")
	case el.leadership == nil && mine && el.cache.leader.Lease == el.candidacy.lease:
		el.becomeLeader(asked)
	}
}

func (el *elector) becomeLeader(known int64) {
	el.leadership = &leadership{
		token: el.cache.leader.Token, keyRevision: el.cache.leaderRevision, since: el.now, tokenProvenAt: el.candidacy.leaseProvenAt, mirrorFreshAt: known,
		readLeases: readlease.NewHolder(el.settings.Peers, el.settings.LeaderAuthorityTime()), directCommands: map[string][]Command{},
		fleet: fleet.NewMachineSet(), plannerIndex: newPlannerIndex(),
		commits: newCommitState(), planning: newPlanState(), partitions: newPartitionState(), heartbeats: newHeartbeatState(),
		scaling: newScalingState(el.now), prefetch: newPrefetchState(), hints: newHintState(el.now),
	}
	el.health.allowance = el.health.currentAllowance()
	el.prefetcher.loadImageHints()
	placed := 0
	for _, id := range sortedKeys(el.cache.jobs) {
		j := el.cache.jobs[id]
		el.prefetcher.noteImageDemand(j.Spec)
		el.leadership.planning.classSizes.note(j.Spec)
		j.EachPlaced(func(i int, t *jobstate.Task) {
			t.Phase, t.StopReason = jobstate.Unconfirmed, ""
			el.workers.machine(t.Machine).AddPlacement(fleet.TaskRef{Job: j, Index: i})
			placed++
		})
		switch {
		case j.Outcome != "":
			// It ended under an earlier leader, and its tasks may still
			// be on their machines.
			el.tasks.jobEnded(j)
		case j.NumDone == j.Tasks:
			el.committer.markDirty(j)
		}
	}
	el.committer.openProgressLog()
	el.log.Info("leading", "token", el.leadership.token, "jobs", len(el.cache.jobs), "placements", placed)
}

func (el *elector) stepDown(why string) {
	el.log.Info("no longer leading", "token", el.leadership.token, "why", why)
	for _, name := range sortedKeys(el.leadership.heartbeats.held.byName) {
		el.emit(Reply{RequestID: el.leadership.heartbeats.held.byName[name].requestID, Status: 503, Error: "no longer leading"})
	}
	el.leadership = nil
	el.health.allowance = el.health.currentAllowance()
	el.cache.partitions = fleet.Partitions{}
	el.cache.listState()
}

// resign ends a leadership whose lease would go on. Its key goes at once, so that
// nobody waits for the lease.
func (el *elector) resign(why string) {
	el.emit(RevokeLease{Lease: el.candidacy.lease})
	el.candidacy.lease = 0
	el.stepDown(why)
}

// provenByState is up to when the state service has proved the token and shown all that
// is stored. A renewal proves the token alone: the mirror may lag behind it.
func (l *leadership) provenByState() int64 { return min(l.tokenProvenAt, l.mirrorFreshAt) }

// mayAnswerSince is up to when nobody else led, and everything that users were told is
// known here. The other controllers can vouch for both: a token is raised by a
// take-over alone, and one that leads says so.
func (l *leadership) mayAnswerSince() int64 {
	return max(l.provenByState(), l.readLeases.OldestGrant())
}

// mayAnswerWorkers says whether reports may be answered, sure whether new attempts
// may be started: the state service's own proof is younger than its lease.
func (el *elector) mayAnswerWorkers() bool {
	return el.leadership != nil && el.now-el.leadership.mayAnswerSince() < el.settings.LeaderAuthorityTime()
}

func (el *elector) mayStartTasks() bool {
	return el.leadership != nil && el.now-el.leadership.tokenProvenAt < el.settings.Ops.LeaderLease
}

// tokenProven notes that the state service proved the token to a request of then.
func (el *elector) tokenProven(sent int64) {
	el.leadership.tokenProvenAt = max(el.leadership.tokenProvenAt, sent)
}
