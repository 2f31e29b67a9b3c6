package core

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
)

// TestIncarnation checks that a controller which restarts before its lease has expired, and
// thus finds the leadership key of its earlier incarnation, does not lead because of that key,
// even if its new lease has the same ID. It revokes the old lease, and leads with a new
// fencing token once the old key is gone.
func TestIncarnation(t *testing.T) {
	settings := Settings{Name: "n0", Incarnation: "new", Ops: config.Defaults()}
	settings.Size, settings.Zones, settings.Teams = 1, []string{"a"}, []config.Team{{Name: "t"}}
	settings.Workers.ReportS, settings.Workers.LeaseS, settings.Workers.CancelS = 2, 16, 36
	settings.State.RPS, settings.State.WriteRPS, settings.State.ValueKB, settings.State.TxnOps = 100, 100, 8, 12
	settings.Cloud.RPS = 1
	h := &leaderHarness{t: t, now: second, revision: 10, token: 5, lease: 9}
	h.core = New(settings, h.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	h.core.elector.candidacy.lease, h.core.elector.candidacy.leaseProvenAt = 9, h.now
	h.step(StateListed{Revision: 10, Changes: []Change{
		{Key: LeaderKey, Value: encodeJSON(leaderRecord{Name: "n0", Incarnation: "old", Token: 5, Lease: 9}), Revision: 4},
		{Key: tokenKey, Value: encodeJSON(tokenRecord{5}), Revision: 3},
	}})
	h.step(StateRead{AfterRevision: 10, Revision: 10})
	if h.core.elector.leadership != nil {
		t.Fatal("got leader because of the earlier incarnation's key, want follower")
	}
	revoked := false
	for range 30 {
		h.now += 100_000
		for _, e := range h.core.Step(h.now, Tick{}) {
			if revocation, ok := e.(RevokeLease); ok && revocation.Lease == 9 {
				revoked = true
			}
		}
		if h.core.elector.leadership != nil {
			t.Fatal("got leader while the earlier incarnation's key exists, want follower")
		}
	}
	if !revoked {
		t.Error("got no revocation of the earlier incarnation's lease, want one")
	}
	h.revision++
	h.step(StateRead{AfterRevision: 10, Revision: h.revision, Changes: []Change{{Key: LeaderKey, Revision: h.revision, Removed: true}}})
	for i := 0; h.core.elector.leadership == nil && i < 100; i++ {
		h.tick(100_000)
	}
	if h.core.elector.leadership == nil || h.core.elector.leadership.fencingToken != 6 {
		t.Error("after the earlier incarnation's key was removed: got no leadership with fencing token 6, want one")
	}
}
