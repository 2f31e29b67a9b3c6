package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

const (
	// connectivityInterval is the interval at which the links are evaluated.
	connectivityInterval = 200_000
	// maxPause is the maximum time between two evaluations for which the evidence on links
	// remains valid. A longer pause means that this process was suspended, so that the
	// evidence is outdated.
	maxPause = 2 * second
)

// connectivityTick evaluates the links: it probes machines that have sent no heartbeat here,
// advertises in the state service what this controller reaches, and makes a leader step down
// in favour of a controller that could serve more workers.
func (p *peerMonitor) connectivityTick() {
	p.reader.watchdogTick()
	if !p.settings.Ops.Reach || p.now-p.connectivityCheckedAt < connectivityInterval {
		return
	}
	if p.connectivityCheckedAt != 0 && p.now-p.connectivityCheckedAt > maxPause {
		p.connectivity.Workers.Invalidate(p.now)
	}
	p.connectivityCheckedAt = p.now
	p.connectivity.Refresh(p.now)
	for _, machine := range p.connectivity.Workers.DueProbes(p.now) {
		p.emit(ProbeMachine{Machine: machine.Name, Addr: machine.Addr})
	}
	if !p.cache.synced {
		return
	}
	p.publishConnectivity()
	p.handOver()
}

// handOver ends the term if another controller should lead instead.
func (p *peerMonitor) handOver() {
	if !p.elector.mayStartTasks() {
		return
	}
	if to, reason := p.connectivity.HandoverTarget(p.now); to != "" {
		p.log.Info("handing leadership over to a better connected controller", "controller", to, "reason", reason)
		p.elector.resign("handed over to " + to)
	}
}

// publishConnectivity advertises in the state service what this controller reaches. Controllers
// that this controller's pings do not reach learn it from there.
func (p *peerMonitor) publishConnectivity() {
	advertisement, pending := p.connectivity.PendingAdvertisement(p.now)
	if !pending || !p.membership.featureEnabled(upgrade.Connectivity) || p.health.unavailable() || p.health.writesLeft() < 1 {
		return
	}
	if p.elector.hasLease() {
		p.connectivity.MarkAdvertised(advertisement, p.now)
	}
	name := p.settings.Name
	p.membership.putOnLease(connectivityPrefix+name, p.connectivityRevisions[name], advertisement, func(ok bool) {
		if !ok {
			p.connectivity.ClearAdvertised()
		}
	})
}

// applyConnectivity applies a change of a controller's stored connectivity advertisement.
func (p *peerMonitor) applyConnectivity(name string, change Change, reportInvalid func(error)) {
	if change.Removed {
		delete(p.connectivityRevisions, name)
		p.connectivity.SetStored(name, nil)
		if name == p.settings.Name {
			p.connectivity.ClearAdvertised()
		}
		return
	}
	var advertisement connectivity.Advertisement
	if err := json.Unmarshal(change.Value, &advertisement); err != nil {
		reportInvalid(err)
		return
	}
	p.connectivityRevisions[name] = change.Revision
	p.connectivity.SetStored(name, &advertisement)
}
