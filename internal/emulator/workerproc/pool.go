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

// Layout assigns workers to processes.
type Layout struct {
	// Dedicated lists the machines whose workers each have a process of their own. All other
	// workers share one process per zone.
	Dedicated []string
}

// Process describes a worker process.
type Process struct {
	Name string
	PID  int
	// Dedicated reports whether the process runs only the worker of the machine Name.
	// Otherwise Name is a zone.
	Dedicated bool
}

// Pool starts the worker processes and sends them commands.
type Pool struct {
	// OnEvents is called with the events that the processes report.
	OnEvents func([]history.Event)

	procs []*process

	mu           sync.Mutex
	byMachine    map[string]*process // keyed by machine name
	addresses    map[string]string
	ended        map[string]chan struct{}
	snapshots    map[int]chan Snapshot
	nextSnapshot int
	completed    map[environment.TaskCompleted]bool
}

// process is a running worker process. Its commands are queued so that callers do not block.
type process struct {
	Process
	cmd   *exec.Cmd
	queue chan Command
	stdin io.WriteCloser
}

// queueSize is the maximum number of commands queued for one process.
const queueSize = 1 << 14

// noAddress is an address on which nothing listens. It stands for a worker that has not
// started yet.
const noAddress = "127.0.0.1:9"

// Start starts one process per zone and one per dedicated worker. Each runs the given program
// with arguments that make it call Serve.
func Start(program string, args []string, cfg environment.Config, controllerAddresses []string, start time.Time, layout Layout) (*Pool, error) {
	p := &Pool{byMachine: map[string]*process{}, addresses: map[string]string{}, ended: map[string]chan struct{}{}, snapshots: map[int]chan Snapshot{}, completed: map[environment.TaskCompleted]bool{}}
	hello := Hello{Config: cfg, ControllerAddresses: controllerAddresses, Start: start.UnixMicro()}
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

func (p *Pool) start(program string, args []string, name string, dedicated bool, hello Hello) error {
	cmd := exec.Command(program, args...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	in, err := cmd.StdinPipe()
	if err != nil {
		return fmt.Errorf("start worker process %s: %w", name, err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("start worker process %s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start worker process %s: %w", name, err)
	}
	proc := &process{Process: Process{Name: name, PID: cmd.Process.Pid, Dedicated: dedicated}, cmd: cmd, queue: make(chan Command, queueSize), stdin: in}
	p.procs = append(p.procs, proc)
	go proc.writeCommands(hello)
	go p.readUpdates(proc, out)
	return nil
}

// writeCommands sends the queued commands until a write fails because the process has exited.
func (proc *process) writeCommands(hello Hello) {
	enc := gob.NewEncoder(proc.stdin)
	if enc.Encode(hello) != nil {
		return
	}
	for c := range proc.queue {
		if enc.Encode(c) != nil {
			return
		}
	}
	_ = proc.stdin.Close() // the process exits at the end of its input
}

// readUpdates applies the updates of a process until its output ends.
func (p *Pool) readUpdates(proc *process, out io.Reader) {
	dec := gob.NewDecoder(out)
	for {
		var u Update
		if dec.Decode(&u) != nil {
			return
		}
		p.applyUpdate(proc, u)
	}
}

func (p *Pool) applyUpdate(proc *process, u Update) {
	if len(u.Events) > 0 {
		p.OnEvents(u.Events)
		p.broadcastCompleted(u.Events)
		if proc.Dedicated {
			p.forwardCompleted(proc, u.Events)
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

// broadcastCompleted sends the completed tasks to all processes that are not dedicated,
// because the result of a task is kept for any worker that starts the task again. A dedicated
// process gets only the completions it needs (see forwardCompleted), as its cost is measured.
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
	for _, proc := range p.procs {
		if !proc.Dedicated {
			proc.enqueue(Command{Completed: done})
		}
	}
}

// forwardCompleted sends a dedicated process those of the tasks just placed on it that have
// already been completed elsewhere.
func (p *Pool) forwardCompleted(proc *process, events []history.Event) {
	var done []environment.TaskCompleted
	p.mu.Lock()
	for _, e := range events {
		if t := (environment.TaskCompleted{Job: e.Job, Task: e.Task}); e.Kind == history.TaskPlaced && p.completed[t] {
			done = append(done, t)
		}
	}
	p.mu.Unlock()
	if len(done) > 0 {
		proc.enqueue(Command{Completed: done})
	}
}

func (proc *process) enqueue(c Command) {
	select {
	case proc.queue <- c:
	default: // dropped: the process has exited or is too far behind, and its workers stop reporting
	}
}

// UpdateMachine starts the worker of a machine that is up and stops that of one that is not.
func (p *Pool) UpdateMachine(m environment.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !m.Up {
		if proc := p.byMachine[m.Name]; proc != nil {
			p.ended[m.Name] = make(chan struct{})
			proc.enqueue(Command{End: []environment.WorkerEnd{{Name: m.Name, Reason: m.Reason}}})
			delete(p.byMachine, m.Name)
		}
		return
	}
	i := slices.IndexFunc(p.procs, func(proc *process) bool { return proc.Dedicated && proc.Name == m.Name })
	if i < 0 {
		i = slices.IndexFunc(p.procs, func(proc *process) bool { return !proc.Dedicated && proc.Name == m.Zone })
	}
	if i < 0 {
		return
	}
	p.byMachine[m.Name] = p.procs[i]
	p.procs[i].enqueue(Command{Begin: []environment.WorkerBegin{{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot}}})
}

// InjectFault injects a fault into a worker.
func (p *Pool) InjectFault(f environment.WorkerFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if proc := p.byMachine[f.Name]; proc != nil {
		proc.enqueue(Command{Faults: []environment.WorkerFault{f}})
	}
}

// Address returns the address of a worker, or noAddress if it has not started yet.
func (p *Pool) Address(machine string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr, ok := p.addresses[machine]; ok {
		return addr
	}
	return noAddress
}

// endTimeout is the maximum time to wait for workers to stop, as their process may have exited.
const endTimeout = 5 * time.Second

// WaitEnded waits up to endTimeout until the workers of released machines have stopped.
func (p *Pool) WaitEnded(machines []string) {
	timeout := time.After(endTimeout)
	for _, m := range machines {
		p.mu.Lock()
		ch := p.ended[m]
		p.mu.Unlock()
		if ch == nil {
			continue
		}
		select {
		case <-ch:
		case <-timeout:
			return
		}
	}
}

// errNoSnapshot is returned if a process does not send its snapshot in time.
var errNoSnapshot = errors.New("worker process did not send a snapshot")

// snapshotTimeout is the maximum time to wait for the snapshots of all processes.
const snapshotTimeout = 10 * time.Second

// Snapshot returns the counters of each process, by process name.
func (p *Pool) Snapshot() (map[string]Snapshot, error) {
	out := map[string]Snapshot{}
	timeout := time.After(snapshotTimeout)
	for _, proc := range p.procs {
		ch := make(chan Snapshot, 1)
		p.mu.Lock()
		p.nextSnapshot++
		number := p.nextSnapshot
		p.snapshots[number] = ch
		p.mu.Unlock()
		proc.enqueue(Command{Snapshot: number})
		select {
		case out[proc.Name] = <-ch:
		case <-timeout:
			return nil, fmt.Errorf("%w: %s", errNoSnapshot, proc.Name)
		}
		p.mu.Lock()
		delete(p.snapshots, number)
		p.mu.Unlock()
	}
	return out, nil
}

// Processes returns the processes that were started.
func (p *Pool) Processes() (l []Process) {
	for _, proc := range p.procs {
		l = append(l, proc.Process)
	}
	return l
}

// Close kills all processes and waits until they have exited.
func (p *Pool) Close() {
	for _, proc := range p.procs {
		_ = proc.cmd.Process.Kill() // it may have exited already
	}
	for _, proc := range p.procs {
		_ = proc.cmd.Wait() // the exit status does not matter
	}
}
