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

// Client calls one peer. net/rpc has no deadlines of its own: a call that is
// late is given up, and drops the connection if no other call has been
// answered on it meanwhile. One late answer must not take the others along,
// as hundreds of relayed heartbeats wait on one connection.
type Client struct {
	addr string
	// slots has one element for each call under way.
	slots chan struct{}

	mu     sync.Mutex
	closed bool
	// rpcClient is nil while there is no connection.
	rpcClient *rpc.Client
	// answeredAt is when the connection last brought an answer.
	answeredAt time.Time
}

// NewClient makes a client for a peer's address that has at most calls under
// way. A relayed heartbeat is one for as long as the leader holds its answer, so
// the bound has to be as large as the machines that one controller serves.
func NewClient(addr string, calls int) *Client {
	return &Client{addr: addr, slots: make(chan struct{}, calls)}
}

// maxDialTime is how long a connection may take to come about.
const maxDialTime = time.Second

// minSilence is how long a connection has to be silent to be given up. A call that
// waits for less says nothing of the others on it.
const minSilence = time.Second

// connection is the connection to the peer, which is made if there is none.
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

// recordAnswer notes that the connection has brought an answer.
func (c *Client) recordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = time.Now()
}

// silentSince says that no answer has come since a time.
func (c *Client) silentSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredAt.Before(since)
}

// drop closes a connection; the next call makes another.
func (c *Client) drop(connection *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpcClient == connection {
		c.rpcClient = nil
	}
	closeLogged(connection)
}

// Close closes the connection. Calls under way and later ones fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.rpcClient != nil {
		closeLogged(c.rpcClient)
	}
}

// PingAnswer is the name of the controller that answered a ping, and its status.
type PingAnswer struct {
	Name   string
	Status core.PeerStatus
}

// Ping asks whether the peer is there. The ping's number is not sent.
func (c *Client) Ping(ping core.PingReceived, timeout time.Duration) (PingAnswer, error) {
	var reply wire.PingReply
	if err := c.call("Ping", wire.NewPing(ping), &reply, timeout); err != nil {
		return PingAnswer{}, err
	}
	return PingAnswer{Name: reply.Name, Status: reply.Core()}, nil
}

// RelayHeartbeat relays a worker's heartbeat. Its number is not sent.
func (c *Client) RelayHeartbeat(heartbeat core.HeartbeatReceived, timeout time.Duration) (core.Reply, error) {
	return c.callForReply("Beat", wire.NewHeartbeat(heartbeat), timeout)
}

// Ask forwards a request of the core: a core.ForwardedSweep, or one that Numbered
// knows.
func (c *Client) Ask(request any, timeout time.Duration) (core.Reply, error) {
	args, ok := wire.NewRequest(request)
	if !ok {
		return core.Reply{}, fmt.Errorf("%T is not forwarded: %w", request, ErrEmptyRequest)
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

// call makes one call with a deadline. After an error reply must not be read: a late
// answer may still be written to it.
func (c *Client) call(method string, args, reply any, timeout time.Duration) error {
	if err := c.callOnce(method, args, reply, timeout); err != nil {
		return fmt.Errorf("%s of the peer at %s: %w", method, c.addr, err)
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

// finish notes how a call ended: an answer, be it an error, proves the connection.
func (c *Client) finish(connection *rpc.Client, err error) error {
	var answered rpc.ServerError
	switch {
	case err == nil:
		c.recordAnswer()
		return nil
	case errors.As(err, &answered):
		c.recordAnswer()
		return fromText(answered)
	default:
		c.drop(connection)
		return err
	}
}
