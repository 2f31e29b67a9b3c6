package core

import (
	"cmp"
	"math"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// machinePool is the machines that are rented and kept ready together: those of a type,
// or, where cost is an objective, its on-demand and its spot ones apart. Then jobs that
// may use spot machines get these, and on-demand ones are rented for the others.
type machinePool struct {
	machineType string
	spot        bool // only spot machines; the pool of the on-demand ones is without it
}

// compare orders pools by type, on-demand ones first.
func (p machinePool) compare(o machinePool) int {
	if c := cmp.Compare(p.machineType, o.machineType); c != 0 || p.spot == o.spot {
		return c
	}
	if o.spot {
		return -1
	}
	return 1
}

// splitsPools reports whether a type's spot machines are a pool of their own. What is lost
// with one is half a checkpoint interval or a run, now and then, and the price
// differs all the time; where it does not, on-demand ones are rented first.
func (s *scaler) splitsPools(t *fleet.Type) bool { return s.costAware && t.SpotPrice < t.Price }

// pools are those of a type.
func (s *scaler) pools(t *fleet.Type) []machinePool {
	if s.splitsPools(t) {
		return []machinePool{{t.Name, false}, {t.Name, true}}
	}
	return []machinePool{{t.Name, false}}
}

// poolOf is the pool of a machine.
func (s *scaler) poolOf(machineType string, spot bool) machinePool {
	for i := range s.cache.machineTypes {
		if t := &s.cache.machineTypes[i]; t.Name == machineType {
			return machinePool{machineType, spot && s.splitsPools(t)}
		}
	}
	return machinePool{machineType, false}
}

// scaleOutKinds are the kinds of machines to rent for a pool, spot or not, in order. Where
// pools are apart the other kind comes only in need: jobs that may use spot
// machines take on-demand ones before they wait.
func (s *scaler) scaleOutKinds(t *fleet.Type, pool machinePool, needed bool) []bool {
	switch {
	case !s.splitsPools(t):
		return []bool{false, true} // on-demand ones: any job may use them and they stay
	case pool.spot && needed:
		return []bool{true, false}
	case pool.spot:
		return []bool{true}
	}
	return []bool{false}
}

// usagePeak is the most machines of a pool in use of late.
type usagePeak struct {
	busy int
	at   int64
}

// recordBusy keeps the peak for the time that idle machines are kept.
func (s *scalingState) recordBusy(pool machinePool, busy int, now, keep int64) {
	if peak := s.peaks[pool]; busy >= peak.busy || now-peak.at > keep {
		s.peaks[pool] = usagePeak{busy, now}
	}
}

// spareFactor is how many roots of the number of machines in use are kept spare
// where cost is an objective: arrivals that are independent vary by one.
const spareFactor = 1

// spareMachines is how many idle machines of a pool are kept ready: a share of those in
// use of late, and none once nothing has run for a while. Where cost is an objective
// they are no more than what a load of that size varies by.
func (s *scaler) spareMachines(pool machinePool) int {
	busy := float64(s.elector.leadership.scaling.peaks[pool].busy)
	spare := busy * s.settings.Ops.SpareShare
	if s.costAware {
		spare = min(spare, spareFactor*math.Sqrt(busy))
	}
	return int(math.Ceil(spare))
}

// idleReturnTime is how long a machine that is no spare one may be idle before it is
// returned: half as long where cost is an objective.
func (s *scaler) idleReturnTime() int64 {
	if s.costAware {
		return s.settings.Ops.IdleReturn / 2
	}
	return s.settings.Ops.IdleReturn
}

// shortage is how many machines of a pool the waiting tasks would fill.
func (s *scaler) shortage(t *fleet.Type, pool machinePool) int {
	var machines float64
	for _, waiting := range s.elector.leadership.planning.waitingJobs {
		if !s.isForPool(waiting.spec, t, pool) {
			continue
		}
		machines += float64(waiting.tasks) / float64(tasksPerMachine(waiting.spec.Need, t.Cap))
	}
	return int(machines + 0.999)
}

// isForPool reports whether machines of a pool are rented for a job: none with GPUs for a
// job that needs none.
func (s *scaler) isForPool(spec *jobstate.Spec, t *fleet.Type, pool machinePool) bool {
	if len(spec.Types) > 0 && !slices.Contains(spec.Types, t.Name) || !spec.Need.Fits(t.Cap) {
		return false
	}
	if spec.Need.GPU == 0 && t.Cap.GPU > 0 {
		return false
	}
	return !s.splitsPools(t) || spec.Spot == pool.spot
}
