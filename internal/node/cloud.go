package node

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/core"
)

// cloudViaPeerTimeout is how long a call of the cloud by another controller may
// take: a list has pages with gaps between them.
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
		n.deliver(core.ScaledOut{Request: e}) // asked again under the same name, if at all
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

// isExpired says that a call which changes something must not be made any more: this
// process has stood still since it was decided, and another controller may lead.
func (n *Node) isExpired(notAfter int64) bool {
	expired := n.now() >= notAfter
	if expired {
		slog.Info("expired cloud call dropped")
	}
	return expired
}

// callCloudForPeer makes a call of the cloud that a peer has asked for.
func (n *Node) callCloudForPeer(e core.CallCloudForPeer) {
	n.deliver(core.CloudCalledForPeer{RequestID: e.RequestID, Answer: n.callCloud(e.Call)})
}

// callCloud makes a call of the cloud. Status 0 means that the outcome is unknown.
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

// callCloudViaPeer has a peer make a call of the cloud.
func (n *Node) callCloudViaPeer(e core.CallCloudViaPeer) {
	if n.isExpired(e.NotAfter) {
		_, result := core.CloudViaPeerResult(e, core.Reply{}, nil) // no fault of the peer's
		n.deliver(result)
		return
	}
	reply, err := n.askPeer(e.To, core.CloudCallRequested{FencingToken: e.FencingToken, Call: e.Call}, cloudViaPeerTimeout)
	peerResult, result := core.CloudViaPeerResult(e, reply, err)
	n.deliver(peerResult)
	n.deliver(result)
}
