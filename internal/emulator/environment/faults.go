package environment

import (
	"fmt"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Fault is something that happens at At and, where it lasts, ends after For.
type Fault struct {
	At, Duration int64
	// Kind is one of Kinds.
	Kind string
	// Hosts is whom it befalls: controllers or machines by name, "all", or,
	// for a cut, the sets of one side; To is the other side, everybody if it
	// is empty.
	Hosts, To []string
	// Count is how many machines it befalls, if none is named; Share is the
	// share of machines or of capacity.
	Count int
	Share float64
	// Class, if it is set, has those machines chosen first that have a task of
	// that class of jobs.
	Class string
	// Factor is how many times as slow something is.
	Factor float64
	// OnlyAnswers: late_writes are carried out at once, and only their answers are
	// lost. UntilNextLeader: report_copies are kept until the next leader has begun.
	OnlyAnswers, UntilNextLeader bool
	// Cutting is how a cut is made.
	PartitionMode
	TransactionLoss *TransactionLoss
}

// FaultKinds are the kinds of faults and what they do.
var FaultKinds = map[string]string{
	"crash":          "controllers end, and are started again, For later if that is given",
	"roll":           "controllers are restarted one after the other, For apart",
	"freeze":         "controllers stand still",
	"cut":            "no message passes between Hosts and To",
	"state_outage":   "the state service answers nobody",
	"state_cold":     "the state service answers nobody, and has forgotten older changes when it is back",
	"state_refuse":   "the state service refuses controllers",
	"state_slow":     "the state service takes Factor times as long",
	"state_limits":   "the state service's limits fall to those announced",
	"state_lose":     "a transaction is lost, or its answer",
	"late_writes":    "Share of the transactions get no answer and are executed 2 to 12 s later, or at once",
	"late_leases":    "the same of renewals, new leases and dropped ones",
	"cloud_outage":   "the cloud's interface is down",
	"cloud_refuse":   "the cloud has no machine to give",
	"cloud_capacity": "the cloud has only Share of its capacity",
	"cloud_slow":     "machines take Factor times as long to come up",
	"spot_wave":      "Share of the spot machines are taken back",
	"machine_die":    "machines stop for good",
	"machine_hang":   "machines stand still",
	"machine_silent": "machines are cut off from everybody",
	"machine_faulty": "machines fail every task",
	"machine_deaf":   "machines are heard, and no answer or order gets to them",
	"machine_back":   "machines lose their tasks and are back after For; their reports' numbers go on",
	"machine_anew":   "machines lose their tasks and are back after For; their reports' numbers begin anew",
	"machine_mute":   "machines reach no controller, while direct commands reach them",
	"report_copies":  "copies of Share of the reports come again, up to Factor leases late, or to all controllers as the next leader begins",
	"cancel_now":     "Count jobs that have long to go are cancelled within a fifth of a second; eight of their machines hang for For",
	"cancel_at_end":  "Share of the jobs that end are cancelled, asked about and submitted again at that moment",
	"close_looks":    "users ask at all controllers within milliseconds after each acceptance and each end",
	"odd_requests":   "users repeat submissions, cancel what is done, and send jobs that can't run or lack a field",
}

// schedule plans a fault.
func (w *Environment) schedule(f Fault) error {
	begin, err := w.prepareFault(f)
	if err != nil {
		return err
	}
	w.timers.Add(f.At, func() { w.runFault(f, begin) })
	return nil
}

// InjectFault lets a fault happen now.
func (w *Environment) InjectFault(f Fault) error {
	begin, err := w.prepareFault(f)
	if err == nil {
		w.runFault(f, begin)
	}
	return err
}

func (w *Environment) runFault(f Fault, begin func() (end func())) {
	w.record(history.Event{Kind: history.FaultChanged, Reason: f.Kind, State: "begins"})
	end := begin()
	if end == nil || f.Duration <= 0 {
		return
	}
	w.after(f.Duration, func() {
		end()
		w.record(history.Event{Kind: history.FaultChanged, Reason: f.Kind, State: "ends"})
	})
}

// prepareFault checks a fault and returns what begins it; that returns what ends it.
func (w *Environment) prepareFault(f Fault) (begin func() (end func()), err error) {
	if FaultKinds[f.Kind] == "" {
		return nil, fmt.Errorf("unknown kind %q", f.Kind)
	}
	var nodes []*controller
	if slices.Contains([]string{"crash", "roll", "freeze", "state_refuse"}, f.Kind) {
		for _, n := range w.controllers {
			if len(f.Hosts) == 0 || slices.Contains(f.Hosts, "all") || slices.Contains(f.Hosts, n.name) {
				nodes = append(nodes, n)
			}
		}
		for _, h := range f.Hosts {
			if h != "all" && w.controller(h) == nil {
				return nil, fmt.Errorf("no controller is called %q", h)
			}
		}
	}
	switch f.Kind {
	case "crash":
		return func() func() {
			for _, n := range nodes {
				w.crash(n, f.Duration)
			}
			return nil
		}, nil
	case "roll":
		return func() func() {
			for i, n := range nodes {
				w.after(int64(i)*f.Duration, func() { w.crash(n, 0) })
			}
			return nil
		}, nil
	case "freeze":
		set := func(on bool) {
			for _, n := range nodes {
				n.frozen = on
				w.emit(Freeze{n.name, on})
			}
		}
		return func() func() { set(true); return func() { set(false) } }, nil
	case "cut":
		if len(f.Hosts) == 0 {
			return nil, fmt.Errorf("hosts: missing")
		}
		to := f.To
		if len(to) == 0 {
			to = []string{"all"}
		}
		return w.partition(f.Hosts, to, f.PartitionMode)
	case "state_outage", "state_cold":
		return func() func() {
			w.state.down, w.state.coldRestart = true, f.Kind == "state_cold"
			return w.state.recover
		}, nil
	case "state_refuse":
		set := func(on bool) {
			for _, n := range nodes {
				n.refused = on
			}
			w.state.wakeWatches()
		}
		return func() func() { set(true); return func() { set(false) } }, nil
	case "state_slow", "cloud_slow":
		if f.Factor <= 0 {
			return nil, fmt.Errorf("factor: must be positive")
		}
		v := &w.state.slowFactor
		if f.Kind == "cloud_slow" {
			v = &w.cloud.bootFactor
		}
		return func() func() { *v = f.Factor; return func() { *v = 1 } }, nil
	case "state_limits":
		return func() func() { w.state.limits = w.Params.StrictestStateLimits(); return nil }, nil
	case "state_lose":
		if f.TransactionLoss == nil || !slices.Contains([]string{"before", "after", "late"}, f.TransactionLoss.Outcome) {
			return nil, fmt.Errorf("lose.how: must be before, after or late")
		}
		return func() func() {
			w.state.transactionLosses = append(w.state.transactionLosses, f.TransactionLoss)
			return nil
		}, nil
	case "late_writes", "late_leases":
		v := &w.state.delayedWriteShare
		if f.Kind == "late_leases" {
			v = &w.state.delayedLeaseShare
		}
		if f.OnlyAnswers {
			v = &w.state.lostAnswerShare
		}
		return func() func() { *v = f.Share; return func() { *v = 0 } }, nil
	case "report_copies":
		if f.UntilNextLeader {
			return func() func() { w.heldReports.share = f.Share; return func() { w.heldReports.share = 0 } }, nil
		}
		if f.Factor <= 0 {
			return nil, fmt.Errorf("factor: must be positive")
		}
		return func() func() {
			w.copies = duplicateReports{f.Share, f.Factor}
			return func() { w.copies = duplicateReports{} }
		}, nil
	case "cancel_now":
		return func() func() { return w.cancelNow(f.Count, f.Duration > 0) }, nil
	case "cancel_at_end":
		return func() func() {
			w.balancer.cancelAtEndShare = f.Share
			return func() { w.balancer.cancelAtEndShare = 0 }
		}, nil
	case "close_looks":
		return func() func() {
			w.balancer.probeAfterAnswers = true
			return func() { w.balancer.probeAfterAnswers = false }
		}, nil
	case "odd_requests":
		return func() func() { return w.balancer.sendInvalidRequests() }, nil
	case "cloud_outage":
		return func() func() { w.cloud.down = true; return func() { w.cloud.down = false } }, nil
	case "cloud_refuse":
		return func() func() { w.cloud.refusing = true; return func() { w.cloud.refusing = false } }, nil
	case "cloud_capacity":
		return func() func() { w.cloud.capacityShare = f.Share; return func() { w.cloud.capacityShare = 1 } }, nil
	}
	return w.prepareMachineFault(f)
}

// crash ends a controller, which is back after away, or as long as is usual.
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

func (w *Environment) partition(a, b []string, how PartitionMode) (func() func(), error) {
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
		return w.network.beginPartition(x, y, how)
	}, nil
}

// prepareMachineFault is one that befalls machines, which are chosen when it begins.
func (w *Environment) prepareMachineFault(f Fault) (func() func(), error) {
	choose := func() []*machine {
		var up, l []*machine
		for _, m := range w.cloud.order {
			switch {
			case m.gone || !m.up || f.Kind == "spot_wave" && !m.spot:
			case slices.Contains(f.Hosts, m.name):
				l = append(l, m)
			default:
				up = append(up, m)
			}
		}
		if len(f.Hosts) > 0 {
			return l
		}
		w.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
		if f.Class != "" {
			without := func(m *machine) int {
				if slices.ContainsFunc(m.tasks, func(t *task) bool { return t.spec().Class == f.Class && t.state != wire.Ended }) {
					return 0
				}
				return 1
			}
			slices.SortStableFunc(up, func(a, b *machine) int { return without(a) - without(b) })
		}
		n := f.Count
		if n == 0 {
			n = int(float64(len(up)) * f.Share)
		}
		return up[:min(n, len(up))]
	}
	each := func(do func(*machine) (undo func())) func() func() {
		return func() func() {
			var undo []func()
			for _, m := range choose() {
				if u := do(m); u != nil {
					undo = append(undo, u)
				}
			}
			return func() {
				for _, u := range undo {
					u()
				}
			}
		}
	}
	switch f.Kind {
	case "spot_wave":
		return each(func(m *machine) func() { w.cloud.reclaim(m); return nil }), nil
	case "machine_die":
		return each(func(m *machine) func() { w.cloud.died(m); return nil }), nil
	case "machine_hang":
		return each(func(m *machine) func() { m.hang(); return m.resume }), nil
	case "machine_mute":
		return each(func(m *machine) func() { m.mute = true; return func() { m.mute = false } }), nil
	case "machine_faulty":
		return each(func(m *machine) func() { m.faulty = true; return func() { m.faulty = false } }), nil
	case "machine_back", "machine_anew":
		return func() func() {
			for _, m := range choose() {
				m.restart(f.Duration, f.Kind == "machine_anew")
			}
			return nil
		}, nil
	case "machine_deaf":
		how := f.PartitionMode
		how.OneWay = true
		return each(func(m *machine) func() {
			begin, err := w.partition([]string{"controllers"}, []string{m.name}, how)
			if err != nil {
				return nil
			}
			return begin()
		}), nil
	case "machine_silent":
		return each(func(m *machine) func() {
			begin, err := w.partition([]string{m.name}, []string{"all"}, PartitionMode{})
			if err != nil {
				return nil
			}
			return begin()
		}), nil
	}
	return nil, fmt.Errorf("kind %q has no effect", f.Kind)
}

// FaultKindNames are the names of all kinds of faults, in order.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }
