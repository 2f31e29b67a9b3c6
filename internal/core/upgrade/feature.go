// Package upgrade says what this program can do, what every controller has said
// that it can, and which features are on. It owns the activation: a feature is
// switched on once all controllers have it, and never off while something that
// is stored needs it. It does no input or output.
package upgrade

import (
	"slices"
	"strings"
)

// Name is a feature's.
type Name string

// The features of this program, oldest first.
const (
	// Log is the log of progress, pipelines, and values of fewer tasks.
	Log Name = "log"
	// Sweeps are templates and sweeps.
	Sweeps Name = "sweeps"
	// Reach is what each controller says that it reaches.
	Reach Name = "reach"
	// SharedReads: the leader reads the state service for the others, and all keep
	// to shares of what it allows.
	SharedReads Name = "shared-reads"
)

// Feature is something that changes what is stored, or what controllers do with
// each other, and that all of them have to know before one begins.
type Feature struct {
	Name Name
	// Since is the program that had it first.
	Since int
	// Format is the stored format that stands for it; 0 for a feature that is
	// switched on by its name.
	Format int
	// Needs have to be on before.
	Needs []Name
	// Keys are the beginnings of the keys, without the prefix of all, that only
	// it writes.
	Keys []string
	// Messages: it stores nothing, and changes what controllers ask of each other.
	Messages bool
	// Ignored: a program without it ignores its keys and may serve beside it,
	// and come back when it is on. A feature that is not ignored is needed from
	// then on: a program without it does not start.
	Ignored bool
	// Chosen: it is on only where the operators want it on every controller.
	Chosen bool
}

// Program is what a controller runs.
type Program struct {
	// Version numbers the programs that told of features; those before say 0.
	Version  int
	Features []Feature
}

// This is this program. To add a feature: give it a name above and a row here,
// ask Enabled wherever its keys or fields are written or its messages are sent, list
// its keys, and add its values to the recorded ones.
func This() Program {
	return Program{Version: 5, Features: []Feature{
		{Name: Log, Since: 2, Format: 2, Keys: []string{"log/"}},
		{Name: Sweeps, Since: 3, Format: 3, Needs: []Name{Log}, Keys: []string{"sweep"}, Chosen: true},
		{Name: Reach, Since: 4, Needs: []Name{Log}, Keys: []string{"reach/"}, Ignored: true},
		{Name: SharedReads, Since: 5, Needs: []Name{Reach}, Messages: true, Ignored: true},
	}}
}

// find is a feature of the program, nil if it has none of that name.
func (p *Program) find(n Name) *Feature {
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

// Writes is the feature that alone writes a key, without the prefix of all; ""
// if any may.
func (p *Program) Writes(key string) Name {
	for _, f := range p.Features {
		for _, k := range f.Keys {
			if strings.HasPrefix(key, k) {
				return f.Name
			}
		}
	}
	return ""
}
