// Package metrics encodes the operators' view of a controller in the Prometheus text format.
// All metrics, including counters, are computed from the current view for each request, so there
// is no cost between requests.
package metrics

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"github.com/zinclb/zinclb/internal/core"
)

// ContentType is the content type of the text that Encode returns.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// prefix is the prefix of the names of all metrics.
const prefix = "zinclb_"

const millisPerSecond = 1e3

// Encode encodes the view in the text format.
func Encode(view *core.OperatorView) ([]byte, error) {
	registry := prometheus.NewPedanticRegistry()
	if err := registry.Register(collector{view}); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	families, err := registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	var text bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return text.Bytes(), nil
}

// collector is a prometheus.Collector for the metrics of one view.
type collector struct{ view *core.OperatorView }

// Describe sends no descriptions, which makes the collector unchecked. The set of metrics changes
// over time: for example, only a leader has queues.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the metrics of the view.
func (c collector) Collect(out chan<- prometheus.Metric) {
	s := sink(out)
	s.controller(c.view)
	s.connectivity(c.view)
	if c.view.Leading {
		s.gauge("cloud_calls_left", "Calls that the budget for the cloud has left.", c.view.CallsLeft)
		s.machines(&c.view.Machines)
		s.queues(c.view.Queues)
	}
	s.latencies(c.view.Latencies)
}

// label is a metric label. Labels distinguish metrics with the same name.
type label struct{ name, value string }

// sink is the channel to which metrics are sent.
type sink chan<- prometheus.Metric

func (s sink) gauge(name, help string, value float64, labels ...label) {
	s.send(prometheus.GaugeValue, name, help, value, labels)
}

// counter sends the value of a counter that started at 0 when the controller started.
func (s sink) counter(name, help string, value uint64, labels ...label) {
	s.send(prometheus.CounterValue, name, help, float64(value), labels)
}

func (s sink) send(kind prometheus.ValueType, name, help string, value float64, labels []label) {
	var names, values []string
	for _, l := range labels {
		names = append(names, l.name)
		values = append(values, l.value)
	}
	desc := prometheus.NewDesc(prefix+name, help, names, nil)
	s <- prometheus.MustNewConstMetric(desc, kind, value, values...)
}

func (s sink) flag(name, help string, isSet bool, labels ...label) {
	value := 0.0
	if isSet {
		value = 1
	}
	s.gauge(name, help, value, labels...)
}

// controller sends the metrics that every controller has, leader or not.
func (s sink) controller(view *core.OperatorView) {
	s.flag("leading", "1 if this controller leads.", view.Leading)
	s.flag("synced", "1 if it has read the state service.", view.Synced)
	s.gauge("token", "Token of the newest leadership it knows.", float64(view.FencingToken))
	s.gauge("state_revision", "Revision of the state service it has seen.", float64(view.Revision))
	s.gauge("state_silent_seconds", "Time since the state service last answered it.", view.StateAgeS)
	s.flag("state_limits_fallen", "1 if the state service's limits to come are here.", view.LimitsLowered)
	s.gauge("writes_left", "Changes that its budget has left at this moment.", view.WritesLeft)
	s.gauge("reads_left", "Reads of the state service that its budget has left at this moment.", view.ReadsLeft)
	s.counter("reads_reordered_total", "Reads and watches of stored state that did not list changes in the order of their revisions.", view.ReorderedReads)
	s.gauge("format", "Version of stored data.", float64(view.Format))
	s.gauge("unfinished_jobs", "Accepted jobs that are not over.", float64(view.Jobs))
	s.gauge("awaiting_jobs", "Unfinished jobs that wait for others to be done.", float64(view.Awaiting))
	s.gauge("unstored_ends", "Jobs whose ends are known and not known to be stored.", float64(view.UnstoredEnds))
	s.ends(&view.Ends)
	s.gauge("troubles", "Troubles that operators are told of.", float64(len(view.Conditions)))
}

// ends sends the number of job ends for each way in which this controller learned of them, and
// the number of replies that a job is not known.
func (s sink) ends(counts *core.EndCounts) {
	s.counter("ends_derived_total", "Ends of jobs that followed from the ends of others.", counts.Derived)
	s.counter("ends_told_total", "Ends of jobs that other controllers told of first.", counts.Reported)
	s.counter("end_reads_failed_total", "Reads of ends of dependencies that had no answer or found none.", counts.FailedReads)
	const help = "Answers that a job is not known, by how its end was looked for."
	s.counter("not_found_total", help, counts.NotFoundCompared, label{"lookup", "compared"})
	s.counter("not_found_total", help, counts.NotFoundRead, label{"lookup", "read"})
}

// connectivity sends the reachability of peers, links and machines.
func (s sink) connectivity(view *core.OperatorView) {
	for _, peer := range view.Peers {
		s.flag("peer_up", "1 if another controller answers.", peer.Up, label{"peer", peer.Name})
	}
	for _, link := range view.Reach.Links {
		usable := link.State == "up" || link.State == "slow" || link.State == "flapping"
		s.flag("link_usable", "1 if a link of this controller is up, slow or comes and goes; 0 if it is lost, refusing or was not tried of late.", usable, label{"link", link.Link})
	}
	for controller, row := range view.Reach.Matrix {
		for zone, eighths := range row.Workers {
			s.gauge("reach_eighths", "Eighths of a zone's machines that a controller says it reaches.", float64(eighths), label{"controller", controller}, label{"zone", zone})
		}
	}
	if last := view.Reach.SteppedAside; last != nil {
		s.gauge("gave_way_seconds", "Time since this controller left the leadership to one that serves more.", last.AgeS, label{"to", last.To})
	}
}

func (s sink) machines(machines *core.MachinesView) {
	count := func(state string, n int) {
		s.gauge("machines", "Machines by what they are doing, as the leader knows them.", float64(n), label{"state", state})
	}
	count("busy", machines.Busy)
	count("idle", machines.Idle)
	count("warming", machines.Prefetching)
	count("silent", machines.Silent)
	count("deaf", machines.NotReceiving)
	count("draining", machines.Draining)
	count("booting", machines.Booting)
}

func (s sink) queues(queues []core.QueueView) {
	for i, queue := range queues {
		number := label{"queue", strconv.Itoa(i)}
		s.gauge("queue_waiting_jobs", "Jobs that wait in a queue.", float64(queue.Waiting), number)
		s.gauge("queue_waiting_tasks", "Tasks of jobs that wait in a queue.", float64(queue.Tasks), number)
		s.gauge("queue_pivot_waits_seconds", "How long a queue's pivot has waited.", queue.WaitsS, number)
	}
}

// latencies sends a summary of the latencies of each user call.
func (s sink) latencies(calls []core.LatencyView) {
	desc := prometheus.NewDesc(prefix+"request_seconds", "How long users' requests took in this process.", []string{"call"}, nil)
	for _, call := range calls {
		sum := call.Mean * float64(call.Answers) / millisPerSecond
		quantiles := map[float64]float64{
			0.5:  call.P50 / millisPerSecond,
			0.95: call.P95 / millisPerSecond,
			0.99: call.P99 / millisPerSecond,
		}
		s <- prometheus.MustNewConstSummary(desc, uint64(call.Answers), sum, quantiles, call.Call)
	}
}
