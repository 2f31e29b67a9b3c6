// Package environment models everything that zinclb's controllers communicate with: the state
// service, the cloud, workers, users behind a load balancer, and the network between them. It
// follows the published protocol and injects faults.
//
// The package performs no I/O: Step takes the time and a message from a controller, and
// returns the messages to controllers. Drivers run it in simulated time or on sockets. The
// same seed and messages always give the same result.
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
	Machines []InitialMachines // running at the start
	Jobs     []Job
	Sweeps   []Sweep
	Faults   []Fault
	Network  Network
	// StateDelay and CloudDelay are the service times, without the network delay.
	StateDelay, CloudDelay int64
	// RestartTime is the time until a controller that has exited is started again.
	RestartTime int64
	// AnswerLoss is the share of requests to the state service and the cloud whose answer
	// is lost; half of these requests are also executed late.
	AnswerLoss float64
	Boot       Boot
	Spot       Spot
	// ClockDrift is the maximum relative error of the rate of workers' clocks.
	ClockDrift float64
	// StrayRequestRate is the rate of polls for jobs that were never submitted, per second.
	StrayRequestRate float64
	// RemoteWorkers is set if the machines' workers run in other processes, each of which
	// has an environment of its own, see NewWorkerEnvironment.
	RemoteWorkers bool
}

// Capacity is the number of machines of a type that the cloud has in a zone: Count on-demand
// machines and Spot spot machines.
type Capacity struct {
	Type, Zone  string
	Count, Spot int
}

// InitialMachines describes machines that are running at the start.
type InitialMachines struct {
	Type, Zone string
	Spot       bool
	Count      int
}

// Job is a job that is submitted at time At. Run is the actual duration of its tasks; each
// task of an array takes RunIncrement longer than the one before. Cancel is the time at which
// its user cancels it, 0 for never.
type Job struct {
	At, Run, Cancel int64
	RunIncrement    int64
	Spec            wire.Job
	// AfterDependencies is set if the job is submitted only once the jobs that it depends
	// on have ended.
	AfterDependencies bool
}

// Sweep is a sweep file that is submitted at time At by Times independent users. Jobs are its
// runs, as a user would expand the sweep.
type Sweep struct {
	At, Run, Cancel int64
	Times           int
	ID, Text        string
	Jobs            []wire.Job
	// Values are the parameter values of the runs, as JSON.
	Values []string
}

// Boot describes how machines boot.
type Boot struct {
	// Slow is the share of machines that take five times as long to boot, Never the share
	// that never finishes booting.
	Slow, Never float64
}

// Spot describes how spot machines are reclaimed: PerHour is the rate for each machine,
// SilentShare the share of reclaims without notice, and Notice the nominal time between notice
// and reclaim.
type Spot struct {
	PerHour, SilentShare float64
	Notice               int64
}

// The messages from a driver to the environment, besides Fault.
type (
	// Call is a request of the controller From to a host: "state", "cloud", a machine or
	// another controller. The response is an Answer.
	Call struct {
		ID       uint64
		From, To string
		Request  any
	}
	// AskAnswer is a controller's response to Ask; Status 0 means that there is none
	// because the controller has exited or does not listen.
	AskAnswer struct {
		ID         uint64
		Status     int
		RetryAfter int // seconds
		Body       any
	}
	// ControllerUp reports whether a controller's process is running.
	ControllerUp struct {
		Controller string
		Up         bool
	}
)

// The messages from the environment to a driver.
type (
	// Answer is the response to a Call; Status 0 means that the connection broke. Some
	// calls never get a response.
	Answer struct {
		ID     uint64
		To     string
		Status int
		Body   any
	}
	// Ask is a request to a controller.
	Ask struct {
		ID       uint64
		From, To string
		Request  any
	}
	// Kill kills a controller's process.
	Kill struct{ Controller string }
	// Start starts a controller's process.
	Start struct{ Controller string }
	// Freeze suspends a controller's process if On is set and resumes it otherwise.
	Freeze struct {
		Controller string
		On         bool
	}
	// Machine reports that a machine is up or gone, for drivers that give it an address or
	// run its worker. Reason says why it is gone.
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
	orders      *rand.Rand // for inAnyOrder
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
	duplicates  duplicateReports
	heldReports heldReports
	// answerCopyShare is the share of workers' answers that are delivered twice.
	answerCopyShare float64
	jobs            map[string]*jobUser
	sweeps          []*sweepUser

	// Record is called with each event as it happens.
	Record func(history.Event)
}

// controller is the state of a controller that the environment tracks.
type controller struct {
	name, zone  string
	up, refused bool // refused: the state service refuses its requests
	frozen      bool
}

type pendingAsk struct {
	from, to string
	answer   func(AskAnswer)
}

// New returns an environment at time 0 that calls record with each event.
func New(c Config, record func(history.Event)) (*Environment, error) {
	env := newEnvironment(c, record)
	env.state = newStateService(env)
	env.balancer = newLoadBalancer(env)
	for _, m := range c.Machines {
		t := env.cloud.machineType(m.Type)
		if t == nil {
			return nil, fmt.Errorf("machines: unknown type %q", m.Type)
		}
		for range m.Count {
			env.cloud.createMachine(t, m.Zone, m.Spot, 0)
		}
	}
	for i := range c.Jobs {
		if err := env.addJob(c.Jobs[i]); err != nil {
			return nil, err
		}
	}
	for _, s := range c.Sweeps {
		if err := env.addSweep(s); err != nil {
			return nil, err
		}
	}
	for i, f := range c.Faults {
		if err := env.schedule(f); err != nil {
			return nil, fmt.Errorf("fault %d: %w", i, err)
		}
	}
	return env, nil
}

// newEnvironment returns an environment with the network, the controllers and the cloud, but
// without the state service, the load balancer, machines, jobs and faults.
func newEnvironment(c Config, record func(history.Event)) *Environment {
	env := &Environment{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), orders: newOrderSource(c.Seed), pendingAsks: map[uint64]*pendingAsk{}, gangs: map[gangKey]*gang{}, jobs: map[string]*jobUser{}, Record: record}
	env.network = newNetwork(env)
	for i := range c.Params.Size {
		added := &controller{name: ControllerName(i), zone: c.Params.Zones[i%len(c.Params.Zones)]}
		env.controllers = append(env.controllers, added)
		env.network.addHost(added.name, added.zone, controllerHosts)
	}
	env.network.addHost(StateHost, "", serviceHosts)
	env.network.addHost(CloudHost, "", serviceHosts)
	env.network.addHost(usersHost, "", userHosts)
	env.cloud = newCloud(env)
	return env
}

// Latency returns the delay between two zones without jitter. The zone "" stands for the hosts
// without a zone: the state service, the cloud and the users.
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

// ControllerName returns the name of the controller with index i.
func ControllerName(i int) string { return fmt.Sprintf("node-%d", i) }

// ControllerZone returns the zone of the controller with index i.
func (c *Config) ControllerZone(i int) string { return c.Params.Zones[i%len(c.Params.Zones)] }

// Expectations returns the jobs, sweeps, limits and machine types that the rules are checked
// against.
func (c *Config) Expectations() history.Expectations {
	expected := history.Expectations{
		Jobs:         map[string]*wire.Job{},
		Sweeps:       map[string][]string{},
		Teams:        map[string]history.Limits{},
		Stored:       history.StoredKeys{Jobs: jobKeyPrefix, Ends: endKeyPrefix},
		CancelWithin: config.MicrosOf(c.Params.Workers.CancelS),
	}
	for i := range c.Jobs {
		expected.Jobs[c.Jobs[i].Spec.ID] = &c.Jobs[i].Spec
	}
	for _, s := range c.Sweeps {
		for i := range s.Jobs {
			expected.Jobs[s.Jobs[i].ID] = &s.Jobs[i]
			expected.Sweeps[history.SweepJob(s.ID)] = append(expected.Sweeps[history.SweepJob(s.ID)], s.Jobs[i].ID)
		}
	}
	expected.Types = map[string]wire.MachineType{}
	for _, machineType := range c.Types {
		expected.Types[machineType.Name] = machineType
	}
	for _, team := range c.Params.Teams {
		expected.Teams[team.Name] = history.Limits{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
	}
	return expected
}

// Next returns the time of the next timer, and whether there is one.
func (env *Environment) Next() (int64, bool) { return env.timers.Next() }

// Step runs all timers that are due, handles a message, which may be nil, and returns the
// messages to the driver.
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
		env.handleWorkerMessage(m)
	}
	out := env.outbox
	env.outbox = nil
	return out
}

func (env *Environment) emit(e any) { env.outbox = append(env.outbox, e) }

func (env *Environment) after(d int64, f func()) { env.timers.Add(env.now+d, f) }

// afterUnlessReplanned calls f after delay, unless *plan has been incremented by then: code that
// replaces or cancels the scheduled call increments *plan.
func (env *Environment) afterUnlessReplanned(plan *int, delay int64, f func()) {
	*plan++
	scheduled := *plan
	env.after(max(delay, 0), func() {
		if *plan == scheduled {
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

// call delivers a controller's request to its destination, and the response back.
func (env *Environment) call(c Call) {
	if m := env.cloud.machine(c.To); c.From == "" && m != nil {
		// On sockets the sender of commands to a machine can be unknown, see
		// connectionOwner in package sockets; assume the controller that the machine
		// reports to.
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

// ask delivers a request to a controller without delay. After the network delay it calls done with
// the response, or with an empty one if the controller is down or the connection breaks. It never
// calls done if a partition drops the response.
func (env *Environment) ask(from, to string, request any, done func(AskAnswer)) {
	if n := env.controller(to); n == nil || !n.up {
		env.after(env.network.delay(to, from), func() { done(AskAnswer{}) })
		return
	}
	env.nextID++
	env.pendingAsks[env.nextID] = &pendingAsk{from, to, done}
	env.emit(Ask{env.nextID, from, to, request})
}

// loseAnswer decides whether the response to a request is lost, and returns the delay of the
// execution of the request.
func (env *Environment) loseAnswer() (lost bool, late int64) {
	if env.AnswerLoss == 0 || env.rng.Float64() >= env.AnswerLoss {
		return false, 0
	}
	if env.rng.IntN(2) == 0 {
		late = env.rng.Int64N(20 * second)
	}
	return true, late
}

// jitter returns a random duration between lo and hi times d.
func (env *Environment) jitter(d int64, lo, hi float64) int64 {
	return int64(float64(d) * (lo + env.rng.Float64()*(hi-lo)))
}

// bucket is a token bucket for rate limits; take sets its rate and burst.
type bucket struct {
	level float64
	at    int64
}

// take takes n tokens and reports whether there were enough; otherwise it takes none. The
// bucket refills with rate tokens a second and holds those of burst seconds.
func (b *bucket) take(now int64, rate, burst, n float64) bool {
	b.level = min(b.level+float64(now-b.at)/1e6*rate, rate*burst)
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
