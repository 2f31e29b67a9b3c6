package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/kv"

	"github.com/zinclb/zinclb/internal/core/txn"
)

// TestObservedTransaction: what was read of a transaction counts for its answer, where that is lost:
// others tell users of it meanwhile, and its writer once wrote it again in vain for
// two seconds at a time. Only all of its changes, as they were sent, of one revision
// later than any that it is conditional on, show that it was carried out.
func TestObservedTransaction(t *testing.T) {
	const stamp = 20
	put := func(key, value string) Write { return Write{Key: key, Value: []byte(value)} }
	seen := func(key, value string, stamp uint64) Change {
		return Change{Key: key, Value: []byte(value), Revision: stamp}
	}
	writes := []Write{put("zinclb/x/a", "1"), put("zinclb/x/b", "2"), {Key: "zinclb/x/c"}}
	gone := Change{Key: "zinclb/x/c", Revision: stamp, Removed: true}
	cases := []struct {
		name string
		seen []Change
		want bool
	}{
		{"all of it", []Change{seen("zinclb/x/a", "1", stamp), seen("zinclb/x/b", "2", stamp), gone}, true},
		{"all of it, beside others", []Change{seen("zinclb/x/a", "0", stamp-1), seen("zinclb/x/a", "1", stamp), seen("zinclb/x/b", "2", stamp), seen("zinclb/y", "2", stamp+1), gone}, true},
		{"a part", []Change{seen("zinclb/x/a", "1", stamp), gone}, false},
		{"another value", []Change{seen("zinclb/x/a", "1", stamp), seen("zinclb/x/b", "3", stamp), gone}, false},
		{"a value where it removes", []Change{seen("zinclb/x/a", "1", stamp), seen("zinclb/x/b", "2", stamp), seen("zinclb/x/c", "", stamp)}, false},
		{"two revisions", []Change{seen("zinclb/x/a", "1", stamp), seen("zinclb/x/b", "2", stamp+1), gone}, false},
		{"the same changes of before, which it is conditional on", []Change{seen("zinclb/x/a", "1", stamp-10), seen("zinclb/x/b", "2", stamp-10), {Key: "zinclb/x/c", Revision: stamp - 10, Removed: true}}, false},
		{"nothing", nil, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			var got []TransactionResult
			r.c.commitTransaction([]Cond{kv.RevisionIs("zinclb/x/a", stamp-10), kv.RevisionIs("zinclb/x/b", 0)}, writes, func(m TransactionResult) { got = append(got, m) })
			r.c.effects = nil // nobody answers
			r.c.transactions.Observe(tc.seen, r.c.now)
			r.tick(txn.AnswerTimeout - 50_000)
			if len(got) != 0 {
				t.Fatal("the answer was given no time")
			}
			r.tick(100_000)
			if ok := len(got) == 1 && got[0].Outcome == kv.Committed && got[0].Revision == stamp && got[0].Observed; ok != tc.want || len(got) > 1 {
				t.Errorf("%+v, want an answer: %v", got, tc.want)
			}
		})
	}
}

// TestAnswerPrecedesObservation: an answer that comes is taken as it is; one that does not come at all
// is what was read.
func TestAnswerPrecedesObservation(t *testing.T) {
	for _, tc := range []struct {
		answer, want kv.Outcome
		observed     bool
	}{{kv.Committed, kv.Committed, false}, {kv.Conflict, kv.Conflict, false}, {kv.Unavailable, kv.Unavailable, false}, {kv.Unknown, kv.Committed, true}} {
		r := newLeaderHarness(t)
		var got []TransactionResult
		r.c.commitTransaction([]Cond{kv.RevisionIs("zinclb/x", 0)}, []Write{{Key: "zinclb/x", Value: []byte("1")}}, func(m TransactionResult) { got = append(got, m) })
		r.c.effects = nil // nobody answers
		r.c.transactions.Observe([]Change{{Key: "zinclb/x", Value: []byte("1"), Revision: 7}}, r.c.now)
		r.c.transactions.Complete(TransactionResult{ID: r.c.lastID, Outcome: tc.answer, Revision: 9})
		r.tick(second)
		if len(got) != 1 || got[0].Outcome != tc.want || got[0].Observed != tc.observed {
			t.Errorf("answered %d: %+v", tc.answer, got)
		}
	}
}

// TestAnswerLost: a user whose submission or cancellation was carried out, and whose
// answer alone was lost, is answered at once and not when the writer gives up.
func TestAnswerLost(t *testing.T) {
	s := newHarness(t, map[string]any{formatKey: joined, jobPrefix + "open": job("open")})
	s.advance(200_000)
	s.losesAnswers = true
	for _, tc := range []struct {
		msg  any
		want string
	}{{SubmitJob{Spec: job("new").Spec}, Queued}, {CancelJob{ID: "open"}, "cancelled"}, {CancelJob{ID: "new"}, "cancelled"}} {
		at := s.now
		r := s.request(tc.msg)
		if r.Job == nil || r.Job.State != tc.want {
			t.Fatalf("%T: %+v, want %s", tc.msg, r, tc.want)
		}
		if s.now-at > second/2 {
			t.Errorf("%T took %d µs", tc.msg, s.now-at)
		}
	}
	for _, id := range []string{"new", "open"} {
		if s.keys[endPrefix+id].Value == nil {
			t.Errorf("the end of %s is not stored", id)
		}
	}
}

// TestRepeatedRequestsWriteOnce: users who repeat a submission or a cancellation while it is written
// cost no writes: there are few a second, and placements need them.
func TestRepeatedRequestsWriteOnce(t *testing.T) {
	s := newHarness(t, map[string]any{formatKey: joined, jobPrefix + "open": job("open")})
	s.advance(200_000)
	for _, tc := range []struct {
		id, want string
		msg      func(req uint64) any
	}{
		{"new", Queued, func(req uint64) any { return SubmitJob{RequestID: req, Spec: job("new").Spec} }},
		{"open", "cancelled", func(req uint64) any { return CancelJob{RequestID: req, ID: "open"} }},
	} {
		var reqs []uint64
		s.delaysCommits = true
		for range 5 {
			for range 6 {
				s.lastRequest++
				reqs = append(reqs, s.lastRequest)
				s.step(tc.msg(s.lastRequest))
			}
			s.advance(100_000)
		}
		n := 0
		for _, e := range s.delayedCommits {
			for _, w := range e.Writes {
				if w.Key == jobPrefix+tc.id {
					n++
				}
			}
		}
		s.delaysCommits = false
		for len(s.delayedCommits) > 0 {
			e := s.delayedCommits[0]
			s.delayedCommits = s.delayedCommits[1:]
			s.commit(e)
		}
		s.advance(second)
		for _, r := range reqs {
			if a := s.replies[r]; a.Job == nil || a.Job.State != tc.want {
				t.Errorf("%s: %+v, want %s", tc.id, a, tc.want)
			}
		}
		if n != 1 {
			t.Errorf("%d transactions about %s for %d requests", n, tc.id, len(reqs))
		}
	}
}
