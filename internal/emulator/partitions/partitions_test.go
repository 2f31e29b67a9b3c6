package partitions

import (
	"testing"

	"github.com/zinclb/zinclb/internal/config"
)

// Of all cuts one in so many is played here, from the first one on; the number
// has no factor with those of the ways, manners and lengths, so that all of
// these come. zinclb-emulator cuts plays all of them.
const (
	first  = 0
	eachOf = 97
)

// TestCuts plays a part of all cuts of three controllers: every rule holds, and
// where the service can go on it does.
func TestCuts(t *testing.T) {
	for _, c := range EveryNth(AllCases(3), first, eachOf) {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			r, err := Run(c, config.Defaults(), nil)
			if err != nil {
				t.Fatal(err)
			}
			if s := r.Shortfall(); s != "" {
				t.Error(s)
			}
		})
	}
}

// TestCutsTell: the same judgement finds fault where a leader does not give way,
// and none in the oracle's eyes where nobody could do better.
func TestCutsTell(t *testing.T) {
	off := config.Defaults()
	off.Reach = false
	alone := Case{Size: 3, Seed: 5, Partitions: []Partition{{Leader, []string{"peers", "zone:a", "zone:b"}, "both", "hold", 90 * second}}}
	r, err := Run(alone, off, nil)
	if err != nil || !r.Serviceable || r.Killed == 0 || r.Shortfall() == "" {
		t.Errorf("a leader that leads nothing passed: %+v, %v", r, err)
	}
	nobody := alone
	nobody.Partitions = append(nobody.Partitions, Partition{Follower, []string{"state"}, "both", "hold", 90 * second}, Partition{Follower, []string{"state"}, "both", "hold", 90 * second})
	if r, err = Run(nobody, config.Defaults(), nil); err != nil || r.Serviceable || len(r.Violations) > 0 {
		t.Errorf("nobody could serve: %+v, %v", r, err)
	}
}
