// Package sockets drives the emulated world on loopback, for real controllers:
// it serves the state service, the cloud, every worker and the balancer, carries
// what controllers say to each other, and starts, stops and ends them.
package sockets

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

// Options say where and for whom a world is served.
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
	// Progress, if set, is called every ten seconds.
	Progress func(Progress)
}

// Progress is how far a run is.
type Progress struct {
	Now, Length                 time.Duration
	Events, Accepted, Done, Ran int
}

// Driver serves a world. Its actor alone touches the world.
type Driver struct {
	Options
	cfg     world.Config
	w       *world.World
	start   time.Time
	inbox   chan func()
	calls   map[uint64]func(int, any)
	next    uint64
	nodes   []*proc
	history []history.Event
	terms   history.Terms
	count   Progress

	mu        sync.Mutex // guards what follows, which handlers read
	endpoints map[string]endpoint

	users, beats *http.Client
	stop         chan struct{}
	stopped      sync.WaitGroup
	closers      []func()
}

// inboxSize bounds what waits for the actor.
const inboxSize = 8192

// New makes a driver of a world; nothing is served yet.
func New(cfg world.Config, o Options) (*Driver, error) {
	d := &Driver{Options: o, cfg: cfg, inbox: make(chan func(), inboxSize), calls: map[uint64]func(int, any){}, endpoints: map[string]endpoint{},
		stop: make(chan struct{}), terms: cfg.Terms(), users: client(true), beats: client(false)}
	w, err := world.New(cfg, func(e history.Event) {
		d.history = append(d.history, e)
		switch {
		case e.Kind == history.Entered:
			d.count.Ran++
		case e.Kind == history.Told && e.Op == history.Submit && e.Status == 201:
			d.count.Accepted++
		case e.Kind == history.Completed:
			d.count.Done++
		}
	})
	if err != nil {
		return nil, err
	}
	d.w = w
	return d, os.MkdirAll(o.Dir, 0o755)
}

// now is the time since the world began.
func (d *Driver) now() int64 { return time.Since(d.start).Microseconds() }

// do has the actor call f; false if the driver has stopped.
func (d *Driver) do(f func()) bool {
	select {
	case d.inbox <- f:
		return true
	case <-d.stop:
		return false
	}
}

// Run serves the world until its length is over or the channel is closed, and
// returns its history.
func (d *Driver) Run(end <-chan struct{}) ([]history.Event, error) {
	defer d.close()
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.start = time.Now()
	for _, n := range d.nodes {
		n.begin()
	}
	over := time.NewTimer(time.Duration(d.cfg.Length) * time.Microsecond)
	defer over.Stop()
	report := time.NewTicker(10 * time.Second)
	defer report.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		if at, ok := d.w.Next(); ok {
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
			d.step(nil)
		case <-report.C:
			if d.Progress != nil {
				d.count.Now, d.count.Length, d.count.Events = time.Since(d.start), time.Duration(d.cfg.Length)*time.Microsecond, len(d.history)
				d.Progress(d.count)
			}
		case <-over.C:
			d.w.Close()
			return d.history, nil
		case <-end:
			d.w.Close()
			return d.history, nil
		}
	}
}

// Terms are what the rules of this world are judged by, with the jobs that came
// from outside.
func (d *Driver) Terms() history.Terms { return d.terms }

// step gives the world a message and carries out what it returns.
func (d *Driver) step(msg any) {
	for _, e := range d.w.Step(d.now(), msg) {
		switch e := e.(type) {
		case world.Answer:
			if f := d.calls[e.ID]; f != nil {
				delete(d.calls, e.ID)
				f(e.Status, e.Body)
			}
		case world.Ask:
			if n := d.proc(e.To); n != nil {
				d.ask(n, e)
			}
		case world.Kill:
			d.proc(e.Node).kill()
		case world.Start:
			d.proc(e.Node).begin()
		case world.Freeze:
			d.proc(e.Node).freeze(e.On)
		case world.Machine:
			d.machine(e)
		}
	}
}

func (d *Driver) proc(name string) *proc {
	for _, n := range d.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// call brings a controller's request into the world and waits for the answer,
// or for whoever asked to go away. Status 0 is a broken connection.
func (d *Driver) call(from, to string, request any, gone <-chan struct{}) (int, any, error) {
	type answer struct {
		status int
		body   any
	}
	ch := make(chan answer, 1)
	ok := d.do(func() {
		d.next++
		d.calls[d.next] = func(status int, body any) { ch <- answer{status, body} }
		d.step(world.Call{ID: d.next, From: from, To: to, Request: request})
	})
	if !ok {
		return 0, nil, errStopped
	}
	select {
	case a := <-ch:
		return a.status, a.body, nil
	case <-gone:
		return 0, nil, errGone
	case <-d.stop:
		return 0, nil, errStopped
	}
}

var (
	errStopped = errors.New("the emulator has stopped")
	errGone    = errors.New("the caller has gone")
)

// Befall lets a fault happen now.
func (d *Driver) Befall(f world.Fault) error {
	ch := make(chan error, 1)
	if !d.do(func() {
		err := d.w.Befall(f)
		d.step(nil)
		ch <- err
	}) {
		return errStopped
	}
	select {
	case err := <-ch:
		return err
	case <-d.stop:
		return errStopped
	}
}

func (d *Driver) close() {
	close(d.stop)
	for _, n := range d.nodes {
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

// upload gives workers descriptions that come from outside; the actor calls it.
func (d *Driver) upload(jobs ...wire.Job) {
	for _, j := range jobs {
		d.w.Upload(j)
		if d.terms.Jobs[j.ID] == nil {
			d.terms.Jobs[j.ID] = &j
		}
	}
}

// Settings is where a controller's settings are.
func (d *Driver) Settings(i int) string {
	return filepath.Join(d.Dir, world.NodeName(i)+".json")
}

func (d *Driver) log(msg string, err error) {
	if err != nil {
		slog.Warn(msg, "err", err)
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
