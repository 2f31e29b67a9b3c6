// Package txn tracks the transactions that a controller has in progress.
//
// The answer to a transaction may be lost although the transaction was executed. Other
// controllers then read its changes and answer users accordingly, while the writer waits for the
// answer until a timeout and then writes the changes again, without effect. The writer therefore
// also looks for the changes in its state cache. If the cache shows all changes of a transaction
// at one revision, the transaction was executed, either this one or an earlier one with the same
// changes. That proves what is stored, but not when it was written: see
// kv.TransactionResult.Observed.
package txn

import (
	"bytes"
	"slices"

	"github.com/zinclb/zinclb/internal/core/kv"
)

// AnswerTimeout is the time, in microseconds, for which the answer to a transaction is awaited
// after its changes were observed. Answers and changes arrive on different connections.
const AnswerTimeout = 80_000

// Table holds the transactions in progress. Its zero value is not usable; see New.
type Table struct {
	pending map[uint64]*transaction
	// abandoned has the send times of the transactions that were abandoned before their
	// answers arrived, by transaction ID.
	abandoned map[uint64]int64
	response  responseTime
}

// transaction is a transaction in progress.
type transaction struct {
	writes    []kv.Write
	startedAt int64
	// minRevision is the newest revision in the conditions. Changes up to this revision were
	// made by earlier transactions, even if they are equal to the writes of this one.
	minRevision uint64
	complete    func(kv.TransactionResult)
	// storedRevision is the revision at which the changes were observed, 0 if they were not
	// observed yet, and seenAt the time of the observation.
	storedRevision uint64
	seenAt         int64
}

// New returns an empty table.
func New() *Table {
	return &Table{pending: map[uint64]*transaction{}, abandoned: map[uint64]int64{}}
}

// Begin adds a transaction that is sent now; done is called with its result.
func (t *Table) Begin(id uint64, conditions []kv.Condition, writes []kv.Write, now int64, done func(kv.TransactionResult)) {
	tx := &transaction{writes: writes, startedAt: now, complete: done}
	for _, condition := range conditions {
		tx.minRevision = max(tx.minRevision, condition.Revision)
	}
	t.pending[id] = tx
}

// IsConditionOnly reports whether a transaction is in progress and has no writes.
func (t *Table) IsConditionOnly(id uint64) bool {
	tx := t.pending[id]
	return tx != nil && len(tx.writes) == 0
}

// HasUnansweredWrite reports whether a transaction with writes has been in progress for longer
// than minAge microseconds.
func (t *Table) HasUnansweredWrite(now, minAge int64) bool {
	for _, tx := range t.pending {
		if len(tx.writes) > 0 && now-tx.startedAt > minAge {
			return true
		}
	}
	return false
}

// Observe looks for transactions whose writes are among the changes.
func (t *Table) Observe(changes []kv.Change, now int64) {
	if len(t.pending) == 0 || len(changes) == 0 {
		return
	}
	changesOf := map[string][]kv.Change{}
	for _, change := range changes {
		changesOf[change.Key] = append(changesOf[change.Key], change)
	}
	for _, tx := range t.pending {
		if tx.storedRevision != 0 || len(tx.writes) == 0 {
			continue
		}
		for _, change := range changesOf[tx.writes[0].Key] {
			if change.Revision > tx.minRevision && tx.isStoredAt(change.Revision, changesOf) {
				tx.storedRevision, tx.seenAt = change.Revision, now
			}
		}
	}
}

// isStoredAt reports whether all writes of a transaction are among the changes of a revision.
func (tx *transaction) isStoredAt(revision uint64, changesOf map[string][]kv.Change) bool {
	for _, write := range tx.writes {
		stored := slices.ContainsFunc(changesOf[write.Key], func(change kv.Change) bool {
			return change.Revision == revision &&
				change.Removed == (write.Value == nil) &&
				bytes.Equal(change.Value, write.Value)
		})
		if !stored {
			return false
		}
	}
	return true
}

// Overdue returns the results of the transactions whose changes were observed at least
// AnswerTimeout ago and that were not answered, in the order in which they were sent. They remain
// in progress.
func (t *Table) Overdue(now int64) (results []kv.TransactionResult) {
	var ids []uint64
	for id, tx := range t.pending {
		if tx.storedRevision != 0 && now-tx.seenAt >= AnswerTimeout {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		results = append(results, kv.TransactionResult{
			ID:       id,
			Outcome:  kv.Committed,
			Revision: t.pending[id].storedRevision,
			Observed: true,
		})
	}
	return results
}

// Complete ends a transaction with its result and passes the result to the callback given to
// Begin. If the outcome is unknown but the changes were observed, the result is a commit at the
// observed revision.
func (t *Table) Complete(result kv.TransactionResult) {
	tx := t.pending[result.ID]
	if tx == nil {
		return
	}
	if result.Outcome == kv.Unknown && tx.storedRevision != 0 {
		result.Outcome, result.Revision, result.Observed = kv.Committed, tx.storedRevision, true
	}
	delete(t.pending, result.ID)
	tx.complete(result)
}

// RecordAnswer records the response time of a transaction for [Table.IsOverdue]. It is called
// before [Table.Complete], and also for a transaction that was abandoned.
func (t *Table) RecordAnswer(id uint64, outcome kv.Outcome, now int64) {
	startedAt, abandoned := t.abandoned[id]
	delete(t.abandoned, id)
	if tx := t.pending[id]; tx != nil {
		startedAt = tx.startedAt
	} else if !abandoned {
		return
	}
	if outcome != kv.Unknown {
		t.response.record(now - startedAt)
	}
}

// IsOverdue reports whether a transaction has been in progress for clearly longer than answers
// take.
func (t *Table) IsOverdue(id uint64, now int64) bool {
	tx := t.pending[id]
	return tx != nil && now-tx.startedAt >= t.response.timeout()
}

// Abandon stops waiting for the answer to a transaction and ends the transaction with the outcome
// kv.Unknown. The transaction may still be executed, so it must be repeated under the same
// conditions only.
func (t *Table) Abandon(id uint64) {
	tx := t.pending[id]
	if tx == nil {
		return
	}
	t.abandoned[id] = tx.startedAt
	t.response.backOff()
	t.Complete(kv.TransactionResult{ID: id, Outcome: kv.Unknown})
}
