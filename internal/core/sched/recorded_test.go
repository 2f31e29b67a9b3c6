package sched

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// randomRound returns the input of a planning round from a seed: machines of three types in three
// zones with running tasks, waiting jobs of different kinds, and claims.
func randomRound(seed uint64) ([]*Machine, []*Job, Planner) {
	r := rand.New(rand.NewPCG(seed, 7))
	pick := func(list ...string) string { return list[r.IntN(len(list))] }
	p := Planner{
		Now: 1000 * second, Queues: 3, MaxStarts: []int{400, 60, 5}[r.IntN(3)], PreemptDelay: int64(5+r.IntN(20)) * second, ReserveAhead: r.IntN(4),
		PreferSpot: map[string]bool{"g": r.IntN(2) == 0}, LargestGPUTask: jobstate.Resources{CPU: 10000, GPU: 2000, Mem: 38000},
	}
	teams := []string{"red", "blue", "green"}
	beyond := map[string]bool{"red": r.IntN(2) == 0, "blue": r.IntN(2) == 0}
	p.BeyondGuarantee = func(team string, _ jobstate.Resources) bool { return beyond[team] }
	caps := map[string]jobstate.Resources{"v": {CPU: 8000, Mem: 16000}, "m": {CPU: 16000, Mem: 64000}, "g": {CPU: 12000, GPU: 2000, Mem: 48000}}
	spec := func(id string) *jobstate.Spec {
		sp := &jobstate.Spec{
			ID: id, Team: teams[r.IntN(3)], Priority: r.IntN(4), Kind: jobstate.Array, Tasks: 1 + r.IntN(40), Need: jobstate.Resources{CPU: int64(1+r.IntN(3)) * 1000, Mem: 3200},
			Spot: r.IntN(3) > 0, Image: fmt.Sprint("im", r.IntN(5)), ImageMB: int64(1+r.IntN(8)) * 1000, Estimate: int64(10+r.IntN(300)) * second,
		}
		if r.IntN(2) == 0 {
			sp.Need = jobstate.Resources{CPU: int64(5+5*r.IntN(2)) * 1000, GPU: int64(1+r.IntN(2)) * 1000, Mem: 18000}
		}
		switch r.IntN(5) {
		case 0, 1:
			sp.Kind, sp.Tasks, sp.OneZone = jobstate.Gang, 1<<r.IntN(4), r.IntN(2) == 0
		case 2:
			sp.Spread = r.IntN(2) == 0
		}
		if r.IntN(2) == 0 {
			sp.Checkpoint, sp.Save = 15*second, int64(1+r.IntN(6))*second
		}
		if r.IntN(6) == 0 {
			sp.Types = []string{pick("v", "m", "g")}
		}
		if r.IntN(8) == 0 {
			sp.Zone = pick("a", "b", "c")
		}
		return sp
	}
	var machines []*Machine
	numMachines := []int{3, 30, 200}[r.IntN(3)]
	busyQuarters := r.IntN(4)
	for i := range numMachines {
		typ := pick("v", "m", "g")
		m := &Machine{
			Name: fmt.Sprintf("host-%04d", i), Type: typ, Zone: pick("a", "b", "c"), Spot: r.IntN(3) == 0, Partition: r.IntN(3), Cap: caps[typ], Free: caps[typ],
			FetchRate: []int64{0, 400, 1000}[r.IntN(3)], Images: map[string]fleet.Image{},
		}
		setContact(&p, m, int64(r.IntN(3))*2*second)
		for range r.IntN(3) {
			m.Images[fmt.Sprint("im", r.IntN(5))] = fleet.Image{MB: 1000, LastUsed: 1}
		}
		for k := range 4 {
			sp := spec(fmt.Sprintf("run-%d-%d", i, k))
			if r.IntN(4) < busyQuarters && sp.Need.Fits(m.Free) {
				j := jobstate.NewJob(sp)
				j.EffectivePriority, j.NumPlaced = sp.Priority, 1+r.IntN(2)
				m.Free = m.Free.Sub(sp.Need)
				m.RunningTasks = append(m.RunningTasks, RunningTask{End: p.Now + int64(1+r.IntN(200))*second, Job: j, Index: k, LostWork: int64(r.IntN(90)) * second * sp.Need.Weight(), Preemptible: r.IntN(5) > 0, Guaranteed: r.IntN(2) == 0})
			}
		}
		slices.SortFunc(m.RunningTasks, func(a, b RunningTask) int { return int(a.End - b.End) })
		machines = append(machines, m)
	}
	headrooms := map[string]*Headroom{"red": {CPU: Unlimited, GPU: Unlimited}, "blue": {CPU: int64(r.IntN(200)) * 1000, GPU: Unlimited}, "green": {CPU: Unlimited, GPU: int64(r.IntN(30)) * 1000}}
	var jobs []*Job
	for i := range 1 + r.IntN(40) {
		sp := spec(fmt.Sprintf("job-%02d", i))
		j := jobstate.NewJob(sp)
		j.ReadyAt = p.Now // no waiting time yet, as the recorded planner ignored waiting times
		j.EffectivePriority, j.Arrival = min(sp.Priority+r.IntN(2), 3), uint64(i)
		if r.IntN(4) == 0 {
			j.EffectiveDeadline = p.Now + int64(r.IntN(500))*second
		}
		jobs = append(jobs, &Job{Job: j, Queue: r.IntN(3), ExpectedDuration: sp.Estimate, Headroom: headrooms[sp.Team], Guaranteed: r.IntN(3) == 0, DeadlineLost: r.IntN(6) == 0, QueueOrder: int64(r.IntN(9)) * second, NeedsGPUMachine: sp.Need.GPU == 0 && r.IntN(4) == 0})
		for range r.IntN(3) {
			p.Claims = append(p.Claims, Claim{Job: j, Machine: machines[r.IntN(numMachines)].Name})
		}
	}
	return machines, jobs, p
}

// digest returns the numbers of a plan's entries and a hash of all its contents.
func digest(plan Plan) string {
	var b strings.Builder
	for _, start := range plan.Starts {
		fmt.Fprintf(&b, "start %s/%d %s\n", start.Job.ID, start.Index, start.Machine.Name)
	}
	for _, pivot := range plan.Pivots {
		fmt.Fprintf(&b, "pivot %d %s %d\n", pivot.Queue, pivot.Job.ID, pivot.StartAt)
	}
	for _, preemption := range plan.Preemptions {
		fmt.Fprintf(&b, "stop %s/%d for %s %v\n", preemption.Job.ID, preemption.Index, preemption.For.ID, preemption.Kill)
	}
	for _, claim := range plan.Claims {
		fmt.Fprintf(&b, "claim %s %s\n", claim.Job.ID, claim.Machine)
	}
	for _, job := range plan.Waiting {
		fmt.Fprintf(&b, "waits %s\n", job.ID)
	}
	return fmt.Sprintf("%d %d %d %d %016x", len(plan.Starts), len(plan.Pivots), len(plan.Preemptions), len(plan.Claims), xxhash.Sum64String(b.String()))
}

// TestRecordedPlans compares plans with those recorded from an earlier planner without an index,
// which scanned all machines for every task. The index must not change any choice.
func TestRecordedPlans(t *testing.T) {
	f, err := os.Open("testdata/plans.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	seed := uint64(0)
	for in := bufio.NewScanner(f); in.Scan(); seed++ {
		machines, jobs, p := randomRound(seed)
		if got := digest(planOn(p, machines, jobs)); got != in.Text() {
			t.Errorf("round %d: digest of the plan: got %s, want the recorded %s", seed, got, in.Text())
		}
	}
	if seed < 100 {
		t.Fatalf("recorded rounds: got %d, want at least 100", seed)
	}
}

func setContact(p *Planner, m *Machine, after int64) { m.NextContact = p.Now + after }

func planOn(p Planner, machines []*Machine, jobs []*Job) Plan {
	p.Index = NewIndex(machines...)
	return p.Plan(jobs)
}
