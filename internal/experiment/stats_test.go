package experiment

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
)

// results returns the results of two versions: one result of version "old" for each value in base,
// and one of version "new" for each value in other. The index of a value is its seed.
func results(base, other []float64) (list []Result) {
	for i, v := range base {
		list = append(list, Result{Scenario: "day", Seed: uint64(i), Version: "old", Figures: map[string]float64{"wait c 5 s": v}})
	}
	for i, v := range other {
		list = append(list, Result{Scenario: "day", Seed: uint64(i), Version: "new", Figures: map[string]float64{"wait c 5 s": v, "only here": 1}})
	}
	return list
}

// TestCompare checks the differences against bounds computed from a table of Student's t: 4.303
// for two degrees of freedom, 12.706 for one.
func TestCompare(t *testing.T) {
	cases := []struct {
		name            string
		base, other     []float64
		mean, low, high float64
		significant     bool
	}{
		{"no difference", []float64{1, 2, 3}, []float64{1, 2, 3}, 0, 0, 0, false},
		{"same difference in each pair", []float64{1, 5, 9}, []float64{2, 6, 10}, 1, 1, 1, true},
		{"noise", []float64{0, 0, 0}, []float64{1, 2, 3}, 2, 2 - 4.3027/math.Sqrt(3), 2 + 4.3027/math.Sqrt(3), false},
		{"two pairs", []float64{0, 0}, []float64{1, 3}, 2, 2 - 12.7062, 2 + 12.7062, false},
		{"seed of one version only, left out", []float64{0, 0, 0, 50}, []float64{1, 2, 3}, 2, 2 - 4.3027/math.Sqrt(3), 2 + 4.3027/math.Sqrt(3), false},
		{"one pair, no confidence interval", []float64{0}, []float64{1}, 1, math.NaN(), math.NaN(), false},
	}
	for _, tc := range cases {
		differences := Compare(results(tc.base, tc.other), "old")
		if len(differences) != 1 {
			t.Fatalf("%s: got %d differences, want 1", tc.name, len(differences))
		}
		near := func(a, b float64) bool { return math.Abs(a-b) < 1e-3 || math.IsNaN(a) && math.IsNaN(b) }
		if d := differences[0]; !near(d.Mean, tc.mean) || !near(d.Low, tc.low) || !near(d.High, tc.high) || d.Significant() != tc.significant {
			t.Errorf("%s: got %+v, significant %v; want mean %v, bounds %v and %v, significant %v", tc.name, d, d.Significant(), tc.mean, tc.low, tc.high, tc.significant)
		}
	}
}

// TestPlot checks that Plot draws a plot for each figure of an objective, and none for a listed
// figure that no run has.
func TestPlot(t *testing.T) {
	dir := t.TempDir()
	files, err := Plot(results([]float64{1, 0.9}, []float64{0.8, 0.7}), dir, []string{"never measured"})
	if err != nil || len(files) != 2 {
		t.Fatalf("got files %v, error %v; want two files", files, err)
	}
	if s, err := os.Stat(filepath.Join(dir, "wait-c-5-s.png")); err != nil || s.Size() < 1000 {
		t.Errorf("plot wait-c-5-s.png: got error %v, want a file of at least 1000 bytes", err)
	}
}

// TestRunInProcess checks that a cell that is run twice has the same digest, that another seed
// gives another digest, and that an invalid mode and a missing scenario are reported.
func TestRunInProcess(t *testing.T) {
	r := Run{Scenario: "../../scenarios/roll.txtpb", Seed: 3, Version: Head, Mode: "fake"}
	a, b := RunInProcess(r, "", ops()), RunInProcess(r, "", ops())
	if a.Digest != b.Digest || a.Digest == "" || len(a.Violations) > 0 || a.Figures["jobs_done"] == 0 {
		t.Errorf("two runs of a cell: got\n%+v\n%+v\nwant equal digests, no violations, jobs done", a, b)
	}
	if r.Seed++; RunInProcess(r, "", ops()).Digest == a.Digest {
		t.Error("another seed: got the same digest, want a different one")
	}
	if r.Mode = "luck"; RunInProcess(r, "", ops()).FailureReason == "" {
		t.Error("unknown mode: got no failure reason, want one")
	}
	if r.Scenario = "nowhere"; RunInProcess(r, "", ops()).FailureReason == "" {
		t.Error("missing scenario: got no failure reason, want one")
	}
}

func ops() config.Operators { return config.Defaults() }
