package outages

import (
	"sync"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
)

// TestGaps plays a part of all days; zinclb-emulator gaps plays them all. The
// steps have no factor in common with the numbers of moments, fates and lengths.
func TestGaps(t *testing.T) {
	var cases []Case
	for i, c := range AllCases(3) {
		if i%13 == 0 {
			cases = append(cases, c)
		}
	}
	for i, c := range AllCases(5) {
		if i%41 == 6 {
			cases = append(cases, c)
		}
	}
	cases = append(cases, ManyJobs(3, 500, false), ManyJobs(5, 500, true), ManyJobs(3, 3000, true))
	for i := 2; i < 24; i += 7 { // nothing else happens
		cases = append(cases, WithLegacyController(AllCases(3)[i]))
	}
	var mu sync.Mutex
	told, lost := 0, 0
	t.Run("each", func(t *testing.T) {
		for _, c := range cases {
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				r, err := Run(c, config.Defaults(), nil)
				if err != nil {
					t.Fatal(err)
				}
				if s := r.Shortfall(); s != "" {
					t.Error(s)
				}
				mu.Lock()
				defer mu.Unlock()
				told, lost = told+r.Confirmed, lost+r.LostWrites
			})
		}
	})
	// The days are about nothing if nobody is told, or no write is lost.
	if told < 4*len(cases) || lost < len(cases) {
		t.Errorf("%d jobs were called cancelled within, and %d writes were lost", told, lost)
	}
}
