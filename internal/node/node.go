// Package node is one controller: the core's actor, which owns all state and
// is spoken to by messages, and round it the actors that do input and output.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/cloud"
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/httpwire"
	"github.com/zinclb/zinclb/internal/metrics"
	"github.com/zinclb/zinclb/internal/peer"
	"github.com/zinclb/zinclb/internal/store"
)

// relayTimeout is how long a relayed report may wait at the leader. Its worker
// gives up after 4 s, and the leader parks an answer for up to 3 s.
const relayTimeout = 3700 * time.Millisecond

// Bounds of the messages that wait for the core: so many for each socket, which
// leaves room for a report of every machine beside the users' requests, the results
// of effects and what peers relay.
const (
	inboxForSocket = 4
	inboxLeast     = 4096
	inboxMost      = 1 << 16
)

func inboxSize(sockets int) int { return min(max(inboxLeast, sockets*inboxForSocket), inboxMost) }

// Shares of a controller's sockets. The rest is for the state service, the cloud,
// peers and probes of machines.
const (
	// frontQuarters of four are for workers and users.
	frontQuarters = 3
	// socketsForOrder is how many sockets there are for each order to a worker
	// under way.
	socketsForOrder = 16
	leastOrders     = 16
	// stateConns and watchConns are for the state service.
	stateConns = 24
	watchConns = 2
)

func frontConns(sockets int) int { return sockets * frontQuarters / 4 }

func ordersAtOnce(sockets int) int { return max(leastOrders, sockets/socketsForOrder) }

// Connections that peers may have here: a few for each, as one that broke may not
// have been noticed yet.
const (
	connsForPeer   = 2
	leastPeerConns = 32
)

func peerConns(peers int) int { return max(leastPeerConns, peers*connsForPeer) }

// Node is a running controller.
type Node struct {
	platform *config.Platform
	core     *core.Core
	inbox    chan envelope
	start    time.Time
	replies  map[uint64]pendingRequest
	nextReq  uint64

	state     *store.Client
	watches   *store.Client
	cloud     *cloud.Client
	peers     map[string]*peer.Client
	workers   *workerPool
	latencies latencyRecorder
	fatal     chan error
	// sweepSlots are submissions of sweeps under way; one sweep is expanded at a time.
	sweepSlots chan struct{}
	expanding  sync.Mutex
}

// maxWaitingSweeps is how many submissions of sweeps may wait to be expanded.
const maxWaitingSweeps = 4

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	msg        any
	receivedAt int64
	reply      func(core.Reply)
}

// envelope is a message to the core. One with reply is a request: the actor
// numbers it and build makes the message.
type envelope struct {
	msg   any
	reply func(core.Reply)
	build func(req uint64) any
}

// New wires a controller up.
func New(p *config.Platform, ops config.Operators) *Node {
	n := &Node{
		platform: p, inbox: make(chan envelope, inboxSize(p.Deployment.Limits.Sockets)), start: time.Now(), replies: map[uint64]pendingRequest{}, latencies: latencyRecorder{}, sweepSlots: make(chan struct{}, maxWaitingSweeps), fatal: make(chan error, 1),
		state: store.New(p.Services.State, stateConns), watches: store.New(p.Services.State, watchConns), cloud: cloud.New(p.Services.Cloud),
		peers: map[string]*peer.Client{}, workers: newWorkerPool(ordersAtOnce(p.Deployment.Limits.Sockets)),
	}
	set := core.Settings{Name: p.Name, Deployment: p.Deployment, Ops: ops, Incarnation: strconv.FormatUint(rand.Uint64(), 36)}
	for _, m := range p.Peers {
		set.Peers = append(set.Peers, m.Name)
		n.peers[m.Name] = peer.NewClient(m.Addr, p.Deployment.Limits.Sockets)
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.core = core.New(set, n.now(), rng, slog.Default())
	return n
}

// now is the steady clock in microseconds since the start.
func (n *Node) now() int64 { return time.Since(n.start).Microseconds() + 1 }

// Run serves until the process is killed; it returns only at the start, if a
// listener can't be opened or what is stored needs a newer program.
func (n *Node) Run() error {
	// The runtime is told the limit, and keeps well below it: the count has
	// more in it than the heap.
	limit := int64(n.platform.Deployment.Limits.MemMB * 1e6)
	debug.SetMemoryLimit(limit * 7 / 10)
	errs := make(chan error, 2)
	sockets := n.platform.Deployment.Limits.Sockets
	go func() {
		s := &httpwire.Server{
			Addr: n.platform.UserAddr, Handle: n.handle, MaxBody: api.MaxBodyBytes, MaxConns: frontConns(sockets),
			ReadTimeout: 10 * time.Second, IdleTimeout: 90 * time.Second,
		}
		errs <- s.Serve()
	}()
	ctx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	go func() {
		errs <- peer.Serve(ctx, n.platform.PeerAddr, n.platform.Name, n, peerConns(len(n.platform.Peers)))
	}()
	go n.tickLoop()
	go n.coreLoop()
	select {
	case err := <-errs:
		return err
	case err := <-n.fatal:
		return err
	}
}

func (n *Node) tickLoop() {
	t := time.NewTicker(50 * time.Millisecond)
	for range t.C {
		select {
		case n.inbox <- envelope{msg: core.Tick{TimeOfDay: time.Now().UnixMicro()}}:
		default:
		}
	}
}

// coreLoop is the core's actor.
func (n *Node) coreLoop() {
	n.execute(n.core.Step(n.now(), core.Tick{TimeOfDay: time.Now().UnixMicro()}))
	for e := range n.inbox {
		msg := e.msg
		if e.build != nil {
			n.nextReq++
			msg = e.build(n.nextReq)
			n.replies[n.nextReq] = pendingRequest{msg, n.now(), e.reply}
		}
		n.execute(n.core.Step(n.now(), msg))
	}
}

// deliver sends the result of an effect back. Results must not be lost, so this
// waits for room; the number of effects under way is bounded by the core.
func (n *Node) deliver(msg any) { n.inbox <- envelope{msg: msg} }

// request sends a request; without room it is refused at once.
func (n *Node) request(build func(uint64) any, reply func(core.Reply)) {
	select {
	case n.inbox <- envelope{build: build, reply: reply}:
	default:
		reply(core.Reply{Status: 503, RetryAfter: 1, Error: "overloaded"})
	}
}

func (n *Node) handle(m *httpwire.Message, reply func(httpwire.Response)) {
	if !api.IsSlow(m) {
		n.route(m, reply)
		return
	}
	// It would keep all other requests waiting.
	select {
	case n.sweepSlots <- struct{}{}:
		go func() {
			defer func() { <-n.sweepSlots }()
			n.expanding.Lock()
			defer n.expanding.Unlock()
			n.route(m, reply)
		}()
	default:
		reply(httpwire.Response{Status: 503, Body: api.EncodeReply(core.Reply{Status: 503, Error: "other sweeps are being expanded"}), RetryAfter: 2})
	}
}

func (n *Node) route(m *httpwire.Message, reply func(httpwire.Response)) {
	build, answer := api.Route(m)
	if answer != nil {
		reply(*answer)
		return
	}
	n.request(build, func(r core.Reply) {
		if r.Ops != nil {
			if path, _, _ := strings.Cut(m.Target, "?"); path == api.MetricsPath {
				reply(metricsResponse(r.Ops))
				return
			}
		}
		reply(httpwire.Response{Status: r.Status, Body: api.EncodeReply(r), RetryAfter: r.RetryAfter})
	})
}

func metricsResponse(v *core.OperatorView) httpwire.Response {
	b, err := metrics.Encode(v)
	if err != nil {
		slog.Error("metrics can't be written", "err", err)
		return httpwire.Response{Status: 500, Body: api.EncodeReply(core.Reply{Status: 500, Error: err.Error()})}
	}
	return httpwire.Response{Status: 200, Body: b, ContentType: metrics.ContentType}
}

// HandleRelayedHeartbeat hands a peer's relayed report to the core.
func (n *Node) HandleRelayedHeartbeat(beat core.HeartbeatReceived) (core.Reply, error) {
	return n.requestAndWait(func(req uint64) any {
		beat.RequestID = req
		return beat
	}, relayTimeout)
}

// HandlePing asks the core what to tell a peer.
func (n *Node) HandlePing(ping core.PingReceived) (core.Reply, error) {
	return n.requestAndWait(func(req uint64) any {
		ping.RequestID = req
		return ping
	}, time.Second)
}

// HandleRequest hands a user's request from a peer to the core.
func (n *Node) HandleRequest(request any) (core.Reply, error) {
	build := func(req uint64) any { return peer.Numbered(request, req) }
	if s, ok := request.(core.ForwardedSweep); ok {
		m := core.SubmitSweep{Plan: &core.SweepPlan{ID: s.ID}, Stored: s.Stored, Invalid: s.Invalid, Forwarded: true}
		if s.Invalid == "" {
			n.expanding.Lock()
			plan, err := api.UnpackSweep(s.Stored)
			n.expanding.Unlock()
			if err != nil {
				return core.Reply{}, fmt.Errorf("a sweep that was handed on: %w", err)
			}
			m.Plan = plan
		}
		build = func(req uint64) any { m.RequestID = req; return m }
	}
	return n.requestAndWait(build, requestTimeout(request))
}

// cloudTimeout is how long a peer's calls of the cloud may take: a list has
// pages with gaps between them.
const cloudTimeout = 15 * time.Second

// requestTimeout is how long a request of a peer may take here.
func requestTimeout(request any) time.Duration {
	if _, ok := request.(core.CloudCallRequested); ok {
		return cloudTimeout
	}
	return 4 * time.Second
}

// requestAndWait sends a request to the core and waits for its reply.
func (n *Node) requestAndWait(build func(uint64) any, timeout time.Duration) (core.Reply, error) {
	ch := make(chan core.Reply, 1)
	n.request(build, func(r core.Reply) { ch <- r })
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case r := <-ch:
		return r, nil
	case <-t.C:
		return core.Reply{}, errors.New("no answer from the core")
	}
}

// execute starts the input and output that the core asks for.
func (n *Node) execute(effects []any) {
	for _, e := range effects {
		switch e := e.(type) {
		case core.Reply:
			if p, ok := n.replies[e.RequestID]; ok {
				delete(n.replies, e.RequestID)
				n.latencies.record(p.msg, n.now()-p.receivedAt)
				if e.Ops != nil {
					e.Ops.Latencies = n.latencies.summary()
				}
				p.reply(e)
			}
		case core.Quit:
			n.fatal <- errors.New(e.Reason) // once in a process
		case core.ListState:
			go n.listState(e)
		case core.WatchState:
			go n.watch(e, n.now())
		case core.WatchLeader:
			go n.watchLeader(e)
		case core.ReadFromLeader:
			go n.askView(e, n.now())
		case core.ReadState:
			sent := n.now()
			go func() {
				w := n.state.Watch(core.Prefix, e.AfterRevision, 0)
				w.SentAt, w.Immediate, w.ForRequests = sent, true, e.ForRequests
				n.deliver(w)
			}()
		case core.CommitTransaction:
			go func() { n.deliver(n.state.Transact(e, 2*time.Second)) }()
		case core.ReadKey:
			go func() {
				v, stamp, err := n.state.Get(e.Key)
				n.deliver(core.KeyRead{ID: e.ID, Key: e.Key, Value: v, Revision: stamp, Err: err})
			}()
		case core.GrantLease:
			sent := n.now()
			go func() {
				l, err := n.state.GrantLease(time.Duration(e.TTL) * time.Microsecond)
				n.deliver(core.LeaseGranted{Lease: l, SentAt: sent, Err: err})
			}()
		case core.RenewLease:
			sent := n.now()
			go func() {
				gone, err := n.state.RenewLease(e.Lease)
				n.deliver(core.LeaseRenewed{Lease: e.Lease, SentAt: sent, Expired: gone, Err: err})
			}()
		case core.RevokeLease:
			go func() {
				if err := n.state.RevokeLease(e.Lease); err != nil {
					slog.Debug("dropping a lease failed", "err", err)
				}
			}()
		case core.RelayHeartbeat:
			go n.relay(e)
		case core.ForwardRequest:
			go n.forward(e)
		case core.PingPeer:
			sent := n.now()
			go func() {
				ping := core.PingReceived{From: n.platform.Name, NeedMachines: e.NeedMachines, Incarnation: e.Incarnation, Question: e.Question, Cancellations: e.Cancellations}
				r, err := n.peers[e.Peer].Ping(ping, time.Second)
				n.deliver(core.PeerPinged{Peer: e.Peer, SentAt: sent, OK: err == nil && r.Name == e.Peer, Status: r.News})
			}()
		case core.ProbeMachine:
			sent := n.now()
			go func() {
				r, ok := n.workers.probe(e.Addr)
				n.deliver(core.MachineProbed{Machine: e.Machine, SentAt: sent, OK: ok, Heartbeat: r})
			}()
		case core.SendCommands:
			n.workers.send(e)
		case core.ListMachineTypes:
			go func() {
				t := n.cloud.ListTypes()
				t.FencingToken = e.FencingToken
				n.deliver(t)
			}()
		case core.ListMachines:
			go func() {
				l := n.cloud.ListMachines(time.Duration(e.Gap) * time.Microsecond)
				l.FencingToken = e.FencingToken
				n.deliver(l)
			}()
		case core.ExpandSweep:
			go func() {
				n.expanding.Lock()
				defer n.expanding.Unlock()
				plan, err := api.UnpackSweep(e.Stored)
				n.deliver(core.SweepExpanded{ID: e.ID, Plan: plan, Err: err})
			}()
		case core.CallCloudForPeer:
			go func() { n.deliver(core.CloudCalledForPeer{RequestID: e.RequestID, Answer: n.callCloud(e.Call)}) }()
		case core.CallCloudViaPeer:
			go n.callCloudByPeer(e)
		case core.ScaleOut:
			go func() {
				if n.isExpired(e.NotAfter) {
					n.deliver(core.ScaledOut{Request: e}) // asked again under the same name, if at all
					return
				}
				n.deliver(n.cloud.ScaleOut(e))
			}()
		case core.ScaleIn:
			go func() {
				if n.isExpired(e.NotAfter) {
					n.deliver(core.ScaledIn{Names: e.Names, FencingToken: e.FencingToken})
					return
				}
				r := n.cloud.ScaleIn(e.Names)
				r.FencingToken = e.FencingToken
				n.deliver(r)
			}()
		}
	}
}

func (n *Node) relay(e core.RelayHeartbeat) {
	var r core.Reply
	err := errors.New("the leader is no peer")
	if p := n.peers[e.To]; p != nil {
		r, err = p.RelayBeat(core.HeartbeatReceived{From: n.platform.Name, Heartbeat: e.Heartbeat, ViaPeer: e.ViaPeer}, relayTimeout)
	}
	n.deliver(core.HeartbeatRelayed{RequestID: e.RequestID, Answer: r, Err: err})
}

// callCloud makes a call for a peer.
func (n *Node) callCloud(call core.CloudCall) core.CloudResult {
	var a core.CloudResult
	var err error
	switch {
	case call.ListTypes:
		t := n.cloud.ListTypes()
		a.Types, err = t.Types, t.Err
	case call.ListMachines:
		m := n.cloud.ListMachines(time.Duration(call.Gap) * time.Microsecond)
		a.List, err = m.List, m.Err
	case call.ScaleOut != nil:
		r := n.cloud.ScaleOut(*call.ScaleOut)
		return core.CloudResult{Status: r.Status, Names: r.Names}
	case !n.cloud.ScaleIn(call.ScaleIn).OK:
		return a
	}
	if err == nil {
		a.Status = 200
	}
	return a
}

// isExpired says that a call which changes something must not go out any more: this
// process has stood still since it was decided, and another may lead.
func (n *Node) isExpired(until int64) bool {
	late := n.now() >= until
	if late {
		slog.Info("a call of the cloud is dropped, as another controller may lead by now")
	}
	return late
}

// callCloudByPeer has a peer make a call of the cloud.
func (n *Node) callCloudByPeer(e core.CallCloudViaPeer) {
	if n.isExpired(e.NotAfter) {
		_, answer := core.CloudViaPeerResult(e, core.Reply{}, nil) // no fault of the peer's
		n.deliver(answer)
		return
	}
	r, err := n.peers[e.To].Ask(core.CloudCallRequested{FencingToken: e.FencingToken, Call: e.Call}, cloudTimeout)
	told, answer := core.CloudViaPeerResult(e, r, err)
	n.deliver(told)
	n.deliver(answer)
}

// forward hands a user's request on to a peer.
func (n *Node) forward(e core.ForwardRequest) {
	timeout := 3500 * time.Millisecond
	switch e.Request.(type) {
	case core.QueryJob, core.QuerySweep, core.ListSweepRuns:
		timeout = 1500 * time.Millisecond
	}
	r, err := n.peers[e.To].Ask(e.Request, timeout)
	n.deliver(core.RequestForwarded{RequestID: e.RequestID, Answer: r, Err: err})
}

// listState reads the start prefixes at the pace that is asked for, and paces repeats
// after a failure.
func (n *Node) listState(e core.ListState) {
	var out core.StateListed
	pages := 0
	pace := func() {
		if pages++; pages > e.AtOnce {
			time.Sleep(time.Duration(e.Gap) * time.Microsecond)
		}
	}
	for i, p := range core.StartPrefixes {
		rows, ledger, err := n.state.List(p, pace)
		if err != nil {
			time.Sleep(300 * time.Millisecond)
			n.deliver(core.StateListed{Err: err})
			return
		}
		if i == 0 {
			out.Revision = ledger
		}
		out.Changes = append(out.Changes, rows...)
	}
	n.deliver(out)
}

func (n *Node) watch(e core.WatchState, sent int64) {
	w := n.watches.Watch(core.Prefix, e.AfterRevision, 10*time.Second)
	w.SentAt = sent
	if w.Err != nil {
		time.Sleep(300 * time.Millisecond)
	}
	n.deliver(w)
}

func (n *Node) watchLeader(e core.WatchLeader) {
	w := n.watches.Watch(core.LeaderKey, e.AfterRevision, 10*time.Second)
	if w.Err != nil {
		time.Sleep(300 * time.Millisecond)
	}
	n.deliver(core.LeaderWatched{Changed: w.Compacted || len(w.Changes) > 0, Err: w.Err})
}

// askView asks the leader for what has changed.
func (n *Node) askView(e core.ReadFromLeader, sent int64) {
	shown := core.LeaderReadDone{Number: e.Number, AfterRevision: e.AfterRevision, SentAt: sent, Err: errors.New("the leader is no peer")}
	if p := n.peers[e.To]; p != nil {
		shown.Answer, shown.Err = p.Ask(core.FollowerRead{AfterRevision: e.AfterRevision, WritesNeeded: e.WritesNeeded}, replica.AnswerTimeout*time.Microsecond)
	}
	n.deliver(shown)
}

// workerPool sends orders to workers' own addresses, a bounded number at a
// time; what does not fit travels with the next report anyway. That can be too
// late for a gang's orderly stop, of which all tasks must be told within
// gang_peer_s: the bound has to take several large gangs at once.
type workerPool struct{ slots chan struct{} }

func newWorkerPool(orders int) *workerPool { return &workerPool{make(chan struct{}, orders)} }

func (w *workerPool) send(d core.SendCommands) {
	select {
	case w.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-w.slots }()
		c := httpwire.NewClient(d.Addr, 1, 1<<20)
		defer c.Close()
		if _, err := c.Do("POST", "/do", api.EncodeDirectOrders(d), 2*time.Second); err != nil {
			slog.Debug("direct order failed", "addr", d.Addr, "err", err)
		}
	}()
}

// probeTimeout is how long a machine may take to answer whether it can be reached.
const probeTimeout = time.Second

// probe asks a machine for its report. That there is an answer matters even if
// the report can't be read. The core asks for a bounded number at a time and has
// to learn of each how it ended, so these take no slot.
func (w *workerPool) probe(addr string) (*core.Heartbeat, bool) {
	c := httpwire.NewClient(addr, 1, 1<<20)
	defer c.Close()
	m, err := c.Do("GET", "/inspect", nil, probeTimeout)
	if err != nil || m.Status != 200 {
		return nil, false
	}
	r, err := api.DecodeHeartbeat(m.Body)
	if err != nil {
		slog.Debug("a machine's report can't be read", "addr", addr, "err", err)
		return nil, true
	}
	return &r, true
}
