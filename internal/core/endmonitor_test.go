package core

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/readlease"
)

// captureLogs redirects the log of the harness's core to the returned builder.
func (h *harness) captureLogs() *strings.Builder {
	logged := &strings.Builder{}
	h.core.log = slog.New(slog.NewTextHandler(logged, nil))
	return logged
}

// TestEndLogging checks that the log shows how the controller learned of an end, which stored end
// allowed the removal of a job's key, and which lookup found that a job is not known. The counts
// in the operator view have to agree with the log.
func TestEndLogging(t *testing.T) {
	h := newHarness(t, map[string]any{
		formatKey:            progressLogFormat,
		endPrefix + "first":  endCancelled,
		jobPrefix + "second": job("second", "first"),
		jobPrefix + "third":  job("third", "second"),
	})
	h.unreachable[endPrefix+"first"] = true
	logged := h.captureLogs()
	h.advance(3 * second)
	h.delaysCommits = true
	page := readlease.CancellationPage{Incarnation: "x", UpTo: 1, Complete: true, Cancelled: []string{"second"}}
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{ReadLease: &page}})
	if unstored := h.core.endMonitor.countUnstoredEnds(); unstored != 2 {
		t.Errorf("got %d unstored ends, want 2: of the cancelled job and of its dependent", unstored)
	}
	h.unreachable = map[string]bool{}
	h.delaysCommits = false
	for _, delayed := range h.delayedCommits {
		h.commit(delayed)
	}
	h.advance(3 * second)
	if state := h.jobState("unheard-of"); state != "404" {
		t.Errorf("state of a job that was never submitted: got %s, want 404", state)
	}
	for _, want := range []string{
		`msg="elected leader" fencing_token=1 jobs=2 placements=0 revision=`,
		`unknown_ends=1`,
		`msg="end of dependency not known" job=first error="no answer"`,
		`msg="cancellation reported by peer" job=second peer=n1 unfinished_here=true`,
		`msg="job cancelled by end of dependency" job=third dependency=second dependency_end="told by a peer"`,
		`msg="cancelled job removed" job=second end_revision=`,
		`msg="cancelled job removed" job=third end_revision=`,
		`msg="job is not known" job=unheard-of lookup=read`,
	} {
		if !strings.Contains(logged.String(), want) {
			t.Errorf("got no log line with %s, want one", want)
		}
	}
	view := h.core.operators.view()
	if view.UnstoredEnds != 0 {
		t.Errorf("got %d unstored ends after all writes, want 0", view.UnstoredEnds)
	}
	counts := view.Ends
	if counts.FailedReads == 0 || counts.Reported != 1 || counts.Derived != 1 || counts.NotFoundRead != 1 || counts.NotFoundCompared != 0 {
		t.Errorf("got counts %+v, want at least 1 failed read, 1 reported, 1 derived, 1 not found by a read and 0 by comparison", counts)
	}
	if t.Failed() {
		t.Log(logged)
	}
}

// TestEndLoggingRateLimit checks that log lines above the rate limit are omitted, and that the
// next line contains the number of omitted lines.
func TestEndLoggingRateLimit(t *testing.T) {
	const unknown = 100
	h := newHarness(t, map[string]any{formatKey: progressLogFormat})
	h.advance(2 * second)
	logged := h.captureLogs()
	for range unknown {
		h.core.endMonitor.recordNotFound("j", endLookup{compared: true, revision: 7})
	}
	first := strings.Count(logged.String(), "job is not known")
	if first < 1 || first > endLogsPerSecond {
		t.Errorf("got %d log lines for %d lookups of an unknown job, want 1 to %d", first, unknown, endLogsPerSecond)
	}
	h.advance(second)
	h.core.endMonitor.recordNotFound("j", endLookup{})
	if lines := strings.TrimSpace(logged.String()); !strings.HasSuffix(lines, "omitted=95") || h.core.endMonitor.counts.NotFoundCompared != unknown {
		t.Errorf("got counts %+v, want %d not found by comparison; want the last line to end with omitted=95, got lines:\n%s", h.core.endMonitor.counts, unknown, lines)
	}
}
