package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestHeartbeatWhileStartIsWritten checks that the answer to a heartbeat is held while a task
// start for the machine is being written, because starts are sent in answers and the next
// heartbeat is an interval away. If the write takes long, the answer is sent without the start.
//
// It guards against holding answers only for machines without placements. A placement counts as
// soon as it is planned, so the heartbeat was answered immediately without commands, and the
// start was sent only in the answer to the next heartbeat. This was seen in the case of
// TestTroubles "renewals and dropped leases are executed late and the leader is refused, and then
// all": the heartbeat of host-000002 at 82.535 s was answered without commands, although its three
// placements were stored at 82.754 s. The answer to the next heartbeat, at 85.474 s, contained
// the last start of a gang of four, whose other tasks had received theirs at 82.755 s.
func TestHeartbeatWhileStartIsWritten(t *testing.T) {
	const reportInterval = 2 * second
	cases := []struct {
		name          string
		writeTime     int64 // duration of the write, in microseconds
		wantStart     bool
		maxAnswerTime int64
	}{
		{"short write", 100_000, true, 200_000},
		{"long write", reportInterval, false, reportInterval / 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			h.heartbeat(h.token, 1, running(3))
			commits := &h.core.elector.leadership.commits
			commits.inFlight = true
			h.placeUnstored("k", "m")
			h.seq++
			h.replies = nil
			h.step(HeartbeatReceived{RequestID: 1, Heartbeat: Heartbeat{
				Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: 1, Seq: h.seq,
				FencingToken: h.token, PreemptionNotice: NoPreemptionNotice, Tasks: []TaskStatus{running(3)},
			}})
			sentAt := h.now
			for len(h.replies) == 0 && h.now < sentAt+reportInterval {
				if h.now-sentAt >= tc.writeTime {
					commits.inFlight = false
				}
				h.tick(tickInterval)
			}
			if len(h.replies) != 1 || h.now-sentAt > tc.maxAnswerTime {
				t.Fatalf("answers: got %d after %d us, want 1 within %d us", len(h.replies), h.now-sentAt, tc.maxAnswerTime)
			}
			commands := h.replies[0].Commands
			if started := len(commands) == 1 && commands[0].Task == "k/0"; started != tc.wantStart {
				t.Errorf("start of k/0 sent: got %v, want %v; commands %+v", started, tc.wantStart, commands)
			}
		})
	}
}

// placeUnstored places the task of a new job on a machine, as a planning round does; the
// placement is not stored yet.
func (h *leaderHarness) placeUnstored(id, machine string) {
	spec := &jobstate.Spec{ID: id, Team: "t", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{CPU: 1000}, Estimate: 100 * second}
	placed := jobstate.NewJob(spec)
	h.core.cache.jobs[id] = placed
	placed.PlaceTask(0, machine, placed.NextAttempt(), h.now)
	h.core.elector.leadership.fleet.Get(machine).AddPlacement(fleet.TaskRef{Job: placed, Index: 0})
	h.core.committer.markDirty(placed)
}
