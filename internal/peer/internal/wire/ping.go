package wire

import (
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/readlease"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// NewPing converts a ping for sending. The request ID is left out, because each core
// assigns its own.
func NewPing(in core.PingReceived) PingArgs {
	return PingArgs{
		From: in.From,
		Need: in.NeedMachines,
		Boot: in.Incarnation,
		Ask:  optional(in.ReadLeaseRequest, newQuestion),
		Tell: optional(in.Cancellations, newPage),
	}
}

// Core converts the ping to a message to the core, without a request ID.
func (in PingArgs) Core() core.PingReceived {
	return core.PingReceived{
		From:             in.From,
		NeedMachines:     in.Need,
		Incarnation:      in.Boot,
		ReadLeaseRequest: optional(in.Ask, Question.core),
		Cancellations:    optional(in.Tell, Page.core),
	}
}

// NewPingReply converts the response of the named controller for sending.
func NewPingReply(name string, status core.PeerStatus) PingReply {
	return PingReply{Name: name, News: newPeerNews(status)}
}

// Core converts the status of the controller that answered to the core's type.
func (in PingReply) Core() core.PeerStatus {
	return in.News.core()
}

func newQuestion(in readlease.GrantRequest) Question {
	return Question{
		Boot:    in.Incarnation,
		Upto:    in.UpTo,
		Applied: in.AppliedRevision,
	}
}

func (in Question) core() readlease.GrantRequest {
	return readlease.GrantRequest{
		Incarnation:     in.Boot,
		UpTo:            in.Upto,
		AppliedRevision: in.Applied,
	}
}

func newPage(in readlease.CancellationPage) Page {
	return Page{
		Boot:      in.Incarnation,
		After:     in.After,
		Upto:      in.UpTo,
		Cancelled: in.Cancelled,
		More:      in.More,
		Whole:     in.Complete,
	}
}

func (in Page) core() readlease.CancellationPage {
	return readlease.CancellationPage{
		Incarnation: in.Boot,
		After:       in.After,
		UpTo:        in.Upto,
		Cancelled:   in.Cancelled,
		More:        in.More,
		Complete:    in.Whole,
	}
}

func newAck(in readlease.HolderAck) Ack {
	return Ack{
		Holds:   in.Holds,
		Boot:    in.Incarnation,
		Upto:    in.UpTo,
		Applied: in.AppliedRevision,
	}
}

func (in Ack) core() readlease.HolderAck {
	return readlease.HolderAck{
		Holds:           in.Holds,
		Incarnation:     in.Boot,
		UpTo:            in.Upto,
		AppliedRevision: in.Applied,
	}
}

func newPeerNews(in core.PeerStatus) PeerNews {
	return PeerNews{
		Token:     in.FencingToken,
		Leader:    in.Leader,
		StateAge:  in.StateAge,
		Cancelled: in.Cancelled,
		Vouch:     optional(in.ReadLease, newPage),
		Ack:       optional(in.Ack, newAck),
		Version:   in.Version,
		Features:  convertAll(in.Features, newFeature),
		Lowered:   in.LimitsLowered,
		Reach:     optional(in.Connectivity, newReach),
		Machines:  convertAll(in.Machines, newMachine),
	}
}

func (in PeerNews) core() core.PeerStatus {
	return core.PeerStatus{
		FencingToken:  in.Token,
		Leader:        in.Leader,
		StateAge:      in.StateAge,
		Cancelled:     in.Cancelled,
		ReadLease:     optional(in.Vouch, Page.core),
		Ack:           optional(in.Ack, Ack.core),
		Version:       in.Version,
		Features:      convertAll(in.Features, coreFeature),
		LimitsLowered: in.Lowered,
		Connectivity:  optional(in.Reach, Reach.core),
		Machines:      convertAll(in.Machines, Machine.core),
	}
}

func newReach(in connectivity.Advertisement) Reach {
	return Reach{
		Boot:    in.Incarnation,
		Workers: in.ReachableEighths,
		Peers:   in.Peers,
		Cloud:   in.Cloud,
		Flaps:   in.Flapping,
	}
}

func (in Reach) core() connectivity.Advertisement {
	return connectivity.Advertisement{
		Incarnation:      in.Boot,
		ReachableEighths: in.Workers,
		Peers:            in.Peers,
		Cloud:            in.Cloud,
		Flapping:         in.Flaps,
	}
}

func newMachine(in connectivity.Machine) Machine {
	return Machine{
		Name: in.Name,
		Addr: in.Addr,
		Zone: in.Zone,
	}
}

func (in Machine) core() connectivity.Machine {
	return connectivity.Machine{
		Name: in.Name,
		Addr: in.Addr,
		Zone: in.Zone,
	}
}

func newFeature(in upgrade.FeatureName) string {
	return string(in)
}

func coreFeature(in string) upgrade.FeatureName {
	return upgrade.FeatureName(in)
}
