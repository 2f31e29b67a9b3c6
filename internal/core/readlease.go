package core

import (
	"strings"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

const (
	// readLeaseAfter is the age of the newest proof from the state service above which a
	// leader requests read leases even if its last request to the service did not fail.
	// While a leader requests none, users of the other controllers never wait for it.
	readLeaseAfter = 2 * second
	// maxCacheAge is the age of the state cache above which a leader reads the stored state.
	maxCacheAge = second
	// maxHeldReply is the longest time for which a user's answer is held back until a
	// leader knows of a cancellation. It is shorter than the time that users wait for the
	// answer to a query.
	maxHeldReply = 1_200_000 // µs
	// informInterval is the minimum time between two pings that inform a leader of
	// cancellations while answers are held back.
	informInterval = 100_000 // µs
)

// heldReply is an answer with cancellations that some holder of a read lease from this
// controller does not know of yet.
type heldReply struct {
	reply Reply
	ids   []string // cancelled jobs and sweeps
	since int64
}

// readLeaseManager implements both sides of the read lease protocol, which is described in
// package readlease: it grants read leases to leaders that the state service does not answer,
// and collects those of the peers for this controller's own term. It holds back answers with
// cancellations until every holder of a read lease knows of the cancellations.
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
	informedAt  map[string]int64 // time at which each controller was last informed of cancellations
}

func newReadLeaseManager(shared *engine) *readLeaseManager {
	settings := &shared.settings
	return &readLeaseManager{
		engine:     shared,
		grantor:    readlease.NewGrantor(settings.Incarnation, settings.Peers, settings.LeaderAuthorityTime(), shared.now),
		informedAt: map[string]int64{},
	}
}

// addToPing adds to a ping a request for a read lease, if this controller leads and the state
// service does not answer it, and the cancellations of which the peer has to be informed now.
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

// addToStatus adds to the answer to a ping the read lease that the ping requests, and whether
// this controller holds a read lease from the peer that sent the ping.
func (r *readLeaseManager) addToStatus(m PingReceived, status *PeerStatus) {
	if m.Incarnation == "" { // the peer's program does not support read leases
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
		r.recordPeerCancellations(m.From, m.Cancellations.Cancelled)
	}
	ack := holder.Ack(m.From, r.cache.appliedRevision, r.now)
	status.Ack = &ack
}

// onAck handles a peer's acknowledgement of the read lease that it may hold, and sends the
// held replies that no longer have to wait for it.
func (r *readLeaseManager) onAck(m PeerPinged) {
	r.grantor.HandleAck(m.Peer, m.SentAt, m.Status.Ack)
	r.releaseHeldReplies()
}

// onGrant handles the read lease in a peer's answer, and requests the next page at once if
// there is one.
func (r *readLeaseManager) onGrant(m PeerPinged) {
	r.recordPeerCancellations(m.Peer, m.Status.Cancelled)
	page := m.Status.ReadLease
	if page == nil {
		return
	}
	r.recordPeerCancellations(m.Peer, page.Cancelled)
	if !r.elector.isLeader() {
		return
	}
	r.elector.leadership.readLeases.HandleGrant(m.Peer, m.SentAt, r.now, *page)
	if page.More {
		r.peers.ping(m.Peer)
	}
}

// recordCancellation records that a job or sweep is known to be cancelled. revision is that of
// the stored cancellation, 0 if it is not known.
func (r *readLeaseManager) recordCancellation(id string, revision uint64) {
	r.grantor.RecordCancellation(id, revision)
}

// recordPeerCancellations records the jobs and sweeps that a peer knows to be cancelled.
func (r *readLeaseManager) recordPeerCancellations(peer string, ids []string) {
	for _, id := range ids {
		if sweepID, ok := strings.CutPrefix(id, cancelledSweepPrefix); ok {
			r.sweepManager.recordCancelled(sweepID)
			continue
		}
		end := jobstate.End{Outcome: jobstate.Cancelled}
		if job := r.cache.jobs[id]; job != nil {
			end.Tasks = job.Tasks
		}
		if _, known := r.cache.ends.Get(id); !known {
			r.endMonitor.recordReportedEnd(id, peer)
		}
		// The peer may have derived the end from that of a dependency, so the end may
		// not be stored.
		r.cache.recordEnd(id, jobstate.ReportedEnd(end))
	}
}

// recordJobCancellation records the cancellation of a job, unless holders of read leases need
// not know of it.
func (r *readLeaseManager) recordJobCancellation(id string, end jobstate.KnownEnd) {
	if !r.cancelledWithSweep(id) && end.Source() != jobstate.EndDerived {
		r.recordCancellation(id, end.Revision())
	}
}

// cancelledWithSweep reports whether a job is a run of a cancelled sweep. The cancellation of
// the sweep then covers all of its runs.
func (r *readLeaseManager) cancelledWithSweep(id string) bool {
	job := r.cache.jobs[id]
	return job != nil && job.Sweep != "" && r.sweepManager.isCancelled(job.Sweep)
}

// replyCancelled sends a user an answer with cancellations once every holder of a read lease
// from this controller knows of them. If that takes too long, the user is asked to retry: a
// holder that can't be informed is unreachable, and its read lease will expire.
func (r *readLeaseManager) replyCancelled(reply Reply, ids ...string) {
	ids = r.cancellationsToReport(ids)
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

// cancellationsToReport returns the cancellations that holders of read leases have to know of:
// a sweep in place of its runs, and no job whose end is derived. A leader starts no task of a
// job that depends on a cancelled one, and a leader of an earlier version would take a derived
// end for a stored one.
func (r *readLeaseManager) cancellationsToReport(ids []string) []string {
	var toReport []string
	for _, id := range ids {
		if r.cancelledWithSweep(id) {
			toReport = append(toReport, cancelledSweepPrefix+r.cache.jobs[id].Sweep)
			continue
		}
		if end, known := r.cache.knownEnd(id); known && end.Source() == jobstate.EndDerived {
			continue
		}
		toReport = append(toReport, id)
	}
	return toReport
}

func cancellationUnconfirmed(requestID uint64) Reply {
	return Reply{RequestID: requestID, Status: ReplyUnavailable, RetryAfter: 1, Error: "a controller that may lead has yet to learn of the cancellation"}
}

// releaseHeldReplies sends the answers whose cancellations every holder knows, and refuses
// those that were held back for longer than maxHeldReply.
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

// informHolders pings the holders of read leases that do not know of a cancellation in an answer
// that is held back.
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
