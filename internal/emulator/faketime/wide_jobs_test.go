package faketime

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestWideJobsStart checks that wide gangs, and wide arrays that can no longer meet their
// deadline, start within four minutes during a flood of small jobs of the same priority. The
// small jobs all take five times as long as estimated, so that each seems to end in time.
func TestWideJobsStart(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{wire.Gang, wire.Array} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			d := newTestRun(71)
			d.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
			d.setMachines(4)
			d.Capacity = []environment.Capacity{{Type: "big", Zone: "a", Count: 2}, {Type: "big", Zone: "b", Count: 2}}
			d.Length = 430 * second
			d.Jobs = nil
			due := 30.0
			for i := range 7 {
				j := job{At: int64(20+25*i) * second, Run: 15 * second, Spec: wire.Job{
					ID: fmt.Sprintf("wide-%d", i), Class: "wide", Team: "blue", Kind: kind, Priority: "normal",
					Tasks: 1 + 3*((i+1)%2), CPUs: 11, GPUs: 1, MemGB: 4, EstimateS: 15, Image: "w", ImageGB: 1,
				}}
				if kind == wire.Array {
					j.Spec.DeadlineS = &due
				}
				if i%2 == 0 || kind == wire.Array {
					d.Jobs = append(d.Jobs, j)
				}
			}
			for i := range 200 {
				d.Jobs = append(d.Jobs, job{At: int64(5+2*i) * second, Run: 25 * second, Spec: wire.Job{
					ID: fmt.Sprintf("small-%03d", i), Class: "small", Team: "red", Kind: wire.Array, Priority: "normal",
					Tasks: 4, CPUs: 1, MemGB: 1, EstimateS: 5, Image: "s", ImageGB: 1, DeadlineS: &due,
				}})
			}
			if kind == wire.Gang {
				d.Jobs = append(d.Jobs, job{At: 10 * second, Run: 5 * second, Spec: wire.Job{
					ID: "narrow", Class: "wide", Team: "blue", Kind: kind, Priority: "normal",
					Tasks: 1, CPUs: 11, MemGB: 4, EstimateS: 5, Image: "w", ImageGB: 1,
				}})
			}
			c := d.run(t, nil)
			if violations := c.Violations(); len(violations) > 0 {
				t.Errorf("got violations %v, want none", violations)
			}
			got := history.Metrics(c.History, c.Expectations(), nil)
			t.Logf("share of wide jobs started %.2f, share of small jobs done by their deadline %.2f", got["largest begun wide"], got["served class small"])
			if share, ok := got["largest begun wide"]; !ok || share < 0.9 {
				t.Errorf("share of wide jobs started within four minutes is %.2f (found: %v), want at least 0.90", share, ok)
			}
		})
	}
}
