package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A start that was executed may reach its machine a second time, in a copy of the answer that carried
// it, for as long as the worker accepts that answer (fleet.AnswerLifetime). It does no harm while the
// worker knows the attempt, so the worker is told to forget an attempt only after that time. A machine
// that was restarted knows no attempts. Until the time is over, a task that is missing there does not
// count as lost, and one that has exited is not placed again and still counts for its team's limit.

// exitedStart is the usage of an attempt that has exited and whose start may be repeated until a time.
type exitedStart struct {
	team  string
	need  jobstate.Resources
	until int64
}

// holdExitedStart keeps an attempt that has exited from running beside the next attempt of its task,
// or beyond its team's limit, if its start may still be repeated.
func (t *taskManager) holdExitedStart(machine *fleet.Machine, job *jobstate.Job, status *TaskStatus) {
	until := machine.StartExpiresAt(status.Name, status.Attempt)
	if until <= t.now {
		return
	}
	job.NotBefore = max(job.NotBefore, until)
	planning := &t.elector.leadership.planning
	planning.exitedStarts = append(planning.exitedStarts, exitedStart{job.Team, job.Need, until})
}

// addExitedStarts adds the usage of attempts whose starts may still be repeated.
func (s *planState) addExitedStarts(used map[string]teamUsage, now int64) {
	s.exitedStarts = slices.DeleteFunc(s.exitedStarts, func(start exitedStart) bool { return start.until <= now })
	for _, start := range s.exitedStarts {
		used[start.team] = used[start.team].plus(start.need, 1)
	}
}
