package wire

import (
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// NewRequest is a request of the core as it is handed on; ok is false if it is none
// that can be.
func NewRequest(request any) (out AskArgs, ok bool) {
	switch in := request.(type) {
	case core.HandedSweep:
		request := newHandedSweep(in)
		out.Sweep = &request
	case core.Submit:
		request := newSubmit(in)
		out.Submit = &request
	case core.Cancel:
		request := newCancel(in)
		out.Cancel = &request
	case core.Status:
		request := newStatus(in)
		out.Status = &request
	case core.CloudFor:
		request := newCloudFor(in)
		out.Cloud = &request
	case core.ViewFor:
		request := newViewFor(in)
		out.View = &request
	case core.SweepStatus:
		request := newSweepStatus(in)
		out.SweepStatus = &request
	case core.SweepRuns:
		request := newSweepRuns(in)
		out.SweepRuns = &request
	case core.CancelSweep:
		request := newCancelSweep(in)
		out.CancelSweep = &request
	default:
		return out, false
	}
	return out, true
}

// Core is the request as a type of the core; ok is false if there is none, or one
// that this version does not know.
func (in AskArgs) Core() (request any, ok bool) {
	switch {
	case in.Sweep != nil:
		return in.Sweep.core(), true
	case in.Submit != nil && in.Submit.Spec != nil:
		return in.Submit.core(), true
	case in.Cancel != nil:
		return in.Cancel.core(), true
	case in.Status != nil:
		return in.Status.core(), true
	case in.Cloud != nil:
		return in.Cloud.core(), true
	case in.View != nil:
		return in.View.core(), true
	case in.SweepStatus != nil:
		return in.SweepStatus.core(), true
	case in.SweepRuns != nil:
		return in.SweepRuns.core(), true
	case in.CancelSweep != nil:
		return in.CancelSweep.core(), true
	}
	return nil, false
}

func newSubmit(in core.Submit) Submit {
	return Submit{
		Req:     in.Req,
		Handed:  in.Handed,
		Spec:    optional(in.Spec, newSpec),
		Invalid: in.Invalid,
	}
}

func (in Submit) core() core.Submit {
	return core.Submit{
		Req:     in.Req,
		Handed:  in.Handed,
		Spec:    optional(in.Spec, Spec.core),
		Invalid: in.Invalid,
	}
}

func newSpec(in jobstate.Spec) Spec {
	return Spec{
		ID:         in.ID,
		Class:      in.Class,
		Team:       in.Team,
		Kind:       string(in.Kind),
		Priority:   in.Priority,
		Tasks:      in.Tasks,
		Need:       newVec(in.Need),
		Types:      in.Types,
		Zone:       in.Zone,
		OneZone:    in.OneZone,
		Spread:     in.Spread,
		Spot:       in.Spot,
		Image:      in.Image,
		ImageMB:    in.ImageMB,
		Estimate:   in.Estimate,
		Checkpoint: in.Checkpoint,
		Save:       in.Save,
		Deadline:   in.Deadline,
		Awaits:     in.Dependencies,
		Sweep:      in.Sweep,
		Run:        in.Run,
	}
}

func (in Spec) core() jobstate.Spec {
	return jobstate.Spec{
		ID:           in.ID,
		Class:        in.Class,
		Team:         in.Team,
		Kind:         jobstate.Kind(in.Kind),
		Priority:     in.Priority,
		Tasks:        in.Tasks,
		Need:         in.Need.core(),
		Types:        in.Types,
		Zone:         in.Zone,
		OneZone:      in.OneZone,
		Spread:       in.Spread,
		Spot:         in.Spot,
		Image:        in.Image,
		ImageMB:      in.ImageMB,
		Estimate:     in.Estimate,
		Checkpoint:   in.Checkpoint,
		Save:         in.Save,
		Deadline:     in.Deadline,
		Dependencies: in.Awaits,
		Sweep:        in.Sweep,
		Run:          in.Run,
	}
}

func newVec(in jobstate.Resources) Vec {
	return Vec{
		CPU: in.CPU,
		GPU: in.GPU,
		Mem: in.Mem,
	}
}

func (in Vec) core() jobstate.Resources {
	return jobstate.Resources{
		CPU: in.CPU,
		GPU: in.GPU,
		Mem: in.Mem,
	}
}

func newStatus(in core.Status) Status {
	return Status{
		Req:    in.Req,
		Handed: in.Handed,
		ID:     in.ID,
	}
}

func (in Status) core() core.Status {
	return core.Status{
		Req:    in.Req,
		Handed: in.Handed,
		ID:     in.ID,
	}
}

func newCancel(in core.Cancel) Cancel {
	return Cancel{
		Req:    in.Req,
		Handed: in.Handed,
		ID:     in.ID,
	}
}

func (in Cancel) core() core.Cancel {
	return core.Cancel{
		Req:    in.Req,
		Handed: in.Handed,
		ID:     in.ID,
	}
}

func newCloudFor(in core.CloudFor) CloudFor {
	return CloudFor{
		Req:   in.Req,
		Token: in.Token,
		Call:  newCloudCall(in.Call),
	}
}

func (in CloudFor) core() core.CloudFor {
	return core.CloudFor{
		Req:   in.Req,
		Token: in.Token,
		Call:  in.Call.core(),
	}
}

func newCloudCall(in core.CloudCall) CloudCall {
	return CloudCall{
		Types:   in.Types,
		List:    in.List,
		Gap:     in.Gap,
		Rent:    optional(in.Rent, newRent),
		Release: in.Release,
	}
}

func (in CloudCall) core() core.CloudCall {
	return core.CloudCall{
		Types:   in.Types,
		List:    in.List,
		Gap:     in.Gap,
		Rent:    optional(in.Rent, Rent.core),
		Release: in.Release,
	}
}

func newRent(in core.Rent) Rent {
	return Rent{
		Name:  in.Name,
		Type:  in.Type,
		Zone:  in.Zone,
		Spot:  in.Spot,
		Count: in.Count,
		Until: in.Until,
		Token: in.Token,
	}
}

func (in Rent) core() core.Rent {
	return core.Rent{
		Name:  in.Name,
		Type:  in.Type,
		Zone:  in.Zone,
		Spot:  in.Spot,
		Count: in.Count,
		Until: in.Until,
		Token: in.Token,
	}
}

func newViewFor(in core.ViewFor) ViewFor {
	return ViewFor{
		Req:   in.Req,
		After: in.After,
		Need:  in.Need,
	}
}

func (in ViewFor) core() core.ViewFor {
	return core.ViewFor{
		Req:   in.Req,
		After: in.After,
		Need:  in.Need,
	}
}

func newHandedSweep(in core.HandedSweep) HandedSweep {
	return HandedSweep{
		ID:      in.ID,
		Stored:  in.Stored,
		Invalid: in.Invalid,
	}
}

func (in HandedSweep) core() core.HandedSweep {
	return core.HandedSweep{
		ID:      in.ID,
		Stored:  in.Stored,
		Invalid: in.Invalid,
	}
}

func newSweepStatus(in core.SweepStatus) SweepStatus {
	return SweepStatus{
		Req:    in.Req,
		ID:     in.ID,
		Handed: in.Handed,
	}
}

func (in SweepStatus) core() core.SweepStatus {
	return core.SweepStatus{
		Req:    in.Req,
		ID:     in.ID,
		Handed: in.Handed,
	}
}

func newSweepRuns(in core.SweepRuns) SweepRuns {
	return SweepRuns{
		Req:    in.Req,
		ID:     in.ID,
		After:  in.After,
		Most:   in.Most,
		Handed: in.Handed,
	}
}

func (in SweepRuns) core() core.SweepRuns {
	return core.SweepRuns{
		Req:    in.Req,
		ID:     in.ID,
		After:  in.After,
		Most:   in.Most,
		Handed: in.Handed,
	}
}

func newCancelSweep(in core.CancelSweep) CancelSweep {
	return CancelSweep{
		Req:    in.Req,
		ID:     in.ID,
		Handed: in.Handed,
	}
}

func (in CancelSweep) core() core.CancelSweep {
	return core.CancelSweep{
		Req:    in.Req,
		ID:     in.ID,
		Handed: in.Handed,
	}
}
