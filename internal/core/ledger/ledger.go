// Package ledger keeps the jobs: their specifications, which of their tasks
// are done, and where attempts are placed. A job's progress is stored in
// chunks of tasks, one value each, so that a job of any size fits the state
// service's limits and a change rewrites little.
package ledger

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
)

// ChunkTasks is how many tasks share one stored value in the first format of
// stored data. With its placements spread over as many machines as tasks, a
// chunk still stays below 8 KiB. Later formats split a chunk into parts, see
// Split.
const ChunkTasks = 256

// MaxTasks is the largest job.
const MaxTasks = 100_000

// Priorities of jobs.
const (
	Idle = iota
	Normal
	Urgent
	Production
)

// Kind says how a job's tasks belong together.
type Kind string

// The kinds of jobs.
const (
	Array   Kind = "array"
	Gang    Kind = "gang"
	Service Kind = "service"
)

// Vec is an amount of a machine, in thousandths of a CPU, GPU or GB.
type Vec struct {
	CPU int64 `json:"c"`
	GPU int64 `json:"g"`
	Mem int64 `json:"m"`
}

// Add is by component, as Sub and Times are.
func (v Vec) Add(o Vec) Vec { return Vec{v.CPU + o.CPU, v.GPU + o.GPU, v.Mem + o.Mem} }

// Sub is v less o.
func (v Vec) Sub(o Vec) Vec { return Vec{v.CPU - o.CPU, v.GPU - o.GPU, v.Mem - o.Mem} }

// Times is v n times.
func (v Vec) Times(n int64) Vec { return Vec{v.CPU * n, v.GPU * n, v.Mem * n} }

// Fits says whether v is within o.
func (v Vec) Fits(o Vec) bool { return v.CPU <= o.CPU && v.GPU <= o.GPU && v.Mem <= o.Mem }

// Weight makes work on amounts of different kinds comparable: by GPUs, where
// there are any.
func (v Vec) Weight() int64 { return max(v.GPU, v.CPU/8) }

// Spec is a job as its user described it. Durations are microseconds.
type Spec struct {
	ID         string   `json:"id"`
	Class      string   `json:"cl"`
	Team       string   `json:"tm"`
	Kind       Kind     `json:"k"`
	Priority   int      `json:"pr"`
	Tasks      int      `json:"n"`
	Need       Vec      `json:"v"`
	Types      []string `json:"ty,omitempty"`
	Zone       string   `json:"z,omitempty"`
	OneZone    bool     `json:"oz,omitempty"`
	Spread     bool     `json:"sp,omitempty"`
	Spot       bool     `json:"bo,omitempty"`
	Image      string   `json:"im,omitempty"`
	ImageMB    int64    `json:"mb,omitempty"`
	Estimate   int64    `json:"es,omitempty"`
	Checkpoint int64    `json:"ck,omitempty"`
	Save       int64    `json:"sv,omitempty"`
	Deadline   int64    `json:"dl,omitempty"`
	// Awaits are the jobs that have to be done before any task starts.
	Awaits []string `json:"aw,omitempty"`
	// Sweep is the sweep that the job is a run of, and Run its number there.
	Sweep string `json:"sw,omitempty"`
	Run   int    `json:"sn,omitempty"`
}

// FetchTime is how long a machine that lacks the job's image takes to get it,
// at so many MB a second.
func (s *Spec) FetchTime(rate int64) int64 {
	if rate <= 0 {
		return 0
	}
	return s.ImageMB * 1_000_000 / rate
}

// Allows says whether a task may ever be on a machine of a type, zone, kind
// and size.
func (s *Spec) Allows(typ, zone string, spot bool, size Vec) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot) && s.Need.Fits(size)
}

// Outcomes of a job; the empty one is unfinished.
const (
	Done      = "done"
	Cancelled = "cancelled"
)

// Record is the stored value of a job: its specification, its place in the
// order of arrival, and its outcome once it has one but is not cleaned up.
type Record struct {
	Spec    *Spec  `json:"s"`
	Arrival uint64 `json:"a,omitempty"`
	Over    string `json:"o,omitempty"`
	// Submitted is the time of day in microseconds, which lies within the
	// settings' bound; deadlines are judged by it, and nothing else.
	Submitted int64 `json:"t,omitempty"`
	// Brief: of the specification only what the rest of an ended job's life
	// needs is left, as the whole did not fit.
	Brief bool `json:"b,omitempty"`
}

// Value encodes the record within limit bytes, where that can be done.
func (r Record) Value(limit int) []byte {
	b := Encode(r)
	if len(b) > limit && r.Over != "" {
		// A record from before the limits fell: its job is over, so nothing
		// of it is started again.
		s := r.Spec
		r.Brief = true
		r.Spec = &Spec{ID: s.ID, Team: s.Team, Kind: s.Kind, Priority: s.Priority, Tasks: s.Tasks, Need: s.Need}
		b = Encode(r)
	}
	return b
}

// Encode makes a stored value of a plain struct, map or list.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // those always encode
	}
	return b
}

// End is the stored value of a job's end.
type End struct {
	Outcome string `json:"o"`
	Tasks   int    `json:"n"`
	// At is the time of day in microseconds; the waits of jobs that need this
	// one count from it. The first format has none.
	At int64 `json:"t,omitempty"`
}

// Phase is what is known of an attempt on its machine.
type Phase uint8

// The phases of an attempt, in their order.
const (
	Unseen Phase = iota
	Fetching
	Waiting
	Running
	Saving
)

// Task is one task. Machine is empty while it is placed nowhere.
type Task struct {
	Machine string
	Attempt uint32
	Done    bool
	// Stored: the placement is in the state service, so run may be sent.
	Stored bool
	// Sent: a run may have been sent, by this leader or an earlier one.
	Sent bool
	// Seen: a report under this leader has shown the attempt.
	Seen bool
	// version of the chunk that first has the placement.
	version uint64
	Phase   Phase
	// Trial: the attempt is the job's trial run.
	Trial bool
	// Since is when the attempt was placed, Started when it was seen
	// running, both on the leader's steady clock.
	Since, Started int64
	// Stop is why the attempt is to be stopped, StopAt since when.
	Stop   string
	Grace  int64
	StopAt int64
}

// Chunk is the stored unit of progress.
type Chunk struct {
	Stamp   uint64
	dirty   bool
	version uint64
	flying  bool
	// placing: a placement waits to be stored, and with it a start.
	placing bool
	attempt uint32
	Queued  int64 // when it became dirty
	// seq is the number of the log's first entry that the stored value does
	// not have; taken is the same of the value under way.
	seq, taken uint64
	// changed are the tasks that changed since the last write was taken, flown
	// those of the write under way; whole says that they are not all.
	changed, flown []int32
	whole, full    bool // full: the write under way has all
}

// Job is a job and its tasks.
type Job struct {
	*Spec
	Stamp   uint64
	Arrival uint64
	Over    string
	tasks   []Task
	// open are the tasks that are neither done nor placed, placed those that
	// are placed: a round must not walk 100,000 tasks to find a few.
	open, placed *roaring.Bitmap
	// chunks are of span tasks each; older are the stored values of larger
	// spans, which hold for the tasks that no chunk has been stored of.
	span   int
	chunks []Chunk
	older  []layer
	// counters kept in step with tasks
	NumDone, NumPlaced, NumRunning int
	// overlap counts tasks that are done while their placement still stands;
	// counting them anew for every question would cost a walk of all tasks.
	overlap int
	// Tried: the job's trial is behind it.
	Tried bool
	// Submitted is the time of day of the submission, Born the same on this
	// controller's steady clock.
	Submitted int64
	Born      int64
	// Known is when the job could first have been started, on the same clock:
	// its submission, or the end of the last job that it needs.
	Known int64
	// Needs are the awaited jobs that are not known to be done.
	Needs map[string]struct{}
	// Derived: the job is over because one that it needs is cancelled, and its
	// own end is not stored yet.
	Derived bool
	// Brief: the specification is what is left of an ended job's.
	Brief bool
	// Rank is the priority that the job is treated as having, and LastEnd the
	// latest end that keeps all deadlines behind it, 0 for none; see Inherit.
	Rank    int
	LastEnd int64
	// Released is the time of day of the newest end of a job that it awaits.
	Released int64
	seen     int
	// Closing: the end is being written by the leader.
	Closing bool
	// NotBefore delays the next start after failures; Errors counts them.
	NotBefore int64
	Errors    int
	// FailedOn are the machines on which tasks of it failed.
	FailedOn map[string]bool
}

// NewJob makes a job without progress.
func NewJob(s *Spec) *Job {
	j := &Job{Spec: s, Rank: s.Priority, span: ChunkTasks, tasks: make([]Task, s.Tasks), chunks: make([]Chunk, (s.Tasks+ChunkTasks-1)/ChunkTasks),
		open: roaring.New(), placed: roaring.New()}
	j.open.AddRange(0, uint64(s.Tasks))
	return j
}

// Waits says that the job waits for others to be done.
func (j *Job) Waits() bool { return len(j.Needs) > 0 }

// Task returns task i, or nil if the job has no such task.
func (j *Job) Task(i int) *Task {
	if i < 0 || i >= len(j.tasks) {
		return nil
	}
	return &j.tasks[i]
}

// Broken says that some tasks of a gang's attempt are gone and others not.
func (j *Job) Broken() bool {
	return j.Kind == Gang && j.Over == "" && j.NumPlaced > 0 && j.Unplaced() > 0
}

// Chunks is the number of chunks.
func (j *Job) Chunks() int { return len(j.chunks) }

// Chunk returns chunk c.
func (j *Job) Chunk(c int) *Chunk { return &j.chunks[c] }

// Unplaced is how many tasks are neither done nor placed.
func (j *Job) Unplaced() int {
	return len(j.tasks) - j.NumDone - j.NumPlaced + j.overlap
}

// NextUnplaced returns an unplaced task from index from on, or -1.
func (j *Job) NextUnplaced(from int) int {
	it := j.open.Iterator()
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

// sort enters task i where it belongs by what is known of it.
func (j *Job) sort(i int) {
	t := &j.tasks[i]
	enter := func(b *roaring.Bitmap, in bool) {
		if in {
			b.Add(uint32(i))
		} else {
			b.Remove(uint32(i))
		}
	}
	enter(j.placed, t.Machine != "")
	enter(j.open, t.Machine == "" && !t.Done)
}

// NextAttempt is a number that no earlier attempt of any task had.
func (j *Job) NextAttempt() uint32 {
	var a uint32
	for i := range j.chunks {
		a = max(a, j.chunks[i].attempt)
	}
	return a + 1
}

// Place plans an attempt. It may start once its chunk is stored.
func (j *Job) Place(i int, machine string, attempt uint32, now int64) {
	t, c := &j.tasks[i], &j.chunks[i/j.span]
	j.touch(i, now)
	*t = Task{Machine: machine, Attempt: attempt, Since: now, version: c.version}
	c.placing = true
	c.attempt = max(c.attempt, attempt)
	j.NumPlaced++
	j.sort(i)
}

// Clear removes a placement; the caller has proof that the task is gone.
func (j *Job) Clear(i int, now int64) {
	t := &j.tasks[i]
	if t.Machine == "" {
		return
	}
	j.SetPhase(t, Unseen)
	j.touch(i, now)
	j.NumPlaced--
	if t.Done {
		j.overlap--
	}
	*t = Task{Done: t.Done, Attempt: t.Attempt}
	j.sort(i)
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
		j.overlap++
	}
	j.sort(i)
	j.touch(i, now)
}

// SetTried marks the trial as used; it is stored with the first chunk.
func (j *Job) SetTried(now int64) {
	if !j.Tried {
		j.Tried = true
		j.chunks[0].whole = true
		j.mark(&j.chunks[0], now)
	}
}

// SetPhase notes what a report says of a placed task.
func (j *Job) SetPhase(t *Task, p Phase) {
	if t.Phase >= Running {
		j.NumRunning--
	}
	t.Phase = p
	if p >= Running {
		j.NumRunning++
	}
}

func (j *Job) touch(i int, now int64) {
	c := &j.chunks[i/j.span]
	c.changed = append(c.changed, int32(i))
	j.mark(c, now)
}

func (j *Job) mark(c *Chunk, now int64) {
	c.version++
	if !c.dirty {
		c.dirty, c.Queued = true, now
	}
}

// Clean says that all that is known of task i is stored.
func (j *Job) Clean(i int) bool {
	c := &j.chunks[i/j.span]
	return !c.dirty && !c.flying
}

// waits says that the chunk is to be written and no write is under way.
func (c *Chunk) waits() bool { return c.dirty && !c.flying }

// Dirty lists the chunks to be written.
func (j *Job) Dirty() []int {
	var l []int
	for i := range j.chunks {
		if c := &j.chunks[i]; c.waits() {
			l = append(l, i)
		}
	}
	return l
}

// Placing says whether a placement of chunk c waits to be written; otherwise
// what waits is only that tasks have ended.
func (j *Job) Placing(c int) bool { return j.chunks[c].placing }

// AnyPlacing says the same of all chunks that wait to be written.
func (j *Job) AnyPlacing() bool {
	for i := range j.chunks {
		if c := &j.chunks[i]; c.placing && c.waits() {
			return true
		}
	}
	return false
}

// Queued is when the oldest change that waits to be written was made, or 0.
func (j *Job) Queued() int64 {
	var at int64
	for i := range j.chunks {
		if c := &j.chunks[i]; c.waits() && (at == 0 || c.Queued < at) {
			at = c.Queued
		}
	}
	return at
}

// Take encodes chunk c for a write that is about to be sent. seq is the number
// of the log's next entry.
func (j *Job) Take(c int, seq uint64) (value []byte, version uint64) {
	ch := &j.chunks[c]
	ch.take()
	ch.whole, ch.full, ch.taken = false, true, seq
	return j.encode(c), ch.version
}

// Written notes that the write of a version of chunk c is committed.
func (j *Job) Written(c int, version, stamp uint64) {
	ch := &j.chunks[c]
	if ch.full {
		ch.seq, ch.full = ch.taken, false
	}
	ch.flying, ch.Stamp, ch.flown = false, stamp, nil
	lo, hi := j.bounds(c)
	for i := lo; i < hi; i++ {
		if t := &j.tasks[i]; t.Machine != "" && t.version <= version {
			t.Stored = true
		}
	}
}

// Unwritten notes that the write failed or that nobody knows: it has to be
// written again, with the condition on the stamp that is known by then.
func (j *Job) Unwritten(c int) {
	ch := &j.chunks[c]
	ch.flying, ch.dirty, ch.placing = false, true, true
	ch.whole, ch.full = ch.whole || ch.full, false
	ch.changed, ch.flown = append(ch.flown, ch.changed...), nil
}

func (j *Job) bounds(c int) (lo, hi int) {
	lo = c * j.span
	return lo, min(lo+j.span, len(j.tasks))
}

type stored struct {
	Attempt uint32              `json:"a"`
	Done    string              `json:"d,omitempty"`
	Placed  map[string][]uint32 `json:"p,omitempty"`
	Tried   bool                `json:"t,omitempty"`
	// Seq is the number of the log's first entry that this does not have.
	Seq uint64 `json:"q,omitempty"`
}

func (j *Job) encode(c int) []byte {
	lo, hi := j.bounds(c)
	s := stored{Attempt: j.chunks[c].attempt, Tried: j.Tried && c == 0, Seq: j.chunks[c].taken}
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

// TaskName is a task's name on the wire.
func TaskName(job string, i int) string { return job + "/" + strconv.Itoa(i) }

// SplitTask reads a task's name.
func SplitTask(name string) (job string, i int, err error) {
	job, num, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, errors.New("task name without a number")
	}
	i, err = strconv.Atoi(num)
	return job, i, err
}
