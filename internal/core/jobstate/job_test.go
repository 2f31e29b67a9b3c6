package jobstate

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestChunks stores a job of the largest size and reads it back.
func TestChunks(t *testing.T) {
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
		k := NewJob(j.Spec)
		for _, c := range j.DirtyChunks() {
			v, version := j.BeginChunkWrite(c, 0)
			if len(v) > 8192 {
				t.Errorf("chunk of %d bytes", len(v))
			}
			j.CommitChunkWrite(c, version, 5)
			if err := k.LoadChunk(ChunkRef{DefaultChunkSize, c}, v, 5, 1); err != nil {
				t.Fatal(err)
			}
		}
		if len(j.DirtyChunks()) != 0 || k.NumDone != j.NumDone || k.NumPlaced != j.NumPlaced || !k.TrialDone || k.NextAttempt() != j.NextAttempt() || k.Unplaced() != j.Unplaced() {
			t.Errorf("%d tasks: %d done, %d placed, %d unplaced", n, k.NumDone, k.NumPlaced, k.Unplaced())
		}
	}
}

// TestStored follows what a placement may be used for: a run may follow only
// from a write that had it, whatever was planned while that was under way.
func TestStored(t *testing.T) {
	j := NewJob(&Spec{ID: "j", Kind: Array, Tasks: 2})
	j.PlaceTask(0, "a", 1, 1)
	_, version := j.BeginChunkWrite(0, 0)
	j.PlaceTask(1, "b", 1, 1)
	if j.Task(0).Stored || j.IsTaskStored(0) {
		t.Error("stored before the answer")
	}
	j.CommitChunkWrite(0, version, 3)
	if !j.Task(0).Stored || j.Task(1).Stored || j.IsTaskStored(0) {
		t.Error("only what the write had is stored")
	}
	j.BeginChunkWrite(0, 0)
	j.AbortChunkWrite(0) // no answer
	if j.Task(1).Stored || len(j.DirtyChunks()) != 1 || j.Chunk(0).Revision != 3 {
		t.Error("an unknown write counts for nothing and is repeated")
	}
	_, version = j.BeginChunkWrite(0, 0)
	j.CommitChunkWrite(0, version, 4)
	if !j.Task(1).Stored || !j.IsTaskStored(1) {
		t.Error("stored by the repeat")
	}
	j.UnplaceTask(0, 2)
	if j.NumPlaced != 1 || j.IsTaskStored(0) || j.NextAttempt() != 2 {
		t.Error("cleared, and its attempt is not used again")
	}
}

// TestLoadRefuses keeps nonsense in the state service from doing harm.
func TestLoadRefuses(t *testing.T) {
	j := NewJob(&Spec{ID: "j", Kind: Array, Tasks: 2})
	for _, v := range []string{`x`, `{"d":"zz"}`, `{"p":{"m":[9,1]}}`} {
		if err := j.LoadChunk(ChunkRef{DefaultChunkSize, 0}, []byte(v), 1, 1); err == nil {
			t.Errorf("%s is accepted", v)
		}
	}
	if err := j.LoadChunk(ChunkRef{DefaultChunkSize, 1}, []byte(`{}`), 1, 1); err == nil {
		t.Error("a chunk that the job does not have is accepted")
	}
}

// TestOpen: whatever is done to a job's tasks, the sets of placed and of open
// ones are what going through all tasks finds, also after its values are read.
func TestOpen(t *testing.T) {
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
				t.Fatalf("seed %d: the next open task from %d is %d, want %d", seed, from, got, want)
			}
			j.EachPlaced(func(_ int, task *Task) {
				if task.Machine != "" {
					placed--
				}
			})
			if placed != 0 {
				t.Fatalf("seed %d: %d placed tasks were left out", seed, placed)
			}
		}
	}
}
