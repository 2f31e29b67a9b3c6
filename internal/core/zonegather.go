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

// zoneGathers are those jobs, in the order in which they wait.
func (sl *scaler) zoneGathers() (list []zoneGather) {
	if !slices.ContainsFunc(sl.elector.leadership.planning.waitingJobs, func(w waitingJob) bool { return w.spec.OneZone }) {
		return nil
	}
	here, coming := map[machineOffer]int64{}, map[machineOffer]int64{}
	for _, m := range sl.elector.leadership.fleet.All() {
		if sl.planner.usable(m) {
			here[machineOffer{m.Type, m.Zone, m.Spot}]++
		}
	}
	for _, b := range sl.elector.leadership.scaling.booting {
		coming[b.machineOffer]++
	}
	for _, w := range sl.elector.leadership.planning.waitingJobs {
		if !w.spec.OneZone {
			continue
		}
		if zone := sl.gatherZone(w.spec, here, coming); zone != "" {
			if list = append(list, zoneGather{w.spec, zone}); len(list) == maxZoneGathers {
				break
			}
		}
	}
	return list
}

// gatherZone is the zone in which machines are gathered for a job: the one with
// the most that are there or coming, of those where more can be had. It is empty
// if some zone has enough.
func (sl *scaler) gatherZone(s *jobstate.Spec, here, coming map[machineOffer]int64) string {
	type option struct {
		zone  string
		open  bool
		tasks int64
	}
	var best option
	for _, z := range sl.settings.Zones {
		o := option{zone: z}
		var now int64
		for i := range sl.cache.machineTypes {
			t := &sl.cache.machineTypes[i]
			for _, spot := range []bool{false, true} {
				if !s.Allows(t.Name, z, spot, t.Cap) || !slices.Contains(t.Zones, z) {
					continue
				}
				mk := machineOffer{t.Name, z, spot}
				per := tasksPerMachine(s.Need, t.Cap)
				now += here[mk] * per
				o.tasks += (here[mk] + coming[mk]) * per
				o.open = o.open || sl.elector.leadership.scaling.refusedUntil[mk] <= sl.now
			}
		}
		if now >= int64(s.Tasks) {
			return ""
		}
		if best.zone == "" || o.open && !best.open || o.open == best.open && o.tasks > best.tasks {
			best = o
		}
	}
	return best.zone
}

// isGathered says whether an idle machine is kept for one of them.
func isGathered(list []zoneGather, m *fleet.Machine) bool {
	return slices.ContainsFunc(list, func(g zoneGather) bool { return g.zone == m.Zone && g.spec.Allows(m.Type, m.Zone, m.Spot, m.Cap) })
}
