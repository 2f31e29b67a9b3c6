package connectivity

import (
	"maps"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// Advertisement is a controller's summary of its links for the other controllers. It is sent with
// the answers to pings and stored in the state service on the controller's lease. A missing field
// gives no information.
type Advertisement struct {
	Incarnation string `json:"b,omitempty"`
	// ReachableEighths is the number of eighths of each zone's machines that are reached.
	ReachableEighths map[string]int `json:"w,omitempty"`
	// Peers are the controllers that answer this one, sorted.
	Peers []string `json:"p,omitempty"`
	// Cloud reports whether the cloud answers this controller.
	Cloud bool `json:"c,omitempty"`
	// Flapping reports whether the controller's lease requests, or its links to at least half of the
	// sampled machines, keep changing between up and down.
	Flapping bool `json:"f,omitempty"`
}

// wholeZone is the number of eighths of a zone whose machines are all reached.
const wholeZone = 8

// Differs reports whether another advertisement differs in a way that matters. One machine more
// or fewer in a zone does not matter.
func (a *Advertisement) Differs(other *Advertisement) bool {
	if a.Incarnation != other.Incarnation || a.Cloud != other.Cloud || a.Flapping != other.Flapping || !slices.Equal(a.Peers, other.Peers) {
		return true
	}
	if len(a.ReachableEighths) != len(other.ReachableEighths) {
		return true
	}
	for zone, eighths := range a.ReachableEighths {
		if before, known := other.ReachableEighths[zone]; !known || zoneDiffers(eighths, before) {
			return true
		}
	}
	return false
}

// zoneDiffers reports whether two counts of eighths differ by at least half a zone, or one of them
// is a whole zone and the other is zero.
func zoneDiffers(a, b int) bool {
	return max(a-b, b-a) >= wholeZone/2 || (a == wholeZone) != (b == wholeZone) && (a == 0) != (b == 0)
}

// Matrix holds the advertisement of each controller, by controller name.
type Matrix map[string]Advertisement

// maxRelays is the maximum number of controllers that relay a heartbeat on its way to the leader.
const maxRelays = 2

// Coverage returns the number of eighths of each zone that a controller would serve if it led: the
// maximum over the controller itself and the controllers that reach it in at most maxRelays hops.
func (m Matrix) Coverage(leader string) map[string]int {
	names := slices.Sorted(maps.Keys(m))
	at, ok := slices.BinarySearch(names, leader)
	if !ok {
		return nil
	}
	inbound := m.inbound(names)
	served := bitset.New(uint(len(names))).Set(uint(at))
	for range maxRelays {
		next := served.Clone()
		for i := range served.EachSet() {
			next.InPlaceUnion(inbound[i])
		}
		served = next
	}
	coverage := map[string]int{}
	for i := range served.EachSet() {
		for zone, eighths := range m[names[i]].ReachableEighths {
			coverage[zone] = max(coverage[zone], eighths)
		}
	}
	return coverage
}

// inbound returns for each controller the set of controllers that reach it, by index in names.
func (m Matrix) inbound(names []string) []*bitset.BitSet {
	sets := make([]*bitset.BitSet, len(names))
	for i := range names {
		sets[i] = bitset.New(uint(len(names)))
	}
	for i, name := range names {
		for _, peer := range m[name].Peers {
			if to, ok := slices.BinarySearch(names, peer); ok {
				sets[to].Set(uint(i))
			}
		}
	}
	return sets
}

// minHandoverGain returns the minimum gain, summed over all zones in eighths, for which leadership
// moves: a quarter of the fleet, as a failover interrupts all of it for one or two seconds, and at
// least half a zone.
func minHandoverGain(zones int) int { return max(wholeZone/2, zones*wholeZone/4) }

// BetterLeader returns the controller that could serve so much more than self that it should lead
// instead, "" if there is none. It is the controller that could serve most, and the first by name
// among equals, so that all controllers with the same matrix choose the same one.
func (m Matrix) BetterLeader(self string) string {
	own := m.Coverage(self)
	best, bestGain := "", 0
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if name == self || m[name].Flapping {
			continue
		}
		coverage := m.Coverage(name)
		gain := handoverGain(own, coverage)
		if gain > bestGain && gain >= minHandoverGain(max(len(coverage), len(own))) {
			best, bestGain = name, gain
		}
	}
	return best
}

// handoverGain returns the number of eighths that the coverage other has in addition to own. A
// zone that is unknown in own does not count, since it may have no machines.
func handoverGain(own, other map[string]int) (gain int) {
	for zone, eighths := range other {
		if ownEighths, known := own[zone]; known {
			gain += eighths - ownEighths
		}
	}
	return gain
}

// RelayTo returns the peer that should relay messages which can't be sent directly to a controller:
// the first by name of the given peers that reaches the controller, "" if there is none.
func (m Matrix) RelayTo(peers []string, to string) string {
	relays := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool {
		return peer == to || !slices.Contains(m[peer].Peers, to)
	})
	if len(relays) == 0 {
		return ""
	}
	return slices.Min(relays)
}
