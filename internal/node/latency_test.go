package node

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core"
)

// TestLatencies: each of the users' calls has its own figures, whatever the
// value, and workers' heartbeats have none.
func TestLatencies(t *testing.T) {
	cases := []struct {
		name    string
		request any
		took    []int64
		call    string
		p50     float64
		most    float64
	}{
		{"submissions", core.SubmitJob{}, []int64{1000, 2000, 90_000}, "submit", 2, 90},
		{"polls", core.QueryJob{}, []int64{4000}, "status", 4, 4},
		{"a clock that stands", core.CancelJob{}, []int64{0}, "cancel", 0.001, 0.001},
		{"longer than can be counted", core.CancelJob{}, []int64{10 * maxLatency}, "cancel", 60_000, 60_000},
		{"heartbeats", core.HeartbeatReceived{}, []int64{1000}, "", 0, 0},
	}
	for _, tc := range cases {
		l := latencyRecorder{}
		for _, us := range tc.took {
			l.record(tc.request, us)
		}
		v := l.summary()
		if tc.call == "" {
			if len(v) != 0 {
				t.Errorf("%s: %+v", tc.name, v)
			}
			continue
		}
		near := func(got, want float64) bool { return got >= want*0.98 && got <= want*1.02 }
		if len(v) != 1 || v[0].Call != tc.call || v[0].Answers != int64(len(tc.took)) || !near(v[0].P50, tc.p50) || !near(v[0].Max, tc.most) {
			t.Errorf("%s: %+v", tc.name, v)
		}
	}
}
