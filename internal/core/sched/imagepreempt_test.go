package sched

import (
	"fmt"
	"slices"
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestImagePreemption checks when an urgent gang, which would have to fetch its image on the free
// machines, preempts work of lower priority on machines that have the image and waits for them.
func TestImagePreemption(t *testing.T) {
	// withImage adds the image to a machine. busy returns a machine that runs one task of a
	// job, which has run for ran seconds.
	withImage := func(m *Machine) *Machine {
		m.Images["im"] = fleet.Image{LastUsed: 1}
		return m
	}
	busy := func(name string, priority, ran int64, change func(*jobstate.Job)) *Machine {
		m := testMachine(name, 0, 8, 500)
		j := m.RunningTasks[0].Job
		j.EffectivePriority, j.NumPlaced = int(priority), 1
		if change != nil {
			change(j)
		}
		m.RunningTasks[0].LostWork = ran * second * j.Need.Weight()
		return m
	}
	withCheckpoints := func(every, save int64) func(*jobstate.Job) {
		return func(j *jobstate.Job) { j.Checkpoint, j.Save = every*second, save*second }
	}
	urgent := func(tasks int, mb int64) *Job {
		j := testJob("u", 0, jobstate.Urgent, jobstate.Gang, tasks, 8, 100)
		j.Image, j.ImageMB = "im", mb
		return j
	}
	normal := urgent(1, 12_000)
	normal.EffectivePriority, normal.Priority = jobstate.Normal, jobstate.Normal
	cases := []struct {
		name     string
		machines []*Machine
		job      *Job
		claims   []string
		want     []string // starts
		preempts string   // machines, with ! if work is stopped without saving a checkpoint
	}{
		{
			name: "lower-priority work is preempted on the machine with the image", job: urgent(1, 12_000),
			machines: []*Machine{testMachine("without", 0), withImage(busy("with", 0, 5, nil))}, preempts: "with! ",
		},
		{
			name: "no preemption if the fetch is short", job: urgent(1, 4_000),
			machines: []*Machine{testMachine("without", 0), withImage(busy("with", 0, 5, nil))}, want: []string{"without"},
		},
		{
			name: "no preemption if much work is lost", job: urgent(1, 12_000),
			machines: []*Machine{testMachine("without", 0), withImage(busy("with", 0, 25, nil))}, want: []string{"without"},
		},
		{
			name: "no preemption of urgent work", job: urgent(1, 12_000),
			machines: []*Machine{testMachine("without", 0), withImage(busy("with", jobstate.Urgent, 5, nil))}, want: []string{"without"},
		},
		{
			name: "no preemption for a job that is not urgent", job: normal,
			machines: []*Machine{testMachine("without", 0), withImage(busy("with", 0, 5, nil))}, want: []string{"without"},
		},
		{
			name: "no preemption of a gang of several tasks, as all of it would stop", job: urgent(1, 12_000),
			machines: []*Machine{testMachine("without", 0), withImage(busy("with", 0, 5, func(j *jobstate.Job) { j.Kind, j.NumPlaced = jobstate.Gang, 2 }))}, want: []string{"without"},
		},
		{
			name: "no preemption if a free machine has the image", job: urgent(1, 12_000),
			machines: []*Machine{withImage(testMachine("free", 0)), withImage(busy("with", 0, 5, nil))}, want: []string{"free"},
		},
		{
			name: "a checkpoint is awaited if it costs less than the lost work", job: urgent(1, 12_000),
			machines: []*Machine{testMachine("without", 0), withImage(busy("with", 0, 5, withCheckpoints(60, 5)))}, preempts: "with ",
		},
		{
			name: "no preemption if the checkpoint takes as long as the fetch", job: urgent(1, 12_000),
			machines: []*Machine{testMachine("without", 0), withImage(busy("with", 0, 5, withCheckpoints(60, 9)))}, want: []string{"without"},
		},
		{
			name: "no preemption for one of two tasks, as a gang starts with its last task", job: urgent(2, 12_000),
			machines: []*Machine{testMachine("without-0", 0), testMachine("without-1", 0), withImage(busy("with", 0, 5, nil))}, want: []string{"without-0", "without-1"},
		},
		{
			name: "preemption if both tasks then have the image", job: urgent(2, 12_000),
			machines: []*Machine{testMachine("without-0", 0), testMachine("without-1", 0), withImage(testMachine("free", 0)), withImage(busy("with", 0, 5, nil))}, preempts: "with! ",
		},
		{
			name: "the gang waits for the machine that it has claimed", job: urgent(1, 12_000), claims: []string{"with"},
			machines: []*Machine{testMachine("without", 0), withImage(alreadyStopping(busy("with", 0, 5, nil)))},
		},
		{
			name: "the gang uses a free machine after its claim has expired", job: urgent(1, 12_000),
			machines: []*Machine{testMachine("without", 0), withImage(alreadyStopping(busy("with", 0, 5, nil)))}, want: []string{"without"},
		},
		{
			name: "without a free machine work is preempted for the gang as a pivot", job: urgent(1, 12_000),
			machines: []*Machine{withImage(busy("with", 0, 5, nil))}, preempts: "with! ",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := Planner{Queues: 3, Index: NewIndex(tc.machines...), MaxStarts: 100, PreemptDelay: 60 * second}
			for _, machine := range tc.claims {
				p.Claims = append(p.Claims, Claim{tc.job.Job, machine})
			}
			plan := p.Plan([]*Job{tc.job})
			var got []string
			for _, start := range plan.Starts {
				got = append(got, start.Machine.Name)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("starts on machines: got %v, want %v", got, tc.want)
			}
			preempts := ""
			for _, preemption := range plan.Preemptions {
				i := slices.IndexFunc(tc.machines, func(m *Machine) bool {
					return slices.ContainsFunc(m.RunningTasks, func(run RunningTask) bool { return run.Job == preemption.Job })
				})
				preempts += tc.machines[i].Name + map[bool]string{true: "!"}[preemption.Kill] + " "
			}
			if preempts != tc.preempts {
				t.Errorf("preemptions on machines: got %q, want %q", preempts, tc.preempts)
			}
			for _, preemption := range plan.Preemptions {
				if !slices.ContainsFunc(plan.Claims, func(c Claim) bool { return c.Job == preemption.For.Job }) {
					t.Error(fmt.Sprint("preemption for ", preemption.For.ID, ": got no claim of that job in the plan, want one"))
				}
			}
		})
	}
}

func alreadyStopping(m *Machine) *Machine { m.RunningTasks[0].Preemptible = false; return m }
