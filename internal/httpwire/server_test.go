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

// serve starts a server on a free port and stops it at the end of the test.
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
			t.Errorf("Serve: got error %v, want %v", err, context.Canceled)
		}
	})
	<-serving
	return addr
}

// worker sends heartbeats and keeps its connection until the server closes it. Unlike
// Client it connects without a deadline, so that tests do not fail on a busy machine.
type worker struct{ conn net.Conn }

// sendHeartbeat sends one heartbeat. It reports whether the response closed the
// connection.
func (w *worker) sendHeartbeat(t *testing.T, addr string) (closed bool, err error) {
	t.Helper()
	if w.conn == nil {
		if w.conn, err = net.Dial("tcp", addr); err != nil {
			return false, err
		}
		conn := w.conn
		t.Cleanup(func() { _ = conn.Close() })
	}
	m, err := roundTrip(w.conn, addr, "POST", "/", []byte("report"), time.Now().Add(time.Minute), 1000)
	if err != nil {
		return false, err
	}
	if m.Status != 200 || string(m.Body) != "report" {
		return false, fmt.Errorf("got status %d and body %q, want status 200 and body \"report\"", m.Status, m.Body)
	}
	if m.Close {
		_ = w.conn.Close()
		w.conn = nil
	}
	return m.Close, nil
}

// TestNearlyFull lets workers send heartbeats in turn, in some cases more workers than the
// server has connections. It checks that each heartbeat is answered at the first attempt,
// and that the server closes connections only while it is nearly full.
func TestNearlyFull(t *testing.T) {
	const rounds, concurrency = 2, 32
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
			for k := range concurrency {
				wg.Go(func() {
					workers := make([]worker, tc.workers/concurrency)
					for i := range rounds * len(workers) {
						connClosed, err := workers[i%len(workers)].sendHeartbeat(t, addr)
						if err != nil {
							t.Errorf("heartbeat %d of group %d failed: %v", i, k, err)
							return
						}
						if connClosed {
							closed.Add(1)
						}
					}
				})
			}
			wg.Wait()
			if (closed.Load() > 0) != tc.closes || s.conns.Load() > int64(tc.conns) {
				t.Errorf("got %d open connections and %d closed ones, want at most %d open and any closed: %v", s.conns.Load(), closed.Load(), tc.conns, tc.closes)
			}
		})
	}
}

// TestExpired checks the timeouts of connections: an idle one times out earlier while the
// server is nearly full, and one with a request in progress never does.
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
			t.Errorf("%d connections, idle for %v: got expired %v, want %v", tc.conns, tc.idle, got, tc.want)
		}
	}
}

// TestServerAndClient checks a server over real loopback connections: responses from
// another goroutine, a large response, a request body that is too large, a request sent
// in pieces, pipelining and a malformed request.
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
				reply(Response{Status: 500}) // a second reply is ignored
			}()
		},
	})
	c := NewClient(addr, 2, 4<<20)
	defer c.Close()
	m, err := c.Do("POST", "/", []byte("hello"), 10*time.Second)
	if err != nil || string(m.Body) != "hello" {
		t.Fatalf("echo: got response %v, error %v, want body \"hello\"", m, err)
	}
	if m, err = c.Do("GET", "/big", nil, 20*time.Second); err != nil || string(m.Body) != big {
		t.Fatalf("large response: got error %v or a wrong body, want %d bytes", err, len(big))
	}
	if m, err = c.Do("POST", "/", []byte(strings.Repeat("x", 2000)), 10*time.Second); err != nil || m.Status != 413 || !m.Close {
		t.Fatalf("request body too large: got response %+v, error %v, want status 413 and a closed connection", m, err)
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
		t.Errorf("request in pieces: got %q, want body \"abcd\"", got)
	}
	// A pipelined second request is not answered: the server closes the connection
	// after the first response.
	two := "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n"
	if got := raw(two); strings.Count(got, "HTTP/1.1 200") != 1 {
		t.Errorf("pipelined requests: got %q, want one response with status 200", got)
	}
	if got := raw("nonsense\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 400") {
		t.Errorf("malformed request: got %q, want status 400", got)
	}
}
