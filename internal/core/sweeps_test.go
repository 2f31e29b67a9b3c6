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

// sweepID is the ID of the sweep in these tests.
const sweepID = "s"

// runID returns the ID of a run of that sweep.
func runID(i int) string { return fmt.Sprintf("%s%s.%d", RunPrefix, sweepID, i) }

// sweepFormat is the first stored format with sweeps.
var sweepFormat = formatRecord{Version: 3, Tasks: 64}

// sweepOf returns the submission of a sweep with the given number of runs, each of which needs
// milliCPUs thousandths of a CPU.
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

// newSweepHarness starts a leader with sweeps enabled or disabled.
func newSweepHarness(t *testing.T, enabled bool) *harness {
	t.Helper()
	h := newHarness(t, map[string]any{formatKey: sweepFormat})
	settings := h.core.settings
	settings.Ops.Sweeps = enabled
	h.start(settings)
	h.advance(2 * second)
	if !h.core.elector.isLeader() {
		t.Fatal("got a follower after 2 s, want the leader")
	}
	return h
}

// requestSweep sends a request with the next request ID and returns the reply to it.
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

// TestSubmitSweep checks the replies to submissions of sweeps, and that a refused submission
// stores nothing.
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
		disabled   bool
		submission SubmitSweep
		status     ReplyCode
		reason     string
	}{
		{"accepted", false, sweepOf(5, 1000), 201, ""},
		{"run depends on another run", false, own, 201, ""},
		{"sweeps disabled", true, sweepOf(5, 1000), 404, "switched off"},
		{"malformed run", false, bad, 400, "run {a: 1}: herd"},
		{"run fits no machine type", false, sweepOf(5, 5000), 422, `run {"a":0}: no allowed machine type`},
		{"run depends on an unknown job", false, orphan, 422, "awaits: nobody was never accepted"},
		{"sweep description too long", false, big, 400, "46080 bytes when packed"},
		{"run description too long", false, long, 400, "a run's description takes 9000 bytes"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newSweepHarness(t, !tc.disabled)
			reply := h.submitSweep(tc.submission)
			if reply.Status != tc.status || !strings.Contains(reply.Error, tc.reason) {
				t.Errorf("got status %d, error %q, want status %d, error with %q", reply.Status, reply.Error, tc.status, tc.reason)
			}
			if _, stored := h.keys[sweepPrefix+sweepID]; stored != (tc.status == 201) {
				t.Errorf("sweep stored: got %v, want %v", stored, tc.status == 201)
			}
			if tc.status != 201 {
				return
			}
			if reply := h.submitSweep(tc.submission); reply.Status != 200 || reply.Sweep == nil || reply.Sweep.Runs != len(tc.submission.Plan.Specs) {
				t.Errorf("repeated submission: got %+v, want status 200 with the state of the sweep", reply)
			}
			if reply := h.submitSweep(sweepOf(9, 1000)); reply.Status != 409 {
				t.Errorf("other sweep with the same id: got status %d, want 409", reply.Status)
			}
			if reply := h.submitSweep(bad); reply.Status != 200 {
				t.Errorf("malformed sweep with the id of the accepted one: got status %d, want 200", reply.Status)
			}
		})
	}
}

// TestSweepActivation checks that a controller raises the stored format for sweeps only if every
// controller advertises them, and never if it has them disabled itself.
func TestSweepActivation(t *testing.T) {
	cases := []struct {
		name     string
		enabled  bool
		versions []int // of the other controllers
		want     int
	}{
		{"all controllers have sweeps", true, []int{3, 3}, 3},
		{"another controller lacks sweeps", true, []int{3, 2}, 2},
		{"disabled on this controller", false, []int{3, 3}, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, map[string]any{formatKey: formatRecord{Version: 2, Tasks: 32}})
			settings := h.core.settings
			settings.Peers, settings.Size, settings.Ops.Sweeps = []string{"n1", "n2"}, 3, tc.enabled
			h.start(settings)
			h.advance(2 * second)
			for i, version := range tc.versions {
				h.store(memberPrefix+settings.Peers[i], upgrade.Advertisement{Format: version, Incarnation: "x"})
			}
			h.refresh()
			h.advance(3 * second)
			if format := h.core.membership.format; format.Version != tc.want || format.Tasks != 32 {
				t.Errorf("got format %+v, want version %d, tasks 32", format, tc.want)
			}
			if reply := h.submitSweep(sweepOf(1, 1000)); tc.enabled && (reply.Status == 201) != (tc.want == 3) {
				t.Errorf("sweep submission: got status %d, error %q, want accepted: %v", reply.Status, reply.Error, tc.want == 3)
			}
		})
	}
}

// TestSweepCancelledAtPeer checks that a controller that learns of a cancelled sweep from a peer
// stops the sweep's tasks at once, but reports its runs as cancelled only when the controller has
// everything that was stored before the cancellation, because some of the runs may be done. It
// guards against a fault in an outage right after a cancellation: runs whose end was stored as
// done were reported as cancelled.
func TestSweepCancelledAtPeer(t *testing.T) {
	h := newSweepHarness(t, true)
	submission := sweepOf(2, 1000)
	if reply := h.submitSweep(submission); reply.Status != 201 {
		t.Fatalf("sweep submission: got status %d, error %q, want status 201", reply.Status, reply.Error)
	}
	for i, spec := range submission.Plan.Specs {
		h.store(jobPrefix+runID(i), jobstate.Record{Spec: spec, SubmittedWall: 1})
	}
	h.refresh()
	cache := h.core.cache
	run := cache.jobs[runID(1)]
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Cancelled: []string{cancelledSweepPrefix + sweepID}}})
	if _, isOver := cache.ends.Get(runID(1)); run == nil || run.Outcome() != "" || isOver {
		t.Fatalf("run %s: got %+v, reported as ended %v, want an unfinished run, as its end may be stored as done", runID(1), run, isOver)
	}
	if h.core.sweepManager.mayStart(run) {
		t.Error("mayStart of a run of the cancelled sweep: got true, want false")
	}
	// Run 0 is stored as done before the cancellation is stored.
	h.store(endPrefix+runID(0), jobstate.End{Outcome: jobstate.Done, Tasks: 1})
	h.store(sweepEndPrefix+sweepID, sweepEndRecord{Outcome: jobstate.Cancelled})
	h.refresh()
	first, _ := cache.ends.Get(runID(0))
	last, _ := cache.ends.Get(runID(1))
	if first.Outcome != jobstate.Done || last.Outcome != jobstate.Cancelled {
		t.Errorf("outcomes of the runs: got %q and %q, want %q and %q", first.Outcome, last.Outcome, jobstate.Done, jobstate.Cancelled)
	}
}

// TestSweepPositionSize checks that the position and the cancelled runs of the largest sweep fit
// into the smallest value limit, whichever of its runs have ended, and are decoded correctly.
func TestSweepPositionSize(t *testing.T) {
	const runs, maxBytes = 10_000, 2000
	random := rand.New(rand.NewPCG(1, 2))
	open, cancelledSet := roaring.New(), roaring.New()
	for i := range runs {
		if random.IntN(2) == 0 {
			cancelledSet.AddInt(i)
		} else if random.IntN(5) == 0 {
			open.AddInt(i)
		}
	}
	positionValue := encodeJSON(sweepPosition{Next: runs, Open: encodeRunSet(open)})
	cancelledValue := encodeJSON(cancelledRuns{Runs: encodeRunSet(cancelledSet)})
	if len(positionValue) > maxBytes || len(cancelledValue) > maxBytes {
		t.Errorf("got %d bytes for the position and %d for the cancelled runs, want at most %d", len(positionValue), len(cancelledValue), maxBytes)
	}
	manager := newSweepHarness(t, true).core.sweepManager
	reportInvalid := func(err error) { t.Error(err) }
	manager.apply("sweepat/s", Change{Value: positionValue, Revision: 5}, reportInvalid)
	manager.apply("sweepat/s/gone", Change{Value: cancelledValue, Revision: 5}, reportInvalid)
	if sweep := manager.getOrAddSweep(sweepID); !sweep.openRuns().Equals(open) || !sweep.cancelled.Equals(cancelledSet) || sweep.next != runs {
		t.Errorf("got decoded open runs %v, cancelled runs %v, next run %d, want %v, %v, %d", sweep.openRuns(), sweep.cancelled, sweep.next, open, cancelledSet, runs)
	}
	for _, text := range []string{"x", "b!", "r!", "rAAAA"} {
		if _, err := decodeRunSet(text); err == nil {
			t.Errorf("decodeRunSet(%q): got no error for an invalid set, want one", text)
		}
	}
}

// TestRunCancellationFromPeer checks that a run that a peer reports as cancelled is counted as
// ended only once its end is stored, because the end of a run that the sweep's position counts as
// ended is not looked up any more.
func TestRunCancellationFromPeer(t *testing.T) {
	h := newSweepHarness(t, true)
	submission := sweepOf(2, 1000)
	h.submitSweep(submission)
	sweep := h.core.sweepManager.getOrAddSweep(sweepID)
	sweep.plan = submission.Plan
	h.advance(2 * second)
	id := runID(0)
	if h.core.cache.jobs[id] == nil {
		t.Fatalf("got no run %s, want one", id)
	}
	h.delaysCommits = true
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Cancelled: []string{id}}})
	h.advance(3 * second)
	if end, ok := h.core.cache.ends.Get(id); !ok || end.IsStored() {
		t.Fatalf("got end %+v (known: %v), want a known end that is not stored", end, ok)
	}
	if sweep.ended.Contains(0) {
		t.Error("before its end is stored: got the run counted as ended, want it not counted")
	}
	h.delaysCommits = false
	for _, delayed := range h.delayedCommits {
		h.commit(delayed)
	}
	h.advance(3 * second)
	if h.keys[endPrefix+id].Revision == 0 {
		t.Error("got no stored end of the run, want one")
	}
	if !sweep.ended.Contains(0) || !sweep.cancelled.Contains(0) {
		t.Errorf("after its end is stored: got the run counted as ended %v, as cancelled %v, want both", sweep.ended.Contains(0), sweep.cancelled.Contains(0))
	}
}
