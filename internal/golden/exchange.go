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
	// requestTimeout is how long a Service waits for the rest of a request.
	requestTimeout = 5 * time.Second
	// maxBody bounds a request's body, in bytes.
	maxBody = 1 << 20
)

// Service stands in for a service on loopback: it writes down each request byte
// by byte and gives the answers that were prepared, in turn.
type Service struct {
	// Addr is where it listens.
	Addr string

	mu       sync.Mutex
	answers  []httpwire.Response
	requests strings.Builder
}

// NewService starts a service that ends with the test.
func NewService(tb testing.TB) *Service {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &Service{Addr: listener.Addr().String()}
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

// Answer prepares the next answers, in place of those that are left.
func (s *Service) Answer(answers ...httpwire.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = answers
}

// Note writes a line among the requests, so that a record says what made them.
func (s *Service) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.requests, format+"\n", args...)
}

// Requests are the requests so far, a line each, with HOST in place of the address.
func (s *Service) Requests() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.ReplaceAll(s.requests.String(), s.Addr, "HOST")
}

// serve answers the requests of a connection until that is closed or the context ends.
func (s *Service) serve(ctx context.Context, conn net.Conn) {
	// The other side may have closed it before, which is no fault of a test.
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

// next writes a request down and takes the next answer, 500 where none is left.
func (s *Service) next(request []byte) httpwire.Response {
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
