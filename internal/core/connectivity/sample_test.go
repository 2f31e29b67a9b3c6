package connectivity

import (
	"fmt"
	"slices"
	"testing"

	"github.com/zeebo/xxh3"
)

// sampleRun simulates the sample of a controller that probes machines and asks a peer for further
// ones.
type sampleRun struct {
	t         *testing.T
	own, peer Sample
	now       int64
	// alive are the running machines. ownReaches and peerReaches report whether the
	// controller and its peer reach them.
	alive                   map[string]bool
	ownReaches, peerReaches bool
	// unreached reports whether the zone counts as unreachable. Once set, the zone has to stay
	// unreachable until the test clears the field.
	unreached bool
}

func newSampleRun(t *testing.T, machines ...string) *sampleRun {
	t.Helper()
	r := &sampleRun{
		t: t, own: NewSample(2 * second), peer: NewSample(2 * second),
		now: second, alive: map[string]bool{}, ownReaches: true, peerReaches: true,
	}
	for _, name := range machines {
		r.startMachine(name)
	}
	r.advance(20 * second)
	return r
}

func sampled(name string) Machine { return Machine{Name: name, Addr: "x", Zone: "a"} }

// startMachine starts a machine. The controllers that reach the zone learn of it.
func (r *sampleRun) startMachine(name string) {
	r.alive[name] = true
	if r.ownReaches {
		r.own.Add(sampled(name), r.now)
	}
	if r.peerReaches {
		r.peer.Add(sampled(name), r.now)
	}
}

// stopMachines stops machines. The peer knows that they are gone if the cloud has confirmed it.
func (r *sampleRun) stopMachines(confirmed bool, names ...string) {
	for _, name := range names {
		delete(r.alive, name)
		if confirmed {
			r.peer.Forget(name, r.now)
		}
	}
}

// advance lets time pass: both controllers probe, and own asks the peer once per second.
func (r *sampleRun) advance(duration int64) {
	r.t.Helper()
	for end := r.now + duration; r.now < end; r.now += second / 5 {
		if eighths, known := r.own.ReachableEighths("a"); !r.ownReaches && known && eighths == 0 {
			r.unreached = true
		}
		r.probe(&r.own, r.ownReaches)
		r.probe(&r.peer, r.peerReaches)
		if r.now%second == 0 && r.own.NeedsMachines([]string{"a"}, r.now) {
			eighths, known := r.peer.ReachableEighths("a")
			advertised := map[string]int{}
			if known {
				advertised["a"] = eighths
			}
			r.own.Merge(r.peer.Machines(), advertised, r.now)
		}
		if r.unreached {
			r.requireEighths("cut off", 0)
		}
	}
}

func (r *sampleRun) probe(s *Sample, reaches bool) {
	for _, machine := range s.DueProbes(r.now) {
		s.RecordProbe(machine.Name, r.now, r.now, reaches && r.alive[machine.Name])
	}
}

// requireEighths fails the test unless want eighths of the zone are reached.
func (r *sampleRun) requireEighths(when string, want int) {
	r.t.Helper()
	if eighths, known := r.own.ReachableEighths("a"); !known || eighths != want {
		r.t.Errorf("%s: got %d eighths, known %v, want %d, known true; own sample %v, peer sample %v", when, eighths, known, want, r.own.Machines(), r.peer.Machines())
	}
}

// TestGoneMachinesRemoved checks that machines that are gone leave the sample once another
// controller knows that they are gone.
//
// It guards against a follower that, after a network cut, permanently advertised that it reached
// two eighths of a zone. A gone machine was replaced only by one that sent heartbeats. A follower
// that holds no partition of the fleet receives no heartbeats, and did not ask the others for
// machines while it had four. This was seen in experiment.TestReachAfterPartition, where three of
// four sampled machines had been scaled in.
func TestGoneMachinesRemoved(t *testing.T) {
	four := []string{"m1", "m2", "m3", "m4"}
	cases := []struct {
		name string
		do   func(r *sampleRun)
		want int
	}{
		{"three of four machines scaled in", func(r *sampleRun) { r.stopMachines(true, "m1", "m2", "m3") }, wholeZone},
		{"all machines replaced", func(r *sampleRun) {
			r.stopMachines(true, four...)
			r.ownReaches = false
			for i := range 4 {
				r.startMachine(fmt.Sprintf("n%d", i))
			}
			r.ownReaches = true
		}, wholeZone},
		{"zone empty for a while", func(r *sampleRun) {
			r.stopMachines(true, four...)
			r.advance(60 * second)
			r.requireEighths("while no controller knows other machines", 0)
			r.ownReaches = false
			r.startMachine("n1")
			r.ownReaches = true
		}, wholeZone},
		{"one machine dead, not confirmed yet", func(r *sampleRun) { r.stopMachines(false, "m1") }, wholeZone * 3 / 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newSampleRun(t, four...)
			r.requireEighths("before", wholeZone)
			tc.do(r)
			r.advance(30 * second)
			r.requireEighths("after", tc.want)
			r.advance(30 * second)
			r.requireEighths("later", tc.want)
		})
	}
}

// TestSilentMachinesStay checks that no machine is removed for being silent, however long that lasts.
// Otherwise a controller that is cut off would consider itself fully connected.
func TestSilentMachinesStay(t *testing.T) {
	four := []string{"m1", "m2", "m3", "m4"}
	const longest = 1000 * second
	cases := []struct {
		name string
		do   func(r *sampleRun)
	}{
		{"cut off from this controller", func(r *sampleRun) { r.ownReaches = false }},
		{"cut off from both controllers", func(r *sampleRun) { r.ownReaches, r.peerReaches = false, false }},
		{"cut off from this controller while all machines are replaced", func(r *sampleRun) {
			r.ownReaches = false
			r.stopMachines(true, four...)
			for i := range 4 {
				r.startMachine(fmt.Sprintf("n%d", i))
			}
		}},
		{"cut off from this controller while all but one machine stop", func(r *sampleRun) {
			r.ownReaches = false
			r.stopMachines(true, four[1:]...)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newSampleRun(t, four...)
			tc.do(r)
			r.advance(10 * second) // the probes have failed by then
			if !r.unreached {
				t.Error("10 s after the cut: the zone counts as reachable, want unreachable")
			}
			for end := r.now + longest; r.now < end && !t.Failed(); {
				r.advance(second)
			}
			r.unreached = false
			r.ownReaches, r.peerReaches = true, true
			r.advance(10 * second)
			r.requireEighths("after the cut", wholeZone)
		})
	}
}

// TestGoneAccordingToPeer checks that a machine that does not answer counts as gone only if another
// controller reaches more of the machine's zone and does not list the machine, although that
// controller would sample the machine if it knew it.
func TestGoneAccordingToPeer(t *testing.T) {
	cases := []struct {
		name    string
		listed  []string
		eighths map[string]int
		silent  int64
		want    bool
	}{
		{"peer reaches more", []string{"m4"}, map[string]int{"a": 8}, 60 * second, true},
		{"peer reaches as much", []string{"m4"}, map[string]int{"a": 4}, 60 * second, false},
		{"peer reaches less", []string{"m4"}, map[string]int{"a": 2}, 60 * second, false},
		{"peer does not advertise its reach", []string{"m4"}, nil, 60 * second, false},
		{"peer lists the machine", []string{"m4", "m1"}, map[string]int{"a": 8}, 60 * second, false},
		{"peer lists no machine of the zone", nil, map[string]int{"a": 8}, 60 * second, false},
		{"machine answered just now", []string{"m4"}, map[string]int{"a": 8}, second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := NewSample(2 * second)
			for _, name := range []string{"m4", "m1"} {
				s.Add(sampled(name), second)
				s.RecordProbe(name, second, second, true)
			}
			now := second + tc.silent
			s.RecordProbe("m1", now, now, false)
			var listed []Machine
			for _, name := range tc.listed {
				listed = append(listed, sampled(name))
			}
			gone := s.Merge(listed, tc.eighths, now)
			if isGone := slices.Equal(gone, []string{"m1"}); isGone != tc.want || !tc.want && len(gone) > 0 {
				t.Errorf("machines gone: %v, want [m1]: %v", gone, tc.want)
			}
		})
	}
	// A peer with a full sample of lower hashes proves nothing about a machine with a higher
	// one.
	s := NewSample(2 * second)
	var lower []Machine
	highest := sampled("h0")
	for i := range 12 {
		machine := sampled(fmt.Sprintf("h%d", i))
		if xxh3.HashString(machine.Name) > xxh3.HashString(highest.Name) {
			highest = machine
		}
		lower = append(lower, machine)
	}
	lower = slices.DeleteFunc(lower, func(machine Machine) bool { return machine == highest })[:machinesPerZone]
	s.Add(highest, second)
	s.RecordProbe(highest.Name, 60*second, 60*second, false)
	if gone := s.Merge(lower, map[string]int{"a": 8}, 60*second); len(gone) > 0 {
		t.Errorf("machines gone: %v, want none, since the peer would not sample the machine", gone)
	}
}

// TestReplacementsUnreachableUntilAnswer checks that machines that replace unreachable ones count as
// unreachable until they answer, so that the reach of the zone is not unknown until then.
func TestReplacementsUnreachableUntilAnswer(t *testing.T) {
	s := NewSample(2 * second)
	s.Add(sampled("m1"), second)
	s.RecordProbe("m1", second, second, false)
	now := 60 * second
	s.Merge([]Machine{sampled("m2")}, map[string]int{"a": 8}, now)
	if eighths, known := s.ReachableEighths("a"); !known || eighths != 0 {
		t.Errorf("after the replacement: got %d eighths, known %v, want 0, known true", eighths, known)
	}
	if due := s.DueProbes(now); !slices.Equal(due, []Machine{sampled("m2")}) {
		t.Errorf("machines to probe: got %v, want only m2", due)
	}
	s.RecordProbe("m2", now, now, true)
	if eighths, _ := s.ReachableEighths("a"); eighths != wholeZone {
		t.Errorf("after the answer of m2: got %d eighths, want %d", eighths, wholeZone)
	}
}

// TestForgottenMachineIsNotLearned checks that a machine that is gone is not added again because a
// controller that does not know this yet lists it, but is added again by its own heartbeat.
func TestForgottenMachineIsNotLearned(t *testing.T) {
	s := NewSample(2 * second)
	s.Add(sampled("m1"), second)
	s.Add(sampled("m2"), second)
	s.Forget("m1", second)
	isSampled := func() bool { return slices.Contains(s.Machines(), sampled("m1")) }
	if s.Merge([]Machine{sampled("m1"), sampled("m2")}, map[string]int{"a": 4}, 2*second); isSampled() {
		t.Errorf("after a merge with a controller that lists the machine that is gone: sampled %v, want m1 not among them", s.Machines())
	}
	if s.RecordHeartbeat(sampled("m1"), 1, 1, 3*second); !isSampled() {
		t.Errorf("after a heartbeat of the machine: sampled %v, want m1 among them", s.Machines())
	}
}

// TestForgetUnlisted checks that a machine missing from the cloud's list is removed only if it does
// not answer, and has neither answered nor been added since the earliest time that the list may
// describe.
func TestForgetUnlisted(t *testing.T) {
	now := 100 * second
	s := NewSample(2 * second)
	for _, name := range []string{"listed", "heard", "young", "gone"} {
		s.Add(sampled(name), second)
		s.RecordProbe(name, second, second, true)
	}
	for _, name := range []string{"listed", "young", "gone"} {
		s.RecordProbe(name, now-10*second, now-9*second, false)
	}
	s.byName["young"].addedAt = now - 8*second
	s.ForgetUnlisted(func(name string) bool { return name == "listed" }, now-20*second, now)
	names := map[string]bool{}
	for _, machine := range s.Machines() {
		names[machine.Name] = true
	}
	if len(names) != 3 || names["gone"] {
		t.Errorf("sampled after ForgetUnlisted: %v, want all but \"gone\"", names)
	}
}

// TestAddressFromPeer checks that a machine that answers keeps its address even if another controller
// lists a different one, which may be older, and that one that does not answer gets that address.
func TestAddressFromPeer(t *testing.T) {
	for _, tc := range []struct {
		answers bool
		want    string
	}{{true, "new"}, {false, "old"}} {
		s := NewSample(2 * second)
		s.Add(Machine{Name: "m", Addr: "new", Zone: "a"}, second)
		s.RecordProbe("m", second, second, tc.answers)
		s.Merge([]Machine{{Name: "m", Addr: "old", Zone: "a"}}, map[string]int{"a": 8}, 2*second)
		if got := s.byName["m"].Addr; got != tc.want {
			t.Errorf("machine answers %v: got the %s address, want %s", tc.answers, got, tc.want)
		}
	}
}
