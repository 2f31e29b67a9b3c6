package workerproc

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/sockets"
)

// flushDelay is how long an event waits for others before it goes to the emulator.
const flushDelay = 50 * time.Millisecond

// Serve runs workers as the commands of the input say, until it ends.
func Serve(in io.Reader, out io.Writer) error {
	dec := gob.NewDecoder(in)
	var hello Hello
	if err := dec.Decode(&hello); err != nil {
		return fmt.Errorf("read what to run: %w", err)
	}
	p := &server{out: gob.NewEncoder(out), meter: meter.New(), tokenTimes: TokenTimes{}}
	d, err := sockets.NewWorkerDriver(hello.Config, hello.ControllerAddresses, sockets.Options{Meter: p.meter, OnEvent: p.onEvent, OnTokenAccepted: p.onTokenAccepted})
	if err != nil {
		return err
	}
	p.driver = d
	d.SetStart(time.UnixMicro(hello.Start))
	end := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { d.RunWorkers(end) })
	defer running.Wait()
	defer close(end)
	for {
		var c Command
		if err := dec.Decode(&c); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("read a command: %w", err)
		}
		p.apply(c)
	}
}

// server is the side of the process with the workers.
type server struct {
	driver *sockets.Driver
	meter  *meter.Meter

	sending sync.Mutex
	out     *gob.Encoder

	mu         sync.Mutex
	events     []history.Event
	tokenTimes TokenTimes
}

// onEvent and accepted are called by the driver's actor.
func (p *server) onEvent(e history.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.events) == 0 {
		time.AfterFunc(flushDelay, p.flush)
	}
	p.events = append(p.events, e)
}

func (p *server) onTokenAccepted(token uint64, at int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokenTimes.Add(token, at)
}

func (p *server) send(u Update) {
	p.sending.Lock()
	defer p.sending.Unlock()
	_ = p.out.Encode(u) // whoever would read it has gone; the input ends too
}

// flush sends the events that have come.
func (p *server) flush() {
	p.mu.Lock()
	events := p.events
	p.events = nil
	p.mu.Unlock()
	if len(events) > 0 {
		p.send(Update{Events: events})
	}
}

func (p *server) apply(c Command) {
	for _, b := range c.Begin {
		p.driver.Tell(b, func() {
			p.send(Update{Addresses: map[string]string{b.Name: p.driver.Endpoint(b.Name)}})
		})
	}
	for _, e := range c.End {
		p.driver.Tell(e, func() {
			p.flush() // what ended with it comes before
			p.send(Update{Ended: []string{e.Name}})
		})
	}
	for _, f := range c.Faults {
		p.driver.Tell(f, nil)
	}
	for _, t := range c.Completed {
		p.driver.Tell(t, nil)
	}
	if c.Snapshot != 0 {
		go p.snapshot(c.Snapshot)
	}
}

func (p *server) snapshot(number int) {
	late := p.driver.Lateness()
	p.flush()
	p.mu.Lock()
	known := make(TokenTimes, len(p.tokenTimes))
	for token, at := range p.tokenTimes {
		known[token] = append([]int64(nil), at...)
	}
	p.mu.Unlock()
	p.send(Update{Snapshot: &Snapshot{Number: number, Counts: p.meter.Rows(), TokenTimes: known, Lateness: late}})
}
