package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// connectivityGap is how often the links are looked at.
const connectivityGap = 200_000

// maxStandstill is how late the next look has to come for this controller to have
// stood still.
const maxStandstill = 2 * second

// connectivityTick asks machines that have not reported here, says in the state service
// what this controller reaches, and has a leader give way to one that could
// serve more.
func (c *Core) connectivityTick() {
	c.watchdogTick()
	if !c.settings.Ops.Reach || c.now-c.connectivityCheckedAt < connectivityGap {
		return
	}
	if c.connectivityCheckedAt != 0 && c.now-c.connectivityCheckedAt > maxStandstill {
		c.connectivity.Workers.Invalidate(c.now)
	}
	c.connectivityCheckedAt = c.now
	c.connectivity.Refresh(c.now)
	for _, m := range c.connectivity.Workers.DueProbes(c.now) {
		c.emit(ProbeMachine{Machine: m.Name, Addr: m.Addr})
	}
	if !c.synced {
		return
	}
	c.publishConnectivity()
	if c.leadership != nil && c.mayStartTasks() {
		if to, why := c.connectivity.HandoverTarget(c.now); to != "" {
			c.log.Info("giving way", "to", to, "why", why)
			c.resign("gave way to " + to)
		}
	}
}

// publishConnectivity stores what this controller reaches, for those that its pings do not
// get to. It is on its lease, so it is there only while the controller lives
// and reaches the state service.
func (c *Core) publishConnectivity() {
	v, news := c.connectivity.PendingAdvertisement(c.now)
	if !news || !c.activation.Enabled(upgrade.Connectivity) || c.stateUnavailable() || c.writeBudget.Level() < 1 {
		return
	}
	if c.candidacy.lease != 0 {
		c.connectivity.MarkAdvertised(v, c.now)
	}
	c.putOnLease(connectivityPrefix+c.settings.Name, c.connectivityRevisions[c.settings.Name], v, func(ok bool) {
		if !ok {
			c.connectivity.ClearAdvertised()
		}
	})
}

func (c *Core) applyConnectivity(name string, ch Change, bad func(error)) {
	if ch.Removed {
		delete(c.connectivityRevisions, name)
		c.connectivity.SetStored(name, nil)
		if name == c.settings.Name {
			c.connectivity.ClearAdvertised()
		}
		return
	}
	var v connectivity.Advertisement
	if err := json.Unmarshal(ch.Value, &v); err != nil {
		bad(err)
		return
	}
	c.connectivityRevisions[name] = ch.Revision
	c.connectivity.SetStored(name, &v)
}
