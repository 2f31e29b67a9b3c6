// Package upgrade says what this program can do, what every controller has said
// that it can, and which features are on. It owns the activation: a feature is
// switched on once all controllers have it, and never off while something that
// is stored needs it. It does no input or output.
package upgrade

import (
	"slices"
	"strings"
)

// FeatureName is a feature's.
type FeatureName string

// The features of this program, oldest first.
const (
	// ProgressLog is the log of progress, pipelines, and values of fewer tasks.
	ProgressLog FeatureName = "log"
	// Sweeps are templates and sweeps.
	Sweeps FeatureName = "sweeps"
	// Connectivity is what each controller says that it reaches.
	Connectivity FeatureName = "reach"
	// SharedReads: the leader reads the state service for the others, and all keep
	// to shares of what it allows.
	SharedReads FeatureName = "shared-reads"
)

// Feature is something that changes what is stored, or what controllers do with
// each other, and that all of them have to know before one begins.
type Feature struct {
	Name FeatureName
	// SinceVersion is the program that had it first.
	SinceVersion int
	// Format is the stored format that stands for it; 0 for a feature that is
	// switched on by its name.
	Format int
	// Requires have to be on before.
	Requires []FeatureName
	// KeyPrefixes are the beginnings of the keys, without the prefix of all, that only
	// it writes.
	KeyPrefixes []string
	// MessagesOnly: it stores nothing, and changes what controllers ask of each other.
	MessagesOnly bool
	// Ignorable: a program without it ignores its keys and may serve beside it,
	// and come back when it is on. A feature that is not ignored is needed from
	// then on: a program without it does not start.
	Ignorable bool
	// OptIn: it is on only where the operators want it on every controller.
	OptIn bool
}

// Program is what a controller runs.
type Program struct {
	// Version numbers the programs that told of features; those before say 0.
	Version  int
	Features []Feature
}

// CurrentProgram is this program. To add a feature: give it a name above and a row here,
// ask Enabled wherever its keys or fields are written or its messages are sent, list
// its keys, and add its values to the recorded ones.
func CurrentProgram() Program {
	return Program{Version: 5, Features: []Feature{
		{Name: ProgressLog, SinceVersion: 2, Format: 2, KeyPrefixes: []string{"log/"}},
		{Name: Sweeps, SinceVersion: 3, Format: 3, Requires: []FeatureName{ProgressLog}, KeyPrefixes: []string{"sweep"}, OptIn: true},
		{Name: Connectivity, SinceVersion: 4, Requires: []FeatureName{ProgressLog}, KeyPrefixes: []string{"reach/"}, Ignorable: true},
		{Name: SharedReads, SinceVersion: 5, Requires: []FeatureName{Connectivity}, MessagesOnly: true, Ignorable: true},
	}}
}

// feature is a feature of the program, nil if it has none of that name.
func (p *Program) feature(n FeatureName) *Feature {
	if i := slices.IndexFunc(p.Features, func(f Feature) bool { return f.Name == n }); i >= 0 {
		return &p.Features[i]
	}
	return nil
}

// Format is the newest stored format that the program reads.
func (p *Program) Format() int {
	most := 1
	for _, f := range p.Features {
		most = max(most, f.Format)
	}
	return most
}

// FeatureOfKey is the feature that alone writes a key, without the prefix of all; ""
// if any may.
func (p *Program) FeatureOfKey(key string) FeatureName {
	for _, f := range p.Features {
		for _, k := range f.KeyPrefixes {
			if strings.HasPrefix(key, k) {
				return f.Name
			}
		}
	}
	return ""
}
