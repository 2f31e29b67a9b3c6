package fleet

import "github.com/zinclb/zinclb/internal/core/jobstate"

// Image is an image in a machine's cache, with its size and the time of its last use.
type Image struct {
	MB, LastUsed int64
	// Fetching reports whether the image is being fetched and was not yet seen to be
	// present.
	Fetching bool
}

// Prefetch is a finished task that is started again on a machine to fetch its image.
type Prefetch struct {
	Task    string
	Attempt uint32
	Image   string
	ImageMB int64
	Need    jobstate.Resources
	Team    string
	// Sent reports whether the start was sent to the worker.
	Sent bool
}

// RecordImageUse records that the machine has the image of a task.
func (m *Machine) RecordImageUse(image string, mb, now int64) { m.recordImage(image, mb, now, false) }

// RecordImageFetch records that the machine fetches the image of a task.
func (m *Machine) RecordImageFetch(image string, mb, now int64) { m.recordImage(image, mb, now, true) }

// HasTaskFetching reports whether a task on the machine waits for an image to be fetched.
func (m *Machine) HasTaskFetching(image string) bool {
	for ref := range m.Placed {
		if ref.Job.Image == image && ref.Job.Task(ref.Index).Phase == jobstate.Fetching {
			return true
		}
	}
	return false
}

// AbandonFetch records that no task on the machine waits for an image any more. If the image
// was still being fetched, the worker abandons the fetch and a later one starts from the
// beginning.
func (m *Machine) AbandonFetch(image string) {
	if m.Images[image].Fetching {
		m.MarkChanged()
		delete(m.Images, image)
	}
}

func (m *Machine) recordImage(image string, mb, now int64, fetching bool) {
	if image == "" {
		return
	}
	m.MarkChanged()
	old, had := m.Images[image]
	m.Images[image] = Image{
		MB:       max(mb, old.MB),
		LastUsed: now,
		Fetching: fetching && (old.Fetching || !had),
	}
	if !had && m.CacheMB > 0 {
		m.evictImages(image)
	}
}

// evictImages removes the least recently used images until the rest fits into the machine's
// cache, as the worker does. The newest image stays, however large it is.
func (m *Machine) evictImages(newest string) {
	for len(m.Images) > 1 {
		total, oldest := m.cacheUsage(newest)
		if total <= m.CacheMB {
			return
		}
		delete(m.Images, oldest)
	}
}

// cacheUsage returns the total size of all images, and the least recently used image
// other than keep.
func (m *Machine) cacheUsage(keep string) (totalMB int64, oldest string) {
	for name, image := range m.Images {
		totalMB += image.MB
		if name == keep {
			continue
		}
		best := m.Images[oldest]
		if oldest == "" || image.LastUsed < best.LastUsed || image.LastUsed == best.LastUsed && name < oldest {
			oldest = name
		}
	}
	return totalMB, oldest
}
