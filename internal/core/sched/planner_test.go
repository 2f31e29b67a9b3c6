package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const second = int64(1_000_000)

// testMachine returns a machine of 8 CPUs in a partition. runs has two numbers for each running
// task of the team "other": its CPUs and its end in seconds.
func testMachine(name string, partition int, runs ...int64) *Machine {
	m := &Machine{Name: name, Type: "t", Zone: "a", Partition: partition, Cap: jobstate.Resources{CPU: 8000}, Free: jobstate.Resources{CPU: 8000}, FetchRate: 1000, Images: map[string]fleet.Image{}}
	for i := 0; i+1 < len(runs); i += 2 {
		need := jobstate.Resources{CPU: runs[i] * 1000}
		m.Free = m.Free.Sub(need)
		m.RunningTasks = append(m.RunningTasks, RunningTask{End: runs[i+1] * second, Job: &jobstate.Job{Spec: &jobstate.Spec{Need: need, Team: "other"}}, Index: i, Preemptible: true, LostWork: runs[i+1]})
	}
	return m
}

// testJob returns a job of the team "mine" without limits. cpus is the number of CPUs per task,
// seconds the estimated run time.
func testJob(id string, queue, priority int, kind jobstate.Kind, tasks int, cpus, seconds int64) *Job {
	j := jobstate.NewJob(&jobstate.Spec{ID: id, Kind: kind, Tasks: tasks, Priority: priority, Need: jobstate.Resources{CPU: cpus * 1000}, Estimate: seconds * second, Team: "mine"})
	return &Job{Job: j, Queue: queue, ExpectedDuration: seconds * second, Headroom: &Headroom{CPU: Unlimited, GPU: Unlimited}}
}

// TestPlan has cases for each rule of the paper's figure 2 and for the differences from it.
func TestPlan(t *testing.T) {
	cases := []struct {
		name     string
		machines []*Machine
		jobs     []*Job
		headroom int64    // CPUs left to the team, 0 for no limit
		want     []string // starts as job@machine
		pivots   string   // job:start in seconds, without separators
		preempts int      // number of preemptions
		ahead    int      // Planner.ReserveAhead
		claims   []string // job@machine, of an earlier round
	}{
		{
			name: "a pivot starts in its own partition first", machines: []*Machine{testMachine("m0", 0), testMachine("m1", 1)},
			jobs: []*Job{testJob("a", 1, 0, jobstate.Array, 1, 2, 10)}, want: []string{"a@m1"},
		},
		{
			name: "a pivot uses another partition if its own is full", machines: []*Machine{testMachine("m0", 0), testMachine("m1", 1, 8, 50)},
			jobs: []*Job{testJob("a", 1, 0, jobstate.Array, 1, 2, 10)}, want: []string{"a@m0"},
		},
		{
			name: "rule 7a: a short job starts before a pivot that it does not delay", machines: []*Machine{testMachine("m0", 0, 4, 50)},
			jobs: []*Job{withArrival(1, testJob("big", 0, 0, jobstate.Array, 1, 8, 100)), withArrival(2, testJob("short", 0, 0, jobstate.Array, 1, 4, 40))},
			want: []string{"short@m0"}, pivots: "big:50",
		},
		{
			name: "rule 7a: a long job that would delay the pivot waits", machines: []*Machine{testMachine("m0", 0, 4, 50)},
			jobs:   []*Job{withArrival(1, testJob("big", 0, 0, jobstate.Array, 1, 8, 100)), withArrival(2, testJob("long", 0, 0, jobstate.Array, 1, 4, 60))},
			pivots: "big:50",
		},
		{
			name: "rule 7b: a long job starts on what the pivot leaves", machines: []*Machine{testMachine("m0", 0, 4, 50)},
			jobs: []*Job{withArrival(1, testJob("big", 0, 0, jobstate.Array, 1, 6, 100)), withArrival(2, testJob("long", 0, 0, jobstate.Array, 1, 2, 900))},
			want: []string{"long@m0"}, pivots: "big:50",
		},
		{
			name: "a job of high priority goes first whenever it arrived", machines: []*Machine{testMachine("m0", 0)},
			jobs: []*Job{withArrival(1, testJob("low", 0, 0, jobstate.Array, 1, 8, 10)), withArrival(2, testJob("high", 0, 2, jobstate.Array, 1, 8, 10))},
			want: []string{"high@m0"}, pivots: "low:10",
		},
		{
			name: "a job within its guarantee goes before jobs of equal priority that are not", machines: []*Machine{testMachine("m0", 0)},
			jobs: []*Job{withArrival(1, testJob("out", 0, 2, jobstate.Array, 1, 8, 10)), guaranteed(withArrival(2, testJob("in", 0, 2, jobstate.Array, 1, 8, 10)))},
			want: []string{"in@m0"}, pivots: "out:10",
		},
		{
			name: "a job within its guarantee does not go before higher priority", machines: []*Machine{testMachine("m0", 0)},
			jobs: []*Job{withArrival(1, testJob("out", 0, 2, jobstate.Array, 1, 8, 10)), guaranteed(withArrival(2, testJob("in", 0, 1, jobstate.Array, 1, 8, 10)))},
			want: []string{"out@m0"}, pivots: "in:10",
		},
		{
			name: "a later arrival with an earlier latest start goes first", machines: []*Machine{testMachine("m0", 0)},
			jobs: []*Job{withQueueOrder(90, withArrival(1, testJob("slack", 0, 0, jobstate.Array, 1, 8, 10))), withQueueOrder(20, withArrival(2, testJob("tight", 0, 0, jobstate.Array, 1, 8, 10)))},
			want: []string{"tight@m0"}, pivots: "slack:10",
		},
		{
			name: "a job with a lost deadline goes last", machines: []*Machine{testMachine("m0", 0)},
			jobs: []*Job{withLostDeadline(withArrival(1, testJob("lost", 0, 0, jobstate.Array, 1, 8, 10))), withQueueOrder(20, withArrival(2, testJob("tight", 0, 0, jobstate.Array, 1, 8, 10)))},
			want: []string{"tight@m0"}, pivots: "lost:10",
		},
		{
			name: "a large job with an overdue start goes before otherwise equal jobs", machines: []*Machine{testMachine("m0", 0)},
			jobs: []*Job{withOverdueStart(withLostDeadline(withArrival(3, testJob("wide", 0, 0, jobstate.Gang, 1, 8, 10)))), withArrival(1, testJob("first", 0, 0, jobstate.Array, 1, 8, 10))},
			want: []string{"wide@m0"}, pivots: "first:10",
		},
		{
			name: "an overdue job does not go before higher priority or jobs within a guarantee", machines: []*Machine{testMachine("m0", 0), testMachine("m1", 0)},
			jobs: []*Job{withOverdueStart(withArrival(1, testJob("wide", 0, 0, jobstate.Gang, 1, 8, 10))), withArrival(2, testJob("high", 0, 2, jobstate.Array, 1, 8, 10)), guaranteed(withArrival(3, testJob("in", 0, 0, jobstate.Array, 1, 8, 10)))},
			want: []string{"high@m0", "in@m1"}, pivots: "wide:10",
		},
		{
			name: "resources reserved for an overdue job are kept even from jobs that would end in time by their estimate", machines: []*Machine{testMachine("m0", 0, 4, 50)},
			jobs:   []*Job{withOverdueStart(withArrival(1, testJob("wide", 0, 0, jobstate.Gang, 1, 8, 100))), withArrival(2, testJob("short", 0, 0, jobstate.Array, 1, 4, 10))},
			pivots: "wide:50",
		},
		{
			name: "a gang starts with all tasks or not at all", machines: []*Machine{testMachine("m0", 0), testMachine("m1", 0, 4, 30)},
			jobs: []*Job{testJob("g", 0, 0, jobstate.Gang, 2, 8, 10)}, pivots: "g:30",
		},
		{
			name: "a gang with one_zone does not use several zones", machines: []*Machine{testMachine("m0", 0), inZone("b", testMachine("m1", 0))},
			jobs: []*Job{withOneZone(testJob("g", 0, 0, jobstate.Gang, 2, 8, 10))}, pivots: "g:0",
		},
		{
			name: "scatter puts at most half of the tasks into one zone", machines: []*Machine{testMachine("m0", 0), inZone("b", testMachine("m1", 0, 8, 99))},
			jobs: []*Job{withSpread(testJob("x", 0, 0, jobstate.Array, 4, 1, 10))}, want: []string{"x@m0", "x@m0"}, pivots: "x:99",
		},
		{
			name: "the team's limit is shared by its jobs", machines: []*Machine{testMachine("m0", 0), testMachine("m1", 0)}, headroom: 5,
			jobs: []*Job{withArrival(1, testJob("a", 0, 0, jobstate.Array, 1, 4, 10)), withArrival(2, testJob("b", 1, 0, jobstate.Array, 1, 4, 10))}, want: []string{"a@m0"},
		},
		{
			name: "lower-priority work is preempted for a pivot of high priority that would wait long", machines: []*Machine{testMachine("m0", 0, 8, 500), testMachine("m1", 0, 8, 400)},
			jobs: []*Job{testJob("high", 0, 2, jobstate.Array, 1, 8, 10)}, pivots: "high:400", preempts: 1,
		},
		{
			name: "work of equal priority beyond its team's guarantee is preempted for a job within a guarantee", machines: []*Machine{testMachine("m0", 0, 8, 500)},
			jobs: []*Job{guaranteed(testJob("in", 0, 0, jobstate.Array, 1, 8, 10))}, pivots: "in:500", preempts: 1,
		},
		{
			name: "work within its own team's guarantee is not preempted for a job within a guarantee", machines: []*Machine{withGuaranteedTask(testMachine("m0", 0, 8, 500))},
			jobs: []*Job{guaranteed(testJob("in", 0, 0, jobstate.Array, 1, 8, 10))}, pivots: "in:500",
		},
		{
			name: "in a large fleet lower-priority work is preempted for urgent jobs behind the pivot too", ahead: 1,
			machines: []*Machine{testMachine("m0", 0, 8, 500), testMachine("m1", 0, 8, 400), testMachine("m2", 0, 8, 450)},
			jobs:     []*Job{withArrival(1, testJob("u1", 0, 2, jobstate.Array, 1, 8, 10)), withArrival(2, testJob("u2", 0, 2, jobstate.Array, 1, 8, 10)), withArrival(3, testJob("u3", 0, 2, jobstate.Array, 1, 8, 10))},
			pivots:   "u1:400u2:450", preempts: 2,
		},
		{
			name: "no preemption for jobs behind the pivot that are not urgent", ahead: 1, machines: []*Machine{testMachine("m0", 0, 8, 500), testMachine("m1", 0, 8, 400)},
			jobs:   []*Job{withArrival(1, testJob("n1", 0, 1, jobstate.Array, 1, 8, 10)), withArrival(2, testJob("n2", 0, 1, jobstate.Array, 1, 8, 10))},
			pivots: "n1:400", preempts: 1,
		},
		// u1 is the pivot, and u2 may preempt work of the team "other". Half of m1 is
		// already free; u3, the next job of the team "other", must not use it.
		{
			name: "a reservation behind the pivot blocks jobs that could be preempted for it", ahead: 1, machines: []*Machine{testMachine("m0", 0, 8, 40), testMachine("m1", 0, 4, 50)},
			jobs:   []*Job{guaranteed(withArrival(1, testJob("u1", 0, 2, jobstate.Array, 1, 8, 10))), guaranteed(withArrival(2, testJob("u2", 0, 2, jobstate.Array, 1, 8, 10))), ofTeamOther(withArrival(3, testJob("u3", 0, 2, jobstate.Array, 1, 4, 100)))},
			pivots: "u1:40u2:50",
		},
		{
			name: "a reservation behind the pivot does not block other jobs", ahead: 1, machines: []*Machine{testMachine("m0", 0, 8, 40), testMachine("m1", 0, 4, 50)},
			jobs: []*Job{guaranteed(withArrival(1, testJob("u1", 0, 2, jobstate.Array, 1, 8, 10))), guaranteed(withArrival(2, testJob("u2", 0, 2, jobstate.Array, 1, 8, 10))), withArrival(3, testJob("u3", 0, 2, jobstate.Array, 1, 4, 100))},
			want: []string{"u3@m1"}, pivots: "u1:40u2:50",
		},
		{
			name: "a gang uses free machines and preempts work only for the rest", machines: []*Machine{testMachine("m0", 0), testMachine("m1", 0, 8, 500)},
			jobs: []*Job{testJob("g", 0, 2, jobstate.Gang, 2, 8, 100)}, pivots: "g:500", preempts: 1,
		},
		{
			name: "a machine claimed for one job is not preempted for another", claims: []string{"u@m0"}, machines: []*Machine{testMachine("m0", 0, 8, 500), testMachine("m1", 0, 8, 900)}, ahead: 1,
			jobs: []*Job{withArrival(1, testJob("u", 0, 2, jobstate.Array, 1, 8, 100)), withArrival(2, testJob("v", 0, 2, jobstate.Array, 1, 8, 100))}, pivots: "u:500v:900", preempts: 2,
		},
		{
			name: "resources freed by preemption do not go to the preempted work", claims: []string{"u@m0"}, machines: []*Machine{testMachine("m0", 0, 4, 3), testMachine("m1", 0, 8, 2)},
			jobs: []*Job{withArrival(1, testJob("u", 0, 2, jobstate.Array, 1, 8, 100)), withArrival(2, testJob("low", 0, 0, jobstate.Array, 1, 4, 100))}, pivots: "u:2",
		},
		{
			name: "without a claim free resources go to the lower-priority work", machines: []*Machine{testMachine("m0", 0, 4, 3), testMachine("m1", 0, 8, 2)},
			jobs: []*Job{withArrival(1, testJob("u", 0, 2, jobstate.Array, 1, 8, 100)), withArrival(2, testJob("low", 0, 0, jobstate.Array, 1, 4, 100))},
			want: []string{"low@m0"}, pivots: "u:2",
		},
		{
			name: "a claim does not block its own job", claims: []string{"u@m0"}, machines: []*Machine{testMachine("m0", 0)},
			jobs: []*Job{withArrival(1, testJob("u", 0, 2, jobstate.Array, 1, 8, 100))}, want: []string{"u@m0"},
		},
		{
			name: "a claim does not block a job that goes before its job", claims: []string{"low@m0"}, machines: []*Machine{testMachine("m0", 0)},
			jobs: []*Job{withArrival(1, testJob("u", 0, 2, jobstate.Array, 1, 8, 100)), withArrival(2, testJob("low", 0, 0, jobstate.Array, 1, 8, 100))}, want: []string{"u@m0"}, pivots: "low:100",
		},
		// On a large fleet some machine always seems to become free within the delay,
		// as a task past its estimate is expected to end soon.
		{
			name: "no preemption for a pivot whose start is near", machines: []*Machine{testMachine("m0", 0, 8, 40)},
			jobs: []*Job{testJob("u", 0, 2, jobstate.Array, 1, 8, 10)}, pivots: "u:40",
		},
		{
			name: "preemption for a pivot that has waited for most of the delay", machines: []*Machine{testMachine("m0", 0, 8, 40)},
			jobs: []*Job{readySince(-30, testJob("u", 0, 2, jobstate.Array, 1, 8, 10))}, pivots: "u:40", preempts: 1,
		},
		{
			name: "preemption for a pivot that would miss the start objective of its class", machines: []*Machine{testMachine("m0", 0, 8, 40)},
			jobs: []*Job{withStartBy(39, testJob("u", 0, 2, jobstate.Array, 1, 8, 10))}, pivots: "u:40", preempts: 1,
		},
		{
			name: "no preemption for a pivot that would meet its start objective", machines: []*Machine{testMachine("m0", 0, 8, 40)},
			jobs: []*Job{withStartBy(40, testJob("u", 0, 2, jobstate.Array, 1, 8, 10))}, pivots: "u:40",
		},
		{
			name: "no preemption for a pivot with an imminent start", machines: []*Machine{testMachine("m0", 0, 8, 2)},
			jobs: []*Job{readySince(-90, withStartBy(1, testJob("u", 0, 2, jobstate.Array, 1, 8, 10)))}, pivots: "u:2",
		},
		{
			name: "a job neither urgent nor within a guarantee waits for the whole delay", machines: []*Machine{testMachine("m0", 0, 8, 40)},
			jobs: []*Job{readySince(-90, withStartBy(1, testJob("n", 0, 1, jobstate.Array, 1, 8, 10)))}, pivots: "n:40",
		},
		{
			name: "work of equal priority is not preempted", machines: []*Machine{testMachine("m0", 0, 8, 500)},
			jobs: []*Job{testJob("eq", 0, 0, jobstate.Array, 1, 8, 10)}, pivots: "eq:500",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if tc.headroom > 0 {
				shared := &Headroom{CPU: tc.headroom * 1000, GPU: Unlimited}
				for _, j := range tc.jobs {
					j.Headroom = shared
				}
			}
			p := Planner{Queues: 3, Index: NewIndex(tc.machines...), MaxStarts: 100, PreemptDelay: 60 * second, ReserveAhead: tc.ahead, BeyondGuarantee: func(string, jobstate.Resources) bool { return true }}
			for _, claim := range tc.claims {
				id, machine, _ := strings.Cut(claim, "@")
				for _, j := range tc.jobs {
					if j.ID == id {
						p.Claims = append(p.Claims, Claim{j.Job, machine})
					}
				}
			}
			plan := p.Plan(tc.jobs)
			var got []string
			for _, start := range plan.Starts {
				got = append(got, start.Job.ID+"@"+start.Machine.Name)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("starts: got %v, want %v", got, tc.want)
			}
			pivots := ""
			for _, pivot := range plan.Pivots {
				pivots += fmt.Sprintf("%s:%d", pivot.Job.ID, pivot.StartAt/second)
			}
			if pivots != tc.pivots {
				t.Errorf("pivots: got %q, want %q", pivots, tc.pivots)
			}
			if len(plan.Preemptions) != tc.preempts {
				t.Errorf("preemptions: got %d, want %d", len(plan.Preemptions), tc.preempts)
			}
		})
	}
}

func withArrival(n uint64, j *Job) *Job      { j.Arrival = n; return j }
func inZone(z string, m *Machine) *Machine   { m.Zone = z; return m }
func guaranteed(j *Job) *Job                 { j.Guaranteed = true; return j }
func withGuaranteedTask(m *Machine) *Machine { m.RunningTasks[0].Guaranteed = true; return m }
func withQueueOrder(n int64, j *Job) *Job    { j.QueueOrder = n; return j }
func readySince(n int64, j *Job) *Job        { j.ReadyAt = n * second; return j }
func withStartBy(n int64, j *Job) *Job       { j.StartBy = n * second; return j }
func withOverdueStart(j *Job) *Job           { j.StartOverdue = true; return j }

func withLostDeadline(j *Job) *Job { j.DeadlineLost = true; return j }
func withOneZone(j *Job) *Job      { j.OneZone = true; return j }
func ofTeamOther(j *Job) *Job      { j.Team = "other"; return j }
func withSpread(j *Job) *Job       { j.Spread = true; return j }

// BenchmarkPlan measures a planning round with a busy fleet and a large array.
func BenchmarkPlan(b *testing.B) {
	for b.Loop() {
		var machines []*Machine
		for i := range 48 {
			machines = append(machines, testMachine(fmt.Sprintf("m%02d", i), i%3, 4, int64(10+i)))
		}
		jobs := []*Job{testJob("big", 0, 0, jobstate.Array, 100_000, 1, 30), testJob("g", 1, 2, jobstate.Gang, 20, 8, 100), testJob("h", 2, 1, jobstate.Array, 300, 2, 900)}
		p := Planner{Queues: 3, Index: NewIndex(machines...), MaxStarts: 400, PreemptDelay: 60 * second}
		p.Plan(jobs)
	}
}

// TestDeadlineCritical checks that an urgent job with a deadline and without checkpoints is placed
// on an on-demand machine, as it would probably miss its deadline if a task were lost with a spot
// machine. Other jobs that may use spot machines leave the on-demand ones to jobs that may not.
func TestDeadlineCritical(t *testing.T) {
	cases := []struct {
		name       string
		priority   int
		deadline   int64
		checkpoint int64
		want       string
	}{
		{"urgent, without a deadline", jobstate.Urgent, 0, 0, "spot"},
		{"not urgent, with a deadline", jobstate.Normal, 1000, 0, "spot"},
		{"urgent, with a deadline", jobstate.Urgent, 1000, 0, "on-demand"},
		{"urgent, with a deadline and checkpoints", jobstate.Urgent, 1000, 10, "spot"},
	}
	for _, tc := range cases {
		size := jobstate.Resources{CPU: 4000, Mem: 4000}
		machines := []*Machine{{Name: "on-demand", Type: "c", Zone: "a", Cap: size, Free: size}, {Name: "spot", Type: "c", Zone: "a", Spot: true, Cap: size, Free: size}}
		j := jobstate.NewJob(&jobstate.Spec{ID: "j", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{CPU: 3000}, Spot: true, Estimate: 5, Checkpoint: tc.checkpoint})
		j.EffectivePriority, j.EffectiveDeadline = tc.priority, tc.deadline
		p := Planner{Queues: 3, Index: NewIndex(machines...), MaxStarts: 10, PreferSpot: map[string]bool{"c": true}}
		plan := p.Plan([]*Job{{Job: j, Headroom: &Headroom{CPU: Unlimited, GPU: Unlimited}}})
		if len(plan.Starts) != 1 || plan.Starts[0].Machine.Name != tc.want {
			t.Errorf("%s: starts: got %+v, want one on %s", tc.name, plan.Starts, tc.want)
		}
	}
}

// TestServiceImageCost checks that, with spare machines, a service leaves room on machines that
// lack its image. The room is for other services, whose images those machines have: a machine
// fetches a service's image only when a replica is placed on it.
func TestServiceImageCost(t *testing.T) {
	cases := []struct {
		name  string
		spare bool
		tasks int
		has   string // the machine that has the image, "" if none has it
		want  string
	}{
		{"with spare machines, half of each idle machine", true, 3, "", "idle-0 idle-0 idle-1"},
		{"with spare machines, all of a machine that has the image", true, 3, "used", "used used idle-0"},
		{"without spare machines, the machine in use first", false, 3, "", "used used idle-0"},
		{"with spare machines, the machine in use last", true, 10, "", "idle-0 idle-0 idle-0 idle-0 idle-1 idle-1 idle-1 idle-1 used used"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			machines := []*Machine{testMachine("idle-0", 0), testMachine("idle-1", 0), testMachine("used", 0, 4, 900)}
			for _, m := range machines {
				m.FetchRate = 500
				if m.Name == tc.has {
					m.Images["im"] = fleet.Image{MB: 7000, LastUsed: 1}
				}
			}
			j := testJob("serve", 0, 3, jobstate.Service, tc.tasks, 2, 100)
			j.Image, j.ImageMB = "im", 7000
			p := Planner{Queues: 3, Index: NewIndex(machines...), MaxStarts: 100, PreemptDelay: 60 * second, HasSpareMachines: tc.spare}
			var got []string
			for _, start := range p.Plan([]*Job{j}).Starts {
				got = append(got, start.Machine.Name)
			}
			slices.Sort(got)
			want := strings.Split(tc.want, " ")
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Errorf("machines of the replicas: got %v, want %v", got, want)
			}
		})
	}
}
