package upgrade

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// olderProgram returns a program of the last version that advertised no features.
func olderProgram() Program {
	p := CurrentProgram()
	p.Version, p.Features = 3, p.Features[:2]
	return p
}

// nextProgram returns a program of the next version, with a feature that is required once it is
// active.
func nextProgram() Program {
	p := CurrentProgram()
	p.Version++
	p.Features = append(slices.Clone(p.Features), Feature{Name: "next", SinceVersion: p.Version, Requires: []FeatureName{Connectivity}, KeyPrefixes: []string{"next/"}})
	return p
}

func advertisementOf(program Program, withheld ...FeatureName) Advertisement {
	local, _, _ := NewActivation(program, "x", "incarnation", nil, nil, withheld).LocalAdvertisement()
	return local
}

// TestNextFeature checks which feature may be activated next, and what blocks Connectivity.
func TestNextFeature(t *testing.T) {
	cases := []struct {
		name    string
		format  int
		enabled []StoredFeature
		do      func(a *Activation)
		want    FeatureName
		blocker string // of Connectivity
	}{
		{"n1 has no advertisement", 1, nil, func(*Activation) {}, "", "n1 has not said what it can"},
		{"progress log first", 1, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5) }, ProgressLog, "it needs log"},
		{"connectivity after the log", 2, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5) }, Connectivity, ""},
		{"shared reads after connectivity", 2, []StoredFeature{{Name: Connectivity}}, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5) }, SharedReads, ""},
		{"all features active", 2, []StoredFeature{{Name: Connectivity}, {Name: SharedReads}}, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5) }, "", ""},
		{"n1 runs an older program", 2, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(olderProgram()), 2, 5) }, "", "n1 does not have it"},
		{"older program supports the log", 1, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(olderProgram()), 2, 5) }, ProgressLog, "n1 does not have it"},
		{"n1 withholds connectivity", 2, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram(), Connectivity), 2, 5) }, "", "n1 holds it back"},
		{"lease of n1 expired", 2, nil, func(a *Activation) {
			a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5)
			a.RemoveAdvertisement("n1")
		}, "", "n1 has not said"},
		{"n1 decommissioned", 2, nil, func(a *Activation) { a.SetDecommissioned("n1", true) }, Connectivity, ""},
		{"n1 decommissioned, then back with an older program", 2, nil, func(a *Activation) {
			a.SetDecommissioned("n1", true)
			a.SetAdvertisement("n1", advertisementOf(olderProgram()), 2, 5)
		}, "", "n1 does not have it"},
		{"n1 replaced by an older program before its lease expired", 2, nil, func(a *Activation) {
			a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5)
			a.RecordPing("n1", 6, 2, nil)
		}, "", "n1 answers that it does not have it"},
		{"ping answer older than the advertisement", 2, nil, func(a *Activation) {
			a.RecordPing("n1", 4, 2, nil)
			a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5)
		}, Connectivity, ""},
		{"ping answer without an advertisement", 2, nil, func(a *Activation) { a.RecordPing("n1", 6, 2, []FeatureName{ProgressLog, Connectivity}) }, "", "n1 has not said"},
		{"n1 runs a newer program", 2, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(nextProgram()), 2, 5) }, Connectivity, ""},
	}
	for _, tc := range cases {
		a := NewActivation(CurrentProgram(), "n0", "b", []string{"n1"}, nil, nil)
		a.SetAdvertisement("n0", advertisementOf(CurrentProgram()), 1, 1)
		a.SetFormat(tc.format)
		a.SetEnabled(tc.enabled)
		tc.do(a)
		feature, conditions := a.NextFeature()
		got := FeatureName("")
		if feature != nil {
			got = feature.Name
			if len(conditions) != 2 || conditions[0].Name != "n0" || conditions[0].Revision != 1 {
				t.Errorf("%s: conditions %v, want two, the first being n0 at revision 1", tc.name, conditions)
			}
		}
		blockers := ""
		for _, state := range a.FeatureStates() {
			if state.Name == Connectivity {
				blockers = strings.Join(state.Blockers, "; ")
			}
		}
		if got != tc.want || !strings.Contains(blockers, tc.blocker) || tc.blocker == "" && blockers != "" {
			t.Errorf("%s: next feature %q, connectivity blocked by %q; want %q and %q", tc.name, got, blockers, tc.want, tc.blocker)
		}
	}
}

// TestIncompatibility checks which programs may continue with the stored format and active
// features.
func TestIncompatibility(t *testing.T) {
	cases := []struct {
		name    string
		program Program
		format  int
		enabled []StoredFeature
		want    string
	}{
		{"no active feature", CurrentProgram(), 2, nil, ""},
		{"ignorable feature missing", olderProgram(), 2, []StoredFeature{{Name: Connectivity}}, ""},
		{"required feature missing", CurrentProgram(), 2, []StoredFeature{{Name: Connectivity}, {Name: "next", Required: true}}, "next"},
		{"required feature present", nextProgram(), 2, []StoredFeature{{Name: "next", Required: true}}, ""},
		{"newer stored format", CurrentProgram(), 9, nil, "format is 9"},
	}
	for _, tc := range cases {
		a := NewActivation(tc.program, "n0", "b", nil, nil, nil)
		a.SetFormat(tc.format)
		a.SetEnabled(tc.enabled)
		if got := a.Incompatibility(); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: Incompatibility() = %q, want a text with %q, or none if that is empty", tc.name, got, tc.want)
		}
	}
}

// TestEnabledWith checks that active features stay active, including those that this program
// does not know.
func TestEnabledWith(t *testing.T) {
	a := NewActivation(CurrentProgram(), "n0", "b", nil, nil, nil)
	a.SetEnabled([]StoredFeature{{Name: "other"}})
	if got := fmt.Sprint(a.EnabledWith(a.program.feature(Connectivity))); got != "[{other false} {reach false}]" {
		t.Errorf("features to store: got %s, want [{other false} {reach false}]", got)
	}
	a.SetEnabled([]StoredFeature{{Name: "other"}, {Name: Connectivity}})
	newer := NewActivation(nextProgram(), "n0", "b", nil, nil, nil)
	newer.SetEnabled([]StoredFeature{{Name: "other"}, {Name: Connectivity}})
	if got := fmt.Sprint(newer.EnabledWith(newer.program.feature("next"))); got != "[{other false} {reach false} {next true}]" {
		t.Errorf("features to store: got %s, want [{other false} {reach false} {next true}]", got)
	}
}

// TestCurrentProgram checks the features of some keys, that every feature comes after those that it
// requires, that none is newer than the program, and that a feature is MessagesOnly exactly if it
// has no key prefixes.
func TestCurrentProgram(t *testing.T) {
	program := CurrentProgram()
	for key, want := range map[string]FeatureName{"log/1": ProgressLog, "sweep/x": Sweeps, "sweeps": Sweeps, "reach/n0": Connectivity, "run/j/0": "", "job/j": "", "features": ""} {
		if got := program.FeatureOfKey(key); got != want {
			t.Errorf("FeatureOfKey(%q) = %q, want %q", key, got, want)
		}
	}
	for i, feature := range program.Features {
		for _, required := range feature.Requires {
			if !slices.ContainsFunc(program.Features[:i], func(earlier Feature) bool { return earlier.Name == required }) {
				t.Errorf("%s requires %s: got no entry of %s before it, want one", feature.Name, required, required)
			}
		}
		if feature.SinceVersion > program.Version || (len(feature.KeyPrefixes) == 0) != feature.MessagesOnly {
			t.Errorf("%s: got since version %d with key prefixes %v, want at most version %d and key prefixes unless MessagesOnly (%v)", feature.Name, feature.SinceVersion, feature.KeyPrefixes, program.Version, feature.MessagesOnly)
		}
	}
}
