package node

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinclb/zinclb/internal/core"
)

// Range, in microseconds, and precision of the recorded latencies. maxLatency is
// longer than any request waits for its answer.
const (
	minLatency         = 1
	maxLatency         = int64(time.Minute / time.Microsecond)
	significantFigures = 2
)

// userCall is a kind of user request whose latencies are recorded.
type userCall string

const (
	submitCall userCall = "submit"
	statusCall userCall = "status"
	cancelCall userCall = "cancel"
)

// latencyRecorder records the latencies of users' requests in this process, from the
// time at which the actor takes the request from the inbox to the core's reply. It is
// owned by the actor. Workers' heartbeats are not recorded, because their responses are
// delayed on purpose.
type latencyRecorder map[userCall]*hdrhistogram.Histogram

// record records the latency of an answered request, in microseconds.
func (l latencyRecorder) record(request any, latency int64) {
	var call userCall
	switch request.(type) {
	case core.SubmitJob:
		call = submitCall
	case core.QueryJob:
		call = statusCall
	case core.CancelJob:
		call = cancelCall
	default:
		return
	}
	histogram := l[call]
	if histogram == nil {
		histogram = hdrhistogram.New(minLatency, maxLatency, significantFigures)
		l[call] = histogram
	}
	// RecordValue fails only for values that are out of range.
	_ = histogram.RecordValue(min(max(latency, minLatency), maxLatency))
}

// summary returns the latencies of each recorded call in milliseconds, for operators.
func (l latencyRecorder) summary() []core.LatencyView {
	var views []core.LatencyView
	for _, call := range []userCall{submitCall, statusCall, cancelCall} {
		histogram := l[call]
		if histogram == nil {
			continue
		}
		views = append(views, core.LatencyView{
			Call:    string(call),
			Answers: histogram.TotalCount(),
			Mean:    histogram.Mean() / microsPerMilli,
			P50:     milliseconds(histogram.ValueAtQuantile(50)),
			P95:     milliseconds(histogram.ValueAtQuantile(95)),
			P99:     milliseconds(histogram.ValueAtQuantile(99)),
			Max:     milliseconds(histogram.Max()),
		})
	}
	return views
}

const microsPerMilli = 1000

func milliseconds(micros int64) float64 { return float64(micros) / microsPerMilli }
