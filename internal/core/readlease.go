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

// ping asks a peer how it is. A leader that the state service does not answer asks
// it to vouch; and it is told of cancellations that it has to know of first.
func (c *Core) ping(p string) {
	e := PingPeer{Peer: p, NeedMachines: c.settings.Ops.Reach && c.connectivity.Workers.NeedsMachines(c.settings.Zones), Incarnation: c.settings.Incarnation}
	if c.leadership != nil && (c.stateFailedAt > c.stateAnsweredAt || c.now-c.leadership.provenByState() > readLeaseAfter) {
		q := c.leadership.readLeases.NextRequest(p, c.appliedRevision, c.now)
		e.Question = &q
	}
	if at, ok := c.heldReplies.informedAt[p]; ok && at == c.now {
		t := c.readLeaseGrantor.PageFor(p)
		e.Cancellations = &t
	}
	c.emit(e)
}

// pingAll has all peers vouch as soon as the state service fails a leader: what one
// of them has told before it crashes is known only if it was heard out by then.
func (c *Core) pingAll() {
	if c.leadership == nil || c.now-c.leadership.peersAskedAt < second/2 {
		return
	}
	c.leadership.peersAskedAt = c.now
	for _, p := range c.settings.Peers {
		c.ping(p)
	}
}

// grantReadLease adds to the answer to a ping what this controller vouches for, and
// whether it lives on the word of who asks.
func (c *Core) grantReadLease(m PingReceived, n *PeerStatus) {
	if m.Incarnation == "" {
		n.Cancelled = c.readLeaseGrantor.RecentCancellations()
		return
	}
	if m.Question != nil {
		p := c.readLeaseGrantor.Grant(m.From, *m.Question, c.appliedRevision > 0, c.now)
		n.ReadLease = &p
	}
	n.Ack = &readlease.HolderAck{}
	if c.leadership == nil {
		return
	}
	c.leadership.readLeases.SetIncarnation(m.From, m.Incarnation)
	if m.Cancellations != nil && c.leadership.readLeases.ApplyPage(m.From, *m.Cancellations) {
		c.noteCancelled(m.Cancellations.Cancelled)
	}
	a := c.leadership.readLeases.Ack(m.From, c.appliedRevision, c.now)
	n.Ack = &a
}

// readLeaseAnswered takes a peer's word.
func (c *Core) readLeaseAnswered(m PeerPinged) {
	c.noteCancelled(m.Status.Cancelled)
	if m.Status.ReadLease == nil {
		return
	}
	c.noteCancelled(m.Status.ReadLease.Cancelled)
	if c.leadership == nil {
		return
	}
	c.leadership.readLeases.HandleGrant(m.Peer, m.SentAt, c.now, *m.Status.ReadLease)
	if m.Status.ReadLease.More {
		c.ping(m.Peer)
	}
}

// noteCancelled takes note of what another controller knows to be cancelled.
func (c *Core) noteCancelled(ids []string) {
	for _, id := range ids {
		if sweep, ok := strings.CutPrefix(id, cancelledSweepPrefix); ok {
			c.noteSweepCancelled(sweep)
			continue
		}
		e := jobstate.End{Outcome: jobstate.Cancelled}
		if j := c.jobs[id]; j != nil {
			e.Tasks = j.Tasks
		}
		c.noteEnd(id, e, 0)
	}
}

// cancelledWithSweep says whether a job is a run that is cancelled with its sweep: then
// that is what is told, once for all runs.
func (c *Core) cancelledWithSweep(id string) bool {
	j := c.jobs[id]
	if j == nil || j.Sweep == "" {
		return false
	}
	s := c.sweeps[j.Sweep]
	return s != nil && s.outcome == jobstate.Cancelled
}

// replyCancelled answers a user with one or more cancellations, once every leader that lives
// on this controller's word knows of them. It is asked to come again if that takes
// too long: such a leader is cut off, and its right runs out.
func (c *Core) replyCancelled(r Reply, ids ...string) {
	for i, id := range ids {
		if c.cancelledWithSweep(id) {
			id = cancelledSweepPrefix + c.jobs[id].Sweep
			ids[i] = id
		}
		c.readLeaseGrantor.RecordCancellation(id, 0)
	}
	switch {
	case len(c.readLeaseGrantor.Uninformed(ids, c.now)) == 0:
		c.emit(r)
	case len(c.heldReplies.held) >= maxQueuedRequests:
		c.emit(cancellationUnconfirmed(r.RequestID))
	default:
		c.heldReplies.held = append(c.heldReplies.held, heldReply{r, ids, c.now})
		c.informLeaders()
	}
}

func cancellationUnconfirmed(req uint64) Reply {
	return Reply{RequestID: req, Status: 503, RetryAfter: 1, Error: "a controller that may lead has yet to learn of the cancellation"}
}

// releaseHeldReplies gives the answers that need not wait any more.
func (c *Core) releaseHeldReplies() {
	keep := c.heldReplies.held[:0]
	for _, t := range c.heldReplies.held {
		switch {
		case len(c.readLeaseGrantor.Uninformed(t.jobIDs, c.now)) == 0:
			c.emit(t.reply)
		case c.now-t.since > maxHeldReply:
			c.emit(cancellationUnconfirmed(t.reply.RequestID))
		default:
			keep = append(keep, t)
		}
	}
	clear(c.heldReplies.held[len(keep):])
	c.heldReplies.held = keep
}

// informLeaders tells those that have to know first.
func (c *Core) informLeaders() {
	var ids []string
	for _, t := range c.heldReplies.held {
		ids = append(ids, t.jobIDs...)
	}
	for _, p := range c.readLeaseGrantor.Uninformed(ids, c.now) {
		if c.now-c.heldReplies.informedAt[p] >= informInterval {
			c.heldReplies.informedAt[p] = c.now
			c.ping(p)
		}
	}
}

func (c *Core) heldRepliesTick() {
	if len(c.heldReplies.held) > 0 {
		c.releaseHeldReplies()
		c.informLeaders()
	}
}

// refreshMirrorTick has a leader know what is stored. Its watch brings that, but may hang,
// and where nothing changes it shows only that nothing had when it began.
func (c *Core) refreshMirrorTick() {
	if l := c.leadership; c.now-l.mirrorFreshAt > mirrorMaxAge && c.now-l.mirrorReadAt > mirrorMaxAge/2 {
		l.mirrorReadAt = c.now
		c.emit(ReadState{AfterRevision: c.appliedRevision})
	}
}
