// Package faketime runs the emulated environment and the cores of real controllers in
// simulated time: without sockets and goroutines, so that a seed always gives the same
// history.
package faketime

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
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
)

const second = config.Second

// tickInterval is how often a controller's core gets a tick.
const tickInterval = 50_000

// startOfDay is the time of day at which days begin.
const startOfDay = 1_000_000 * second

// Options are what a driver adds to a world.
type Options struct {
	Operators config.Operators
	// OneMissing: the settings name one more controller, which is never there.
	OneMissing bool
	// Programs, if set, is what a controller runs from its epoch-th start on.
	Programs func(node, epoch int) upgrade.Program
	// Legacy, if set, says which controllers run a program from before they
	// vouched for what they tell users.
	Legacy func(node string) bool
	// OnStart, if set, is called before anything happens.
	OnStart func(*Cluster)
	// OnEvent, if set, is called with each event as it happens.
	OnEvent func(history.Event)
	// OnTransaction, if set, is called with each transaction that a controller sends.
	OnTransaction func(core.CommitTransaction)
	// OnQuery, if set, is called with each question of a follower to a leader, and Shows
	// with its end, which it may change.
	OnQuery    func(node string, q core.ReadFromLeader)
	OnQueryEnd func(node string, s *core.LeaderReadDone)
	// OnProgress, if set, is called every simulated minute.
	OnProgress func(now int64)
	Log        *slog.Logger
}

// Cluster is a world with its controllers.
type Cluster struct {
	Options
	Environment *environment.Environment
	Config      environment.Config
	Controllers []*Controller
	// History is all that has happened.
	History []history.Event
	now     int64
	timers  environment.Timers
	rng     *rand.Rand
}

// Controller is a controller.
type Controller struct {
	cluster     *Cluster
	name        string
	index       int
	core        *core.Core
	up          bool
	frozen      bool
	deferred    []func()
	epoch       int
	clockOffset int64 // how far its time of day is off
	replies     map[uint64]func(core.Reply)
	calls       map[uint64]func(int, any)
	nextID      uint64
}

// Run plays a world from its beginning to its length.
func Run(cfg environment.Config, o Options) (*Cluster, error) {
	c := &Cluster{Options: o, Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	c.Log = slog.New(simulatedTimeHandler{c.Log.Handler(), c})
	w, err := environment.New(cfg, func(e history.Event) {
		c.History = append(c.History, e)
		if c.OnEvent != nil {
			c.OnEvent(e)
		}
	})
	if err != nil {
		return nil, err
	}
	c.Environment = w
	off := int64(cfg.Params.ClockErrorMS * 1000)
	for i := range cfg.Params.Size {
		n := &Controller{cluster: c, name: environment.ControllerName(i), index: i}
		if off > 0 {
			n.clockOffset = c.rng.Int64N(off+1) - off/2
		}
		c.Controllers = append(c.Controllers, n)
		c.Start(n)
	}
	if o.OnStart != nil {
		o.OnStart(c)
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
		if m := c.now / (60 * second); m > minute && c.OnProgress != nil {
			minute = m
			c.OnProgress(c.now)
		}
	}
	w.Close()
	return c, nil
}

// simulatedTimeHandler gives what is logged the time of the day that is played.
type simulatedTimeHandler struct {
	slog.Handler
	cluster *Cluster
}

func (h simulatedTimeHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Time = time.UnixMicro(h.cluster.now).UTC()
	return h.Handler.Handle(ctx, r)
}

func (h simulatedTimeHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return simulatedTimeHandler{h.Handler.WithAttrs(a), h.cluster}
}

// Now is the present.
func (c *Cluster) Now() int64 { return c.now }

// After calls f after a time.
func (c *Cluster) After(d int64, f func()) { c.timers.Add(c.now+d, f) }

// Leaders are the controllers that take themselves for the leader, the one with
// the highest token last.
func (c *Cluster) Leaders() (l []string) {
	tokens := map[string]uint64{}
	for _, n := range c.Controllers {
		n.Request(func(req uint64) any { return core.QueryOperatorView{RequestID: req} }, func(r core.Reply) {
			if r.Ops != nil && r.Ops.Leading {
				l, tokens[n.name] = append(l, n.name), r.Ops.FencingToken
			}
		})
	}
	slices.SortFunc(l, func(a, b string) int { return cmp.Compare(tokens[a], tokens[b]) })
	return l
}

// InjectFault lets a fault happen now.
func (c *Cluster) InjectFault(f environment.Fault) error {
	err := c.Environment.InjectFault(f)
	c.step(nil)
	return err
}

// DeliverHeldReports lets the copies of reports that are kept for the next leader arrive now.
func (c *Cluster) DeliverHeldReports() {
	c.Environment.DeliverHeldReports()
	c.step(nil)
}

// LeaderFirst are the controllers' names, the leader's first.
func (c *Cluster) LeaderFirst() []string {
	names := make([]string, c.Config.Params.Size)
	for i := range names {
		names[i] = environment.ControllerName(i)
	}
	if l := c.Leaders(); len(l) > 0 {
		i := slices.Index(names, l[len(l)-1])
		names[0], names[i] = names[i], names[0]
	}
	return names
}

// ScheduleFaults lets faults happen, each its At from now. The first that can't is
// noted in failed.
func (c *Cluster) ScheduleFaults(failed *error, faults ...environment.Fault) {
	for _, f := range faults {
		c.After(f.At, func() {
			if err := c.InjectFault(f); err != nil && *failed == nil {
				*failed = err
			}
		})
	}
}

// Expectations are what the rules are judged by.
func (c *Cluster) Expectations() history.Expectations { return c.Config.Expectations() }

// step brings a message to the world, and what it returns to controllers.
func (c *Cluster) step(msg any) {
	for _, e := range c.Environment.Step(c.now, msg) {
		switch e := e.(type) {
		case environment.Ask:
			c.controller(e.To).onRequest(e)
		case environment.Answer:
			c.controller(e.To).onAnswer(e)
		case environment.Kill:
			c.Kill(c.controller(e.Controller))
		case environment.Start:
			c.Start(c.controller(e.Controller))
		case environment.Freeze:
			c.controller(e.Controller).freeze(e.On)
		}
	}
}

func (c *Cluster) controller(name string) *Controller {
	for _, n := range c.Controllers {
		if n.name == name {
			return n
		}
	}
	return nil
}

// Start starts a controller's process.
func (c *Cluster) Start(n *Controller) {
	n.up, n.frozen, n.deferred = true, false, nil
	n.epoch++
	n.replies, n.calls = map[uint64]func(core.Reply){}, map[uint64]func(int, any){}
	set := core.Settings{Name: n.name, Deployment: c.Config.Params, Ops: c.Operators, Incarnation: fmt.Sprintf("%s-%d", n.name, n.epoch)}
	for i := range c.Config.Params.Size {
		if i != n.index {
			set.Peers = append(set.Peers, environment.ControllerName(i))
		}
	}
	if c.Programs != nil {
		p := c.Programs(n.index, n.epoch)
		set.Program = &p
	}
	if c.OneMissing {
		set.Peers = append(set.Peers, "missing")
	}
	n.core = core.New(set, c.now+1, rand.New(rand.NewPCG(c.Config.Seed, uint64(n.index*1000+n.epoch))), c.Log.With("node", n.name))
	c.step(environment.ControllerUp{Controller: n.name, Up: true})
	n.tick(n.epoch)
}

// Kill ends it.
func (c *Cluster) Kill(n *Controller) {
	n.up = false
	n.epoch++
	c.step(environment.ControllerUp{Controller: n.name})
}

func (n *Controller) tick(epoch int) {
	if n.epoch != epoch || !n.up {
		return
	}
	if !n.frozen {
		n.step(core.Tick{TimeOfDay: n.cluster.now + startOfDay + n.clockOffset})
	}
	n.cluster.After(tickInterval, func() { n.tick(epoch) })
}

func (n *Controller) freeze(on bool) {
	n.frozen = on
	if !on {
		held := n.deferred
		n.deferred = nil
		for _, f := range held {
			f()
		}
	}
}

// runUnlessEnded calls f unless the process has ended since, or later if it stands still.
func (n *Controller) runUnlessEnded(epoch int, f func()) {
	switch {
	case !n.up || n.epoch != epoch:
	case n.frozen:
		n.deferred = append(n.deferred, func() { n.runUnlessEnded(epoch, f) })
	default:
		f()
	}
}

// legacy says whether it runs a program from before controllers vouched: it does
// not read what that takes, and does not say it.
func (n *Controller) legacy() bool { return n.cluster.Legacy != nil && n.cluster.Legacy(n.name) }

func (n *Controller) step(msg any) {
	for _, e := range n.core.Step(n.cluster.now+1, msg) {
		n.execute(e)
	}
}

// Request asks a controller directly, past the world.
func (n *Controller) Request(build func(req uint64) any, reply func(core.Reply)) {
	n.nextID++
	n.replies[n.nextID] = reply
	n.step(build(n.nextID))
}

// call sends a request into the world; f gets status 0 if no answer comes in
// time.
func (n *Controller) call(to string, request any, timeout int64, f func(status int, body any)) {
	c, epoch := n.cluster, n.epoch
	n.nextID++
	id := uint64(n.index)<<48 | uint64(n.epoch)<<32 | n.nextID
	n.calls[id] = f
	c.After(timeout, func() {
		n.runUnlessEnded(epoch, func() { n.finishCall(id, 0, nil) })
	})
	c.step(environment.Call{ID: id, From: n.name, To: to, Request: request})
}

func (n *Controller) finishCall(id uint64, status int, body any) {
	if f := n.calls[id]; f != nil {
		delete(n.calls, id)
		f(status, body)
	}
}

func (n *Controller) onAnswer(a environment.Answer) {
	n.runUnlessEnded(n.epoch, func() { n.finishCall(a.ID, a.Status, a.Body) })
}

// onRequest is a request that has reached the controller.
func (n *Controller) onRequest(a environment.Ask) {
	if !n.up {
		n.cluster.step(environment.AskAnswer{ID: a.ID})
		return
	}
	n.runUnlessEnded(n.epoch, func() {
		if q, ok := a.Request.(pingRequest); ok && n.legacy() {
			q.Incarnation, q.Question, q.Cancellations = "", nil, nil
			a.Request = q
		}
		build, bad := toCoreMessage(a.Request)
		if bad != nil {
			n.cluster.step(environment.AskAnswer{ID: a.ID, Status: bad.Status, RetryAfter: bad.RetryAfter})
			return
		}
		n.Request(build, func(r core.Reply) {
			n.cluster.step(environment.AskAnswer{ID: a.ID, Status: r.Status, RetryAfter: r.RetryAfter, Body: responseBody(a.Request, r)})
		})
	})
}
