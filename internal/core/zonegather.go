package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// zoneGather is a waiting job whose tasks have to be in one zone, and the zone in
// which machines are gathered for it: no zone has enough of them, busy or idle,
// so that waiting alone does not help. Without it machines are rented in zones
// at random, and are returned as idle before there are enough in one: on a day
// in the emulator a gang of three waited for 220 s on an empty fleet.
type zoneGather struct {
	spec *jobstate.Spec
	zone string
}

// maxZoneGathers bounds the jobs that machines are gathered for at once.
const maxZoneGathers = 4

// zoneGathers are the jobs that machines are gathered for, in the order in which they wait.
func (s *scaler) zoneGathers() (gathers []zoneGather) {
	waiting := s.elector.leadership.planning.waitingJobs
	if !slices.ContainsFunc(waiting, func(w waitingJob) bool { return w.spec.OneZone }) {
		return nil
	}
	usable, booting := s.countOffers()
	for _, w := range waiting {
		if !w.spec.OneZone {
			continue
		}
		zone := s.gatherZone(w.spec, usable, booting)
		if zone == "" {
			continue
		}
		gathers = append(gathers, zoneGather{w.spec, zone})
		if len(gathers) == maxZoneGathers {
			break
		}
	}
	return gathers
}

// countOffers counts the usable and the booting machines of each type, zone and kind.
func (s *scaler) countOffers() (usable, booting map[machineOffer]int64) {
	usable, booting = map[machineOffer]int64{}, map[machineOffer]int64{}
	for _, m := range s.elector.leadership.fleet.All() {
		if s.planner.usable(m) {
			usable[machineOffer{m.Type, m.Zone, m.Spot}]++
		}
	}
	for _, b := range s.elector.leadership.scaling.booting {
		booting[b.machineOffer]++
	}
	return usable, booting
}

// zoneOption is a zone in which machines could be gathered for a job.
type zoneOption struct {
	zone string
	// usableTasks is how many of the job's tasks the usable machines could take together,
	// tasks how many with those that boot.
	usableTasks, tasks int64
	open               bool // more machines can be had there
}

// isBetterThan prefers zones where more machines can be had, then those with more of them.
func (o zoneOption) isBetterThan(other zoneOption) bool {
	if o.open != other.open {
		return o.open
	}
	return o.tasks > other.tasks
}

// gatherZone is the zone in which machines are gathered for a job: the one with
// the most that are there or booting, of those where more can be had. It is empty
// if some zone has enough.
func (s *scaler) gatherZone(spec *jobstate.Spec, usable, booting map[machineOffer]int64) string {
	var best zoneOption
	for _, zone := range s.settings.Zones {
		option := s.zoneOption(spec, zone, usable, booting)
		if option.usableTasks >= int64(spec.Tasks) {
			return ""
		}
		if best.zone == "" || option.isBetterThan(best) {
			best = option
		}
	}
	return best.zone
}

// zoneOption finds out what a zone has for a job.
func (s *scaler) zoneOption(spec *jobstate.Spec, zone string, usable, booting map[machineOffer]int64) zoneOption {
	option := zoneOption{zone: zone}
	for i := range s.cache.machineTypes {
		t := &s.cache.machineTypes[i]
		for _, spot := range []bool{false, true} {
			if !spec.Allows(t.Name, zone, spot, t.Cap) || !slices.Contains(t.Zones, zone) {
				continue
			}
			offer := machineOffer{t.Name, zone, spot}
			perMachine := tasksPerMachine(spec.Need, t.Cap)
			option.usableTasks += usable[offer] * perMachine
			option.tasks += (usable[offer] + booting[offer]) * perMachine
			option.open = option.open || s.elector.leadership.scaling.refusedUntil[offer] <= s.now
		}
	}
	return option
}

// isGathered reports whether an idle machine is kept for one of the jobs that machines are
// gathered for.
func isGathered(gathers []zoneGather, m *fleet.Machine) bool {
	return slices.ContainsFunc(gathers, func(g zoneGather) bool {
		return g.zone == m.Zone && g.spec.Allows(m.Type, m.Zone, m.Spot, m.Cap)
	})
}
