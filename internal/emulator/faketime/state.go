package faketime

import (
	"net/http"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/store"
)

// executeStateEffect starts a request to the state service. It returns false if the effect
// is not such a request.
func (n *Controller) executeStateEffect(effect any) bool {
	switch e := effect.(type) {
	case core.ListState:
		n.list(&core.StateListed{}, 0, "", e, 0)
	case core.WatchState:
		n.watch(e.AfterRevision, watchWait, watchTimeout, core.StateRead{SentAt: n.sentAt()})
	case core.ReadState:
		n.watch(e.AfterRevision, 0, watchTimeout-watchWait, core.StateRead{SentAt: n.sentAt(), Immediate: true, ForRequests: e.ForRequests})
	case core.WatchLeader:
		n.watchLeader(e)
	case core.CommitTransaction:
		n.commitTransaction(e)
	case core.ReadKey:
		n.readKey(e)
	case core.GrantLease:
		n.grantLease(e)
	case core.RenewLease:
		n.renewLease(e)
	case core.RevokeLease:
		n.call(environment.StateHost, wire.RevokeLease{Lease: e.Lease}, leaseTimeout, func(int, any) {})
	default:
		return false
	}
	return true
}

func (n *Controller) commitTransaction(e core.CommitTransaction) {
	if n.cluster.OnTransaction != nil {
		n.cluster.OnTransaction(e)
	}
	n.call(environment.StateHost, wireTransaction(e), commitTimeout, func(status int, body any) {
		answer, _ := body.(wire.TransactionAnswer)
		n.step(core.TransactionResult{ID: e.ID, Outcome: store.Outcome(status), Revision: answer.Revision, Failed: answer.Failed})
	})
}

func (n *Controller) readKey(e core.ReadKey) {
	n.call(environment.StateHost, wire.Get{Key: e.Key}, getTimeout, func(status int, body any) {
		read := core.KeyRead{ID: e.ID, Key: e.Key}
		switch answer := body.(type) {
		case wire.Row:
			read.Value, read.Revision = answer.Value, answer.Revision
		case wire.TransactionAnswer:
			read.AbsentAt = answer.Revision
		}
		if status != http.StatusOK && status != http.StatusNotFound {
			read.Err = statusError(status)
		}
		n.step(read)
	})
}

func (n *Controller) grantLease(e core.GrantLease) {
	sent := n.sentAt()
	n.call(environment.StateHost, wire.NewLease{DurationMS: e.TTL / 1000}, leaseTimeout, func(status int, body any) {
		lease, _ := body.(wire.Lease)
		n.step(core.LeaseGranted{Lease: lease.Lease, SentAt: sent, Err: statusError(status)})
	})
}

func (n *Controller) renewLease(e core.RenewLease) {
	sent := n.sentAt()
	n.call(environment.StateHost, wire.RenewLease{Lease: e.Lease}, leaseTimeout, func(status int, _ any) {
		renewed := core.LeaseRenewed{Lease: e.Lease, SentAt: sent, Expired: status == http.StatusNotFound}
		if !renewed.Expired {
			renewed.Err = statusError(status)
		}
		n.step(renewed)
	})
}

// list reads the keys under core.StartPrefixes page by page: e.AtOnce pages without a pause,
// then one page every e.Gap. listed has the keys read so far. prefix is the index of the prefix
// that is being read, and after is the last key read under it. pages is the number of pages
// read since the last pause.
func (n *Controller) list(listed *core.StateListed, prefix int, after string, e core.ListState, pages int) {
	if pages == e.AtOnce && prefix < len(core.StartPrefixes) {
		n.callAfter(e.Gap, func() { n.list(listed, prefix, after, core.ListState{AtOnce: 1, Gap: e.Gap}, 0) })
		return
	}
	if prefix == len(core.StartPrefixes) {
		n.step(*listed)
		return
	}
	request := wire.List{Prefix: core.StartPrefixes[prefix], After: after, Limit: core.ListPage}
	n.call(environment.StateHost, request, listTimeout, func(status int, body any) {
		page, ok := body.(wire.Page)
		if status != http.StatusOK || !ok {
			n.stepAfter(errorRetryDelay, core.StateListed{Err: statusError(status)})
			return
		}
		if prefix == 0 && after == "" {
			listed.Revision = page.Revision
		}
		for _, row := range page.Rows {
			listed.Changes = append(listed.Changes, core.Change{Key: row.Key, Value: row.Value, Revision: row.Revision})
			after = row.Key
		}
		if page.More {
			n.list(listed, prefix, after, e, pages+1)
		} else {
			n.list(listed, prefix+1, "", e, pages+1)
		}
	})
}

// watch requests the changes after a revision; the state service waits up to wait for the
// first one. watch adds the response to read and passes read to the core, after errorRetryDelay
// if the request failed and read is not immediate.
func (n *Controller) watch(after uint64, wait, timeout int64, read core.StateRead) {
	n.call(environment.StateHost, wire.Watch{Prefix: core.Prefix, After: after, WaitMS: wait / 1000}, timeout, func(status int, body any) {
		read.AfterRevision, read.Compacted = after, status == http.StatusGone
		if answer, ok := body.(wire.WatchAnswer); ok {
			read.Revision = answer.Revision
			for _, change := range answer.Changes {
				read.Changes = append(read.Changes, core.Change{Key: change.Key(), Value: change.Value, Revision: change.Revision, Removed: change.Put == ""})
			}
		} else if !read.Compacted {
			read.Err = statusError(status)
		}
		if read.Err != nil && !read.Immediate {
			n.stepAfter(errorRetryDelay, read)
			return
		}
		n.step(read)
	})
}

func (n *Controller) watchLeader(e core.WatchLeader) {
	n.call(environment.StateHost, wire.Watch{Prefix: core.LeaderKey, After: e.AfterRevision, WaitMS: watchWait / 1000}, watchTimeout, func(status int, body any) {
		answer, _ := body.(wire.WatchAnswer)
		watched := core.LeaderWatched{Changed: status == http.StatusGone || len(answer.Changes) > 0}
		if status == http.StatusOK || status == http.StatusGone {
			n.step(watched)
			return
		}
		watched.Err = statusError(status)
		n.stepAfter(errorRetryDelay, watched)
	})
}
