package workerproc

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
)

// Layout says which process has which worker.
type Layout struct {
	// Dedicated are the machines whose workers have a process of their own; all others
	// share one for each zone.
	Dedicated []string
}

// Process is a process with workers, as others see it.
type Process struct {
	Name string
	PID  int
	// Dedicated: it has one worker, of the machine of that name.
	Dedicated bool
}

// Pool starts the processes and sends them commands.
type Pool struct {
	// OnEvents gets the events of the processes.
	OnEvents func([]history.Event)

	procs []*process

	mu           sync.Mutex
	byMachine    map[string]*process // by machine
	addresses    map[string]string
	ended        map[string]chan struct{}
	snapshots    map[int]chan Snapshot
	nextSnapshot int
	completed    map[environment.TaskCompleted]bool
}

// process is one of the processes. Commands are queued, so that no caller blocks.
type process struct {
	Process
	cmd   *exec.Cmd
	queue chan Command
	stdin io.WriteCloser
}

// queueSize bounds the commands that wait for a process.
const queueSize = 1 << 14

// noAddress is where nobody listens: a worker's until it has begun.
const noAddress = "127.0.0.1:9"

// Start starts a process for each zone and for each dedicated worker.
// Each is the given program with arguments by which it calls Serve.
func Start(program string, args []string, cfg environment.Config, fronts []string, start time.Time, layout Layout) (*Pool, error) {
	p := &Pool{byMachine: map[string]*process{}, addresses: map[string]string{}, ended: map[string]chan struct{}{}, snapshots: map[int]chan Snapshot{}, completed: map[environment.TaskCompleted]bool{}}
	hello := Hello{Config: cfg, ControllerAddresses: fronts, Start: start.UnixMicro()}
	for i, zone := range cfg.Params.Zones {
		hello.Config.Seed = cfg.Seed + uint64(i) + 1
		if err := p.start(program, args, zone, false, hello); err != nil {
			p.Close()
			return nil, err
		}
	}
	for i, machine := range layout.Dedicated {
		hello.Config.Seed = cfg.Seed + uint64(len(cfg.Params.Zones)+i) + 1
		if err := p.start(program, args, machine, true, hello); err != nil {
			p.Close()
			return nil, err
		}
	}
	return p, nil
}

func (p *Pool) start(program string, args []string, name string, alone bool, hello Hello) error {
	cmd := exec.Command(program, args...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	in, err := cmd.StdinPipe()
	if err != nil {
		return fmt.Errorf("workers of %s: %w", name, err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("workers of %s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("workers of %s: %w", name, err)
	}
	x := &process{Process: Process{Name: name, PID: cmd.Process.Pid, Dedicated: alone}, cmd: cmd, queue: make(chan Command, queueSize), stdin: in}
	p.procs = append(p.procs, x)
	go x.writeCommands(hello)
	go p.readUpdates(x, out)
	return nil
}

// writeCommands sends what is queued, until the process has gone.
func (x *process) writeCommands(hello Hello) {
	enc := gob.NewEncoder(x.stdin)
	if enc.Encode(hello) != nil {
		return
	}
	for c := range x.queue {
		if enc.Encode(c) != nil {
			return
		}
	}
	_ = x.stdin.Close() // by which it ends
}

// readUpdates applies the updates of a process until it ends.
func (p *Pool) readUpdates(x *process, out io.Reader) {
	dec := gob.NewDecoder(out)
	for {
		var u Update
		if dec.Decode(&u) != nil {
			return
		}
		p.applyUpdate(x, u)
	}
}

func (p *Pool) applyUpdate(x *process, u Update) {
	if len(u.Events) > 0 {
		p.OnEvents(u.Events)
		p.broadcastCompleted(u.Events)
		if x.Dedicated {
			p.forwardCompleted(x, u.Events)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, addr := range u.Addresses {
		p.addresses[name] = addr
	}
	for _, name := range u.Ended {
		if ch := p.ended[name]; ch != nil {
			close(ch)
			delete(p.ended, name)
		}
	}
	if s := u.Snapshot; s != nil && p.snapshots[s.Number] != nil {
		p.snapshots[s.Number] <- *s
	}
}

// broadcastCompleted sends the completed tasks to the processes with many workers: a result
// is kept for whoever starts the task again. Those with one worker only get what they need,
// as their cost is measured.
func (p *Pool) broadcastCompleted(events []history.Event) {
	var done []environment.TaskCompleted
	p.mu.Lock()
	for _, e := range events {
		if e.Kind == history.TaskCompleted {
			t := environment.TaskCompleted{Job: e.Job, Task: e.Task}
			p.completed[t] = true
			done = append(done, t)
		}
	}
	p.mu.Unlock()
	if len(done) == 0 {
		return
	}
	for _, x := range p.procs {
		if !x.Dedicated {
			x.enqueue(Command{Completed: done})
		}
	}
}

// forwardCompleted sends a process with one worker those of its tasks that were completed
// elsewhere.
func (p *Pool) forwardCompleted(x *process, events []history.Event) {
	var done []environment.TaskCompleted
	p.mu.Lock()
	for _, e := range events {
		if t := (environment.TaskCompleted{Job: e.Job, Task: e.Task}); e.Kind == history.TaskPlaced && p.completed[t] {
			done = append(done, t)
		}
	}
	p.mu.Unlock()
	if len(done) > 0 {
		x.enqueue(Command{Completed: done})
	}
}

func (x *process) enqueue(c Command) {
	select {
	case x.queue <- c:
	default: // it has ended, or is far behind; its workers stop reporting then
	}
}

// Machine begins or ends a worker.
func (p *Pool) Machine(m environment.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !m.Up {
		if x := p.byMachine[m.Name]; x != nil {
			p.ended[m.Name] = make(chan struct{})
			x.enqueue(Command{End: []environment.WorkerEnd{{Name: m.Name, Reason: m.Reason}}})
			delete(p.byMachine, m.Name)
		}
		return
	}
	i := slices.IndexFunc(p.procs, func(x *process) bool { return x.Dedicated && x.Name == m.Name })
	if i < 0 {
		i = slices.IndexFunc(p.procs, func(x *process) bool { return !x.Dedicated && x.Name == m.Zone })
	}
	if i < 0 {
		return
	}
	p.byMachine[m.Name] = p.procs[i]
	p.procs[i].enqueue(Command{Begin: []environment.WorkerBegin{{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot}}})
}

// Fault injects a fault into a worker.
func (p *Pool) Fault(f environment.WorkerFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.byMachine[f.Name]; x != nil {
		x.enqueue(Command{Faults: []environment.WorkerFault{f}})
	}
}

// Address is the address of a worker.
func (p *Pool) Address(machine string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr, ok := p.addresses[machine]; ok {
		return addr
	}
	return noAddress
}

// endTimeout is how long an ending worker is waited for: its process may be gone.
const endTimeout = 5 * time.Second

// WaitEnded waits until the workers of machines that are gone have ended.
func (p *Pool) WaitEnded(machines []string) {
	late := time.After(endTimeout)
	for _, m := range machines {
		p.mu.Lock()
		ch := p.ended[m]
		p.mu.Unlock()
		if ch == nil {
			continue
		}
		select {
		case <-ch:
		case <-late:
			return
		}
	}
}

// errNoSnapshot is returned if a process does not answer.
var errNoSnapshot = errors.New("a process with workers does not answer")

// snapshotTimeout is how long processes may take to answer.
const snapshotTimeout = 10 * time.Second

// Snapshot is what each process has counted, by its name.
func (p *Pool) Snapshot() (map[string]Snapshot, error) {
	out := map[string]Snapshot{}
	late := time.After(snapshotTimeout)
	for _, x := range p.procs {
		ch := make(chan Snapshot, 1)
		p.mu.Lock()
		p.nextSnapshot++
		number := p.nextSnapshot
		p.snapshots[number] = ch
		p.mu.Unlock()
		x.enqueue(Command{Snapshot: number})
		select {
		case out[x.Name] = <-ch:
		case <-late:
			return nil, fmt.Errorf("%w: %s", errNoSnapshot, x.Name)
		}
		p.mu.Lock()
		delete(p.snapshots, number)
		p.mu.Unlock()
	}
	return out, nil
}

// Processes are the processes that were started.
func (p *Pool) Processes() (l []Process) {
	for _, x := range p.procs {
		l = append(l, x.Process)
	}
	return l
}

// Close ends all processes and waits until they have.
func (p *Pool) Close() {
	for _, x := range p.procs {
		_ = x.cmd.Process.Kill() // it may have ended
	}
	for _, x := range p.procs {
		_ = x.cmd.Wait() // how it ended does not matter
	}
}
