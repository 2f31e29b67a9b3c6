package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestSilent: a few silent machines are released at once, as their tasks are then certainly
// gone; many are not, as the link to them is more likely lost. That must hold under a new
// leader too, which has had no heartbeat of any: in the failover of a zone that was cut off
// it once released every machine of the zone.
func TestSilent(t *testing.T) {
	cases := []struct {
		name         string
		silent, live int
		ever         bool // this leader has had heartbeats of the silent ones
		releases     int
		after        int64 // since the silence began, in seconds
		unproved     bool  // the state service has not proved the token of late
	}{
		{"one of twenty", 1, 19, true, 1, 12, false},
		{"a zone of three", 10, 20, true, 0, 12, false},
		{"one of twenty, no heartbeat yet", 1, 19, false, 1, 12, false},
		{"a zone of three, no heartbeat yet", 10, 20, false, 0, 12, false},
		{"a tenth of a large fleet", 30, 300, true, 0, 12, false},
		{"some of a large fleet", 10, 300, true, 10, 12, false},
		{"one of twenty, to a leader that may be cut off itself", 1, 19, true, 0, 12, true},
		// The leases of machines without a heartbeat under a new leader expire last.
		{"a zone of three, for long", 10, 40, true, 0, 24, false},
		{"a zone of three, no heartbeat yet, for long", 10, 40, false, 0, 24, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			r.now += 100 * second
			r.c.now, r.c.elector.leadership.since = r.now, r.now
			j := jobstate.NewJob(&jobstate.Spec{ID: "wide", Team: "t", Kind: jobstate.Array, Tasks: tc.silent + tc.live, Need: jobstate.Resources{CPU: 1000}, Estimate: 900 * second})
			r.place(j, false)
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
				t.Errorf("%d released, want %d", got, tc.releases)
			}
		})
	}
}

// TestNeverUp: a machine that never comes up is given up. One that a leader has found
// listed as running, and that has sent a heartbeat since, is not, however old it is: after
// a partition in which the leader was elected that would be a whole zone.
func TestNeverUp(t *testing.T) {
	cases := []struct {
		name       string
		up, live   bool
		led, since int64 // seconds
		released   bool
	}{
		{"booting for long", false, false, 500, 400, true},
		{"booting", false, false, 500, 30, false},
		{"listed as running, no heartbeat to a new leader yet", true, false, 100, 4000, false},
		{"nor for long", true, false, 200, 4000, true},
		{"a heartbeat since the list", true, true, 200, 4000, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			r.now += 5000 * second
			r.c.now, r.c.elector.leadership.since, r.c.elector.leadership.tokenProvenAt = r.now, r.now-tc.led*second, r.now
			r.c.cache.machineTypes[0].Boot = 30 * second
			r.c.elector.leadership.scaling.booting["b"] = bootingMachine{machineOffer: machineOffer{machineType: "c"}, since: r.now - tc.since*second, up: tc.up}
			if tc.live {
				r.c.workers.getOrAddMachine("b").LastHeartbeat = r.now
			}
			r.c.elector.leadership.fleet.Remove(r.c.elector.leadership.fleet.Get("m"))
			r.c.scaler.scaleInTick(func() bool { return false }, nil)
			if got := len(r.c.elector.leadership.scaling.toScaleIn) == 1; got != tc.released {
				t.Errorf("released: %v", got)
			}
		})
	}
}
