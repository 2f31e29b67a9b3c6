// Package faultcombos enumerates combinations of faults other than plain crashes and
// partitions: one-way partitions of machines, delayed copies of heartbeats, controllers that
// only workers can reach, and processes and machines that restart immediately. The faults run
// in simulated time, alone and in pairs, with an extra fault while they last, under a load
// with every kind of job, and the history is checked against all rules.
package faultcombos

import (
	"cmp"
	"fmt"
	"log/slog"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
)

const second = config.Second

// Run runs a case. If log is not nil, it receives the log records of the controllers.
func Run(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	cluster, err := runCluster(c, ops, log)
	if err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	result := evaluate(cluster)
	result.required = map[string]int{}
	for _, script := range c.scripts {
		result.overloaded = result.overloaded || script.overloaded
		if script.mustOccur != "" && len(c.scripts) == 1 && c.extra.name == "" { // in combinations one fault may prevent another
			result.required[script.mustOccur] = max(script.minOccurrences, 1)
		}
	}
	return result, nil
}

// heldReportDelays are the delays, in microseconds, between the write of a new leader's key
// and the arrival of the held copies of heartbeats: before the leader knows that it leads, as
// its term begins, and after its first heartbeats.
var heldReportDelays = []int64{1000, 5000, 20_000, 300_000}

// runCluster runs the deployment of a case with its faults.
func runCluster(c Case, ops config.Operators, log *slog.Logger) (*faketime.Cluster, error) {
	var failed error
	var cluster *faketime.Cluster
	onEvent := func(e history.Event) {
		if e.Kind == history.StateChanged && e.Key == core.LeaderKey && e.State == history.KeyPut {
			cluster.After(heldReportDelays[c.Seed%uint64(len(heldReportDelays))], cluster.DeliverHeldReports)
		}
	}
	onStart := func(started *faketime.Cluster) {
		cluster = started
		started.After(faultsBegin, func() { c.beginFaults(started, &failed) })
		started.After(faultsBegin+3*second, func() {
			if c.extra.begin != nil {
				started.ScheduleFaults(&failed, c.extra.begin(started.LeaderFirst())...)
			}
		})
	}
	finished, err := faketime.Run(deployment(c), faketime.Options{Operators: ops, Log: log, OnEvent: onEvent, OnStart: onStart})
	return finished, cmp.Or(err, failed)
}

// beginFaults schedules the faults of the case's scripts, without the extra script.
func (c Case) beginFaults(cluster *faketime.Cluster, failed *error) {
	nodes := cluster.LeaderFirst()
	for _, script := range c.scripts {
		if script.begin != nil {
			cluster.ScheduleFaults(failed, script.begin(nodes)...)
		}
		for i := range script.repeats {
			cluster.After(int64(i)*script.interval, func() { cluster.ScheduleFaults(failed, script.repeat(cluster.LeaderFirst(), i)...) })
		}
	}
}
