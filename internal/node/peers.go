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

// Timeouts of calls between controllers. A call ends here sooner than the peer
// gives it up, or than the user does who waits for it.
const (
	pingTimeout = time.Second
	// relayTimeout is for a relayed heartbeat: its worker gives up after 4 s, and
	// the leader holds an answer for up to 3 s.
	relayTimeout = 3700 * time.Millisecond
	// forwardTimeout is for a user's request that is forwarded, and
	// forwardQueryTimeout for one that changes nothing.
	forwardTimeout      = 3500 * time.Millisecond
	forwardQueryTimeout = 1500 * time.Millisecond
	// forwardedTimeout is for a request that a peer has forwarded to this controller.
	forwardedTimeout = 4 * time.Second
)

// errNoPeer says that a controller is not among this one's peers.
var errNoPeer = errors.New("the leader is no peer")

// HandleRelayedHeartbeat hands a heartbeat that a peer relays to the core.
func (n *Node) HandleRelayedHeartbeat(heartbeat core.HeartbeatReceived) (core.Reply, error) {
	build := func(requestID uint64) any {
		heartbeat.RequestID = requestID
		return heartbeat
	}
	return n.requestAndWait(build, relayTimeout)
}

// HandlePing asks the core what to answer a peer's ping.
func (n *Node) HandlePing(ping core.PingReceived) (core.Reply, error) {
	build := func(requestID uint64) any {
		ping.RequestID = requestID
		return ping
	}
	return n.requestAndWait(build, pingTimeout)
}

// HandleRequest hands a request that a peer forwards to the core.
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
	build := func(requestID uint64) any { return peer.Numbered(request, requestID) }
	return n.requestAndWait(build, timeout)
}

// submissionOf expands a sweep that a peer has forwarded.
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

// unpackSweep expands a stored sweep, one at a time.
func (n *Node) unpackSweep(stored string) (*core.SweepPlan, error) {
	n.expanding.Lock()
	defer n.expanding.Unlock()
	return api.UnpackSweep(stored)
}

// askPeer makes a request of a peer.
func (n *Node) askPeer(name string, request any, timeout time.Duration) (core.Reply, error) {
	client, ok := n.peers[name]
	if !ok {
		return core.Reply{}, errNoPeer
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
		// Another name means that the address is another controller's by now.
		OK:     err == nil && answer.Name == e.Peer,
		Status: answer.Status,
	})
}

// relayHeartbeat hands a worker's heartbeat to the leader.
func (n *Node) relayHeartbeat(e core.RelayHeartbeat) {
	result := core.HeartbeatRelayed{RequestID: e.RequestID, Err: errNoPeer}
	if client, ok := n.peers[e.To]; ok {
		heartbeat := core.HeartbeatReceived{From: n.platform.Name, Heartbeat: e.Heartbeat, ViaPeer: e.ViaPeer}
		result.Answer, result.Err = client.RelayHeartbeat(heartbeat, relayTimeout)
	}
	n.deliver(result)
}

// forwardRequest hands a user's request to a peer.
func (n *Node) forwardRequest(e core.ForwardRequest) {
	timeout := forwardTimeout
	switch e.Request.(type) {
	case core.QueryJob, core.QuerySweep, core.ListSweepRuns:
		timeout = forwardQueryTimeout
	}
	answer, err := n.askPeer(e.To, e.Request, timeout)
	n.deliver(core.RequestForwarded{RequestID: e.RequestID, Answer: answer, Err: err})
}

// readFromLeader asks the leader for what has changed.
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
