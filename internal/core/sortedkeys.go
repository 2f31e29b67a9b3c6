package core

import (
	"maps"
	"slices"
)

// sortedKeys returns the keys of a map in order, for loops that decide or send something. Two
// controllers, and two simulations with the same seed, must do the same in the same order.
// (With Go's random map order, runs in simulated time differed in the order of a few answers
// and in the last bit of a sum.)
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
