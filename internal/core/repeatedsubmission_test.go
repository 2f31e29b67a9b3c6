package core

import (
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestRepeatedSubmission checks that a submission repeated after the job has ended is answered
// with the job's outcome, after at most one failed write, also by a controller that has just
// started.
//
// It guards against repeated 503 replies after a restart. The controller did not have the job's
// end in memory and treated the job as new. The write failed because of the stored end, a read of
// the state did not show the end, because ends are not listed, and the controller repeated the
// write until the request timed out. Queries about the same job were answered, because they look
// up the end. In a run in fake time one job's submission was refused 25 times in the 125 s after
// the last fault, and the records of a deployment have 13 such writes within 2.1 s:
//
//	204.13 stoker-1 POST /multi put zinclb/job/JOB, if zinclb/job/JOB@0,
//	if zinclb/end/JOB@0 (3 keys): 409 revision 1440 failed [zinclb/end/JOB];
//	and similar writes (13 in total, the last at 206.16)
func TestRepeatedSubmission(t *testing.T) {
	cases := []struct {
		name         string
		end          jobstate.End
		dependencies []string
		readsRefused int
		want         string
	}{
		{"done job", endDone, nil, 0, jobstate.Done},
		{"cancelled job", endCancelled, nil, 0, jobstate.Cancelled},
		{"job and its dependency ended", endDone, []string{"before"}, 0, jobstate.Done},
		{"reads refused by rate limit", endCancelled, nil, 2, jobstate.Cancelled},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, map[string]any{
				formatKey:            progressLogFormat,
				endPrefix + "before": endDone,
				endPrefix + "again":  tc.end,
			})
			h.advance(3 * second)
			h.commits = 0
			h.readsToRefuse = tc.readsRefused
			reply := h.request(SubmitJob{Spec: job("again", tc.dependencies...).Spec})
			if reply.Status != ReplyOK || reply.Job == nil || reply.Job.State != tc.want {
				t.Errorf("got status %d, error %q, job %+v, want status %d, job state %q", reply.Status, reply.Error, reply.Job, ReplyOK, tc.want)
			}
			if h.commits > 1 {
				t.Errorf("got %d writes, want at most 1", h.commits)
			}
			if _, isStored := h.keys[jobPrefix+"again"]; isStored {
				t.Error("got the ended job stored as unfinished, want no key of the job")
			}
		})
	}
}
