package sched

import (
	"fmt"
	"slices"
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestImagePreemption: an urgent gang that would have to fetch its image on the machines
// that are free takes some that have it from lower work, and waits for them.
func TestImagePreemption(t *testing.T) {
	// withImage is a machine that has the image; busy ones run one task of a job, which
	// has run for so many seconds.
	withImage := func(m *Machine) *Machine {
		m.Images["im"] = fleet.Image{LastUsed: 1}
		return m
	}
	busy := func(name string, priority, ran int64, change func(*jobstate.Job)) *Machine {
		m := box(name, 0, 8, 500)
		j := m.RunningTasks[0].Job
		j.EffectivePriority, j.NumPlaced = int(priority), 1
		if change != nil {
			change(j)
		}
		m.RunningTasks[0].LostWork = ran * s * j.Need.Weight()
		return m
	}
	saving := func(every, save int64) func(*jobstate.Job) {
		return func(j *jobstate.Job) { j.Checkpoint, j.Save = every*s, save*s }
	}
	urgent := func(tasks int, mb int64) *Job {
		j := job("u", 0, jobstate.Urgent, jobstate.Gang, tasks, 8, 100)
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
		preempts string   // machines, with ! for those without a checkpoint
	}{
		{
			name: "lower work is preempted on the machine that has the image", job: urgent(1, 12_000),
			machines: []*Machine{box("without", 0), withImage(busy("with", 0, 5, nil))}, preempts: "with! ",
		},
		{
			name: "not if the fetch is short", job: urgent(1, 4_000),
			machines: []*Machine{box("without", 0), withImage(busy("with", 0, 5, nil))}, want: []string{"without"},
		},
		{
			name: "not if much is lost", job: urgent(1, 12_000),
			machines: []*Machine{box("without", 0), withImage(busy("with", 0, 25, nil))}, want: []string{"without"},
		},
		{
			name: "not if it is as urgent", job: urgent(1, 12_000),
			machines: []*Machine{box("without", 0), withImage(busy("with", jobstate.Urgent, 5, nil))}, want: []string{"without"},
		},
		{
			name: "not for a job that is not urgent", job: normal,
			machines: []*Machine{box("without", 0), withImage(busy("with", 0, 5, nil))}, want: []string{"without"},
		},
		{
			name: "not a gang of several, as all of it would stop", job: urgent(1, 12_000),
			machines: []*Machine{box("without", 0), withImage(busy("with", 0, 5, func(j *jobstate.Job) { j.Kind, j.NumPlaced = jobstate.Gang, 2 }))}, want: []string{"without"},
		},
		{
			name: "not if the image is on a free machine too", job: urgent(1, 12_000),
			machines: []*Machine{withImage(box("free", 0)), withImage(busy("with", 0, 5, nil))}, want: []string{"free"},
		},
		{
			name: "a checkpoint that is cheaper than what is lost is waited for", job: urgent(1, 12_000),
			machines: []*Machine{box("without", 0), withImage(busy("with", 0, 5, saving(60, 5)))}, preempts: "with ",
		},
		{
			name: "but not if it takes as long as the fetch", job: urgent(1, 12_000),
			machines: []*Machine{box("without", 0), withImage(busy("with", 0, 5, saving(60, 9)))}, want: []string{"without"},
		},
		{
			name: "a gang starts with its last task, so one image does not help", job: urgent(2, 12_000),
			machines: []*Machine{box("without-0", 0), box("without-1", 0), withImage(busy("with", 0, 5, nil))}, want: []string{"without-0", "without-1"},
		},
		{
			name: "two do", job: urgent(2, 12_000),
			machines: []*Machine{box("without-0", 0), box("without-1", 0), withImage(box("free", 0)), withImage(busy("with", 0, 5, nil))}, preempts: "with! ",
		},
		{
			name: "it waits for what it has claimed", job: urgent(1, 12_000), claims: []string{"with"},
			machines: []*Machine{box("without", 0), withImage(stopping(busy("with", 0, 5, nil)))},
		},
		{
			name: "and goes to a free machine when the claim has expired", job: urgent(1, 12_000),
			machines: []*Machine{box("without", 0), withImage(stopping(busy("with", 0, 5, nil)))}, want: []string{"without"},
		},
		{
			name: "without a free machine it is preempted for as a pivot", job: urgent(1, 12_000),
			machines: []*Machine{withImage(busy("with", 0, 5, nil))}, preempts: "with! ",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := Planner{Queues: 3, Index: NewIndex(tc.machines...), MaxStarts: 100, PreemptDelay: 60 * s}
			for _, m := range tc.claims {
				p.Claims = append(p.Claims, Claim{tc.job.Job, m})
			}
			plan := p.Plan([]*Job{tc.job})
			var got []string
			for _, st := range plan.Starts {
				got = append(got, st.Machine.Name)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("starts on %v, want %v", got, tc.want)
			}
			preempts := ""
			for _, st := range plan.Preemptions {
				i := slices.IndexFunc(tc.machines, func(m *Machine) bool {
					return slices.ContainsFunc(m.RunningTasks, func(r RunningTask) bool { return r.Job == st.Job })
				})
				preempts += tc.machines[i].Name + map[bool]string{true: "!"}[st.Kill] + " "
			}
			if preempts != tc.preempts {
				t.Errorf("preempts on %q, want %q", preempts, tc.preempts)
			}
			for _, st := range plan.Preemptions {
				if !slices.ContainsFunc(plan.Claims, func(c Claim) bool { return c.Job == st.For.Job }) {
					t.Error(fmt.Sprint("machines are freed for ", st.For.ID, " without a claim"))
				}
			}
		})
	}
}

func stopping(m *Machine) *Machine { m.RunningTasks[0].Preemptible = false; return m }
