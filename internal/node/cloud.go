package node

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/core"
)

// cloudViaPeerTimeout is the timeout of a cloud call made by a peer. It has to cover a
// list, which is read page by page with gaps in between.
const cloudViaPeerTimeout = 15 * time.Second

func (n *Node) listMachineTypes(e core.ListMachineTypes) {
	result := n.cloud.ListTypes()
	result.FencingToken = e.FencingToken
	n.deliver(result)
}

func (n *Node) listMachines(e core.ListMachines) {
	result := n.cloud.ListMachines(time.Duration(e.Gap) * time.Microsecond)
	result.FencingToken = e.FencingToken
	n.deliver(result)
}

func (n *Node) scaleOut(e core.ScaleOut) {
	if n.isExpired(e.NotAfter) {
		// No status means an unknown outcome. The core repeats the request under the same
		// name if it still leads.
		n.deliver(core.ScaledOut{Request: e})
		return
	}
	n.deliver(n.cloud.ScaleOut(e))
}

func (n *Node) scaleIn(e core.ScaleIn) {
	if n.isExpired(e.NotAfter) {
		n.deliver(core.ScaledIn{Names: e.Names, FencingToken: e.FencingToken})
		return
	}
	result := n.cloud.ScaleIn(e.Names)
	result.FencingToken = e.FencingToken
	n.deliver(result)
}

// isExpired reports whether a cloud call that changes something is past its deadline.
// Such a call must not be made: this process was suspended after the core had requested
// the call, and another controller may lead by now.
func (n *Node) isExpired(notAfter int64) bool {
	expired := n.now() >= notAfter
	if expired {
		slog.Info("expired cloud call dropped")
	}
	return expired
}

// callCloudForPeer makes a cloud call that a peer has requested.
func (n *Node) callCloudForPeer(e core.CallCloudForPeer) {
	n.deliver(core.CloudCalledForPeer{RequestID: e.RequestID, Answer: n.callCloud(e.Call)})
}

// callCloud makes a cloud call. In the result, status 0 means that the outcome is
// unknown.
func (n *Node) callCloud(call core.CloudCall) core.CloudResult {
	var result core.CloudResult
	var err error
	switch {
	case call.ListTypes:
		listed := n.cloud.ListTypes()
		result.Types, err = listed.Types, listed.Err
	case call.ListMachines:
		listed := n.cloud.ListMachines(time.Duration(call.Gap) * time.Microsecond)
		result.List, err = listed.List, listed.Err
	case call.ScaleOut != nil:
		scaled := n.cloud.ScaleOut(*call.ScaleOut)
		return core.CloudResult{Status: scaled.Status, Names: scaled.Names}
	default:
		if !n.cloud.ScaleIn(call.ScaleIn).OK {
			return result
		}
	}
	if err == nil {
		result.Status = http.StatusOK
	}
	return result
}

// callCloudViaPeer requests a peer to make a cloud call.
func (n *Node) callCloudViaPeer(e core.CallCloudViaPeer) {
	if n.isExpired(e.NotAfter) {
		// The peer was not called, so no result about the peer is delivered.
		_, result := core.CloudViaPeerResult(e, core.Reply{}, nil)
		n.deliver(result)
		return
	}
	reply, err := n.askPeer(e.To, core.CloudCallRequested{FencingToken: e.FencingToken, Call: e.Call}, cloudViaPeerTimeout)
	peerResult, result := core.CloudViaPeerResult(e, reply, err)
	n.deliver(peerResult)
	n.deliver(result)
}
