package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// These tests guard against the loss of a job whose cancellation was reported to users. The
// controller that had started last answered 404 for the job, while the others continued to report
// it as cancelled until they were restarted. The sequence of events was:
//
// The job depended on another one that had been cancelled before the leader's term began. The
// other controllers knew that end, derived the end of the dependent job from it, and reported the
// cancellation to the leader with a page of their read leases. The leader had not read the end of
// the first job yet, because the state service had just limited the leader's request rate. The
// leader treated the reported cancellation as stored, and removed the key of the dependent job
// without ever storing an end.
//
// The recorded log lines and requests, with the seconds of the day:
//
//	193.41 msg="elected leader" controller=stoker-2 fencing_token=4 jobs=75 placements=207
//	196.46 msg="state service limits lowered" controller=stoker-2 reason="request rate limited"
//	202.27 stoker-4 poll: 200 cancelled, over at 202.27
//	202.33 stoker-4 submit: 200 cancelled, over at 202.34
//	205.29 stoker-3 GET /kv?most=500&starts=zinclb/job/: 200 revision 1440 items 76
//	205.39 stoker-3 GET PATH: 404 revision 1440; and the like  (2 times, the last at 206.43)
//	208.89 stoker-3 poll: 404, over at 209.04
//	212.57 stoker-4 poll: 200 cancelled, over at 212.57

// cancellationSources are the messages by which a controller learns from a peer that jobs are
// cancelled.
var cancellationSources = []struct {
	name    string
	message func(h *harness, ids ...string) any
}{
	{"granted read lease", func(h *harness, ids ...string) any {
		page := readlease.CancellationPage{Incarnation: "x", UpTo: uint64(len(ids)), Complete: true, Cancelled: ids}
		return PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{ReadLease: &page}}
	}},
	{"ping for which an answer is held back", func(_ *harness, ids ...string) any {
		page := readlease.CancellationPage{Incarnation: "x", UpTo: uint64(len(ids)), Cancelled: ids}
		return PingReceived{RequestID: 900, From: "n1", Incarnation: "x", Cancellations: &page}
	}},
	{"status of an older version", func(h *harness, ids ...string) any {
		return PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Cancelled: ids}}
	}},
}

// reportedEndCase is a sequence of events in which a peer reports the end of the job "second" to a
// controller. The job depends on "first" and is stored as unfinished.
type reportedEndCase struct {
	name string
	// startsAsFollower reports whether another controller leads when the core starts.
	startsAsFollower bool
	// firstEndUnreadable reports whether the end of the first job can't be read initially.
	firstEndUnreadable bool
	// events are executed in order.
	events []func(h *harness, reportCancelled func(ids ...string))
}

// reportedEndCases returns cases that differ in when the controller receives the report, in what it
// knows by then, and in whether it leads.
func reportedEndCases() []reportedEndCase {
	type events = []func(h *harness, reportCancelled func(ids ...string))
	reportEnds := func(ids ...string) func(*harness, func(...string)) {
		return func(_ *harness, reportCancelled func(...string)) { reportCancelled(ids...) }
	}
	wait := func(h *harness, _ func(...string)) { h.advance(3 * second) }
	makeReadable := func(h *harness, _ func(...string)) { h.unreachable = map[string]bool{} }
	becomeLeader := func(h *harness, _ func(...string)) { h.remove(LeaderKey) }
	loseLeadership := func(h *harness, _ func(...string)) { h.remove(LeaderKey); h.listState() }
	submitThird := func(h *harness, _ func(...string)) {
		h.store(jobPrefix+"third", job("third", "second"))
		h.refresh()
	}
	return []reportedEndCase{
		{"leader before it reads the first job's end", false, true, events{wait, reportEnds("second"), wait, makeReadable, wait}},
		{"leader that never reads the first job's end", false, true, events{wait, reportEnds("second"), wait}},
		{"leader, both jobs reported, the dependent one first", false, true, events{wait, reportEnds("second", "first"), wait, makeReadable, wait}},
		{"leader, both jobs reported, the dependent one last", false, true, events{wait, reportEnds("first", "second"), wait, makeReadable, wait}},
		{"leader that has derived the end itself", false, false, events{wait, reportEnds("second"), wait}},
		{"controller that has just started", false, true, events{reportEnds("second"), wait, makeReadable, wait}},
		{"follower that becomes leader later", true, true, events{wait, reportEnds("second"), wait, becomeLeader, wait, makeReadable, wait}},
		{"follower that becomes leader immediately", true, true, events{wait, reportEnds("second"), becomeLeader, reportEnds("second"), wait, makeReadable, wait}},
		{"leader whose term ends before it writes", false, true, events{wait, reportEnds("second"), loseLeadership, wait, makeReadable, wait}},
		{"leader with a job that depends on the dependent one", false, true, events{wait, submitThird, wait, reportEnds("second"), wait, makeReadable, wait}},
	}
}

// TestReportedEndIsStored checks that a job's key is removed only if its end is stored, whichever
// message reports the cancellation, so that controllers that start later also know the job.
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
		endPrefix + "first":  endCancelled,
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
	reported := false
	reportCancelled := func(ids ...string) {
		reported = true
		h.step(message(h, ids...))
	}
	for _, event := range tc.events {
		event(h, reportCancelled)
		h.requireKnown("second")
	}
	if !reported {
		t.Fatal("got no report of a cancellation in the events, want at least one")
	}
	h.unreachable = map[string]bool{}
	for _, controller := range []string{"running controller", "restarted controller"} {
		// The peer holds no read lease, so no answer is held back because of it.
		h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Ack: &readlease.HolderAck{}}})
		if got := h.jobState("second"); got != jobstate.Cancelled {
			t.Errorf("%s: got job state %s, want %s", controller, got, jobstate.Cancelled)
		}
		delete(h.keys, LeaderKey)
		h.restart()
		h.advance(3 * second)
	}
	h.requireKnown("second")
}

// TestReportedEndAlreadyStored checks that a leader to which a cancellation is reported before it
// reads the stored end finds that end, stores none of its own and continues, in every format.
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
				h.store(endPrefix+"a", endCancelled)
				want := h.keys[endPrefix+"a"].Revision
				h.step(source.message(h, "a"))
				h.advance(3 * second)
				if _, left := h.keys[jobPrefix+"a"]; left {
					t.Error("got the key of job a still stored, want it removed")
				}
				if got := h.keys[endPrefix+"a"].Revision; got != want {
					t.Errorf("got the end of job a at revision %d, want %d, unchanged", got, want)
				}
				h.requireKnown("a")
			})
		}
	}
}

// TestDerivedEndNotReported checks that a controller does not report an end that it has derived to
// its peers. A leader does not need the report, as it starts no task of a job that depends on a
// cancelled one. Users therefore get their answer without waiting until the leader has learned of
// the end. A leader of a version that does not distinguish derived from stored ends would treat the
// end as stored: with two versions side by side, such a leader lost an end that a newer controller
// had reported to it.
func TestDerivedEndNotReported(t *testing.T) {
	h := newHarness(t, map[string]any{
		formatKey:            progressLogFormat,
		LeaderKey:            leaderRecord{Name: "n1", Incarnation: "x", Token: 1, Lease: 1},
		endPrefix + "first":  endCancelled,
		jobPrefix + "second": job("second", "first"),
	})
	h.core.settings.Peers = []string{"n1"}
	h.core.readLeases.grantor = readlease.NewGrantor("b", h.core.settings.Peers, h.core.settings.LeaderAuthorityTime(), h.now)
	h.advance(2 * second)
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{Ack: &readlease.HolderAck{}}})
	h.step(PingReceived{RequestID: 900, From: "n1", Incarnation: "x", ReadLeaseRequest: &readlease.GrantRequest{}})
	if state := h.jobState("second"); state != jobstate.Cancelled {
		t.Errorf("got job state %s while a peer holds a read lease, want %s", state, jobstate.Cancelled)
	}
	h.step(PingReceived{RequestID: 901, From: "n1", Incarnation: "x", ReadLeaseRequest: &readlease.GrantRequest{}})
	page := h.replies[901].PeerStatus.ReadLease
	if slices.Contains(page.Cancelled, "second") || !slices.Contains(page.Cancelled, "first") {
		t.Errorf("got cancellations %v reported to the holder of a read lease, want first and not second", page.Cancelled)
	}
	h.step(PingReceived{RequestID: 902, From: "n1"})
	if reported := h.replies[902].PeerStatus.Cancelled; slices.Contains(reported, "second") || !slices.Contains(reported, "first") {
		t.Errorf("got cancellations %v reported to a leader of an older version, want first and not second", reported)
	}
}
