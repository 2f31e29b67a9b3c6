package jobstate

import (
	"encoding/hex"
)

// Chunk is the stored unit of progress.
type Chunk struct {
	Revision uint64
	dirty    bool
	version  uint64
	inFlight bool
	// hasPlacement: a placement waits to be stored, and with it a start.
	hasPlacement bool
	attempt      uint32
	DirtySince   int64 // when it became dirty
	// seq is the number of the log's first entry that the stored value does
	// not have; inFlightSeq is the same of the value under way.
	seq, inFlightSeq uint64
	// changed are the tasks that changed since the last write began, inFlightChanges
	// those of the write under way; needsFullWrite says that they are not all.
	changed, inFlightChanges     []int32
	needsFullWrite, inFlightFull bool // inFlightFull: the write under way has all
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

// IsTaskStored says that all that is known of task i is stored.
func (j *Job) IsTaskStored(i int) bool {
	c := &j.chunks[i/j.chunkSize]
	return !c.dirty && !c.inFlight
}

// needsWrite says that the chunk is to be written and no write is under way.
func (c *Chunk) needsWrite() bool { return c.dirty && !c.inFlight }

// DirtyChunks lists the chunks to be written.
func (j *Job) DirtyChunks() []int {
	var l []int
	for i := range j.chunks {
		if c := &j.chunks[i]; c.needsWrite() {
			l = append(l, i)
		}
	}
	return l
}

// HasPlacementToWrite says whether a placement of chunk c waits to be written; otherwise
// what waits is only that tasks have ended.
func (j *Job) HasPlacementToWrite(c int) bool { return j.chunks[c].hasPlacement }

// HasAnyPlacementToWrite says the same of all chunks that wait to be written.
func (j *Job) HasAnyPlacementToWrite() bool {
	for i := range j.chunks {
		if c := &j.chunks[i]; c.hasPlacement && c.needsWrite() {
			return true
		}
	}
	return false
}

// DirtySince is when the oldest change that waits to be written was made, or 0.
func (j *Job) DirtySince() int64 {
	var at int64
	for i := range j.chunks {
		if c := &j.chunks[i]; c.needsWrite() && (at == 0 || c.DirtySince < at) {
			at = c.DirtySince
		}
	}
	return at
}

// BeginChunkWrite encodes chunk c for a write that is about to be sent. seq is the number
// of the log's next entry.
func (j *Job) BeginChunkWrite(c int, seq uint64) (value []byte, version uint64) {
	ch := &j.chunks[c]
	ch.beginWrite()
	ch.needsFullWrite, ch.inFlightFull, ch.inFlightSeq = false, true, seq
	return j.encodeChunk(c), ch.version
}

// CommitChunkWrite notes that the write of a version of chunk c is committed.
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

// AbortChunkWrite notes that the write failed or that nobody knows: it has to be
// written again, with the condition on the revision that is known by then.
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
	any := false
	for i := lo; i < hi; i++ {
		t := &j.tasks[i]
		if t.Done {
			bits[(i-lo)/8] |= 1 << ((i - lo) % 8)
			any = true
		}
		if t.Machine != "" {
			if s.Placed == nil {
				s.Placed = make(map[string][]uint32)
			}
			s.Placed[t.Machine] = append(s.Placed[t.Machine], uint32(i), t.Attempt)
		}
	}
	if any {
		s.Done = hex.EncodeToString(bits)
	}
	return Encode(s)
}
