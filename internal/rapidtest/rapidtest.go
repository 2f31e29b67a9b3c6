// Package rapidtest runs the property tests of a package reproducibly. Only tests import it.
package rapidtest

import (
	"flag"
	"testing"
)

// Main runs the tests of a package with a fixed seed and number of checks for
// pgregory.net/rapid, which the package's tests have to import, and returns the exit code.
func Main(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
