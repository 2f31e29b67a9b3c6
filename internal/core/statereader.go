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

// stateReader decides from whom this controller learns what is stored: by a watch of the
// state service, or from the leader.
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
func (r *stateReader) readSource() string {
	if r.elector.isLeader() || !r.cache.synced || r.cache.leaderRevision == 0 || r.health.lastRequestFailed() ||
		!r.membership.featureEnabled(upgrade.SharedReads) || !r.peers.connectivity.PeerUp(r.cache.leader.Name, r.now) {
		return ""
	}
	r.follower.SetLeader(r.cache.leader.Name, r.cache.leader.Token)
	return r.follower.Source(r.now)
}

// answerFollower answers a controller that asks what is stored. It was read after the
// question came.
func (r *stateReader) answerFollower(asked *request) {
	changes, ok := r.recentChanges.Since(asked.followerRead.revision)
	if !r.elector.isLeader() || !ok {
		r.emit(retryLaterReply(asked.id, 1, "this controller does not lead, or has forgotten the revision"))
		return
	}
	granted := r.health.grantWrites(asked.followerRead.writesNeeded)
	r.emit(Reply{RequestID: asked.id, Status: ReplyOK, View: &replica.View{Revision: r.cache.appliedRevision, Changes: changes, Granted: granted}})
}

// onLeaderReadDone takes the leader's answer. If there is none the state service is asked
// instead, for the same requests.
func (r *stateReader) onLeaderReadDone(m LeaderReadDone) {
	v := m.Answer.View
	ok := m.Err == nil && m.Answer.Status == ReplyOK && v != nil && v.Revision >= m.AfterRevision
	if !r.follower.EndRequest(m.Number, ok, r.now) {
		return // late, or a repeat: what it grants may have been used
	}
	if !ok || !r.cache.synced || m.AfterRevision > r.cache.appliedRevision {
		r.emit(ReadState{AfterRevision: r.cache.appliedRevision, ForRequests: true})
		return
	}
	r.health.receiveWrites(v.Granted)
	r.cache.onStateRead(StateRead{AfterRevision: m.AfterRevision, Revision: v.Revision, SentAt: m.SentAt, Changes: v.Changes, Immediate: true, ForRequests: true, ViaLeader: true})
	r.requests.writeQueued()
}

// watchState watches what this controller needs to know of at once: a follower the
// leadership, as it learns of all else by its views, and everybody else everything.
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

// onLeaderWatched reads what is stored where the leadership may have changed. It
// asks nobody else, as the leader may be gone.
func (r *stateReader) onLeaderWatched(m LeaderWatched) {
	r.watchingLeader = false
	r.health.recordResult(&r.peers.connectivity.Watch, m.Err)
	if m.Changed && r.cache.synced {
		r.emit(ReadState{AfterRevision: r.cache.appliedRevision})
	}
	r.watchState()
}

// maxWatchDelay is how long a watch may take to bring a change that is known of.
const maxWatchDelay = 600_000

// watchdogTick reads what a stuck watch does not bring: a leader that learned of jobs
// by it alone would leave them waiting for as long as the connection is held.
func (r *stateReader) watchdogTick() {
	if !r.cache.synced || !r.health.watchLags() || r.health.watchLag() < maxWatchDelay || !r.watching {
		return
	}
	r.health.restartWatchLag()
	r.peers.connectivity.Watch.RecordFailure(r.now, r.now, connectivity.NoResponse)
	r.emit(ReadState{AfterRevision: r.cache.appliedRevision})
}

// refreshMirrorTick has a leader know what is stored. Its watch brings that, but may hang,
// and where nothing changes it shows only that nothing had when it began.
func (r *stateReader) refreshMirrorTick() {
	term := r.elector.leadership
	if r.now-term.mirrorFreshAt > mirrorMaxAge && r.now-term.mirrorReadAt > mirrorMaxAge/2 {
		term.mirrorReadAt = r.now
		r.emit(ReadState{AfterRevision: r.cache.appliedRevision})
	}
}
