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
		name string
		to   []string // hosts that are partitioned from the cloud in addition to the leader
		on   bool
		// least and most bound the number of machines that come up during the partition;
		// without a partition it is 16 to 20.
		least, most int
	}{
		{"through a peer", nil, true, 14, 21},
		{"feature switched off", nil, false, 0, 0},
		{"no controller reaches the cloud", []string{"controllers"}, true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newTestRun(71)
			d.ops = config.Defaults()
			d.ops.Reach = tc.on
			d.setMachines(8)
			d.Length = 500 * second
			d.Jobs = []job{
				{At: 60 * second, Run: 120 * second, Spec: wire.Job{ID: "burst", Class: "c", Team: "red", Kind: wire.Array, Tasks: 12, CPUs: 4, GPUs: 1, MemGB: 9, Priority: "normal", Image: "i", EstimateS: 120}},
				{At: 61 * second, Run: 120 * second, Spec: wire.Job{ID: "more", Class: "c", Team: "blue", Kind: wire.Array, Tasks: 10, CPUs: 4, GPUs: 1, MemGB: 9, Priority: "normal", Image: "i", EstimateS: 120}},
			}
			const from, until = 50 * second, 170 * second
			c := d.run(t, func(c *Cluster) {
				c.After(from, func() {
					f := environment.Fault{Kind: "cut", Hosts: append(tc.to, c.Leaders()...), To: []string{environment.CloudHost}, Duration: until - from}
					if err := c.InjectFault(f); err != nil {
						t.Error(err)
					}
				})
			})
			if l := c.Violations(); len(l) > 0 {
				t.Error(strings.Join(l, "\n"))
			}
			came := 0
			for _, e := range c.History {
				if e.Kind == history.MachineUp && e.At > from+30*second && e.At < until {
					came++
				}
			}
			if came < tc.least || came > tc.most {
				t.Errorf("%d machines came up during the partition, want %d to %d", came, tc.least, tc.most)
			}
		})
	}
}
