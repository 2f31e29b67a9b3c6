package upgrade

import (
	"fmt"
	"slices"
	"strings"
)

// Word is what a controller says of itself in the state service, on its lease,
// for as long as it runs. Programs before features say Format and Boot alone.
type Word struct {
	Format int    `json:"v"`
	Boot   string `json:"b"`
	// Program is its version, Oldest the oldest stored format that it reads.
	Program int `json:"p,omitempty"`
	Oldest  int `json:"o,omitempty"`
	// Features are those that it has, less what its operators hold back.
	Features []Name `json:"f,omitempty"`
	// Held are those.
	Held []Name `json:"x,omitempty"`
}

// has says whether the word is of a controller that may see a feature on. What
// a program before features has follows from its format.
func (w *Word) has(f *Feature) bool {
	if w.Program == 0 {
		return f.Format != 0 && w.Format >= f.Format
	}
	return slices.Contains(w.Features, f.Name)
}

// same says whether two words say the same.
func (w *Word) same(o *Word) bool {
	return w.Format == o.Format && w.Boot == o.Boot && w.Program == o.Program && w.Oldest == o.Oldest && slices.Equal(w.Features, o.Features) && slices.Equal(w.Held, o.Held)
}

// Stored is a feature that is on by its name, as it is stored. Needed: programs
// without it must not go on.
type Stored struct {
	Name   Name `json:"n"`
	Needed bool `json:"d,omitempty"`
}

// Member is a controller and the version of its word, 0 for none.
type Member struct {
	Name  string
	Stamp uint64
}

// member is what is known of a controller.
type member struct {
	word  Word
	stamp uint64 // of the word, 0 if there is none
	seen  int64
	// answered is when a ping that it answered was sent, format and features
	// what it said then.
	answered int64
	format   int
	features []Name
	// gone: operators say that it will not come back.
	gone bool
}

// Activation is one controller's knowledge of all.
type Activation struct {
	program Program
	self    string
	own     Word
	names   []string // of all controllers, this one too
	members map[string]*member
	format  int
	on      map[Name]bool
	// alien are features that are on and that this program does not have.
	alien []Stored
}

// New makes the activation of a controller. chosen are the features that its operators
// want of those that have to be wanted, held those that they hold back.
func New(program Program, self, boot string, peers []string, chosen, held []Name) *Activation {
	l := &Activation{program: program, self: self, names: append([]string{self}, peers...), members: map[string]*member{}, on: map[Name]bool{}, format: 1}
	slices.Sort(l.names)
	l.own = Word{Format: 1, Boot: boot, Program: program.Version, Oldest: 1}
	for i := range program.Features {
		f := &program.Features[i]
		switch {
		case f.Chosen && !slices.Contains(chosen, f.Name):
		case slices.Contains(held, f.Name):
			l.own.Held = append(l.own.Held, f.Name)
		default:
			l.own.Features = append(l.own.Features, f.Name)
			l.own.Format = max(l.own.Format, f.Format)
		}
	}
	if program.Version < firstWithFeatures {
		l.own.Program, l.own.Oldest, l.own.Features, l.own.Held = 0, 0, nil, nil
	}
	l.Restart()
	return l
}

// firstWithFeatures is the first program that tells of its features.
const firstWithFeatures = 4

// Restart forgets what is stored, as before it is read anew. What was answered
// to pings is kept.
func (l *Activation) Restart() {
	for _, n := range l.names {
		m := l.members[n]
		if m == nil {
			m = &member{}
			l.members[n] = m
		}
		m.word, m.stamp, m.seen, m.gone = Word{}, 0, 0, false
	}
}

// Own is this controller's word, and the version of the one that is stored;
// say is false if it stands there already.
func (l *Activation) Own() (w Word, stamp uint64, say bool) {
	m := l.members[l.self]
	return l.own, m.stamp, m.stamp == 0 || !m.word.same(&l.own)
}

// Features are those that this controller has, for its answers to pings.
func (l *Activation) Features() []Name { return l.own.Features }

// Said notes a controller's word in the state service, Unsaid that it is gone.
func (l *Activation) Said(name string, w Word, stamp uint64, now int64) {
	if m := l.members[name]; m != nil {
		m.word, m.stamp, m.seen = w, stamp, now
	}
}

// Unsaid notes that a controller's word has gone with its lease.
func (l *Activation) Unsaid(name string) {
	if m := l.members[name]; m != nil {
		m.word, m.stamp = Word{}, 0
	}
}

// Answered notes an answer to a ping that was sent at sent: the format that the
// controller can write, 0 before there were any, and its features.
func (l *Activation) Answered(name string, sent int64, format int, features []Name) {
	if m := l.members[name]; m != nil && sent >= m.answered {
		m.answered, m.format, m.features = sent, format, features
	}
}

// Gone notes whether operators say that a controller will not come back.
func (l *Activation) Gone(name string, gone bool) {
	if m := l.members[name]; m != nil {
		m.gone = gone
	}
}

// Back are those that were said to be gone and have a word again.
func (l *Activation) Back() (names []string) {
	for _, n := range l.names {
		if m := l.members[n]; m.gone && m.stamp != 0 {
			names = append(names, n)
		}
	}
	return names
}

// SetFormat notes the stored format, SetOn the features that are on by name.
func (l *Activation) SetFormat(format int) { l.format = max(l.format, format) }

// SetOn notes the stored features.
func (l *Activation) SetOn(list []Stored) {
	l.alien = nil
	for _, s := range list {
		if l.program.find(s.Name) == nil {
			l.alien = append(l.alien, s)
			continue
		}
		l.on[s.Name] = true
	}
}

// Enabled says whether a feature is on.
func (l *Activation) Enabled(n Name) bool {
	f := l.program.find(n)
	return f != nil && (f.Format != 0 && l.format >= f.Format || f.Format == 0 && l.on[n])
}

// Unfit is why this program must not go on, "" if it may: what is stored needs
// something that it does not have.
func (l *Activation) Unfit() string {
	if most := l.program.Format(); l.format > most {
		return fmt.Sprintf("the stored format is %d, and this program reads up to %d: start a newer one", l.format, most)
	}
	var needed []string
	for _, s := range l.alien {
		if s.Needed {
			needed = append(needed, string(s.Name))
		}
	}
	if len(needed) > 0 {
		return fmt.Sprintf("what is stored needs %s, which this program does not have: start a newer one", strings.Join(needed, ", "))
	}
	return ""
}

// lacks is why a controller holds a feature back, "" if it does not.
func (l *Activation) lacks(name string, f *Feature) string {
	m := l.members[name]
	switch {
	case m.stamp == 0 && m.gone:
		return ""
	case m.stamp == 0:
		return name + " has not said what it can"
	case slices.Contains(m.word.Held, f.Name):
		return name + " holds it back"
	case !m.word.has(f):
		return name + " does not have it"
	}
	// It may have been replaced by an older program within its lease. That it
	// does not answer is no proof of anything.
	if f.Format != 0 && m.answered > m.seen && m.format < f.Format || f.Format == 0 && m.answered > m.seen && !slices.Contains(m.features, f.Name) {
		return name + " answers that it does not have it"
	}
	return ""
}

// Next is the feature that the leader may switch on now, nil if there is none,
// with the words that it judged by: the write has to be conditional on them.
func (l *Activation) Next() (f *Feature, by []Member) {
	for i := range l.program.Features {
		f := &l.program.Features[i]
		if l.Enabled(f.Name) || len(l.held(f)) > 0 {
			continue
		}
		for _, n := range l.names {
			by = append(by, Member{n, l.members[n].stamp})
		}
		return f, by
	}
	return nil, nil
}

// held is what holds a feature back.
func (l *Activation) held(f *Feature) (why []string) {
	for _, n := range f.Needs {
		if !l.Enabled(n) {
			why = append(why, "it needs "+string(n))
		}
	}
	if f.Chosen && !slices.Contains(l.own.Features, f.Name) {
		return append(why, "it is not switched on here")
	}
	for _, n := range l.names {
		if w := l.lacks(n, f); w != "" {
			why = append(why, w)
		}
	}
	return why
}

// On are the features to be stored once another is on too.
func (l *Activation) On(f *Feature) (list []Stored) {
	list = slices.Clone(l.alien)
	for _, x := range l.program.Features {
		if x.Format == 0 && (l.on[x.Name] || x.Name == f.Name) {
			list = append(list, Stored{x.Name, !x.Ignored})
		}
	}
	return list
}

// State is a feature for operators.
type State struct {
	Name Name
	On   bool
	Held []string
}

// States are all features with what holds them back.
func (l *Activation) States() (out []State) {
	for i := range l.program.Features {
		f := &l.program.Features[i]
		s := State{Name: f.Name, On: l.Enabled(f.Name)}
		if !s.On {
			s.Held = l.held(f)
		}
		out = append(out, s)
	}
	for _, a := range l.alien {
		out = append(out, State{Name: a.Name, On: true})
	}
	return out
}

// Present counts the controllers that are members and have a feature, without the
// leader, and those that are members and do not have it.
func (l *Activation) Present(n Name, leader string) (present, without int) {
	f := l.program.find(n)
	for _, name := range l.names {
		m := l.members[name]
		switch {
		case m.stamp == 0:
		case f == nil || !m.word.has(f):
			without++
		case name != leader:
			present++
		}
	}
	return present, without
}

// MemberFor is for how long this controller has seen its own word stored, 0 if it is
// not.
func (l *Activation) MemberFor(now int64) int64 {
	m := l.members[l.self]
	if m.stamp == 0 {
		return 0
	}
	return now - m.seen
}

// Words are the controllers' words that are there.
func (l *Activation) Words() map[string]Word {
	out := map[string]Word{}
	for n, m := range l.members {
		if m.stamp != 0 {
			out[n] = m.word
		}
	}
	return out
}
