package node

import "testing"

// TestSockets: what a controller may open at once stays within its sockets, in
// deployments of up to 40 controllers.
func TestSockets(t *testing.T) {
	const (
		cloudConns = 6
		probes     = 80 // machines probed within a second
		process    = 16 // listeners, pollers, standard streams
	)
	for _, sockets := range []int{1500, 3500, 4000, 10_000} {
		for _, peers := range []int{0, 2, 11, 39} {
			n := maxUserConns(sockets) + maxCommandCalls(sockets) + stateConns + watchConns + cloudConns + maxPeerConns(peers) + peers + probes + process
			if n > sockets {
				t.Errorf("%d sockets and %d peers: up to %d are opened", sockets, peers, n)
			}
		}
	}
}

// TestBounds: bounds that follow the settings, and never fall below what they were when
// fixed.
func TestBounds(t *testing.T) {
	cases := []struct{ sockets, inbox int }{{32, 4096}, {1000, 4096}, {1500, 6000}, {4000, 16_000}, {1_000_000, 65_536}}
	for _, tc := range cases {
		if got := inboxSize(tc.sockets); got != tc.inbox {
			t.Errorf("%d sockets: an inbox of %d, want %d", tc.sockets, got, tc.inbox)
		}
	}
	if few, many := maxPeerConns(11), maxPeerConns(39); few != 32 || many < 39 {
		t.Errorf("%d connections for 11 peers, %d for 39", few, many)
	}
}
