package node

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core"
)

// TestLatencies checks that each kind of user call has its own latencies, also for
// values out of the recorded range, and that workers' heartbeats are not recorded.
func TestLatencies(t *testing.T) {
	cases := []struct {
		name    string
		request any
		micros  []int64
		call    string
		p50     float64
		max     float64
	}{
		{"submissions", core.SubmitJob{}, []int64{1000, 2000, 90_000}, "submit", 2, 90},
		{"status queries", core.QueryJob{}, []int64{4000}, "status", 4, 4},
		{"zero latency", core.CancelJob{}, []int64{0}, "cancel", 0.001, 0.001},
		{"beyond the recorded maximum", core.CancelJob{}, []int64{10 * maxLatency}, "cancel", 60_000, 60_000},
		{"heartbeats", core.HeartbeatReceived{}, []int64{1000}, "", 0, 0},
	}
	for _, tc := range cases {
		l := latencyRecorder{}
		for _, micros := range tc.micros {
			l.record(tc.request, micros)
		}
		v := l.summary()
		if tc.call == "" {
			if len(v) != 0 {
				t.Errorf("%s: got summary %+v, want none", tc.name, v)
			}
			continue
		}
		near := func(got, want float64) bool { return got >= want*0.98 && got <= want*1.02 }
		if len(v) != 1 || v[0].Call != tc.call || v[0].Answers != int64(len(tc.micros)) || !near(v[0].P50, tc.p50) || !near(v[0].Max, tc.max) {
			t.Errorf("%s: got summary %+v, want call %q with %d answers, P50 %v ms and max %v ms", tc.name, v, tc.call, len(tc.micros), tc.p50, tc.max)
		}
	}
}
