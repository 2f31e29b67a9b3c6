package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestFaultyMachines checks that faulty machines are drained, and that machines on which only
// faulty jobs fail are not.
func TestFaultyMachines(t *testing.T) {
	type failure struct{ machine, job int }
	cases := []struct {
		name     string
		failures []failure
		drained  int
	}{
		{"one failure", []failure{{0, 0}}, 0},
		{"repeated failures of one job", []failure{{0, 0}, {0, 0}, {0, 0}}, 0},
		{"two jobs on one machine", []failure{{0, 0}, {0, 1}}, 1},
		{"faulty job on every machine", []failure{{0, 0}, {1, 0}, {2, 0}, {3, 0}}, 0},
		{"two faulty jobs on every machine in turn", []failure{{0, 0}, {1, 0}, {2, 0}, {3, 0}, {0, 1}, {1, 1}, {2, 1}, {3, 1}}, 0},
		{"faulty job on several machines and a faulty machine", []failure{{0, 0}, {1, 0}, {2, 0}, {3, 1}, {3, 2}}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			jobs := map[int]*jobstate.Job{}
			for _, failed := range tc.failures {
				if jobs[failed.job] == nil {
					jobs[failed.job] = jobstate.NewJob(&jobstate.Spec{ID: fmt.Sprint("job", failed.job), Tasks: 1})
				}
				h.core.tasks.suspectMachine(h.core.workers.getOrAddMachine(fmt.Sprint("m", failed.machine)), jobs[failed.job])
			}
			drained := 0
			for _, m := range h.core.elector.leadership.fleet.All() {
				if m.Draining {
					drained++
				}
			}
			if drained != tc.drained {
				t.Errorf("drained machines: got %d, want %d", drained, tc.drained)
			}
		})
	}
}
