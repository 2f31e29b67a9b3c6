package core

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// sweepID is the id of all sweeps in these tests.
const sweepID = "s"

// runID is the id of a run of a sweep in these tests.
func runID(i int) string { return fmt.Sprintf("%s%s.%d", RunPrefix, sweepID, i) }

// sweepFormat is the first stored format with sweeps.
var sweepFormat = formatRecord{Version: 3, Tasks: 64}

// sweepOf is a submitted sweep of so many runs that take so many thousandths of a CPU
// each.
func sweepOf(runs int, milliCPUs int64) SubmitSweep {
	plan := &SweepPlan{ID: sweepID, Digest: fmt.Sprint("d", runs, milliCPUs), MaxUnfinished: 3, Longest: 300}
	for i := range runs {
		spec := job(runID(i)).Spec
		spec.Need.CPU = milliCPUs
		spec.Sweep, spec.Run = sweepID, i
		plan.Specs = append(plan.Specs, spec)
		plan.Values = append(plan.Values, json.RawMessage(fmt.Sprintf(`{"a":%d}`, i)))
		plan.Sets = append(plan.Sets, []int{i})
	}
	return SubmitSweep{Plan: plan, Stored: strings.Repeat("x", 50)}
}

// newSweepHarness starts a leader that has sweeps switched on or not.
func newSweepHarness(t *testing.T, enabled bool) *harness {
	t.Helper()
	h := newHarness(t, map[string]any{formatKey: sweepFormat})
	settings := h.core.settings
	settings.Ops.Sweeps = enabled
	h.start(settings)
	h.advance(2 * second)
	if !h.core.elector.isLeader() {
		t.Fatal("does not lead")
	}
	return h
}

// requestSweep sends a request with the next number and returns its answer.
func (h *harness) requestSweep(build func(requestID uint64) any) Reply {
	h.lastRequest++
	id := h.lastRequest
	h.step(build(id))
	h.advance(second)
	return h.replies[id]
}

func (h *harness) submitSweep(submission SubmitSweep) Reply {
	return h.requestSweep(func(requestID uint64) any {
		submission.RequestID = requestID
		return submission
	})
}

// TestSubmitSweep: what a submission is answered, and that one which is refused
// leaves nothing in the state service.
func TestSubmitSweep(t *testing.T) {
	big := sweepOf(2, 1000)
	big.Stored = strings.Repeat("x", 45<<10)
	long := sweepOf(2, 1000)
	long.Plan.Longest = 9000
	bad := sweepOf(2, 1000)
	bad.Invalid = "run {a: 1}: herd: missing"
	orphan := sweepOf(2, 1000)
	orphan.Plan.Specs[1].Dependencies = []string{"nobody"}
	own := sweepOf(2, 1000)
	own.Plan.Specs[1].Dependencies = []string{runID(0)}
	cases := []struct {
		name       string
		off        bool
		submission SubmitSweep
		status     ReplyCode
		reason     string
	}{
		{"accepted", false, sweepOf(5, 1000), 201, ""},
		{"one run depends on another", false, own, 201, ""},
		{"switched off", true, sweepOf(5, 1000), 404, "switched off"},
		{"a malformed run", false, bad, 400, "run {a: 1}: herd"},
		{"a run that fits no machine", false, sweepOf(5, 5000), 422, `run {"a":0}: no allowed machine type`},
		{"a run that depends on an unknown job", false, orphan, 422, "awaits: nobody was never accepted"},
		{"a description that is too long", false, big, 400, "46080 bytes when packed"},
		{"a run that is too long", false, long, 400, "a run's description takes 9000 bytes"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newSweepHarness(t, !tc.off)
			reply := h.submitSweep(tc.submission)
			if reply.Status != tc.status || !strings.Contains(reply.Error, tc.reason) {
				t.Errorf("%d %s", reply.Status, reply.Error)
			}
			if _, stored := h.keys[sweepPrefix+sweepID]; stored != (tc.status == 201) {
				t.Errorf("stored: %v", stored)
			}
			if tc.status != 201 {
				return
			}
			if r := h.submitSweep(tc.submission); r.Status != 200 || r.Sweep == nil || r.Sweep.Runs != len(tc.submission.Plan.Specs) {
				t.Errorf("submitted again: %+v", r)
			}
			if r := h.submitSweep(sweepOf(9, 1000)); r.Status != 409 {
				t.Errorf("another with its id: %d", r.Status)
			}
			if r := h.submitSweep(bad); r.Status != 200 {
				t.Errorf("a malformed one with its id: %d, and it was accepted", r.Status)
			}
		})
	}
}

// TestSweepActivation: sweeps raise the format only when every controller advertises
// them, and one that has them switched off raises nothing.
func TestSweepActivation(t *testing.T) {
	cases := []struct {
		name     string
		on       bool
		versions []int // of the others
		want     int
	}{
		{"all have sweeps", true, []int{3, 3}, 3},
		{"one has not", true, []int{3, 2}, 2},
		{"this one has not", false, []int{3, 3}, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, map[string]any{formatKey: formatRecord{Version: 2, Tasks: 32}})
			settings := h.core.settings
			settings.Peers, settings.Size, settings.Ops.Sweeps = []string{"n1", "n2"}, 3, tc.on
			h.start(settings)
			h.advance(2 * second)
			for i, version := range tc.versions {
				h.store(memberPrefix+settings.Peers[i], upgrade.Advertisement{Format: version, Incarnation: "x"})
			}
			h.refresh()
			h.advance(3 * second)
			if f := h.core.membership.format; f.Version != tc.want || f.Tasks != 32 {
				t.Errorf("the format is %+v", f)
			}
			if r := h.submitSweep(sweepOf(1, 1000)); tc.on && (r.Status == 201) != (tc.want == 3) {
				t.Errorf("a sweep is answered %d %s", r.Status, r.Error)
			}
		})
	}
}

// TestSweepCancelledAtPeer: a controller that learns of a cancelled sweep from a peer stops its
// tasks at once, but calls its runs cancelled only when it has all that was stored
// before: one of them may be done. In an outage right after a cancellation runs were
// called cancelled whose end was stored as done.
func TestSweepCancelledAtPeer(t *testing.T) {
	h := newSweepHarness(t, true)
	submission := sweepOf(2, 1000)
	if reply := h.submitSweep(submission); reply.Status != 201 {
		t.Fatalf("%d %s", reply.Status, reply.Error)
	}
	for i, spec := range submission.Plan.Specs {
		h.store(jobPrefix+runID(i), jobstate.Record{Spec: spec, SubmittedWall: 1})
	}
	h.refresh()
	cache := h.core.cache
	run := cache.jobs[runID(1)]
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Cancelled: []string{cancelledSweepPrefix + sweepID}}})
	if _, isOver := cache.ends.Get(runID(1)); run == nil || run.Outcome() != "" || isOver {
		t.Fatal("a run is called cancelled although its end may be stored as done")
	}
	if h.core.sweepManager.mayStart(run) {
		t.Error("its tasks may still be started")
	}
	// What was stored before: run 0 is done. Then the cancellation.
	h.store(endPrefix+runID(0), jobstate.End{Outcome: jobstate.Done, Tasks: 1})
	h.store(sweepEndPrefix+sweepID, sweepEndRecord{Outcome: jobstate.Cancelled})
	h.refresh()
	first, _ := cache.ends.Get(runID(0))
	last, _ := cache.ends.Get(runID(1))
	if first.Outcome != jobstate.Done || last.Outcome != jobstate.Cancelled {
		t.Errorf("the runs are %q and %q", first.Outcome, last.Outcome)
	}
}

// TestSweepPositionSize: the position of the largest sweep fits the smallest value, however
// its runs have ended.
func TestSweepPositionSize(t *testing.T) {
	const runs, maxBytes = 10_000, 2000
	random := rand.New(rand.NewPCG(1, 2))
	open, gone := roaring.New(), roaring.New()
	for i := range runs {
		if random.IntN(2) == 0 {
			gone.AddInt(i)
		} else if random.IntN(5) == 0 {
			open.AddInt(i)
		}
	}
	position := encodeJSON(sweepPosition{Next: runs, Open: encodeRunSet(open)})
	cancelled := encodeJSON(cancelledRuns{Runs: encodeRunSet(gone)})
	if len(position) > maxBytes || len(cancelled) > maxBytes {
		t.Errorf("%d and %d bytes", len(position), len(cancelled))
	}
	manager := newSweepHarness(t, true).core.sweepManager
	bad := func(err error) { t.Error(err) }
	manager.apply("sweepat/s", Change{Value: position, Revision: 5}, bad)
	manager.apply("sweepat/s/gone", Change{Value: cancelled, Revision: 5}, bad)
	if s := manager.sweep(sweepID); !s.open().Equals(open) || !s.cancelled.Equals(gone) || s.next != runs {
		t.Error("it is read as something else")
	}
	for _, text := range []string{"x", "b!", "r!", "rAAAA"} {
		if _, err := decodeRunSet(text); err == nil {
			t.Errorf("%q is read as a set", text)
		}
	}
}

// TestRunToldByPeer: a run that a peer tells is cancelled counts as ended only once its end is
// stored, as the sweep's position lets the run be forgotten.
func TestRunToldByPeer(t *testing.T) {
	h := newSweepHarness(t, true)
	submission := sweepOf(2, 1000)
	h.submitSweep(submission)
	sweep := h.core.sweepManager.sweep(sweepID)
	sweep.plan = submission.Plan
	h.advance(2 * second)
	id := runID(0)
	if h.core.cache.jobs[id] == nil {
		t.Fatal("the run is not created")
	}
	h.delaysCommits = true
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Cancelled: []string{id}}})
	h.advance(3 * second)
	if end, ok := h.core.cache.ends.Get(id); !ok || end.IsStored() {
		t.Fatalf("the end is known as %+v", end)
	}
	if sweep.ended.Contains(0) {
		t.Error("the run is counted before its end is stored")
	}
	h.delaysCommits = false
	for _, delayed := range h.delayedCommits {
		h.commit(delayed)
	}
	h.advance(3 * second)
	if h.keys[endPrefix+id].Revision == 0 {
		t.Error("the end of the run is not stored")
	}
	if !sweep.ended.Contains(0) || !sweep.cancelled.Contains(0) {
		t.Error("the run is not counted though its end is stored")
	}
}
