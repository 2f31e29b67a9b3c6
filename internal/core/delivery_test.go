package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// sendHeartbeat sends a heartbeat of machine m with a number of its own, as one that comes
// late, and returns the status of its answer.
func (r *leaderHarness) sendHeartbeat(epoch, seq, token uint64, tasks ...TaskStatus) ReplyCode {
	r.replies = nil
	r.step(HeartbeatReceived{RequestID: 1, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: epoch, Seq: seq, FencingToken: token, PreemptionNotice: NoPreemptionNotice, Tasks: tasks}})
	for i := 0; len(r.replies) == 0 && i < 100; i++ {
		r.tick(50_000)
	}
	return r.replies[0].Status
}

// answerProbe answers a probe that was sent just now.
func (r *leaderHarness) answerProbe(epoch, seq, token uint64, tasks ...TaskStatus) {
	r.step(MachineProbed{Machine: "m", SentAt: r.now, OK: true, Heartbeat: &Heartbeat{Machine: "m", Epoch: epoch, Seq: seq, FencingToken: token, Tasks: tasks}})
}

// usable reports whether m may be given work.
func (r *leaderHarness) usable() bool {
	m := r.c.elector.leadership.fleet.Get("m")
	return m != nil && r.c.planner.usable(m)
}

// TestCannotReceive: that a machine's heartbeats come does not show that it receives their
// answers. One whose commands have no effect twice in turn is given nothing, what it was to
// start goes elsewhere once a later heartbeat does not list it either, and it is used again
// when it receives something.
func TestCannotReceive(t *testing.T) {
	cases := []struct {
		name   string
		do     func(r *leaderHarness)
		usable bool
		placed string
	}{
		{"one answer is lost", func(r *leaderHarness) { r.heartbeat(5, 1); r.heartbeat(r.token, 1) }, true, "m.3"},
		{"two answers in turn have no effect", func(r *leaderHarness) { r.heartbeat(5, 1); r.heartbeat(r.token, 1); r.heartbeat(r.token, 1) }, false, ".3"},
		{"what it has listed stays until its lease has expired", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			for range 4 {
				r.heartbeat(r.token, 1, running(3), TaskStatus{Name: "other/0", Attempt: 1, State: TaskExited, Reason: ExitStopped})
			}
		}, false, "m.3"},
		{"it answers a probe", func(r *leaderHarness) {
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
		{"it can't be probed, is tried again after a while, and does not receive the start", func(r *leaderHarness) {
			for range 3 {
				r.heartbeat(r.token, 1)
			}
			for range 6 {
				r.tick(2 * second)
				r.heartbeat(r.token, 1)
			}
		}, false, ".4"},
		{"it ends its epoch twice though it is answered", func(r *leaderHarness) {
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
				t.Errorf("usable %v, want %v", got, tc.usable)
			}
			if got := r.placed(); got != tc.placed {
				t.Errorf("placed %s, want %s", got, tc.placed)
			}
		})
	}
}

// TestLateCopies: a heartbeat that comes late says nothing about now. It brings no machine
// back that is gone, and proves no absence; a machine that numbers its heartbeats anew is
// believed on its answer to a probe, and copies from before that are not.
func TestLateCopies(t *testing.T) {
	restarted := func(r *leaderHarness) {
		r.sendHeartbeat(1, 90, r.token, running(3))
		r.tick(2 * second)
		if s := r.sendHeartbeat(1, 1, 0); s != 503 {
			r.t.Errorf("status %d for an older number", s)
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
		{"of a machine that was returned", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 7, r.token, running(3))
			r.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: r.c.elector.leadership.fencingToken})
			return r.sendHeartbeat(1, 8, r.token)
		}, 503, false, ".3"},
		{"of one that was forgotten, an older number", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 7, r.token)
			r.c.planner.machineGone(r.c.workers.getOrAddMachine("m"), "test")
			r.c.scaler.forgetMachine(r.c.workers.getOrAddMachine("m"))
			return r.sendHeartbeat(1, 7, r.token)
		}, 503, false, ".3"},
		{"of one that was forgotten, and is there after all", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 7, r.token)
			r.c.planner.machineGone(r.c.workers.getOrAddMachine("m"), "test")
			r.c.scaler.forgetMachine(r.c.workers.getOrAddMachine("m"))
			return r.sendHeartbeat(1, 8, r.token)
		}, 200, true, "m.4"},
		{"a lower number is outdated", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 90, r.token, running(3))
			return r.sendHeartbeat(1, 89, r.token)
		}, 503, true, "m.3"},
		{"a lower number, and the probe tells of a higher one", func(r *leaderHarness) ReplyCode {
			r.sendHeartbeat(1, 90, r.token, running(3))
			r.tick(2 * second)
			r.sendHeartbeat(1, 89, r.token)
			r.answerProbe(1, 91, r.token, running(3))
			return r.sendHeartbeat(1, 92, r.token, running(3))
		}, 200, true, "m.3"},
		{"the machine numbers anew", func(r *leaderHarness) ReplyCode {
			restarted(r)
			return r.sendHeartbeat(1, 8, r.token, running(4))
		}, 200, true, "m.4"},
		{"the machine numbers anew, and is probed once more for another purpose", func(r *leaderHarness) ReplyCode {
			restarted(r)
			r.answerProbe(1, 8, r.token, running(4))
			return r.sendHeartbeat(1, 9, r.token, running(4))
		}, 200, true, "m.4"},
		{"the machine numbers anew, and a copy that looks like the next heartbeat lacks its task", func(r *leaderHarness) ReplyCode {
			restarted(r)
			return r.sendHeartbeat(1, 9, r.token)
		}, 200, true, "m.4"},
		{"the machine numbers anew, and a copy from before has made its number too high", func(r *leaderHarness) ReplyCode {
			restarted(r)
			r.sendHeartbeat(1, 20, r.token)
			r.tick(2 * second)
			r.sendHeartbeat(1, 8, r.token, running(4))
			r.answerProbe(1, 9, r.token, running(4))
			return r.sendHeartbeat(1, 10, r.token, running(4))
		}, 200, true, "m.4"},
		{"the machine numbers anew twice", func(r *leaderHarness) ReplyCode {
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
		{"the machine numbers anew, and a copy from before comes", func(r *leaderHarness) ReplyCode {
			restarted(r)
			return r.sendHeartbeat(1, 91, r.token)
		}, 503, true, "m.4"},
		{"the machine numbers anew, and a copy of another epoch comes", func(r *leaderHarness) ReplyCode {
			restarted(r)
			return r.sendHeartbeat(2, 8, r.token)
		}, 503, true, "m.4"},
		{"the machine numbers anew, and its epoch ends", func(r *leaderHarness) ReplyCode {
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
				t.Errorf("status %d, want %d", got, tc.status)
			}
			r.tick(second / 2)
			if got := r.usable(); got != tc.usable {
				t.Errorf("usable %v, want %v", got, tc.usable)
			}
			if got := r.placed(); got != tc.placed {
				t.Errorf("placed %s, want %s", got, tc.placed)
			}
		})
	}
}

// TestGangLeavesUnreceivedStart: the others of a gang do not wait for a task whose machine
// does not receive its start.
func TestGangLeavesUnreceivedStart(t *testing.T) {
	r := newLeaderHarness(t)
	j := jobstate.NewJob(&jobstate.Spec{ID: "g", Team: "t", Kind: jobstate.Gang, Tasks: 2, Need: jobstate.Resources{CPU: 1}, Estimate: second})
	r.c.cache.jobs["g"] = j
	for i, name := range []string{"unreceiving", "m"} {
		r.c.tasks.place(j, i, name)
	}
	r.c.workers.abandonUnacknowledged(r.c.workers.getOrAddMachine("unreceiving"))
	for i := range 2 {
		if j.Task(i).StopReason == "" {
			t.Errorf("task %d goes on", i)
		}
	}
}

// place is a stored and sent placement.
func (t *taskManager) place(j *jobstate.Job, i int, machine string) {
	j.PlaceTask(i, machine, 1, t.now)
	j.Task(i).Stored, j.Task(i).StartSent = true, true
	t.workers.getOrAddMachine(machine).AddPlacement(fleet.TaskRef{Job: j, Index: i})
}
