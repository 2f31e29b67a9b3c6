// Package world is a model of everything that zinclb's controllers deal with:
// the state service, the cloud, workers, users with their balancer, and the
// network between all of them, as the published protocol has it, with faults.
//
// It does no input or output: Step takes the time and what a controller sent,
// and returns what reaches controllers. Drivers put it into fake time or onto
// sockets. With one seed and the same messages it does the same again.
package world

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const second = config.Second

// Config says what world it is. Times are whole microseconds.
type Config struct {
	Seed     uint64
	Length   int64
	Params   config.Params
	Types    []wire.MachineType
	Capacity []Capacity
	Machines []Machines // up at the start
	Jobs     []Job
	Sweeps   []Sweep
	Faults   []Fault
	Network  Network
	// StateDelay and CloudDelay are what an answer takes beyond the network.
	StateDelay, CloudDelay int64
	// Restart is how long a controller that has ended is away.
	Restart int64
	// Loss is the share of requests to state service and cloud whose answer is
	// lost; half of these are executed late.
	Loss float64
	Boot Boot
	Spot Spot
	// Drift is how far workers' clocks may be off, as a share.
	Drift float64
	// Strays is how often a second somebody asks about a job that nobody
	// submitted.
	Strays float64
	// RemoteWorkers: the machines' workers run in other processes, each of which
	// has a world of its own, see NewWorkers.
	RemoteWorkers bool
}

// Capacity is how many machines the cloud has of a type in a zone: ordinary
// ones and spot ones.
type Capacity struct {
	Type, Zone  string
	Count, Spot int
}

// Machines are there at the start.
type Machines struct {
	Type, Zone string
	Spot       bool
	Count      int
}

// Job is submitted at At; Run is how long its tasks really take, each of an array
// Apart longer than the last. Cancel is when its user cancels it, 0 for never.
type Job struct {
	At, Run, Cancel int64
	Apart           int64
	Spec            wire.Job
	// Last: it is submitted when the jobs that it awaits are over.
	Last bool
}

// Sweep is submitted at At as a sweep file, so many Times by users that do not
// know of each other. Jobs are its runs, as users of the sweep would expand it.
type Sweep struct {
	At, Run, Cancel int64
	Times           int
	ID, Text        string
	Jobs            []wire.Job
	// Values are what the runs were made of, as JSON.
	Values []string
}

// Boot says how machines come up.
type Boot struct {
	// Slow is the share that takes five times as long, Never the share that
	// stays booting.
	Slow, Never float64
}

// Spot says how spot machines are taken back.
type Spot struct {
	PerHour, Silent float64
	Notice          int64
}

// What a driver tells the world, besides Fault.
type (
	// Call is a request of controller From to a host: "state", "cloud", a
	// machine or another controller. It is answered by Answer.
	Call struct {
		ID       uint64
		From, To string
		Request  any
	}
	// Told is a controller's answer to Ask; Status 0 means that it does not
	// answer (it has ended, or does not listen).
	Told struct {
		ID     uint64
		Status int
		Retry  int // seconds
		Body   any
	}
	// NodeUp says whether a controller's process is there.
	NodeUp struct {
		Node string
		Up   bool
	}
)

// What the world tells a driver.
type (
	// Answer reaches the caller; Status 0 is a connection that broke. A call
	// may also never be answered.
	Answer struct {
		ID     uint64
		To     string
		Status int
		Body   any
	}
	// Ask is a request that reaches a controller.
	Ask struct {
		ID       uint64
		From, To string
		Request  any
	}
	// Kill ends a controller's process, Start starts it, Freeze stops it with
	// On and lets it go on without.
	Kill struct{ Node string }
	// Start starts a controller's process.
	Start struct{ Node string }
	// Freeze holds a process still.
	Freeze struct {
		Node string
		On   bool
	}
	// Machine is one that is up or gone, for drivers that give it an address or
	// run its worker. Why is the reason for which it is gone.
	Machine struct {
		Name, Type, Zone, Why string
		Spot, Up              bool
	}
)

// World is the model.
type World struct {
	Config
	now    int64
	rng    *rand.Rand
	timers Timers
	out    []any
	next   uint64
	asked  map[uint64]*asked

	net    *network
	nodes  []*node
	state  *state
	cloud  *cloud
	front  *front
	gangs  map[gangKey]*gang
	copies copies
	kept   kept
	jobs   map[string]*user
	sweeps []*sweepUser

	// Record is called with each event as it happens.
	Record func(history.Event)
}

// node is a controller as the world sees it.
type node struct {
	name, zone  string
	up, refused bool
	frozen      bool
}

type asked struct {
	from, to string
	f        func(Told)
}

// New makes a world at time 0. Nothing has happened yet.
func New(c Config, record func(history.Event)) (*World, error) {
	w := newWorld(c, record)
	w.state = newState(w)
	w.front = newFront(w)
	for _, m := range c.Machines {
		t := w.cloud.typ(m.Type)
		if t == nil {
			return nil, fmt.Errorf("machines: unknown type %q", m.Type)
		}
		for range m.Count {
			w.cloud.make(t, m.Zone, m.Spot, 0)
		}
	}
	for i := range c.Jobs {
		if err := w.addJob(c.Jobs[i]); err != nil {
			return nil, err
		}
	}
	for _, s := range c.Sweeps {
		if err := w.addSweep(s); err != nil {
			return nil, err
		}
	}
	for i, f := range c.Faults {
		if err := w.schedule(f); err != nil {
			return nil, fmt.Errorf("fault %d: %w", i, err)
		}
	}
	return w, nil
}

// newWorld makes a world of hosts alone.
func newWorld(c Config, record func(history.Event)) *World {
	w := &World{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), asked: map[uint64]*asked{}, gangs: map[gangKey]*gang{}, jobs: map[string]*user{}, Record: record}
	w.net = newNetwork(w)
	for i := range c.Params.Size {
		n := &node{name: NodeName(i), zone: c.Params.Zones[i%len(c.Params.Zones)]}
		w.nodes = append(w.nodes, n)
		w.net.add(n.name, n.zone, controllers)
	}
	w.net.add(StateHost, "", services)
	w.net.add(CloudHost, "", services)
	w.net.add(usersHost, "", users)
	w.cloud = newCloud(w)
	return w
}

// Latency is the delay between two zones of the world, "" being that of the
// regional services, without what varies.
func (w *World) Latency(a, b string) int64 { return w.Network.latency(a, b) }

// The names of hosts that are neither controllers nor machines.
const (
	StateHost = "state"
	CloudHost = "cloud"
	usersHost = "users"
)

// NodeName is a controller's.
func NodeName(i int) string { return fmt.Sprintf("node-%d", i) }

// NodeZone is the zone of a controller.
func (c *Config) NodeZone(i int) string { return c.Params.Zones[i%len(c.Params.Zones)] }

// Terms are what the rules of a world are judged by.
func (c *Config) Terms() history.Terms {
	t := history.Terms{Jobs: map[string]*wire.Job{}, Sweeps: map[string][]string{}, Teams: map[string]history.Limits{}, Cancel: config.Secs(c.Params.Workers.CancelS)}
	for i := range c.Jobs {
		t.Jobs[c.Jobs[i].Spec.ID] = &c.Jobs[i].Spec
	}
	for _, s := range c.Sweeps {
		for i := range s.Jobs {
			t.Jobs[s.Jobs[i].ID] = &s.Jobs[i]
			t.Sweeps[history.SweepJob(s.ID)] = append(t.Sweeps[history.SweepJob(s.ID)], s.Jobs[i].ID)
		}
	}
	t.Types = map[string]wire.MachineType{}
	for _, x := range c.Types {
		t.Types[x.Name] = x
	}
	for _, m := range c.Params.Teams {
		t.Teams[m.Name] = history.Limits{CPUs: m.CPUsMax, GPUs: m.GPUsMax}
	}
	return t
}

// Next is when something will happen by itself.
func (w *World) Next() (int64, bool) { return w.timers.Next() }

// Step lets everything happen that is due, takes a message, which may be nil,
// and returns what reaches controllers.
func (w *World) Step(now int64, msg any) []any {
	for {
		at, ok := w.timers.Next()
		if !ok || at > now {
			break
		}
		w.now = max(w.now, at)
		w.timers.Take()()
	}
	w.now = max(w.now, now)
	switch m := msg.(type) {
	case nil:
	case Call:
		w.call(m)
	case Told:
		if a := w.asked[m.ID]; a != nil {
			delete(w.asked, m.ID)
			w.net.send(a.to, a.from, func() { a.f(m) }, func() { a.f(Told{ID: m.ID}) })
		}
	case NodeUp:
		if n := w.node(m.Node); n != nil && n.up != m.Up {
			n.up = m.Up
			w.record(history.Event{Kind: history.Node, Node: m.Node, State: map[bool]string{true: "up", false: "down"}[m.Up]})
		}
	default:
		w.worker(m)
	}
	out := w.out
	w.out = nil
	return out
}

func (w *World) emit(e any) { w.out = append(w.out, e) }

func (w *World) after(d int64, f func()) { w.timers.Add(w.now+d, f) }

// replan calls f after d, unless plan has been counted on by then: whoever has
// one plan at a time, or takes it back, counts.
func (w *World) replan(plan *int, d int64, f func()) {
	*plan++
	made := *plan
	w.after(max(d, 0), func() {
		if *plan == made {
			f()
		}
	})
}

func (w *World) record(e history.Event) {
	if w.Record != nil {
		e.At = w.now
		w.Record(e)
	}
}

func (w *World) met(why string) { w.record(history.Event{Kind: history.Met, Why: why}) }

func (w *World) node(name string) *node {
	if i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name }); i >= 0 {
		return w.nodes[i]
	}
	return nil
}

// call carries a controller's request to where it goes, and the answer back.
func (w *World) call(c Call) {
	if m := w.cloud.machine(c.To); c.From == "" && m != nil {
		// On sockets nobody says who sends orders to a machine: it is taken
		// for the controller that the machine reports to.
		c.From = w.nodes[m.at].name
	}
	answer := func(status int, body any) {
		w.net.send(c.To, c.From, func() { w.emit(Answer{c.ID, c.From, status, body}) }, func() { w.emit(Answer{ID: c.ID, To: c.From}) })
	}
	broken := func() { w.emit(Answer{ID: c.ID, To: c.From}) }
	w.net.send(c.From, c.To, func() {
		switch {
		case c.To == StateHost:
			w.state.call(c.From, c.Request, answer)
		case c.To == CloudHost:
			w.cloud.call(c.Request, answer)
		case w.node(c.To) != nil:
			w.ask(c.From, c.To, c.Request, func(t Told) { w.emit(Answer{c.ID, c.From, t.Status, t.Body}) })
		default:
			if m := w.cloud.machine(c.To); m == nil || !m.direct(c.Request, answer) {
				w.after(w.net.delay(c.To, c.From), broken)
			}
		}
	}, broken)
}

// ask brings a request to a controller at once; f gets its answer, after the
// network's delay, unless nothing ever comes.
func (w *World) ask(from, to string, request any, f func(Told)) {
	if n := w.node(to); n == nil || !n.up {
		w.after(w.net.delay(to, from), func() { f(Told{}) })
		return
	}
	w.next++
	w.asked[w.next] = &asked{from, to, f}
	w.emit(Ask{w.next, from, to, request})
}

// lost says whether an answer is lost on its way, and how much later the request
// is executed than it should be.
func (w *World) lost() (lost bool, late int64) {
	if w.Loss == 0 || w.rng.Float64() >= w.Loss {
		return false, 0
	}
	if w.rng.IntN(2) == 0 {
		late = w.rng.Int64N(20 * second)
	}
	return true, late
}

// spread is a random time round d, from lo to hi times as long.
func (w *World) spread(d int64, lo, hi float64) int64 {
	return int64(float64(d) * (lo + w.rng.Float64()*(hi-lo)))
}

// bucket is a budget of so many a second, with a burst of some seconds' worth.
type bucket struct {
	level float64
	at    int64
}

// take takes n, or nothing if there are not as many.
func (b *bucket) take(now int64, rate, burst, n float64) bool {
	b.level = min(b.level+float64(now-b.at)/1e6*rate, rate*burst)
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
