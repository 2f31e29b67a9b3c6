package core

import (
	"strings"
	"testing"
)

// startWrites returns the delayed transactions that store placements.
func (h *harness) startWrites() (writes []CommitTransaction) {
	for _, transaction := range h.delayedCommits {
		for _, write := range transaction.Writes {
			if strings.HasPrefix(write.Key, runPrefix) || strings.HasPrefix(write.Key, logPrefix) {
				writes = append(writes, transaction)
				break
			}
		}
	}
	return writes
}

// newPlacementHarness returns a leader that the state service has answered immediately so far,
// and that has just placed a task. From here on, transactions are delayed.
func newPlacementHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, map[string]any{formatKey: progressLogFormat, jobPrefix + "open": job("open")})
	h.advance(2 * second)
	h.delaysCommits = true
	h.place("open")
	return h
}

// place places the task of a job on a machine, as a planning round does.
func (h *harness) place(id string) {
	placed := h.core.cache.jobs[id]
	placed.PlaceTask(0, "m", placed.NextAttempt(), h.now)
	h.core.committer.markDirty(placed)
}

// TestUnansweredStart checks that a write of a task start that gets no answer, where answers
// normally take milliseconds, is repeated within a second, so that one lost answer does not delay
// the start.
//
// It guards against waiting for the answer to each transaction until its deadline of two seconds.
// The leader has one transaction in progress at a time, so nothing else was written and no task
// started in this time. The state service's log of the case of TestTroubles "renewals and dropped
// leases are executed late and the leader is refused, and then all" showed this: the write of a
// gang of four at 82.203 s got no answer, the next write was stored at 84.354 s, and the gang was
// done at 94.33 s instead of by 93.0 s. With this and related fixes, the write was stored at
// 82.753 s, the gang started at 82.755 s and was done at 90.95 s.
func TestUnansweredStart(t *testing.T) {
	h := newPlacementHarness(t)
	h.advance(second)
	if writes := len(h.startWrites()); writes < 2 {
		t.Errorf("got %d writes of an unanswered start within a second, want at least 2", writes)
	}
}

// TestUnansweredStartExecuted checks that a start that was written twice is known to be stored once
// both writes were executed, whichever came first.
func TestUnansweredStartExecuted(t *testing.T) {
	for _, order := range [][2]int{{0, 1}, {1, 0}} {
		h := newPlacementHarness(t)
		h.advance(second)
		writes := h.startWrites()
		if len(writes) < 2 {
			t.Fatalf("got %d writes of the start, want at least 2", len(writes))
		}
		h.delaysCommits = false
		h.commit(writes[order[0]])
		h.commit(writes[order[1]])
		h.advance(3 * second)
		if !h.core.cache.jobs["open"].Task(0).Stored {
			t.Errorf("order %v: got a start not known to be stored, want it stored", order)
		}
	}
}

// TestSlowAnswers checks that the leader waits for answers that always take long, once it has
// learned that they do, instead of repeating its writes.
func TestSlowAnswers(t *testing.T) {
	const answerTime, rounds, maxRepeated = 700_000, 12, 2
	h := newPlacementHarness(t)
	repeated := 0
	for range rounds {
		h.advance(answerTime)
		writes := h.startWrites()
		if len(writes) > 1 {
			repeated++
		}
		h.delaysCommits = false
		for _, transaction := range h.delayedCommits {
			h.commit(transaction)
		}
		h.delayedCommits = nil
		h.advance(second / 2)
		h.delaysCommits = true
		h.core.cache.jobs["open"].UnplaceTask(0, h.now)
		h.place("open")
	}
	if repeated > maxRepeated {
		t.Errorf("got %d of %d answered writes repeated, want at most %d", repeated, rounds, maxRepeated)
	}
}
