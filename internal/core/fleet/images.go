package fleet

import "github.com/zinclb/zinclb/internal/core/jobstate"

// Image is an image in a machine's cache: its size, and when it was last used.
type Image struct {
	MB, LastUsed int64
	// Fetching: it is being fetched, and was not seen to be there.
	Fetching bool
}

// Prefetch is a finished task that is started again for its image.
type Prefetch struct {
	Task    string
	Attempt uint32
	Image   string
	ImageMB int64
	Need    jobstate.Resources
	Team    string
	// Sent: its start was sent to the worker.
	Sent bool
}

// RecordImageUse notes that the machine has an image for a task.
func (m *Machine) RecordImageUse(image string, mb, now int64) { m.recordImage(image, mb, now, false) }

// RecordImageFetch notes that the machine fetches an image for a task.
func (m *Machine) RecordImageFetch(image string, mb, now int64) { m.recordImage(image, mb, now, true) }

// HasTaskFetching says whether a task on the machine waits for an image.
func (m *Machine) HasTaskFetching(image string) bool {
	for ref := range m.Placed {
		if ref.Job.Image == image && ref.Job.Task(ref.Index).Phase == jobstate.Fetching {
			return true
		}
	}
	return false
}

// AbandonFetch notes that no task on the machine waits for an image any more: unless the
// machine had it all along the fetch is given up, and begins anew next time.
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

// evictImages drops the least recently used images until the rest fits the machine's
// cache, as the worker does. The newest stays, however large it is.
func (m *Machine) evictImages(newest string) {
	for len(m.Images) > 1 {
		total, oldest := m.cacheUsage(newest)
		if total <= m.CacheMB {
			return
		}
		delete(m.Images, oldest)
	}
}

// cacheUsage returns the size of all images, and the least recently used one but keep.
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
