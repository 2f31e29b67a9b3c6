package upgrade

import (
	"fmt"
	"slices"
	"strings"
)

// Advertisement is what a controller says of itself in the state service, on its lease,
// for as long as it runs. Programs before features say Format and Boot alone.
type Advertisement struct {
	Format      int    `json:"v"`
	Incarnation string `json:"b"`
	// Program is its version, Oldest the oldest stored format that it reads.
	Program      int `json:"p,omitempty"`
	OldestFormat int `json:"o,omitempty"`
	// Features are those that it has, less what its operators hold back.
	Features []FeatureName `json:"f,omitempty"`
	// Withheld are those.
	Withheld []FeatureName `json:"x,omitempty"`
}

// supports says whether the word is of a controller that may see a feature on. What
// a program before features has follows from its format.
func (w *Advertisement) supports(f *Feature) bool {
	if w.Program == 0 {
		return f.Format != 0 && w.Format >= f.Format
	}
	return slices.Contains(w.Features, f.Name)
}

// equal says whether two words say the same.
func (w *Advertisement) equal(o *Advertisement) bool {
	return w.Format == o.Format && w.Incarnation == o.Incarnation && w.Program == o.Program && w.OldestFormat == o.OldestFormat && slices.Equal(w.Features, o.Features) && slices.Equal(w.Withheld, o.Withheld)
}

// StoredFeature is a feature that is on by its name, as it is stored. Needed: programs
// without it must not go on.
type StoredFeature struct {
	Name     FeatureName `json:"n"`
	Required bool        `json:"d,omitempty"`
}

// MemberRevision is a controller and the version of its word, 0 for none.
type MemberRevision struct {
	Name     string
	Revision uint64
}

// member is what is known of a controller.
type member struct {
	advertisement Advertisement
	revision      uint64 // of the word, 0 if there is none
	seenAt        int64
	// answeredAt is when a ping that it answered was sent, format and features
	// what it said then.
	answeredAt int64
	format     int
	features   []FeatureName
	// decommissioned: operators say that it will not come back.
	decommissioned bool
}

// Activation is one controller's knowledge of all.
type Activation struct {
	program Program
	self    string
	local   Advertisement
	names   []string // of all controllers, this one too
	members map[string]*member
	format  int
	enabled map[FeatureName]bool
	// unknownFeatures are features that are on and that this program does not have.
	unknownFeatures []StoredFeature
}

// NewActivation makes the activation of a controller. chosen are the features that its operators
// want of those that have to be wanted, held those that they hold back.
func NewActivation(program Program, self, boot string, peers []string, chosen, held []FeatureName) *Activation {
	l := &Activation{program: program, self: self, names: append([]string{self}, peers...), members: map[string]*member{}, enabled: map[FeatureName]bool{}, format: 1}
	slices.Sort(l.names)
	l.local = Advertisement{Format: 1, Incarnation: boot, Program: program.Version, OldestFormat: 1}
	for i := range program.Features {
		f := &program.Features[i]
		switch {
		case f.OptIn && !slices.Contains(chosen, f.Name):
		case slices.Contains(held, f.Name):
			l.local.Withheld = append(l.local.Withheld, f.Name)
		default:
			l.local.Features = append(l.local.Features, f.Name)
			l.local.Format = max(l.local.Format, f.Format)
		}
	}
	if program.Version < firstVersionWithFeatures {
		l.local.Program, l.local.OldestFormat, l.local.Features, l.local.Withheld = 0, 0, nil, nil
	}
	l.Restart()
	return l
}

// firstVersionWithFeatures is the first program that tells of its features.
const firstVersionWithFeatures = 4

// Restart forgets what is stored, as before it is read anew. What was answered
// to pings is kept.
func (l *Activation) Restart() {
	for _, n := range l.names {
		m := l.members[n]
		if m == nil {
			m = &member{}
			l.members[n] = m
		}
		m.advertisement, m.revision, m.seenAt, m.decommissioned = Advertisement{}, 0, 0, false
	}
}

// LocalAdvertisement is this controller's word, and the version of the one that is stored;
// say is false if it stands there already.
func (l *Activation) LocalAdvertisement() (w Advertisement, stamp uint64, say bool) {
	m := l.members[l.self]
	return l.local, m.revision, m.revision == 0 || !m.advertisement.equal(&l.local)
}

// Features are those that this controller has, for its answers to pings.
func (l *Activation) Features() []FeatureName { return l.local.Features }

// SetAdvertisement notes a controller's word in the state service, Unsaid that it is gone.
func (l *Activation) SetAdvertisement(name string, w Advertisement, stamp uint64, now int64) {
	if m := l.members[name]; m != nil {
		m.advertisement, m.revision, m.seenAt = w, stamp, now
	}
}

// RemoveAdvertisement notes that a controller's word has gone with its lease.
func (l *Activation) RemoveAdvertisement(name string) {
	if m := l.members[name]; m != nil {
		m.advertisement, m.revision = Advertisement{}, 0
	}
}

// RecordPing notes an answer to a ping that was sent at sent: the format that the
// controller can write, 0 before there were any, and its features.
func (l *Activation) RecordPing(name string, sent int64, format int, features []FeatureName) {
	if m := l.members[name]; m != nil && sent >= m.answeredAt {
		m.answeredAt, m.format, m.features = sent, format, features
	}
}

// SetDecommissioned notes whether operators say that a controller will not come back.
func (l *Activation) SetDecommissioned(name string, gone bool) {
	if m := l.members[name]; m != nil {
		m.decommissioned = gone
	}
}

// Returned are those that were said to be gone and have a word again.
func (l *Activation) Returned() (names []string) {
	for _, n := range l.names {
		if m := l.members[n]; m.decommissioned && m.revision != 0 {
			names = append(names, n)
		}
	}
	return names
}

// SetFormat notes the stored format, SetEnabled the features that are on by name.
func (l *Activation) SetFormat(format int) { l.format = max(l.format, format) }

// SetEnabled notes the stored features.
func (l *Activation) SetEnabled(list []StoredFeature) {
	l.unknownFeatures = nil
	for _, s := range list {
		if l.program.feature(s.Name) == nil {
			l.unknownFeatures = append(l.unknownFeatures, s)
			continue
		}
		l.enabled[s.Name] = true
	}
}

// Enabled says whether a feature is on.
func (l *Activation) Enabled(n FeatureName) bool {
	f := l.program.feature(n)
	return f != nil && (f.Format != 0 && l.format >= f.Format || f.Format == 0 && l.enabled[n])
}

// Incompatibility is why this program must not go on, "" if it may: what is stored needs
// something that it does not have.
func (l *Activation) Incompatibility() string {
	if most := l.program.Format(); l.format > most {
		return fmt.Sprintf("the stored format is %d, and this program reads up to %d: start a newer one", l.format, most)
	}
	var needed []string
	for _, s := range l.unknownFeatures {
		if s.Required {
			needed = append(needed, string(s.Name))
		}
	}
	if len(needed) > 0 {
		return fmt.Sprintf("what is stored needs %s, which this program does not have: start a newer one", strings.Join(needed, ", "))
	}
	return ""
}

// blockerOf is why a controller holds a feature back, "" if it does not.
func (l *Activation) blockerOf(name string, f *Feature) string {
	m := l.members[name]
	switch {
	case m.revision == 0 && m.decommissioned:
		return ""
	case m.revision == 0:
		return name + " has not said what it can"
	case slices.Contains(m.advertisement.Withheld, f.Name):
		return name + " holds it back"
	case !m.advertisement.supports(f):
		return name + " does not have it"
	}
	// It may have been replaced by an older program within its lease. That it
	// does not answer is no proof of anything.
	if f.Format != 0 && m.answeredAt > m.seenAt && m.format < f.Format || f.Format == 0 && m.answeredAt > m.seenAt && !slices.Contains(m.features, f.Name) {
		return name + " answers that it does not have it"
	}
	return ""
}

// NextFeature is the feature that the leader may switch on now, nil if there is none,
// with the words that it judged by: the write has to be conditional on them.
func (l *Activation) NextFeature() (f *Feature, by []MemberRevision) {
	for i := range l.program.Features {
		f := &l.program.Features[i]
		if l.Enabled(f.Name) || len(l.blockers(f)) > 0 {
			continue
		}
		for _, n := range l.names {
			by = append(by, MemberRevision{n, l.members[n].revision})
		}
		return f, by
	}
	return nil, nil
}

// blockers is what holds a feature back.
func (l *Activation) blockers(f *Feature) (why []string) {
	for _, n := range f.Requires {
		if !l.Enabled(n) {
			why = append(why, "it needs "+string(n))
		}
	}
	if f.OptIn && !slices.Contains(l.local.Features, f.Name) {
		return append(why, "it is not switched on here")
	}
	for _, n := range l.names {
		if w := l.blockerOf(n, f); w != "" {
			why = append(why, w)
		}
	}
	return why
}

// EnabledWith are the features to be stored once another is on too.
func (l *Activation) EnabledWith(f *Feature) (list []StoredFeature) {
	list = slices.Clone(l.unknownFeatures)
	for _, x := range l.program.Features {
		if x.Format == 0 && (l.enabled[x.Name] || x.Name == f.Name) {
			list = append(list, StoredFeature{x.Name, !x.Ignorable})
		}
	}
	return list
}

// FeatureState is a feature for operators.
type FeatureState struct {
	Name     FeatureName
	Enabled  bool
	Blockers []string
}

// FeatureStates are all features with what holds them back.
func (l *Activation) FeatureStates() (out []FeatureState) {
	for i := range l.program.Features {
		f := &l.program.Features[i]
		s := FeatureState{Name: f.Name, Enabled: l.Enabled(f.Name)}
		if !s.Enabled {
			s.Blockers = l.blockers(f)
		}
		out = append(out, s)
	}
	for _, a := range l.unknownFeatures {
		out = append(out, FeatureState{Name: a.Name, Enabled: true})
	}
	return out
}

// CountMembers counts the controllers that are members and have a feature, without the
// leader, and those that are members and do not have it.
func (l *Activation) CountMembers(n FeatureName, leader string) (present, without int) {
	f := l.program.feature(n)
	for _, name := range l.names {
		m := l.members[name]
		switch {
		case m.revision == 0:
		case f == nil || !m.advertisement.supports(f):
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
	if m.revision == 0 {
		return 0
	}
	return now - m.seenAt
}

// Advertisements are the controllers' words that are there.
func (l *Activation) Advertisements() map[string]Advertisement {
	out := map[string]Advertisement{}
	for n, m := range l.members {
		if m.revision != 0 {
			out[n] = m.advertisement
		}
	}
	return out
}
