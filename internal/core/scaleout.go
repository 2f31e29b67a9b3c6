package core

import (
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// maxScaleOut is the maximum number of machines that can be rented in one request.
	maxScaleOut = 50
	// maxUnanswered is the maximum number of unanswered requests that are repeated.
	maxUnanswered = 32
	// scaleOutGrace is the time for which a new leader waits for the heartbeats of existing
	// machines before it scales out.
	scaleOutGrace = 5 * second
	// liveWithin is the maximum age of the last heartbeat of a machine that counts as live.
	liveWithin = 15 * second
	// minOfferBackoff and maxOfferBackoff bound the time for which an offer is not requested
	// again after a refusal.
	minOfferBackoff = 8 * second
	maxOfferBackoff = 40 * second
	// unboundedTasks is the assumed number of tasks without resource needs that fit on a
	// machine.
	unboundedTasks = 1 << 20
)

// poolCount is the number of machines of a pool by state.
type poolCount struct{ busy, idle, booting int }

// poolCounts are the counts of each pool.
type poolCounts map[machinePool]*poolCount

// forPool returns the counters of a pool, which it creates if there are none; the caller may modify
// them.
func (c poolCounts) forPool(pool machinePool) *poolCount {
	if c[pool] == nil {
		c[pool] = &poolCount{}
	}
	return c[pool]
}

// idleOnDemand returns the total number of idle on-demand machines.
func (c poolCounts) idleOnDemand() int {
	idle := 0
	for pool, count := range c {
		if !pool.spot {
			idle += count.idle
		}
	}
	return idle
}

// scaleOutTick rents machines, pool by pool, if work is waiting or there are too few spare
// machines. Unanswered requests are repeated first.
func (s *scaler) scaleOutTick(takeCall func() bool, targets []zoneTarget) {
	state := &s.elector.leadership.scaling
	if len(s.cache.machineTypes) == 0 || !s.elector.mayStartTasks() || s.now-s.elector.leadership.since < scaleOutGrace {
		return
	}
	if len(state.unanswered) > 0 {
		if takeCall() {
			request := state.unanswered[0]
			state.unanswered = state.unanswered[1:]
			s.cloud.callCloud(CloudCall{ScaleOut: &request})
		}
		return
	}
	counts := s.countMachines()
	state.idleOnDemand = counts.idleOnDemand()
	for i := range s.cache.machineTypes {
		t := &s.cache.machineTypes[i]
		for _, pool := range s.pools(t) {
			offer, count := s.chooseScaleOut(t, pool, counts.forPool(s.poolOf(t.Name, pool.spot)), targets)
			if count <= 0 {
				continue
			}
			if !takeCall() {
				return
			}
			s.requestScaleOut(offer, count)
		}
	}
}

// countMachines counts the usable and the booting machines of each pool.
func (s *scaler) countMachines() poolCounts {
	counts := poolCounts{}
	for _, m := range s.elector.leadership.fleet.All() {
		switch {
		case m.LastHeartbeat == 0 || s.now-m.LastHeartbeat > liveWithin || m.Draining || m.Releasing || m.ReclaimAt != 0:
		case len(m.Placed) > 0:
			counts.forPool(s.poolOf(m.Type, m.Spot)).busy++
		default:
			counts.forPool(s.poolOf(m.Type, m.Spot)).idle++
		}
	}
	for name, b := range s.elector.leadership.scaling.booting {
		if m := s.elector.leadership.fleet.Get(name); m == nil || m.LastHeartbeat == 0 {
			counts.forPool(s.poolOf(b.machineType, b.spot)).booting++
		}
	}
	return counts
}

// chooseScaleOut returns the offer by which to rent machines for a pool, and the number of machines
// to rent in one request. The number is 0 if the pool has enough machines or there is no offer.
func (s *scaler) chooseScaleOut(machineType *fleet.Type, pool machinePool, count *poolCount, targets []zoneTarget) (machineOffer, int) {
	needed := s.shortage(machineType, pool)
	s.elector.leadership.scaling.recordBusy(pool, count.busy, s.now, s.idleReturnTime())
	wanted := max(needed, s.spareMachines(pool)-count.idle) - count.booting
	if wanted <= 0 {
		return machineOffer{}, 0
	}
	offer, ok := s.chooseOffer(machineType, s.scaleOutKinds(machineType, pool, needed > count.booting), targets)
	if !ok {
		return machineOffer{}, 0
	}
	return offer, min(wanted, maxScaleOut)
}

// requestScaleOut rents machines, under a request name by which the cloud recognizes a repetition
// of the request.
func (s *scaler) requestScaleOut(offer machineOffer, count int) {
	state := &s.elector.leadership.scaling
	state.requestSerial++
	state.scalingOut[offer] = true
	s.cloud.callCloud(CloudCall{ScaleOut: &ScaleOut{
		Name:  fmt.Sprintf("zinclb-%d-%d", s.elector.fencingToken(), state.requestSerial),
		Type:  offer.machineType,
		Zone:  offer.zone,
		Spot:  offer.spot,
		Count: count,
	}})
}

// tasksPerMachine returns the number of tasks with the given need that fit on a machine, at least
// 1.
func tasksPerMachine(need, capacity jobstate.Resources) int64 {
	tasks := int64(unboundedTasks)
	for _, x := range [][2]int64{{need.CPU, capacity.CPU}, {need.GPU, capacity.GPU}, {need.Mem, capacity.Mem}} {
		if x[0] > 0 {
			tasks = min(tasks, x[1]/x[0])
		}
	}
	return max(tasks, 1)
}

// isOpen reports whether an offer may be requested now.
func (s *scalingState) isOpen(offer machineOffer, now int64) bool {
	return !s.scalingOut[offer] && s.refusedUntil[offer] <= now
}

// chooseOffer picks an open offer of the type, with the kinds (spot or not) in order of
// preference. Zones in which machines are gathered for a job come first; otherwise the zone is
// random.
func (s *scaler) chooseOffer(machineType *fleet.Type, kinds []bool, targets []zoneTarget) (machineOffer, bool) {
	state := &s.elector.leadership.scaling
	for _, target := range targets {
		for _, spot := range kinds {
			offer := machineOffer{machineType.Name, target.zone, spot}
			isUsable := target.spec.Allows(machineType.Name, target.zone, spot, machineType.Cap) && slices.Contains(machineType.Zones, target.zone)
			if isUsable && state.isOpen(offer, s.now) {
				return offer, true
			}
		}
	}
	for _, spot := range kinds {
		var open []machineOffer
		for _, zone := range machineType.Zones {
			if offer := (machineOffer{machineType.Name, zone, spot}); state.isOpen(offer, s.now) {
				open = append(open, offer)
			}
		}
		if len(open) > 0 {
			return open[s.rng.IntN(len(open))], true
		}
	}
	return machineOffer{}, false
}

// onScaledOut handles the result of a scale-out.
func (s *scaler) onScaledOut(m ScaledOut) {
	if !s.elector.leadsWithToken(m.Request.FencingToken) {
		return // the list will show the machines that were rented
	}
	state := &s.elector.leadership.scaling
	state.callsRunning--
	offer := machineOffer{m.Request.Type, m.Request.Zone, m.Request.Spot}
	switch {
	case m.Status == cloudOK:
		s.machinesRented(offer, &m)
	case mayBeExecuted(m.Status):
		// The cloud executes a repeated request at most once.
		if len(state.unanswered) < maxUnanswered {
			state.unanswered = append(state.unanswered, m.Request)
		}
	default:
		delete(state.scalingOut, offer)
		state.backOff(offer, s.now)
	}
}

// mayBeExecuted reports whether a request without a result may have been executed, or may be
// executed when it is repeated.
func mayBeExecuted(status int) bool {
	return status == cloudNoStatus || status == cloudRateLimited ||
		status >= cloudServerError && status != cloudNoCapacity
}

// machinesRented records the machines that are booting now. If there are fewer than requested,
// the offer has none left and is backed off.
func (s *scaler) machinesRented(offer machineOffer, m *ScaledOut) {
	state := &s.elector.leadership.scaling
	delete(state.scalingOut, offer)
	for _, name := range m.Names {
		state.booting[name] = bootingMachine{machineOffer: offer, since: s.now}
	}
	if len(m.Names) < m.Request.Count {
		state.backOff(offer, s.now)
	} else {
		delete(state.backoff, offer)
	}
	s.log.Info("scaled out", "type", offer.machineType, "zone", offer.zone, "spot", offer.spot,
		"requested", m.Request.Count, "count", len(m.Names))
}

// backOff closes an offer for a time after a refusal; the time doubles with each refusal, up to
// maxOfferBackoff.
func (s *scalingState) backOff(offer machineOffer, now int64) {
	pause := min(max(s.backoff[offer]*2, minOfferBackoff), maxOfferBackoff)
	s.backoff[offer] = pause
	s.refusedUntil[offer] = now + pause
}
