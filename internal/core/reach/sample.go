package reach

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Machine is where a worker is.
type Machine struct{ Name, Addr, Zone string }

// perZone is how many machines of a zone stand for it.
const perZone = 4

// Sample is a bottom-k sample of each zone's machines by the hash of their
// names: controllers that know of the same machines sample the same, so that
// what two reach can be compared, and a dead machine counts against both.
// A machine that has not reported here of late is asked.
type Sample struct {
	zones  map[string][]*sampled
	byName map[string]*sampled
	every  int64 // evidence older than this is renewed
	asked  int64
}

type sampled struct {
	Machine
	hash uint64
	link Link
	// asked is when it was last asked, 0 if never; asking that no answer came
	// yet.
	asked  int64
	asking bool
	since  int64 // when it came into the sample
	// session and seq are of the last report that came straight from it.
	session, seq uint64
}

const (
	// askGap paces the questions while all is well, retryGap those to machines
	// that did not answer.
	askGap   = 400_000
	retryGap = 2 * second
	// staleFor is after how long without any proof a machine makes room for
	// one that reports.
	staleFor = 20 * second
)

// NewSample makes a sample of machines that report as often as given.
func NewSample(report int64) Sample {
	return Sample{zones: map[string][]*sampled{}, byName: map[string]*sampled{}, every: report*3/2 + second}
}

// Heard notes a report that came straight from a machine, by its number. One
// alone proves only that it gets here. The next one in turn proves that the
// answer got there too, or its worker would have tried another controller.
func (s *Sample) Heard(m Machine, session, seq uint64, now int64) {
	if !s.Know(m, now) {
		return
	}
	x := s.byName[m.Name]
	if session < x.session || session == x.session && seq <= x.seq {
		return // a copy that comes late; a machine that counts anew is asked
	}
	if x.session == session && x.seq+1 == seq {
		x.link.Proven(now, now)
	}
	x.session, x.seq = session, seq
}

// Doubt takes nothing for proven any more, as after this controller itself has
// stood still: everything may have changed meanwhile. All are asked at once.
func (s *Sample) Doubt(now int64) {
	for _, x := range s.byName {
		x.link.Failed(now, now, Silent)
		x.asked, x.asking, x.seq = 0, false, 0
	}
}

// Know notes that there is a machine, and says whether it is in the sample.
func (s *Sample) Know(m Machine, now int64) bool {
	if m.Addr == "" || m.Zone == "" {
		return false
	}
	if x := s.byName[m.Name]; x != nil {
		x.Addr = m.Addr
		return true
	}
	list := s.zones[m.Zone]
	h := xxh3.HashString(m.Name)
	if len(list) == perZone {
		out := perZone - 1
		if list[out].hash <= h {
			out = slices.IndexFunc(list, func(x *sampled) bool { return now-max(x.link.okAt, x.since) > staleFor && x.link.down() })
		}
		if out < 0 {
			return false
		}
		delete(s.byName, list[out].Name)
		list = slices.Delete(list, out, out+1)
	}
	x := &sampled{Machine: m, hash: h, since: now}
	at, _ := slices.BinarySearchFunc(list, h, func(x *sampled, h uint64) int { return cmp.Compare(x.hash, h) })
	s.zones[m.Zone] = slices.Insert(list, at, x)
	s.byName[m.Name] = x
	return true
}

// Lacks says whether some of the zones have fewer machines than are sampled.
func (s *Sample) Lacks(zones []string) bool {
	return slices.ContainsFunc(zones, func(z string) bool { return len(s.zones[z]) < perZone })
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

// Due are the machines to ask now. One whose proof grows old is asked now and
// then; when one fails that worked, all of its zone that have not been asked
// since are asked at once, as one may have died and all are cut off together.
func (s *Sample) Due(now int64) (due []Machine) {
	ask := func(x *sampled) {
		x.asked, x.asking = now, true
		due = append(due, x.Machine)
	}
	var oldest *sampled
	for _, z := range s.Zones() {
		failed := int64(0)
		for _, x := range s.zones[z] {
			if x.link.down() {
				failed = max(failed, x.link.bad)
			}
		}
		for _, x := range s.zones[z] {
			known := max(x.link.ok, x.asked)
			switch {
			case x.asking:
			case x.link.down():
				if now-x.asked >= retryGap {
					ask(x)
				}
			case failed > known:
				ask(x)
			case (x.asked == 0 || now-known >= s.every) && (oldest == nil || known < max(oldest.link.ok, oldest.asked)):
				oldest = x
			}
		}
	}
	if oldest != nil && now-s.asked >= askGap {
		s.asked = now
		if x := oldest; x.link.okAt == 0 || now-x.link.ok >= s.every {
			ask(x)
		} else {
			x.asked = x.link.ok // it reports by itself
		}
	}
	return due
}

// Answered notes how a question to a machine ended.
func (s *Sample) Answered(name string, sent, now int64, ok bool) {
	x := s.byName[name]
	if x == nil {
		return
	}
	x.asking = false
	if ok {
		x.link.Proven(sent, now)
	} else {
		x.link.Failed(sent, now, Silent)
	}
}

// Eighths is how many eighths of a zone's machines are reached; known is false
// where nothing was tried yet.
func (s *Sample) Eighths(zone string) (n int, known bool) {
	tried, reached := 0, 0
	for _, x := range s.zones[zone] {
		if max(x.link.okAt, x.link.badAt) == 0 {
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
	return reached * full / tried, true
}

// Flap says whether half of the machines' links come and go.
func (s *Sample) Flap(now int64) bool {
	flap := 0
	for _, x := range s.byName {
		if x.link.Flaps(now) {
			flap++
		}
	}
	return flap > 0 && 2*flap >= len(s.byName)
}

// full is what a zone counts that is reached as a whole.
const full = 8
