// Package jobstate holds the state of jobs: their specifications, which of their tasks are
// done, and where attempts are placed. A job's progress is stored in chunks of tasks, one
// value each, so that a job of any size fits within the state service's limits and a change
// rewrites only a small part.
package jobstate

import "github.com/RoaringBitmap/roaring/v2"

// DefaultChunkSize is the number of tasks per stored chunk in the first format of stored
// data. Even with every task placed on a different machine, a chunk stays below 8 KiB. Later
// formats split a chunk into parts, see Job.SplitChunks.
const DefaultChunkSize = 256

// Job is a job and its tasks.
type Job struct {
	*Spec
	Revision uint64
	Arrival  uint64
	tasks    []Task
	// end is the end of the job, the zero value while the job is unfinished.
	end KnownEnd
	// unplaced are the tasks that are neither done nor placed, placed those that are
	// placed. With them a planning round finds a few tasks of a job without a scan of up
	// to 100,000.
	unplaced, placed *roaring.Bitmap
	// chunks have chunkSize tasks each. olderLayers are the stored chunks of larger sizes,
	// which are valid for tasks of which no smaller chunk has been stored.
	chunkSize   int
	chunks      []Chunk
	olderLayers []chunkLayer
	// NumDone, NumPlaced and NumRunning are the numbers of tasks in these states, updated
	// with every change.
	NumDone, NumPlaced, NumRunning int
	// doneAndPlaced is the number of tasks that are done and still have a placement. It is
	// updated with every change, as counting on demand would need a scan of all tasks.
	doneAndPlaced int
	// TrialDone reports whether the job has used its trial run.
	TrialDone bool
	// SubmittedWall is the time of day of the submission in microseconds, SubmittedAt the
	// same on this controller's monotonic clock.
	SubmittedWall int64
	SubmittedAt   int64
	// ReadyAt is the earliest time at which the job could have been started, on the
	// monotonic clock: its submission, or the end of the last of its dependencies.
	ReadyAt int64
	// UnmetDependencies are the IDs of dependencies that are not known to be done.
	UnmetDependencies map[string]struct{}
	// Truncated reports whether the specification of the ended job was cut down to fit
	// its stored record, see Record.Truncated.
	Truncated bool
	// EffectivePriority is the priority used for planning. EffectiveDeadline is the latest
	// end that meets the deadlines of the job and of all jobs that depend on it, 0 for
	// none. See DependencyGraph.InheritPriorities.
	EffectivePriority int
	EffectiveDeadline int64
	// DependenciesEndedWall is the time of day of the latest end of a dependency.
	DependenciesEndedWall int64
	// visitedRound is the number of the last traversal of the DependencyGraph that visited
	// the job.
	visitedRound int
	// EndPending reports whether the leader is writing the job's end.
	EndPending bool
	// NotBefore is the earliest time of the next start after failures of tasks, Failures
	// the number of these failures.
	NotBefore int64
	Failures  int
	// FailedOn are the machines on which tasks of the job failed.
	FailedOn map[string]bool
}

// NewJob returns a job without progress.
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

// Outcome returns the outcome of the job, "" while it is unfinished.
func (j *Job) Outcome() string { return j.end.Outcome }

// End returns the end of the job, with an outcome of "" while it is unfinished.
func (j *Job) End() KnownEnd { return j.end }

// RecordEnd records how the job has ended, and reports whether it was unfinished until now.
func (j *Job) RecordEnd(end KnownEnd) (hasJustEnded bool) {
	if j.Outcome() == "" {
		j.end = end
		return true
	}
	j.end = j.end.preferStored(end)
	return false
}

// IsBlocked reports whether the job waits for dependencies.
func (j *Job) IsBlocked() bool { return len(j.UnmetDependencies) > 0 }

// Task returns task i, or nil if the job has no such task.
func (j *Job) Task(i int) *Task {
	if i < 0 || i >= len(j.tasks) {
		return nil
	}
	return &j.tasks[i]
}

// IsPartiallyPlaced reports whether the job is an unfinished gang that has both placed and
// unplaced tasks. This happens when some tasks of its attempt are gone.
func (j *Job) IsPartiallyPlaced() bool {
	return j.Kind == Gang && j.Outcome() == "" && j.NumPlaced > 0 && j.Unplaced() > 0
}

// NumChunks returns the number of chunks.
func (j *Job) NumChunks() int { return len(j.chunks) }

// Chunk returns chunk c.
func (j *Job) Chunk(c int) *Chunk { return &j.chunks[c] }

// Unplaced returns the number of tasks that are neither done nor placed.
func (j *Job) Unplaced() int {
	return len(j.tasks) - j.NumDone - j.NumPlaced + j.doneAndPlaced
}

// NextUnplaced returns the first unplaced task at or after index from, or -1.
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
	// This iterates over a copy and checks each task, because f may remove placements.
	for _, i := range j.placed.ToArray() {
		if t := &j.tasks[i]; t.Machine != "" {
			f(int(i), t)
		}
	}
}

// reindex updates the membership of task i in the bitmaps of placed and unplaced tasks.
func (j *Job) reindex(i int) {
	t := &j.tasks[i]
	setMember := func(set *roaring.Bitmap, isMember bool) {
		if isMember {
			set.Add(uint32(i))
		} else {
			set.Remove(uint32(i))
		}
	}
	setMember(j.placed, t.Machine != "")
	setMember(j.unplaced, t.Machine == "" && !t.Done)
}

// NextAttempt returns an attempt number higher than those of all earlier attempts of any task.
func (j *Job) NextAttempt() uint32 {
	var highest uint32
	for i := range j.chunks {
		highest = max(highest, j.chunks[i].attempt)
	}
	return highest + 1
}

// PlaceTask places an attempt of task i on a machine. The attempt may start once the placement
// is stored, in the task's chunk or in the progress log.
func (j *Job) PlaceTask(i int, machine string, attempt uint32, now int64) {
	t, c := &j.tasks[i], &j.chunks[i/j.chunkSize]
	j.markTaskDirty(i, now)
	*t = Task{Machine: machine, Attempt: attempt, PlacedAt: now, version: c.version}
	c.hasPlacement = true
	c.attempt = max(c.attempt, attempt)
	j.NumPlaced++
	j.reindex(i)
}

// UnplaceTask removes the placement of task i. The caller must have proof that the attempt has
// ended.
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

// SetDone marks task i as done.
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

// SetTrialDone marks the job's trial run as used. This is stored with the first chunk.
func (j *Job) SetTrialDone(now int64) {
	if !j.TrialDone {
		j.TrialDone = true
		j.chunks[0].needsFullWrite = true
		j.markDirty(&j.chunks[0], now)
	}
}

// SetPhase sets the phase of a placed task, as reported by a heartbeat.
func (j *Job) SetPhase(t *Task, p Phase) {
	if t.Phase >= Running {
		j.NumRunning--
	}
	t.Phase = p
	if p >= Running {
		j.NumRunning++
	}
}
