package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// imageHistory is what a controller remembers of images from what it has seen stored,
// so that it knows as much as the last leader when it leads itself: jobs that
// are done can carry their image, and machines have those of the tasks that
// were placed there. Image hints have the same for one that has just been started.
type imageHistory struct {
	// done are the newest jobs of each image, images the newest last.
	done   map[string][]*jobstate.Spec
	images []string
	// machines have their images, the newest last.
	machines map[string][]hintImage
}

// Bounds of what is remembered: jobs of an image, images of a machine, and
// machines.
const (
	historyJobsPerImage = 4
	historyImages       = 16
	historyMachines     = 20_000
)

func newImageHistory() imageHistory {
	return imageHistory{done: map[string][]*jobstate.Spec{}, machines: map[string][]hintImage{}}
}

// recordDoneJob remembers a job that is done.
func (r *imageHistory) recordDoneJob(j *jobstate.Job) {
	if j.Image == "" || j.Truncated || slices.ContainsFunc(r.done[j.Image], func(s *jobstate.Spec) bool { return s.ID == j.ID }) {
		return
	}
	specs := append(r.done[j.Image], j.Spec)
	r.done[j.Image] = specs[max(0, len(specs)-historyJobsPerImage):]
	if r.images = appendUnique(r.images, j.Image, func(a, b string) bool { return a == b }); len(r.images) > maxImagesTracked {
		delete(r.done, r.images[0])
		r.images = r.images[1:]
	}
}

// recordPlacement remembers that a machine fetches a job's image, if it lacks it.
func (r *imageHistory) recordPlacement(machine string, j *jobstate.Job) {
	images, known := r.machines[machine]
	if machine == "" || j.Image == "" || !known && len(r.machines) >= historyMachines {
		return
	}
	images = appendUnique(images, hintImage{j.Image, j.ImageMB}, func(a, b hintImage) bool { return a.Name == b.Name })
	r.machines[machine] = images[max(0, len(images)-historyImages):]
}

// appendUnique puts x at the end of a list that may have it already.
func appendUnique[T any](list []T, x T, same func(a, b T) bool) []T {
	if n := len(list); n > 0 && same(list[n-1], x) {
		return list
	}
	return append(slices.DeleteFunc(list, func(o T) bool { return same(o, x) }), x)
}
