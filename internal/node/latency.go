package node

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinclb/zinclb/internal/core"
)

// maxLatency is beyond what any request waits for its answer, in microseconds.
const maxLatency = 60_000_000

// latencyRecorder are how long users' requests took in this process, from the
// request read to the answer handed over. The core's actor owns them.
// Workers' reports are left out: their answers are held back on purpose.
type latencyRecorder map[string]*hdrhistogram.Histogram

// record counts an answer to a request.
func (l latencyRecorder) record(request any, took int64) {
	var call string
	switch request.(type) {
	case core.SubmitJob:
		call = "submit"
	case core.QueryJob:
		call = "status"
	case core.CancelJob:
		call = "cancel"
	default:
		return
	}
	h := l[call]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency, 2)
		l[call] = h
	}
	// It fails for values out of range only.
	_ = h.RecordValue(min(max(took, 1), maxLatency))
}

// summary is what operators are shown.
func (l latencyRecorder) summary() []core.LatencyView {
	var v []core.LatencyView
	for _, call := range []string{"submit", "status", "cancel"} {
		if h := l[call]; h != nil {
			v = append(v, core.LatencyView{
				Call: call, Answers: h.TotalCount(), Mean: h.Mean() / 1000, P50: milliseconds(h.ValueAtQuantile(50)),
				P95: milliseconds(h.ValueAtQuantile(95)), P99: milliseconds(h.ValueAtQuantile(99)), Max: milliseconds(h.Max()),
			})
		}
	}
	return v
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
