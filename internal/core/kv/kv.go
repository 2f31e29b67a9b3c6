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

// Committed is the answer to a transaction.
type Committed struct {
	ID       uint64
	Status   int // 0: no answer, so unknown
	Revision uint64
	Failed   []string
	// Observed: nobody answered, and the changes were read; so it is not known
	// when it was carried out.
	Observed bool
}

// RevisionIs is the condition that a key has a version.
func RevisionIs(key string, stamp uint64) Condition { return Condition{Key: key, Revision: stamp} }
