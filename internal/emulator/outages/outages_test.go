package outages

import (
	"sync"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/cases/casestest"
	"github.com/zinclb/zinclb/internal/emulator/environment"
)

// TestGaps runs a part of all cases; zinclb-emulator gaps runs them all. The steps have no
// factor in common with the numbers of timings, losses and lengths.
func TestGaps(t *testing.T) {
	selected := append(cases.EveryNth(AllCases(3), 0, 13), cases.EveryNth(AllCases(5), 6, 41)...)
	selected = append(selected, manyJobs(3, 500, false), manyJobs(5, 500, true), manyJobs(3, 3000, true))
	for i := 2; i < 24; i += 7 { // nothing else happens
		selected = append(selected, withLegacyController(AllCases(3)[i]))
	}
	var mu sync.Mutex
	confirmed, lost := 0, 0
	run := func(c Case) (Result, error) { return Run(c, config.Defaults(), nil) }
	t.Run("each", func(t *testing.T) {
		casestest.Run(t, selected, run, func(t *testing.T, _ Case, r Result) {
			t.Helper()
			mu.Lock()
			defer mu.Unlock()
			confirmed, lost = confirmed+r.Confirmed, lost+r.LostWrites
		})
	})
	// The cases show nothing if no cancellation is confirmed, or no write is lost.
	if confirmed < 4*len(selected) || lost < len(selected) {
		t.Errorf("%d jobs were called cancelled within, and %d writes were lost", confirmed, lost)
	}
}

// manyJobs is a case of a size with so many jobs, which are cancelled in the second before a
// long outage, by writes that get no answer if unanswered is set.
func manyJobs(size, jobs int, unanswered bool) Case {
	m := cancelTimings[1]
	m.interval = outageDelay / 2 / int64(jobs)
	c := Case{Size: size, Number: jobs, timing: m, event: controllerEvents[0], quarters: 8, Jobs: jobs}
	if unanswered {
		c.writeLoss = &environment.TransactionLoss{Outcome: environment.LostAfter}
	}
	return c
}

// withLegacyController is a case with an older program beside the leader.
func withLegacyController(c Case) Case {
	c.Legacy, c.event.mayLoseTasks = true, true // it grants no read lease
	return c
}
