//go:build race

package faketime

// raceEnabled: the tests run many times as slow.
const raceEnabled = true
