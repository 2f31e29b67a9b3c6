package core

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/replica"
)

// TestFollowerGetsAllChanges checks that a leader answers a follower with all changes after the
// follower's revision, in the order in which they were made, in whatever order it has read them.
//
// It guards against a log of changes in the order of the watch's answer: a follower whose revision
// is in the middle of that answer was not sent the newer changes, and answered 404 for accepted jobs.
func TestFollowerGetsAllChanges(t *testing.T) {
	for _, order := range [][]uint64{{1, 2, 3, 4}, {4, 3, 2, 1}, {3, 1, 4, 2}} {
		h := newLeaderHarness(t)
		base := h.core.cache.appliedRevision
		read := StateRead{AfterRevision: base, Revision: base + 4, SentAt: h.now}
		for _, n := range order {
			read.Changes = append(read.Changes, Change{Key: fmt.Sprint(jobPrefix, n), Value: encodeJSON(job(fmt.Sprint(n))), Revision: base + n})
		}
		h.step(read)
		for after := range uint64(5) {
			h.replies = nil
			h.step(FollowerRead{RequestID: 7, AfterRevision: base + after})
			for range maxRequestTicks {
				if len(h.replies) > 0 {
					break
				}
				h.tick(tickInterval)
			}
			if len(h.replies) != 1 || h.replies[0].View == nil {
				t.Fatalf("order %v, read after change %d: got replies %+v, want one with changes", order, after, h.replies)
			}
			var got, want []uint64
			for _, change := range h.replies[0].View.Changes {
				got = append(got, change.Revision-base)
			}
			for n := after + 1; n <= 4; n++ {
				want = append(want, n)
			}
			if !slices.Equal(got, want) || !h.replies[0].View.Ordered {
				t.Errorf("order %v, read after change %d: got changes %v, want %v", order, after, got, want)
			}
		}
	}
}

// TestViewOfEarlierLeader checks that a follower does not apply the answer of a leader of an earlier
// version, which may lack changes, and reads the state service instead.
func TestViewOfEarlierLeader(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		h := newHarness(t, nil)
		after := h.core.cache.appliedRevision
		view := &replica.View{Revision: after + 2, Ordered: ordered, Changes: []Change{{Key: jobPrefix + "a", Value: encodeJSON(job("a")), Revision: after + 2}}}
		effects := h.core.Step(h.now, LeaderReadDone{Number: h.core.reader.follower.BeginRequest(), AfterRevision: after, SentAt: h.now, Answer: Reply{Status: ReplyOK, View: view}})
		if applied := h.core.cache.jobs["a"] != nil; applied != ordered {
			t.Errorf("ordered %v: got the leader's changes applied %v, want %v", ordered, applied, ordered)
		}
		reads := slices.ContainsFunc(effects, func(effect any) bool {
			return effect == any(ReadState{AfterRevision: after, ForRequests: true})
		})
		if reads == ordered {
			t.Errorf("ordered %v: got a read of the state service %v, want %v", ordered, reads, !ordered)
		}
	}
}

// TestChangesInAnyOrder checks that a controller does the same whatever the order in which a read
// lists changes. Keys are written and removed several times within one read: jobs, their progress
// and ends, the leadership and the fencing token. The protocol sets no order for them.
//
// It guards against the older of two values being applied last, for example a leadership key whose
// removal comes after its next value.
func TestChangesInAnyOrder(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		ordered, shuffled := newFollowerCore(), newFollowerCore()
		revision := uint64(1)
		for step := range 12 {
			now := int64(step+2) * second
			read := StateRead{AfterRevision: revision, SentAt: now, Immediate: true}
			read.Changes = randomChanges(rng, &revision)
			read.Revision = revision
			want := ordered.Step(now, read)
			if applied := ordered.cache.appliedRevision; applied != revision {
				t.Fatalf("seed %d, read %d: got applied revision %d, want %d", seed, step, applied, revision)
			}
			read.Changes = slices.Clone(read.Changes)
			rng.Shuffle(len(read.Changes), func(i, j int) { read.Changes[i], read.Changes[j] = read.Changes[j], read.Changes[i] })
			if got := shuffled.Step(now, read); !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, read %d: got effects %+v, want those of ordered changes: %+v", seed, step, got, want)
			}
			if got, want := describeCache(shuffled), describeCache(ordered); got != want {
				t.Fatalf("seed %d, read %d: got state\n%s\nwant that of ordered changes\n%s", seed, step, got, want)
			}
		}
		if shuffled.cache.reorderedReads == 0 || ordered.cache.reorderedReads != 0 {
			t.Errorf("seed %d: got %d and %d reordered reads, want some of shuffled changes and none of ordered ones", seed, shuffled.cache.reorderedReads, ordered.cache.reorderedReads)
		}
	}
}

// TestReorderedReads checks that operators see how many reads listed changes in another order than that
// of their revisions. The order of the keys of one transaction does not count.
func TestReorderedReads(t *testing.T) {
	core := newFollowerCore()
	changes := func(revisions ...uint64) (list []Change) {
		for i, revision := range revisions {
			list = append(list, Change{Key: fmt.Sprint("zinclb/x/", len(revisions)-i), Value: []byte("1"), Revision: revision})
		}
		return list
	}
	for i, read := range []StateRead{
		{AfterRevision: 1, Revision: 3, Changes: changes(2, 3)},
		{AfterRevision: 3, Revision: 4, Changes: changes(4, 4)},
		{AfterRevision: 4, Revision: 6, Changes: changes(6, 5)},
		{AfterRevision: 6, Revision: 9, Changes: changes(8, 7, 9)},
	} {
		read.Immediate = true
		core.Step(int64(i+2)*second, read)
	}
	if got := core.operators.view().ReorderedReads; got != 2 {
		t.Errorf("got %d reordered reads, want 2", got)
	}
}

// newFollowerCore returns a core that has read an empty state and does not lead.
func newFollowerCore() *Core {
	settings := Settings{Name: "n0", Incarnation: "b", Peers: []string{"n1"}, Ops: config.Defaults()}
	settings.Size, settings.Zones, settings.Teams = 2, []string{"a"}, []config.Team{{Name: "t"}}
	settings.State.RPS, settings.State.WriteRPS, settings.State.ValueKB, settings.State.TxnOps = 100, 100, 8, 12
	core := New(settings, second, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	core.Step(second, StateListed{Revision: 1})
	return core
}

// randomChanges returns the changes of up to six transactions after *revision in the order of
// kv.InOrder, and advances *revision.
func randomChanges(rng *rand.Rand, revision *uint64) []Change {
	var changes []Change
	for range 1 + rng.IntN(6) {
		*revision++
		id := string(rune('a' + rng.IntN(3)))
		put := func(key string, value any) {
			changes = append(changes, Change{Key: key, Value: encodeJSON(value), Revision: *revision})
		}
		remove := func(key string) { changes = append(changes, Change{Key: key, Revision: *revision, Removed: true}) }
		switch rng.IntN(7) {
		case 0, 1:
			put(jobPrefix+id, job(id))
		case 2:
			put(endPrefix+id, endCancelled)
			remove(jobPrefix + id)
		case 3:
			remove(jobPrefix + id)
		case 4:
			put(LeaderKey, leaderRecord{Name: "n1", Incarnation: "c", Token: *revision})
			put(tokenKey, tokenRecord{*revision})
		case 5:
			remove(LeaderKey)
		case 6:
			put(partitionsKey, map[string]uint64{"token": *revision})
		}
	}
	ordered, _ := kv.InOrder(changes)
	return ordered
}

// describeCache returns what a core knows of the stored state, and the changes that it would send to
// a follower after each revision.
func describeCache(core *Core) string {
	cache := core.cache
	text := fmt.Sprintf("applied %d, leader %+v at %d, token %+v at %d, keys %v\n", cache.appliedRevision, cache.leader, cache.leaderRevision, cache.token, cache.tokenRevision, cache.keyRevisions)
	for _, id := range sortedKeys(cache.jobs) {
		text += fmt.Sprintf("job %s at %d, outcome %q\n", id, cache.jobs[id].Revision, cache.jobs[id].Outcome())
	}
	for _, id := range []string{"a", "b", "c"} {
		end, known := cache.ends.Get(id)
		text += fmt.Sprintf("end %s: %+v %v\n", id, end, known)
	}
	for after := uint64(1); after < cache.appliedRevision; after++ {
		changes, ok := core.reader.recentChanges.Since(after)
		text += fmt.Sprintf("after %d: %v %v\n", after, changes, ok)
	}
	return text
}
