package httpwire

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrPoolExhausted is returned if all connections of the pool are in use.
var ErrPoolExhausted = errors.New("no free connection")

const (
	// maxDialTime is the timeout for establishing a connection.
	maxDialTime = 2 * time.Second
	// responseBuffer is the initial size of the buffer for a response, in bytes.
	responseBuffer = 4096
)

// Client sends requests to one address over a bounded pool of connections.
type Client struct {
	addr    string
	maxBody int
	// idle holds the idle connections. slots has one element for each request in
	// progress.
	idle  chan net.Conn
	slots chan struct{}

	// mu guards closed and inUse, the connections with a request in progress.
	mu     sync.Mutex
	inUse  map[net.Conn]struct{}
	closed bool
}

// NewClient returns a client for addr with at most conns connections, which accepts
// response bodies of up to maxBody bytes.
func NewClient(addr string, conns, maxBody int) *Client {
	return &Client{
		addr:    addr,
		maxBody: maxBody,
		idle:    make(chan net.Conn, conns),
		slots:   make(chan struct{}, conns),
		inUse:   make(map[net.Conn]struct{}),
	}
}

// Do sends one request and waits for the response, at most for timeout. If it fails
// after the request was sent, it is unknown whether the request was executed.
func (c *Client) Do(method, target string, body []byte, timeout time.Duration) (*Message, error) {
	select {
	case c.slots <- struct{}{}:
	default:
		return nil, ErrPoolExhausted
	}
	defer func() { <-c.slots }()
	deadline := time.Now().Add(timeout)
	conn, reused, err := c.acquire(deadline)
	if err != nil {
		return nil, err
	}
	m, err := c.exchange(conn, method, target, body, deadline)
	// The server may have closed the connection while it was idle. The request is
	// retried once over a new connection if it is safe to repeat.
	if err != nil && reused && method == http.MethodGet && !isTimeout(err) {
		if conn, err = c.dial(deadline); err != nil {
			return nil, err
		}
		m, err = c.exchange(conn, method, target, body, deadline)
	}
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, c.addr, err)
	}
	return m, nil
}

// acquire returns an idle connection, or a new one if there is none.
func (c *Client) acquire(deadline time.Time) (conn net.Conn, reused bool, err error) {
	select {
	case conn = <-c.idle:
		return conn, true, nil
	default:
		conn, err = c.dial(deadline)
		return conn, false, err
	}
}

func (c *Client) dial(deadline time.Time) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", c.addr, min(time.Until(deadline), maxDialTime))
	if err != nil {
		return nil, fmt.Errorf("connect %s: %w", c.addr, err)
	}
	return conn, nil
}

// exchange sends one request over a connection and reads the response. Afterwards it
// returns the connection to the pool or closes it.
func (c *Client) exchange(conn net.Conn, method, target string, body []byte, deadline time.Time) (*Message, error) {
	if !c.markInUse(conn) {
		closeConn(conn)
		return nil, net.ErrClosed
	}
	m, err := roundTrip(conn, c.addr, method, target, body, deadline, c.maxBody)
	c.release(conn, err == nil && !m.Close)
	return m, err
}

// markInUse records that a connection is in use. It returns false if the client is
// closed.
func (c *Client) markInUse(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.inUse[conn] = struct{}{}
	return true
}

// release returns a connection that is still usable to the pool, and closes any other.
func (c *Client) release(conn net.Conn, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inUse, conn)
	if usable && !c.closed {
		select {
		case c.idle <- conn:
			return
		default:
		}
	}
	closeConn(conn)
}

// Close closes all connections. Requests in progress and later ones fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.inUse {
		closeConn(conn)
	}
	for {
		select {
		case conn := <-c.idle:
			closeConn(conn)
		default:
			return
		}
	}
}

// closeConn closes a connection that is no longer used. An error is only logged, because
// the caller can't act on it; it is expected if Close has already closed the connection.
func closeConn(conn net.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Debug("closing a connection failed", "addr", conn.RemoteAddr(), "error", err)
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// roundTrip writes a request and reads the response.
func roundTrip(conn net.Conn, host, method, target string, body []byte, deadline time.Time, maxBody int) (*Message, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(AppendRequest(nil, method, host, target, body)); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, responseBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, readErr := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			m, length, err := ParseResponse(buf, maxBody)
			if err != nil {
				return nil, err
			}
			if length > 0 {
				return m, nil
			}
		}
		if readErr != nil {
			return nil, readErr
		}
	}
}
