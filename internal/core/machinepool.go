package core

import (
	"cmp"
	"math"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
)

// machinePool is the machines that are rented and kept ready together: those of a type,
// or, where money is weighed, its ordinary and its spot ones apart. Then jobs that
// may use spot machines get these, and ordinary ones are rented for the others.
type machinePool struct {
	machineType string
	spot        bool // only spot machines; the pool of the ordinary ones is without it
}

func (p machinePool) compare(o machinePool) int {
	if c := cmp.Compare(p.machineType, o.machineType); c != 0 || p.spot == o.spot {
		return c
	}
	if o.spot {
		return -1
	}
	return 1
}

// splitsPools says whether a type's spot machines are a pool of their own. What is lost
// with one is half a checkpoint interval or a run, now and then, and the price
// differs all the time; where it does not, ordinary ones stay.
func (sl *scaler) splitsPools(t *fleet.Type) bool { return sl.costAware && t.SpotPrice < t.Price }

// pools are those of a type.
func (sl *scaler) pools(t *fleet.Type) []machinePool {
	if sl.splitsPools(t) {
		return []machinePool{{t.Name, false}, {t.Name, true}}
	}
	return []machinePool{{t.Name, false}}
}

// poolOf is the pool of a machine.
func (sl *scaler) poolOf(typ string, spot bool) machinePool {
	for i := range sl.cache.machineTypes {
		if t := &sl.cache.machineTypes[i]; t.Name == typ {
			return machinePool{typ, spot && sl.splitsPools(t)}
		}
	}
	return machinePool{typ, false}
}

// scaleOutKinds are the kinds of machines to rent for a pool, spot or not, in order. Where
// pools are apart the other kind comes only in need: jobs that may use spot
// machines take ordinary ones before they wait.
func (sl *scaler) scaleOutKinds(t *fleet.Type, p machinePool, needed bool) []bool {
	switch {
	case !sl.splitsPools(t):
		return []bool{false, true} // ordinary ones: any job may use them and they stay
	case p.spot && needed:
		return []bool{true, false}
	case p.spot:
		return []bool{true}
	}
	return []bool{false}
}

// usagePeak is the most machines of a pool in use of late.
type usagePeak struct {
	busy int
	at   int64
}

// noteBusy keeps the peak for the time that idle machines are kept.
func (s *scalingState) noteBusy(p machinePool, busy int, now, keep int64) {
	if k := s.peaks[p]; busy >= k.busy || now-k.at > keep {
		s.peaks[p] = usagePeak{busy, now}
	}
}

// spareMachines is how many idle machines of a pool are kept ready: a share of those in
// use of late, and none once nothing has run for a while. Where money is weighed
// they are no more than what a load of that size varies by.
func (sl *scaler) spareMachines(p machinePool) int {
	busy := float64(sl.elector.leadership.scaling.peaks[p].busy)
	n := busy * sl.settings.Ops.SpareShare
	if sl.costAware {
		n = min(n, spareFactor*math.Sqrt(busy))
	}
	return int(math.Ceil(n))
}

// spareFactor is how many roots of the number of machines in use are kept spare
// where money is weighed: arrivals that know nothing of each other vary by one.
const spareFactor = 1

// idleReturnTime is how long a machine that is no spare one may be idle before it is
// returned: half as long where money is weighed.
func (sl *scaler) idleReturnTime() int64 {
	if sl.costAware {
		return sl.settings.Ops.IdleReturn / 2
	}
	return sl.settings.Ops.IdleReturn
}

// shortage is how many machines of a pool the waiting tasks would fill.
func (sl *scaler) shortage(t *fleet.Type, p machinePool) int {
	var all float64
	for _, w := range sl.elector.leadership.planning.waitingJobs {
		if len(w.spec.Types) > 0 && !slices.Contains(w.spec.Types, t.Name) || !w.spec.Need.Fits(t.Cap) || w.spec.Need.GPU == 0 && t.Cap.GPU > 0 {
			continue
		}
		if sl.splitsPools(t) && w.spec.Spot != p.spot {
			continue
		}
		per := tasksPerMachine(w.spec.Need, t.Cap)
		all += float64(w.tasks) / float64(per)
	}
	return int(all + 0.999)
}
