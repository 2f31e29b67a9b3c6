// Package environment is a model of everything that zinclb's controllers deal with:
// the state service, the cloud, workers, users with their balancer, and the
// network between all of them, as the published protocol has it, with faults.
//
// It does no input or output: Step takes the time and what a controller sent,
// and returns what reaches controllers. Drivers put it into fake time or onto
// sockets. With one seed and the same messages it does the same again.
package environment

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
	Params   config.Deployment
	Types    []wire.MachineType
	Capacity []Capacity
	Machines []Machines // up at the start
	Jobs     []Job
	Sweeps   []Sweep
	Faults   []Fault
	Network  Network
	// StateDelay and CloudDelay are what an answer takes beyond the network.
	StateDelay, CloudDelay int64
	// RestartTime is how long a controller that has ended is away.
	RestartTime int64
	// AnswerLoss is the share of requests to state service and cloud whose answer is
	// lost; half of these are executed late.
	AnswerLoss float64
	Boot       Boot
	Spot       Spot
	// ClockDrift is how far workers' clocks may be off, as a share.
	ClockDrift float64
	// StrayRequestRate is how often a second somebody asks about a job that nobody
	// submitted.
	StrayRequestRate float64
	// RemoteWorkers: the machines' workers run in other processes, each of which
	// has a world of its own, see NewWorkerEnvironment.
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
	RunIncrement    int64
	Spec            wire.Job
	// AfterDependencies: it is submitted when the jobs that it awaits are over.
	AfterDependencies bool
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
	// AskAnswer is a controller's answer to Ask; Status 0 means that it does not
	// answer (it has ended, or does not listen).
	AskAnswer struct {
		ID         uint64
		Status     int
		RetryAfter int // seconds
		Body       any
	}
	// ControllerUp says whether a controller's process is there.
	ControllerUp struct {
		Controller string
		Up         bool
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
	Kill struct{ Controller string }
	// Start starts a controller's process.
	Start struct{ Controller string }
	// Freeze holds a process still.
	Freeze struct {
		Controller string
		On         bool
	}
	// Machine is one that is up or gone, for drivers that give it an address or
	// run its worker. Why is the reason for which it is gone.
	Machine struct {
		Name, Type, Zone, Reason string
		Spot, Up                 bool
	}
)

// Environment is the model.
type Environment struct {
	Config
	now         int64
	rng         *rand.Rand
	timers      Timers
	outbox      []any
	nextID      uint64
	pendingAsks map[uint64]*pendingAsk

	network     *network
	controllers []*controller
	state       *stateService
	cloud       *cloud
	balancer    *loadBalancer
	gangs       map[gangKey]*gang
	copies      duplicateReports
	heldReports heldReports
	jobs        map[string]*jobUser
	sweeps      []*sweepUser

	// Record is called with each event as it happens.
	Record func(history.Event)
}

// controller is a controller as the world sees it.
type controller struct {
	name, zone  string
	up, refused bool
	frozen      bool
}

type pendingAsk struct {
	from, to string
	answer   func(AskAnswer)
}

// New makes a world at time 0. Nothing has happened yet.
func New(c Config, record func(history.Event)) (*Environment, error) {
	w := newEnvironment(c, record)
	w.state = newState(w)
	w.balancer = newFront(w)
	for _, m := range c.Machines {
		t := w.cloud.machineType(m.Type)
		if t == nil {
			return nil, fmt.Errorf("machines: unknown type %q", m.Type)
		}
		for range m.Count {
			w.cloud.createMachine(t, m.Zone, m.Spot, 0)
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

// newEnvironment makes a world of hosts alone.
func newEnvironment(c Config, record func(history.Event)) *Environment {
	w := &Environment{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), pendingAsks: map[uint64]*pendingAsk{}, gangs: map[gangKey]*gang{}, jobs: map[string]*jobUser{}, Record: record}
	w.network = newNetwork(w)
	for i := range c.Params.Size {
		n := &controller{name: ControllerName(i), zone: c.Params.Zones[i%len(c.Params.Zones)]}
		w.controllers = append(w.controllers, n)
		w.network.addHost(n.name, n.zone, controllerHosts)
	}
	w.network.addHost(StateHost, "", serviceHosts)
	w.network.addHost(CloudHost, "", serviceHosts)
	w.network.addHost(usersHost, "", userHosts)
	w.cloud = newCloud(w)
	return w
}

// Latency is the delay between two zones of the world, "" being that of the
// regional services, without what varies.
func (w *Environment) Latency(a, b string) int64 { return w.Network.latency(a, b) }

// The names of hosts that are neither controllers nor machines.
const (
	StateHost = "state"
	CloudHost = "cloud"
	usersHost = "users"
)

// ControllerName is a controller's.
func ControllerName(i int) string { return fmt.Sprintf("node-%d", i) }

// ControllerZone is the zone of a controller.
func (c *Config) ControllerZone(i int) string { return c.Params.Zones[i%len(c.Params.Zones)] }

// Expectations are what the rules of a world are judged by.
func (c *Config) Expectations() history.Expectations {
	t := history.Expectations{Jobs: map[string]*wire.Job{}, Sweeps: map[string][]string{}, Teams: map[string]history.Limits{}, CancelWithin: config.MicrosOf(c.Params.Workers.CancelS)}
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
func (w *Environment) Next() (int64, bool) { return w.timers.Next() }

// Step lets everything happen that is due, takes a message, which may be nil,
// and returns what reaches controllers.
func (w *Environment) Step(now int64, msg any) []any {
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
	case AskAnswer:
		if a := w.pendingAsks[m.ID]; a != nil {
			delete(w.pendingAsks, m.ID)
			w.network.send(a.to, a.from, func() { a.answer(m) }, func() { a.answer(AskAnswer{ID: m.ID}) })
		}
	case ControllerUp:
		if n := w.controller(m.Controller); n != nil && n.up != m.Up {
			n.up = m.Up
			w.record(history.Event{Kind: history.ControllerChanged, Node: m.Controller, State: map[bool]string{true: "up", false: "down"}[m.Up]})
		}
	default:
		w.worker(m)
	}
	out := w.outbox
	w.outbox = nil
	return out
}

func (w *Environment) emit(e any) { w.outbox = append(w.outbox, e) }

func (w *Environment) after(d int64, f func()) { w.timers.Add(w.now+d, f) }

// afterUnlessReplanned calls f after d, unless plan has been counted on by then: whoever has
// one plan at a time, or takes it back, counts.
func (w *Environment) afterUnlessReplanned(plan *int, d int64, f func()) {
	*plan++
	made := *plan
	w.after(max(d, 0), func() {
		if *plan == made {
			f()
		}
	})
}

func (w *Environment) record(e history.Event) {
	if w.Record != nil {
		e.At = w.now
		w.Record(e)
	}
}

func (w *Environment) recordOccurrence(why string) {
	w.record(history.Event{Kind: history.Occurred, Reason: why})
}

func (w *Environment) controller(name string) *controller {
	if i := slices.IndexFunc(w.controllers, func(n *controller) bool { return n.name == name }); i >= 0 {
		return w.controllers[i]
	}
	return nil
}

// call carries a controller's request to where it goes, and the answer back.
func (w *Environment) call(c Call) {
	if m := w.cloud.machine(c.To); c.From == "" && m != nil {
		// On sockets nobody says who sends orders to a machine: it is taken
		// for the controller that the machine reports to.
		c.From = w.controllers[m.controllerIndex].name
	}
	answer := func(status int, body any) {
		w.network.send(c.To, c.From, func() { w.emit(Answer{c.ID, c.From, status, body}) }, func() { w.emit(Answer{ID: c.ID, To: c.From}) })
	}
	broken := func() { w.emit(Answer{ID: c.ID, To: c.From}) }
	w.network.send(c.From, c.To, func() {
		switch {
		case c.To == StateHost:
			w.state.call(c.From, c.Request, answer)
		case c.To == CloudHost:
			w.cloud.call(c.Request, answer)
		case w.controller(c.To) != nil:
			w.ask(c.From, c.To, c.Request, func(t AskAnswer) { w.emit(Answer{c.ID, c.From, t.Status, t.Body}) })
		default:
			if m := w.cloud.machine(c.To); m == nil || !m.handleDirect(c.Request, answer) {
				w.after(w.network.delay(c.To, c.From), broken)
			}
		}
	}, broken)
}

// ask brings a request to a controller at once; f gets its answer, after the
// network's delay, unless nothing ever comes.
func (w *Environment) ask(from, to string, request any, f func(AskAnswer)) {
	if n := w.controller(to); n == nil || !n.up {
		w.after(w.network.delay(to, from), func() { f(AskAnswer{}) })
		return
	}
	w.nextID++
	w.pendingAsks[w.nextID] = &pendingAsk{from, to, f}
	w.emit(Ask{w.nextID, from, to, request})
}

// loseAnswer says whether an answer is lost on its way, and how much later the request
// is executed than it should be.
func (w *Environment) loseAnswer() (lost bool, late int64) {
	if w.AnswerLoss == 0 || w.rng.Float64() >= w.AnswerLoss {
		return false, 0
	}
	if w.rng.IntN(2) == 0 {
		late = w.rng.Int64N(20 * second)
	}
	return true, late
}

// jitter is a random time round d, from lo to hi times as long.
func (w *Environment) jitter(d int64, lo, hi float64) int64 {
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
