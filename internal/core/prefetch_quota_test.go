package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// TestPrefetchQuota: the prefetches of the last leader are stored nowhere. For
// a team at its limit they came on top of what the new one started, for
// the moment in which such a task has its image and is done (TestPipelines, seed
// 261, at the third leader).
func TestPrefetchQuota(t *testing.T) {
	r := newLeaderHarness(t)
	r.c.settings.Teams = []config.Team{{Name: "t", GPUsMax: 16}}
	used := map[string]teamUsage{"t": {gpu: 12_000}}
	headroom := func() int64 { return r.c.planner.quotaHeadroom(map[string]*sched.Headroom{}, used, "t").GPU }
	mayPrefetch := func() bool {
		return r.c.prefetcher.withinLimit("t", teamUsage{gpu: 1000}, r.c.prefetcher.quotaShareForPrefetch(), jobstate.Resources{GPU: 1000})
	}
	if got := headroom(); got != 2000 || mayPrefetch() {
		t.Errorf("a new leader has headroom for %d, and prefetches: %v", got, mayPrefetch())
	}
	r.c.elector.leadership.fencingToken = 1
	if got := headroom(); got != 4000 || !mayPrefetch() {
		t.Errorf("the first leader of all has headroom for %d, and prefetches: %v", got, mayPrefetch())
	}
	r.c.elector.leadership.fencingToken = 6
	r.tick(r.c.settings.FailoverEpochTimeout())
	if got := headroom(); got != 4000 || !mayPrefetch() {
		t.Errorf("once they have expired there is headroom for %d, and prefetches: %v", got, mayPrefetch())
	}
	if r.c.prefetcher.withinLimit("t", teamUsage{gpu: 2000}, r.c.prefetcher.quotaShareForPrefetch(), jobstate.Resources{GPU: 1000}) {
		t.Error("more than its share of the limit may be used")
	}
}
