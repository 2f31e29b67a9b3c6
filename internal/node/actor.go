package node

import (
	"errors"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/core"
)

// tickInterval is how often the core learns the time.
const tickInterval = 50 * time.Millisecond

// overloadedRetryAfter is in how many seconds a request that found the inbox full
// may be repeated.
const overloadedRetryAfter = 1

var (
	// errNoReply says that the core has not replied to a peer's request in time.
	errNoReply = errors.New("no answer from the core")
	// errStopping says that the node stops before the core has replied.
	errStopping = errors.New("the controller is stopping")
)

// envelope is a message to the core: message, or for a request what build makes
// once the actor has numbered it. reply takes the reply to a request.
type envelope struct {
	message any
	build   func(requestID uint64) any
	reply   func(core.Reply)
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	message    any
	receivedAt int64
	reply      func(core.Reply)
}

// tick is the message that tells the core the time of day.
func tick() core.Tick { return core.Tick{TimeOfDay: time.Now().UnixMicro()} }

// sendTicks sends ticks until the node stops. While the inbox is full they are
// left out, as messages bring the time too.
func (n *Node) sendTicks() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.done:
			return
		case <-ticker.C:
		}
		select {
		case n.inbox <- envelope{message: tick()}:
		default:
		}
	}
}

// runActor steps the core with each message in turn until the node stops. The
// core is used by this goroutine only.
func (n *Node) runActor() {
	n.step(tick())
	for {
		select {
		case <-n.done:
			return
		case e := <-n.inbox:
			n.step(n.open(e))
		}
	}
}

// open takes the message out of an envelope, numbering a request.
func (n *Node) open(e envelope) any {
	if e.build == nil {
		return e.message
	}
	n.lastRequestID++
	message := e.build(n.lastRequestID)
	n.pending[n.lastRequestID] = pendingRequest{
		message:    message,
		receivedAt: n.now(),
		reply:      e.reply,
	}
	return message
}

// step hands the core a message and executes the effects.
func (n *Node) step(message any) {
	for _, effect := range n.core.Step(n.now(), message) {
		n.execute(effect)
	}
}

// deliver sends the result of an effect to the core. Results must not be lost, so
// this waits for room; the number of effects under way is bounded by the core.
func (n *Node) deliver(result any) {
	select {
	case n.inbox <- envelope{message: result}:
	case <-n.done:
	}
}

// request sends a request to the core. If the inbox is full it is refused at once.
func (n *Node) request(build func(requestID uint64) any, reply func(core.Reply)) {
	select {
	case n.inbox <- envelope{build: build, reply: reply}:
	default:
		reply(core.Reply{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: overloadedRetryAfter,
			Error:      "overloaded",
		})
	}
}

// requestAndWait sends a request to the core and waits for the reply.
func (n *Node) requestAndWait(build func(requestID uint64) any, timeout time.Duration) (core.Reply, error) {
	replies := make(chan core.Reply, 1)
	n.request(build, func(r core.Reply) { replies <- r })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-replies:
		return r, nil
	case <-timer.C:
		return core.Reply{}, errNoReply
	case <-n.done:
		return core.Reply{}, errStopping
	}
}
