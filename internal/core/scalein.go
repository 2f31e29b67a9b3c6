package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
)

const (
	// maxScaleIn is how many machines the cloud takes back at one request.
	maxScaleIn = 100
	// minBootTimeout is how long a machine that is listed as running has until its first
	// heartbeat, unknownBootTimeout how long one of a type that is not known has.
	minBootTimeout     = 120 * second
	unknownBootTimeout = 300 * second
	// recentlySilent is how long a machine without work counts as silent.
	recentlySilent = 60 * second
)

// machineSurvey is what scaling in goes by.
type machineSurvey struct {
	// live and silent count the machines that send heartbeats and those that have
	// stopped.
	live, silent int
	// presumedDead are machines with work that have been silent for long.
	presumedDead []*fleet.Machine
	// idle are machines that have been idle for long, by their pools.
	idle map[machinePool][]*fleet.Machine
}

// addIdle notes a machine of a pool that has long been idle; most of the time there is none.
func (s *machineSurvey) addIdle(pool machinePool, m *fleet.Machine) {
	if s.idle == nil {
		s.idle = map[machinePool][]*fleet.Machine{}
	}
	s.idle[pool] = append(s.idle[pool], m)
}

// scaleInTick returns machines: silent ones, whose tasks that ends for
// certain, faulty and never-booting ones, and those idle for long.
func (s *scaler) scaleInTick(takeCall func() bool, gathers []zoneGather) {
	if !s.elector.mayStartTasks() {
		// It may have been replaced, and its successor may use the machines: a
		// leader that was partitioned once returned machines that had come up for the
		// next one. What was decided before waits here as well.
		return
	}
	survey := s.surveyMachines(gathers)
	s.scaleInIdle(survey.idle)
	s.scaleInSilent(&survey)
	s.scaleInNeverUp()
	s.sendScaleIn(takeCall)
}

// surveyMachines goes through all machines, and queues those that are drained.
func (s *scaler) surveyMachines(gathers []zoneGather) machineSurvey {
	var survey machineSurvey
	interval := s.heartbeatInterval()
	since := s.elector.leadership.since
	for _, m := range s.elector.leadership.fleet.All() {
		silence := s.now - max(m.LastHeartbeat, since)
		// One that has sent no heartbeat under this leader counts too, if it is
		// known to have work: else a leader that begins while a zone is partitioned
		// returns all of the zone's machines for a few dead ones.
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
			if s.isIdleForLong(m) && !isGathered(gathers, m) {
				survey.addIdle(s.poolOf(m.Type, m.Spot), m)
			}
		case len(m.Placed) > 0 && s.isPresumedDead(m, silence):
			survey.presumedDead = append(survey.presumedDead, m)
		}
	}
	return survey
}

// isIdleForLong reports whether a machine has been idle for as long as one may be that is no
// spare one. A new leader waits, as it does not know for how long they have been.
func (s *scaler) isIdleForLong(m *fleet.Machine) bool {
	return m.IdleSince != 0 && len(m.Placed) == 0 && s.now-m.IdleSince > s.idleReturnTime() &&
		s.now-s.elector.leadership.since > s.settings.Ops.IdleReturn
}

// isPresumedDead reports whether a machine has been silent for too long; one that the cloud
// was to reclaim by now, for half of that.
func (s *scaler) isPresumedDead(m *fleet.Machine, silence int64) bool {
	interval := s.heartbeatInterval()
	return silence > 4*interval+2*second || m.ReclaimAt != 0 && s.now > m.ReclaimAt && silence > 2*interval
}

// scaleInIdle returns machines that have long been idle, except those that are kept as
// spare ones: those that have been idle for longest go.
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

// scaleInSilent returns machines that are presumed dead.
// When many machines are silent the fault is more likely on the way to
// them, and returning them would end good work. So only a few are taken
// for dead at once, unless the cloud does not list them any more. An
// eighth of a large fleet is not few: machines die one by one, and what
// goes silent together is behind a network partition.
func (s *scaler) scaleInSilent(survey *machineSurvey) {
	slices.SortFunc(survey.presumedDead, func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) })
	areFew := survey.silent <= max(1, min(survey.live/8, 6+survey.live/64))
	provenBefore := s.elector.leadership.scaling.listedAt - 2*config.MicrosOf(s.settings.Cloud.ListLagS)
	for _, m := range survey.presumedDead {
		last := max(m.LastHeartbeat, s.elector.leadership.since)
		if areFew || !m.InCloudList && last < provenBefore {
			s.log.Info("scaling in a machine that sends no heartbeats", "machine", m.Name, "tasks", len(m.Placed))
			s.queueScaleIn(m.Name)
		}
	}
}

// scaleInNeverUp returns machines that were rented and never sent a heartbeat.
func (s *scaler) scaleInNeverUp() {
	state := &s.elector.leadership.scaling
	for _, name := range sortedKeys(state.booting) {
		machine := state.booting[name]
		if m := s.elector.leadership.fleet.Get(name); m != nil && m.LastHeartbeat != 0 {
			// It has come up since the last list, as a whole zone does when
			// a partition that a leader began in is over.
			delete(state.booting, name)
			continue
		}
		// After a failover machines that are up have yet to send heartbeats here,
		// and the list may lag: neither is a sign that one never came up.
		timeout := s.bootTimeout(machine.machineType)
		leaderTimeout := timeout / 2
		if machine.up {
			timeout, leaderTimeout = max(timeout, minBootTimeout), max(leaderTimeout, minBootTimeout)
		}
		if s.now-machine.since > timeout && s.now-s.elector.leadership.since > leaderTimeout {
			s.log.Info("scaling in a machine that does not come up", "machine", name)
			delete(state.booting, name)
			s.queueScaleIn(name)
		}
	}
}

// bootTimeout is how long after it was rented a booting machine is given up.
func (s *scaler) bootTimeout(machineType string) int64 {
	for i := range s.cache.machineTypes {
		if s.cache.machineTypes[i].Name == machineType {
			return s.cache.machineTypes[i].Boot*5 + 30*second
		}
	}
	return unknownBootTimeout
}

// queueScaleIn has a machine returned by one of the next calls; nothing is placed there
// any more.
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

// sendScaleIn returns queued machines, as many as one request takes.
func (s *scaler) sendScaleIn(takeCall func() bool) {
	state := &s.elector.leadership.scaling
	// One that came up after it was given up, while this waited, has work by now.
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

// onScaledIn handles the result of a scale-in: what ran on a returned machine has ended.
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
			// Not known: it may be executed late. Ask again until it is
			// certain; nothing is placed there any more. Of a call of an earlier
			// leadership, another leader may have put work on the machine since.
			term.scaling.queueScaleIn(name)
		}
	}
	term.planning.requestRound()
}

// machineReturned forgets a machine that the cloud has taken back.
func (s *scaler) machineReturned(name string) {
	term := s.elector.leadership
	if m := term.fleet.Get(name); m != nil {
		s.planner.machineGone(m, "it was returned")
		s.forgetMachine(m)
	}
	term.heartbeats.departed.noteReturned(name, s.now)
	s.peers.connectivity.Workers.Forget(name, s.now)
	delete(term.scaling.booting, name)
	term.scaling.scaledInAt[name] = s.now
}

// forgetMachine drops a machine that is gone, and the prefetch that ran on it.
func (s *scaler) forgetMachine(m *fleet.Machine) {
	s.prefetcher.endPrefetch(m)
	s.elector.leadership.heartbeats.departed.noteRemoved(m, s.now)
	s.elector.leadership.fleet.Remove(m)
	s.peers.connectivity.Workers.Forget(m.Name, s.now)
}
