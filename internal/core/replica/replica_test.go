package replica

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/zinclb/zinclb/internal/core/kv"
)

// TestFollower checks which source a follower reads from after answers, failures and changes
// of leadership.
func TestFollower(t *testing.T) {
	const start = 100 * second
	ask := func(f *Follower, ok bool, now int64) { f.EndRequest(f.BeginRequest(), ok, now) }
	cases := []struct {
		name    string
		do      func(f *Follower)
		at      int64 // time of the check, after start
		source  string
		follows bool
	}{
		{"no leader", func(f *Follower) { f.SetLeader("", 0) }, 0, "", false},
		{"not asked yet", func(*Follower) {}, 0, "n1", false},
		{"answered", func(f *Follower) { ask(f, true, start) }, second, "n1", true},
		{"last answer too old", func(f *Follower) { ask(f, true, start) }, 3 * second, "n1", false},
		{"failed", func(f *Follower) { ask(f, false, start) }, second / 2, "", false},
		{"first backoff over", func(f *Follower) { ask(f, false, start) }, second, "n1", false},
		{"failed twice", func(f *Follower) { ask(f, false, start-second); ask(f, false, start) }, 2*second - 1, "", false},
		{"backoff is bounded", func(f *Follower) {
			for range 20 {
				ask(f, false, start)
			}
		}, maxRetryDelay, "n1", false},
		{"failed after an answer", func(f *Follower) { ask(f, true, start); ask(f, false, start) }, 0, "", false},
		{"new leader after a failure", func(f *Follower) { ask(f, false, start); f.SetLeader("n2", 6) }, 0, "n2", false},
		{"first leader again after another one", func(f *Follower) { ask(f, true, start); f.SetLeader("n2", 6); f.SetLeader("n1", 7) }, 0, "n1", false},
		{"same leader with a new token", func(f *Follower) { ask(f, true, start); f.SetLeader("n1", 8) }, 0, "n1", false},
	}
	for _, tc := range cases {
		f := &Follower{}
		f.SetLeader("n1", 5)
		tc.do(f)
		if got := f.Source(start + tc.at); got != tc.source {
			t.Errorf("%s: Source() = %q, want %q", tc.name, got, tc.source)
		}
		if got := f.IsFollowing(start + tc.at); got != tc.follows {
			t.Errorf("%s: IsFollowing() = %v, want %v", tc.name, got, tc.follows)
		}
	}
}

// TestEndRequest checks that late and repeated answers are ignored.
func TestEndRequest(t *testing.T) {
	f := &Follower{}
	f.SetLeader("n1", 5)
	first := f.BeginRequest()
	if !f.EndRequest(first, false, 1) || f.EndRequest(first, true, 2) || f.EndRequest(0, true, 2) {
		t.Error("first request: a late, repeated or unnumbered answer was accepted, or the answer itself was not")
	}
	second := f.BeginRequest()
	if f.EndRequest(first, true, 3) || !f.EndRequest(second, true, 3) || f.EndRequest(second, true, 4) {
		t.Error("second request: a late or repeated answer was accepted, or the answer itself was not")
	}
}

// TestChangeLog checks that the log stays within its limits, and that Since returns as many changes
// as were appended after the given revision, unless some of them were dropped.
func TestChangeLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log ChangeLog
		var all []kv.Change
		rev := uint64(rapid.IntRange(0, 5).Draw(t, "start"))
		log.Reset(rev)
		start := rev
		size := rapid.SampledFrom([]int{1, 500, 60_000}).Draw(t, "size")
		for range rapid.IntRange(0, 200).Draw(t, "transactions") {
			rev += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			for k := range rapid.IntRange(1, 4).Draw(t, "changes") {
				c := kv.Change{Key: fmt.Sprint("k", k), Value: make([]byte, size), Revision: rev}
				all = append(all, c)
				log.Append(c)
			}
		}
		if log.bytes > maxLogBytes+4*(size+100) || len(log.changes) > maxLogChanges {
			t.Fatalf("log holds %d bytes and %d changes, want at most %d and %d", log.bytes, len(log.changes), maxLogBytes+4*(size+100), maxLogChanges)
		}
		after := uint64(rapid.IntRange(0, int(rev)+1).Draw(t, "after"))
		got, ok := log.Since(after)
		if !ok {
			if after >= start && size == 1 && len(all) < 100 {
				t.Fatalf("changes after revision %d were dropped from a log of %d small changes", after, len(all))
			}
			return
		}
		want := 0
		for _, c := range all {
			if c.Revision > after {
				want++
			}
		}
		if len(got) != want {
			t.Fatalf("got %d changes after revision %d, want %d", len(got), after, want)
		}
	})
}
