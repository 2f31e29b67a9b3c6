package troubles

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
	cases := append(Part(All(3), 0, eachOf), Part(All(5), 6, 4*eachOf+1)...)
	for _, c := range append(All(3), All(5)...) { // each meeting by itself, in which it has to take place
		if c.single() {
			cases = append(cases, c)
		}
	}
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			r, err := Play(c, config.Defaults(), nil)
			if err != nil {
				t.Fatal(err)
			}
			if s := r.Short(); s != "" {
				t.Error(s)
			}
			// In an outage there is nothing that could be executed at all.
			down := slices.ContainsFunc(c.troubles, func(t trouble) bool { return t.outage })
			if strings.Contains(c.String(), "executed late") && !down && r.Late < 20 {
				t.Errorf("%d requests were executed late", r.Late)
			}
		})
	}
}
