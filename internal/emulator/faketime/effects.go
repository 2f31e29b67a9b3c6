package faketime

import (
	"net/http"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Timeouts of a controller's requests, as in package node, and its delays, in microseconds. Unlike
// in package node, forwarded queries have the same timeout as other forwarded requests.
const (
	commitTimeout         = 2 * second
	getTimeout            = 3 * second / 2
	listTimeout           = 5 * second
	leaseTimeout          = second
	watchWait             = 10 * second
	watchTimeout          = watchWait + 3*second/2
	cloudTimeout          = 4 * second
	pingTimeout           = second
	relayTimeout          = 3_700_000
	forwardTimeout        = 3_500_000
	directTimeout         = 2 * second
	probeTimeout          = second
	delegatedCloudTimeout = 15 * second
	errorRetryDelay       = 300_000
)

// sweepExpandTime is the simulated time that expanding a stored sweep takes, in microseconds.
const sweepExpandTime = 20_000

// execute executes an effect that the core returned, such as a reply or a request to send.
func (n *Controller) execute(effect any) {
	switch e := effect.(type) {
	case core.Reply:
		if reply := n.replies[e.RequestID]; reply != nil {
			delete(n.replies, e.RequestID)
			reply(e)
		}
	case core.Quit:
		n.cluster.Kill(n)
	case core.ProbeMachine:
		n.probeMachine(e)
	case core.SendCommands:
		n.sendCommands(e)
	case core.ExpandSweep:
		plan, err := api.UnpackSweep(e.Stored)
		n.stepAfter(sweepExpandTime, core.SweepExpanded{ID: e.ID, Plan: plan, Err: err})
	default:
		if !n.executeStateEffect(effect) && !n.executePeerEffect(effect) {
			n.executeCloudEffect(effect)
		}
	}
}

// stepAfter passes a message to the core after a delay, unless the process ends before.
func (n *Controller) stepAfter(delay int64, msg any) {
	n.callAfter(delay, func() { n.step(msg) })
}

// callAfter calls f after a delay, unless the process ends before.
func (n *Controller) callAfter(delay int64, f func()) {
	epoch := n.epoch
	n.cluster.After(delay, func() { n.runUnlessEnded(epoch, f) })
}

// sentAt returns the send time of a request that the core has just returned. It is the time that
// was passed to the core's Step.
func (n *Controller) sentAt() int64 { return n.cluster.now + 1 }

func (n *Controller) probeMachine(e core.ProbeMachine) {
	sent := n.sentAt()
	n.call(e.Addr, wire.Inspect{}, probeTimeout, func(status int, body any) {
		probed := core.MachineProbed{Machine: e.Machine, SentAt: sent, OK: status == http.StatusOK}
		if report, ok := body.(*wire.Report); ok {
			heartbeat := coreHeartbeat(report)
			probed.Heartbeat = &heartbeat
		}
		n.step(probed)
	})
}

func (n *Controller) sendCommands(e core.SendCommands) {
	orders := wire.WorkerOrders{Token: &e.FencingToken, Session: &e.Epoch}
	for _, command := range e.Commands {
		orders.Orders = append(orders.Orders, wireOrder(command))
	}
	n.call(e.Addr, orders, directTimeout, func(int, any) {})
}
