package history

import (
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// This file checks that the scheduler is work-conserving: once all faults are over, no job waits
// for long while a machine that suits it has room and its team is under its limit. The time
// starts again after any check that finds no room, so machines that fill and empty in turn as
// images are fetched and tasks end are no violation.

const (
	// maxWait is how long a job may wait while there is room, and waitCheckInterval the
	// time between two checks, in microseconds.
	maxWait           = 90_000_000
	waitCheckInterval = 1_000_000
)

// placements tracks the tasks on machines, from their placement until they leave.
type placements struct {
	tasks map[string]map[taskRef]bool // by machine
	where map[taskRef]string          // machine of the latest placement
	use   map[string]Limits           // by team
	// roomSince has the time since which there has been room for a waiting job.
	roomSince   map[string]int64
	nextCheckAt int64 // time of the next check
}

func newPlacements() placements {
	return placements{tasks: map[string]map[taskRef]bool{}, where: map[taskRef]string{}, use: map[string]Limits{}, roomSince: map[string]int64{}}
}

// place records that a task has been placed on a machine. An earlier attempt may still be on another
// machine; where has only the latest placement.
func (p *placements) place(spec *wire.Job, r taskRef, machine string) {
	if spec == nil || p.tasks[machine][r] {
		return
	}
	if p.tasks[machine] == nil {
		p.tasks[machine] = map[taskRef]bool{}
	}
	p.tasks[machine][r] = true
	p.where[r] = machine
	p.addUse(spec, 1)
}

// remove records that a task has left a machine.
func (p *placements) remove(spec *wire.Job, r taskRef, machine string) {
	if spec == nil || !p.tasks[machine][r] {
		return
	}
	delete(p.tasks[machine], r)
	if p.where[r] == machine {
		delete(p.where, r)
	}
	p.addUse(spec, -1)
}

// addUse adds the resources of n tasks of a job to those that its team uses.
func (p *placements) addUse(spec *wire.Job, n float64) {
	u := p.use[spec.Team]
	p.use[spec.Team] = Limits{u.CPUs + n*spec.CPUs, u.GPUs + n*spec.GPUs}
}

// freeRoom returns the free resources of a machine.
func (k *checker) freeRoom(m string) (cpus, gpus, mem float64) {
	t := k.expected.Types[k.machines[m].Type]
	cpus, gpus, mem = t.CPUs, t.GPUs, t.MemGB
	for r := range k.placed.tasks[m] {
		s := k.expected.Jobs[r.job]
		cpus, gpus, mem = cpus-s.CPUs, gpus-s.GPUs, mem-s.MemGB
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

// hasRoom reports whether a task of a job that is not on a machine could be placed now, or, for a
// gang, all of its tasks.
func (k *checker) hasRoom(s *wire.Job, j *jobState) bool {
	for _, a := range s.DependsOn {
		if n := k.jobs[a]; n == nil || len(n.done) < k.tasks(a) {
			return false
		}
	}
	left, zones := k.unplaced(s, j)
	want := 1
	if s.Kind == wire.Gang {
		if want = left; left < s.Tasks {
			return false // an attempt is in progress or about to end
		}
	}
	if left == 0 || !k.isUnderLimit(s, want) {
		return false
	}
	return usableRoom(s, k.roomByZone(s, want), zones) >= want
}

// roundingError is the tolerance for sums of CPUs, GPUs and memory.
const roundingError = 1e-6

// unplaced returns the number of tasks of a job that are neither done nor on a machine, and the
// number of tasks on machines in each zone.
func (k *checker) unplaced(s *wire.Job, j *jobState) (left int, zones map[string]int) {
	zones = map[string]int{}
	for i := range s.Tasks {
		if m, ok := k.placed.where[taskRef{s.ID, i}]; ok {
			zones[k.machines[m].Zone]++
		} else if !j.done[i] {
			left++
		}
	}
	return left, zones
}

// isUnderLimit reports whether the limits of a job's team allow the given number of its tasks
// in addition.
func (k *checker) isUnderLimit(s *wire.Job, tasks int) bool {
	limits, use := k.expected.Teams[s.Team], k.placed.use[s.Team]
	n := float64(tasks)
	return (limits.CPUs <= 0 || use.CPUs+n*s.CPUs <= limits.CPUs+roundingError) &&
		(limits.GPUs <= 0 || use.GPUs+n*s.GPUs <= limits.GPUs+roundingError)
}

// roomByZone returns for how many tasks of a job the machines in each zone have room, if each
// machine gets no more than most of them.
func (k *checker) roomByZone(s *wire.Job, most int) map[string]int {
	room := map[string]int{}
	for name, m := range k.machines {
		if !isAllowedOn(s, m) {
			continue
		}
		cpus, gpus, mem := k.freeRoom(name)
		fit := most
		for _, x := range []struct{ free, wanted float64 }{{cpus, s.CPUs}, {gpus, s.GPUs}, {mem, s.MemGB}} {
			if x.wanted > 0 {
				fit = min(fit, int((x.free+roundingError)/x.wanted))
			}
		}
		room[m.Zone] += max(fit, 0)
	}
	return room
}

// isAllowedOn reports whether a job's constraints on zone, type and spot allow a machine.
func isAllowedOn(s *wire.Job, machine Event) bool {
	return (s.Zone == nil || *s.Zone == machine.Zone) && (s.Spot || !machine.Spot) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, machine.Type))
}

// usableRoom returns how many of the tasks for which the zones have room a job can place at once
// under its zone constraints, given the zones of its placed tasks.
func usableRoom(s *wire.Job, room, placed map[string]int) int {
	usable := 0
	for zone, n := range room {
		if s.Spread {
			n = min(n, (s.Tasks+1)/2-placed[zone])
		}
		if !s.OneZone {
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
