package experiment

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
)

// With some seeds of the scenario cancelled-chains, the leader removed the keys of jobs that had
// ended because another job was cancelled, without storing their ends. Users who had received the
// state cancelled for such a job then got 404, or the state pending, from the next controller that
// started. Four of the seeds from 1 to 40 lost an end:
//
//	at 75.504 s lost_end: JOB is removed and its end is not stored
//	at 86.210 s forgotten: JOB is not found
//	at 37.195 s went_back: JOB was withdrawn and is pending
//
// core.TestReportedEndIsStored has the messages that led to this.

// TestCancelledChains runs the scenario with the four seeds that lost an end, and with one that did
// not.
func TestCancelledChains(t *testing.T) {
	for _, seed := range []uint64{1, 3, 16, 24, 35} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			run := Run{Scenario: "../../scenarios/cancelled-chains.txtpb", Seed: seed, Version: Head, Mode: "fake"}
			result := RunInProcess(run, "", config.Defaults())
			if result.FailureReason != "" {
				t.Fatal(result.FailureReason)
			}
			for _, violation := range result.Violations {
				t.Error(violation)
			}
		})
	}
}
