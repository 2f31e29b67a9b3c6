package history

import (
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Work conservation: once all troubles are over, no job is left waiting for long
// while a machine that fits has room and its team is under its limit. A moment in
// which there is none begins the time anew, so fetches and ends that fill and free
// machines in turn are no breach.

const (
	// waitMost is how long a job may be left waiting, waitEvery how often that is
	// looked at.
	waitMost  = 90_000_000
	waitEvery = 1_000_000
)

// placed is what machines have: tasks from when they were given until they left.
type placed struct {
	on    map[string]map[ref]bool // by machine
	where map[ref]string
	use   map[string]Limits // by team
	// fits is since when there has been room for a job that waits.
	fits map[string]int64
	next int64
}

func newPlaced() placed {
	return placed{on: map[string]map[ref]bool{}, where: map[ref]string{}, use: map[string]Limits{}, fits: map[string]int64{}}
}

// give and free follow a task; machines with its earlier attempt don't matter.
func (p *placed) give(spec *wire.Job, r ref, machine string) {
	if spec == nil || p.on[machine][r] {
		return
	}
	if p.on[machine] == nil {
		p.on[machine] = map[ref]bool{}
	}
	p.on[machine][r] = true
	p.where[r] = machine
	p.count(spec, 1)
}

func (p *placed) free(spec *wire.Job, r ref, machine string) {
	if spec == nil || !p.on[machine][r] {
		return
	}
	delete(p.on[machine], r)
	if p.where[r] == machine {
		delete(p.where, r)
	}
	p.count(spec, -1)
}

func (p *placed) count(spec *wire.Job, n float64) {
	u := p.use[spec.Team]
	p.use[spec.Team] = Limits{u.CPUs + n*spec.CPUs, u.GPUs + n*spec.GPUs}
}

// room is what a machine has left.
func (k *checker) room(m string) (cpus, gpus, mem float64) {
	t := k.terms.Types[k.machines[m].Type]
	cpus, gpus, mem = t.CPUs, t.GPUs, t.MemGB
	for r := range k.placed.on[m] {
		s := k.terms.Jobs[r.job]
		cpus, gpus, mem = cpus-s.CPUs, gpus-s.GPUs, mem-s.MemGB
	}
	return cpus, gpus, mem
}

// waiting looks at all jobs that wait, now and then.
func (k *checker) waiting(now int64) {
	p := &k.placed
	if now < p.next || k.terms.Types == nil || now < k.quiet {
		return
	}
	p.next = now + waitEvery
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j, spec := k.jobs[id], k.terms.Jobs[id]
		if spec == nil || !j.accepted || j.over() || j.asked || k.askedBefore(id) || len(j.done) >= spec.Tasks || !k.hasRoom(spec, j) {
			delete(p.fits, id)
			continue
		}
		if p.fits[id] == 0 {
			p.fits[id] = now
		} else if now-p.fits[id] >= waitMost {
			k.breach("left_waiting", "%s waits for %d s though there is room", id, waitMost/1_000_000)
		}
	}
}

// hasRoom says whether a task of a job that nobody has could start now; of a gang
// all of its tasks.
func (k *checker) hasRoom(s *wire.Job, j *seen) bool {
	for _, a := range s.Awaits {
		if n := k.jobs[a]; n == nil || len(n.done) < k.tasks(a) {
			return false
		}
	}
	left, zones := 0, map[string]int{}
	for i := range s.Tasks {
		if m, ok := k.placed.where[ref{s.ID, i}]; ok {
			zones[k.machines[m].Zone]++
		} else if !j.done[i] {
			left++
		}
	}
	want := 1
	if s.Kind == wire.Gang {
		if want = left; left < s.Tasks {
			return false // an attempt is under way, or about to end
		}
	}
	const dust = 1e-6
	l, u := k.terms.Teams[s.Team], k.placed.use[s.Team]
	n := float64(want)
	if left == 0 || l.CPUs > 0 && u.CPUs+n*s.CPUs > l.CPUs+dust || l.GPUs > 0 && u.GPUs+n*s.GPUs > l.GPUs+dust {
		return false
	}
	room := map[string]int{} // by zone
	for name, m := range k.machines {
		if s.Zone != nil && *s.Zone != m.Zone || !s.Spot && m.Spot || len(s.Types) > 0 && !slices.Contains(s.Types, m.Type) {
			continue
		}
		cpus, gpus, mem := k.room(name)
		fit := want
		for _, x := range [][2]float64{{cpus, s.CPUs}, {gpus, s.GPUs}, {mem, s.MemGB}} {
			if x[1] > 0 {
				fit = min(fit, int((x[0]+dust)/x[1]))
			}
		}
		room[m.Zone] += max(fit, 0)
	}
	all := 0
	for z, n := range room {
		if s.Spread {
			n = min(n, (s.Tasks+1)/2-zones[z])
		}
		if s.OneZone {
			if len(zones) > 0 && zones[z] == 0 {
				n = 0
			}
			all = max(all, n)
		} else {
			all += max(n, 0)
		}
	}
	return all >= want
}

// unfit notes a submission that has to be refused, refused checks that it was.
func (k *checker) unfit(e *Event) { k.job(e.Job).unfit = e.Why }

func (k *checker) notAccepted(e *Event, j *seen) {
	if j.unfit != "" && e.Op == Submit && (e.Status == 200 || e.Status == 201) {
		k.breach("accepted_unfit", "%s is accepted: %s", e.Job, j.unfit)
	}
}
