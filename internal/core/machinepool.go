package core

import (
	"cmp"
	"math"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// machinePool identifies the machines that are rented and kept as spares together: all machines of
// a type or, if cost is an objective, separately its on-demand and its spot machines. In the latter
// case spot machines are rented for jobs that may use them, and on-demand machines for the others.
type machinePool struct {
	machineType string
	spot        bool // only spot machines; false for on-demand machines and for pools that are not split
}

// compare orders pools by type, on-demand before spot.
func (p machinePool) compare(o machinePool) int {
	if c := cmp.Compare(p.machineType, o.machineType); c != 0 || p.spot == o.spot {
		return c
	}
	if o.spot {
		return -1
	}
	return 1
}

// splitsPools reports whether a type's spot machines are a separate pool. The occasional loss of a
// spot machine costs half a checkpoint interval or a run, while a lower price saves money all the
// time. If spot machines are not cheaper, on-demand machines are rented first.
func (s *scaler) splitsPools(t *fleet.Type) bool { return s.costAware && t.SpotPrice < t.Price }

// pools returns the pools of a machine type.
func (s *scaler) pools(t *fleet.Type) []machinePool {
	if s.splitsPools(t) {
		return []machinePool{{t.Name, false}, {t.Name, true}}
	}
	return []machinePool{{t.Name, false}}
}

// poolOf returns the pool of a machine with the given type and kind.
func (s *scaler) poolOf(machineType string, spot bool) machinePool {
	for i := range s.cache.machineTypes {
		if t := &s.cache.machineTypes[i]; t.Name == machineType {
			return machinePool{machineType, spot && s.splitsPools(t)}
		}
	}
	return machinePool{machineType, false}
}

// scaleOutKinds returns the kinds of machines to rent for a pool (spot or not), in order of
// preference. If the pools are split, on-demand machines are rented for the spot pool only if jobs
// need them: jobs that may use spot machines take on-demand machines rather than wait.
func (s *scaler) scaleOutKinds(t *fleet.Type, pool machinePool, needed bool) []bool {
	switch {
	case !s.splitsPools(t):
		return []bool{false, true} // on-demand first: any job may use them, and they are not reclaimed
	case pool.spot && needed:
		return []bool{true, false}
	case pool.spot:
		return []bool{true}
	}
	return []bool{false}
}

// usagePeak is the recent maximum number of busy machines of a pool.
type usagePeak struct {
	busy int
	at   int64
}

// recordBusy updates the peak of a pool. A peak is replaced by a lower number of busy machines
// only when the peak is older than keep.
func (s *scalingState) recordBusy(pool machinePool, busy int, now, keep int64) {
	if peak := s.peaks[pool]; busy >= peak.busy || now-peak.at > keep {
		s.peaks[pool] = usagePeak{busy, now}
	}
}

// spareFactor is the number of spare machines, as a multiple of the square root of the number of
// machines in use, if cost is an objective. The standard deviation of independent arrivals is one
// square root.
const spareFactor = 1

// spareMachines returns the number of idle machines of a pool that are kept as spares: a share of
// the recent peak of machines in use, and none once nothing has run for a while. If cost is an
// objective, the number of spares is at most the typical variation of a load of that size.
func (s *scaler) spareMachines(pool machinePool) int {
	busy := float64(s.elector.leadership.scaling.peaks[pool].busy)
	spare := busy * s.settings.Ops.SpareShare
	if s.costAware {
		spare = min(spare, spareFactor*math.Sqrt(busy))
	}
	return int(math.Ceil(spare))
}

// idleReturnTime returns the time after which an idle machine that is not kept as a spare is
// returned: the configured time, or half of it if cost is an objective.
func (s *scaler) idleReturnTime() int64 {
	if s.costAware {
		return s.settings.Ops.IdleReturn / 2
	}
	return s.settings.Ops.IdleReturn
}

// shortage returns the number of machines of a pool that the waiting tasks would fill.
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

// isForPool reports whether machines of a pool are rented for a job. Machines with GPUs are not
// rented for jobs that need no GPUs.
func (s *scaler) isForPool(spec *jobstate.Spec, t *fleet.Type, pool machinePool) bool {
	if len(spec.Types) > 0 && !slices.Contains(spec.Types, t.Name) || !spec.Need.Fits(t.Cap) {
		return false
	}
	if spec.Need.GPU == 0 && t.Cap.GPU > 0 {
		return false
	}
	return !s.splitsPools(t) || spec.Spot == pool.spot
}
