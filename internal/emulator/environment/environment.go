// Package environment is a model of everything that zinclb's controllers deal with:
// the state service, the cloud, workers, users with their balancer, and the
// network between all of them, as the published protocol has it, with faults.
//
// It does no input or output: Step takes the time and what a controller sent,
// and returns what reaches controllers. Drivers run it in simulated time or on
// sockets. A seed and the same messages always give the same result.
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

// Config describes an environment. Times are whole microseconds.
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
	// StateDelay and CloudDelay are the service times, without the network's delay.
	StateDelay, CloudDelay int64
	// RestartTime is how long a controller that has ended takes to restart.
	RestartTime int64
	// AnswerLoss is the share of requests to state service and cloud whose answer is
	// lost; half of these are executed late.
	AnswerLoss float64
	Boot       Boot
	Spot       Spot
	// ClockDrift is how far workers' clocks may be off, as a share.
	ClockDrift float64
	// StrayRequestRate is how many requests a second ask about a job that nobody
	// submitted.
	StrayRequestRate float64
	// RemoteWorkers: the machines' workers run in other processes, each of which
	// has an environment of its own, see NewWorkerEnvironment.
	RemoteWorkers bool
}

// Capacity is how many machines the cloud has of a type in a zone: on-demand ones and spot
// ones.
type Capacity struct {
	Type, Zone  string
	Count, Spot int
}

// Machines are up at the start.
type Machines struct {
	Type, Zone string
	Spot       bool
	Count      int
}

// Job is submitted at At; Run is how long its tasks really take, each of an array
// RunIncrement longer than the last. Cancel is when its user cancels it, 0 for never.
type Job struct {
	At, Run, Cancel int64
	RunIncrement    int64
	Spec            wire.Job
	// AfterDependencies: it is submitted when the jobs that it depends on are over.
	AfterDependencies bool
}

// Sweep is submitted at At as a sweep file, so many Times by independent users. Jobs are its
// runs, as users of the sweep would expand it.
type Sweep struct {
	At, Run, Cancel int64
	Times           int
	ID, Text        string
	Jobs            []wire.Job
	// Values are what the runs were made of, as JSON.
	Values []string
}

// Boot describes how machines boot.
type Boot struct {
	// Slow is the share that takes five times as long, Never the share that
	// stays booting.
	Slow, Never float64
}

// Spot describes how spot machines are reclaimed.
type Spot struct {
	PerHour, Silent float64
	Notice          int64
}

// The messages of a driver to the environment, besides Fault.
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
	// ControllerUp says whether a controller's process is running.
	ControllerUp struct {
		Controller string
		Up         bool
	}
)

// The messages of the environment to a driver.
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
	// Kill ends a controller's process.
	Kill struct{ Controller string }
	// Start starts a controller's process.
	Start struct{ Controller string }
	// Freeze suspends a process with On and resumes it without.
	Freeze struct {
		Controller string
		On         bool
	}
	// Machine is one that is up or gone, for drivers that give it an address or
	// run its worker. Reason is why it is gone.
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

// controller is a controller as the environment sees it.
type controller struct {
	name, zone  string
	up, refused bool
	frozen      bool
}

type pendingAsk struct {
	from, to string
	answer   func(AskAnswer)
}

// New makes an environment at time 0.
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

// newEnvironment makes an environment of hosts alone.
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

// Latency is the delay between two zones without jitter, "" being the zone of the regional
// services.
func (env *Environment) Latency(a, b string) int64 { return env.Network.latency(a, b) }

// The names of hosts that are neither controllers nor machines.
const (
	StateHost = "state"
	CloudHost = "cloud"
	usersHost = "users"
)

// The prefixes of the state service's keys under which controllers keep jobs and their ends.
const (
	jobKeyPrefix = "zinclb/job/"
	endKeyPrefix = "zinclb/end/"
)

// ControllerName is a controller's.
func ControllerName(i int) string { return fmt.Sprintf("node-%d", i) }

// ControllerZone is the zone of a controller.
func (c *Config) ControllerZone(i int) string { return c.Params.Zones[i%len(c.Params.Zones)] }

// Expectations are what the rules are checked against.
func (c *Config) Expectations() history.Expectations {
	t := history.Expectations{
		Jobs:         map[string]*wire.Job{},
		Sweeps:       map[string][]string{},
		Teams:        map[string]history.Limits{},
		Stored:       history.StoredKeys{Jobs: jobKeyPrefix, Ends: endKeyPrefix},
		CancelWithin: config.MicrosOf(c.Params.Workers.CancelS),
	}
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

// Next is when the next timer is due.
func (env *Environment) Next() (int64, bool) { return env.timers.Next() }

// Step runs all timers that are due, takes a message, which may be nil, and returns what
// reaches controllers.
func (env *Environment) Step(now int64, msg any) []any {
	for {
		at, ok := env.timers.Next()
		if !ok || at > now {
			break
		}
		env.now = max(env.now, at)
		env.timers.Take()()
	}
	env.now = max(env.now, now)
	switch m := msg.(type) {
	case nil:
	case Call:
		env.call(m)
	case AskAnswer:
		if a := env.pendingAsks[m.ID]; a != nil {
			delete(env.pendingAsks, m.ID)
			env.network.send(a.to, a.from, func() { a.answer(m) }, func() { a.answer(AskAnswer{ID: m.ID}) })
		}
	case ControllerUp:
		if n := env.controller(m.Controller); n != nil && n.up != m.Up {
			n.up = m.Up
			env.record(history.Event{Kind: history.ControllerChanged, Node: m.Controller, State: map[bool]string{true: "up", false: "down"}[m.Up]})
		}
	default:
		env.worker(m)
	}
	out := env.outbox
	env.outbox = nil
	return out
}

func (env *Environment) emit(e any) { env.outbox = append(env.outbox, e) }

func (env *Environment) after(d int64, f func()) { env.timers.Add(env.now+d, f) }

// afterUnlessReplanned calls f after d, unless plan has been incremented by then: whoever
// replaces or withdraws the plan increments it.
func (env *Environment) afterUnlessReplanned(plan *int, d int64, f func()) {
	*plan++
	made := *plan
	env.after(max(d, 0), func() {
		if *plan == made {
			f()
		}
	})
}

func (env *Environment) record(e history.Event) {
	if env.Record != nil {
		e.At = env.now
		env.Record(e)
	}
}

func (env *Environment) recordOccurrence(why string) {
	env.record(history.Event{Kind: history.Occurred, Reason: why})
}

func (env *Environment) controller(name string) *controller {
	if i := slices.IndexFunc(env.controllers, func(n *controller) bool { return n.name == name }); i >= 0 {
		return env.controllers[i]
	}
	return nil
}

// call carries a controller's request to its destination, and the answer back.
func (env *Environment) call(c Call) {
	if m := env.cloud.machine(c.To); c.From == "" && m != nil {
		// On sockets the sender of commands to a machine is unknown: it is taken
		// for the controller that the machine reports to.
		c.From = env.controllers[m.controllerIndex].name
	}
	answer := func(status int, body any) {
		env.network.send(c.To, c.From, func() { env.emit(Answer{c.ID, c.From, status, body}) }, func() { env.emit(Answer{ID: c.ID, To: c.From}) })
	}
	broken := func() { env.emit(Answer{ID: c.ID, To: c.From}) }
	env.network.send(c.From, c.To, func() {
		switch {
		case c.To == StateHost:
			env.state.call(c.From, c.Request, answer)
		case c.To == CloudHost:
			env.cloud.call(c.Request, answer)
		case env.controller(c.To) != nil:
			env.ask(c.From, c.To, c.Request, func(t AskAnswer) { env.emit(Answer{c.ID, c.From, t.Status, t.Body}) })
		default:
			if m := env.cloud.machine(c.To); m == nil || !m.handleDirect(c.Request, answer) {
				env.after(env.network.delay(c.To, c.From), broken)
			}
		}
	}, broken)
}

// ask delivers a request to a controller at once; f gets the answer, if there is one, after
// the network's delay.
func (env *Environment) ask(from, to string, request any, f func(AskAnswer)) {
	if n := env.controller(to); n == nil || !n.up {
		env.after(env.network.delay(to, from), func() { f(AskAnswer{}) })
		return
	}
	env.nextID++
	env.pendingAsks[env.nextID] = &pendingAsk{from, to, f}
	env.emit(Ask{env.nextID, from, to, request})
}

// loseAnswer says whether an answer is lost on its way, and how much later the request
// is executed than it should be.
func (env *Environment) loseAnswer() (lost bool, late int64) {
	if env.AnswerLoss == 0 || env.rng.Float64() >= env.AnswerLoss {
		return false, 0
	}
	if env.rng.IntN(2) == 0 {
		late = env.rng.Int64N(20 * second)
	}
	return true, late
}

// jitter is a random time round d, from lo to hi times as long.
func (env *Environment) jitter(d int64, lo, hi float64) int64 {
	return int64(float64(d) * (lo + env.rng.Float64()*(hi-lo)))
}

// bucket is a token bucket of so many a second, with a burst of some seconds' worth.
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
