package history

import (
	"maps"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestMetrics checks that times are counted from the first submission attempt, or from the end of
// a job's dependencies, and that shares cover only jobs whose time is over.
func TestMetrics(t *testing.T) {
	const s = 1_000_000
	due := 20.0
	expected := Expectations{Jobs: map[string]*wire.Job{"a": {Class: "c", Tasks: 2}, "b": {Class: "c", Tasks: 1, DependsOn: []string{"a"}, DeadlineS: &due}, "late": {Class: "c", Tasks: 1}, "gone": {Class: "c", Tasks: 1}}}
	events := []Event{
		{At: 1 * s, Kind: RequestSent, Op: Submit, Job: "a"},
		{At: 2 * s, Kind: ResponseReceived, Op: Submit, Job: "a"},
		{At: 3 * s, Kind: ResponseReceived, Op: Submit, Job: "a", Status: 201},
		{At: 3 * s, Kind: RequestSent, Op: Submit, Job: "b"},
		{At: 3 * s, Kind: ResponseReceived, Op: Submit, Job: "b", Status: 201},
		{At: 4 * s, Kind: RequestSent, Op: Submit, Job: "gone"},
		{At: 4 * s, Kind: RequestSent, Op: Cancel, Job: "gone"},
		{At: 5 * s, Kind: TaskStarted, Job: "a", Task: 0},
		{At: 12 * s, Kind: TaskStarted, Job: "a", Task: 1},
		{At: 13 * s, Kind: TaskLeft, Job: "a", Task: 1, Reason: "died"},
		{At: 14 * s, Kind: TaskStarted, Job: "a", Task: 1},
		{At: 15 * s, Kind: TaskCompleted, Job: "a", Task: 0},
		{At: 20 * s, Kind: TaskCompleted, Job: "a", Task: 1},
		{At: 22 * s, Kind: TaskStarted, Job: "b"},
		{At: 25 * s, Kind: TaskCompleted, Job: "b"},
		{At: 55 * s, Kind: RequestSent, Op: Submit, Job: "late"},
		{At: 60 * s, Kind: CostRecorded, Cost: 3},
	}
	got := Metrics(events, expected, []Objective{{Kind: "wait", Class: "c", Within: 10 * s}, {Kind: "complete", Class: "c", Within: 10 * s}, {Kind: "deadline", Class: "c"}, {Kind: "accept", Within: 1 * s}})
	want := map[string]float64{"wait c 10 s": 2. / 3, "complete c 10 s": 0.5, "deadline c": 0, "accept 1 s": 1. / 3, "cost": 3, "tasks_done": 3, "tasks_lost": 1, "jobs_accepted": 2, "jobs_done": 2, "served class c": 0, "served team ": 0, "served_least": 0, "largest served c": 0, "largest_least": 0, "accept_p50_s": 2, "accept_p99_s": 2}
	if !maps.Equal(got, want) {
		t.Errorf("got metrics  %v\nwant metrics %v", got, want)
	}
}
