// Package casestest runs enumerated cases as subtests. Only tests import it.
package casestest

import (
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/cases"
)

// Run runs each case as a parallel subtest, which fails if the result has a shortfall. If
// check is not nil, it is called with each result.
func Run[C cases.Case, R cases.Result](t *testing.T, all []C, run func(C) (R, error), check func(*testing.T, C, R)) {
	t.Helper()
	for _, c := range all {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			result, err := run(c)
			if err != nil {
				t.Fatal(err)
			}
			if shortfall := result.Shortfall(); shortfall != "" {
				t.Error(shortfall)
			}
			if check != nil {
				check(t, c, result)
			}
		})
	}
}
