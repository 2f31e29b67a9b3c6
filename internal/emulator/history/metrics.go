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

// Objective is a share of a class's jobs, or of its tasks' starts, within a time; of
// the kind served, of a class or a team or of whichever is served least.
type Objective struct {
	Kind, Class, Team string
	Within            int64
	// Share is the least that is required.
	Share float64
}

// jobTimeline is when a job passed its stages.
type jobTimeline struct {
	firstSubmit, accepted, lastCompleted int64
	starts                               map[int]int64
	leftTasks                            int
	cancelled                            bool
	cancelToldAt                         int64 // when a user first had an answer that it is
}

// timelines are the stages of all jobs of a history, and what is counted along the way.
type timelines struct {
	jobs    map[string]*jobTimeline
	order   []string // of the jobs' first events
	end     int64
	figures map[string]float64
}

// Metrics says how well a history went, as numbers by name. Times are seconds; they are
// counted from a job's first attempt to submit, and for a job that depends on others from
// the moment when the last of them is done. Jobs that still have time at the end are left
// out of the shares, and cancelled ones are.
func Metrics(events []Event, terms Expectations, objectives []Objective) map[string]float64 {
	t := collectTimelines(events, terms)
	served(t.figures, t.jobs, terms, objectives, t.end)
	t.countAccepted()
	for _, objective := range objectives {
		if r := t.measure(objective, terms); r.total > 0 {
			t.figures[objective.Name()] = float64(r.met) / float64(r.total)
		}
	}
	return t.figures
}

// collectTimelines reads a history.
func collectTimelines(events []Event, terms Expectations) *timelines {
	t := &timelines{jobs: map[string]*jobTimeline{}, figures: map[string]float64{}}
	if len(events) > 0 {
		t.end = events[len(events)-1].At
	}
	for i := range events {
		e := &events[i]
		if e.Kind == CostRecorded {
			t.figures["cost"] += e.Cost
		}
		spec := terms.Jobs[e.Job]
		if spec == nil {
			continue
		}
		job := t.jobs[e.Job]
		if job == nil {
			job = &jobTimeline{firstSubmit: e.At, starts: map[int]int64{}, leftTasks: spec.Tasks}
			t.jobs[e.Job] = job
			t.order = append(t.order, e.Job)
		}
		t.note(e, job)
	}
	return t
}

// note adds an event to the timeline of its job.
func (t *timelines) note(e *Event, job *jobTimeline) {
	switch {
	case e.Kind == RequestSent && e.Op == Cancel:
		job.cancelled = true
	case e.Kind == ResponseReceived && e.Op == Submit && job.accepted == 0 && isAccepted(e.Status):
		job.accepted = e.At
	case e.Kind == ResponseReceived && e.State == wire.Cancelled && job.cancelToldAt == 0:
		job.cancelToldAt = e.At
	case e.Kind == TaskEntered && job.cancelToldAt != 0:
		t.figures[StartsAfter]++
	case e.Kind == TaskStarted:
		if job.starts[e.Task] == 0 {
			job.starts[e.Task] = e.At
		}
	case e.Kind == TaskCompleted:
		if job.leftTasks--; job.leftTasks == 0 {
			job.lastCompleted = e.At
		}
		t.figures["tasks_done"]++
	case e.Kind == TaskLeft && !slices.Contains([]string{"done", "stopped"}, e.Reason):
		t.figures["tasks_lost"]++
	}
}

// isAccepted says whether a status accepts a submission.
func isAccepted(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// countAccepted counts the jobs that were accepted and done, and how long acceptance took.
func (t *timelines) countAccepted() {
	var delays []float64
	for _, id := range t.order {
		job := t.jobs[id]
		if job.accepted != 0 {
			delays = append(delays, float64(job.accepted-job.firstSubmit)/1e6)
			t.figures["jobs_accepted"]++
		}
		if job.lastCompleted != 0 {
			t.figures["jobs_done"]++
		}
	}
	slices.Sort(delays)
	if len(delays) > 0 {
		t.figures["accept_p50_s"], t.figures["accept_p99_s"] = Quantile(delays, 0.5), Quantile(delays, 0.99)
	}
}

// measure says how many of the jobs, or starts, of an objective met it.
func (t *timelines) measure(objective Objective, terms Expectations) (r ratio) {
	for _, id := range t.order {
		job, spec := t.jobs[id], terms.Jobs[id]
		if objective.Class != "" && spec.Class != objective.Class || job.cancelled {
			continue
		}
		from := timeOrigin(t.jobs, spec, job)
		within := objective.Within
		if objective.Kind == objectiveDeadline && spec.DeadlineS != nil {
			within = int64(*spec.DeadlineS * 1e6)
		}
		if from+within > t.end {
			continue // its time is not over
		}
		switch objective.Kind {
		case objectiveAccept:
			r.add(isWithin(job.accepted, job.firstSubmit, within))
		case objectiveWait:
			for i := range spec.Tasks {
				r.add(isWithin(job.starts[i], from, within))
			}
		case objectiveComplete:
			r.add(isWithin(job.lastCompleted, from, within))
		case objectiveDeadline:
			if spec.DeadlineS != nil {
				r.add(isWithin(job.lastCompleted, job.firstSubmit, within))
			}
		}
	}
	return r
}

// isWithin says whether something happened at most so long after a moment; 0 is never.
func isWithin(at, from, within int64) bool { return at != 0 && at-from <= within }

// served says of each class and team which share was served, strictly: done by its
// deadline, or within the longest completion objective of its class, of what was submitted
// early enough for that. A job without any such time has to be done if it came early enough
// to be. ServedLeast is the least of the shares, LargestLeast that of the largest jobs of
// each class.
func served(figures map[string]float64, jobs map[string]*jobTimeline, terms Expectations, objectives []Objective, end int64) {
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
	large := largestJobs(terms)
	for id, job := range jobs {
		spec := terms.Jobs[id]
		if job.cancelled || spec.Kind == wire.Service {
			continue
		}
		from := timeOrigin(jobs, spec, job)
		if large[id] && from+largestWait <= end {
			count("largest begun "+spec.Class, job.begun(spec) != 0 && job.begun(spec) <= from+largestWait)
		}
		by := job.serveBy(spec, from, longest[spec.Class], end)
		if by == 0 || by > end {
			continue // its time is not over
		}
		met := job.lastCompleted != 0 && job.lastCompleted <= by
		count("served class "+spec.Class, met)
		count("served team "+spec.Team, met)
		if large[id] {
			count("largest served "+spec.Class, met)
		}
	}
	for name, group := range groups {
		figures[name] = float64(group.met) / float64(group.total)
		of := ServedLeast
		if strings.HasPrefix(name, "largest") {
			of = LargestLeast
		}
		if least, ok := figures[of]; !ok || figures[name] < least {
			figures[of] = figures[name]
		}
	}
}

// serveBy is when a job whose time begins at from has to be done to count as served, 0 if
// nothing says so. Jobs of its class have so long, the run ends at end.
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

// ratio is how many of all met what is required.
type ratio struct{ met, total int }

func (r *ratio) add(met bool) {
	r.total++
	if met {
		r.met++
	}
}

// The least of what was served of classes and teams, and of what was served or
// begun in time of classes' largest jobs.
const (
	ServedLeast  = "served_least"
	LargestLeast = "largest_least"
)

// StartsAfter is how many tasks entered a machine after users had an answer that their job
// is cancelled.
const StartsAfter = "starts_after_cancellation"

// largestWait is how long even a class's largest jobs may wait.
const largestWait = 240_000_000

// begun is when a job began: a gang with the last of its tasks, an array with
// the first.
func (j *jobTimeline) begun(spec *wire.Job) (at int64) {
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

// largestJobs finds the largest jobs of each class: gangs of its top size, and the
// top tenth of its arrays. Where all are of one size none is larger.
func largestJobs(terms Expectations) map[string]bool {
	sizes := map[string][]int{}
	for _, s := range terms.Jobs {
		if s.Kind != wire.Service {
			sizes[s.Class+" "+s.Kind] = append(sizes[s.Class+" "+s.Kind], s.Tasks)
		}
	}
	out := map[string]bool{}
	for id, s := range terms.Jobs {
		l := sizes[s.Class+" "+s.Kind]
		if len(l) == 0 {
			continue
		}
		slices.Sort(l)
		from := l[len(l)-1]
		if s.Kind == wire.Array {
			from = l[len(l)*9/10]
		}
		out[id] = s.Tasks >= from && from > l[0]
	}
	return out
}

// A job without a time has to be done if so many times its estimate, and the minimum
// beside, is left of the run.
const (
	defaultDeadlineFactor = 10
	minDefaultDeadline    = 60_000_000
)

// Name is the name of the objective's figure.
func (a Objective) Name() string {
	switch {
	case a.Kind != objectiveServed:
	case a.Class != "":
		return "served class " + a.Class
	case a.Team != "":
		return "served team " + a.Team
	default:
		return ServedLeast
	}
	name := a.Kind
	if a.Class != "" {
		name += " " + a.Class
	}
	if a.Within > 0 {
		name += fmt.Sprintf(" %g s", float64(a.Within)/1e6)
	}
	return name
}

// timeOrigin is when the time of a job begins to count.
func timeOrigin(jobs map[string]*jobTimeline, spec *wire.Job, j *jobTimeline) int64 {
	t := j.firstSubmit
	for _, id := range spec.DependsOn {
		if o := jobs[id]; o != nil {
			t = max(t, o.lastCompleted)
		}
	}
	return t
}

// Quantile is a quantile of sorted values, of which there has to be at least one.
func Quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
