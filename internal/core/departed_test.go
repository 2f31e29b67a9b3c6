package core

import "testing"

// TestLateCopyOfReturnedMachine checks that a copy of a heartbeat that arrives after the machine
// was returned does not add the machine again to the sample by which the leader assesses its
// link to the workers.
func TestLateCopyOfReturnedMachine(t *testing.T) {
	for _, from := range []string{"", "n1"} {
		h := newLeaderHarness(t)
		h.heartbeat(h.token, 1, running(3))
		h.tick(second)
		h.step(ScaledIn{Names: []string{"m"}, FencingToken: h.token, OK: true})
		workers := &h.core.peers.connectivity.Workers
		if len(workers.Machines()) != 0 {
			t.Fatalf("sampled machines after the return: got %v, want none", workers.Machines())
		}
		h.step(HeartbeatReceived{RequestID: 1, From: from, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: 1, Seq: h.seq + 1, FencingToken: h.token}})
		if machines := workers.Machines(); len(machines) != 0 {
			t.Errorf("sampled machines after a late copy from %q: got %v, want none", from, machines)
		}
	}
}
