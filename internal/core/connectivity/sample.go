package connectivity

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Machine is where a worker is.
type Machine struct{ Name, Addr, Zone string }

// machinesPerZone is how many machines of a zone stand for it.
const machinesPerZone = 4

const (
	// probeInterval paces the probes while no link has failed, probeRetryInterval those of
	// machines that did not answer.
	probeInterval      = 400_000
	probeRetryInterval = 2 * second
	// staleTimeout is after how long without any success a machine makes room for one that
	// sends heartbeats.
	staleTimeout = 20 * second
)

// Sample is a bottom-k sample of each zone's machines by the hashes of their names:
// controllers that know the same machines sample the same, so that what two reach can be
// compared and a dead machine counts against both. A machine that has sent no recent
// heartbeats straight to this controller is probed.
type Sample struct {
	zones           map[string][]*sampledMachine // in the order of the hashes
	byName          map[string]*sampledMachine
	refreshInterval int64 // evidence older than this is renewed
	probedAt        int64 // when a machine was last probed to renew evidence
}

type sampledMachine struct {
	Machine
	hash     uint64
	link     Link
	addedAt  int64
	probedAt int64 // when it was last probed, 0 if never
	probing  bool  // a probe has not ended yet
	// epoch and seq are those of the last heartbeat that came straight from it.
	epoch, seq uint64
}

// NewSample makes a sample of machines that send a heartbeat once in each interval.
func NewSample(heartbeatInterval int64) Sample {
	return Sample{
		zones:           map[string][]*sampledMachine{},
		byName:          map[string]*sampledMachine{},
		refreshInterval: heartbeatInterval*3/2 + second,
	}
}

// RecordHeartbeat notes a heartbeat that came straight from a machine. One alone proves only
// the way from the machine. The next one in turn proves that the answer arrived as well, or
// the worker would have tried another controller.
func (s *Sample) RecordHeartbeat(machine Machine, epoch, seq uint64, now int64) {
	if !s.Add(machine, now) {
		return
	}
	m := s.byName[machine.Name]
	if epoch < m.epoch || epoch == m.epoch && seq <= m.seq {
		return // a delayed copy; a machine whose numbers have restarted is probed
	}
	if m.epoch == epoch && m.seq+1 == seq {
		m.link.RecordSuccess(now, now)
	}
	m.epoch, m.seq = epoch, seq
}

// Invalidate takes all evidence for outdated, as after this controller was suspended: anything
// may have changed meanwhile. All machines are probed at once.
func (s *Sample) Invalidate(now int64) {
	for _, m := range s.byName {
		m.link.RecordFailure(now, now, NoResponse)
		m.probedAt, m.probing, m.seq = 0, false, 0
	}
}

// Add notes that there is a machine, and reports whether it is in the sample.
func (s *Sample) Add(machine Machine, now int64) bool {
	if machine.Addr == "" || machine.Zone == "" {
		return false
	}
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

// makeRoom removes a machine from a zone that is full, if there is one with a higher hash than
// that of the new machine or without a success for long, and reports whether there is room.
func (s *Sample) makeRoom(zone string, hash uint64, now int64) bool {
	machines := s.zones[zone]
	if len(machines) < machinesPerZone {
		return true
	}
	out := machinesPerZone - 1
	if machines[out].hash <= hash {
		out = slices.IndexFunc(machines, func(m *sampledMachine) bool {
			return now-max(m.link.succeededAt, m.addedAt) > staleTimeout && m.link.down()
		})
	}
	if out < 0 {
		return false
	}
	delete(s.byName, machines[out].Name)
	s.zones[zone] = slices.Delete(machines, out, out+1)
	return true
}

// NeedsMachines reports whether some of the zones have fewer machines than are sampled.
func (s *Sample) NeedsMachines(zones []string) bool {
	return slices.ContainsFunc(zones, func(zone string) bool { return len(s.zones[zone]) < machinesPerZone })
}

// Machines are those of the sample, by zone.
func (s *Sample) Machines() (machines []Machine) {
	for _, zone := range s.Zones() {
		for _, m := range s.zones[zone] {
			machines = append(machines, m.Machine)
		}
	}
	return machines
}

// Zones are those of which there are machines, in order.
func (s *Sample) Zones() []string {
	zones := make([]string, 0, len(s.zones))
	for zone := range s.zones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// DueProbes are the machines to probe now: those that a failure in their zone makes urgent,
// and from time to time the one with the oldest evidence.
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
		oldest.probedAt = oldest.link.successSentAt // its heartbeats are evidence enough
		return due
	}
	return append(due, oldest.probe(now))
}

// newestFailure is when the newest request failed of a machine in a zone that is down.
func (s *Sample) newestFailure(zone string) (sentAt int64) {
	for _, m := range s.zones[zone] {
		if m.link.down() {
			sentAt = max(sentAt, m.link.failureSentAt)
		}
	}
	return sentAt
}

// lastKnown is when the request was sent that gave, or is to give, the newest evidence.
func (m *sampledMachine) lastKnown() int64 { return max(m.link.successSentAt, m.probedAt) }

// needsProbe reports whether a machine is to be probed without delay. One that is down is
// retried. When one fails that has worked, all of its zone that have not been probed since
// are: a single machine may have died, or all are cut off together.
func (m *sampledMachine) needsProbe(zoneFailureSentAt, now int64) bool {
	if m.link.down() {
		return now-m.probedAt >= probeRetryInterval
	}
	return zoneFailureSentAt > m.lastKnown()
}

// isOutdated reports whether a machine was never probed, or its evidence has to be renewed.
func (m *sampledMachine) isOutdated(now, refreshInterval int64) bool {
	return m.probedAt == 0 || now-m.lastKnown() >= refreshInterval
}

func (m *sampledMachine) probe(now int64) Machine {
	m.probedAt, m.probing = now, true
	return m.Machine
}

// RecordProbe notes how the probe of a machine ended.
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

// ReachableEighths is how many eighths of a zone's machines are reached; known is false while
// nothing was tried.
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

// IsFlapping reports whether at least half of the machines' links are flapping.
func (s *Sample) IsFlapping(now int64) bool {
	flapping := 0
	for _, m := range s.byName {
		if m.link.IsFlapping(now) {
			flapping++
		}
	}
	return flapping > 0 && 2*flapping >= len(s.byName)
}
