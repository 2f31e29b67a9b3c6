package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// After a restart, users who repeated the submission of a job that was over got 503 for as long
// as they tried. The controller did not have the job's end in memory and took the job for new; its
// write failed on the end that is stored, it read the state, in which ends are not listed, and
// wrote again, until the time of the request was over. Questions about the same job were answered,
// as they look the end up. In a run in fake time one job's submission was refused 25 times in the
// 125 s after the last fault, and the records of a deployment have 13 such writes within 2.1 s:
//
//	204.13 stoker-1 POST /multi put zinclb/job/JOB, if zinclb/job/JOB@0,
//	if zinclb/end/JOB@0 (3 keys): 409 revision 1440 failed [zinclb/end/JOB];
//	and the like  (13 times, the last at 206.16)

// TestRepeatedSubmission: a submission that is repeated after the job is over is answered with
// how it ended, at the cost of one write that fails, also by a controller that has just started.
func TestRepeatedSubmission(t *testing.T) {
	cases := []struct {
		name         string
		end          jobstate.End
		dependencies []string
		readsRefused int
		want         string
	}{
		{"of a job that is done", endDone, nil, 0, jobstate.Done},
		{"of a cancelled job", cancelled, nil, 0, jobstate.Cancelled},
		{"of a job whose dependency is over too", endDone, []string{"before"}, 0, jobstate.Done},
		{"while reads are refused for their rate", cancelled, nil, 2, jobstate.Cancelled},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, map[string]any{
				formatKey:            joined,
				endPrefix + "before": endDone,
				endPrefix + "again":  tc.end,
			})
			h.advance(3 * second)
			h.commits = 0
			h.readsToRefuse = tc.readsRefused
			reply := h.request(SubmitJob{Spec: job("again", tc.dependencies...).Spec})
			if reply.Status != ReplyOK || reply.Job == nil || reply.Job.State != tc.want {
				t.Errorf("%d %q, %+v", reply.Status, reply.Error, reply.Job)
			}
			if h.commits > 1 {
				t.Errorf("%d writes", h.commits)
			}
			if _, isThere := h.keys[jobPrefix+"again"]; isThere {
				t.Error("the job is stored as unfinished")
			}
		})
	}
}
