package peer

import "github.com/zinclb/zinclb/internal/core"

// WithRequestID returns a forwarded request as a message to the core, with the given request
// ID. The core's reply will have the same ID. The result is nil for any other type, also for a
// core.ForwardedSweep, which has to be expanded first.
func WithRequestID(request any, requestID uint64) any {
	switch r := request.(type) {
	case core.SubmitJob:
		r.RequestID = requestID
		return r
	case core.CancelJob:
		r.RequestID = requestID
		return r
	case core.QueryJob:
		r.RequestID = requestID
		return r
	case core.CloudCallRequested:
		r.RequestID = requestID
		return r
	case core.FollowerRead:
		r.RequestID = requestID
		return r
	case core.QuerySweep:
		r.RequestID = requestID
		return r
	case core.ListSweepRuns:
		r.RequestID = requestID
		return r
	case core.CancelSweep:
		r.RequestID = requestID
		return r
	}
	return nil
}
