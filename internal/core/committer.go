package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// Pauses of the committer.
const (
	// commitGap is the least time between transactions, to gather changes;
	// scarceCommitGap is that while writes are scarce.
	commitGap          = 60_000
	lowBudgetCommitGap = 200_000
	// commitRetryGap is the time from a transaction that failed to the next.
	commitRetryGap = 150_000
	// writeBackoff is for how long a job is left alone whose write was refused.
	writeBackoff = 10 * second
	// splitBackoff is for how long one is left alone that has a value that is too long.
	splitBackoff = second
)

// commitState is what the committer keeps while this controller leads.
type commitState struct {
	// dirty are the jobs of which something is to be written.
	dirty map[*jobstate.Job]struct{}
	// inFlight: a transaction is under way, inFlightID. conflicts counts the keys that are
	// read again because their revision was not the expected one.
	inFlight   bool
	inFlightID uint64
	conflicts  int
	notBefore  int64
	// chunkTasksWanted is a smaller number of tasks for values that did not fit.
	chunkTasksWanted int
	// backoffUntil has the jobs whose writes were refused or too long; oneByOne says
	// that each is written alone, to find the one that is refused.
	backoffUntil    map[*jobstate.Job]int64
	singleJobWrites bool
	// logTail is the page that is written to, nextLogEntry the number of the next
	// entry, unneededPages how many pages at the front can go.
	logTail        *logPage
	nextLogEntry   uint64
	removablePages int
	// keepGarbageUntil puts off the removal of keys that nothing needs.
	keepGarbageUntil int64
}

func newCommitState() commitState {
	return commitState{
		dirty:        map[*jobstate.Job]struct{}{},
		backoffUntil: map[*jobstate.Job]int64{},
	}
}

// isBackedOff says whether a job's writes are put off, and forgets a pause that is over.
func (s *commitState) isBackedOff(j *jobstate.Job, now int64) bool {
	until, ok := s.backoffUntil[j]
	if !ok {
		return false
	}
	if now < until {
		return true
	}
	delete(s.backoffUntil, j)
	return false
}

// committer writes what the leader has decided, in transactions that hold only while it
// leads: all of them are conditional on the leadership key. There is one at a time; what
// changes meanwhile is gathered for the next.
//
// A transaction that fails is not repeated as it is. The next one is put together from
// what is to be written by then.
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

// putAsLeader writes a value as a whole, if nothing newer is stored: one of its own
// that got no answer may be executed after later ones.
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

// markDirty notes that something of a job is to be written.
func (c *committer) markDirty(j *jobstate.Job) {
	c.elector.leadership.commits.dirty[j] = struct{}{}
}

// forget drops what is to be written of a job whose keys are gone.
func (c *committer) forget(j *jobstate.Job) {
	delete(c.elector.leadership.commits.dirty, j)
	delete(c.elector.leadership.commits.backoffUntil, j)
}

// commitNow writes as much of what changed as the budget allows: high
// priority first, then what has waited longest. All of it holds only while
// this controller's leadership key stands as it was.
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
	for _, j := range c.jobsToWrite() {
		if t.isFull() {
			break
		}
		if !t.term.commits.isBackedOff(j, c.now) {
			t.addJob(j)
		}
	}
	t.addPages()
	t.addGarbage()
	if len(t.writes) > 0 {
		c.send(t)
	}
}

// canCommit says whether a transaction may be sent now, and there may be something to write.
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

// commitOrder is what jobs are written in the order of.
type commitOrder struct {
	class          int
	oldestChangeAt int64
}

// jobsToWrite are the jobs of which something is to be written, in the order in which
// they are written.
func (c *committer) jobsToWrite() []*jobstate.Job {
	dirty := c.elector.leadership.commits.dirty
	jobs := make([]*jobstate.Job, 0, len(dirty))
	for j := range dirty {
		jobs = append(jobs, j)
	}
	order := make(map[*jobstate.Job]commitOrder, len(jobs))
	for _, j := range jobs {
		order[j] = commitOrder{commitClass(j), c.oldestChange(j)}
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

// commitClass is 0 where a start or a user waits for a job's writes, and else 1.
func commitClass(j *jobstate.Job) int {
	// Of one that is over only keys are left to be removed.
	if j.Outcome() == "" && (j.NumDone == j.Tasks || j.HasAnyPlacementToWrite()) {
		return 0
	}
	return 1
}

// oldestChange is when the oldest unwritten change of a job was made.
func (c *committer) oldestChange(j *jobstate.Job) int64 {
	if at := j.DirtySince(); at != 0 {
		return at
	}
	return c.now
}

// send sends a transaction and has its outcome handled, if this controller leads without
// a break until then.
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

// abandonOverdue gives up on the answer to a transaction that is clearly late. There is one
// transaction at a time, so that all starts would wait for a lost answer until its deadline.
// What it was to write is written again under the same revisions: one of the two fails.
func (c *committer) abandonOverdue() {
	commits := &c.elector.leadership.commits
	if !commits.inFlight || !c.transactions.IsOverdue(commits.inFlightID, c.now) {
		return
	}
	c.log.Debug("no answer to a transaction, writing again", "transaction", commits.inFlightID)
	c.transactions.Abandon(commits.inFlightID)
}

// onTransactionEnded handles the outcome of the transaction that was under way.
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

// onCommitted applies what a transaction made true.
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
	j := written.job
	if written.writesEnd {
		if written.writesRecord {
			j.Revision = revision
		}
		if written.end.Outcome == jobstate.Done {
			c.log.Info("job done", "job", j.ID, "tasks", j.Tasks, "revision", revision)
		}
		c.cache.noteEnd(j.ID, jobstate.EndStoredAt(written.end, revision))
	}
	for _, chunk := range written.chunks {
		if chunk.logged {
			j.CommitLogWrite(chunk.index, chunk.version)
		} else {
			j.CommitChunkWrite(chunk.index, chunk.version, revision)
		}
	}
	for _, ref := range written.removedChunks {
		j.SetChunkRevision(ref, 0)
	}
	if written.removesJob {
		if j.Outcome() == jobstate.Cancelled {
			c.endMonitor.removed(j.ID, written.proof, revision)
		}
		c.jobKeyRemoved(j)
		return
	}
	c.clearIfWritten(j)
}

// jobKeyRemoved forgets a job whose key was removed.
func (c *committer) jobKeyRemoved(j *jobstate.Job) {
	if j.Outcome() == jobstate.Done && !j.Truncated {
		c.prefetcher.addPrefetchSources(j.Spec) // none of its tasks is on a machine now
	}
	delete(c.cache.jobs, j.ID)
	c.tasks.jobRemoved(j)
	c.cache.orphanChunks(j)
}

// clearIfWritten takes a job off the list of dirty ones if nothing is left to write.
func (c *committer) clearIfWritten(j *jobstate.Job) {
	if j.Outcome() != "" && j.NumPlaced == 0 || j.Outcome() == "" && j.NumDone == j.Tasks || len(j.DirtyChunks()) > 0 {
		c.markDirty(j)
		return
	}
	delete(c.elector.leadership.commits.dirty, j)
}

// onMalformed handles a transaction that the state service calls malformed: its limits
// may have been lowered. A write that is refused again alone must not hold up the rest.
func (c *committer) onMalformed(t *leaderTransaction) {
	commits := &t.term.commits
	if len(t.jobs) == 0 {
		c.log.Error("the state service calls a transaction malformed", "writes", len(t.writes))
		commits.keepGarbageUntil = c.now + writeBackoff // it had only removals
		return
	}
	c.log.Error("the state service calls a transaction malformed", "writes", len(t.writes), "job", t.jobs[0].job.ID)
	if !c.membership.useLowerLimits() {
		c.membership.lowerLimits("a transaction was refused")
		if c.membership.useLowerLimits() {
			return // it is made again, within them
		}
	}
	commits.logTail = nil // what the page was to have goes into another
	if len(t.jobs) == 1 {
		commits.backoffUntil[t.jobs[0].job] = c.now + writeBackoff
	}
	commits.singleJobWrites = true
}
