package upgrade

import (
	"fmt"
	"testing"
)

// The model has two members and a leader that activates features, with the state service between
// them. A member runs this program or an older one and stores its advertisement on its lease. It
// can be restarted with either program at any moment, and the lease of the earlier process expires
// at any time after that. The leader reads an advertisement at any time and decides by
// NextFeature; its write is executed later, if the conditions of the write hold then.
const (
	modelMembers = 2
	modelDepth   = 12
)

type modelMember struct {
	current           bool   // runs this program, not the older one
	advertised        bool   // an advertisement is stored
	advertisesCurrent bool   // the advertisement is of this program
	revision          uint64 // of the advertisement
	own               bool   // the advertisement is of the running process
	expired           bool   // stored although its lease has expired: a planted fault
}

type model struct {
	members [modelMembers]modelMember
	// read is the leader's last read of each advertisement.
	read [modelMembers]struct {
		advertisesCurrent, advertised bool
		revision                      uint64
	}
	revision uint64 // of the newest advertisement
	// writing reports whether the transaction is in transit, with conditions on the revisions
	// of the advertisements.
	writing    bool
	conditions [modelMembers]uint64
	active     bool
}

// plantedFault is a fault that the model adds to the protocol.
type plantedFault int

const (
	noFault plantedFault = iota
	pingsAsAdvertisements
	advertisementOutlivesLease
	unconditionalWrite
)

// decide calls NextFeature with what the leader has read, and reports whether it activates
// Connectivity.
func (s *model) decide(fault plantedFault) bool {
	a := NewActivation(CurrentProgram(), "n0", "b", []string{"n1"}, nil, nil)
	a.SetFormat(2)
	for i := range s.members {
		name := fmt.Sprint("n", i)
		switch {
		case fault == pingsAsAdvertisements && s.members[i].current:
			a.SetAdvertisement(name, advertisementOf(CurrentProgram()), 1, 1)
		case fault == pingsAsAdvertisements:
		case s.read[i].advertised && s.read[i].advertisesCurrent:
			a.SetAdvertisement(name, advertisementOf(CurrentProgram()), s.read[i].revision, 1)
		case s.read[i].advertised:
			a.SetAdvertisement(name, advertisementOf(olderProgram()), s.read[i].revision, 1)
		}
	}
	next, conditions := a.NextFeature()
	if next == nil || next.Name != Connectivity {
		return false
	}
	for i, member := range conditions {
		s.conditions[i] = member.Revision
	}
	return true
}

// steps returns the states that may follow.
func (s model) steps(fault plantedFault) (following []model) {
	for i := range s.members {
		for _, current := range []bool{true, false} { // restarted with this program or the older one
			next := s
			next.members[i].current, next.members[i].own = current, false
			following = append(following, next)
		}
		if !s.members[i].own { // it advertises, or the lease of the previous process expires
			next := s
			next.revision++
			next.members[i].advertised, next.members[i].advertisesCurrent, next.members[i].revision, next.members[i].own = true, s.members[i].current, next.revision, true
			next.members[i].expired = false
			following = append(following, next)
			if s.members[i].advertised {
				next = s
				if next.members[i].expired = fault == advertisementOutlivesLease; !next.members[i].expired {
					next.members[i].advertised, next.members[i].revision = false, 0
				}
				following = append(following, next)
			}
		}
		next := s // the leader reads the advertisement of the member
		next.read[i].advertised, next.read[i].advertisesCurrent, next.read[i].revision = s.members[i].advertised, s.members[i].advertisesCurrent, s.members[i].revision
		following = append(following, next)
	}
	if !s.writing && !s.active {
		if next := s; next.decide(fault) {
			next.writing = true
			following = append(following, next)
		}
	}
	if s.writing { // the transaction is executed, or lost
		next := s
		next.writing = false
		following = append(following, next)
		holds := true
		for i := range s.members {
			revision := uint64(0)
			if s.members[i].advertised {
				revision = s.members[i].revision
			}
			holds = holds && revision == s.conditions[i]
		}
		if holds || fault == unconditionalWrite || fault == pingsAsAdvertisements {
			next.active = true
			following = append(following, next)
		}
	}
	return following
}

// violates reports whether the feature has just been activated although a running member lacks it
// and no valid advertisement claimed it for that member. A member whose earlier process was
// replaced before the lease expired is excepted: the advertisement of the earlier process stays
// until the new process advertises or the lease expires, and the new process reads which features
// are active before it does anything.
func (s *model) violates(before *model) bool {
	if !s.active || before.active {
		return false
	}
	for i := range s.members {
		if !s.members[i].current && (s.members[i].own || !s.members[i].advertised || s.members[i].expired) {
			return true
		}
	}
	return false
}

// explore searches all histories up to a depth until it finds a violation. It returns the number
// of states visited and whether a violation was found.
func explore(fault plantedFault, depth int) (states int, found bool) {
	seen := map[model]int{}
	var walk func(s model, left int)
	walk = func(s model, left int) {
		if found || seen[s] >= left+1 {
			return
		}
		seen[s] = left + 1
		if left == 0 {
			return
		}
		for _, next := range s.steps(fault) {
			if next.violates(&s) {
				found = true
				return
			}
			walk(next, left-1)
		}
	}
	walk(model{}, depth)
	return len(seen), found
}

// TestModel searches all histories of the model up to a depth. It checks that a feature is never
// activated while a controller whose advertisement lacks the feature or is missing can write, and
// that each planted fault is found.
func TestModel(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault plantedFault
		found bool
	}{{"no fault", noFault, false}, {"decided by pings alone", pingsAsAdvertisements, true}, {"advertisements that outlive their leases", advertisementOutlivesLease, true}, {"write without conditions", unconditionalWrite, true}} {
		states, found := explore(tc.fault, modelDepth)
		t.Logf("%s: %d states up to depth %d", tc.name, states, modelDepth)
		if found != tc.found {
			t.Errorf("%s: found a violation: %v, want %v", tc.name, found, tc.found)
		}
	}
}
