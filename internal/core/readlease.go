package core

import (
	"strings"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// What the right to answer workers rests on is told in package vouch. Here it
// meets the pings, the users' answers and the leadership.

const (
	// readLeaseAfter is how old the state service's own proof has to be for a leader to
	// have the others vouch. Nobody waits for a leader that asks for nothing.
	readLeaseAfter = 2 * second
	// mirrorMaxAge is how old the mirror may be before a leader reads what is stored.
	mirrorMaxAge = second
	// maxHeldReply is how long a user waits for a leader to learn of a
	// cancellation, below what is waited for the answer to a poll.
	maxHeldReply = 1_200_000
	// informInterval is how often a leader is told, while somebody waits.
	informInterval = 100_000
)

// heldReplies are answers that wait until whoever lives on this controller's word knows
// of the cancellations in them.
type heldReplies struct {
	held       []heldReply
	informedAt map[string]int64 // when a controller was last told
}

type heldReply struct {
	reply  Reply
	jobIDs []string
	since  int64
}

// readLeaseManager grants read leases to leaders that the state service fails, and holds answers back that such a leader has to know of first.
type readLeaseManager struct {
	*engine

	cache        *stateCache
	elector      *elector
	peers        *peerMonitor
	sweepManager *sweepManager

	readLeaseGrantor *readlease.Grantor
	heldReplies      heldReplies
}

func newReadLeaseManager(run *engine) *readLeaseManager {
	set := &run.settings
	return &readLeaseManager{
		engine: run, readLeaseGrantor: readlease.NewGrantor(set.Incarnation, set.Peers, set.LeaderAuthorityTime(), run.now),
		heldReplies: heldReplies{informedAt: map[string]int64{}},
	}
}

// grantReadLease adds to the answer to a ping what this controller vouches for, and
// whether it lives on the word of who asks.
func (rl *readLeaseManager) grantReadLease(m PingReceived, n *PeerStatus) {
	if m.Incarnation == "" {
		n.Cancelled = rl.readLeaseGrantor.RecentCancellations()
		return
	}
	if m.Question != nil {
		p := rl.readLeaseGrantor.Grant(m.From, *m.Question, rl.cache.appliedRevision > 0, rl.now)
		n.ReadLease = &p
	}
	n.Ack = &readlease.HolderAck{}
	if !rl.elector.isLeader() {
		return
	}
	rl.elector.leadership.readLeases.SetIncarnation(m.From, m.Incarnation)
	if m.Cancellations != nil && rl.elector.leadership.readLeases.ApplyPage(m.From, *m.Cancellations) {
		rl.noteCancelled(m.Cancellations.Cancelled)
	}
	a := rl.elector.leadership.readLeases.Ack(m.From, rl.cache.appliedRevision, rl.now)
	n.Ack = &a
}

// readLeaseAnswered takes a peer's word.
func (rl *readLeaseManager) readLeaseAnswered(m PeerPinged) {
	rl.noteCancelled(m.Status.Cancelled)
	if m.Status.ReadLease == nil {
		return
	}
	rl.noteCancelled(m.Status.ReadLease.Cancelled)
	if !rl.elector.isLeader() {
		return
	}
	rl.elector.leadership.readLeases.HandleGrant(m.Peer, m.SentAt, rl.now, *m.Status.ReadLease)
	if m.Status.ReadLease.More {
		rl.peers.ping(m.Peer)
	}
}

// noteCancelled takes note of what another controller knows to be cancelled.
func (rl *readLeaseManager) noteCancelled(ids []string) {
	for _, id := range ids {
		if sweep, ok := strings.CutPrefix(id, cancelledSweepPrefix); ok {
			rl.sweepManager.noteSweepCancelled(sweep)
			continue
		}
		e := jobstate.End{Outcome: jobstate.Cancelled}
		if j := rl.cache.jobs[id]; j != nil {
			e.Tasks = j.Tasks
		}
		rl.cache.noteEnd(id, e, 0)
	}
}

// cancelledWithSweep says whether a job is a run that is cancelled with its sweep: then
// that is what is told, once for all runs.
func (rl *readLeaseManager) cancelledWithSweep(id string) bool {
	j := rl.cache.jobs[id]
	if j == nil || j.Sweep == "" {
		return false
	}
	return rl.sweepManager.sweepCancelled(j.Sweep)
}

// replyCancelled answers a user with one or more cancellations, once every leader that lives
// on this controller's word knows of them. It is asked to come again if that takes
// too long: such a leader is cut off, and its right runs out.
func (rl *readLeaseManager) replyCancelled(r Reply, ids ...string) {
	for i, id := range ids {
		if rl.cancelledWithSweep(id) {
			id = cancelledSweepPrefix + rl.cache.jobs[id].Sweep
			ids[i] = id
		}
		rl.readLeaseGrantor.RecordCancellation(id, 0)
	}
	switch {
	case len(rl.readLeaseGrantor.Uninformed(ids, rl.now)) == 0:
		rl.emit(r)
	case len(rl.heldReplies.held) >= maxQueuedRequests:
		rl.emit(cancellationUnconfirmed(r.RequestID))
	default:
		rl.heldReplies.held = append(rl.heldReplies.held, heldReply{r, ids, rl.now})
		rl.informLeaders()
	}
}

func cancellationUnconfirmed(req uint64) Reply {
	return Reply{RequestID: req, Status: 503, RetryAfter: 1, Error: "a controller that may lead has yet to learn of the cancellation"}
}

// releaseHeldReplies gives the answers that need not wait any more.
func (rl *readLeaseManager) releaseHeldReplies() {
	keep := rl.heldReplies.held[:0]
	for _, t := range rl.heldReplies.held {
		switch {
		case len(rl.readLeaseGrantor.Uninformed(t.jobIDs, rl.now)) == 0:
			rl.emit(t.reply)
		case rl.now-t.since > maxHeldReply:
			rl.emit(cancellationUnconfirmed(t.reply.RequestID))
		default:
			keep = append(keep, t)
		}
	}
	clear(rl.heldReplies.held[len(keep):])
	rl.heldReplies.held = keep
}

// informLeaders tells those that have to know first.
func (rl *readLeaseManager) informLeaders() {
	var ids []string
	for _, t := range rl.heldReplies.held {
		ids = append(ids, t.jobIDs...)
	}
	for _, p := range rl.readLeaseGrantor.Uninformed(ids, rl.now) {
		if rl.now-rl.heldReplies.informedAt[p] >= informInterval {
			rl.heldReplies.informedAt[p] = rl.now
			rl.peers.ping(p)
		}
	}
}

func (rl *readLeaseManager) heldRepliesTick() {
	if len(rl.heldReplies.held) > 0 {
		rl.releaseHeldReplies()
		rl.informLeaders()
	}
}
