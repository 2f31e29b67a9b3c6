package peer

import "github.com/zinclb/zinclb/internal/core"

// Numbered is a forwarded request as a message to the core, under the number that
// its reply will have. It is nil for anything else, also for a
// core.ForwardedSweep, which has to be expanded first.
func Numbered(request any, number uint64) any {
	switch r := request.(type) {
	case core.SubmitJob:
		r.RequestID = number
		return r
	case core.CancelJob:
		r.RequestID = number
		return r
	case core.QueryJob:
		r.RequestID = number
		return r
	case core.CloudCallRequested:
		r.RequestID = number
		return r
	case core.FollowerRead:
		r.RequestID = number
		return r
	case core.QuerySweep:
		r.RequestID = number
		return r
	case core.ListSweepRuns:
		r.RequestID = number
		return r
	case core.CancelSweep:
		r.RequestID = number
		return r
	}
	return nil
}
