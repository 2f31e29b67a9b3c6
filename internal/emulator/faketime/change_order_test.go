package faketime

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestWatchesInAnyOrder checks that accepted jobs stay known while the state service is slow and
// many changes come with one answer, in any order.
//
// It guards against a leader that keeps changes for its followers in the order in which a watch
// lists them: a follower that has read half of them itself was not sent the other half, took the
// leader's revision all the same, and answered 404 for the jobs in it.
func TestWatchesInAnyOrder(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newFollowerRun(1100+seed, 3)
			d.addBursts()
			reads := &followerReads{}
			c := d.runWithFollowers(t, reads, 6*second, func(_ *Cluster, inject func(environment.Fault), _ int) {
				inject(environment.Fault{Kind: environment.FaultStateSlow, Factor: 30, Duration: 4 * second})
			}, nil)
			checkRun(t, c)
			if reads.answered < 100 {
				t.Errorf("got %d answered reads from the leader, want at least 100", reads.answered)
			}
		})
	}
}

// addBursts adds jobs of one task that are submitted ten at a time, every two seconds.
func (d *testRun) addBursts() {
	const burst, bursts = 10, 60
	for i := range burst * bursts {
		d.Jobs = append(d.Jobs, job{At: 30*second + int64(i/burst)*2*second, Run: second, Spec: wire.Job{
			ID: fmt.Sprintf("burst-%03d", i), Class: "b", Team: "red", Kind: wire.Array, Tasks: 1,
			CPUs: 0.1, MemGB: 0.1, Priority: "normal", Image: "im-0", ImageGB: 2, EstimateS: 1,
		}})
	}
}
