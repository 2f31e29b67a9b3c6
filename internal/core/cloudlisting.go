package core

import (
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
)

// Once the cloud has listed a machine, it lists the machine until the machine is gone. A list
// without the machine proves that the machine is gone, but only if this list describes a later time
// than a list with the machine: lists lag, a list may describe an earlier time than the list before
// it, and the pages of one list may describe different times. The time that a list describes is
// known within bounds: it is no later than the answer, and no earlier than twice the lag before the
// request. A machine's ages in two lists give the exact time between them, so the bounds get
// narrower with each list.

// The statuses of a listed machine that are handled specially.
const (
	cloudMachineFailed  = "failed"
	cloudMachineRunning = "running"
)

const (
	// listingMargin is the minimum time from the last list with a machine to a list without
	// it that proves the machine to be gone, as ages are given in fractions of a second.
	listingMargin = second
	// clockDriftDivisor divides a duration to give the maximum drift between the cloud's
	// clock and the local clock over that duration.
	clockDriftDivisor = 1000
	// scaledInRetention is the maximum time for which a returned machine may still be listed.
	scaledInRetention = 120 * second
	// unlistedBootTimeout, plus four times the list lag, is the time after the rental of a
	// machine for which it may be missing from the list while it boots. unlistedTimeout is the
	// time without a heartbeat after which an unlisted machine without work is removed.
	unlistedBootTimeout = 60 * second
	unlistedTimeout     = 90 * second
)

// listedAge is the age of a machine in a list, with bounds on the time that this list entry
// describes: a time between from and to.
type listedAge struct{ from, to, age int64 }

// after returns the entry for another age of the same machine, with the narrowest bounds that
// follow from this entry and from the bounds of the other list.
func (a listedAge) after(age, from, to int64) listedAge {
	ageDifference := age - a.age
	drift := max(ageDifference, -ageDifference) / clockDriftDivisor
	return listedAge{
		from: max(from, a.from+ageDifference-drift),
		to:   min(to, a.to+ageDifference+drift),
		age:  age,
	}
}

// cloudListings keeps the newest list entry of each machine.
type cloudListings struct{ entries map[string]listedAge }

// update merges a list into the entries and returns the names of the machines that the list proves
// to be gone. The list is sorted by name and describes times between from and to.
func (c *cloudListings) update(from, to int64, list []CloudMachine) (gone []string) {
	if c.entries == nil {
		c.entries = map[string]listedAge{}
	}
	ages := make([]listedAge, len(list))
	for i := range list {
		ages[i] = listedAge{from, to, list[i].Age}
		if old, ok := c.entries[list[i].Name]; ok {
			ages[i] = old.after(list[i].Age, from, to)
		}
	}
	for name, old := range c.entries {
		i, found := slices.BinarySearchFunc(list, name, func(m CloudMachine, n string) int { return strings.Compare(m.Name, n) })
		if found || len(list) == 0 {
			continue
		}
		// The machine would be on the page of the entry before it or of the one after it.
		if min(ages[max(i-1, 0)].from, ages[min(i, len(list)-1)].from) > old.to+listingMargin {
			gone = append(gone, name)
			delete(c.entries, name)
		}
	}
	for i := range list {
		if old, ok := c.entries[list[i].Name]; !ok || list[i].Age > old.age {
			c.entries[list[i].Name] = ages[i]
		}
	}
	slices.Sort(gone)
	return gone
}

// onMachinesListed compares the cloud's list with the known machines.
func (s *scaler) onMachinesListed(m MachinesListed) {
	s.cloud.cloudCallEnded(m.ViaPeer, m.Err)
	if !s.elector.leadsWithToken(m.FencingToken) {
		return
	}
	state := &s.elector.leadership.scaling
	state.listing = false
	state.callsRunning--
	if m.Err != nil {
		state.listFailedAt = s.now
		return
	}
	listed := make(map[string]bool, len(m.List))
	for i := range m.List {
		listed[m.List[i].Name] = true
		s.recordListed(&m.List[i])
	}
	state.listedAt = s.now
	earliest := state.listStartedAt - 2*config.MicrosOf(s.settings.Cloud.ListLagS) - second
	s.forgetReclaimed(state.listings.update(earliest, s.now, m.List))
	for name, at := range state.scaledInAt {
		if s.now-at > scaledInRetention {
			delete(state.scaledInAt, name)
		}
	}
	for _, machine := range s.elector.leadership.fleet.All() {
		machine.InCloudList = listed[machine.Name]
	}
	s.forgetUnlisted(listed)
	if len(m.List) > 0 {
		isListed := func(name string) bool { return listed[name] }
		s.peers.connectivity.Workers.ForgetUnlisted(isListed, earliest, s.now)
	}
}

// recordListed applies the list entry of one machine.
func (s *scaler) recordListed(listed *CloudMachine) {
	state := &s.elector.leadership.scaling
	machine := s.elector.leadership.fleet.Get(listed.Name)
	if machine != nil && machine.Addr == "" {
		machine.Addr = listed.Addr // no heartbeat was received, but commands may have to be sent to it
	}
	switch {
	case listed.Status == cloudMachineFailed:
		delete(state.booting, listed.Name)
		s.queueScaleIn(listed.Name)
	case state.scaledInAt[listed.Name] != 0:
		// The list lags: the scale-in was already confirmed.
	case machine != nil && machine.LastHeartbeat != 0:
		delete(state.booting, listed.Name)
	default:
		booting, ok := state.booting[listed.Name]
		if !ok {
			offer := machineOffer{listed.Type, listed.Zone, listed.Spot}
			booting = bootingMachine{machineOffer: offer, since: s.now - listed.Age}
		}
		booting.listedRunning = booting.listedRunning || listed.Status == cloudMachineRunning
		state.booting[listed.Name] = booting
	}
}

// forgetUnlisted removes machines without work that the cloud does not list and that send no
// heartbeats, and booting machines that are not listed in time.
func (s *scaler) forgetUnlisted(listed map[string]bool) {
	term := s.elector.leadership
	bootTimeout := unlistedBootTimeout + 4*config.MicrosOf(s.settings.Cloud.ListLagS)
	for name, booting := range term.scaling.booting {
		if !listed[name] && s.now-booting.since > bootTimeout {
			delete(term.scaling.booting, name)
		}
	}
	shouldForget := func(m *fleet.Machine) bool {
		return !m.InCloudList && len(m.Placed) == 0 && s.now-max(m.LastHeartbeat, term.since) > unlistedTimeout
	}
	for _, m := range slices.Clone(term.fleet.All()) {
		if shouldForget(m) {
			s.forgetMachine(m)
		}
	}
}

// forgetReclaimed removes machines that the list proves to be gone, and clears their tasks. These
// are spot machines that were reclaimed without notice, whose loss would otherwise be known only
// when their leases expire.
func (s *scaler) forgetReclaimed(names []string) {
	term := s.elector.leadership
	for _, name := range names {
		delete(term.scaling.booting, name)
		m := term.fleet.Get(name)
		if m == nil || m.Releasing {
			continue // the result of the pending scale-in will handle it
		}
		s.log.Info("the cloud no longer lists a machine", "machine", name, "tasks", len(m.Placed))
		s.planner.machineGone(m, "the cloud no longer lists it")
		s.forgetMachine(m)
		term.heartbeats.departed.recordReturned(name, s.now)
		term.planning.requestRound()
	}
}
