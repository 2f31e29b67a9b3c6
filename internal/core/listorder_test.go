package core

import (
	"strings"
	"testing"
)

// TestAttemptsInAnyOrder checks that a running attempt counts as listed by its worker whether the
// report lists an earlier attempt of the same task, which has exited, before it or after it. The
// protocol sets no order for the tasks in a report.
//
// It guards against starting a task on another machine beside the running attempt: of two attempts
// the one that came last replaced the other, and a confirmed attempt that is not listed counts as
// lost.
func TestAttemptsInAnyOrder(t *testing.T) {
	earlier := TaskStatus{Name: "j/0", Attempt: 2, State: TaskExited, Reason: ExitStopped}
	for _, tasks := range [][]TaskStatus{{earlier, running(3)}, {running(3), earlier}} {
		h := newLeaderHarness(t)
		h.heartbeat(h.token, 1, running(3))
		for range 3 {
			if _, commands := h.heartbeat(h.token, 1, tasks...); strings.Contains(commands, "start") {
				t.Errorf("tasks %+v: got commands %q, want no start", tasks, commands)
			}
			h.tick(second)
		}
		if got := h.placed(); got != "m.3" {
			t.Errorf("tasks %+v: got task placed as %s, want m.3", tasks, got)
		}
	}
}
