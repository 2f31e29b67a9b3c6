// Package config reads and checks the two settings files: the platform's, a JSON file that
// describes where this controller runs and with what limits, and the operators', in
// protobuf text format.
package config

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Second is one second in Micros.
const Second Micros = 1_000_000

const microsPerSecond = 1e6

// MicrosOf converts decimal seconds, the unit of the settings files, to Micros.
func MicrosOf(seconds float64) Micros { return Micros(seconds * microsPerSecond) }
