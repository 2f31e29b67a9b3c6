package core

import (
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// TestIncompatible checks that a controller whose program is too old for the stored state does
// not lead, or resigns if the state becomes incompatible while it leads, and that from then on
// the controller writes nothing and is not ready. TestQuit checks that the process ends.
func TestIncompatible(t *testing.T) {
	needed := featuresRecord{[]upgrade.StoredFeature{{Name: upgrade.Connectivity}, {Name: "tomorrow", Required: true}}}
	for _, tc := range []struct {
		name      string
		keys      map[string]any
		laterKeys map[string]any
	}{
		{"unknown required feature at the start", map[string]any{featuresKey: needed}, nil},
		{"newer format at the start", map[string]any{formatKey: formatRecord{9, 32}}, nil},
		{"unknown required feature while leading", nil, map[string]any{featuresKey: needed}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, tc.keys)
			h.advance(2 * second)
			if leads := h.core.elector.leadership != nil; leads != (tc.laterKeys != nil) {
				t.Fatalf("before the later change: got leader %v, want %v", leads, tc.laterKeys != nil)
			}
			for key, value := range tc.laterKeys {
				h.store(key, value)
			}
			h.readState(StateRead{AfterRevision: h.core.cache.appliedRevision})
			before := h.revision
			h.advance(10 * second)
			if h.revision != before || h.core.elector.leadership != nil {
				t.Errorf("incompatible program: got leader %v and %d writes, want no leader and no write", h.core.elector.leadership != nil, h.revision-before)
			}
			h.step(CheckReady{RequestID: 1})
			h.step(QueryJob{RequestID: 2, ID: "x"})
			if h.replies[1].Status != 503 || h.replies[2].Status != 503 || !strings.Contains(h.replies[1].Error, "start a newer one") {
				t.Errorf("got replies %+v to CheckReady and %+v to QueryJob, want status 503 for both and \"start a newer one\" in the first", h.replies[1], h.replies[2])
			}
		})
	}
}

// TestQuit checks that an incompatible program quits once, and only at its start.
func TestQuit(t *testing.T) {
	quits := func(starting bool) (n int) {
		h := newPeerHarness(t, "n1")
		h.core.cache.appliedRevision = 0
		if !starting {
			h.core.cache.appliedRevision = 7
		}
		for range 2 {
			h.step(StateListed{Revision: 30, Changes: []Change{{Key: formatKey, Value: encodeJSON(formatRecord{9, 64}), Revision: 9}}})
		}
		return len(takeEffects[Quit](h))
	}
	if quits(true) != 1 || quits(false) != 0 {
		t.Errorf("got %d Quit effects at the start and %d later, want 1 and 0", quits(true), quits(false))
	}
}

// TestSetDecommissioned checks which controllers operators may declare decommissioned, and that
// the record is removed when the controller comes back.
func TestSetDecommissioned(t *testing.T) {
	h := newPeerHarness(t, "n0")
	h.revision++
	h.step(StateRead{AfterRevision: h.revision - 1, Revision: h.revision, Changes: []Change{{Key: memberPrefix + "n1", Value: encodeJSON(upgrade.Advertisement{Format: 2, Incarnation: "x"}), Revision: h.revision}}})
	for _, tc := range []struct {
		name           string
		decommissioned bool
		status         ReplyCode
	}{{"n0", true, 404}, {"other", true, 404}, {"n1", true, 409}, {"n2", false, 200}, {"n2", true, 200}, {"n2", true, 200}, {"n2", false, 200}} {
		h.effects = nil
		h.step(SetDecommissioned{RequestID: 1, Name: tc.name, Decommissioned: tc.decommissioned})
		if replies := takeEffects[Reply](h); len(replies) != 1 || replies[0].Status != tc.status || tc.status == 200 && replies[0].Decommission.Decommissioned != tc.decommissioned || tc.status != 200 && replies[0].Error == "" {
			t.Errorf("setting %s decommissioned to %v: got replies %+v, want one with status %d", tc.name, tc.decommissioned, replies, tc.status)
		}
		if stored := h.core.membership.isDecommissioned("n2"); tc.name == "n2" && stored != tc.decommissioned {
			t.Errorf("setting %s decommissioned to %v: got %v stored, want %v", tc.name, tc.decommissioned, stored, tc.decommissioned)
		}
	}
	// The controller comes back, and its record is removed.
	h.step(SetDecommissioned{RequestID: 2, Name: "n2", Decommissioned: true})
	h.revision++
	h.step(StateRead{AfterRevision: h.revision - 1, Revision: h.revision, Changes: []Change{{Key: memberPrefix + "n2", Value: encodeJSON(upgrade.Advertisement{Format: 2, Incarnation: "x"}), Revision: h.revision}}})
	h.advance(3 * second)
	if h.core.membership.isDecommissioned("n2") {
		t.Error("n2 came back: got it still decommissioned, want its record removed")
	}
	h.stateSilent = true
	h.advance(4 * second)
	h.effects = nil
	h.step(SetDecommissioned{RequestID: 3, Name: "n2", Decommissioned: true})
	if replies := takeEffects[Reply](h); len(replies) != 1 || replies[0].Status != 503 || replies[0].RetryAfter == 0 {
		t.Errorf("without the state service: got replies %+v, want one with status 503 and a retry time", replies)
	}
}
