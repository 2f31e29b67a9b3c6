package faketime

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestMuteMachinesStopTasks cancels jobs while no machine can send to a controller for 14 s,
// with the same leader or after the leader has changed. Their tasks have to be stopped by
// direct commands, long before a heartbeat could arrive or a lease could expire.
func TestMuteMachinesStopTasks(t *testing.T) {
	for name, crash := range map[string]bool{"same leader": false, "new leader": true} {
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
				d.Faults[1].Hosts = []string{"node-0", "node-1"} // two of three, so that there certainly is a new leader
			}
			c := d.runAndCheck(t)
			stopped := 0
			for _, e := range c.History {
				if e.Kind == history.TaskLeft && e.Reason == "stopped" && e.At > 47*second && e.At < 51*second {
					stopped++
				}
			}
			if stopped != 12 {
				t.Errorf("got %d tasks stopped within 4 s of the cancellation, want 12", stopped)
			}
		})
	}
}
