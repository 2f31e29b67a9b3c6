package faketime

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestMuteMachinesStopTasks: no machine reaches a controller for fourteen seconds, jobs are
// cancelled in the midst of it, before or after the leader has changed, and their
// tasks are stopped by direct commands long before a report could come or a lease end.
func TestMuteMachinesStopTasks(t *testing.T) {
	for name, crash := range map[string]bool{"the leader stays": false, "another leads": true} {
		t.Run(name, func(t *testing.T) {
			d := newTestRun(21)
			d.Jobs, d.Length = nil, 120*second
			for i := range 6 {
				d.Jobs = append(d.Jobs, job{At: 2 * second, Run: 60 * second, Cancel: 47 * second, Spec: wire.Job{
					ID: fmt.Sprintf("long-%d", i), Class: "long", Team: []string{"red", "blue"}[i%2], Kind: wire.Array, Tasks: 2,
					CPUs: 2, GPUs: 0.5, MemGB: 1, Priority: "normal", Image: "im", ImageGB: 0.1, EstimateS: 60,
				}})
			}
			d.Faults = []fault{{At: 40 * second, Kind: "machine_mute", Share: 1, Duration: 14 * second}}
			if crash {
				d.Faults = append(d.Faults, faultAt(41, "crash", 30))
				d.Faults[1].Hosts = []string{"node-0", "node-1"} // of three, so that a new one leads for certain
			}
			c := d.runAndCheck(t)
			stopped := 0
			for _, e := range c.History {
				if e.Kind == history.TaskLeft && e.Reason == "stopped" && e.At > 47*second && e.At < 51*second {
					stopped++
				}
			}
			if stopped != 12 {
				t.Errorf("%d of 12 tasks were stopped in time", stopped)
			}
		})
	}
}
