package sockets

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/meter"
)

// controllerProcess is a controller with its addresses, and its process if the driver started
// one.
type controllerProcess struct {
	driver               *Driver
	index                int
	name                 string
	publicAddr, peerAddr string
	cmd                  *exec.Cmd
	// incarnation counts the processes started and killed, so that the exit of a process is
	// not mistaken for the exit of its successor.
	incarnation int
}

// listen opens the addresses of the load balancer, the state service, the cloud and the links
// between controllers, and writes the settings of the controllers.
func (d *Driver) listen() error {
	size := d.config.Params.Size
	serve := func(addr string, handler http.HandlerFunc, by meter.Key) (string, error) {
		opened, err := d.serve(addr, handler, by)
		if err == nil {
			d.closers = append(d.closers, opened.close)
		}
		return opened.addr, err
	}
	if _, err := serve(loopback(d.Port), d.handleUserRequest, meter.Key{}); err != nil {
		return err
	}
	for i, publicAddr := range ControllerAddresses(d.Port, size) {
		d.controllers = append(d.controllers, &controllerProcess{driver: d, index: i, name: environment.ControllerName(i), publicAddr: publicAddr, peerAddr: loopback(d.Port + 1 + size + i)})
	}
	for i, process := range d.controllers {
		state, err := serve("127.0.0.1:0", d.forward(process.name, environment.StateHost, readState, nil), meter.Key{Host: process.name, Kind: "state"})
		if err != nil {
			return err
		}
		cloud, err := serve("127.0.0.1:0", d.forward(process.name, environment.CloudHost, readCloud, d.withAddresses), meter.Key{})
		if err != nil {
			return err
		}
		settings := config.Platform{Name: process.name, Zone: d.config.ControllerZone(i), UserAddr: process.publicAddr, PeerAddr: process.peerAddr, Services: config.Services{State: state, Cloud: cloud}, Deployment: d.config.Params}
		for k, other := range d.controllers {
			if k != i {
				addr, err := d.listenBetween(process, other)
				if err != nil {
					return err
				}
				settings.Peers = append(settings.Peers, config.Peer{Name: other.name, Zone: d.config.ControllerZone(k), Addr: addr})
			}
		}
		if err := settings.Check(); err != nil {
			return fmt.Errorf("settings of %s: %w", process.name, err)
		}
		text, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.SettingsPath(i), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// ControllerAddresses returns the addresses at which a driver's controllers serve users and
// workers.
func ControllerAddresses(port, size int) (addrs []string) {
	for i := range size {
		addrs = append(addrs, loopback(port+1+i))
	}
	return addrs
}

// Processes returns the process IDs of the controllers by controller name. The ID is 0 for a
// controller that is not running.
func (d *Driver) Processes() map[string]int {
	result := make(chan map[string]int, 1)
	if !d.onActor(func() {
		pids := map[string]int{}
		for _, n := range d.controllers {
			pids[n.name] = 0
			if n.cmd != nil {
				pids[n.name] = n.cmd.Process.Pid
			}
		}
		result <- pids
	}) {
		return nil
	}
	select {
	case pids := <-result:
		return pids
	case <-d.stop:
		return nil
	}
}

// start starts the controller's process. A process that exits without being killed by the
// driver is started again after the environment's restart time.
func (n *controllerProcess) start() {
	d := n.driver
	if len(d.Binaries) == 0 { // controllers are started and kept running by hand
		d.step(environment.ControllerUp{Controller: n.name, Up: true})
		return
	}
	n.incarnation++
	incarnation := n.incarnation
	out, err := os.OpenFile(filepath.Join(d.Dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		slog.Warn("cannot open controller log", "controller", n.name, "error", err)
		return
	}
	cmd := exec.Command(d.Binaries[n.index%len(d.Binaries)], append(append([]string{}, d.Args...), "--config", d.SettingsPath(n.index))...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		slog.Warn("cannot start controller", "controller", n.name, "error", err)
		_ = out.Close()
		return
	}
	n.cmd = cmd
	d.step(environment.ControllerUp{Controller: n.name, Up: true})
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		_ = cmd.Wait() // an unexpected exit is logged below
		_ = out.Close()
		d.onActor(func() {
			if n.incarnation != incarnation {
				return
			}
			slog.Warn("controller exited unexpectedly", "controller", n.name, "reason", cmd.ProcessState.String())
			d.step(environment.ControllerUp{Controller: n.name})
			time.AfterFunc(time.Duration(d.config.RestartTime)*time.Microsecond, func() {
				d.onActor(func() {
					if n.incarnation == incarnation {
						n.start()
					}
				})
			})
		})
	}()
}

// kill kills the process. It changes the incarnation, so that start does not restart the process.
func (n *controllerProcess) kill() {
	n.incarnation++
	if n.cmd != nil {
		_ = n.cmd.Process.Kill() // it may have exited already
		n.cmd = nil
	}
}

// setSuspended suspends or resumes the process.
func (n *controllerProcess) setSuspended(suspended bool) {
	if n.cmd == nil {
		return
	}
	signal := syscall.SIGCONT
	if suspended {
		signal = syscall.SIGSTOP
	}
	if err := n.cmd.Process.Signal(signal); err != nil {
		slog.Warn("cannot suspend or resume controller", "controller", n.name, "error", err)
	}
}

// linkPollInterval is the interval at which a connection that a partition holds up checks whether
// the partition has ended.
const linkPollInterval = 20 * time.Millisecond

// listenBetween opens the address at which one controller reaches another. Connections to it
// are proxied unless the two controllers are partitioned.
func (d *Driver) listenBetween(from, to *controllerProcess) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen between controllers: %w", err)
	}
	d.closers = append(d.closers, func() { _ = listener.Close() })
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.proxy(conn, from, to)
		}
	}()
	return listener.Addr().String(), nil
}

// proxy forwards one connection between two controllers in both directions.
func (d *Driver) proxy(incoming net.Conn, from, to *controllerProcess) {
	defer func() { _ = incoming.Close() }()
	if !d.waitReachable(from, to) {
		return
	}
	outgoing, err := net.DialTimeout("tcp", to.peerAddr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = outgoing.Close() }()
	outgoing = d.Meter.Conn(outgoing, meter.Key{Host: from.name, Kind: "peer"}, meter.Key{Host: to.name, Kind: "peer"})
	finished := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn) {
		defer func() { finished <- struct{}{} }()
		d.copyDelayed(dst, src, from, to)
	}
	go copyTo(outgoing, incoming)
	go copyTo(incoming, outgoing)
	select {
	case <-finished:
	case <-d.stop:
	}
}

// chunk is a piece of the data sent over a connection, with its delivery time.
type chunk struct {
	due   time.Time
	bytes []byte
}

// maxChunksInFlight is the maximum number of undelivered chunks per direction of a connection.
const maxChunksInFlight = 256

// copyDelayed copies one direction of a connection between two controllers and delays each
// chunk by the latency between them if the network has a delay between regions.
func (d *Driver) copyDelayed(dst, src net.Conn, from, to *controllerProcess) {
	var latency time.Duration
	if d.config.Network.CrossRegion > 0 {
		latency = time.Duration(d.env.Latency(d.config.ControllerZone(from.index), d.config.ControllerZone(to.index))) * time.Microsecond
	}
	inFlight := make(chan chunk, maxChunksInFlight)
	var delivery sync.WaitGroup
	broken := make(chan struct{})
	delivery.Go(func() {
		defer func() {
			close(broken)
			_ = src.SetReadDeadline(time.Now()) // unblocks the pending read
		}()
		for c := range inFlight {
			if wait := time.Until(c.due); latency > 0 && wait > 0 {
				time.Sleep(wait)
			}
			if !d.waitReachable(from, to) {
				return
			}
			if _, err := dst.Write(c.bytes); err != nil {
				return
			}
		}
	})
	defer delivery.Wait()
	defer close(inFlight)
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case inFlight <- chunk{time.Now().Add(latency), bytes.Clone(buf[:n])}:
			case <-broken:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitReachable waits until two controllers can reach each other. It returns false if the
// connection must be closed.
func (d *Driver) waitReachable(a, b *controllerProcess) bool {
	for {
		type state struct{ partitioned, reset bool }
		states := make(chan state, 1)
		if !d.onActor(func() {
			partitioned, reset := d.env.LinkState(a.name, b.name)
			states <- state{partitioned, reset}
		}) {
			return false
		}
		select {
		case current := <-states:
			if !current.partitioned || current.reset {
				return !current.reset
			}
		case <-d.stop:
			return false
		}
		time.Sleep(linkPollInterval)
	}
}
