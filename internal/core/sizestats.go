package core

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// startDeadline is the time within which the largest jobs of a class have to start, however
// many small ones arrive. Those that have waited for a quarter of it go before otherwise
// equal jobs, and capacity that becomes free on machines reserved for them is kept for them.
const startDeadline = 240 * second

// Bounds of the job size statistics.
const (
	// maxSizedClasses is the maximum number of pairs of class and kind.
	maxSizedClasses = 200
	// maxTasksCounted is the maximum number of tasks that is recorded for a job; larger jobs are
	// recorded with this size.
	maxTasksCounted = 100_000
	// largestArrayPercentile is the percentile of the sizes of a class at or above which an
	// array is one of the largest of the class.
	largestArrayPercentile = 90
)

// classSizes has histograms of the number of tasks of the jobs that a leader has seen, by
// class and kind.
type classSizes map[sizeKey]*hdrhistogram.Histogram

type sizeKey struct {
	class string
	kind  jobstate.Kind
}

// record adds a job to the statistics. Services are not counted, as they never end.
func (c classSizes) record(spec *jobstate.Spec) {
	if spec.Kind == jobstate.Service {
		return
	}
	key := sizeKey{spec.Class, spec.Kind}
	sizes := c[key]
	if sizes == nil {
		if len(c) >= maxSizedClasses {
			return
		}
		sizes = hdrhistogram.New(1, maxTasksCounted, 2)
		c[key] = sizes
	}
	// RecordValue fails only for values out of range.
	_ = sizes.RecordValue(min(int64(spec.Tasks), maxTasksCounted))
}

// isAmongLargest reports whether a job is one of the largest of its class: a gang of the
// largest size, or an array in the top tenth. If all jobs have the same size, none is.
func (c classSizes) isAmongLargest(spec *jobstate.Spec) bool {
	sizes := c[sizeKey{spec.Class, spec.Kind}]
	if sizes == nil || sizes.Max() == sizes.Min() {
		return false
	}
	tasks := int64(spec.Tasks)
	if spec.Kind == jobstate.Gang {
		return sizes.ValuesAreEquivalent(tasks, sizes.Max())
	}
	top := sizes.ValueAtQuantile(largestArrayPercentile)
	return tasks > sizes.Min() && (tasks >= top || sizes.ValuesAreEquivalent(tasks, top))
}

// startIsOverdue reports whether a job is one of the largest of its class and has waited for a
// quarter of startDeadline without starting. An array starts with its first task, a gang with
// all of its tasks.
func (p *planner) startIsOverdue(job *jobstate.Job) bool {
	return job.NumPlaced == 0 && job.NumDone == 0 && p.now-job.ReadyAt >= startDeadline/4 &&
		p.elector.leadership.planning.classSizes.isAmongLargest(job.Spec)
}
