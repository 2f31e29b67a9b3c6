package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestScaleInSilentMachines checks that a few silent machines are returned, because the return
// guarantees that their tasks are gone, and that many silent machines are not, because the network
// is more likely at fault. This must also hold for a new leader that has received no heartbeat from
// any of them: otherwise a leader that is elected while a zone is partitioned returns every machine
// of the zone.
func TestScaleInSilentMachines(t *testing.T) {
	cases := []struct {
		name           string
		silent, live   int
		heartbeatsSeen bool // this leader has received heartbeats of the silent machines
		returned       int
		silentS        int64 // time since the last heartbeat, in seconds
		tokenUnproven  bool  // the state service has not confirmed the token recently
	}{
		{"one machine of 20", 1, 19, true, 1, 12, false},
		{"one zone of three", 10, 20, true, 0, 12, false},
		{"one machine of 20, no heartbeat yet", 1, 19, false, 1, 12, false},
		{"one zone of three, no heartbeat yet", 10, 20, false, 0, 12, false},
		{"a tenth of a large fleet", 30, 300, true, 0, 12, false},
		{"a few machines of a large fleet", 10, 300, true, 10, 12, false},
		{"one machine of 20, leader possibly partitioned", 1, 19, true, 0, 12, true},
		// The leases of machines that have sent no heartbeat to a new leader expire last.
		{"a fifth of the fleet, long silence", 10, 40, true, 0, 24, false},
		{"a fifth of the fleet, no heartbeat yet, long silence", 10, 40, false, 0, 24, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			h.now += 100 * second
			h.core.now, h.core.elector.leadership.since = h.now, h.now
			j := jobstate.NewJob(&jobstate.Spec{ID: "wide", Team: "t", Kind: jobstate.Array, Tasks: tc.silent + tc.live, Need: jobstate.Resources{CPU: 1000}, Estimate: 900 * second})
			h.placeRunning(j, false)
			for i := range tc.silent {
				if m := h.core.workers.getOrAddMachine(fmt.Sprint("x", i)); !tc.heartbeatsSeen {
					m.LastHeartbeat = 0
				}
			}
			h.core.elector.leadership.fleet.Remove(h.core.elector.leadership.fleet.Get("m"))
			h.now += tc.silentS * second
			h.core.now = h.now
			for i := range tc.live {
				h.core.workers.getOrAddMachine(fmt.Sprint("x", tc.silent+i)).LastHeartbeat = h.now
			}
			h.core.elector.leadership.tokenProvenAt = h.now
			if tc.tokenUnproven {
				h.core.elector.leadership.tokenProvenAt = h.now - 10*second
			}
			h.core.scaler.scaleInTick(func() bool { return false }, nil)
			if got := len(h.core.elector.leadership.scaling.toScaleIn); got != tc.returned {
				t.Errorf("machines to return: got %d, want %d", got, tc.returned)
			}
		})
	}
}

// TestScaleInNeverBooted checks that a machine that does not send a first heartbeat in time is
// returned. A machine that the cloud lists as running and that has sent a heartbeat since is not
// returned, however long ago it was rented: after a partition during which the leader was
// elected, such machines may be a whole zone.
func TestScaleInNeverBooted(t *testing.T) {
	cases := []struct {
		name                         string
		listedRunning, heartbeatSeen bool
		leadingS, rentedS            int64 // time as the leader and time since the rental, in seconds
		returned                     bool
	}{
		{"booting for a long time", false, false, 500, 400, true},
		{"booting", false, false, 500, 30, false},
		{"listed as running, no heartbeat to a new leader yet", true, false, 100, 4000, false},
		{"listed as running, no heartbeat for a long time", true, false, 200, 4000, true},
		{"heartbeat since the list", true, true, 200, 4000, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			h.now += 5000 * second
			h.core.now, h.core.elector.leadership.since, h.core.elector.leadership.tokenProvenAt = h.now, h.now-tc.leadingS*second, h.now
			h.core.cache.machineTypes[0].Boot = 30 * second
			h.core.elector.leadership.scaling.booting["b"] = bootingMachine{machineOffer: machineOffer{machineType: "c"}, since: h.now - tc.rentedS*second, listedRunning: tc.listedRunning}
			if tc.heartbeatSeen {
				h.core.workers.getOrAddMachine("b").LastHeartbeat = h.now
			}
			h.core.elector.leadership.fleet.Remove(h.core.elector.leadership.fleet.Get("m"))
			h.core.scaler.scaleInTick(func() bool { return false }, nil)
			if got := len(h.core.elector.leadership.scaling.toScaleIn) == 1; got != tc.returned {
				t.Errorf("machine returned: got %v, want %v", got, tc.returned)
			}
		})
	}
}
