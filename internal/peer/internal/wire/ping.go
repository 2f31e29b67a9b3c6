package wire

import (
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/reach"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/core/vouch"
)

// NewPing is a ping as it is sent. It has no number: each core numbers its own.
func NewPing(in core.Pinged) PingArgs {
	return PingArgs{
		From: in.From,
		Need: in.Need,
		Boot: in.Boot,
		Ask:  optional(in.Ask, newQuestion),
		Tell: optional(in.Tell, newPage),
	}
}

// Core is the ping as a message to the core, not numbered yet.
func (in PingArgs) Core() core.Pinged {
	return core.Pinged{
		From: in.From,
		Need: in.Need,
		Boot: in.Boot,
		Ask:  optional(in.Ask, Question.core),
		Tell: optional(in.Tell, Page.core),
	}
}

// NewPingReply is the answer of the controller of a name as it is sent.
func NewPingReply(name string, news core.PeerNews) PingReply {
	return PingReply{Name: name, News: newPeerNews(news)}
}

// Core is what the controller that answered knows.
func (in PingReply) Core() core.PeerNews {
	return in.News.core()
}

func newQuestion(in vouch.Question) Question {
	return Question{
		Boot:    in.Boot,
		Upto:    in.Upto,
		Applied: in.Applied,
	}
}

func (in Question) core() vouch.Question {
	return vouch.Question{
		Boot:    in.Boot,
		Upto:    in.Upto,
		Applied: in.Applied,
	}
}

func newPage(in vouch.Page) Page {
	return Page{
		Boot:      in.Boot,
		After:     in.After,
		Upto:      in.Upto,
		Cancelled: in.Cancelled,
		More:      in.More,
		Whole:     in.Whole,
	}
}

func (in Page) core() vouch.Page {
	return vouch.Page{
		Boot:      in.Boot,
		After:     in.After,
		Upto:      in.Upto,
		Cancelled: in.Cancelled,
		More:      in.More,
		Whole:     in.Whole,
	}
}

func newAck(in vouch.Ack) Ack {
	return Ack{
		Holds:   in.Holds,
		Boot:    in.Boot,
		Upto:    in.Upto,
		Applied: in.Applied,
	}
}

func (in Ack) core() vouch.Ack {
	return vouch.Ack{
		Holds:   in.Holds,
		Boot:    in.Boot,
		Upto:    in.Upto,
		Applied: in.Applied,
	}
}

func newPeerNews(in core.PeerNews) PeerNews {
	return PeerNews{
		Token:     in.Token,
		Leader:    in.Leader,
		StateAge:  in.StateAge,
		Cancelled: in.Cancelled,
		Vouch:     optional(in.Vouch, newPage),
		Ack:       optional(in.Ack, newAck),
		Version:   in.Version,
		Features:  each(in.Features, newFeature),
		Lowered:   in.Lowered,
		Reach:     optional(in.Reach, newReach),
		Machines:  each(in.Machines, newMachine),
	}
}

func (in PeerNews) core() core.PeerNews {
	return core.PeerNews{
		Token:     in.Token,
		Leader:    in.Leader,
		StateAge:  in.StateAge,
		Cancelled: in.Cancelled,
		Vouch:     optional(in.Vouch, Page.core),
		Ack:       optional(in.Ack, Ack.core),
		Version:   in.Version,
		Features:  each(in.Features, coreFeature),
		Lowered:   in.Lowered,
		Reach:     optional(in.Reach, Reach.core),
		Machines:  each(in.Machines, Machine.core),
	}
}

func newReach(in reach.Value) Reach {
	return Reach{
		Boot:    in.Boot,
		Workers: in.Workers,
		Peers:   in.Peers,
		Cloud:   in.Cloud,
		Flaps:   in.Flaps,
	}
}

func (in Reach) core() reach.Value {
	return reach.Value{
		Boot:    in.Boot,
		Workers: in.Workers,
		Peers:   in.Peers,
		Cloud:   in.Cloud,
		Flaps:   in.Flaps,
	}
}

func newMachine(in reach.Machine) Machine {
	return Machine{
		Name: in.Name,
		Addr: in.Addr,
		Zone: in.Zone,
	}
}

func (in Machine) core() reach.Machine {
	return reach.Machine{
		Name: in.Name,
		Addr: in.Addr,
		Zone: in.Zone,
	}
}

func newFeature(in upgrade.Name) string {
	return string(in)
}

func coreFeature(in string) upgrade.Name {
	return upgrade.Name(in)
}
