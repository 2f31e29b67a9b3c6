package txn

// Bounds of the time after which an answer is overdue, in microseconds.
const (
	minTimeout = 400_000
	maxTimeout = 2_000_000
)

// Parameters of the estimate, as in TCP's retransmission timer (RFC 6298).
const (
	smoothing          = 8 // a new sample has the weight 1/smoothing in the average
	deviationSmoothing = 4 // a new sample has the weight 1/deviationSmoothing in the deviation
	deviationsAllowed  = 4 // deviations from the average after which an answer is overdue
	maxBackOffs        = 3 // maximum number of times that the timeout is doubled
)

// responseTime estimates the time that answers take, in microseconds.
type responseTime struct {
	smoothed, deviation int64
	measured            bool
	backOffs            int // number of times the timeout was doubled since the last answer
}

// record adds the time that an answer took.
func (r *responseTime) record(sample int64) {
	r.backOffs = 0
	if !r.measured {
		r.smoothed, r.deviation, r.measured = sample, sample/2, true
		return
	}
	difference := sample - r.smoothed
	r.smoothed += difference / smoothing
	r.deviation += (max(difference, -difference) - r.deviation) / deviationSmoothing
}

// timeout returns the time after which an answer is overdue.
func (r *responseTime) timeout() int64 {
	if !r.measured {
		return maxTimeout
	}
	timeout := max(r.smoothed+deviationsAllowed*r.deviation, minTimeout)
	return min(timeout<<r.backOffs, maxTimeout)
}

// backOff doubles the timeout until the next answer, at most maxBackOffs times.
func (r *responseTime) backOff() { r.backOffs = min(r.backOffs+1, maxBackOffs) }
