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

// leaderHarness is a core that leads alone, with its state service played by hand.
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

// newLeaderHarness starts a leader that finds job j with task 0 placed on machine m.
func newLeaderHarness(t *testing.T) *leaderHarness {
	t.Helper()
	return newLeaderHarnessOf(t, "")
}

// newLeaderHarnessOf is newLeaderHarness with a job that has ended, if over is not empty.
func newLeaderHarnessOf(t *testing.T, over string) *leaderHarness {
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
		{Key: jobPrefix + "j", Value: encodeJSON(jobstate.Record{Spec: j.Spec, Outcome: over}), Revision: 1},
		{Key: chunkKey("j", jobstate.ChunkRef{ChunkSize: jobstate.DefaultChunkSize}), Value: v, Revision: 2},
		{Key: tokenKey, Value: encodeJSON(tokenRecord{r.token}), Revision: 3},
		{Key: typesKey, Value: encodeJSON(types), Revision: 4},
	}})
	for i := 0; r.c.elector.leadership == nil; i++ {
		if i > 100 {
			t.Fatal("never leads")
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

// step hands a message over and answers the effects at once.
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
func (r *leaderHarness) heartbeat(token uint64, session uint64, tasks ...TaskStatus) (ReplyCode, string) {
	r.seq++
	r.replies = nil
	r.step(HeartbeatReceived{RequestID: 1, Heartbeat: Heartbeat{Machine: "m", Addr: "a", Type: "c", Zone: "a", Epoch: session, Seq: r.seq, FencingToken: token, PreemptionNotice: NoPreemptionNotice, Tasks: tasks}})
	for i := 0; len(r.replies) == 0 && i < 100; i++ {
		r.tick(50_000) // an answer may be held
	}
	if len(r.replies) == 0 {
		r.t.Fatal("no answer")
	}
	s := ""
	for _, o := range r.replies[0].Commands {
		s += fmt.Sprintf("%s %s.%d;", o.Kind, o.Task, o.Attempt)
	}
	return r.replies[0].Status, s
}

// placed is where task 0 is placed, and as which attempt.
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

// TestProofOfAbsence: what does and what does not prove that a placed task is gone, after a
// failover with the task placed on m as attempt 3.
func TestProofOfAbsence(t *testing.T) {
	hold := config.Micros(0)
	cases := []struct {
		name string
		do   func(r *leaderHarness)
		want string
	}{
		// A report from before its worker knew the token: an earlier leader's order
		// may still be taken from an answer that is on its way.
		{"to be stopped, and absent in a report that does not know the token", func(r *leaderHarness) {
			r.c.tasks.requestStop(r.c.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			r.heartbeat(5, 1)
		}, "m.3"},
		{"to be stopped, and absent in one that does", func(r *leaderHarness) {
			r.c.tasks.requestStop(r.c.cache.jobs["j"], 0, jobstate.StopPreempt, 0)
			r.heartbeat(5, 1)
			r.heartbeat(r.token, 1)
			r.tick(second)
		}, "m.4"},
		{"shown, then absent in a report that does not know the token", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.heartbeat(5, 1)
		}, "m.3"},
		{"no heartbeat, less than authority time and worker lease", func(r *leaderHarness) { r.tick(hold + 15*second) }, "m.3"},
		{"no heartbeat, authority time and worker lease over", func(r *leaderHarness) { r.tick(hold + 18*second) }, ".3"},
		{"absent in a report that does not know the token: run is repeated", func(r *leaderHarness) {
			if _, o := r.heartbeat(5, 1); o != "start j/0.3;" {
				r.t.Errorf("commands %q", o)
			}
		}, "m.3"},
		{"absent in a later report after it was dropped: run is repeated", func(r *leaderHarness) {
			r.heartbeat(5, 1)
			if _, o := r.heartbeat(r.token, 1); o != "start j/0.3;" {
				r.t.Errorf("commands %q", o)
			}
		}, "m.3"},
		{"shown, then absent from a new session: it is gone, and placed anew", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.seq = 0
			r.heartbeat(r.token, 2)
			r.tick(second)
		}, "m.4"},
		{"an older report proves nothing", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.seq--
			if s, _ := r.heartbeat(r.token, 1); s != 503 {
				r.t.Errorf("status %d", s)
			}
		}, "m.3"},
		{"an exit is proof, and forgotten only once it is stored", func(r *leaderHarness) {
			r.heartbeat(5, 1, running(3))
			r.stateSilent = true
			if _, o := r.heartbeat(r.token, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitStopped}); o != "" {
				r.t.Errorf("commands %q before the exit is stored", o)
			}
		}, "m.4"}, // planned anew, which is not stored either
		{"another attempt is stopped and proves nothing", func(r *leaderHarness) {
			if _, o := r.heartbeat(5, 1, running(2)); o != "stop j/0.2;start j/0.3;" {
				r.t.Errorf("commands %q", o)
			}
		}, "m.3"},
		{"a release that was answered", func(r *leaderHarness) { r.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: r.token}) }, ".3"},
		{"a release without an answer", func(r *leaderHarness) { r.step(ScaledIn{Names: []string{"m"}, FencingToken: r.token}) }, "m.3"},
		{"a release of an earlier term that was answered", func(r *leaderHarness) { r.step(ScaledIn{Names: []string{"m"}, OK: true, FencingToken: r.token - 2}) }, ".3"},
		{"a release of an earlier term without an answer", func(r *leaderHarness) { r.step(ScaledIn{Names: []string{"m"}, FencingToken: r.token - 2}) }, "m.3"},
		{"done is done, and the job with it", func(r *leaderHarness) {
			r.heartbeat(5, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitDone})
			r.tick(second)
		}, "over"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			hold = r.c.settings.LeaderAuthorityTime()
			tc.do(r)
			if got := r.placed(); got != tc.want {
				t.Errorf("placed %s, want %s", got, tc.want)
			}
		})
	}
}

// TestCancelledEarlier: a job was cancelled under an earlier leader, and its task is still
// running. The new leader stops it, and removes the keys.
func TestCancelledEarlier(t *testing.T) {
	r := newLeaderHarnessOf(t, jobstate.Cancelled)
	if _, o := r.heartbeat(5, 1, running(3)); o != "stop j/0.3;" {
		t.Errorf("commands %q", o)
	}
	r.heartbeat(r.token, 1, TaskStatus{Name: "j/0", Attempt: 3, State: TaskExited, Reason: ExitStopped})
	r.tick(second)
	if got := r.placed(); got != "over" {
		t.Errorf("placed %s", got)
	}
}

// TestLeaderAuthorityTime: a leader that the state service no longer answers starts nothing new
// after its lease, and answers no worker after its authority time, so that a successor waits long
// enough by waiting for that and a worker lease.
func TestLeaderAuthorityTime(t *testing.T) {
	r := newLeaderHarness(t)
	r.heartbeat(5, 1, running(3))
	r.stateSilent = true
	start := r.c.elector.leadership.authorityProvenAt()
	for r.now-start < r.c.settings.LeaderAuthorityTime()-second {
		if s, _ := r.heartbeat(r.token, 1, running(3)); s != 200 {
			t.Fatalf("status %d after %d ms of authority time", s, (r.now-start)/1000)
		}
		r.tick(second / 2)
	}
	if r.c.elector.mayStartTasks() {
		t.Error("still may start attempts")
	}
	r.tick(2 * second)
	if s, _ := r.heartbeat(r.token, 1, running(3)); s != 503 {
		t.Errorf("status %d after the authority time", s)
	}
	if cancel := config.MicrosOf(r.c.settings.Workers.CancelS); r.c.settings.LeaderAuthorityTime()+r.c.settings.EpochTimeout() >= cancel {
		t.Errorf("authority time %d and worker lease leave nothing of cancel_s", r.c.settings.LeaderAuthorityTime())
	}
}

// TestNewerFencingToken: a peer that knows a newer fencing token ends a term at once; one that
// knows none, and grants a complete read lease, proves the leader's authority.
func TestNewerFencingToken(t *testing.T) {
	r := newLeaderHarness(t)
	r.c.settings.Peers = []string{"n1"}
	r.c.elector.leadership.readLeases = readlease.NewHolder(r.c.settings.Peers, r.c.settings.LeaderAuthorityTime())
	r.stateSilent = true
	r.tick(5 * second)
	before := r.c.elector.leadership.authorityProvenAt()
	r.step(PeerPinged{Peer: "n1", SentAt: r.now, OK: true, Status: PeerStatus{FencingToken: r.token, Leader: "n0"}})
	if r.c.elector.leadership == nil || r.c.elector.leadership.authorityProvenAt() != before {
		t.Error("a peer without read leases proved the authority")
	}
	r.step(PeerPinged{Peer: "n1", SentAt: r.now + 1, OK: true, Status: PeerStatus{FencingToken: r.token, Leader: "n0", ReadLease: &readlease.CancellationPage{Incarnation: "x", UpTo: 1, Complete: true, Cancelled: []string{"j"}}}})
	if r.c.cache.jobs["j"].Outcome() != jobstate.Cancelled {
		t.Error("a peer's cancellation was not noted")
	}
	if r.c.elector.leadership.authorityProvenAt() != r.now+1 {
		t.Errorf("proof of %d, requested at %d", r.c.elector.leadership.authorityProvenAt(), r.now+1)
	}
	r.step(PeerPinged{Peer: "n1", SentAt: r.now + 2, OK: true, Status: PeerStatus{FencingToken: r.token + 1, Leader: "n1"}})
	if r.c.elector.leadership != nil {
		t.Error("still leads")
	}
}
