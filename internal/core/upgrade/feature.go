// Package upgrade decides which features are active while controllers of different versions
// run side by side. It does no input or output.
//
// A feature changes what is stored or what controllers ask of each other, so all of them have
// to know it before one begins. Each controller stores, on its lease, an [Advertisement] of
// the features that its program has. The leader activates a feature, with a transaction on the
// condition that each advertisement is still as it was judged, once every controller that
// operators have not decommissioned advertises it. From then on the feature is active for
// good, as something that is stored may need it: a program without it does not start, unless
// the feature is [Feature.Ignorable].
//
// The oldest features are not stored by name: they follow from the version of the stored
// format, which only rises.
package upgrade

import "strings"

// FeatureName is the name of a feature, as it is stored.
type FeatureName string

// The features of this program, oldest first.
const (
	// ProgressLog is the log of progress, pipelines, and chunks of fewer tasks.
	ProgressLog FeatureName = "log"
	// Sweeps are sweeps and their templates.
	Sweeps FeatureName = "sweeps"
	// Connectivity is that controllers advertise in the state service what they reach.
	Connectivity FeatureName = "reach"
	// SharedReads is that the leader reads the state service for the others, and all
	// keep to shares of what it allows.
	SharedReads FeatureName = "shared-reads"
)

// Feature is something that changes what is stored, or what controllers ask of each other,
// and that all of them have to know before one begins.
type Feature struct {
	Name FeatureName
	// SinceVersion is the version of the first program that has it.
	SinceVersion int
	// Format is the version of the stored format that implies it, 0 for a feature that
	// is activated by its name.
	Format int
	// Requires have to be active before.
	Requires []FeatureName
	// KeyPrefixes are the beginnings of the keys that only it writes, without the prefix
	// of all keys.
	KeyPrefixes []string
	// MessagesOnly: it stores nothing, and only changes what controllers ask of each other.
	MessagesOnly bool
	// Ignorable: a program without it ignores its keys and may run beside it, and start
	// while it is active. Any other feature is required once it is active.
	Ignorable bool
	// OptIn: it is activated only if the operators have opted in on every controller.
	OptIn bool
}

// Program is what a controller runs.
type Program struct {
	Version  int
	Features []Feature
}

// firstVersionWithFeatures is the first program that advertises its version and features.
const firstVersionWithFeatures = 4

// CurrentProgram is this program. To add a feature: give it a name above and an entry here
// that lists its keys, ask [Activation.Enabled] wherever its keys or fields are written or its
// messages are sent, and add its values to the recorded ones.
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

// feature is the program's feature of a name, nil if it does not have it.
func (p *Program) feature(name FeatureName) *Feature {
	for i := range p.Features {
		if p.Features[i].Name == name {
			return &p.Features[i]
		}
	}
	return nil
}

// firstFormat is the stored format before there were others.
const firstFormat = 1

// Format is the newest stored format that the program reads.
func (p *Program) Format() int {
	newest := firstFormat
	for _, feature := range p.Features {
		newest = max(newest, feature.Format)
	}
	return newest
}

// FeatureOfKey is the feature that alone writes a key, given without the prefix of all keys;
// "" if there is none.
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
