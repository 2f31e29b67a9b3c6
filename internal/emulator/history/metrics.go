package history

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Objective is a share of a class's jobs, or of its tasks' starts, within a time; of
// the kind served, of a class or a team or of whichever is served least.
type Objective struct {
	Kind, Class, Team string
	Within            int64
	// Share is the least that is aimed at.
	Share float64
}

// jobTimeline is how a job went.
type jobTimeline struct {
	firstSubmit, accepted, lastCompleted int64
	starts                               map[int]int64
	leftTasks                            int
	cancelled                            bool
	cancelToldAt                         int64 // when its user was first told that it is
}

// Metrics says how well a history went, as numbers by name. Times are seconds;
// they are counted from a job's first attempt to submit, and for a job that
// awaits others from the moment when the last of them is done. Jobs that
// still have time at the end are left out of the shares, and cancelled ones are.
func Metrics(events []Event, terms Expectations, aims []Objective) map[string]float64 {
	out := map[string]float64{}
	jobs := map[string]*jobTimeline{}
	var order []string
	end := int64(0)
	if len(events) > 0 {
		end = events[len(events)-1].At
	}
	for _, e := range events {
		if e.Kind == CostRecorded {
			out["cost"] += e.Cost
		}
		spec := terms.Jobs[e.Job]
		if spec == nil {
			continue
		}
		j := jobs[e.Job]
		if j == nil {
			j = &jobTimeline{firstSubmit: e.At, starts: map[int]int64{}, leftTasks: spec.Tasks}
			jobs[e.Job] = j
			order = append(order, e.Job)
		}
		switch {
		case e.Kind == RequestSent && e.Op == Cancel:
			j.cancelled = true
		case e.Kind == ResponseReceived && e.Op == Submit && j.accepted == 0 && (e.Status == 200 || e.Status == 201):
			j.accepted = e.At
		case e.Kind == ResponseReceived && e.State == wire.Cancelled && j.cancelToldAt == 0:
			j.cancelToldAt = e.At
		case e.Kind == TaskEntered && j.cancelToldAt != 0:
			out[StartsAfter]++
		case e.Kind == TaskStarted:
			if j.starts[e.Task] == 0 {
				j.starts[e.Task] = e.At
			}
		case e.Kind == TaskCompleted:
			if j.leftTasks--; j.leftTasks == 0 {
				j.lastCompleted = e.At
			}
			out["tasks_done"]++
		case e.Kind == TaskLeft && !slices.Contains([]string{"done", "stopped"}, e.Reason):
			out["tasks_lost"]++
		}
	}
	served(out, jobs, terms, aims, end)
	var accepts []float64
	for _, id := range order {
		if j := jobs[id]; j.accepted != 0 {
			accepts = append(accepts, float64(j.accepted-j.firstSubmit)/1e6)
			out["jobs_accepted"]++
		}
		if jobs[id].lastCompleted != 0 {
			out["jobs_done"]++
		}
	}
	slices.Sort(accepts)
	if len(accepts) > 0 {
		out["accept_p50_s"], out["accept_p99_s"] = quantile(accepts, 0.5), quantile(accepts, 0.99)
	}
	for _, a := range aims {
		name := a.Name()
		good, all := 0, 0
		for _, id := range order {
			j, spec := jobs[id], terms.Jobs[id]
			if a.Class != "" && spec.Class != a.Class || j.cancelled {
				continue
			}
			from := timeOrigin(jobs, spec, j)
			within := a.Within
			if a.Kind == "deadline" && spec.DeadlineS != nil {
				within = int64(*spec.DeadlineS * 1e6)
			}
			if from+within > end {
				continue // its time is not over
			}
			in := func(t int64) {
				all++
				if t != 0 && t-from <= within {
					good++
				}
			}
			switch a.Kind {
			case "accept":
				from = j.firstSubmit
				in(j.accepted)
			case "wait":
				for i := range spec.Tasks {
					in(j.starts[i])
				}
			case "complete":
				in(j.lastCompleted)
			case "deadline":
				if spec.DeadlineS != nil {
					from = j.firstSubmit
					in(j.lastCompleted)
				}
			}
		}
		if all > 0 {
			out[name] = float64(good) / float64(all)
		}
	}
	return out
}

// served says of each class and team which share was served, strictly: done by
// its deadline, or within the longest aim of its class, of what was submitted
// early enough for that. What nobody says a time of has to be done, if it came
// early enough to be. ServedLeast is the least of them,
// LargestLeast that of the largest jobs of each class.
func served(out map[string]float64, jobs map[string]*jobTimeline, terms Expectations, aims []Objective, end int64) {
	longest := map[string]int64{}
	for _, a := range aims {
		if a.Kind == "complete" {
			longest[a.Class] = max(longest[a.Class], a.Within)
		}
	}
	groups := map[string]*ratio{}
	large := largestJobs(terms)
	count := func(name string, good bool) {
		if groups[name] == nil {
			groups[name] = &ratio{}
		}
		groups[name].total++
		if good {
			groups[name].met++
		}
	}
	for id, j := range jobs {
		spec := terms.Jobs[id]
		if j.cancelled || spec.Kind == wire.Service {
			continue
		}
		if from := timeOrigin(jobs, spec, j); large[id] && from+largestWait <= end {
			count("largest begun "+spec.Class, j.begun(spec) != 0 && j.begun(spec) <= from+largestWait)
		}
		from, by := timeOrigin(jobs, spec, j), int64(0)
		switch within := longest[spec.Class]; {
		case spec.DeadlineS != nil:
			by = j.firstSubmit + int64(*spec.DeadlineS*1e6)
		case within > 0:
			by = from + within
		case from+defaultDeadlineFactor*int64(spec.EstimateS*1e6)+minDefaultDeadline < end:
			by = end
		}
		if by == 0 || by > end {
			continue // its time is not over
		}
		good := j.lastCompleted != 0 && j.lastCompleted <= by
		count("served class "+spec.Class, good)
		count("served team "+spec.Team, good)
		if large[id] {
			count("largest served "+spec.Class, good)
		}
	}
	for name, c := range groups {
		out[name] = float64(c.met) / float64(c.total)
		of := ServedLeast
		if strings.HasPrefix(name, "largest") {
			of = LargestLeast
		}
		if least, ok := out[of]; !ok || out[name] < least {
			out[of] = out[name]
		}
	}
}

// ratio is how many of all were as they should be.
type ratio struct{ met, total int }

// The least of what was served of classes and teams, and of what was served or
// begun in time of classes' largest jobs.
const (
	ServedLeast  = "served_least"
	LargestLeast = "largest_least"
)

// StartsAfter is how many tasks entered a machine after users were told that their
// job is cancelled.
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

// A job without a time has to be done where so many times its estimate, and the
// least beside, is left of the day.
const (
	defaultDeadlineFactor = 10
	minDefaultDeadline    = 60_000_000
)

// Name is the aim's figure.
func (a Objective) Name() string {
	switch {
	case a.Kind != "served":
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

// timeOrigin is when a job's time begins.
func timeOrigin(jobs map[string]*jobTimeline, spec *wire.Job, j *jobTimeline) int64 {
	t := j.firstSubmit
	for _, id := range spec.DependsOn {
		if o := jobs[id]; o != nil {
			t = max(t, o.lastCompleted)
		}
	}
	return t
}

// quantile is that of sorted values, at least one.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
