// Package config reads and checks the two files of settings: the platform's JSON, which
// says where this controller runs and with what limits, and the operators' own, in
// protobuf text format.
package config

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Second is a second in Micros.
const Second Micros = 1_000_000

const microsPerSecond = 1e6

// MicrosOf converts the wire's decimal seconds.
func MicrosOf(seconds float64) Micros { return Micros(seconds * microsPerSecond) }
