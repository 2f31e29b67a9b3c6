package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestQueueAssignment checks the queue of a job, which follows from equation (1) of the paper
// that package sched implements and from the cutoffs in the settings, and which jobs have a
// trial.
func TestQueueAssignment(t *testing.T) {
	cases := []struct {
		kind          jobstate.Kind
		estimate      int64
		hasCheckpoint bool
		queue         int
		trial         bool
	}{
		{jobstate.Array, 0, true, 0, false},
		{jobstate.Array, 60*second - 1, true, 0, false},
		{jobstate.Array, 60 * second, true, 1, true},
		{jobstate.Gang, 60 * second, false, 1, false},
		{jobstate.Gang, 600*second - 1, true, 1, true},
		{jobstate.Gang, 600 * second, true, 2, true},
		{jobstate.Service, 0, true, 2, false},
	}
	h := newLeaderHarness(t)
	for _, tc := range cases {
		s := &jobstate.Spec{Kind: tc.kind, Estimate: tc.estimate, Tasks: 1}
		if tc.hasCheckpoint {
			s.Checkpoint = second
		}
		j := jobstate.NewJob(s)
		if q := h.core.planner.queueOf(s); q != tc.queue || h.core.planner.wantsTrial(j) != tc.trial {
			t.Errorf("%s with estimate %d s: got queue %d, trial %v, want queue %d, trial %v",
				tc.kind, tc.estimate/second, q, h.core.planner.wantsTrial(j), tc.queue, tc.trial)
		}
		j.TrialDone = true
		if h.core.planner.wantsTrial(j) {
			t.Errorf("%s with estimate %d s: got a second trial, want none", tc.kind, tc.estimate/second)
		}
	}
}

// placeRunning places each task of a job on a machine of its own, as stored and running.
func (h *leaderHarness) placeRunning(j *jobstate.Job, trial bool) {
	h.core.cache.jobs[j.ID] = j
	for i := range j.Tasks {
		m := h.core.workers.getOrAddMachine(fmt.Sprint("x", i))
		m.Type, m.Zone, m.Cap, m.LastHeartbeat, m.HasCurrentToken, m.Addr = "c", "a", jobstate.Resources{CPU: 1000, Mem: 1000}, h.now, true, "a"
		j.PlaceTask(i, m.Name, 1, h.now)
		task := j.Task(i)
		task.Stored, task.StartSent, task.Confirmed, task.StartedAt, task.Trial = true, true, true, h.now, trial
		j.SetPhase(task, jobstate.Running)
		m.AddPlacement(fleet.TaskRef{Job: j, Index: i})
	}
}

// TestTrials checks that a trial is stopped, with time for a checkpoint, only if its time is used
// up and another job waits for its machine that would precede the stopped job in the queue.
func TestTrials(t *testing.T) {
	cases := []struct {
		name    string
		after   int64
		waiting bool
		early   bool // the waiting job arrived first
		stop    jobstate.StopReason
	}{
		{"trial time not used up", 100 * second, true, true, ""},
		{"trial over, no job waiting", 200 * second, false, false, ""},
		{"trial over, earlier job waiting", 200 * second, true, true, jobstate.StopTrial},
		// The stopped job would precede the waiting one and start again at once.
		{"trial over, later job waiting", 200 * second, true, false, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			long := jobstate.NewJob(&jobstate.Spec{ID: "long", Team: "t", Kind: jobstate.Gang, Tasks: 1, Need: jobstate.Resources{CPU: 1000}, Estimate: 1000 * second, Checkpoint: second, Save: 4 * second})
			h.placeRunning(long, true)
			h.now += tc.after
			if tc.waiting {
				waiting := jobstate.NewJob(&jobstate.Spec{ID: "waits", Team: "t", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{CPU: 1000}, Estimate: 100 * second})
				waiting.Arrival, waiting.ReadyAt = 99, h.now
				if tc.early {
					waiting.ReadyAt = -second
				}
				h.core.cache.jobs["waits"] = waiting
			} else {
				delete(h.core.cache.jobs, "j")
			}
			m := h.core.elector.leadership.fleet.Get("x0")
			m.LastHeartbeat = h.now
			m.MarkChanged()
			h.core.now = h.now
			h.core.elector.leadership.cacheFreshAt, h.core.elector.leadership.tokenProvenAt = h.now, h.now
			h.core.planner.plan()
			if got := long.Task(0); got.StopReason != tc.stop || tc.stop != "" && got.Grace < 4*second {
				t.Errorf("got stop reason %q with grace %d s, want %q with at least 4 s if stopped", got.StopReason, got.Grace/second, tc.stop)
			}
		})
	}
}

// TestLostWorkOfRecentStarts checks that preempting a recently started task costs extra if its
// start time matters, so that other tasks are preempted first. The start time matters if a start
// objective applies to the task's class, if the task is within its team's guarantee, or if there
// are no objectives.
func TestLostWorkOfRecentStarts(t *testing.T) {
	objectives := []config.Objective{{Kind: "wait", Class: "starts"}, {Kind: "deadline", Class: "ends"}, {Kind: "guarantee"}}
	cases := []struct {
		name       string
		class      string
		objectives []config.Objective
		guaranteed bool
		ran        int64
		costsExtra bool
	}{
		{"start objective for the class", "starts", objectives, false, 10 * second, true},
		{"start objective, no longer recent", "starts", objectives, false, 31 * second, false},
		{"deadline objective only", "ends", objectives, false, 10 * second, false},
		{"within the team's guarantee", "ends", objectives, true, 10 * second, true},
		{"no objectives", "ends", nil, false, 10 * second, true},
	}
	for _, tc := range cases {
		h := newLeaderHarness(t)
		h.core.settings.Objectives = tc.objectives
		j := jobstate.NewJob(&jobstate.Spec{ID: "young", Class: tc.class, Team: "t", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{GPU: 1}, Estimate: 100 * second})
		h.placeRunning(j, true)
		j.Task(0).StartedAt = h.now
		h.core.now = h.now + tc.ran
		got := h.core.planner.runningTask(h.core.elector.leadership.fleet.Get("x0"), fleet.TaskRef{Job: j, Index: 0}, tc.guaranteed)
		if costsExtra := got.LostWork > tc.ran; costsExtra != tc.costsExtra || got.Guaranteed != tc.guaranteed {
			t.Errorf("%s: preemption after %d s costs %d s, guaranteed %v; want extra cost %v, guaranteed %v",
				tc.name, tc.ran/second, got.LostWork/second, got.Guaranteed, tc.costsExtra, tc.guaranteed)
		}
	}
}

// TestLostWorkOfGangs checks that preempting one task of a gang costs the work of the whole
// gang, because all of its tasks stop.
func TestLostWorkOfGangs(t *testing.T) {
	for _, tc := range []struct {
		kind         jobstate.Kind
		stoppedTasks int64
	}{{jobstate.Array, 1}, {jobstate.Gang, 3}} {
		h := newLeaderHarness(t)
		j := jobstate.NewJob(&jobstate.Spec{ID: "j3", Team: "t", Kind: tc.kind, Tasks: 3, Need: jobstate.Resources{GPU: 1}, Estimate: 900 * second})
		h.placeRunning(j, true)
		j.EachPlaced(func(_ int, t *jobstate.Task) { t.StartedAt = h.now })
		h.core.now = h.now + 60*second
		if got := h.core.planner.runningTask(h.core.elector.leadership.fleet.Get("x0"), fleet.TaskRef{Job: j, Index: 0}, false).LostWork; got != tc.stoppedTasks*60*second {
			t.Errorf("kind %v: got lost work %d s, want %d s", tc.kind, got/second, tc.stoppedTasks*60)
		}
	}
}

// TestStartBy checks that the time by which a job needs machines leaves enough time before the end
// of the start objective to fetch the image (10 or 4 s here) and for startOverhead (3 s).
func TestStartBy(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.settings.Objectives = []config.Objective{{Kind: "wait", Class: "fit", WithinS: 25}}
	h.core.cache.machineTypes = []fleet.Type{{Name: "slow", Cap: jobstate.Resources{CPU: 1000}, FetchRate: 400}, {Name: "fast", Cap: jobstate.Resources{CPU: 8000}, FetchRate: 1000}}
	for _, tc := range []struct {
		class string
		cpu   int64
		want  int64
	}{{"fit", 1000, 100 + 25 - 3 - 10}, {"fit", 2000, 100 + 25 - 3 - 4}, {"other", 1000, 0}} {
		j := jobstate.NewJob(&jobstate.Spec{ID: "x", Class: tc.class, Need: jobstate.Resources{CPU: tc.cpu}, Image: "im", ImageMB: 4000, Tasks: 1})
		j.ReadyAt = 100 * second
		if got := h.core.planner.startBy(j, false); got != tc.want*second {
			t.Errorf("class %s with %d milli-CPUs: got start by %d s, want %d s", tc.class, tc.cpu, got/second, tc.want)
		}
	}
}

// TestQueueOrder checks that a job with a deadline is ordered by its latest start plus a penalty
// for the delay it causes other jobs, and a job without a deadline by the time it became ready.
func TestQueueOrder(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.elector.leadership.planning.capacity = jobstate.Resources{CPU: 100_000, GPU: 10_000}
	cases := []struct {
		name           string
		tasks, done    int
		need           jobstate.Resources
		deadline, want int64 // in seconds
		dependencies   []string
	}{
		{"no deadline", 100, 0, jobstate.Resources{CPU: 1000}, 0, 10, nil},
		{"one task", 1, 0, jobstate.Resources{CPU: 1000}, 200, 10 + 200 - 50 + 10*50/100, nil},
		{"100 tasks on 100 CPUs", 100, 0, jobstate.Resources{CPU: 1000}, 200, 10 + 200 - 50 + 10*50, nil},
		{"half of the tasks done", 100, 50, jobstate.Resources{CPU: 1000}, 200, 10 + 200 - 50 + 10*25, nil},
		{"GPU task", 1, 0, jobstate.Resources{CPU: 1000, GPU: 1000}, 200, 10 + 200 - 50 + 10*5, nil},
		{"deadline cannot be met", 1, 0, jobstate.Resources{CPU: 1000, GPU: 1000}, 20, 10 + 10*5, nil},
		// If a stage yields to other jobs, the whole pipeline misses its deadline.
		{"pipeline stage", 100, 0, jobstate.Resources{CPU: 1000}, 200, 10 + 200 - 50, []string{"a"}},
	}
	for _, tc := range cases {
		j := jobstate.NewJob(&jobstate.Spec{ID: "x", Kind: jobstate.Array, Tasks: tc.tasks, Need: tc.need, Estimate: 50 * second, Dependencies: tc.dependencies})
		j.SubmittedAt, j.ReadyAt = 10*second, 10*second
		if tc.deadline > 0 {
			j.EffectiveDeadline = j.SubmittedAt + tc.deadline*second
		}
		for i := range tc.done {
			j.SetDone(i, 1)
		}
		if got := h.core.planner.queueOrder(j); got != tc.want*second {
			t.Errorf("%s: got queue order %d s, want %d s", tc.name, got/second, tc.want)
		}
	}
}

// TestGangRestart checks that a failure or preemption of one task of a gang stops the whole
// attempt, and that the next attempt is planned only after all tasks of the last one have
// stopped.
func TestGangRestart(t *testing.T) {
	const n = 3
	stops := func(j *jobstate.Job) string {
		s := ""
		j.EachPlaced(func(i int, t *jobstate.Task) { s += fmt.Sprintf("%d:%s ", i, t.StopReason) })
		return s
	}
	cases := []struct {
		name string
		do   func(h *leaderHarness, j *jobstate.Job)
		want string
	}{
		{"one task lost", func(h *leaderHarness, j *jobstate.Job) { h.core.tasks.taskLost(j, 0) }, "1:gang 2:gang "},
		{"one task lost its peers", func(h *leaderHarness, j *jobstate.Job) {
			h.core.tasks.taskExited(h.core.workers.getOrAddMachine("x1"), j, 1, &TaskStatus{Name: "g/1", Attempt: 1, State: TaskExited, Reason: ExitPeersLost})
		}, "0:gang 2:gang "},
		// x1 fetches slowly, while x0 and x2 have the image. If x1 were stopped, it would
		// fetch the image again in the next attempt, which would be incomplete as well.
		{"gang incomplete, fetching task continues", func(h *leaderHarness, j *jobstate.Job) {
			x1 := h.core.workers.getOrAddMachine("x1")
			j.SetPhase(j.Task(1), jobstate.Unconfirmed)
			h.core.workers.recordTaskPhase(x1, j, j.Task(1), TaskFetching)
			h.core.tasks.taskExited(h.core.workers.getOrAddMachine("x0"), j, 0, &TaskStatus{Name: "g/0", Attempt: 1, State: TaskExited, Reason: ExitGangIncomplete})
		}, "1: 2:gang "},
		{"gang incomplete, fetching task stops after the fetch", func(h *leaderHarness, j *jobstate.Job) {
			x1 := h.core.workers.getOrAddMachine("x1")
			j.SetPhase(j.Task(1), jobstate.Unconfirmed)
			h.core.workers.recordTaskPhase(x1, j, j.Task(1), TaskFetching)
			h.core.tasks.taskExited(h.core.workers.getOrAddMachine("x0"), j, 0, &TaskStatus{Name: "g/0", Attempt: 1, State: TaskExited, Reason: ExitGangIncomplete})
			h.core.workers.reconcileListed(x1, &Heartbeat{Machine: "x1", Tasks: []TaskStatus{{Name: "g/1", Attempt: 1, State: TaskWaiting}}})
			if im := x1.Images["im"]; im.LastUsed == 0 || im.Fetching {
				h.t.Errorf("after the fetch: got image %+v, want it recorded as present", im)
			}
		}, "1:gang 2:gang "},
		{"gang incomplete, fetching task stops after a timeout", func(h *leaderHarness, j *jobstate.Job) {
			x1 := h.core.workers.getOrAddMachine("x1")
			x1.FetchRate = 100
			j.SetPhase(j.Task(1), jobstate.Unconfirmed)
			h.core.workers.recordTaskPhase(x1, j, j.Task(1), TaskFetching)
			h.core.tasks.taskExited(h.core.workers.getOrAddMachine("x0"), j, 0, &TaskStatus{Name: "g/0", Attempt: 1, State: TaskExited, Reason: ExitGangIncomplete})
			h.core.now += 41 * second
			h.core.workers.reconcileListed(x1, &Heartbeat{Machine: "x1", Tasks: []TaskStatus{{Name: "g/1", Attempt: 1, State: TaskFetching}}})
		}, "1:gang 2:gang "},
		{"one task lost during its image fetch", func(h *leaderHarness, j *jobstate.Job) {
			x1 := h.core.workers.getOrAddMachine("x1")
			j.SetPhase(j.Task(1), jobstate.Unconfirmed)
			h.core.workers.recordTaskPhase(x1, j, j.Task(1), TaskFetching)
			if !x1.Images["im"].Fetching {
				h.t.Errorf("during the fetch: got image %+v, want it recorded as being fetched", x1.Images["im"])
			}
			h.core.tasks.taskLost(j, 1)
			if len(x1.Images) > 0 {
				h.t.Errorf("after an aborted fetch: got images %v, want none", x1.Images)
			}
		}, "0:gang 2:gang "},
		{"one task preempted", func(h *leaderHarness, j *jobstate.Job) { h.core.tasks.preempt(j, 2, checkpointGrace(j)) }, "0:preempt 1:preempt 2:preempt "},
		{"one task done", func(h *leaderHarness, j *jobstate.Job) {
			h.core.tasks.taskDone(j, 0)
			h.core.tasks.taskExited(h.core.workers.getOrAddMachine("x0"), j, 0, &TaskStatus{Name: "g/0", Attempt: 1, State: TaskExited, Reason: ExitDone})
		}, "1: 2: "},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			j := jobstate.NewJob(&jobstate.Spec{ID: "g", Team: "t", Kind: jobstate.Gang, Tasks: n, Need: jobstate.Resources{CPU: 1000}, Estimate: 50 * second, Checkpoint: second, Save: config.Second, Image: "im", ImageMB: 1000})
			h.placeRunning(j, false)
			h.core.now = h.now
			tc.do(h, j)
			if got := stops(j); got != tc.want {
				t.Errorf("got stop reasons %q, want %q", got, tc.want)
			}
			all := h.core.planner.unfinished()
			used, withinGuarantee := h.core.planner.usage(), h.core.planner.jobsWithinGuarantee(all)
			for _, planned := range h.core.planner.schedJobs(all, used, withinGuarantee) {
				if planned.ID == "g" {
					t.Error("got the gang planned again, want it not planned before all tasks of its last attempt have stopped")
				}
			}
		})
	}
}
