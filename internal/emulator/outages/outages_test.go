package outages

import (
	"sync"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/cases/casestest"
	"github.com/zinclb/zinclb/internal/emulator/environment"
)

// TestOutages runs a sample of the cases; zinclb-emulator gaps runs all of them. The sampling
// intervals are coprime to the numbers of timings, losses and lengths, so that the sample
// covers all of these.
func TestOutages(t *testing.T) {
	selected := append(cases.EveryNth(AllCases(3), 0, 13), cases.EveryNth(AllCases(5), 6, 41)...)
	selected = append(selected, manyJobs(3, 500, false), manyJobs(5, 500, true), manyJobs(3, 3000, true))
	for i := 2; i < 24; i += 7 { // cases of the event "nothing else happens"
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
	// The cases test nothing if no cancellation is confirmed or no write is lost.
	if confirmed < 4*len(selected) || lost < len(selected) {
		t.Errorf("%d cancellations were confirmed during refusals and outages, want at least %d; %d writes were lost, want at least %d", confirmed, 4*len(selected), lost, len(selected))
	}
}

// manyJobs returns a case with the given numbers of controllers and jobs. Two of three
// jobs are cancelled, all within one second while the leader is refused; an outage of twice cancel_s
// follows. If unanswered is set, the answers to the writes of the cancellations are lost.
func manyJobs(size, jobs int, unanswered bool) Case {
	timing := cancelTimings[1]
	timing.interval = outageDelay / 2 / int64(jobs)
	c := Case{Size: size, Number: jobs, timing: timing, event: controllerEvents[0], outageQuarters: 8, Jobs: jobs}
	if unanswered {
		c.writeLoss = &environment.TransactionLoss{Outcome: environment.LostAfter}
	}
	return c
}

// withLegacyController returns the case with one follower that runs an older program.
func withLegacyController(c Case) Case {
	c.Legacy, c.event.mayLoseTasks = true, true // the older program grants no read lease
	return c
}
