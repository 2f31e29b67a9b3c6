package upgrade

import "slices"

// Advertisement states what a controller supports. The controller stores it on its lease while it
// runs. Programs before [firstVersionWithFeatures] set only Format and Incarnation.
type Advertisement struct {
	// Format is the newest stored format that the controller writes, OldestFormat the oldest
	// that it reads.
	Format       int    `json:"v"`
	Incarnation  string `json:"b"`
	Program      int    `json:"p,omitempty"` // the version
	OldestFormat int    `json:"o,omitempty"`
	// Features are the features that the controller has, except for the Withheld ones, which
	// its operators withhold.
	Features []FeatureName `json:"f,omitempty"`
	Withheld []FeatureName `json:"x,omitempty"`
}

// localAdvertisement returns the advertisement of a program whose operators have opted in to
// some features and withhold others.
func localAdvertisement(program *Program, incarnation string, optedIn, withheld []FeatureName) Advertisement {
	local := Advertisement{
		Format:       firstFormat,
		Incarnation:  incarnation,
		Program:      program.Version,
		OldestFormat: firstFormat,
	}
	for i := range program.Features {
		feature := &program.Features[i]
		switch {
		case feature.OptIn && !slices.Contains(optedIn, feature.Name):
		case slices.Contains(withheld, feature.Name):
			local.Withheld = append(local.Withheld, feature.Name)
		default:
			local.Features = append(local.Features, feature.Name)
			local.Format = max(local.Format, feature.Format)
		}
	}
	if program.Version < firstVersionWithFeatures {
		return Advertisement{Format: local.Format, Incarnation: incarnation}
	}
	return local
}

// supports reports whether the controller may run while a feature is active. The features of a
// program that advertises none follow from its format.
func (a *Advertisement) supports(feature *Feature) bool {
	if a.Program == 0 {
		return feature.Format != 0 && a.Format >= feature.Format
	}
	return slices.Contains(a.Features, feature.Name)
}

func (a *Advertisement) equal(other *Advertisement) bool {
	return a.Format == other.Format && a.Incarnation == other.Incarnation &&
		a.Program == other.Program && a.OldestFormat == other.OldestFormat &&
		slices.Equal(a.Features, other.Features) && slices.Equal(a.Withheld, other.Withheld)
}
