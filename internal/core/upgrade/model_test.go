package upgrade

import (
	"fmt"
	"testing"
)

// The model: two members and a leader's latch, with the state service between
// them as PROTOCOL has it. A member runs this program or an older one, says its
// word on its lease, is restarted as either at any moment, and its lease runs
// out at any time after. The leader reads words when it reads them, decides by
// Next, and its write is executed later, if its conditions hold then.
const (
	modelMembers = 2
	modelDepth   = 12
)

type modelMember struct {
	new     bool   // the program that runs now
	lease   bool   // the word is there
	says    bool   // what it says: true for this program
	stamp   uint64 // of the word
	mine    bool   // the word is of the process that runs
	expired bool   // its lease has ended, and it stands all the same: a planted fault
}

type model struct {
	m    [modelMembers]modelMember
	read [modelMembers]struct {
		says, there bool
		stamp       uint64
	}
	stamp uint64
	// write is a transaction on its way, by the words' versions.
	write  bool
	by     [modelMembers]uint64
	active bool
}

// flaw is a fault that is planted.
type flaw int

const (
	sound flaw = iota
	byPings
	wordWithoutLease
	unconditional
)

// decide asks the activation itself.
func (s *model) decide(f flaw) bool {
	l := NewActivation(CurrentProgram(), "n0", "b", []string{"n1"}, nil, nil)
	l.SetFormat(2)
	for i := range s.m {
		name := fmt.Sprint("n", i)
		switch {
		case f == byPings && s.m[i].new:
			l.SetAdvertisement(name, word(CurrentProgram()), 1, 1)
		case f == byPings:
		case s.read[i].there && s.read[i].says:
			l.SetAdvertisement(name, word(CurrentProgram()), s.read[i].stamp, 1)
		case s.read[i].there:
			l.SetAdvertisement(name, word(older()), s.read[i].stamp, 1)
		}
	}
	next, by := l.NextFeature()
	if next == nil || next.Name != Connectivity {
		return false
	}
	for i, b := range by {
		s.by[i] = b.Revision
	}
	return true
}

// steps are all that may happen next.
func (s model) steps(f flaw) (out []model) {
	for i := range s.m {
		for _, as := range []bool{true, false} { // restarted as this program or the older one
			n := s
			n.m[i].new, n.m[i].mine = as, false
			out = append(out, n)
		}
		if !s.m[i].mine { // it says its word, or its own old one's lease runs out
			n := s
			n.stamp++
			n.m[i].lease, n.m[i].says, n.m[i].stamp, n.m[i].mine = true, s.m[i].new, n.stamp, true
			n.m[i].expired = false
			out = append(out, n)
			if s.m[i].lease {
				n = s
				if n.m[i].expired = f == wordWithoutLease; !n.m[i].expired {
					n.m[i].lease, n.m[i].stamp = false, 0
				}
				out = append(out, n)
			}
		}
		n := s // the leader reads its word
		n.read[i].there, n.read[i].says, n.read[i].stamp = s.m[i].lease, s.m[i].says, s.m[i].stamp
		out = append(out, n)
	}
	if !s.write && !s.active {
		if n := s; n.decide(f) {
			n.write = true
			out = append(out, n)
		}
	}
	if s.write { // it is executed, or lost
		n := s
		n.write = false
		out = append(out, n)
		holds := true
		for i := range s.m {
			at := uint64(0)
			if s.m[i].lease {
				at = s.m[i].stamp
			}
			holds = holds && at == s.by[i]
		}
		if holds || f == unconditional || f == byPings {
			n.active = true
			out = append(out, n)
		}
	}
	return out
}

// wrong: the feature has just been switched on while a member runs that has not
// got it and whose word did not say so at that moment. A process that was
// replaced within its lease is the one exception there is: its own word stands
// until the new process speaks or the lease ends, and the new one reads what is
// on before it does anything.
func (s *model) wrong(before *model) bool {
	if !s.active || before.active {
		return false
	}
	for i := range s.m {
		if !s.m[i].new && (s.m[i].mine || !s.m[i].lease || s.m[i].expired) {
			return true
		}
	}
	return false
}

// explore goes through all histories to a depth, and counts states.
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

// TestModel searches all histories of the model to a depth: a feature is never
// switched on while a controller that says it lacks it, or says nothing, can
// write. Each planted fault is found.
func TestModel(t *testing.T) {
	for _, tc := range []struct {
		name  string
		f     flaw
		found bool
	}{{"sound", sound, false}, {"judged by pings alone", byPings, true}, {"words that outlive their process", wordWithoutLease, true}, {"a write without conditions", unconditional, true}} {
		states, found := explore(tc.f, modelDepth)
		t.Logf("%s: %d states to a depth of %d", tc.name, states, modelDepth)
		if found != tc.found {
			t.Errorf("%s: found %v", tc.name, found)
		}
	}
}
