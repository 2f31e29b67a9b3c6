package core

import (
	"slices"
	"testing"
)

// TestEarlierTerm: a controller that leads again goes by nothing of its earlier term but
// what is certain for good. The failed return of a machine, answered after another
// leader has put work on it, once had it returned all the same; and answers of
// earlier calls gave calls free that were still under way.
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
		t.Errorf("returns %v, rents again %v", s.toScaleIn, s.unanswered)
	}
	if s.callsRunning != 3 || !s.listing {
		t.Errorf("%d calls under way, listing %v", s.callsRunning, s.listing)
	}
	r.step(ScaledIn{Names: []string{"m"}, FencingToken: r.token})
	if s.callsRunning != 2 || !slices.Contains(s.toScaleIn, "m") {
		t.Errorf("of this term: %d calls under way, returns %v", s.callsRunning, s.toScaleIn)
	}
}
