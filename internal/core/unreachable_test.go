package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestUnreachable: what is to stop on a machine whose heartbeats do not come is stopped
// there by direct commands, also by a leader that never had one of it: the address comes
// from the cloud's list and the epoch from the machine. It once went on until its lease had
// expired. Nothing is taken for absent by such an answer.
func TestUnreachable(t *testing.T) {
	cases := []struct {
		name  string
		over  string
		do    func(r *leaderHarness)
		tasks []TaskStatus
		want  string
	}{
		{"cancelled before this leader began", jobstate.Cancelled, nil, []TaskStatus{running(3)}, "stop j/0.3 in 4;"},
		{"it does not list it", jobstate.Cancelled, nil, nil, ""},
		{"another attempt", jobstate.Cancelled, nil, []TaskStatus{running(2)}, ""},
		{"it has ended", jobstate.Cancelled, nil, []TaskStatus{{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitStopped}}, ""},
		{"nothing is to stop", "", nil, []TaskStatus{running(3)}, ""},
		{"its heartbeats come", jobstate.Cancelled, func(r *leaderHarness) { r.heartbeat(5, 1, running(3)) }, []TaskStatus{running(3)}, ""},
		{"preempted: no heartbeat would show that there is room", "", func(r *leaderHarness) { r.c.tasks.requestStop(r.c.cache.jobs["j"], 0, jobstate.StopPreempt, 0) }, []TaskStatus{running(3)}, ""},
		{"preempted, and nothing proves it", "", func(r *leaderHarness) {
			r.c.tasks.requestStop(r.c.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			r.stateSilent = true
			r.tick(4 * second)
		}, []TaskStatus{running(3)}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarnessOf(t, tc.over)
			r.step(MachinesListed{List: []CloudMachine{{Name: "m", Addr: "addr-m", Type: "c", Zone: "a", Status: "running", Age: 100 * second}}, FencingToken: r.token})
			if tc.do != nil {
				tc.do(r)
			}
			probed, got := false, ""
			for range 20 {
				r.now += 100_000
				for _, e := range r.c.Step(r.now, Tick{}) {
					if p, ok := e.(ProbeMachine); ok && p.Machine == "m" && !probed {
						probed = true
						for _, e := range r.c.Step(r.now, MachineProbed{Machine: "m", SentAt: r.now, OK: true, Heartbeat: &Heartbeat{Machine: "m", Epoch: 4, Seq: 7, FencingToken: 5, Tasks: tc.tasks}}) {
							if d, ok := e.(SendCommands); ok {
								for _, o := range d.Commands {
									got += fmt.Sprintf("%s %s.%d in %d;", o.Kind, o.Task, o.Attempt, d.Epoch)
								}
							}
						}
					}
				}
			}
			if got != tc.want {
				t.Errorf("%q, want %q (probed: %v)", got, tc.want, probed)
			}
			if p := r.placed(); p != "m.3" {
				t.Errorf("placed %s", p)
			}
		})
	}
}
