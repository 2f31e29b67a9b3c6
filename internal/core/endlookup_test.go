package core

import (
	"fmt"
	"testing"
)

// TestEndLookup checks that many requests about jobs that ended long ago or were never submitted
// cost a few reads instead of one each, and that reads refused by the state service's rate limit
// are retried before the requests time out. Otherwise, under the tightest limits, requests were
// refused so often that a run queried every 200 s counted as lost (faketime.TestLargestSweep at
// full size).
func TestEndLookup(t *testing.T) {
	cases := []struct {
		name     string
		refused  int
		maxReads int
	}{
		{"no read refused", 0, 30},
		{"first reads refused", 3, 34},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			keys := map[string]any{formatKey: progressLogFormat}
			want := map[string]string{}
			for i := range 100 {
				id := fmt.Sprintf("job-%03d", i)
				want[id] = "404"
				switch i % 10 {
				case 3:
					keys[endPrefix+id], want[id] = endDone, "done"
				case 7:
					keys[endPrefix+id], want[id] = endCancelled, "cancelled"
				}
			}
			h := newHarness(t, keys)
			h.advance(200_000)
			h.reads, h.readsToRefuse = 0, tc.refused
			requestedJobs := map[uint64]string{}
			for i := range 200 { // two requests for each job
				h.lastRequest++
				id := fmt.Sprintf("job-%03d", i%100)
				requestedJobs[h.lastRequest] = id
				h.step(QueryJob{RequestID: h.lastRequest, ID: id})
			}
			h.advance(maxReadWait + second/2)
			for requestID, id := range requestedJobs {
				reply, ok := h.replies[requestID]
				got := fmt.Sprint(reply.Status)
				if reply.Job != nil {
					got = reply.Job.State
				}
				if !ok || got != want[id] {
					t.Errorf("%s: got %s (replied: %v), want %s", id, got, ok, want[id])
				}
			}
			if h.reads > tc.maxReads {
				t.Errorf("got %d reads for 200 requests about 100 jobs, want at most %d", h.reads, tc.maxReads)
			}
		})
	}
	t.Run("all reads refused", func(t *testing.T) {
		h := newHarness(t, nil)
		h.advance(200_000)
		h.readsToRefuse = 1000
		if reply := h.request(QueryJob{ID: "other"}); reply.Status != 503 || reply.RetryAfter == 0 {
			t.Errorf("got %+v, want status 503 with a retry time", reply)
		}
	})
}
