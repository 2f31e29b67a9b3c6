package peer

import "github.com/zinclb/zinclb/internal/core"

// Numbered is a request that was handed on as a message to the core, under the
// number that its reply will have. It is nil for anything else, also for a
// core.HandedSweep, which has to be expanded first.
func Numbered(request any, number uint64) any {
	switch r := request.(type) {
	case core.Submit:
		r.Req = number
		return r
	case core.Cancel:
		r.Req = number
		return r
	case core.Status:
		r.Req = number
		return r
	case core.CloudFor:
		r.Req = number
		return r
	case core.ViewFor:
		r.Req = number
		return r
	case core.SweepStatus:
		r.Req = number
		return r
	case core.SweepRuns:
		r.Req = number
		return r
	case core.CancelSweep:
		r.Req = number
		return r
	}
	return nil
}
