package core

import (
	"errors"

	"github.com/zinclb/zinclb/internal/core/connectivity"
)

// peerView is what is known of a peer.
type peerView struct {
	at      int64 // when the ping was sent that it last answered
	stateOK int64 // when, at the latest, the state service answered it
}

func (c *Core) onPinged(m Pinged) {
	c.links.RecordInbound(m.From, c.now)
	c.noteNewest(c.leader)
	n := &PeerNews{Token: c.newest.Token, Leader: c.newest.Name, StateAge: c.stateAge(), Version: c.formatOf(), Features: c.activation.Features(), Lowered: c.lowered}
	c.vouchFor(m, n)
	if c.set.Ops.Reach {
		v := c.links.LocalAdvertisement(c.now)
		n.Reach = &v
		if m.Need {
			n.Machines = c.links.Workers.Machines()
		}
	}
	c.emit(Reply{Req: m.Req, Status: 200, News: n})
}

func (c *Core) noteNewest(v leaderValue) {
	if v.Token > c.newest.Token {
		c.newest = v
	}
}

func (c *Core) onPeerSeen(m PeerSeen) {
	c.links.RecordPing(m.Peer, m.Sent, c.now, m.OK, m.News.Reach)
	for _, x := range m.News.Machines {
		c.links.Workers.Add(x, c.now)
	}
	if !m.OK {
		return
	}
	v := c.peers[m.Peer]
	if m.Sent < v.at {
		return
	}
	v.at = m.Sent
	c.activation.RecordPing(m.Peer, m.Sent, m.News.Version, m.News.Features)
	if m.News.Lowered {
		c.lower("a peer says so")
	}
	v.stateOK = m.Sent - m.News.StateAge
	c.peers[m.Peer] = v
	c.witness.HandleAck(m.Peer, m.Sent, m.News.Ack)
	c.releaseAnswers()
	c.noteNewest(leaderValue{Name: m.News.Leader, Token: m.News.Token})
	if c.lead == nil {
		return
	}
	if m.News.Token > c.lead.token {
		// The state service may refuse this controller alone. A token is
		// raised by nothing but a take-over, so this is proof.
		c.stepDown("a peer knows of a newer leader")
		return
	}
	c.heardOut(m)
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

// stateAnswered notes how a request to the state service has ended.
func (c *Core) stateAnswered(side *connectivity.Link, err error) {
	if err == nil {
		c.stateOK = c.now
		side.RecordSuccess(c.now, c.now)
	} else {
		c.stateBad = c.now
		side.RecordFailure(c.now, c.now, faultOf(err))
		c.askAll()
	}
}

// noteWrite notes how a transaction has ended. One that was refused for its rate
// or its size says nothing of the link.
func (c *Core) noteWrite(m Committed) {
	w := &c.links.Writes
	switch m.Status {
	case 200, 409:
		c.stateOK = c.now
		w.RecordSuccess(c.now, c.now)
		c.noteRevision(m.Revision)
	case 0:
		c.stateBad = c.now
		w.RecordFailure(c.now, c.now, connectivity.NoResponse)
		c.askAll()
	default:
		c.stateBad = c.now
		if m.Status == 503 {
			w.RecordFailure(c.now, c.now, connectivity.Refused)
		}
		c.askAll()
	}
}

// noteRevision notes a revision that the state service has told of. A watch that
// does not bring it is silent, however well requests are answered.
func (c *Core) noteRevision(rev uint64) {
	if rev <= max(c.applied, c.behind) {
		return
	}
	if c.behind <= c.applied {
		c.behindAt = c.now
	}
	c.behind = rev
}

// watchLate is how long a watch may take to bring a change that is known of.
const watchLate = 600_000

// watchTick reads what a silent watch keeps back: a leader that learned of jobs
// by it alone would leave them waiting for as long as the connection is held.
func (c *Core) watchTick() {
	if !c.synced || c.behind <= c.applied || c.now-c.behindAt < watchLate || !c.watching {
		return
	}
	c.behindAt = c.now
	c.links.Watch.RecordFailure(c.now, c.now, connectivity.NoResponse)
	c.emit(View{After: c.applied})
}

// stateLost says that the state service has not answered for a while.
func (c *Core) stateLost() bool {
	return c.stateBad > c.stateOK && c.now-c.stateOK > 1500_000
}

// stateAge is how long the state service is known not to answer.
func (c *Core) stateAge() int64 {
	if c.stateBad <= c.stateOK {
		return 0
	}
	return c.now - c.stateOK
}

// forward hands a request on to a peer that the state service answers. A
// request that was handed on is not handed on again.
func (c *Core) forward(a *ask) bool {
	if a.handed {
		return false
	}
	best := ""
	for _, p := range c.set.Peers {
		v := c.peers[p]
		if c.links.PeerUp(p, c.now) && c.now-v.stateOK < 3*second && (best == "" || v.stateOK > c.peers[best].stateOK) {
			best = p
		}
	}
	if best == "" {
		return false
	}
	var r any
	switch a.kind {
	case askSubmit:
		r = Submit{Spec: a.spec, Handed: true}
	case askCancel:
		r = Cancel{ID: a.id, Handed: true}
	case askSweepSubmit:
		r = HandedSweep{ID: a.id, Stored: a.sweep.Stored, Invalid: a.sweep.Invalid}
	case askSweepStatus:
		r = SweepStatus{ID: a.id, Handed: true}
	case askSweepRuns:
		r = SweepRuns{ID: a.id, After: a.after, Most: a.most, Handed: true}
	case askSweepCancel:
		r = CancelSweep{ID: a.id, Handed: true}
	default:
		r = Status{ID: a.id, Handed: true}
	}
	c.emit(Forward{Req: a.req, To: best, Request: r})
	return true
}

func (c *Core) onForwarded(m Forwarded) {
	r := m.Answer
	if m.Err != nil {
		r = unavailable
	}
	r.Req = m.Req
	c.emit(r)
}
