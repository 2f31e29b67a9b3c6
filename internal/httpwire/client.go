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

// ErrPoolExhausted says that every connection of the pool is in use.
var ErrPoolExhausted = errors.New("no free connection")

const (
	// maxDialTime is how long a connection may take to come about.
	maxDialTime = 2 * time.Second
	// responseBuffer is the first size of the buffer that an answer is read into.
	responseBuffer = 4096
)

// Client talks to one address over a bounded pool of connections.
type Client struct {
	addr    string
	maxBody int
	// idle has the connections that wait for a request, slots one element for each
	// request under way.
	idle  chan net.Conn
	slots chan struct{}

	// mu guards inUse, the connections with a request under way, and closed.
	mu     sync.Mutex
	inUse  map[net.Conn]struct{}
	closed bool
}

// NewClient makes a client with at most conns connections.
func NewClient(addr string, conns, maxBody int) *Client {
	return &Client{
		addr:    addr,
		maxBody: maxBody,
		idle:    make(chan net.Conn, conns),
		slots:   make(chan struct{}, conns),
		inUse:   make(map[net.Conn]struct{}),
	}
}

// Do sends one request and waits for its answer, for timeout at most. An error
// after the request was sent leaves open whether it was executed.
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
	// The other side may have closed a connection while it was idle. Only a request
	// that is safe to repeat is tried once more, over a new connection.
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

// acquire takes an idle connection, or makes one if there is none.
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

// exchange makes one request over a connection, which it keeps for the next one or
// closes.
func (c *Client) exchange(conn net.Conn, method, target string, body []byte, deadline time.Time) (*Message, error) {
	if !c.begin(conn) {
		closeConn(conn)
		return nil, net.ErrClosed
	}
	m, err := roundTrip(conn, c.addr, method, target, body, deadline, c.maxBody)
	c.end(conn, err == nil && !m.Close)
	return m, err
}

// begin notes that a connection is in use. It is false for a client that is closed.
func (c *Client) begin(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.inUse[conn] = struct{}{}
	return true
}

// end keeps a connection that can be used again, and closes any other.
func (c *Client) end(conn net.Conn, usable bool) {
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

// Close closes all connections. Requests under way and later ones fail.
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

// closeConn closes a connection that is given up. An error changes nothing for its
// owner, and a connection that Close has closed meanwhile gives one.
func closeConn(conn net.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Debug("closing a connection failed", "addr", conn.RemoteAddr(), "error", err)
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// roundTrip writes a request and reads the answer.
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
