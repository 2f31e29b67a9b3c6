package faultcombos

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const (
	// serveWithin is the time limit for jobs, whose tasks run for 4 to 8 s. minServed is the
	// required share of the jobs of each class and team that are done in time, over the
	// whole run, of which faults take faultDuration.
	serveWithin = 25 * second
	minServed   = 0.7
	// minServedDuring is the required share of the jobs submitted during the faults.
	minServedDuring = 0.5
)

// Result is the result of a case.
type Result struct {
	Violations []string
	// MinServed is the minimum, over classes and teams, of the share of jobs that were
	// served. MinLargestServed is the minimum, over classes, of two shares of the largest
	// jobs: those that were served, and those that started within four minutes. Unfinished
	// are the jobs whose end no response had shown by the end of the run.
	MinServed, MinLargestServed float64
	Unfinished                  []string
	// ServedDuringFaults is the share of the jobs submitted during the faults that were
	// done in time.
	ServedDuringFaults float64
	// DelayedRequests is the number of requests to the state service that were executed
	// late. Occurrences counts the events that the faults are meant to cause.
	DelayedRequests int
	Occurrences     map[string]int
	// StartsAfterCancellation is the number of tasks that entered a machine after a response
	// had shown a user that their job is cancelled.
	StartsAfterCancellation int
	overloaded              bool
	required                map[string]int
}

// HasViolations reports whether the history violates a rule.
func (r Result) HasViolations() bool { return len(r.Violations) > 0 }

// Shortfall describes the first unmet requirement, "" if all are met.
func (r Result) Shortfall() string {
	switch {
	case len(r.Violations) > 0:
		return "rules violated: " + strings.Join(r.Violations, "; ")
	case len(r.missing()) > 0:
		return fmt.Sprintf("required events missing: %v", r.missing())
	case len(r.Unfinished) > 0:
		return fmt.Sprintf("jobs unfinished at the end: %v", r.Unfinished)
	case r.overloaded:
	case r.MinServed < minServed:
		return fmt.Sprintf("share served of a class or team is %.2f", r.MinServed)
	case r.ServedDuringFaults < minServedDuring:
		return fmt.Sprintf("share served of jobs submitted during the faults is %.2f", r.ServedDuringFaults)
	case r.MinLargestServed < 0.5:
		return fmt.Sprintf("share of a class's largest jobs served or started is %.2f", r.MinLargestServed)
	}
	return ""
}

// missing lists the required events that occurred too rarely.
func (r Result) missing() (shortfalls []string) {
	for _, name := range slices.Sorted(maps.Keys(r.required)) {
		if r.Occurrences[name] < r.required[name] {
			shortfalls = append(shortfalls, fmt.Sprintf("%s (%d of %d)", name, r.Occurrences[name], r.required[name]))
		}
	}
	return shortfalls
}

// Occurrences in addition to those that the environment records.
const (
	occurLeaderElected = "a leader begins"
	occurLeaseExpired  = "a task ends with its machine's lease"
	occurBoundTaskLost = "a task bound to a zone loses its machine"
	occurOneTaskJob    = "a one-task job is accepted"
	occurLongWait      = "a job waits for ten seconds"
)

func evaluate(cluster *faketime.Cluster) Result {
	result := Result{MinServed: 1, MinLargestServed: 1, Occurrences: map[string]int{}}
	result.Violations = cluster.Violations()
	result.addMetrics(cluster)
	result.Unfinished = cluster.Environment.Unfinished()
	result.ServedDuringFaults = servedDuringFaults(cluster)
	result.countOccurrences(cluster)
	return result
}

// addMetrics adds the metrics of the history: the shares that were served, and
// StartsAfterCancellation. A metric that is not a number counts as a violation.
func (r *Result) addMetrics(cluster *faketime.Cluster) {
	var objectives []history.Objective
	for _, class := range []string{"gang", "array", "stage"} {
		objectives = append(objectives, history.Objective{Kind: "complete", Class: class, Within: serveWithin})
	}
	for name, value := range history.Metrics(cluster.History, cluster.Expectations(), objectives) {
		switch {
		case name == history.ServedLeast:
			r.MinServed = value
		case name == history.LargestLeast:
			r.MinLargestServed = value
		case name == history.StartsAfterCancellation:
			r.StartsAfterCancellation = int(value)
		case math.IsNaN(value):
			r.Violations = append(r.Violations, name+" is no number")
		}
	}
}

// countOccurrences counts the events that the faults are meant to cause, and the delayed
// requests.
func (r *Result) countOccurrences(cluster *faketime.Cluster) {
	jobs, firstRequest, started := cluster.Expectations().Jobs, map[string]int64{}, map[string]bool{}
	for i := range cluster.History {
		switch e := &cluster.History[i]; e.Kind {
		case history.RequestSent:
			if firstRequest[e.Job] == 0 {
				firstRequest[e.Job] = e.At
			}
		case history.RequestDelayed:
			r.DelayedRequests++
		case history.TaskStarted:
			if !started[e.Job] && e.At-firstRequest[e.Job] > 10*second {
				r.Occurrences[occurLongWait]++
			}
			started[e.Job] = true
		default:
			if occurrence := occurrenceOf(e, jobs); occurrence != "" {
				r.Occurrences[occurrence]++
			}
		}
	}
}

// occurrenceOf returns the occurrence that an event shows, "" if it shows none.
func occurrenceOf(e *history.Event, jobs map[string]*wire.Job) string {
	job := jobs[e.Job]
	switch {
	case e.Kind == history.Occurred:
		return e.Reason
	case e.Kind == history.StateChanged && e.Key == core.LeaderKey && e.State == history.KeyPut && e.At > faultsBegin:
		return occurLeaderElected
	case isDependencyCancellation(e, job):
		return occurDependencyCancelled
	case e.Kind == history.TaskLeft && e.Reason == "lease":
		return occurLeaseExpired
	case e.Kind == history.TaskLeft && e.Reason == "died" && job != nil && job.Class == "bound":
		return occurBoundTaskLost
	case e.Kind == history.ResponseReceived && e.Status == http.StatusCreated && job != nil && job.Class == "tiny":
		return occurOneTaskJob
	}
	return ""
}

// servedDuringFaults returns the share of the jobs submitted during the faults that were done
// in time. The second stage of a pipeline has twice the time limit.
func servedDuringFaults(cluster *faketime.Cluster) float64 {
	var deadlines []cases.Deadline
	for _, job := range cluster.Config.Jobs {
		if job.At >= faultsBegin && job.At < faultsBegin+faultDuration && job.Cancel == 0 {
			deadline := job.At + serveWithin*int64(1+len(job.Spec.DependsOn))
			deadlines = append(deadlines, cases.Deadline{Job: job.Spec.ID, Tasks: job.Spec.Tasks, By: deadline})
		}
	}
	return cases.ServedShare(cluster.History, deadlines)
}
