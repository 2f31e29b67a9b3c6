package core

import (
	"slices"
	"strings"
)

// Once listed, a machine remains listed until it is gone. A list that lacks it
// proves that, if it describes a later moment than one that had it: lists lag, one
// may be older than the one before, and each page is a list of its own. What moment
// is described is known within bounds: it is no later than the answer, and no
// earlier than twice the lag before the question. A machine's age in two lists says
// exactly how far these are apart, so the bounds get narrower with each list.

// listedAge says between which times a list described a machine, and how long that had
// been there.
type listedAge struct{ from, to, age int64 }

// cloudListings remembers the newest entry of each machine.
type cloudListings struct{ entries map[string]listedAge }

// listingMargin is how much later than the last list with a machine one without it has
// to be: ages are told in fractions of a second.
const listingMargin = second

// read takes a list in the order of names, which describes moments from some time
// to another, and returns the machines that it proves to be gone.
func (l *cloudListings) read(from, to int64, list []CloudMachine) (gone []string) {
	if l.entries == nil {
		l.entries = map[string]listedAge{}
	}
	now := make([]listedAge, len(list))
	for i, x := range list {
		now[i] = listedAge{from, to, x.Age}
		if old, ok := l.entries[x.Name]; ok {
			// The cloud's clock and this one may drift apart.
			apart := x.Age - old.age
			now[i].from = max(from, old.from+apart-max(apart, -apart)/1000)
			now[i].to = min(to, old.to+apart+max(apart, -apart)/1000)
		}
	}
	for name, old := range l.entries {
		i, found := slices.BinarySearchFunc(list, name, func(x CloudMachine, n string) int { return strings.Compare(x.Name, n) })
		if found || len(list) == 0 {
			continue
		}
		// Its page is that of the entry before it or of the one after it.
		if min(now[max(i-1, 0)].from, now[min(i, len(list)-1)].from) > old.to+listingMargin {
			gone = append(gone, name)
			delete(l.entries, name)
		}
	}
	for i, x := range list {
		if old, ok := l.entries[x.Name]; !ok || x.Age > old.age {
			l.entries[x.Name] = now[i]
		}
	}
	slices.Sort(gone)
	return gone
}

// forgetUnlisted clears what was on machines that are gone by the cloud's own word: spot
// machines taken without a notice, of which nobody else tells before their lease.
func (sl *scaler) forgetUnlisted(names []string) {
	s := &sl.elector.leadership.scaling
	for _, name := range names {
		delete(s.booting, name)
		m := sl.elector.leadership.fleet.Get(name)
		if m == nil || m.Releasing {
			continue // a release that is under way will be answered
		}
		sl.log.Info("the cloud lists a machine no more", "machine", name, "tasks", len(m.Placed))
		sl.planner.machineGone(m, "the cloud lists it no more")
		sl.forgetMachine(m)
		sl.elector.leadership.heartbeats.departed.note(name, Heartbeat{}, true, sl.now)
		sl.elector.leadership.planning.requestRound()
	}
}
