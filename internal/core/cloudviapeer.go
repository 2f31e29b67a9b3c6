package core

import (
	"errors"

	"github.com/zinclb/zinclb/internal/core/fleet"
)

// CloudCall is one call of the cloud's interface: one of the four.
type CloudCall struct {
	ListTypes, ListMachines bool
	// Gap is the time between two pages of a list.
	Gap      int64
	ScaleOut *ScaleOut
	ScaleIn  []string
}

// CloudResult is how it ended; Status is 0 if nobody knows.
type CloudResult struct {
	Status int
	Types  []fleet.Type
	List   []CloudMachine
	// Names are of the machines that were rented.
	Names []string
}

type (
	// CloudCallRequested is a leader's call that a peer is to make for it.
	CloudCallRequested struct {
		RequestID    uint64
		FencingToken uint64
		Call         CloudCall
	}
	// CloudCalledForPeer is how a call that was made for a leader ended.
	CloudCalledForPeer struct {
		RequestID uint64
		Answer    CloudResult
	}
	// CallCloudViaPeer has a peer make a call; it is answered like a call made here,
	// after PeerCloudCallEnded.
	CallCloudViaPeer struct {
		To           string
		FencingToken uint64
		Call         CloudCall
		NotAfter     int64
	}
	// PeerCloudCallEnded says how the way by a peer ended.
	PeerCloudCallEnded struct {
		Peer string
		Err  error
	}
	// CallCloudForPeer makes a call for a leader, and is answered by CloudCalledForPeer.
	CallCloudForPeer struct {
		RequestID uint64
		Call      CloudCall
	}
)

var errPeerSilent = errors.New("the cloud does not answer")

// Message is the answer to a call that a peer made, as the message that the call
// has when it is made by the leader itself.
func (a CloudResult) Message(call CloudCall, by string, token uint64) any {
	var err error
	if a.Status != 200 {
		err = errPeerSilent
	}
	switch {
	case call.ListTypes:
		return MachineTypesListed{Types: a.Types, Err: err, ViaPeer: by, FencingToken: token}
	case call.ListMachines:
		return MachinesListed{List: a.List, Err: err, ViaPeer: by, FencingToken: token}
	case call.ScaleOut != nil:
		r := *call.ScaleOut
		r.FencingToken = token
		return ScaledOut{Request: r, Names: a.Names, Status: a.Status}
	}
	return ScaledIn{Names: call.ScaleIn, OK: a.Status == 200, FencingToken: token}
}

// cloudCaller makes calls of the cloud, by way of a peer where this controller does not reach it.
type cloudCaller struct {
	*engine

	cache   *stateCache
	elector *elector
	peers   *peerMonitor
}

// callCloud makes a call, itself or by a peer where only others reach the cloud.
// What changes something there may go out for as long as nobody else can lead;
// that is checked again next to the socket, as this process may stand still in
// between.
func (c *cloudCaller) callCloud(call CloudCall) {
	until := c.elector.leadership.tokenProvenAt + c.settings.Ops.LeaderLease
	if by := c.cloudPeer(); by != "" {
		c.emit(CallCloudViaPeer{To: by, FencingToken: c.elector.fencingToken(), Call: call, NotAfter: until})
		return
	}
	switch {
	case call.ListTypes:
		c.emit(ListMachineTypes{FencingToken: c.elector.fencingToken()})
	case call.ListMachines:
		c.emit(ListMachines{Gap: call.Gap, FencingToken: c.elector.fencingToken()})
	case call.ScaleOut != nil:
		r := *call.ScaleOut
		r.NotAfter, r.FencingToken = until, c.elector.fencingToken()
		c.emit(r)
	default:
		c.emit(ScaleIn{Names: call.ScaleIn, NotAfter: until, FencingToken: c.elector.fencingToken()})
	}
}

func (c *cloudCaller) cloudPeer() string {
	if !c.settings.Ops.Reach {
		return ""
	}
	return c.peers.connectivity.CloudProxy(c.now)
}

// cloudCallEnded notes how a call has ended, if it was made here.
func (c *cloudCaller) cloudCallEnded(by string, err error) {
	if by != "" {
		return
	}
	if err == nil {
		c.peers.connectivity.Cloud.RecordSuccess(c.now, c.now)
	} else {
		c.peers.connectivity.Cloud.RecordFailure(c.now, c.now, failureOf(err))
	}
}

// onCloudCallRequested makes a call for a leader, unless a newer one is known of: what a
// replaced leader asks for must not reach the cloud by way of its successors.
func (c *cloudCaller) onCloudCallRequested(m CloudCallRequested) {
	c.elector.noteNewestLeader(c.cache.leader)
	if m.FencingToken < c.elector.newestLeader.Token {
		c.emit(Reply{RequestID: m.RequestID, Status: 503, Error: "a newer leader is known"})
		return
	}
	c.emit(CallCloudForPeer{RequestID: m.RequestID, Call: m.Call})
}

func (c *cloudCaller) onCloudCalledForPeer(m CloudCalledForPeer) {
	// It was silent for this controller too if it has no status.
	var err error
	if m.Answer.Status == 0 {
		err = errPeerSilent
	}
	c.cloudCallEnded("", err)
	c.emit(Reply{RequestID: m.RequestID, Status: 200, Cloud: &m.Answer})
}

// CloudViaPeerResult makes the two messages by which a call by way of a peer ends, from
// the peer's reply.
func CloudViaPeerResult(e CallCloudViaPeer, r Reply, err error) (told PeerCloudCallEnded, answer any) {
	var a CloudResult
	if r.Cloud != nil {
		a = *r.Cloud
	}
	if err == nil && a.Status == 0 {
		err = errors.New("the cloud was not reached")
	}
	return PeerCloudCallEnded{Peer: e.To, Err: err}, a.Message(e.Call, e.To, e.FencingToken)
}
