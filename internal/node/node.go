// Package node runs one controller. An actor owns the core and its state and
// receives messages from an inbox. Other goroutines perform the I/O that the core
// requests and send the results to the inbox.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/cloud"
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
	"github.com/zinclb/zinclb/internal/peer"
	"github.com/zinclb/zinclb/internal/store"
)

// The Go runtime's soft memory limit is well below the deployment's limit, because the
// platform counts more than the heap.
const (
	bytesPerMB      = 1e6
	heapLimitTenths = 7
)

// Timeouts of connections from users and workers.
const (
	userReadTimeout = 10 * time.Second
	userIdleTimeout = 90 * time.Second
)

// Node is a running controller.
type Node struct {
	platform *config.Platform
	core     *core.Core
	start    time.Time

	// inbox holds messages to the core. pending, lastRequestID and latencies are owned
	// by the actor, see actor.go.
	inbox         chan envelope
	pending       map[uint64]pendingRequest
	lastRequestID uint64
	latencies     latencyRecorder

	state   *store.Client
	watches *store.Client
	cloud   *cloud.Client
	peers   map[string]*peer.Client
	workers *workerPool

	// sweepSlots bounds the sweep submissions in progress. expanding ensures that
	// only one sweep is expanded at a time.
	sweepSlots chan struct{}
	expanding  sync.Mutex

	// fatal receives the error with which the core ends the process.
	fatal chan error
	// done is closed when the node stops. It is nil before Run.
	done <-chan struct{}
	// goroutines tracks the goroutines started by Run, the actor and the servers.
	goroutines sync.WaitGroup
}

// New returns a controller with the given settings. The controller does no I/O before
// Run is called.
func New(platform *config.Platform, operators config.Operators) *Node {
	sockets := platform.Deployment.Limits.Sockets
	n := &Node{
		platform:   platform,
		start:      time.Now(),
		inbox:      make(chan envelope, inboxSize(sockets)),
		pending:    map[uint64]pendingRequest{},
		latencies:  latencyRecorder{},
		state:      store.New(platform.Services.State, stateConns),
		watches:    store.New(platform.Services.State, watchConns),
		cloud:      cloud.New(platform.Services.Cloud),
		peers:      map[string]*peer.Client{},
		workers:    newWorkerPool(maxCommandCalls(sockets)),
		sweepSlots: make(chan struct{}, maxWaitingSweeps),
		fatal:      make(chan error, 1),
	}
	settings := core.Settings{
		Name:        platform.Name,
		Deployment:  platform.Deployment,
		Ops:         operators,
		Incarnation: strconv.FormatUint(rand.Uint64(), 36),
	}
	for _, p := range platform.Peers {
		settings.Peers = append(settings.Peers, p.Name)
		n.peers[p.Name] = peer.NewClient(p.Addr, sockets)
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.core = core.New(settings, n.now(), rng, slog.Default())
	return n
}

// now returns the monotonic time in microseconds since the start. It is at least 1, as the core
// uses the time 0 for events that have not happened.
func (n *Node) now() int64 { return time.Since(n.start).Microseconds() + 1 }

// Run serves until the context ends. It returns earlier only if a listener can't be
// opened or if the stored data needs a newer program. It may be called only once. It
// does not wait for the goroutines it has started to end; Close does.
func (n *Node) Run(ctx context.Context) error {
	deployment := n.platform.Deployment
	memory := int64(deployment.Limits.MemMB * bytesPerMB)
	debug.SetMemoryLimit(memory * heapLimitTenths / 10)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.done = ctx.Done()
	failed := make(chan error, 2)
	n.goroutines.Go(func() { failed <- n.serveUsers(ctx) })
	n.goroutines.Go(func() { failed <- n.servePeers(ctx) })
	n.goroutines.Go(n.sendTicks)
	n.goroutines.Go(n.runActor)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-failed:
		return err
	case err := <-n.fatal:
		return err
	}
}

// Close ends the calls in progress and waits for all goroutines of the node. Run must
// have returned.
func (n *Node) Close() {
	n.state.Close()
	n.watches.Close()
	n.cloud.Close()
	for _, p := range n.peers {
		p.Close()
	}
	n.goroutines.Wait()
	n.workers.wait()
}

// serveUsers serves users and workers until the context ends.
func (n *Node) serveUsers(ctx context.Context) error {
	server := &httpwire.Server{
		Addr:        n.platform.UserAddr,
		Handle:      n.handle,
		MaxBody:     api.MaxBodyBytes,
		MaxConns:    maxUserConns(n.platform.Deployment.Limits.Sockets),
		ReadTimeout: userReadTimeout,
		IdleTimeout: userIdleTimeout,
	}
	return server.Serve(ctx)
}

// servePeers serves the other controllers until the context ends.
func (n *Node) servePeers(ctx context.Context) error {
	return peer.Serve(ctx, n.platform.PeerAddr, n.platform.Name, n, maxPeerConns(len(n.platform.Peers)))
}

// sleep waits for the given duration or until the node stops.
func (n *Node) sleep(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.done:
	}
}
