package golden

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/httpwire"
)

const (
	// requestTimeout is the maximum time that a FakeServer waits for the next bytes of
	// a request.
	requestTimeout = 5 * time.Second
	// maxBody is the maximum size of a request's body in bytes.
	maxBody = 1 << 20
)

// FakeServer is a fake HTTP service on the loopback interface. It records the exact bytes of
// each request and returns the prepared answers in order.
type FakeServer struct {
	// Addr is the address on which the server listens.
	Addr string

	mu       sync.Mutex
	answers  []httpwire.Response
	requests strings.Builder
}

// NewFakeServer starts a server that is stopped when the test ends.
func NewFakeServer(tb testing.TB) *FakeServer {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &FakeServer{Addr: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			goroutines.Go(func() { s.serve(ctx, conn) })
		}
	})
	tb.Cleanup(func() {
		cancel()
		if err := listener.Close(); err != nil {
			tb.Error(err)
		}
		goroutines.Wait()
	})
	return s
}

// SetAnswers sets the next answers. It replaces any prepared answers that are left.
func (s *FakeServer) SetAnswers(answers ...httpwire.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = answers
}

// AddNote adds a line to the recorded requests, so that the record shows what caused them.
func (s *FakeServer) AddNote(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.requests, format+"\n", args...)
}

// Requests returns the recorded requests, one per line, with the server's address replaced
// by HOST.
func (s *FakeServer) Requests() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.ReplaceAll(s.requests.String(), s.Addr, "HOST")
}

// serve answers the requests on a connection until it is closed or the context ends.
func (s *FakeServer) serve(ctx context.Context, conn net.Conn) {
	// The other side may have closed the connection already, which is not an error.
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var buffered []byte
	chunk := make([]byte, httpwire.MaxHeadBytes)
	for {
		message, length, err := httpwire.ParseRequest(buffered, maxBody)
		if err != nil {
			return
		}
		if message != nil {
			if _, err := conn.Write(httpwire.AppendResponse(nil, s.next(buffered[:length]))); err != nil {
				return
			}
			buffered = buffered[length:]
			continue
		}
		if err := conn.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
			return
		}
		n, err := conn.Read(chunk)
		if err != nil {
			return
		}
		buffered = append(buffered, chunk[:n]...)
	}
}

// next records a request and returns the next prepared answer, or status 500 if none is left.
func (s *FakeServer) next(request []byte) httpwire.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.requests, "%q\n", request)
	if len(s.answers) == 0 {
		return httpwire.Response{Status: http.StatusInternalServerError}
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer
}
