package core

import (
	"github.com/zinclb/zinclb/internal/core/ratelimit"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// How a controller that does not lead learns what is stored; see package replica.

const (
	// leaderReadGap is the least time between two questions to the leader: those who
	// come meanwhile share the next.
	leaderReadGap = 10_000
	// expectedChangeGap is how often the leader is asked while something is known to be
	// stored, or expected, that the mirror does not show.
	expectedChangeGap = 150_000
)

// readSource is the controller that is asked for what is stored, "" for the state
// service itself: for a leader, where nobody leads, and where the state service has
// just failed this controller, which then has to find out whether it still does.
func (c *Core) readSource() string {
	if c.leadership != nil || !c.synced || c.leaderRevision == 0 || c.stateFailedAt > c.stateAnsweredAt || !c.activation.Enabled(upgrade.SharedReads) || !c.connectivity.PeerUp(c.leader.Name, c.now) {
		return ""
	}
	c.follower.SetLeader(c.leader.Name, c.leader.Token)
	return c.follower.Source(c.now)
}

// writesLacking is how many changes requests wait for, with so many left.
func (d *requestQueues) writesLacking(left float64) int {
	if len(d.queuedWrites) == 0 || left >= 1 {
		return 0
	}
	n := 0
	for _, a := range d.queuedWrites {
		n += a.writeCost()
	}
	return n
}

// writeCost is how many changes a request takes; a sweep's are told from its size when
// it is written.
func (a *request) writeCost() int {
	if a.kind == requestCancel {
		return 2
	}
	return 1
}

// answerFollower answers a controller that asks what is stored. It was read after the
// question came.
func (c *Core) answerFollower(a *request) {
	changes, ok := c.recentChanges.Since(a.revision)
	if c.leadership == nil || !ok {
		r := stateUnavailableReply
		r.RequestID, r.Error = a.id, "this controller does not lead, or has forgotten the revision"
		c.emit(r)
		return
	}
	granted := c.writeBudget.Withdraw(a.writesNeeded, minUserBudget(c.allowance, c.leadership != nil))
	c.emit(Reply{RequestID: a.id, Status: 200, View: &replica.View{Revision: c.appliedRevision, Changes: changes, Granted: granted}})
}

// onLeaderReadDone takes the leader's answer. If there is none the state service is asked
// instead, for the same requests.
func (c *Core) onLeaderReadDone(m LeaderReadDone) {
	v := m.Answer.View
	ok := m.Err == nil && m.Answer.Status == 200 && v != nil && v.Revision >= m.AfterRevision
	if !c.follower.EndRequest(m.Number, ok, c.now) {
		return // late, or a repeat: what it grants may have been used
	}
	if !ok || !c.synced || m.AfterRevision > c.appliedRevision {
		c.emit(ReadState{AfterRevision: c.appliedRevision, ForRequests: true})
		return
	}
	c.writeBudget.Deposit(v.Granted)
	c.onStateRead(StateRead{AfterRevision: m.AfterRevision, Revision: v.Revision, SentAt: m.SentAt, Changes: v.Changes, Immediate: true, ForRequests: true, ViaLeader: true})
	c.writeQueued()
}

// watchState watches what this controller needs to know of at once: a follower the
// leadership, as it learns of all else by its views, and everybody else everything.
func (c *Core) watchState() {
	switch {
	case !c.synced:
	case c.readSource() != "" && c.follower.IsFollowing(c.now):
		if !c.watchingLeader {
			c.watchingLeader = true
			c.emit(WatchLeader{AfterRevision: c.appliedRevision})
		}
	case !c.watching && (c.leadership != nil || c.readBudget.TryTake()):
		c.watching = true
		c.emit(WatchState{AfterRevision: c.appliedRevision})
	}
}

// onLeaderWatched reads what is stored where the leadership may have changed. It
// asks nobody else, as the leader may be gone.
func (c *Core) onLeaderWatched(m LeaderWatched) {
	c.watchingLeader = false
	c.noteStateResult(&c.connectivity.Watch, m.Err)
	if m.Changed && c.synced {
		c.emit(ReadState{AfterRevision: c.appliedRevision})
	}
	c.watchState()
}

// currentAllowance is what this controller may use of the state service.
func (c *Core) currentAllowance() ratelimit.Share {
	l := c.limits()
	present, older := c.activation.CountMembers(upgrade.SharedReads, c.leader.Name)
	proven := c.candidacy.lease != 0 && c.now-c.candidacy.leaseProvenAt < c.settings.Ops.LeaderLease && c.activation.MemberFor(c.now) > ratelimit.SettleTime && c.now-c.mirrorFreshAt < ratelimit.MaxViewAge
	return ratelimit.ShareFor(ratelimit.Limits{Requests: l.RPS, Changes: l.WriteRPS}, ratelimit.Members{Configured: len(c.settings.Peers) + 1, Present: present, Legacy: older,
		Confirmed: proven, HasLeader: c.leaderRevision != 0 && !c.leadership.isNew(c.now), IsLeader: c.leadership != nil, SharingEnabled: c.activation.Enabled(upgrade.SharedReads)})
}
