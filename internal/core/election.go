package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// Election timing, in microseconds.
const (
	// backoffRange is the upper bound of a candidate's random backoff after the leader
	// is lost; it keeps candidates from colliding. Before the newer format is active,
	// controllers that can write it use legacyBackoffRange, so that during an upgrade
	// they win over the older ones, which are about to be restarted.
	backoffRange       = 300_000
	legacyBackoffRange = backoffRange / 5
	// campaignRetryDelay is the minimum delay after a failed campaign, and also the
	// range of the random delay that is added to it.
	campaignRetryDelay = 300_000
	// leaseRetryDelay is the delay after the state service failed to grant a lease.
	leaseRetryDelay = 300_000
	// revokeInterval is the interval at which the revocation of an earlier incarnation's
	// lease is repeated.
	revokeInterval = second
	// silentLeaseMargin is the minimum time for which a leader that gets no answers from the
	// state service waits after the expiry of its lease before it tries to renew the lease again.
	silentLeaseMargin = second / 2
	// leadershipSeenWithin is the maximum time that the other controllers take to learn that
	// a controller leads.
	leadershipSeenWithin = 300_000
)

// candidacy is this controller's part in the election: a lease in the state service, and
// the attempts to create the single leadership key on that lease.
type candidacy struct {
	lease           uint64 // 0 for none
	leaseProvenAt   int64  // send time of the newest request that proved the lease
	requestingLease bool   // a GrantLease is in flight
	pendingRenewals int    // number of RenewLease requests in flight
	renewedAt       int64  // when the lease was granted or its renewal last sent
	campaigning     bool   // the transaction that creates the key is in flight
	notBefore       int64  // earliest time of the next attempt
	backoffChosen   bool   // a backoff has been chosen since the leader was lost
}

// elector campaigns for the leadership of the controllers and holds the state of the term
// while this controller leads. Only the elector changes candidacy and leadership; other parts
// ask it whether this controller leads and may act, and report to it the events that affect this.
//
// The leader is the controller whose name is in the leadership key. The key is bound to
// the controller's lease, so it disappears when the lease expires. A candidate creates it
// in a transaction that raises the stored fencing token by one, on the condition that
// there is no leadership key and that the token is the one that the candidate knows. The
// candidate's term begins when its state cache contains the key, and therefore everything that
// was written before the key.
//
// A leader steps down when the key is no longer its own, when its lease expires, and
// when a peer knows of a higher fencing token. It resigns, which means that it also revokes
// its lease so that a successor need not wait, when it hands the leadership over to a
// controller with better links, or when it must not continue: its program is incompatible
// with the stored state, or its watch can no longer deliver all changes.
type elector struct {
	*engine

	cache        *stateCache
	committer    *committer
	dependencies *dependencyResolver
	health       *stateHealth
	membership   *membership
	peers        *peerMonitor
	prefetcher   *prefetcher
	tasks        *taskManager
	workers      *workerManager

	candidacy    candidacy
	leadership   *leadership // nil unless this controller leads
	newestLeader leaderRecord
}

// isLeader reports whether this controller leads.
func (e *elector) isLeader() bool { return e.leadership != nil }

// isNewLeader reports whether this controller leads and its term has just begun. The other
// controllers may not know of the leader yet, and then still use the shares of the limits that
// apply while no controller leads.
func (e *elector) isNewLeader() bool {
	return e.isLeader() && e.now-e.leadership.since < leadershipSeenWithin
}

// fencingToken returns the fencing token of the current term. It must only be called while
// this controller leads.
func (e *elector) fencingToken() uint64 { return e.leadership.fencingToken }

// leadsWithToken reports whether this controller leads in the term of the given fencing token.
// A result that belongs to an earlier term of this controller says nothing about the calls
// of the current term, because another controller may have led in between.
func (e *elector) leadsWithToken(fencingToken uint64) bool {
	return e.isLeader() && e.fencingToken() == fencingToken
}

// mayAnswerWorkers reports whether heartbeats may be answered. An answer keeps the tasks on
// the machine running, so it requires recent proof that this controller knows every
// cancellation.
func (e *elector) mayAnswerWorkers() bool {
	return e.isLeader() && e.now-e.leadership.authorityProvenAt() < e.settings.LeaderAuthorityTime()
}

// mayStartTasks reports whether new attempts may be started, which requires that the state
// service itself proved the fencing token within the last lease duration.
func (e *elector) mayStartTasks() bool { return e.isLeader() && e.now < e.tokenProvenUntil() }

// tokenProvenUntil returns the time before which no other controller can have become the
// leader, because the lease can't have expired. It must only be called while this controller
// leads.
func (e *elector) tokenProvenUntil() int64 {
	return e.leadership.tokenProvenAt + e.settings.Ops.LeaderLease
}

// hasLease reports whether this controller has a lease that is not known to have expired.
func (e *elector) hasLease() bool { return e.candidacy.lease != 0 }

// lease returns the ID of this controller's lease, 0 if it has none.
func (e *elector) lease() uint64 { return e.candidacy.lease }

// leaseValid reports whether there is a lease that can't have expired yet.
func (e *elector) leaseValid() bool {
	return e.hasLease() && e.now-e.candidacy.leaseProvenAt < e.settings.Ops.LeaderLease
}

// updateNewestLeader records a leader if its fencing token is higher than any seen before.
func (e *elector) updateNewestLeader(leader leaderRecord) {
	if leader.Token > e.newestLeader.Token {
		e.newestLeader = leader
	}
}

// electionTick keeps the lease alive, and campaigns while there is no leader.
func (e *elector) electionTick() {
	e.renewLease()
	switch {
	case !e.cache.synced:
		e.candidacy.backoffChosen = false
	case e.cache.leaderRevision != 0:
		e.candidacy.backoffChosen = false
		e.revokeEarlierLease()
	case !e.isLeader():
		e.campaignTick()
	}
}

// renewLease sends a renewal of the lease if one is due, well before the lease expires.
func (e *elector) renewLease() {
	candidacy := &e.candidacy
	if !e.hasLease() || e.now-candidacy.renewedAt < e.renewalInterval() {
		return
	}
	if candidacy.pendingRenewals > 0 && !e.mayRepeatRenewal() {
		return
	}
	candidacy.pendingRenewals++
	candidacy.renewedAt = e.now
	e.emit(RenewLease{Lease: candidacy.lease})
}

// renewalInterval returns the time from one renewal of the lease to the next.
func (e *elector) renewalInterval() int64 {
	ttl := e.settings.Ops.LeaderLease
	switch {
	case e.candidacy.pendingRenewals > 0:
		return e.renewalRetryDelay()
	case !e.isLeader() && e.membership.logEnabled():
		// Only this controller's advertisements are bound to a follower's lease.
		return ttl / 3
	default:
		return ttl / 4
	}
}

// renewalRetryDelay returns the delay after which an unsuccessful renewal is repeated.
func (e *elector) renewalRetryDelay() int64 { return e.settings.Ops.LeaderLease / 8 }

// mayRepeatRenewal reports whether a renewal may be sent while an earlier one is in flight.
// A lost answer is detected only at the request's deadline, a third of a lease later, so a
// leader that waited for the deadline would have only two tries before another is elected.
// Repetition stops before a whole lease has passed without any answer; see retryRenewal.
func (e *elector) mayRepeatRenewal() bool {
	return e.isLeader() && e.now-e.stateAnsweredAt() <= e.settings.Ops.LeaderLease*3/4
}

// revokeEarlierLease revokes the leader's lease if the leader is an earlier incarnation of
// this controller: that process is dead, so no controller needs to wait until its lease expires.
func (e *elector) revokeEarlierLease() {
	leader := &e.cache.leader
	if leader.Name != e.settings.Name || leader.Incarnation == e.settings.Incarnation || e.isLeader() || e.now < e.candidacy.notBefore {
		return
	}
	e.candidacy.notBefore = e.now + revokeInterval
	e.emit(RevokeLease{Lease: leader.Lease})
}

// campaignTick takes the next step towards leadership: random backoff, lease, leadership key.
func (e *elector) campaignTick() {
	candidacy := &e.candidacy
	if !candidacy.backoffChosen {
		candidacy.backoffChosen = true
		candidacy.notBefore = e.now + e.electionBackoff()
	}
	switch {
	case e.now < candidacy.notBefore || candidacy.campaigning:
	case !e.hasLease():
		e.requestLease()
	default:
		e.campaign()
	}
}

// electionBackoff returns the time that this controller waits before it campaigns. It waits longer
// if it knows of a candidate with better links, which thus campaigns first.
func (e *elector) electionBackoff() int64 {
	longest := int64(backoffRange)
	if !e.membership.logEnabled() {
		longest = legacyBackoffRange
	}
	backoff := e.rng.Int64N(longest)
	if e.settings.Ops.Reach {
		backoff += e.peers.connectivity.CandidateDelay()
	}
	return backoff
}

// requestLease asks the state service for a lease, unless a request is in flight or the
// retry delay has not passed.
func (e *elector) requestLease() {
	candidacy := &e.candidacy
	if !candidacy.requestingLease && e.now >= candidacy.notBefore {
		candidacy.requestingLease = true
		e.emit(GrantLease{TTL: e.settings.Ops.LeaderLease})
	}
}

// campaign tries to create the leadership key and to raise the fencing token in one
// transaction.
func (e *elector) campaign() {
	candidacy := &e.candidacy
	candidacy.campaigning = true
	leader := leaderRecord{
		Name:        e.settings.Name,
		Incarnation: e.settings.Incarnation,
		Token:       e.cache.token.Token + 1,
		Lease:       candidacy.lease,
	}
	e.commitTransaction([]Cond{
		kv.RevisionIs(LeaderKey, 0),
		kv.RevisionIs(tokenKey, e.cache.tokenRevision),
	}, []Write{
		{Key: LeaderKey, Value: encodeJSON(leader), Lease: candidacy.lease},
		{Key: tokenKey, Value: encodeJSON(tokenRecord{leader.Token})},
	}, e.onCampaignEnded)
}

// onCampaignEnded requests a read of the state after a campaign, even after a lost one:
// leadership begins when the state cache contains the key.
func (e *elector) onCampaignEnded(m TransactionResult) {
	candidacy := &e.candidacy
	candidacy.campaigning = false
	candidacy.notBefore = e.now + campaignRetryDelay + e.rng.Int64N(campaignRetryDelay)
	switch m.Outcome {
	case kv.Malformed: // the lease has expired
		candidacy.lease = 0
	case kv.Committed, kv.Conflict, kv.Unknown:
		e.emit(ReadState{AfterRevision: e.cache.appliedRevision})
	}
}

func (e *elector) onLeaseGranted(m LeaseGranted) {
	candidacy := &e.candidacy
	candidacy.requestingLease = false
	if m.Err != nil {
		candidacy.notBefore = e.now + leaseRetryDelay
		return
	}
	candidacy.lease, candidacy.leaseProvenAt, candidacy.renewedAt, candidacy.pendingRenewals = m.Lease, m.SentAt, e.now, 0
}

func (e *elector) onLeaseRenewed(m LeaseRenewed) {
	candidacy := &e.candidacy
	if m.Lease != candidacy.lease {
		return
	}
	candidacy.pendingRenewals = max(candidacy.pendingRenewals-1, 0)
	if m.Err != nil && m.SentAt < candidacy.leaseProvenAt {
		return // a later request has already proved the lease
	}
	e.health.recordResult(&e.peers.connectivity.Lease, m.Err)
	switch {
	case m.Expired:
		candidacy.lease = 0
		if e.isLeader() {
			e.stepDown("lease expired")
		}
	case m.Err == nil:
		candidacy.pendingRenewals = 0
		candidacy.leaseProvenAt = max(candidacy.leaseProvenAt, m.SentAt)
		if e.isLeader() {
			e.tokenProven(m.SentAt)
		}
	case candidacy.pendingRenewals == 0:
		e.retryRenewal(m.Err)
	}
}

// retryRenewal sets when the lease is renewed again after a renewal has failed.
func (e *elector) retryRenewal(err error) {
	candidacy := &e.candidacy
	ttl := e.settings.Ops.LeaderLease
	candidacy.renewedAt = e.now - e.renewalRetryDelay() // the retry is due soon
	if e.settings.Ops.Reach && e.now-e.stateAnsweredAt() > ttl && failureOf(err) == connectivity.NoResponse {
		// The state service may execute the renewals although no answer arrives.
		// The leader would then keep its lease alive and prevent every other
		// controller from leading, so it lets the lease expire before it tries
		// again. The age of the newest successful renewal is no criterion: after
		// an outage it is old although answers arrive.
		candidacy.renewedAt = e.now + ttl + silentLeaseMargin
		e.log.Info("letting the lease expire because the state service does not answer", "lease", candidacy.lease,
			"answer_age_s", inSeconds(e.now-e.stateAnsweredAt()), "renewal_age_s", inSeconds(e.now-candidacy.leaseProvenAt))
	}
}

// stateAnsweredAt returns when the state service last answered a request about a lease or a
// transaction, including a refusal.
func (e *elector) stateAnsweredAt() int64 {
	links := e.peers.connectivity
	return max(e.candidacy.leaseProvenAt, links.Lease.AnsweredAt(), links.Writes.AnsweredAt())
}

// leaseRefused forgets a lease after the state service refused a write bound to the lease, which
// means that the lease has expired. A leader instead waits for the answer to its renewal, which
// proves the same.
func (e *elector) leaseRefused(lease uint64) {
	if e.candidacy.lease == lease && !e.isLeader() {
		e.candidacy.lease = 0
	}
}

// tokenProven records that the state service has proved the fencing token in the answer to a
// request that was sent at sentAt.
func (e *elector) tokenProven(sentAt int64) {
	e.leadership.tokenProvenAt = max(e.leadership.tokenProvenAt, sentAt)
}

// cacheRefreshed records that this controller knows everything that was stored at the given
// time.
func (e *elector) cacheRefreshed(at int64) {
	if e.isLeader() {
		e.leadership.cacheFreshAt = max(e.leadership.cacheFreshAt, at)
	}
}

// checkLeadership begins or ends a term if the leadership key in the state cache and
// this controller's role disagree. The cache contains everything stored up to cacheFreshAt.
func (e *elector) checkLeadership(cacheFreshAt int64) {
	leader := &e.cache.leader
	mine := e.cache.synced && e.cache.leaderRevision != 0 && leader.Name == e.settings.Name && leader.Incarnation == e.settings.Incarnation
	switch {
	case e.isLeader() && (!mine || e.cache.leaderRevision != e.leadership.keyRevision):
		e.stepDown("another controller leads")
	case !e.isLeader() && mine && leader.Lease == e.candidacy.lease:
		e.becomeLeader(cacheFreshAt)
	}
}

// becomeLeader begins a term. It restores the placements that earlier leaders have stored;
// whether these tasks run is unknown until their machines' heartbeats arrive.
func (e *elector) becomeLeader(cacheFreshAt int64) {
	e.leadership = e.newLeadership(cacheFreshAt)
	e.health.updateShare()
	e.prefetcher.loadImageHints()
	placements := 0
	for _, id := range sortedKeys(e.cache.jobs) {
		job := e.cache.jobs[id]
		e.prefetcher.addImageDemand(job.Spec)
		e.leadership.planning.classSizes.record(job.Spec)
		placements += e.restorePlacements(job)
		switch {
		case job.Outcome() != "":
			// The job ended under an earlier leader, and its tasks may still be
			// on their machines.
			e.tasks.jobEnded(job)
		case job.NumDone == job.Tasks:
			e.committer.markDirty(job)
		}
	}
	e.committer.openProgressLog()
	e.log.Info("elected leader", "fencing_token", e.fencingToken(), "jobs", len(e.cache.jobs), "placements", placements,
		"revision", e.cache.appliedRevision, "mirror_age_s", inSeconds(e.now-cacheFreshAt), "unknown_ends", e.dependencies.countUnknownEnds())
}

// restorePlacements adds a job's placed tasks to their machines and returns their number.
func (e *elector) restorePlacements(job *jobstate.Job) (placements int) {
	job.EachPlaced(func(i int, t *jobstate.Task) {
		t.Phase, t.StopReason = jobstate.Unconfirmed, ""
		e.workers.getOrAddMachine(t.Machine).AddPlacement(fleet.TaskRef{Job: job, Index: i})
		placements++
	})
	return placements
}

// stepDown ends the term and lists the stored state again, so that placements which were
// planned in this term but never stored are not mistaken for stored ones.
func (e *elector) stepDown(reason string) {
	e.log.Info("stepped down", "fencing_token", e.fencingToken(), "reason", reason, "revision", e.cache.appliedRevision,
		"proof_age_s", inSeconds(e.now-e.leadership.stateProofAt()))
	e.workers.refuseHeld()
	e.leadership = nil
	e.health.updateShare()
	e.cache.dropPartitions()
	e.cache.listState()
}

// resign ends a term whose lease has not expired. It revokes the lease, so that the
// successor need not wait for the expiry.
func (e *elector) resign(reason string) {
	e.emit(RevokeLease{Lease: e.candidacy.lease})
	e.candidacy.lease = 0
	e.stepDown(reason)
}
