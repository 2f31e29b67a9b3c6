package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestScaleInSilentMachines checks that a few silent machines are returned, as their tasks are then
// certainly gone, and that many silent machines are not, as the network is more likely at fault. This must also hold for a
// new leader that has received no heartbeat of any of them: otherwise a leader that is elected while a
// zone is partitioned returns every machine of the zone.
func TestScaleInSilentMachines(t *testing.T) {
	cases := []struct {
		name         string
		silent, live int
		ever         bool // this leader has received heartbeats of the silent machines
		releases     int
		after        int64 // time since the last heartbeat, in seconds
		unproved     bool  // the state service has not confirmed the token recently
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
			r := newLeaderHarness(t)
			r.now += 100 * second
			r.c.now, r.c.elector.leadership.since = r.now, r.now
			j := jobstate.NewJob(&jobstate.Spec{ID: "wide", Team: "t", Kind: jobstate.Array, Tasks: tc.silent + tc.live, Need: jobstate.Resources{CPU: 1000}, Estimate: 900 * second})
			r.placeRunning(j, false)
			for i := range tc.silent {
				if m := r.c.workers.getOrAddMachine(fmt.Sprint("x", i)); !tc.ever {
					m.LastHeartbeat = 0
				}
			}
			r.c.elector.leadership.fleet.Remove(r.c.elector.leadership.fleet.Get("m"))
			r.now += tc.after * second
			r.c.now = r.now
			for i := range tc.live {
				r.c.workers.getOrAddMachine(fmt.Sprint("x", tc.silent+i)).LastHeartbeat = r.now
			}
			r.c.elector.leadership.tokenProvenAt = r.now
			if tc.unproved {
				r.c.elector.leadership.tokenProvenAt = r.now - 10*second
			}
			r.c.scaler.scaleInTick(func() bool { return false }, nil)
			if got := len(r.c.elector.leadership.scaling.toScaleIn); got != tc.releases {
				t.Errorf("machines to return: got %d, want %d", got, tc.releases)
			}
		})
	}
}

// TestScaleInNeverBooted checks that a machine that does not send a first heartbeat in time is
// returned. A machine that a leader found listed as running, and that has sent a heartbeat since, is not returned however
// old it is: after a partition during which the leader was elected this would be a whole zone.
func TestScaleInNeverBooted(t *testing.T) {
	cases := []struct {
		name       string
		up, live   bool
		led, since int64 // time as the leader and time since the rental, in seconds
		released   bool
	}{
		{"booting for a long time", false, false, 500, 400, true},
		{"booting", false, false, 500, 30, false},
		{"listed as running, no heartbeat to a new leader yet", true, false, 100, 4000, false},
		{"listed as running, no heartbeat for a long time", true, false, 200, 4000, true},
		{"heartbeat since the list", true, true, 200, 4000, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			r.now += 5000 * second
			r.c.now, r.c.elector.leadership.since, r.c.elector.leadership.tokenProvenAt = r.now, r.now-tc.led*second, r.now
			r.c.cache.machineTypes[0].Boot = 30 * second
			r.c.elector.leadership.scaling.booting["b"] = bootingMachine{machineOffer: machineOffer{machineType: "c"}, since: r.now - tc.since*second, listedRunning: tc.up}
			if tc.live {
				r.c.workers.getOrAddMachine("b").LastHeartbeat = r.now
			}
			r.c.elector.leadership.fleet.Remove(r.c.elector.leadership.fleet.Get("m"))
			r.c.scaler.scaleInTick(func() bool { return false }, nil)
			if got := len(r.c.elector.leadership.scaling.toScaleIn) == 1; got != tc.released {
				t.Errorf("machine returned: got %v, want %v", got, tc.released)
			}
		})
	}
}
