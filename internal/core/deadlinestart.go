package core

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// startDeadline is within what time a class's largest jobs have to begin, however many
// small ones come. Those that have waited for a quarter of that go next among their
// equals, and what comes free on the machines that are reserved for them is kept.
const startDeadline = 240 * second

// Bounds of what is remembered: how many classes, and the most tasks of a job.
const (
	maxSizedClasses = 200
	maxTasksCounted = 100_000
	// topQuantile is above what share of its class's sizes, in percent, an array is one of
	// the largest.
	topQuantile = 90
)

// classSizes are how large the jobs of a class and kind have been that a leader has
// known, by their numbers of tasks.
type classSizes map[sizeKey]*hdrhistogram.Histogram

type sizeKey struct {
	class string
	kind  jobstate.Kind
}

// note counts a job; services have no size, as they never end.
func (c classSizes) note(spec *jobstate.Spec) {
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
	// It fails for values out of range only.
	_ = sizes.RecordValue(min(int64(spec.Tasks), maxTasksCounted))
}

// isAmongLargest says whether a job is one of the largest of its class: a gang of its
// top size, an array of its top tenth. Where all are of one size none is.
func (c classSizes) isAmongLargest(spec *jobstate.Spec) bool {
	sizes := c[sizeKey{spec.Class, spec.Kind}]
	if sizes == nil || sizes.Max() == sizes.Min() {
		return false
	}
	tasks := int64(spec.Tasks)
	if spec.Kind == jobstate.Gang {
		return sizes.ValuesAreEquivalent(tasks, sizes.Max())
	}
	top := sizes.ValueAtQuantile(topQuantile)
	return tasks > sizes.Min() && (tasks >= top || sizes.ValuesAreEquivalent(tasks, top))
}

// startIsOverdue says that a job is one of its class's largest and should have begun. An
// array begins with its first task, a gang whole.
func (p *planner) startIsOverdue(job *jobstate.Job) bool {
	return job.NumPlaced == 0 && job.NumDone == 0 && p.now-job.ReadyAt >= startDeadline/4 &&
		p.elector.leadership.planning.classSizes.isAmongLargest(job.Spec)
}
