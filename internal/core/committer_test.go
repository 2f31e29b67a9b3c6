package core

import (
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
)

// TestCommitOrder checks that with a low write budget, task starts and finished jobs are written
// before the ends of tasks, which are delayed for a while and written together, and that with a
// sufficient budget everything is written at once.
func TestCommitOrder(t *testing.T) {
	cases := []struct {
		name  string
		level float64 // tokens in the write budget
		age   int64   // time since the changes, in microseconds
		want  string
	}{
		{"sufficient budget", 70, second, "place done end "},
		{"low budget", 20, second, "place done "},
		{"low budget, ends older than the maximum delay", 20, 5 * second, "place done end "},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			core := h.core
			clear(core.elector.leadership.commits.dirty)
			add := func(id string, priority int) *jobstate.Job {
				j := jobstate.NewJob(&jobstate.Spec{ID: id, Team: "t", Kind: jobstate.Array, Tasks: 2, Priority: priority, Need: jobstate.Resources{CPU: 1000}, Estimate: 10 * second})
				core.cache.jobs[id] = j
				core.committer.markDirty(j)
				return j
			}
			changedAt := core.now - tc.age
			end := add("end", jobstate.Urgent) // written last although it has the highest priority
			end.PlaceTask(0, "x0", 1, changedAt)
			end.PlaceTask(1, "x1", 1, changedAt)
			_, version := end.BeginChunkWrite(0, 0)
			end.CommitChunkWrite(0, version, 1)
			end.SetDone(0, changedAt)
			end.UnplaceTask(0, changedAt)
			add("place", jobstate.Normal).PlaceTask(0, "x2", 1, changedAt)
			done := add("done", jobstate.Idle)
			done.SetDone(0, changedAt)
			done.SetDone(1, changedAt)
			core.health.writeBudget = ratelimit.NewTokenBucket(core.now, tc.level)
			core.elector.leadership.commits.inFlight, core.elector.leadership.commits.notBefore = false, 0
			core.committer.commitNow()
			got := ""
			for _, effect := range core.effects {
				transaction, ok := effect.(CommitTransaction)
				if !ok {
					continue
				}
				for _, write := range transaction.Writes {
					if strings.HasPrefix(write.Key, runPrefix) && write.Value != nil || strings.HasPrefix(write.Key, endPrefix) {
						id, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(write.Key, runPrefix), endPrefix), "/")
						got += id + " "
					}
				}
			}
			if got != tc.want {
				t.Errorf("got writes for jobs %q, want %q", got, tc.want)
			}
		})
	}
}
