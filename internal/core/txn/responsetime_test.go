package txn

import "testing"

// TestResponseTime checks that an answer is overdue after several deviations from the average
// response time, within bounds, and that each missing answer doubles the timeout.
func TestResponseTime(t *testing.T) {
	const millisecond = int64(1000)
	cases := []struct {
		name     string
		samples  []int64
		backOffs int
		min, max int64
	}{
		{"no samples", nil, 0, maxTimeout, maxTimeout},
		{"fast answers", []int64{5 * millisecond, 4 * millisecond, 6 * millisecond}, 0, minTimeout, minTimeout},
		{"one slow answer after a fast one", []int64{5 * millisecond, 300 * millisecond}, 0, minTimeout, 500 * millisecond},
		{"very slow answer after a fast one", []int64{5 * millisecond, 700 * millisecond}, 0, 700 * millisecond, maxTimeout},
		{"answer slower than the maximum timeout", []int64{5000 * millisecond}, 0, maxTimeout, maxTimeout},
		{"one lost answer", []int64{5 * millisecond}, 1, 2 * minTimeout, 2 * minTimeout},
		{"many lost answers", []int64{5 * millisecond}, 40, maxTimeout, maxTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var r responseTime
			for _, sample := range tc.samples {
				r.record(sample)
			}
			for range tc.backOffs {
				r.backOff()
			}
			if got := r.timeout(); got < tc.min || got > tc.max {
				t.Errorf("got timeout %d us, want %d to %d", got, tc.min, tc.max)
			}
		})
	}
	r := responseTime{}
	r.record(5 * millisecond)
	r.backOff()
	r.record(5 * millisecond)
	if got := r.timeout(); got != minTimeout {
		t.Errorf("got timeout %d us after an answer reset the backoff, want %d", got, minTimeout)
	}
}
