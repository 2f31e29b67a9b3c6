package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// TestAdvertisementIsStoredAgain checks that a controller which was cut off from the state
// service stores its connectivity advertisement again when a list of the state shows that its
// lease has expired and the advertisement is gone. Otherwise the other controllers do not know
// which machines and controllers it reaches, and no leader hands over to it.
//
// It guards against a controller that notices the loss only if the watch reports the removal of the
// key: a list of the state contains no removals. Such a controller stored its advertisement again
// only when the contents changed. TestReachAfterPartition (package experiment) showed this with
// seeds 3, 6 and 17 and the leader cut off from the state service and the other controllers: for
// 100 s node-0 reported that all controllers reach each other, while the connectivity matrix of the
// other controllers had no row for node-0.
func TestAdvertisementIsStoredAgain(t *testing.T) {
	h := newPeerHarness(t, "n1")
	h.advance(5 * second)
	if h.core.peers.connectivityRevisions["n0"] == 0 {
		t.Fatal("before the loss: got no stored advertisement of n0, want one")
	}
	h.revision++
	h.step(StateListed{Revision: h.revision, Changes: []Change{
		{Key: tokenKey, Value: encodeJSON(tokenRecord{5}), Revision: 3},
		{Key: formatKey, Value: encodeJSON(formatRecord{2, 64}), Revision: 4},
		{Key: featuresKey, Value: encodeJSON(featuresRecord{[]upgrade.StoredFeature{{Name: upgrade.Connectivity}}}), Revision: 5},
		{Key: LeaderKey, Value: encodeJSON(leaderRecord{Name: "n1", Incarnation: "x", Token: 5, Lease: 8}), Revision: 6},
	}})
	h.advance(20 * second)
	if h.core.peers.connectivityRevisions["n0"] == 0 {
		t.Error("20 s after the loss: got no stored advertisement of n0, want it stored again")
	}
}
