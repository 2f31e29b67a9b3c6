package environment

import (
	"errors"
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
)

// Fault is something that happens at At and, where it lasts, ends after Duration.
type Fault struct {
	At, Duration int64
	Kind         FaultKind
	// Hosts is what it affects: controllers or machines by name, "all", or, for a
	// partition, the sets of one side; To is the other side, everybody if it is empty.
	Hosts, To []string
	// Count is how many machines it affects, if none is named; Share is the
	// share of machines or of capacity.
	Count int
	Share float64
	// Class, if it is set, has those machines chosen first that have a task of
	// that class of jobs.
	Class string
	// Factor is how many times as slow something is.
	Factor float64
	// OnlyAnswers has FaultLateWrites carry out writes at once and lose their answers alone.
	// UntilNextLeader has FaultReportCopies hold copies until the next leader has begun.
	OnlyAnswers, UntilNextLeader bool
	PartitionMode
	// TransactionLoss is what FaultStateLose does.
	TransactionLoss *TransactionLoss
}

// schedule injects a fault at its time.
func (env *Environment) schedule(f Fault) error {
	begin, err := env.prepareFault(f)
	if err != nil {
		return err
	}
	env.timers.Add(f.At, func() { env.runFault(f, begin) })
	return nil
}

// InjectFault begins a fault now.
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

// prepareFault checks a fault and returns what begins it.
type prepareFault func(*Environment, Fault) (beginFault, error)

// beginFault begins a fault and returns what ends it, nil if it has no end.
type beginFault func() (end func())

// prepareFault checks a fault and returns what begins it.
func (env *Environment) prepareFault(f Fault) (beginFault, error) {
	prepare := faultTypes[f.Kind].prepare
	if prepare == nil {
		return nil, fmt.Errorf("unknown kind %q", f.Kind)
	}
	return prepare(env, f)
}

// toggle makes a fault that sets something and, at its end, resets it.
func toggle(set func(env *Environment, on bool)) prepareFault {
	return func(env *Environment, _ Fault) (beginFault, error) {
		return func() func() {
			set(env, true)
			return func() { set(env, false) }
		}, nil
	}
}

// forControllers makes a fault of the controllers that Hosts names.
func forControllers(prepare func(*Environment, Fault, []*controller) beginFault) prepareFault {
	return func(env *Environment, f Fault) (beginFault, error) {
		all := len(f.Hosts) == 0 || slices.Contains(f.Hosts, "all")
		var chosen []*controller
		for _, n := range env.controllers {
			if all || slices.Contains(f.Hosts, n.name) {
				chosen = append(chosen, n)
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
		for _, n := range controllers {
			env.crash(n, f.Duration)
		}
		return nil
	}
}

func restartInTurn(env *Environment, f Fault, controllers []*controller) beginFault {
	return func() func() {
		for i, n := range controllers {
			env.after(int64(i)*f.Duration, func() { env.crash(n, 0) })
		}
		return nil
	}
}

func freezeControllers(env *Environment, _ Fault, controllers []*controller) beginFault {
	set := func(on bool) {
		for _, n := range controllers {
			n.frozen = on
			env.emit(Freeze{n.name, on})
		}
	}
	return func() func() {
		set(true)
		return func() { set(false) }
	}
}

func refuseControllers(env *Environment, _ Fault, controllers []*controller) beginFault {
	set := func(on bool) {
		for _, n := range controllers {
			n.refused = on
		}
		env.state.wakeWatches()
	}
	return func() func() {
		set(true)
		return func() { set(false) }
	}
}

// crash ends a controller, which is back after a time, RestartTime if that is 0.
func (env *Environment) crash(n *controller, away int64) {
	if !n.up {
		return
	}
	n.up = false
	env.network.forgetConnections(n.name)
	env.emit(Kill{n.name})
	env.record(history.Event{Kind: history.ControllerChanged, Node: n.name, State: "killed"})
	if away == 0 {
		away = env.RestartTime
	}
	env.after(away, func() { env.emit(Start{n.name}) })
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
		// The sets were checked; hosts may have come since.
		x, errA := env.network.hostSet(a)
		y, errB := env.network.hostSet(b)
		if errA != nil || errB != nil {
			return nil
		}
		return env.network.beginPartition(x, y, mode)
	}, nil
}
