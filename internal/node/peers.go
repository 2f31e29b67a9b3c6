package node

import (
	"errors"
	"fmt"
	"time"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/peer"
)

// Timeouts of calls between controllers. A controller that relays a heartbeat or forwards
// a request times out before the worker or user that waits for the response.
const (
	pingTimeout = time.Second
	// relayTimeout is the timeout of a relayed heartbeat: the worker's own timeout is
	// 4 s, and the leader may delay its response for up to 3 s.
	relayTimeout = 3700 * time.Millisecond
	// forwardTimeout is the timeout of a forwarded user request, and
	// forwardQueryTimeout is that of a forwarded read-only request.
	forwardTimeout      = 3500 * time.Millisecond
	forwardQueryTimeout = 1500 * time.Millisecond
	// forwardedTimeout is the timeout of a request that a peer has forwarded to this
	// controller.
	forwardedTimeout = 4 * time.Second
)

// errUnknownPeer is returned for a controller that is not one of this controller's peers.
var errUnknownPeer = errors.New("controller is not a peer")

// HandleRelayedHeartbeat sends the core a heartbeat that a peer has relayed, and waits
// for the reply.
func (n *Node) HandleRelayedHeartbeat(heartbeat core.HeartbeatReceived) (core.Reply, error) {
	build := func(requestID uint64) any {
		heartbeat.RequestID = requestID
		return heartbeat
	}
	return n.requestAndWait(build, relayTimeout)
}

// HandlePing sends the core a peer's ping and waits for the reply.
func (n *Node) HandlePing(ping core.PingReceived) (core.Reply, error) {
	build := func(requestID uint64) any {
		ping.RequestID = requestID
		return ping
	}
	return n.requestAndWait(build, pingTimeout)
}

// HandleRequest sends the core a request that a peer has forwarded, and waits for the
// reply.
func (n *Node) HandleRequest(request any) (core.Reply, error) {
	if sweep, ok := request.(core.ForwardedSweep); ok {
		submission, err := n.submissionOf(sweep)
		if err != nil {
			return core.Reply{}, err
		}
		build := func(requestID uint64) any {
			submission.RequestID = requestID
			return submission
		}
		return n.requestAndWait(build, forwardedTimeout)
	}
	timeout := forwardedTimeout
	if _, ok := request.(core.CloudCallRequested); ok {
		timeout = cloudViaPeerTimeout
	}
	build := func(requestID uint64) any { return peer.WithRequestID(request, requestID) }
	return n.requestAndWait(build, timeout)
}

// submissionOf expands a forwarded sweep into a submission. The plan of an invalid
// sweep has only its ID.
func (n *Node) submissionOf(sweep core.ForwardedSweep) (core.SubmitSweep, error) {
	submission := core.SubmitSweep{
		Plan:      &core.SweepPlan{ID: sweep.ID},
		Stored:    sweep.Stored,
		Invalid:   sweep.Invalid,
		Forwarded: true,
	}
	if sweep.Invalid != "" {
		return submission, nil
	}
	plan, err := n.unpackSweep(sweep.Stored)
	if err != nil {
		return core.SubmitSweep{}, fmt.Errorf("a sweep that was handed on: %w", err)
	}
	submission.Plan = plan
	return submission, nil
}

// unpackSweep expands a stored sweep. Only one sweep is expanded at a time.
func (n *Node) unpackSweep(stored string) (*core.SweepPlan, error) {
	n.expanding.Lock()
	defer n.expanding.Unlock()
	return api.UnpackSweep(stored)
}

// askPeer sends a request to the named peer and returns its reply.
func (n *Node) askPeer(name string, request any, timeout time.Duration) (core.Reply, error) {
	client, ok := n.peers[name]
	if !ok {
		return core.Reply{}, errUnknownPeer
	}
	return client.Ask(request, timeout)
}

func (n *Node) pingPeer(e core.PingPeer, sentAt int64) {
	ping := core.PingReceived{
		From:             n.platform.Name,
		NeedMachines:     e.NeedMachines,
		Incarnation:      e.Incarnation,
		ReadLeaseRequest: e.ReadLeaseRequest,
		Cancellations:    e.Cancellations,
	}
	answer, err := n.peers[e.Peer].Ping(ping, pingTimeout)
	n.deliver(core.PeerPinged{
		Peer:   e.Peer,
		SentAt: sentAt,
		// A different name means that the address now belongs to another controller.
		OK:     err == nil && answer.Name == e.Peer,
		Status: answer.Status,
	})
}

// relayHeartbeat relays a worker's heartbeat to the leader, or to a peer that passes it
// on, and delivers the answer to the core.
func (n *Node) relayHeartbeat(e core.RelayHeartbeat) {
	result := core.HeartbeatRelayed{RequestID: e.RequestID, Err: errUnknownPeer}
	if client, ok := n.peers[e.To]; ok {
		heartbeat := core.HeartbeatReceived{From: n.platform.Name, Heartbeat: e.Heartbeat, ViaPeer: e.ViaPeer}
		result.Answer, result.Err = client.RelayHeartbeat(heartbeat, relayTimeout)
	}
	n.deliver(result)
}

// forwardRequest forwards a user's request to a peer and delivers the answer to the
// core.
func (n *Node) forwardRequest(e core.ForwardRequest) {
	timeout := forwardTimeout
	switch e.Request.(type) {
	case core.QueryJob, core.QuerySweep, core.ListSweepRuns:
		timeout = forwardQueryTimeout
	}
	answer, err := n.askPeer(e.To, e.Request, timeout)
	n.deliver(core.RequestForwarded{RequestID: e.RequestID, Answer: answer, Err: err})
}

// readFromLeader asks the leader for the changes after a revision.
func (n *Node) readFromLeader(e core.ReadFromLeader, sentAt int64) {
	read := core.FollowerRead{AfterRevision: e.AfterRevision, WritesNeeded: e.WritesNeeded}
	answer, err := n.askPeer(e.To, read, replica.AnswerTimeout*time.Microsecond)
	n.deliver(core.LeaderReadDone{
		Number:        e.Number,
		AfterRevision: e.AfterRevision,
		SentAt:        sentAt,
		Answer:        answer,
		Err:           err,
	})
}
