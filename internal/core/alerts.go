package core

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// alertInterval is the time between two checks by the leader.
	alertInterval = 10 * second
	// stuckAfter is the waiting time after which a pivot, the job at the head of its queue,
	// is reported as stuck, and the minimum time between two log lines about the same job.
	stuckAfter = 60 * second
	// maxLatePipelines is the maximum number of pipelines reported at once.
	maxLatePipelines = 5
)

// alertState holds the leader's alerts to operators about queues and pipelines.
type alertState struct {
	checkedAt int64
	current   []string
	loggedAt  map[string]int64 // by job ID
}

func newAlertState() alertState { return alertState{loggedAt: map[string]int64{}} }

// shouldLog reports whether no alert about a job was logged in the last stuckAfter. If so, it
// records that one is logged now.
func (a *alertState) shouldLog(id string, now int64) bool {
	if now-a.loggedAt[id] < stuckAfter {
		return false
	}
	a.loggedAt[id] = now
	return true
}

// alertTick reports stuck queues and pipelines that will be late to operators, before users
// notice them.
func (o *operatorViewer) alertTick() {
	alerts := &o.elector.leadership.alerts
	if o.now-alerts.checkedAt < alertInterval {
		return
	}
	alerts.checkedAt = o.now
	alerts.current = alerts.current[:0]
	o.reportStuckQueues(alerts)
	o.reportLatePipelines(alerts)
	for id := range alerts.loggedAt {
		if o.cache.jobs[id] == nil {
			delete(alerts.loggedAt, id)
		}
	}
}

// reportStuckQueues reports the pivots that have waited for at least stuckAfter and have no
// placed tasks.
func (o *operatorViewer) reportStuckQueues(alerts *alertState) {
	pivots := slices.Clone(o.elector.leadership.planning.pivots)
	slices.SortStableFunc(pivots, func(a, b plannedPivot) int { return cmp.Compare(a.queue, b.queue) })
	for _, pivot := range pivots {
		job := o.cache.jobs[pivot.job]
		if job == nil || job.NumPlaced > 0 || o.now-job.ReadyAt < stuckAfter {
			continue
		}
		reason := o.waitReason(pivot)
		waited := (o.now - job.ReadyAt) / second
		alerts.current = append(alerts.current, fmt.Sprintf("queue %d: %s has waited %d s %s", pivot.queue, pivot.job, waited, reason))
		if alerts.shouldLog(pivot.job, o.now) {
			o.log.Info("queue is stuck", "queue", pivot.queue, "job", pivot.job, "waited_s", waited, "reason", reason)
		}
	}
}

// reportLatePipelines reports the pipelines that will miss their deadline according to their
// owners' estimates, and the stage that delays each of them.
func (o *operatorViewer) reportLatePipelines(alerts *alertState) {
	stages := o.lateStages()
	for _, stage := range stages[:min(len(stages), maxLatePipelines)] {
		last := o.dependencies.graph.DeadlineOwner(stage)
		state := Running
		if stage.NumPlaced == 0 {
			state = Queued
		}
		late := (o.now + o.remainingTime(stage) - stage.EffectiveDeadline) / second
		alerts.current = append(alerts.current, fmt.Sprintf("the pipeline to %s will be about %d s late: %s is %s, %d of %d tasks done", last.ID, late, stage.ID, state, stage.NumDone, stage.Tasks))
		if alerts.shouldLog(stage.ID, o.now) {
			o.log.Info("pipeline will be late", "job", last.ID, "delayed_by", stage.ID, "late_s", late, "state", state, "done", stage.NumDone, "tasks", stage.Tasks)
		}
	}
}

// lateStages returns the jobs that delay a pipeline beyond its deadline, ordered by deadline.
func (o *operatorViewer) lateStages() []*jobstate.Job {
	var late []*jobstate.Job
	for _, job := range o.cache.jobs {
		if job.Outcome() != "" || job.IsBlocked() || job.EffectiveDeadline == 0 || !o.dependencies.isInPipeline(job) {
			continue
		}
		if o.now+o.remainingTime(job) > job.EffectiveDeadline {
			late = append(late, job)
		}
	}
	slices.SortFunc(late, func(a, b *jobstate.Job) int {
		return cmp.Or(cmp.Compare(a.EffectiveDeadline, b.EffectiveDeadline), cmp.Compare(a.ID, b.ID))
	})
	return late
}

// remainingTime returns the time that a job will still take according to its owner's estimate
// if all of its waiting tasks start now.
func (o *operatorViewer) remainingTime(job *jobstate.Job) int64 {
	if job.Unplaced() > 0 {
		return job.Estimate
	}
	var remaining int64
	job.EachPlaced(func(_ int, t *jobstate.Task) {
		startedAt := t.StartedAt
		if startedAt == 0 {
			startedAt = o.now
		}
		remaining = max(remaining, startedAt+job.Estimate-o.now)
	})
	return max(remaining, 0)
}
