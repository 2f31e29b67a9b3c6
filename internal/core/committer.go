package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// Delays of the committer, in microseconds.
const (
	// commitGap is the minimum time between transactions, in which changes are batched;
	// lowBudgetCommitGap replaces it while the write budget is low.
	commitGap          = 60_000
	lowBudgetCommitGap = 200_000
	// commitRetryGap is the minimum time from the failure of a transaction to the next one.
	commitRetryGap = 150_000
	// writeBackoff is the time for which a job is not written after its write was rejected.
	writeBackoff = 10 * second
	// splitBackoff is the time for which a job is not written after a value was too large.
	splitBackoff = second
)

// commitState is the committer's state for one term of leadership.
type commitState struct {
	// dirty are the jobs with changes to write.
	dirty map[*jobstate.Job]struct{}
	// inFlight reports whether a transaction is in progress, and inFlightID is its ID.
	// conflicts is the number of keys that are being read again because their revision was
	// not the expected one. No transaction is sent before notBefore.
	inFlight   bool
	inFlightID uint64
	conflicts  int
	notBefore  int64
	// requestedChunkTasks is a smaller number of tasks per chunk, requested after a value did
	// not fit; 0 if none is requested.
	requestedChunkTasks int
	// backoffUntil has, for each job whose write was rejected or too large, the time before
	// which the job is not written. singleJobWrites makes each transaction write one job only,
	// to find the job whose write is rejected.
	backoffUntil    map[*jobstate.Job]int64
	singleJobWrites bool
	// logTail is the page of the progress log to which entries are appended, nextLogEntry the
	// sequence number of the next entry, and removablePages the number of pages at the front
	// of the log that can be removed.
	logTail        *logPage
	nextLogEntry   uint64
	removablePages int
	// keepGarbageUntil is the time before which keys that are not needed any more are kept.
	keepGarbageUntil int64
}

func newCommitState() commitState {
	return commitState{
		dirty:        map[*jobstate.Job]struct{}{},
		backoffUntil: map[*jobstate.Job]int64{},
	}
}

// isBackedOff reports whether writes of a job are delayed after a failure. It drops a delay that
// has passed.
func (s *commitState) isBackedOff(job *jobstate.Job, now int64) bool {
	until, ok := s.backoffUntil[job]
	if !ok {
		return false
	}
	if now < until {
		return true
	}
	delete(s.backoffUntil, job)
	return false
}

// committer writes the leader's decisions, in transactions that succeed only while this controller
// leads: all of them are conditional on the revision of the leadership key. One transaction is in
// progress at a time; changes made in that time are batched for the next.
//
// A transaction that fails is not retried unchanged. The next one is built from what has to be
// written by then.
type committer struct {
	*engine

	cache        *stateCache
	dependencies *dependencyResolver
	elector      *elector
	endMonitor   *endMonitor
	health       *stateHealth
	membership   *membership
	prefetcher   *prefetcher
	requests     *requestHandler
	sweepManager *sweepManager
	tasks        *taskManager
}

// putAsLeader writes a value if its key still has the revision that this controller knows. The
// condition is needed because an earlier write of this controller that got no answer may be
// executed after later ones.
func (c *committer) putAsLeader(key string, value []byte, done func(TransactionResult)) {
	conditions := []Cond{
		kv.RevisionIs(LeaderKey, c.elector.leadership.keyRevision),
		kv.RevisionIs(key, c.cache.keyRevisions[key]),
	}
	c.commitTransaction(conditions, []Write{{Key: key, Value: value}}, func(result TransactionResult) {
		if result.Outcome == kv.Committed {
			c.cache.keyRevisions[key] = max(c.cache.keyRevisions[key], result.Revision)
		}
		done(result)
	})
}

// markDirty marks a job as having changes to write.
func (c *committer) markDirty(job *jobstate.Job) {
	c.elector.leadership.commits.dirty[job] = struct{}{}
}

// forget drops the pending writes of a job whose keys are gone.
func (c *committer) forget(job *jobstate.Job) {
	delete(c.elector.leadership.commits.dirty, job)
	delete(c.elector.leadership.commits.backoffUntil, job)
}

// commitNow sends a transaction with as many of the pending changes as the write budget and the
// limits of a transaction allow, in the order of jobsToWrite. The transaction succeeds only if this
// controller's leadership key is unchanged.
func (c *committer) commitNow() {
	if !c.canCommit() {
		return
	}
	c.health.refillWrites()
	c.membership.changeChunkSize()
	limit := min(c.membership.limits().TxnOps, int(c.health.writesLeft())-1)
	if limit < 1 {
		return
	}
	t := c.newTransaction(limit)
	for _, job := range c.jobsToWrite() {
		if t.isFull() {
			break
		}
		if !t.term.commits.isBackedOff(job, c.now) {
			t.addJob(job)
		}
	}
	t.addPages()
	t.addGarbage()
	if len(t.writes) > 0 {
		c.send(t)
	}
}

// canCommit reports whether a transaction may be sent now and there may be something to write.
func (c *committer) canCommit() bool {
	term := c.elector.leadership
	if term == nil {
		return false
	}
	commits := &term.commits
	if commits.inFlight || commits.conflicts > 0 || c.now < commits.notBefore {
		return false
	}
	return len(commits.dirty) > 0 || commits.removablePages > 0 || len(c.cache.orphanedChunks) > 0
}

// commitOrder holds the computed sort keys for the order in which jobs are written.
type commitOrder struct {
	class          int
	oldestChangeAt int64
}

// jobsToWrite returns the dirty jobs in the order in which they are to be written: first those that
// a task start or a user waits for, then by descending priority, then by their oldest change.
func (c *committer) jobsToWrite() []*jobstate.Job {
	dirty := c.elector.leadership.commits.dirty
	jobs := make([]*jobstate.Job, 0, len(dirty))
	for job := range dirty {
		jobs = append(jobs, job)
	}
	order := make(map[*jobstate.Job]commitOrder, len(jobs))
	for _, job := range jobs {
		order[job] = commitOrder{commitClass(job), c.oldestChange(job)}
	}
	slices.SortFunc(jobs, func(a, b *jobstate.Job) int {
		x, y := order[a], order[b]
		return cmp.Or(
			cmp.Compare(x.class, y.class),
			cmp.Compare(b.EffectivePriority, a.EffectivePriority),
			cmp.Compare(x.oldestChangeAt, y.oldestChangeAt),
			cmp.Compare(a.Arrival, b.Arrival),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return jobs
}

// commitClass returns 0 if a task start or a user waits for a job's writes, and 1 otherwise.
func commitClass(job *jobstate.Job) int {
	// For a job that has ended, only the removal of its keys is left.
	if job.Outcome() == "" && (job.NumDone == job.Tasks || job.HasAnyPlacementToWrite()) {
		return 0
	}
	return 1
}

// oldestChange returns the time of the oldest change in a job's chunks that waits to be written,
// or the current time if there is none.
func (c *committer) oldestChange(job *jobstate.Job) int64 {
	if at := job.DirtySince(); at != 0 {
		return at
	}
	return c.now
}

// send sends a transaction. Its outcome is handled only if this controller is still in the same
// term by then.
func (c *committer) send(t *leaderTransaction) {
	c.health.spendWrites(float64(len(t.writes)))
	t.term.commits.inFlight = true
	t.sentAt = c.now
	t.term.commits.inFlightID = c.commitTransaction(t.conditions, t.writes, func(result TransactionResult) {
		if c.elector.leadership == t.term {
			c.onTransactionEnded(t, result)
		}
	})
}

// abandonOverdue stops waiting for the answer to a transaction if that answer is clearly overdue.
// As there is one transaction at a time, all task starts would otherwise wait for a lost answer
// until the transaction's deadline. The changes are written again on the condition of the same
// revisions, so that only one of the two transactions can succeed.
func (c *committer) abandonOverdue() {
	commits := &c.elector.leadership.commits
	if !commits.inFlight || !c.transactions.IsOverdue(commits.inFlightID, c.now) {
		return
	}
	c.log.Debug("transaction not answered in time, writing again", "transaction", commits.inFlightID)
	c.transactions.Abandon(commits.inFlightID)
}

// onTransactionEnded handles the outcome of the transaction that was in progress.
func (c *committer) onTransactionEnded(t *leaderTransaction, result TransactionResult) {
	commits := &t.term.commits
	commits.inFlight = false
	if result.Outcome == kv.Committed {
		commits.notBefore = t.sentAt + t.gap()
		c.onCommitted(t, result)
		return
	}
	commits.notBefore = c.now + commitRetryGap
	t.abort()
	switch result.Outcome {
	case kv.Conflict:
		for _, key := range result.Failed {
			c.resolveConflict(t.term, key)
		}
	case kv.Malformed:
		c.onMalformed(t)
	}
}

// onCommitted applies the effects of a committed transaction.
func (c *committer) onCommitted(t *leaderTransaction, result TransactionResult) {
	if !result.Observed {
		c.elector.tokenProven(t.sentAt)
	}
	t.term.commits.singleJobWrites = false
	t.pages.committed(result.Revision)
	c.garbageRemoved(&t.garbage)
	for i := range t.jobs {
		c.jobCommitted(&t.jobs[i], result.Revision)
	}
	t.term.planning.requestRound()
	t.term.heartbeats.requestRelease()
}

// jobCommitted applies one job's part of a transaction.
func (c *committer) jobCommitted(written *jobWrite, revision uint64) {
	job := written.job
	if written.writesEnd {
		if written.writesRecord {
			job.Revision = revision
		}
		if written.end.Outcome == jobstate.Done {
			c.log.Info("job done", "job", job.ID, "tasks", job.Tasks, "revision", revision)
		}
		c.cache.recordEnd(job.ID, jobstate.EndStoredAt(written.end, revision))
	}
	for _, chunk := range written.chunks {
		if chunk.logged {
			job.CommitLogWrite(chunk.index, chunk.version)
		} else {
			job.CommitChunkWrite(chunk.index, chunk.version, revision)
		}
	}
	for _, ref := range written.removedChunks {
		job.SetChunkRevision(ref, 0)
	}
	if written.removesJob {
		if job.Outcome() == jobstate.Cancelled {
			c.endMonitor.recordRemoval(job.ID, written.proof, revision)
		}
		c.jobKeyRemoved(job)
		return
	}
	c.clearIfWritten(job)
}

// jobKeyRemoved forgets a job whose key was removed.
func (c *committer) jobKeyRemoved(job *jobstate.Job) {
	if job.Outcome() == jobstate.Done && !job.Truncated {
		c.prefetcher.addPrefetchSources(job.Spec) // none of its tasks is on a machine any more
	}
	delete(c.cache.jobs, job.ID)
	c.tasks.jobRemoved(job)
	c.cache.orphanChunks(job)
}

// clearIfWritten marks a job as clean if it has nothing left to write, and as dirty otherwise.
func (c *committer) clearIfWritten(job *jobstate.Job) {
	if job.Outcome() != "" && job.NumPlaced == 0 || job.Outcome() == "" && job.NumDone == job.Tasks || len(job.DirtyChunks()) > 0 {
		c.markDirty(job)
		return
	}
	delete(c.elector.leadership.commits.dirty, job)
}

// onMalformed handles a transaction that the state service rejects as malformed, possibly because
// the service's limits were lowered. A job whose write is rejected in a transaction without other
// jobs is backed off, so that it does not block the others.
func (c *committer) onMalformed(t *leaderTransaction) {
	commits := &t.term.commits
	if len(t.jobs) == 0 {
		c.log.Error("state service rejected a transaction as malformed", "writes", len(t.writes))
		commits.keepGarbageUntil = c.now + writeBackoff // the transaction contained only removals
		return
	}
	c.log.Error("state service rejected a transaction as malformed", "writes", len(t.writes), "job", t.jobs[0].job.ID)
	if !c.membership.useLowerLimits() {
		c.membership.lowerLimits("a transaction was refused")
		if c.membership.useLowerLimits() {
			return // the changes are written again, within the lower limits
		}
	}
	commits.logTail = nil // the log entries are written again, into a new page
	if len(t.jobs) == 1 {
		commits.backoffUntil[t.jobs[0].job] = c.now + writeBackoff
	}
	commits.singleJobWrites = true
}
