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
// as hundreds of relayed reports wait on one connection.
type Client struct {
	addr      string
	mu        sync.Mutex
	rpcClient *rpc.Client
	conn      net.Conn
	// answered is when the connection last brought an answer.
	answered time.Time
	slots    chan struct{}
}

// NewClient makes a client for a peer's address that has at most calls under
// way. A relayed report is one for as long as its answer is parked, so the
// bound has to be as large as the machines that one controller serves.
func NewClient(addr string, calls int) *Client {
	return &Client{addr: addr, slots: make(chan struct{}, calls)}
}

// dialMost is how long a connection may take to come about.
const dialMost = time.Second

// silenceMost is how long a connection has to be silent to be given up. A call that
// waits for less says nothing of the others on it.
const silenceMost = time.Second

func (p *Client) dial(timeout time.Duration) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rpcClient != nil {
		return p.rpcClient, nil
	}
	conn, err := net.DialTimeout("tcp", p.addr, min(timeout, dialMost))
	if err != nil {
		return nil, err
	}
	p.conn, p.rpcClient, p.answered = conn, rpc.NewClient(conn), time.Now()
	return p.rpcClient, nil
}

// recordAnswer notes an answer; quiet says that none has come since a time.
func (p *Client) recordAnswer() {
	p.mu.Lock()
	p.answered = time.Now()
	p.mu.Unlock()
}

func (p *Client) silentSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered.Before(since)
}

func (p *Client) closeConnection(c *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rpcClient == c {
		p.rpcClient = nil
	}
	c.Close()
}

// PingAnswer is the name of the controller that answered a ping, and what it knows.
type PingAnswer struct {
	Name string
	News core.PeerStatus
}

// Ping asks whether the peer is there. The ping's number is not sent.
func (p *Client) Ping(ping core.PingReceived, timeout time.Duration) (PingAnswer, error) {
	var reply wire.PingReply
	if err := p.call("Ping", wire.NewPing(ping), &reply, timeout); err != nil {
		return PingAnswer{}, err
	}
	return PingAnswer{Name: reply.Name, News: reply.Core()}, nil
}

// RelayBeat relays a worker's heartbeat. Its number is not sent.
func (p *Client) RelayBeat(beat core.HeartbeatReceived, timeout time.Duration) (core.Reply, error) {
	return p.callForReply("Beat", wire.NewHeartbeat(beat), timeout)
}

// Ask hands on a request of the core: a core.ForwardedSweep, or one that Numbered knows.
func (p *Client) Ask(request any, timeout time.Duration) (core.Reply, error) {
	args, ok := wire.NewRequest(request)
	if !ok {
		return core.Reply{}, fmt.Errorf("%T is not handed on: %w", request, ErrEmptyRequest)
	}
	return p.callForReply("Ask", args, timeout)
}

func (p *Client) callForReply(method string, args any, timeout time.Duration) (core.Reply, error) {
	var reply wire.Reply
	if err := p.call(method, args, &reply, timeout); err != nil {
		return core.Reply{}, err
	}
	return reply.Core(), nil
}

// call makes one call with a deadline. After an error out must not be read: a late
// answer may still be written to it.
func (p *Client) call(method string, in, out any, timeout time.Duration) error {
	if err := p.callOnce(method, in, out, timeout); err != nil {
		return fmt.Errorf("%s of the peer at %s: %w", method, p.addr, err)
	}
	return nil
}

func (p *Client) callOnce(method string, in, out any, timeout time.Duration) error {
	select {
	case p.slots <- struct{}{}:
	default:
		return ErrTooManyCalls
	}
	defer func() { <-p.slots }()
	c, err := p.dial(timeout)
	if err != nil {
		return err
	}
	begun := time.Now()
	t := time.NewTimer(timeout)
	defer t.Stop()
	call := c.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.ended(c, call.Error)
	case <-t.C:
		if timeout >= silenceMost && p.silentSince(begun) {
			p.closeConnection(c)
		}
		return ErrTimeout
	}
}

// ended notes how a call ended: an answer, be it an error, proves the connection.
func (p *Client) ended(c *rpc.Client, err error) error {
	var answered rpc.ServerError
	switch {
	case err == nil:
		p.recordAnswer()
		return nil
	case errors.As(err, &answered):
		p.recordAnswer()
		return fromText(answered)
	default:
		p.closeConnection(c)
		return err
	}
}
