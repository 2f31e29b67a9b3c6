package httpwire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serve starts a server on a port of its own.
func serve(t *testing.T, s *Server) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	serving := make(chan struct{})
	s.Serving = func() { close(serving) }
	s.Addr, s.MaxBody, s.ReadTimeout, s.IdleTimeout = addr, 1000, time.Minute, time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; !errors.Is(err, context.Canceled) {
			t.Errorf("served: %v", err)
		}
	})
	<-serving
	return addr
}

// reporter is a worker that keeps its connection while the server does. Unlike
// Client it connects without a deadline, so that a busy machine fails no test.
type reporter struct{ conn net.Conn }

// report sends one heartbeat, and says whether the answer ended the connection.
func (r *reporter) report(t *testing.T, addr string) (ended bool, err error) {
	t.Helper()
	if r.conn == nil {
		if r.conn, err = net.Dial("tcp", addr); err != nil {
			return false, err
		}
		conn := r.conn
		t.Cleanup(func() { _ = conn.Close() })
	}
	m, err := roundTrip(r.conn, addr, "POST", "/", []byte("report"), time.Now().Add(time.Minute), 1000)
	if err != nil {
		return false, err
	}
	if m.Status != 200 || string(m.Body) != "report" {
		return false, fmt.Errorf("answered %d %q", m.Status, m.Body)
	}
	if m.Close {
		_ = r.conn.Close()
		r.conn = nil
	}
	return m.Close, nil
}

// TestScarce: more workers than connections send heartbeats in turn. Each is answered at its
// first try, and as long as connections are not scarce they are kept.
func TestScarce(t *testing.T) {
	const rounds, atOnce = 2, 32
	cases := []struct {
		name           string
		conns, workers int
		closes         bool
	}{
		{"1,500 sockets and 4,000 workers", 1500 * 3 / 4, 4000, true},
		{"4,000 sockets and 4,000 workers", 4000 * 3 / 4, 4000, true},
		{"4,000 sockets and 2,500 workers", 4000 * 3 / 4, 2500, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &Server{MaxConns: tc.conns, Handle: func(m *Message, reply func(Response)) { reply(Response{Status: 200, Body: m.Body}) }}
			addr := serve(t, s)
			var closed atomic.Int64
			var wg sync.WaitGroup
			for k := range atOnce {
				wg.Go(func() {
					workers := make([]reporter, tc.workers/atOnce)
					for i := range rounds * len(workers) {
						ended, err := workers[i%len(workers)].report(t, addr)
						if err != nil {
							t.Errorf("report %d of group %d: %v", i, k, err)
							return
						}
						if ended {
							closed.Add(1)
						}
					}
				})
			}
			wg.Wait()
			if (closed.Load() > 0) != tc.closes || s.conns.Load() > int64(tc.conns) {
				t.Errorf("%d of %d connections are open, %d were closed", s.conns.Load(), tc.conns, closed.Load())
			}
		})
	}
}

// TestExpired: a connection that asks nothing is closed sooner while they are scarce.
func TestExpired(t *testing.T) {
	s := &Server{MaxConns: 80, ReadTimeout: 10 * time.Second, IdleTimeout: 90 * time.Second}
	now := time.Now()
	cases := []struct {
		conns int64
		st    conn
		idle  time.Duration
		want  bool
	}{
		{70, conn{}, 89 * time.Second, false},
		{70, conn{}, 91 * time.Second, true},
		{71, conn{}, 14 * time.Second, false},
		{71, conn{}, 16 * time.Second, true},
		{71, conn{busy: true}, 16 * time.Second, false},
		{71, conn{buf: []byte("G")}, 11 * time.Second, true},
	}
	for i := range cases {
		tc := &cases[i]
		s.conns.Store(tc.conns)
		tc.st.requestStart = now.Add(-tc.idle)
		if got := s.expired(&tc.st, now); got != tc.want {
			t.Errorf("%d connections, idle for %v: %v", tc.conns, tc.idle, got)
		}
	}
}

// TestServerAndClient speaks over a real loopback connection: answers from
// another goroutine, a large answer, a request in pieces, and pipelining.
func TestServerAndClient(t *testing.T) {
	big := strings.Repeat("b", 3<<20)
	addr := serve(t, &Server{
		MaxConns: 100,
		Handle: func(m *Message, reply func(Response)) {
			go func() {
				if m.Target == "/big" {
					reply(Response{Status: 200, Body: []byte(big)})
					return
				}
				reply(Response{Status: 200, Body: m.Body})
				reply(Response{Status: 500}) // a second answer is dropped
			}()
		},
	})
	c := NewClient(addr, 2, 4<<20)
	defer c.Close()
	m, err := c.Do("POST", "/", []byte("hello"), 10*time.Second)
	if err != nil || string(m.Body) != "hello" {
		t.Fatalf("got %v, %v", m, err)
	}
	if m, err = c.Do("GET", "/big", nil, 20*time.Second); err != nil || string(m.Body) != big {
		t.Fatalf("large answer: %v", err)
	}
	if m, err = c.Do("POST", "/", []byte(strings.Repeat("x", 2000)), 10*time.Second); err != nil || m.Status != 413 || !m.Close {
		t.Fatalf("too large: %+v, %v", m, err)
	}
	raw := func(parts ...string) string {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		for _, p := range parts {
			if _, err := conn.Write([]byte(p)); err != nil {
				t.Fatal(err)
			}
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		b, _ := io.ReadAll(conn)
		return string(b)
	}
	if got := raw("POST / HTTP/1.1\r\nConnection: close\r\nCont", "ent-Length: 4\r\n\r\nab", "cd"); !strings.HasSuffix(got, "\r\n\r\nabcd") {
		t.Errorf("in pieces: %q", got)
	}
	// A second request behind the first is not answered: the connection
	// ends after the first answer.
	two := "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n"
	if got := raw(two); strings.Count(got, "HTTP/1.1 200") != 1 {
		t.Errorf("pipelined: %q", got)
	}
	if got := raw("nonsense\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 400") {
		t.Errorf("nonsense: %q", got)
	}
}
