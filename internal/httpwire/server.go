package httpwire

import (
	"fmt"
	"log/slog"
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
	// between a worker's reports, so that a request rarely meets the close.
	scarceIdleTimeout = 15 * time.Second
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
	closeAfterOutput bool // the connection ends after out
}

// Serve runs the server and returns only if listening fails. evio ends its
// loop on an accept error other than EAGAIN (an aborted connection, no free
// descriptor); a controller must not end for that, so the loop is started
// again. MaxConns keeps descriptors from running out in the first place.
func (s *Server) Serve() error {
	for restart := 0; ; restart++ {
		s.mu.Lock()
		s.open = make(map[evio.Conn]*conn)
		s.mu.Unlock()
		s.conns.Store(0)
		err := evio.Serve(evio.Events{
			NumLoops: 1,
			Serving: func(evio.Server) evio.Action {
				if s.Serving != nil {
					s.Serving()
				}
				return evio.None
			},
			Opened: s.onOpened, Closed: s.onClosed, Data: s.onData, Tick: s.onTick,
		}, "tcp://"+s.Addr)
		if err == nil {
			continue
		}
		if restart == 0 {
			return fmt.Errorf("serve %s: %w", s.Addr, err)
		}
		slog.Error("front listener failed, trying again", "err", err)
		time.Sleep(time.Second)
	}
}

func (s *Server) onOpened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	if s.conns.Add(1) > int64(s.MaxConns) {
		return nil, evio.Options{}, evio.Close
	}
	st := &conn{requestStart: time.Now()}
	c.SetContext(st)
	s.mu.Lock()
	s.open[c] = st
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

// onTick wakes connections that are past their time, so that data closes them.
func (s *Server) onTick() (time.Duration, evio.Action) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, st := range s.open {
		if s.expired(st, now) {
			c.Wake()
		}
	}
	return time.Second, evio.None
}

func (s *Server) expired(st *conn, now time.Time) bool {
	if st.busy {
		return false
	}
	limit := s.IdleTimeout
	switch {
	case len(st.buf) > 0:
		limit = s.ReadTimeout
	case s.scarce():
		limit = min(limit, scarceIdleTimeout)
	}
	return now.Sub(st.requestStart) > limit
}

// onData is called with input, or with nil after Wake.
func (s *Server) onData(c evio.Conn, in []byte) ([]byte, evio.Action) {
	st, ok := c.Context().(*conn)
	if !ok || st.closing {
		return nil, evio.Close
	}
	if in == nil {
		st.mu.Lock()
		out := st.output
		st.output = nil
		st.closing = st.closing || st.closeAfterOutput
		st.mu.Unlock()
		if out == nil {
			if s.expired(st, time.Now()) {
				return nil, evio.Close
			}
			return nil, evio.None
		}
		st.busy = false
		st.requestStart = time.Now()
		if st.closing {
			return out, evio.Close
		}
		return out, evio.None
	}
	if st.busy {
		// Pipelining does not occur on this interface, and evio would
		// overwrite a half-written answer with the next one.
		st.closing = true
		return nil, evio.Close
	}
	if len(st.buf) == 0 {
		st.requestStart = time.Now()
	}
	st.buf = append(st.buf, in...)
	m, n, err := ParseRequest(st.buf, s.MaxBody)
	if err != nil {
		st.closing = true
		r := Response{Status: 400, Close: true, Body: []byte(`{"error":"malformed http request"}`)}
		if err == ErrTooLarge {
			r.Status, r.Body = 413, []byte(`{"error":"body too large"}`)
		}
		return AppendResponse(nil, r), evio.Close
	}
	if n == 0 {
		return nil, evio.None
	}
	closeAfter := m.Close || len(st.buf) > n
	st.buf = nil
	st.busy = true
	var once sync.Once
	s.Handle(m, func(r Response) {
		once.Do(func() {
			r.Close = r.Close || closeAfter || s.scarce()
			b := AppendResponse(nil, r)
			st.mu.Lock()
			st.output, st.closeAfterOutput = b, r.Close
			st.mu.Unlock()
			c.Wake()
		})
	})
	return nil, evio.None
}
