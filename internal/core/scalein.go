package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
)

const (
	// maxScaleIn is the maximum number of machines that can be returned in one request.
	maxScaleIn = 100
	// minBootTimeout is the minimum time that a machine listed as running has until its
	// first heartbeat, and unknownBootTimeout the time for a machine of an unknown type.
	minBootTimeout     = 120 * second
	unknownBootTimeout = 300 * second
	// recentlySilent is the time after its last heartbeat until which a machine without work
	// can count as silent.
	recentlySilent = 60 * second
)

// machineSurvey is the state of the fleet on which scaling in is based.
type machineSurvey struct {
	// live and silent are the numbers of machines that send heartbeats and of those that
	// no longer do.
	live, silent int
	// presumedDead are machines with work that have been silent for a long time.
	presumedDead []*fleet.Machine
	// idle are the machines that have been idle for a long time, by pool.
	idle map[machinePool][]*fleet.Machine
}

// addIdle adds a machine that has been idle for a long time. The map is created on demand, as
// there is usually no such machine.
func (s *machineSurvey) addIdle(pool machinePool, m *fleet.Machine) {
	if s.idle == nil {
		s.idle = map[machinePool][]*fleet.Machine{}
	}
	s.idle[pool] = append(s.idle[pool], m)
}

// scaleInTick returns silent, faulty, never-booting and long-idle machines to the cloud. The return
// of a silent machine guarantees that its tasks have ended.
func (s *scaler) scaleInTick(takeCall func() bool, targets []zoneTarget) {
	if !s.elector.mayStartTasks() {
		// This leader may have been replaced. If it is partitioned, it gets no heartbeats
		// from machines that have come up and serve its successor, and must not return
		// them. Returns that are already queued wait as well.
		return
	}
	survey := s.surveyMachines(targets)
	s.scaleInIdle(survey.idle)
	s.scaleInSilent(&survey)
	s.scaleInNeverBooted()
	s.sendScaleIn(takeCall)
}

// surveyMachines classifies all machines, and queues the return of those that are drained.
func (s *scaler) surveyMachines(targets []zoneTarget) machineSurvey {
	var survey machineSurvey
	interval := s.heartbeatInterval()
	since := s.elector.leadership.since
	for _, m := range s.elector.leadership.fleet.All() {
		silence := s.now - max(m.LastHeartbeat, since)
		// A machine that has sent no heartbeat to this leader counts as silent too if
		// it is known to have work. Otherwise a leader that is elected while a zone is
		// partitioned would mistake the zone's machines for a few dead ones and return them all.
		if silence > 2*interval && (len(m.Placed) > 0 || m.LastHeartbeat != 0 && silence < recentlySilent) {
			survey.silent++
		}
		switch {
		case m.Releasing:
		case silence < 2*interval+second && m.LastHeartbeat != 0:
			survey.live++
			if m.Draining && len(m.Placed) == 0 {
				s.queueScaleIn(m.Name)
			}
			if s.isIdleForLong(m) && !isKeptForTarget(targets, m) {
				survey.addIdle(s.poolOf(m.Type, m.Spot), m)
			}
		case len(m.Placed) > 0 && s.isPresumedDead(m, silence):
			survey.presumedDead = append(survey.presumedDead, m)
		}
	}
	return survey
}

// isIdleForLong reports whether a machine has been idle for so long that it is returned unless it
// is kept as a spare machine. A new leader waits, as it does not know how long machines have been
// idle.
func (s *scaler) isIdleForLong(m *fleet.Machine) bool {
	return m.IdleSince != 0 && len(m.Placed) == 0 && s.now-m.IdleSince > s.idleReturnTime() &&
		s.now-s.elector.leadership.since > s.settings.Ops.IdleReturn
}

// isPresumedDead reports whether a machine has been silent for so long that it is presumed dead.
// About half of that time is enough for a machine that the cloud should have reclaimed by now.
func (s *scaler) isPresumedDead(m *fleet.Machine, silence int64) bool {
	interval := s.heartbeatInterval()
	return silence > 4*interval+2*second || m.ReclaimAt != 0 && s.now > m.ReclaimAt && silence > 2*interval
}

// scaleInIdle returns machines that have been idle for a long time, except those that are kept as
// spare machines. Those that have been idle longest are returned first.
func (s *scaler) scaleInIdle(idle map[machinePool][]*fleet.Machine) {
	pools := slices.SortedFunc(maps.Keys(idle), machinePool.compare)
	for _, pool := range pools {
		machines := idle[pool]
		slices.SortFunc(machines, func(a, b *fleet.Machine) int {
			return cmp.Or(cmp.Compare(a.IdleSince, b.IdleSince), cmp.Compare(a.Name, b.Name))
		})
		for _, m := range machines[:max(0, len(machines)-s.spareMachines(pool))] {
			s.log.Info("scaling in an idle machine", "machine", m.Name)
			s.queueScaleIn(m.Name)
		}
	}
}

// scaleInSilent returns machines that are presumed dead. If many machines are silent, the fault is
// more likely in the network, and returning them would end healthy tasks. So machines are returned
// only while few are silent, unless the cloud no longer lists them. An eighth of a large fleet is
// not few: machines die one by one, and those that become silent together are behind a network
// partition.
func (s *scaler) scaleInSilent(survey *machineSurvey) {
	slices.SortFunc(survey.presumedDead, func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) })
	fewSilent := survey.silent <= max(1, min(survey.live/8, 6+survey.live/64))
	absenceProvenBefore := s.elector.leadership.scaling.listedAt - 2*config.MicrosOf(s.settings.Cloud.ListLagS)
	for _, m := range survey.presumedDead {
		last := max(m.LastHeartbeat, s.elector.leadership.since)
		if fewSilent || !m.InCloudList && last < absenceProvenBefore {
			s.log.Info("scaling in a machine that sends no heartbeats", "machine", m.Name, "tasks", len(m.Placed))
			s.queueScaleIn(m.Name)
		}
	}
}

// scaleInNeverBooted returns machines that were rented and have not sent a heartbeat in time.
func (s *scaler) scaleInNeverBooted() {
	state := &s.elector.leadership.scaling
	for _, name := range sortedKeys(state.booting) {
		machine := state.booting[name]
		if m := s.elector.leadership.fleet.Get(name); m != nil && m.LastHeartbeat != 0 {
			// It has sent a heartbeat since the last list. This happens for a
			// whole zone when a partition during which the leader was elected
			// has healed.
			delete(state.booting, name)
			continue
		}
		// After a failover, running machines have yet to send heartbeats to this
		// leader, and the list may lag: neither means that a machine never came up.
		timeout := s.bootTimeout(machine.machineType)
		leaderTimeout := timeout / 2
		if machine.listedRunning {
			timeout, leaderTimeout = max(timeout, minBootTimeout), max(leaderTimeout, minBootTimeout)
		}
		if s.now-machine.since > timeout && s.now-s.elector.leadership.since > leaderTimeout {
			s.log.Info("scaling in a machine that does not come up", "machine", name)
			delete(state.booting, name)
			s.queueScaleIn(name)
		}
	}
}

// bootTimeout returns the time within which a machine of a type must send its first heartbeat,
// counted from its rental.
func (s *scaler) bootTimeout(machineType string) int64 {
	for i := range s.cache.machineTypes {
		if s.cache.machineTypes[i].Name == machineType {
			return s.cache.machineTypes[i].Boot*5 + 30*second
		}
	}
	return unknownBootTimeout
}

// queueScaleIn queues a machine to be returned by one of the next calls; no more tasks are placed
// on it.
func (s *scaler) queueScaleIn(name string) {
	if m := s.elector.leadership.fleet.Get(name); m != nil {
		if m.Releasing {
			return
		}
		m.Releasing = true
		m.MarkChanged()
	}
	s.elector.leadership.scaling.queueScaleIn(name)
}

func (s *scalingState) queueScaleIn(name string) {
	if !slices.Contains(s.toScaleIn, name) {
		s.toScaleIn = append(s.toScaleIn, name)
	}
}

// sendScaleIn returns queued machines, as many as fit in one request.
func (s *scaler) sendScaleIn(takeCall func() bool) {
	state := &s.elector.leadership.scaling
	// A machine that came up while its return was queued may have work by now.
	state.toScaleIn = slices.DeleteFunc(state.toScaleIn, func(name string) bool {
		m := s.elector.leadership.fleet.Get(name)
		return m != nil && !m.Releasing
	})
	if len(state.toScaleIn) == 0 || !takeCall() {
		return
	}
	n := min(len(state.toScaleIn), maxScaleIn)
	names := slices.Clone(state.toScaleIn[:n])
	state.toScaleIn = slices.Clone(state.toScaleIn[n:])
	s.cloud.callCloud(CloudCall{ScaleIn: names})
}

// onScaledIn handles the result of a scale-in. All tasks on a returned machine have ended.
func (s *scaler) onScaledIn(m ScaledIn) {
	if !s.elector.isLeader() {
		return
	}
	term := s.elector.leadership
	isOurs := s.elector.leadsWithToken(m.FencingToken)
	if isOurs {
		term.scaling.callsRunning--
	}
	for _, name := range m.Names {
		switch {
		case m.OK:
			s.machineReturned(name)
		case isOurs:
			// The result is unknown, and the call may be executed late. Repeat it
			// until it is confirmed; no more tasks are placed on the machine. A
			// call of an earlier term is not repeated, as another leader may
			// have placed work on the machine since.
			term.scaling.queueScaleIn(name)
		}
	}
	term.planning.requestRound()
}

// machineReturned clears the tasks of a machine that was returned to the cloud, and removes it
// from the fleet.
func (s *scaler) machineReturned(name string) {
	term := s.elector.leadership
	if m := term.fleet.Get(name); m != nil {
		s.planner.machineGone(m, "it was returned")
		s.forgetMachine(m)
	}
	term.heartbeats.departed.recordReturned(name, s.now)
	s.peers.connectivity.Workers.Forget(name, s.now)
	delete(term.scaling.booting, name)
	term.scaling.scaledInAt[name] = s.now
}

// forgetMachine removes a machine that is gone from the fleet, and ends its prefetch.
func (s *scaler) forgetMachine(m *fleet.Machine) {
	s.prefetcher.endPrefetch(m)
	s.elector.leadership.heartbeats.departed.recordRemoved(m, s.now)
	s.elector.leadership.fleet.Remove(m)
	s.peers.connectivity.Workers.Forget(m.Name, s.now)
}
