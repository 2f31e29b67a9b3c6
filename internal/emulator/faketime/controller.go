package faketime

import (
	"fmt"
	"math/rand/v2"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
)

// Controller is a simulated controller process with a real core.
type Controller struct {
	cluster     *Cluster
	name        string
	index       int
	core        *core.Core
	up          bool
	frozen      bool
	deferred    []func() // calls that arrived while the process was frozen
	epoch       int      // number of starts and kills, by which timers of an earlier process are ignored
	clockOffset int64    // error of its wall clock, in microseconds
	replies     map[uint64]func(core.Reply)
	calls       map[uint64]func(status int, body any)
	nextID      uint64
}

// Start starts the process of a controller.
func (c *Cluster) Start(controller *Controller) {
	controller.up, controller.frozen, controller.deferred = true, false, nil
	controller.epoch++
	controller.replies, controller.calls = map[uint64]func(core.Reply){}, map[uint64]func(int, any){}
	controller.core = core.New(c.settings(controller), c.now+1, rand.New(rand.NewPCG(c.Config.Seed, uint64(controller.index*1000+controller.epoch))), c.Log.With("node", controller.name))
	c.step(environment.ControllerUp{Controller: controller.name, Up: true})
	controller.tick(controller.epoch)
}

// settings returns the settings that a controller starts with.
func (c *Cluster) settings(controller *Controller) core.Settings {
	settings := core.Settings{
		Name:        controller.name,
		Deployment:  c.Config.Params,
		Ops:         c.Operators,
		Incarnation: fmt.Sprintf("%s-%d", controller.name, controller.epoch),
	}
	for i := range c.Config.Params.Size {
		if i != controller.index {
			settings.Peers = append(settings.Peers, environment.ControllerName(i))
		}
	}
	if c.Programs != nil {
		program := c.Programs(controller.index, controller.epoch)
		settings.Program = &program
	}
	if c.OneMissing {
		settings.Peers = append(settings.Peers, "missing")
	}
	return settings
}

// Kill ends the process of a controller.
func (c *Cluster) Kill(controller *Controller) {
	controller.up = false
	controller.epoch++
	c.step(environment.ControllerUp{Controller: controller.name})
}

func (n *Controller) tick(epoch int) {
	if n.epoch != epoch || !n.up {
		return
	}
	if !n.frozen {
		n.step(core.Tick{TimeOfDay: n.cluster.now + startTime + n.clockOffset})
	}
	n.cluster.After(tickInterval, func() { n.tick(epoch) })
}

func (n *Controller) freeze(on bool) {
	n.frozen = on
	if !on {
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			f()
		}
	}
}

// runUnlessEnded calls f unless the process of the given epoch has ended. While the process
// is frozen, the call is deferred.
func (n *Controller) runUnlessEnded(epoch int, f func()) {
	switch {
	case !n.up || n.epoch != epoch:
	case n.frozen:
		n.deferred = append(n.deferred, func() { n.runUnlessEnded(epoch, f) })
	default:
		f()
	}
}

// isLegacy reports whether the controller runs a program without read leases. Such a program
// neither reads nor sends the message fields for read leases.
func (n *Controller) isLegacy() bool { return n.cluster.Legacy != nil && n.cluster.Legacy(n.name) }

func (n *Controller) step(msg any) {
	for _, e := range n.core.Step(n.cluster.now+1, msg) {
		n.execute(e)
	}
}

// Request sends a request directly to the controller's core, bypassing the emulated network.
func (n *Controller) Request(build func(req uint64) any, reply func(core.Reply)) {
	n.nextID++
	n.replies[n.nextID] = reply
	n.step(build(n.nextID))
}

// call sends a request over the emulated network. If no response arrives within timeout,
// done is called with status 0.
func (n *Controller) call(to string, request any, timeout int64, done func(status int, body any)) {
	n.nextID++
	id := uint64(n.index)<<48 | uint64(n.epoch)<<32 | n.nextID
	n.calls[id] = done
	n.callAfter(timeout, func() { n.finishCall(id, 0, nil) })
	n.cluster.step(environment.Call{ID: id, From: n.name, To: to, Request: request})
}

func (n *Controller) finishCall(id uint64, status int, body any) {
	if done := n.calls[id]; done != nil {
		delete(n.calls, id)
		done(status, body)
	}
}

func (n *Controller) onAnswer(answer environment.Answer) {
	n.runUnlessEnded(n.epoch, func() { n.finishCall(answer.ID, answer.Status, answer.Body) })
}

// onRequest passes a request that has reached the controller to its core.
func (n *Controller) onRequest(ask environment.Ask) {
	if !n.up {
		n.cluster.step(environment.AskAnswer{ID: ask.ID})
		return
	}
	n.runUnlessEnded(n.epoch, func() {
		if ping, ok := ask.Request.(pingRequest); ok && n.isLegacy() {
			ping.Incarnation, ping.ReadLeaseRequest, ping.Cancellations = "", nil, nil
			ask.Request = ping
		}
		build, rejection := toCoreMessage(ask.Request)
		if rejection != nil {
			n.cluster.step(environment.AskAnswer{ID: ask.ID, Status: int(rejection.Status), RetryAfter: rejection.RetryAfter})
			return
		}
		n.Request(build, func(reply core.Reply) {
			n.cluster.step(environment.AskAnswer{ID: ask.ID, Status: int(reply.Status), RetryAfter: reply.RetryAfter, Body: responseBody(ask.Request, reply)})
		})
	})
}
