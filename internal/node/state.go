package node

import (
	"log/slog"
	"time"

	"github.com/zinclb/zinclb/internal/core"
)

const (
	// commitTimeout is the timeout of a transaction.
	commitTimeout = 2 * time.Second
	// watchTimeout is the maximum time that a watch waits for a change.
	watchTimeout = 10 * time.Second
	// stateRetryPause is the delay before the core receives the result of a failed list
	// or watch, so that the core's retries do not overload a failing state service.
	stateRetryPause = 300 * time.Millisecond
)

// listState reads all keys under the start prefixes. The first AtOnce pages are read
// without a pause, each later one after the requested gap.
func (n *Node) listState(e core.ListState) {
	var result core.StateListed
	pages := 0
	pace := func() {
		if pages++; pages > e.AtOnce {
			n.sleep(time.Duration(e.Gap) * time.Microsecond)
		}
	}
	for i, prefix := range core.StartPrefixes {
		changes, revision, err := n.state.List(prefix, pace)
		if err != nil {
			n.sleep(stateRetryPause)
			n.deliver(core.StateListed{Err: err})
			return
		}
		if i == 0 {
			result.Revision = revision
		}
		result.Changes = append(result.Changes, changes...)
	}
	n.deliver(result)
}

// watchState waits for changes of the stored state.
func (n *Node) watchState(e core.WatchState, sentAt int64) {
	result := n.watches.Watch(core.Prefix, e.AfterRevision, watchTimeout)
	result.SentAt = sentAt
	if result.Err != nil {
		n.sleep(stateRetryPause)
	}
	n.deliver(result)
}

// watchLeader waits for a change of the leader key.
func (n *Node) watchLeader(e core.WatchLeader) {
	read := n.watches.Watch(core.LeaderKey, e.AfterRevision, watchTimeout)
	if read.Err != nil {
		n.sleep(stateRetryPause)
	}
	n.deliver(core.LeaderWatched{Changed: read.Compacted || len(read.Changes) > 0, Err: read.Err})
}

// readState reads the changes after a revision without waiting for further ones.
func (n *Node) readState(e core.ReadState, sentAt int64) {
	result := n.state.Watch(core.Prefix, e.AfterRevision, 0)
	result.SentAt = sentAt
	result.Immediate = true
	result.ForRequests = e.ForRequests
	n.deliver(result)
}

func (n *Node) readKey(e core.ReadKey) {
	read := n.state.Get(e.Key)
	read.ID = e.ID
	n.deliver(read)
}

func (n *Node) grantLease(e core.GrantLease, sentAt int64) {
	lease, err := n.state.GrantLease(time.Duration(e.TTL) * time.Microsecond)
	n.deliver(core.LeaseGranted{Lease: lease, SentAt: sentAt, Err: err})
}

func (n *Node) renewLease(e core.RenewLease, sentAt int64) {
	expired, err := n.state.RenewLease(e.Lease)
	n.deliver(core.LeaseRenewed{Lease: e.Lease, SentAt: sentAt, Expired: expired, Err: err})
}

// revokeLease ends a lease early. If that fails, the lease expires by itself.
func (n *Node) revokeLease(e core.RevokeLease) {
	if err := n.state.RevokeLease(e.Lease); err != nil {
		slog.Debug("lease revocation failed", "error", err)
	}
}
