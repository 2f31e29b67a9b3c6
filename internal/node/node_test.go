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

// freeAddr is an address on loopback that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// testPlatform are the settings of a controller with two peers that do not run. The
// services refuse every call.
func testPlatform(t *testing.T) *config.Platform {
	t.Helper()
	p := &config.Platform{
		Name:     "node-1",
		UserAddr: freeAddr(t),
		PeerAddr: freeAddr(t),
		Peers:    []config.Peer{{Name: "node-2", Addr: freeAddr(t)}, {Name: "node-3", Addr: freeAddr(t)}},
		Services: config.Services{Cloud: golden.NewService(t).Addr, State: golden.NewService(t).Addr},
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

// TestRun: a controller serves until its context ends, and after Close none of its
// goroutines is left, which TestMain checks.
func TestRun(t *testing.T) {
	platform := testPlatform(t)
	n := New(platform, config.Defaults())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()

	client := httpwire.NewClient(platform.UserAddr, 1, 1<<20)
	defer client.Close()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		m, err := client.Do(http.MethodGet, "/ops/status", nil, time.Second)
		if err == nil && m.Status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("not served: %v, %v", m, err)
		}
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("ended by %v", err)
	}
	n.Close()
}

// TestRunWithoutListener: a controller whose address is taken ends at its start.
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
				t.Errorf("ended by %v", err)
			}
			n.Close()
		})
	}
}

// TestUnknownPeer: a request for a controller that is no peer fails.
func TestUnknownPeer(t *testing.T) {
	n := &Node{}
	if _, err := n.askPeer("node-9", nil, time.Second); !errors.Is(err, errNoPeer) {
		t.Error(err)
	}
}
