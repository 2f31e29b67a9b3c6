package jobstate

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// chunkLayer holds the revisions of a job's stored chunks of one earlier, larger chunk size.
// A stored chunk of a smaller size overrides the larger one for its tasks, whatever their
// revisions, because a leader writes the smaller one only after it has read the larger one. So
// chunks need not be split in one transaction, and a partly completed split is consistent.
type chunkLayer struct {
	chunkSize int
	revisions []uint64
}

// ChunkRef identifies one stored chunk of a job's progress: the chunk with number Index among
// those of ChunkSize tasks.
type ChunkRef struct {
	ChunkSize int
	Index     int
}

// ValidChunkSize reports whether a chunk may have size tasks: a power of two, at most the
// chunk size of the first format.
func ValidChunkSize(size int) bool { return size > 0 && size <= DefaultChunkSize && size&(size-1) == 0 }

// ChunkSize returns the number of tasks per chunk.
func (j *Job) ChunkSize() int { return j.chunkSize }

// SplitChunks reduces the chunk size. Changes that are not stored yet will be written in
// chunks of the new size; stored chunks remain valid until then. No write may be in flight,
// except one whose outcome will never be processed.
func (j *Job) SplitChunks(chunkSize int) {
	if chunkSize >= j.chunkSize {
		return
	}
	oldChunks, oldSize := j.chunks, j.chunkSize
	layer := chunkLayer{chunkSize: oldSize, revisions: make([]uint64, len(oldChunks))}
	anyStored := false
	for i := range oldChunks {
		layer.revisions[i] = oldChunks[i].Revision
		anyStored = anyStored || oldChunks[i].Revision != 0
	}
	if anyStored {
		j.olderLayers = append(j.olderLayers, layer)
	}
	j.chunkSize = chunkSize
	j.chunks = make([]Chunk, (len(j.tasks)+chunkSize-1)/chunkSize)
	for n := range j.chunks {
		j.chunks[n] = oldChunks[n*chunkSize/oldSize].part()
	}
}

// part returns one part of a chunk that is split. The contents of a write in flight are not
// known to be stored, so if there is one, every part is written again.
func (c *Chunk) part() Chunk {
	dirty := c.dirty || c.inFlight
	return Chunk{
		dirty:          dirty,
		hasPlacement:   dirty,
		needsFullWrite: dirty,
		version:        c.version + 1,
		attempt:        c.attempt,
		seq:            c.seq,
		DirtySince:     c.DirtySince,
	}
}

// StoredChunks returns the chunks that the state service has, with their revisions. All of
// them are removed when the job's keys are removed.
func (j *Job) StoredChunks() (refs []ChunkRef, revisions []uint64) {
	for _, layer := range j.olderLayers {
		for n, revision := range layer.revisions {
			if revision != 0 {
				refs, revisions = append(refs, ChunkRef{ChunkSize: layer.chunkSize, Index: n}), append(revisions, revision)
			}
		}
	}
	for n := range j.chunks {
		if revision := j.chunks[n].Revision; revision != 0 {
			refs, revisions = append(refs, ChunkRef{ChunkSize: j.chunkSize, Index: n}), append(revisions, revision)
		}
	}
	return refs, revisions
}

// chunkRevisionPointer returns a pointer to the revision of a chunk, or nil if the job has no
// such chunk.
func (j *Job) chunkRevisionPointer(ref ChunkRef) *uint64 {
	if ref.Index < 0 {
		return nil
	}
	if ref.ChunkSize == j.chunkSize && ref.Index < len(j.chunks) {
		return &j.chunks[ref.Index].Revision
	}
	for i := range j.olderLayers {
		if layer := &j.olderLayers[i]; layer.chunkSize == ref.ChunkSize && ref.Index < len(layer.revisions) {
			return &layer.revisions[ref.Index]
		}
	}
	return nil
}

// ChunkRevision returns the revision of a stored chunk, 0 if it is absent.
func (j *Job) ChunkRevision(ref ChunkRef) uint64 {
	if revision := j.chunkRevisionPointer(ref); revision != nil {
		return *revision
	}
	return 0
}

// SetChunkRevision sets the revision of a stored chunk, 0 for its removal.
func (j *Job) SetChunkRevision(ref ChunkRef, revision uint64) {
	if stored := j.chunkRevisionPointer(ref); stored != nil {
		*stored = revision
	}
}

// overridden reports whether a chunk of fewer than size tasks is stored for task i.
func (j *Job) overridden(i, size int) bool {
	if size > j.chunkSize && j.chunks[i/j.chunkSize].Revision != 0 {
		return true
	}
	for k := range j.olderLayers {
		if layer := &j.olderLayers[k]; layer.chunkSize < size && layer.revisions[i/layer.chunkSize] != 0 {
			return true
		}
	}
	return false
}

// Errors of invalid stored chunks.
var (
	errNoSuchChunk = errors.New("the job has no such chunk")
	errForeignTask = errors.New("task belongs to another chunk")
	errPlacedTwice = errors.New("task is placed twice")
)

// LoadChunk replaces the state of a chunk's tasks by the state in the chunk's stored value.
func (j *Job) LoadChunk(ref ChunkRef, value []byte, revision uint64, now int64) error {
	if err := j.loadChunk(ref, value, revision, now); err != nil {
		return fmt.Errorf("job %s: chunk %d of %d tasks: %w", j.ID, ref.Index, ref.ChunkSize, err)
	}
	return nil
}

func (j *Job) loadChunk(ref ChunkRef, value []byte, revision uint64, now int64) error {
	if !ValidChunkSize(ref.ChunkSize) || ref.Index < 0 || ref.Index > (len(j.tasks)-1)/ref.ChunkSize {
		return errNoSuchChunk
	}
	var stored storedChunk
	if err := json.Unmarshal(value, &stored); err != nil {
		return err
	}
	done, err := hex.DecodeString(stored.Done)
	if err != nil {
		return err
	}
	// A chunk smaller than the current size shows that the stored format has changed.
	j.SplitChunks(ref.ChunkSize)
	if ref.ChunkSize > j.chunkSize && j.chunkRevisionPointer(ref) == nil {
		numChunks := (len(j.tasks) + ref.ChunkSize - 1) / ref.ChunkSize
		j.olderLayers = append(j.olderLayers, chunkLayer{chunkSize: ref.ChunkSize, revisions: make([]uint64, numChunks)})
	}
	j.loadDone(ref, done, now)
	if err := j.loadPlacements(ref, stored.Placed, now); err != nil {
		return err
	}
	if ref.Index == 0 && !j.overridden(0, ref.ChunkSize) {
		j.TrialDone = stored.TrialDone
	}
	j.loadCounters(ref, &stored, revision)
	j.SetChunkRevision(ref, revision)
	return nil
}

// tasksOf returns the range of a chunk's tasks, from first to before end.
func (j *Job) tasksOf(ref ChunkRef) (first, end int) {
	first = ref.Index * ref.ChunkSize
	return first, min(first+ref.ChunkSize, len(j.tasks))
}

// loadDone sets the tasks of a chunk to done or not done as in the bitmap, without placements.
// Tasks that a smaller chunk overrides stay unchanged.
func (j *Job) loadDone(ref ChunkRef, done []byte, now int64) {
	first, end := j.tasksOf(ref)
	for i := first; i < end; i++ {
		if j.overridden(i, ref.ChunkSize) {
			continue
		}
		bit := i - first
		isDone := bit/8 < len(done) && done[bit/8]&(1<<(bit%8)) != 0
		j.restoreTask(i, Task{Done: isDone}, now)
	}
}

// loadPlacements applies the placements of a stored chunk to its tasks, except for tasks that a
// smaller chunk overrides.
func (j *Job) loadPlacements(ref ChunkRef, placed map[string][]uint32, now int64) error {
	first, end := j.tasksOf(ref)
	for machine, numbers := range placed {
		for k := 0; k+1 < len(numbers); k += 2 {
			i, attempt := int(numbers[k]), numbers[k+1]
			if i < first || i >= end {
				return fmt.Errorf("task %d: %w", i, errForeignTask)
			}
			if j.overridden(i, ref.ChunkSize) {
				continue
			}
			t := &j.tasks[i]
			if t.Machine != "" {
				return fmt.Errorf("task %d: %w", i, errPlacedTwice)
			}
			j.restoreTask(i, Task{Done: t.Done, Machine: machine, Attempt: attempt}, now)
		}
	}
	return nil
}

// loadCounters takes over the attempt number and the log sequence number of a stored chunk.
func (j *Job) loadCounters(ref ChunkRef, stored *storedChunk, revision uint64) {
	first, end := j.tasksOf(ref)
	for n := first / j.chunkSize; n*j.chunkSize < end; n++ {
		c := &j.chunks[n]
		switch {
		case ref.ChunkSize == j.chunkSize:
			*c = Chunk{Revision: revision, attempt: stored.Attempt, seq: stored.Seq}
		case !j.overridden(n*j.chunkSize, ref.ChunkSize):
			// An attempt number must be higher than all earlier ones.
			c.attempt, c.seq = max(c.attempt, stored.Attempt), stored.Seq
		}
	}
}
