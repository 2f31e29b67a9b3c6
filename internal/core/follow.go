package core

import (
	"github.com/zinclb/zinclb/internal/core/ratelimit"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// How a controller that does not lead learns what is stored; see package replica.

const (
	// askViewGap is the least time between two questions to the leader: those who
	// come meanwhile share the next.
	askViewGap = 10_000
	// newsGap is how often the leader is asked while something is known to be
	// stored, or expected, that the mirror does not show.
	newsGap = 150_000
)

// viewSource is the controller that is asked for what is stored, "" for the state
// service itself: for a leader, where nobody leads, and where the state service has
// just failed this controller, which then has to find out whether it still does.
func (c *Core) viewSource() string {
	if c.lead != nil || !c.synced || c.leaderAt == 0 || c.stateBad > c.stateOK || !c.activation.Enabled(upgrade.SharedReads) || !c.links.PeerUp(c.leader.Name, c.now) {
		return ""
	}
	c.follower.SetLeader(c.leader.Name, c.leader.Token)
	return c.follower.Source(c.now)
}

// lackingChanges is how many changes requests wait for, with so many left.
func (d *requests) lackingChanges(left float64) int {
	if len(d.writes) == 0 || left >= 1 {
		return 0
	}
	n := 0
	for _, a := range d.writes {
		n += a.changes()
	}
	return n
}

// changes is how many changes a request takes; a sweep's are told from its size when
// it is written.
func (a *ask) changes() int {
	if a.kind == askCancel {
		return 2
	}
	return 1
}

// showView answers a controller that asks what is stored. It was read after the
// question came.
func (c *Core) showView(a *ask) {
	changes, ok := c.recent.Since(a.revision)
	if c.lead == nil || !ok {
		r := unavailable
		r.Req, r.Error = a.req, "this controller does not lead, or has forgotten the revision"
		c.emit(r)
		return
	}
	granted := c.budget.Withdraw(a.need, usersLeast(c.allowance, c.lead != nil))
	c.emit(Reply{Req: a.req, Status: 200, View: &replica.View{Revision: c.applied, Changes: changes, Granted: granted}})
}

// onShown takes the leader's answer. If there is none the state service is asked
// instead, for the same requests.
func (c *Core) onShown(m Shown) {
	v := m.Answer.View
	ok := m.Err == nil && m.Answer.Status == 200 && v != nil && v.Revision >= m.After
	if !c.follower.EndRequest(m.Number, ok, c.now) {
		return // late, or a repeat: what it grants may have been used
	}
	if !ok || !c.synced || m.After > c.applied {
		c.emit(View{After: c.applied, Asked: true})
		return
	}
	c.budget.Deposit(v.Granted)
	c.onWatched(Watched{After: m.After, Ledger: v.Revision, Sent: m.Sent, Changes: v.Changes, View: true, Asked: true, Relayed: true})
	c.writeNow()
}

// watch watches what this controller needs to know of at once: a follower the
// leadership, as it learns of all else by its views, and everybody else everything.
func (c *Core) watch() {
	switch {
	case !c.synced:
	case c.viewSource() != "" && c.follower.IsFollowing(c.now):
		if !c.watchingLeader {
			c.watchingLeader = true
			c.emit(WatchLeader{After: c.applied})
		}
	case !c.watching && (c.lead != nil || c.reading.TryTake()):
		c.watching = true
		c.emit(Watch{After: c.applied})
	}
}

// onLeaderWatched reads what is stored where the leadership may have changed. It
// asks nobody else, as the leader may be gone.
func (c *Core) onLeaderWatched(m LeaderWatched) {
	c.watchingLeader = false
	c.stateAnswered(&c.links.Watch, m.Err)
	if m.Changed && c.synced {
		c.emit(View{After: c.applied})
	}
	c.watch()
}

// allowanceNow is what this controller may use of the state service.
func (c *Core) allowanceNow() ratelimit.Share {
	l := c.limits()
	present, older := c.activation.CountMembers(upgrade.SharedReads, c.leader.Name)
	proven := c.elect.lease != 0 && c.now-c.elect.leaseAt < c.set.Ops.LeaderLease && c.activation.MemberFor(c.now) > ratelimit.SettleTime && c.now-c.mirrorAt < ratelimit.MaxViewAge
	return ratelimit.ShareFor(ratelimit.Limits{Requests: l.RPS, Changes: l.WriteRPS}, ratelimit.Members{Configured: len(c.set.Peers) + 1, Present: present, Legacy: older,
		Confirmed: proven, HasLeader: c.leaderAt != 0 && !c.lead.begins(c.now), IsLeader: c.lead != nil, SharingEnabled: c.activation.Enabled(upgrade.SharedReads)})
}
