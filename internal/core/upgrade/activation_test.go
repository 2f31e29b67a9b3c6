package upgrade

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// older is a program before features were advertised.
func older() Program {
	p := CurrentProgram()
	p.Version, p.Features = 3, p.Features[:2]
	return p
}

// next is a made-up program with a feature that is required once it is active.
func next() Program {
	p := CurrentProgram()
	p.Version++
	p.Features = append(slices.Clone(p.Features), Feature{Name: "next", SinceVersion: p.Version, Requires: []FeatureName{Connectivity}, KeyPrefixes: []string{"next/"}})
	return p
}

func advertisementOf(program Program, withheld ...FeatureName) Advertisement {
	local, _, _ := NewActivation(program, "x", "incarnation", nil, nil, withheld).LocalAdvertisement()
	return local
}

// TestNextFeature: what may be activated, and what blocks it.
func TestNextFeature(t *testing.T) {
	cases := []struct {
		name    string
		format  int
		enabled []StoredFeature
		do      func(a *Activation)
		want    FeatureName
		blocker string // of Connectivity
	}{
		{"nothing is known of n1", 1, nil, func(*Activation) {}, "", "n1 has not said what it can"},
		{"log first", 1, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5) }, ProgressLog, "it needs log"},
		{"then connectivity", 2, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5) }, Connectivity, ""},
		{"then shared reads", 2, []StoredFeature{{Name: Connectivity}}, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5) }, SharedReads, ""},
		{"all are active", 2, []StoredFeature{{Name: Connectivity}, {Name: SharedReads}}, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5) }, "", ""},
		{"n1 is older", 2, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(older()), 2, 5) }, "", "n1 does not have it"},
		{"an older one supports the log", 1, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(older()), 2, 5) }, ProgressLog, "n1 does not have it"},
		{"n1 withholds it", 2, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(CurrentProgram(), Connectivity), 2, 5) }, "", "n1 holds it back"},
		{"its lease has expired", 2, nil, func(a *Activation) {
			a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5)
			a.RemoveAdvertisement("n1")
		}, "", "n1 has not said"},
		{"it is decommissioned", 2, nil, func(a *Activation) { a.SetDecommissioned("n1", true) }, Connectivity, ""},
		{"it was decommissioned, and is back with an older program", 2, nil, func(a *Activation) {
			a.SetDecommissioned("n1", true)
			a.SetAdvertisement("n1", advertisementOf(older()), 2, 5)
		}, "", "n1 does not have it"},
		{"replaced before its lease expired: its answers differ", 2, nil, func(a *Activation) {
			a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5)
			a.RecordPing("n1", 6, 2, nil)
		}, "", "n1 answers that it does not have it"},
		{"its answer is older than its advertisement", 2, nil, func(a *Activation) {
			a.RecordPing("n1", 4, 2, nil)
			a.SetAdvertisement("n1", advertisementOf(CurrentProgram()), 2, 5)
		}, Connectivity, ""},
		{"answers alone are no advertisement", 2, nil, func(a *Activation) { a.RecordPing("n1", 6, 2, []FeatureName{ProgressLog, Connectivity}) }, "", "n1 has not said"},
		{"a newer one supports it", 2, nil, func(a *Activation) { a.SetAdvertisement("n1", advertisementOf(next()), 2, 5) }, Connectivity, ""},
	}
	for _, tc := range cases {
		a := NewActivation(CurrentProgram(), "n0", "b", []string{"n1"}, nil, nil)
		a.SetAdvertisement("n0", advertisementOf(CurrentProgram()), 1, 1)
		a.SetFormat(tc.format)
		a.SetEnabled(tc.enabled)
		tc.do(a)
		feature, judgedBy := a.NextFeature()
		got := FeatureName("")
		if feature != nil {
			got = feature.Name
			if len(judgedBy) != 2 || judgedBy[0].Name != "n0" || judgedBy[0].Revision != 1 {
				t.Errorf("%s: judged by %v", tc.name, judgedBy)
			}
		}
		blockers := ""
		for _, s := range a.FeatureStates() {
			if s.Name == Connectivity {
				blockers = strings.Join(s.Blockers, "; ")
			}
		}
		if got != tc.want || !strings.Contains(blockers, tc.blocker) || tc.blocker == "" && blockers != "" {
			t.Errorf("%s: next %q, blocked by %q", tc.name, got, blockers)
		}
	}
}

// TestIncompatibility: which programs may go on with what is active.
func TestIncompatibility(t *testing.T) {
	cases := []struct {
		name    string
		program Program
		format  int
		enabled []StoredFeature
		want    string
	}{
		{"nothing active", CurrentProgram(), 2, nil, ""},
		{"an ignorable feature that it lacks", older(), 2, []StoredFeature{{Name: Connectivity}}, ""},
		{"a required one that it lacks", CurrentProgram(), 2, []StoredFeature{{Name: Connectivity}, {Name: "next", Required: true}}, "next"},
		{"a required one that it has", next(), 2, []StoredFeature{{Name: "next", Required: true}}, ""},
		{"a newer format", CurrentProgram(), 9, nil, "format is 9"},
	}
	for _, tc := range cases {
		a := NewActivation(tc.program, "n0", "b", nil, nil, nil)
		a.SetFormat(tc.format)
		a.SetEnabled(tc.enabled)
		if got := a.Incompatibility(); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: %q", tc.name, got)
		}
	}
}

// TestEnabledWith: what is active stays active, also what this program does not know.
func TestEnabledWith(t *testing.T) {
	a := NewActivation(CurrentProgram(), "n0", "b", nil, nil, nil)
	a.SetEnabled([]StoredFeature{{Name: "other"}})
	if got := fmt.Sprint(a.EnabledWith(a.program.feature(Connectivity))); got != "[{other false} {reach false}]" {
		t.Errorf("stored %s", got)
	}
	a.SetEnabled([]StoredFeature{{Name: "other"}, {Name: Connectivity}})
	newer := NewActivation(next(), "n0", "b", nil, nil, nil)
	newer.SetEnabled([]StoredFeature{{Name: "other"}, {Name: Connectivity}})
	if got := fmt.Sprint(newer.EnabledWith(newer.program.feature("next"))); got != "[{other false} {reach false} {next true}]" {
		t.Errorf("stored %s", got)
	}
}

// TestCurrentProgram: each key has one feature at most, and every feature comes after those
// that it requires.
func TestCurrentProgram(t *testing.T) {
	program := CurrentProgram()
	for key, want := range map[string]FeatureName{"log/1": ProgressLog, "sweep/x": Sweeps, "sweeps": Sweeps, "reach/n0": Connectivity, "run/j/0": "", "job/j": "", "features": ""} {
		if got := program.FeatureOfKey(key); got != want {
			t.Errorf("%s is written by %q, not %q", key, got, want)
		}
	}
	for i, f := range program.Features {
		for _, n := range f.Requires {
			if !slices.ContainsFunc(program.Features[:i], func(o Feature) bool { return o.Name == n }) {
				t.Errorf("%s needs %s, which does not come before it", f.Name, n)
			}
		}
		if f.SinceVersion > program.Version || (len(f.KeyPrefixes) == 0) != f.MessagesOnly {
			t.Errorf("%s: since %d, keys %v", f.Name, f.SinceVersion, f.KeyPrefixes)
		}
	}
}
