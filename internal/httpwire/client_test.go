package httpwire

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestClientClose: Close ends a request under way, and later ones fail.
func TestClientClose(t *testing.T) {
	received := make(chan struct{})
	addr := serve(t, &Server{
		MaxConns: 10,
		Handle:   func(*Message, func(Response)) { close(received) }, // never answers
	})
	client := NewClient(addr, 1, 1000)
	ended := make(chan error, 1)
	go func() {
		_, err := client.Do(http.MethodGet, "/", nil, time.Minute)
		ended <- err
	}()
	<-received
	if _, err := client.Do(http.MethodGet, "/", nil, time.Minute); !errors.Is(err, ErrPoolExhausted) {
		t.Errorf("beyond the bound: %v", err)
	}
	client.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("under way: %v", err)
	}
	if _, err := client.Do(http.MethodGet, "/", nil, time.Minute); !errors.Is(err, net.ErrClosed) {
		t.Errorf("later: %v", err)
	}
}
