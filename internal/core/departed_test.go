package core

import "testing"

// TestLateCopyOfReturnedMachine checks that a copy of a heartbeat that arrives after its machine was
// returned does not add the machine again to the sample by which the leader assesses its link to the
// workers.
func TestLateCopyOfReturnedMachine(t *testing.T) {
	for _, from := range []string{"", "n1"} {
		r := newLeaderHarness(t)
		r.heartbeat(r.token, 1, running(3))
		r.tick(second)
		r.step(ScaledIn{Names: []string{"m"}, FencingToken: r.token, OK: true})
		workers := &r.c.peers.connectivity.Workers
		if len(workers.Machines()) != 0 {
			t.Fatalf("sampled machines after the return: got %v, want none", workers.Machines())
		}
		r.step(HeartbeatReceived{RequestID: 1, From: from, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: 1, Seq: r.seq + 1, FencingToken: r.token}})
		if machines := workers.Machines(); len(machines) != 0 {
			t.Errorf("sampled machines after a late copy from %q: got %v, want none", from, machines)
		}
	}
}
