package environment

import (
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The workers of an environment may run in other processes, so that a large fleet is no
// burden to the one that serves everything else. Each of these processes has an environment
// of workers alone. The environment that has the cloud decides what happens to a machine and
// sends it to the one that has its worker.

// The messages to an environment of workers, and WorkerFault also from the environment that
// has the cloud.
type (
	// WorkerBegin begins the worker of a machine that is up.
	WorkerBegin struct {
		Name, Type, Zone string
		Spot             bool
	}
	// WorkerEnd ends a worker and everything on its machine.
	WorkerEnd struct{ Name, Reason string }
	// WorkerFault is a fault of a worker. Kind is that of the fault, or workerResumes.
	WorkerFault struct {
		Name     string
		Kind     FaultKind
		Duration int64
	}
	// TaskCompleted says that a task was completed on a machine elsewhere: its
	// result is kept for whoever starts it again.
	TaskCompleted struct {
		Job  string
		Task int
	}
)

// workerResumes ends FaultMachineHang.
const workerResumes FaultKind = "machine_goes_on"

// RemoteFaults are the kinds of faults that an environment with RemoteWorkers supports.
var RemoteFaults = []FaultKind{
	FaultCrash, FaultRoll, FaultFreeze, FaultPartition, FaultStateOutage, FaultStateRefuse, FaultStateSlow,
	FaultCloudOutage, FaultCloudRefuse, FaultCloudCapacity, FaultCloudSlow,
	FaultMachineDie, FaultMachineHang, FaultMachineBack, FaultMachineAnew,
}

// NewWorkerEnvironment makes an environment of workers, in which no machine is up yet. It
// applies network partitions as the environment that has the cloud does; all other faults
// come as messages.
func NewWorkerEnvironment(c Config, record func(history.Event)) (*Environment, error) {
	c.RemoteWorkers = false // they are here
	w := newEnvironment(c, record)
	for _, j := range c.Jobs {
		j.At, j.Cancel = -1, 0
		if err := w.addJob(j); err != nil {
			return nil, err
		}
		w.jobs[j.Spec.ID].submitted = true
	}
	for i, f := range c.Faults {
		if f.Kind != FaultPartition {
			continue
		}
		if err := w.schedule(f); err != nil {
			return nil, fmt.Errorf("fault %d: %w", i, err)
		}
	}
	for _, n := range w.controllers {
		n.up = true
	}
	return w, nil
}

// worker takes a message about a worker.
func (env *Environment) worker(msg any) {
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

func (env *Environment) beginWorker(m WorkerBegin) {
	i := slices.IndexFunc(env.Types, func(t wire.MachineType) bool { return t.Name == m.Type })
	if i < 0 || env.cloud.machines[m.Name] != nil {
		return
	}
	x := newMachine(env, m.Name, &env.Types[i], m.Zone, m.Spot)
	env.cloud.machines[m.Name] = x
	env.network.addHost(m.Name, m.Zone, workerHosts)
	env.emit(Machine{Name: m.Name, Up: true, Type: m.Type, Zone: m.Zone, Spot: m.Spot})
	// As if it had come up at some moment of a report interval.
	env.after(env.rng.Int64N(second), func() {
		x.up, x.lastAnsweredAt = true, env.now
		x.work()
	})
}

func (m *machine) injectFault(f WorkerFault) {
	switch f.Kind {
	case FaultMachineHang:
		m.hang()
	case workerResumes:
		m.resume()
	default:
		m.restart(f.Duration, f.Kind == FaultMachineAnew)
	}
}
