package metrics

import (
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/zinclb/zinclb/internal/core"
)

// TestEncode parses the encoded metrics of a leader and of a follower and checks their values.
func TestEncode(t *testing.T) {
	view := core.OperatorView{
		FencingToken: 7,
		Synced:       true,
		Jobs:         12,
		Peers:        []core.PeerView{{Name: "node \"1\"", Up: true}, {Name: "node-2"}},
		Queues:       []core.QueueView{{Waiting: 3, Tasks: 40, WaitsS: 1.5}, {}},
		Machines:     core.MachinesView{Busy: 5, Booting: 2},
		Reach: core.ConnectivityView{
			Links:        []core.LinkView{{Link: "to node-2", State: "lost"}, {Link: "cloud", State: "slow"}},
			Matrix:       map[string]core.ConnectivityRowView{"node-2": {Workers: map[string]int{"a": 6}}},
			SteppedAside: &core.LeadershipTransferView{To: "node-2", AgeS: 3},
		},
		Latencies: []core.LatencyView{{Call: "submit", Answers: 10, Mean: 20, P50: 15, P95: 40, P99: 50}},
	}
	cases := []struct {
		leading bool
		want    map[string]float64
		without string
	}{
		{
			leading: false,
			want: map[string]float64{
				"zinclb_unfinished_jobs":          12,
				"zinclb_token":                    7,
				"zinclb_synced":                   1,
				"zinclb_leading":                  0,
				"zinclb_link_usable{to node-2}":   0,
				"zinclb_link_usable{cloud}":       1,
				"zinclb_reach_eighths{node-2}":    6,
				"zinclb_gave_way_seconds{node-2}": 3,
				`zinclb_peer_up{node "1"}`:        1,
				"zinclb_peer_up{node-2}":          0,
				"zinclb_request_seconds{submit}":  0.2,
			},
			without: "zinclb_machines",
		},
		{
			leading: true,
			want: map[string]float64{
				"zinclb_leading":                      1,
				"zinclb_machines{busy}":               5,
				"zinclb_machines{booting}":            2,
				"zinclb_queue_waiting_tasks{0}":       40,
				"zinclb_queue_pivot_waits_seconds{0}": 1.5,
			},
			without: "nothing",
		},
	}
	for _, tc := range cases {
		view.Leading = tc.leading
		text, err := Encode(&view)
		if err != nil {
			t.Fatalf("leading %v: encode metrics: got error %v, want none", tc.leading, err)
		}
		parser := expfmt.NewTextParser(model.LegacyValidation)
		families, err := parser.TextToMetricFamilies(strings.NewReader(string(text)))
		if err != nil {
			t.Fatalf("leading %v: parse metrics: got error %v, want none; the metrics are\n%s", tc.leading, err, text)
		}
		got := map[string]float64{}
		for name, family := range families {
			for _, metric := range family.Metric {
				key := name
				if len(metric.Label) > 0 {
					key += "{" + metric.Label[0].GetValue() + "}"
				}
				got[key] = metric.GetGauge().GetValue() + metric.GetSummary().GetSampleSum()
			}
		}
		for name, want := range tc.want {
			if v, ok := got[name]; !ok || v != want {
				t.Errorf("leading %v: metric %s: got %v (present: %v), want %v", tc.leading, name, v, ok, want)
			}
		}
		if strings.Contains(string(text), tc.without) {
			t.Errorf("leading %v: got metric %s, want none", tc.leading, tc.without)
		}
	}
}
