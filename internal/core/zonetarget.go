package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// zoneTarget is a waiting job whose tasks must be in one zone, and the zone in which machines are
// gathered for it. No zone has enough machines for it, busy or idle, so waiting alone does not
// help. Without zone targets, machines are rented in random zones and returned as idle before one
// zone has enough: in the emulator a gang of three waited for 220 s on an empty fleet.
type zoneTarget struct {
	spec *jobstate.Spec
	zone string
}

// maxZoneTargets is the maximum number of jobs for which machines are gathered at once.
const maxZoneTargets = 4

// zoneTargets returns the jobs for which machines are gathered, in queue order.
func (s *scaler) zoneTargets() (targets []zoneTarget) {
	waiting := s.elector.leadership.planning.waitingJobs
	if !slices.ContainsFunc(waiting, func(w waitingJob) bool { return w.spec.OneZone }) {
		return nil
	}
	usable, booting := s.countOffers()
	for _, w := range waiting {
		if !w.spec.OneZone {
			continue
		}
		zone := s.targetZone(w.spec, usable, booting)
		if zone == "" {
			continue
		}
		targets = append(targets, zoneTarget{w.spec, zone})
		if len(targets) == maxZoneTargets {
			break
		}
	}
	return targets
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
	// usableTasks is the number of the job's tasks for which the usable machines have room
	// together, and tasks the number for which the usable and booting machines have room.
	usableTasks, tasks int64
	open               bool // more machines can be rented there
}

// isBetterThan reports whether o is preferred: zones where more machines can be rented come first,
// then zones whose machines have room for more tasks.
func (o zoneOption) isBetterThan(other zoneOption) bool {
	if o.open != other.open {
		return o.open
	}
	return o.tasks > other.tasks
}

// targetZone returns the zone in which machines are gathered for a job. Zones where more machines
// can be rented come first, then the zone whose usable and booting machines have room for the most
// tasks. It returns "" if a zone already has enough usable machines.
func (s *scaler) targetZone(spec *jobstate.Spec, usable, booting map[machineOffer]int64) string {
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

// zoneOption evaluates a zone for a job.
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

// isKeptForTarget reports whether an idle machine is kept for one of the jobs for which machines
// are gathered.
func isKeptForTarget(targets []zoneTarget, m *fleet.Machine) bool {
	return slices.ContainsFunc(targets, func(target zoneTarget) bool {
		return target.zone == m.Zone && target.spec.Allows(m.Type, m.Zone, m.Spot, m.Cap)
	})
}
