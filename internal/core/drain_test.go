package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestFaultyMachines checks that faulty machines are drained, and that machines on which a faulty job
// fails are not.
func TestFaultyMachines(t *testing.T) {
	type failure struct{ machine, job int }
	cases := []struct {
		name    string
		fails   []failure
		drained int
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
			for _, f := range tc.fails {
				if jobs[f.job] == nil {
					jobs[f.job] = jobstate.NewJob(&jobstate.Spec{ID: fmt.Sprint("job", f.job), Tasks: 1})
				}
				h.core.tasks.suspectMachine(h.core.workers.getOrAddMachine(fmt.Sprint("m", f.machine)), jobs[f.job])
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
