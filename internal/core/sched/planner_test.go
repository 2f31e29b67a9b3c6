package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const s = int64(1_000_000)

// box is a machine of 8 CPUs in partition part; runs are (CPUs, end) pairs.
func box(name string, part int, runs ...int64) *Machine {
	m := &Machine{Name: name, Type: "t", Zone: "a", Partition: part, Cap: jobstate.Resources{CPU: 8000}, Free: jobstate.Resources{CPU: 8000}, FetchRate: 1000, Images: map[string]fleet.Image{}}
	for i := 0; i+1 < len(runs); i += 2 {
		need := jobstate.Resources{CPU: runs[i] * 1000}
		m.Free = m.Free.Sub(need)
		m.RunningTasks = append(m.RunningTasks, RunningTask{End: runs[i+1] * s, Job: &jobstate.Job{Spec: &jobstate.Spec{Need: need, Team: "other"}}, Index: i, Preemptible: true, LostWork: runs[i+1]})
	}
	return m
}

func job(id string, queue, prio int, kind jobstate.Kind, tasks int, cpus, length int64) *Job {
	j := jobstate.NewJob(&jobstate.Spec{ID: id, Kind: kind, Tasks: tasks, Priority: prio, Need: jobstate.Resources{CPU: cpus * 1000}, Estimate: length * s, Team: "mine"})
	return &Job{Job: j, Queue: queue, ExpectedDuration: length * s, Headroom: &Headroom{CPU: Unlimited, GPU: Unlimited}}
}

// TestPlan has a case for each rule of figure 2 and for our departures.
func TestPlan(t *testing.T) {
	cases := []struct {
		name     string
		machines []*Machine
		jobs     []*Job
		headroom int64 // CPUs left to the team, 0 for no limit
		want     []string
		pivots   string
		preempts int
		ahead    int
		claims   []string // job@machine of an earlier round
	}{
		{
			name: "a pivot starts in its own partition first", machines: []*Machine{box("m0", 0), box("m1", 1)},
			jobs: []*Job{job("a", 1, 0, jobstate.Array, 1, 2, 10)}, want: []string{"a@m1"},
		},
		{
			name: "a pivot borrows where its partition is full", machines: []*Machine{box("m0", 0), box("m1", 1, 8, 50)},
			jobs: []*Job{job("a", 1, 0, jobstate.Array, 1, 2, 10)}, want: []string{"a@m0"},
		},
		{
			name: "7a: a short job runs ahead of a pivot that it does not delay", machines: []*Machine{box("m0", 0, 4, 50)},
			jobs: []*Job{arrive(1, job("big", 0, 0, jobstate.Array, 1, 8, 100)), arrive(2, job("short", 0, 0, jobstate.Array, 1, 4, 40))},
			want: []string{"short@m0"}, pivots: "big:50",
		},
		{
			name: "7a: a long one does not", machines: []*Machine{box("m0", 0, 4, 50)},
			jobs:   []*Job{arrive(1, job("big", 0, 0, jobstate.Array, 1, 8, 100)), arrive(2, job("long", 0, 0, jobstate.Array, 1, 4, 60))},
			pivots: "big:50",
		},
		{
			name: "7b: a long one runs on what the pivot leaves", machines: []*Machine{box("m0", 0, 4, 50)},
			jobs: []*Job{arrive(1, job("big", 0, 0, jobstate.Array, 1, 6, 100)), arrive(2, job("long", 0, 0, jobstate.Array, 1, 2, 900))},
			want: []string{"long@m0"}, pivots: "big:50",
		},
		{
			name: "high priority is the pivot whenever it came", machines: []*Machine{box("m0", 0)},
			jobs: []*Job{arrive(1, job("low", 0, 0, jobstate.Array, 1, 8, 10)), arrive(2, job("high", 0, 2, jobstate.Array, 1, 8, 10))},
			want: []string{"high@m0"}, pivots: "low:10",
		},
		{
			name: "within a guarantee goes before equals that are not", machines: []*Machine{box("m0", 0)},
			jobs: []*Job{arrive(1, job("out", 0, 2, jobstate.Array, 1, 8, 10)), within(arrive(2, job("in", 0, 2, jobstate.Array, 1, 8, 10)))},
			want: []string{"in@m0"}, pivots: "out:10",
		},
		{
			name: "but not before higher priority", machines: []*Machine{box("m0", 0)},
			jobs: []*Job{arrive(1, job("out", 0, 2, jobstate.Array, 1, 8, 10)), within(arrive(2, job("in", 0, 1, jobstate.Array, 1, 8, 10)))},
			want: []string{"out@m0"}, pivots: "in:10",
		},
		{
			name: "a deadline that leaves time lets a later arrival go first", machines: []*Machine{box("m0", 0)},
			jobs: []*Job{queueOrder(90, arrive(1, job("slack", 0, 0, jobstate.Array, 1, 8, 10))), queueOrder(20, arrive(2, job("tight", 0, 0, jobstate.Array, 1, 8, 10)))},
			want: []string{"tight@m0"}, pivots: "slack:10",
		},
		{
			name: "a lost deadline comes last", machines: []*Machine{box("m0", 0)},
			jobs: []*Job{deadlineLost(arrive(1, job("lost", 0, 0, jobstate.Array, 1, 8, 10))), queueOrder(20, arrive(2, job("tight", 0, 0, jobstate.Array, 1, 8, 10)))},
			want: []string{"tight@m0"}, pivots: "lost:10",
		},
		{
			name: "a large one whose start is overdue goes before its equals", machines: []*Machine{box("m0", 0)},
			jobs: []*Job{overdue(deadlineLost(arrive(3, job("wide", 0, 0, jobstate.Gang, 1, 8, 10)))), arrive(1, job("first", 0, 0, jobstate.Array, 1, 8, 10))},
			want: []string{"wide@m0"}, pivots: "first:10",
		},
		{
			name: "but not before higher priority, and others within a guarantee", machines: []*Machine{box("m0", 0), box("m1", 0)},
			jobs: []*Job{overdue(arrive(1, job("wide", 0, 0, jobstate.Gang, 1, 8, 10))), arrive(2, job("high", 0, 2, jobstate.Array, 1, 8, 10)), within(arrive(3, job("in", 0, 0, jobstate.Array, 1, 8, 10)))},
			want: []string{"high@m0", "in@m1"}, pivots: "wide:10",
		},
		{
			name: "what comes free for it is kept, also from what would end in time by its estimate", machines: []*Machine{box("m0", 0, 4, 50)},
			jobs:   []*Job{overdue(arrive(1, job("wide", 0, 0, jobstate.Gang, 1, 8, 100))), arrive(2, job("short", 0, 0, jobstate.Array, 1, 4, 10))},
			pivots: "wide:50",
		},
		{
			name: "a gang starts whole or not at all", machines: []*Machine{box("m0", 0), box("m1", 0, 4, 30)},
			jobs: []*Job{job("g", 0, 0, jobstate.Gang, 2, 8, 10)}, pivots: "g:30",
		},
		{
			name: "a gang of one zone does not mix zones", machines: []*Machine{box("m0", 0), zone("b", box("m1", 0))},
			jobs: []*Job{oneZone(job("g", 0, 0, jobstate.Gang, 2, 8, 10))}, pivots: "g:0",
		},
		{
			name: "scatter puts half of the tasks in a zone at most", machines: []*Machine{box("m0", 0), zone("b", box("m1", 0, 8, 99))},
			jobs: []*Job{spread(job("x", 0, 0, jobstate.Array, 4, 1, 10))}, want: []string{"x@m0", "x@m0"}, pivots: "x:99",
		},
		{
			name: "the team's limit is shared by its jobs", machines: []*Machine{box("m0", 0), box("m1", 0)}, headroom: 5,
			jobs: []*Job{arrive(1, job("a", 0, 0, jobstate.Array, 1, 4, 10)), arrive(2, job("b", 1, 0, jobstate.Array, 1, 4, 10))}, want: []string{"a@m0"},
		},
		{
			name: "lower work is preempted for a high pivot that would wait long", machines: []*Machine{box("m0", 0, 8, 500), box("m1", 0, 8, 400)},
			jobs: []*Job{job("high", 0, 2, jobstate.Array, 1, 8, 10)}, pivots: "high:400", preempts: 1,
		},
		{
			name: "equal work of a team beyond its guarantee is, for a job within its own", machines: []*Machine{box("m0", 0, 8, 500)},
			jobs: []*Job{within(job("in", 0, 0, jobstate.Array, 1, 8, 10))}, pivots: "in:500", preempts: 1,
		},
		{
			name: "but not a job that is itself within its team's", machines: []*Machine{guarded(box("m0", 0, 8, 500))},
			jobs: []*Job{within(job("in", 0, 0, jobstate.Array, 1, 8, 10))}, pivots: "in:500",
		},
		{
			name: "in a large fleet lower work is preempted for urgent jobs behind the pivot too", ahead: 1,
			machines: []*Machine{box("m0", 0, 8, 500), box("m1", 0, 8, 400), box("m2", 0, 8, 450)},
			jobs:     []*Job{arrive(1, job("u1", 0, 2, jobstate.Array, 1, 8, 10)), arrive(2, job("u2", 0, 2, jobstate.Array, 1, 8, 10)), arrive(3, job("u3", 0, 2, jobstate.Array, 1, 8, 10))},
			pivots:   "u1:400u2:450", preempts: 2,
		},
		{
			name: "but not for others", ahead: 1, machines: []*Machine{box("m0", 0, 8, 500), box("m1", 0, 8, 400)},
			jobs:   []*Job{arrive(1, job("n1", 0, 1, jobstate.Array, 1, 8, 10)), arrive(2, job("n2", 0, 1, jobstate.Array, 1, 8, 10))},
			pivots: "n1:400", preempts: 1,
		},
		// u1 is the pivot, and u2 may preempt what other runs; half of m1 is free
		// already, which the next job of other must not take.
		{
			name: "a reservation behind the pivot binds what might be preempted there", ahead: 1, machines: []*Machine{box("m0", 0, 8, 40), box("m1", 0, 4, 50)},
			jobs:   []*Job{within(arrive(1, job("u1", 0, 2, jobstate.Array, 1, 8, 10))), within(arrive(2, job("u2", 0, 2, jobstate.Array, 1, 8, 10))), other(arrive(3, job("u3", 0, 2, jobstate.Array, 1, 4, 100)))},
			pivots: "u1:40u2:50",
		},
		{
			name: "and nobody else", ahead: 1, machines: []*Machine{box("m0", 0, 8, 40), box("m1", 0, 4, 50)},
			jobs: []*Job{within(arrive(1, job("u1", 0, 2, jobstate.Array, 1, 8, 10))), within(arrive(2, job("u2", 0, 2, jobstate.Array, 1, 8, 10))), arrive(3, job("u3", 0, 2, jobstate.Array, 1, 4, 100))},
			want: []string{"u3@m1"}, pivots: "u1:40u2:50",
		},
		{
			name: "a gang takes free machines too, and preempts work only where there are none", machines: []*Machine{box("m0", 0), box("m1", 0, 8, 500)},
			jobs: []*Job{job("g", 0, 2, jobstate.Gang, 2, 8, 100)}, pivots: "g:500", preempts: 1,
		},
		{
			name: "what is claimed for one is not preempted for another", claims: []string{"u@m0"}, machines: []*Machine{box("m0", 0, 8, 500), box("m1", 0, 8, 900)}, ahead: 1,
			jobs: []*Job{arrive(1, job("u", 0, 2, jobstate.Array, 1, 8, 100)), arrive(2, job("v", 0, 2, jobstate.Array, 1, 8, 100))}, pivots: "u:500v:900", preempts: 2,
		},
		{
			name: "what comes free by preemption is not given to what was preempted there", claims: []string{"u@m0"}, machines: []*Machine{box("m0", 0, 4, 3), box("m1", 0, 8, 2)},
			jobs: []*Job{arrive(1, job("u", 0, 2, jobstate.Array, 1, 8, 100)), arrive(2, job("low", 0, 0, jobstate.Array, 1, 4, 100))}, pivots: "u:2",
		},
		{
			name: "without a claim it is", machines: []*Machine{box("m0", 0, 4, 3), box("m1", 0, 8, 2)},
			jobs: []*Job{arrive(1, job("u", 0, 2, jobstate.Array, 1, 8, 100)), arrive(2, job("low", 0, 0, jobstate.Array, 1, 4, 100))},
			want: []string{"low@m0"}, pivots: "u:2",
		},
		{
			name: "its own claim does not block a job", claims: []string{"u@m0"}, machines: []*Machine{box("m0", 0)},
			jobs: []*Job{arrive(1, job("u", 0, 2, jobstate.Array, 1, 8, 100))}, want: []string{"u@m0"},
		},
		{
			name: "nor one that goes before it", claims: []string{"low@m0"}, machines: []*Machine{box("m0", 0)},
			jobs: []*Job{arrive(1, job("u", 0, 2, jobstate.Array, 1, 8, 100)), arrive(2, job("low", 0, 0, jobstate.Array, 1, 8, 100))}, want: []string{"u@m0"}, pivots: "low:100",
		},
		// On a large fleet some machine always seems to come free within the
		// delay, as a task past its estimate is taken to end soon.
		{
			name: "a pivot whose start is near lets lower work run out", machines: []*Machine{box("m0", 0, 8, 40)},
			jobs: []*Job{job("u", 0, 2, jobstate.Array, 1, 8, 10)}, pivots: "u:40",
		},
		{
			name: "unless it has waited for most of the delay", machines: []*Machine{box("m0", 0, 8, 40)},
			jobs: []*Job{since(-30, job("u", 0, 2, jobstate.Array, 1, 8, 10))}, pivots: "u:40", preempts: 1,
		},
		{
			name: "or would start too late for its class", machines: []*Machine{box("m0", 0, 8, 40)},
			jobs: []*Job{startBy(39, job("u", 0, 2, jobstate.Array, 1, 8, 10))}, pivots: "u:40", preempts: 1,
		},
		{
			name: "which a later objective does not change", machines: []*Machine{box("m0", 0, 8, 40)},
			jobs: []*Job{startBy(40, job("u", 0, 2, jobstate.Array, 1, 8, 10))}, pivots: "u:40",
		},
		{
			name: "an imminent start is waited for", machines: []*Machine{box("m0", 0, 8, 2)},
			jobs: []*Job{since(-90, startBy(1, job("u", 0, 2, jobstate.Array, 1, 8, 10)))}, pivots: "u:2",
		},
		{
			name: "what is neither urgent nor within a guarantee waits the whole delay", machines: []*Machine{box("m0", 0, 8, 40)},
			jobs: []*Job{since(-90, startBy(1, job("n", 0, 1, jobstate.Array, 1, 8, 10)))}, pivots: "n:40",
		},
		{
			name: "equal work is not", machines: []*Machine{box("m0", 0, 8, 500)},
			jobs: []*Job{job("eq", 0, 0, jobstate.Array, 1, 8, 10)}, pivots: "eq:500",
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
			p := Planner{Queues: 3, Index: NewIndex(tc.machines...), MaxStarts: 100, PreemptDelay: 60 * s, ReserveAhead: tc.ahead, BeyondGuarantee: func(string, jobstate.Resources) bool { return true }}
			for _, c := range tc.claims {
				id, machine, _ := strings.Cut(c, "@")
				for _, j := range tc.jobs {
					if j.ID == id {
						p.Claims = append(p.Claims, Claim{j.Job, machine})
					}
				}
			}
			plan := p.Plan(tc.jobs)
			var got []string
			for _, st := range plan.Starts {
				got = append(got, st.Job.ID+"@"+st.Machine.Name)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("starts %v, want %v", got, tc.want)
			}
			pivots := ""
			for _, pv := range plan.Pivots {
				pivots += fmt.Sprintf("%s:%d", pv.Job.ID, pv.StartAt/s)
			}
			if pivots != tc.pivots {
				t.Errorf("pivots %q, want %q", pivots, tc.pivots)
			}
			if len(plan.Preemptions) != tc.preempts {
				t.Errorf("%d preemptions, want %d", len(plan.Preemptions), tc.preempts)
			}
		})
	}
}

func arrive(n uint64, j *Job) *Job       { j.Arrival = n; return j }
func zone(z string, m *Machine) *Machine { m.Zone = z; return m }
func within(j *Job) *Job                 { j.Guaranteed = true; return j }
func guarded(m *Machine) *Machine        { m.RunningTasks[0].Guaranteed = true; return m }
func queueOrder(n int64, j *Job) *Job    { j.QueueOrder = n; return j }
func since(n int64, j *Job) *Job         { j.ReadyAt = n * s; return j }
func startBy(n int64, j *Job) *Job       { j.StartBy = n * s; return j }
func overdue(j *Job) *Job                { j.StartOverdue = true; return j }

func deadlineLost(j *Job) *Job { j.DeadlineLost = true; return j }
func oneZone(j *Job) *Job      { j.OneZone = true; return j }
func other(j *Job) *Job        { j.Team = "other"; return j }
func spread(j *Job) *Job       { j.Spread = true; return j }

// BenchmarkPlan is a round with a full fleet and a large array.
func BenchmarkPlan(b *testing.B) {
	for b.Loop() {
		var machines []*Machine
		for i := range 48 {
			machines = append(machines, box(fmt.Sprintf("m%02d", i), i%3, 4, int64(10+i)))
		}
		jobs := []*Job{job("big", 0, 0, jobstate.Array, 100_000, 1, 30), job("g", 1, 2, jobstate.Gang, 20, 8, 100), job("h", 2, 1, jobstate.Array, 300, 2, 900)}
		p := Planner{Queues: 3, Index: NewIndex(machines...), MaxStarts: 400, PreemptDelay: 60 * s}
		p.Plan(jobs)
	}
}

// TestDeadlineCritical: a stage before an urgent deadline goes to an on-demand machine, as
// the deadline is lost with one task of it. Others that may use spot machines
// leave the on-demand ones to those that may not.
func TestDeadlineCritical(t *testing.T) {
	cases := []struct {
		name       string
		priority   int
		deadline   int64
		checkpoint int64
		want       string
	}{
		{"no deadline", jobstate.Urgent, 0, 0, "spot"},
		{"a deadline, and not urgent", jobstate.Normal, 1000, 0, "spot"},
		{"before an urgent deadline", jobstate.Urgent, 1000, 0, "on-demand"},
		{"the same with checkpoints", jobstate.Urgent, 1000, 10, "spot"},
	}
	for _, tc := range cases {
		size := jobstate.Resources{CPU: 4000, Mem: 4000}
		machines := []*Machine{{Name: "on-demand", Type: "c", Zone: "a", Cap: size, Free: size}, {Name: "spot", Type: "c", Zone: "a", Spot: true, Cap: size, Free: size}}
		j := jobstate.NewJob(&jobstate.Spec{ID: "j", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{CPU: 3000}, Spot: true, Estimate: 5, Checkpoint: tc.checkpoint})
		j.EffectivePriority, j.EffectiveDeadline = tc.priority, tc.deadline
		p := Planner{Queues: 3, Index: NewIndex(machines...), MaxStarts: 10, PreferSpot: map[string]bool{"c": true}}
		plan := p.Plan([]*Job{{Job: j, Headroom: &Headroom{CPU: Unlimited, GPU: Unlimited}}})
		if len(plan.Starts) != 1 || plan.Starts[0].Machine.Name != tc.want {
			t.Errorf("%s: %+v", tc.name, plan.Starts)
		}
	}
}

// TestServiceImageCost: a service leaves room beside images that it has to fetch itself,
// as nothing but replicas brings these to a machine.
func TestServiceImageCost(t *testing.T) {
	cases := []struct {
		name  string
		spare bool
		tasks int
		has   string // the machine in use that has the image
		want  string
	}{
		{"with spare machines it takes half of each", true, 3, "", "idle-0 idle-0 idle-1"},
		{"and all of one that has its image", true, 3, "used", "used used idle-0"},
		{"without it fills what is in use first", false, 3, "", "used used idle-0"},
		{"when nothing else is left it fills machines in use too", true, 10, "", "idle-0 idle-0 idle-0 idle-0 idle-1 idle-1 idle-1 idle-1 used used"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			machines := []*Machine{box("idle-0", 0), box("idle-1", 0), box("used", 0, 4, 900)}
			for _, m := range machines {
				m.FetchRate = 500
				if m.Name == tc.has {
					m.Images["im"] = fleet.Image{MB: 7000, LastUsed: 1}
				}
			}
			j := job("serve", 0, 3, jobstate.Service, tc.tasks, 2, 100)
			j.Image, j.ImageMB = "im", 7000
			p := Planner{Queues: 3, Index: NewIndex(machines...), MaxStarts: 100, PreemptDelay: 60 * s, HasSpareMachines: tc.spare}
			var got []string
			for _, st := range p.Plan([]*Job{j}).Starts {
				got = append(got, st.Machine.Name)
			}
			slices.Sort(got)
			want := strings.Split(tc.want, " ")
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Errorf("on %v, want %v", got, want)
			}
		})
	}
}
