// Package fake drives the emulated world and real controllers' cores in fake
// time: no sockets, no goroutines, and with one seed the same history.
package fake

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

const second = config.Second

// tickEvery is how often a controller's core gets a tick.
const tickEvery = 50_000

// midnight is the time of day at which days begin.
const midnight = 1_000_000 * second

// Options are what a driver adds to a world.
type Options struct {
	Operators config.Operators
	// Missing: the settings name one more controller, which is never there.
	Missing bool
	// Programs, if set, is what a controller runs from its epoch-th start on.
	Programs func(node, epoch int) upgrade.Program
	// Plain, if set, says which controllers run a program from before they
	// vouched for what they tell users.
	Plain func(node string) bool
	// Begin, if set, is called before anything happens.
	Begin func(*Cluster)
	// Seen, if set, is called with each event as it happens.
	Seen func(history.Event)
	// Writes, if set, is called with each transaction that a controller sends.
	Writes func(core.Multi)
	// Asks, if set, is called with each question of a follower to a leader, and Shows
	// with its end, which it may change.
	Asks  func(node string, q core.AskView)
	Shows func(node string, s *core.Shown)
	// Progress, if set, is called every simulated minute.
	Progress func(now int64)
	Log      *slog.Logger
}

// Cluster is a world with its controllers.
type Cluster struct {
	Options
	World  *world.World
	Config world.Config
	Nodes  []*Node
	// History is all that has happened.
	History []history.Event
	now     int64
	timers  world.Timers
	rng     *rand.Rand
}

// Node is a controller.
type Node struct {
	c       *Cluster
	name    string
	index   int
	core    *core.Core
	up      bool
	frozen  bool
	held    []func()
	epoch   int
	clock   int64 // how far its time of day is off
	replies map[uint64]func(core.Reply)
	calls   map[uint64]func(int, any)
	next    uint64
}

// Run plays a world from its beginning to its length.
func Run(cfg world.Config, o Options) (*Cluster, error) {
	c := &Cluster{Options: o, Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	c.Log = slog.New(clocked{c.Log.Handler(), c})
	w, err := world.New(cfg, func(e history.Event) {
		c.History = append(c.History, e)
		if c.Seen != nil {
			c.Seen(e)
		}
	})
	if err != nil {
		return nil, err
	}
	c.World = w
	off := int64(cfg.Params.ClockErrorMS * 1000)
	for i := range cfg.Params.Size {
		n := &Node{c: c, name: world.NodeName(i), index: i}
		if off > 0 {
			n.clock = c.rng.Int64N(off+1) - off/2
		}
		c.Nodes = append(c.Nodes, n)
		c.Start(n)
	}
	if o.Begin != nil {
		o.Begin(c)
	}
	for minute := int64(0); ; {
		at, ok := c.timers.Next()
		own := ok
		if t, there := w.Next(); there && (!ok || t <= at) {
			at, ok, own = t, true, false
		}
		if !ok || at > cfg.Length {
			break
		}
		c.now = max(c.now, at)
		if own {
			c.timers.Take()()
		} else {
			c.step(nil)
		}
		if m := c.now / (60 * second); m > minute && c.Progress != nil {
			minute = m
			c.Progress(c.now)
		}
	}
	w.Close()
	return c, nil
}

// clocked gives what is logged the time of the day that is played.
type clocked struct {
	slog.Handler
	c *Cluster
}

func (h clocked) Handle(ctx context.Context, r slog.Record) error {
	r.Time = time.UnixMicro(h.c.now).UTC()
	return h.Handler.Handle(ctx, r)
}

func (h clocked) WithAttrs(a []slog.Attr) slog.Handler { return clocked{h.Handler.WithAttrs(a), h.c} }

// Now is the present.
func (c *Cluster) Now() int64 { return c.now }

// After calls f after a time.
func (c *Cluster) After(d int64, f func()) { c.timers.Add(c.now+d, f) }

// Leaders are the controllers that take themselves for the leader, the one with
// the highest token last.
func (c *Cluster) Leaders() (l []string) {
	tokens := map[string]uint64{}
	for _, n := range c.Nodes {
		n.Request(func(req uint64) any { return core.Ops{Req: req} }, func(r core.Reply) {
			if r.Ops != nil && r.Ops.Leading {
				l, tokens[n.name] = append(l, n.name), r.Ops.Token
			}
		})
	}
	slices.SortFunc(l, func(a, b string) int { return cmp.Compare(tokens[a], tokens[b]) })
	return l
}

// Befall lets a fault happen now.
func (c *Cluster) Befall(f world.Fault) error {
	err := c.World.Befall(f)
	c.step(nil)
	return err
}

// Deliver lets the copies of reports that are kept for the next leader arrive now.
func (c *Cluster) Deliver() {
	c.World.Deliver()
	c.step(nil)
}

// LeaderFirst are the controllers' names, the leader's first.
func (c *Cluster) LeaderFirst() []string {
	names := make([]string, c.Config.Params.Size)
	for i := range names {
		names[i] = world.NodeName(i)
	}
	if l := c.Leaders(); len(l) > 0 {
		i := slices.Index(names, l[len(l)-1])
		names[0], names[i] = names[i], names[0]
	}
	return names
}

// BefallLater lets faults happen, each its At from now. The first that can't is
// noted in failed.
func (c *Cluster) BefallLater(failed *error, faults ...world.Fault) {
	for _, f := range faults {
		c.After(f.At, func() {
			if err := c.Befall(f); err != nil && *failed == nil {
				*failed = err
			}
		})
	}
}

// Terms are what the rules are judged by.
func (c *Cluster) Terms() history.Terms { return c.Config.Terms() }

// step brings a message to the world, and what it returns to controllers.
func (c *Cluster) step(msg any) {
	for _, e := range c.World.Step(c.now, msg) {
		switch e := e.(type) {
		case world.Ask:
			c.node(e.To).asked(e)
		case world.Answer:
			c.node(e.To).answered(e)
		case world.Kill:
			c.Kill(c.node(e.Node))
		case world.Start:
			c.Start(c.node(e.Node))
		case world.Freeze:
			c.node(e.Node).freeze(e.On)
		}
	}
}

func (c *Cluster) node(name string) *Node {
	for _, n := range c.Nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// Start starts a controller's process.
func (c *Cluster) Start(n *Node) {
	n.up, n.frozen, n.held = true, false, nil
	n.epoch++
	n.replies, n.calls = map[uint64]func(core.Reply){}, map[uint64]func(int, any){}
	set := core.Settings{Name: n.name, Params: c.Config.Params, Ops: c.Operators, Boot: fmt.Sprintf("%s-%d", n.name, n.epoch)}
	for i := range c.Config.Params.Size {
		if i != n.index {
			set.Peers = append(set.Peers, world.NodeName(i))
		}
	}
	if c.Programs != nil {
		p := c.Programs(n.index, n.epoch)
		set.Program = &p
	}
	if c.Missing {
		set.Peers = append(set.Peers, "missing")
	}
	n.core = core.New(set, c.now+1, rand.New(rand.NewPCG(c.Config.Seed, uint64(n.index*1000+n.epoch))), c.Log.With("node", n.name))
	c.step(world.NodeUp{Node: n.name, Up: true})
	n.tick(n.epoch)
}

// Kill ends it.
func (c *Cluster) Kill(n *Node) {
	n.up = false
	n.epoch++
	c.step(world.NodeUp{Node: n.name})
}

func (n *Node) tick(epoch int) {
	if n.epoch != epoch || !n.up {
		return
	}
	if !n.frozen {
		n.step(core.Tick{Wall: n.c.now + midnight + n.clock})
	}
	n.c.After(tickEvery, func() { n.tick(epoch) })
}

func (n *Node) freeze(on bool) {
	n.frozen = on
	if !on {
		held := n.held
		n.held = nil
		for _, f := range held {
			f()
		}
	}
}

// run calls f unless the process has ended since, or later if it stands still.
func (n *Node) run(epoch int, f func()) {
	switch {
	case !n.up || n.epoch != epoch:
	case n.frozen:
		n.held = append(n.held, func() { n.run(epoch, f) })
	default:
		f()
	}
}

// plain says whether it runs a program from before controllers vouched: it does
// not read what that takes, and does not say it.
func (n *Node) plain() bool { return n.c.Plain != nil && n.c.Plain(n.name) }

func (n *Node) step(msg any) {
	for _, e := range n.core.Step(n.c.now+1, msg) {
		n.carryOut(e)
	}
}

// Request asks a controller directly, past the world.
func (n *Node) Request(build func(req uint64) any, reply func(core.Reply)) {
	n.next++
	n.replies[n.next] = reply
	n.step(build(n.next))
}

// call sends a request into the world; f gets status 0 if no answer comes in
// time.
func (n *Node) call(to string, request any, timeout int64, f func(status int, body any)) {
	c, epoch := n.c, n.epoch
	n.next++
	id := uint64(n.index)<<48 | uint64(n.epoch)<<32 | n.next
	n.calls[id] = f
	c.After(timeout, func() {
		n.run(epoch, func() { n.finish(id, 0, nil) })
	})
	c.step(world.Call{ID: id, From: n.name, To: to, Request: request})
}

func (n *Node) finish(id uint64, status int, body any) {
	if f := n.calls[id]; f != nil {
		delete(n.calls, id)
		f(status, body)
	}
}

func (n *Node) answered(a world.Answer) {
	n.run(n.epoch, func() { n.finish(a.ID, a.Status, a.Body) })
}

// asked is a request that has reached the controller.
func (n *Node) asked(a world.Ask) {
	if !n.up {
		n.c.step(world.Told{ID: a.ID})
		return
	}
	n.run(n.epoch, func() {
		if q, ok := a.Request.(pinged); ok && n.plain() {
			q.Boot, q.Ask, q.Tell = "", nil, nil
			a.Request = q
		}
		build, bad := message(a.Request)
		if bad != nil {
			n.c.step(world.Told{ID: a.ID, Status: bad.Status, Retry: bad.Retry})
			return
		}
		n.Request(build, func(r core.Reply) {
			n.c.step(world.Told{ID: a.ID, Status: r.Status, Retry: r.Retry, Body: body(a.Request, r)})
		})
	})
}
