package core

import (
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

const (
	// maxTxnBytes stays below the service's 64 KiB for a transaction.
	maxTxnBytes = 44 << 10
	// writeOverheadBytes is about what a write and its condition take beside the value
	// and the key, which both name.
	writeOverheadBytes = 80
	// maxEndDelay is how long the ends of tasks may wait to be written while the
	// budget is short. Nothing waits for them: the worker keeps an exited task
	// until it is told to forget it, and a new leader learns of it from there.
	maxEndDelay = 4 * second
)

// leaderTransaction is a transaction of the leader that is being put together, and then
// under way: what has changed of jobs, pages of the log of progress, and removals of what
// nothing needs.
type leaderTransaction struct {
	committer *committer
	term      *leadership
	// limit is how many writes it may have; scarce says that the budget of writes is short.
	limit     int
	lowBudget bool

	conditions []Cond
	writes     []Write
	size       int // about how many bytes the writes take

	jobs    []jobWrite
	pages   pageWrites
	garbage garbageRemoval
	// openSweeps are the sweeps on whose not being cancelled it is conditional.
	openSweeps map[string]bool

	sentAt int64
}

// jobWrite is one job's part of a transaction.
type jobWrite struct {
	job           *jobstate.Job
	chunks        []chunkWrite
	writesEnd     bool // writes the end
	end           jobstate.End
	writesRecord  bool     // writes the job's key
	removesJob    bool     // deletes the job's key
	proof         endProof // why the keys may go
	removedChunks []jobstate.ChunkRef
}

func (w *jobWrite) isEmpty() bool {
	return len(w.chunks) == 0 && len(w.removedChunks) == 0 && !w.writesEnd && !w.removesJob
}

// chunkWrite is a version of a chunk that is written, as a value or to the log.
type chunkWrite struct {
	index   int
	version uint64
	logged  bool
}

// newTransaction begins a transaction of at most so many writes.
func (c *committer) newTransaction(limit int) *leaderTransaction {
	return &leaderTransaction{
		committer: c,
		term:      c.elector.leadership,
		limit:     limit,
		// While the budget is short, what can wait does so for a while, so that
		// one write takes many tasks' ends.
		lowBudget:  c.health.writesLeft() < c.health.writeRate()/2,
		conditions: []Cond{kv.RevisionIs(LeaderKey, c.elector.leadership.keyRevision)},
		pages:      pageWrites{committer: c},
		openSweeps: map[string]bool{},
	}
}

// gap is the least time from this transaction to the next.
func (t *leaderTransaction) gap() int64 {
	if t.lowBudget {
		return lowBudgetCommitGap
	}
	return commitGap
}

// remainingWrites is how many writes can be added.
func (t *leaderTransaction) remainingWrites() int { return t.limit - len(t.writes) - t.pages.count() }

// isTooLarge says that no value can be added.
func (t *leaderTransaction) isTooLarge() bool {
	return t.size+t.pages.count()*t.committer.membership.valueLimit() > maxTxnBytes
}

// isFull says that no job can be added. Without room for writes some may be, as long as
// there is a page that they may be entered in.
func (t *leaderTransaction) isFull() bool {
	return t.remainingWrites() < 1 && t.pages.count() == 0 || t.isTooLarge() || t.term.commits.singleJobWrites && len(t.jobs) > 0
}

// add adds a write of a key that has a revision, 0 for none.
func (t *leaderTransaction) add(w Write, revision uint64) {
	t.writes = append(t.writes, w)
	t.conditions = append(t.conditions, kv.RevisionIs(w.Key, revision))
	t.size += len(w.Value) + len(w.Key)*2 + writeOverheadBytes
}

// addJob adds what is to be written of a job, as far as there is room.
func (t *leaderTransaction) addJob(j *jobstate.Job) {
	written := jobWrite{job: j}
	switch {
	case j.Outcome() == "" && j.NumDone == j.Tasks:
		t.addDoneJob(&written)
	case j.Outcome() != "" && j.NumPlaced == 0:
		t.addEndedJob(&written)
	case j.Outcome() != "":
		// Nothing of it will be started again, so its exits need not
		// be stored one by one.
	default:
		t.addChunks(&written)
	}
	if !written.isEmpty() {
		t.jobs = append(t.jobs, written)
	}
}

// addDoneJob adds the end of a job all of whose tasks are done, and removes its keys or
// else stores that it is over.
func (t *leaderTransaction) addDoneJob(written *jobWrite) {
	if t.remainingWrites() < 2 {
		return
	}
	j := written.job
	t.requireOpenSweep(j)
	proof := t.addEnd(written, jobstate.Done)
	chunks, _ := j.StoredChunks()
	if j.NumPlaced == 0 && (t.committer.membership.logEnabled() || len(chunks)+1 <= t.remainingWrites()) {
		t.addRemoval(written, proof)
		return
	}
	written.writesRecord = true
	record := t.committer.requests.endedRecord(j, jobstate.Done)
	t.add(Write{Key: jobPrefix + j.ID, Value: record}, j.Revision)
}

// addEndedJob removes the keys of a job that is over, and adds its end where that is not known
// to be stored.
func (t *leaderTransaction) addEndedJob(written *jobWrite) {
	j := written.job
	proof, isStored := storedEndOf(j)
	if !isStored {
		if t.remainingWrites() < 2 {
			return
		}
		// A leader that took what a peer told it for what is stored removed jobs without an
		// end: every controller that started later took them for never accepted.
		proof = t.addEnd(written, j.Outcome())
	}
	if t.remainingWrites() < 1 {
		return
	}
	t.addRemoval(written, proof)
}

// endProof is why a job's keys may go: its end is stored at a revision, or it is written by the
// same transaction. storedEndOf and addEnd give it.
type endProof struct {
	revision  uint64
	writtenBy *leaderTransaction
}

// endRevision is at which revision the end is stored, of a transaction made at another.
func (p endProof) endRevision(revision uint64) uint64 {
	if p.writtenBy != nil {
		return revision
	}
	return p.revision
}

// storedEndOf proves that a job's end is stored, if that is known.
func storedEndOf(j *jobstate.Job) (proof endProof, isStored bool) {
	end := j.End()
	return endProof{revision: end.Revision()}, end.IsStored()
}

// addEnd adds a job's end, as the first that is stored.
func (t *leaderTransaction) addEnd(written *jobWrite, outcome string) endProof {
	j := written.job
	written.writesEnd = true
	written.end = t.committer.requests.newEnd(outcome, j)
	t.add(Write{Key: endPrefix + j.ID, Value: encodeJSON(written.end)}, 0)
	return endProof{writtenBy: t}
}

// requireOpenSweep makes the transaction conditional on a run's sweep not being
// cancelled: users may have been told that it is, and then no run must be done.
func (t *leaderTransaction) requireOpenSweep(j *jobstate.Job) {
	if j.Sweep != "" && !t.openSweeps[j.Sweep] {
		t.openSweeps[j.Sweep] = true
		t.conditions = append(t.conditions, kv.RevisionIs(sweepEndPrefix+j.Sweep, 0))
	}
}

// addRemoval deletes a job's keys, its own one last; where there are more than
// there is room for, the others first.
//
// In the second format the job's own key goes at once, and the others when there
// is room: values without their job mean nothing.
func (t *leaderTransaction) addRemoval(written *jobWrite, proof endProof) {
	j := written.job
	written.proof = proof
	if t.committer.membership.logEnabled() {
		written.removesJob = true
		t.add(Write{Key: jobPrefix + j.ID}, j.Revision)
		return
	}
	room := t.remainingWrites()
	chunks, revisions := j.StoredChunks()
	written.removesJob = len(chunks)+1 <= room
	written.removedChunks = chunks[:min(room, len(chunks))]
	for i, ref := range written.removedChunks {
		t.add(Write{Key: chunkKey(j.ID, ref)}, revisions[i])
	}
	if written.removesJob {
		t.add(Write{Key: jobPrefix + j.ID}, j.Revision)
	}
}

// addChunks adds the chunks of an unfinished job that have changed, to the log where
// that can be done and else as values.
func (t *leaderTransaction) addChunks(written *jobWrite) {
	j := written.job
	for _, index := range j.DirtyChunks() {
		if version, ok := t.pages.append(j, index, t.remainingWrites()); ok {
			written.chunks = append(written.chunks, chunkWrite{index: index, version: version, logged: true})
			continue
		}
		if t.remainingWrites() < 1 || t.isTooLarge() {
			return
		}
		if t.lowBudget && !j.HasPlacementToWrite(index) && t.committer.now-j.Chunk(index).DirtySince < maxEndDelay {
			continue
		}
		t.addChunkValue(written, index)
	}
}

// addChunkValue adds a chunk as a whole, or puts it off if its value is too long.
func (t *leaderTransaction) addChunkValue(written *jobWrite, index int) {
	j := written.job
	value, version := j.BeginChunkWrite(index, t.term.commits.nextLogEntry)
	if len(value) > t.committer.membership.valueLimit() {
		t.committer.deferOversizedChunk(j, index)
		return
	}
	key := chunkKey(j.ID, jobstate.ChunkRef{ChunkSize: j.ChunkSize(), Index: index})
	t.add(Write{Key: key, Value: value}, j.Chunk(index).Revision)
	written.chunks = append(written.chunks, chunkWrite{index: index, version: version})
}

// deferOversizedChunk puts a value off that does not fit, and asks for smaller ones.
func (c *committer) deferOversizedChunk(j *jobstate.Job, index int) {
	j.AbortChunkWrite(index)
	commits := &c.elector.leadership.commits
	commits.backoffUntil[j] = c.now + splitBackoff
	if j.ChunkSize() == c.membership.chunkTasks && c.membership.chunkTasks > 1 {
		commits.chunkTasksWanted = c.membership.chunkTasks / 2
	}
}

// addPages adds the pages of the log that changes were entered in.
func (t *leaderTransaction) addPages() {
	for _, page := range t.pages.pages {
		t.add(Write{Key: pageKey(page.number), Value: page.Encode()}, page.Revision)
	}
}

// abort undoes what was noted of writes that are not known to have been made: the
// transaction was refused, or nobody knows. Either way the same keys are written
// again under the same versions: if the first write was or will be
// executed after all, one of the two fails, and no reply was made
// on its account.
func (t *leaderTransaction) abort() {
	for i := range t.jobs {
		for _, chunk := range t.jobs[i].chunks {
			t.jobs[i].job.AbortChunkWrite(chunk.index)
		}
	}
}

// garbageRemoval are the keys that a transaction removes because nothing needs them: the
// first so many pages of the log, and chunks without their jobs.
type garbageRemoval struct {
	pages  int
	chunks map[string][]jobstate.ChunkRef
}

// addGarbage fills up the transaction with removals, if writes can be spared.
func (t *leaderTransaction) addGarbage() {
	c := t.committer
	if !c.membership.logEnabled() || c.now < t.term.commits.keepGarbageUntil {
		return
	}
	room := t.limit - len(t.writes)
	if t.lowBudget {
		room = min(room, 1)
	}
	for ; t.garbage.pages < t.term.commits.removablePages && room > 0; room-- {
		page := c.cache.progressLog[t.garbage.pages]
		t.add(Write{Key: pageKey(page.number)}, page.Revision)
		t.garbage.pages++
	}
	if !t.lowBudget {
		t.addOrphanedChunks(room)
	}
}

// addOrphanedChunks removes chunks whose jobs are gone.
func (t *leaderTransaction) addOrphanedChunks(room int) {
	cache := t.committer.cache
	t.garbage.chunks = map[string][]jobstate.ChunkRef{}
	for _, id := range slices.Sorted(maps.Keys(cache.orphanedChunks)) {
		if cache.jobs[id] != nil {
			continue
		}
		for ref, stored := range cache.orphanedChunks[id] {
			if room <= 0 {
				return
			}
			t.add(Write{Key: chunkKey(id, ref)}, stored.Revision)
			t.garbage.chunks[id] = append(t.garbage.chunks[id], ref)
			room--
		}
	}
}

// garbageRemoved forgets the keys that a transaction has removed.
func (c *committer) garbageRemoved(removed *garbageRemoval) {
	c.cache.progressLog = slices.Delete(c.cache.progressLog, 0, removed.pages)
	c.elector.leadership.commits.removablePages -= removed.pages
	for id, refs := range removed.chunks {
		for _, ref := range refs {
			c.setOrphanedRevision(id, ref, 0)
		}
	}
}
