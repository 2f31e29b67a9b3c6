package connectivity

import (
	"fmt"
	"testing"
)

// TestLinkState: what a link is taken to be, by its evidence.
func TestLinkState(t *testing.T) {
	ok := func(sent, now int64) func(*Link) {
		return func(l *Link) { l.RecordSuccess(sent*second/10, now*second/10) }
	}
	bad := func(sent, now int64, how Failure) func(*Link) {
		return func(l *Link) { l.RecordFailure(sent*second/10, now*second/10, how) }
	}
	cases := []struct {
		name string
		did  []func(*Link)
		now  int64
		want LinkState
	}{
		{"nothing tried", nil, 10, Unknown},
		{"answered", []func(*Link){ok(10, 11)}, 20, Up},
		{"answered long ago", []func(*Link){ok(10, 11)}, 200, Unknown},
		{"no answer since", []func(*Link){ok(10, 11), bad(20, 30, NoResponse)}, 31, Lost},
		{"refusing", []func(*Link){ok(10, 11), bad(20, 21, Refused)}, 31, Refusing},
		{"an answer to a request from before the failure", []func(*Link){bad(20, 30, NoResponse), ok(10, 31)}, 32, Lost},
		{"a late failure of an older request", []func(*Link){ok(20, 21), bad(10, 30, NoResponse)}, 32, Up},
		{"back", []func(*Link){ok(10, 11), bad(20, 30, NoResponse), ok(40, 41)}, 42, Up},
		{"slow", []func(*Link){ok(10, 30), ok(40, 60), ok(70, 90), ok(100, 120)}, 121, Slow},
		{"flapping", []func(*Link){ok(1, 1), bad(10, 20, NoResponse), ok(30, 30), bad(40, 50, NoResponse), ok(60, 60)}, 61, Flapping},
		{"flapped long ago", []func(*Link){ok(1, 1), bad(10, 20, NoResponse), ok(30, 30), bad(40, 50, NoResponse), ok(60, 60), ok(500, 500)}, 501, Up},
	}
	for _, tc := range cases {
		var l Link
		for _, f := range tc.did {
			f(&l)
		}
		if got := l.State(tc.now*second/10, 10*second); got != tc.want {
			t.Errorf("%s: %v, not %v", tc.name, got, tc.want)
		}
	}
}

// TestSample: which machines stand for a zone, when they are probed, and how much of the zone
// counts as reached.
func TestSample(t *testing.T) {
	m := func(i int) Machine {
		return Machine{Name: fmt.Sprintf("host-%03d", i), Addr: "x", Zone: "a"}
	}
	a, b := NewSample(2*second), NewSample(2*second)
	for i := range 40 {
		a.Add(m(i), 1)
		b.Add(m(39-i), 1)
	}
	if x, y := fmt.Sprint(a.Machines()), fmt.Sprint(b.Machines()); x != y || len(a.Machines()) != machinesPerZone {
		t.Fatalf("two that know the same machines sample %s and %s", x, y)
	}
	if _, known := a.ReachableEighths("a"); known {
		t.Error("a zone is known though nothing was tried")
	}
	// All are probed, one after the other, until there is evidence of each.
	now := second
	answer := func(s *Sample, ok func(name string) bool) (probed int) {
		for _, x := range s.DueProbes(now) {
			probed++
			s.RecordProbe(x.Name, now, now, ok(x.Name))
		}
		now += probeInterval
		return probed
	}
	all := func(string) bool { return true }
	for range 2 * machinesPerZone {
		if n := answer(&a, all); n > 1 {
			t.Errorf("%d are probed at once while nothing has failed", n)
		}
	}
	if n, known := a.ReachableEighths("a"); !known || n != wholeZone {
		t.Errorf("all have answered: %d eighths, %v", n, known)
	}
	// One fails: the rest of its zone is probed at once.
	dead := a.Machines()[0].Name
	one := func(name string) bool { return name != dead }
	now += a.refreshInterval
	for range 2 * machinesPerZone {
		answer(&a, one)
	}
	if n, _ := a.ReachableEighths("a"); n != wholeZone*(machinesPerZone-1)/machinesPerZone {
		t.Errorf("one of %d does not answer: %d eighths", machinesPerZone, n)
	}
	none := func(string) bool { return false }
	now += a.refreshInterval
	most := 0
	for range 2 * machinesPerZone {
		most = max(most, answer(&a, none))
	}
	if n, _ := a.ReachableEighths("a"); n != 0 || most < machinesPerZone-2 {
		t.Errorf("none answers: %d eighths, %d probed at once", n, most)
	}
	// A machine that sends heartbeats takes the place of one that has long been dead.
	now += staleTimeout
	spare := m(39)
	for i := 0; a.byName[spare.Name] != nil; i++ {
		spare = m(i)
	}
	if !a.Add(spare, now) || a.byName[dead] != nil && len(a.Machines()) != machinesPerZone {
		t.Error("a machine that is there finds no room beside dead ones")
	}
	// Heartbeats: one alone proves nothing, two in turn do, two with a gap do not.
	a.RecordHeartbeat(spare, 1, 7, now)
	if n, _ := a.ReachableEighths("a"); n != 0 {
		t.Errorf("one heartbeat alone: %d eighths", n)
	}
	a.RecordHeartbeat(spare, 1, 9, now)
	if n, _ := a.ReachableEighths("a"); n != 0 {
		t.Errorf("its worker was elsewhere in between: %d eighths", n)
	}
	a.RecordHeartbeat(spare, 1, 10, now)
	if n, _ := a.ReachableEighths("a"); n != wholeZone/machinesPerZone {
		t.Errorf("two heartbeats in turn: %d eighths", n)
	}
	a.Invalidate(now + second)
	if n, _ := a.ReachableEighths("a"); n != 0 || len(a.DueProbes(now+second)) != machinesPerZone {
		t.Errorf("after being suspended: %d eighths", n)
	}
}

// reaching is the advertisement of a controller that reaches some of two zones, and peers.
func reaching(a, b int, peers ...string) Advertisement {
	return Advertisement{ReachableEighths: map[string]int{"a": a, "b": b}, Peers: peers}
}

// TestBetterLeader: who should lead instead of n0.
func TestBetterLeader(t *testing.T) {
	flapping := reaching(8, 8)
	flapping.Flapping = true
	cases := []struct {
		name   string
		matrix Matrix
		want   string
	}{
		{"all well", Matrix{"n0": reaching(8, 8, "n1", "n2"), "n1": reaching(8, 8, "n0", "n2"), "n2": reaching(8, 8, "n0", "n1")}, ""},
		{"no workers, and others that are not reached", Matrix{"n0": reaching(0, 0), "n1": reaching(8, 8, "n2"), "n2": reaching(8, 8, "n1")}, "n1"},
		{"no workers, but through another", Matrix{"n0": reaching(0, 0, "n1"), "n1": reaching(8, 8, "n0", "n2"), "n2": reaching(8, 8, "n1")}, ""},
		{"no workers, but through two others", Matrix{"n0": reaching(0, 0, "n1"), "n1": reaching(0, 0, "n0", "n2"), "n2": reaching(8, 8, "n1")}, ""},
		{"through three is too far", Matrix{"n0": reaching(0, 0, "n1"), "n1": reaching(0, 0, "n0", "n2"), "n2": reaching(0, 0, "n1", "n3"), "n3": reaching(8, 8, "n2")}, "n1"},
		{"it reaches another that does not reach it", Matrix{"n0": reaching(0, 0, "n1"), "n1": reaching(8, 8)}, "n1"},
		{"every worker is cut off from all", Matrix{"n0": reaching(0, 0), "n1": reaching(0, 0), "n2": reaching(0, 0)}, ""},
		{"one zone of two", Matrix{"n0": reaching(8, 0), "n1": reaching(8, 8)}, "n1"},
		{"a machine fewer", Matrix{"n0": reaching(8, 6), "n1": reaching(8, 8)}, ""},
		{"another zone each", Matrix{"n0": reaching(8, 0), "n1": reaching(0, 8)}, ""},
		{"one zone by another way each", Matrix{"n0": reaching(8, 0, "n2"), "n1": reaching(8, 0), "n2": reaching(0, 8, "n0")}, ""},
		{"the better one is flapping", Matrix{"n0": reaching(0, 0), "n1": flapping}, ""},
		{"alone", Matrix{"n0": reaching(0, 0)}, ""},
		{"an older controller advertises nothing", Matrix{"n0": reaching(8, 8), "n1": {}}, ""},
		{"nothing known here yet", Matrix{"n0": {}, "n1": reaching(8, 8)}, ""},
		{"the most of two", Matrix{"n0": reaching(0, 0), "n1": reaching(8, 0), "n2": reaching(8, 8)}, "n2"},
	}
	for _, tc := range cases {
		if got := tc.matrix.BetterLeader("n0"); got != tc.want {
			t.Errorf("%s: %q, not %q", tc.name, got, tc.want)
		}
	}
}

// handovers plays the links of a leader n0 with a peer that reaches all workers, while n0
// reaches them or not, and returns when it hands over.
func handovers(t *testing.T, seconds int64, reaches func(now int64) bool, step func(l *Links, now int64)) (handedOver []int64) {
	t.Helper()
	l := NewLinks("n0", "b", []string{"n1"}, 2*second)
	l.Workers.Add(Machine{"host", "x", "a"}, 1)
	l.SetStored("n1", &Advertisement{ReachableEighths: map[string]int{"a": 8}})
	l.RecordHandover(1)
	for now := second; now < seconds*second; now += 200_000 {
		l.Workers.RecordProbe("host", now, now, reaches(now))
		l.Reads.RecordSuccess(now, now)
		if step != nil {
			step(l, now)
		}
		l.Refresh(now)
		if to, _ := l.HandoverTarget(now); to != "" {
			handedOver = append(handedOver, now)
			l.RecordHandover(now)             // n1 leads
			l.RecordHandover(now + 10*second) // and for some reason this one again
		}
	}
	return handedOver
}

// TestHandoverTarget: a better leader has to be seen for a while, the longer the more often the
// leadership has changed; flapping links do not carry it along.
func TestHandoverTarget(t *testing.T) {
	never := func(int64) bool { return false }
	at := handovers(t, 20, never, nil)
	if len(at) == 0 || at[0] < second+baseHandoverDelay || at[0] > 4*second {
		t.Errorf("handed over at %v", at)
	}
	if at = handovers(t, 120, never, nil); len(at) > 12 {
		t.Errorf("%d handovers in two minutes", len(at))
	}
	if at = handovers(t, 60, func(int64) bool { return true }, nil); len(at) != 0 {
		t.Errorf("handed over with all links up at %v", at)
	}
	for _, interval := range []int64{1, 2, 5, 10} {
		at = handovers(t, 120, func(now int64) bool { return now/second/interval%2 == 0 }, nil)
		if len(at) > 6 {
			t.Errorf("a link that flaps every %d s: %d handovers", interval, len(at))
		}
	}
	// Writes that are refused while reads are answered.
	refused := func(l *Links, now int64) { l.Writes.RecordFailure(now, now, Refused) }
	up := func(int64) bool { return true }
	if at = handovers(t, 30, up, refused); len(at) == 0 || at[0] < writeFailureTimeout {
		t.Errorf("writes refused here alone: handed over at %v", at)
	}
	outage := func(l *Links, now int64) {
		l.Writes.RecordFailure(now+1, now+1, Refused)
		l.Reads.RecordFailure(now+1, now+1, Refused)
	}
	if at = handovers(t, 30, up, outage); len(at) != 0 {
		t.Errorf("handed over in an outage at %v", at)
	}
}

// TestPendingAdvertisement: an advertisement is stored on change, at a rate that falls while it
// keeps changing.
func TestPendingAdvertisement(t *testing.T) {
	l := NewLinks("n0", "b", []string{"n1"}, 2*second)
	stored := 0
	for now := second; now < 120*second; now += 200_000 {
		if now/second%10 < 5 {
			l.RecordPing("n1", now, now, true, nil)
		}
		l.Refresh(now)
		if local, pending := l.PendingAdvertisement(now); pending {
			l.MarkAdvertised(local, now)
			stored++
		}
	}
	if stored < 3 || stored > 15 {
		t.Errorf("a peer that flaps for two minutes: %d stored", stored)
	}
	now := 200 * second
	l.RecordPing("n1", now, now, true, nil)
	l.Refresh(now)
	if local, pending := l.PendingAdvertisement(now); pending {
		l.MarkAdvertised(local, now)
	}
	l.Refresh(now + second)
	if _, pending := l.PendingAdvertisement(now + 100*second); pending {
		t.Error("nothing has changed")
	}
	l.ClearAdvertised()
	if _, pending := l.PendingAdvertisement(now + 100*second); !pending {
		t.Error("its lease has expired, and it is not stored again")
	}
}

// TestIsolated: a controller is isolated that neither the state service nor a peer answers; a
// refusal may be an outage for all controllers, which must not all turn users away.
func TestIsolated(t *testing.T) {
	cases := []struct {
		name  string
		how   Failure
		peers bool
		want  bool
	}{
		{"no response and no peer", NoResponse, false, true},
		{"no response and a peer", NoResponse, true, false},
		{"refused and no peer", Refused, false, false},
	}
	for _, tc := range cases {
		l := NewLinks("n0", "b", []string{"n1"}, 2*second)
		l.Reads.RecordSuccess(second, second)
		l.Lease.RecordFailure(2*second, 3*second, tc.how)
		if tc.peers {
			l.RecordPing("n1", 3*second, 3*second, true, nil)
		}
		if got := l.Isolated(4 * second); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
		l.Reads.RecordSuccess(4*second, 4*second)
		if l.Isolated(4*second + 1) {
			t.Errorf("%s: isolated though the state service has answered", tc.name)
		}
	}
}

// TestRelays: by which controller a heartbeat gets to a leader, and which zones one can't reach.
func TestRelays(t *testing.T) {
	l := NewLinks("n0", "b", []string{"n1", "n2"}, 2*second)
	now := 10 * second
	advertise := func(name string, v Advertisement) {
		l.RecordPing(name, now, now, true, &v)
		l.SetStored(name, &v)
		l.RecordInbound(name, now)
	}
	advertise("n1", reaching(8, 0, "n0", "n2"))
	advertise("n2", reaching(8, 8, "n0"))
	l.Refresh(now)
	if l.RelayTo("n2") != "n1" || l.RelayTo("n1") != "" {
		t.Errorf("relays to n2 %q, to n1 %q", l.RelayTo("n2"), l.RelayTo("n1"))
	}
	if l.CannotReachZone("n1", "a") || !l.CannotReachZone("n1", "b") || l.CannotReachZone("n2", "b") || !l.CannotReachMostZones("n1") || l.CannotReachMostZones("n2") {
		t.Error("n1 reaches nothing in b, n2 does")
	}
	advertise("n2", reaching(8, 0, "n0"))
	l.Refresh(now)
	if l.CannotReachZone("n1", "b") {
		t.Error("nobody reaches b, so it is not n1's link")
	}
	l.Refresh(now + 4*second)
	if l.RelayTo("n2") != "" {
		t.Error("a relay by a peer that has not answered for long")
	}
}
