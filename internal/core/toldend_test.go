package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// A job that was accepted, and that users were told is cancelled, was no longer known: the
// controller that had started last answered 404 about it, while the others went on saying that
// it is cancelled, and so did they all until they were restarted. It depended on a job that had
// been cancelled before the leader's term began. The other controllers knew that end, ended the
// dependent job by it for themselves, and told the leader of the cancellation with a page of
// their read leases. The leader had not read the first job's end yet, as the state service had
// just limited its rate; it took what it was told for what is stored, and removed the job's key
// without ever storing an end.
//
// From the records, with the seconds of the day:
//
//	193.41 msg="elected leader" controller=stoker-2 fencing_token=4 jobs=75 placements=207
//	196.46 msg="state service limits lowered" controller=stoker-2 reason="request rate limited"
//	202.27 stoker-4 poll: 200 cancelled, over at 202.27
//	202.33 stoker-4 submit: 200 cancelled, over at 202.34
//	205.29 stoker-3 GET /kv?most=500&starts=zinclb/job/: 200 revision 1440 items 76
//	205.39 stoker-3 GET PATH: 404 revision 1440; and the like  (2 times, the last at 206.43)
//	208.89 stoker-3 poll: 404, over at 209.04
//	212.57 stoker-4 poll: 200 cancelled, over at 212.57

// cancellationSources are the messages by which a controller learns from a peer that jobs are cancelled.
var cancellationSources = []struct {
	name    string
	message func(h *harness, ids ...string) any
}{
	{"a granted read lease", func(h *harness, ids ...string) any {
		page := readlease.CancellationPage{Incarnation: "x", UpTo: uint64(len(ids)), Complete: true, Cancelled: ids}
		return PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{ReadLease: &page}}
	}},
	{"a ping for which an answer is held back", func(_ *harness, ids ...string) any {
		page := readlease.CancellationPage{Incarnation: "x", UpTo: uint64(len(ids)), Cancelled: ids}
		return PingReceived{RequestID: 900, From: "n1", Incarnation: "x", Cancellations: &page}
	}},
	{"the status of an older program", func(h *harness, ids ...string) any {
		return PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Cancelled: ids}}
	}},
}

// reportedEndCase is a way in which a controller comes to hear of the end of a job, "second", which
// depends on "first" and which the state service has as unfinished.
type reportedEndCase struct {
	name string
	// startsAsFollower: another controller leads when the core starts.
	startsAsFollower bool
	// firstEndUnreadable: the end of the first job can't be read at first.
	firstEndUnreadable bool
	// events are what happens, in their order.
	events []func(h *harness, tell func(ids ...string))
}

// reportedEndCases go over when a controller is told, and what it knows and is by then.
func reportedEndCases() []reportedEndCase {
	type events = []func(h *harness, tell func(ids ...string))
	tellOf := func(ids ...string) func(*harness, func(...string)) {
		return func(_ *harness, tell func(...string)) { tell(ids...) }
	}
	wait := func(h *harness, _ func(...string)) { h.advance(3 * second) }
	reveal := func(h *harness, _ func(...string)) { h.unreachable = map[string]bool{} }
	lead := func(h *harness, _ func(...string)) { h.remove(LeaderKey) }
	deposed := func(h *harness, _ func(...string)) { h.remove(LeaderKey); h.listState() }
	submit := func(h *harness, _ func(...string)) {
		h.store(jobPrefix+"third", job("third", "second"))
		h.refresh()
	}
	return []reportedEndCase{
		{"a leader before it knows the first job's end", false, true, events{wait, tellOf("second"), wait, reveal, wait}},
		{"a leader that never reads the first job's end", false, true, events{wait, tellOf("second"), wait}},
		{"a leader told of both, the dependent one first", false, true, events{wait, tellOf("second", "first"), wait, reveal, wait}},
		{"a leader told of both, the first one first", false, true, events{wait, tellOf("first", "second"), wait, reveal, wait}},
		{"a leader that has derived the end itself", false, false, events{wait, tellOf("second"), wait}},
		{"a controller that has just started", false, true, events{tellOf("second"), wait, reveal, wait}},
		{"a follower that leads later", true, true, events{wait, tellOf("second"), wait, lead, wait, reveal, wait}},
		{"a follower that leads at once", true, true, events{wait, tellOf("second"), lead, tellOf("second"), wait, reveal, wait}},
		{"a leader whose term ends before it has written", false, true, events{wait, tellOf("second"), deposed, wait, reveal, wait}},
		{"a leader with a job that depends on the dependent one", false, true, events{wait, submit, wait, tellOf("second"), wait, reveal, wait}},
	}
}

// TestReportedEndIsStored: whoever tells a controller that a job is cancelled, the job's key goes
// only with its end, so that every controller that starts later knows the job too.
func TestReportedEndIsStored(t *testing.T) {
	for _, format := range []formatRecord{{Version: 2, Tasks: 64}, {Version: 3, Tasks: 64}} {
		for _, source := range cancellationSources {
			for _, tc := range reportedEndCases() {
				t.Run(fmt.Sprintf("format %d/%s/%s", format.Version, source.name, tc.name), func(t *testing.T) {
					runReportedEndCase(t, tc, format, source.message)
				})
			}
		}
	}
}

func runReportedEndCase(t *testing.T, tc reportedEndCase, format formatRecord, message func(h *harness, ids ...string) any) {
	t.Helper()
	stored := map[string]any{
		formatKey:            format,
		endPrefix + "first":  cancelled,
		jobPrefix + "second": job("second", "first"),
	}
	if tc.startsAsFollower {
		stored[LeaderKey] = leaderRecord{Name: "n1", Incarnation: "x", Token: 1, Lease: 1}
	}
	h := newHarness(t, stored)
	h.core.settings.Peers = []string{"n1"}
	h.core.readLeases.grantor = readlease.NewGrantor("b", h.core.settings.Peers, h.core.settings.LeaderAuthorityTime(), h.now)
	if tc.firstEndUnreadable {
		h.unreachable[endPrefix+"first"] = true
	}
	told := false
	tell := func(ids ...string) {
		told = true
		h.step(message(h, ids...))
	}
	for _, event := range tc.events {
		event(h, tell)
		h.requireKnown("second")
	}
	if !told {
		t.Fatal("the controller was told of nothing")
	}
	h.unreachable = map[string]bool{}
	for _, asked := range []string{"of a controller that runs", "of one that starts"} {
		// The peer holds no read lease, so that no answer is held back for it.
		h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Ack: &readlease.HolderAck{}}})
		if got := h.jobState("second"); got != jobstate.Cancelled {
			t.Errorf("%s: the job is %s", asked, got)
		}
		delete(h.keys, LeaderKey)
		h.restart()
		h.advance(3 * second)
	}
	h.requireKnown("second")
}

// TestReportedEndAlreadyStored: a leader that is told of a cancellation before it sees the write of
// it finds that the end is stored, stores none of its own and goes on, in every format.
func TestReportedEndAlreadyStored(t *testing.T) {
	for _, format := range []formatRecord{{Version: 1}, {Version: 2, Tasks: 64}, {Version: 3, Tasks: 64}} {
		for _, source := range cancellationSources {
			t.Run(fmt.Sprintf("format %d/%s", format.Version, source.name), func(t *testing.T) {
				h := newHarness(t, map[string]any{formatKey: format, jobPrefix + "a": job("a")})
				h.core.settings.Peers = []string{"n1"}
				h.core.readLeases.grantor = readlease.NewGrantor("b", h.core.settings.Peers, h.core.settings.LeaderAuthorityTime(), h.now)
				h.advance(3 * second)
				record := job("a")
				record.Outcome = jobstate.Cancelled
				h.store(jobPrefix+"a", record)
				h.store(endPrefix+"a", cancelled)
				want := h.keys[endPrefix+"a"].Revision
				h.step(source.message(h, "a"))
				h.advance(3 * second)
				if _, left := h.keys[jobPrefix+"a"]; left {
					t.Error("the job's key is left")
				}
				if got := h.keys[endPrefix+"a"].Revision; got != want {
					t.Errorf("the end was written at revision %d and is of %d", want, got)
				}
				h.requireKnown("a")
			})
		}
	}
}

// TestDerivedEndNotReported: a controller tells no peer of an end that it has derived, as a leader
// starts nothing of a job behind a cancelled one, and one of a version before ends were told
// apart would take it for stored: with two versions side by side such a leader lost an end that
// a newer controller had told it. So users need not wait for the leader to learn of it either.
func TestDerivedEndNotReported(t *testing.T) {
	h := newHarness(t, map[string]any{
		formatKey:            joined,
		LeaderKey:            leaderRecord{Name: "n1", Incarnation: "x", Token: 1, Lease: 1},
		endPrefix + "first":  cancelled,
		jobPrefix + "second": job("second", "first"),
	})
	h.core.settings.Peers = []string{"n1"}
	h.core.readLeases.grantor = readlease.NewGrantor("b", h.core.settings.Peers, h.core.settings.LeaderAuthorityTime(), h.now)
	h.advance(2 * second)
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Ack: &readlease.HolderAck{}}})
	h.step(PingReceived{RequestID: 900, From: "n1", Incarnation: "x", ReadLeaseRequest: &readlease.GrantRequest{}})
	if state := h.jobState("second"); state != jobstate.Cancelled {
		t.Errorf("the answer about the job is %s while a peer holds a read lease", state)
	}
	h.step(PingReceived{RequestID: 901, From: "n1", Incarnation: "x", ReadLeaseRequest: &readlease.GrantRequest{}})
	page := h.replies[901].PeerStatus.ReadLease
	if slices.Contains(page.Cancelled, "second") || !slices.Contains(page.Cancelled, "first") {
		t.Errorf("the holder of a read lease is told of %v", page.Cancelled)
	}
	h.step(PingReceived{RequestID: 902, From: "n1"})
	if told := h.replies[902].PeerStatus.Cancelled; slices.Contains(told, "second") || !slices.Contains(told, "first") {
		t.Errorf("a leader of an older program is told of %v", told)
	}
}
