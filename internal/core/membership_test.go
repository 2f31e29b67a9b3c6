package core

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// TestFormatActivation checks which evidence proves that all controllers support the newer
// format. The format is never lowered again, so a controller that does not support it must not
// be overlooked.
func TestFormatActivation(t *testing.T) {
	reportVersion := func(s *harness, peer string, version int) {
		s.step(PeerPinged{Peer: peer, SentAt: s.now, OK: true, Status: PeerStatus{Version: version}})
	}
	advertise := func(s *harness, peer string) {
		s.store(memberPrefix+peer, upgrade.Advertisement{Format: 2, Incarnation: "x"})
		s.readState(StateRead{AfterRevision: s.core.cache.appliedRevision, Immediate: true})
	}
	cases := []struct {
		name string
		do   func(s *harness)
		want bool
	}{
		{"no peer known", func(*harness) {}, false},
		{"one of two peers advertises it", func(s *harness) { advertise(s, "n1") }, false},
		{"both peers advertise it", func(s *harness) { advertise(s, "n1"); advertise(s, "n2") }, true},
		{"both peers advertise it, one does not answer pings", func(s *harness) {
			advertise(s, "n1")
			advertise(s, "n2")
			s.step(PeerPinged{Peer: "n2", SentAt: s.now})
		}, true},
		{"one peer reports an old version after its advertisement", func(s *harness) {
			advertise(s, "n1")
			s.now += 1000
			reportVersion(s, "n1", 0)
			advertise(s, "n2")
		}, false},
		{"one peer reported an old version before its advertisement", func(s *harness) {
			reportVersion(s, "n1", 0)
			s.now += 1000
			advertise(s, "n1")
			advertise(s, "n2")
		}, true},
		{"peers report it without an advertisement", func(s *harness) { reportVersion(s, "n1", 2); reportVersion(s, "n2", 2) }, false},
		{"one peer's lease expires before the format is written", func(s *harness) {
			advertise(s, "n1")
			s.keys[memberPrefix+"n1"] = Change{Key: memberPrefix + "n1", Revision: 999} // the state cache lacks this
			advertise(s, "n2")
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
				t.Fatalf("got leader %v and own advertisement %+v, want leader with format 2",
					s.core.elector.leadership != nil, s.core.membership.activation.Advertisements()["n0"])
			}
			tc.do(s)
			s.advance(3 * second)
			if _, stored := s.keys[formatKey]; stored != tc.want || s.core.membership.logEnabled() != tc.want {
				t.Fatalf("got format stored %v and active %v, want both %v", stored, s.core.membership.logEnabled(), tc.want)
			}
			begin() // a restarted controller reads the stored format
			s.advance(100_000)
			if s.core.membership.logEnabled() != tc.want || tc.want && (s.core.membership.chunkTasks != 64 || s.core.membership.format.Tasks != 64) {
				t.Errorf("after a restart: got format %+v and %d tasks per chunk, want newer format %v, then with 64 tasks per chunk",
					s.core.membership.format, s.core.membership.chunkTasks, tc.want)
			}
		})
	}
}

// TestChunkKeys checks that chunk keys of both formats are written as expected and parsed back.
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
			t.Errorf("chunkKey(%q, %+v): got %s, want %s", id, v, got, Prefix+key)
		}
		if gotID, got, err := parseChunkKey((Prefix + key)[len(runPrefix):]); err != nil || got != v || gotID != id {
			t.Errorf("parseChunkKey of %s: got %s, %+v, error %v, want %s, %+v", key, gotID, got, err, id, v)
		}
	}
}
