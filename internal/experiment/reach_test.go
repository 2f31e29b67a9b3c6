package experiment

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
)

const (
	reachSeeds        = 20
	partitionAt       = 20 * config.Second
	partitionDuration = 40 * config.Second
	reachableWithin   = 100 * config.Second // after the end of the partition
	viewInterval      = config.Second
)

// TestReachAfterPartition checks that the connectivity matrices recover from a partition. A leader
// is partitioned for a while, and machines are scaled in and out. At some time in the 100 s after
// the partition, all controllers have to report that all of them reach both zones completely.
// TestCutLeader checks the same with real processes.
//
// In 121 of 200 runs with the leader partitioned from the state service and the other controllers,
// the matrices never recovered: some controllers reported for all of the 100 s that they reach two
// eighths of a zone, or none of it. There were two causes: machines that had been scaled in stayed
// in the samples (connectivity.TestGoneMachinesRemoved), and an advertisement that was lost with
// its lease was not stored again (core.TestAdvertisementIsStoredAgain). Both are visible in the
// rows of the matrices. With the first cause fixed, 3 of 40 runs still failed: one row was missing,
// and all others were complete. With both fixed, none of 400 runs failed.
func TestReachAfterPartition(t *testing.T) {
	for _, to := range [][]string{{"workers", "controllers"}, {environment.StateHost, "controllers"}} {
		for seed := range uint64(reachSeeds) {
			t.Run(fmt.Sprintf("%v/%d", to, seed+1), func(t *testing.T) {
				t.Parallel()
				recovered, last := runPartition(t, seed+1, to)
				if !recovered {
					t.Errorf("within %d s after the partition: got no time at which all controllers reach both zones, want at least one; last matrices %s", reachableWithin/config.Second, last)
				}
			})
		}
	}
}

// runPartition runs the scenario quiet-day with the leader partitioned from the hosts in to. It
// reports whether at some time after the partition all controllers reached all hosts, and returns
// the last matrices.
func runPartition(t *testing.T, seed uint64, to []string) (recovered bool, last string) {
	t.Helper()
	s, err := scenario.Load("../../scenarios/quiet-day.txtpb", seed)
	if err != nil {
		t.Fatal(err)
	}
	s.Faults = nil
	s.Length = partitionAt + partitionDuration + reachableWithin + config.Second
	onStart := func(cluster *faketime.Cluster) {
		cluster.After(partitionAt, func() {
			fault := environment.Fault{Kind: "cut", Hosts: cluster.LeaderFirst()[:1], To: to, Duration: partitionDuration}
			if err := cluster.InjectFault(fault); err != nil {
				t.Error(err)
			}
		})
		for after := config.Micros(0); after <= reachableWithin; after += viewInterval {
			cluster.After(partitionAt+partitionDuration+after, func() {
				views := connectivityMatrices(cluster)
				last = fmt.Sprint(views)
				recovered = recovered || allReachAll(views, cluster.Config.Params.Size)
			})
		}
	}
	cluster, err := faketime.Run(s.Config, faketime.Options{Operators: config.Defaults(), OnStart: onStart})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range cluster.Violations() {
		t.Error(violation)
	}
	return recovered, last
}

// connectivityMatrices returns the connectivity matrix of each controller that is running.
func connectivityMatrices(cluster *faketime.Cluster) map[string]map[string]core.ConnectivityRowView {
	views := map[string]map[string]core.ConnectivityRowView{}
	for _, controller := range cluster.Controllers {
		query := func(id uint64) any { return core.QueryOperatorView{RequestID: id} }
		controller.Request(query, func(reply core.Reply) {
			if reply.Ops != nil {
				views[reply.Ops.Controller] = reply.Ops.Reach.Matrix
			}
		})
	}
	return views
}

// allReachAll reports whether there is a matrix of each of the size controllers, with a row for each
// controller, and whether all rows show that both zones and all other controllers are reached.
func allReachAll(views map[string]map[string]core.ConnectivityRowView, size int) bool {
	for _, matrix := range views {
		for _, row := range matrix {
			if row.Workers["a"] != 8 || row.Workers["b"] != 8 || len(row.Peers) != size-1 {
				return false
			}
		}
		if len(matrix) != size {
			return false
		}
	}
	return len(views) == size
}
