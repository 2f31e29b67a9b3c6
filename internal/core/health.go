package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// stateUnavailableAfter is for how long the state service has to leave this controller
// without an answer before it counts as unavailable.
const stateUnavailableAfter = 1_500_000

// stateHealth tracks whether the state service answers this controller, and accounts
// for the requests that the controller may still send to it: a budget of reads and a
// budget of writes, each refilled at the controller's share of the service's limits.
type stateHealth struct {
	*engine

	cache      *stateCache
	elector    *elector
	membership *membership
	peers      *peerMonitor

	answeredAt int64 // when the newest request succeeded
	failedAt   int64 // when the newest request failed

	// announcedRevision is the newest revision that an answer of the state service
	// named; announcedAt is since when the watch owes it.
	announcedRevision uint64
	announcedAt       int64

	share       ratelimit.Share
	writeBudget ratelimit.TokenBucket
	readBudget  ratelimit.TokenBucket
}

// start sets the share of a controller that has just started, and its first reads.
func (h *stateHealth) start() {
	h.updateShare()
	h.readBudget = ratelimit.NewTokenBucket(h.now, ratelimit.InitialTokens)
}

// recordResult notes how a request over a link to the state service has ended.
func (h *stateHealth) recordResult(link *connectivity.Link, err error) {
	if err == nil {
		h.answeredAt = h.now
		link.RecordSuccess(h.now, h.now)
		return
	}
	h.failedAt = h.now
	link.RecordFailure(h.now, h.now, failureOf(err))
	h.peers.pingUrgently()
}

// recordTransaction notes how a transaction has ended. One that was refused for its rate
// or its size says nothing about the link.
func (h *stateHealth) recordTransaction(m TransactionResult) {
	link := &h.peers.connectivity.Writes
	switch m.Outcome {
	case kv.Committed, kv.Conflict:
		h.answeredAt = h.now
		link.RecordSuccess(h.now, h.now)
		h.recordAnnouncedRevision(m.Revision)
		return
	case kv.Unknown:
		link.RecordFailure(h.now, h.now, connectivity.NoResponse)
	case kv.Unavailable:
		link.RecordFailure(h.now, h.now, connectivity.Refused)
	}
	h.failedAt = h.now
	h.peers.pingUrgently()
}

// recordAnnouncedRevision notes a revision that the state service named in an answer. A
// watch that does not deliver it is stuck, however well requests are answered.
func (h *stateHealth) recordAnnouncedRevision(revision uint64) {
	if revision <= max(h.cache.appliedRevision, h.announcedRevision) {
		return
	}
	if !h.watchLags() {
		h.announcedAt = h.now
	}
	h.announcedRevision = revision
}

// watchLags reports whether the state service has named a revision that is not applied yet.
func (h *stateHealth) watchLags() bool { return h.announcedRevision > h.cache.appliedRevision }

// watchLag is for how long the watch has owed the revision that was announced, counted
// anew from each restartWatchLag.
func (h *stateHealth) watchLag() int64 { return h.now - h.announcedAt }

func (h *stateHealth) restartWatchLag() { h.announcedAt = h.now }

// lastRequestFailed reports whether no request has succeeded since one failed.
func (h *stateHealth) lastRequestFailed() bool { return h.failedAt > h.answeredAt }

// unavailable reports whether the state service has not answered for a while.
func (h *stateHealth) unavailable() bool {
	return h.lastRequestFailed() && h.now-h.answeredAt > stateUnavailableAfter
}

// outageAge is for how long the state service is known not to answer.
func (h *stateHealth) outageAge() int64 {
	if !h.lastRequestFailed() {
		return 0
	}
	return h.now - h.answeredAt
}

// updateShare recomputes this controller's share of what the state service allows.
func (h *stateHealth) updateShare() {
	limits := h.membership.limits()
	present, legacy := h.membership.activation.CountMembers(upgrade.SharedReads, h.cache.leader.Name)
	h.share = ratelimit.ShareFor(ratelimit.Limits{
		Requests: limits.RPS,
		Changes:  limits.WriteRPS,
	}, ratelimit.Members{
		Configured:     len(h.settings.Peers) + 1,
		Present:        present,
		Legacy:         legacy,
		Confirmed:      h.membershipConfirmed(),
		HasLeader:      h.cache.leaderRevision != 0 && !h.elector.isNewLeader(),
		IsLeader:       h.elector.isLeader(),
		SharingEnabled: h.membership.featureEnabled(upgrade.SharedReads),
	})
}

// membershipConfirmed reports whether the others surely count this controller as a
// member, and its own count of the members is recent.
func (h *stateHealth) membershipConfirmed() bool {
	return h.elector.leaseValid() &&
		h.membership.activation.MemberFor(h.now) > ratelimit.SettleTime &&
		h.now-h.cache.mirrorFreshAt < ratelimit.MaxViewAge
}

// refillBudgets refills both budgets up to now, at the present share.
func (h *stateHealth) refillBudgets() {
	h.updateShare()
	h.readBudget.Refill(h.now, h.share.Reads)
	h.refillWrites()
}

func (h *stateHealth) refillWrites() { h.writeBudget.Refill(h.now, h.share.Changes) }

// writeRate is how many keys a second this controller may write.
func (h *stateHealth) writeRate() float64 { return h.share.Changes }

// viewInterval is the least time between two reads for requests that wait.
func (h *stateHealth) viewInterval() int64 { return ratelimit.Interval(h.share.Views) }

func (h *stateHealth) readsLeft() float64  { return h.readBudget.Level() }
func (h *stateHealth) writesLeft() float64 { return h.writeBudget.Level() }

// tryTakeRead takes one read from the budget, and reports whether there was one.
func (h *stateHealth) tryTakeRead() bool { return h.readBudget.TryTake() }

// spendWrites accounts for keys that are being written.
func (h *stateHealth) spendWrites(keys float64) { h.writeBudget.Spend(keys) }

// grantWrites takes up to so many writes out of the budget for a follower, and returns
// how many it got; receiveWrites adds those that the leader granted this controller.
func (h *stateHealth) grantWrites(wanted int) int {
	return h.writeBudget.Withdraw(wanted, h.minUserBudget())
}

func (h *stateHealth) receiveWrites(granted int) { h.writeBudget.Deposit(granted) }

// leaderOverdraft is the part of a second's writes that a leader may be in debt with
// and still write a user's request.
const leaderOverdraft = 0.25

// minUserBudget is the least write budget with which a user's request is written. Users
// come before placements, so they may use what the leader's own writes keep back, and
// some of what it will have.
func (h *stateHealth) minUserBudget() float64 {
	if !h.elector.isLeader() {
		return 1
	}
	return 1 - h.share.Changes*leaderOverdraft
}
