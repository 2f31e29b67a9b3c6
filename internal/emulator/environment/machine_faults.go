package environment

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// machineFault returns a fault of machines, which are chosen when it begins. do begins the
// fault on one machine and returns the function that ends it there, nil if it does not end.
func machineFault(do func(*machine, Fault) (undo func())) prepareFault {
	return func(env *Environment, f Fault) (beginFault, error) {
		return func() func() {
			var undos []func()
			for _, m := range env.chooseMachines(f) {
				if undo := do(m, f); undo != nil {
					undos = append(undos, undo)
				}
			}
			return func() {
				for _, undo := range undos {
					undo()
				}
			}
		}, nil
	}
}

// chooseMachines returns the running machines that a fault affects: those named in Hosts, or
// otherwise a random choice of Count machines, or of the share Share, in which machines with
// tasks of the class Class come first.
func (env *Environment) chooseMachines(f Fault) []*machine {
	var up, named []*machine
	for _, m := range env.cloud.order {
		switch {
		case m.gone || !m.up || f.Kind == FaultSpotWave && !m.spot:
		case slices.Contains(f.Hosts, m.name):
			named = append(named, m)
		default:
			up = append(up, m)
		}
	}
	if len(f.Hosts) > 0 {
		return named
	}
	env.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
	if f.Class != "" {
		slices.SortStableFunc(up, func(a, b *machine) int { return cmp.Compare(a.classRank(f.Class), b.classRank(f.Class)) })
	}
	count := f.Count
	if count == 0 {
		count = int(float64(len(up)) * f.Share)
	}
	return up[:min(count, len(up))]
}

// classRank returns 0 if the machine has a task of a class of jobs that has not ended, and 1
// otherwise.
func (m *machine) classRank(class string) int {
	if slices.ContainsFunc(m.tasks, func(t *task) bool { return t.spec().Class == class && t.state != wire.Ended }) {
		return 0
	}
	return 1
}

// restartMachines restarts the worker of each chosen machine. The fault has no end function,
// as the workers start again by themselves after Duration.
func restartMachines(env *Environment, f Fault) (beginFault, error) {
	return func() func() {
		for _, m := range env.chooseMachines(f) {
			m.restart(f.Duration, f.Kind == FaultWorkerReset)
		}
		return nil
	}, nil
}

// blockCommands partitions a machine from controllers in one direction: no response and no command
// of a controller reaches it.
func blockCommands(m *machine, f Fault) func() {
	mode := f.PartitionMode
	mode.OneWay = true
	begin, err := m.env.partition([]string{"controllers"}, []string{m.name}, mode)
	if err != nil {
		return nil
	}
	return begin()
}

// isolateMachine partitions a machine from all other hosts.
func isolateMachine(m *machine, _ Fault) func() {
	begin, err := m.env.partition([]string{m.name}, []string{"all"}, PartitionMode{})
	if err != nil {
		return nil
	}
	return begin()
}

// copyReports duplicates reports while the fault lasts, or, with UntilNextLeader, holds copies
// of reports for the next leader.
func copyReports(env *Environment, f Fault) (beginFault, error) {
	if f.UntilNextLeader {
		return func() func() {
			env.heldReports.share = f.Share
			return func() { env.heldReports.share = 0 }
		}, nil
	}
	if f.Factor <= 0 {
		return nil, errFactorNotPositive
	}
	return func() func() {
		env.duplicates = duplicateReports{f.Share, f.Factor}
		return func() { env.duplicates = duplicateReports{} }
	}, nil
}
