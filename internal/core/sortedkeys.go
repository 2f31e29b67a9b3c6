package core

import (
	"maps"
	"slices"
)

// sortedKeys are the keys of a map for loops that decide or send something: two
// controllers, and two runs of one day, have to do the same in the same order.
// (Days in fake time differed by the order of a few answers, and by the last
// bit of a sum.)
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
