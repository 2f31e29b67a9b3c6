package history

import (
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// This file checks that the scheduler is work-conserving: once all faults are over, no job waits
// for long while a machine that suits it has room and its team is under its limit. The waiting
// time starts again after any check that finds no room, so machines that fill and empty in turn,
// as images are fetched and tasks end, cause no violation.

const (
	// maxWait is the maximum time that a job may wait while there is room, and
	// waitCheckInterval the time between two checks, in microseconds.
	maxWait           = 90_000_000
	waitCheckInterval = 1_000_000
)

// placements tracks the tasks on machines, from their placement until they leave.
type placements struct {
	tasks map[string]map[taskRef]bool // by machine
	where map[taskRef]string          // machine of the latest placement
	use   map[string]Limits           // by team
	// roomSince has, for each waiting job for which there is room, the time since which there
	// has been room.
	roomSince   map[string]int64
	nextCheckAt int64 // time of the next check
}

func newPlacements() placements {
	return placements{tasks: map[string]map[taskRef]bool{}, where: map[taskRef]string{}, use: map[string]Limits{}, roomSince: map[string]int64{}}
}

// place records that a task has been placed on a machine. An earlier attempt may still be on
// another machine; where has only the latest placement.
func (p *placements) place(spec *wire.Job, ref taskRef, machine string) {
	if spec == nil || p.tasks[machine][ref] {
		return
	}
	if p.tasks[machine] == nil {
		p.tasks[machine] = map[taskRef]bool{}
	}
	p.tasks[machine][ref] = true
	p.where[ref] = machine
	p.addUse(spec, 1)
}

// remove records that a task has left a machine.
func (p *placements) remove(spec *wire.Job, ref taskRef, machine string) {
	if spec == nil || !p.tasks[machine][ref] {
		return
	}
	delete(p.tasks[machine], ref)
	if p.where[ref] == machine {
		delete(p.where, ref)
	}
	p.addUse(spec, -1)
}

// addUse adds the resources of n tasks of a job to those that its team uses.
func (p *placements) addUse(spec *wire.Job, n float64) {
	u := p.use[spec.Team]
	p.use[spec.Team] = Limits{u.CPUs + n*spec.CPUs, u.GPUs + n*spec.GPUs}
}

// freeRoom returns the free resources of a machine.
func (k *checker) freeRoom(machine string) (cpus, gpus, mem float64) {
	machineType := k.expected.Types[k.machines[machine].Type]
	cpus, gpus, mem = machineType.CPUs, machineType.GPUs, machineType.MemGB
	for ref := range k.placed.tasks[machine] {
		spec := k.expected.Jobs[ref.job]
		cpus, gpus, mem = cpus-spec.CPUs, gpus-spec.GPUs, mem-spec.MemGB
	}
	return cpus, gpus, mem
}

// checkWaiting checks all waiting jobs, once in waitCheckInterval.
func (k *checker) checkWaiting(now int64) {
	p := &k.placed
	if now < p.nextCheckAt || k.expected.Types == nil || now < k.quietSince {
		return
	}
	p.nextCheckAt = now + waitCheckInterval
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j, spec := k.jobs[id], k.expected.Jobs[id]
		if spec == nil || !j.accepted || j.isOver() || j.cancelRequested || k.dependencyCancelRequested(id) || len(j.done) >= spec.Tasks || !k.hasRoom(spec, j) {
			delete(p.roomSince, id)
			continue
		}
		if p.roomSince[id] == 0 {
			p.roomSince[id] = now
		} else if now-p.roomSince[id] >= maxWait {
			k.addViolation("left_waiting", "%s waits for %d s though there is room", id, maxWait/1_000_000)
		}
	}
}

// hasRoom reports whether there is room now for at least one of a job's tasks that still have to be
// placed or, for a gang, for all of its tasks.
func (k *checker) hasRoom(spec *wire.Job, j *jobState) bool {
	for _, id := range spec.DependsOn {
		if dependency := k.jobs[id]; dependency == nil || len(dependency.done) < k.tasks(id) {
			return false
		}
	}
	remaining, zones := k.unplaced(spec, j)
	want := 1
	if spec.Kind == wire.Gang {
		if want = remaining; remaining < spec.Tasks {
			return false // an attempt is in progress or about to end
		}
	}
	if remaining == 0 || !k.isUnderLimit(spec, want) {
		return false
	}
	return usableRoom(spec, k.roomByZone(spec, want), zones) >= want
}

// roundingError is the tolerance for sums of CPUs, GPUs and memory.
const roundingError = 1e-6

// unplaced returns the number of tasks of a job that are neither done nor on a machine, and the
// number of its tasks that are on machines in each zone.
func (k *checker) unplaced(spec *wire.Job, j *jobState) (remaining int, zones map[string]int) {
	zones = map[string]int{}
	for i := range spec.Tasks {
		if machine, ok := k.placed.where[taskRef{spec.ID, i}]; ok {
			zones[k.machines[machine].Zone]++
		} else if !j.done[i] {
			remaining++
		}
	}
	return remaining, zones
}

// isUnderLimit reports whether the limits of a job's team allow the given number of additional
// tasks of the job.
func (k *checker) isUnderLimit(spec *wire.Job, tasks int) bool {
	limits, use := k.expected.Teams[spec.Team], k.placed.use[spec.Team]
	n := float64(tasks)
	return (limits.CPUs <= 0 || use.CPUs+n*spec.CPUs <= limits.CPUs+roundingError) &&
		(limits.GPUs <= 0 || use.GPUs+n*spec.GPUs <= limits.GPUs+roundingError)
}

// roomByZone returns the number of tasks of a job for which the machines in each zone have room,
// counting at most maxPerMachine tasks for each machine.
func (k *checker) roomByZone(spec *wire.Job, maxPerMachine int) map[string]int {
	room := map[string]int{}
	for name, m := range k.machines {
		if !isAllowedOn(spec, m) {
			continue
		}
		cpus, gpus, mem := k.freeRoom(name)
		fit := maxPerMachine
		for _, resource := range []struct{ free, wanted float64 }{{cpus, spec.CPUs}, {gpus, spec.GPUs}, {mem, spec.MemGB}} {
			if resource.wanted > 0 {
				fit = min(fit, int((resource.free+roundingError)/resource.wanted))
			}
		}
		room[m.Zone] += max(fit, 0)
	}
	return room
}

// isAllowedOn reports whether a job's constraints on zone, type and spot allow a machine.
func isAllowedOn(spec *wire.Job, machine Event) bool {
	return (spec.Zone == nil || *spec.Zone == machine.Zone) && (spec.Spot || !machine.Spot) &&
		(len(spec.Types) == 0 || slices.Contains(spec.Types, machine.Type))
}

// usableRoom returns the number of tasks that a job can place at once under its zone constraints.
// room is the number of tasks for which each zone has room, and placed the number of the job's
// tasks that are on machines in each zone.
func usableRoom(spec *wire.Job, room, placed map[string]int) int {
	usable := 0
	for zone, n := range room {
		if spec.Spread {
			n = min(n, (spec.Tasks+1)/2-placed[zone])
		}
		if !spec.OneZone {
			usable += max(n, 0)
			continue
		}
		if len(placed) > 0 && placed[zone] == 0 {
			n = 0
		}
		usable = max(usable, n)
	}
	return usable
}

// recordInvalid records a submission that has to be refused.
func (k *checker) recordInvalid(e *Event) { k.job(e.Job).invalidReason = e.Reason }

// checkNotAccepted checks that a submission that has to be refused is not accepted.
func (k *checker) checkNotAccepted(e *Event, j *jobState) {
	if j.invalidReason != "" && e.Op == Submit && (e.Status == 200 || e.Status == 201) {
		k.addViolation("accepted_unfit", "%s is accepted: %s", e.Job, j.invalidReason)
	}
}
