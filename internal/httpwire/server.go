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

// Handler takes a request and calls reply once, from any goroutine.
type Handler func(m *Message, reply func(Response))

// Server answers HTTP on one address from evio's loop.
type Server struct {
	Addr    string
	Handle  Handler
	MaxBody int
	// MaxConns bounds the connections; more are closed unanswered. Shortly below
	// the bound answers end their connections, see scarce.
	MaxConns int
	// ReadTimeout ends connections whose request stays incomplete, and
	// IdleTimeout those that ask nothing.
	ReadTimeout, IdleTimeout time.Duration
	// Serving, if set, is called when connections are taken.
	Serving func()

	conns atomic.Int64
	mu    sync.Mutex
	open  map[evio.Conn]*conn
}

const (
	// scarceEighths is from how many eighths of MaxConns on connections are scarce.
	scarceEighths = 7
	// scarceIdleTimeout is IdleTimeout while they are: longer than the pause
	// between a worker's heartbeats, so that a request rarely meets the close.
	scarceIdleTimeout = 15 * time.Second
	// timeoutCheckInterval is how often connections are checked for timeouts, and
	// whether the server is to stop.
	timeoutCheckInterval = time.Second
	// restartPause is how long to wait before a listener that failed is opened again.
	restartPause = time.Second
	// tickerEndPause is how long evio's ticker sleeps before it finds out that its
	// loop has ended.
	tickerEndPause = 50 * time.Millisecond
)

// scarce says that few connections are left. There may be more clients than
// connections, each with a request now and then: then an answer ends its
// connection, and the room goes to whoever connects next.
func (s *Server) scarce() bool { return s.conns.Load() > int64(s.MaxConns)*scarceEighths/8 }

// conn is the state of one connection. The loop owns all but what mu guards:
// replies come from other goroutines.
type conn struct {
	buf          []byte
	busy         bool
	closing      bool
	requestStart time.Time

	mu               sync.Mutex
	output           []byte
	closeAfterOutput bool // the connection ends after output
}

// Serve answers until the context ends, and returns its error. Before that it
// returns only if listening fails. evio ends its loop on an accept error other than
// EAGAIN (an aborted connection, no free descriptor); a controller must not end for
// that, so the loop is started again. MaxConns keeps descriptors from running out in
// the first place.
func (s *Server) Serve(ctx context.Context) error {
	for restart := 0; ; restart++ {
		err := s.serveOnce(ctx)
		switch {
		case ctx.Err() != nil:
			// The ticker writes to a descriptor that is closed by now: its number
			// must not be used again before that.
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

// serveOnce runs evio's loop until that ends.
func (s *Server) serveOnce(ctx context.Context) error {
	s.mu.Lock()
	s.open = make(map[evio.Conn]*conn)
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
	s.open[c] = state
	s.mu.Unlock()
	return nil, evio.Options{ReuseInputBuffer: true}, evio.None
}

func (s *Server) onClosed(c evio.Conn, _ error) evio.Action {
	s.conns.Add(-1)
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	return evio.None
}

// wakeExpired wakes connections that are past their time, so that onData closes them.
func (s *Server) wakeExpired() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.open {
		if s.expired(state, now) {
			c.Wake()
		}
	}
}

// expired says that a connection has sent nothing, or no whole request, for too long.
func (s *Server) expired(state *conn, now time.Time) bool {
	if state.busy {
		return false
	}
	limit := s.IdleTimeout
	switch {
	case len(state.buf) > 0:
		limit = s.ReadTimeout
	case s.scarce():
		limit = min(limit, scarceIdleTimeout)
	}
	return now.Sub(state.requestStart) > limit
}

// onData is called with input, or with nil after Wake.
func (s *Server) onData(c evio.Conn, in []byte) ([]byte, evio.Action) {
	state, ok := c.Context().(*conn)
	switch {
	case !ok || state.closing:
		return nil, evio.Close
	case in == nil:
		return s.onWake(state)
	case state.busy:
		// Pipelining does not occur on this interface, and evio would
		// overwrite a half-written answer with the next one.
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
		return AppendResponse(nil, faultResponse(err)), evio.Close
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

// onWake writes the answer that a handler has given, or closes a connection that is
// past its time.
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

// replier is the function by which a handler answers a request. Only its first call
// counts.
func (s *Server) replier(c evio.Conn, state *conn, closeAfter bool) func(Response) {
	var once sync.Once
	return func(r Response) {
		once.Do(func() {
			r.Close = r.Close || closeAfter || s.scarce()
			output := AppendResponse(nil, r)
			state.mu.Lock()
			state.output, state.closeAfterOutput = output, r.Close
			state.mu.Unlock()
			c.Wake()
		})
	}
}

// faultResponse is the answer to a request that can't be read.
func faultResponse(err error) Response {
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
