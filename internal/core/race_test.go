//go:build race

package core

// raceEnabled reports whether the race detector is on, with which tests run many times slower.
const raceEnabled = true
