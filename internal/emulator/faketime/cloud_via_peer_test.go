package faketime

import (
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestCloudViaPeer checks that a leader that cannot reach the cloud rents and returns machines
// through a controller that can, sending each request once.
func TestCloudViaPeer(t *testing.T) {
	for _, tc := range []struct {
		name            string
		alsoPartitioned []string // hosts partitioned from the cloud, in addition to the leader
		reach           bool     // whether the feature is switched on
		// minMachines and maxMachines bound the number of machines that come up between
		// 30 s after the start of the partition and its end. Without a partition, 16 to
		// 20 come up.
		minMachines, maxMachines int
	}{
		{"through a peer", nil, true, 14, 21},
		{"feature switched off", nil, false, 0, 0},
		{"no controller reaches the cloud", []string{"controllers"}, true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newTestRun(71)
			d.ops = config.Defaults()
			d.ops.Reach = tc.reach
			d.setMachines(8)
			d.Length = 500 * second
			d.Jobs = []job{
				{At: 60 * second, Run: 120 * second, Spec: wire.Job{ID: "burst", Class: "c", Team: "red", Kind: wire.Array, Tasks: 12, CPUs: 4, GPUs: 1, MemGB: 9, Priority: "normal", Image: "i", EstimateS: 120}},
				{At: 61 * second, Run: 120 * second, Spec: wire.Job{ID: "more", Class: "c", Team: "blue", Kind: wire.Array, Tasks: 10, CPUs: 4, GPUs: 1, MemGB: 9, Priority: "normal", Image: "i", EstimateS: 120}},
			}
			const from, until = 50 * second, 170 * second
			c := d.run(t, func(c *Cluster) {
				c.After(from, func() {
					f := environment.Fault{Kind: "cut", Hosts: append(tc.alsoPartitioned, c.Leaders()...), To: []string{environment.CloudHost}, Duration: until - from}
					if err := c.InjectFault(f); err != nil {
						t.Error(err)
					}
				})
			})
			if violations := c.Violations(); len(violations) > 0 {
				t.Error(strings.Join(violations, "\n"))
			}
			machinesUp := 0
			for _, e := range c.History {
				if e.Kind == history.MachineUp && e.At > from+30*second && e.At < until {
					machinesUp++
				}
			}
			if machinesUp < tc.minMachines || machinesUp > tc.maxMachines {
				t.Errorf("got %d machines that came up during the partition, want %d to %d", machinesUp, tc.minMachines, tc.maxMachines)
			}
		})
	}
}
