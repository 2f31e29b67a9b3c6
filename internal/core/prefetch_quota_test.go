package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// TestCarried: what the last leader had out to warm machines is stored nowhere. In
// the names of a team at its limit it came on top of what the new one started, for
// the moment in which such a task has its image and is done (TestPipelines, seed
// 261, at the third leader).
func TestCarried(t *testing.T) {
	r := newRig(t)
	r.c.settings.Teams = []config.Team{{Name: "t", GPUsMax: 16}}
	used := map[string]teamUsage{"t": {gpu: 12_000}}
	room := func() int64 { return r.c.planner.quotaHeadroom(map[string]*sched.Headroom{}, used, "t").GPU }
	warms := func() bool {
		return r.c.prefetcher.withinLimit("t", teamUsage{gpu: 1000}, r.c.prefetcher.quotaShareForPrefetch(), jobstate.Resources{GPU: 1000})
	}
	if got := room(); got != 2000 || warms() {
		t.Errorf("a new leader has room for %d, and warms: %v", got, warms())
	}
	r.c.elector.leadership.fencingToken = 1
	if got := room(); got != 4000 || !warms() {
		t.Errorf("the first leader of all has room for %d, and warms: %v", got, warms())
	}
	r.c.elector.leadership.fencingToken = 6
	r.tick(r.c.settings.FailoverEpochTimeout())
	if got := room(); got != 4000 || !warms() {
		t.Errorf("once they are gone there is room for %d, and it warms: %v", got, warms())
	}
	if r.c.prefetcher.withinLimit("t", teamUsage{gpu: 2000}, r.c.prefetcher.quotaShareForPrefetch(), jobstate.Resources{GPU: 1000}) {
		t.Error("more than its share of the limit is out")
	}
}
