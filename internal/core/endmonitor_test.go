package core

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/readlease"
)

// logged has a harness's core write its log lines to a text.
func (h *harness) logged() *strings.Builder {
	text := &strings.Builder{}
	h.core.log = slog.New(slog.NewTextHandler(text, nil))
	return text
}

// TestEndLines: the log says from where an end is known, on account of which stored end a job's
// key goes, and by what a job is called unknown; the metrics count the same.
func TestEndLines(t *testing.T) {
	h := newHarness(t, map[string]any{
		formatKey:            joined,
		endPrefix + "first":  cancelled,
		jobPrefix + "second": job("second", "first"),
		jobPrefix + "third":  job("third", "second"),
	})
	h.unreachable[endPrefix+"first"] = true
	text := h.logged()
	h.advance(3 * second)
	h.delaysCommits = true
	page := readlease.CancellationPage{Incarnation: "x", UpTo: 1, Complete: true, Cancelled: []string{"second"}}
	h.step(PeerPinged{Peer: "n1", SentAt: h.now, OK: true, Status: PeerStatus{ReadLease: &page}})
	if n := h.core.endMonitor.unstored(); n != 2 {
		t.Errorf("%d ends are not stored, of a job and one that depends on it", n)
	}
	h.unreachable = map[string]bool{}
	h.delaysCommits = false
	for _, delayed := range h.delayedCommits {
		h.commit(delayed)
	}
	h.advance(3 * second)
	if state := h.jobState("unheard-of"); state != "404" {
		t.Errorf("a job that nobody has submitted is %s", state)
	}
	for _, want := range []string{
		`msg="elected leader" fencing_token=1 jobs=2 placements=0 revision=`,
		`unknown_ends=1`,
		`msg="end of a dependency is not known" job=first error="no answer"`,
		`msg="peer tells of a cancellation" job=second peer=n1 unfinished_here=true`,
		`msg="job cancelled by another's end" job=third dependency=second dependency_end="told by a peer"`,
		`msg="cancelled job removed" job=second end_revision=`,
		`msg="cancelled job removed" job=third end_revision=`,
		`msg="job is not known" job=unheard-of lookup=read`,
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no line with %s", want)
		}
	}
	view := h.core.operators.view()
	if view.UnstoredEnds != 0 {
		t.Errorf("%d ends are not stored when all is quiet", view.UnstoredEnds)
	}
	counts := view.Ends
	if counts.FailedReads == 0 || counts.Told != 1 || counts.Derived != 1 || counts.NotFoundRead != 1 || counts.NotFoundCompared != 0 {
		t.Errorf("counted %+v", counts)
	}
	if t.Failed() {
		t.Log(text)
	}
}

// TestEndLinesLimit: many lines of a kind are left out, and the next one says how many.
func TestEndLinesLimit(t *testing.T) {
	const unknown = 100
	h := newHarness(t, map[string]any{formatKey: joined})
	h.advance(2 * second)
	text := h.logged()
	for range unknown {
		h.core.endMonitor.notFound("j", lookup{compared: true, revision: 7})
	}
	first := strings.Count(text.String(), "job is not known")
	if first < 1 || first > endLinesPerSecond {
		t.Errorf("%d of %d lines at once", first, unknown)
	}
	h.advance(second)
	h.core.endMonitor.notFound("j", lookup{})
	if lines := strings.TrimSpace(text.String()); !strings.HasSuffix(lines, "omitted=95") || h.core.endMonitor.counts.NotFoundCompared != unknown {
		t.Errorf("the last of %s; counted %+v", lines, h.core.endMonitor.counts)
	}
}
