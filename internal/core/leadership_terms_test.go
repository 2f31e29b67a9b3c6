package core

import (
	"slices"
	"testing"
)

// TestEarlierTerm checks that a controller which leads again ignores results of cloud calls from
// its earlier term, except for those that remain true, such as a successful scale-in. It guards
// against two faults: after a failed scale-in of the earlier term, the call was repeated although
// another leader had placed tasks on the machine since, and each result of the earlier term was
// subtracted from the calls in flight.
func TestEarlierTerm(t *testing.T) {
	h := newLeaderHarness(t)
	scaling := &h.core.elector.leadership.scaling
	scaling.callsRunning, scaling.listing = 3, true
	earlierToken := h.token - 2
	h.step(ScaledIn{Names: []string{"m"}, FencingToken: earlierToken})
	h.step(ScaledOut{Request: ScaleOut{Name: "x", Type: "c", Zone: "a", Count: 1, FencingToken: earlierToken}})
	h.step(MachinesListed{List: []CloudMachine{{Name: "y", Type: "c", Zone: "a", Status: "failed"}}, FencingToken: earlierToken})
	h.step(MachineTypesListed{FencingToken: earlierToken})
	if slices.Contains(scaling.toScaleIn, "m") || slices.Contains(scaling.toScaleIn, "y") || len(scaling.unanswered) > 0 {
		t.Errorf("after results of an earlier term: got machines to scale in %v and unanswered scale-outs %v, want neither m nor y, and no unanswered scale-outs", scaling.toScaleIn, scaling.unanswered)
	}
	if scaling.callsRunning != 3 || !scaling.listing {
		t.Errorf("after results of an earlier term: got %d calls in flight and listing %v, want 3 and true", scaling.callsRunning, scaling.listing)
	}
	h.step(ScaledIn{Names: []string{"m"}, FencingToken: h.token})
	if scaling.callsRunning != 2 || !slices.Contains(scaling.toScaleIn, "m") {
		t.Errorf("after a failed scale-in of this term: got %d calls in flight and machines to scale in %v, want 2 and m among them", scaling.callsRunning, scaling.toScaleIn)
	}
}
