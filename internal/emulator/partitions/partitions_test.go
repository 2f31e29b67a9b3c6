package partitions

import (
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/cases/casestest"
)

// The test runs every sampleInterval-th case, beginning with firstCase. The interval is
// coprime to the numbers of directions, modes and durations, so that the sample covers all of
// these. zinclb-emulator cuts runs all cases.
const (
	firstCase      = 0
	sampleInterval = 97
)

// TestPartitions runs a sample of the partitions of three controllers: every rule has to
// hold, and the service has to continue where it can.
func TestPartitions(t *testing.T) {
	casestest.Run(t, cases.EveryNth(AllCases(3), firstCase, sampleInterval), runWithDefaults, nil)
}

func runWithDefaults(c Case) (Result, error) { return Run(c, config.Defaults(), nil) }

// TestPartitionChecks tests the checks themselves: they have to fail a run in which a leader
// that reaches neither peers nor workers does not step down, and must not expect service
// where no controller could provide it.
func TestPartitionChecks(t *testing.T) {
	noReachCheck := config.Defaults()
	noReachCheck.Reach = false
	isolated := Case{Size: 3, Seed: 5, Partitions: []Partition{{Leader, []string{"peers", "zone:a", "zone:b"}, bothWays, modeHold, 90 * second}}}
	r, err := Run(isolated, noReachCheck, nil)
	if err != nil || !r.Serviceable || r.Killed == 0 || r.Shortfall() == "" {
		t.Errorf("isolated leader that stays leader: got %+v, error %v, want a serviceable case with killed tasks and a shortfall", r, err)
	}
	noCandidate := isolated
	noCandidate.Partitions = append(noCandidate.Partitions, Partition{Follower, []string{"state"}, bothWays, modeHold, 90 * second}, Partition{Follower, []string{"state"}, bothWays, modeHold, 90 * second})
	if r, err = Run(noCandidate, config.Defaults(), nil); err != nil || r.Serviceable || len(r.Violations) > 0 {
		t.Errorf("no controller can serve: got %+v, error %v, want a case that is not serviceable, without violations", r, err)
	}
}
