package core

import "github.com/zinclb/zinclb/internal/core/kv"

// Aliases of the types of package kv.
type (
	// Cond is a condition of a transaction.
	Cond = kv.Condition
	// Write is one write of a transaction.
	Write = kv.Write
	// Change is a change of a key that was read.
	Change = kv.Change
)

// ListState reads all keys under StartPrefixes; StateListed answers it.
type ListState struct {
	// AtOnce is the number of pages that are read without a pause; each further page is read
	// Gap microseconds after the one before.
	AtOnce int
	Gap    int64
}

// StateListed holds the keys stored under StartPrefixes, or the error of reading them. It
// replaces the contents of the cache.
type StateListed struct {
	Changes []Change
	// Revision is the revision from which to watch.
	Revision uint64
	Err      error
}

// WatchState waits for changes after a revision; StateRead answers it.
type WatchState struct{ AfterRevision uint64 }

// ReadState reads the changes after a revision without waiting for any; StateRead answers
// it, with Immediate set and the same ForRequests.
type ReadState struct {
	AfterRevision uint64
	ForRequests   bool
}

// StateRead holds the changes after a revision, in order, from a watch or a read of the state
// service, or from a read from the leader.
type StateRead struct {
	AfterRevision uint64
	Revision      uint64
	SentAt        int64
	Changes       []Change
	// Immediate reports whether this answers a read rather than a watch.
	Immediate bool
	// ForRequests reports whether requests of users wait for this read.
	ForRequests bool
	// Compacted reports that the state service no longer has the changes after
	// AfterRevision.
	Compacted bool
	// ViaLeader reports that the changes were read by the leader, not by this controller.
	ViaLeader bool
	Err       error
}

// WatchLeader waits for a change of the leadership key only; LeaderWatched answers it.
type WatchLeader struct{ AfterRevision uint64 }

// LeaderWatched reports that the leadership key may have changed, or that the watch has ended.
type LeaderWatched struct {
	Changed bool
	Err     error
}

// CommitTransaction executes writes if all conditions hold; TransactionResult answers it.
type CommitTransaction struct {
	ID         uint64
	Conditions []Cond
	Writes     []Write
}

// TransactionResult is the outcome of a transaction, which is unknown if no answer came.
type TransactionResult = kv.TransactionResult

// ReadKey reads a key; KeyRead answers it.
type ReadKey struct {
	ID  uint64
	Key string
}

// KeyRead is the value stored under a key; Revision is 0 if the key is absent.
type KeyRead struct {
	ID       uint64
	Key      string
	Value    []byte
	Revision uint64
	// AbsentAt is the newest revision of the state service at which the key was absent, or 0
	// if the service did not report it.
	AbsentAt uint64
	Err      error
}

// GrantLease requests a lease to which keys can be attached; LeaseGranted answers it.
type GrantLease struct{ TTL int64 }

// LeaseGranted is a new lease, or the error of granting it.
type LeaseGranted struct {
	Lease  uint64
	SentAt int64
	Err    error
}

// RenewLease renews a lease; LeaseRenewed answers it.
type RenewLease struct{ Lease uint64 }

// LeaseRenewed reports whether a lease was renewed. An expired lease is gone, with its keys.
type LeaseRenewed struct {
	Lease   uint64
	SentAt  int64
	Expired bool
	Err     error
}

// RevokeLease ends a lease; nothing answers it.
type RevokeLease struct{ Lease uint64 }
