package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// imageHistory is what a controller has learned about images from the stored state that it has
// read: the specs of done jobs, which name their images, and the images of the tasks that were
// placed on each machine. With it, a new leader knows as much about images as the previous one
// did. A controller that has just started gets the same information from the image hints.
type imageHistory struct {
	// done are the most recently done jobs of each image; images are the names of these
	// images, the most recent last.
	done   map[string][]*jobstate.Spec
	images []string
	// machines are the images of each machine, the most recent last.
	machines map[string][]hintImage
}

// Maximum numbers of jobs kept for each image, of images kept for each machine, and of machines.
const (
	historyJobsPerImage = 4
	historyImages       = 16
	historyMachines     = 20_000
)

func newImageHistory() imageHistory {
	return imageHistory{done: map[string][]*jobstate.Spec{}, machines: map[string][]hintImage{}}
}

// recordDoneJob adds a job that is done.
func (r *imageHistory) recordDoneJob(job *jobstate.Job) {
	if job.Image == "" || job.Truncated || slices.ContainsFunc(r.done[job.Image], func(s *jobstate.Spec) bool { return s.ID == job.ID }) {
		return
	}
	specs := append(r.done[job.Image], job.Spec)
	r.done[job.Image] = specs[max(0, len(specs)-historyJobsPerImage):]
	if r.images = appendUnique(r.images, job.Image, func(a, b string) bool { return a == b }); len(r.images) > maxImagesTracked {
		delete(r.done, r.images[0])
		r.images = r.images[1:]
	}
}

// recordPlacement records the image of a job as present on a machine on which a task of the job
// was placed; a machine that lacks the image fetches it.
func (r *imageHistory) recordPlacement(machine string, job *jobstate.Job) {
	images, known := r.machines[machine]
	if machine == "" || job.Image == "" || !known && len(r.machines) >= historyMachines {
		return
	}
	images = appendUnique(images, hintImage{job.Image, job.ImageMB}, func(a, b hintImage) bool { return a.Name == b.Name })
	r.machines[machine] = images[max(0, len(images)-historyImages):]
}

// appendUnique moves x to the end of a list, or appends it if the list does not contain it.
func appendUnique[T any](list []T, x T, same func(a, b T) bool) []T {
	if n := len(list); n > 0 && same(list[n-1], x) {
		return list
	}
	return append(slices.DeleteFunc(list, func(o T) bool { return same(o, x) }), x)
}
