package core

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// TestFormatActivation: what does and what does not prove that all controllers support the
// newer format. It is raised for good, so one that does not must never be overlooked.
func TestFormatActivation(t *testing.T) {
	says := func(s *harness, peer string, version int) {
		s.step(PeerPinged{Peer: peer, SentAt: s.now, OK: true, Status: PeerStatus{Version: version}})
	}
	join := func(s *harness, peer string) {
		s.store(memberPrefix+peer, upgrade.Advertisement{Format: 2, Incarnation: "x"})
		s.readState(StateRead{AfterRevision: s.core.cache.appliedRevision, Immediate: true})
	}
	cases := []struct {
		name string
		do   func(s *harness)
		want bool
	}{
		{"nothing is known of the others", func(*harness) {}, false},
		{"one of two advertises it", func(s *harness) { join(s, "n1") }, false},
		{"both advertise it", func(s *harness) { join(s, "n1"); join(s, "n2") }, true},
		{"both advertise it, and one does not answer", func(s *harness) {
			join(s, "n1")
			join(s, "n2")
			s.step(PeerPinged{Peer: "n2", SentAt: s.now})
		}, true},
		{"one answers that it is old, though its advertisement is still there", func(s *harness) {
			join(s, "n1")
			s.now += 1000
			says(s, "n1", 0)
			join(s, "n2")
		}, false},
		{"one was old before it came back", func(s *harness) {
			says(s, "n1", 0)
			s.now += 1000
			join(s, "n1")
			join(s, "n2")
		}, true},
		{"answers alone are no advertisement", func(s *harness) { says(s, "n1", 2); says(s, "n2", 2) }, false},
		{"one's lease expires as the format is written", func(s *harness) {
			join(s, "n1")
			s.keys[memberPrefix+"n1"] = Change{Key: memberPrefix + "n1", Revision: 999} // not in the mirror yet
			join(s, "n2")
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newHarness(t, nil)
			set := s.core.settings
			set.Peers, set.Size = []string{"n1", "n2"}, 3
			kb := 2.0
			set.State.Next = &config.UpcomingStateLimits{ValueKB: &kb}
			begin := func() {
				s.core = New(set, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
				s.listState()
			}
			begin()
			s.advance(2 * second)
			if s.core.elector.leadership == nil || s.core.membership.activation.Advertisements()["n0"].Format != 2 {
				t.Fatal("does not lead, or does not advertise its version")
			}
			tc.do(s)
			s.advance(3 * second)
			if _, stored := s.keys[formatKey]; stored != tc.want || s.core.membership.logEnabled() != tc.want {
				t.Fatalf("stored %v, known %v", stored, s.core.membership.logEnabled())
			}
			begin() // a start finds it again
			s.advance(100_000)
			if s.core.membership.logEnabled() != tc.want || tc.want && (s.core.membership.chunkTasks != 64 || s.core.membership.format.Tasks != 64) {
				t.Errorf("after a restart: %+v, %d tasks a chunk", s.core.membership.format, s.core.membership.chunkTasks)
			}
		})
	}
}

// TestChunkKeys: keys of both formats are read as they are written.
func TestChunkKeys(t *testing.T) {
	for key, v := range map[string]jobstate.ChunkRef{"run/req-1/7": {ChunkSize: jobstate.DefaultChunkSize, Index: 7}, "run/req-1/64-7": {ChunkSize: 64, Index: 7}, "run/a-1/1-390": {ChunkSize: 1, Index: 390}} {
		id := key[len("run/"):]
		for i := range id {
			if id[i] == '/' {
				id = id[:i]
				break
			}
		}
		if got := chunkKey(id, v); got != Prefix+key {
			t.Errorf("%s, want %s", got, key)
		}
		if gotID, got, err := parseChunkKey((Prefix + key)[len(runPrefix):]); err != nil || got != v || gotID != id {
			t.Errorf("%s is read as %s %+v, %v", key, gotID, got, err)
		}
	}
}
