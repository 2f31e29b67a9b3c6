package faultcombos

import (
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
)

// eachOf has no factor in common with the number of what happens inside.
const eachOf = 13

// TestTroubles plays a part of all days with troubles; zinclb-emulator troubles
// plays them all.
func TestTroubles(t *testing.T) {
	cases := append(EveryNth(AllCases(3), 0, eachOf), EveryNth(AllCases(5), 6, 4*eachOf+1)...)
	for _, c := range append(AllCases(3), AllCases(5)...) { // each meeting by itself, in which it has to take place
		if c.isSingle() {
			cases = append(cases, c)
		}
	}
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
			// In an outage there is nothing that could be executed at all.
			down := slices.ContainsFunc(c.scripts, func(t faultScript) bool { return t.outage })
			if strings.Contains(c.String(), "executed late") && !down && r.DelayedRequests < 20 {
				t.Errorf("%d requests were executed late", r.DelayedRequests)
			}
		})
	}
}
