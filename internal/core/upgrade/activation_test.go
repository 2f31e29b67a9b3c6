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
	p := This()
	p.Version, p.Features = 3, p.Features[:2]
	return p
}

func next() Program {
	p := This()
	p.Version++
	p.Features = append(slices.Clone(p.Features), Feature{Name: "next", Since: p.Version, Needs: []Name{Reach}, Keys: []string{"next/"}})
	return p
}

func word(p Program, held ...Name) Word {
	w, _, _ := New(p, "x", "boot", nil, nil, held).Own()
	return w
}

// TestNext: what may be switched on, and what holds it back.
func TestNext(t *testing.T) {
	cases := []struct {
		name   string
		format int
		on     []Stored
		do     func(l *Activation)
		want   Name
		held   string // of Reach
	}{
		{"nothing is known of n1", 1, nil, func(*Activation) {}, "", "n1 has not said what it can"},
		{"log first", 1, nil, func(l *Activation) { l.Said("n1", word(This()), 2, 5) }, Log, "it needs log"},
		{"then reach", 2, nil, func(l *Activation) { l.Said("n1", word(This()), 2, 5) }, Reach, ""},
		{"then shared reads", 2, []Stored{{Name: Reach}}, func(l *Activation) { l.Said("n1", word(This()), 2, 5) }, SharedReads, ""},
		{"all is on", 2, []Stored{{Name: Reach}, {Name: SharedReads}}, func(l *Activation) { l.Said("n1", word(This()), 2, 5) }, "", ""},
		{"n1 is older", 2, nil, func(l *Activation) { l.Said("n1", word(older()), 2, 5) }, "", "n1 does not have it"},
		{"an older one may have the log", 1, nil, func(l *Activation) { l.Said("n1", word(older()), 2, 5) }, Log, "n1 does not have it"},
		{"n1 holds it back", 2, nil, func(l *Activation) { l.Said("n1", word(This(), Reach), 2, 5) }, "", "n1 holds it back"},
		{"its lease has run out", 2, nil, func(l *Activation) { l.Said("n1", word(This()), 2, 5); l.Unsaid("n1") }, "", "n1 has not said"},
		{"it is gone for good", 2, nil, func(l *Activation) { l.Gone("n1", true) }, Reach, ""},
		{"it was gone, and is back with an older program", 2, nil, func(l *Activation) { l.Gone("n1", true); l.Said("n1", word(older()), 2, 5) }, "", "n1 does not have it"},
		{"replaced within its lease: it answers otherwise since", 2, nil, func(l *Activation) { l.Said("n1", word(This()), 2, 5); l.Answered("n1", 6, 2, nil) }, "", "n1 answers that it does not have it"},
		{"it answered otherwise before it said so", 2, nil, func(l *Activation) { l.Answered("n1", 4, 2, nil); l.Said("n1", word(This()), 2, 5) }, Reach, ""},
		{"answers alone are no word", 2, nil, func(l *Activation) { l.Answered("n1", 6, 2, []Name{Log, Reach}) }, "", "n1 has not said"},
		{"a newer one has it too", 2, nil, func(l *Activation) { l.Said("n1", word(next()), 2, 5) }, Reach, ""},
	}
	for _, tc := range cases {
		l := New(This(), "n0", "b", []string{"n1"}, nil, nil)
		l.Said("n0", word(This()), 1, 1)
		l.SetFormat(tc.format)
		l.SetOn(tc.on)
		tc.do(l)
		f, by := l.Next()
		got := Name("")
		if f != nil {
			got = f.Name
			if len(by) != 2 || by[0].Name != "n0" || by[0].Stamp != 1 {
				t.Errorf("%s: judged by %v", tc.name, by)
			}
		}
		held := ""
		for _, s := range l.States() {
			if s.Name == Reach {
				held = strings.Join(s.Held, "; ")
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
		on     []Stored
		want   string
	}{
		{"nothing on", This(), 2, nil, ""},
		{"an ignored feature that it lacks", older(), 2, []Stored{{Name: Reach}}, ""},
		{"one that is needed", This(), 2, []Stored{{Name: Reach}, {Name: "next", Needed: true}}, "next"},
		{"one that is needed, and there", next(), 2, []Stored{{Name: "next", Needed: true}}, ""},
		{"a newer format", This(), 9, nil, "format is 9"},
	}
	for _, tc := range cases {
		l := New(tc.p, "n0", "b", nil, nil, nil)
		l.SetFormat(tc.format)
		l.SetOn(tc.on)
		if got := l.Unfit(); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: %q", tc.name, got)
		}
	}
}

// TestOn: what is on stays on, also what this program does not know.
func TestOn(t *testing.T) {
	l := New(This(), "n0", "b", nil, nil, nil)
	l.SetOn([]Stored{{Name: "other"}})
	if got := fmt.Sprint(l.On(l.program.find(Reach))); got != "[{other false} {reach false}]" {
		t.Errorf("stored %s", got)
	}
	l.SetOn([]Stored{{Name: "other"}, {Name: Reach}})
	p := next()
	n := New(p, "n0", "b", nil, nil, nil)
	n.SetOn([]Stored{{Name: "other"}, {Name: Reach}})
	if got := fmt.Sprint(n.On(n.program.find("next"))); got != "[{other false} {reach false} {next true}]" {
		t.Errorf("stored %s", got)
	}
}

// TestWrites: each key has one feature at most, and every feature that is listed
// has what it needs before it.
func TestWrites(t *testing.T) {
	p := This()
	for key, want := range map[string]Name{"log/1": Log, "sweep/x": Sweeps, "sweeps": Sweeps, "reach/n0": Reach, "run/j/0": "", "job/j": "", "features": ""} {
		if got := p.Writes(key); got != want {
			t.Errorf("%s is written by %q, not %q", key, got, want)
		}
	}
	for i, f := range p.Features {
		for _, n := range f.Needs {
			if !slices.ContainsFunc(p.Features[:i], func(o Feature) bool { return o.Name == n }) {
				t.Errorf("%s needs %s, which does not come before it", f.Name, n)
			}
		}
		if f.Since > p.Version || (len(f.Keys) == 0) != f.Messages {
			t.Errorf("%s: since %d, keys %v", f.Name, f.Since, f.Keys)
		}
	}
}
