//go:build race

package faketime

// raceEnabled reports whether the race detector is on, which makes tests many times slower.
const raceEnabled = true
