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

// flushDelay is the time for which events are collected before they are sent to the emulator
// in one update.
const flushDelay = 50 * time.Millisecond

// Serve runs workers as directed by the commands from in, until in ends.
func Serve(in io.Reader, out io.Writer) error {
	dec := gob.NewDecoder(in)
	var hello Hello
	if err := dec.Decode(&hello); err != nil {
		return fmt.Errorf("read worker configuration: %w", err)
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
			return fmt.Errorf("read command: %w", err)
		}
		p.apply(c)
	}
}

// server is the worker process's side of the protocol.
type server struct {
	driver *sockets.Driver
	meter  *meter.Meter

	sending sync.Mutex
	out     *gob.Encoder

	mu         sync.Mutex
	events     []history.Event
	tokenTimes TokenTimes
}

// onEvent and onTokenAccepted are called by the driver's actor.
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
	_ = p.out.Encode(u) // on failure the emulator has exited, and the input ends too
}

// flush sends the collected events.
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
		p.driver.PostMessage(b, func() {
			p.send(Update{Addresses: map[string]string{b.Name: p.driver.Endpoint(b.Name)}})
		})
	}
	for _, e := range c.End {
		p.driver.PostMessage(e, func() {
			p.flush() // the worker's last events precede the notice that it has stopped
			p.send(Update{Ended: []string{e.Name}})
		})
	}
	for _, f := range c.Faults {
		p.driver.PostMessage(f, nil)
	}
	for _, t := range c.Completed {
		p.driver.PostMessage(t, nil)
	}
	if c.Snapshot != 0 {
		go p.snapshot(c.Snapshot)
	}
}

func (p *server) snapshot(number int) {
	lateness := p.driver.Lateness()
	p.flush()
	p.mu.Lock()
	tokenTimes := make(TokenTimes, len(p.tokenTimes))
	for token, at := range p.tokenTimes {
		tokenTimes[token] = append([]int64(nil), at...)
	}
	p.mu.Unlock()
	p.send(Update{Snapshot: &Snapshot{Number: number, Counts: p.meter.Rows(), TokenTimes: tokenTimes, Lateness: lateness}})
}
