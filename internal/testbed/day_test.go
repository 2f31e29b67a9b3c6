package testbed

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

// small is a deployment with tight limits.
func small(seed uint64) Day {
	var set core.Settings
	set.Size = 3
	set.Zones = []string{"a", "b"}
	set.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: 12}, {Name: "blue", GPUs: 4, GPUsMax: 10}}
	set.Workers.ReportS, set.Workers.LeaseS, set.Workers.GangWaitS, set.Workers.GangPeerS, set.Workers.CancelS = 2.5, 16, 30, 4, 36
	set.State.RPS, set.State.WriteRPS, set.State.ValueKB, set.State.TxnOps = 80, 25, 8, 12
	set.Cloud.RPS, set.Cloud.ListLagS = 3, 8
	set.Ops = config.Defaults()
	d := Day{Seed: seed, Settings: set, Machines: 8, Length: 400 * second,
		Types: []fleet.Type{{Name: "big", Cap: ledger.Vec{CPU: 12000, GPU: 2000, Mem: 48000}, FetchRate: 500, CacheMB: 50000, Boot: 20 * second, Zones: []string{"a", "b"}}}}
	rng := rand.New(rand.NewPCG(seed, 9))
	for i := range 30 {
		j := Job{At: second + rng.Int64N(180*second), Run: 4*second + rng.Int64N(30*second)}
		j.Spec = ledger.Spec{ID: fmt.Sprintf("job-%02d", i), Class: "c", Team: []string{"red", "blue"}[rng.IntN(2)], Priority: rng.IntN(3),
			Image: fmt.Sprintf("im-%d", rng.IntN(2)), ImageMB: 2000, Estimate: 5*second + rng.Int64N(100*second), Spot: rng.IntN(2) == 0}
		switch rng.IntN(3) {
		case 0:
			j.Spec.Kind, j.Spec.Tasks, j.Spec.Need = ledger.Gang, 1+rng.IntN(3), ledger.Vec{CPU: 10000, GPU: 2000, Mem: 30000}
			j.Spec.OneZone, j.Spec.Checkpoint, j.Spec.Save = rng.IntN(2) == 0, 10*second, 2*second
		case 1:
			j.Spec.Kind, j.Spec.Tasks, j.Spec.Need = ledger.Array, 1+rng.IntN(12), ledger.Vec{CPU: 4000, GPU: 1000, Mem: 9000}
			j.Spec.Spread = rng.IntN(3) == 0
		default:
			j.Spec.Kind, j.Spec.Tasks, j.Spec.Need = ledger.Array, 1+rng.IntN(8), ledger.Vec{CPU: 2000, GPU: 500, Mem: 3000}
		}
		if rng.IntN(5) == 0 {
			j.Cancel = j.At + rng.Int64N(60*second)
		}
		d.Jobs = append(d.Jobs, j)
	}
	return d
}

// piped adds pipelines of four stages to a day: some are cancelled at some
// stage, some last stages come when the others are over, and some first stages
// await a job of the day.
func piped(d *Day, n int) {
	rng := rand.New(rand.NewPCG(d.Seed, 10))
	for i := range n {
		id := func(k int) string { return fmt.Sprintf("pipe-%02d-%d", i, k) }
		at := 20*second + rng.Int64N(150*second)
		add := func(k int, kind ledger.Kind, tasks int, awaits ...string) *Job {
			j := Job{At: at, Run: 3*second + rng.Int64N(8*second)}
			j.Spec = ledger.Spec{ID: id(k), Class: "p", Team: "blue", Kind: kind, Tasks: tasks, Need: ledger.Vec{CPU: 1000, Mem: 500},
				Priority: k / 2, Image: "im-p", ImageMB: 500, Estimate: j.Run, Awaits: awaits, OneZone: kind == ledger.Gang}
			d.Jobs = append(d.Jobs, j)
			return &d.Jobs[len(d.Jobs)-1]
		}
		first := []string{}
		if rng.IntN(3) == 0 {
			first = append(first, d.Jobs[rng.IntN(5)].Spec.ID)
		}
		add(0, ledger.Array, 1+rng.IntN(6), first...)
		add(1, ledger.Array, 1+rng.IntN(40), id(0))
		add(2, ledger.Gang, 2, id(0))
		last := add(3, ledger.Array, 2, id(1), id(2))
		last.Spec.Deadline, last.Last = 60*second, rng.IntN(4) == 0
		if rng.IntN(3) == 0 {
			d.Jobs[len(d.Jobs)-1-rng.IntN(4)].Cancel = at + rng.Int64N(40*second)
		}
	}
}

// tighten announces limits to come.
func tighten(d *Day) {
	rate, kb, ops := 18.0, 2.0, 4
	d.Settings.State.Next = &config.StateNext{WriteRPS: &rate, ValueKB: &kb, TxnOps: &ops}
}

// TestPipelines plays days with pipelines, while limits fall and controllers
// and the state service fail.
func TestPipelines(t *testing.T) {
	limits := Fault{At: 70 * second, Kind: "limits"}
	cases := []struct {
		name   string
		faults []Fault
		loss   float64
	}{
		{name: "quiet"},
		{name: "limits fall", faults: []Fault{limits}},
		{name: "limits fall in a take-over", faults: []Fault{limits, {At: 69 * second, Kind: "crash", Who: -1}, {At: 120 * second, Kind: "crash", Who: 0}}},
		{name: "crashes", faults: []Fault{limits, {At: 60 * second, Kind: "crash", Who: 0}, {At: 90 * second, Kind: "crash", Who: 1}, {At: 130 * second, Kind: "crash", Who: -1}}},
		{name: "state outage", faults: []Fault{limits, {At: 80 * second, For: 45 * second, Kind: "state"}}},
		{name: "each is refused in turn", faults: []Fault{limits, {At: 50 * second, For: 40 * second, Kind: "refuse", Who: 0},
			{At: 95 * second, For: 40 * second, Kind: "refuse", Who: 1}, {At: 140 * second, For: 40 * second, Kind: "refuse", Who: 2}}},
		{name: "each is cut in turn", faults: []Fault{limits, {At: 50 * second, For: 30 * second, Kind: "cut", Who: 0},
			{At: 85 * second, For: 30 * second, Kind: "cut", Who: 1}, {At: 120 * second, For: 30 * second, Kind: "cut", Who: 2}}},
		{name: "answers are lost", loss: 0.05, faults: []Fault{limits, {At: 100 * second, Kind: "crash", Who: 1}}},
	}
	for i, tc := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				d := small(uint64(i)*10 + seed + 201)
				d.Length = 500 * second
				tighten(&d)
				piped(&d, 8)
				d.Faults, d.Loss = tc.faults, tc.loss
				c := playWhole(t, d)
				if c.state.Malformed > 3 {
					t.Errorf("%d transactions beyond the limits", c.state.Malformed)
				}
			})
		}
	}
}

// playWhole plays a day on which every rule has to hold, and everything that was
// accepted to come to its end.
func playWhole(t *testing.T, d Day) *Cluster {
	t.Helper()
	c := Play(d)
	c.Check.Finish()
	if len(c.Check.Broken) > 0 {
		t.Error(strings.Join(c.Check.Broken, "\n"))
	}
	if l := c.Unfinished(); len(l) > 0 {
		t.Errorf("not over at the end: %v", l)
	}
	return c
}

// TestArrays runs jobs of many chunks, up to the largest there may be, to their
// end through a crash of all controllers, within the memory of a small one.
func TestArrays(t *testing.T) {
	cases := []struct {
		name            string
		tasks, machines int
		need            ledger.Vec
		crash, length   int64
		limits          int64
	}{
		{"large", 3000, 8, ledger.Vec{CPU: 500, GPU: 100, Mem: 100}, 40 * second, 400 * second, 0},
		{"limits fall while it runs", 3000, 8, ledger.Vec{CPU: 500, GPU: 100, Mem: 100}, 40 * second, 400 * second, 25 * second},
		{"huge", ledger.MaxTasks, 40, ledger.Vec{CPU: 100, GPU: 10, Mem: 10}, 100 * second, 900 * second, 0},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := small(uint64(77 + i))
			d.Settings.Teams[0].GPUsMax = 0
			d.Machines, d.Length = tc.machines, tc.length
			spec := ledger.Spec{ID: tc.name, Team: "red", Kind: ledger.Array, Tasks: tc.tasks, Need: tc.need, Estimate: 2 * second}
			d.Jobs = []Job{{At: second, Run: 2 * second, Spec: spec}}
			d.Faults = []Fault{{At: tc.crash, Kind: "crash", Who: -1}}
			if tc.limits != 0 {
				tighten(&d)
				d.Faults = append(d.Faults, Fault{At: tc.limits, Kind: "limits"})
			}
			c := Play(d)
			c.Check.Finish()
			if len(c.Check.Broken) > 0 || len(c.Unfinished()) > 0 {
				t.Error(c.String())
			}
			// The most that the heap has held: three controllers, the state
			// service and all workers at once, within what one of the
			// smallest may have.
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			t.Logf("heap of %d MB at most", m.HeapSys>>20)
			if m.HeapSys > 125<<20 {
				t.Errorf("heap of %d MB at most", m.HeapSys>>20)
			}
		})
	}
}

// TestDays plays whole days with faults.
func TestDays(t *testing.T) {
	cases := []struct {
		name   string
		faults []Fault
		loss   float64
	}{
		{name: "quiet"},
		{name: "one controller crashes", faults: []Fault{{At: 60 * second, Kind: "crash", Who: 0}, {At: 90 * second, Kind: "crash", Who: 1}}},
		{name: "two crash at once", faults: []Fault{{At: 70 * second, Kind: "crash", Who: 0}, {At: 70 * second, Kind: "crash", Who: 1}}},
		{name: "all crash", faults: []Fault{{At: 50 * second, Kind: "crash", Who: -1}, {At: 120 * second, Kind: "crash", Who: -1}}},
		{name: "state outage", faults: []Fault{{At: 60 * second, For: 15 * second, Kind: "state"}}},
		{name: "state outage longer than hold and lease", faults: []Fault{{At: 60 * second, For: 45 * second, Kind: "state"}}},
		{name: "all crash in a state outage", faults: []Fault{{At: 60 * second, For: 15 * second, Kind: "state"}, {At: 65 * second, Kind: "crash", Who: -1}}},
		{name: "the state service refuses one after the other", faults: []Fault{{At: 50 * second, For: 40 * second, Kind: "refuse", Who: 0},
			{At: 95 * second, For: 40 * second, Kind: "refuse", Who: 1}, {At: 140 * second, For: 40 * second, Kind: "refuse", Who: 2}}},
		{name: "each is cut in turn", faults: []Fault{{At: 50 * second, For: 30 * second, Kind: "cut", Who: 0},
			{At: 85 * second, For: 30 * second, Kind: "cut", Who: 1}, {At: 120 * second, For: 30 * second, Kind: "cut", Who: 2}}},
		{name: "answers are lost and requests executed late", loss: 0.05, faults: []Fault{{At: 100 * second, Kind: "crash", Who: 1}}},
		{name: "machines go silent and die", faults: []Fault{{At: 40 * second, For: 12 * second, Kind: "silent", Who: 0},
			{At: 60 * second, For: 40 * second, Kind: "silent", Who: 1}, {At: 80 * second, Kind: "die", Who: 2}, {At: 82 * second, Kind: "crash", Who: -1}}},
		{name: "a third hangs for half a lease while a new leader begins", faults: []Fault{{At: 60 * second, Kind: "crash", Who: 0}, {At: 60 * second, Kind: "crash", Who: 1},
			{At: 61 * second, For: 8 * second, Kind: "silent", Who: 0}, {At: 61 * second, For: 8 * second, Kind: "silent", Who: 3}, {At: 61 * second, For: 8 * second, Kind: "silent", Who: 6}}},
		{name: "a third dies as all controllers end", faults: []Fault{{At: 70 * second, Kind: "die", Who: 1}, {At: 70 * second, Kind: "die", Who: 4},
			{At: 70 * second, Kind: "die", Who: 7}, {At: 71 * second, Kind: "crash", Who: -1}}},
		{name: "a controller is cut off with a third of the machines, and another crashes", faults: []Fault{{At: 60 * second, For: 35 * second, Kind: "cut", Who: 0},
			{At: 60 * second, For: 35 * second, Kind: "silent", Who: 0}, {At: 60 * second, For: 35 * second, Kind: "silent", Who: 2}, {At: 60 * second, For: 35 * second, Kind: "silent", Who: 5},
			{At: 63 * second, Kind: "crash", Who: 1}}},
		{name: "silent machines in a cloud outage", faults: []Fault{{At: 40 * second, For: 100 * second, Kind: "cloud"},
			{At: 60 * second, For: 30 * second, Kind: "silent", Who: 1}, {At: 70 * second, For: 50 * second, Kind: "silent", Who: 3}}},
	}
	for i, tc := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				d := small(uint64(i)*10 + seed + 1)
				d.Faults, d.Loss = tc.faults, tc.loss
				playWhole(t, d)
			})
		}
	}
}
