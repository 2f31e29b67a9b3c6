package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// How a controller that does not lead learns what is stored; see package replica.

const (
	// leaderReadGap is the least time between two questions to the leader: those who
	// come meanwhile share the next.
	leaderReadGap = 10_000
	// expectedChangeGap is how often the leader is asked while something is known to be
	// stored, or expected, that the mirror does not show.
	expectedChangeGap = 150_000
)

// stateReader decides from whom this controller learns what is stored: a watch of the state service, or the leader.
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

// readSource is the controller that is asked for what is stored, "" for the state
// service itself: for a leader, where nobody leads, and where the state service has
// just failed this controller, which then has to find out whether it still does.
func (sr *stateReader) readSource() string {
	if sr.elector.isLeader() || !sr.cache.synced || sr.cache.leaderRevision == 0 || sr.health.lastRequestFailed() || !sr.membership.featureEnabled(upgrade.SharedReads) || !sr.peers.connectivity.PeerUp(sr.cache.leader.Name, sr.now) {
		return ""
	}
	sr.follower.SetLeader(sr.cache.leader.Name, sr.cache.leader.Token)
	return sr.follower.Source(sr.now)
}

// writesLacking is how many changes requests wait for, with so many left.
func (q *requestQueues) writesLacking(left float64) int {
	if len(q.queuedWrites) == 0 || left >= 1 {
		return 0
	}
	n := 0
	for _, r := range q.queuedWrites {
		n += r.writeCost()
	}
	return n
}

// writeCost is how many changes a request takes; a sweep's are told from its size when
// it is written.
func (r *request) writeCost() int {
	if r.kind == requestCancel {
		return cancelWrites
	}
	return submitWrites
}

// answerFollower answers a controller that asks what is stored. It was read after the
// question came.
func (sr *stateReader) answerFollower(a *request) {
	changes, ok := sr.recentChanges.Since(a.followerRead.revision)
	if !sr.elector.isLeader() || !ok {
		sr.emit(retryLaterReply(a.id, 1, "this controller does not lead, or has forgotten the revision"))
		return
	}
	granted := sr.health.grantWrites(a.followerRead.writesNeeded)
	sr.emit(Reply{RequestID: a.id, Status: ReplyOK, View: &replica.View{Revision: sr.cache.appliedRevision, Changes: changes, Granted: granted}})
}

// onLeaderReadDone takes the leader's answer. If there is none the state service is asked
// instead, for the same requests.
func (sr *stateReader) onLeaderReadDone(m LeaderReadDone) {
	v := m.Answer.View
	ok := m.Err == nil && m.Answer.Status == ReplyOK && v != nil && v.Revision >= m.AfterRevision
	if !sr.follower.EndRequest(m.Number, ok, sr.now) {
		return // late, or a repeat: what it grants may have been used
	}
	if !ok || !sr.cache.synced || m.AfterRevision > sr.cache.appliedRevision {
		sr.emit(ReadState{AfterRevision: sr.cache.appliedRevision, ForRequests: true})
		return
	}
	sr.health.receiveWrites(v.Granted)
	sr.cache.onStateRead(StateRead{AfterRevision: m.AfterRevision, Revision: v.Revision, SentAt: m.SentAt, Changes: v.Changes, Immediate: true, ForRequests: true, ViaLeader: true})
	sr.requests.writeQueued()
}

// watchState watches what this controller needs to know of at once: a follower the
// leadership, as it learns of all else by its views, and everybody else everything.
func (sr *stateReader) watchState() {
	switch {
	case !sr.cache.synced:
	case sr.readSource() != "" && sr.follower.IsFollowing(sr.now):
		if !sr.watchingLeader {
			sr.watchingLeader = true
			sr.emit(WatchLeader{AfterRevision: sr.cache.appliedRevision})
		}
	case !sr.watching && (sr.elector.isLeader() || sr.health.tryTakeRead()):
		sr.watching = true
		sr.emit(WatchState{AfterRevision: sr.cache.appliedRevision})
	}
}

// onLeaderWatched reads what is stored where the leadership may have changed. It
// asks nobody else, as the leader may be gone.
func (sr *stateReader) onLeaderWatched(m LeaderWatched) {
	sr.watchingLeader = false
	sr.health.recordResult(&sr.peers.connectivity.Watch, m.Err)
	if m.Changed && sr.cache.synced {
		sr.emit(ReadState{AfterRevision: sr.cache.appliedRevision})
	}
	sr.watchState()
}

// maxWatchDelay is how long a watch may take to bring a change that is known of.
const maxWatchDelay = 600_000

// watchdogTick reads what a silent watch keeps back: a leader that learned of jobs
// by it alone would leave them waiting for as long as the connection is held.
func (sr *stateReader) watchdogTick() {
	if !sr.cache.synced || !sr.health.watchLags() || sr.health.watchLag() < maxWatchDelay || !sr.watching {
		return
	}
	sr.health.restartWatchLag()
	sr.peers.connectivity.Watch.RecordFailure(sr.now, sr.now, connectivity.NoResponse)
	sr.emit(ReadState{AfterRevision: sr.cache.appliedRevision})
}

// refreshMirrorTick has a leader know what is stored. Its watch brings that, but may hang,
// and where nothing changes it shows only that nothing had when it began.
func (sr *stateReader) refreshMirrorTick() {
	if l := sr.elector.leadership; sr.now-l.mirrorFreshAt > mirrorMaxAge && sr.now-l.mirrorReadAt > mirrorMaxAge/2 {
		l.mirrorReadAt = sr.now
		sr.emit(ReadState{AfterRevision: sr.cache.appliedRevision})
	}
}
