package faketime

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

type (
	fault = environment.Fault
	job   = environment.Job
)

// testRun is the configuration of a run and the settings of its controllers.
type testRun struct {
	environment.Config
	ops        config.Operators
	oneMissing bool
}

// newTestRun returns a small deployment with tight limits and random jobs.
func newTestRun(seed uint64) *testRun {
	d := &testRun{ops: config.Defaults()}
	params := &d.Params
	params.Size = 3
	params.Zones = []string{"a", "b"}
	params.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: 12}, {Name: "blue", GPUs: 4, GPUsMax: 10}}
	params.Workers.ReportS, params.Workers.LeaseS, params.Workers.GangWaitS, params.Workers.GangPeerS, params.Workers.CancelS = 2.5, 16, 30, 4, 36
	params.State.RPS, params.State.WriteRPS, params.State.ValueKB, params.State.TxnOps = 80, 25, 8, 12
	params.Cloud.RPS, params.Cloud.ListLagS = 3, 8
	params.ClockErrorMS = 500
	d.Seed, d.Length = seed, 400*second
	d.RestartTime, d.StateDelay, d.CloudDelay, d.ClockDrift, d.StrayRequestRate = 4*second, 3000, 50_000, 0.0005, 0.1
	d.Types = []wire.MachineType{{Name: "big", CPUs: 12, GPUs: 2, MemGB: 48, FetchRate: 0.5, CacheGB: 50, BootS: 20, Price: 1, SpotPrice: 0.4, Zones: []string{"a", "b"}}}
	d.setMachines(8)
	rng := rand.New(rand.NewPCG(seed, 9))
	for i := range 30 {
		j := job{At: second + rng.Int64N(180*second), Run: 4*second + rng.Int64N(30*second)}
		spec := &j.Spec
		*spec = wire.Job{
			ID: fmt.Sprintf("job-%02d", i), Class: "c", Team: []string{"red", "blue"}[rng.IntN(2)], Priority: []string{"idle", "normal", "urgent"}[rng.IntN(3)],
			Image: fmt.Sprintf("im-%d", rng.IntN(2)), ImageGB: 2, EstimateS: float64(5 + rng.IntN(100)), Spot: rng.IntN(2) == 0,
		}
		switch rng.IntN(3) {
		case 0:
			spec.Kind, spec.Tasks, spec.CPUs, spec.GPUs, spec.MemGB = wire.Gang, 1+rng.IntN(3), 10, 2, 30
			spec.OneZone, spec.CheckpointS, spec.CheckpointCostS = rng.IntN(2) == 0, 10, 2
		case 1:
			spec.Kind, spec.Tasks, spec.CPUs, spec.GPUs, spec.MemGB = wire.Array, 1+rng.IntN(12), 4, 1, 9
			spec.Spread = rng.IntN(3) == 0
		default:
			spec.Kind, spec.Tasks, spec.CPUs, spec.GPUs, spec.MemGB = wire.Array, 1+rng.IntN(8), 2, 0.5, 3
		}
		if rng.IntN(5) == 0 {
			j.Cancel = j.At + rng.Int64N(60*second)
		}
		d.Jobs = append(d.Jobs, j)
	}
	return d
}

// setMachines sets the number of machines that are up at the start to n. In addition, n machines
// and n/2 spot machines can be rented in each zone.
func (d *testRun) setMachines(n int) {
	d.Machines, d.Capacity = nil, nil
	for i, zone := range d.Params.Zones {
		d.Machines = append(d.Machines, environment.InitialMachines{Type: "big", Zone: zone, Count: (n + i) / 2})
		d.Capacity = append(d.Capacity, environment.Capacity{Type: "big", Zone: zone, Count: n, Spot: n / 2})
	}
}

// addPipelines adds n pipelines of four stages to the run. Some are cancelled at some stage,
// some last stages are submitted only after their dependencies have ended, and some first
// stages depend on another job of the run.
func (d *testRun) addPipelines(n int) {
	rng := rand.New(rand.NewPCG(d.Seed, 10))
	for i := range n {
		id := func(stage int) string { return fmt.Sprintf("pipe-%02d-%d", i, stage) }
		at := 20*second + rng.Int64N(150*second)
		add := func(stage int, kind string, tasks int, dependencies ...string) *job {
			j := job{At: at, Run: 3*second + rng.Int64N(8*second)}
			j.Spec = wire.Job{
				ID: id(stage), Class: "p", Team: "blue", Kind: kind, Tasks: tasks, CPUs: 1, MemGB: 0.5,
				Priority: []string{"idle", "normal"}[stage/2], Image: "im-p", ImageGB: 0.5, EstimateS: float64(j.Run) / 1e6, DependsOn: dependencies, OneZone: kind == wire.Gang,
			}
			d.Jobs = append(d.Jobs, j)
			return &d.Jobs[len(d.Jobs)-1]
		}
		var first []string
		if rng.IntN(3) == 0 {
			first = append(first, d.Jobs[rng.IntN(5)].Spec.ID)
		}
		add(0, wire.Array, 1+rng.IntN(6), first...)
		add(1, wire.Array, 1+rng.IntN(40), id(0))
		add(2, wire.Gang, 2, id(0))
		last := add(3, wire.Array, 2, id(1), id(2))
		due := 60.0
		last.Spec.DeadlineS, last.AfterDependencies = &due, rng.IntN(4) == 0
		if rng.IntN(3) == 0 {
			d.Jobs[len(d.Jobs)-1-rng.IntN(4)].Cancel = at + rng.Int64N(40*second)
		}
	}
}

// announceLowerLimits announces lower limits of the state service. They take effect with the
// fault state_limits.
func (d *testRun) announceLowerLimits() {
	rate, kb, ops := 18.0, 2.0, 4
	d.Params.State.Next = &config.UpcomingStateLimits{WriteRPS: &rate, ValueKB: &kb, TxnOps: &ops}
}

// run runs the configuration and fails the test if it cannot be run.
func (d *testRun) run(tb testing.TB, onStart func(*Cluster)) *Cluster {
	tb.Helper()
	c, err := Run(d.Config, Options{Operators: d.ops, OneMissing: d.oneMissing, OnStart: onStart})
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// runAndCheck runs the configuration and fails the test if checkRun finds an error.
func (d *testRun) runAndCheck(tb testing.TB) *Cluster {
	tb.Helper()
	c := d.run(tb, nil)
	checkRun(tb, c)
	return c
}

// checkRun fails the test if the run violated a rule or an accepted job did not end.
func checkRun(tb testing.TB, c *Cluster) {
	tb.Helper()
	for _, violation := range c.Violations() {
		tb.Error(violation)
	}
	if unfinished := c.Environment.Unfinished(); len(unfinished) > 0 {
		tb.Errorf("jobs unfinished at the end: %v, want none", unfinished)
	}
}

// faultAt returns a fault that begins after atS seconds and ends durationS seconds later.
func faultAt(atS int64, kind environment.FaultKind, durationS int64, hosts ...string) fault {
	return fault{At: atS * second, Duration: durationS * second, Kind: kind, Hosts: hosts}
}

// seedCount returns the number of seeds that each case is run with, fewer under the race
// detector, where tests are many times slower.
func seedCount() uint64 {
	if raceEnabled {
		return 1
	}
	return 3
}

// faultPerController returns one fault per controller, at intervals of intervalS seconds from 50 s
// on.
func faultPerController(kind environment.FaultKind, intervalS, durationS int64) (faults []fault) {
	for i := range int64(3) {
		faults = append(faults, faultAt(50+i*intervalS, kind, durationS, environment.ControllerName(int(i))))
	}
	return faults
}

// sharedFaultCases are the fault cases that runs with each kind of load have to pass.
var sharedFaultCases = []struct {
	name   string
	faults []fault
	loss   float64
}{
	{name: "no faults"},
	{name: "one controller crashes", faults: []fault{faultAt(60, "crash", 0, "node-0"), faultAt(90, "crash", 0, "node-1")}},
	{name: "two controllers crash at once", faults: []fault{faultAt(70, "crash", 0, "node-0", "node-1")}},
	{name: "all controllers crash", faults: []fault{faultAt(50, "crash", 0), faultAt(120, "crash", 0)}},
	{
		name:   "rolling restart while the cloud refuses capacity and the state service is down and compacts its history",
		faults: []fault{faultAt(50, "cloud_refuse", 120), faultAt(60, "roll", 7), faultAt(63, "state_cold", 12), faultAt(80, "machine_die", 0, "host-000003")},
	},
	{name: "state outage", faults: []fault{faultAt(60, "state_outage", 15)}},
	{name: "state outage longer than hold and lease", faults: []fault{faultAt(60, "state_outage", 45)}},
	{name: "all controllers crash in a state outage", faults: []fault{faultAt(60, "state_outage", 15), faultAt(65, "crash", 0)}},
	{name: "the state service refuses one controller after the other", faults: faultPerController("state_refuse", 45, 40)},
	{name: "the state service is slow", faults: []fault{{At: 50 * second, Duration: 60 * second, Kind: "state_slow", Factor: 100}}},
	{name: "each controller is partitioned in turn", faults: faultPerController("cut", 35, 30)},
	{name: "each controller is frozen in turn", faults: faultPerController("freeze", 50, 40)},
	{name: "controllers cannot reach each other", faults: []fault{{At: 60 * second, Duration: 60 * second, Kind: "cut", Hosts: []string{"controllers"}, To: []string{"controllers"}, PartitionMode: environment.PartitionMode{Reset: true}}}},
	{name: "a zone is partitioned", faults: []fault{faultAt(60, "cut", 40, "zone:a")}},
	{name: "a zone is partitioned only from the other zone", faults: []fault{{At: 60 * second, Duration: 60 * second, Kind: "cut", Hosts: []string{"zone:a"}, To: []string{"zone:b"}}}},
	{name: "controllers reach no worker", faults: []fault{{At: 60 * second, Duration: 60 * second, Kind: "cut", Hosts: []string{"controllers"}, To: []string{"workers"}}}},
	{name: "answers are lost and requests executed late", loss: 0.05, faults: []fault{faultAt(100, "crash", 0, "node-1")}},
	{name: "machines go silent and die", faults: []fault{
		faultAt(40, "machine_silent", 12, "host-000000"), faultAt(60, "machine_silent", 40, "host-000001"),
		faultAt(80, "machine_die", 0, "host-000002"), faultAt(82, "crash", 0),
	}},
	{name: "a third of the machines hangs for half a lease while a new leader starts", faults: []fault{
		faultAt(60, "crash", 0, "node-0", "node-1"),
		faultAt(61, "machine_hang", 8, "host-000000", "host-000003", "host-000006"),
	}},
	{name: "a third of the machines dies as all controllers crash", faults: []fault{faultAt(70, "machine_die", 0, "host-000001", "host-000004", "host-000007"), faultAt(71, "crash", 0)}},
	{name: "a controller is partitioned, a third of the machines is silent, and another controller crashes", faults: []fault{
		faultAt(60, "cut", 35, "node-0"), faultAt(60, "machine_silent", 35, "host-000000", "host-000002", "host-000005"), faultAt(63, "crash", 0, "node-1"),
	}},
	{name: "silent machines in a cloud outage", faults: []fault{faultAt(40, "cloud_outage", 100), faultAt(60, "machine_silent", 30, "host-000001"), faultAt(70, "machine_silent", 50, "host-000003")}},
	{name: "machines fail every task", faults: []fault{faultAt(40, "machine_faulty", 60, "host-000001", "host-000002")}},
	{name: "waves of spot preemptions", faults: []fault{{At: 60 * second, Kind: "spot_wave", Share: 1}, {At: 130 * second, Kind: "spot_wave", Share: 0.5}}},
}

// TestFaults runs mixed jobs through each of the shared fault cases.
func TestFaults(t *testing.T) {
	for i, tc := range sharedFaultCases {
		for seed := range seedCount() {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				d := newTestRun(uint64(i)*10 + seed + 1)
				d.Faults, d.AnswerLoss = tc.faults, tc.loss
				d.Spot = environment.Spot{PerHour: 2, SilentShare: 0.3, Notice: 8 * second}
				d.Boot = environment.Boot{Slow: 0.1, Never: 0.05}
				d.runAndCheck(t)
			})
		}
	}
}

// TestPipelines runs pipelines while the limits of the state service are lowered and
// controllers and the state service fail.
func TestPipelines(t *testing.T) {
	limits := faultAt(70, "state_limits", 0)
	cases := []struct {
		name   string
		faults []fault
		loss   float64
	}{
		{name: "no faults"},
		{name: "limits are lowered", faults: []fault{limits}},
		{name: "limits are lowered during a failover", faults: []fault{limits, faultAt(69, "crash", 0), faultAt(120, "crash", 0, "node-0")}},
		{name: "controllers crash", faults: []fault{limits, faultAt(60, "crash", 0, "node-0"), faultAt(90, "crash", 0, "node-1"), faultAt(130, "crash", 0)}},
		{name: "state outage", faults: []fault{limits, faultAt(80, "state_outage", 45)}},
		{name: "the state service refuses each controller in turn", faults: append(faultPerController("state_refuse", 45, 40), limits)},
		{name: "each controller is partitioned in turn", faults: append(faultPerController("cut", 35, 30), limits)},
		{name: "answers are lost", loss: 0.05, faults: []fault{limits, faultAt(100, "crash", 0, "node-1")}},
	}
	for i, tc := range cases {
		for seed := range seedCount() {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				d := newTestRun(uint64(i)*10 + seed + 201)
				d.Length = 500 * second
				d.announceLowerLimits()
				d.addPipelines(8)
				d.Faults, d.AnswerLoss = tc.faults, tc.loss
				d.runAndCheck(t)
			})
		}
	}
}

// TestLargeArrays runs array jobs of many chunks, up to the largest job that is allowed, to their
// end through a crash of all controllers. It logs the heap memory.
func TestLargeArrays(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name                      string
		tasks, machines           int
		cpus, gpus, mem           float64
		crashAt, length, limitsAt int64
	}{
		{"large", 3000, 8, 0.5, 0.1, 0.1, 40, 400, 0},
		{"limits fall while it runs", 3000, 8, 0.5, 0.1, 0.1, 40, 400, 25},
		{"huge", 100_000, 40, 0.1, 0.01, 0.01, 100, 900, 0},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newTestRun(uint64(77 + i))
			d.Params.Teams[0].GPUsMax = 0
			d.setMachines(tc.machines)
			d.Length = tc.length * second
			d.Jobs = []job{{At: second, Run: 2 * second, Spec: wire.Job{
				ID: tc.name, Class: "c", Team: "red", Kind: wire.Array, Priority: "idle", Image: "i",
				Tasks: tc.tasks, CPUs: tc.cpus, GPUs: tc.gpus, MemGB: tc.mem, EstimateS: 2,
			}}}
			d.Jobs[0].Spec.ID = strings.ReplaceAll(tc.name, " ", "-")
			d.Faults = []fault{faultAt(tc.crashAt, "crash", 0)}
			if tc.limitsAt != 0 {
				d.announceLowerLimits()
				d.Faults = append(d.Faults, faultAt(tc.limitsAt, "state_limits", 0))
			}
			d.runAndCheck(t)
			// Log the heap memory of all tests so far. Each run holds three controllers,
			// the state service, all workers and the history.
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			t.Logf("heap memory obtained so far: %d MB", stats.HeapSys>>20)
		})
	}
}
