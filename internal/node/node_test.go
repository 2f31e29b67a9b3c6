package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/golden"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// testPlatform returns the settings of a controller with two peers that are not
// running, and with services that refuse every call.
func testPlatform(t *testing.T) *config.Platform {
	t.Helper()
	p := &config.Platform{
		Name:     "node-1",
		UserAddr: freeAddr(t),
		PeerAddr: freeAddr(t),
		Peers:    []config.Peer{{Name: "node-2", Addr: freeAddr(t)}, {Name: "node-3", Addr: freeAddr(t)}},
		Services: config.Services{Cloud: golden.NewFakeServer(t).Addr, State: golden.NewFakeServer(t).Addr},
	}
	d := &p.Deployment
	d.Size, d.Zones = 3, []string{"a"}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.GangWaitS, d.Workers.GangPeerS, d.Workers.CancelS = 2, 10, 60, 5, 30
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 50, 20, 64, 64
	d.Cloud.RPS, d.Cloud.ListLagS = 10, 5
	d.Limits.CoreShare, d.Limits.MemMB, d.Limits.Sockets = 1, 4000, 1000
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	return p
}

// TestRun checks that a controller serves until its context ends. TestMain checks that
// none of its goroutines is left after Close.
func TestRun(t *testing.T) {
	platform := testPlatform(t)
	n := New(platform, config.Defaults())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runResult := make(chan error, 1)
	go func() { runResult <- n.Run(ctx) }()

	client := httpwire.NewClient(platform.UserAddr, 1, 1<<20)
	defer client.Close()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		m, err := client.Do(http.MethodGet, "/ops/status", nil, time.Second)
		if err == nil && m.Status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("GET /ops/status: got response %v, error %v, want status 200 within 10 s", m, err)
		}
	}
	cancel()
	if err := <-runResult; !errors.Is(err, context.Canceled) {
		t.Errorf("Run: got error %v, want %v", err, context.Canceled)
	}
	n.Close()
}

// TestRunWithoutListener checks that Run fails if one of the controller's addresses is
// already in use.
func TestRunWithoutListener(t *testing.T) {
	for _, listener := range []string{"users", "peers"} {
		t.Run(listener, func(t *testing.T) {
			platform := testPlatform(t)
			taken, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = taken.Close() }()
			if listener == "users" {
				platform.UserAddr = taken.Addr().String()
			} else {
				platform.PeerAddr = taken.Addr().String()
			}
			n := New(platform, config.Defaults())
			if err := n.Run(context.Background()); !errors.Is(err, syscall.EADDRINUSE) {
				t.Errorf("Run with the address in use: got error %v, want %v", err, syscall.EADDRINUSE)
			}
			n.Close()
		})
	}
}

// TestUnknownPeer checks that a request to a controller that is not a peer fails.
func TestUnknownPeer(t *testing.T) {
	n := &Node{}
	if _, err := n.askPeer("node-9", nil, time.Second); !errors.Is(err, errUnknownPeer) {
		t.Errorf("request to an unknown peer: got error %v, want %v", err, errUnknownPeer)
	}
}
