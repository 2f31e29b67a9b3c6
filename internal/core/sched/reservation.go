package sched

import (
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// reservation is what is kept of a machine for a job from a time on: for a pivot, for
// one of the urgent jobs behind it, or because work was stopped there for it.
type reservation struct {
	from int64
	need jobstate.Resources
	job  *Job
	kind reservationKind
}

type reservationKind uint8

const (
	forPivot reservationKind = iota
	behindPivot
	forClaim
)

// blocks says whether j must respect the reservation. A pivot's binds everybody, a
// claim all that come later; what is reserved for a job behind the pivot binds
// what that job might preempt.
func (r *reservation) blocks(j *Job) bool {
	switch {
	case r.job.Job == j.Job:
		return false
	case r.kind == forClaim:
		return Before(r.job, j)
	case r.kind == behindPivot:
		return j.EffectivePriority < r.job.EffectivePriority || r.job.Guaranteed && !j.Guaranteed && r.job.Team != j.Team
	}
	return true
}

// Claim says that work was, or is to be, stopped on a machine for one task of a
// job. Until the job starts what comes free must go to nobody behind it: what was
// stopped would else be back there in the next round, as a machine comes free
// piece by piece, and be stopped again.
type Claim struct {
	Job     *jobstate.Job
	Machine string
}

// reserveClaims reserves what earlier rounds have claimed for jobs that still wait.
func (p *Planner) reserveClaims(jobs []*Job) {
	if len(p.Claims) == 0 {
		return
	}
	byJob := make(map[*jobstate.Job]*Job, len(jobs))
	for _, j := range jobs {
		byJob[j.Job] = j
	}
	for _, claim := range p.Claims {
		j, m := byJob[claim.Job], p.Index.Find(claim.Machine)
		if j == nil || m == nil {
			continue
		}
		p.resetForRound(m)
		m.reservations = append(m.reservations, reservation{from: p.Now, need: j.Need, job: j, kind: forClaim})
	}
}

// respectsReservations says that a task of j on m until end delays no job that m is
// reserved for.
func (p *Planner) respectsReservations(m *Machine, j *Job, end int64) bool {
	p.resetForRound(m)
	for i := range m.reservations {
		r := &m.reservations[i]
		if end <= r.from || !r.blocks(j) {
			continue
		}
		if !r.need.Add(j.Need).Fits(p.freeAt(m, r.from)) {
			return false
		}
	}
	return true
}

// freeAt is what is free on m at a time, by the estimated ends.
func (p *Planner) freeAt(m *Machine, at int64) jobstate.Resources {
	free := m.Free
	for i := range p.runningTasks(m) {
		run := &m.RunningTasks[i]
		if run.End > at {
			break
		}
		free = free.Add(run.Job.Need)
	}
	return free
}
