package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestSuspect tells faulty machines from faulty jobs.
func TestSuspect(t *testing.T) {
	type failure struct{ machine, job int }
	cases := []struct {
		name    string
		fails   []failure
		drained int
	}{
		{"one failure", []failure{{0, 0}}, 0},
		{"one job, again and again", []failure{{0, 0}, {0, 0}, {0, 0}}, 0},
		{"two jobs on one machine", []failure{{0, 0}, {0, 1}}, 1},
		{"a bad job on every machine", []failure{{0, 0}, {1, 0}, {2, 0}, {3, 0}}, 0},
		{"two bad jobs on every machine, one after the other", []failure{{0, 0}, {1, 0}, {2, 0}, {3, 0}, {0, 1}, {1, 1}, {2, 1}, {3, 1}}, 0},
		{"a bad job everywhere and a bad machine", []failure{{0, 0}, {1, 0}, {2, 0}, {3, 1}, {3, 2}}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			jobs := map[int]*jobstate.Job{}
			for _, f := range tc.fails {
				if jobs[f.job] == nil {
					jobs[f.job] = jobstate.NewJob(&jobstate.Spec{ID: fmt.Sprint("job", f.job), Tasks: 1})
				}
				r.c.tasks.suspectMachine(r.c.workers.getOrAddMachine(fmt.Sprint("m", f.machine)), jobs[f.job])
			}
			drained := 0
			for _, m := range r.c.elector.leadership.fleet.All() {
				if m.Draining {
					drained++
				}
			}
			if drained != tc.drained {
				t.Errorf("%d drained, want %d", drained, tc.drained)
			}
		})
	}
}

// TestSilent: a few silent machines are released at once, as their tasks are
// then certainly gone; many are not, as the way to them is more likely cut.
// That must hold under a new leader too, which has heard none of them: in a
// cut zone's take-over it once released every machine of the zone.
func TestSilent(t *testing.T) {
	cases := []struct {
		name          string
		silent, heard int
		ever          bool // the silent ones have reported to this leader
		releases      int
		after         int64 // since the silence began, in seconds
		unproved      bool  // the state service has not proved the token of late
	}{
		{"one of twenty", 1, 19, true, 1, 12, false},
		{"a zone of three", 10, 20, true, 0, 12, false},
		{"one of twenty, never heard", 1, 19, false, 1, 12, false},
		{"a zone of three, never heard", 10, 20, false, 0, 12, false},
		{"a tenth of a large fleet", 30, 300, true, 0, 12, false},
		{"some of a large fleet", 10, 300, true, 10, 12, false},
		{"one of twenty, to a leader that may be cut off itself", 1, 19, true, 0, 12, true},
		// The leases of what a new leader has not heard run out last.
		{"a zone of three, for long", 10, 40, true, 0, 24, false},
		{"a zone of three, never heard, for long", 10, 40, false, 0, 24, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.now += 100 * second
			r.c.now, r.c.elector.leadership.since = r.now, r.now
			j := jobstate.NewJob(&jobstate.Spec{ID: "wide", Team: "t", Kind: jobstate.Array, Tasks: tc.silent + tc.heard, Need: jobstate.Resources{CPU: 1000}, Estimate: 900 * second})
			r.place(j, false)
			for i := range tc.silent {
				if m := r.c.workers.getOrAddMachine(fmt.Sprint("x", i)); !tc.ever {
					m.LastHeartbeat = 0
				}
			}
			r.c.elector.leadership.fleet.Remove(r.c.elector.leadership.fleet.Get("m"))
			r.now += tc.after * second
			r.c.now = r.now
			for i := range tc.heard {
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

// TestNeverUp: a machine that never comes up is given up. One that a leader has
// found listed as running, and that has reported since, is not, however old it
// is: after a cut in which a leader began that would be a whole zone.
func TestNeverUp(t *testing.T) {
	cases := []struct {
		name       string
		up, heard  bool
		led, since int64 // seconds
		released   bool
	}{
		{"booting for long", false, false, 500, 400, true},
		{"booting", false, false, 500, 30, false},
		{"listed as running, not yet heard by a new leader", true, false, 100, 4000, false},
		{"nor for long", true, false, 200, 4000, true},
		{"heard since the list", true, true, 200, 4000, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.now += 5000 * second
			r.c.now, r.c.elector.leadership.since, r.c.elector.leadership.tokenProvenAt = r.now, r.now-tc.led*second, r.now
			r.c.cache.machineTypes[0].Boot = 30 * second
			r.c.elector.leadership.scaling.booting["b"] = bootingMachine{machineOffer: machineOffer{machineType: "c"}, since: r.now - tc.since*second, up: tc.up}
			if tc.heard {
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
