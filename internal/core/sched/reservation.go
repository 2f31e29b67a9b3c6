package sched

import (
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// reservation is an amount of a machine's resources that is reserved for a job from a time on.
// The job is a pivot, one of the urgent jobs behind a pivot, or a job for which work is stopped
// on the machine.
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

// blocks reports whether j must respect the reservation. The reservation of a pivot blocks all
// other jobs, and a claim blocks all jobs that are ordered later. A reservation for a job behind
// the pivot blocks the jobs that it could preempt.
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

// Claim reserves room for one task of a job on a machine on which other work is stopped for it.
// Until the job starts, jobs ordered after it must not use the resources that become free on the
// machine. They become free in steps, so the stopped work would otherwise be placed there in the
// next round and be stopped again.
type Claim struct {
	Job     *jobstate.Job
	Machine string
}

// reserveClaims adds reservations for the claims of earlier rounds whose jobs still wait.
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

// respectsReservations reports whether a task of j that occupies m until end delays no job for
// which m is reserved.
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

// freeAt returns the resources that are free on m at a time, by the estimated ends of its tasks.
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
