package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// TestPrefetchQuota checks that a new leader leaves headroom in a team's limit for the prefetches
// of the previous leader, which are not stored. Without headroom, a team at its limit exceeds the
// limit while such a prefetch has fetched its image and is about to exit, because its usage adds
// to that of the tasks which the new leader starts. This was seen in TestPipelines, seed 261,
// under the third leader.
func TestPrefetchQuota(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.settings.Teams = []config.Team{{Name: "t", GPUsMax: 16}}
	used := map[string]teamUsage{"t": {gpu: 12_000}}
	headroom := func() int64 { return h.core.planner.quotaHeadroom(map[string]*sched.Headroom{}, used, "t").GPU }
	mayPrefetch := func() bool {
		return h.core.prefetcher.withinLimit("t", teamUsage{gpu: 1000}, h.core.prefetcher.quotaShareForPrefetch(), jobstate.Resources{GPU: 1000})
	}
	if got := headroom(); got != 2000 || mayPrefetch() {
		t.Errorf("new leader: got headroom %d and prefetch allowed %v, want 2000 and false", got, mayPrefetch())
	}
	h.core.elector.leadership.fencingToken = 1
	if got := headroom(); got != 4000 || !mayPrefetch() {
		t.Errorf("first leader of the cluster: got headroom %d and prefetch allowed %v, want 4000 and true", got, mayPrefetch())
	}
	h.core.elector.leadership.fencingToken = 6
	h.tick(h.core.settings.FailoverEpochTimeout())
	if got := headroom(); got != 4000 || !mayPrefetch() {
		t.Errorf("after the inherited prefetches have expired: got headroom %d and prefetch allowed %v, want 4000 and true", got, mayPrefetch())
	}
	if h.core.prefetcher.withinLimit("t", teamUsage{gpu: 2000}, h.core.prefetcher.quotaShareForPrefetch(), jobstate.Resources{GPU: 1000}) {
		t.Error("withinLimit beyond the share for prefetches: got true, want false")
	}
}
