//go:build !race

package core

// raceEnabled: the tests run many times as slow.
const raceEnabled = false
