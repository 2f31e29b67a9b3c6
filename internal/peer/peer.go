// Package peer is what controllers say to each other, over net/rpc.
//
// Its callers and handlers use the core's types. What is sent are the types of
// package wire, so that a field of the core can be renamed without a controller of
// another version losing it.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/peer/internal/wire"
)

// serviceName is the name under which a controller's methods are called.
const serviceName = "Peer"

// acceptRetry is how long to wait after a connection could not be accepted.
const acceptRetry = 100 * time.Millisecond

// Handler is what a controller does for its peers. What it is given is not numbered
// yet.
type Handler interface {
	// HandleRelayedHeartbeat answers a heartbeat that a peer relays.
	HandleRelayedHeartbeat(beat core.HeartbeatReceived) (core.Reply, error)
	// HandlePing answers a ping with the controller's news.
	HandlePing(ping core.PingReceived) (core.Reply, error)
	// HandleRequest answers a request that a peer hands on: a core.ForwardedSweep, or one that
	// Numbered makes a message of.
	HandleRequest(request any) (core.Reply, error)
}

// service has the methods that peers call.
type service struct {
	name    string
	handler Handler
}

// Ping answers at once.
func (s *service) Ping(in wire.PingArgs, out *wire.PingReply) error {
	r, err := s.handler.HandlePing(in.Core())
	if err != nil || r.PeerStatus == nil {
		return ErrNoAnswer
	}
	*out = wire.NewPingReply(s.name, *r.PeerStatus)
	return nil
}

// Ask takes a user's request that a peer can't answer itself, or a call of the
// cloud that it can't make.
func (s *service) Ask(in wire.AskArgs, out *wire.Reply) error {
	request, ok := in.Core()
	if !ok {
		return ErrEmptyRequest
	}
	r, err := s.handler.HandleRequest(request)
	*out = wire.NewReply(r)
	return err
}

// Beat hands a heartbeat to the core.
func (s *service) Beat(in wire.BeatArgs, out *wire.Reply) error {
	r, err := s.handler.HandleRelayedHeartbeat(in.Core())
	*out = wire.NewReply(r)
	return err
}

// Serve answers peers on addr until the context ends; before that it returns only if
// it can't listen.
func Serve(ctx context.Context, addr, name string, h Handler, maxConns int) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return serve(ctx, l, name, h, maxConns)
}

// serve answers peers on a listener, which it closes when the context ends.
func serve(ctx context.Context, l net.Listener, name string, h Handler, maxConns int) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &service{name, h}); err != nil {
		return err
	}
	slots := make(chan struct{}, maxConns)
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(acceptRetry)
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
