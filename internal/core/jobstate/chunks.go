package jobstate

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// chunkLayer is a job's stored values of one larger span. A value of a smaller span
// overrides it for its tasks, whatever their versions: it is only ever written
// by a leader that has read the larger one. So values need not be split
// in one go, and half of a split is as good as the whole.
type chunkLayer struct {
	chunkSize int
	revisions []uint64
}

// ChunkRef names one stored value of a job's progress: number N of those of so
// many tasks.
type ChunkRef struct{ ChunkSize, Index int }

// ValidChunkSize says whether values may have so many tasks: an even part of the
// first format's.
func ValidChunkSize(span int) bool { return span > 0 && span <= DefaultChunkSize && span&(span-1) == 0 }

// ChunkSize is how many tasks a chunk has.
func (j *Job) ChunkSize() int { return j.chunkSize }

// SplitChunks makes the chunks smaller. What is not stored yet is written anew in
// smaller values; what is stored stands until then. No write may be under way
// but one whose outcome nobody will ask for.
func (j *Job) SplitChunks(span int) {
	if span >= j.chunkSize {
		return
	}
	old, was := j.chunks, j.chunkSize
	l := chunkLayer{chunkSize: was, revisions: make([]uint64, len(old))}
	any := false
	for i := range old {
		l.revisions[i] = old[i].Revision
		any = any || old[i].Revision != 0
	}
	if any {
		j.olderLayers = append(j.olderLayers, l)
	}
	j.chunkSize = span
	j.chunks = make([]Chunk, (len(j.tasks)+span-1)/span)
	for n := range j.chunks {
		o := &old[n*span/was]
		// What a write under way has is not known to be stored, so all of its
		// parts are written again.
		dirty := o.dirty || o.inFlight
		j.chunks[n] = Chunk{dirty: dirty, hasPlacement: dirty, needsFullWrite: dirty, version: o.version + 1, attempt: o.attempt, seq: o.seq, DirtySince: o.DirtySince}
	}
}

// StoredChunks lists the values that the state service has, all of which go when the
// job's keys are removed, with their versions.
func (j *Job) StoredChunks() (values []ChunkRef, stamps []uint64) {
	for _, l := range j.olderLayers {
		for n, stamp := range l.revisions {
			if stamp != 0 {
				values, stamps = append(values, ChunkRef{l.chunkSize, n}), append(stamps, stamp)
			}
		}
	}
	for n := range j.chunks {
		if stamp := j.chunks[n].Revision; stamp != 0 {
			values, stamps = append(values, ChunkRef{j.chunkSize, n}), append(stamps, stamp)
		}
	}
	return values, stamps
}

// chunkRevisionPointer is where the version of a value is kept, nil if the job has none
// such.
func (j *Job) chunkRevisionPointer(v ChunkRef) *uint64 {
	if v.Index < 0 {
		return nil
	}
	if v.ChunkSize == j.chunkSize && v.Index < len(j.chunks) {
		return &j.chunks[v.Index].Revision
	}
	for i := range j.olderLayers {
		if l := &j.olderLayers[i]; l.chunkSize == v.ChunkSize && v.Index < len(l.revisions) {
			return &l.revisions[v.Index]
		}
	}
	return nil
}

// ChunkRevision is the version of a stored value, 0 for absent.
func (j *Job) ChunkRevision(v ChunkRef) uint64 {
	if s := j.chunkRevisionPointer(v); s != nil {
		return *s
	}
	return 0
}

// SetChunkRevision notes the version of a value, 0 for its removal.
func (j *Job) SetChunkRevision(v ChunkRef, stamp uint64) {
	if s := j.chunkRevisionPointer(v); s != nil {
		*s = stamp
	}
}

// overridden says whether a value of a smaller span than this is stored for a
// task.
func (j *Job) overridden(i, span int) bool {
	if span > j.chunkSize && j.chunks[i/j.chunkSize].Revision != 0 {
		return true
	}
	for k := range j.olderLayers {
		if l := &j.olderLayers[k]; l.chunkSize < span && l.revisions[i/l.chunkSize] != 0 {
			return true
		}
	}
	return false
}

// LoadChunk replaces what is known of a value's tasks by the stored value.
func (j *Job) LoadChunk(v ChunkRef, value []byte, stamp uint64, now int64) error {
	fail := func(err error) error {
		return fmt.Errorf("job %s value %d of %d tasks: %w", j.ID, v.Index, v.ChunkSize, err)
	}
	if !ValidChunkSize(v.ChunkSize) || v.Index < 0 || v.Index > (len(j.tasks)-1)/v.ChunkSize {
		return fail(fmt.Errorf("the job has none such"))
	}
	var s storedChunk
	if err := json.Unmarshal(value, &s); err != nil {
		return fail(err)
	}
	bits, err := hex.DecodeString(s.Done)
	if err != nil {
		return fail(err)
	}
	// Smaller than is known of: the format was changed meanwhile.
	j.SplitChunks(v.ChunkSize)
	if v.ChunkSize > j.chunkSize && j.chunkRevisionPointer(v) == nil {
		j.olderLayers = append(j.olderLayers, chunkLayer{chunkSize: v.ChunkSize, revisions: make([]uint64, (len(j.tasks)+v.ChunkSize-1)/v.ChunkSize)})
	}
	lo, hi := v.Index*v.ChunkSize, min((v.Index+1)*v.ChunkSize, len(j.tasks))
	for i := lo; i < hi; i++ {
		if j.overridden(i, v.ChunkSize) {
			continue
		}
		k := i - lo
		j.restoreTask(i, Task{Done: k/8 < len(bits) && bits[k/8]&(1<<(k%8)) != 0}, now)
	}
	for m, l := range s.Placed {
		for k := 0; k+1 < len(l); k += 2 {
			i := int(l[k])
			if i < lo || i >= hi {
				return fail(fmt.Errorf("task %d", i))
			}
			if j.overridden(i, v.ChunkSize) {
				continue
			}
			t := &j.tasks[i]
			if t.Machine != "" {
				return fail(fmt.Errorf("task %d is placed twice", i))
			}
			j.restoreTask(i, Task{Done: t.Done, Machine: m, Attempt: l[k+1]}, now)
		}
	}
	if v.Index == 0 && !j.overridden(0, v.ChunkSize) {
		j.TrialDone = s.TrialDone
	}
	for n := lo / j.chunkSize; n*j.chunkSize < hi; n++ {
		switch c := &j.chunks[n]; {
		case v.ChunkSize == j.chunkSize:
			*c = Chunk{Revision: stamp, attempt: s.Attempt, seq: s.Seq}
		case !j.overridden(n*j.chunkSize, v.ChunkSize):
			// An attempt's number must be above all earlier ones.
			c.attempt, c.seq = max(c.attempt, s.Attempt), s.Seq
		}
	}
	j.SetChunkRevision(v, stamp)
	return nil
}
