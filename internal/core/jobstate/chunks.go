package jobstate

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// chunkLayer is a job's stored values of one larger size. A value of a smaller size
// overrides it for its tasks, whatever their revisions: it is only ever written
// by a leader that has read the larger one. So values need not be split
// in one go, and half of a split is as good as the whole.
type chunkLayer struct {
	chunkSize int
	revisions []uint64
}

// ChunkRef names one stored value of a job's progress: number Index of those of ChunkSize
// tasks.
type ChunkRef struct {
	ChunkSize int
	Index     int
}

// ValidChunkSize says whether values may have so many tasks: an even part of the
// first format's.
func ValidChunkSize(size int) bool { return size > 0 && size <= DefaultChunkSize && size&(size-1) == 0 }

// ChunkSize is how many tasks a chunk has.
func (j *Job) ChunkSize() int { return j.chunkSize }

// SplitChunks makes the chunks smaller. What is not stored yet is written anew in
// smaller values; what is stored stands until then. No write may be under way
// but one whose outcome nobody will ask for.
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

// part is a part of a chunk that is split. What a write under way has is not known to be
// stored, so all parts are written again.
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

// StoredChunks lists the values that the state service has, all of which go when the
// job's keys are removed, with their revisions.
func (j *Job) StoredChunks() (refs []ChunkRef, revisions []uint64) {
	for _, l := range j.olderLayers {
		for n, revision := range l.revisions {
			if revision != 0 {
				refs, revisions = append(refs, ChunkRef{ChunkSize: l.chunkSize, Index: n}), append(revisions, revision)
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

// chunkRevisionPointer is where the revision of a value is kept, nil if the job has none
// such.
func (j *Job) chunkRevisionPointer(ref ChunkRef) *uint64 {
	if ref.Index < 0 {
		return nil
	}
	if ref.ChunkSize == j.chunkSize && ref.Index < len(j.chunks) {
		return &j.chunks[ref.Index].Revision
	}
	for i := range j.olderLayers {
		if l := &j.olderLayers[i]; l.chunkSize == ref.ChunkSize && ref.Index < len(l.revisions) {
			return &l.revisions[ref.Index]
		}
	}
	return nil
}

// ChunkRevision is the revision of a stored value, 0 for absent.
func (j *Job) ChunkRevision(ref ChunkRef) uint64 {
	if s := j.chunkRevisionPointer(ref); s != nil {
		return *s
	}
	return 0
}

// SetChunkRevision notes the revision of a value, 0 for its removal.
func (j *Job) SetChunkRevision(ref ChunkRef, revision uint64) {
	if s := j.chunkRevisionPointer(ref); s != nil {
		*s = revision
	}
}

// overridden says whether a value of a smaller size than this is stored for a
// task.
func (j *Job) overridden(i, size int) bool {
	if size > j.chunkSize && j.chunks[i/j.chunkSize].Revision != 0 {
		return true
	}
	for k := range j.olderLayers {
		if l := &j.olderLayers[k]; l.chunkSize < size && l.revisions[i/l.chunkSize] != 0 {
			return true
		}
	}
	return false
}

// Faults of a stored chunk.
var (
	errNoSuchChunk = errors.New("the job has none such")
	errForeignTask = errors.New("a task of another chunk")
	errPlacedTwice = errors.New("placed twice")
)

// LoadChunk replaces what is known of a value's tasks by the stored value.
func (j *Job) LoadChunk(ref ChunkRef, value []byte, revision uint64, now int64) error {
	if err := j.loadChunk(ref, value, revision, now); err != nil {
		return fmt.Errorf("job %s value %d of %d tasks: %w", j.ID, ref.Index, ref.ChunkSize, err)
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
	// Smaller than is known of: the format was changed meanwhile.
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
	j.loadNumbers(ref, &stored, revision)
	j.SetChunkRevision(ref, revision)
	return nil
}

// tasksOf is the range of the tasks that a stored value is of.
func (j *Job) tasksOf(ref ChunkRef) (first, end int) {
	first = ref.Index * ref.ChunkSize
	return first, min(first+ref.ChunkSize, len(j.tasks))
}

// loadDone replaces what is known of a value's tasks by whether they are done.
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

// loadPlacements places a value's tasks where the value has them.
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

// loadNumbers takes over the numbers of attempts and of the log's entries.
func (j *Job) loadNumbers(ref ChunkRef, stored *storedChunk, revision uint64) {
	first, end := j.tasksOf(ref)
	for n := first / j.chunkSize; n*j.chunkSize < end; n++ {
		c := &j.chunks[n]
		switch {
		case ref.ChunkSize == j.chunkSize:
			*c = Chunk{Revision: revision, attempt: stored.Attempt, seq: stored.Seq}
		case !j.overridden(n*j.chunkSize, ref.ChunkSize):
			// An attempt's number must be above all earlier ones.
			c.attempt, c.seq = max(c.attempt, stored.Attempt), stored.Seq
		}
	}
}
