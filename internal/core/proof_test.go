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

// leaderHarness is the only core of a cluster, as its leader, with a simulated state service.
type leaderHarness struct {
	t           *testing.T
	c           *Core
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

// newLeaderHarnessWithOutcome is newLeaderHarness with the given stored outcome of the job, ""
// for a job that has not ended.
func newLeaderHarnessWithOutcome(t *testing.T, outcome string) *leaderHarness {
	t.Helper()
	set := Settings{Name: "n0", Incarnation: "b", Ops: config.Defaults()}
	set.Size, set.Zones, set.Teams = 1, []string{"a"}, []config.Team{{Name: "t"}}
	set.Workers.ReportS, set.Workers.LeaseS, set.Workers.CancelS = 2, 16, 36
	set.State.RPS, set.State.WriteRPS, set.State.ValueKB, set.State.TxnOps = 100, 100, 8, 12
	set.Cloud.RPS = 1
	r := &leaderHarness{t: t, now: second, revision: 10, token: 5}
	r.c = New(set, r.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	j := jobstate.NewJob(&jobstate.Spec{ID: "j", Team: "t", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{CPU: 1000}, Estimate: 100 * second})
	j.PlaceTask(0, "m", 3, 1)
	v, _ := j.BeginChunkWrite(0, 0)
	types := []fleet.Type{{Name: "c", Cap: jobstate.Resources{CPU: 1000, Mem: 1000}, Zones: []string{"a"}}}
	r.step(StateListed{Revision: 10, Changes: []Change{
		{Key: jobPrefix + "j", Value: encodeJSON(jobstate.Record{Spec: j.Spec, Outcome: outcome}), Revision: 1},
		{Key: chunkKey("j", jobstate.ChunkRef{ChunkSize: jobstate.DefaultChunkSize}), Value: v, Revision: 2},
		{Key: tokenKey, Value: encodeJSON(tokenRecord{r.token}), Revision: 3},
		{Key: typesKey, Value: encodeJSON(types), Revision: 4},
	}})
	for i := 0; r.c.elector.leadership == nil; i++ {
		if i > 100 {
			t.Fatalf("got no leadership within %d ticks, want one", i)
		}
		r.tick(100_000)
	}
	r.token++
	return r
}

func (r *leaderHarness) tick(d int64) {
	r.now += d
	r.step(Tick{})
}

// step sends the core a message and answers the effects at once.
func (r *leaderHarness) step(msg any) {
	for _, e := range r.c.Step(r.now, msg) {
		switch e := e.(type) {
		case Reply:
			r.replies = append(r.replies, e)
		case GrantLease:
			r.lease = 9
			r.step(LeaseGranted{Lease: 9, SentAt: r.now})
		case RenewLease:
			if !r.stateSilent {
				r.step(LeaseRenewed{Lease: e.Lease, SentAt: r.now})
			} else {
				r.step(LeaseRenewed{Lease: e.Lease, SentAt: r.now, Err: fmt.Errorf("no answer")})
			}
		case CommitTransaction:
			if r.stateSilent {
				r.step(TransactionResult{ID: e.ID})
				continue
			}
			r.revision++
			r.step(TransactionResult{ID: e.ID, Outcome: kv.Committed, Revision: r.revision})
			var news []Change
			for _, w := range e.Writes {
				if w.Key == LeaderKey || w.Key == tokenKey {
					news = append(news, Change{Key: w.Key, Value: w.Value, Revision: r.revision})
				}
			}
			r.step(StateRead{AfterRevision: r.revision - 1, Revision: r.revision, SentAt: r.now, Changes: news})
		case ReadState:
			if !r.stateSilent {
				r.step(StateRead{AfterRevision: e.AfterRevision, Revision: e.AfterRevision, SentAt: r.now, Immediate: true, ForRequests: e.ForRequests})
			}
		}
	}
}

// heartbeat sends a heartbeat, and returns the commands in its answer as text.
func (r *leaderHarness) heartbeat(token uint64, epoch uint64, tasks ...TaskStatus) (ReplyCode, string) {
	r.seq++
	r.replies = nil
	r.step(HeartbeatReceived{RequestID: 1, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: epoch, Seq: r.seq, FencingToken: token, PreemptionNotice: NoPreemptionNotice, Tasks: tasks}})
	for i := 0; len(r.replies) == 0 && i < 100; i++ {
		r.tick(50_000) // the answer may be held back
	}
	if len(r.replies) == 0 {
		r.t.Fatal("got no answer to a heartbeat within 5 s, want one")
	}
	s := ""
	for _, o := range r.replies[0].Commands {
		s += fmt.Sprintf("%s %s.%d;", o.Kind, o.Task, o.Attempt)
	}
	return r.replies[0].Status, s
}

// placed returns where task 0 is placed and as which attempt, or "over" if the job has ended.
func (r *leaderHarness) placed() string {
	j := r.c.cache.jobs["j"]
	if j == nil {
		return "over"
	}
	t := j.Task(0)
	return fmt.Sprintf("%s.%d", t.Machine, t.Attempt)
}

func running(attempt uint64) TaskStatus {
	return TaskStatus{Name: "j/0", Attempt: attempt, State: TaskRunning}
}

// TestProofOfAbsence checks which evidence proves that a placed task is gone, after a failover
// with the task placed on machine m as attempt 3.
func TestProofOfAbsence(t *testing.T) {
	authorityTime := config.Micros(0)
	cases := []struct {
		name string
		do   func(r *leaderHarness)
		want string
	}{
		// The worker did not know the token when it sent the heartbeat, so it may still
		// accept an earlier leader's command from an answer in flight.
		{"stop requested, then absent in a heartbeat with an older token", func(r *leaderHarness) {
			r.c.tasks.requestStop(r.c.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			r.heartbeat(5, 1)
		}, "m.3"},
		{"stop requested, then absent in a heartbeat with the current token", func(r *leaderHarness) {
			r.c.tasks.requestStop(r.c.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			r.heartbeat(5, 1)
			r.heartbeat(r.token, 1)
			r.tick(second)
		}, "m.4"},
		{"reported, then absent in a heartbeat with an older token", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.heartbeat(5, 1)
		}, "m.3"},
		{"no heartbeat for less than authority time plus worker lease", func(r *leaderHarness) { r.tick(authorityTime + 15*second) }, "m.3"},
		{"no heartbeat for more than authority time plus worker lease", func(r *leaderHarness) { r.tick(authorityTime + 18*second) }, ".3"},
		{"absent in a heartbeat with an older token: start command is repeated", func(r *leaderHarness) {
			if _, o := r.heartbeat(5, 1); o != "start j/0.3;" {
				r.t.Errorf("absent with an older token: got commands %q, want %q", o, "start j/0.3;")
			}
		}, "m.3"},
		{"absent again after a lost start command: start command is repeated", func(r *leaderHarness) {
			r.heartbeat(5, 1)
			if _, o := r.heartbeat(r.token, 1); o != "start j/0.3;" {
				r.t.Errorf("absent with the current token: got commands %q, want %q", o, "start j/0.3;")
			}
		}, "m.3"},
		{"reported, then absent in a new worker epoch: placed again", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.seq = 0
			r.heartbeat(r.token, 2)
			r.tick(second)
		}, "m.4"},
		{"an older heartbeat is refused and proves nothing", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.seq--
			if s, _ := r.heartbeat(r.token, 1); s != 503 {
				r.t.Errorf("older heartbeat: got status %d, want 503", s)
			}
		}, "m.3"},
		{"an exit is proof, and forgotten by the worker only once it is stored", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.stateSilent = true
			if _, o := r.heartbeat(r.token, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitStopped}); o != "" {
				r.t.Errorf("got commands %q before the exit is stored, want none", o)
			}
		}, "m.4"}, // planned again, which is not stored either
		{"another attempt is stopped and proves nothing", func(r *leaderHarness) {
			if _, o := r.heartbeat(5, 1, running(2)); o != "stop j/0.2;start j/0.3;" {
				r.t.Errorf("another attempt running: got commands %q, want %q", o, "stop j/0.2;start j/0.3;")
			}
		}, "m.3"},
		{"successful scale-in", func(r *leaderHarness) { r.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: r.token}) }, ".3"},
		{"scale-in without an answer", func(r *leaderHarness) { r.step(ScaledIn{Names: []string{"m"}, FencingToken: r.token}) }, "m.3"},
		{"successful scale-in of an earlier term", func(r *leaderHarness) { r.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: r.token - 2}) }, ".3"},
		{"scale-in of an earlier term without an answer", func(r *leaderHarness) { r.step(ScaledIn{Names: []string{"m"}, FencingToken: r.token - 2}) }, "m.3"},
		{"done task ends its job", func(r *leaderHarness) {
			r.heartbeat(5, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitDone})
			r.tick(second)
		}, "over"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			authorityTime = r.c.settings.LeaderAuthorityTime()
			tc.do(r)
			if got := r.placed(); got != tc.want {
				t.Errorf("got task placed as %s, want %s", got, tc.want)
			}
		})
	}
}

// TestCancelledEarlier checks that a new leader stops the running task of a job that was
// cancelled under an earlier leader, and then removes the job's keys.
func TestCancelledEarlier(t *testing.T) {
	r := newLeaderHarnessWithOutcome(t, jobstate.Cancelled)
	if _, o := r.heartbeat(5, 1, running(3)); o != "stop j/0.3;" {
		t.Errorf("got commands %q for the cancelled job's task, want %q", o, "stop j/0.3;")
	}
	r.heartbeat(r.token, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitStopped})
	r.tick(second)
	if got := r.placed(); got != "over" {
		t.Errorf("after the task stopped: got task placed as %s, want over", got)
	}
}

// TestLeaderAuthorityTime checks that a leader without answers from the state service starts no
// new attempt after its lease and answers no worker after its authority time. A successor may
// therefore assume that tasks have stopped after the authority time plus a worker lease.
func TestLeaderAuthorityTime(t *testing.T) {
	r := newLeaderHarness(t)
	r.heartbeat(5, 1, running(3))
	r.stateSilent = true
	start := r.c.elector.leadership.authorityProvenAt()
	for r.now-start < r.c.settings.LeaderAuthorityTime()-second {
		if s, _ := r.heartbeat(r.token, 1, running(3)); s != 200 {
			t.Fatalf("got status %d for a heartbeat after %d ms of authority time, want 200", s, (r.now-start)/1000)
		}
		r.tick(second / 2)
	}
	if r.c.elector.mayStartTasks() {
		t.Error("got attempts allowed after the lease expired, want none")
	}
	r.tick(2 * second)
	if s, _ := r.heartbeat(r.token, 1, running(3)); s != 503 {
		t.Errorf("got status %d for a heartbeat after the authority time, want 503", s)
	}
	if cancel := config.MicrosOf(r.c.settings.Workers.CancelS); r.c.settings.LeaderAuthorityTime()+r.c.settings.EpochTimeout() >= cancel {
		t.Errorf("got authority time %d us plus epoch timeout %d us, want less than cancel_s, %d us",
			r.c.settings.LeaderAuthorityTime(), r.c.settings.EpochTimeout(), cancel)
	}
}

// TestNewerFencingToken checks that a peer which knows a newer fencing token ends the term at
// once, and that a peer which knows none and grants a complete read lease proves the leader's
// authority.
func TestNewerFencingToken(t *testing.T) {
	r := newLeaderHarness(t)
	r.c.settings.Peers = []string{"n1"}
	r.c.elector.leadership.readLeases = readlease.NewHolder(r.c.settings.Peers, r.c.settings.LeaderAuthorityTime())
	r.stateSilent = true
	r.tick(5 * second)
	before := r.c.elector.leadership.authorityProvenAt()
	r.step(PeerPinged{Peer: "n1", SentAt: r.now, OK: true, Status: PeerStatus{FencingToken: r.token, Leader: "n0"}})
	if r.c.elector.leadership == nil || r.c.elector.leadership.authorityProvenAt() != before {
		t.Errorf("after the status of a peer without read leases: got leader %v, want leader with authority still proven at %d us",
			r.c.elector.leadership != nil, before)
	}
	r.step(PeerPinged{Peer: "n1", SentAt: r.now + 1, OK: true, Status: PeerStatus{FencingToken: r.token, Leader: "n0", ReadLease: &readlease.CancellationPage{Incarnation: "x", UpTo: 1, Complete: true, Cancelled: []string{"j"}}}})
	if r.c.cache.jobs["j"].Outcome() != jobstate.Cancelled {
		t.Errorf("after a peer's cancellation: got outcome %q of job j, want %q", r.c.cache.jobs["j"].Outcome(), jobstate.Cancelled)
	}
	if r.c.elector.leadership.authorityProvenAt() != r.now+1 {
		t.Errorf("after a read lease: got authority proven at %d us, want %d us as requested", r.c.elector.leadership.authorityProvenAt(), r.now+1)
	}
	r.step(PeerPinged{Peer: "n1", SentAt: r.now + 2, OK: true, Status: PeerStatus{FencingToken: r.token + 1, Leader: "n1"}})
	if r.c.elector.leadership != nil {
		t.Error("after the status of a peer with a newer fencing token: got leader, want follower")
	}
}
