package httpwire

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/evio"
)

// Handler handles a request. It calls reply once, from any goroutine.
type Handler func(m *Message, reply func(Response))

// Server serves HTTP on one address from evio's event loop.
type Server struct {
	Addr    string
	Handle  Handler
	MaxBody int
	// MaxConns is the maximum number of connections. Connections beyond it are closed
	// without a response. While the number of connections is close to it, each response
	// closes its connection; see nearlyFull.
	MaxConns int
	// ReadTimeout is the time after which a connection with an incomplete request is
	// closed. IdleTimeout is the time after which a connection without a request is closed.
	ReadTimeout, IdleTimeout time.Duration
	// Serving, if set, is called each time the server starts to accept connections: at the
	// start and after each restart of the event loop.
	Serving func()

	conns     atomic.Int64
	mu        sync.Mutex
	openConns map[evio.Conn]*conn
}

const (
	// nearlyFullEighths is the number of eighths of MaxConns above which the server is
	// nearly full.
	nearlyFullEighths = 7
	// nearlyFullIdleTimeout is the idle timeout while the server is nearly full. It is
	// longer than the pause between a worker's heartbeats, so that a request is rarely
	// sent on a connection that is just being closed.
	nearlyFullIdleTimeout = 15 * time.Second
	// timeoutCheckInterval is the interval of the checks whether connections have timed
	// out and whether the server has to stop.
	timeoutCheckInterval = time.Second
	// restartPause is the pause before a failed listener is reopened.
	restartPause = time.Second
	// tickerEndPause is the time that evio's ticker sleeps before it detects that its
	// event loop has ended.
	tickerEndPause = 50 * time.Millisecond
)

// nearlyFull reports whether few connections are left. There may be more clients than
// connections, each with an occasional request. While the server is nearly full, each
// response closes its connection, so that other clients can connect.
func (s *Server) nearlyFull() bool { return s.conns.Load() > int64(s.MaxConns)*nearlyFullEighths/8 }

// conn is the state of one connection. The event loop owns all fields but those that mu
// guards, which are set by replies from other goroutines.
type conn struct {
	buf          []byte
	busy         bool
	closing      bool
	requestStart time.Time

	mu               sync.Mutex
	output           []byte
	closeAfterOutput bool // close the connection after output is written
}

// Serve serves until the context ends, and returns the context's error. It returns
// earlier only if the first attempt to listen fails. evio ends its event loop on an
// accept error other than EAGAIN, such as an aborted connection or a lack of file
// descriptors. A controller must not stop because of that, so the loop is restarted.
// MaxConns prevents the descriptors from running out in the first place.
func (s *Server) Serve(ctx context.Context) error {
	for restart := 0; ; restart++ {
		err := s.serveOnce(ctx)
		switch {
		case ctx.Err() != nil:
			// evio's ticker still writes to a descriptor that is already closed. Wait
			// for it, so that the descriptor's number is not reused before that write.
			time.Sleep(2 * tickerEndPause)
			return ctx.Err()
		case err == nil:
			continue
		case restart == 0:
			return fmt.Errorf("serve %s: %w", s.Addr, err)
		}
		slog.Error("listener failed, opening it again", "addr", s.Addr, "error", err)
		select {
		case <-time.After(restartPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// serveOnce runs evio's event loop until it ends.
func (s *Server) serveOnce(ctx context.Context) error {
	s.mu.Lock()
	s.openConns = make(map[evio.Conn]*conn)
	s.mu.Unlock()
	s.conns.Store(0)
	return evio.Serve(evio.Events{
		NumLoops: 1,
		Serving: func(evio.Server) evio.Action {
			if s.Serving != nil {
				s.Serving()
			}
			return evio.None
		},
		Opened: s.onOpened,
		Closed: s.onClosed,
		Data:   s.onData,
		Tick: func() (time.Duration, evio.Action) {
			if ctx.Err() != nil {
				return tickerEndPause, evio.Shutdown
			}
			s.wakeExpired()
			return timeoutCheckInterval, evio.None
		},
	}, "tcp://"+s.Addr)
}

func (s *Server) onOpened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	if s.conns.Add(1) > int64(s.MaxConns) {
		return nil, evio.Options{}, evio.Close
	}
	state := &conn{requestStart: time.Now()}
	c.SetContext(state)
	s.mu.Lock()
	s.openConns[c] = state
	s.mu.Unlock()
	return nil, evio.Options{ReuseInputBuffer: true}, evio.None
}

func (s *Server) onClosed(c evio.Conn, _ error) evio.Action {
	s.conns.Add(-1)
	s.mu.Lock()
	delete(s.openConns, c)
	s.mu.Unlock()
	return evio.None
}

// wakeExpired wakes the connections that have timed out, so that onData closes them.
func (s *Server) wakeExpired() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.openConns {
		if s.expired(state, now) {
			c.Wake()
		}
	}
}

// expired reports whether a connection without a request in progress has timed out: it
// has been idle, or its request has been incomplete, for too long.
func (s *Server) expired(state *conn, now time.Time) bool {
	if state.busy {
		return false
	}
	limit := s.IdleTimeout
	switch {
	case len(state.buf) > 0:
		limit = s.ReadTimeout
	case s.nearlyFull():
		limit = min(limit, nearlyFullIdleTimeout)
	}
	return now.Sub(state.requestStart) > limit
}

// onData handles input from a connection. After Wake it is called with nil.
func (s *Server) onData(c evio.Conn, in []byte) ([]byte, evio.Action) {
	state, ok := c.Context().(*conn)
	switch {
	case !ok || state.closing:
		return nil, evio.Close
	case in == nil:
		return s.onWake(state)
	case state.busy:
		// Clients of this interface do not pipeline requests, and evio would overwrite a
		// partly written response with the next one.
		state.closing = true
		return nil, evio.Close
	}
	if len(state.buf) == 0 {
		state.requestStart = time.Now()
	}
	state.buf = append(state.buf, in...)
	m, length, err := ParseRequest(state.buf, s.MaxBody)
	if err != nil {
		state.closing = true
		return AppendResponse(nil, errorResponse(err)), evio.Close
	}
	if length == 0 {
		return nil, evio.None
	}
	closeAfter := m.Close || len(state.buf) > length
	state.buf = nil
	state.busy = true
	s.Handle(m, s.replier(c, state, closeAfter))
	return nil, evio.None
}

// onWake writes the response of a handler if there is one. Otherwise it closes the
// connection if it has timed out.
func (s *Server) onWake(state *conn) ([]byte, evio.Action) {
	state.mu.Lock()
	out := state.output
	state.output = nil
	state.closing = state.closing || state.closeAfterOutput
	state.mu.Unlock()
	if out == nil {
		if s.expired(state, time.Now()) {
			return nil, evio.Close
		}
		return nil, evio.None
	}
	state.busy = false
	state.requestStart = time.Now()
	if state.closing {
		return out, evio.Close
	}
	return out, evio.None
}

// replier returns the function with which a handler answers a request. Only the first
// call of that function has an effect.
func (s *Server) replier(c evio.Conn, state *conn, closeAfter bool) func(Response) {
	var once sync.Once
	return func(r Response) {
		once.Do(func() {
			r.Close = r.Close || closeAfter || s.nearlyFull()
			output := AppendResponse(nil, r)
			state.mu.Lock()
			state.output, state.closeAfterOutput = output, r.Close
			state.mu.Unlock()
			c.Wake()
		})
	}
}

// errorResponse returns the response to a request that can't be parsed.
func errorResponse(err error) Response {
	if errors.Is(err, ErrTooLarge) {
		return Response{
			Status: http.StatusRequestEntityTooLarge,
			Body:   []byte(`{"error":"body too large"}`),
			Close:  true,
		}
	}
	return Response{
		Status: http.StatusBadRequest,
		Body:   []byte(`{"error":"malformed http request"}`),
		Close:  true,
	}
}
