package peer

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/peer/internal/wire"
)

// Client makes calls to one peer. As net/rpc has no deadlines, the client itself ends a
// call after the call's timeout. The client then drops the connection only if no other
// call has been answered on it since the call started: hundreds of relayed heartbeats may
// wait on one connection, and a single late response must not make them all fail.
type Client struct {
	addr string
	// slots has one element for each call in progress.
	slots chan struct{}

	mu     sync.Mutex
	closed bool
	// rpcClient is nil while there is no connection.
	rpcClient *rpc.Client
	// answeredAt is the time of the last response on the connection, or the time at which
	// the connection was established if there was none.
	answeredAt time.Time
}

// NewClient returns a client for the peer at addr with at most maxCalls calls in
// progress. A relayed heartbeat is in progress for as long as the leader delays its
// response, so maxCalls has to be at least the number of machines that one controller
// serves.
func NewClient(addr string, maxCalls int) *Client {
	return &Client{addr: addr, slots: make(chan struct{}, maxCalls)}
}

// maxDialTime is the timeout for establishing a connection.
const maxDialTime = time.Second

// minSilence is the minimum timeout of a call that may drop the connection. If a call
// with a shorter timeout is not answered, the connection may still work for other calls.
const minSilence = time.Second

// connection returns the connection to the peer. It establishes one if there is none.
func (c *Client) connection(timeout time.Duration) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if c.rpcClient != nil {
		return c.rpcClient, nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, min(timeout, maxDialTime))
	if err != nil {
		return nil, err
	}
	c.rpcClient, c.answeredAt = rpc.NewClient(conn), time.Now()
	return c.rpcClient, nil
}

// recordAnswer records that a response has arrived on the connection.
func (c *Client) recordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = time.Now()
}

// silentSince reports whether no response has arrived since the given time.
func (c *Client) silentSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredAt.Before(since)
}

// drop closes a connection. The next call establishes a new one.
func (c *Client) drop(connection *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpcClient == connection {
		c.rpcClient = nil
	}
	closeLogged(connection)
}

// Close closes the connection. Calls in progress and later ones fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.rpcClient != nil {
		closeLogged(c.rpcClient)
	}
}

// PingAnswer is the response to a ping: the name and status of the controller that sent
// the response.
type PingAnswer struct {
	Name   string
	Status core.PeerStatus
}

// Ping requests the peer's name and status. The ping's request ID is not sent.
func (c *Client) Ping(ping core.PingReceived, timeout time.Duration) (PingAnswer, error) {
	var reply wire.PingReply
	if err := c.call("Ping", wire.NewPing(ping), &reply, timeout); err != nil {
		return PingAnswer{}, err
	}
	return PingAnswer{Name: reply.Name, Status: reply.Core()}, nil
}

// RelayHeartbeat relays a worker's heartbeat to the peer. The heartbeat's request ID is
// not sent.
func (c *Client) RelayHeartbeat(heartbeat core.HeartbeatReceived, timeout time.Duration) (core.Reply, error) {
	return c.callForReply("Beat", wire.NewHeartbeat(heartbeat), timeout)
}

// Ask forwards a request to the peer: a core.ForwardedSweep or one of the types that
// WithRequestID supports.
func (c *Client) Ask(request any, timeout time.Duration) (core.Reply, error) {
	args, ok := wire.NewRequest(request)
	if !ok {
		return core.Reply{}, fmt.Errorf("request type %T can't be forwarded: %w", request, ErrEmptyRequest)
	}
	return c.callForReply("Ask", args, timeout)
}

func (c *Client) callForReply(method string, args any, timeout time.Duration) (core.Reply, error) {
	var reply wire.Reply
	if err := c.call(method, args, &reply, timeout); err != nil {
		return core.Reply{}, err
	}
	return reply.Core(), nil
}

// call makes one call with a timeout. If it returns an error, the caller must not read
// reply, because a late response may still be written to it.
func (c *Client) call(method string, args, reply any, timeout time.Duration) error {
	if err := c.callOnce(method, args, reply, timeout); err != nil {
		return fmt.Errorf("call %s on peer %s: %w", method, c.addr, err)
	}
	return nil
}

func (c *Client) callOnce(method string, args, reply any, timeout time.Duration) error {
	select {
	case c.slots <- struct{}{}:
	default:
		return ErrTooManyCalls
	}
	defer func() { <-c.slots }()
	connection, err := c.connection(timeout)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	call := connection.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(connection, call.Error)
	case <-timer.C:
		if timeout >= minSilence && c.silentSince(startedAt) {
			c.drop(connection)
		}
		return ErrTimeout
	}
}

// finish handles the end of a call and returns its error. A response proves that the
// connection works, even if it is an error of the peer; after any other error the
// connection is dropped.
func (c *Client) finish(connection *rpc.Client, err error) error {
	var answered rpc.ServerError
	switch {
	case err == nil:
		c.recordAnswer()
		return nil
	case errors.As(err, &answered):
		c.recordAnswer()
		return sentinelFor(answered)
	default:
		c.drop(connection)
		return err
	}
}
