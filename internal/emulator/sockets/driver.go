// Package sockets runs the emulated environment on loopback, for real controllers: it serves
// the state service, the cloud, every worker and the load balancer, proxies the connections
// between controllers, and starts, suspends and ends them.
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

// Options say where and for which controllers an environment is served.
type Options struct {
	// Dir gets the controllers' settings and logs, Port is the balancer's;
	// those of the controllers follow it.
	Dir  string
	Port int
	// Binaries are the controllers' programs, given out in turn. Without any,
	// controllers are started by hand.
	Binaries []string
	// Args come before --config.
	Args []string
	// OnProgress, if set, is called every ten seconds.
	OnProgress func(Progress)
	// Workers, if set, runs the machines' workers in other processes.
	Workers Workers
	// Meter, if set, counts what controllers and workers send and get.
	Meter *meter.Meter
	// OnEvent, if set, is called with each event; none is kept.
	OnEvent func(history.Event)
	// OnTokenAccepted, if set, is called when a worker has taken an answer with a higher
	// token than any before.
	OnTokenAccepted func(token uint64, at int64)
}

// Workers runs machines' workers outside the driver's process. Its methods except
// WaitEnded must not block.
type Workers interface {
	// Machine begins or ends a worker.
	Machine(environment.Machine)
	// Fault injects a fault into a worker.
	Fault(environment.WorkerFault)
	// Address is the address of a worker.
	Address(machine string) string
	// WaitEnded waits until the workers of machines that are gone have ended.
	WaitEnded(machines []string)
}

// Progress is how far a run is.
type Progress struct {
	Now, Length                      time.Duration
	Events, Accepted, Done, Finished int
}

// Driver serves an environment, which only its actor touches.
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

	// lateness is how late the environment's timers ran, in microseconds.
	lateness *hdrhistogram.Histogram
	// workersOnly: this process has some machines' workers and nothing else.
	workersOnly bool
	// reportClients are the clients by which workers report, where each has its own, and
	// workerTokens the highest fencing token that each has had in an answer.
	reportClients map[string]*http.Client
	workerTokens  map[string]uint64

	mu        sync.Mutex // guards what follows, which handlers read
	endpoints map[string]endpoint

	userClient, peerReportClient *http.Client
	stop                         chan struct{}
	stopped                      sync.WaitGroup
	closers                      []func()
}

// inboxSize bounds the queue of the actor.
const inboxSize = 8192

// New makes a driver of an environment; nothing is served yet.
func New(cfg environment.Config, o Options) (*Driver, error) {
	d := newDriver(cfg, o)
	w, err := environment.New(cfg, d.onEvent)
	if err != nil {
		return nil, err
	}
	d.env = w
	return d, os.MkdirAll(o.Dir, 0o755)
}

func newDriver(cfg environment.Config, o Options) *Driver {
	return &Driver{
		Options: o, config: cfg, inbox: make(chan func(), inboxSize), calls: map[uint64]func(int, any){}, endpoints: map[string]endpoint{},
		stop: make(chan struct{}), expectations: cfg.Expectations(), userClient: client(true), peerReportClient: client(false),
		lateness: hdrhistogram.New(1, maxTrackedLateness, 3),
	}
}

// maxTrackedLateness bounds the lateness that is recorded, in microseconds.
const maxTrackedLateness = 600_000_000

// onEvent records an event of the environment.
func (d *Driver) onEvent(e history.Event) {
	if d.OnEvent != nil {
		d.OnEvent(e)
		return
	}
	if d.Workers != nil && e.Kind == history.StateChanged {
		return // a large run stores a great deal, and no rule needs it
	}
	d.history = append(d.history, e)
	switch {
	case e.Kind == history.TaskEntered:
		d.progress.Finished++
	case e.Kind == history.ResponseReceived && e.Op == history.Submit && e.Status == 201:
		d.progress.Accepted++
	case e.Kind == history.TaskCompleted:
		d.progress.Done++
	}
}

// AddEvents adds events of workers in other processes.
func (d *Driver) AddEvents(events []history.Event) {
	d.onActor(func() {
		for _, e := range events {
			d.onEvent(e)
		}
	})
}

// Lateness is how late the timers of an environment ran, in microseconds.
type Lateness struct{ Median, P99, Worst int64 }

// Lateness asks the driver's actor how late its timers have run.
func (d *Driver) Lateness() Lateness {
	lateness, _ := askActor(d, func() Lateness {
		return Lateness{d.lateness.ValueAtQuantile(50), d.lateness.ValueAtQuantile(99), d.lateness.Max()}
	})
	return lateness
}

// StoredValue asks for the value of a key of the state service, nil if it is not there.
func (d *Driver) StoredValue(key string) []byte {
	value, _ := askActor(d, func() []byte { return d.env.StoredValue(key) })
	return value
}

// Start is when the environment's time began.
func (d *Driver) Start() time.Time { return d.start }

// now is the time since the start.
func (d *Driver) now() int64 { return time.Since(d.start).Microseconds() }

// onActor has the actor call f; false if the driver has stopped.
func (d *Driver) onActor(f func()) bool {
	select {
	case d.inbox <- f:
		return true
	case <-d.stop:
		return false
	}
}

// askActor has the driver's actor call f and waits for the result; false if the driver has
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

// Run serves the environment until its length is over or the channel is closed, and
// returns its history.
func (d *Driver) Run(end <-chan struct{}) ([]history.Event, error) {
	defer d.close()
	if err := d.listen(); err != nil {
		return nil, err
	}
	if d.start.IsZero() {
		d.start = time.Now()
	}
	for _, n := range d.controllers {
		n.begin()
	}
	d.loop(end)
	d.env.Close()
	if d.Workers != nil {
		// Events of other processes come a little later than the driver's own.
		slices.SortStableFunc(d.history, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	}
	return d.history, nil
}

// SetStart sets when the environment's time begins, for several processes that share it.
func (d *Driver) SetStart(t time.Time) { d.start = t }

// loop is the actor; it runs until the environment's length is over or the channel is closed.
func (d *Driver) loop(end <-chan struct{}) {
	over := time.NewTimer(time.Duration(d.config.Length) * time.Microsecond)
	defer over.Stop()
	report := time.NewTicker(10 * time.Second)
	defer report.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		if at, ok := d.env.Next(); ok {
			due.Reset(max(time.Duration(at-d.now())*time.Microsecond, 0))
		}
		select {
		case f := <-d.inbox:
			f()
			for more := true; more; { // all that wait, before the next look at the clock
				select {
				case f := <-d.inbox:
					f()
				default:
					more = false
				}
			}
		case <-due.C:
			if at, ok := d.env.Next(); ok && at <= d.now() {
				_ = d.lateness.RecordValue(min(d.now()-at, maxTrackedLateness)) // within its bounds
			}
			d.step(nil)
		case <-report.C:
			if d.OnProgress != nil {
				d.progress.Now, d.progress.Length, d.progress.Events = time.Since(d.start), time.Duration(d.config.Length)*time.Microsecond, len(d.history)
				d.OnProgress(d.progress)
			}
		case <-over.C:
			return
		case <-end:
			return
		}
	}
}

// Expectations are what the rules are checked against, with the jobs that came from
// outside.
func (d *Driver) Expectations() history.Expectations { return d.expectations }

// step gives the environment a message and carries out the effects that it returns.
func (d *Driver) step(msg any) {
	for _, e := range d.env.Step(d.now(), msg) {
		switch e := e.(type) {
		case environment.Answer:
			if f := d.calls[e.ID]; f != nil {
				delete(d.calls, e.ID)
				f(e.Status, e.Body)
			}
		case environment.Ask:
			if n := d.controller(e.To); n != nil {
				d.sendToController(n, e)
			}
		case environment.Kill:
			d.controller(e.Controller).kill()
		case environment.Start:
			d.controller(e.Controller).begin()
		case environment.Freeze:
			d.controller(e.Controller).freeze(e.On)
		case environment.Machine:
			d.machine(e)
		case environment.WorkerFault:
			if d.Workers != nil {
				d.Workers.Fault(e)
			}
		}
	}
}

func (d *Driver) controller(name string) *controllerProcess {
	for _, n := range d.controllers {
		if n.name == name {
			return n
		}
	}
	return nil
}

// call sends a controller's request into the environment and waits for the answer, or for
// the caller to go away. Status 0 is a broken connection.
func (d *Driver) call(from, to string, request any, gone <-chan struct{}) (int, any, error) {
	type answer struct {
		status int
		body   any
	}
	ch := make(chan answer, 1)
	ok := d.onActor(func() {
		d.nextID++
		d.calls[d.nextID] = func(status int, body any) { ch <- answer{status, body} }
		d.step(environment.Call{ID: d.nextID, From: from, To: to, Request: request})
	})
	if !ok {
		return 0, nil, errStopped
	}
	select {
	case a := <-ch:
		return a.status, a.body, nil
	case <-gone:
		return 0, nil, errCallerGone
	case <-d.stop:
		return 0, nil, errStopped
	}
}

var (
	errStopped    = errors.New("the emulator has stopped")
	errCallerGone = errors.New("the caller has gone")
)

// InjectFault begins a fault now.
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
	for _, n := range d.controllers {
		n.kill()
	}
	for _, f := range d.closers {
		f()
	}
	d.mu.Lock()
	for _, e := range d.endpoints {
		e.close()
	}
	d.mu.Unlock()
	d.stopped.Wait()
}

// addJobs gives workers the descriptions of jobs from outside; the actor calls it.
func (d *Driver) addJobs(jobs ...wire.Job) {
	for _, j := range jobs {
		d.env.AddExternalJob(j)
		if d.expectations.Jobs[j.ID] == nil {
			d.expectations.Jobs[j.ID] = &j
		}
	}
}

// SettingsPath is where a controller's settings are.
func (d *Driver) SettingsPath(i int) string {
	return filepath.Join(d.Dir, environment.ControllerName(i)+".json")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
