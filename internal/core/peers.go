package core

import (
	"errors"

	"github.com/zinclb/zinclb/internal/core/connectivity"
)

// peerState is what is known of a peer.
type peerState struct {
	answeredAt      int64 // when the ping was sent that it last answered
	stateAnsweredAt int64 // when, at the latest, the state service answered it
}

func (c *Core) onPingReceived(m PingReceived) {
	c.connectivity.RecordInbound(m.From, c.now)
	c.noteNewestLeader(c.leader)
	n := &PeerStatus{FencingToken: c.newestLeader.Token, Leader: c.newestLeader.Name, StateAge: c.stateAge(), Version: c.writableFormat(), Features: c.activation.Features(), LimitsLowered: c.limitsLowered}
	c.grantReadLease(m, n)
	if c.settings.Ops.Reach {
		v := c.connectivity.LocalAdvertisement(c.now)
		n.Connectivity = &v
		if m.NeedMachines {
			n.Machines = c.connectivity.Workers.Machines()
		}
	}
	c.emit(Reply{RequestID: m.RequestID, Status: 200, PeerStatus: n})
}

func (c *Core) noteNewestLeader(v leaderRecord) {
	if v.Token > c.newestLeader.Token {
		c.newestLeader = v
	}
}

func (c *Core) onPeerPinged(m PeerPinged) {
	c.connectivity.RecordPing(m.Peer, m.SentAt, c.now, m.OK, m.Status.Connectivity)
	for _, x := range m.Status.Machines {
		c.connectivity.Workers.Add(x, c.now)
	}
	if !m.OK {
		return
	}
	v := c.peerStates[m.Peer]
	if m.SentAt < v.answeredAt {
		return
	}
	v.answeredAt = m.SentAt
	c.activation.RecordPing(m.Peer, m.SentAt, m.Status.Version, m.Status.Features)
	if m.Status.LimitsLowered {
		c.lowerLimits("a peer says so")
	}
	v.stateAnsweredAt = m.SentAt - m.Status.StateAge
	c.peerStates[m.Peer] = v
	c.readLeaseGrantor.HandleAck(m.Peer, m.SentAt, m.Status.Ack)
	c.releaseHeldReplies()
	c.noteNewestLeader(leaderRecord{Name: m.Status.Leader, Token: m.Status.FencingToken})
	if c.leadership == nil {
		return
	}
	if m.Status.FencingToken > c.leadership.token {
		// The state service may refuse this controller alone. A token is
		// raised by nothing but a take-over, so this is proof.
		c.stepDown("a peer knows of a newer leader")
		return
	}
	c.readLeaseAnswered(m)
}

// Refusal is an error by which the other side has answered.
type Refusal interface{ Refused() bool }

// faultOf tells a refusal from silence.
func faultOf(err error) connectivity.Failure {
	var r Refusal
	if errors.As(err, &r) && r.Refused() {
		return connectivity.Refused
	}
	return connectivity.NoResponse
}

// noteStateResult notes how a request to the state service has ended.
func (c *Core) noteStateResult(side *connectivity.Link, err error) {
	if err == nil {
		c.stateAnsweredAt = c.now
		side.RecordSuccess(c.now, c.now)
	} else {
		c.stateFailedAt = c.now
		side.RecordFailure(c.now, c.now, faultOf(err))
		c.pingAll()
	}
}

// noteTransactionResult notes how a transaction has ended. One that was refused for its rate
// or its size says nothing of the link.
func (c *Core) noteTransactionResult(m Committed) {
	w := &c.connectivity.Writes
	switch m.Status {
	case 200, 409:
		c.stateAnsweredAt = c.now
		w.RecordSuccess(c.now, c.now)
		c.noteAnnouncedRevision(m.Revision)
	case 0:
		c.stateFailedAt = c.now
		w.RecordFailure(c.now, c.now, connectivity.NoResponse)
		c.pingAll()
	default:
		c.stateFailedAt = c.now
		if m.Status == 503 {
			w.RecordFailure(c.now, c.now, connectivity.Refused)
		}
		c.pingAll()
	}
}

// noteAnnouncedRevision notes a revision that the state service has told of. A watch that
// does not bring it is silent, however well requests are answered.
func (c *Core) noteAnnouncedRevision(rev uint64) {
	if rev <= max(c.appliedRevision, c.announcedRevision) {
		return
	}
	if c.announcedRevision <= c.appliedRevision {
		c.announcedAt = c.now
	}
	c.announcedRevision = rev
}

// maxWatchDelay is how long a watch may take to bring a change that is known of.
const maxWatchDelay = 600_000

// watchdogTick reads what a silent watch keeps back: a leader that learned of jobs
// by it alone would leave them waiting for as long as the connection is held.
func (c *Core) watchdogTick() {
	if !c.synced || c.announcedRevision <= c.appliedRevision || c.now-c.announcedAt < maxWatchDelay || !c.watching {
		return
	}
	c.announcedAt = c.now
	c.connectivity.Watch.RecordFailure(c.now, c.now, connectivity.NoResponse)
	c.emit(ReadState{AfterRevision: c.appliedRevision})
}

// stateUnavailable says that the state service has not answered for a while.
func (c *Core) stateUnavailable() bool {
	return c.stateFailedAt > c.stateAnsweredAt && c.now-c.stateAnsweredAt > 1500_000
}

// stateAge is how long the state service is known not to answer.
func (c *Core) stateAge() int64 {
	if c.stateFailedAt <= c.stateAnsweredAt {
		return 0
	}
	return c.now - c.stateAnsweredAt
}

// forwardToPeer hands a request on to a peer that the state service answers. A
// request that was handed on is not handed on again.
func (c *Core) forwardToPeer(a *request) bool {
	if a.forwarded {
		return false
	}
	best := ""
	for _, p := range c.settings.Peers {
		v := c.peerStates[p]
		if c.connectivity.PeerUp(p, c.now) && c.now-v.stateAnsweredAt < 3*second && (best == "" || v.stateAnsweredAt > c.peerStates[best].stateAnsweredAt) {
			best = p
		}
	}
	if best == "" {
		return false
	}
	var r any
	switch a.kind {
	case requestSubmit:
		r = SubmitJob{Spec: a.spec, Forwarded: true}
	case requestCancel:
		r = CancelJob{ID: a.jobID, Forwarded: true}
	case requestSweepSubmit:
		r = ForwardedSweep{ID: a.jobID, Stored: a.sweep.Stored, Invalid: a.sweep.Invalid}
	case requestSweepStatus:
		r = QuerySweep{ID: a.jobID, Forwarded: true}
	case requestSweepRuns:
		r = ListSweepRuns{ID: a.jobID, After: a.after, Limit: a.limit, Forwarded: true}
	case requestSweepCancel:
		r = CancelSweep{ID: a.jobID, Forwarded: true}
	default:
		r = QueryJob{ID: a.jobID, Forwarded: true}
	}
	c.emit(ForwardRequest{RequestID: a.id, To: best, Request: r})
	return true
}

func (c *Core) onRequestForwarded(m RequestForwarded) {
	r := m.Answer
	if m.Err != nil {
		r = stateUnavailableReply
	}
	r.RequestID = m.RequestID
	c.emit(r)
}
