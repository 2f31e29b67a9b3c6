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

// Sample is a bottom-k sample of each zone's machines by the hash of their
// names: controllers that know of the same machines sample the same, so that
// what two reach can be compared, and a dead machine counts against both.
// A machine that has not reported here of late is asked.
type Sample struct {
	zones           map[string][]*sampledMachine
	byName          map[string]*sampledMachine
	refreshInterval int64 // evidence older than this is renewed
	probedAt        int64
}

type sampledMachine struct {
	Machine
	hash uint64
	link Link
	// probedAt is when it was last asked, 0 if never; asking that no answer came
	// yet.
	probedAt int64
	probing  bool
	addedAt  int64 // when it came into the sample
	// epoch and seq are of the last report that came straight from it.
	epoch, seq uint64
}

const (
	// probeInterval paces the questions while all is well, probeRetryInterval those to machines
	// that did not answer.
	probeInterval      = 400_000
	probeRetryInterval = 2 * second
	// staleTimeout is after how long without any proof a machine makes room for
	// one that reports.
	staleTimeout = 20 * second
)

// NewSample makes a sample of machines that report as often as given.
func NewSample(report int64) Sample {
	return Sample{zones: map[string][]*sampledMachine{}, byName: map[string]*sampledMachine{}, refreshInterval: report*3/2 + second}
}

// RecordHeartbeat notes a report that came straight from a machine, by its number. One
// alone proves only that it gets here. The next one in turn proves that the
// answer got there too, or its worker would have tried another controller.
func (s *Sample) RecordHeartbeat(m Machine, session, seq uint64, now int64) {
	if !s.Add(m, now) {
		return
	}
	x := s.byName[m.Name]
	if session < x.epoch || session == x.epoch && seq <= x.seq {
		return // a copy that comes late; a machine that counts anew is asked
	}
	if x.epoch == session && x.seq+1 == seq {
		x.link.RecordSuccess(now, now)
	}
	x.epoch, x.seq = session, seq
}

// Invalidate takes nothing for proven any more, as after this controller itself has
// stood still: everything may have changed meanwhile. All are asked at once.
func (s *Sample) Invalidate(now int64) {
	for _, x := range s.byName {
		x.link.RecordFailure(now, now, NoResponse)
		x.probedAt, x.probing, x.seq = 0, false, 0
	}
}

// Add notes that there is a machine, and says whether it is in the sample.
func (s *Sample) Add(m Machine, now int64) bool {
	if m.Addr == "" || m.Zone == "" {
		return false
	}
	if x := s.byName[m.Name]; x != nil {
		x.Addr = m.Addr
		return true
	}
	list := s.zones[m.Zone]
	h := xxh3.HashString(m.Name)
	if len(list) == machinesPerZone {
		out := machinesPerZone - 1
		if list[out].hash <= h {
			out = slices.IndexFunc(list, func(x *sampledMachine) bool {
				return now-max(x.link.succeededAt, x.addedAt) > staleTimeout && x.link.down()
			})
		}
		if out < 0 {
			return false
		}
		delete(s.byName, list[out].Name)
		list = slices.Delete(list, out, out+1)
	}
	x := &sampledMachine{Machine: m, hash: h, addedAt: now}
	at, _ := slices.BinarySearchFunc(list, h, func(x *sampledMachine, h uint64) int { return cmp.Compare(x.hash, h) })
	s.zones[m.Zone] = slices.Insert(list, at, x)
	s.byName[m.Name] = x
	return true
}

// NeedsMachines says whether some of the zones have fewer machines than are sampled.
func (s *Sample) NeedsMachines(zones []string) bool {
	return slices.ContainsFunc(zones, func(z string) bool { return len(s.zones[z]) < machinesPerZone })
}

// Machines are those of the sample.
func (s *Sample) Machines() (l []Machine) {
	for _, z := range s.Zones() {
		for _, x := range s.zones[z] {
			l = append(l, x.Machine)
		}
	}
	return l
}

// Zones are those that it has machines of, in order.
func (s *Sample) Zones() []string {
	l := make([]string, 0, len(s.zones))
	for z := range s.zones {
		l = append(l, z)
	}
	slices.Sort(l)
	return l
}

// DueProbes are the machines to ask now. One whose proof grows old is asked now and
// then; when one fails that worked, all of its zone that have not been asked
// since are asked at once, as one may have died and all are cut off together.
func (s *Sample) DueProbes(now int64) (due []Machine) {
	ask := func(x *sampledMachine) {
		x.probedAt, x.probing = now, true
		due = append(due, x.Machine)
	}
	var oldest *sampledMachine
	for _, z := range s.Zones() {
		failed := int64(0)
		for _, x := range s.zones[z] {
			if x.link.down() {
				failed = max(failed, x.link.failureSentAt)
			}
		}
		for _, x := range s.zones[z] {
			known := max(x.link.successSentAt, x.probedAt)
			switch {
			case x.probing:
			case x.link.down():
				if now-x.probedAt >= probeRetryInterval {
					ask(x)
				}
			case failed > known:
				ask(x)
			case (x.probedAt == 0 || now-known >= s.refreshInterval) && (oldest == nil || known < max(oldest.link.successSentAt, oldest.probedAt)):
				oldest = x
			}
		}
	}
	if oldest != nil && now-s.probedAt >= probeInterval {
		s.probedAt = now
		if x := oldest; x.link.succeededAt == 0 || now-x.link.successSentAt >= s.refreshInterval {
			ask(x)
		} else {
			x.probedAt = x.link.successSentAt // it reports by itself
		}
	}
	return due
}

// RecordProbe notes how a question to a machine ended.
func (s *Sample) RecordProbe(name string, sent, now int64, ok bool) {
	x := s.byName[name]
	if x == nil {
		return
	}
	x.probing = false
	if ok {
		x.link.RecordSuccess(sent, now)
	} else {
		x.link.RecordFailure(sent, now, NoResponse)
	}
}

// ReachableEighths is how many eighths of a zone's machines are reached; known is false
// where nothing was tried yet.
func (s *Sample) ReachableEighths(zone string) (n int, known bool) {
	tried, reached := 0, 0
	for _, x := range s.zones[zone] {
		if max(x.link.succeededAt, x.link.failedAt) == 0 {
			continue
		}
		tried++
		if !x.link.down() {
			reached++
		}
	}
	if tried == 0 {
		return 0, false
	}
	return reached * wholeZone / tried, true
}

// IsFlapping says whether half of the machines' links come and go.
func (s *Sample) IsFlapping(now int64) bool {
	flap := 0
	for _, x := range s.byName {
		if x.link.IsFlapping(now) {
			flap++
		}
	}
	return flap > 0 && 2*flap >= len(s.byName)
}

// wholeZone is what a zone counts that is reached as a whole.
const wholeZone = 8
