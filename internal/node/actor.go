package node

import (
	"errors"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/core"
)

// tickInterval is the interval between two ticks.
const tickInterval = 50 * time.Millisecond

// overloadedRetryAfter is the number of seconds after which a request that was refused
// because the inbox was full may be retried.
const overloadedRetryAfter = 1

var (
	// errNoReply is returned if the core has not replied to a peer's request in time.
	errNoReply = errors.New("no answer from the core")
	// errStopping is returned if the node stops before the core has replied.
	errStopping = errors.New("the controller is stopping")
)

// envelope wraps a message to the core. For a request, build returns the message once
// the actor has assigned a request ID, and reply is called with the reply; for any
// other message, build is nil.
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

// tick returns a message with the current time of day for the core.
func tick() core.Tick { return core.Tick{TimeOfDay: time.Now().UnixMicro()} }

// sendTicks sends ticks until the node stops. Ticks are skipped while the inbox is
// full: the actor passes the current monotonic time to the core with each message, so
// the core's clock advances without them.
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

// runActor passes each message in turn to the core until the node stops. Only this
// goroutine uses the core.
func (n *Node) runActor() {
	n.step(tick())
	for {
		select {
		case <-n.done:
			return
		case e := <-n.inbox:
			n.step(n.unwrap(e))
		}
	}
}

// unwrap returns the message in an envelope. A request is assigned a request ID and
// recorded as pending.
func (n *Node) unwrap(e envelope) any {
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

// step passes a message to the core and executes the resulting effects.
func (n *Node) step(message any) {
	for _, effect := range n.core.Step(n.now(), message) {
		n.execute(effect)
	}
}

// deliver sends the result of an effect to the core. Results must not be lost, so it
// blocks while the inbox is full; the core bounds the number of effects in progress.
func (n *Node) deliver(result any) {
	select {
	case n.inbox <- envelope{message: result}:
	case <-n.done:
	}
}

// request sends a request to the core. If the inbox is full, the request is refused
// immediately.
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
