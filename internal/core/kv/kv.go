// Package kv has the state service's keys, changes and transactions as controllers
// speak of them.
package kv

// Condition is a condition on the version of a key, 0 for absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Write is a change of a key that is to be made; a nil Value deletes it.
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

// RevisionIs is the condition that a key has a revision.
func RevisionIs(key string, revision uint64) Condition {
	return Condition{Key: key, Revision: revision}
}

// Outcome is how a transaction ended.
type Outcome uint8

// The outcomes of a transaction. Of one whose outcome is Unknown there is no readable
// answer: it may have been executed, or be executed yet.
const (
	Unknown Outcome = iota
	// Committed: all conditions held, and all writes were made.
	Committed
	// Conflict: some condition did not hold, and nothing was written.
	Conflict
	// Malformed: the state service does not accept such a transaction, for instance
	// because it is too large or because a lease that it names has expired.
	Malformed
	// RateLimited: too many requests were sent.
	RateLimited
	// Unavailable: the state service answers, and can't serve now.
	Unavailable
	// Rejected: any other refusal.
	Rejected
)

// TransactionResult is the answer to a transaction, or its absence.
type TransactionResult struct {
	ID      uint64
	Outcome Outcome
	// Revision is that of the writes if they were made, and else the newest one of
	// the state service, if it named one.
	Revision uint64
	// Failed are the keys whose conditions did not hold.
	Failed []string
	// Observed: nobody answered, and the changes were read; so it is not known
	// when it was carried out.
	Observed bool
}
