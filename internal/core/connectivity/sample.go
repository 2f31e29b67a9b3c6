package connectivity

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Machine is the machine of a worker, with its address and zone.
type Machine struct{ Name, Addr, Zone string }

// machinesPerZone is the maximum number of machines sampled per zone.
const machinesPerZone = 4

const (
	// probeInterval is the minimum time between two probes of any machines while no link has
	// failed, in microseconds; probeRetryInterval is the minimum time between two probes of
	// the same machine while it does not answer.
	probeInterval      = 400_000
	probeRetryInterval = 2 * second
	// staleTimeout is the time without any success after which a machine may be replaced by
	// one that sends heartbeats.
	staleTimeout = 20 * second
	// doubtTimeout is the time without any success after which the other controllers are asked
	// which machines they sample, and after which their information that a machine is gone is
	// accepted.
	doubtTimeout = 5 * second
	// forgottenRetention is the time for which a machine that is gone is not added again if
	// another controller samples it: that controller may not know yet that the machine is gone.
	forgottenRetention = 900 * second
)

// Sample is a bottom-k sample of each zone's machines by the hashes of their names. Controllers
// that know the same machines sample the same ones, so that the reach of two controllers can be
// compared and a dead machine counts against both. A machine that has sent no recent heartbeats
// directly to this controller is probed.
//
// A silent machine stays in the sample, however long it is silent: a controller that is cut off
// from a zone must not forget the zone's machines and then consider itself fully connected. A
// machine is removed when it is known to be gone ([Sample.Forget]), or when a controller that
// reaches more of its zone does not know it ([Sample.Merge]).
type Sample struct {
	zones           map[string][]*sampledMachine // sorted by hash
	byName          map[string]*sampledMachine
	forgottenAt     map[string]int64 // removal times of machines that are gone
	refreshInterval int64            // age from which evidence is renewed
	probedAt        int64            // time at which evidence was last renewed, by a probe or heartbeats
}

type sampledMachine struct {
	Machine
	hash     uint64
	link     Link
	addedAt  int64
	probedAt int64 // time of the last probe, 0 if never
	probing  bool  // a probe is in flight
	// epoch and seq are those of the last heartbeat that came directly from the machine.
	epoch, seq uint64
}

// NewSample returns an empty sample of machines that send one heartbeat per heartbeatInterval.
func NewSample(heartbeatInterval int64) Sample {
	return Sample{
		zones:           map[string][]*sampledMachine{},
		byName:          map[string]*sampledMachine{},
		forgottenAt:     map[string]int64{},
		refreshInterval: heartbeatInterval*3/2 + second,
	}
}

// RecordHeartbeat records a heartbeat that came directly from a machine. A single heartbeat proves
// only that messages from the machine arrive here. A second one with the next sequence number
// proves that the answer to the first arrived as well, since otherwise the worker would have tried
// another controller.
func (s *Sample) RecordHeartbeat(machine Machine, epoch, seq uint64, now int64) {
	if !s.Add(machine, now) {
		return
	}
	m := s.byName[machine.Name]
	if epoch < m.epoch || epoch == m.epoch && seq <= m.seq {
		return // a delayed copy, or the sequence numbers restarted; then a probe gives evidence
	}
	if m.epoch == epoch && m.seq+1 == seq {
		m.link.RecordSuccess(now, now)
	}
	m.epoch, m.seq = epoch, seq
}

// Invalidate marks all evidence as outdated, for example after this controller was suspended, since
// anything may have changed in that time. All machines are then due for a probe.
func (s *Sample) Invalidate(now int64) {
	for _, m := range s.byName {
		m.link.RecordFailure(now, now, NoResponse)
		m.probedAt, m.probing, m.seq = 0, false, 0
	}
}

// Add adds a machine if its zone has room for it, or updates the address of a machine that is
// already sampled, and reports whether the machine is in the sample.
func (s *Sample) Add(machine Machine, now int64) bool {
	if machine.Addr == "" || machine.Zone == "" {
		return false
	}
	delete(s.forgottenAt, machine.Name)
	if m := s.byName[machine.Name]; m != nil {
		m.Addr = machine.Addr
		return true
	}
	hash := xxh3.HashString(machine.Name)
	if !s.makeRoom(machine.Zone, hash, now) {
		return false
	}
	m := &sampledMachine{Machine: machine, hash: hash, addedAt: now}
	zone := s.zones[machine.Zone]
	at, _ := slices.BinarySearchFunc(zone, hash, func(m *sampledMachine, hash uint64) int { return cmp.Compare(m.hash, hash) })
	s.zones[machine.Zone] = slices.Insert(zone, at, m)
	s.byName[machine.Name] = m
	return true
}

// makeRoom reports whether a zone has room for a machine with the given hash. If the zone is full,
// it first removes a machine with a higher hash or, if there is none, one that is down and had no
// success for longer than staleTimeout.
func (s *Sample) makeRoom(zone string, hash uint64, now int64) bool {
	machines := s.zones[zone]
	if len(machines) < machinesPerZone {
		return true
	}
	replaced := machinesPerZone - 1
	if machines[replaced].hash <= hash {
		replaced = slices.IndexFunc(machines, func(m *sampledMachine) bool {
			return now-max(m.link.succeededAt, m.addedAt) > staleTimeout && m.link.down()
		})
	}
	if replaced < 0 {
		return false
	}
	s.remove(machines[replaced])
	return true
}

// remove removes a machine from the sample, and also its zone if no other machine of the zone is
// sampled.
func (s *Sample) remove(m *sampledMachine) {
	delete(s.byName, m.Name)
	s.zones[m.Zone] = slices.DeleteFunc(s.zones[m.Zone], func(other *sampledMachine) bool { return other == m })
	if len(s.zones[m.Zone]) == 0 {
		delete(s.zones, m.Zone)
	}
}

// Forget removes a machine from the sample that is known to be gone.
func (s *Sample) Forget(name string, now int64) {
	if m := s.byName[name]; m != nil {
		s.remove(m)
		s.forgottenAt[name] = now
	}
}

// ForgetUnlisted removes the machines that may be gone (isDoubted), are not in the cloud's list
// and have had no success since completeSince, the earliest time that the list may describe.
func (s *Sample) ForgetUnlisted(isListed func(name string) bool, completeSince, now int64) {
	for _, machine := range s.Machines() {
		m := s.byName[machine.Name]
		if !isListed(m.Name) && m.isDoubted(now) && max(m.link.succeededAt, m.addedAt) < completeSince {
			s.Forget(m.Name, now)
		}
	}
}

// isDoubted reports whether a machine is down and has had no success for doubtTimeout, so that it
// may be gone.
func (m *sampledMachine) isDoubted(now int64) bool {
	return m.link.down() && now-max(m.link.succeededAt, m.addedAt) >= doubtTimeout
}

// NeedsMachines reports whether the other controllers should be asked for machines: one of the
// zones has fewer than machinesPerZone, or a sampled machine may be gone.
func (s *Sample) NeedsMachines(zones []string, now int64) bool {
	isShort := func(zone string) bool { return len(s.zones[zone]) < machinesPerZone }
	if slices.ContainsFunc(zones, isShort) {
		return true
	}
	for _, m := range s.byName {
		if m.isDoubted(now) {
			return true
		}
	}
	return false
}

// Merge adds the machines that another controller samples, and returns the names of the machines
// that are gone according to that controller. eighths is the number of eighths of each zone that
// the other controller reaches.
func (s *Sample) Merge(machines []Machine, eighths map[string]int, now int64) (gone []string) {
	s.expireForgotten(now)
	listed := map[string][]Machine{}
	for _, machine := range machines {
		listed[machine.Zone] = append(listed[machine.Zone], machine)
	}
	for _, zone := range slices.Sorted(maps.Keys(listed)) {
		own, known := s.ReachableEighths(zone)
		reachesMore := known && eighths[zone] > own
		if reachesMore {
			gone = append(gone, s.forgetUnknown(zone, listed[zone], now)...)
		}
		for _, machine := range listed[zone] {
			s.mergeMachine(machine, reachesMore, now)
		}
	}
	return gone
}

// mergeMachine adds a machine that another controller samples. If that controller reaches more
// of the zone, the machine counts as unreachable until it answers. Otherwise, if the machine has
// replaced an unreachable one, the reach of the zone could be unknown until the first answer.
func (s *Sample) mergeMachine(machine Machine, reachesMore bool, now int64) {
	if known := s.byName[machine.Name]; known != nil {
		// The other controller may know an older address. Keep one that answers.
		if known.link.down() {
			known.Addr = machine.Addr
		}
		return
	}
	if s.forgottenAt[machine.Name] != 0 && !reachesMore {
		return
	}
	if s.Add(machine, now) && reachesMore {
		s.byName[machine.Name].link.RecordFailure(now, now, NoResponse)
	}
}

// forgetUnknown removes the machines of a zone that may be gone (isDoubted) and that another
// controller, which reaches more of the zone, does not list although it would sample them if it
// knew them.
func (s *Sample) forgetUnknown(zone string, listed []Machine, now int64) (gone []string) {
	highest := uint64(0)
	names := map[string]bool{}
	for _, machine := range listed {
		names[machine.Name] = true
		highest = max(highest, xxh3.HashString(machine.Name))
	}
	for _, m := range slices.Clone(s.zones[zone]) {
		wouldBeSampled := len(listed) < machinesPerZone || m.hash < highest
		if !names[m.Name] && wouldBeSampled && m.isDoubted(now) {
			s.Forget(m.Name, now)
			gone = append(gone, m.Name)
		}
	}
	return gone
}

// expireForgotten drops the entries of forgottenAt that are older than forgottenRetention.
func (s *Sample) expireForgotten(now int64) {
	maps.DeleteFunc(s.forgottenAt, func(_ string, at int64) bool { return now-at > forgottenRetention })
}

// Machines returns the sampled machines, ordered by zone.
func (s *Sample) Machines() (machines []Machine) {
	for _, zone := range s.Zones() {
		for _, m := range s.zones[zone] {
			machines = append(machines, m.Machine)
		}
	}
	return machines
}

// Zones returns the zones with sampled machines, sorted.
func (s *Sample) Zones() []string {
	zones := make([]string, 0, len(s.zones))
	for zone := range s.zones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// DueProbes returns the machines to probe now: those that a failure in their zone makes urgent, and
// once per probeInterval the one with the oldest evidence, if that is outdated.
func (s *Sample) DueProbes(now int64) (due []Machine) {
	var oldest *sampledMachine
	for _, zone := range s.Zones() {
		failureSentAt := s.newestFailure(zone)
		for _, m := range s.zones[zone] {
			switch {
			case m.probing:
			case m.needsProbe(failureSentAt, now):
				due = append(due, m.probe(now))
			case m.link.down():
			case m.isOutdated(now, s.refreshInterval) && (oldest == nil || m.lastKnown() < oldest.lastKnown()):
				oldest = m
			}
		}
	}
	if oldest == nil || now-s.probedAt < probeInterval {
		return due
	}
	s.probedAt = now
	if oldest.link.succeededAt != 0 && now-oldest.link.successSentAt < s.refreshInterval {
		oldest.probedAt = oldest.link.successSentAt // recent heartbeats make a probe unnecessary
		return due
	}
	return append(due, oldest.probe(now))
}

// newestFailure returns the send time of the newest failed request to those machines of a zone that
// are down, 0 if none is down.
func (s *Sample) newestFailure(zone string) (sentAt int64) {
	for _, m := range s.zones[zone] {
		if m.link.down() {
			sentAt = max(sentAt, m.link.failureSentAt)
		}
	}
	return sentAt
}

// lastKnown returns the send time of the newest request that was answered or of the last probe,
// whichever is later.
func (m *sampledMachine) lastKnown() int64 { return max(m.link.successSentAt, m.probedAt) }

// needsProbe reports whether a machine should be probed without delay. A machine that is down is
// retried every probeRetryInterval. When a machine that has worked fails, all machines of its zone
// without newer evidence are probed: the single machine may have died, or the whole zone may be
// cut off.
func (m *sampledMachine) needsProbe(zoneFailureSentAt, now int64) bool {
	if m.link.down() {
		return now-m.probedAt >= probeRetryInterval
	}
	return zoneFailureSentAt > m.lastKnown()
}

// isOutdated reports whether a machine was never probed, or its evidence is at least
// refreshInterval old.
func (m *sampledMachine) isOutdated(now, refreshInterval int64) bool {
	return m.probedAt == 0 || now-m.lastKnown() >= refreshInterval
}

func (m *sampledMachine) probe(now int64) Machine {
	m.probedAt, m.probing = now, true
	return m.Machine
}

// RecordProbe records the result of a probe of a machine.
func (s *Sample) RecordProbe(name string, sentAt, now int64, ok bool) {
	m := s.byName[name]
	if m == nil {
		return
	}
	m.probing = false
	if ok {
		m.link.RecordSuccess(sentAt, now)
	} else {
		m.link.RecordFailure(sentAt, now, NoResponse)
	}
}

// ReachableEighths returns the number of eighths of a zone's sampled machines that are reached.
// known is false as long as no request to any of them has been answered or has failed.
func (s *Sample) ReachableEighths(zone string) (eighths int, known bool) {
	tried, reached := 0, 0
	for _, m := range s.zones[zone] {
		if !m.link.tried() {
			continue
		}
		tried++
		if !m.link.down() {
			reached++
		}
	}
	if tried == 0 {
		return 0, false
	}
	return reached * wholeZone / tried, true
}

// IsFlapping reports whether the links to at least half of the sampled machines are flapping.
func (s *Sample) IsFlapping(now int64) bool {
	flapping := 0
	for _, m := range s.byName {
		if m.link.IsFlapping(now) {
			flapping++
		}
	}
	return flapping > 0 && 2*flapping >= len(s.byName)
}
