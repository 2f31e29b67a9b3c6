package core

import "github.com/zinclb/zinclb/internal/core/kv"

// What is stored, as package kv has it.
type (
	// Cond is a condition of a transaction.
	Cond = kv.Condition
	// Write is a change that a transaction makes.
	Write = kv.Write
	// Change is a change that was read.
	Change = kv.Change
)

// ListState reads all of StartPrefixes; StateListed answers it.
type ListState struct {
	// AtOnce is how many pages are read at once; each further one is Gap later.
	AtOnce int
	Gap    int64
}

// StateListed is what is stored under StartPrefixes, or why that could not be read. The
// cache begins anew with it.
type StateListed struct {
	Changes []Change
	// Revision is the one that watching goes on from.
	Revision uint64
	Err      error
}

// WatchState waits for changes after a revision; StateRead answers it.
type WatchState struct{ AfterRevision uint64 }

// ReadState reads the changes after a revision without waiting for any; StateRead answers
// it, with Immediate set and ForRequests as here.
type ReadState struct {
	AfterRevision uint64
	ForRequests   bool
}

// StateRead has the changes after a revision, in their order, by a watch or a read of the
// state service, or by a read from the leader.
type StateRead struct {
	AfterRevision uint64
	Revision      uint64
	SentAt        int64
	Changes       []Change
	// Immediate: it answers a read and not a watch.
	Immediate bool
	// ForRequests: requests of users wait for it.
	ForRequests bool
	// Compacted: the state service does not have the changes after AfterRevision any more.
	Compacted bool
	// ViaLeader: the leader has read it, and not this controller.
	ViaLeader bool
	Err       error
}

// WatchLeader waits for a change of the leadership key alone; LeaderWatched answers it.
type WatchLeader struct{ AfterRevision uint64 }

// LeaderWatched says that the leadership key may have changed, or that the watch is over.
type LeaderWatched struct {
	Changed bool
	Err     error
}

// CommitTransaction makes writes if all conditions hold; TransactionResult answers it.
type CommitTransaction struct {
	ID         uint64
	Conditions []Cond
	Writes     []Write
}

// TransactionResult is how a transaction ended, also when there is no answer.
type TransactionResult = kv.TransactionResult

// ReadKey reads a key; KeyRead answers it.
type ReadKey struct {
	ID  uint64
	Key string
}

// KeyRead is what is stored under a key; Revision 0 means that the key is absent.
type KeyRead struct {
	ID       uint64
	Key      string
	Value    []byte
	Revision uint64
	// AbsentAt is the newest revision of all when a key was absent, 0 if that is not said.
	AbsentAt uint64
	Err      error
}

// GrantLease asks for a lease, which keys can be put on; LeaseGranted answers it.
type GrantLease struct{ TTL int64 }

// LeaseGranted is a new lease, or why there is none.
type LeaseGranted struct {
	Lease  uint64
	SentAt int64
	Err    error
}

// RenewLease renews a lease; LeaseRenewed answers it.
type RenewLease struct{ Lease uint64 }

// LeaseRenewed says whether a lease was renewed. One that has expired is gone with its keys.
type LeaseRenewed struct {
	Lease   uint64
	SentAt  int64
	Expired bool
	Err     error
}

// RevokeLease ends a lease; nothing answers it.
type RevokeLease struct{ Lease uint64 }
