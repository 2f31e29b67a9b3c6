package faketime

import (
	"fmt"
	"sync"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestOutageAfterCancellations tests the scenario of package outages for cancellations that
// end several jobs: the cancellation of a sweep with all its runs, and of a pipeline stage on
// which another stage depends. The state service refuses the leader, another controller confirms
// the cancellation, and then the state service is down for more than twice cancel_s.
func TestOutageAfterCancellations(t *testing.T) {
	const refused, outage, outageEnd = 60 * second, 62 * second, 138 * second
	var mu sync.Mutex
	confirmed := 0
	runCase := func(t *testing.T, size int, loss environment.LossOutcome, restart bool) {
		t.Helper()
		t.Parallel()
		d := newSweepRun(t, uint64(size), environment.Sweep{At: 5 * second, Run: 200 * second, Cancel: refused + second, Times: 2, Text: sweepText("rain", 10, 20)})
		d.Params.Size, d.Length = size, 420*second
		long := wire.Job{Class: "p", Team: "blue", Kind: wire.Array, Tasks: 3, CPUs: 1, MemGB: 0.5, Priority: "urgent", Image: "im-p", ImageGB: 0.5, EstimateS: 200}
		first, dependent := long, long
		first.ID, dependent.ID = "first", "second"
		dependent.DependsOn = []string{"first"}
		d.Jobs = append(d.Jobs, job{At: 6 * second, Run: 200 * second, Cancel: refused + second/2, Spec: first}, job{At: 8 * second, Run: 5 * second, Spec: dependent})
		c := d.run(t, func(c *Cluster) {
			var failed error
			for _, prefix := range []string{"sweepend/", "end/", "end/"} {
				if loss != "" {
					c.ScheduleFaults(&failed, environment.Fault{At: refused, Kind: "state_lose", TransactionLoss: &environment.TransactionLoss{Prefix: core.Prefix + prefix, Outcome: loss, Delay: second / 2}})
				}
			}
			c.ScheduleFaults(&failed, environment.Fault{At: outage, Kind: "state_outage", Duration: outageEnd - outage})
			c.After(refused, func() {
				nodes := c.LeaderFirst()
				c.ScheduleFaults(&failed, environment.Fault{Kind: "state_refuse", Hosts: nodes[:1], Duration: 14 * second})
				if restart {
					c.ScheduleFaults(&failed, environment.Fault{At: 4 * second, Kind: "crash", Hosts: nodes[1:2], Duration: 200_000})
				}
			})
			if failed != nil {
				t.Fatal(failed)
			}
		})
		checkRun(t, c)
		entered := 0
		for _, e := range c.History {
			switch {
			case e.Kind == history.ResponseReceived && e.State == wire.Cancelled && e.At > refused && e.At < outageEnd && (e.Job == history.SweepJob("rain") || e.Job == "second"):
				mu.Lock()
				confirmed++
				mu.Unlock()
			case e.Kind == history.TaskEntered && e.At < refused:
				entered++
			}
		}
		if entered < 10 {
			t.Errorf("%d tasks entered machines before the refusal, want at least 10", entered)
		}
	}
	t.Run("each", func(t *testing.T) {
		for _, size := range []int{3, 5} {
			for _, loss := range []environment.LossOutcome{"", environment.LostAfter, environment.LostLate} {
				for _, restart := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d controllers, loss of writes %q, another controller restarts %v", size, loss, restart), func(t *testing.T) {
						runCase(t, size, loss, restart)
					})
				}
			}
		}
	})
	if confirmed < 12 {
		t.Errorf("%d cancellations were confirmed during refusals and outages, want at least 12", confirmed)
	}
}
