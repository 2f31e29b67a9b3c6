// Package peer is what controllers say to each other, over net/rpc.
package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/vouch"
)

// BeatArgs is a worker's report on its way to the leader.
type BeatArgs struct {
	From   string
	Report core.Report
	// Onward: the sender can't reach the leader. Older ones never say so, and
	// ignore it: they answer that they do not lead.
	Onward bool
}

// PingArgs asks whether a controller is there. Need: the sender knows too few
// machines; missing it is false. Boot is the sender's start, missing for an older
// program, Ask what it wants vouched for, Tell what it knows to be cancelled.
type PingArgs struct {
	From string
	Need bool
	Boot string
	Ask  *vouch.Question
	Tell *vouch.Page
}

// PingReply says that it is, and what it knows.
type PingReply struct {
	Name string
	News core.PeerNews
}

// AskArgs is a user's request handed on, or a call of the cloud that the sender
// can't make itself, or a follower's question: one of them all. An older controller
// knows the first three or more, and answers that the request is empty if it is none
// of them.
type AskArgs struct {
	Submit *core.Submit
	Status *core.Status
	Cancel *core.Cancel
	Cloud  *core.CloudFor
	View   *core.ViewFor

	Sweep       *core.HandedSweep
	SweepStatus *core.SweepStatus
	SweepRuns   *core.SweepRuns
	CancelSweep *core.CancelSweep
}

// Ask wraps a request that is handed on, or makes it empty if it is none.
func Ask(request any) (a AskArgs) {
	switch r := request.(type) {
	case core.Submit:
		a.Submit = &r
	case core.Cancel:
		a.Cancel = &r
	case core.Status:
		a.Status = &r
	case core.CloudFor:
		a.Cloud = &r
	case core.ViewFor:
		a.View = &r
	case core.HandedSweep:
		a.Sweep = &r
	case core.SweepStatus:
		a.SweepStatus = &r
	case core.SweepRuns:
		a.SweepRuns = &r
	case core.CancelSweep:
		a.CancelSweep = &r
	}
	return a
}

// Message is the request as a message to the core that numbers it, nil if it is
// empty. A sweep is not: it has to be expanded first.
func (a *AskArgs) Message(req uint64) any {
	switch {
	case a.Submit != nil && a.Submit.Spec != nil:
		a.Submit.Req = req
		return *a.Submit
	case a.Cancel != nil:
		a.Cancel.Req = req
		return *a.Cancel
	case a.Status != nil:
		a.Status.Req = req
		return *a.Status
	case a.Cloud != nil:
		a.Cloud.Req = req
		return *a.Cloud
	case a.View != nil:
		a.View.Req = req
		return *a.View
	case a.SweepStatus != nil:
		a.SweepStatus.Req = req
		return *a.SweepStatus
	case a.SweepRuns != nil:
		a.SweepRuns.Req = req
		return *a.SweepRuns
	case a.CancelSweep != nil:
		a.CancelSweep.Req = req
		return *a.CancelSweep
	}
	return nil
}

// Handler is what a controller does for its peers.
type Handler interface {
	RelayedBeat(a BeatArgs) (core.Reply, error)
	Pinged(a PingArgs) (core.Reply, error)
	Ask(a AskArgs) (core.Reply, error)
}

type service struct {
	name string
	h    Handler
}

// Ping answers at once.
func (s *service) Ping(in PingArgs, out *PingReply) error {
	r, err := s.h.Pinged(in)
	if err != nil || r.News == nil {
		return errors.New("no answer from the core")
	}
	out.Name, out.News = s.name, *r.News
	return nil
}

// Ask takes a user's request that a peer can't answer itself, or a call of the
// cloud that it can't make.
func (s *service) Ask(in AskArgs, out *core.Reply) error {
	if in.Sweep == nil && in.Message(0) == nil {
		return errors.New("empty request")
	}
	r, err := s.h.Ask(in)
	*out = r
	return err
}

// Beat hands a report to the core.
func (s *service) Beat(in BeatArgs, out *core.Reply) error {
	r, err := s.h.RelayedBeat(in)
	*out = r
	return err
}

// Serve answers peers on addr for ever; it returns only if it can't listen.
func Serve(addr, name string, h Handler, maxConns int) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := rpc.NewServer()
	if err := srv.RegisterName("Peer", &service{name, h}); err != nil {
		return err
	}
	slots := make(chan struct{}, maxConns)
	for {
		conn, err := l.Accept()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				srv.ServeConn(conn)
			}()
		default:
			conn.Close()
		}
	}
}

// Client calls one peer. net/rpc has no deadlines of its own: a call that is
// late is given up, and drops the connection if no other call has been
// answered on it meanwhile. One late answer must not take the others along,
// as hundreds of relayed reports wait on one connection.
type Client struct {
	addr string
	mu   sync.Mutex
	c    *rpc.Client
	conn net.Conn
	// answered is when the connection last brought an answer.
	answered time.Time
	slot     chan struct{}
}

// NewClient makes a client for a peer's address that has at most calls under
// way. A relayed report is one for as long as its answer is parked, so the
// bound has to be as large as the machines that one controller serves.
func NewClient(addr string, calls int) *Client {
	return &Client{addr: addr, slot: make(chan struct{}, calls)}
}

// proves is how long a connection has to be silent to be given up. A call that waits
// for less says nothing of the others on it.
const proves = time.Second

var errLate = errors.New("peer did not answer in time")
var errFull = errors.New("too many calls to the peer under way")

func (p *Client) dial(timeout time.Duration) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.c != nil {
		return p.c, nil
	}
	conn, err := net.DialTimeout("tcp", p.addr, min(timeout, time.Second))
	if err != nil {
		return nil, err
	}
	p.conn, p.c, p.answered = conn, rpc.NewClient(conn), time.Now()
	return p.c, nil
}

// alive notes an answer; quiet says that none has come since a time.
func (p *Client) alive() {
	p.mu.Lock()
	p.answered = time.Now()
	p.mu.Unlock()
}

func (p *Client) quiet(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered.Before(since)
}

func (p *Client) drop(c *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.c == c {
		p.c = nil
	}
	c.Close()
}

// Call makes one call with a deadline.
func (p *Client) Call(method string, in, out any, timeout time.Duration) error {
	select {
	case p.slot <- struct{}{}:
	default:
		return errFull
	}
	defer func() { <-p.slot }()
	c, err := p.dial(timeout)
	if err != nil {
		return err
	}
	begun := time.Now()
	t := time.NewTimer(timeout)
	defer t.Stop()
	call := c.Go("Peer."+method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var se rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &se) {
			p.drop(c)
		} else {
			p.alive()
		}
		return call.Error
	case <-t.C:
		if timeout >= proves && p.quiet(begun) {
			p.drop(c)
		}
		return errLate
	}
}
