// Package rapidtest runs the property tests of a package reproducibly. Only tests import it.
package rapidtest

import (
	"flag"
	"testing"
)

// Main runs the tests of a package with a fixed seed and number of checks for the property
// tests of pgregory.net/rapid. It returns the exit code. The package's tests must import
// rapid, which defines the flags.
func Main(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
