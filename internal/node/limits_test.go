package node

import "testing"

// TestSocketLimit checks that a controller can't open more sockets at once than it is
// allowed, in deployments of up to 40 controllers.
func TestSocketLimit(t *testing.T) {
	const (
		cloudConns = 6
		probes     = 80 // machines probed within a second
		process    = 16 // listeners, pollers, standard streams
	)
	for _, sockets := range []int{1500, 3500, 4000, 10_000} {
		for _, peers := range []int{0, 2, 11, 39} {
			n := maxUserConns(sockets) + maxCommandCalls(sockets) + stateConns + watchConns + cloudConns + maxPeerConns(peers) + peers + probes + process
			if n > sockets {
				t.Errorf("limit of %d sockets with %d peers: got up to %d open sockets, want at most %d", sockets, peers, n, sockets)
			}
		}
	}
}

// TestScaledLimits checks that the inbox size and the number of connections from peers
// grow with the settings and never fall below their minimum values.
func TestScaledLimits(t *testing.T) {
	cases := []struct{ sockets, inbox int }{{32, 4096}, {1000, 4096}, {1500, 6000}, {4000, 16_000}, {1_000_000, 65_536}}
	for _, tc := range cases {
		if got := inboxSize(tc.sockets); got != tc.inbox {
			t.Errorf("%d sockets: got inbox size %d, want %d", tc.sockets, got, tc.inbox)
		}
	}
	if few, many := maxPeerConns(11), maxPeerConns(39); few != 32 || many < 39 {
		t.Errorf("got at most %d connections for 11 peers and %d for 39, want 32 and at least 39", few, many)
	}
}
