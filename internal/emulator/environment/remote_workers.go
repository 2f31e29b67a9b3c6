package environment

import (
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The workers of an environment can run in other processes, so that a large fleet does not load
// the process that runs everything else. Each of these processes has an environment with workers
// only. The environment with the cloud decides what happens to a machine and sends it to the
// environment with the machine's worker.

// The messages to an environment of workers. The environment with the cloud emits WorkerFault;
// package workerproc creates the others from the Machine messages and the events.
type (
	// WorkerBegin starts the worker of a machine that is up.
	WorkerBegin struct {
		Name, Type, Zone string
		Spot             bool
	}
	// WorkerEnd stops a worker and all tasks on its machine.
	WorkerEnd struct{ Name, Reason string }
	// WorkerFault is a fault of a worker. Kind is the kind of the fault, or workerResumes.
	WorkerFault struct {
		Name     string
		Kind     FaultKind
		Duration int64
	}
	// TaskCompleted reports that a task was completed on a machine of another process. Its
	// result is kept, so that a later attempt of the task is done at once.
	TaskCompleted struct {
		Job  string
		Task int
	}
)

// workerResumes ends FaultMachineHang.
const workerResumes FaultKind = "machine_goes_on"

// RemoteFaults lists the kinds of faults that an environment with RemoteWorkers supports.
var RemoteFaults = []FaultKind{
	FaultCrash, FaultRollingRestart, FaultFreeze, FaultPartition, FaultStateOutage, FaultStateRefuse, FaultStateSlow,
	FaultCloudOutage, FaultCloudRefuse, FaultCloudCapacity, FaultCloudSlow,
	FaultMachineDie, FaultMachineHang, FaultWorkerRestart, FaultWorkerReset,
}

// NewWorkerEnvironment returns an environment of workers, in which no machine is up yet. It
// applies network partitions as the environment with the cloud does; all other faults arrive as
// messages.
func NewWorkerEnvironment(c Config, record func(history.Event)) (*Environment, error) {
	c.RemoteWorkers = false // the workers run in this environment
	env := newEnvironment(c, record)
	for _, j := range c.Jobs {
		j.At, j.Cancel = -1, 0
		if err := env.addJob(j); err != nil {
			return nil, err
		}
		env.jobs[j.Spec.ID].submitted = true
	}
	for i, f := range c.Faults {
		if f.Kind != FaultPartition {
			continue
		}
		if err := env.schedule(f); err != nil {
			return nil, fmt.Errorf("fault %d: %w", i, err)
		}
	}
	for _, n := range env.controllers {
		n.up = true
	}
	return env, nil
}

// handleWorkerMessage handles a message to a worker.
func (env *Environment) handleWorkerMessage(msg any) {
	switch m := msg.(type) {
	case WorkerBegin:
		env.beginWorker(m)
	case WorkerEnd:
		if x := env.cloud.machines[m.Name]; x != nil {
			x.gone = true
			x.killAll(m.Reason)
			delete(env.cloud.machines, m.Name)
			env.emit(Machine{Name: m.Name, Reason: m.Reason})
		}
	case WorkerFault:
		if x := env.cloud.machines[m.Name]; x != nil {
			x.injectFault(m)
		}
	case TaskCompleted:
		if u := env.jobs[m.Job]; u != nil {
			u.done[m.Task] = true
		}
	}
}

func (env *Environment) beginWorker(begin WorkerBegin) {
	i := slices.IndexFunc(env.Types, func(t wire.MachineType) bool { return t.Name == begin.Type })
	if i < 0 || env.cloud.machines[begin.Name] != nil {
		return
	}
	m := newMachine(env, begin.Name, &env.Types[i], begin.Zone, begin.Spot)
	env.cloud.machines[begin.Name] = m
	env.network.addHost(begin.Name, begin.Zone, workerHosts)
	env.emit(Machine{Name: begin.Name, Up: true, Type: begin.Type, Zone: begin.Zone, Spot: begin.Spot})
	// Start after a random part of a second, as if the machine had come up at some point of
	// a report interval.
	env.after(env.rng.Int64N(second), func() {
		m.up, m.lastAnsweredAt = true, env.now
		m.startWorker()
	})
}

func (m *machine) injectFault(f WorkerFault) {
	switch f.Kind {
	case FaultMachineHang:
		m.hang()
	case workerResumes:
		m.resume()
	default:
		m.restart(f.Duration, f.Kind == FaultWorkerReset)
	}
}
