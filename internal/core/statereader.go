package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// This file decides from where a controller reads the stored state; package replica has the
// bookkeeping of reads from the leader.

const (
	// leaderReadGap is the minimum time between two reads from the leader, in microseconds.
	// Requests that arrive in between share the next read.
	leaderReadGap = 10_000
	// expectedChangeGap is the interval between reads, in microseconds, while the state cache
	// lacks a change that is known to be stored or is expected.
	expectedChangeGap = 150_000
)

// stateReader decides from where this controller reads the stored state: from the state
// service, by watches and reads, or from the leader.
type stateReader struct {
	*engine

	cache      *stateCache
	elector    *elector
	health     *stateHealth
	membership *membership
	peers      *peerMonitor
	requests   *requestHandler

	watching       bool
	watchingLeader bool
	follower       replica.Follower
	recentChanges  replica.ChangeLog
}

// readSource returns the name of the controller from which to read the stored state, or "" for
// the state service itself. A controller reads from the state service if it leads, if it can't
// read from a leader, and after a failed request to the state service, because it must then find
// out whether the service still fails.
func (r *stateReader) readSource() string {
	if r.elector.isLeader() || !r.cache.synced || r.cache.leaderRevision == 0 || r.health.lastRequestFailed() ||
		!r.membership.featureEnabled(upgrade.SharedReads) || !r.peers.connectivity.PeerUp(r.cache.leader.Name, r.now) {
		return ""
	}
	r.follower.SetLeader(r.cache.leader.Name, r.cache.leader.Token)
	return r.follower.Source(r.now)
}

// answerFollower answers another controller's read of the stored state, which was refreshed after
// the request arrived.
func (r *stateReader) answerFollower(req *request) {
	changes, ok := r.recentChanges.Since(req.followerRead.revision)
	if !r.elector.isLeader() || !ok {
		r.emit(retryLaterReply(req.id, 1, "this controller does not lead, or has forgotten the revision"))
		return
	}
	r.log.Debug("follower read answered", "after_revision", req.followerRead.revision,
		"revision", r.cache.appliedRevision, "count", len(changes))
	r.emit(Reply{RequestID: req.id, Status: ReplyOK, View: &replica.View{
		Revision: r.cache.appliedRevision,
		Changes:  changes,
		Granted:  r.health.grantWrites(req.followerRead.writesNeeded),
		Ordered:  true,
	}})
}

// onLeaderReadDone handles the leader's answer. Without a usable answer, the state is read from
// the state service instead, for the same requests.
func (r *stateReader) onLeaderReadDone(m LeaderReadDone) {
	view := m.Answer.View
	ok := m.Err == nil && m.Answer.Status == ReplyOK && view.AnswersRead(m.AfterRevision)
	if !r.follower.EndRequest(m.Number, ok, r.now) {
		return // late or duplicate: the writes it grants may have been used
	}
	if !ok || !r.cache.synced || m.AfterRevision > r.cache.appliedRevision {
		r.emit(ReadState{AfterRevision: r.cache.appliedRevision, ForRequests: true})
		return
	}
	r.health.receiveWrites(view.Granted)
	r.cache.onStateRead(StateRead{AfterRevision: m.AfterRevision, Revision: view.Revision, SentAt: m.SentAt, Changes: view.Changes, Immediate: true, ForRequests: true, ViaLeader: true})
	r.requests.writeQueued()
}

// watchState starts the watch that this controller needs. A controller that follows the leader
// watches only the leadership key, as it reads all other changes from the leader; any other
// controller watches all keys.
func (r *stateReader) watchState() {
	switch {
	case !r.cache.synced:
	case r.readSource() != "" && r.follower.IsFollowing(r.now):
		if !r.watchingLeader {
			r.watchingLeader = true
			r.emit(WatchLeader{AfterRevision: r.cache.appliedRevision})
		}
	case !r.watching && (r.elector.isLeader() || r.health.tryTakeRead()):
		r.watching = true
		r.emit(WatchState{AfterRevision: r.cache.appliedRevision})
	}
}

// onLeaderWatched reads the stored state if the leadership may have changed. It reads from the
// state service only, as the leader may be gone.
func (r *stateReader) onLeaderWatched(m LeaderWatched) {
	r.watchingLeader = false
	r.health.recordResult(&r.peers.connectivity.Watch, m.Err)
	if m.Changed && r.cache.synced {
		r.emit(ReadState{AfterRevision: r.cache.appliedRevision})
	}
	r.watchState()
}

// maxWatchDelay is the maximum time, in microseconds, that a watch may take to deliver a change
// that is known to be stored.
const maxWatchDelay = 600_000

// watchdogTick reads the stored state if the watch appears to be stuck. A leader that relied on
// the watch alone would leave new jobs waiting for as long as the connection stays open.
func (r *stateReader) watchdogTick() {
	if !r.cache.synced || !r.health.watchLags() || r.health.watchLag() < maxWatchDelay || !r.watching {
		return
	}
	r.health.restartWatchLag()
	r.peers.connectivity.Watch.RecordFailure(r.now, r.now, connectivity.NoResponse)
	r.emit(ReadState{AfterRevision: r.cache.appliedRevision})
}

// refreshCacheTick reads the stored state if a leader's state cache has become too old. The watch
// delivers changes, but it may hang, and without changes it proves only that there were none
// when it started.
func (r *stateReader) refreshCacheTick() {
	term := r.elector.leadership
	if r.now-term.cacheFreshAt > maxCacheAge && r.now-term.cacheRefreshReadAt > maxCacheAge/2 {
		term.cacheRefreshReadAt = r.now
		r.emit(ReadState{AfterRevision: r.cache.appliedRevision})
	}
}
