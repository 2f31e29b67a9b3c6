package core

import (
	"errors"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/connectivity"
)

const (
	// pingInterval is the time between two regular rounds of pings.
	pingInterval = second
	// urgentPingInterval is the minimum time between two rounds of pings that are sent
	// outside the regular interval.
	urgentPingInterval = second / 2
	// maxForwardStateAge limits forwarding: a request is forwarded to a peer only if the state
	// service has answered that peer within this time.
	maxForwardStateAge = 3 * second
)

// peerState is what is known about a peer.
type peerState struct {
	answeredAt      int64 // send time of the newest ping that the peer answered
	stateAnsweredAt int64 // latest known time at which the state service answered the peer
}

// peerMonitor pings the other controllers and tracks which of them answer and which links work.
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
	connectivityRevisions map[string]uint64 // of the stored advertisements, by controller
	connectivityCheckedAt int64
	pingedAt              int64
}

func newPeerMonitor(shared *engine) *peerMonitor {
	settings := &shared.settings
	return &peerMonitor{
		engine:                shared,
		peerStates:            map[string]peerState{},
		connectivityRevisions: map[string]uint64{},
		connectivity: connectivity.NewLinks(settings.Name, settings.Incarnation, settings.Peers,
			config.MicrosOf(settings.Workers.ReportS)),
	}
}

// reset discards the stored advertisements, before those of a new list are applied.
func (p *peerMonitor) reset() {
	p.connectivityRevisions = map[string]uint64{}
	p.connectivity.ClearStored()
}

// pingDue reports whether the next regular round of pings is due, and if so records that it
// is sent now.
func (p *peerMonitor) pingDue() bool {
	if p.now-p.pingedAt < pingInterval {
		return false
	}
	p.pingedAt = p.now
	return true
}

// pingAll pings all peers.
func (p *peerMonitor) pingAll() {
	for _, peer := range p.settings.Peers {
		p.ping(peer)
	}
}

// pingUrgently pings all peers immediately when a request to the state service has failed and this
// controller leads. The pings request read leases, which list the cancellations that a peer has
// reported to users. If the peer crashes, the leader knows these cancellations only if it has
// pinged the peer before the crash.
func (p *peerMonitor) pingUrgently() {
	term := p.elector.leadership
	if term == nil || p.now-term.urgentPingAt < urgentPingInterval {
		return
	}
	term.urgentPingAt = p.now
	p.pingAll()
}

// ping asks a peer for its status. A leader that the state service does not answer also requests
// a read lease. If the peer may hold a read lease from this controller, the ping can also contain the
// cancellations that the peer must know before this controller confirms them to users.
func (p *peerMonitor) ping(peer string) {
	ping := PingPeer{
		Peer:         peer,
		NeedMachines: p.settings.Ops.Reach && p.connectivity.Workers.NeedsMachines(p.settings.Zones, p.now),
		Incarnation:  p.settings.Incarnation,
	}
	p.readLeases.addToPing(&ping)
	p.emit(ping)
}

// onPingReceived answers a peer's ping with this controller's status.
func (p *peerMonitor) onPingReceived(m PingReceived) {
	p.connectivity.RecordInbound(m.From, p.now)
	p.elector.updateNewestLeader(p.cache.leader)
	leader := p.elector.newestLeader
	status := &PeerStatus{
		FencingToken:  leader.Token,
		Leader:        leader.Name,
		StateAge:      p.health.outageAge(),
		Version:       p.membership.writableFormat(),
		Features:      p.membership.activation.Features(),
		LimitsLowered: p.membership.limitsLowered,
	}
	p.readLeases.addToStatus(m, status)
	if p.settings.Ops.Reach {
		advertisement := p.connectivity.LocalAdvertisement(p.now)
		status.Connectivity = &advertisement
		if m.NeedMachines {
			status.Machines = p.connectivity.Workers.Machines()
		}
	}
	p.emit(Reply{RequestID: m.RequestID, Status: ReplyOK, PeerStatus: status})
}

// onPeerPinged handles a peer's answer to a ping, or its absence.
func (p *peerMonitor) onPeerPinged(m PeerPinged) {
	p.connectivity.RecordPing(m.Peer, m.SentAt, p.now, m.OK, m.Status.Connectivity)
	p.mergeMachines(m.Peer, &m.Status)
	if !m.OK || m.SentAt < p.peerStates[m.Peer].answeredAt {
		return
	}
	p.peerStates[m.Peer] = peerState{answeredAt: m.SentAt, stateAnsweredAt: m.SentAt - m.Status.StateAge}
	p.membership.activation.RecordPing(m.Peer, m.SentAt, m.Status.Version, m.Status.Features)
	if m.Status.LimitsLowered {
		p.membership.lowerLimits("reported by a peer")
	}
	p.readLeases.onAck(m)
	p.elector.updateNewestLeader(leaderRecord{Name: m.Status.Leader, Token: m.Status.FencingToken})
	if !p.elector.isLeader() {
		return
	}
	if m.Status.FencingToken > p.elector.fencingToken() {
		// The state service may be unreachable from this controller only. Only a
		// failover raises the fencing token, so a higher one proves that another
		// controller leads.
		p.elector.stepDown("a peer knows of a newer leader")
		return
	}
	p.readLeases.onGrant(m)
}

// mergeMachines adds the machines in a peer's status to the sample of workers, and logs those
// that the status shows to be gone.
func (p *peerMonitor) mergeMachines(peer string, status *PeerStatus) {
	var reachableEighths map[string]int
	if status.Connectivity != nil {
		reachableEighths = status.Connectivity.ReachableEighths
	}
	for _, name := range p.connectivity.Workers.Merge(status.Machines, reachableEighths, p.now) {
		p.log.Info("unreachable machine is gone according to a peer", "machine", name, "peer", peer)
	}
}

// Refusal is implemented by errors that may be the answer of another service. Refused reports
// whether the service has answered, and is therefore up.
type Refusal interface{ Refused() bool }

// failureOf distinguishes a refusal from a missing response.
func failureOf(err error) connectivity.Failure {
	var refusal Refusal
	if errors.As(err, &refusal) && refusal.Refused() {
		return connectivity.Refused
	}
	return connectivity.NoResponse
}

// forwardToPeer forwards a request to a peer that the state service answers. It returns false if
// there is no such peer, or if the request was forwarded to this controller.
func (p *peerMonitor) forwardToPeer(req *request) bool {
	if req.forwarded {
		return false
	}
	peer := p.forwardTarget()
	if peer == "" {
		return false
	}
	p.emit(ForwardRequest{RequestID: req.id, To: peer, Request: forwardedRequest(req)})
	return true
}

// forwardTarget returns the reachable peer with the most recent answer from the state service, or
// "" if no reachable peer had one within maxForwardStateAge.
func (p *peerMonitor) forwardTarget() string {
	target := ""
	for _, peer := range p.settings.Peers {
		answeredAt := p.peerStates[peer].stateAnsweredAt
		if !p.connectivity.PeerUp(peer, p.now) || p.now-answeredAt >= maxForwardStateAge {
			continue
		}
		if target == "" || answeredAt > p.peerStates[target].stateAnsweredAt {
			target = peer
		}
	}
	return target
}

// forwardedRequest returns the message with which a request is forwarded to a peer.
func forwardedRequest(req *request) any {
	switch req.kind {
	case requestSubmit:
		return SubmitJob{Spec: req.spec, Forwarded: true}
	case requestCancel:
		return CancelJob{ID: req.targetID, Forwarded: true}
	case requestSweepSubmit:
		return ForwardedSweep{ID: req.targetID, Stored: req.sweep.submission.Stored, Invalid: req.sweep.submission.Invalid}
	case requestSweepStatus:
		return QuerySweep{ID: req.targetID, Forwarded: true}
	case requestSweepRuns:
		return ListSweepRuns{ID: req.targetID, After: req.sweep.after, Limit: req.sweep.limit, Forwarded: true}
	case requestSweepCancel:
		return CancelSweep{ID: req.targetID, Forwarded: true}
	default:
		return QueryJob{ID: req.targetID, Forwarded: true}
	}
}

// onRequestForwarded passes the peer's answer on to the user, or replies that the state
// service is unavailable if the peer did not answer.
func (p *peerMonitor) onRequestForwarded(m RequestForwarded) {
	if m.Err != nil {
		p.emit(stateUnavailableReply(m.RequestID))
		return
	}
	reply := m.Answer
	reply.RequestID = m.RequestID
	p.emit(reply)
}
