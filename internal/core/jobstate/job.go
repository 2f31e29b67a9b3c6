// Package jobstate keeps the jobs: their specifications, which of their tasks
// are done, and where attempts are placed. A job's progress is stored in
// chunks of tasks, one value each, so that a job of any size fits the state
// service's limits and a change rewrites little.
package jobstate

import "github.com/RoaringBitmap/roaring/v2"

// DefaultChunkSize is how many tasks share one stored value in the first format of
// stored data. With its placements spread over as many machines as tasks, a
// chunk still stays below 8 KiB. Later formats split a chunk into parts, see
// Job.SplitChunks.
const DefaultChunkSize = 256

// Job is a job and its tasks.
type Job struct {
	*Spec
	Revision uint64
	Arrival  uint64
	tasks    []Task
	// end is how the job has ended, the zero value while it is unfinished.
	end KnownEnd
	// unplaced are the tasks that are neither done nor placed, placed those that
	// are placed: a planning round must not walk 100,000 tasks to find a few.
	unplaced, placed *roaring.Bitmap
	// chunks are of chunkSize tasks each; olderLayers are the stored values of larger
	// sizes, which hold for the tasks that no chunk has been stored of.
	chunkSize   int
	chunks      []Chunk
	olderLayers []chunkLayer
	// NumDone and the others count tasks, and are kept in step with them.
	NumDone, NumPlaced, NumRunning int
	// doneAndPlaced counts tasks that are done while their placement still stands;
	// counting them anew for every question would cost a walk of all tasks.
	doneAndPlaced int
	// TrialDone: the job's trial is behind it.
	TrialDone bool
	// SubmittedWall is the time of day of the submission, SubmittedAt the same on this
	// controller's steady clock.
	SubmittedWall int64
	SubmittedAt   int64
	// ReadyAt is when the job could first have been started, on the same clock:
	// its submission, or the end of the last job that it needs.
	ReadyAt int64
	// UnmetDependencies are the awaited jobs that are not known to be done.
	UnmetDependencies map[string]struct{}
	// Truncated: the specification is what is left of an ended job's.
	Truncated bool
	// EffectivePriority is the priority that the job is treated as having, and
	// EffectiveDeadline the latest end that keeps the deadlines of all that depend on it,
	// 0 for none.
	EffectivePriority int
	EffectiveDeadline int64
	// DependenciesEndedWall is the time of day of the newest end of a job that it awaits.
	DependenciesEndedWall int64
	visitedRound          int
	// EndPending: the end is being written by the leader.
	EndPending bool
	// NotBefore delays the next start after failures; Failures counts them.
	NotBefore int64
	Failures  int
	// FailedOn are the machines on which tasks of it failed.
	FailedOn map[string]bool
}

// NewJob makes a job without progress.
func NewJob(s *Spec) *Job {
	j := &Job{
		Spec:              s,
		EffectivePriority: s.Priority,
		chunkSize:         DefaultChunkSize,
		tasks:             make([]Task, s.Tasks),
		chunks:            make([]Chunk, (s.Tasks+DefaultChunkSize-1)/DefaultChunkSize),
		unplaced:          roaring.New(),
		placed:            roaring.New(),
	}
	j.unplaced.AddRange(0, uint64(s.Tasks))
	return j
}

// Outcome is how the job has ended, "" while it is unfinished.
func (j *Job) Outcome() string { return j.end.Outcome }

// End is how the job has ended, with an outcome of "" while it is unfinished.
func (j *Job) End() KnownEnd { return j.end }

// RecordEnd notes how the job has ended, and says whether it was unfinished until now.
func (j *Job) RecordEnd(end KnownEnd) (hasJustEnded bool) {
	if j.Outcome() == "" {
		j.end = end
		return true
	}
	j.end = j.end.better(end)
	return false
}

// IsBlocked says that the job waits for others to be done.
func (j *Job) IsBlocked() bool { return len(j.UnmetDependencies) > 0 }

// Task returns task i, or nil if the job has no such task.
func (j *Job) Task(i int) *Task {
	if i < 0 || i >= len(j.tasks) {
		return nil
	}
	return &j.tasks[i]
}

// IsPartiallyPlaced says that some tasks of a gang's attempt are gone and others not.
func (j *Job) IsPartiallyPlaced() bool {
	return j.Kind == Gang && j.Outcome() == "" && j.NumPlaced > 0 && j.Unplaced() > 0
}

// NumChunks is the number of chunks.
func (j *Job) NumChunks() int { return len(j.chunks) }

// Chunk returns chunk c.
func (j *Job) Chunk(c int) *Chunk { return &j.chunks[c] }

// Unplaced is how many tasks are neither done nor placed.
func (j *Job) Unplaced() int {
	return len(j.tasks) - j.NumDone - j.NumPlaced + j.doneAndPlaced
}

// NextUnplaced returns an unplaced task from index from on, or -1.
func (j *Job) NextUnplaced(from int) int {
	it := j.unplaced.Iterator()
	it.AdvanceIfNeeded(uint32(from))
	if !it.HasNext() {
		return -1
	}
	return int(it.Next())
}

// EachPlaced calls f for every placed task.
func (j *Job) EachPlaced(f func(i int, t *Task)) {
	// f may clear what it is called for.
	for _, i := range j.placed.ToArray() {
		if t := &j.tasks[i]; t.Machine != "" {
			f(int(i), t)
		}
	}
}

// reindex enters task i where it belongs by what is known of it.
func (j *Job) reindex(i int) {
	t := &j.tasks[i]
	enter := func(b *roaring.Bitmap, in bool) {
		if in {
			b.Add(uint32(i))
		} else {
			b.Remove(uint32(i))
		}
	}
	enter(j.placed, t.Machine != "")
	enter(j.unplaced, t.Machine == "" && !t.Done)
}

// NextAttempt is a number that no earlier attempt of any task had.
func (j *Job) NextAttempt() uint32 {
	var a uint32
	for i := range j.chunks {
		a = max(a, j.chunks[i].attempt)
	}
	return a + 1
}

// PlaceTask plans an attempt. It may start once its chunk is stored.
func (j *Job) PlaceTask(i int, machine string, attempt uint32, now int64) {
	t, c := &j.tasks[i], &j.chunks[i/j.chunkSize]
	j.markTaskDirty(i, now)
	*t = Task{Machine: machine, Attempt: attempt, PlacedAt: now, version: c.version}
	c.hasPlacement = true
	c.attempt = max(c.attempt, attempt)
	j.NumPlaced++
	j.reindex(i)
}

// UnplaceTask removes a placement; the caller has proof that the task is gone.
func (j *Job) UnplaceTask(i int, now int64) {
	t := &j.tasks[i]
	if t.Machine == "" {
		return
	}
	j.SetPhase(t, Unconfirmed)
	j.markTaskDirty(i, now)
	j.NumPlaced--
	if t.Done {
		j.doneAndPlaced--
	}
	*t = Task{Done: t.Done, Attempt: t.Attempt}
	j.reindex(i)
}

// SetDone marks a task complete.
func (j *Job) SetDone(i int, now int64) {
	t := &j.tasks[i]
	if t.Done {
		return
	}
	t.Done = true
	j.NumDone++
	if t.Machine != "" {
		j.doneAndPlaced++
	}
	j.reindex(i)
	j.markTaskDirty(i, now)
}

// SetTrialDone marks the trial as used; it is stored with the first chunk.
func (j *Job) SetTrialDone(now int64) {
	if !j.TrialDone {
		j.TrialDone = true
		j.chunks[0].needsFullWrite = true
		j.markDirty(&j.chunks[0], now)
	}
}

// SetPhase notes what a heartbeat says of a placed task.
func (j *Job) SetPhase(t *Task, p Phase) {
	if t.Phase >= Running {
		j.NumRunning--
	}
	t.Phase = p
	if p >= Running {
		j.NumRunning++
	}
}
