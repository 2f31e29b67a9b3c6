package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// reachGap is how often the links are looked at.
const reachGap = 200_000

// stoodStill is how late the next look has to come for this controller to have
// stood still.
const stoodStill = 2 * second

// reachTick asks machines that have not reported here, says in the state service
// what this controller reaches, and has a leader give way to one that could
// serve more.
func (c *Core) reachTick() {
	c.watchTick()
	if !c.set.Ops.Reach || c.now-c.reached < reachGap {
		return
	}
	if c.reached != 0 && c.now-c.reached > stoodStill {
		c.links.Workers.Invalidate(c.now)
	}
	c.reached = c.now
	c.links.Refresh(c.now)
	for _, m := range c.links.Workers.DueProbes(c.now) {
		c.emit(Probe{Machine: m.Name, Addr: m.Addr})
	}
	if !c.synced {
		return
	}
	c.sayReach()
	if c.lead != nil && c.sure() {
		if to, why := c.links.HandoverTarget(c.now); to != "" {
			c.log.Info("giving way", "to", to, "why", why)
			c.leave("gave way to " + to)
		}
	}
}

// sayReach stores what this controller reaches, for those that its pings do not
// get to. It is on its lease, so it is there only while the controller lives
// and reaches the state service.
func (c *Core) sayReach() {
	v, news := c.links.PendingAdvertisement(c.now)
	if !news || !c.activation.Enabled(upgrade.Connectivity) || c.stateLost() || c.budget.Level() < 1 {
		return
	}
	if c.elect.lease != 0 {
		c.links.MarkAdvertised(v, c.now)
	}
	c.onLease(reachPrefix+c.set.Name, c.reachAt[c.set.Name], v, func(ok bool) {
		if !ok {
			c.links.ClearAdvertised()
		}
	})
}

func (c *Core) applyReach(name string, ch Change, bad func(error)) {
	if ch.Removed {
		delete(c.reachAt, name)
		c.links.SetStored(name, nil)
		if name == c.set.Name {
			c.links.ClearAdvertised()
		}
		return
	}
	var v connectivity.Advertisement
	if err := json.Unmarshal(ch.Value, &v); err != nil {
		bad(err)
		return
	}
	c.reachAt[name] = ch.Revision
	c.links.SetStored(name, &v)
}
