package core

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// sweepOf is a sweep of n runs of a CPU each, more for every step.
func sweepOf(id string, n int, cpus int64) SubmitSweep {
	p := &SweepPlan{ID: id, Digest: fmt.Sprint("d", n, cpus), MaxUnfinished: 3, Longest: 300}
	for i := range n {
		p.Specs = append(p.Specs, &jobstate.Spec{ID: fmt.Sprintf("sweep.%s.%d", id, i), Class: "c", Team: "t", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{CPU: cpus}, Estimate: 10 * second, Sweep: id, Run: i})
		p.Values = append(p.Values, json.RawMessage(fmt.Sprintf(`{"a":%d}`, i)))
		p.Sets = append(p.Sets, []int{i})
	}
	return SubmitSweep{Plan: p, Stored: strings.Repeat("x", 50)}
}

// newSweepHarness is a leader with sweeps switched on, and the format stored.
func newSweepHarness(t *testing.T, on bool, format formatRecord) *harness {
	s := newHarness(t, map[string]any{formatKey: format})
	set := s.core.settings
	set.Ops.Sweeps = on
	s.core = New(set, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	s.listState()
	s.advance(2 * second)
	if s.core.elector.leadership == nil {
		t.Fatal("does not lead")
	}
	return s
}

// ask sends a request that carries the next number and returns its answer.
func (s *harness) requestSweep(build func(req uint64) any) Reply {
	s.lastRequest++
	req := s.lastRequest
	s.step(build(req))
	s.advance(second)
	return s.replies[req]
}

func (s *harness) submitSweep(m SubmitSweep) Reply {
	return s.requestSweep(func(req uint64) any {
		m.RequestID = req
		return m
	})
}

// TestSubmitSweep: what a submission is answered, and that one which is refused
// leaves nothing in the state service.
func TestSubmitSweep(t *testing.T) {
	three := formatRecord{Version: 3, Tasks: 64}
	big := sweepOf("s", 2, 1000)
	big.Stored = strings.Repeat("x", 45<<10)
	long := sweepOf("s", 2, 1000)
	long.Plan.Longest = 9000
	bad := sweepOf("s", 2, 1000)
	bad.Invalid = "run {a: 1}: herd: missing"
	orphan := sweepOf("s", 2, 1000)
	orphan.Plan.Specs[1].Dependencies = []string{"nobody"}
	own := sweepOf("s", 2, 1000)
	own.Plan.Specs[1].Dependencies = []string{"sweep.s.0"}
	cases := []struct {
		name   string
		off    bool
		format formatRecord
		m      SubmitSweep
		status ReplyCode
		says   string
	}{
		{"accepted", false, three, sweepOf("s", 5, 1000), 201, ""},
		{"one run awaits another", false, three, own, 201, ""},
		{"switched off", true, three, sweepOf("s", 5, 1000), 404, "switched off"},
		{"a malformed run", false, three, bad, 400, "run {a: 1}: herd"},
		{"a run that fits no machine", false, three, sweepOf("s", 5, 5000), 422, `run {"a":0}: no allowed machine type`},
		{"a run that awaits nobody", false, three, orphan, 422, "awaits: nobody was never accepted"},
		{"a description that is too long", false, three, big, 400, "46080 bytes when packed"},
		{"a run that is too long", false, three, long, 400, "a run's description takes 9000 bytes"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSweepHarness(t, !tc.off, tc.format)
			r := s.submitSweep(tc.m)
			if r.Status != tc.status || !strings.Contains(r.Error, tc.says) {
				t.Errorf("%d %s", r.Status, r.Error)
			}
			if _, stored := s.keys[sweepPrefix+"s"]; stored != (tc.status == 201) {
				t.Errorf("stored: %v", stored)
			}
			if tc.status != 201 {
				return
			}
			if r := s.submitSweep(tc.m); r.Status != 200 || r.Sweep == nil || r.Sweep.Runs != len(tc.m.Plan.Specs) {
				t.Errorf("submitted again: %+v", r)
			}
			if r := s.submitSweep(sweepOf("s", 9, 1000)); r.Status != 409 {
				t.Errorf("another with its id: %d", r.Status)
			}
			if r := s.submitSweep(bad); r.Status != 200 {
				t.Errorf("a malformed one with its id: %d, and it was accepted", r.Status)
			}
		})
	}
}

// TestSweepLatch: sweeps raise the format only when every controller has said
// that it has them, and one that has them switched off raises nothing.
func TestSweepLatch(t *testing.T) {
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
			s := newHarness(t, map[string]any{formatKey: formatRecord{Version: 2, Tasks: 32}})
			set := s.core.settings
			set.Peers, set.Size, set.Ops.Sweeps = []string{"n1", "n2"}, 3, tc.on
			s.core = New(set, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
			s.listState()
			s.advance(2 * second)
			for i, v := range tc.versions {
				s.store(memberPrefix+set.Peers[i], upgrade.Advertisement{Format: v, Incarnation: "x"})
			}
			s.readState(StateRead{AfterRevision: s.core.cache.appliedRevision, Immediate: true})
			s.advance(3 * second)
			if f := s.core.membership.format; f.Version != tc.want || f.Tasks != 32 {
				t.Errorf("the format is %+v", f)
			}
			if r := s.submitSweep(sweepOf("s", 1, 1000)); tc.on && (r.Status == 201) != (tc.want == 3) {
				t.Errorf("a sweep is answered %d %s", r.Status, r.Error)
			}
		})
	}
}

// TestSweepTold: a controller that hears of a cancelled sweep stops its tasks at
// once, but calls its runs cancelled only when it has all that was stored before:
// one of them may be done. In an outage right after a cancellation runs were
// called cancelled whose end was stored as done.
func TestSweepTold(t *testing.T) {
	s := newSweepHarness(t, true, formatRecord{Version: 3, Tasks: 64})
	if r := s.submitSweep(sweepOf("s", 2, 1000)); r.Status != 201 {
		t.Fatalf("%d %s", r.Status, r.Error)
	}
	for i := range 2 {
		s.store(jobPrefix+fmt.Sprint("sweep.s.", i), jobstate.Record{Spec: sweepOf("s", 2, 1000).Plan.Specs[i], SubmittedWall: 1})
	}
	s.readState(StateRead{AfterRevision: s.core.cache.appliedRevision, Immediate: true})
	j := s.core.cache.jobs["sweep.s.1"]
	s.step(PeerPinged{Peer: "n1", SentAt: s.now, OK: true, Status: PeerStatus{Cancelled: []string{cancelledSweepPrefix + "s"}}})
	if j == nil || j.Outcome != "" || s.core.cache.ends["sweep.s.1"].Outcome != "" {
		t.Fatal("a run is called cancelled on another's word")
	}
	if s.core.sweepManager.mayStart(j) {
		t.Error("its tasks may still be started")
	}
	// What was stored before: run 0 is done. Then the cancellation.
	s.store(endPrefix+"sweep.s.0", jobstate.End{Outcome: jobstate.Done, Tasks: 1})
	s.store(sweepEndPrefix+"s", sweepEndRecord{Outcome: jobstate.Cancelled})
	s.readState(StateRead{AfterRevision: s.core.cache.appliedRevision, Immediate: true})
	if a, b := s.core.cache.ends["sweep.s.0"].Outcome, s.core.cache.ends["sweep.s.1"].Outcome; a != jobstate.Done || b != jobstate.Cancelled {
		t.Errorf("the runs are %q and %q", a, b)
	}
}

// TestSweepAt: the progress of the largest sweep fits the smallest value, however
// its runs have come out.
func TestSweepAt(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	open, gone := roaring.New(), roaring.New()
	for i := range 10_000 {
		if r.IntN(2) == 0 {
			gone.AddInt(i)
		} else if r.IntN(5) == 0 {
			open.AddInt(i)
		}
	}
	at, g := sweepPosition{Next: 10_000, Open: encodeRunSet(open)}, cancelledRuns{encodeRunSet(gone)}
	if a, b := len(encodeJSON(at)), len(encodeJSON(g)); max(a, b) > 2000 {
		t.Errorf("%d and %d bytes", a, b)
	}
	c := newSweepHarness(t, true, formatRecord{Version: 3, Tasks: 64}).core
	bad := func(err error) { t.Error(err) }
	c.sweepManager.applySweep("sweepat/s", Change{Value: encodeJSON(at), Revision: 5}, bad)
	c.sweepManager.applySweep("sweepat/s/gone", Change{Value: encodeJSON(g), Revision: 5}, bad)
	if s := c.sweepManager.sweep("s"); !s.open().Equals(open) || !s.cancelled.Equals(gone) || s.next != 10_000 {
		t.Error("it is read as something else")
	}
	for _, text := range []string{"x", "b!", "r!", "rAAAA"} {
		if _, err := decodeRunSet(text); err == nil {
			t.Errorf("%q is read as a set", text)
		}
	}
}
