package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// TestStateReadProof checks that a renewal of the lease does not prove that the leader knows
// what was reported to users. If the watch delivers nothing, the leader reads the stored state,
// and without an answer to that read it stops answering workers after its authority time.
func TestStateReadProof(t *testing.T) {
	h := newPeerHarness(t, "n0")
	h.watchHung = true
	before := h.core.elector.leadership.authorityProvenAt()
	h.advance(3 * second)
	if reads := takeEffects[ReadState](h); len(reads) < 2 || reads[0].ForRequests {
		t.Errorf("hung watch: got reads of the state %+v, want at least 2, the first not for requests", reads)
	}
	if at := h.core.elector.leadership.tokenProvenAt; at <= before {
		t.Fatalf("got fencing token proven at %d us, want later than %d us by a renewal of the lease", at, before)
	}
	if at := h.core.elector.leadership.authorityProvenAt(); at != before {
		t.Errorf("after renewals only: got authority proven at %d us, want %d us as before", at, before)
	}
	h.step(StateRead{AfterRevision: h.core.cache.appliedRevision, Revision: h.core.cache.appliedRevision, SentAt: h.now - second/2, Immediate: true})
	if at := h.core.elector.leadership.authorityProvenAt(); at != h.now-second/2 {
		t.Errorf("after a read: got authority proven at %d us, want %d us, when the read was sent", at, h.now-second/2)
	}
	h.advance(h.core.settings.LeaderAuthorityTime() + second)
	if h.core.elector.mayAnswerWorkers() {
		t.Error("got workers answered after the authority time without a read of the state, want no answers")
	}
}

// TestInformHolder checks that a leader which holds a controller's read lease is informed of a
// cancellation before any user learns of it, whichever request the user sent.
func TestInformHolder(t *testing.T) {
	h := newHarness(t, map[string]any{jobPrefix + "a": job("a"), jobPrefix + "c": job("c")})
	h.core.settings.Peers = []string{"n1"}
	h.core.readLeases.grantor = readlease.NewGrantor("b", h.core.settings.Peers, h.core.settings.LeaderAuthorityTime(), h.now)
	// send sends a request and returns its ID and the answer after half a second, if any.
	send := func(build func(requestID uint64) any) (uint64, Reply) {
		h.lastRequest++
		h.step(build(h.lastRequest))
		h.advance(second / 2)
		return h.lastRequest, h.replies[h.lastRequest]
	}
	cancel := func(id string) func(uint64) any {
		return func(requestID uint64) any { return CancelJob{RequestID: requestID, ID: id} }
	}
	poll := func(requestID uint64) any { return QueryJob{RequestID: requestID, ID: "a"} }
	ack := func(holderAck *readlease.HolderAck) {
		h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Ack: holderAck}})
	}
	h.advance(second)
	ack(&readlease.HolderAck{})
	h.step(PingReceived{RequestID: 900, From: "n1", Incarnation: "x", ReadLeaseRequest: &readlease.GrantRequest{}})
	if granted := h.replies[900].PeerStatus.ReadLease; granted == nil || !granted.Complete || len(granted.Cancelled) != 0 {
		t.Fatalf("got read lease %+v, want a complete one without cancellations", granted)
	}
	// The cancellation itself, another user's query and a repeated submission.
	for _, build := range []func(uint64) any{cancel("a"), poll, func(requestID uint64) any { return SubmitJob{RequestID: requestID, Spec: job("a").Spec} }} {
		requestID, reply := send(build)
		if h.keys[endPrefix+"a"].Revision == 0 {
			t.Fatal("got no stored end of job a, want its cancellation stored")
		}
		if reply.Status != 0 {
			t.Errorf("%T: got status %d before the leader knew of the cancellation, want no answer", build(0), reply.Status)
		}
		h.advance(maxHeldReply)
		if reply := h.replies[requestID]; reply.Status != 503 || reply.RetryAfter != 1 {
			t.Errorf("%T: got reply %+v after maxHeldReply, want status 503 and retry after 1 s", build(0), reply)
		}
	}
	requestID, _ := send(poll)
	ack(&readlease.HolderAck{Holds: true, Incarnation: "b", UpTo: 1})
	if reply := h.replies[requestID]; reply.Status != 200 || reply.Job.State != jobstate.Cancelled {
		t.Errorf("once the leader knows: got reply %+v, want status 200 and the job cancelled", reply)
	}
	// The leader does not learn of the next cancellation: the answer is held back until the
	// leader's read lease has expired, and no longer.
	if _, reply := send(cancel("c")); reply.Status != 0 {
		t.Errorf("leader not informed: got status %d, want no answer", reply.Status)
	}
	h.advance(h.core.settings.LeaderAuthorityTime() + 2*second)
	if _, reply := send(cancel("c")); reply.Status != 200 {
		t.Errorf("after the read lease expired: got reply %+v, want status 200", reply)
	}
}

// TestReadLeaseConditions checks that the operator view shows for how long a leader may continue
// to answer workers in an outage of the state service, and which peers have granted no read lease.
func TestReadLeaseConditions(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.elector.leadership.readLeases = readlease.NewHolder([]string{"n1", "n2"}, h.core.settings.LeaderAuthorityTime())
	view := func() *OperatorView {
		h.replies = nil
		h.step(QueryOperatorView{RequestID: 5})
		return h.replies[0].Ops
	}
	missingReadLeases := func(v *OperatorView) (n int) {
		for _, condition := range v.Conditions {
			if strings.Contains(condition, "has not vouched") {
				n++
			}
		}
		return n
	}
	if v := view(); missingReadLeases(v) != 0 || v.AnswersForS < 1 {
		t.Errorf("no outage: got conditions %v and answers for %.1f s, want no missing read lease and at least 1 s", v.Conditions, v.AnswersForS)
	}
	h.stateSilent = true
	for range 30 {
		h.tick(second / 10)
	}
	if v := view(); missingReadLeases(v) != 2 {
		t.Errorf("no read lease granted: got conditions %v, want 2 missing read leases", v.Conditions)
	}
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{FencingToken: h.token, ReadLease: &readlease.CancellationPage{Incarnation: "x", Complete: true}}})
	if v := view(); missingReadLeases(v) != 1 {
		t.Errorf("one read lease granted: got conditions %v, want 1 missing read lease", v.Conditions)
	}
	for range 200 {
		h.tick(second / 10)
	}
	if v := view(); v.AnswersForS >= 0 || missingReadLeases(v) != 2 {
		t.Errorf("read lease expired: got conditions %v and answers for %.1f s, want 2 missing read leases and less than 0 s", v.Conditions, v.AnswersForS)
	}
}

// TestInformHolderOfSweep checks that a leader which holds a controller's read lease is informed
// of a cancelled sweep before any user who cancels or queries the sweep or queries its runs.
func TestInformHolderOfSweep(t *testing.T) {
	h := newSweepHarness(t, true)
	h.submitSweep(sweepOf(2, 1000))
	for i, spec := range sweepOf(2, 1000).Plan.Specs {
		h.store(jobPrefix+fmt.Sprint("sweep.s.", i), jobstate.Record{Spec: spec, SubmittedWall: 1})
	}
	h.readState(StateRead{AfterRevision: h.core.cache.appliedRevision, Immediate: true})
	h.core.sweepManager.getOrAddSweep("s").plan = sweepOf(2, 1000).Plan
	if h.core.cache.jobs["sweep.s.1"] == nil {
		t.Fatal("got no run sweep.s.1 in the state cache, want it there")
	}
	h.core.settings.Peers = []string{"n1"}
	h.core.readLeases.grantor = readlease.NewGrantor("b", h.core.settings.Peers, h.core.settings.LeaderAuthorityTime(), h.now)
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Ack: &readlease.HolderAck{}}})
	requestReadLease := func() *readlease.CancellationPage {
		h.step(PingReceived{RequestID: 900, From: "n1", Incarnation: "x", ReadLeaseRequest: &readlease.GrantRequest{}})
		return h.replies[900].PeerStatus.ReadLease
	}
	requestReadLease()
	builds := []func(requestID uint64) any{
		func(requestID uint64) any { return CancelSweep{RequestID: requestID, ID: "s"} },
		func(requestID uint64) any { return QuerySweep{RequestID: requestID, ID: "s"} },
		func(requestID uint64) any { return ListSweepRuns{RequestID: requestID, ID: "s", Limit: 2} },
		func(requestID uint64) any { return QueryJob{RequestID: requestID, ID: "sweep.s.1"} },
	}
	for _, build := range builds {
		if reply := h.requestSweep(build); reply.Status == 200 {
			t.Errorf("%T: got reply %+v before the leader knew of the cancellation, want a status other than 200", build(0), reply)
		}
	}
	if h.keys[sweepEndPrefix+"s"].Revision == 0 {
		t.Fatal("got no stored end of sweep s, want its cancellation stored")
	}
	granted := requestReadLease()
	if !slices.Contains(granted.Cancelled, cancelledSweepPrefix+"s") {
		t.Errorf("got read lease with cancellations %v, want sweep s among them", granted.Cancelled)
	}
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Ack: &readlease.HolderAck{Holds: true, Incarnation: "b", UpTo: granted.UpTo}}})
	builds = slices.Delete(builds, 2, 3) // ListSweepRuns: the plan of an ended sweep is not available at once
	for _, build := range builds {
		if reply := h.requestSweep(build); reply.Status != 200 {
			t.Errorf("%T: got reply %+v once the leader knew of the cancellation, want status 200", build(0), reply)
		}
	}
}
