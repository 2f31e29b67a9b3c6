package api

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/golden"
)

// storedSweep is the file with sweepText in the form in which commit 63ef244 stored it, and
// storedPlan the file with the plan to which it expands.
const (
	storedSweep = "testdata/sweep_63ef244.txt"
	storedPlan  = "testdata/sweep_63ef244.json"
)

const sweepText = `id: "s" pending: 7 combine: PRODUCT duplicates: MERGE skip_if: "lr > 0.3 and fast"
job { herd: "fit" steward: "t" shape: "sweep" urgency: "urgent" vcpus: 1.5 gpus: 1 mem_gb: 2.5 seedstock: "img" pull_gb: 0.5
  breeds: "big" paddock: "a" one_zone: true scatter: false borrowed: true expect_s: 60 bank_s: 20 bank_cost_s: 1 due_s: 600 awaits: "first" }
set { field: "hands" is: "n * 2" }
parameter { name: "n" range { from: 1 to: 3 step: 2 } }
parameter { name: "lr" value { real: 0.25 } value { real: 0.5 } value { real: 0.25 } }
parameter { name: "fast" value { flag: true } value { flag: false } }
parameter { name: "mode" value { text: "a<b" } }`

// TestStoredSweep unpacks a sweep's description as commit 63ef244 stored it, and one that
// this program packed. Both must expand to the same plan. The stored bytes are not compared:
// the protobuf library intentionally varies the spaces of the text format between programs.
func TestStoredSweep(t *testing.T) {
	stored, err := os.ReadFile(storedSweep)
	if err != nil {
		t.Fatal(err)
	}
	plan, err := UnpackSweep(strings.TrimSpace(string(stored)))
	if err != nil {
		t.Fatalf("UnpackSweep of %s: got error %v, want none", storedSweep, err)
	}
	golden.Compare(t, storedPlan, planText(t, plan))
	m, err := DecodeSweep([]byte(sweepText))
	if err != nil || !reflect.DeepEqual(m.Plan, plan) {
		t.Fatalf("plan of the submission: got %+v, error %v, want %+v", m.Plan, err, plan)
	}
	if repacked, err := UnpackSweep(m.Stored); err != nil || !reflect.DeepEqual(repacked, plan) {
		t.Errorf("plan of the repacked sweep: got %+v, error %v, want %+v", repacked, err, plan)
	}
}

// planText encodes a plan as JSON with fixed field names, which do not depend on the names of
// Go fields.
func planText(t *testing.T, p *core.SweepPlan) string {
	t.Helper()
	b, err := json.Marshal(struct {
		ID      string            `json:"id"`
		Digest  string            `json:"digest"`
		Pending int               `json:"pending"`
		Longest int               `json:"longest"`
		Specs   []*jobstate.Spec  `json:"specs"`
		Values  []json.RawMessage `json:"values"`
		Sets    [][]int           `json:"sets"`
	}{p.ID, p.Digest, p.MaxUnfinished, p.Longest, p.Specs, p.Values, p.Sets})
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + "\n"
}
