package connectivity

import (
	"maps"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// Advertisement is what a controller says of its links, to its peers and on its lease
// in the state service. A field that is missing says nothing.
type Advertisement struct {
	Incarnation string `json:"b,omitempty"`
	// ReachableEighths has for each zone how many eighths of its machines are reached.
	ReachableEighths map[string]int `json:"w,omitempty"`
	// Peers are the controllers that answer this one.
	Peers []string `json:"p,omitempty"`
	// Cloud: the cloud answers. Flaps: what is said here comes and goes.
	Cloud    bool `json:"c,omitempty"`
	Flapping bool `json:"f,omitempty"`
}

// Differs says whether another value tells something else that matters: a
// machine more or less in a zone does not.
func (v *Advertisement) Differs(o *Advertisement) bool {
	if v.Incarnation != o.Incarnation || v.Cloud != o.Cloud || v.Flapping != o.Flapping || !slices.Equal(v.Peers, o.Peers) || len(v.ReachableEighths) != len(o.ReachableEighths) {
		return true
	}
	for z, n := range v.ReachableEighths {
		if m, ok := o.ReachableEighths[z]; !ok || max(n-m, m-n) >= wholeZone/2 || (n == wholeZone) != (m == wholeZone) && (n == 0) != (m == 0) {
			return true
		}
	}
	return false
}

// Matrix is who reaches what, by each controller's own word.
type Matrix map[string]Advertisement

// maxRelays is how many controllers a report may pass on its way to the leader.
const maxRelays = 2

// Coverage says how much of each zone a controller would serve if it led: what it
// reaches itself, and what those reach that reach it, over most controllers.
func (m Matrix) Coverage(leader string) map[string]int {
	names := slices.Sorted(maps.Keys(m))
	at, ok := slices.BinarySearch(names, leader)
	if !ok {
		return nil
	}
	// in has for each controller those that reach it.
	in := make([]*bitset.BitSet, len(names))
	for i := range names {
		in[i] = bitset.New(uint(len(names)))
	}
	for i, name := range names {
		for _, p := range m[name].Peers {
			if k, ok := slices.BinarySearch(names, p); ok {
				in[k].Set(uint(i))
			}
		}
	}
	seen := bitset.New(uint(len(names))).Set(uint(at))
	for range maxRelays {
		next := seen.Clone()
		for i := range seen.EachSet() {
			next.InPlaceUnion(in[i])
		}
		seen = next
	}
	out := map[string]int{}
	for i := range seen.EachSet() {
		for z, n := range m[names[i]].ReachableEighths {
			out[z] = max(out[z], n)
		}
	}
	return out
}

// minHandoverGain is the least gain, in eighths of all zones, for which leadership moves:
// a quarter of the fleet. A take-over costs all of it a second or two.
func minHandoverGain(zones int) int { return max(wholeZone/2, zones*wholeZone/4) }

// BetterLeader is who could serve so much more than a controller that it should lead
// instead, "" if nobody could. The controller with the most is taken, of those
// the first by name, so that all who judge alike choose alike.
func (m Matrix) BetterLeader(self string) (name string) {
	own, gain := m.Coverage(self), 0
	for _, o := range slices.Sorted(maps.Keys(m)) {
		if o == self || m[o].Flapping {
			continue
		}
		g := 0
		zones := 0
		for z, n := range m.Coverage(o) {
			zones++
			// A zone that nobody on the way has heard of is no loss: there may
			// be no machines.
			if mine, ok := own[z]; ok {
				g += n - mine
			}
		}
		if g > gain && g >= minHandoverGain(max(zones, len(own))) {
			name, gain = o, g
		}
	}
	return name
}

// RelayTo is a controller that answers this one and reaches another, for messages
// that can't go straight; "" if there is none.
func (m Matrix) RelayTo(peers []string, to string) string {
	ways := slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p == to || !slices.Contains(m[p].Peers, to) })
	if len(ways) == 0 {
		return ""
	}
	return slices.Min(ways)
}
