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
	reportVersion := func(h *harness, peer string, version int) {
		h.step(PeerPinged{Peer: peer, SentAt: h.now, OK: true, Status: PeerStatus{Version: version}})
	}
	advertise := func(h *harness, peer string) {
		h.store(memberPrefix+peer, upgrade.Advertisement{Format: 2, Incarnation: "x"})
		h.readState(StateRead{AfterRevision: h.core.cache.appliedRevision, Immediate: true})
	}
	cases := []struct {
		name string
		do   func(h *harness)
		want bool
	}{
		{"no peer known", func(*harness) {}, false},
		{"one of two peers advertises it", func(h *harness) { advertise(h, "n1") }, false},
		{"both peers advertise it", func(h *harness) { advertise(h, "n1"); advertise(h, "n2") }, true},
		{"both peers advertise it, one does not answer pings", func(h *harness) {
			advertise(h, "n1")
			advertise(h, "n2")
			h.step(PeerPinged{Peer: "n2", SentAt: h.now})
		}, true},
		{"one peer reports an old version after its advertisement", func(h *harness) {
			advertise(h, "n1")
			h.now += 1000
			reportVersion(h, "n1", 0)
			advertise(h, "n2")
		}, false},
		{"one peer reported an old version before its advertisement", func(h *harness) {
			reportVersion(h, "n1", 0)
			h.now += 1000
			advertise(h, "n1")
			advertise(h, "n2")
		}, true},
		{"peers report it without an advertisement", func(h *harness) { reportVersion(h, "n1", 2); reportVersion(h, "n2", 2) }, false},
		{"one peer's lease expires before the format is written", func(h *harness) {
			advertise(h, "n1")
			h.keys[memberPrefix+"n1"] = Change{Key: memberPrefix + "n1", Revision: 999} // the state cache lacks this
			advertise(h, "n2")
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, nil)
			settings := h.core.settings
			settings.Peers, settings.Size = []string{"n1", "n2"}, 3
			kb := 2.0
			settings.State.Next = &config.UpcomingStateLimits{ValueKB: &kb}
			startCore := func() {
				h.core = New(settings, h.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
				h.listState()
			}
			startCore()
			h.advance(2 * second)
			if h.core.elector.leadership == nil || h.core.membership.activation.Advertisements()["n0"].Format != 2 {
				t.Fatalf("got leader %v and own advertisement %+v, want leader with format 2",
					h.core.elector.leadership != nil, h.core.membership.activation.Advertisements()["n0"])
			}
			tc.do(h)
			h.advance(3 * second)
			if _, stored := h.keys[formatKey]; stored != tc.want || h.core.membership.logEnabled() != tc.want {
				t.Fatalf("got format stored %v and active %v, want both %v", stored, h.core.membership.logEnabled(), tc.want)
			}
			startCore() // a restarted controller reads the stored format
			h.advance(100_000)
			if h.core.membership.logEnabled() != tc.want || tc.want && (h.core.membership.chunkTasks != 64 || h.core.membership.format.Tasks != 64) {
				t.Errorf("after a restart: got format %+v and %d tasks per chunk, want newer format %v, then with 64 tasks per chunk",
					h.core.membership.format, h.core.membership.chunkTasks, tc.want)
			}
		})
	}
}

// TestChunkKeys checks that chunk keys of both formats are written as expected and parsed back.
func TestChunkKeys(t *testing.T) {
	for key, ref := range map[string]jobstate.ChunkRef{"run/req-1/7": {ChunkSize: jobstate.DefaultChunkSize, Index: 7}, "run/req-1/64-7": {ChunkSize: 64, Index: 7}, "run/a-1/1-390": {ChunkSize: 1, Index: 390}} {
		id := key[len("run/"):]
		for i := range id {
			if id[i] == '/' {
				id = id[:i]
				break
			}
		}
		if got := chunkKey(id, ref); got != Prefix+key {
			t.Errorf("chunkKey(%q, %+v): got %s, want %s", id, ref, got, Prefix+key)
		}
		if gotID, got, err := parseChunkKey((Prefix + key)[len(runPrefix):]); err != nil || got != ref || gotID != id {
			t.Errorf("parseChunkKey of %s: got %s, %+v, error %v, want %s, %+v", key, gotID, got, err, id, ref)
		}
	}
}
