// Package kv has the state service's keys, changes and transactions as controllers
// speak of them.
package kv

// Cond is a condition on the version of a key, 0 for absent.
type Cond struct {
	Key   string
	Stamp uint64
}

// Write is a change of a key that is to be made; a nil Value deletes it.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Change is a key's new value, or its removal.
type Change struct {
	Key     string
	Value   []byte
	Stamp   uint64
	Removed bool
}

// Committed is the answer to a transaction.
type Committed struct {
	ID     uint64
	Status int // 0: no answer, so unknown
	Ledger uint64
	Failed []string
	// Observed: nobody answered, and the changes were read; so it is not known
	// when it was carried out.
	Observed bool
}

// At is the condition that a key has a version.
func At(key string, stamp uint64) Cond { return Cond{Key: key, Stamp: stamp} }
