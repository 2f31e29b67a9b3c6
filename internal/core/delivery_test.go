package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// sendHeartbeat sends a heartbeat of machine m with the given epoch and sequence number, which may be
// those of a late copy, and returns the status of its answer.
func (r *leaderHarness) sendHeartbeat(epoch, seq, token uint64, tasks ...TaskStatus) ReplyCode {
	r.replies = nil
	r.step(HeartbeatReceived{RequestID: 1, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: epoch, Seq: seq, FencingToken: token, PreemptionNotice: NoPreemptionNotice, Tasks: tasks}})
	for i := 0; len(r.replies) == 0 && i < 100; i++ {
		r.tick(50_000)
	}
	return r.replies[0].Status
}

// answerProbe answers a probe of machine m that was sent at the current time.
func (r *leaderHarness) answerProbe(epoch, seq, token uint64, tasks ...TaskStatus) {
	r.step(MachineProbed{Machine: "m", SentAt: r.now, OK: true, Heartbeat: &Heartbeat{Machine: "m", Epoch: epoch, Seq: seq, FencingToken: token, Tasks: tasks}})
}

// usable reports whether work may be placed on machine m.
func (r *leaderHarness) usable() bool {
	m := r.c.elector.leadership.fleet.Get("m")
	return m != nil && r.c.planner.usable(m)
}

// TestMachineNotReceivingAnswers checks that a machine that sends heartbeats but does not receive
// the answers gets no work. If commands have no effect twice in succession, nothing more is placed
// on the machine. The tasks that it should have started are placed elsewhere once a later heartbeat does not list them
// either. The machine is used again when it receives an answer or a probe.
func TestMachineNotReceivingAnswers(t *testing.T) {
	cases := []struct {
		name   string
		do     func(r *leaderHarness)
		usable bool
		placed string
	}{
		{"one answer is lost", func(r *leaderHarness) { r.heartbeat(5, 1); r.heartbeat(r.token, 1) }, true, "m.3"},
		{"two successive answers have no effect", func(r *leaderHarness) { r.heartbeat(5, 1); r.heartbeat(r.token, 1); r.heartbeat(r.token, 1) }, false, ".3"},
		{"a listed task stays until the lease expires", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			for range 4 {
				r.heartbeat(r.token, 1, running(3), TaskStatus{Name: "other/0", Attempt: 1, State: TaskExited, Reason: ExitStopped})
			}
		}, false, "m.3"},
		{"the machine answers a probe", func(r *leaderHarness) {
			r.heartbeat(5, 1)
			r.heartbeat(r.token, 1)
			r.heartbeat(r.token, 1)
			r.answerProbe(1, r.seq+1, r.token)
		}, true, "m.4"},
		{"a command takes effect", func(r *leaderHarness) {
			r.heartbeat(5, 1)
			r.heartbeat(r.token, 1)
			r.heartbeat(r.token, 1)
			r.heartbeat(r.token, 1, TaskStatus{Name: "other/0", Attempt: 1, State: TaskExited, Reason: ExitStopped})
			r.heartbeat(r.token, 1)
		}, true, "m.4"},
		{"the machine cannot be probed, is retried later and does not receive the start", func(r *leaderHarness) {
			for range 3 {
				r.heartbeat(r.token, 1)
			}
			for range 6 {
				r.tick(2 * second)
				r.heartbeat(r.token, 1)
			}
		}, false, ".4"},
		{"the worker ends its epoch twice although it was answered", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.seq = 0
			r.heartbeat(r.token, 2)
			r.seq = 0
			r.heartbeat(r.token, 3)
		}, false, ".4"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			tc.do(r)
			if got := r.usable(); got != tc.usable {
				t.Errorf("machine m usable: got %v, want %v", got, tc.usable)
			}
			if got := r.placed(); got != tc.placed {
				t.Errorf("placement (machine.attempt): got %s, want %s", got, tc.placed)
			}
		})
	}
}

// TestLateHeartbeatCopies checks that a late copy of a heartbeat has no effect: it does not add a
// machine again that is gone, and does not prove that a task is absent. A machine that has restarted its sequence
// numbers is accepted after its answer to a probe, and copies from before the restart are refused.
func TestLateHeartbeatCopies(t *testing.T) {
	restarted := func(r *leaderHarness) {
		r.sendHeartbeat(1, 90, r.token, running(3))
		r.tick(2 * second)
		if s := r.sendHeartbeat(1, 1, 0); s != 503 {
			r.t.Errorf("status of a heartbeat with an older sequence number: got %d, want 503", s)
		}
		r.answerProbe(1, 2, 0)
		r.sendHeartbeat(1, 3, 0)
		r.tick(2 * second)
		r.sendHeartbeat(1, 4, r.token)
		r.answerProbe(1, 5, r.token)
		r.tick(second)
		r.sendHeartbeat(1, 6, r.token)
		r.sendHeartbeat(1, 7, r.token, running(4))
	}
	cases := []struct {
		name   string
		do     func(r *leaderHarness) ReplyCode
		status ReplyCode
		usable bool
		placed string
	}{
		{"copy of a returned machine", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 7, r.token, running(3))
			r.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: r.c.elector.leadership.fencingToken})
			return r.sendHeartbeat(1, 8, r.token)
		}, 503, false, ".3"},
		{"copy of a removed machine", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 7, r.token)
			r.c.planner.machineGone(r.c.workers.getOrAddMachine("m"), "test")
			r.c.scaler.forgetMachine(r.c.workers.getOrAddMachine("m"))
			return r.sendHeartbeat(1, 7, r.token)
		}, 503, false, ".3"},
		{"new heartbeat of a removed machine that still exists", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 7, r.token)
			r.c.planner.machineGone(r.c.workers.getOrAddMachine("m"), "test")
			r.c.scaler.forgetMachine(r.c.workers.getOrAddMachine("m"))
			return r.sendHeartbeat(1, 8, r.token)
		}, 200, true, "m.4"},
		{"lower sequence number", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 90, r.token, running(3))
			return r.sendHeartbeat(1, 89, r.token)
		}, 503, true, "m.3"},
		{"lower sequence number, higher one in the answer to the probe", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 90, r.token, running(3))
			r.tick(2 * second)
			r.sendHeartbeat(1, 89, r.token)
			r.answerProbe(1, 91, r.token, running(3))
			return r.sendHeartbeat(1, 92, r.token, running(3))
		}, 200, true, "m.3"},
		{"restarted sequence numbers", func(r *leaderHarness) ReplyCode {
			restarted(r)
			return r.sendHeartbeat(1, 8, r.token, running(4))
		}, 200, true, "m.4"},
		{"restarted sequence numbers, probed again for another reason", func(r *leaderHarness) ReplyCode {
			restarted(r)
			r.answerProbe(1, 8, r.token, running(4))
			return r.sendHeartbeat(1, 9, r.token, running(4))
		}, 200, true, "m.4"},
		{"restarted sequence numbers, copy with the next number lacks the task", func(r *leaderHarness) ReplyCode {
			restarted(r)
			return r.sendHeartbeat(1, 9, r.token)
		}, 200, true, "m.4"},
		{"restarted sequence numbers, older copy has raised the known number", func(r *leaderHarness) ReplyCode {
			restarted(r)
			r.sendHeartbeat(1, 20, r.token)
			r.tick(2 * second)
			r.sendHeartbeat(1, 8, r.token, running(4))
			r.answerProbe(1, 9, r.token, running(4))
			return r.sendHeartbeat(1, 10, r.token, running(4))
		}, 200, true, "m.4"},
		{"sequence numbers restarted twice", func(r *leaderHarness) ReplyCode {
			restarted(r)
			r.tick(2 * second)
			r.sendHeartbeat(1, 1, 0)
			r.answerProbe(1, 2, 0)
			r.sendHeartbeat(1, 3, 0)
			r.tick(2 * second)
			r.sendHeartbeat(1, 4, r.token)
			r.answerProbe(1, 5, r.token)
			return r.sendHeartbeat(1, 6, r.token)
		}, 200, true, "m.5"},
		{"restarted sequence numbers, copy from before the restart", func(r *leaderHarness) ReplyCode {
			restarted(r)
			return r.sendHeartbeat(1, 91, r.token)
		}, 503, true, "m.4"},
		{"restarted sequence numbers, copy of another epoch", func(r *leaderHarness) ReplyCode {
			restarted(r)
			return r.sendHeartbeat(2, 8, r.token)
		}, 503, true, "m.4"},
		{"restarted sequence numbers, then a new epoch", func(r *leaderHarness) ReplyCode {
			restarted(r)
			r.tick(3 * second)
			r.sendHeartbeat(2, 8, r.token)
			r.answerProbe(2, 9, r.token)
			return r.sendHeartbeat(2, 10, r.token)
		}, 200, true, "m.5"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			if got := tc.do(r); got != tc.status {
				t.Errorf("status of the last heartbeat: got %d, want %d", got, tc.status)
			}
			r.tick(second / 2)
			if got := r.usable(); got != tc.usable {
				t.Errorf("machine m usable: got %v, want %v", got, tc.usable)
			}
			if got := r.placed(); got != tc.placed {
				t.Errorf("placement (machine.attempt): got %s, want %s", got, tc.placed)
			}
		})
	}
}

// TestGangStopsAfterUnreceivedStart checks that a gang attempt is stopped if the machine of one of its
// tasks does not receive the start, so that the other tasks do not wait for it.
func TestGangStopsAfterUnreceivedStart(t *testing.T) {
	r := newLeaderHarness(t)
	j := jobstate.NewJob(&jobstate.Spec{ID: "g", Team: "t", Kind: jobstate.Gang, Tasks: 2, Need: jobstate.Resources{CPU: 1}, Estimate: second})
	r.c.cache.jobs["g"] = j
	for i, name := range []string{"unreceiving", "m"} {
		r.c.tasks.place(j, i, name)
	}
	r.c.workers.abandonUnacknowledged(r.c.workers.getOrAddMachine("unreceiving"))
	for i := range 2 {
		if j.Task(i).StopReason == "" {
			t.Errorf("task %d: got no stop reason, want one", i)
		}
	}
}

// place places a task on a machine as if the placement had been stored and its start sent.
func (t *taskManager) place(j *jobstate.Job, i int, machine string) {
	j.PlaceTask(i, machine, 1, t.now)
	j.Task(i).Stored, j.Task(i).StartSent = true, true
	t.workers.getOrAddMachine(machine).AddPlacement(fleet.TaskRef{Job: j, Index: i})
}
