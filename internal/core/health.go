package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// stateUnavailableAfter is the time without an answer after which the state service counts as
// unavailable.
const stateUnavailableAfter = 1_500_000

// stateHealth tracks whether the state service answers this controller, and the number of requests
// that the controller may still send to it: a budget of reads and a budget of writes, each refilled
// at the controller's share of the service's limits.
type stateHealth struct {
	*engine

	cache      *stateCache
	elector    *elector
	membership *membership
	peers      *peerMonitor

	answeredAt int64 // when a request last succeeded
	failedAt   int64 // when a request last failed

	// announcedRevision is the newest revision that an answer of the state service
	// contained; announcedAt is the time since which the watch has failed to deliver it.
	announcedRevision uint64
	announcedAt       int64

	share       ratelimit.Share
	writeBudget ratelimit.TokenBucket
	readBudget  ratelimit.TokenBucket
}

// start sets the share and the initial read budget of a controller that has just started.
func (h *stateHealth) start() {
	h.updateShare()
	h.readBudget = ratelimit.NewTokenBucket(h.now, ratelimit.InitialTokens)
}

// recordResult records the result of a request over a link to the state service.
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

// recordTransaction records the result of a transaction. A refusal other than kv.Unavailable, for
// example because of the request rate or the transaction's size, counts as a failed request, but
// says nothing about the link.
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

// recordAnnouncedRevision records a revision that an answer of the state service contained.
// A watch that does not deliver it is stuck, even if all requests are answered.
func (h *stateHealth) recordAnnouncedRevision(revision uint64) {
	if revision <= max(h.cache.appliedRevision, h.announcedRevision) {
		return
	}
	if !h.watchLags() {
		h.announcedAt = h.now
	}
	h.announcedRevision = revision
}

// watchLags reports whether the newest announced revision has not been applied yet.
func (h *stateHealth) watchLags() bool { return h.announcedRevision > h.cache.appliedRevision }

// watchLag returns the time for which the watch has failed to deliver the announced revision,
// counted from the last call of restartWatchLag if there was one since.
func (h *stateHealth) watchLag() int64 { return h.now - h.announcedAt }

func (h *stateHealth) restartWatchLag() { h.announcedAt = h.now }

// lastRequestFailed reports whether no request has succeeded since the newest failure.
func (h *stateHealth) lastRequestFailed() bool { return h.failedAt > h.answeredAt }

// unavailable reports whether requests have failed without any success for longer than
// stateUnavailableAfter.
func (h *stateHealth) unavailable() bool {
	return h.lastRequestFailed() && h.now-h.answeredAt > stateUnavailableAfter
}

// outageAge returns the time since the last successful request if a later one has failed, 0
// otherwise.
func (h *stateHealth) outageAge() int64 {
	if !h.lastRequestFailed() {
		return 0
	}
	return h.now - h.answeredAt
}

// updateShare recomputes this controller's share of the state service's limits.
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

// membershipConfirmed reports whether all other controllers certainly count this controller as
// a member, and its own count of the members is recent.
func (h *stateHealth) membershipConfirmed() bool {
	return h.elector.leaseValid() &&
		h.membership.activation.MemberFor(h.now) > ratelimit.SettleTime &&
		h.now-h.cache.freshAt < ratelimit.MaxViewAge
}

// refillBudgets refills both budgets up to the current time at the current share.
func (h *stateHealth) refillBudgets() {
	h.updateShare()
	h.readBudget.Refill(h.now, h.share.Reads)
	h.refillWrites()
}

func (h *stateHealth) refillWrites() { h.writeBudget.Refill(h.now, h.share.Changes) }

// writeRate returns the number of keys per second that this controller may write.
func (h *stateHealth) writeRate() float64 { return h.share.Changes }

// viewInterval returns the minimum time between two reads for waiting requests.
func (h *stateHealth) viewInterval() int64 { return ratelimit.Interval(h.share.Views) }

func (h *stateHealth) readsLeft() float64  { return h.readBudget.Level() }
func (h *stateHealth) writesLeft() float64 { return h.writeBudget.Level() }

// tryTakeRead takes one read from the budget, and reports whether one was left.
func (h *stateHealth) tryTakeRead() bool { return h.readBudget.TryTake() }

// spendWrites takes the given number of written keys from the budget.
func (h *stateHealth) spendWrites(keys float64) { h.writeBudget.Spend(keys) }

// grantWrites takes up to the requested number of writes from the budget for a follower, and
// returns the number of writes taken.
func (h *stateHealth) grantWrites(requested int) int {
	return h.writeBudget.Withdraw(requested, h.minUserBudget())
}

// receiveWrites adds to the budget the writes that the leader has granted this controller.
func (h *stateHealth) receiveWrites(granted int) { h.writeBudget.Deposit(granted) }

// leaderOverdraft is the fraction of one second's writes by which a leader may overdraw its
// budget to write a user's request.
const leaderOverdraft = 0.25

// minUserBudget returns the minimum write budget at which a user's request is written. Users
// take precedence over placements, so on a leader they may use the reserve that its own
// transactions leave in the budget, and part of the coming refill.
func (h *stateHealth) minUserBudget() float64 {
	if !h.elector.isLeader() {
		return 1
	}
	return 1 - h.share.Changes*leaderOverdraft
}
