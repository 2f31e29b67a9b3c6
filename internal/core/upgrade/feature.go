// Package upgrade decides which features are active while controllers of different versions
// run side by side. It does no I/O.
//
// A feature changes what is stored or which messages controllers send each other, so all
// controllers have to support it before any of them uses it. Each controller stores, on its
// lease, an [Advertisement] of the features that its program has. Once every controller that
// operators have not decommissioned advertises a feature, the leader activates it with a
// transaction on the condition that no advertisement has changed since the leader read it. From
// then on the feature stays active, since stored values may depend on it: a program without it
// does not start, unless the feature is [Feature.Ignorable].
//
// The oldest features are not stored by name: they follow from the version of the stored
// format, which never decreases.
package upgrade

import "strings"

// FeatureName is the name of a feature, as it is stored.
type FeatureName string

// The features of this program, oldest first.
const (
	// ProgressLog stands for the progress log, pipelines, and chunks of fewer tasks.
	ProgressLog FeatureName = "log"
	// Sweeps stands for sweeps and their templates.
	Sweeps FeatureName = "sweeps"
	// Connectivity means that controllers advertise in the state service what they reach.
	Connectivity FeatureName = "reach"
	// SharedReads means that the leader reads the state service for the other controllers,
	// and that all controllers keep to their shares of the service's limits.
	SharedReads FeatureName = "shared-reads"
)

// Feature is a change to what is stored, or to the messages between controllers, that all
// controllers have to support before any of them uses it.
type Feature struct {
	Name FeatureName
	// SinceVersion is the first program version that has the feature.
	SinceVersion int
	// Format is the version of the stored format that implies the feature, 0 for a feature
	// that is activated by name.
	Format int
	// Requires are the features that have to be active before this one is activated.
	Requires []FeatureName
	// KeyPrefixes are the prefixes of the keys that only this feature writes, without the
	// common prefix of all keys.
	KeyPrefixes []string
	// MessagesOnly reports whether the feature stores nothing, and only changes the messages between
	// controllers.
	MessagesOnly bool
	// Ignorable reports whether a program without the feature ignores its keys, and may run and
	// start while the feature is active. Any other feature is required once it is active.
	Ignorable bool
	// OptIn reports whether the feature is activated only if the operators have opted in on every
	// controller.
	OptIn bool
}

// Program describes the program that a controller runs: its version and features.
type Program struct {
	Version  int
	Features []Feature
}

// firstVersionWithFeatures is the first program version that advertises its version and features.
const firstVersionWithFeatures = 4

// CurrentProgram returns the description of this program. To add a feature: add a name above and
// an entry here that lists its keys, check [Activation.Enabled] wherever its keys or fields are
// written or its messages are sent, and add its values to the recorded stored values in the
// tests of the core package.
func CurrentProgram() Program {
	return Program{Version: 5, Features: []Feature{
		{
			Name:         ProgressLog,
			SinceVersion: 2,
			Format:       2,
			KeyPrefixes:  []string{"log/"},
		},
		{
			Name:         Sweeps,
			SinceVersion: 3,
			Format:       3,
			Requires:     []FeatureName{ProgressLog},
			KeyPrefixes:  []string{"sweep"},
			OptIn:        true,
		},
		{
			Name:         Connectivity,
			SinceVersion: 4,
			Requires:     []FeatureName{ProgressLog},
			KeyPrefixes:  []string{"reach/"},
			Ignorable:    true,
		},
		{
			Name:         SharedReads,
			SinceVersion: 5,
			Requires:     []FeatureName{Connectivity},
			MessagesOnly: true,
			Ignorable:    true,
		},
	}}
}

// feature returns the program's feature with a name, nil if it does not have it.
func (p *Program) feature(name FeatureName) *Feature {
	for i := range p.Features {
		if p.Features[i].Name == name {
			return &p.Features[i]
		}
	}
	return nil
}

// firstFormat is the first version of the stored format.
const firstFormat = 1

// Format returns the newest stored format that the program reads.
func (p *Program) Format() int {
	newest := firstFormat
	for _, feature := range p.Features {
		newest = max(newest, feature.Format)
	}
	return newest
}

// FeatureOfKey returns the only feature that writes a key, "" if there is none. The key is given
// without the common prefix of all keys.
func (p *Program) FeatureOfKey(key string) FeatureName {
	for _, feature := range p.Features {
		for _, prefix := range feature.KeyPrefixes {
			if strings.HasPrefix(key, prefix) {
				return feature.Name
			}
		}
	}
	return ""
}
