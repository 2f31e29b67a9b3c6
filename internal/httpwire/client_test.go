package httpwire

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestClientClose checks that Close ends a request in progress, that later requests fail,
// and that a request beyond the maximum number of connections is refused.
func TestClientClose(t *testing.T) {
	received := make(chan struct{})
	addr := serve(t, &Server{
		MaxConns: 10,
		Handle:   func(*Message, func(Response)) { close(received) }, // never answers
	})
	client := NewClient(addr, 1, 1000)
	result := make(chan error, 1)
	go func() {
		_, err := client.Do(http.MethodGet, "/", nil, time.Minute)
		result <- err
	}()
	<-received
	if _, err := client.Do(http.MethodGet, "/", nil, time.Minute); !errors.Is(err, ErrPoolExhausted) {
		t.Errorf("request beyond the maximum: got error %v, want %v", err, ErrPoolExhausted)
	}
	client.Close()
	if err := <-result; !errors.Is(err, net.ErrClosed) {
		t.Errorf("request in progress during Close: got error %v, want %v", err, net.ErrClosed)
	}
	if _, err := client.Do(http.MethodGet, "/", nil, time.Minute); !errors.Is(err, net.ErrClosed) {
		t.Errorf("request after Close: got error %v, want %v", err, net.ErrClosed)
	}
}
