package core

import (
	"fmt"
	"testing"
)

// TestLookup: many who ask about jobs that are over for long, or that nobody
// submitted, cost a few requests and not one each, and what the state service refuses
// for its rate is asked again before users give up. Under the tightest limits users
// once were refused so often that a run about which they asked every 200 s counted
// as forgotten (TestSweepLargest in full).
func TestLookup(t *testing.T) {
	cases := []struct {
		name   string
		refuse int
		most   int // reads
	}{
		{"many at once", 0, 30},
		{"the first are refused", 3, 34},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			keys := map[string]any{formatKey: joined}
			want := map[string]string{}
			for i := range 100 {
				id := fmt.Sprintf("job-%03d", i)
				want[id] = "404"
				switch i % 10 {
				case 3:
					keys[endPrefix+id], want[id] = endDone, "done"
				case 7:
					keys[endPrefix+id], want[id] = cancelled, "cancelled"
				}
			}
			s := newHarness(t, keys)
			s.advance(200_000)
			s.reads, s.readsToRefuse = 0, tc.refuse
			asked := map[uint64]string{}
			for i := range 200 { // each twice
				s.lastRequest++
				id := fmt.Sprintf("job-%03d", i%100)
				asked[s.lastRequest] = id
				s.step(QueryJob{RequestID: s.lastRequest, ID: id})
			}
			s.advance(maxReadWait + second/2)
			for req, id := range asked {
				r, ok := s.replies[req]
				got := fmt.Sprint(r.Status)
				if r.Job != nil {
					got = r.Job.State
				}
				if !ok || got != want[id] {
					t.Errorf("%s: %s (%v), want %s", id, got, ok, want[id])
				}
			}
			if s.reads > tc.most {
				t.Errorf("%d reads for 200 questions about 100 jobs", s.reads)
			}
		})
	}
	t.Run("refused for good", func(t *testing.T) {
		s := newHarness(t, nil)
		s.advance(200_000)
		s.readsToRefuse = 1000
		if r := s.request(QueryJob{ID: "other"}); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%+v", r)
		}
	})
}
