package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestMute: what is to stop on a machine whose reports do not come is stopped there by
// direct commands, also by a leader that has never heard of it: the address comes from
// the cloud's list and the session from the machine. It once went on until its lease
// had run out. Nothing is taken for absent by such an answer.
func TestMute(t *testing.T) {
	cases := []struct {
		name  string
		over  string
		do    func(r *rig)
		tasks []TaskReport
		want  string
	}{
		{"cancelled before this leader began", jobstate.Cancelled, nil, []TaskReport{running(3)}, "stop j/0.3 in 4;"},
		{"it does not list it", jobstate.Cancelled, nil, nil, ""},
		{"another attempt", jobstate.Cancelled, nil, []TaskReport{running(2)}, ""},
		{"it has ended", jobstate.Cancelled, nil, []TaskReport{{Name: "j/0", Attempt: 3, State: "exited", Why: "stopped"}}, ""},
		{"nothing is to stop", "", nil, []TaskReport{running(3)}, ""},
		{"its reports come", jobstate.Cancelled, func(r *rig) { r.beat(5, 1, running(3)) }, []TaskReport{running(3)}, ""},
		{"preempted: nobody would hear that there is room", "", func(r *rig) { r.c.stop(r.c.jobs["j"], 0, stopPreempt, 0) }, []TaskReport{running(3)}, ""},
		{"preempted, and nothing proves it", "", func(r *rig) {
			r.c.stop(r.c.jobs["j"], 0, stopPreempt, 0)
			r.mute = true
			r.tick(4 * second)
		}, []TaskReport{running(3)}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRigOf(t, tc.over)
			r.step(Machines{List: []Listing{{Name: "m", Addr: "addr-m", Type: "c", Zone: "a", Status: "running", Age: 100 * second}}, Token: r.token})
			if tc.do != nil {
				tc.do(r)
			}
			asked, got := false, ""
			for range 20 {
				r.now += 100_000
				for _, e := range r.c.Step(r.now, Tick{}) {
					if p, ok := e.(Probe); ok && p.Machine == "m" && !asked {
						asked = true
						for _, e := range r.c.Step(r.now, Probed{Machine: "m", Sent: r.now, OK: true, Report: &Report{Machine: "m", Session: 4, Seq: 7, Token: 5, Tasks: tc.tasks}}) {
							if d, ok := e.(Direct); ok {
								for _, o := range d.Orders {
									got += fmt.Sprintf("%s %s.%d in %d;", o.Op, o.Task, o.Attempt, d.Session)
								}
							}
						}
					}
				}
			}
			if got != tc.want {
				t.Errorf("%q, want %q (asked: %v)", got, tc.want, asked)
			}
			if p := r.placed(); p != "m.3" {
				t.Errorf("placed %s", p)
			}
		})
	}
}
