//go:build race

package fake

// raceEnabled: the tests run many times as slow.
const raceEnabled = true
