package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// gather is a waiting job whose tasks have to be in one zone, and the zone in
// which machines are gathered for it: no zone has enough of them, busy or idle,
// so that waiting alone does not help. Without it machines are rented in zones
// at random, and are returned as idle before there are enough in one: on a day
// in the emulator a gang of three waited for 220 s on an empty fleet.
type gather struct {
	spec *jobstate.Spec
	zone string
}

// gathersMost bounds the jobs that machines are gathered for at once.
const gathersMost = 4

// gathers are those jobs, in the order in which they wait.
func (c *Core) gathers() (list []gather) {
	if !slices.ContainsFunc(c.lead.waiting, func(w waitingJob) bool { return w.spec.OneZone }) {
		return nil
	}
	here, coming := map[market]int64{}, map[market]int64{}
	for _, m := range c.lead.fleet.All() {
		if c.usable(m) {
			here[market{m.Type, m.Zone, m.Spot}]++
		}
	}
	for _, b := range c.lead.cloud.booting {
		coming[b.market]++
	}
	for _, w := range c.lead.waiting {
		if !w.spec.OneZone {
			continue
		}
		if zone := c.gatherIn(w.spec, here, coming); zone != "" {
			if list = append(list, gather{w.spec, zone}); len(list) == gathersMost {
				break
			}
		}
	}
	return list
}

// gatherIn is the zone in which machines are gathered for a job: the one with
// the most that are there or coming, of those where more can be had. It is empty
// if some zone has enough.
func (c *Core) gatherIn(s *jobstate.Spec, here, coming map[market]int64) string {
	type option struct {
		zone  string
		open  bool
		tasks int64
	}
	var best option
	for _, z := range c.set.Zones {
		o := option{zone: z}
		var now int64
		for i := range c.types {
			t := &c.types[i]
			for _, spot := range []bool{false, true} {
				if !s.Allows(t.Name, z, spot, t.Cap) || !slices.Contains(t.Zones, z) {
					continue
				}
				mk := market{t.Name, z, spot}
				per := perMachine(s.Need, t.Cap)
				now += here[mk] * per
				o.tasks += (here[mk] + coming[mk]) * per
				o.open = o.open || c.lead.cloud.refused[mk] <= c.now
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

// gathered says whether an idle machine is kept for one of them.
func gathered(list []gather, m *fleet.Machine) bool {
	return slices.ContainsFunc(list, func(g gather) bool { return g.zone == m.Zone && g.spec.Allows(m.Type, m.Zone, m.Spot, m.Cap) })
}
