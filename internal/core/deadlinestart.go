package core

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A class's largest jobs have to begin within four minutes, however many small
// ones come. Those that have waited for a quarter of that go next among their
// equals, and what comes free on the machines that are to be theirs is kept.
const startDeadline = 240 * second

// classSizes are how large the jobs of a class and kind have been that a leader has
// known, by their numbers of tasks.
type classSizes map[sizeKey]*hdrhistogram.Histogram

type sizeKey struct {
	class string
	kind  jobstate.Kind
}

// Bounds of what is remembered: how many classes, and the most tasks of a job.
const (
	maxSizedClasses = 200
	maxTasksCounted = 100_000
)

func (z classSizes) note(s *jobstate.Spec) {
	if s.Kind == jobstate.Service {
		return
	}
	key := sizeKey{s.Class, s.Kind}
	h := z[key]
	if h == nil {
		if len(z) >= maxSizedClasses {
			return
		}
		h = hdrhistogram.New(1, maxTasksCounted, 2)
		z[key] = h
	}
	// It fails for values out of range only.
	_ = h.RecordValue(min(int64(s.Tasks), maxTasksCounted))
}

// isAmongLargest says whether a job is one of the largest of its class: a gang of its
// top size, an array of its top tenth. Where all are of one size none is.
func (z classSizes) isAmongLargest(s *jobstate.Spec) bool {
	h := z[sizeKey{s.Class, s.Kind}]
	if h == nil || h.Max() == h.Min() {
		return false
	}
	if s.Kind == jobstate.Gang {
		return h.ValuesAreEquivalent(int64(s.Tasks), h.Max())
	}
	n := int64(s.Tasks)
	return n > h.Min() && (n >= h.ValueAtQuantile(90) || h.ValuesAreEquivalent(n, h.ValueAtQuantile(90)))
}

// startIsOverdue says that a job is one of its class's largest and should have begun. An
// array begins with its first task, a gang whole.
func (p *planner) startIsOverdue(j *jobstate.Job) bool {
	return j.NumPlaced == 0 && j.NumDone == 0 && p.now-j.ReadyAt >= startDeadline/4 && p.elector.leadership.planning.classSizes.isAmongLargest(j.Spec)
}
