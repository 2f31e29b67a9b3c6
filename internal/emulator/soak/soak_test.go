package soak

import (
	"context"
	"reflect"
	"runtime"
	"strings"
	"testing"
)

// soakSeeds is how many seeds the tests play, less than two minutes under the race detector;
// zinclb-emulator soak plays any number.
const soakSeeds = 100

// TestSoak plays the first seeds: no rule is broken, and all that was accepted comes to its end.
func TestSoak(t *testing.T) {
	var out strings.Builder
	summary := Plan{First: 1, Seeds: soakSeeds, Parallel: runtime.NumCPU()}.Run(context.Background(), &out)
	if summary.Played != soakSeeds || len(summary.Failed) > 0 {
		t.Errorf("%d played, %d failed:\n%s", summary.Played, len(summary.Failed), out.String())
	}
}

// TestFoundRuns plays the runs of further seeds in which something once went wrong: in the first
// ones the end of a job was lost, in the last one a repeated submission was never answered.
func TestFoundRuns(t *testing.T) {
	for _, seed := range []uint64{139, 155, 176, 282, 396} {
		if result := Play(seed); result.Failed() {
			t.Error(&result)
		}
	}
}

// TestDrawnRuns: a seed always draws the same run, another draws another, and all kinds of what
// the soak is for are among few of them.
func TestDrawnRuns(t *testing.T) {
	if !reflect.DeepEqual(Draw(7), Draw(7)) || reflect.DeepEqual(Draw(7), Draw(8)) {
		t.Error("what is drawn does not follow from the seed")
	}
	drawn := map[string]int{}
	for seed := range uint64(30) {
		run := Draw(seed)
		for _, fault := range run.Faults {
			drawn[string(fault.Kind)]++
		}
		for _, job := range run.Jobs {
			if len(job.Spec.DependsOn) > 0 {
				drawn["a dependent job"]++
			}
			if job.Cancel > 0 {
				drawn["a cancelled job"]++
			}
			if job.AfterDependencies {
				drawn["a job submitted after its dependencies"]++
			}
		}
	}
	for _, kind := range []string{"crash", "state_refuse", "state_outage", "state_slow", "late_writes", "cut", "freeze", "close_looks", "a dependent job", "a cancelled job", "a job submitted after its dependencies"} {
		if drawn[kind] < 5 {
			t.Errorf("%s: %d in 30 runs", kind, drawn[kind])
		}
	}
}

// TestPlan: a soak ends with its time, and plays each of its seeds once.
func TestPlan(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	var out strings.Builder
	if summary := (Plan{First: 1, Seeds: 1000, Parallel: 1}).Run(cancelled, &out); summary.Played > 2 {
		t.Errorf("%d runs were played when the time was over", summary.Played)
	}
	if summary := (Plan{First: 3, Seeds: 2, Parallel: 2}).Run(context.Background(), &out); summary.Played != 2 {
		t.Errorf("%d runs of 2 seeds were played", summary.Played)
	}
}
