// Package peer implements calls between controllers over net/rpc.
//
// Callers and handlers use the core's types. The messages on the wire have the types of
// package wire, so that renaming a field of the core does not make controllers of other
// versions lose it.
package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/peer/internal/wire"
)

// serviceName is the net/rpc name of the service that has a controller's methods.
const serviceName = "Peer"

// acceptRetry is the pause after a failed attempt to accept a connection.
const acceptRetry = 100 * time.Millisecond

// Handler handles the calls of a controller's peers. The messages passed to it have no
// request ID of this controller yet.
type Handler interface {
	// HandleRelayedHeartbeat answers a worker's heartbeat that a peer relays.
	HandleRelayedHeartbeat(heartbeat core.HeartbeatReceived) (core.Reply, error)
	// HandlePing answers a ping with the controller's status.
	HandlePing(ping core.PingReceived) (core.Reply, error)
	// HandleRequest answers a request that a peer forwards: a core.ForwardedSweep or one
	// of the types that WithRequestID supports.
	HandleRequest(request any) (core.Reply, error)
}

// service has the methods that peers call with net/rpc.
type service struct {
	name    string
	handler Handler
}

// Ping answers a ping with the controller's name and status.
func (s *service) Ping(args wire.PingArgs, reply *wire.PingReply) error {
	answer, err := s.handler.HandlePing(args.Core())
	if err != nil || answer.PeerStatus == nil {
		return ErrNoAnswer
	}
	*reply = wire.NewPingReply(s.name, *answer.PeerStatus)
	return nil
}

// Ask answers a user's request that a peer can't answer itself, or makes a cloud call
// that a peer can't make.
func (s *service) Ask(args wire.AskArgs, reply *wire.Reply) error {
	request, ok := args.Core()
	if !ok {
		return ErrEmptyRequest
	}
	answer, err := s.handler.HandleRequest(request)
	*reply = wire.NewReply(answer)
	return err
}

// Beat answers a worker's heartbeat that a peer relays.
func (s *service) Beat(args wire.BeatArgs, reply *wire.Reply) error {
	answer, err := s.handler.HandleRelayedHeartbeat(args.Core())
	*reply = wire.NewReply(answer)
	return err
}

// Serve serves peers on addr until the context ends, and returns the context's error. It
// returns earlier only if it can't listen.
func Serve(ctx context.Context, addr, name string, handler Handler, maxConns int) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return serve(ctx, listener, name, handler, maxConns)
}

// serve serves peers on a listener. When the context ends, it closes the listener and
// all connections, and waits for the calls in progress.
func serve(ctx context.Context, listener net.Listener, name string, handler Handler, maxConns int) error {
	stop := context.AfterFunc(ctx, func() { closeLogged(listener) })
	defer stop()
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{name, handler}); err != nil {
		return err
	}
	slots := make(chan struct{}, maxConns)
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(acceptRetry):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
			conns.Go(func() {
				defer func() { <-slots }()
				stop := context.AfterFunc(ctx, func() { closeLogged(conn) })
				defer stop()
				server.ServeConn(conn)
			})
		default:
			closeLogged(conn)
		}
	}
}

// closeLogged closes a listener or connection that is no longer used. An error is only
// logged, because the caller can't act on it. The error that the listener or connection is
// already closed, by the peer or by another call, is ignored.
func closeLogged(closer io.Closer) {
	err := closer.Close()
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, rpc.ErrShutdown) {
		slog.Debug("closing a connection failed", "error", err)
	}
}
