package upgrade

import (
	"fmt"
	"testing"
)

// The model: two members and a leader that activates features, with the state service between
// them. A member runs this program or an older one, stores its advertisement on its lease, is
// restarted as either program at any moment, and its lease expires at any time after. The
// leader reads an advertisement at any time, decides by NextFeature, and its write is executed
// later, if its conditions hold then.
const (
	modelMembers = 2
	modelDepth   = 12
)

type modelMember struct {
	current    bool   // this program runs, and not the older one
	advertised bool   // the advertisement is there
	saysNew    bool   // it is of this program
	revision   uint64 // of the advertisement
	own        bool   // the advertisement is of the process that runs
	expired    bool   // its lease has expired, and it is there all the same: a planted fault
}

type model struct {
	members [modelMembers]modelMember
	// read is what the leader has read of each advertisement.
	read [modelMembers]struct {
		saysNew, advertised bool
		revision            uint64
	}
	revision uint64 // the newest
	// writing: the transaction is on its way, on the condition of the judged revisions.
	writing  bool
	judgedBy [modelMembers]uint64
	active   bool
}

// flaw is a fault that is planted in the protocol.
type flaw int

const (
	sound flaw = iota
	byPings
	advertisementOutlivesLease
	unconditional
)

// decide asks the activation itself.
func (s *model) decide(f flaw) bool {
	a := NewActivation(CurrentProgram(), "n0", "b", []string{"n1"}, nil, nil)
	a.SetFormat(2)
	for i := range s.members {
		name := fmt.Sprint("n", i)
		switch {
		case f == byPings && s.members[i].current:
			a.SetAdvertisement(name, advertisementOf(CurrentProgram()), 1, 1)
		case f == byPings:
		case s.read[i].advertised && s.read[i].saysNew:
			a.SetAdvertisement(name, advertisementOf(CurrentProgram()), s.read[i].revision, 1)
		case s.read[i].advertised:
			a.SetAdvertisement(name, advertisementOf(older()), s.read[i].revision, 1)
		}
	}
	next, judgedBy := a.NextFeature()
	if next == nil || next.Name != Connectivity {
		return false
	}
	for i, member := range judgedBy {
		s.judgedBy[i] = member.Revision
	}
	return true
}

// steps are all that may happen next.
func (s model) steps(f flaw) (out []model) {
	for i := range s.members {
		for _, current := range []bool{true, false} { // restarted as this program or the older one
			n := s
			n.members[i].current, n.members[i].own = current, false
			out = append(out, n)
		}
		if !s.members[i].own { // it advertises, or the lease of its predecessor expires
			n := s
			n.revision++
			n.members[i].advertised, n.members[i].saysNew, n.members[i].revision, n.members[i].own = true, s.members[i].current, n.revision, true
			n.members[i].expired = false
			out = append(out, n)
			if s.members[i].advertised {
				n = s
				if n.members[i].expired = f == advertisementOutlivesLease; !n.members[i].expired {
					n.members[i].advertised, n.members[i].revision = false, 0
				}
				out = append(out, n)
			}
		}
		n := s // the leader reads its advertisement
		n.read[i].advertised, n.read[i].saysNew, n.read[i].revision = s.members[i].advertised, s.members[i].saysNew, s.members[i].revision
		out = append(out, n)
	}
	if !s.writing && !s.active {
		if n := s; n.decide(f) {
			n.writing = true
			out = append(out, n)
		}
	}
	if s.writing { // it is executed, or lost
		n := s
		n.writing = false
		out = append(out, n)
		holds := true
		for i := range s.members {
			at := uint64(0)
			if s.members[i].advertised {
				at = s.members[i].revision
			}
			holds = holds && at == s.judgedBy[i]
		}
		if holds || f == unconditional || f == byPings {
			n.active = true
			out = append(out, n)
		}
	}
	return out
}

// wrong: the feature has just been activated while a member runs that does not have it, and
// whose advertisement did not say that it has. The one exception is a process that was replaced
// before its lease expired: its advertisement stays until the new process advertises or the
// lease expires, and the new one reads what is active before it does anything.
func (s *model) wrong(before *model) bool {
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

// explore goes through all histories to a depth, and counts the states.
func explore(f flaw, depth int) (states int, found bool) {
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
		for _, n := range s.steps(f) {
			if n.wrong(&s) {
				found = true
				return
			}
			walk(n, left-1)
		}
	}
	walk(model{}, depth)
	return len(seen), found
}

// TestModel searches all histories of the model to a depth: a feature is never activated while
// a controller can write that advertises not to have it, or nothing. Each planted fault is found.
func TestModel(t *testing.T) {
	for _, tc := range []struct {
		name  string
		f     flaw
		found bool
	}{{"sound", sound, false}, {"judged by pings alone", byPings, true}, {"advertisements that outlive their leases", advertisementOutlivesLease, true}, {"a write without conditions", unconditional, true}} {
		states, found := explore(tc.f, modelDepth)
		t.Logf("%s: %d states to a depth of %d", tc.name, states, modelDepth)
		if found != tc.found {
			t.Errorf("%s: found %v", tc.name, found)
		}
	}
}
