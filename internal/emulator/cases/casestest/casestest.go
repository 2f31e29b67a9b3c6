// Package casestest runs enumerated cases as subtests. Only tests import it.
package casestest

import (
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/cases"
)

// Run runs each case in parallel as a subtest, which fails if the case falls short, and
// calls check with its result, if that is not nil.
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
