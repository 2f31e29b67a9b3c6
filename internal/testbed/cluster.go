// Package testbed plays whole days of a deployment in fake time against the
// core: stand-ins for the state service, the cloud, workers and users that
// follow their published protocol, with faults, and a checker of the rules.
package testbed

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

const second = config.Second

// Day says what is played.
type Day struct {
	Seed     uint64
	Settings core.Settings // Name and Peers are set for each controller
	Types    []fleet.Type
	Machines int // at the start, of the first type
	Jobs     []Job
	Sweeps   []Sweep
	Length   int64
	Faults   []Fault
	// Loss is the share of state requests whose answer is lost after the
	// request was, or will later be, executed.
	Loss float64
	// Missing: the settings name one more controller, which is never there.
	Missing bool
}

// Job is submitted at At; Run is how long its tasks really take. Cancel is
// when its user cancels it, 0 for never.
type Job struct {
	At, Run, Cancel int64
	Spec            ledger.Spec
	// Last: it is submitted when the jobs that it awaits are over.
	Last bool
}

// Fault is something that happens at At and, where it lasts, ends after For.
type Fault struct {
	At, For int64
	// Kind: crash (Who, or all if -1), state (outage), limits (the state
	// service's fall to the ones to come), refuse (the state
	// service refuses Who), cut (Who hears nobody), cloud (outage), silent
	// (machine Who of the start goes silent), die (it stops for good).
	Kind string
	Who  int
}

// event is something scheduled in fake time.
type event struct {
	at  int64
	seq int
	f   func()
}

// Cluster is a day under way.
type Cluster struct {
	Day
	now    int64
	seq    int
	events events
	rng    *rand.Rand

	state  *State
	cloud  *cloud
	nodes  []*node
	work   []*worker
	users  map[string]*user
	sweeps []*sweepUser
	Check  *Checker
}

type node struct {
	c       *Cluster
	index   int
	name    string
	core    *core.Core
	up      bool
	epoch   int
	cut     bool
	refused bool
	replies map[uint64]func(core.Reply)
	next    uint64
}

type user struct {
	job      Job
	accepted bool
	over     string
	asked    int
	// took is how long it was from the first try until it was accepted.
	took int64
}

// Play plays a day and returns the cluster at its end.
func Play(d Day) *Cluster { return play(d, nil) }

// play calls begin, if it is not nil, before anything happens.
func play(d Day, begin func(*Cluster)) *Cluster {
	c := &Cluster{Day: d, rng: rand.New(rand.NewPCG(d.Seed, 1)), users: map[string]*user{}}
	c.Check = newChecker(c)
	c.state = newState(c)
	c.cloud = &cloud{c: c, requests: map[string][]string{}}
	names := []string{}
	for i := range d.Settings.Size {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	for i, n := range names {
		nd := &node{c: c, index: i, name: n}
		c.nodes = append(c.nodes, nd)
		nd.start()
	}
	for i := range d.Machines {
		c.newWorker(&d.Types[0], d.Settings.Zones[i%len(d.Settings.Zones)], false, 0)
	}
	for i := range d.Jobs {
		u := &user{job: d.Jobs[i]}
		c.users[u.job.Spec.ID] = u
		c.at(u.job.At, u.submit(c))
		if u.job.Cancel > 0 {
			c.at(u.job.Cancel, func() { u.withdraw(c) })
		}
	}
	for _, s := range d.Sweeps {
		c.sweeps = append(c.sweeps, c.sweep(s))
	}
	for _, f := range d.Faults {
		c.fault(f)
	}
	if begin != nil {
		begin(c)
	}
	for len(c.events) > 0 && c.events[0].at <= d.Length {
		e := heap.Pop(&c.events).(event)
		c.now = max(c.now, e.at)
		e.f()
	}
	return c
}

// at schedules f; events of one moment run in the order they were made.
func (c *Cluster) at(t int64, f func()) {
	c.seq++
	heap.Push(&c.events, event{max(t, c.now), c.seq, f})
}

// events is a heap: a large day has thousands waiting.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is heap.Interface's.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is heap.Interface's.
func (e *events) Pop() any {
	l := *e
	x := l[len(l)-1]
	l[len(l)-1] = event{}
	*e = l[:len(l)-1]
	return x
}

func (c *Cluster) after(d int64, f func()) { c.at(c.now+d, f) }

// lag is a network delay.
func (c *Cluster) lag() int64 { return 500 + c.rng.Int64N(4000) }

func (c *Cluster) fault(f Fault) {
	each := func(do func(n *node)) {
		for i, n := range c.nodes {
			if f.Who < 0 || f.Who == i {
				do(n)
			}
		}
	}
	var begin func()
	end := func() {}
	switch f.Kind {
	case "crash":
		begin = func() { each(func(n *node) { n.crash() }) }
	case "state":
		begin, end = func() { c.state.down = true }, func() { c.state.recover() }
	case "limits":
		begin = func() { c.state.limits = c.Settings.Tight() }
	case "refuse":
		begin = func() { each(func(n *node) { n.refused = true }) }
		end = func() { each(func(n *node) { n.refused = false }) }
	case "cut":
		begin = func() { each(func(n *node) { n.cut = true }) }
		end = func() { each(func(n *node) { n.cut = false }) }
	case "cloud":
		begin, end = func() { c.cloud.down = true }, func() { c.cloud.down = false }
	case "silent":
		begin, end = func() { c.work[f.Who].cut = true }, func() { c.work[f.Who].cut = false }
	case "die":
		begin = func() { c.work[f.Who].die() }
	default:
		panic("unknown fault " + f.Kind)
	}
	c.at(f.At, begin)
	if f.For > 0 {
		c.at(f.At+f.For, end)
	}
}

func (n *node) start() {
	n.up = true
	n.epoch++
	n.replies = map[uint64]func(core.Reply){}
	set := n.c.Settings
	set.Name = n.name
	set.Boot = fmt.Sprintf("%s-%d", n.name, n.epoch)
	set.Peers = nil
	for _, o := range n.c.nodes {
		if o != n {
			set.Peers = append(set.Peers, o.name)
		}
	}
	if len(set.Peers) < set.Size-1 { // at the first start not all exist yet
		set.Peers = nil
		for i := range set.Size {
			if i != n.index {
				set.Peers = append(set.Peers, fmt.Sprintf("node-%d", i))
			}
		}
	}
	if n.c.Missing {
		set.Peers = append(set.Peers, "missing")
	}
	n.core = core.New(set, n.c.now+1, rand.New(rand.NewPCG(n.c.Seed, uint64(n.index*100+n.epoch))), slog.New(slog.DiscardHandler))
	n.tick(n.epoch)
}

func (n *node) tick(epoch int) {
	if n.epoch != epoch || !n.up {
		return
	}
	n.step(core.Tick{Wall: n.c.now + 1_000_000*second})
	n.c.after(50_000, func() { n.tick(epoch) })
}

func (n *node) crash() {
	if !n.up {
		return
	}
	n.up = false
	n.epoch++
	n.c.after(4*second, n.start)
}

// tell delivers a message unless the node has ended since it was asked for.
func (n *node) tell(epoch int, msg any) {
	if n.up && n.epoch == epoch {
		n.step(msg)
	}
}

func (n *node) ask(build func(uint64) any, reply func(core.Reply)) {
	n.next++
	n.replies[n.next] = reply
	n.step(build(n.next))
}

func (n *node) step(msg any) {
	for _, e := range n.core.Step(n.c.now+1, msg) {
		n.carryOut(e)
	}
}

func (n *node) carryOut(e any) {
	c, epoch := n.c, n.epoch
	now := c.now
	switch e := e.(type) {
	case core.Reply:
		if f := n.replies[e.Req]; f != nil {
			delete(n.replies, e.Req)
			f(e)
		}
	case core.Relay:
		to := c.byName(e.To)
		fail := func() {
			c.after(2*second, func() {
				n.tell(epoch, core.Relayed{Req: e.Req, Err: errUnreachable})
			})
		}
		if to == nil || !to.up || to.cut || n.cut {
			fail()
			return
		}
		c.after(c.lag(), func() {
			if !to.up {
				fail()
				return
			}
			to.ask(func(req uint64) any { return core.Beat{Req: req, Report: e.Report, From: n.name} }, func(r core.Reply) {
				c.after(c.lag(), func() { n.tell(epoch, core.Relayed{Req: e.Req, Answer: r}) })
			})
		})
	case core.Ping:
		to := c.byName(e.Peer)
		if to == nil || !to.up || to.cut || n.cut {
			c.after(second, func() { n.tell(epoch, core.PeerSeen{Peer: e.Peer, Sent: now + 1}) })
			return
		}
		c.after(c.lag(), func() {
			if !to.up {
				return
			}
			to.ask(func(req uint64) any { return core.Pinged{Req: req} }, func(r core.Reply) {
				c.after(c.lag(), func() {
					n.tell(epoch, core.PeerSeen{Peer: e.Peer, Sent: now + 1, OK: true, News: *r.News})
				})
			})
		})
	case core.Forward:
		to := c.byName(e.To)
		if to == nil || !to.up || to.cut || n.cut {
			c.after(2*second, func() { n.tell(epoch, core.Forwarded{Req: e.Req, Err: errUnreachable}) })
			return
		}
		c.after(c.lag(), func() {
			if !to.up {
				return
			}
			to.ask(func(req uint64) any { return handOn(e.Request, req) }, func(r core.Reply) {
				c.after(c.lag(), func() { n.tell(epoch, core.Forwarded{Req: e.Req, Answer: r}) })
			})
		})
	case core.Direct:
		if w := c.byAddr(e.Addr); w != nil && !n.cut {
			d := c.lag()
			if w.cut {
				// A cut may hold a message back and deliver it late.
				d += c.rng.Int64N(40 * second)
			}
			c.after(d, func() { w.direct(e) })
		}
	case core.Expand:
		plan, err := api.UnpackSweep(e.Stored)
		c.after(c.lag()*20, func() { n.tell(epoch, core.Expanded{ID: e.ID, Plan: plan, Err: err}) })
	case core.GetTypes, core.ListMachines, core.Rent, core.Release:
		c.cloud.call(n, epoch, e)
	default:
		c.state.call(n, epoch, e)
	}
}

// handOn numbers a request that a peer hands on.
func handOn(r any, req uint64) any {
	switch r := r.(type) {
	case core.Submit:
		r.Req = req
		return r
	case core.Cancel:
		r.Req = req
		return r
	case core.Status:
		r.Req = req
		return r
	}
	return nil
}

func (c *Cluster) byName(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (c *Cluster) byAddr(addr string) *worker {
	for _, w := range c.work {
		if w.addr == addr {
			return w
		}
	}
	return nil
}

// reach picks a controller that answers users, or nil.
func (c *Cluster) reach() *node {
	var up []*node
	for _, n := range c.nodes {
		if n.up && !n.cut {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[c.rng.IntN(len(up))]
}

// submit tries until it is accepted, and then polls.
func (u *user) submit(c *Cluster) func() {
	var try func()
	try = func() {
		again := func() { c.after(second, try) }
		n := c.reach()
		if n == nil || !u.ready(c) {
			again()
			return
		}
		spec := u.job.Spec
		c.Check.submitted(spec.ID, &spec)
		done := false
		n.ask(func(req uint64) any { return core.Submit{Req: req, Spec: &spec} }, func(r core.Reply) {
			if done {
				return
			}
			done = true
			if r.Status == 200 || r.Status == 201 {
				u.accepted, u.took = true, c.now-u.job.At
				c.Check.told(spec.ID, r)
				c.after(5*second, func() { u.poll(c) })
				return
			}
			c.Check.refused(spec.ID, r)
			again()
		})
		c.after(5*second, func() {
			if !done {
				done = true
				again()
			}
		})
	}
	return try
}

// ready says whether what a job awaits is accepted, or over where it is
// submitted last.
func (u *user) ready(c *Cluster) bool {
	for _, id := range u.job.Spec.Awaits {
		if o := c.users[id]; !o.accepted || u.job.Last && o.over == "" {
			return false
		}
	}
	return true
}

func (u *user) poll(c *Cluster) {
	again := func() { c.after(5*second, func() { u.poll(c) }) }
	n := c.reach()
	if n == nil {
		again()
		return
	}
	id := u.job.Spec.ID
	done := false
	n.ask(func(req uint64) any { return core.Status{Req: req, ID: id} }, func(r core.Reply) {
		if done {
			return
		}
		done = true
		c.Check.told(id, r)
		if r.Job != nil && (r.Job.State == ledger.Done || r.Job.State == ledger.Cancelled) && u.over == "" {
			u.over = r.Job.State
		}
		u.asked++
		if u.over == "" || u.asked%3 != 0 {
			again()
		}
	})
	c.after(2*second, func() {
		if !done {
			done = true
			again()
		}
	})
}

func (u *user) withdraw(c *Cluster) {
	id := u.job.Spec.ID
	c.Check.askedToCancel(id)
	again := func() { c.after(second, func() { u.withdraw(c) }) }
	n := c.reach()
	if n == nil || !u.accepted {
		again()
		return
	}
	n.ask(func(req uint64) any { return core.Cancel{Req: req, ID: id} }, func(r core.Reply) {
		c.Check.told(id, r)
		if r.Status != 200 {
			again()
			return
		}
		if u.over == "" {
			u.over = r.Job.State
		}
	})
}

// Unfinished names the accepted jobs that are neither done nor cancelled.
func (c *Cluster) Unfinished() []string {
	var l []string
	for id, u := range c.users {
		if u.over == "" {
			l = append(l, id)
		}
	}
	slices.Sort(l)
	return l
}

// String describes the end of a day.
func (c *Cluster) String() string {
	return fmt.Sprintf("unfinished %d; broken rules: %s", len(c.Unfinished()), strings.Join(c.Check.Broken, "; "))
}
