//go:build race

package core

// raceEnabled reports whether the race detector is on. It makes tests many times slower.
const raceEnabled = true
