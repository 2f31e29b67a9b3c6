package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// startTask makes the leader send the start of the task of job j to machine m, and has machine m list
// the task as running. It returns when the start was sent.
func (h *leaderHarness) startTask() (sentAt int64) {
	h.t.Helper()
	h.heartbeat(h.token, 1)
	sentAt = h.now
	if _, commands := h.heartbeat(h.token, 1, running(3)); commands != "" {
		h.t.Fatalf("running task: got commands %q, want none", commands)
	}
	return sentAt
}

// exited returns the status of an attempt of the task of job j that was stopped.
func exited(attempt uint64) TaskStatus {
	return TaskStatus{Name: "j/0", Attempt: attempt, State: TaskExited, Reason: ExitStopped}
}

// TestRepeatableStart checks that a task whose start may reach its machine again, in a copy of the
// answer, is neither forgotten by its worker nor placed again. "Commands in a report response are not
// executed late, since the worker drops responses after 4 s", and `run` "has no effect if the worker
// already has this task and attempt in any state".
//
// It guards against a start that was executed and answered reaching its machine once more after the
// worker has forgotten the attempt or was restarted, while the task, which was stopped, moved or
// cancelled in between, runs on another machine.
func TestRepeatableStart(t *testing.T) {
	cases := []struct {
		name string
		// report returns the tasks that the machine lists from now on.
		report func(h *leaderHarness) []TaskStatus
		// wantForget is set if the worker has to be told to forget the attempt in the end.
		wantForget bool
		want       string // placement in the end
	}{
		{"the task is stopped", func(h *leaderHarness) []TaskStatus {
			h.core.tasks.requestStop(h.core.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			return []TaskStatus{exited(3)}
		}, true, "m.4"},
		{"the job is cancelled", func(h *leaderHarness) []TaskStatus {
			h.core.cache.recordEnd("j", jobstate.EndStoredAt(endCancelled, 9))
			return []TaskStatus{exited(3)}
		}, true, "over"},
		{"the machine was restarted", func(*leaderHarness) []TaskStatus { return nil }, false, "m.4"},
		{"the task is stopped and the machine was restarted", func(h *leaderHarness) []TaskStatus {
			h.core.tasks.requestStop(h.core.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			return nil
		}, false, "m.4"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			sentAt := h.startTask()
			tasks := tc.report(h)
			forgotten := false
			for h.now < sentAt+2*fleet.AnswerLifetime {
				h.tick(second / 2)
				_, commands := h.heartbeat(h.token, 1, tasks...)
				forgotten = forgotten || commands == "forget j/0.3;"
				if h.now >= sentAt+fleet.AnswerLifetime {
					continue
				}
				if got := h.placed(); forgotten || got == "m.4" {
					t.Fatalf("%d us after the start: got commands %q and task placed as %s, want neither forgotten nor placed again", h.now-sentAt, commands, got)
				}
			}
			if got := h.placed(); got != tc.want || forgotten != tc.wantForget {
				t.Errorf("got task placed as %s and forgotten %v, want %s and %v", got, forgotten, tc.want, tc.wantForget)
			}
		})
	}
}

// TestRepeatableStartUsage checks that an attempt which has exited counts for its team's limit for as
// long as its start may be repeated, and not longer.
func TestRepeatableStartUsage(t *testing.T) {
	h := newLeaderHarness(t)
	sentAt := h.startTask()
	h.core.tasks.requestStop(h.core.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
	h.heartbeat(h.token, 1, exited(3))
	if got := h.core.planner.usage()["t"].cpu; got != 1000 {
		t.Errorf("%d us after the start: got usage %d, want 1000", h.now-sentAt, got)
	}
	h.core.cache.jobs["j"].NotBefore = h.now + 60*second
	h.tick(fleet.AnswerLifetime)
	if got := h.core.planner.usage()["t"].cpu; got != 0 {
		t.Errorf("%d us after the start: got usage %d, want 0", h.now-sentAt, got)
	}
}
