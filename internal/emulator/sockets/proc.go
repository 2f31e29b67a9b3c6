package sockets

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

// proc is a controller: its addresses, and its process if it has one here.
type proc struct {
	d           *Driver
	index       int
	name        string
	front, back string
	cmd         *exec.Cmd
	// run numbers its processes, so that the end of one is not taken for that
	// of the next.
	run int
}

// listen opens all addresses and writes the controllers' settings.
func (d *Driver) listen() error {
	size := d.cfg.Params.Size
	serve := func(addr string, h http.HandlerFunc, by meter.Key) (string, error) {
		e, err := d.serve(addr, h, by)
		if err == nil {
			d.closers = append(d.closers, e.close)
		}
		return e.addr, err
	}
	if _, err := serve(loopback(d.Port), d.balance, meter.Key{}); err != nil {
		return err
	}
	for i, front := range Fronts(d.Port, size) {
		d.nodes = append(d.nodes, &proc{d: d, index: i, name: world.NodeName(i), front: front, back: loopback(d.Port + 1 + size + i)})
	}
	for i, n := range d.nodes {
		state, err := serve("127.0.0.1:0", d.pass(n.name, world.StateHost, readState, nil), meter.Key{Host: n.name, Kind: "state"})
		if err != nil {
			return err
		}
		cloud, err := serve("127.0.0.1:0", d.pass(n.name, world.CloudHost, readCloud, d.addressed), meter.Key{})
		if err != nil {
			return err
		}
		p := config.Platform{Name: n.name, Zone: d.cfg.NodeZone(i), Front: n.front, Back: n.back, Outside: config.Outside{State: state, Cloud: cloud}, Params: d.cfg.Params}
		for k, o := range d.nodes {
			if k != i {
				addr, err := d.between(n, o)
				if err != nil {
					return err
				}
				p.Peers = append(p.Peers, config.Peer{Name: o.name, Zone: d.cfg.NodeZone(k), Addr: addr})
			}
		}
		if err := p.Check(); err != nil {
			return fmt.Errorf("settings of %s: %w", n.name, err)
		}
		b, err := json.MarshalIndent(p, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.Settings(i), b, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Fronts are the addresses of a driver's controllers for users and workers.
func Fronts(port, size int) (addrs []string) {
	for i := range size {
		addrs = append(addrs, loopback(port+1+i))
	}
	return addrs
}

// Processes are the numbers of the controllers' processes, by name; 0 for one
// that is not there.
func (d *Driver) Processes() map[string]int {
	ch := make(chan map[string]int, 1)
	if !d.do(func() {
		pids := map[string]int{}
		for _, n := range d.nodes {
			pids[n.name] = 0
			if n.cmd != nil {
				pids[n.name] = n.cmd.Process.Pid
			}
		}
		ch <- pids
	}) {
		return nil
	}
	select {
	case pids := <-ch:
		return pids
	case <-d.stop:
		return nil
	}
}

// begin starts the controller's process. One that ends by itself is started
// again after the world's time for that.
func (n *proc) begin() {
	d := n.d
	if len(d.Binaries) == 0 { // whoever started it keeps it running
		d.step(world.NodeUp{Node: n.name, Up: true})
		return
	}
	n.run++
	run := n.run
	out, err := os.OpenFile(filepath.Join(d.Dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.log("a controller's log", err)
		return
	}
	cmd := exec.Command(d.Binaries[n.index%len(d.Binaries)], append(append([]string{}, d.Args...), "--config", d.Settings(n.index))...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		d.log("start "+n.name, err)
		_ = out.Close()
		return
	}
	n.cmd = cmd
	d.step(world.NodeUp{Node: n.name, Up: true})
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		_ = cmd.Wait() // how it ended does not matter
		_ = out.Close()
		d.do(func() {
			if n.run != run {
				return
			}
			d.log(n.name, fmt.Errorf("it has ended by itself: %s", cmd.ProcessState))
			d.step(world.NodeUp{Node: n.name})
			time.AfterFunc(time.Duration(d.cfg.Restart)*time.Microsecond, func() {
				d.do(func() {
					if n.run == run {
						n.begin()
					}
				})
			})
		})
	}()
}

// kill ends its process; the world knows.
func (n *proc) kill() {
	n.run++
	if n.cmd != nil {
		_ = n.cmd.Process.Kill() // it may have ended already
		n.cmd = nil
	}
}

func (n *proc) freeze(on bool) {
	if n.cmd == nil {
		return
	}
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
	}
	n.d.log("freeze "+n.name, n.cmd.Process.Signal(s))
}

// lookAgain is how often a held connection looks whether its cut is over.
const lookAgain = 20 * time.Millisecond

// between opens the address at which one controller reaches another, and carries
// what it says there, unless the network between them is cut.
func (d *Driver) between(from, to *proc) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen between controllers: %w", err)
	}
	d.closers = append(d.closers, func() { _ = l.Close() })
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.carry(c, from, to)
		}
	}()
	return l.Addr().String(), nil
}

// carry carries one connection both ways.
func (d *Driver) carry(c net.Conn, from, to *proc) {
	defer func() { _ = c.Close() }()
	if !d.open(from, to) {
		return
	}
	o, err := net.DialTimeout("tcp", to.back, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = o.Close() }()
	o = d.Meter.Conn(o, meter.Key{Host: from.name, Kind: "peer"}, meter.Key{Host: to.name, Kind: "peer"})
	over := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn) {
		defer func() { over <- struct{}{} }()
		d.copyLate(dst, src, from, to)
	}
	go copyTo(o, c)
	go copyTo(c, o)
	select {
	case <-over:
	case <-d.stop:
	}
}

// chunk is a piece of what goes over a connection, delivered when it is due.
type chunk struct {
	due   time.Time
	bytes []byte
}

// chunksUnderWay bounds what is on its way over a connection.
const chunksUnderWay = 256

// copyLate carries one direction of a connection between two controllers, each
// piece after what the way between their regions takes.
func (d *Driver) copyLate(dst, src net.Conn, from, to *proc) {
	var latency time.Duration
	if d.cfg.Network.Remote > 0 {
		latency = time.Duration(d.w.Latency(d.cfg.NodeZone(from.index), d.cfg.NodeZone(to.index))) * time.Microsecond
	}
	way := make(chan chunk, chunksUnderWay)
	var delivery sync.WaitGroup
	broken := make(chan struct{})
	delivery.Go(func() {
		defer func() {
			close(broken)
			_ = src.SetReadDeadline(time.Now()) // whoever still reads is to end
		}()
		for c := range way {
			if wait := time.Until(c.due); latency > 0 && wait > 0 {
				time.Sleep(wait)
			}
			if !d.open(from, to) {
				return
			}
			if _, err := dst.Write(c.bytes); err != nil {
				return
			}
		}
	})
	defer delivery.Wait()
	defer close(way)
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case way <- chunk{time.Now().Add(latency), bytes.Clone(buf[:n])}:
			case <-broken:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// open waits until two controllers can reach each other; false if the
// connection is to break.
func (d *Driver) open(a, b *proc) bool {
	for {
		type state struct{ cut, reset bool }
		ch := make(chan state, 1)
		if !d.do(func() {
			cut, reset := d.w.Cut(a.name, b.name)
			ch <- state{cut, reset}
		}) {
			return false
		}
		select {
		case s := <-ch:
			if !s.cut || s.reset {
				return !s.reset
			}
		case <-d.stop:
			return false
		}
		time.Sleep(lookAgain)
	}
}
