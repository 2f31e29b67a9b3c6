package environment

import (
	"errors"
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
)

// Fault is a fault that begins at At and, if its kind lasts, ends after Duration.
type Fault struct {
	At, Duration int64
	Kind         FaultKind
	// Hosts are the affected hosts: controllers or machines by name, "all", or, for a
	// partition, the host sets of one side. To is the other side, all hosts if it is empty.
	Hosts, To []string
	// Count is the number of affected machines if Hosts is empty. Share is the affected
	// share of machines, capacity, requests, reports or jobs.
	Count int
	Share float64
	// Class, if set, prefers machines that run a task of a job of this class.
	Class string
	// Factor is the factor by which something slows down. For FaultReportCopies it is the
	// maximum delay of a copy, in leases.
	Factor float64
	// LoseOnlyResponses makes FaultLateWrites execute writes at once and lose only their
	// responses. UntilNextLeader makes FaultReportCopies hold copies until the next leader
	// has started.
	LoseOnlyResponses, UntilNextLeader bool
	PartitionMode
	// TransactionLoss describes the loss for FaultStateLose.
	TransactionLoss *TransactionLoss
}

// schedule checks a fault and sets a timer that begins it at its time.
func (env *Environment) schedule(f Fault) error {
	begin, err := env.prepareFault(f)
	if err != nil {
		return err
	}
	env.timers.Add(f.At, func() { env.runFault(f, begin) })
	return nil
}

// InjectFault checks a fault and begins it now.
func (env *Environment) InjectFault(f Fault) error {
	begin, err := env.prepareFault(f)
	if err == nil {
		env.runFault(f, begin)
	}
	return err
}

func (env *Environment) runFault(f Fault, begin beginFault) {
	env.record(history.Event{Kind: history.FaultChanged, Reason: string(f.Kind), State: "begins"})
	end := begin()
	if end == nil || f.Duration <= 0 {
		return
	}
	env.after(f.Duration, func() {
		end()
		env.record(history.Event{Kind: history.FaultChanged, Reason: string(f.Kind), State: "ends"})
	})
}

// prepareFault is the implementation of a kind of fault: it checks a fault and returns the
// function that begins it.
type prepareFault func(*Environment, Fault) (beginFault, error)

// beginFault begins a fault and returns the function that ends it, nil if it does not end.
type beginFault func() (end func())

// prepareFault checks a fault and returns the function that begins it.
func (env *Environment) prepareFault(f Fault) (beginFault, error) {
	prepare := faultTypes[f.Kind].prepare
	if prepare == nil {
		return nil, fmt.Errorf("unknown kind %q", f.Kind)
	}
	return prepare(env, f)
}

// toggle returns a fault that calls set with true when it begins and with false when it ends.
func toggle(set func(env *Environment, on bool)) prepareFault {
	return func(env *Environment, _ Fault) (beginFault, error) {
		return func() func() {
			set(env, true)
			return func() { set(env, false) }
		}, nil
	}
}

// controllerFault returns a fault of the controllers in Hosts, or of all controllers if Hosts
// is empty or contains "all".
func controllerFault(prepare func(*Environment, Fault, []*controller) beginFault) prepareFault {
	return func(env *Environment, f Fault) (beginFault, error) {
		all := len(f.Hosts) == 0 || slices.Contains(f.Hosts, "all")
		var chosen []*controller
		for _, candidate := range env.controllers {
			if all || slices.Contains(f.Hosts, candidate.name) {
				chosen = append(chosen, candidate)
			}
		}
		for _, host := range f.Hosts {
			if host != "all" && env.controller(host) == nil {
				return nil, fmt.Errorf("no controller is called %q", host)
			}
		}
		return prepare(env, f, chosen), nil
	}
}

func crashControllers(env *Environment, f Fault, controllers []*controller) beginFault {
	return func() func() {
		for _, target := range controllers {
			env.crash(target, f.Duration)
		}
		return nil
	}
}

func restartInTurn(env *Environment, f Fault, controllers []*controller) beginFault {
	return func() func() {
		for i, target := range controllers {
			env.after(int64(i)*f.Duration, func() { env.crash(target, 0) })
		}
		return nil
	}
}

func freezeControllers(env *Environment, _ Fault, controllers []*controller) beginFault {
	set := func(on bool) {
		for _, target := range controllers {
			target.frozen = on
			env.emit(Freeze{target.name, on})
		}
	}
	return func() func() {
		set(true)
		return func() { set(false) }
	}
}

func refuseControllers(env *Environment, _ Fault, controllers []*controller) beginFault {
	set := func(on bool) {
		for _, target := range controllers {
			target.refused = on
		}
		env.state.wakeWatches()
	}
	return func() func() {
		set(true)
		return func() { set(false) }
	}
}

// crash kills a controller and starts it again after downtime, or after RestartTime if downtime
// is 0.
func (env *Environment) crash(target *controller, downtime int64) {
	if !target.up {
		return
	}
	target.up = false
	env.network.forgetConnections(target.name)
	env.emit(Kill{target.name})
	env.record(history.Event{Kind: history.ControllerChanged, Node: target.name, State: "killed"})
	if downtime == 0 {
		downtime = env.RestartTime
	}
	env.after(downtime, func() { env.emit(Start{target.name}) })
}

func preparePartition(env *Environment, f Fault) (beginFault, error) {
	if len(f.Hosts) == 0 {
		return nil, errors.New("hosts: missing")
	}
	to := f.To
	if len(to) == 0 {
		to = []string{"all"}
	}
	return env.partition(f.Hosts, to, f.PartitionMode)
}

func (env *Environment) partition(a, b []string, mode PartitionMode) (beginFault, error) {
	if _, err := env.network.hostSet(slices.Concat(a, b)); err != nil {
		return nil, err
	}
	return func() func() {
		// Both sets were valid above. They are parsed again as hosts may have been added since.
		hostsA, errA := env.network.hostSet(a)
		hostsB, errB := env.network.hostSet(b)
		if errA != nil || errB != nil {
			return nil
		}
		return env.network.beginPartition(hostsA, hostsB, mode)
	}, nil
}
