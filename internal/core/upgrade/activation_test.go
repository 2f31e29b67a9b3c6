package upgrade

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// older and next are programs beside this one: one before features, and a made-up
// one with a feature that all need from then on.
func older() Program {
	p := CurrentProgram()
	p.Version, p.Features = 3, p.Features[:2]
	return p
}

func next() Program {
	p := CurrentProgram()
	p.Version++
	p.Features = append(slices.Clone(p.Features), Feature{Name: "next", SinceVersion: p.Version, Requires: []FeatureName{Connectivity}, KeyPrefixes: []string{"next/"}})
	return p
}

func word(p Program, held ...FeatureName) Advertisement {
	w, _, _ := NewActivation(p, "x", "boot", nil, nil, held).LocalAdvertisement()
	return w
}

// TestNext: what may be switched on, and what holds it back.
func TestNext(t *testing.T) {
	cases := []struct {
		name   string
		format int
		on     []StoredFeature
		do     func(l *Activation)
		want   FeatureName
		held   string // of Reach
	}{
		{"nothing is known of n1", 1, nil, func(*Activation) {}, "", "n1 has not said what it can"},
		{"log first", 1, nil, func(l *Activation) { l.SetAdvertisement("n1", word(CurrentProgram()), 2, 5) }, ProgressLog, "it needs log"},
		{"then reach", 2, nil, func(l *Activation) { l.SetAdvertisement("n1", word(CurrentProgram()), 2, 5) }, Connectivity, ""},
		{"then shared reads", 2, []StoredFeature{{Name: Connectivity}}, func(l *Activation) { l.SetAdvertisement("n1", word(CurrentProgram()), 2, 5) }, SharedReads, ""},
		{"all is on", 2, []StoredFeature{{Name: Connectivity}, {Name: SharedReads}}, func(l *Activation) { l.SetAdvertisement("n1", word(CurrentProgram()), 2, 5) }, "", ""},
		{"n1 is older", 2, nil, func(l *Activation) { l.SetAdvertisement("n1", word(older()), 2, 5) }, "", "n1 does not have it"},
		{"an older one may have the log", 1, nil, func(l *Activation) { l.SetAdvertisement("n1", word(older()), 2, 5) }, ProgressLog, "n1 does not have it"},
		{"n1 holds it back", 2, nil, func(l *Activation) { l.SetAdvertisement("n1", word(CurrentProgram(), Connectivity), 2, 5) }, "", "n1 holds it back"},
		{"its lease has run out", 2, nil, func(l *Activation) {
			l.SetAdvertisement("n1", word(CurrentProgram()), 2, 5)
			l.RemoveAdvertisement("n1")
		}, "", "n1 has not said"},
		{"it is gone for good", 2, nil, func(l *Activation) { l.SetDecommissioned("n1", true) }, Connectivity, ""},
		{"it was gone, and is back with an older program", 2, nil, func(l *Activation) { l.SetDecommissioned("n1", true); l.SetAdvertisement("n1", word(older()), 2, 5) }, "", "n1 does not have it"},
		{"replaced within its lease: it answers otherwise since", 2, nil, func(l *Activation) {
			l.SetAdvertisement("n1", word(CurrentProgram()), 2, 5)
			l.RecordPing("n1", 6, 2, nil)
		}, "", "n1 answers that it does not have it"},
		{"it answered otherwise before it said so", 2, nil, func(l *Activation) {
			l.RecordPing("n1", 4, 2, nil)
			l.SetAdvertisement("n1", word(CurrentProgram()), 2, 5)
		}, Connectivity, ""},
		{"answers alone are no word", 2, nil, func(l *Activation) { l.RecordPing("n1", 6, 2, []FeatureName{ProgressLog, Connectivity}) }, "", "n1 has not said"},
		{"a newer one has it too", 2, nil, func(l *Activation) { l.SetAdvertisement("n1", word(next()), 2, 5) }, Connectivity, ""},
	}
	for _, tc := range cases {
		l := NewActivation(CurrentProgram(), "n0", "b", []string{"n1"}, nil, nil)
		l.SetAdvertisement("n0", word(CurrentProgram()), 1, 1)
		l.SetFormat(tc.format)
		l.SetEnabled(tc.on)
		tc.do(l)
		f, by := l.NextFeature()
		got := FeatureName("")
		if f != nil {
			got = f.Name
			if len(by) != 2 || by[0].Name != "n0" || by[0].Revision != 1 {
				t.Errorf("%s: judged by %v", tc.name, by)
			}
		}
		held := ""
		for _, s := range l.FeatureStates() {
			if s.Name == Connectivity {
				held = strings.Join(s.Blockers, "; ")
			}
		}
		if got != tc.want || !strings.Contains(held, tc.held) || tc.held == "" && held != "" {
			t.Errorf("%s: next %q, held by %q", tc.name, got, held)
		}
	}
}

// TestUnfit: which programs go on beside what is on.
func TestUnfit(t *testing.T) {
	cases := []struct {
		name   string
		p      Program
		format int
		on     []StoredFeature
		want   string
	}{
		{"nothing on", CurrentProgram(), 2, nil, ""},
		{"an ignored feature that it lacks", older(), 2, []StoredFeature{{Name: Connectivity}}, ""},
		{"one that is needed", CurrentProgram(), 2, []StoredFeature{{Name: Connectivity}, {Name: "next", Required: true}}, "next"},
		{"one that is needed, and there", next(), 2, []StoredFeature{{Name: "next", Required: true}}, ""},
		{"a newer format", CurrentProgram(), 9, nil, "format is 9"},
	}
	for _, tc := range cases {
		l := NewActivation(tc.p, "n0", "b", nil, nil, nil)
		l.SetFormat(tc.format)
		l.SetEnabled(tc.on)
		if got := l.Incompatibility(); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: %q", tc.name, got)
		}
	}
}

// TestOn: what is on stays on, also what this program does not know.
func TestOn(t *testing.T) {
	l := NewActivation(CurrentProgram(), "n0", "b", nil, nil, nil)
	l.SetEnabled([]StoredFeature{{Name: "other"}})
	if got := fmt.Sprint(l.EnabledWith(l.program.feature(Connectivity))); got != "[{other false} {reach false}]" {
		t.Errorf("stored %s", got)
	}
	l.SetEnabled([]StoredFeature{{Name: "other"}, {Name: Connectivity}})
	p := next()
	n := NewActivation(p, "n0", "b", nil, nil, nil)
	n.SetEnabled([]StoredFeature{{Name: "other"}, {Name: Connectivity}})
	if got := fmt.Sprint(n.EnabledWith(n.program.feature("next"))); got != "[{other false} {reach false} {next true}]" {
		t.Errorf("stored %s", got)
	}
}

// TestWrites: each key has one feature at most, and every feature that is listed
// has what it needs before it.
func TestWrites(t *testing.T) {
	p := CurrentProgram()
	for key, want := range map[string]FeatureName{"log/1": ProgressLog, "sweep/x": Sweeps, "sweeps": Sweeps, "reach/n0": Connectivity, "run/j/0": "", "job/j": "", "features": ""} {
		if got := p.FeatureOfKey(key); got != want {
			t.Errorf("%s is written by %q, not %q", key, got, want)
		}
	}
	for i, f := range p.Features {
		for _, n := range f.Requires {
			if !slices.ContainsFunc(p.Features[:i], func(o Feature) bool { return o.Name == n }) {
				t.Errorf("%s needs %s, which does not come before it", f.Name, n)
			}
		}
		if f.SinceVersion > p.Version || (len(f.KeyPrefixes) == 0) != f.MessagesOnly {
			t.Errorf("%s: since %d, keys %v", f.Name, f.SinceVersion, f.KeyPrefixes)
		}
	}
}
