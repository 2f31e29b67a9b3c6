package wire

import (
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// NewRequest converts a request of the core for forwarding. It returns false if requests
// of this type can't be forwarded.
func NewRequest(request any) (out AskArgs, ok bool) {
	switch in := request.(type) {
	case core.ForwardedSweep:
		request := newHandedSweep(in)
		out.Sweep = &request
	case core.SubmitJob:
		request := newSubmit(in)
		out.Submit = &request
	case core.CancelJob:
		request := newCancel(in)
		out.Cancel = &request
	case core.QueryJob:
		request := newStatus(in)
		out.Status = &request
	case core.CloudCallRequested:
		request := newCloudFor(in)
		out.Cloud = &request
	case core.FollowerRead:
		request := newViewFor(in)
		out.View = &request
	case core.QuerySweep:
		request := newSweepStatus(in)
		out.SweepStatus = &request
	case core.ListSweepRuns:
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

// Core converts the request to the core's type. It returns false if there is no request,
// or one that this version does not know, or a submission without a specification.
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

func newSubmit(in core.SubmitJob) Submit {
	return Submit{
		Req:     in.RequestID,
		Handed:  in.Forwarded,
		Spec:    optional(in.Spec, newSpec),
		Invalid: in.Invalid,
	}
}

func (in Submit) core() core.SubmitJob {
	return core.SubmitJob{
		RequestID: in.Req,
		Forwarded: in.Handed,
		Spec:      optional(in.Spec, Spec.core),
		Invalid:   in.Invalid,
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

func newStatus(in core.QueryJob) Status {
	return Status{
		Req:    in.RequestID,
		Handed: in.Forwarded,
		ID:     in.ID,
	}
}

func (in Status) core() core.QueryJob {
	return core.QueryJob{
		RequestID: in.Req,
		Forwarded: in.Handed,
		ID:        in.ID,
	}
}

func newCancel(in core.CancelJob) Cancel {
	return Cancel{
		Req:    in.RequestID,
		Handed: in.Forwarded,
		ID:     in.ID,
	}
}

func (in Cancel) core() core.CancelJob {
	return core.CancelJob{
		RequestID: in.Req,
		Forwarded: in.Handed,
		ID:        in.ID,
	}
}

func newCloudFor(in core.CloudCallRequested) CloudFor {
	return CloudFor{
		Req:   in.RequestID,
		Token: in.FencingToken,
		Call:  newCloudCall(in.Call),
	}
}

func (in CloudFor) core() core.CloudCallRequested {
	return core.CloudCallRequested{
		RequestID:    in.Req,
		FencingToken: in.Token,
		Call:         in.Call.core(),
	}
}

func newCloudCall(in core.CloudCall) CloudCall {
	return CloudCall{
		Types:   in.ListTypes,
		List:    in.ListMachines,
		Gap:     in.Gap,
		Rent:    optional(in.ScaleOut, newRent),
		Release: in.ScaleIn,
	}
}

func (in CloudCall) core() core.CloudCall {
	return core.CloudCall{
		ListTypes:    in.Types,
		ListMachines: in.List,
		Gap:          in.Gap,
		ScaleOut:     optional(in.Rent, Rent.core),
		ScaleIn:      in.Release,
	}
}

func newRent(in core.ScaleOut) Rent {
	return Rent{
		Name:  in.Name,
		Type:  in.Type,
		Zone:  in.Zone,
		Spot:  in.Spot,
		Count: in.Count,
		Until: in.NotAfter,
		Token: in.FencingToken,
	}
}

func (in Rent) core() core.ScaleOut {
	return core.ScaleOut{
		Name:         in.Name,
		Type:         in.Type,
		Zone:         in.Zone,
		Spot:         in.Spot,
		Count:        in.Count,
		NotAfter:     in.Until,
		FencingToken: in.Token,
	}
}

func newViewFor(in core.FollowerRead) ViewFor {
	return ViewFor{
		Req:   in.RequestID,
		After: in.AfterRevision,
		Need:  in.WritesNeeded,
	}
}

func (in ViewFor) core() core.FollowerRead {
	return core.FollowerRead{
		RequestID:     in.Req,
		AfterRevision: in.After,
		WritesNeeded:  in.Need,
	}
}

func newHandedSweep(in core.ForwardedSweep) HandedSweep {
	return HandedSweep{
		ID:      in.ID,
		Stored:  in.Stored,
		Invalid: in.Invalid,
	}
}

func (in HandedSweep) core() core.ForwardedSweep {
	return core.ForwardedSweep{
		ID:      in.ID,
		Stored:  in.Stored,
		Invalid: in.Invalid,
	}
}

func newSweepStatus(in core.QuerySweep) SweepStatus {
	return SweepStatus{
		Req:    in.RequestID,
		ID:     in.ID,
		Handed: in.Forwarded,
	}
}

func (in SweepStatus) core() core.QuerySweep {
	return core.QuerySweep{
		RequestID: in.Req,
		ID:        in.ID,
		Forwarded: in.Handed,
	}
}

func newSweepRuns(in core.ListSweepRuns) SweepRuns {
	return SweepRuns{
		Req:    in.RequestID,
		ID:     in.ID,
		After:  in.After,
		Most:   in.Limit,
		Handed: in.Forwarded,
	}
}

func (in SweepRuns) core() core.ListSweepRuns {
	return core.ListSweepRuns{
		RequestID: in.Req,
		ID:        in.ID,
		After:     in.After,
		Limit:     in.Most,
		Forwarded: in.Handed,
	}
}

func newCancelSweep(in core.CancelSweep) CancelSweep {
	return CancelSweep{
		Req:    in.RequestID,
		ID:     in.ID,
		Handed: in.Forwarded,
	}
}

func (in CancelSweep) core() core.CancelSweep {
	return core.CancelSweep{
		RequestID: in.Req,
		ID:        in.ID,
		Forwarded: in.Handed,
	}
}
