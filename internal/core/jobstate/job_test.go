package jobstate

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestChunkRoundTrip stores the chunks of jobs of up to the maximum size, and loads them again.
func TestChunkRoundTrip(t *testing.T) {
	for _, n := range []int{1, DefaultChunkSize, DefaultChunkSize + 1, MaxTasks} {
		j := NewJob(&Spec{ID: "j", Kind: Array, Tasks: n})
		for i := range n {
			switch i % 3 {
			case 0:
				j.PlaceTask(i, fmt.Sprintf("host-%06d", i), 7, 1)
			case 1:
				j.SetDone(i, 1)
			}
		}
		j.SetTrialDone(1)
		loaded := NewJob(j.Spec)
		for _, c := range j.DirtyChunks() {
			v, version := j.BeginChunkWrite(c, 0)
			if len(v) > 8192 {
				t.Errorf("%d tasks: chunk %d has %d bytes, want at most 8192", n, c, len(v))
			}
			j.CommitChunkWrite(c, version, 5)
			if err := loaded.LoadChunk(ChunkRef{DefaultChunkSize, c}, v, 5, 1); err != nil {
				t.Fatalf("%d tasks: LoadChunk(chunk %d) = %v, want no error", n, c, err)
			}
		}
		if len(j.DirtyChunks()) != 0 || loaded.NumDone != j.NumDone || loaded.NumPlaced != j.NumPlaced || !loaded.TrialDone || loaded.NextAttempt() != j.NextAttempt() || loaded.Unplaced() != j.Unplaced() {
			t.Errorf("%d tasks loaded: got %d done, %d placed, %d unplaced, trial done %v, next attempt %d, want %d, %d, %d, true, %d; %d chunks still dirty, want 0",
				n, loaded.NumDone, loaded.NumPlaced, loaded.Unplaced(), loaded.TrialDone, loaded.NextAttempt(), j.NumDone, j.NumPlaced, j.Unplaced(), j.NextAttempt(), len(j.DirtyChunks()))
		}
	}
}

// TestPlacementStored checks that a placement counts as stored, so that its start may be sent,
// only after the commit of a write that includes it. A placement that is made while a write is in
// flight is not part of that write.
func TestPlacementStored(t *testing.T) {
	j := NewJob(&Spec{ID: "j", Kind: Array, Tasks: 2})
	j.PlaceTask(0, "a", 1, 1)
	_, version := j.BeginChunkWrite(0, 0)
	j.PlaceTask(1, "b", 1, 1)
	if j.Task(0).Stored || j.IsTaskStored(0) {
		t.Errorf("before the write was committed: task 0 stored %v, chunk clean %v, want both false", j.Task(0).Stored, j.IsTaskStored(0))
	}
	j.CommitChunkWrite(0, version, 3)
	if !j.Task(0).Stored || j.Task(1).Stored || j.IsTaskStored(0) {
		t.Errorf("after the first commit: task 0 stored %v, task 1 stored %v, want true, false; chunk clean %v, want false", j.Task(0).Stored, j.Task(1).Stored, j.IsTaskStored(0))
	}
	j.BeginChunkWrite(0, 0)
	j.AbortChunkWrite(0) // no answer
	if j.Task(1).Stored || len(j.DirtyChunks()) != 1 || j.Chunk(0).Revision != 3 {
		t.Errorf("after the aborted write: task 1 stored %v, %d dirty chunks, revision %d, want false, 1, 3", j.Task(1).Stored, len(j.DirtyChunks()), j.Chunk(0).Revision)
	}
	_, version = j.BeginChunkWrite(0, 0)
	j.CommitChunkWrite(0, version, 4)
	if !j.Task(1).Stored || !j.IsTaskStored(1) {
		t.Errorf("after the repeated write: task 1 stored %v, chunk clean %v, want both true", j.Task(1).Stored, j.IsTaskStored(1))
	}
	j.UnplaceTask(0, 2)
	if j.NumPlaced != 1 || j.IsTaskStored(0) || j.NextAttempt() != 2 {
		t.Errorf("after task 0 was unplaced: %d placed, chunk clean %v, next attempt %d, want 1, false, 2", j.NumPlaced, j.IsTaskStored(0), j.NextAttempt())
	}
}

// TestLoadChunkRejectsInvalid checks that invalid stored chunks are rejected with an error.
func TestLoadChunkRejectsInvalid(t *testing.T) {
	j := NewJob(&Spec{ID: "j", Kind: Array, Tasks: 2})
	for _, v := range []string{`x`, `{"d":"zz"}`, `{"p":{"m":[9,1]}}`} {
		if err := j.LoadChunk(ChunkRef{DefaultChunkSize, 0}, []byte(v), 1, 1); err == nil {
			t.Errorf("chunk %s: loaded without an error, want one", v)
		}
	}
	if err := j.LoadChunk(ChunkRef{DefaultChunkSize, 1}, []byte(`{}`), 1, 1); err == nil {
		t.Error("chunk 1 of a job with one chunk: loaded without an error, want one")
	}
}

// TestPlacedAndUnplacedSets checks that after random changes, including applied log entries, the
// sets of placed and unplaced tasks equal what a scan of all tasks finds.
func TestPlacedAndUnplacedSets(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		j := NewJob(&Spec{ID: "j", Kind: Array, Tasks: 700})
		for step := range 600 {
			i := r.IntN(700)
			switch r.IntN(5) {
			case 0, 1:
				if task := j.Task(i); task.Machine == "" && !task.Done {
					j.PlaceTask(i, "m", j.NextAttempt(), 1)
				}
			case 2:
				j.SetDone(i, 1)
			case 3:
				j.UnplaceTask(i, 1)
			default:
				e := LogEntry{Job: "j", Task: i, Done: r.IntN(2) == 0, Attempt: 9}
				if r.IntN(2) == 0 {
					e.Machine = "n"
				}
				j.ApplyLogEntry(&e, uint64(step), 1)
			}
			from := r.IntN(700)
			want, placed := -1, 0
			for k := 699; k >= 0; k-- {
				task := j.Task(k)
				if k >= from && task.Machine == "" && !task.Done {
					want = k
				}
				if task.Machine != "" {
					placed++
				}
			}
			if got := j.NextUnplaced(from); got != want {
				t.Fatalf("seed %d: next unplaced task from %d: got %d, want %d", seed, from, got, want)
			}
			j.EachPlaced(func(_ int, task *Task) {
				if task.Machine != "" {
					placed--
				}
			})
			if placed != 0 {
				t.Fatalf("seed %d: EachPlaced missed %d placed tasks, want 0", seed, placed)
			}
		}
	}
}
