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
func (w *Environment) schedule(f Fault) error {
	begin, err := w.prepareFault(f)
	if err != nil {
		return err
	}
	w.timers.Add(f.At, func() { w.runFault(f, begin) })
	return nil
}

// InjectFault begins a fault now.
func (w *Environment) InjectFault(f Fault) error {
	begin, err := w.prepareFault(f)
	if err == nil {
		w.runFault(f, begin)
	}
	return err
}

func (w *Environment) runFault(f Fault, begin beginFault) {
	w.record(history.Event{Kind: history.FaultChanged, Reason: string(f.Kind), State: "begins"})
	end := begin()
	if end == nil || f.Duration <= 0 {
		return
	}
	w.after(f.Duration, func() {
		end()
		w.record(history.Event{Kind: history.FaultChanged, Reason: string(f.Kind), State: "ends"})
	})
}

// prepareFault checks a fault and returns what begins it.
type prepareFault func(*Environment, Fault) (beginFault, error)

// beginFault begins a fault and returns what ends it, nil if it has no end.
type beginFault func() (end func())

// prepareFault checks a fault and returns what begins it.
func (w *Environment) prepareFault(f Fault) (beginFault, error) {
	prepare := faultTypes[f.Kind].prepare
	if prepare == nil {
		return nil, fmt.Errorf("unknown kind %q", f.Kind)
	}
	return prepare(w, f)
}

// toggle makes a fault that sets something and, at its end, resets it.
func toggle(set func(w *Environment, on bool)) prepareFault {
	return func(w *Environment, _ Fault) (beginFault, error) {
		return func() func() {
			set(w, true)
			return func() { set(w, false) }
		}, nil
	}
}

// forControllers makes a fault of the controllers that Hosts names.
func forControllers(prepare func(*Environment, Fault, []*controller) beginFault) prepareFault {
	return func(w *Environment, f Fault) (beginFault, error) {
		all := len(f.Hosts) == 0 || slices.Contains(f.Hosts, "all")
		var chosen []*controller
		for _, n := range w.controllers {
			if all || slices.Contains(f.Hosts, n.name) {
				chosen = append(chosen, n)
			}
		}
		for _, host := range f.Hosts {
			if host != "all" && w.controller(host) == nil {
				return nil, fmt.Errorf("no controller is called %q", host)
			}
		}
		return prepare(w, f, chosen), nil
	}
}

func crashControllers(w *Environment, f Fault, controllers []*controller) beginFault {
	return func() func() {
		for _, n := range controllers {
			w.crash(n, f.Duration)
		}
		return nil
	}
}

func restartInTurn(w *Environment, f Fault, controllers []*controller) beginFault {
	return func() func() {
		for i, n := range controllers {
			w.after(int64(i)*f.Duration, func() { w.crash(n, 0) })
		}
		return nil
	}
}

func freezeControllers(w *Environment, _ Fault, controllers []*controller) beginFault {
	set := func(on bool) {
		for _, n := range controllers {
			n.frozen = on
			w.emit(Freeze{n.name, on})
		}
	}
	return func() func() {
		set(true)
		return func() { set(false) }
	}
}

func refuseControllers(w *Environment, _ Fault, controllers []*controller) beginFault {
	set := func(on bool) {
		for _, n := range controllers {
			n.refused = on
		}
		w.state.wakeWatches()
	}
	return func() func() {
		set(true)
		return func() { set(false) }
	}
}

// crash ends a controller, which is back after a time, RestartTime if that is 0.
func (w *Environment) crash(n *controller, away int64) {
	if !n.up {
		return
	}
	n.up = false
	w.network.forgetConnections(n.name)
	w.emit(Kill{n.name})
	w.record(history.Event{Kind: history.ControllerChanged, Node: n.name, State: "killed"})
	if away == 0 {
		away = w.RestartTime
	}
	w.after(away, func() { w.emit(Start{n.name}) })
}

func preparePartition(w *Environment, f Fault) (beginFault, error) {
	if len(f.Hosts) == 0 {
		return nil, errors.New("hosts: missing")
	}
	to := f.To
	if len(to) == 0 {
		to = []string{"all"}
	}
	return w.partition(f.Hosts, to, f.PartitionMode)
}

func (w *Environment) partition(a, b []string, mode PartitionMode) (beginFault, error) {
	if _, err := w.network.hostSet(slices.Concat(a, b)); err != nil {
		return nil, err
	}
	return func() func() {
		// The sets were checked; hosts may have come since.
		x, errA := w.network.hostSet(a)
		y, errB := w.network.hostSet(b)
		if errA != nil || errB != nil {
			return nil
		}
		return w.network.beginPartition(x, y, mode)
	}, nil
}
