package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestTargetZone checks which zone is chosen to rent machines for a job whose tasks must be in one
// zone, and that no zone is chosen once one has enough machines.
func TestTargetZone(t *testing.T) {
	const now = 100 * second
	a, b, spotA, spotB := machineOffer{"big", "a", false}, machineOffer{"big", "b", false}, machineOffer{"big", "a", true}, machineOffer{"big", "b", true}
	gang := func(n int) *jobstate.Spec {
		return &jobstate.Spec{ID: "g", Kind: jobstate.Gang, Tasks: n, OneZone: true, Need: jobstate.Resources{CPU: 10_000, GPU: 2000}}
	}
	cases := []struct {
		name            string
		spec            *jobstate.Spec
		usable, booting map[machineOffer]int64
		refused         []machineOffer
		spot            bool
		want            string
	}{
		{"a zone has enough", gang(2), map[machineOffer]int64{a: 1, b: 2}, nil, nil, false, ""},
		{"zone with the most machines", gang(3), map[machineOffer]int64{a: 1, b: 2}, nil, nil, false, "b"},
		{"booting machines count", gang(3), map[machineOffer]int64{a: 1, b: 1}, map[machineOffer]int64{a: 1}, nil, false, "a"},
		{"booting machines are not enough by themselves", gang(3), map[machineOffer]int64{a: 1}, map[machineOffer]int64{a: 2}, nil, false, "a"},
		{"none available in the zone with the most machines", gang(3), map[machineOffer]int64{a: 1, b: 2}, nil, []machineOffer{b}, false, "a"},
		{"none available in any zone", gang(3), map[machineOffer]int64{a: 1, b: 2}, nil, []machineOffer{a, b}, false, "b"},
		{"job may not use spot machines", gang(2), map[machineOffer]int64{spotA: 2, b: 1}, nil, nil, false, "b"},
		{"job may use spot machines", gang(3), map[machineOffer]int64{spotA: 2, b: 1}, nil, []machineOffer{a}, true, "a"},
		{"job bound to a zone", &jobstate.Spec{Tasks: 3, OneZone: true, Zone: "a", Need: gang(1).Need}, map[machineOffer]int64{b: 9}, nil, []machineOffer{spotB}, false, "a"},
		{"two tasks on each machine", &jobstate.Spec{Tasks: 4, OneZone: true, Need: jobstate.Resources{CPU: 6000}}, map[machineOffer]int64{a: 2}, nil, nil, false, ""},
	}
	for _, tc := range cases {
		term := &leadership{scaling: newScalingState(0)}
		s := &scaler{
			engine:  &engine{now: now, settings: Settings{Deployment: config.Deployment{Zones: []string{"a", "b"}}}},
			cache:   &stateCache{machineTypes: []fleet.Type{{Name: "big", Cap: jobstate.Resources{CPU: 12_000, GPU: 2000}, Zones: []string{"a", "b"}}}},
			elector: &elector{leadership: term},
		}
		for _, offer := range tc.refused {
			term.scaling.refusedUntil[offer] = now + second
		}
		tc.spec.Spot = tc.spot
		if got := s.targetZone(tc.spec, tc.usable, tc.booting); got != tc.want {
			t.Errorf("%s: zone: got %q, want %q", tc.name, got, tc.want)
		}
	}
}
