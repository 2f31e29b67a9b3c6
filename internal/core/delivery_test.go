package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// sendHeartbeat sends a heartbeat of machine m with the given epoch and sequence number, which
// may be those of a late copy, and returns the status of the answer.
func (h *leaderHarness) sendHeartbeat(epoch, seq, token uint64, tasks ...TaskStatus) ReplyCode {
	h.replies = nil
	h.step(HeartbeatReceived{RequestID: 1, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: epoch, Seq: seq, FencingToken: token, PreemptionNotice: NoPreemptionNotice, Tasks: tasks}})
	for i := 0; len(h.replies) == 0 && i < 100; i++ {
		h.tick(50_000)
	}
	return h.replies[0].Status
}

// answerProbe answers a probe of machine m that was sent at the current time.
func (h *leaderHarness) answerProbe(epoch, seq, token uint64, tasks ...TaskStatus) {
	h.step(MachineProbed{Machine: "m", SentAt: h.now, OK: true, Heartbeat: &Heartbeat{Machine: "m", Epoch: epoch, Seq: seq, FencingToken: token, Tasks: tasks}})
}

// usable reports whether work may be placed on machine m.
func (h *leaderHarness) usable() bool {
	m := h.core.elector.leadership.fleet.Get("m")
	return m != nil && h.core.planner.usable(m)
}

// heartbeatAfterTimeout sends the next heartbeat of machine m after its worker has given up on the last
// answer: the worker waits 4 s for it, and tries the next controller a second later.
func (h *leaderHarness) heartbeatAfterTimeout() {
	h.tick(5 * second)
	h.heartbeat(h.token, 1)
}

// TestMachineNotReceivingAnswers checks that a machine that sends heartbeats but does not receive
// the answers gets no work. If commands have no effect twice in succession, nothing more is placed
// on the machine. The tasks that it should have started are placed elsewhere once a later
// heartbeat does not list them either. The machine is used again when it has received an answer
// or a probe.
func TestMachineNotReceivingAnswers(t *testing.T) {
	cases := []struct {
		name   string
		do     func(h *leaderHarness)
		usable bool
		placed string
	}{
		{"one answer is lost", func(h *leaderHarness) { h.heartbeat(5, 1); h.heartbeat(h.token, 1) }, true, "m.3"},
		{"two successive answers have no effect", func(h *leaderHarness) { h.heartbeat(5, 1); h.heartbeat(h.token, 1); h.heartbeatAfterTimeout() }, false, ".3"},
		{"a listed task stays until the lease expires", func(h *leaderHarness) {
			h.heartbeat(5, 1, running(3))
			for range 4 {
				h.heartbeat(h.token, 1, running(3), TaskStatus{Name: "other/0", Attempt: 1, State: TaskExited, Reason: ExitStopped})
			}
		}, false, "m.3"},
		{"the machine answers a probe", func(h *leaderHarness) {
			h.heartbeat(5, 1)
			h.heartbeat(h.token, 1)
			h.heartbeatAfterTimeout()
			h.answerProbe(1, h.seq+1, h.token)
		}, true, "m.4"},
		{"a command takes effect", func(h *leaderHarness) {
			h.heartbeat(5, 1)
			h.heartbeat(h.token, 1)
			h.heartbeatAfterTimeout()
			h.heartbeat(h.token, 1, TaskStatus{Name: "other/0", Attempt: 1, State: TaskExited, Reason: ExitStopped})
			h.heartbeat(h.token, 1)
		}, true, "m.4"},
		{"the machine cannot be probed, is retried later and does not receive the start", func(h *leaderHarness) {
			h.heartbeat(h.token, 1)
			h.heartbeat(h.token, 1)
			h.heartbeatAfterTimeout()
			for range 8 {
				h.tick(2 * second)
				h.heartbeat(h.token, 1)
			}
		}, false, ".4"},
		{"the worker ends its epoch twice although it was answered", func(h *leaderHarness) {
			h.heartbeat(5, 1, running(3))
			h.seq = 0
			h.heartbeat(h.token, 2)
			h.seq = 0
			h.heartbeat(h.token, 3)
		}, false, ".4"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			tc.do(h)
			if got := h.usable(); got != tc.usable {
				t.Errorf("machine m usable: got %v, want %v", got, tc.usable)
			}
			if got := h.placed(); got != tc.placed {
				t.Errorf("placement (machine.attempt): got %s, want %s", got, tc.placed)
			}
		})
	}
}

// TestLateHeartbeatCopies checks that a late copy of a heartbeat has no effect: it does not add
// again a machine that is gone, and it does not prove that a task is absent. A machine that has
// restarted its sequence numbers is accepted after its answer to a probe, and copies from before
// the restart are refused.
func TestLateHeartbeatCopies(t *testing.T) {
	restarted := func(h *leaderHarness) {
		h.sendHeartbeat(1, 90, h.token, running(3))
		h.tick(2 * second)
		if status := h.sendHeartbeat(1, 1, 0); status != 503 {
			h.t.Errorf("status of a heartbeat with an older sequence number: got %d, want 503", status)
		}
		h.answerProbe(1, 2, 0)
		h.sendHeartbeat(1, 3, 0)
		h.tick(2 * second)
		h.sendHeartbeat(1, 4, h.token)
		h.answerProbe(1, 5, h.token)
		h.tick(second)
		h.sendHeartbeat(1, 6, h.token)
		h.sendHeartbeat(1, 7, h.token, running(4))
	}
	cases := []struct {
		name   string
		do     func(h *leaderHarness) ReplyCode
		status ReplyCode
		usable bool
		placed string
	}{
		{"copy of a returned machine", func(h *leaderHarness) ReplyCode {
			h.sendHeartbeat(1, 7, h.token, running(3))
			h.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: h.core.elector.leadership.fencingToken})
			return h.sendHeartbeat(1, 8, h.token)
		}, 503, false, ".3"},
		{"copy of a removed machine", func(h *leaderHarness) ReplyCode {
			h.sendHeartbeat(1, 7, h.token)
			h.core.planner.machineGone(h.core.workers.getOrAddMachine("m"), "test")
			h.core.scaler.forgetMachine(h.core.workers.getOrAddMachine("m"))
			return h.sendHeartbeat(1, 7, h.token)
		}, 503, false, ".3"},
		{"new heartbeat of a removed machine that still exists", func(h *leaderHarness) ReplyCode {
			h.sendHeartbeat(1, 7, h.token)
			h.core.planner.machineGone(h.core.workers.getOrAddMachine("m"), "test")
			h.core.scaler.forgetMachine(h.core.workers.getOrAddMachine("m"))
			return h.sendHeartbeat(1, 8, h.token)
		}, 200, true, "m.4"},
		{"lower sequence number", func(h *leaderHarness) ReplyCode {
			h.sendHeartbeat(1, 90, h.token, running(3))
			return h.sendHeartbeat(1, 89, h.token)
		}, 503, true, "m.3"},
		{"lower sequence number, higher one in the answer to the probe", func(h *leaderHarness) ReplyCode {
			h.sendHeartbeat(1, 90, h.token, running(3))
			h.tick(2 * second)
			h.sendHeartbeat(1, 89, h.token)
			h.answerProbe(1, 91, h.token, running(3))
			return h.sendHeartbeat(1, 92, h.token, running(3))
		}, 200, true, "m.3"},
		{"restarted sequence numbers", func(h *leaderHarness) ReplyCode {
			restarted(h)
			return h.sendHeartbeat(1, 8, h.token, running(4))
		}, 200, true, "m.4"},
		{"restarted sequence numbers, probed again for another reason", func(h *leaderHarness) ReplyCode {
			restarted(h)
			h.answerProbe(1, 8, h.token, running(4))
			return h.sendHeartbeat(1, 9, h.token, running(4))
		}, 200, true, "m.4"},
		{"restarted sequence numbers, copy with the next number lacks the task", func(h *leaderHarness) ReplyCode {
			restarted(h)
			return h.sendHeartbeat(1, 9, h.token)
		}, 200, true, "m.4"},
		{"restarted sequence numbers, older copy has raised the known number", func(h *leaderHarness) ReplyCode {
			restarted(h)
			h.sendHeartbeat(1, 20, h.token)
			h.tick(2 * second)
			h.sendHeartbeat(1, 8, h.token, running(4))
			h.answerProbe(1, 9, h.token, running(4))
			return h.sendHeartbeat(1, 10, h.token, running(4))
		}, 200, true, "m.4"},
		{"sequence numbers restarted twice", func(h *leaderHarness) ReplyCode {
			restarted(h)
			h.tick(2 * second)
			h.sendHeartbeat(1, 1, 0)
			h.answerProbe(1, 2, 0)
			h.sendHeartbeat(1, 3, 0)
			h.tick(3 * second) // until the start of attempt 4 can't be repeated
			h.sendHeartbeat(1, 4, h.token)
			h.answerProbe(1, 5, h.token)
			return h.sendHeartbeat(1, 6, h.token)
		}, 200, true, "m.5"},
		{"restarted sequence numbers, copy from before the restart", func(h *leaderHarness) ReplyCode {
			restarted(h)
			return h.sendHeartbeat(1, 91, h.token)
		}, 503, true, "m.4"},
		{"restarted sequence numbers, copy of another epoch", func(h *leaderHarness) ReplyCode {
			restarted(h)
			return h.sendHeartbeat(2, 8, h.token)
		}, 503, true, "m.4"},
		{"restarted sequence numbers, then a new epoch", func(h *leaderHarness) ReplyCode {
			restarted(h)
			h.tick(3 * second)
			h.sendHeartbeat(2, 8, h.token)
			h.answerProbe(2, 9, h.token)
			return h.sendHeartbeat(2, 10, h.token)
		}, 200, true, "m.5"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			if got := tc.do(h); got != tc.status {
				t.Errorf("status of the last heartbeat: got %d, want %d", got, tc.status)
			}
			h.tick(second / 2)
			if got := h.usable(); got != tc.usable {
				t.Errorf("machine m usable: got %v, want %v", got, tc.usable)
			}
			if got := h.placed(); got != tc.placed {
				t.Errorf("placement (machine.attempt): got %s, want %s", got, tc.placed)
			}
		})
	}
}

// TestGangStopsAfterUnreceivedStart checks that a gang attempt is stopped if the machine of one
// of its tasks does not receive the start command, so that the other tasks do not wait for it.
func TestGangStopsAfterUnreceivedStart(t *testing.T) {
	h := newLeaderHarness(t)
	j := jobstate.NewJob(&jobstate.Spec{ID: "g", Team: "t", Kind: jobstate.Gang, Tasks: 2, Need: jobstate.Resources{CPU: 1}, Estimate: second})
	h.core.cache.jobs["g"] = j
	for i, name := range []string{"unreceiving", "m"} {
		h.core.tasks.place(j, i, name)
	}
	h.core.workers.abandonUnacknowledged(h.core.workers.getOrAddMachine("unreceiving"))
	for i := range 2 {
		if j.Task(i).StopReason == "" {
			t.Errorf("task %d: got no stop reason, want one", i)
		}
	}
}

// place places a task on a machine as if the placement had been stored and the start command sent.
func (t *taskManager) place(j *jobstate.Job, i int, machine string) {
	j.PlaceTask(i, machine, 1, t.now)
	j.Task(i).Stored, j.Task(i).StartSent = true, true
	t.workers.getOrAddMachine(machine).AddPlacement(fleet.TaskRef{Job: j, Index: i})
}
