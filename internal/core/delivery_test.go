package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// report sends a report of machine m with a number of its own, as relayed by a
// peer or come late.
func (r *rig) report(session, seq, token uint64, tasks ...TaskStatus) int {
	r.got = nil
	r.step(HeartbeatReceived{RequestID: 1, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: session, Seq: seq, FencingToken: token, PreemptionNotice: NoPreemptionNotice, Tasks: tasks}})
	for i := 0; len(r.got) == 0 && i < 100; i++ {
		r.tick(50_000)
	}
	return r.got[0].Status
}

// inspected answers a question that was sent just now.
func (r *rig) inspected(session, seq, token uint64, tasks ...TaskStatus) {
	r.step(MachineProbed{Machine: "m", SentAt: r.now, OK: true, Heartbeat: &Heartbeat{Machine: "m", Epoch: session, Seq: seq, FencingToken: token, Tasks: tasks}})
}

// usable says whether m may be given work.
func (r *rig) usable() bool {
	m := r.c.elector.leadership.fleet.Get("m")
	return m != nil && r.c.planner.usable(m)
}

// TestDeaf: that a machine is heard does not show that it hears. One whose orders
// have no effect twice in turn is given nothing, what it was to start goes
// elsewhere once a later report lacks it too, and it is used again when it hears.
func TestDeaf(t *testing.T) {
	cases := []struct {
		name   string
		do     func(r *rig)
		usable bool
		placed string
	}{
		{"one answer is lost", func(r *rig) { r.beat(5, 1); r.beat(r.token, 1) }, true, "m.3"},
		{"two answers in turn have no effect", func(r *rig) { r.beat(5, 1); r.beat(r.token, 1); r.beat(r.token, 1) }, false, ".3"},
		{"what it has shown stays until its lease is over", func(r *rig) {
			r.beat(5, 1, running(3))
			for range 4 {
				r.beat(r.token, 1, running(3), TaskStatus{Name: "other/0", Attempt: 1, State: TaskExited, Reason: ExitStopped})
			}
		}, false, "m.3"},
		{"it answers a question", func(r *rig) {
			r.beat(5, 1)
			r.beat(r.token, 1)
			r.beat(r.token, 1)
			r.inspected(1, r.seq+1, r.token)
		}, true, "m.4"},
		{"an order takes effect", func(r *rig) {
			r.beat(5, 1)
			r.beat(r.token, 1)
			r.beat(r.token, 1)
			r.beat(r.token, 1, TaskStatus{Name: "other/0", Attempt: 1, State: TaskExited, Reason: ExitStopped})
			r.beat(r.token, 1)
		}, true, "m.4"},
		{"it can't be asked, is tried again after a while, and does not hear", func(r *rig) {
			for range 3 {
				r.beat(r.token, 1)
			}
			for range 6 {
				r.tick(2 * second)
				r.beat(r.token, 1)
			}
		}, false, ".4"},
		{"it ends its session twice though it is answered", func(r *rig) {
			r.beat(5, 1, running(3))
			r.seq = 0
			r.beat(r.token, 2)
			r.seq = 0
			r.beat(r.token, 3)
		}, false, ".4"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
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

// TestLateCopies: a report that comes late says nothing about now. It brings no
// machine back that is gone, and proves no absence; a machine that counts anew is
// believed on its answer to a question, and copies from before that are not.
func TestLateCopies(t *testing.T) {
	anew := func(r *rig) {
		r.report(1, 90, r.token, running(3))
		r.tick(2 * second)
		if s := r.report(1, 1, 0); s != 503 {
			r.t.Errorf("status %d for an older number", s)
		}
		r.inspected(1, 2, 0)
		r.report(1, 3, 0)
		r.tick(2 * second)
		r.report(1, 4, r.token)
		r.inspected(1, 5, r.token)
		r.tick(second)
		r.report(1, 6, r.token)
		r.report(1, 7, r.token, running(4))
	}
	cases := []struct {
		name   string
		do     func(r *rig) int
		status int
		usable bool
		placed string
	}{
		{"of a machine that was returned", func(r *rig) int {
			r.report(1, 7, r.token, running(3))
			r.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: r.c.elector.leadership.fencingToken})
			return r.report(1, 8, r.token)
		}, 503, false, ".3"},
		{"of one that was forgotten, an older number", func(r *rig) int {
			r.report(1, 7, r.token)
			r.c.planner.machineGone(r.c.workers.getOrAddMachine("m"), "test")
			r.c.scaler.forgetMachine(r.c.workers.getOrAddMachine("m"))
			return r.report(1, 7, r.token)
		}, 503, false, ".3"},
		{"of one that was forgotten, and is there after all", func(r *rig) int {
			r.report(1, 7, r.token)
			r.c.planner.machineGone(r.c.workers.getOrAddMachine("m"), "test")
			r.c.scaler.forgetMachine(r.c.workers.getOrAddMachine("m"))
			return r.report(1, 8, r.token)
		}, 200, true, "m.4"},
		{"a lower number is no news", func(r *rig) int {
			r.report(1, 90, r.token, running(3))
			return r.report(1, 89, r.token)
		}, 503, true, "m.3"},
		{"a lower number, and the question tells of a higher one", func(r *rig) int {
			r.report(1, 90, r.token, running(3))
			r.tick(2 * second)
			r.report(1, 89, r.token)
			r.inspected(1, 91, r.token, running(3))
			return r.report(1, 92, r.token, running(3))
		}, 200, true, "m.3"},
		{"the machine counts anew", func(r *rig) int {
			anew(r)
			return r.report(1, 8, r.token, running(4))
		}, 200, true, "m.4"},
		{"the machine counts anew, and is asked once more for another purpose", func(r *rig) int {
			anew(r)
			r.inspected(1, 8, r.token, running(4))
			return r.report(1, 9, r.token, running(4))
		}, 200, true, "m.4"},
		{"the machine counts anew, and a copy that looks like the next report lacks its task", func(r *rig) int {
			anew(r)
			return r.report(1, 9, r.token)
		}, 200, true, "m.4"},
		{"the machine counts anew, and a copy from before has made its number too high", func(r *rig) int {
			anew(r)
			r.report(1, 20, r.token)
			r.tick(2 * second)
			r.report(1, 8, r.token, running(4))
			r.inspected(1, 9, r.token, running(4))
			return r.report(1, 10, r.token, running(4))
		}, 200, true, "m.4"},
		{"the machine counts anew twice", func(r *rig) int {
			anew(r)
			r.tick(2 * second)
			r.report(1, 1, 0)
			r.inspected(1, 2, 0)
			r.report(1, 3, 0)
			r.tick(2 * second)
			r.report(1, 4, r.token)
			r.inspected(1, 5, r.token)
			return r.report(1, 6, r.token)
		}, 200, true, "m.5"},
		{"the machine counts anew, and a copy from before comes", func(r *rig) int {
			anew(r)
			return r.report(1, 91, r.token)
		}, 503, true, "m.4"},
		{"the machine counts anew, and a copy of an earlier session comes", func(r *rig) int {
			anew(r)
			return r.report(2, 8, r.token)
		}, 503, true, "m.4"},
		{"the machine counts anew, and its session ends", func(r *rig) int {
			anew(r)
			r.tick(3 * second)
			r.report(2, 8, r.token)
			r.inspected(2, 9, r.token)
			return r.report(2, 10, r.token)
		}, 200, true, "m.5"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
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

// TestGangLeavesDeaf: the others of a gang do not wait for a task whose machine
// does not hear.
func TestGangLeavesDeaf(t *testing.T) {
	r := newRig(t)
	j := jobstate.NewJob(&jobstate.Spec{ID: "g", Team: "t", Kind: jobstate.Gang, Tasks: 2, Need: jobstate.Resources{CPU: 1}, Estimate: second})
	r.c.cache.jobs["g"] = j
	for i, name := range []string{"deaf", "m"} {
		r.c.tasks.place(j, i, name)
	}
	r.c.workers.abandonUnacknowledged(r.c.workers.getOrAddMachine("deaf"))
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
