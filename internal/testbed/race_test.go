//go:build race

package testbed

// raceEnabled: the tests run many times as slow.
const raceEnabled = true
