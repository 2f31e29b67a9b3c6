// Package metrics writes what operators are shown of a controller in the text
// format that monitoring systems read. Nothing is counted for it: it is made of
// the view of the moment when somebody asks, and costs nothing otherwise.
package metrics

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"github.com/zinclb/zinclb/internal/core"
)

// ContentType is that of Text.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// collector is one moment of a controller.
type collector struct{ *core.OperatorView }

// Describe sends nothing: which metrics there are depends on the moment (only a
// leader has queues), so the registry checks none in advance.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the metrics of the moment.
func (v collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(name, help string, value float64, labels ...string) {
		var names, values []string
		for i := 0; i < len(labels); i += 2 {
			names, values = append(names, labels[i]), append(values, labels[i+1])
		}
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc("zinclb_"+name, help, names, nil), prometheus.GaugeValue, value, values...)
	}
	yes := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge("leading", "1 if this controller leads.", yes(v.Leading))
	gauge("synced", "1 if it has read the state service.", yes(v.Synced))
	gauge("token", "Token of the newest leadership it knows.", float64(v.FencingToken))
	gauge("state_revision", "Revision of the state service it has seen.", float64(v.Revision))
	gauge("state_silent_seconds", "Time since the state service last answered it.", v.StateAgeS)
	gauge("state_limits_fallen", "1 if the state service's limits to come are here.", yes(v.LimitsLowered))
	gauge("writes_left", "Changes that its budget has left at this moment.", v.WritesLeft)
	gauge("reads_left", "Reads of the state service that its budget has left at this moment.", v.ReadsLeft)
	gauge("format", "Version of stored data.", float64(v.Format))
	gauge("unfinished_jobs", "Accepted jobs that are not over.", float64(v.Jobs))
	gauge("awaiting_jobs", "Unfinished jobs that wait for others to be done.", float64(v.Awaiting))
	gauge("troubles", "Troubles that operators are told of.", float64(len(v.Conditions)))
	for _, p := range v.Peers {
		gauge("peer_up", "1 if another controller answers.", yes(p.Up), "peer", p.Name)
	}
	for _, l := range v.Reach.Links {
		gauge("link_usable", "1 if a link of this controller is up, slow or comes and goes; 0 if it is lost, refusing or was not tried of late.", yes(l.State == "up" || l.State == "slow" || l.State == "flapping"), "link", l.Link)
	}
	for name, row := range v.Reach.Matrix {
		for zone, n := range row.Workers {
			gauge("reach_eighths", "Eighths of a zone's machines that a controller says it reaches.", float64(n), "controller", name, "zone", zone)
		}
	}
	if g := v.Reach.SteppedAside; g != nil {
		gauge("gave_way_seconds", "Time since this controller left the leadership to one that serves more.", g.AgeS, "to", g.To)
	}
	if v.Leading {
		gauge("cloud_calls_left", "Calls that the budget for the cloud has left.", v.CallsLeft)
		m := v.Machines
		for _, s := range []struct {
			state string
			n     int
		}{{"busy", m.Busy}, {"idle", m.Idle}, {"warming", m.Prefetching}, {"silent", m.Silent}, {"deaf", m.NotReceiving}, {"draining", m.Draining}, {"booting", m.Booting}} {
			gauge("machines", "Machines by what they are doing, as the leader knows them.", float64(s.n), "state", s.state)
		}
		for i, q := range v.Queues {
			gauge("queue_waiting_jobs", "Jobs that wait in a queue.", float64(q.Waiting), "queue", strconv.Itoa(i))
			gauge("queue_waiting_tasks", "Tasks of jobs that wait in a queue.", float64(q.Tasks), "queue", strconv.Itoa(i))
			gauge("queue_pivot_waits_seconds", "How long a queue's pivot has waited.", q.WaitsS, "queue", strconv.Itoa(i))
		}
	}
	desc := prometheus.NewDesc("zinclb_request_seconds", "How long users' requests took in this process.", []string{"call"}, nil)
	for _, l := range v.Latencies {
		out <- prometheus.MustNewConstSummary(desc, uint64(l.Answers), l.Mean*float64(l.Answers)/1e3,
			map[float64]float64{0.5: l.P50 / 1e3, 0.95: l.P95 / 1e3, 0.99: l.P99 / 1e3}, l.Call)
	}
}

// Encode is the view in the text format.
func Encode(v *core.OperatorView) ([]byte, error) {
	r := prometheus.NewPedanticRegistry()
	if err := r.Register(collector{v}); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	families, err := r.Gather()
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	var b bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&b, f); err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return b.Bytes(), nil
}
