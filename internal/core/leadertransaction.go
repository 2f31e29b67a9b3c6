package core

import (
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

const (
	// maxTxnBytes is the maximum estimated size of a transaction, below the state service's
	// limit of 64 KiB.
	maxTxnBytes = 44 << 10
	// writeOverheadBytes is the approximate size of a write and its condition, not counting
	// the value and the two copies of the key.
	writeOverheadBytes = 80
	// maxEndDelay is the maximum time, in microseconds, for which writes of task ends are
	// delayed while the write budget is low. Nothing depends on them: the worker keeps an
	// exited task until it receives a forget command, and reports it to a new leader.
	maxEndDelay = 4 * second
)

// leaderTransaction is a transaction of the leader, either under construction or in progress. It
// contains changes of jobs, pages of the progress log, and removals of keys that are not needed
// any more.
type leaderTransaction struct {
	committer *committer
	term      *leadership
	// limit is the maximum number of writes. lowBudget reports whether the write budget is
	// low.
	limit     int
	lowBudget bool

	conditions []Cond
	writes     []Write
	size       int // approximate size of the writes, in bytes

	jobs    []jobWrite
	pages   pageWrites
	garbage garbageRemoval
	// openSweeps are the sweeps that must not have ended for the transaction to succeed.
	openSweeps map[string]bool

	sentAt int64
}

// jobWrite is one job's part of a transaction.
type jobWrite struct {
	job           *jobstate.Job
	chunks        []chunkWrite
	writesEnd     bool // writes the job's end
	end           jobstate.End
	writesRecord  bool     // writes the job's key
	removesJob    bool     // deletes the job's key
	proof         endProof // that the job's end is stored, so that its keys may be removed
	removedChunks []jobstate.ChunkRef
}

func (w *jobWrite) isEmpty() bool {
	return len(w.chunks) == 0 && len(w.removedChunks) == 0 && !w.writesEnd && !w.removesJob
}

// chunkWrite is the version of a chunk that is written, as a value or to the log.
type chunkWrite struct {
	index   int
	version uint64
	logged  bool
}

// newTransaction starts building a transaction of at most limit writes.
func (c *committer) newTransaction(limit int) *leaderTransaction {
	return &leaderTransaction{
		committer: c,
		term:      c.elector.leadership,
		limit:     limit,
		// While the budget is low, writes that can wait are delayed, so that one write
		// contains the ends of many tasks.
		lowBudget:  c.health.writesLeft() < c.health.writeRate()/2,
		conditions: []Cond{kv.RevisionIs(LeaderKey, c.elector.leadership.keyRevision)},
		pages:      pageWrites{committer: c},
		openSweeps: map[string]bool{},
	}
}

// gap returns the minimum time from this transaction to the next.
func (t *leaderTransaction) gap() int64 {
	if t.lowBudget {
		return lowBudgetCommitGap
	}
	return commitGap
}

// remainingWrites returns the number of writes that can still be added.
func (t *leaderTransaction) remainingWrites() int { return t.limit - len(t.writes) - t.pages.count() }

// isTooLarge reports whether the transaction is so large that no value can be added.
func (t *leaderTransaction) isTooLarge() bool {
	return t.size+t.pages.count()*t.committer.membership.valueLimit() > maxTxnBytes
}

// isFull reports whether no job can be added. If no writes remain, jobs can still be added as long
// as the transaction has a log page to which their changes can be appended.
func (t *leaderTransaction) isFull() bool {
	return t.remainingWrites() < 1 && t.pages.count() == 0 || t.isTooLarge() || t.term.commits.singleJobWrites && len(t.jobs) > 0
}

// add adds a write of a key, on the condition that its revision is the given one, 0 for absent.
func (t *leaderTransaction) add(w Write, revision uint64) {
	t.writes = append(t.writes, w)
	t.conditions = append(t.conditions, kv.RevisionIs(w.Key, revision))
	t.size += len(w.Value) + len(w.Key)*2 + writeOverheadBytes
}

// addJob adds the pending changes of a job, as far as the limits allow.
func (t *leaderTransaction) addJob(job *jobstate.Job) {
	written := jobWrite{job: job}
	switch {
	case job.Outcome() == "" && job.NumDone == job.Tasks:
		t.addDoneJob(&written)
	case job.Outcome() != "" && job.NumPlaced == 0:
		t.addEndedJob(&written)
	case job.Outcome() != "":
		// None of its tasks will be started again, so their exits need not be stored
		// individually.
	default:
		t.addChunks(&written)
	}
	if !written.isEmpty() {
		t.jobs = append(t.jobs, written)
	}
}

// addDoneJob adds the end of a job all of whose tasks are done. It removes the job's keys, or if
// that is not possible yet stores the outcome in the job's record.
func (t *leaderTransaction) addDoneJob(written *jobWrite) {
	if t.remainingWrites() < 2 {
		return
	}
	job := written.job
	t.requireOpenSweep(job)
	proof := t.addEnd(written, jobstate.Done)
	chunks, _ := job.StoredChunks()
	if job.NumPlaced == 0 && (t.committer.membership.logEnabled() || len(chunks)+1 <= t.remainingWrites()) {
		t.addRemoval(written, proof)
		return
	}
	written.writesRecord = true
	record := t.committer.requests.endedRecord(job, jobstate.Done)
	t.add(Write{Key: jobPrefix + job.ID, Value: record}, job.Revision)
}

// addEndedJob removes the keys of a job that has ended, and adds its end if that is not known to
// be stored.
func (t *leaderTransaction) addEndedJob(written *jobWrite) {
	job := written.job
	proof, isStored := storedEndOf(job)
	if !isStored {
		if t.remainingWrites() < 2 {
			return
		}
		// An end that a peer reported is not necessarily stored. If the job's keys were
		// removed without storing its end, every controller that starts later would treat
		// the job as never accepted.
		proof = t.addEnd(written, job.Outcome())
	}
	if t.remainingWrites() < 1 {
		return
	}
	t.addRemoval(written, proof)
}

// endProof shows that a job's keys may be removed: its end is stored at a revision, or written by
// the same transaction. Only storedEndOf and addEnd create such proofs.
type endProof struct {
	revision  uint64
	writtenBy *leaderTransaction
}

// endRevision returns the revision at which the end is stored; revision is that of the
// transaction that removes the keys.
func (p endProof) endRevision(revision uint64) uint64 {
	if p.writtenBy != nil {
		return revision
	}
	return p.revision
}

// storedEndOf returns the proof that a job's end is stored, if that is known.
func storedEndOf(job *jobstate.Job) (proof endProof, isStored bool) {
	end := job.End()
	return endProof{revision: end.Revision()}, end.IsStored()
}

// addEnd adds a job's end, on the condition that none is stored.
func (t *leaderTransaction) addEnd(written *jobWrite, outcome string) endProof {
	job := written.job
	written.writesEnd = true
	written.end = t.committer.requests.newEnd(outcome, job)
	t.add(Write{Key: endPrefix + job.ID, Value: encodeJSON(written.end)}, 0)
	return endProof{writtenBy: t}
}

// requireOpenSweep makes the transaction conditional on the sweep of a run not having an end:
// once a reply may have reported the sweep as cancelled, none of its runs may become done.
func (t *leaderTransaction) requireOpenSweep(job *jobstate.Job) {
	if job.Sweep != "" && !t.openSweeps[job.Sweep] {
		t.openSweeps[job.Sweep] = true
		t.conditions = append(t.conditions, kv.RevisionIs(sweepEndPrefix+job.Sweep, 0))
	}
}

// addRemoval deletes a job's keys: first its chunks, and the job's own key together with the last
// of them. If there are more keys than remaining writes, this takes several transactions.
//
// From the second stored format on, it deletes the job's own key immediately. The chunks have no
// meaning without their job, so addOrphanedChunks deletes them later when writes remain.
func (t *leaderTransaction) addRemoval(written *jobWrite, proof endProof) {
	job := written.job
	written.proof = proof
	if t.committer.membership.logEnabled() {
		written.removesJob = true
		t.add(Write{Key: jobPrefix + job.ID}, job.Revision)
		return
	}
	remaining := t.remainingWrites()
	chunks, revisions := job.StoredChunks()
	written.removesJob = len(chunks)+1 <= remaining
	written.removedChunks = chunks[:min(remaining, len(chunks))]
	for i, ref := range written.removedChunks {
		t.add(Write{Key: chunkKey(job.ID, ref)}, revisions[i])
	}
	if written.removesJob {
		t.add(Write{Key: jobPrefix + job.ID}, job.Revision)
	}
}

// addChunks adds the changed chunks of an unfinished job, to the log if possible and otherwise as
// values.
func (t *leaderTransaction) addChunks(written *jobWrite) {
	job := written.job
	for _, index := range job.DirtyChunks() {
		if version, ok := t.pages.append(job, index, t.remainingWrites()); ok {
			written.chunks = append(written.chunks, chunkWrite{index: index, version: version, logged: true})
			continue
		}
		if t.remainingWrites() < 1 || t.isTooLarge() {
			return
		}
		if t.lowBudget && !job.HasPlacementToWrite(index) && t.committer.now-job.Chunk(index).DirtySince < maxEndDelay {
			continue
		}
		t.addChunkValue(written, index)
	}
}

// addChunkValue adds a chunk as a complete value, or delays it if the value is too large.
func (t *leaderTransaction) addChunkValue(written *jobWrite, index int) {
	job := written.job
	value, version := job.BeginChunkWrite(index, t.term.commits.nextLogEntry)
	if len(value) > t.committer.membership.valueLimit() {
		t.committer.deferOversizedChunk(job, index)
		return
	}
	key := chunkKey(job.ID, jobstate.ChunkRef{ChunkSize: job.ChunkSize(), Index: index})
	t.add(Write{Key: key, Value: value}, job.Chunk(index).Revision)
	written.chunks = append(written.chunks, chunkWrite{index: index, version: version})
}

// deferOversizedChunk delays a chunk whose value is too large, and requests smaller chunks.
func (c *committer) deferOversizedChunk(job *jobstate.Job, index int) {
	job.AbortChunkWrite(index)
	commits := &c.elector.leadership.commits
	commits.backoffUntil[job] = c.now + splitBackoff
	if job.ChunkSize() == c.membership.chunkTasks && c.membership.chunkTasks > 1 {
		commits.requestedChunkTasks = c.membership.chunkTasks / 2
	}
}

// addPages adds the log pages to which changes were appended.
func (t *leaderTransaction) addPages() {
	for _, page := range t.pages.pages {
		t.add(Write{Key: pageKey(page.number), Value: page.Encode()}, page.Revision)
	}
}

// abort reverts the bookkeeping of writes that are not known to have been executed: the
// transaction was refused, or its outcome is unknown. In both cases the same keys are written
// again on the condition of the same revisions. If the first write was or will be executed after
// all, one of the two fails, and no reply has been sent based on the first.
func (t *leaderTransaction) abort() {
	for i := range t.jobs {
		for _, chunk := range t.jobs[i].chunks {
			t.jobs[i].job.AbortChunkWrite(chunk.index)
		}
	}
}

// garbageRemoval are the keys that a transaction removes because they are not needed any more:
// a number of pages at the front of the log, and chunks without their jobs, by job ID.
type garbageRemoval struct {
	pages  int
	chunks map[string][]jobstate.ChunkRef
}

// addGarbage adds removals of keys that are not needed, up to the limit of writes, or a single
// one while the write budget is low.
func (t *leaderTransaction) addGarbage() {
	c := t.committer
	if !c.membership.logEnabled() || c.now < t.term.commits.keepGarbageUntil {
		return
	}
	remaining := t.limit - len(t.writes)
	if t.lowBudget {
		remaining = min(remaining, 1)
	}
	for ; t.garbage.pages < t.term.commits.removablePages && remaining > 0; remaining-- {
		page := c.cache.progressLog[t.garbage.pages]
		t.add(Write{Key: pageKey(page.number)}, page.Revision)
		t.garbage.pages++
	}
	if !t.lowBudget {
		t.addOrphanedChunks(remaining)
	}
}

// addOrphanedChunks removes chunks whose jobs are gone.
func (t *leaderTransaction) addOrphanedChunks(remaining int) {
	cache := t.committer.cache
	t.garbage.chunks = map[string][]jobstate.ChunkRef{}
	for _, id := range slices.Sorted(maps.Keys(cache.orphanedChunks)) {
		if cache.jobs[id] != nil {
			continue
		}
		for ref, stored := range cache.orphanedChunks[id] {
			if remaining <= 0 {
				return
			}
			t.add(Write{Key: chunkKey(id, ref)}, stored.Revision)
			t.garbage.chunks[id] = append(t.garbage.chunks[id], ref)
			remaining--
		}
	}
}

// garbageRemoved removes from the state cache the keys that a transaction removed.
func (c *committer) garbageRemoved(removed *garbageRemoval) {
	c.cache.progressLog = slices.Delete(c.cache.progressLog, 0, removed.pages)
	c.elector.leadership.commits.removablePages -= removed.pages
	for id, refs := range removed.chunks {
		for _, ref := range refs {
			c.setOrphanedRevision(id, ref, 0)
		}
	}
}
