package core

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestLatePipelines checks that a pipeline that will miss its deadline is reported to operators
// before the deadline, with the stage that delays it.
func TestLatePipelines(t *testing.T) {
	cases := []struct {
		name     string
		deadline int64
		done     bool // first stage done
		want     string
	}{
		{"enough time left", 300 * second, false, ""},
		{"too little time left", 25 * second, false, "the pipeline to c will be about"},
		{"second stage delays the pipeline", 25 * second, true, "b is queued"},
	}
	for _, tc := range cases {
		last := job("c", "b")
		last.Spec.Deadline = tc.deadline
		keys := map[string]any{formatKey: progressLogFormat, jobPrefix + "b": job("b", "a"), jobPrefix + "c": last}
		if tc.done {
			keys[endPrefix+"a"] = endDone
		} else {
			keys[jobPrefix+"a"] = job("a")
		}
		for key, value := range keys {
			if record, ok := value.(jobstate.Record); ok {
				record.SubmittedWall = wallOffsetInTests + second
				keys[key] = record
			}
		}
		h := newHarness(t, nil)
		h.advance(second) // the controller has to learn the time of day first
		for _, key := range slices.Sorted(maps.Keys(keys)) {
			h.store(key, keys[key])
		}
		h.refresh()
		h.advance(15 * second)
		h.lastRequest++
		h.step(QueryOperatorView{RequestID: h.lastRequest})
		got := strings.Join(h.replies[h.lastRequest].Ops.Conditions, "; ")
		if tc.want == "" && strings.Contains(got, "pipeline") || !strings.Contains(got, tc.want) {
			t.Errorf("%s: got conditions %q, want one with %q, or none about pipelines if empty", tc.name, got, tc.want)
		}
	}
}
