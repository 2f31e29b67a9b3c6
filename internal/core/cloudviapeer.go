package core

import (
	"errors"

	"github.com/zinclb/zinclb/internal/core/fleet"
)

// CloudCall is one call to the cloud's API: exactly one of ListTypes, ListMachines, ScaleOut and
// ScaleIn is set.
type CloudCall struct {
	ListTypes, ListMachines bool
	// Gap is the time between the requests for two pages of a list, in microseconds.
	Gap      int64
	ScaleOut *ScaleOut
	// ScaleIn are the names of the machines to return.
	ScaleIn []string
}

// Status codes of the cloud's answers that are handled specially; they are HTTP status codes.
const (
	cloudNoStatus    = 0 // no answer: it is unknown whether the call was executed
	cloudOK          = 200
	cloudRateLimited = 429
	cloudServerError = 500
	cloudNoCapacity  = 503
)

// CloudResult is the result of a call to the cloud; Status is 0 if the result is unknown.
type CloudResult struct {
	Status int
	Types  []fleet.Type
	List   []CloudMachine
	// Names are the names of the machines that were rented.
	Names []string
}

type (
	// CloudCallRequested is a leader's request to this controller to make a call for it.
	CloudCallRequested struct {
		RequestID    uint64
		FencingToken uint64
		Call         CloudCall
	}
	// CloudCalledForPeer is the result of a call that this controller made for a leader.
	CloudCalledForPeer struct {
		RequestID uint64
		Answer    CloudResult
	}
	// CallCloudViaPeer asks a peer to make a call. It is answered by PeerCloudCallEnded and
	// then by the same message as a call that this controller makes itself.
	CallCloudViaPeer struct {
		To           string
		FencingToken uint64
		Call         CloudCall
		NotAfter     int64
	}
	// PeerCloudCallEnded is the outcome of making a call through a peer.
	PeerCloudCallEnded struct {
		Peer string
		Err  error
	}
	// CallCloudForPeer makes a call for a leader; it is answered by CloudCalledForPeer.
	CallCloudForPeer struct {
		RequestID uint64
		Call      CloudCall
	}
)

var (
	errCloudNoAnswer   = errors.New("the cloud does not answer")
	errCloudNotReached = errors.New("the cloud was not reached")
)

// Message converts the result of a call made by a peer into the message that would answer the call
// if the leader had made it itself.
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

// cloudCaller makes calls to the cloud, through a peer if this controller does not reach the cloud.
type cloudCaller struct {
	*engine

	cache   *stateCache
	elector *elector
	peers   *peerMonitor
}

// callCloud makes a call, either directly or through a peer if only peers reach the cloud. A call
// that modifies cloud state may be sent only while no other controller can lead. NotAfter lets this
// be checked again directly before sending, as the process may be paused in between.
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

// cloudPeer returns the peer through which calls are made, or "" if this controller makes them
// itself.
func (c *cloudCaller) cloudPeer() string {
	if !c.settings.Ops.Reach {
		return ""
	}
	return c.peers.connectivity.CloudProxy(c.now)
}

// cloudCallEnded records the outcome of a call as evidence about the link to the cloud, unless a
// peer made the call.
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

// onCloudCallRequested makes a call for a leader, unless a newer leader is known: the calls of a
// replaced leader must not reach the cloud through its successors.
func (c *cloudCaller) onCloudCallRequested(m CloudCallRequested) {
	c.elector.updateNewestLeader(c.cache.leader)
	if m.FencingToken < c.elector.newestLeader.Token {
		c.emit(Reply{RequestID: m.RequestID, Status: ReplyUnavailable, Error: "a newer leader is known"})
		return
	}
	c.emit(CallCloudForPeer{RequestID: m.RequestID, Call: m.Call})
}

// onCloudCalledForPeer sends the result of a call to the leader for which it was made. A result
// without a status means that the cloud did not answer this controller either.
func (c *cloudCaller) onCloudCalledForPeer(m CloudCalledForPeer) {
	var err error
	if m.Answer.Status == cloudNoStatus {
		err = errCloudNoAnswer
	}
	c.cloudCallEnded("", err)
	c.emit(Reply{RequestID: m.RequestID, Status: ReplyOK, Cloud: &m.Answer})
}

// CloudViaPeerResult converts a peer's reply to the two messages that answer a call through a peer:
// the outcome of using the peer, and the result of the call.
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
