package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// stateHealth knows whether the state service answers this controller, and what this controller may still use of it.
type stateHealth struct {
	*engine

	cache      *stateCache
	elector    *elector
	membership *membership
	peers      *peerMonitor

	stateAnsweredAt   int64
	stateFailedAt     int64
	announcedRevision uint64
	announcedAt       int64
	allowance         ratelimit.Share
	writeBudget       ratelimit.TokenBucket
	readBudget        ratelimit.TokenBucket
}

// noteStateResult notes how a request to the state service has ended.
func (h *stateHealth) noteStateResult(side *connectivity.Link, err error) {
	if err == nil {
		h.stateAnsweredAt = h.now
		side.RecordSuccess(h.now, h.now)
	} else {
		h.stateFailedAt = h.now
		side.RecordFailure(h.now, h.now, faultOf(err))
		h.peers.pingAll()
	}
}

// noteTransactionResult notes how a transaction has ended. One that was refused for its rate
// or its size says nothing of the link.
func (h *stateHealth) noteTransactionResult(m Committed) {
	w := &h.peers.connectivity.Writes
	switch m.Status {
	case 200, 409:
		h.stateAnsweredAt = h.now
		w.RecordSuccess(h.now, h.now)
		h.noteAnnouncedRevision(m.Revision)
	case 0:
		h.stateFailedAt = h.now
		w.RecordFailure(h.now, h.now, connectivity.NoResponse)
		h.peers.pingAll()
	default:
		h.stateFailedAt = h.now
		if m.Status == 503 {
			w.RecordFailure(h.now, h.now, connectivity.Refused)
		}
		h.peers.pingAll()
	}
}

// noteAnnouncedRevision notes a revision that the state service has told of. A watch that
// does not bring it is silent, however well requests are answered.
func (h *stateHealth) noteAnnouncedRevision(rev uint64) {
	if rev <= max(h.cache.appliedRevision, h.announcedRevision) {
		return
	}
	if h.announcedRevision <= h.cache.appliedRevision {
		h.announcedAt = h.now
	}
	h.announcedRevision = rev
}

// stateUnavailable says that the state service has not answered for a while.
func (h *stateHealth) stateUnavailable() bool {
	return h.stateFailedAt > h.stateAnsweredAt && h.now-h.stateAnsweredAt > 1500_000
}

// stateAge is how long the state service is known not to answer.
func (h *stateHealth) stateAge() int64 {
	if h.stateFailedAt <= h.stateAnsweredAt {
		return 0
	}
	return h.now - h.stateAnsweredAt
}

// currentAllowance is what this controller may use of the state service.
func (h *stateHealth) currentAllowance() ratelimit.Share {
	l := h.membership.limits()
	present, older := h.membership.activation.CountMembers(upgrade.SharedReads, h.cache.leader.Name)
	proven := h.elector.candidacy.lease != 0 && h.now-h.elector.candidacy.leaseProvenAt < h.settings.Ops.LeaderLease && h.membership.activation.MemberFor(h.now) > ratelimit.SettleTime && h.now-h.cache.mirrorFreshAt < ratelimit.MaxViewAge
	return ratelimit.ShareFor(ratelimit.Limits{Requests: l.RPS, Changes: l.WriteRPS}, ratelimit.Members{
		Configured: len(h.settings.Peers) + 1, Present: present, Legacy: older,
		Confirmed: proven, HasLeader: h.cache.leaderRevision != 0 && !h.elector.leadership.isNew(h.now), IsLeader: h.elector.leadership != nil, SharingEnabled: h.membership.activation.Enabled(upgrade.SharedReads),
	})
}
