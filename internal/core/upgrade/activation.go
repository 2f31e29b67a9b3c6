package upgrade

import (
	"fmt"
	"slices"
	"strings"
)

// StoredFeature is an active feature as it is stored, by its name. A program that lacks a
// Required feature must not continue.
type StoredFeature struct {
	Name     FeatureName `json:"n"`
	Required bool        `json:"d,omitempty"`
}

// MemberRevision is a controller and the revision of its advertisement, 0 if it has none.
type MemberRevision struct {
	Name     string
	Revision uint64
}

// member is the knowledge of this controller about one controller.
type member struct {
	advertisement Advertisement
	revision      uint64 // of the advertisement, 0 if there is none
	seenAt        int64  // time at which the advertisement was read

	// answeredAt is the send time of the newest ping that the controller answered; format
	// and features are from that answer.
	answeredAt int64
	format     int
	features   []FeatureName

	// decommissioned reports whether operators have declared that the controller will not return.
	decommissioned bool
}

// Activation is the knowledge of one controller about the features of all controllers, and about
// the active features.
type Activation struct {
	program Program
	self    string
	local   Advertisement
	names   []string // of all controllers including this one, sorted
	members map[string]*member

	format  int // the stored format
	enabled map[FeatureName]bool
	// unknownFeatures are active features that this program does not have.
	unknownFeatures []StoredFeature
}

// NewActivation returns the activation of a controller. optedIn are the features that the
// controller's operators have opted in to, withheld are those that the operators withhold.
func NewActivation(program Program, self, incarnation string, peers []string, optedIn, withheld []FeatureName) *Activation {
	a := &Activation{
		program: program,
		self:    self,
		local:   localAdvertisement(&program, incarnation, optedIn, withheld),
		names:   append([]string{self}, peers...),
		members: map[string]*member{},
		enabled: map[FeatureName]bool{},
		format:  firstFormat,
	}
	slices.Sort(a.names)
	for _, name := range a.names {
		a.members[name] = &member{}
	}
	return a
}

// ClearStored discards the stored state of the controllers, before it is read again. Their
// answers to pings are kept.
func (a *Activation) ClearStored() {
	for _, m := range a.members {
		m.advertisement, m.revision, m.seenAt, m.decommissioned = Advertisement{}, 0, 0, false
	}
}

// LocalAdvertisement returns this controller's advertisement and the revision of its stored
// advertisement. pending reports whether the stored one differs or is missing.
func (a *Activation) LocalAdvertisement() (local Advertisement, revision uint64, pending bool) {
	m := a.members[a.self]
	return a.local, m.revision, m.revision == 0 || !m.advertisement.equal(&a.local)
}

// Features returns the features that this controller advertises, for its answers to pings.
func (a *Activation) Features() []FeatureName { return a.local.Features }

// SetAdvertisement records a controller's advertisement in the state service.
func (a *Activation) SetAdvertisement(name string, advertisement Advertisement, revision uint64, now int64) {
	if m := a.members[name]; m != nil {
		m.advertisement, m.revision, m.seenAt = advertisement, revision, now
	}
}

// RemoveAdvertisement records that a controller's advertisement disappeared with its lease.
func (a *Activation) RemoveAdvertisement(name string) {
	if m := a.members[name]; m != nil {
		m.advertisement, m.revision = Advertisement{}, 0
	}
}

// RecordPing records the answer to a ping that was sent at sentAt: the newest format that the
// controller writes, 0 from a program that knows only the first format, and its features.
func (a *Activation) RecordPing(name string, sentAt int64, format int, features []FeatureName) {
	if m := a.members[name]; m != nil && sentAt >= m.answeredAt {
		m.answeredAt, m.format, m.features = sentAt, format, features
	}
}

// SetDecommissioned records whether operators have declared that a controller will not return.
func (a *Activation) SetDecommissioned(name string, decommissioned bool) {
	if m := a.members[name]; m != nil {
		m.decommissioned = decommissioned
	}
}

// Returned returns the decommissioned controllers that have an advertisement again.
func (a *Activation) Returned() (names []string) {
	for _, name := range a.names {
		if m := a.members[name]; m.decommissioned && m.revision != 0 {
			names = append(names, name)
		}
	}
	return names
}

// SetFormat records the stored format, which never decreases.
func (a *Activation) SetFormat(format int) { a.format = max(a.format, format) }

// SetEnabled records the features that are stored as active.
func (a *Activation) SetEnabled(features []StoredFeature) {
	a.unknownFeatures = nil
	for _, stored := range features {
		if a.program.feature(stored.Name) == nil {
			a.unknownFeatures = append(a.unknownFeatures, stored)
			continue
		}
		a.enabled[stored.Name] = true
	}
}

// Enabled reports whether a feature of this program is active.
func (a *Activation) Enabled(name FeatureName) bool {
	feature := a.program.feature(name)
	switch {
	case feature == nil:
		return false
	case feature.Format != 0:
		return a.format >= feature.Format
	default:
		return a.enabled[name]
	}
}

// Incompatibility returns the reason for which this program must not continue, "" if it may: the
// stored state needs a format or feature that the program does not have.
func (a *Activation) Incompatibility() string {
	if newest := a.program.Format(); a.format > newest {
		return fmt.Sprintf("the stored format is %d, and this program reads up to %d: start a newer one", a.format, newest)
	}
	var missing []string
	for _, stored := range a.unknownFeatures {
		if stored.Required {
			missing = append(missing, string(stored.Name))
		}
	}
	if len(missing) > 0 {
		return fmt.Sprintf("what is stored needs %s, which this program does not have: start a newer one", strings.Join(missing, ", "))
	}
	return ""
}

// NextFeature returns the feature that the leader may activate now, nil if there is none, and
// the revisions of the advertisements on which the decision is based: the write has to be
// conditional on them.
func (a *Activation) NextFeature() (next *Feature, conditions []MemberRevision) {
	for i := range a.program.Features {
		feature := &a.program.Features[i]
		if a.Enabled(feature.Name) || len(a.blockers(feature)) > 0 {
			continue
		}
		for _, name := range a.names {
			conditions = append(conditions, MemberRevision{name, a.members[name].revision})
		}
		return feature, conditions
	}
	return nil, nil
}

// blockers returns the reasons for which a feature can't be activated, for operators; none if it
// can.
func (a *Activation) blockers(feature *Feature) (reasons []string) {
	for _, name := range feature.Requires {
		if !a.Enabled(name) {
			reasons = append(reasons, "it needs "+string(name))
		}
	}
	if feature.OptIn && !slices.Contains(a.local.Features, feature.Name) {
		return append(reasons, "it is not switched on here")
	}
	for _, name := range a.names {
		if reason := a.blockerAt(name, feature); reason != "" {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// blockerAt returns the reason for which one controller blocks a feature, "" if it does not.
func (a *Activation) blockerAt(name string, feature *Feature) string {
	m := a.members[name]
	switch {
	case m.revision == 0 && m.decommissioned:
		return ""
	case m.revision == 0:
		return name + " has not said what it can"
	case slices.Contains(m.advertisement.Withheld, feature.Name):
		return name + " holds it back"
	case !m.advertisement.supports(feature):
		return name + " does not have it"
	case m.answersWithout(feature):
		return name + " answers that it does not have it"
	}
	return ""
}

// answersWithout reports whether the controller's answer to a ping that was sent after its
// advertisement was read lacks a feature. An older program may have replaced the one that stored
// the advertisement, before the lease expired. A missing answer proves nothing.
func (m *member) answersWithout(feature *Feature) bool {
	if m.answeredAt <= m.seenAt {
		return false
	}
	if feature.Format != 0 {
		return m.format < feature.Format
	}
	return !slices.Contains(m.features, feature.Name)
}

// EnabledWith returns the active features to store when next is activated as well.
func (a *Activation) EnabledWith(next *Feature) []StoredFeature {
	features := slices.Clone(a.unknownFeatures)
	for _, feature := range a.program.Features {
		if feature.Format == 0 && (a.enabled[feature.Name] || feature.Name == next.Name) {
			features = append(features, StoredFeature{Name: feature.Name, Required: !feature.Ignorable})
		}
	}
	return features
}

// FeatureState is the state of a feature, as shown to operators.
type FeatureState struct {
	Name     FeatureName
	Enabled  bool
	Blockers []string // reasons for which it is not enabled
}

// FeatureStates returns the states of all features of this program, and of active features that
// it does not have.
func (a *Activation) FeatureStates() (states []FeatureState) {
	for i := range a.program.Features {
		feature := &a.program.Features[i]
		state := FeatureState{Name: feature.Name, Enabled: a.Enabled(feature.Name)}
		if !state.Enabled {
			state.Blockers = a.blockers(feature)
		}
		states = append(states, state)
	}
	for _, stored := range a.unknownFeatures {
		states = append(states, FeatureState{Name: stored.Name, Enabled: true})
	}
	return states
}

// CountMembers counts the controllers with an advertisement: those other than the leader that have
// a feature, and those, including the leader, that do not have it.
func (a *Activation) CountMembers(name FeatureName, leader string) (with, without int) {
	feature := a.program.feature(name)
	for _, controller := range a.names {
		m := a.members[controller]
		switch {
		case m.revision == 0:
		case feature == nil || !m.advertisement.supports(feature):
			without++
		case controller != leader:
			with++
		}
	}
	return with, without
}

// MemberFor returns the time since this controller read its own stored advertisement, 0 if it is
// not stored.
func (a *Activation) MemberFor(now int64) int64 {
	m := a.members[a.self]
	if m.revision == 0 {
		return 0
	}
	return now - m.seenAt
}

// Advertisements returns the stored advertisements by controller.
func (a *Activation) Advertisements() map[string]Advertisement {
	advertisements := map[string]Advertisement{}
	for name, m := range a.members {
		if m.revision != 0 {
			advertisements[name] = m.advertisement
		}
	}
	return advertisements
}
