package core

import (
	"slices"
	"testing"
)

// TestEarlierTerm: a controller that leads again goes by nothing of its earlier term but what is
// certain for good. The failed scale-in of a machine, answered after another leader had placed
// tasks on it, once had it scaled in all the same; and answers to earlier calls were counted for
// calls that were still in flight.
func TestEarlierTerm(t *testing.T) {
	r := newLeaderHarness(t)
	s := &r.c.elector.leadership.scaling
	s.callsRunning, s.listing = 3, true
	before := r.token - 2
	r.step(ScaledIn{Names: []string{"m"}, FencingToken: before})
	r.step(ScaledOut{Request: ScaleOut{Name: "x", Type: "c", Zone: "a", Count: 1, FencingToken: before}})
	r.step(MachinesListed{List: []CloudMachine{{Name: "y", Type: "c", Zone: "a", Status: "failed"}}, FencingToken: before})
	r.step(MachineTypesListed{FencingToken: before})
	if slices.Contains(s.toScaleIn, "m") || slices.Contains(s.toScaleIn, "y") || len(s.unanswered) > 0 {
		t.Errorf("scales in %v, retries %v", s.toScaleIn, s.unanswered)
	}
	if s.callsRunning != 3 || !s.listing {
		t.Errorf("%d calls in flight, listing %v", s.callsRunning, s.listing)
	}
	r.step(ScaledIn{Names: []string{"m"}, FencingToken: r.token})
	if s.callsRunning != 2 || !slices.Contains(s.toScaleIn, "m") {
		t.Errorf("of this term: %d calls in flight, scales in %v", s.callsRunning, s.toScaleIn)
	}
}
