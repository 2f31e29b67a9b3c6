package connectivity

import (
	"maps"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// Advertisement is what a controller tells the others about its links, with its answers to
// pings and on its lease in the state service. A field that is missing says nothing.
type Advertisement struct {
	Incarnation string `json:"b,omitempty"`
	// ReachableEighths has for each zone how many eighths of its machines are reached.
	ReachableEighths map[string]int `json:"w,omitempty"`
	// Peers are the controllers that answer this one, in order.
	Peers []string `json:"p,omitempty"`
	// Cloud: the cloud answers.
	Cloud bool `json:"c,omitempty"`
	// Flapping: the links that this is about keep changing.
	Flapping bool `json:"f,omitempty"`
}

// wholeZone is the count of eighths of a zone that is reached as a whole.
const wholeZone = 8

// Differs reports whether another advertisement says something else that matters: a machine
// more or less in a zone does not.
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

// zoneDiffers reports whether half of a zone lies between two counts, or one of them is a
// whole zone or none, and the other is not.
func zoneDiffers(a, b int) bool {
	return max(a-b, b-a) >= wholeZone/2 || (a == wholeZone) != (b == wholeZone) && (a == 0) != (b == 0)
}

// Matrix is who reaches what, as each controller advertises it, by controller.
type Matrix map[string]Advertisement

// maxRelays is how many controllers a heartbeat may pass on its way to the leader.
const maxRelays = 2

// Coverage is how much of each zone a controller would serve if it led: what it reaches
// itself, and what the controllers reach that reach it, over at most maxRelays controllers.
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

// inbound has for each controller the set of those that reach it.
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

// minHandoverGain is the least gain, in eighths of all zones, for which leadership moves: a
// quarter of the fleet. A failover costs all of it a second or two.
func minHandoverGain(zones int) int { return max(wholeZone/2, zones*wholeZone/4) }

// BetterLeader is the controller that could serve so much more than another one that it should
// lead instead, "" if there is none. It is the one that could serve most, of equals the first
// by name, so that all who judge by the same matrix choose the same.
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

// handoverGain is how many more eighths another coverage has. A zone of which nobody on the
// present one's ways has heard is no loss: it may have no machines.
func handoverGain(own, other map[string]int) (gain int) {
	for zone, eighths := range other {
		if mine, known := own[zone]; known {
			gain += eighths - mine
		}
	}
	return gain
}

// RelayTo is the first by name of some peers that reaches another controller, for messages
// that can't go straight; "" if there is none.
func (m Matrix) RelayTo(peers []string, to string) string {
	relays := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool {
		return peer == to || !slices.Contains(m[peer].Peers, to)
	})
	if len(relays) == 0 {
		return ""
	}
	return slices.Min(relays)
}
