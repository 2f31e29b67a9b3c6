package core

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// peerHarness is the core of one of three controllers. Tests send messages to the core; the
// harness answers the core's requests to the state service and keeps the other effects.
type peerHarness struct {
	core     *Core
	now      int64
	revision uint64
	effects  []any
	// stateSilent makes requests to the state service fail without an answer.
	stateSilent bool
	renewals    int
	// onRenewal, if set, is called with each lease renewal, which then gets no answer.
	onRenewal func(RenewLease)
	watchHung bool // the watch delivers nothing
}

// newPeerHarness returns the controller n0 after it has read a state in which the given
// controller leads. If that is n0, it has been elected.
func newPeerHarness(t *testing.T, leader string) *peerHarness {
	t.Helper()
	settings := Settings{Name: "n0", Incarnation: "b", Peers: []string{"n1", "n2"}, Ops: config.Defaults()}
	settings.Size, settings.Zones, settings.Teams = 3, []string{"a", "b"}, []config.Team{{Name: "t"}}
	settings.Workers.ReportS, settings.Workers.LeaseS, settings.Workers.CancelS = 2, 16, 36
	settings.State.RPS, settings.State.WriteRPS, settings.State.ValueKB, settings.State.TxnOps = 100, 100, 8, 12
	settings.Cloud.RPS = 1
	h := &peerHarness{now: second, revision: 20}
	h.core = New(settings, h.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	changes := []Change{
		{Key: tokenKey, Value: encodeJSON(tokenRecord{5}), Revision: 3},
		{Key: formatKey, Value: encodeJSON(formatRecord{2, 64}), Revision: 4},
		{Key: featuresKey, Value: encodeJSON(featuresRecord{[]upgrade.StoredFeature{{Name: upgrade.Connectivity}}}), Revision: 5},
		{Key: typesKey, Value: encodeJSON([]fleet.Type{{Name: "c", Zones: []string{"a"}}}), Revision: 5},
	}
	if leader != "n0" {
		changes = append(changes, Change{Key: LeaderKey, Value: encodeJSON(leaderRecord{Name: leader, Incarnation: "x", Token: 5, Lease: 8}), Revision: 6})
	}
	h.step(StateListed{Revision: 20, Changes: changes})
	h.advance(2 * second)
	if (h.core.elector.leadership != nil) != (leader == "n0") {
		t.Fatalf("got n0 leading %v, want leader %s", h.core.elector.leadership != nil, leader)
	}
	h.effects = nil
	return h
}

func (h *peerHarness) advance(duration int64) {
	for end := h.now + duration; h.now < end; {
		h.now += 50_000
		h.step(Tick{TimeOfDay: h.now + 1_000_000*second})
	}
}

// step sends a message, answers the requests to the state service and keeps the other effects.
func (h *peerHarness) step(msg any) {
	for _, effect := range h.core.Step(h.now, msg) {
		err := errors.New("no answer")
		if !h.stateSilent {
			err = nil
		}
		switch e := effect.(type) {
		case GrantLease:
			h.step(LeaseGranted{Lease: 9, SentAt: h.now, Err: err})
		case RenewLease:
			h.renewals++
			if h.onRenewal != nil {
				h.onRenewal(e)
				continue
			}
			h.step(LeaseRenewed{Lease: e.Lease, SentAt: h.now, Err: err})
		case CommitTransaction:
			if h.stateSilent {
				h.step(TransactionResult{ID: e.ID})
				continue
			}
			h.revision++
			read := StateRead{AfterRevision: h.revision - 1, Revision: h.revision, SentAt: h.now}
			for _, write := range e.Writes {
				read.Changes = append(read.Changes, Change{Key: write.Key, Value: write.Value, Revision: h.revision, Removed: write.Value == nil})
			}
			if !h.watchHung {
				h.step(read)
			}
			h.step(TransactionResult{ID: e.ID, Outcome: kv.Committed, Revision: h.revision})
		case PingPeer, ProbeMachine:
		default:
			h.effects = append(h.effects, e)
		}
	}
}

// peerAnswers makes a peer answer a ping with its advertisement, and send a ping.
func (h *peerHarness) peerAnswers(name string, advertisement connectivity.Advertisement) {
	h.step(PeerPinged{Peer: name, SentAt: h.now, OK: true, Status: PeerStatus{FencingToken: 5, Leader: "n1", Connectivity: &advertisement}})
	h.step(PingReceived{From: name})
}

// storeAdvertisement makes a peer store its advertisement.
func (h *peerHarness) storeAdvertisement(name string, advertisement connectivity.Advertisement) {
	h.revision++
	h.step(StateRead{AfterRevision: h.revision - 1, Revision: h.revision, Changes: []Change{{Key: connectivityPrefix + name, Value: encodeJSON(advertisement), Revision: h.revision}}})
}

// takeEffects returns the kept effects of one type, and discards all kept effects.
func takeEffects[T any](h *peerHarness) (taken []T) {
	for _, effect := range h.effects {
		if typed, ok := effect.(T); ok {
			taken = append(taken, typed)
		}
	}
	h.effects = nil
	return taken
}

// reachAdvertisement returns the advertisement of a controller that reaches the given eighths of
// the machines in zones a and b, and the given peers.
func reachAdvertisement(a, b int, peers ...string) connectivity.Advertisement {
	return connectivity.Advertisement{ReachableEighths: map[string]int{"a": a, "b": b}, Peers: peers}
}

// TestReadForRequests checks that a request waits for a read of the state that is sent after the
// request has arrived and that is marked as a read for requests. It guards against using a read
// that was sent earlier for another purpose: such a read may miss a job that another controller
// accepted in between, and the job was then reported as unknown.
func TestReadForRequests(t *testing.T) {
	h := newPeerHarness(t, "n1")
	h.step(QueryJob{RequestID: 7, ID: "j"})
	reads := takeEffects[ReadState](h)
	if len(reads) != 1 || !reads[0].ForRequests {
		t.Fatalf("got reads of the state %+v, want one for requests", reads)
	}
	h.step(StateRead{AfterRevision: h.core.cache.appliedRevision, Revision: h.revision, Immediate: true})
	if got := takeEffects[ReadKey](h); len(got) != 0 {
		t.Errorf("after a read that may be older than the request: got %d reads of keys, want 0", len(got))
	}
	h.step(StateRead{AfterRevision: h.core.cache.appliedRevision, Revision: h.revision, Immediate: true, ForRequests: true})
	if got := takeEffects[ReadKey](h); len(got) != 1 {
		t.Errorf("after the read for the request: got %d reads of keys, want 1", len(got))
	}
}

// TestStuckWatch checks that a controller reads the state if the watch does not deliver a
// revision that the answer to a transaction contained. Otherwise a leader would learn of new
// jobs only when the watch's connection breaks.
func TestStuckWatch(t *testing.T) {
	h := newPeerHarness(t, "n0")
	h.core.elector.leadership.cacheFreshAt = h.now + 3600*second // prevents the leader's reads that TestStateReadProof covers
	h.revision += 3                                              // writes of others that the watch does not deliver
	id := h.core.newID()
	h.core.transactions.Begin(id, nil, nil, h.now, func(TransactionResult) {})
	h.step(TransactionResult{ID: id, Outcome: kv.Conflict, Revision: h.revision})
	h.advance(maxWatchDelay - 100_000)
	if reads := takeEffects[ReadState](h); len(reads) != 0 {
		t.Errorf("before maxWatchDelay: got reads of the state %+v, want none", reads)
	}
	h.advance(300_000)
	reads := takeEffects[ReadState](h)
	if len(reads) != 1 || reads[0].ForRequests {
		t.Fatalf("after maxWatchDelay: got reads of the state %+v, want one that is not for requests", reads)
	}
	h.step(StateRead{AfterRevision: reads[0].AfterRevision, Revision: h.revision, Immediate: true})
	h.advance(5 * second)
	if reads = takeEffects[ReadState](h); len(reads) != 0 {
		t.Errorf("after the read caught up: got %d more reads of the state, want 0", len(reads))
	}
}

// TestHeartbeatWithoutLeader checks how a follower handles a heartbeat, and the next one of the
// same worker, depending on whether the follower or a peer reaches the leader n1, and on whether
// n1 advertises that it reaches the worker's zone.
func TestHeartbeatWithoutLeader(t *testing.T) {
	heartbeat := func(seq uint64) HeartbeatReceived {
		return HeartbeatReceived{RequestID: seq, Heartbeat: Heartbeat{Machine: "m", Addr: "x", Zone: "a", Epoch: 1, Seq: seq, PreemptionNotice: NoPreemptionNotice}}
	}
	cases := []struct {
		name    string
		prepare func(h *peerHarness)
		first   ReplyCode // status of the first answer
		to      string    // controller named in the first answer
		relayTo string    // receiver of the relayed second heartbeat, "" if it is not relayed
	}{
		{"no controller reaches the leader", func(*peerHarness) {}, 503, "", ""},
		{"the leader answers pings", func(h *peerHarness) { h.peerAnswers("n1", reachAdvertisement(8, 8)) }, 421, "n1", "n1"},
		{"another peer reaches the leader", func(h *peerHarness) {
			advertisement := reachAdvertisement(8, 8, "n0", "n1")
			h.peerAnswers("n2", advertisement)
			h.storeAdvertisement("n2", advertisement)
		}, 421, "n2", "n2"},
		{"the leader advertises that it reaches the zone", func(h *peerHarness) { h.storeAdvertisement("n1", reachAdvertisement(8, 0)) }, 421, "n1", ""},
		{"the leader advertises that it does not reach the zone", func(h *peerHarness) { h.storeAdvertisement("n1", reachAdvertisement(0, 8)) }, 503, "", ""},
		{"the leader's advertisement may be outdated", func(h *peerHarness) {
			h.storeAdvertisement("n1", reachAdvertisement(8, 8))
			h.stateSilent = true
			h.advance(3 * second)
		}, 503, "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newPeerHarness(t, "n1")
			tc.prepare(h)
			h.advance(250_000)
			h.effects = nil
			h.step(heartbeat(1))
			if replies := takeEffects[Reply](h); len(replies) != 1 || replies[0].Status != tc.first || replies[0].Leader != tc.to {
				t.Errorf("first heartbeat: got replies %+v, want one with status %d and leader %q", replies, tc.first, tc.to)
			}
			h.advance(second)
			h.effects = nil
			h.step(heartbeat(2))
			kept := h.effects
			if relays := takeEffects[RelayHeartbeat](h); tc.relayTo != "" && (len(relays) != 1 || relays[0].To != tc.relayTo || relays[0].ViaPeer != (tc.relayTo != "n1")) || tc.relayTo == "" && len(relays) != 0 {
				t.Errorf("second heartbeat: got relays %+v, want a relay to %q (\"\" for none)", relays, tc.relayTo)
			}
			h.effects = kept
			if replies := takeEffects[Reply](h); tc.relayTo == "" && (len(replies) != 1 || replies[0].Status != 503) {
				t.Errorf("second heartbeat: got replies %+v, want one with status 503", replies)
			}
		})
	}
}

// TestRelayedHeartbeat checks that a heartbeat which a peer has relayed is relayed to the
// leader only, at most once more and never back to the peer.
func TestRelayedHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name    string
		leader  bool // the leader answers pings
		viaPeer bool // the sender asks to relay it to the leader
		relays  int
	}{{"the leader answers", true, true, 1}, {"the leader does not answer", false, true, 0}, {"from an older controller", true, false, 0}} {
		h := newPeerHarness(t, "n1")
		if tc.leader {
			h.peerAnswers("n1", reachAdvertisement(8, 8))
		}
		h.effects = nil
		h.step(HeartbeatReceived{RequestID: 3, From: "n2", ViaPeer: tc.viaPeer, Heartbeat: Heartbeat{Machine: "m", Addr: "x", Zone: "a", PreemptionNotice: NoPreemptionNotice}})
		kept := h.effects
		relays := takeEffects[RelayHeartbeat](h)
		h.effects = kept
		if len(relays) != tc.relays || tc.relays == 1 && (relays[0].To != "n1" || relays[0].ViaPeer) {
			t.Errorf("%s: got relays %+v, want %d, to n1 without ViaPeer", tc.name, relays, tc.relays)
		}
		if replies := takeEffects[Reply](h); tc.relays == 0 && (len(replies) != 1 || replies[0].Status != 503) {
			t.Errorf("%s: got replies %+v, want one with status 503", tc.name, replies)
		}
	}
}

// TestHandover checks that a leader which reaches no worker hands over to a controller that
// does: the leader revokes its lease at once, and campaigns again only after the other
// controller has had time to campaign. With the reach setting off the leader continues to lead.
func TestHandover(t *testing.T) {
	for _, on := range []bool{true, false} {
		h := newPeerHarness(t, "n0")
		h.core.settings.Ops.Reach = on
		h.storeAdvertisement("n1", reachAdvertisement(8, 8))
		h.core.peers.connectivity.Workers.Add(connectivity.Machine{Name: "m", Addr: "x", Zone: "a"}, h.now)
		h.core.peers.connectivity.Workers.Add(connectivity.Machine{Name: "m2", Addr: "x", Zone: "b"}, h.now)
		for _, machine := range []string{"m", "m2"} {
			h.step(MachineProbed{Machine: machine, SentAt: h.now, OK: false})
		}
		h.advance(3 * second)
		if (h.core.elector.leadership == nil) != on {
			t.Fatalf("reach setting %v: got leader %v, want %v", on, h.core.elector.leadership != nil, !on)
		}
		if !on {
			continue
		}
		if revoked := takeEffects[RevokeLease](h); len(revoked) != 1 {
			t.Errorf("got revocations of leases %+v, want one", revoked)
		}
		// The leadership key is gone, and the state is listed again; the other controller may
		// campaign first.
		h.revision++
		changes := []Change{{Key: tokenKey, Value: encodeJSON(tokenRecord{6}), Revision: 3}, {Key: formatKey, Value: encodeJSON(formatRecord{2, 64}), Revision: 4}, {Key: connectivityPrefix + "n1", Value: encodeJSON(reachAdvertisement(8, 8)), Revision: 7}}
		h.step(StateListed{Revision: h.revision, Changes: changes})
		listedAt := h.now
		for h.core.elector.leadership == nil && h.now < listedAt+10*second {
			h.advance(50_000)
		}
		if elapsed := h.now - listedAt; elapsed < second || elapsed > 3*second {
			t.Errorf("got leader again after %d us, want after 1 to 3 s", elapsed)
		}
	}
}

// TestReady checks that a controller which can neither answer users nor forward their requests
// is not ready.
func TestReady(t *testing.T) {
	checkReady := func(h *peerHarness) ReplyCode {
		h.effects = nil
		h.step(CheckReady{RequestID: 1})
		return takeEffects[Reply](h)[0].Status
	}
	h := newPeerHarness(t, "n1")
	if status := checkReady(h); status != 200 {
		t.Errorf("state service answers: got status %d, want 200", status)
	}
	h.stateSilent = true
	h.advance(4 * second)
	if status := checkReady(h); status != 503 {
		t.Errorf("neither state service nor peers answer: got status %d, want 503", status)
	}
	h.peerAnswers("n2", reachAdvertisement(8, 8))
	if status := checkReady(h); status != 200 {
		t.Errorf("only a peer answers: got status %d, want 200", status)
	}
}

// TestSilentRenewals checks that a leader without answers does not keep its lease alive: the
// state service may execute renewals although no answer arrives, and then no other controller
// could lead for as long as the one-way partition lasts.
func TestSilentRenewals(t *testing.T) {
	h := newPeerHarness(t, "n0")
	ttl := h.core.settings.Ops.LeaderLease
	h.stateSilent = true
	h.advance(2 * ttl)
	h.renewals = 0
	h.advance(ttl)
	first := h.renewals
	h.renewals = 0
	h.advance(ttl)
	if first+h.renewals > 2 || first > 1 && h.renewals > 0 {
		t.Errorf("got %d and %d renewals in two successive lease times without answers, want at most 2 in total and none in the second if the first had more than 1", first, h.renewals)
	}
}

// TestForwardToPeer checks that a controller that gets no answers from the state service forwards
// requests of every kind to a peer that does get answers, and that forwarded requests are not
// forwarded again.
func TestForwardToPeer(t *testing.T) {
	for _, tc := range []struct {
		build func(forwarded bool) any
		want  any
	}{
		{func(forwarded bool) any { return QueryJob{RequestID: 1, ID: "x", Forwarded: forwarded} }, QueryJob{ID: "x", Forwarded: true}},
		{func(forwarded bool) any { return CancelJob{RequestID: 1, ID: "x", Forwarded: forwarded} }, CancelJob{ID: "x", Forwarded: true}},
		{func(forwarded bool) any { return QuerySweep{RequestID: 1, ID: "x", Forwarded: forwarded} }, QuerySweep{ID: "x", Forwarded: true}},
		{func(forwarded bool) any {
			return ListSweepRuns{RequestID: 1, ID: "x", After: 2, Limit: 5, Forwarded: forwarded}
		}, ListSweepRuns{ID: "x", After: 2, Limit: 5, Forwarded: true}},
		{func(forwarded bool) any { return CancelSweep{RequestID: 1, ID: "x", Forwarded: forwarded} }, CancelSweep{ID: "x", Forwarded: true}},
		{func(forwarded bool) any {
			return SubmitSweep{RequestID: 1, Plan: &SweepPlan{ID: "x"}, Stored: "packed", Invalid: "bad", Forwarded: forwarded}
		}, ForwardedSweep{ID: "x", Stored: "packed", Invalid: "bad"}},
	} {
		h := newPeerHarness(t, "n1")
		h.core.settings.Ops.Sweeps = true
		h.stateSilent = true
		h.advance(3 * second)
		h.peerAnswers("n2", reachAdvertisement(8, 8))
		h.effects = nil
		h.step(tc.build(false))
		if forwards := takeEffects[ForwardRequest](h); len(forwards) != 1 || forwards[0].To != "n2" || forwards[0].Request != tc.want {
			t.Errorf("%T: got forwarded requests %+v, want %+v to n2", tc.want, forwards, tc.want)
		}
		h.step(tc.build(true))
		kept := h.effects
		if forwards := takeEffects[ForwardRequest](h); len(forwards) != 0 {
			t.Errorf("%T: got forwarded request forwarded again as %+v, want it refused", tc.want, forwards)
		}
		h.effects = kept
		if replies := takeEffects[Reply](h); len(replies) != 1 || replies[0].Status != 503 || replies[0].RetryAfter == 0 {
			t.Errorf("%T: got replies %+v to the forwarded request, want one with status 503 and a retry time", tc.want, replies)
		}
	}
}
