package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
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

// TestMachineTypeParts checks that a leader which ends between the writes of two machine types leaves
// all types stored, in whatever orders the cloud has listed them.
//
// It guards against numbering the stored values in the order of the list: after another order a value
// had got another type, and the type that it had before was in a value not written yet. Submissions
// that need that type would be refused by a controller that has started since.
func TestMachineTypeParts(t *testing.T) {
	var types []fleet.Type
	for i := range 4 {
		name := fmt.Sprint(i, strings.Repeat("x", 4000))
		types = append(types, fleet.Type{Name: name, Cap: jobstate.Resources{CPU: 1000, Mem: 1000}, Zones: []string{"a"}})
	}
	h := newHarness(t, nil)
	for i := 0; !h.core.elector.isLeader(); i++ {
		if i > maxRequestTicks {
			t.Fatalf("got no leadership within %d ticks, want one", i)
		}
		h.advance(tickInterval)
	}
	token := h.core.elector.fencingToken()
	h.step(MachineTypesListed{Types: types, FencingToken: token})
	h.delaysCommits = true
	types = slices.Clone(types)
	slices.Reverse(types)
	h.step(MachineTypesListed{Types: types, FencingToken: token})
	if len(h.delayedCommits) == 0 {
		t.Fatal("got no write of machine types, want some")
	}
	h.delaysCommits = false
	h.commit(h.delayedCommits[0]) // the leader ends before the others are executed
	h.restart()
	for _, machineType := range types {
		if !slices.ContainsFunc(h.core.cache.machineTypes, func(known fleet.Type) bool { return known.Name == machineType.Name }) {
			t.Errorf("machine type %.5s...: got it unstored, want it stored", machineType.Name)
		}
	}
}
