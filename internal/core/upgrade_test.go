package core

import (
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// TestIncompatible: a program that is too old for what is stored ends at its start, or, if it
// learns of it later, resigns as the leader; it writes nothing from then on, and is not ready.
func TestIncompatible(t *testing.T) {
	needed := featuresRecord{[]upgrade.StoredFeature{{Name: upgrade.Connectivity}, {Name: "tomorrow", Required: true}}}
	for _, tc := range []struct {
		name string
		keys map[string]any
		then map[string]any
	}{
		{"at its start, by a feature", map[string]any{featuresKey: needed}, nil},
		{"at its start, by the format", map[string]any{formatKey: formatRecord{9, 32}}, nil},
		{"while it leads", nil, map[string]any{featuresKey: needed}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newHarness(t, tc.keys)
			s.advance(2 * second)
			if led := s.core.elector.leadership != nil; led != (tc.then != nil) {
				t.Fatalf("leads %v", led)
			}
			for k, v := range tc.then {
				s.store(k, v)
			}
			s.readState(StateRead{AfterRevision: s.core.cache.appliedRevision})
			before := s.revision
			s.advance(10 * second)
			if s.revision != before || s.core.elector.leadership != nil {
				t.Errorf("leads %v, and has written %d times", s.core.elector.leadership != nil, s.revision-before)
			}
			s.step(CheckReady{RequestID: 1})
			s.step(QueryJob{RequestID: 2, ID: "x"})
			if s.replies[1].Status != 503 || s.replies[2].Status != 503 || !strings.Contains(s.replies[1].Error, "start a newer one") {
				t.Errorf("answers %+v and %+v", s.replies[1], s.replies[2])
			}
		})
	}
}

// TestQuit: the process ends once, and only at its start.
func TestQuit(t *testing.T) {
	quits := func(starting bool) (n int) {
		b := newPeerHarness(t, "n1")
		b.c.cache.appliedRevision = 0
		if !starting {
			b.c.cache.appliedRevision = 7
		}
		for range 2 {
			b.step(StateListed{Revision: 30, Changes: []Change{{Key: formatKey, Value: encodeJSON(formatRecord{9, 64}), Revision: 9}}})
		}
		return len(takeEffects[Quit](b))
	}
	if quits(true) != 1 || quits(false) != 0 {
		t.Errorf("at the start %d, later %d", quits(true), quits(false))
	}
}

// TestSetDecommissioned: which controllers may be declared gone.
func TestSetDecommissioned(t *testing.T) {
	b := newPeerHarness(t, "n0")
	b.revision++
	b.step(StateRead{AfterRevision: b.revision - 1, Revision: b.revision, Changes: []Change{{Key: memberPrefix + "n1", Value: encodeJSON(upgrade.Advertisement{Format: 2, Incarnation: "x"}), Revision: b.revision}}})
	for _, tc := range []struct {
		name   string
		gone   bool
		status ReplyCode
	}{{"n0", true, 404}, {"other", true, 404}, {"n1", true, 409}, {"n2", false, 200}, {"n2", true, 200}, {"n2", true, 200}, {"n2", false, 200}} {
		b.effects = nil
		b.step(SetDecommissioned{RequestID: 1, Name: tc.name, Decommissioned: tc.gone})
		if r := takeEffects[Reply](b); len(r) != 1 || r[0].Status != tc.status || tc.status == 200 && r[0].Decommission.Decommissioned != tc.gone || tc.status != 200 && r[0].Error == "" {
			t.Errorf("%s gone %v: %+v", tc.name, tc.gone, r)
		}
		if stored := b.c.membership.isDecommissioned("n2"); tc.name == "n2" && stored != tc.gone {
			t.Errorf("%s gone %v: stored %v", tc.name, tc.gone, stored)
		}
	}
	// It comes back: the record is removed.
	b.step(SetDecommissioned{RequestID: 2, Name: "n2", Decommissioned: true})
	b.revision++
	b.step(StateRead{AfterRevision: b.revision - 1, Revision: b.revision, Changes: []Change{{Key: memberPrefix + "n2", Value: encodeJSON(upgrade.Advertisement{Format: 2, Incarnation: "x"}), Revision: b.revision}}})
	b.advance(3 * second)
	if b.c.membership.isDecommissioned("n2") {
		t.Error("it is there, and still decommissioned")
	}
	b.stateSilent = true
	b.advance(4 * second)
	b.effects = nil
	b.step(SetDecommissioned{RequestID: 3, Name: "n2", Decommissioned: true})
	if r := takeEffects[Reply](b); len(r) != 1 || r[0].Status != 503 || r[0].RetryAfter == 0 {
		t.Errorf("without the state service: %+v", r)
	}
}
