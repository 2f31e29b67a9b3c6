package connectivity

import (
	"fmt"
	"testing"
)

// TestLinkState checks the estimated state of a link after answers and failures.
func TestLinkState(t *testing.T) {
	success := func(sent, now int64) func(*Link) {
		return func(l *Link) { l.RecordSuccess(sent*second/10, now*second/10) }
	}
	failure := func(sent, now int64, kind Failure) func(*Link) {
		return func(l *Link) { l.RecordFailure(sent*second/10, now*second/10, kind) }
	}
	cases := []struct {
		name   string
		events []func(*Link)
		now    int64 // in tenths of a second, like the times of the events
		want   LinkState
	}{
		{"no request yet", nil, 10, Unknown},
		{"answered", []func(*Link){success(10, 11)}, 20, Up},
		{"evidence too old", []func(*Link){success(10, 11)}, 200, Unknown},
		{"no response to the newest request", []func(*Link){success(10, 11), failure(20, 30, NoResponse)}, 31, Lost},
		{"refused", []func(*Link){success(10, 11), failure(20, 21, Refused)}, 31, Refusing},
		{"late answer to a request before the failed one", []func(*Link){failure(20, 30, NoResponse), success(10, 31)}, 32, Lost},
		{"late failure of a request before the answered one", []func(*Link){success(20, 21), failure(10, 30, NoResponse)}, 32, Up},
		{"recovered", []func(*Link){success(10, 11), failure(20, 30, NoResponse), success(40, 41)}, 42, Up},
		{"slow", []func(*Link){success(10, 30), success(40, 60), success(70, 90), success(100, 120)}, 121, Slow},
		{"flapping", []func(*Link){success(1, 1), failure(10, 20, NoResponse), success(30, 30), failure(40, 50, NoResponse), success(60, 60)}, 61, Flapping},
		{"no longer flapping", []func(*Link){success(1, 1), failure(10, 20, NoResponse), success(30, 30), failure(40, 50, NoResponse), success(60, 60), success(500, 500)}, 501, Up},
	}
	for _, tc := range cases {
		var l Link
		for _, event := range tc.events {
			event(&l)
		}
		if got := l.State(tc.now*second/10, 10*second); got != tc.want {
			t.Errorf("%s: got state %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestSample checks which machines of a zone are sampled, when they are probed, and how much of the
// zone counts as reached.
func TestSample(t *testing.T) {
	machine := func(i int) Machine {
		return Machine{Name: fmt.Sprintf("host-%03d", i), Addr: "x", Zone: "a"}
	}
	sample, other := NewSample(2*second), NewSample(2*second)
	for i := range 40 {
		sample.Add(machine(i), 1)
		other.Add(machine(39-i), 1)
	}
	if got, otherGot := fmt.Sprint(sample.Machines()), fmt.Sprint(other.Machines()); got != otherGot || len(sample.Machines()) != machinesPerZone {
		t.Fatalf("two controllers that know the same machines sample %s and %s, want the same %d", got, otherGot, machinesPerZone)
	}
	if _, known := sample.ReachableEighths("a"); known {
		t.Error("before any probe: got a known reach of the zone, want unknown")
	}
	// All machines are probed, one after the other, until there is evidence for each.
	now := second
	answer := func(s *Sample, ok func(name string) bool) (probed int) {
		for _, due := range s.DueProbes(now) {
			probed++
			s.RecordProbe(due.Name, now, now, ok(due.Name))
		}
		now += probeInterval
		return probed
	}
	all := func(string) bool { return true }
	for range 2 * machinesPerZone {
		if n := answer(&sample, all); n > 1 {
			t.Errorf("%d machines probed at once while none has failed, want at most 1", n)
		}
	}
	if eighths, known := sample.ReachableEighths("a"); !known || eighths != wholeZone {
		t.Errorf("all machines have answered: got %d eighths, known %v, want %d, known true", eighths, known, wholeZone)
	}
	// One machine fails: the rest of its zone is probed at once.
	dead := sample.Machines()[0].Name
	allButOne := func(name string) bool { return name != dead }
	now += sample.refreshInterval
	for range 2 * machinesPerZone {
		answer(&sample, allButOne)
	}
	if eighths, _ := sample.ReachableEighths("a"); eighths != wholeZone*(machinesPerZone-1)/machinesPerZone {
		t.Errorf("one of %d machines does not answer: got %d eighths, want %d", machinesPerZone, eighths, wholeZone*(machinesPerZone-1)/machinesPerZone)
	}
	none := func(string) bool { return false }
	now += sample.refreshInterval
	most := 0
	for range 2 * machinesPerZone {
		most = max(most, answer(&sample, none))
	}
	if eighths, _ := sample.ReachableEighths("a"); eighths != 0 || most < machinesPerZone-2 {
		t.Errorf("no machine answers: got %d eighths and %d probed at once, want 0 and at least %d", eighths, most, machinesPerZone-2)
	}
	// A machine that sends heartbeats replaces one without any success for staleTimeout.
	now += staleTimeout
	spare := machine(39)
	for i := 0; sample.byName[spare.Name] != nil; i++ {
		spare = machine(i)
	}
	if !sample.Add(spare, now) || sample.byName[dead] != nil && len(sample.Machines()) != machinesPerZone {
		t.Errorf("after a heartbeat of %s: sampled %v, want %s among them in place of the dead %s", spare.Name, sample.Machines(), spare.Name, dead)
	}
	// Two heartbeats with consecutive sequence numbers prove that a machine is reached. A
	// single one does not, nor do two with a gap.
	sample.RecordHeartbeat(spare, 1, 7, now)
	if eighths, _ := sample.ReachableEighths("a"); eighths != 0 {
		t.Errorf("after a single heartbeat: got %d eighths, want 0", eighths)
	}
	sample.RecordHeartbeat(spare, 1, 9, now)
	if eighths, _ := sample.ReachableEighths("a"); eighths != 0 {
		t.Errorf("after heartbeats with a gap: got %d eighths, want 0", eighths)
	}
	sample.RecordHeartbeat(spare, 1, 10, now)
	if eighths, _ := sample.ReachableEighths("a"); eighths != wholeZone/machinesPerZone {
		t.Errorf("after two consecutive heartbeats: got %d eighths, want %d", eighths, wholeZone/machinesPerZone)
	}
	sample.Invalidate(now + second)
	if eighths, _ := sample.ReachableEighths("a"); eighths != 0 || len(sample.DueProbes(now+second)) != machinesPerZone {
		t.Errorf("after Invalidate: got %d eighths, or not all machines due for a probe; want 0 eighths and %d due probes", eighths, machinesPerZone)
	}
}

// reaching returns the advertisement of a controller that reaches a and b eighths of the zones "a"
// and "b", and the given peers.
func reaching(a, b int, peers ...string) Advertisement {
	return Advertisement{ReachableEighths: map[string]int{"a": a, "b": b}, Peers: peers}
}

// TestBetterLeader checks which controller should lead instead of n0.
func TestBetterLeader(t *testing.T) {
	flapping := reaching(8, 8)
	flapping.Flapping = true
	cases := []struct {
		name   string
		matrix Matrix
		want   string
	}{
		{"all links up", Matrix{"n0": reaching(8, 8, "n1", "n2"), "n1": reaching(8, 8, "n0", "n2"), "n2": reaching(8, 8, "n0", "n1")}, ""},
		{"n0 reaches no workers, and no controller reaches it", Matrix{"n0": reaching(0, 0), "n1": reaching(8, 8, "n2"), "n2": reaching(8, 8, "n1")}, "n1"},
		{"n0 reaches workers through one relay", Matrix{"n0": reaching(0, 0, "n1"), "n1": reaching(8, 8, "n0", "n2"), "n2": reaching(8, 8, "n1")}, ""},
		{"n0 reaches workers through two relays", Matrix{"n0": reaching(0, 0, "n1"), "n1": reaching(0, 0, "n0", "n2"), "n2": reaching(8, 8, "n1")}, ""},
		{"three relays are too many", Matrix{"n0": reaching(0, 0, "n1"), "n1": reaching(0, 0, "n0", "n2"), "n2": reaching(0, 0, "n1", "n3"), "n3": reaching(8, 8, "n2")}, "n1"},
		{"n0 reaches n1, which does not reach n0", Matrix{"n0": reaching(0, 0, "n1"), "n1": reaching(8, 8)}, "n1"},
		{"no controller reaches any worker", Matrix{"n0": reaching(0, 0), "n1": reaching(0, 0), "n2": reaching(0, 0)}, ""},
		{"n0 reaches one zone of two", Matrix{"n0": reaching(8, 0), "n1": reaching(8, 8)}, "n1"},
		{"n0 reaches one machine fewer", Matrix{"n0": reaching(8, 6), "n1": reaching(8, 8)}, ""},
		{"each controller reaches a different zone", Matrix{"n0": reaching(8, 0), "n1": reaching(0, 8)}, ""},
		{"n0 reaches the second zone through a relay", Matrix{"n0": reaching(8, 0, "n2"), "n1": reaching(8, 0), "n2": reaching(0, 8, "n0")}, ""},
		{"better controller is flapping", Matrix{"n0": reaching(0, 0), "n1": flapping}, ""},
		{"single controller", Matrix{"n0": reaching(0, 0)}, ""},
		{"empty advertisement of an older controller", Matrix{"n0": reaching(8, 8), "n1": {}}, ""},
		{"nothing known to n0 yet", Matrix{"n0": {}, "n1": reaching(8, 8)}, ""},
		{"the better of two", Matrix{"n0": reaching(0, 0), "n1": reaching(8, 0), "n2": reaching(8, 8)}, "n2"},
	}
	for _, tc := range cases {
		if got := tc.matrix.BetterLeader("n0"); got != tc.want {
			t.Errorf("%s: BetterLeader(n0) = %q, want %q", tc.name, got, tc.want)
		}
	}
}

// handovers simulates the links of a leader n0 with a peer n1 that reaches all workers. n0 itself
// reaches them at the times for which reaches returns true. step, if not nil, is called at each
// step of the simulation. The result is the times at which n0 hands over.
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
			l.RecordHandover(now + 10*second) // n0 leads again
		}
	}
	return handedOver
}

// TestHandoverTarget checks that a better leader has to be known for a delay, which grows with
// recent changes of leadership, and that flapping links do not cause repeated handovers.
func TestHandoverTarget(t *testing.T) {
	never := func(int64) bool { return false }
	at := handovers(t, 20, never, nil)
	if len(at) == 0 || at[0] < second+baseHandoverDelay || at[0] > 4*second {
		t.Errorf("no workers reached: handed over at %v, want the first between %d and %d", at, second+baseHandoverDelay, 4*second)
	}
	if at = handovers(t, 120, never, nil); len(at) > 12 {
		t.Errorf("got %d handovers in two minutes, want at most 12", len(at))
	}
	if at = handovers(t, 60, func(int64) bool { return true }, nil); len(at) != 0 {
		t.Errorf("all links up: handed over at %v, want no handover", at)
	}
	for _, interval := range []int64{1, 2, 5, 10} {
		at = handovers(t, 120, func(now int64) bool { return now/second/interval%2 == 0 }, nil)
		if len(at) > 6 {
			t.Errorf("link that flaps every %d s: got %d handovers, want at most 6", interval, len(at))
		}
	}
	// Writes that are refused while reads are answered.
	refused := func(l *Links, now int64) { l.Writes.RecordFailure(now, now, Refused) }
	up := func(int64) bool { return true }
	if at = handovers(t, 30, up, refused); len(at) == 0 || at[0] < writeFailureTimeout {
		t.Errorf("only writes of n0 refused: handed over at %v, want the first at %d or later", at, writeFailureTimeout)
	}
	outage := func(l *Links, now int64) {
		l.Writes.RecordFailure(now+1, now+1, Refused)
		l.Reads.RecordFailure(now+1, now+1, Refused)
	}
	if at = handovers(t, 30, up, outage); len(at) != 0 {
		t.Errorf("state service outage: handed over at %v, want no handover", at)
	}
}

// TestPendingAdvertisement checks that an advertisement is stored when it changes, at a rate that
// decreases while it keeps changing.
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
		t.Errorf("peer that flaps for two minutes: stored %d times, want 3 to 15", stored)
	}
	now := 200 * second
	l.RecordPing("n1", now, now, true, nil)
	l.Refresh(now)
	if local, pending := l.PendingAdvertisement(now); pending {
		l.MarkAdvertised(local, now)
	}
	l.Refresh(now + second)
	if _, pending := l.PendingAdvertisement(now + 100*second); pending {
		t.Error("an unchanged advertisement: got pending true, want false")
	}
	l.ClearAdvertised()
	if _, pending := l.PendingAdvertisement(now + 100*second); !pending {
		t.Error("after the lease of the advertisement has expired: got pending false, want true")
	}
}

// TestIsolated checks that a controller is isolated if neither the state service nor a peer answers
// it, but not if the state service refuses its requests: that may be an outage for all controllers,
// which must not all reject users.
func TestIsolated(t *testing.T) {
	cases := []struct {
		name    string
		failure Failure
		peers   bool
		want    bool
	}{
		{"no response and no peer", NoResponse, false, true},
		{"no response and a peer", NoResponse, true, false},
		{"refused and no peer", Refused, false, false},
	}
	for _, tc := range cases {
		l := NewLinks("n0", "b", []string{"n1"}, 2*second)
		l.Reads.RecordSuccess(second, second)
		l.Lease.RecordFailure(2*second, 3*second, tc.failure)
		if tc.peers {
			l.RecordPing("n1", 3*second, 3*second, true, nil)
		}
		if got := l.Isolated(4 * second); got != tc.want {
			t.Errorf("%s: Isolated() = %v, want %v", tc.name, got, tc.want)
		}
		l.Reads.RecordSuccess(4*second, 4*second)
		if l.Isolated(4*second + 1) {
			t.Errorf("%s: after the state service has answered: Isolated() = true, want false", tc.name)
		}
	}
}

// TestRelays checks through which controller a heartbeat reaches a leader, and which zones a
// controller can't reach.
func TestRelays(t *testing.T) {
	l := NewLinks("n0", "b", []string{"n1", "n2"}, 2*second)
	now := 10 * second
	advertise := func(name string, advertisement Advertisement) {
		l.RecordPing(name, now, now, true, &advertisement)
		l.SetStored(name, &advertisement)
		l.RecordInbound(name, now)
	}
	advertise("n1", reaching(8, 0, "n0", "n2"))
	advertise("n2", reaching(8, 8, "n0"))
	l.Refresh(now)
	if l.RelayTo("n2") != "n1" || l.RelayTo("n1") != "" {
		t.Errorf("got relay %q to n2 and %q to n1, want n1 and none", l.RelayTo("n2"), l.RelayTo("n1"))
	}
	if l.CannotReachZone("n1", "a") || !l.CannotReachZone("n1", "b") || l.CannotReachZone("n2", "b") || !l.CannotReachMostZones("n1") || l.CannotReachMostZones("n2") {
		t.Errorf("CannotReachZone: got %v for n1 and zone a, %v for n1 and zone b, %v for n2 and zone b, want false, true, false; CannotReachMostZones: got %v for n1, %v for n2, want true, false",
			l.CannotReachZone("n1", "a"), l.CannotReachZone("n1", "b"), l.CannotReachZone("n2", "b"), l.CannotReachMostZones("n1"), l.CannotReachMostZones("n2"))
	}
	advertise("n2", reaching(8, 0, "n0"))
	l.Refresh(now)
	if l.CannotReachZone("n1", "b") {
		t.Error("zone b, which no controller reaches: CannotReachZone(n1, b) = true, want false")
	}
	l.Refresh(now + 4*second)
	if l.RelayTo("n2") != "" {
		t.Errorf("4 s after the last answers of the peers: got relay %q to n2, want none", l.RelayTo("n2"))
	}
}
