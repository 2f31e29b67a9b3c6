package wire

import (
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/replica"
)

// NewReply converts a reply for sending.
func NewReply(in core.Reply) Reply {
	return Reply{
		Req:    in.RequestID,
		Status: int(in.Status),
		Retry:  in.RetryAfter,
		Error:  in.Error,
		Job:    optional(in.Job, newJobState),
		Sweep:  optional(in.Sweep, newSweepState),
		Runs:   optional(in.Runs, newSweepPage),
		News:   optional(in.PeerStatus, newPeerNews),
		Cloud:  optional(in.Cloud, newCloudAnswer),
		Gone:   optional(in.Decommission, newGoneState),
		View:   optional(in.View, newView),
		Token:  in.FencingToken,
		Orders: convertAll(in.Commands, newOrder),
		Leader: in.Leader,
	}
}

// Core converts the reply to the core's type.
func (in Reply) Core() core.Reply {
	return core.Reply{
		RequestID:    in.Req,
		Status:       core.ReplyCode(in.Status),
		RetryAfter:   in.Retry,
		Error:        in.Error,
		Job:          optional(in.Job, JobState.core),
		Sweep:        optional(in.Sweep, SweepState.core),
		Runs:         optional(in.Runs, SweepPage.core),
		PeerStatus:   optional(in.News, PeerNews.core),
		Cloud:        optional(in.Cloud, CloudAnswer.core),
		Decommission: optional(in.Gone, GoneState.core),
		View:         optional(in.View, View.core),
		FencingToken: in.Token,
		Commands:     convertAll(in.Orders, Order.core),
		Leader:       in.Leader,
	}
}

func newJobState(in core.JobState) JobState {
	return JobState{
		ID:      in.ID,
		State:   in.State,
		Done:    in.Done,
		Running: in.Running,
	}
}

func (in JobState) core() core.JobState {
	return core.JobState{
		ID:      in.ID,
		State:   in.State,
		Done:    in.Done,
		Running: in.Running,
	}
}

func newSweepState(in core.SweepState) SweepState {
	return SweepState{
		ID:        in.ID,
		State:     in.State,
		Runs:      in.Runs,
		Created:   in.Created,
		Done:      in.Done,
		Withdrawn: in.Cancelled,
	}
}

func (in SweepState) core() core.SweepState {
	return core.SweepState{
		ID:        in.ID,
		State:     in.State,
		Runs:      in.Runs,
		Created:   in.Created,
		Done:      in.Done,
		Cancelled: in.Withdrawn,
	}
}

func newSweepPage(in core.SweepPage) SweepPage {
	return SweepPage{
		Runs: convertAll(in.Runs, newSweepRun),
		Next: in.Next,
	}
}

func (in SweepPage) core() core.SweepPage {
	return core.SweepPage{
		Runs: convertAll(in.Runs, SweepRun.core),
		Next: in.Next,
	}
}

func newSweepRun(in core.SweepRun) SweepRun {
	return SweepRun{
		Number: in.Number,
		ID:     in.ID,
		State:  in.State,
		Values: in.Values,
		Sets:   in.Sets,
	}
}

func (in SweepRun) core() core.SweepRun {
	return core.SweepRun{
		Number: in.Number,
		ID:     in.ID,
		State:  in.State,
		Values: in.Values,
		Sets:   in.Sets,
	}
}

func newCloudAnswer(in core.CloudResult) CloudAnswer {
	return CloudAnswer{
		Status: in.Status,
		Types:  convertAll(in.Types, newMachineType),
		List:   convertAll(in.List, newListing),
		Names:  in.Names,
	}
}

func (in CloudAnswer) core() core.CloudResult {
	return core.CloudResult{
		Status: in.Status,
		Types:  convertAll(in.Types, MachineType.core),
		List:   convertAll(in.List, Listing.core),
		Names:  in.Names,
	}
}

func newMachineType(in fleet.Type) MachineType {
	return MachineType{
		Name:      in.Name,
		Cap:       newVec(in.Cap),
		FetchRate: in.FetchRate,
		CacheMB:   in.CacheMB,
		Price:     in.Price,
		SpotPrice: in.SpotPrice,
		Boot:      in.Boot,
		Zones:     in.Zones,
	}
}

func (in MachineType) core() fleet.Type {
	return fleet.Type{
		Name:      in.Name,
		Cap:       in.Cap.core(),
		FetchRate: in.FetchRate,
		CacheMB:   in.CacheMB,
		Price:     in.Price,
		SpotPrice: in.SpotPrice,
		Boot:      in.Boot,
		Zones:     in.Zones,
	}
}

func newListing(in core.CloudMachine) Listing {
	return Listing{
		Name:   in.Name,
		Addr:   in.Addr,
		Type:   in.Type,
		Zone:   in.Zone,
		Status: in.Status,
		Spot:   in.Spot,
		Age:    in.Age,
	}
}

func (in Listing) core() core.CloudMachine {
	return core.CloudMachine{
		Name:   in.Name,
		Addr:   in.Addr,
		Type:   in.Type,
		Zone:   in.Zone,
		Status: in.Status,
		Spot:   in.Spot,
		Age:    in.Age,
	}
}

func newGoneState(in core.DecommissionState) GoneState {
	return GoneState{
		Name: in.Name,
		Gone: in.Decommissioned,
	}
}

func (in GoneState) core() core.DecommissionState {
	return core.DecommissionState{
		Name:           in.Name,
		Decommissioned: in.Gone,
	}
}

func newView(in replica.View) View {
	return View{
		Ledger:  in.Revision,
		Changes: convertAll(in.Changes, newChange),
		Granted: in.Granted,
		Ordered: in.Ordered,
	}
}

func (in View) core() replica.View {
	return replica.View{
		Revision: in.Ledger,
		Changes:  convertAll(in.Changes, Change.core),
		Granted:  in.Granted,
		Ordered:  in.Ordered,
	}
}

func newChange(in core.Change) Change {
	return Change{
		Key:     in.Key,
		Value:   in.Value,
		Stamp:   in.Revision,
		Removed: in.Removed,
	}
}

func (in Change) core() core.Change {
	return core.Change{
		Key:      in.Key,
		Value:    in.Value,
		Revision: in.Stamp,
		Removed:  in.Removed,
	}
}
