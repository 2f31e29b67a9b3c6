package core

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/core/kv"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// commitState is what the committer keeps while this controller leads.
type commitState struct {
	// dirty are the jobs of which something is to be written.
	dirty map[*jobstate.Job]struct{}
	// inFlight: a transaction is under way. conflicts counts the keys that are read
	// again because their revision was not the expected one.
	inFlight  bool
	conflicts int
	notBefore int64
	// chunkTasksWanted is a smaller number of tasks for values that did not fit.
	chunkTasksWanted int
	// backoffUntil has the jobs whose writes were refused or too long; oneByOne says
	// that each is written alone, to find the one that is refused.
	backoffUntil map[*jobstate.Job]int64
	oneByOne     bool
	// logTail is the page that is written to, nextLogEntry the number of the next
	// entry, unneededPages how many pages at the front can go.
	logTail       *logPage
	nextLogEntry  uint64
	unneededPages int
	// keepGarbageUntil puts removals of what is not needed off.
	keepGarbageUntil int64
}

func newCommitState() commitState {
	return commitState{dirty: map[*jobstate.Job]struct{}{}, backoffUntil: map[*jobstate.Job]int64{}}
}

// committer writes what the leader has decided, in transactions that hold only while it leads.
type committer struct {
	*engine

	cache        *stateCache
	dependencies *dependencyResolver
	elector      *elector
	health       *stateHealth
	membership   *membership
	prefetcher   *prefetcher
	requests     *requestHandler
	sweepManager *sweepManager
	tasks        *taskManager
}

// putAsLeader writes a value as a whole, if nothing newer is stored: one of its own
// that got no answer may be executed after later ones.
func (c *committer) putAsLeader(key string, value []byte, done func(TransactionResult)) {
	c.commitTransaction([]Cond{kv.RevisionIs(LeaderKey, c.elector.leadership.keyRevision), kv.RevisionIs(key, c.cache.keyRevisions[key])}, []Write{{Key: key, Value: value}}, func(m TransactionResult) {
		if m.Outcome == kv.Committed {
			c.cache.keyRevisions[key] = max(c.cache.keyRevisions[key], m.Revision)
		}
		done(m)
	})
}

// commitGap is the least time between transactions, to gather changes.
const (
	commitGap       = 60_000
	scarceCommitGap = 200_000
)

// maxTxnBytes stays below the service's 64 KiB for a transaction.
const maxTxnBytes = 44 << 10

func (c *committer) markDirty(j *jobstate.Job) {
	c.elector.leadership.commits.dirty[j] = struct{}{}
}

// forget drops what is to be written of a job whose keys are gone.
func (c *committer) forget(j *jobstate.Job) {
	delete(c.elector.leadership.commits.dirty, j)
	delete(c.elector.leadership.commits.backoffUntil, j)
}

// maxEndDelay is how long the ends of tasks may wait to be written while the
// budget is short. Nothing waits for them: the worker keeps an exited task
// until it is told to forget it, and a new leader learns of it from there.
const maxEndDelay = 4 * second

// commitOrder is what jobs are written in the order of.
type commitOrder struct {
	class          int
	oldestChangeAt int64
}

// commitClass is 0 where a start or a user waits for a job's writes, and else 1.
func commitClass(j *jobstate.Job) int {
	// Of one that is over only keys are left to be removed.
	if j.Outcome == "" && (j.NumDone == j.Tasks || j.HasAnyPlacementToWrite()) {
		return 0
	}
	return 1
}

// chunkWrite is a version of a chunk that is written, as a value or to the log.
type chunkWrite struct {
	chunk   int
	version uint64
	logged  bool
}

// jobWrite is one job's part of a transaction.
type jobWrite struct {
	job              *jobstate.Job
	chunks           []chunkWrite
	writesEnd        bool // writes the end
	writesDerivedEnd bool // writes the end of one that is over by another's
	end              jobstate.End
	removesJob       bool // deletes the job's keys
	removedValues    []jobstate.ChunkRef
}

// commitNow writes as much of what changed as the budget allows: high
// priority first, then what has waited longest. All of it holds only while
// this controller's leadership key stands as it was.
func (c *committer) commitNow() {
	l := c.elector.leadership
	if l == nil || l.commits.inFlight || l.commits.conflicts > 0 || c.now < l.commits.notBefore || len(l.commits.dirty) == 0 && l.commits.unneededPages == 0 && len(c.cache.orphanedChunks) == 0 {
		return
	}
	c.health.refillWrites()
	c.membership.changeChunkSize()
	ops := min(c.membership.limits().TxnOps, int(c.health.writesLeft())-1)
	if ops < 1 {
		return
	}
	jobs := make([]*jobstate.Job, 0, len(l.commits.dirty))
	for j := range l.commits.dirty {
		jobs = append(jobs, j)
	}
	order := make(map[*jobstate.Job]commitOrder, len(jobs))
	for _, j := range jobs {
		order[j] = commitOrder{commitClass(j), c.oldestChange(j)}
	}
	slices.SortFunc(jobs, func(a, b *jobstate.Job) int {
		x, y := order[a], order[b]
		return cmp.Or(cmp.Compare(x.class, y.class), cmp.Compare(b.EffectivePriority, a.EffectivePriority), cmp.Compare(x.oldestChangeAt, y.oldestChangeAt), cmp.Compare(a.Arrival, b.Arrival), cmp.Compare(a.ID, b.ID))
	})
	// While the budget is short, what can wait does so for a while, so that
	// one write takes many tasks' ends.
	scarce := c.health.writesLeft() < c.health.writeRate()/2
	when := []Cond{kv.RevisionIs(LeaderKey, l.keyRevision)}
	var writes []Write
	var items []jobWrite
	size := 0
	pages := &pageWrites{c: c}
	full := func() bool { return size+pages.ops()*c.membership.valueLimit() > maxTxnBytes }
	add := func(w Write, cond Cond) {
		writes = append(writes, w)
		when = append(when, cond)
		size += len(w.Value) + len(w.Key)*2 + 80
	}
	// A run must not be done once its sweep is cancelled, as users may have
	// been told that it is.
	open := map[string]bool{}
	stillOpen := func(j *jobstate.Job) {
		if j.Sweep != "" && !open[j.Sweep] {
			open[j.Sweep] = true
			when = append(when, kv.RevisionIs(sweepEndPrefix+j.Sweep, 0))
		}
	}
	addEnd := func(j *jobstate.Job, outcome string) jobstate.End {
		e := c.requests.newEnd(outcome, j)
		add(Write{Key: endPrefix + j.ID, Value: encodeJSON(e)}, kv.RevisionIs(endPrefix+j.ID, 0))
		return e
	}
	for _, j := range jobs {
		room := ops - len(writes) - pages.ops()
		if room < 1 && pages.ops() == 0 || full() || l.commits.oneByOne && len(items) > 0 {
			break
		}
		if until, ok := l.commits.backoffUntil[j]; ok {
			if c.now < until {
				continue
			}
			delete(l.commits.backoffUntil, j)
		}
		it := jobWrite{job: j}
		switch {
		case j.Outcome == "" && j.NumDone == j.Tasks:
			if room < 2 {
				continue
			}
			stillOpen(j)
			it.writesEnd = true
			it.end = addEnd(j, jobstate.Done)
			if values, _ := j.StoredChunks(); j.NumPlaced == 0 && (c.membership.logEnabled() || len(values)+2 <= room) {
				c.addRemoval(&it, room-1, add)
				break
			}
			add(Write{Key: jobPrefix + j.ID, Value: c.requests.endedRecord(j, jobstate.Done)}, kv.RevisionIs(jobPrefix+j.ID, j.Revision))
		case j.Outcome != "" && j.NumPlaced == 0:
			if j.CancelledByDependency {
				if room < 2 {
					continue
				}
				addEnd(j, j.Outcome)
				it.writesDerivedEnd = true
				room--
			}
			if room < 1 {
				continue
			}
			c.addRemoval(&it, room, add)
		case j.Outcome != "":
			// Nothing of it will be started again, so its exits need not
			// be stored one by one.
			continue
		default:
			for _, n := range j.DirtyChunks() {
				room := ops - len(writes) - pages.ops()
				if version, ok := pages.append(j, n, room); ok {
					it.chunks = append(it.chunks, chunkWrite{n, version, true})
					continue
				}
				if room < 1 || full() {
					break
				}
				if scarce && !j.HasPlacementToWrite(n) && c.now-j.Chunk(n).DirtySince < maxEndDelay {
					continue
				}
				v, version := j.BeginChunkWrite(n, l.commits.nextLogEntry)
				if len(v) > c.membership.valueLimit() {
					c.valueTooLong(j, n)
					continue
				}
				key := chunkKey(j.ID, jobstate.ChunkRef{ChunkSize: j.ChunkSize(), Index: n})
				add(Write{Key: key, Value: v}, kv.RevisionIs(key, j.Chunk(n).Revision))
				it.chunks = append(it.chunks, chunkWrite{n, version, false})
			}
		}
		if len(it.chunks) > 0 || len(it.removedValues) > 0 || it.writesEnd || it.removesJob {
			items = append(items, it)
		}
	}
	pages.add(add)
	removals := c.addGarbage(ops-len(writes), scarce, add)
	if len(writes) == 0 {
		return
	}
	c.health.spendWrites(float64(len(writes)))
	l.commits.inFlight = true
	sent := c.now
	c.commitTransaction(when, writes, func(m TransactionResult) {
		if c.elector.leadership != l {
			return
		}
		l.commits.inFlight = false
		l.commits.notBefore = sent + commitGap
		if scarce {
			l.commits.notBefore = sent + scarceCommitGap
		}
		if m.Outcome == kv.Committed {
			if !m.Observed {
				c.elector.tokenProven(sent)
			}
			l.commits.oneByOne = false
			pages.written(m.Revision)
			removals.done()
			for i := range items {
				c.itemCommitted(&items[i], m.Revision)
			}
			l.planning.requestRound()
			l.heartbeats.requestRelease()
			return
		}
		// Refused, or nobody knows. Either way the same keys are written
		// again under the same versions: if the first write was or will be
		// executed after all, one of the two fails, and nothing was told
		// to anybody on its account.
		for i := range items {
			for _, w := range items[i].chunks {
				items[i].job.AbortChunkWrite(w.chunk)
			}
		}
		l.commits.notBefore = c.now + 150_000
		if m.Outcome == kv.Conflict {
			for _, k := range m.Failed {
				c.resolveConflict(l, k)
			}
		} else if m.Outcome == kv.Malformed {
			c.transactionMalformed(items, len(writes))
		}
	})
}

// transactionMalformed handles a transaction that the state service calls malformed: its
// limits may have fallen. What is refused again alone must not hold up the rest.
func (c *committer) transactionMalformed(items []jobWrite, writes int) {
	l := c.elector.leadership
	if len(items) == 0 {
		c.log.Error("the state service calls a transaction malformed", "writes", writes)
		l.commits.keepGarbageUntil = c.now + writeBackoff // it had only removals
		return
	}
	c.log.Error("the state service calls a transaction malformed", "writes", writes, "job", items[0].job.ID)
	if !c.membership.useLowerLimits() {
		if c.membership.lowerLimits("a transaction was refused"); c.membership.useLowerLimits() {
			return // it is made again, within them
		}
	}
	l.commits.logTail = nil // what the page was to have goes into another
	if len(items) == 1 {
		l.commits.backoffUntil[items[0].job] = c.now + writeBackoff
	}
	l.commits.oneByOne = true
}

// writeBackoff is for how long a job is left alone whose write was refused.
const writeBackoff = 10 * second

// valueTooLong puts a value off that does not fit, and asks for smaller ones.
func (c *committer) valueTooLong(j *jobstate.Job, n int) {
	j.AbortChunkWrite(n)
	c.elector.leadership.commits.backoffUntil[j] = c.now + second
	if j.ChunkSize() == c.membership.chunkTasks && c.membership.chunkTasks > 1 {
		c.elector.leadership.commits.chunkTasksWanted = c.membership.chunkTasks / 2
	}
}

// addRemoval deletes a job's keys, its own one last; where there are more than
// there is room for, the others first.
//
// In the second format the job's own key goes at once, and the others when there
// is room: values without their job mean nothing.
func (c *committer) addRemoval(it *jobWrite, room int, add func(Write, Cond)) {
	j := it.job
	if c.membership.logEnabled() {
		it.removesJob = true
		add(Write{Key: jobPrefix + j.ID}, kv.RevisionIs(jobPrefix+j.ID, j.Revision))
		return
	}
	values, stamps := j.StoredChunks()
	it.removesJob = len(values)+1 <= room
	it.removedValues = values[:min(room, len(values))]
	for i, v := range it.removedValues {
		add(Write{Key: chunkKey(j.ID, v)}, kv.RevisionIs(chunkKey(j.ID, v), stamps[i]))
	}
	if it.removesJob {
		add(Write{Key: jobPrefix + j.ID}, kv.RevisionIs(jobPrefix+j.ID, j.Revision))
	}
}

// oldestChange is when the oldest unwritten change of a job was made.
func (c *committer) oldestChange(j *jobstate.Job) int64 {
	if at := j.DirtySince(); at != 0 {
		return at
	}
	return c.now
}

// itemCommitted applies what a transaction made true.
func (c *committer) itemCommitted(it *jobWrite, stamp uint64) {
	j := it.job
	if it.writesEnd {
		if !it.removesJob {
			j.Revision = stamp
		}
		c.log.Info("job done", "job", j.ID, "tasks", j.Tasks)
		c.cache.noteEnd(j.ID, it.end, stamp)
	}
	if it.writesDerivedEnd {
		// Not by any write: one of its progress may have been under way when
		// its sweep was cancelled, and the job be removed without an end.
		j.CancelledByDependency = false
	}
	for _, w := range it.chunks {
		if w.logged {
			j.CommitLogWrite(w.chunk, w.version)
		} else {
			j.CommitChunkWrite(w.chunk, w.version, stamp)
		}
	}
	for _, v := range it.removedValues {
		j.SetChunkRevision(v, 0)
	}
	if it.removesJob {
		if j.Outcome == jobstate.Done && !j.Truncated {
			c.prefetcher.addPrefetchSources(j.Spec) // none of its tasks is on a machine now
		}
		delete(c.cache.jobs, j.ID)
		c.tasks.jobRemoved(j)
		c.cache.orphanChunks(j)
		return
	}
	c.clearIfWritten(j)
}

// clearIfWritten takes a job off the list of dirty ones if nothing is left to write.
func (c *committer) clearIfWritten(j *jobstate.Job) {
	if j.Outcome != "" && j.NumPlaced == 0 || j.Outcome == "" && j.NumDone == j.Tasks || len(j.DirtyChunks()) > 0 {
		c.markDirty(j)
		return
	}
	delete(c.elector.leadership.commits.dirty, j)
}

// resolveConflict reads a key whose version was not the expected one.
func (c *committer) resolveConflict(l *leadership, key string) {
	if key == LeaderKey {
		c.emit(ReadState{AfterRevision: c.cache.appliedRevision})
		l.commits.conflicts++ // nothing more is written under this leadership
		if c.elector.leadership == l {
			c.elector.stepDown("the leadership key changed")
		}
		return
	}
	l.commits.conflicts++
	c.readKey(key, func(g KeyRead) {
		if c.elector.leadership != l {
			return
		}
		l.commits.conflicts--
		if g.Err != nil {
			return // the write is tried again and fails again
		}
		switch {
		case strings.HasPrefix(key, runPrefix):
			id, v, err := parseChunkKey(key[len(runPrefix):])
			if err == nil && c.cache.jobs[id] != nil {
				c.cache.jobs[id].SetChunkRevision(v, g.Revision)
			} else if err == nil {
				c.setOrphanedRevision(id, v, g.Revision)
			}
		case strings.HasPrefix(key, logPrefix):
			for _, p := range c.cache.progressLog {
				if pageKey(p.number) == key {
					p.Revision = g.Revision
				}
			}
		case strings.HasPrefix(key, sweepEndPrefix) && g.Revision != 0:
			c.sweepManager.noteSweepCancelled(key[len(sweepEndPrefix):])
		case strings.HasPrefix(key, endPrefix):
			var e jobstate.End
			if g.Revision != 0 && json.Unmarshal(g.Value, &e) == nil {
				c.cache.noteEnd(key[len(endPrefix):], e, g.Revision)
				c.dependencies.endWasStored(key[len(endPrefix):])
			}
		case strings.HasPrefix(key, jobPrefix):
			if g.Revision != 0 {
				c.cache.apply(Change{Key: key, Value: g.Value, Revision: g.Revision})
			} else if j := c.cache.jobs[key[len(jobPrefix):]]; j != nil {
				delete(c.cache.jobs, j.ID)
				c.tasks.jobRemoved(j)
			}
		}
	})
}

// fetchesImage says whether a task on a machine waits for an image.
func fetchesImage(m *fleet.Machine, image string) bool {
	for ref := range m.Placed {
		if ref.Job.Image == image && ref.Job.Task(ref.Index).Phase == jobstate.Fetching {
			return true
		}
	}
	return false
}
