package partitions

import (
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/cases/casestest"
)

// Of all cases one in so many runs here, from the first one on; the number has no factor in
// common with those of the directions, modes and lengths, so that all of these come.
// zinclb-emulator cuts runs all of them.
const (
	first  = 0
	eachOf = 97
)

// TestCuts runs a part of all partitions of three controllers: every rule holds, and where
// the service can go on it does.
func TestCuts(t *testing.T) {
	casestest.Run(t, cases.EveryNth(AllCases(3), first, eachOf), runWithDefaults, nil)
}

func runWithDefaults(c Case) (Result, error) { return Run(c, config.Defaults(), nil) }

// TestCutsTell checks the checks: they fail a run in which a leader without links does not
// step down, and expect no service where no controller could give it.
func TestCutsTell(t *testing.T) {
	off := config.Defaults()
	off.Reach = false
	alone := Case{Size: 3, Seed: 5, Partitions: []Partition{{Leader, []string{"peers", "zone:a", "zone:b"}, bothWays, modeHold, 90 * second}}}
	r, err := Run(alone, off, nil)
	if err != nil || !r.Serviceable || r.Killed == 0 || r.Shortfall() == "" {
		t.Errorf("a leader that leads nothing passed: %+v, %v", r, err)
	}
	nobody := alone
	nobody.Partitions = append(nobody.Partitions, Partition{Follower, []string{"state"}, bothWays, modeHold, 90 * second}, Partition{Follower, []string{"state"}, bothWays, modeHold, 90 * second})
	if r, err = Run(nobody, config.Defaults(), nil); err != nil || r.Serviceable || len(r.Violations) > 0 {
		t.Errorf("nobody could serve: %+v, %v", r, err)
	}
}
