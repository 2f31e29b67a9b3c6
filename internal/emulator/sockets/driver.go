// Package sockets runs the emulated environment on loopback for real controllers: it serves
// the state service, the cloud, every worker and the load balancer, proxies the connections
// between controllers, and starts, suspends and kills the controllers.
package sockets

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Options configure where an environment is served and for which controllers.
type Options struct {
	// Dir is the directory for the settings and logs of the controllers. Port is the port
	// of the load balancer; the ports of the controllers follow it.
	Dir  string
	Port int
	// Binaries are the programs of the controllers, assigned round-robin. If there are
	// none, the controllers are started by hand.
	Binaries []string
	// Args are the arguments of the programs before --config.
	Args []string
	// OnProgress, if set, is called every ten seconds.
	OnProgress func(Progress)
	// Workers, if set, runs the workers of the machines in other processes.
	Workers Workers
	// Meter, if set, counts what controllers and workers send and receive.
	Meter *meter.Meter
	// OnEvent, if set, is called with each event. The driver then keeps no history.
	OnEvent func(history.Event)
	// OnTokenAccepted, if set, is called when a worker has received an answer with a higher
	// fencing token than all earlier answers to this worker.
	OnTokenAccepted func(token uint64, at int64)
}

// Workers runs the workers of machines outside the driver's process. Its methods, except
// WaitEnded, must not block.
type Workers interface {
	// UpdateMachine starts the worker of a machine that is up, and stops the worker of a
	// machine that is not.
	UpdateMachine(environment.Machine)
	// InjectFault injects a fault into a worker.
	InjectFault(environment.WorkerFault)
	// Address returns the address of a worker.
	Address(machine string) string
	// WaitEnded waits until the workers of released machines have stopped.
	WaitEnded(machines []string)
}

// Progress is the progress of a run.
type Progress struct {
	Now, Length time.Duration
	// Events is the number of recorded events. TasksStarted is the number of TaskEntered events:
	// tasks of gangs count as started once their images are on their machines.
	Events, JobsAccepted, TasksCompleted, TasksStarted int
}

// Driver serves an environment, which only the driver's actor accesses.
type Driver struct {
	Options
	config       environment.Config
	env          *environment.Environment
	start        time.Time
	inbox        chan func()
	calls        map[uint64]func(int, any)
	nextID       uint64
	controllers  []*controllerProcess
	history      []history.Event
	expectations history.Expectations
	progress     Progress

	// lateness is the histogram of the delays with which the environment's timers ran, in
	// microseconds.
	lateness *hdrhistogram.Histogram
	// workersOnly is set if the driver serves only workers, see NewWorkerDriver.
	workersOnly bool
	// reportClients holds the HTTP client with which each worker reports, if each has its
	// own. workerTokens holds the highest fencing token that each worker has received.
	reportClients map[string]*http.Client
	workerTokens  map[string]uint64

	mu        sync.Mutex // guards endpoints, which HTTP handlers read
	endpoints map[string]endpoint

	userClient, peerReportClient *http.Client
	stop                         chan struct{}
	stopped                      sync.WaitGroup
	closers                      []func()
}

// inboxSize is the maximum number of calls queued for the actor.
const inboxSize = 8192

// New returns a driver of an environment. It serves nothing before Run.
func New(cfg environment.Config, options Options) (*Driver, error) {
	d := newDriver(cfg, options)
	env, err := environment.New(cfg, d.onEvent)
	if err != nil {
		return nil, err
	}
	d.env = env
	return d, os.MkdirAll(options.Dir, 0o755)
}

func newDriver(cfg environment.Config, options Options) *Driver {
	return &Driver{
		Options: options, config: cfg, inbox: make(chan func(), inboxSize), calls: map[uint64]func(int, any){}, endpoints: map[string]endpoint{},
		stop: make(chan struct{}), expectations: cfg.Expectations(), userClient: newClient(true), peerReportClient: newClient(false),
		lateness: hdrhistogram.New(1, maxTrackedLateness, 3),
	}
}

// maxTrackedLateness is the highest lateness that can be recorded, in microseconds.
const maxTrackedLateness = 600_000_000

// onEvent records an event of the environment and updates the progress.
func (d *Driver) onEvent(e history.Event) {
	if d.OnEvent != nil {
		d.OnEvent(e)
		return
	}
	if d.Workers != nil && e.Kind == history.StateChanged {
		// Large runs have very many of these events. Without them, the rule LostEnd checks nothing.
		return
	}
	d.history = append(d.history, e)
	switch {
	case e.Kind == history.TaskEntered:
		d.progress.TasksStarted++
	case e.Kind == history.ResponseReceived && e.Op == history.Submit && e.Status == 201:
		d.progress.JobsAccepted++
	case e.Kind == history.TaskCompleted:
		d.progress.TasksCompleted++
	}
}

// AddEvents records events of workers in other processes.
func (d *Driver) AddEvents(events []history.Event) {
	d.onActor(func() {
		for _, e := range events {
			d.onEvent(e)
		}
	})
}

// Lateness summarizes the delays with which an environment's timers ran, in microseconds.
type Lateness struct{ Median, P99, Worst int64 }

// Lateness returns the lateness of the timers since the start.
func (d *Driver) Lateness() Lateness {
	lateness, _ := askActor(d, func() Lateness {
		return Lateness{d.lateness.ValueAtQuantile(50), d.lateness.ValueAtQuantile(99), d.lateness.Max()}
	})
	return lateness
}

// StoredValue returns the value of a key in the state service, or nil if the key does not exist.
func (d *Driver) StoredValue(key string) []byte {
	value, _ := askActor(d, func() []byte { return d.env.StoredValue(key) })
	return value
}

// Start returns the start time of the environment.
func (d *Driver) Start() time.Time { return d.start }

// now returns the time since the start, in microseconds.
func (d *Driver) now() int64 { return time.Since(d.start).Microseconds() }

// onActor queues f for the actor. It returns false if the driver has stopped.
func (d *Driver) onActor(f func()) bool {
	select {
	case d.inbox <- f:
		return true
	case <-d.stop:
		return false
	}
}

// askActor has the actor call f and returns the result. ok is false if the driver has
// stopped.
func askActor[T any](d *Driver, f func() T) (result T, ok bool) {
	results := make(chan T, 1)
	if !d.onActor(func() { results <- f() }) {
		return result, false
	}
	select {
	case result = <-results:
		return result, true
	case <-d.stop:
		return result, false
	}
}

// Run serves the environment until its length has elapsed or end is closed, and returns its
// history.
func (d *Driver) Run(end <-chan struct{}) ([]history.Event, error) {
	defer d.close()
	if err := d.listen(); err != nil {
		return nil, err
	}
	if d.start.IsZero() {
		d.start = time.Now()
	}
	for _, process := range d.controllers {
		process.start()
	}
	d.loop(end)
	d.env.Close()
	if d.Workers != nil {
		// Events of other processes arrive later than the driver's own.
		slices.SortStableFunc(d.history, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	}
	return d.history, nil
}

// SetStart sets the start time of the environment, for processes that share one environment.
func (d *Driver) SetStart(t time.Time) { d.start = t }

// loop is the actor. It runs until the environment's length has elapsed or end is closed.
func (d *Driver) loop(end <-chan struct{}) {
	lengthTimer := time.NewTimer(time.Duration(d.config.Length) * time.Microsecond)
	defer lengthTimer.Stop()
	progressTicker := time.NewTicker(10 * time.Second)
	defer progressTicker.Stop()
	nextTimer := time.NewTimer(0)
	defer nextTimer.Stop()
	for {
		if at, ok := d.env.Next(); ok {
			nextTimer.Reset(max(time.Duration(at-d.now())*time.Microsecond, 0))
		}
		select {
		case f := <-d.inbox:
			f()
			for more := true; more; { // run all queued calls before reading the clock again
				select {
				case f := <-d.inbox:
					f()
				default:
					more = false
				}
			}
		case <-nextTimer.C:
			if at, ok := d.env.Next(); ok && at <= d.now() {
				_ = d.lateness.RecordValue(min(d.now()-at, maxTrackedLateness)) // cannot fail: the value is within the histogram's range
			}
			d.step(nil)
		case <-progressTicker.C:
			if d.OnProgress != nil {
				d.progress.Now, d.progress.Length, d.progress.Events = time.Since(d.start), time.Duration(d.config.Length)*time.Microsecond, len(d.history)
				d.OnProgress(d.progress)
			}
		case <-lengthTimer.C:
			return
		case <-end:
			return
		}
	}
}

// Expectations returns the expectations that the history is checked against, including the jobs
// that external users submitted.
func (d *Driver) Expectations() history.Expectations { return d.expectations }

// step passes a message to the environment and executes the effects that it returns.
func (d *Driver) step(msg any) {
	for _, e := range d.env.Step(d.now(), msg) {
		switch e := e.(type) {
		case environment.Answer:
			if done := d.calls[e.ID]; done != nil {
				delete(d.calls, e.ID)
				done(e.Status, e.Body)
			}
		case environment.Ask:
			if process := d.controller(e.To); process != nil {
				d.sendToController(process, e)
			}
		case environment.Kill:
			d.controller(e.Controller).kill()
		case environment.Start:
			d.controller(e.Controller).start()
		case environment.Freeze:
			d.controller(e.Controller).setSuspended(e.On)
		case environment.Machine:
			d.updateMachine(e)
		case environment.WorkerFault:
			if d.Workers != nil {
				d.Workers.InjectFault(e)
			}
		}
	}
}

func (d *Driver) controller(name string) *controllerProcess {
	for _, candidate := range d.controllers {
		if candidate.name == name {
			return candidate
		}
	}
	return nil
}

// call passes a controller's request to the environment and waits for the answer, or until gone is
// closed because the caller has disconnected. Status 0 stands for a broken connection.
func (d *Driver) call(from, to string, request any, gone <-chan struct{}) (int, any, error) {
	type answer struct {
		status int
		body   any
	}
	answers := make(chan answer, 1)
	ok := d.onActor(func() {
		d.nextID++
		d.calls[d.nextID] = func(status int, body any) { answers <- answer{status, body} }
		d.step(environment.Call{ID: d.nextID, From: from, To: to, Request: request})
	})
	if !ok {
		return 0, nil, errStopped
	}
	select {
	case received := <-answers:
		return received.status, received.body, nil
	case <-gone:
		return 0, nil, errCallerGone
	case <-d.stop:
		return 0, nil, errStopped
	}
}

var (
	errStopped    = errors.New("emulator stopped")
	errCallerGone = errors.New("caller disconnected")
)

// InjectFault starts a fault immediately.
func (d *Driver) InjectFault(f environment.Fault) error {
	err, ok := askActor(d, func() error {
		err := d.env.InjectFault(f)
		d.step(nil)
		return err
	})
	if !ok {
		return errStopped
	}
	return err
}

func (d *Driver) close() {
	close(d.stop)
	for _, process := range d.controllers {
		process.kill()
	}
	for _, closeService := range d.closers {
		closeService()
	}
	d.mu.Lock()
	for _, e := range d.endpoints {
		e.close()
	}
	d.mu.Unlock()
	d.stopped.Wait()
}

// addJobs makes the descriptions of external users' jobs known to workers. It must be called by
// the actor.
func (d *Driver) addJobs(jobs ...wire.Job) {
	for _, j := range jobs {
		d.env.AddExternalJob(j)
		if d.expectations.Jobs[j.ID] == nil {
			d.expectations.Jobs[j.ID] = &j
		}
	}
}

// SettingsPath returns the path of a controller's settings file.
func (d *Driver) SettingsPath(i int) string {
	return filepath.Join(d.Dir, environment.ControllerName(i)+".json")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
