package faketime

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestOneTaskJobs submits four one-task jobs per second for three minutes, a quarter of which
// are cancelled, with a limit of 25 changes per second. For 30 s, users query all controllers
// after each answer that a job is accepted or has ended. The number of changes per job from
// acceptance to removal has to be bounded, most jobs have to be accepted and done promptly, and at
// the end no job/ or run/ key may be left.
func TestOneTaskJobs(t *testing.T) {
	t.Parallel()
	d := newTestRun(12)
	d.Jobs, d.Length = nil, 330*second
	d.setMachines(16)
	const jobCount = 720
	for i := range jobCount {
		j := job{At: 20*second + int64(i)*250_000, Run: 5 * second, Spec: wire.Job{
			ID: fmt.Sprintf("tiny-%03d", i), Class: "tiny", Team: []string{"red", "blue"}[i%2], Kind: wire.Array, Tasks: 1,
			CPUs: 1, GPUs: 0.1, MemGB: 1, Priority: "normal", Image: "im", ImageGB: 0.1, EstimateS: 5,
		}}
		if i%4 == 3 {
			j.Cancel = j.At + int64(i%40)*200_000
		}
		d.Jobs = append(d.Jobs, j)
	}
	d.Faults = []fault{faultAt(80, "close_looks", 30), faultAt(140, "crash", 0)}
	c := d.runAndCheck(t)
	changes, remaining := 0, map[string]bool{}
	for _, e := range c.History {
		key := strings.TrimPrefix(e.Key, core.Prefix)
		isJobKey := strings.HasPrefix(key, "job/") || strings.HasPrefix(key, "end/") || strings.HasPrefix(key, "run/") || strings.HasPrefix(key, "log/")
		if e.Kind != history.StateChanged || !isJobKey {
			continue
		}
		changes++
		if remaining[key] = e.State == "put"; e.State != "put" {
			delete(remaining, key)
		}
	}
	changesPerJob := float64(changes) / jobCount
	t.Logf("%.2f changes per job", changesPerJob)
	if changesPerJob > 4.5 {
		t.Errorf("got %.2f changes per job, want at most 4.5, as four jobs per second share 25 changes per second", changesPerJob)
	}
	for key := range remaining {
		if strings.HasPrefix(key, "job/") || strings.HasPrefix(key, "run/") {
			t.Errorf("key %s is left at the end, want it removed", key)
		}
	}
	metrics := history.Metrics(c.History, c.Expectations(), []history.Objective{{Kind: "complete", Class: "tiny", Within: 20 * second}})
	if share := metrics["complete tiny 20 s"]; share < 0.9 {
		t.Errorf("share of jobs done within 20 s is %.2f, want at least 0.90", share)
	}
	if metrics["accept_p99_s"] > 8 {
		t.Errorf("99th percentile of the time to acceptance is %.1f s, want at most 8 s", metrics["accept_p99_s"])
	}
	t.Logf("share done within 20 s: %.2f; time to acceptance: p50 %.1f s, p99 %.1f s; starts after cancellation: %v", metrics["complete tiny 20 s"], metrics["accept_p50_s"], metrics["accept_p99_s"], metrics[history.StartsAfterCancellation])
}
