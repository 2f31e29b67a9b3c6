package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestStopOnUnreachableMachine checks that tasks of ended jobs on a machine whose heartbeats do not
// arrive are stopped by direct commands, also by a leader that has received no heartbeat from the
// machine: the address comes from the cloud's list and the epoch from the machine's answer to a
// probe. Otherwise such tasks continue until the machine's lease has expired. Preempted tasks are
// not stopped in this way. The answer to the probe does not prove that a task is absent.
func TestStopOnUnreachableMachine(t *testing.T) {
	cases := []struct {
		name    string
		outcome string
		do      func(h *leaderHarness)
		tasks   []TaskStatus // in the machine's answer to the probe
		want    string
	}{
		{"cancelled before this leader began", jobstate.Cancelled, nil, []TaskStatus{running(3)}, "stop j/0.3 in 4;"},
		{"the answer does not list the task", jobstate.Cancelled, nil, nil, ""},
		{"the answer lists another attempt", jobstate.Cancelled, nil, []TaskStatus{running(2)}, ""},
		{"the task has exited", jobstate.Cancelled, nil, []TaskStatus{{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitStopped}}, ""},
		{"no task to stop", "", nil, []TaskStatus{running(3)}, ""},
		{"heartbeats arrive", jobstate.Cancelled, func(h *leaderHarness) { h.heartbeat(5, 1, running(3)) }, []TaskStatus{running(3)}, ""},
		{"preempted, no heartbeat would show the freed room", "", func(h *leaderHarness) { h.core.tasks.requestStop(h.core.cache.jobs["j"], 0, jobstate.StopPreempt, 0) }, []TaskStatus{running(3)}, ""},
		{"preempted, without proof of leadership", "", func(h *leaderHarness) {
			h.core.tasks.requestStop(h.core.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			h.stateSilent = true
			h.tick(4 * second)
		}, []TaskStatus{running(3)}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarnessWithOutcome(t, tc.outcome)
			h.step(MachinesListed{List: []CloudMachine{{Name: "m", Addr: "addr-m", Type: "c", Zone: "a", Status: "running", Age: 100 * second}}, FencingToken: h.token})
			if tc.do != nil {
				tc.do(h)
			}
			probed, got := false, ""
			for range 20 {
				h.now += 100_000
				for _, effect := range h.core.Step(h.now, Tick{}) {
					if probe, ok := effect.(ProbeMachine); ok && probe.Machine == "m" && !probed {
						probed = true
						for _, effect := range h.core.Step(h.now, MachineProbed{Machine: "m", SentAt: h.now, OK: true, Heartbeat: &Heartbeat{Machine: "m", Epoch: 4, Seq: 7, FencingToken: 5, Tasks: tc.tasks}}) {
							if direct, ok := effect.(SendCommands); ok {
								for _, command := range direct.Commands {
									got += fmt.Sprintf("%s %s.%d in %d;", command.Kind, command.Task, command.Attempt, direct.Epoch)
								}
							}
						}
					}
				}
			}
			if got != tc.want {
				t.Errorf("direct commands: got %q, want %q (machine probed: %v)", got, tc.want, probed)
			}
			if placed := h.placed(); placed != "m.3" {
				t.Errorf("placement (machine.attempt): got %s, want m.3", placed)
			}
		})
	}
}
