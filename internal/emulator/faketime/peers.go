package faketime

import (
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/replica"
)

// executePeerEffect starts a request to another controller. It returns false if the effect
// is not such a request.
func (n *Controller) executePeerEffect(effect any) bool {
	switch e := effect.(type) {
	case core.ReadFromLeader:
		n.readFromLeader(e)
	case core.RelayHeartbeat:
		n.relayHeartbeat(e)
	case core.ForwardRequest:
		n.forwardRequest(e)
	case core.PingPeer:
		n.pingPeer(e)
	case core.CallCloudViaPeer:
		n.callCloudViaPeer(e)
	default:
		return false
	}
	return true
}

func (n *Controller) readFromLeader(e core.ReadFromLeader) {
	sent := n.sentAt()
	if n.cluster.OnQuery != nil {
		n.cluster.OnQuery(n.name, e)
	}
	request := core.FollowerRead{AfterRevision: e.AfterRevision, WritesNeeded: e.WritesNeeded}
	n.call(e.To, request, replica.AnswerTimeout, func(_ int, body any) {
		reply, err := controllerReply(body)
		done := core.LeaderReadDone{Number: e.Number, AfterRevision: e.AfterRevision, SentAt: sent, Answer: reply, Err: err}
		if n.cluster.OnQueryEnd != nil {
			n.cluster.OnQueryEnd(n.name, &done)
		}
		n.step(done)
	})
}

func (n *Controller) relayHeartbeat(e core.RelayHeartbeat) {
	request := core.HeartbeatReceived{Heartbeat: e.Heartbeat, From: n.name, ViaPeer: e.ViaPeer}
	n.call(e.To, request, relayTimeout, func(_ int, body any) {
		reply, err := controllerReply(body)
		n.step(core.HeartbeatRelayed{RequestID: e.RequestID, Answer: reply, Err: err})
	})
}

func (n *Controller) forwardRequest(e core.ForwardRequest) {
	n.call(e.To, e.Request, forwardTimeout, func(_ int, body any) {
		reply, err := controllerReply(body)
		n.step(core.RequestForwarded{RequestID: e.RequestID, Answer: reply, Err: err})
	})
}

func (n *Controller) pingPeer(e core.PingPeer) {
	sent := n.sentAt()
	if n.isLegacy() {
		e.Incarnation, e.ReadLeaseRequest, e.Cancellations = "", nil, nil
	}
	n.call(e.Peer, pingRequest{n.name, e}, pingTimeout, func(_ int, body any) {
		pinged := core.PeerPinged{Peer: e.Peer, SentAt: sent}
		if reply, err := controllerReply(body); err == nil && reply.PeerStatus != nil {
			pinged.OK, pinged.Status = true, *reply.PeerStatus
			if n.isLegacy() {
				pinged.Status.ReadLease, pinged.Status.Ack = nil, nil
			}
		}
		n.step(pinged)
	})
}

func (n *Controller) callCloudViaPeer(e core.CallCloudViaPeer) {
	request := core.CloudCallRequested{FencingToken: e.FencingToken, Call: e.Call}
	n.call(e.To, request, delegatedCloudTimeout, func(_ int, body any) {
		reply, err := controllerReply(body)
		called, result := core.CloudViaPeerResult(e, reply, err)
		n.step(called)
		n.step(result)
	})
}
