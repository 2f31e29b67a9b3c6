package httpwire

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// ErrPoolExhausted says that every connection of the pool is in use.
var ErrPoolExhausted = errors.New("no free connection")

// Client talks to one address over a bounded pool of connections.
type Client struct {
	addr    string
	maxBody int
	idle    chan net.Conn
	slots   chan struct{}
}

// NewClient makes a client with at most conns connections.
func NewClient(addr string, conns, maxBody int) *Client {
	return &Client{addr: addr, maxBody: maxBody, idle: make(chan net.Conn, conns), slots: make(chan struct{}, conns)}
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
	var conn net.Conn
	reused := false
	select {
	case conn = <-c.idle:
		reused = true
	default:
	}
	for {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.addr, min(time.Until(deadline), 2*time.Second)); err != nil {
				return nil, fmt.Errorf("connect %s: %w", c.addr, err)
			}
		}
		m, err := roundTrip(conn, c.addr, method, target, body, deadline, c.maxBody)
		if err == nil {
			if m.Close {
				conn.Close()
			} else {
				select {
				case c.idle <- conn:
				default:
					conn.Close()
				}
			}
			return m, nil
		}
		conn.Close()
		// A kept connection may have been closed by the other side while
		// idle; only a request that is safe to repeat tries once more.
		if reused && method == "GET" && !isTimeout(err) {
			conn, reused = nil, false
			continue
		}
		return nil, fmt.Errorf("%s %s: %w", method, c.addr, err)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func roundTrip(conn net.Conn, host, method, target string, body []byte, deadline time.Time, maxBody int) (*Message, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(AppendRequest(nil, method, host, target, body)); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, 4096)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			m, took, perr := ParseResponse(buf, maxBody)
			if perr != nil {
				return nil, perr
			}
			if took > 0 {
				return m, nil
			}
		}
		if err != nil {
			return nil, err
		}
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	for {
		select {
		case conn := <-c.idle:
			conn.Close()
		default:
			return
		}
	}
}
