// Package kv defines the conditions, writes, changes and transaction results of the state
// service as controllers use them.
package kv

import (
	"cmp"
	"slices"
)

// Condition requires a key to have a revision, where 0 means that the key is absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a key to a value, or deletes the key if Value is nil. Lease is the lease to which
// the key is attached, 0 for none.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Change is a key's new value, or its removal.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// InOrder returns the changes in the order of their revisions, and those of one transaction, which
// have the same revision, in the order of their keys. It leaves its argument unchanged. reordered
// reports whether the revisions were in another order.
func InOrder(changes []Change) (ordered []Change, reordered bool) {
	if slices.IsSortedFunc(changes, compareChanges) {
		return changes, false
	}
	ordered = slices.Clone(changes)
	slices.SortStableFunc(ordered, compareChanges)
	return ordered, !slices.IsSortedFunc(changes, compareRevisions)
}

func compareChanges(a, b Change) int {
	return cmp.Or(compareRevisions(a, b), cmp.Compare(a.Key, b.Key))
}

func compareRevisions(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) }

// RevisionIs returns the condition that a key has a revision, 0 for absent.
func RevisionIs(key string, revision uint64) Condition {
	return Condition{Key: key, Revision: revision}
}

// Outcome is the outcome of a transaction.
type Outcome uint8

// The outcomes of a transaction. Unknown means that there was no readable answer: the
// transaction may have been executed, or may still be.
const (
	Unknown Outcome = iota
	// Committed means that all conditions held, and all writes were executed.
	Committed
	// Conflict means that some condition did not hold, and nothing was written.
	Conflict
	// Malformed means that the state service does not accept such a transaction, for example
	// because it is too large or names a lease that has expired.
	Malformed
	// RateLimited means that too many requests were sent.
	RateLimited
	// Unavailable means that the state service answered that it cannot serve requests now.
	Unavailable
	// Rejected means any other refusal.
	Rejected
)

// TransactionResult is the answer to a transaction, or its absence.
type TransactionResult struct {
	ID      uint64
	Outcome Outcome
	// Revision is the revision of the writes if they were executed, and otherwise the newest
	// revision of the state service, if the answer contains one.
	Revision uint64
	// Failed are the keys whose conditions did not hold.
	Failed []string
	// Observed reports that there was no answer and the outcome was derived from reading the
	// changes, so it is not known when the transaction was executed.
	Observed bool
}
