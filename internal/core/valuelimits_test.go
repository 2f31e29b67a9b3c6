package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestRefusedWrites checks that limits that are lowered before the stored format allows smaller
// values, or without an announcement in the settings, do not block the writes that fit, and that
// rejected writes are not repeated forever.
func TestRefusedWrites(t *testing.T) {
	cases := []struct {
		name        string
		format      formatRecord
		announced   bool // whether the settings announce the limits
		maxRejected int
	}{
		{"announced, before the format allows smaller values", formatRecord{}, true, 2},
		{"announced", progressLogFormat, true, 0},
		{"not announced", progressLogFormat, false, 20},
	}
	keys := map[string]any{}
	large := job("large")
	large.Spec.Tasks = 200
	keys[jobPrefix+"large"] = large
	for i := range 5 {
		keys[fmt.Sprintf("%ssmall-%d", jobPrefix, i)] = job(fmt.Sprintf("small-%d", i))
	}
	for _, tc := range cases {
		h := newHarness(t, keys)
		h.core.settings.Peers = []string{"old"} // never advertises this version
		if kb, ops := 2.0, 4; tc.announced {
			h.core.settings.State.Next = &config.UpcomingStateLimits{ValueKB: &kb, TxnOps: &ops}
		}
		if tc.format.Version != 0 {
			h.store(formatKey, tc.format)
			h.refresh()
		}
		h.advance(3 * second)
		h.maxValue, h.maxOps = 2048, 4
		for id, j := range h.core.cache.jobs {
			for i := range j.Tasks {
				j.PlaceTask(i, fmt.Sprintf("host-%06d", i), 1, h.now)
			}
			if id != "large" {
				j.SetDone(0, h.now)
			}
			h.core.committer.markDirty(j)
		}
		h.advance(20 * second)
		for i := range 5 {
			if _, ok := h.keys[fmt.Sprintf("%ssmall-%d", endPrefix, i)]; !ok {
				t.Errorf("%s: got no stored end of small-%d, want one", tc.name, i)
			}
		}
		if h.rejected > tc.maxRejected {
			t.Errorf("%s: got %d rejected writes, want at most %d", tc.name, h.rejected, tc.maxRejected)
		}
		if j := h.core.cache.jobs["large"]; tc.name == "announced" && (!j.Task(0).Stored || !j.Task(199).Stored) {
			t.Errorf("job large: got first task stored %v, last task stored %v, want both", j.Task(0).Stored, j.Task(199).Stored)
		}
	}
}

// TestTypesInParts checks that machine types read after a change of the limits are those of the
// latest writes, and not of obsolete parts that are still stored.
func TestTypesInParts(t *testing.T) {
	typesOf := func(cpu int64, names ...string) []fleet.Type {
		var types []fleet.Type
		for _, n := range names {
			types = append(types, fleet.Type{Name: n, Cap: jobstate.Resources{CPU: cpu}})
		}
		return types
	}
	type write struct {
		key   string
		types []fleet.Type
	}
	cases := []struct {
		name   string
		writes []write
		want   string
	}{
		{"one value", []write{{"", typesOf(1, "a", "b")}}, "a1 b1"},
		{"one value, then parts", []write{{"", typesOf(1, "a", "b")}, {"/0", typesOf(2, "a")}, {"/1", typesOf(2, "b")}}, "a2 b2"},
		{"only the first of two parts written", []write{{"", typesOf(1, "a", "b")}, {"/0", typesOf(2, "a")}}, "a2 b1"},
		{"new type in a part", []write{{"", typesOf(1, "a")}, {"/0", typesOf(1, "a")}, {"/1", typesOf(1, "b")}}, "a1 b1"},
		{"parts, then one value", []write{{"/0", typesOf(1, "a")}, {"/1", typesOf(1, "b")}, {"", typesOf(2, "a", "c")}}, "a2 c2"},
	}
	for _, tc := range cases {
		h := newHarness(t, nil)
		for _, w := range tc.writes {
			h.store(typesKey+w.key, w.types)
		}
		h.restart()
		var got []string
		for _, machineType := range h.core.cache.machineTypes {
			got = append(got, fmt.Sprint(machineType.Name, machineType.Cap.CPU))
		}
		if joined := strings.Join(got, " "); joined != tc.want {
			t.Errorf("%s: got machine types %s, want %s", tc.name, joined, tc.want)
		}
	}
}

// TestOversizedValues checks that values above the announced limits, stored earlier or to be
// stored now, are split into parts or reduced to the information that is still needed.
func TestOversizedValues(t *testing.T) {
	long := job("long")
	for i := range 40 {
		long.Spec.Types = append(long.Spec.Types, fmt.Sprintf("%s-%02d", strings.Repeat("x", 100), i))
	}
	h := newHarness(t, map[string]any{formatKey: progressLogFormat, jobPrefix + "long": long})
	kb := 2.0
	h.core.settings.State.Next = &config.UpcomingStateLimits{ValueKB: &kb}
	h.maxValue = 2048
	h.advance(3 * second)
	if reply := h.request(CancelJob{ID: "long"}); reply.Status != 200 || h.rejected > 0 {
		t.Errorf("cancelling a job stored before the limits: got status %d, %d rejected writes, want 200 and none", reply.Status, h.rejected)
	}
	var types []fleet.Type
	for i := range 30 {
		types = append(types, fleet.Type{Name: fmt.Sprintf("type-%02d", i), Cap: jobstate.Resources{CPU: 1000}, Zones: []string{"a", "b"}})
	}
	h.step(MachineTypesListed{Types: types, FencingToken: h.core.elector.leadership.fencingToken})
	h.advance(second)
	h.restart()
	if n := len(h.core.cache.machineTypes); n < 30 || h.rejected > 0 {
		t.Errorf("got %d machine types, %d rejected writes, want 30 and none", n, h.rejected)
	}
}
