package node

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinclb/zinclb/internal/core"
)

// Range and precision of the recorded latencies. maxLatency is beyond what any
// request waits for its answer, in microseconds.
const (
	minLatency         = 1
	maxLatency         = int64(time.Minute / time.Microsecond)
	significantFigures = 2
)

// userCall is a kind of users' request whose latencies are recorded.
type userCall string

const (
	submitCall userCall = "submit"
	statusCall userCall = "status"
	cancelCall userCall = "cancel"
)

// latencyRecorder has how long users' requests took in this process, from the
// request read to the answer handed over. The actor owns it. Workers' heartbeats
// are left out: their answers are held back on purpose.
type latencyRecorder map[userCall]*hdrhistogram.Histogram

// record counts an answer to a request that took some microseconds.
func (l latencyRecorder) record(request any, took int64) {
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
	// It fails for values out of range only.
	_ = histogram.RecordValue(min(max(took, minLatency), maxLatency))
}

// summary is what operators are shown, in milliseconds.
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
