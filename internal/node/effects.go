package node

import (
	"errors"

	"github.com/zinclb/zinclb/internal/core"
)

// execute starts the I/O that the core requests. It runs in the actor and must not
// block: slow operations run in their own goroutines, which deliver the results.
func (n *Node) execute(effect any) {
	switch e := effect.(type) {
	case core.Reply:
		n.reply(e)
	case core.Quit:
		n.fatal <- errors.New(e.Reason) // does not block: the core quits only once
	case core.ExpandSweep:
		n.goroutines.Go(func() { n.expandSweep(e) })
	case core.SendCommands:
		n.workers.send(e)
	case core.ProbeMachine:
		sentAt := n.now()
		n.goroutines.Go(func() { n.probeMachine(e, sentAt) })
	default:
		// Each method reports whether the effect is of a kind that it executes.
		_ = n.executeStateEffect(effect) || n.executePeerEffect(effect) || n.executeCloudEffect(effect)
	}
}

// reply answers a pending request. It does nothing if the request has already been
// answered.
func (n *Node) reply(r core.Reply) {
	request, ok := n.pending[r.RequestID]
	if !ok {
		return
	}
	delete(n.pending, r.RequestID)
	n.latencies.record(request.message, n.now()-request.receivedAt)
	if r.Ops != nil {
		r.Ops.Latencies = n.latencies.summary()
	}
	request.reply(r)
}

// executeStateEffect starts a call to the state service. It reports whether the effect
// is such a call.
func (n *Node) executeStateEffect(effect any) bool {
	sentAt := n.now()
	var call func()
	switch e := effect.(type) {
	case core.ListState:
		call = func() { n.listState(e) }
	case core.WatchState:
		call = func() { n.watchState(e, sentAt) }
	case core.WatchLeader:
		call = func() { n.watchLeader(e) }
	case core.ReadState:
		call = func() { n.readState(e, sentAt) }
	case core.CommitTransaction:
		call = func() { n.deliver(n.state.Transact(e, commitTimeout)) }
	case core.ReadKey:
		call = func() { n.readKey(e) }
	case core.GrantLease:
		call = func() { n.grantLease(e, sentAt) }
	case core.RenewLease:
		call = func() { n.renewLease(e, sentAt) }
	case core.RevokeLease:
		call = func() { n.revokeLease(e) }
	default:
		return false
	}
	n.goroutines.Go(call)
	return true
}

// executePeerEffect starts a call to another controller. It reports whether the effect
// is such a call.
func (n *Node) executePeerEffect(effect any) bool {
	sentAt := n.now()
	var call func()
	switch e := effect.(type) {
	case core.PingPeer:
		call = func() { n.pingPeer(e, sentAt) }
	case core.RelayHeartbeat:
		call = func() { n.relayHeartbeat(e) }
	case core.ForwardRequest:
		call = func() { n.forwardRequest(e) }
	case core.ReadFromLeader:
		call = func() { n.readFromLeader(e, sentAt) }
	default:
		return false
	}
	n.goroutines.Go(call)
	return true
}

// executeCloudEffect starts a cloud call, made by this controller or via a peer. It
// reports whether the effect is such a call.
func (n *Node) executeCloudEffect(effect any) bool {
	var call func()
	switch e := effect.(type) {
	case core.ListMachineTypes:
		call = func() { n.listMachineTypes(e) }
	case core.ListMachines:
		call = func() { n.listMachines(e) }
	case core.ScaleOut:
		call = func() { n.scaleOut(e) }
	case core.ScaleIn:
		call = func() { n.scaleIn(e) }
	case core.CallCloudForPeer:
		call = func() { n.callCloudForPeer(e) }
	case core.CallCloudViaPeer:
		call = func() { n.callCloudViaPeer(e) }
	default:
		return false
	}
	n.goroutines.Go(call)
	return true
}
