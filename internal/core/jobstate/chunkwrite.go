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
	// include; inFlightSeq is the same for the value in flight.
	seq, inFlightSeq uint64
	// changed are the tasks that changed since the last write began, inFlightChanges those
	// of the write in flight. needsFullWrite reports whether the chunk has changes that
	// changed does not list.
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
	var l []int
	for i := range j.chunks {
		if c := &j.chunks[i]; c.needsWrite() {
			l = append(l, i)
		}
	}
	return l
}

// HasPlacementToWrite reports whether a placement of chunk c waits to be written. Otherwise
// any changes that wait are only ends of tasks.
func (j *Job) HasPlacementToWrite(c int) bool { return j.chunks[c].hasPlacement }

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

// DirtySince returns when the oldest change that waits to be written was made, 0 if there is
// none.
func (j *Job) DirtySince() int64 {
	var at int64
	for i := range j.chunks {
		if c := &j.chunks[i]; c.needsWrite() && (at == 0 || c.DirtySince < at) {
			at = c.DirtySince
		}
	}
	return at
}

// BeginChunkWrite encodes chunk c for a write that is about to be sent. seq is the sequence
// number of the next log entry.
func (j *Job) BeginChunkWrite(c int, seq uint64) (value []byte, version uint64) {
	ch := &j.chunks[c]
	ch.beginWrite()
	ch.needsFullWrite, ch.inFlightFull, ch.inFlightSeq = false, true, seq
	return j.encodeChunk(c), ch.version
}

// CommitChunkWrite records that the write of a version of chunk c is committed.
func (j *Job) CommitChunkWrite(c int, version, revision uint64) {
	ch := &j.chunks[c]
	if ch.inFlightFull {
		ch.seq, ch.inFlightFull = ch.inFlightSeq, false
	}
	ch.inFlight, ch.Revision, ch.inFlightChanges = false, revision, nil
	lo, hi := j.taskRange(c)
	for i := lo; i < hi; i++ {
		if t := &j.tasks[i]; t.Machine != "" && t.version <= version {
			t.Stored = true
		}
	}
}

// AbortChunkWrite records that the write of chunk c failed or that its outcome is unknown. The
// chunk has to be written again, conditional on the revision that is known by then.
func (j *Job) AbortChunkWrite(c int) {
	ch := &j.chunks[c]
	ch.inFlight, ch.dirty, ch.hasPlacement = false, true, true
	ch.needsFullWrite, ch.inFlightFull = ch.needsFullWrite || ch.inFlightFull, false
	ch.changed, ch.inFlightChanges = append(ch.inFlightChanges, ch.changed...), nil
}

func (j *Job) taskRange(c int) (lo, hi int) {
	lo = c * j.chunkSize
	return lo, min(lo+j.chunkSize, len(j.tasks))
}

func (j *Job) encodeChunk(c int) []byte {
	lo, hi := j.taskRange(c)
	s := storedChunk{Attempt: j.chunks[c].attempt, TrialDone: j.TrialDone && c == 0, Seq: j.chunks[c].inFlightSeq}
	bits := make([]byte, (hi-lo+7)/8)
	anyDone := false
	for i := lo; i < hi; i++ {
		t := &j.tasks[i]
		if t.Done {
			bits[(i-lo)/8] |= 1 << ((i - lo) % 8)
			anyDone = true
		}
		if t.Machine != "" {
			if s.Placed == nil {
				s.Placed = make(map[string][]uint32)
			}
			s.Placed[t.Machine] = append(s.Placed[t.Machine], uint32(i), t.Attempt)
		}
	}
	if anyDone {
		s.Done = hex.EncodeToString(bits)
	}
	return Encode(s)
}
