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
func (pm *peerMonitor) connectivityTick() {
	pm.reader.watchdogTick()
	if !pm.settings.Ops.Reach || pm.now-pm.connectivityCheckedAt < connectivityGap {
		return
	}
	if pm.connectivityCheckedAt != 0 && pm.now-pm.connectivityCheckedAt > maxStandstill {
		pm.connectivity.Workers.Invalidate(pm.now)
	}
	pm.connectivityCheckedAt = pm.now
	pm.connectivity.Refresh(pm.now)
	for _, m := range pm.connectivity.Workers.DueProbes(pm.now) {
		pm.emit(ProbeMachine{Machine: m.Name, Addr: m.Addr})
	}
	if !pm.cache.synced {
		return
	}
	pm.publishConnectivity()
	if pm.elector.isLeader() && pm.elector.mayStartTasks() {
		if to, why := pm.connectivity.HandoverTarget(pm.now); to != "" {
			pm.log.Info("giving way", "to", to, "why", why)
			pm.elector.resign("gave way to " + to)
		}
	}
}

// publishConnectivity stores what this controller reaches, for those that its pings do not
// get to. It is on its lease, so it is there only while the controller lives
// and reaches the state service.
func (pm *peerMonitor) publishConnectivity() {
	v, news := pm.connectivity.PendingAdvertisement(pm.now)
	if !news || !pm.membership.activation.Enabled(upgrade.Connectivity) || pm.health.unavailable() || pm.health.writesLeft() < 1 {
		return
	}
	if pm.elector.candidacy.lease != 0 {
		pm.connectivity.MarkAdvertised(v, pm.now)
	}
	pm.membership.putOnLease(connectivityPrefix+pm.settings.Name, pm.connectivityRevisions[pm.settings.Name], v, func(ok bool) {
		if !ok {
			pm.connectivity.ClearAdvertised()
		}
	})
}

func (pm *peerMonitor) applyConnectivity(name string, ch Change, bad func(error)) {
	if ch.Removed {
		delete(pm.connectivityRevisions, name)
		pm.connectivity.SetStored(name, nil)
		if name == pm.settings.Name {
			pm.connectivity.ClearAdvertised()
		}
		return
	}
	var v connectivity.Advertisement
	if err := json.Unmarshal(ch.Value, &v); err != nil {
		bad(err)
		return
	}
	pm.connectivityRevisions[name] = ch.Revision
	pm.connectivity.SetStored(name, &v)
}
