package core

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// leaderHarness is the core of the leader of a cluster with one controller, with a simulated state
// service.
type leaderHarness struct {
	t           *testing.T
	core        *Core
	now         int64
	revision    uint64
	token       uint64
	lease       uint64
	stateSilent bool // the state service does not answer
	replies     []Reply
	seq         uint64
}

// newLeaderHarness starts a leader that reads job j with task 0 placed on machine m.
func newLeaderHarness(t *testing.T) *leaderHarness {
	t.Helper()
	return newLeaderHarnessWithOutcome(t, "")
}

// newLeaderHarnessWithOutcome is like newLeaderHarness, with the given stored outcome of the job,
// which is empty for an unfinished job.
func newLeaderHarnessWithOutcome(t *testing.T, outcome string) *leaderHarness {
	t.Helper()
	settings := Settings{Name: "n0", Incarnation: "b", Ops: config.Defaults()}
	settings.Size, settings.Zones, settings.Teams = 1, []string{"a"}, []config.Team{{Name: "t"}}
	settings.Workers.ReportS, settings.Workers.LeaseS, settings.Workers.CancelS = 2, 16, 36
	settings.State.RPS, settings.State.WriteRPS, settings.State.ValueKB, settings.State.TxnOps = 100, 100, 8, 12
	settings.Cloud.RPS = 1
	h := &leaderHarness{t: t, now: second, revision: 10, token: 5}
	h.core = New(settings, h.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	j := jobstate.NewJob(&jobstate.Spec{ID: "j", Team: "t", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{CPU: 1000}, Estimate: 100 * second})
	j.PlaceTask(0, "m", 3, 1)
	chunk, _ := j.BeginChunkWrite(0, 0)
	types := []fleet.Type{{Name: "c", Cap: jobstate.Resources{CPU: 1000, Mem: 1000}, Zones: []string{"a"}}}
	h.step(StateListed{Revision: 10, Changes: []Change{
		{Key: jobPrefix + "j", Value: encodeJSON(jobstate.Record{Spec: j.Spec, Outcome: outcome}), Revision: 1},
		{Key: chunkKey("j", jobstate.ChunkRef{ChunkSize: jobstate.DefaultChunkSize}), Value: chunk, Revision: 2},
		{Key: tokenKey, Value: encodeJSON(tokenRecord{h.token}), Revision: 3},
		{Key: typesKey, Value: encodeJSON(types), Revision: 4},
	}})
	for i := 0; h.core.elector.leadership == nil; i++ {
		if i > 100 {
			t.Fatalf("got no leadership within %d ticks, want one", i)
		}
		h.tick(100_000)
	}
	h.token++
	return h
}

func (h *leaderHarness) tick(duration int64) {
	h.now += duration
	h.step(Tick{})
}

// step sends the core a message and answers the effects at once.
func (h *leaderHarness) step(msg any) {
	for _, effect := range h.core.Step(h.now, msg) {
		switch e := effect.(type) {
		case Reply:
			h.replies = append(h.replies, e)
		case GrantLease:
			h.lease = 9
			h.step(LeaseGranted{Lease: 9, SentAt: h.now})
		case RenewLease:
			if !h.stateSilent {
				h.step(LeaseRenewed{Lease: e.Lease, SentAt: h.now})
			} else {
				h.step(LeaseRenewed{Lease: e.Lease, SentAt: h.now, Err: fmt.Errorf("no answer")})
			}
		case CommitTransaction:
			if h.stateSilent {
				h.step(TransactionResult{ID: e.ID})
				continue
			}
			h.revision++
			h.step(TransactionResult{ID: e.ID, Outcome: kv.Committed, Revision: h.revision})
			var changes []Change
			for _, write := range e.Writes {
				if write.Key == LeaderKey || write.Key == tokenKey {
					changes = append(changes, Change{Key: write.Key, Value: write.Value, Revision: h.revision})
				}
			}
			h.step(StateRead{AfterRevision: h.revision - 1, Revision: h.revision, SentAt: h.now, Changes: changes})
		case ReadState:
			if !h.stateSilent {
				h.step(StateRead{AfterRevision: e.AfterRevision, Revision: e.AfterRevision, SentAt: h.now, Immediate: true, ForRequests: e.ForRequests})
			}
		}
	}
}

// heartbeat sends the next heartbeat of machine m, and returns the status of the answer and the
// commands in it as text.
func (h *leaderHarness) heartbeat(token uint64, epoch uint64, tasks ...TaskStatus) (ReplyCode, string) {
	h.seq++
	h.replies = nil
	h.step(HeartbeatReceived{RequestID: 1, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: epoch, Seq: h.seq, FencingToken: token, PreemptionNotice: NoPreemptionNotice, Tasks: tasks}})
	for i := 0; len(h.replies) == 0 && i < 100; i++ {
		h.tick(50_000) // the answer may be held back
	}
	if len(h.replies) == 0 {
		h.t.Fatal("got no answer to a heartbeat within 5 s, want one")
	}
	commands := ""
	for _, command := range h.replies[0].Commands {
		commands += fmt.Sprintf("%s %s.%d;", command.Kind, command.Task, command.Attempt)
	}
	return h.replies[0].Status, commands
}

// placed returns where task 0 is placed and as which attempt, or "over" if the job has ended.
func (h *leaderHarness) placed() string {
	j := h.core.cache.jobs["j"]
	if j == nil {
		return "over"
	}
	task := j.Task(0)
	return fmt.Sprintf("%s.%d", task.Machine, task.Attempt)
}

// running returns the status of the running task of job j.
func running(attempt uint64) TaskStatus {
	return TaskStatus{Name: "j/0", Attempt: attempt, State: TaskRunning}
}

// TestProofOfAbsence checks which evidence proves that a placed task is gone, after a failover
// with the task placed on machine m as attempt 3.
func TestProofOfAbsence(t *testing.T) {
	authorityTime := config.Micros(0)
	cases := []struct {
		name string
		do   func(h *leaderHarness)
		want string
	}{
		// The worker did not know the token when it sent the heartbeat, so it may still
		// accept an earlier leader's command from an answer in flight.
		{"stop requested, then absent in a heartbeat with an older token", func(h *leaderHarness) {
			h.core.tasks.requestStop(h.core.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			h.heartbeat(5, 1)
		}, "m.3"},
		{"stop requested, then absent in a heartbeat with the current token", func(h *leaderHarness) {
			h.core.tasks.requestStop(h.core.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			h.heartbeat(5, 1)
			h.heartbeat(h.token, 1)
			h.tick(second)
		}, "m.4"},
		{"reported, then absent in a heartbeat with an older token", func(h *leaderHarness) {
			h.heartbeat(5, 1, running(3))
			h.heartbeat(5, 1)
		}, "m.3"},
		{"no heartbeat for less than authority time plus worker lease", func(h *leaderHarness) { h.tick(authorityTime + 15*second) }, "m.3"},
		{"no heartbeat for more than authority time plus worker lease", func(h *leaderHarness) { h.tick(authorityTime + 18*second) }, ".3"},
		{"absent in a heartbeat with an older token: start command is repeated", func(h *leaderHarness) {
			if _, commands := h.heartbeat(5, 1); commands != "start j/0.3;" {
				h.t.Errorf("absent with an older token: got commands %q, want %q", commands, "start j/0.3;")
			}
		}, "m.3"},
		{"absent again after a lost start command: start command is repeated", func(h *leaderHarness) {
			h.heartbeat(5, 1)
			if _, commands := h.heartbeat(h.token, 1); commands != "start j/0.3;" {
				h.t.Errorf("absent with the current token: got commands %q, want %q", commands, "start j/0.3;")
			}
		}, "m.3"},
		{"reported, then absent in a new worker epoch: placed again", func(h *leaderHarness) {
			h.heartbeat(5, 1, running(3))
			h.seq = 0
			h.heartbeat(h.token, 2)
			h.tick(second)
		}, "m.4"},
		{"an older heartbeat is refused and proves nothing", func(h *leaderHarness) {
			h.heartbeat(5, 1, running(3))
			h.seq--
			if status, _ := h.heartbeat(h.token, 1); status != 503 {
				h.t.Errorf("older heartbeat: got status %d, want 503", status)
			}
		}, "m.3"},
		{"an exit is proof, and forgotten by the worker only once it is stored", func(h *leaderHarness) {
			h.heartbeat(5, 1, running(3))
			h.stateSilent = true
			if _, commands := h.heartbeat(h.token, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitStopped}); commands != "" {
				h.t.Errorf("got commands %q before the exit is stored, want none", commands)
			}
		}, "m.4"}, // the task is placed again, and the new placement is not stored either
		{"another attempt is stopped and proves nothing", func(h *leaderHarness) {
			if _, commands := h.heartbeat(5, 1, running(2)); commands != "stop j/0.2;start j/0.3;" {
				h.t.Errorf("another attempt running: got commands %q, want %q", commands, "stop j/0.2;start j/0.3;")
			}
		}, "m.3"},
		{"successful scale-in", func(h *leaderHarness) { h.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: h.token}) }, ".3"},
		{"scale-in without an answer", func(h *leaderHarness) { h.step(ScaledIn{Names: []string{"m"}, FencingToken: h.token}) }, "m.3"},
		{"successful scale-in of an earlier term", func(h *leaderHarness) { h.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: h.token - 2}) }, ".3"},
		{"scale-in of an earlier term without an answer", func(h *leaderHarness) { h.step(ScaledIn{Names: []string{"m"}, FencingToken: h.token - 2}) }, "m.3"},
		{"done task ends its job", func(h *leaderHarness) {
			h.heartbeat(5, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitDone})
			h.tick(second)
		}, "over"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			authorityTime = h.core.settings.LeaderAuthorityTime()
			tc.do(h)
			if got := h.placed(); got != tc.want {
				t.Errorf("got task placed as %s, want %s", got, tc.want)
			}
		})
	}
}

// TestCancelledEarlier checks that a new leader stops the running task of a job that was
// cancelled under an earlier leader, and then removes the job's keys.
func TestCancelledEarlier(t *testing.T) {
	h := newLeaderHarnessWithOutcome(t, jobstate.Cancelled)
	if _, commands := h.heartbeat(5, 1, running(3)); commands != "stop j/0.3;" {
		t.Errorf("got commands %q for the cancelled job's task, want %q", commands, "stop j/0.3;")
	}
	h.heartbeat(h.token, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitStopped})
	h.tick(second)
	if got := h.placed(); got != "over" {
		t.Errorf("after the task stopped: got task placed as %s, want over", got)
	}
}

// TestLeaderAuthorityTime checks that a leader without answers from the state service starts no
// new attempt after its lease and answers no worker after its authority time. A successor may
// therefore assume that tasks have stopped after the authority time plus a worker lease.
func TestLeaderAuthorityTime(t *testing.T) {
	h := newLeaderHarness(t)
	h.heartbeat(5, 1, running(3))
	h.stateSilent = true
	start := h.core.elector.leadership.authorityProvenAt()
	for h.now-start < h.core.settings.LeaderAuthorityTime()-second {
		if status, _ := h.heartbeat(h.token, 1, running(3)); status != 200 {
			t.Fatalf("got status %d for a heartbeat after %d ms of authority time, want 200", status, (h.now-start)/1000)
		}
		h.tick(second / 2)
	}
	if h.core.elector.mayStartTasks() {
		t.Error("got attempts allowed after the lease expired, want none")
	}
	h.tick(2 * second)
	if status, _ := h.heartbeat(h.token, 1, running(3)); status != 503 {
		t.Errorf("got status %d for a heartbeat after the authority time, want 503", status)
	}
	if cancel := config.MicrosOf(h.core.settings.Workers.CancelS); h.core.settings.LeaderAuthorityTime()+h.core.settings.EpochTimeout() >= cancel {
		t.Errorf("got authority time %d us plus epoch timeout %d us, want less than cancel_s, %d us",
			h.core.settings.LeaderAuthorityTime(), h.core.settings.EpochTimeout(), cancel)
	}
}

// TestNewerFencingToken checks that the status of a peer which knows a newer fencing token ends the
// term at once. The status of a peer which knows no newer one proves the leader's authority only if
// it contains a complete read lease.
func TestNewerFencingToken(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.settings.Peers = []string{"n1"}
	h.core.elector.leadership.readLeases = readlease.NewHolder(h.core.settings.Peers, h.core.settings.LeaderAuthorityTime())
	h.stateSilent = true
	h.tick(5 * second)
	before := h.core.elector.leadership.authorityProvenAt()
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{FencingToken: h.token, Leader: "n0"}})
	if h.core.elector.leadership == nil || h.core.elector.leadership.authorityProvenAt() != before {
		t.Errorf("after the status of a peer without read leases: got leader %v, want leader with authority still proven at %d us",
			h.core.elector.leadership != nil, before)
	}
	h.step(PeerPinged{Peer: "n1", SentAt: h.now + 1, OK: true, Status: PeerStatus{FencingToken: h.token, Leader: "n0", ReadLease: &readlease.CancellationPage{Incarnation: "x", UpTo: 1, Complete: true, Cancelled: []string{"j"}}}})
	if h.core.cache.jobs["j"].Outcome() != jobstate.Cancelled {
		t.Errorf("after a peer's cancellation: got outcome %q of job j, want %q", h.core.cache.jobs["j"].Outcome(), jobstate.Cancelled)
	}
	if h.core.elector.leadership.authorityProvenAt() != h.now+1 {
		t.Errorf("after a read lease: got authority proven at %d us, want %d us, when the read lease was requested", h.core.elector.leadership.authorityProvenAt(), h.now+1)
	}
	h.step(PeerPinged{Peer: "n1", SentAt: h.now + 2, OK: true, Status: PeerStatus{FencingToken: h.token + 1, Leader: "n1"}})
	if h.core.elector.leadership != nil {
		t.Error("after the status of a peer with a newer fencing token: got leader, want follower")
	}
}
