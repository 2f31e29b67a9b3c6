package core

import (
	"errors"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/connectivity"
)

// pingInterval is how often the peers are pinged.
const pingInterval = second

// peerState is what is known of a peer.
type peerState struct {
	answeredAt      int64 // when the ping was sent that it last answered
	stateAnsweredAt int64 // when, at the latest, the state service answered it
}

// peerMonitor pings the other controllers and knows which of them, and which links, work.
type peerMonitor struct {
	*engine

	cache      *stateCache
	elector    *elector
	health     *stateHealth
	membership *membership
	readLeases *readLeaseManager
	reader     *stateReader

	peerStates            map[string]peerState
	connectivity          *connectivity.Links
	connectivityRevisions map[string]uint64
	connectivityCheckedAt int64
	pingedAt              int64
}

func newPeerMonitor(run *engine) *peerMonitor {
	set := &run.settings
	return &peerMonitor{
		engine: run, peerStates: map[string]peerState{}, connectivityRevisions: map[string]uint64{},
		connectivity: connectivity.New(set.Name, set.Incarnation, set.Peers, set.Zones, config.MicrosOf(set.Workers.ReportS)),
	}
}

func (pm *peerMonitor) onPingReceived(m PingReceived) {
	pm.connectivity.RecordInbound(m.From, pm.now)
	pm.elector.noteNewestLeader(pm.cache.leader)
	n := &PeerStatus{FencingToken: pm.elector.newestLeader.Token, Leader: pm.elector.newestLeader.Name, StateAge: pm.health.outageAge(), Version: pm.membership.writableFormat(), Features: pm.membership.activation.Features(), LimitsLowered: pm.membership.limitsLowered}
	pm.readLeases.grantReadLease(m, n)
	if pm.settings.Ops.Reach {
		v := pm.connectivity.LocalAdvertisement(pm.now)
		n.Connectivity = &v
		if m.NeedMachines {
			n.Machines = pm.connectivity.Workers.Machines()
		}
	}
	pm.emit(Reply{RequestID: m.RequestID, Status: 200, PeerStatus: n})
}

func (pm *peerMonitor) onPeerPinged(m PeerPinged) {
	pm.connectivity.RecordPing(m.Peer, m.SentAt, pm.now, m.OK, m.Status.Connectivity)
	for _, x := range m.Status.Machines {
		pm.connectivity.Workers.Add(x, pm.now)
	}
	if !m.OK {
		return
	}
	v := pm.peerStates[m.Peer]
	if m.SentAt < v.answeredAt {
		return
	}
	v.answeredAt = m.SentAt
	pm.membership.activation.RecordPing(m.Peer, m.SentAt, m.Status.Version, m.Status.Features)
	if m.Status.LimitsLowered {
		pm.membership.lowerLimits("a peer says so")
	}
	v.stateAnsweredAt = m.SentAt - m.Status.StateAge
	pm.peerStates[m.Peer] = v
	pm.readLeases.readLeaseGrantor.HandleAck(m.Peer, m.SentAt, m.Status.Ack)
	pm.readLeases.releaseHeldReplies()
	pm.elector.noteNewestLeader(leaderRecord{Name: m.Status.Leader, Token: m.Status.FencingToken})
	if !pm.elector.isLeader() {
		return
	}
	if m.Status.FencingToken > pm.elector.fencingToken() {
		// The state service may refuse this controller alone. A token is
		// raised by nothing but a take-over, so this is proof.
		pm.elector.stepDown("a peer knows of a newer leader")
		return
	}
	pm.readLeases.readLeaseAnswered(m)
}

// Refusal is an error by which the other side has answered.
type Refusal interface{ Refused() bool }

// failureOf tells a refusal from silence.
func failureOf(err error) connectivity.Failure {
	var r Refusal
	if errors.As(err, &r) && r.Refused() {
		return connectivity.Refused
	}
	return connectivity.NoResponse
}

// forwardToPeer hands a request on to a peer that the state service answers. A
// request that was handed on is not handed on again.
func (pm *peerMonitor) forwardToPeer(a *request) bool {
	if a.forwarded {
		return false
	}
	best := ""
	for _, p := range pm.settings.Peers {
		v := pm.peerStates[p]
		if pm.connectivity.PeerUp(p, pm.now) && pm.now-v.stateAnsweredAt < 3*second && (best == "" || v.stateAnsweredAt > pm.peerStates[best].stateAnsweredAt) {
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
		r = CancelJob{ID: a.targetID, Forwarded: true}
	case requestSweepSubmit:
		r = ForwardedSweep{ID: a.targetID, Stored: a.sweep.submission.Stored, Invalid: a.sweep.submission.Invalid}
	case requestSweepStatus:
		r = QuerySweep{ID: a.targetID, Forwarded: true}
	case requestSweepRuns:
		r = ListSweepRuns{ID: a.targetID, After: a.sweep.after, Limit: a.sweep.limit, Forwarded: true}
	case requestSweepCancel:
		r = CancelSweep{ID: a.targetID, Forwarded: true}
	default:
		r = QueryJob{ID: a.targetID, Forwarded: true}
	}
	pm.emit(ForwardRequest{RequestID: a.id, To: best, Request: r})
	return true
}

func (pm *peerMonitor) onRequestForwarded(m RequestForwarded) {
	r := m.Answer
	if m.Err != nil {
		r = stateUnavailableReply(m.RequestID)
	}
	r.RequestID = m.RequestID
	pm.emit(r)
}

// ping asks a peer how it is. A leader that the state service does not answer asks
// it to vouch; and it is told of cancellations that it has to know of first.
func (pm *peerMonitor) ping(p string) {
	e := PingPeer{Peer: p, NeedMachines: pm.settings.Ops.Reach && pm.connectivity.Workers.NeedsMachines(pm.settings.Zones), Incarnation: pm.settings.Incarnation}
	if pm.elector.isLeader() && (pm.health.lastRequestFailed() || pm.now-pm.elector.leadership.stateProofAt() > readLeaseAfter) {
		q := pm.elector.leadership.readLeases.NextRequest(p, pm.cache.appliedRevision, pm.now)
		e.Question = &q
	}
	if at, ok := pm.readLeases.heldReplies.informedAt[p]; ok && at == pm.now {
		t := pm.readLeases.readLeaseGrantor.PageFor(p)
		e.Cancellations = &t
	}
	pm.emit(e)
}

// pingDue reports once a second that it is time to ping the peers.
func (pm *peerMonitor) pingDue() bool {
	if pm.now-pm.pingedAt < pingInterval {
		return false
	}
	pm.pingedAt = pm.now
	return true
}

// pingEach pings all peers.
func (pm *peerMonitor) pingEach() {
	for _, p := range pm.settings.Peers {
		pm.ping(p)
	}
}

// pingAll has all peers vouch as soon as the state service fails a leader: what one
// of them has told before it crashes is known only if it was heard out by then.
func (pm *peerMonitor) pingAll() {
	if !pm.elector.isLeader() || pm.now-pm.elector.leadership.peersAskedAt < second/2 {
		return
	}
	pm.elector.leadership.peersAskedAt = pm.now
	for _, p := range pm.settings.Peers {
		pm.ping(p)
	}
}
