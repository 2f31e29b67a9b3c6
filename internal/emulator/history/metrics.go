package history

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The kinds of objectives.
const (
	objectiveAccept   = "accept"
	objectiveWait     = "wait"
	objectiveComplete = "complete"
	objectiveDeadline = "deadline"
	objectiveServed   = "served"
)

// Objective is a service-level objective: a minimum share of the jobs or task starts of a class
// that have to meet a requirement within a time. For the kind objectiveServed it is the minimum
// served share of a class, of a team or, if neither is set, of the class or team with the lowest
// share.
type Objective struct {
	Kind, Class, Team string
	Within            int64 // microseconds
	// Share is the required minimum share.
	Share float64
}

// jobTimeline has the times, in microseconds, at which a job reached its stages.
type jobTimeline struct {
	firstSubmit, accepted, lastCompleted int64
	starts                               map[int]int64 // time of the first start, by task
	remainingTasks                       int
	cancelled                            bool
	cancelShownAt                        int64 // time of the first response that shows the job cancelled
}

// timelines has the timelines of all jobs of a history, and the metrics collected from them.
type timelines struct {
	jobs    map[string]*jobTimeline
	order   []string // jobs in the order of their first events
	end     int64    // time of the last event
	metrics map[string]float64
}

// Metrics returns the metrics of a history by name. Times are in seconds. Times to acceptance and
// deadlines are counted from a job's first submission attempt, and all other times from its time
// origin, see timeOrigin. The shares leave out cancelled jobs and jobs whose time limit has not
// been reached by the end of the history.
func Metrics(events []Event, expected Expectations, objectives []Objective) map[string]float64 {
	t := collectTimelines(events, expected)
	addServedShares(t.metrics, t.jobs, expected, objectives, t.end)
	t.countAccepted()
	for _, objective := range objectives {
		if r := t.measure(objective, expected); r.total > 0 {
			t.metrics[objective.Name()] = float64(r.met) / float64(r.total)
		}
	}
	return t.metrics
}

// collectTimelines returns the timelines of a history.
func collectTimelines(events []Event, expected Expectations) *timelines {
	t := &timelines{jobs: map[string]*jobTimeline{}, metrics: map[string]float64{}}
	if len(events) > 0 {
		t.end = events[len(events)-1].At
	}
	for i := range events {
		e := &events[i]
		if e.Kind == CostRecorded {
			t.metrics["cost"] += e.Cost
		}
		spec := expected.Jobs[e.Job]
		if spec == nil {
			continue
		}
		job := t.jobs[e.Job]
		if job == nil {
			job = &jobTimeline{firstSubmit: e.At, starts: map[int]int64{}, remainingTasks: spec.Tasks}
			t.jobs[e.Job] = job
			t.order = append(t.order, e.Job)
		}
		t.addEvent(e, job)
	}
	return t
}

// addEvent adds an event to the timeline of its job.
func (t *timelines) addEvent(e *Event, job *jobTimeline) {
	switch {
	case e.Kind == RequestSent && e.Op == Cancel:
		job.cancelled = true
	case e.Kind == ResponseReceived && e.Op == Submit && job.accepted == 0 && isAccepted(e.Status):
		job.accepted = e.At
	case e.Kind == ResponseReceived && e.State == wire.Cancelled && job.cancelShownAt == 0:
		job.cancelShownAt = e.At
	case e.Kind == TaskEntered && job.cancelShownAt != 0:
		t.metrics[StartsAfterCancellation]++
	case e.Kind == TaskStarted:
		if job.starts[e.Task] == 0 {
			job.starts[e.Task] = e.At
		}
	case e.Kind == TaskCompleted:
		if job.remainingTasks--; job.remainingTasks == 0 {
			job.lastCompleted = e.At
		}
		t.metrics["tasks_done"]++
	case e.Kind == TaskLeft && !slices.Contains([]string{"done", "stopped"}, e.Reason):
		t.metrics["tasks_lost"]++
	}
}

// isAccepted reports whether a response status means that a submission is accepted.
func isAccepted(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// countAccepted computes the numbers of accepted and completed jobs, and the quantiles of the time
// to acceptance.
func (t *timelines) countAccepted() {
	var delays []float64
	for _, id := range t.order {
		job := t.jobs[id]
		if job.accepted != 0 {
			delays = append(delays, float64(job.accepted-job.firstSubmit)/1e6)
			t.metrics["jobs_accepted"]++
		}
		if job.lastCompleted != 0 {
			t.metrics["jobs_done"]++
		}
	}
	slices.Sort(delays)
	if len(delays) > 0 {
		t.metrics["accept_p50_s"], t.metrics["accept_p99_s"] = Quantile(delays, 0.5), Quantile(delays, 0.99)
	}
}

// measure returns the ratio of the jobs or task starts covered by an objective that met it.
func (t *timelines) measure(objective Objective, expected Expectations) (result ratio) {
	for _, id := range t.order {
		job, spec := t.jobs[id], expected.Jobs[id]
		if objective.Class != "" && spec.Class != objective.Class || job.cancelled {
			continue
		}
		from := timeOrigin(t.jobs, spec, job)
		within := objective.Within
		if objective.Kind == objectiveDeadline && spec.DeadlineS != nil {
			within = int64(*spec.DeadlineS * 1e6)
		}
		if from+within > t.end {
			continue // the time limit of the job has not been reached
		}
		switch objective.Kind {
		case objectiveAccept:
			result.add(isWithin(job.accepted, job.firstSubmit, within))
		case objectiveWait:
			for i := range spec.Tasks {
				result.add(isWithin(job.starts[i], from, within))
			}
		case objectiveComplete:
			result.add(isWithin(job.lastCompleted, from, within))
		case objectiveDeadline:
			if spec.DeadlineS != nil {
				result.add(isWithin(job.lastCompleted, job.firstSubmit, within))
			}
		}
	}
	return result
}

// isWithin reports whether an event happened at from+within or earlier. at is the time of the event,
// 0 if it did not happen.
func isWithin(at, from, within int64) bool { return at != 0 && at-from <= within }

// addServedShares computes the share of jobs of each class and team that were served: done by
// their deadline or, if they have none, within the longest completion objective of their class.
// A job with neither a deadline nor an objective has to be done by the end if it was submitted
// early enough, see serveBy. Cancelled jobs, services and jobs whose time limit is after the end
// of the run are left out.
// ServedLeast is the lowest of these shares; LargestLeast is the lowest of the shares for the
// largest jobs of each class.
func addServedShares(metrics map[string]float64, jobs map[string]*jobTimeline, expected Expectations, objectives []Objective, end int64) {
	longest := map[string]int64{}
	for _, objective := range objectives {
		if objective.Kind == objectiveComplete {
			longest[objective.Class] = max(longest[objective.Class], objective.Within)
		}
	}
	groups := map[string]*ratio{}
	count := func(name string, met bool) {
		if groups[name] == nil {
			groups[name] = &ratio{}
		}
		groups[name].add(met)
	}
	large := largestJobs(expected)
	for id, job := range jobs {
		spec := expected.Jobs[id]
		if job.cancelled || spec.Kind == wire.Service {
			continue
		}
		from := timeOrigin(jobs, spec, job)
		if large[id] && from+largestWait <= end {
			count("largest begun "+spec.Class, job.startTime(spec) != 0 && job.startTime(spec) <= from+largestWait)
		}
		deadline := job.serveBy(spec, from, longest[spec.Class], end)
		if deadline == 0 || deadline > end {
			continue // the job has no time limit, or has not reached it
		}
		met := job.lastCompleted != 0 && job.lastCompleted <= deadline
		count("served class "+spec.Class, met)
		count("served team "+spec.Team, met)
		if large[id] {
			count("largest served "+spec.Class, met)
		}
	}
	for name, group := range groups {
		metrics[name] = float64(group.met) / float64(group.total)
		leastName := ServedLeast
		if strings.HasPrefix(name, "largest") {
			leastName = LargestLeast
		}
		if least, ok := metrics[leastName]; !ok || metrics[name] < least {
			metrics[leastName] = metrics[name]
		}
	}
}

// serveBy returns the time by which a job has to be done to count as served, 0 if there is none.
// from is the job's time origin, see timeOrigin; within is the longest completion objective of its
// class, 0 if it has none; end is the end of the run.
func (j *jobTimeline) serveBy(spec *wire.Job, from, within, end int64) int64 {
	switch {
	case spec.DeadlineS != nil:
		return j.firstSubmit + int64(*spec.DeadlineS*1e6)
	case within > 0:
		return from + within
	case from+defaultDeadlineFactor*int64(spec.EstimateS*1e6)+minDefaultDeadline < end:
		return end
	}
	return 0
}

// ratio counts all items and those that met a requirement.
type ratio struct{ met, total int }

func (r *ratio) add(met bool) {
	r.total++
	if met {
		r.met++
	}
}

// ServedLeast is the lowest served share of any class or team. LargestLeast is the lowest of two
// shares of the largest jobs over all classes: the share that was served, and the share that
// started within largestWait.
const (
	ServedLeast  = "served_least"
	LargestLeast = "largest_least"
)

// StartsAfterCancellation is the number of tasks that entered a machine after a user got a
// response that their job is cancelled.
const StartsAfterCancellation = "starts_after_cancellation"

// largestWait is the time within which the largest jobs of a class have to start, in microseconds.
const largestWait = 240_000_000

// startTime returns the time at which a job started, 0 for never: for a gang, the time at which the
// last of its tasks had its first start; for an array, the time of the first start of any task.
func (j *jobTimeline) startTime(spec *wire.Job) (at int64) {
	for i := range spec.Tasks {
		t := j.starts[i]
		switch {
		case spec.Kind == wire.Gang && t == 0:
			return 0
		case spec.Kind == wire.Gang:
			at = max(at, t)
		case t != 0 && (at == 0 || t < at):
			at = t
		}
	}
	return at
}

// largestJobs returns the largest jobs of each class: its gangs of the maximum size, and the
// arrays in the top tenth by size. If all are of the same size, none of them counts as large.
func largestJobs(expected Expectations) map[string]bool {
	sizes := map[string][]int{}
	for _, spec := range expected.Jobs {
		if spec.Kind != wire.Service {
			sizes[spec.Class+" "+spec.Kind] = append(sizes[spec.Class+" "+spec.Kind], spec.Tasks)
		}
	}
	largest := map[string]bool{}
	for id, spec := range expected.Jobs {
		sorted := sizes[spec.Class+" "+spec.Kind]
		if len(sorted) == 0 {
			continue
		}
		slices.Sort(sorted)
		minSize := sorted[len(sorted)-1]
		if spec.Kind == wire.Array {
			minSize = sorted[len(sorted)*9/10]
		}
		largest[id] = spec.Tasks >= minSize && minSize > sorted[0]
	}
	return largest
}

// A job with neither a deadline nor an objective has to be done by the end of the run if, at its
// time origin, more than defaultDeadlineFactor times its estimate plus minDefaultDeadline is left.
const (
	defaultDeadlineFactor = 10
	minDefaultDeadline    = 60_000_000 // microseconds
)

// Name returns the name of the objective's metric.
func (o Objective) Name() string {
	switch {
	case o.Kind != objectiveServed:
	case o.Class != "":
		return "served class " + o.Class
	case o.Team != "":
		return "served team " + o.Team
	default:
		return ServedLeast
	}
	name := o.Kind
	if o.Class != "" {
		name += " " + o.Class
	}
	if o.Within > 0 {
		name += fmt.Sprintf(" %g s", float64(o.Within)/1e6)
	}
	return name
}

// timeOrigin returns the time from which the times of a job are counted: its first submission, or
// the completion of the last of its dependencies if that is later.
func timeOrigin(jobs map[string]*jobTimeline, spec *wire.Job, job *jobTimeline) int64 {
	origin := job.firstSubmit
	for _, id := range spec.DependsOn {
		if dependency := jobs[id]; dependency != nil {
			origin = max(origin, dependency.lastCompleted)
		}
	}
	return origin
}

// Quantile returns the q-quantile of sorted values, of which there has to be at least one.
func Quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
