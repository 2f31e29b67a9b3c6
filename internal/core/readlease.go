package core

import (
	"strings"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

const (
	// readLeaseAfter is how old the state service's own proof has to be for a leader to
	// ask for read leases. Users of the others never wait for a leader that asks for none.
	readLeaseAfter = 2 * second
	// mirrorMaxAge is how old the mirror may be before a leader reads what is stored.
	mirrorMaxAge = second
	// maxHeldReply is how long a user's answer is held back for a leader to learn of a
	// cancellation, below the time that users wait for the answer to a poll.
	maxHeldReply = 1_200_000
	// informInterval is the least time between two pings that inform a leader, while
	// answers are held back.
	informInterval = 100_000
)

// heldReply is an answer with cancellations that some holder of a read lease of this
// controller does not know of yet.
type heldReply struct {
	reply Reply
	ids   []string // what is cancelled
	since int64
}

// readLeaseManager has both sides of read leases, whose protocol is described in package
// readlease: it grants them to leaders that the state service does not answer, and collects
// those of the peers for this controller's own term. It holds back answers with cancellations
// until every holder of a read lease knows of these.
type readLeaseManager struct {
	*engine

	cache        *stateCache
	elector      *elector
	endMonitor   *endMonitor
	health       *stateHealth
	peers        *peerMonitor
	sweepManager *sweepManager

	grantor     *readlease.Grantor
	heldReplies []heldReply
	informedAt  map[string]int64 // when a controller was last informed of cancellations
}

func newReadLeaseManager(run *engine) *readLeaseManager {
	settings := &run.settings
	return &readLeaseManager{
		engine:     run,
		grantor:    readlease.NewGrantor(settings.Incarnation, settings.Peers, settings.LeaderAuthorityTime(), run.now),
		informedAt: map[string]int64{},
	}
}

// addToPing adds to a ping the request for a read lease, if this controller leads and the
// state service does not answer it, and the cancellations of which the peer is to be informed
// right now.
func (r *readLeaseManager) addToPing(ping *PingPeer) {
	term := r.elector.leadership
	if term != nil && (r.health.lastRequestFailed() || r.now-term.stateProofAt() > readLeaseAfter) {
		request := term.readLeases.NextRequest(ping.Peer, r.cache.appliedRevision, r.now)
		ping.ReadLeaseRequest = &request
	}
	if at, ok := r.informedAt[ping.Peer]; ok && at == r.now {
		page := r.grantor.PageFor(ping.Peer)
		ping.Cancellations = &page
	}
}

// addToStatus adds to the answer to a ping the read lease that it asks for, and whether this
// controller holds one of the peer that asks.
func (r *readLeaseManager) addToStatus(m PingReceived, status *PeerStatus) {
	if m.Incarnation == "" { // a program without read leases
		status.Cancelled = r.grantor.RecentCancellations()
		return
	}
	if m.ReadLeaseRequest != nil {
		page := r.grantor.Grant(m.From, *m.ReadLeaseRequest, r.cache.appliedRevision > 0, r.now)
		status.ReadLease = &page
	}
	status.Ack = &readlease.HolderAck{}
	if !r.elector.isLeader() {
		return
	}
	holder := r.elector.leadership.readLeases
	holder.SetIncarnation(m.From, m.Incarnation)
	if m.Cancellations != nil && holder.ApplyPage(m.From, *m.Cancellations) {
		r.noteCancelled(m.From, m.Cancellations.Cancelled)
	}
	ack := holder.Ack(m.From, r.cache.appliedRevision, r.now)
	status.Ack = &ack
}

// onAck takes what a peer's answer says of the read lease that it may hold, which may release
// answers that were held back for it.
func (r *readLeaseManager) onAck(m PeerPinged) {
	r.grantor.HandleAck(m.Peer, m.SentAt, m.Status.Ack)
	r.releaseHeldReplies()
}

// onGrant takes the read lease in a peer's answer, and asks for the next page at once.
func (r *readLeaseManager) onGrant(m PeerPinged) {
	r.noteCancelled(m.Peer, m.Status.Cancelled)
	page := m.Status.ReadLease
	if page == nil {
		return
	}
	r.noteCancelled(m.Peer, page.Cancelled)
	if !r.elector.isLeader() {
		return
	}
	r.elector.leadership.readLeases.HandleGrant(m.Peer, m.SentAt, r.now, *page)
	if page.More {
		r.peers.ping(m.Peer)
	}
}

// recordCancellation notes that a job or sweep is known to be cancelled, stored with a
// revision, or 0 if that is not known.
func (r *readLeaseManager) recordCancellation(id string, revision uint64) {
	r.grantor.RecordCancellation(id, revision)
}

// noteCancelled takes note of what a peer knows to be cancelled.
func (r *readLeaseManager) noteCancelled(peer string, ids []string) {
	for _, id := range ids {
		if sweepID, ok := strings.CutPrefix(id, cancelledSweepPrefix); ok {
			r.sweepManager.noteCancelled(sweepID)
			continue
		}
		end := jobstate.End{Outcome: jobstate.Cancelled}
		if job := r.cache.jobs[id]; job != nil {
			end.Tasks = job.Tasks
		}
		if _, known := r.cache.ends.Get(id); !known {
			r.endMonitor.told(id, peer)
		}
		// The peer may have derived the end: it need not be stored.
		r.cache.noteEnd(id, jobstate.ToldEnd(end))
	}
}

// noteCancellation records how a job was cancelled, unless no holder of a read lease has to know.
func (r *readLeaseManager) noteCancellation(id string, end jobstate.KnownEnd) {
	if !r.cancelledWithSweep(id) && end.Source() != jobstate.EndDerived {
		r.recordCancellation(id, end.Revision())
	}
}

// cancelledWithSweep reports whether a job is a run that is cancelled with its sweep. Then the
// cancellation of the sweep stands for all of its runs.
func (r *readLeaseManager) cancelledWithSweep(id string) bool {
	job := r.cache.jobs[id]
	return job != nil && job.Sweep != "" && r.sweepManager.isCancelled(job.Sweep)
}

// replyCancelled sends a user an answer with cancellations, once every holder of a read lease
// of this controller knows of them. If that takes too long the user is asked to retry: such a
// holder is cut off, and its lease expires.
func (r *readLeaseManager) replyCancelled(reply Reply, ids ...string) {
	ids = r.idsToTell(ids)
	for _, id := range ids {
		r.recordCancellation(id, 0)
	}
	switch {
	case len(r.grantor.Uninformed(ids, r.now)) == 0:
		r.emit(reply)
	case len(r.heldReplies) >= maxQueuedRequests:
		r.emit(cancellationUnconfirmed(reply.RequestID))
	default:
		r.heldReplies = append(r.heldReplies, heldReply{reply, ids, r.now})
		r.informHolders()
	}
}

// idsToTell are what holders of read leases have to know of: sweeps in place of their runs, and
// no job whose end is derived. A leader starts nothing of a job behind a cancelled one, and one of
// an earlier version would take such an end for stored.
func (r *readLeaseManager) idsToTell(ids []string) []string {
	var told []string
	for _, id := range ids {
		if r.cancelledWithSweep(id) {
			told = append(told, cancelledSweepPrefix+r.cache.jobs[id].Sweep)
			continue
		}
		if end, known := r.cache.knownEnd(id); known && end.Source() == jobstate.EndDerived {
			continue
		}
		told = append(told, id)
	}
	return told
}

func cancellationUnconfirmed(requestID uint64) Reply {
	return Reply{RequestID: requestID, Status: ReplyUnavailable, RetryAfter: 1, Error: "a controller that may lead has yet to learn of the cancellation"}
}

// releaseHeldReplies sends the answers that need not be held back any more.
func (r *readLeaseManager) releaseHeldReplies() {
	kept := r.heldReplies[:0]
	for _, held := range r.heldReplies {
		switch {
		case len(r.grantor.Uninformed(held.ids, r.now)) == 0:
			r.emit(held.reply)
		case r.now-held.since > maxHeldReply:
			r.emit(cancellationUnconfirmed(held.reply.RequestID))
		default:
			kept = append(kept, held)
		}
	}
	clear(r.heldReplies[len(kept):])
	r.heldReplies = kept
}

// informHolders pings the holders of read leases for which answers are held back.
func (r *readLeaseManager) informHolders() {
	var ids []string
	for _, held := range r.heldReplies {
		ids = append(ids, held.ids...)
	}
	for _, holder := range r.grantor.Uninformed(ids, r.now) {
		if r.now-r.informedAt[holder] >= informInterval {
			r.informedAt[holder] = r.now
			r.peers.ping(holder)
		}
	}
}

func (r *readLeaseManager) heldRepliesTick() {
	if len(r.heldReplies) > 0 {
		r.releaseHeldReplies()
		r.informHolders()
	}
}
