package core

import (
	"errors"

	"github.com/zinclb/zinclb/internal/core/fleet"
)

// CloudCall is one call of the cloud's interface: one of the four.
type CloudCall struct {
	Types, List bool
	// Gap is the time between two pages of a list.
	Gap     int64
	Rent    *Rent
	Release []string
}

// CloudAnswer is how it ended; Status is 0 if nobody knows.
type CloudAnswer struct {
	Status int
	Types  []fleet.Type
	List   []Listing
	// Names are of the machines that were rented.
	Names []string
}

type (
	// CloudFor is a leader's call that a peer is to make for it.
	CloudFor struct {
		Req   uint64
		Token uint64
		Call  CloudCall
	}
	// CloudDone is how a call that was made for a leader ended.
	CloudDone struct {
		Req    uint64
		Answer CloudAnswer
	}
	// CloudBy has a peer make a call; it is answered like a call made here,
	// after CloudTold.
	CloudBy struct {
		To    string
		Token uint64
		Call  CloudCall
		Until int64
	}
	// CloudTold says how the way by a peer ended.
	CloudTold struct {
		By  string
		Err error
	}
	// CloudDo makes a call for a leader, and is answered by CloudDone.
	CloudDo struct {
		Req  uint64
		Call CloudCall
	}
)

var errSilent = errors.New("the cloud does not answer")

// Message is the answer to a call that a peer made, as the message that the call
// has when it is made by the leader itself.
func (a CloudAnswer) Message(call CloudCall, by string, token uint64) any {
	var err error
	if a.Status != 200 {
		err = errSilent
	}
	switch {
	case call.Types:
		return Types{Types: a.Types, Err: err, By: by, Token: token}
	case call.List:
		return Machines{List: a.List, Err: err, By: by, Token: token}
	case call.Rent != nil:
		r := *call.Rent
		r.Token = token
		return Rented{Rent: r, Names: a.Names, Status: a.Status}
	}
	return Released{Names: call.Release, OK: a.Status == 200, Token: token}
}

// callCloud makes a call, itself or by a peer where only others reach the cloud.
// What changes something there may go out for as long as nobody else can lead;
// that is checked again next to the socket, as this process may stand still in
// between.
func (c *Core) callCloud(call CloudCall) {
	until := c.lead.stored + c.set.Ops.LeaderLease
	if by := c.cloudBy(); by != "" {
		c.emit(CloudBy{To: by, Token: c.lead.token, Call: call, Until: until})
		return
	}
	switch {
	case call.Types:
		c.emit(GetTypes{Token: c.lead.token})
	case call.List:
		c.emit(ListMachines{Gap: call.Gap, Token: c.lead.token})
	case call.Rent != nil:
		r := *call.Rent
		r.Until, r.Token = until, c.lead.token
		c.emit(r)
	default:
		c.emit(Release{Names: call.Release, Until: until, Token: c.lead.token})
	}
}

func (c *Core) cloudBy() string {
	if !c.set.Ops.Reach {
		return ""
	}
	return c.links.CloudProxy(c.now)
}

// cloudEnded notes how a call has ended, if it was made here.
func (c *Core) cloudEnded(by string, err error) {
	if by != "" {
		return
	}
	if err == nil {
		c.links.Cloud.RecordSuccess(c.now, c.now)
	} else {
		c.links.Cloud.RecordFailure(c.now, c.now, faultOf(err))
	}
}

// onCloudFor makes a call for a leader, unless a newer one is known of: what a
// replaced leader asks for must not reach the cloud by way of its successors.
func (c *Core) onCloudFor(m CloudFor) {
	c.noteNewest(c.leader)
	if m.Token < c.newest.Token {
		c.emit(Reply{Req: m.Req, Status: 503, Error: "a newer leader is known"})
		return
	}
	c.emit(CloudDo{Req: m.Req, Call: m.Call})
}

func (c *Core) onCloudDone(m CloudDone) {
	// It was silent for this controller too if it has no status.
	var err error
	if m.Answer.Status == 0 {
		err = errSilent
	}
	c.cloudEnded("", err)
	c.emit(Reply{Req: m.Req, Status: 200, Cloud: &m.Answer})
}

// CloudByEnded makes the two messages by which a call by way of a peer ends, from
// the peer's reply.
func CloudByEnded(e CloudBy, r Reply, err error) (told CloudTold, answer any) {
	var a CloudAnswer
	if r.Cloud != nil {
		a = *r.Cloud
	}
	if err == nil && a.Status == 0 {
		err = errors.New("the cloud was not reached")
	}
	return CloudTold{By: e.To, Err: err}, a.Message(e.Call, e.To, e.Token)
}
