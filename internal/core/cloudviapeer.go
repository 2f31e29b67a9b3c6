package core

import (
	"errors"

	"github.com/zinclb/zinclb/internal/core/fleet"
)

// CloudCall is one call of the cloud's interface: exactly one of the four is set.
type CloudCall struct {
	ListTypes, ListMachines bool
	// Gap is the time between two pages of a list.
	Gap      int64
	ScaleOut *ScaleOut
	// ScaleIn are the names of the machines to return.
	ScaleIn []string
}

// Statuses of the cloud's answers that matter here; its numbers are those of HTTP.
const (
	cloudNoStatus    = 0 // no answer: whether the call was executed is not known
	cloudOK          = 200
	cloudRateLimited = 429
	cloudServerError = 500
	cloudNoCapacity  = 503
)

// CloudResult is how a call of the cloud ended; Status is 0 where that is not known.
type CloudResult struct {
	Status int
	Types  []fleet.Type
	List   []CloudMachine
	// Names are the machines that were rented.
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

var (
	errCloudNoAnswer   = errors.New("the cloud does not answer")
	errCloudNotReached = errors.New("the cloud was not reached")
)

// Message is the result of a call that a peer made, as the message that the call
// has when it is made by the leader itself.
func (r CloudResult) Message(call CloudCall, peer string, fencingToken uint64) any {
	var err error
	if r.Status != cloudOK {
		err = errCloudNoAnswer
	}
	switch {
	case call.ListTypes:
		return MachineTypesListed{Types: r.Types, Err: err, ViaPeer: peer, FencingToken: fencingToken}
	case call.ListMachines:
		return MachinesListed{List: r.List, Err: err, ViaPeer: peer, FencingToken: fencingToken}
	case call.ScaleOut != nil:
		request := *call.ScaleOut
		request.FencingToken = fencingToken
		return ScaledOut{Request: request, Names: r.Names, Status: r.Status}
	}
	return ScaledIn{Names: call.ScaleIn, OK: r.Status == cloudOK, FencingToken: fencingToken}
}

// cloudCaller makes calls of the cloud, by way of a peer where this controller does not
// reach it.
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
	notAfter := c.elector.tokenProvenUntil()
	fencingToken := c.elector.fencingToken()
	if peer := c.cloudPeer(); peer != "" {
		c.emit(CallCloudViaPeer{To: peer, FencingToken: fencingToken, Call: call, NotAfter: notAfter})
		return
	}
	switch {
	case call.ListTypes:
		c.emit(ListMachineTypes{FencingToken: fencingToken})
	case call.ListMachines:
		c.emit(ListMachines{Gap: call.Gap, FencingToken: fencingToken})
	case call.ScaleOut != nil:
		request := *call.ScaleOut
		request.NotAfter, request.FencingToken = notAfter, fencingToken
		c.emit(request)
	default:
		c.emit(ScaleIn{Names: call.ScaleIn, NotAfter: notAfter, FencingToken: fencingToken})
	}
}

// cloudPeer is the peer by whose way calls are made, empty if they are made from here.
func (c *cloudCaller) cloudPeer() string {
	if !c.settings.Ops.Reach {
		return ""
	}
	return c.peers.connectivity.CloudProxy(c.now)
}

// cloudCallEnded notes how a call has ended, if it was made here and not by a peer.
func (c *cloudCaller) cloudCallEnded(peer string, err error) {
	if peer != "" {
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
		c.emit(Reply{RequestID: m.RequestID, Status: ReplyUnavailable, Error: "a newer leader is known"})
		return
	}
	c.emit(CallCloudForPeer{RequestID: m.RequestID, Call: m.Call})
}

// onCloudCalledForPeer hands the result of a call on to the leader that it was made for.
// Without a status the cloud has not answered this controller either.
func (c *cloudCaller) onCloudCalledForPeer(m CloudCalledForPeer) {
	var err error
	if m.Answer.Status == cloudNoStatus {
		err = errCloudNoAnswer
	}
	c.cloudCallEnded("", err)
	c.emit(Reply{RequestID: m.RequestID, Status: ReplyOK, Cloud: &m.Answer})
}

// CloudViaPeerResult makes the two messages by which a call by way of a peer ends, from
// the peer's reply: how the way by the peer ended, and the result of the call.
func CloudViaPeerResult(e CallCloudViaPeer, r Reply, err error) (ended PeerCloudCallEnded, answer any) {
	var result CloudResult
	if r.Cloud != nil {
		result = *r.Cloud
	}
	if err == nil && result.Status == cloudNoStatus {
		err = errCloudNotReached
	}
	return PeerCloudCallEnded{Peer: e.To, Err: err}, result.Message(e.Call, e.To, e.FencingToken)
}
