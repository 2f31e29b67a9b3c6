package jobstate

import (
	"encoding/hex"
)

// Chunk is a range of a job's tasks whose progress is stored as one value, and the state of
// its writes.
type Chunk struct {
	Revision uint64
	dirty    bool
	version  uint64
	inFlight bool
	// hasPlacement reports whether a placement, and with it the start of a task, waits to be
	// stored.
	hasPlacement bool
	attempt      uint32
	DirtySince   int64 // when it became dirty
	// seq is the sequence number of the first log entry that the stored value does not
	// include, inFlightSeq that of the first one that the value in flight does not include.
	seq, inFlightSeq uint64
	// changed lists the tasks that have changed since the last write began, inFlightChanges
	// the changed tasks that the write in flight includes. needsFullWrite reports whether
	// the chunk has changes that are not listed in changed.
	changed, inFlightChanges     []int32
	needsFullWrite, inFlightFull bool // inFlightFull: whole chunk in flight
}

func (j *Job) markTaskDirty(i int, now int64) {
	c := &j.chunks[i/j.chunkSize]
	c.changed = append(c.changed, int32(i))
	j.markDirty(c, now)
}

func (j *Job) markDirty(c *Chunk, now int64) {
	c.version++
	if !c.dirty {
		c.dirty, c.DirtySince = true, now
	}
}

// IsTaskStored reports whether the current state of task i is stored.
func (j *Job) IsTaskStored(i int) bool {
	c := &j.chunks[i/j.chunkSize]
	return !c.dirty && !c.inFlight
}

// needsWrite reports whether the chunk has changes to write and no write is in flight.
func (c *Chunk) needsWrite() bool { return c.dirty && !c.inFlight }

// DirtyChunks returns the indices of the chunks that need a write.
func (j *Job) DirtyChunks() []int {
	var indices []int
	for i := range j.chunks {
		if c := &j.chunks[i]; c.needsWrite() {
			indices = append(indices, i)
		}
	}
	return indices
}

// HasPlacementToWrite reports whether a placement of the chunk with an index waits to be
// written. If not, all changes that wait are ends of tasks.
func (j *Job) HasPlacementToWrite(index int) bool { return j.chunks[index].hasPlacement }

// HasAnyPlacementToWrite reports whether a placement of any chunk that needs a write waits to
// be written.
func (j *Job) HasAnyPlacementToWrite() bool {
	for i := range j.chunks {
		if c := &j.chunks[i]; c.hasPlacement && c.needsWrite() {
			return true
		}
	}
	return false
}

// DirtySince returns the time of the oldest change that waits to be written, 0 if there is
// none.
func (j *Job) DirtySince() int64 {
	var oldest int64
	for i := range j.chunks {
		if c := &j.chunks[i]; c.needsWrite() && (oldest == 0 || c.DirtySince < oldest) {
			oldest = c.DirtySince
		}
	}
	return oldest
}

// BeginChunkWrite encodes a chunk for a write that is about to be sent. seq is the sequence
// number of the next log entry.
func (j *Job) BeginChunkWrite(index int, seq uint64) (value []byte, version uint64) {
	chunk := &j.chunks[index]
	chunk.beginWrite()
	chunk.needsFullWrite, chunk.inFlightFull, chunk.inFlightSeq = false, true, seq
	return j.encodeChunk(index), chunk.version
}

// CommitChunkWrite records that the write of a version of a chunk is committed.
func (j *Job) CommitChunkWrite(index int, version, revision uint64) {
	chunk := &j.chunks[index]
	if chunk.inFlightFull {
		chunk.seq, chunk.inFlightFull = chunk.inFlightSeq, false
	}
	chunk.inFlight, chunk.Revision, chunk.inFlightChanges = false, revision, nil
	first, end := j.taskRange(index)
	for i := first; i < end; i++ {
		if t := &j.tasks[i]; t.Machine != "" && t.version <= version {
			t.Stored = true
		}
	}
}

// AbortChunkWrite records that the write of a chunk failed or that its outcome is unknown. The
// chunk has to be written again, conditional on the revision that is known by then.
func (j *Job) AbortChunkWrite(index int) {
	chunk := &j.chunks[index]
	chunk.inFlight, chunk.dirty, chunk.hasPlacement = false, true, true
	chunk.needsFullWrite, chunk.inFlightFull = chunk.needsFullWrite || chunk.inFlightFull, false
	chunk.changed, chunk.inFlightChanges = append(chunk.inFlightChanges, chunk.changed...), nil
}

// taskRange returns the range of tasks of a chunk of the current size, from first to before end.
func (j *Job) taskRange(index int) (first, end int) {
	first = index * j.chunkSize
	return first, min(first+j.chunkSize, len(j.tasks))
}

func (j *Job) encodeChunk(index int) []byte {
	first, end := j.taskRange(index)
	stored := storedChunk{Attempt: j.chunks[index].attempt, TrialDone: j.TrialDone && index == 0, Seq: j.chunks[index].inFlightSeq}
	bits := make([]byte, (end-first+7)/8)
	anyDone := false
	for i := first; i < end; i++ {
		t := &j.tasks[i]
		if t.Done {
			bits[(i-first)/8] |= 1 << ((i - first) % 8)
			anyDone = true
		}
		if t.Machine != "" {
			if stored.Placed == nil {
				stored.Placed = make(map[string][]uint32)
			}
			stored.Placed[t.Machine] = append(stored.Placed[t.Machine], uint32(i), t.Attempt)
		}
	}
	if anyDone {
		stored.Done = hex.EncodeToString(bits)
	}
	return Encode(stored)
}
