package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/txn"
)

// TestObservedTransaction checks that a transaction without an answer completes once its changes
// were read. Otherwise other controllers report the changes to users while the writer keeps
// repeating the transaction without success, waiting two seconds each time. The transaction counts
// as executed only if all of its changes are read as they were sent, at one revision that is later
// than any in its conditions.
func TestObservedTransaction(t *testing.T) {
	const observedRevision = 20
	put := func(key, value string) Write { return Write{Key: key, Value: []byte(value)} }
	changeOf := func(key, value string, revision uint64) Change {
		return Change{Key: key, Value: []byte(value), Revision: revision}
	}
	writes := []Write{put("zinclb/x/a", "1"), put("zinclb/x/b", "2"), {Key: "zinclb/x/c"}}
	removal := Change{Key: "zinclb/x/c", Revision: observedRevision, Removed: true}
	cases := []struct {
		name    string
		changes []Change
		want    bool
	}{
		{"all changes", []Change{changeOf("zinclb/x/a", "1", observedRevision), changeOf("zinclb/x/b", "2", observedRevision), removal}, true},
		{"all changes among others", []Change{changeOf("zinclb/x/a", "0", observedRevision-1), changeOf("zinclb/x/a", "1", observedRevision), changeOf("zinclb/x/b", "2", observedRevision), changeOf("zinclb/y", "2", observedRevision+1), removal}, true},
		{"some of the changes", []Change{changeOf("zinclb/x/a", "1", observedRevision), removal}, false},
		{"different value", []Change{changeOf("zinclb/x/a", "1", observedRevision), changeOf("zinclb/x/b", "3", observedRevision), removal}, false},
		{"value instead of a removal", []Change{changeOf("zinclb/x/a", "1", observedRevision), changeOf("zinclb/x/b", "2", observedRevision), changeOf("zinclb/x/c", "", observedRevision)}, false},
		{"changes at two revisions", []Change{changeOf("zinclb/x/a", "1", observedRevision), changeOf("zinclb/x/b", "2", observedRevision+1), removal}, false},
		{"same changes at the revision in the conditions", []Change{changeOf("zinclb/x/a", "1", observedRevision-10), changeOf("zinclb/x/b", "2", observedRevision-10), {Key: "zinclb/x/c", Revision: observedRevision - 10, Removed: true}}, false},
		{"no changes", nil, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			var got []TransactionResult
			h.core.commitTransaction([]Cond{kv.RevisionIs("zinclb/x/a", observedRevision-10), kv.RevisionIs("zinclb/x/b", 0)}, writes, func(result TransactionResult) { got = append(got, result) })
			h.core.effects = nil // the transaction gets no answer
			h.core.transactions.Observe(tc.changes, h.core.now)
			h.tick(txn.AnswerTimeout - 50_000)
			if len(got) != 0 {
				t.Fatalf("got results %+v before the answer timeout, want none", got)
			}
			h.tick(100_000)
			if ok := len(got) == 1 && got[0].Outcome == kv.Committed && got[0].Revision == observedRevision && got[0].Observed; ok != tc.want || len(got) > 1 {
				t.Errorf("got results %+v, want one observed commit at revision %d: %v", got, observedRevision, tc.want)
			}
		})
	}
}

// TestAnswerPrecedesObservation checks that the outcome in an answer is used even if the changes
// were read before it, and that without a readable answer the outcome follows from the changes
// read.
func TestAnswerPrecedesObservation(t *testing.T) {
	for _, tc := range []struct {
		answer, want kv.Outcome
		observed     bool
	}{{kv.Committed, kv.Committed, false}, {kv.Conflict, kv.Conflict, false}, {kv.Unavailable, kv.Unavailable, false}, {kv.Unknown, kv.Committed, true}} {
		h := newLeaderHarness(t)
		var got []TransactionResult
		h.core.commitTransaction([]Cond{kv.RevisionIs("zinclb/x", 0)}, []Write{{Key: "zinclb/x", Value: []byte("1")}}, func(result TransactionResult) { got = append(got, result) })
		h.core.effects = nil // the transaction gets no answer
		h.core.transactions.Observe([]Change{{Key: "zinclb/x", Value: []byte("1"), Revision: 7}}, h.core.now)
		h.core.transactions.Complete(TransactionResult{ID: h.core.lastID, Outcome: tc.answer, Revision: 9})
		h.tick(second)
		if len(got) != 1 || got[0].Outcome != tc.want || got[0].Observed != tc.observed {
			t.Errorf("answer %d: got results %+v, want one with outcome %d, observed %v", tc.answer, got, tc.want, tc.observed)
		}
	}
}

// TestAnswerLost checks that if a submission or cancellation is executed and only the answer of
// the state service is lost, the user is answered within half a second, and not only once the
// transaction has timed out.
func TestAnswerLost(t *testing.T) {
	h := newHarness(t, map[string]any{formatKey: progressLogFormat, jobPrefix + "open": job("open")})
	h.advance(200_000)
	h.losesAnswers = true
	for _, tc := range []struct {
		request any
		want    string
	}{{SubmitJob{Spec: job("new").Spec}, Queued}, {CancelJob{ID: "open"}, "cancelled"}, {CancelJob{ID: "new"}, "cancelled"}} {
		sentAt := h.now
		reply := h.request(tc.request)
		if reply.Job == nil || reply.Job.State != tc.want {
			t.Fatalf("%T: got reply %+v, want job state %s", tc.request, reply, tc.want)
		}
		if h.now-sentAt > second/2 {
			t.Errorf("%T: got reply after %d us, want at most %d us", tc.request, h.now-sentAt, second/2)
		}
	}
	for _, id := range []string{"new", "open"} {
		if h.keys[endPrefix+id].Value == nil {
			t.Errorf("job %s: got no stored end, want one", id)
		}
	}
}

// TestRepeatedRequestsWriteOnce checks that repeating a submission or a cancellation while it is
// being written causes no further writes: the writes per second are limited, and placements need
// them.
func TestRepeatedRequestsWriteOnce(t *testing.T) {
	h := newHarness(t, map[string]any{formatKey: progressLogFormat, jobPrefix + "open": job("open")})
	h.advance(200_000)
	for _, tc := range []struct {
		id, want string
		build    func(requestID uint64) any
	}{
		{"new", Queued, func(requestID uint64) any { return SubmitJob{RequestID: requestID, Spec: job("new").Spec} }},
		{"open", "cancelled", func(requestID uint64) any { return CancelJob{RequestID: requestID, ID: "open"} }},
	} {
		var requestIDs []uint64
		h.delaysCommits = true
		for range 5 {
			for range 6 {
				h.lastRequest++
				requestIDs = append(requestIDs, h.lastRequest)
				h.step(tc.build(h.lastRequest))
			}
			h.advance(100_000)
		}
		transactions := 0
		for _, transaction := range h.delayedCommits {
			for _, write := range transaction.Writes {
				if write.Key == jobPrefix+tc.id {
					transactions++
				}
			}
		}
		h.delaysCommits = false
		for len(h.delayedCommits) > 0 {
			transaction := h.delayedCommits[0]
			h.delayedCommits = h.delayedCommits[1:]
			h.commit(transaction)
		}
		h.advance(second)
		for _, requestID := range requestIDs {
			if reply := h.replies[requestID]; reply.Job == nil || reply.Job.State != tc.want {
				t.Errorf("job %s: got reply %+v, want job state %s", tc.id, reply, tc.want)
			}
		}
		if transactions != 1 {
			t.Errorf("job %s: got %d transactions for %d requests, want 1", tc.id, transactions, len(requestIDs))
		}
	}
}
