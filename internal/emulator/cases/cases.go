// Package cases contains the code shared by the packages that enumerate fault cases and run
// each case in simulated time: selecting cases, the initial deployment, a parallel runner,
// and the share of jobs that were served.
package cases

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/history"
)

// Case is one case of an enumeration.
type Case interface {
	fmt.Stringer
	// ID returns the number of the case in its enumeration.
	ID() uint64
}

// Result is the result of a case.
type Result interface {
	// Shortfall describes the first unmet requirement, "" if all are met.
	Shortfall() string
	// HasViolations reports whether the history violates a rule.
	HasViolations() bool
}

// EveryNth returns every n-th case, beginning with the one at index first.
func EveryNth[C any](all []C, first, n int) (selected []C) {
	for i := first; i < len(all); i += n {
		selected = append(selected, all[i])
	}
	return selected
}

// Summary has the numbers of cases that were run, that had a shortfall or an error, and that
// violated a rule.
type Summary struct{ Run, WithShortfall, Violating int }

// progressInterval is the minimum time between two progress lines.
const progressInterval = 10 * time.Second

// RunAll runs the cases, at most parallel of them at a time, and prints those that fail to
// run or have a shortfall. It calls onResult with each result, one at a time.
func RunAll[C Case, R Result](all []C, parallel int, out io.Writer, run func(C) (R, error), onResult func(R)) Summary {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var summary Summary
	printed := time.Now()
	finish := func(c C, result R, err error) {
		mu.Lock()
		defer mu.Unlock()
		summary.Run++
		shortfall := ""
		if err != nil {
			shortfall = err.Error()
		} else {
			shortfall = result.Shortfall()
			if result.HasViolations() {
				summary.Violating++
			}
			onResult(result)
		}
		if shortfall != "" {
			summary.WithShortfall++
			_, _ = fmt.Fprintf(out, "case %d, %s: %s\n", c.ID(), c, shortfall)
		}
		if time.Since(printed) > progressInterval {
			printed = time.Now()
			_, _ = fmt.Fprintf(out, "%d of %d cases run\n", summary.Run, len(all))
		}
	}
	next := make(chan C)
	for range parallel {
		wait.Go(func() {
			for c := range next {
				result, err := run(c)
				finish(c, result, err)
			}
		})
	}
	for _, c := range all {
		next <- c
	}
	close(next)
	wait.Wait()
	return summary
}

// Deadline is the time by which all tasks of a job have to be done.
type Deadline struct {
	Job   string
	Tasks int
	By    int64
}

// ServedShare returns the share of jobs that were done by their deadlines. Jobs whose
// cancellation was requested are not counted.
func ServedShare(events []history.Event, jobs []Deadline) float64 {
	remaining, deadlines := map[string]int{}, map[string]int64{}
	for _, job := range jobs {
		remaining[job.Job], deadlines[job.Job] = job.Tasks, job.By
	}
	for i := range events {
		switch e := &events[i]; {
		case e.Kind == history.RequestSent && e.Op == history.Cancel:
			delete(remaining, e.Job)
		case e.Kind == history.TaskCompleted && e.At <= deadlines[e.Job] && remaining[e.Job] > 0:
			remaining[e.Job]--
		}
	}
	done := 0
	for _, tasks := range remaining {
		if tasks == 0 {
			done++
		}
	}
	return float64(done) / float64(max(len(remaining), 1))
}
