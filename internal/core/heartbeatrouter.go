package core

import "github.com/zinclb/zinclb/internal/core/connectivity"

// heartbeatRouter routes worker heartbeats to the leader through the controller that holds
// the lease of the machine's partition.
type heartbeatRouter struct {
	*engine

	cache   *stateCache
	elector *elector
	health  *stateHealth
	peers   *peerMonitor
	workers *workerManager

	redirects map[string]redirect
}

func newHeartbeatRouter(shared *engine) *heartbeatRouter {
	return &heartbeatRouter{engine: shared, redirects: map[string]redirect{}}
}

// redirect records when a worker was last redirected to another controller, the time until
// which it is not redirected again, and when its heartbeat was last accepted here.
type redirect struct{ sentAt, keepUntil, servedAt int64 }

// A worker that returns within redirectReturnTime of a redirect was not served by the other
// controller, for example because it cannot reach it. It is then served here for
// keepWorkerTime, so that it does not lose seconds on repeated redirects and two controllers
// do not redirect it to each other endlessly.
const (
	redirectReturnTime = 15 * second
	keepWorkerTime     = 60 * second
)

// onHeartbeat handles a heartbeat if this controller leads; otherwise it relays the heartbeat
// to the leader, or redirects its worker to a controller that can handle or relay it.
func (r *heartbeatRouter) onHeartbeat(m HeartbeatReceived) {
	r.recordContact(m)
	if r.elector.isLeader() {
		r.routeAsLeader(m)
		return
	}
	r.elector.updateNewestLeader(r.cache.leader)
	leader := r.elector.newestLeader.Name
	leaderUp := leader != "" && leader != r.settings.Name && r.peers.connectivity.PeerUp(leader, r.now)
	switch {
	case m.From != "" && m.ViaPeer && leaderUp:
		r.emit(RelayHeartbeat{RequestID: m.RequestID, To: leader, Heartbeat: m.Heartbeat})
	case m.From != "":
		r.refuse(m.RequestID, "not leading")
	case leaderUp:
		r.routeToLeader(m, leader)
	default:
		r.routeWithoutLeader(m, leader)
	}
}

// recordContact updates link health from the arrival of a heartbeat. A late copy from a
// machine that is gone is no evidence about the link to the workers.
func (r *heartbeatRouter) recordContact(m HeartbeatReceived) {
	isGone := r.elector.isLeader() && r.elector.leadership.heartbeats.departed.wasReturned(m.Heartbeat.Machine)
	machine := connectivity.Machine{
		Name: m.Heartbeat.Machine,
		Addr: m.Heartbeat.Addr,
		Zone: m.Heartbeat.Zone,
	}
	links := r.peers.connectivity
	if m.From != "" {
		links.RecordInbound(m.From, r.now)
	}
	switch {
	case isGone:
	case m.From == "":
		links.Workers.RecordHeartbeat(machine, m.Heartbeat.Epoch, m.Heartbeat.Seq, r.now)
	default:
		links.Workers.Add(machine, r.now)
	}
}

// routeAsLeader handles a heartbeat, or redirects its worker to the holder of the machine's
// partition if the worker should use that controller.
func (r *heartbeatRouter) routeAsLeader(m HeartbeatReceived) {
	holder := r.cache.partitions.Holder(m.Heartbeat.Machine)
	if m.From == "" && r.canServe(holder, m.Heartbeat.Zone) && r.mayRedirect(&m.Heartbeat, r.elector.fencingToken()) {
		r.redirectTo(m.RequestID, holder)
		return
	}
	r.recordServedHere(m.Heartbeat.Machine, m.From)
	r.workers.handleHeartbeat(m)
}

// routeToLeader relays a heartbeat that came directly from its worker to a leader that is up,
// if this controller holds the machine's partition, the leader cannot reach the worker's zone
// or the worker should not be redirected. Otherwise it redirects the worker to the holder of
// its partition, or to the leader if the holder cannot serve it.
func (r *heartbeatRouter) routeToLeader(m HeartbeatReceived, leader string) {
	name, zone := m.Heartbeat.Machine, m.Heartbeat.Zone
	if r.holdsPartition(name) ||
		r.peers.connectivity.CannotReachZone(leader, zone) ||
		!r.mayRedirect(&m.Heartbeat, r.elector.newestLeader.Token) {
		r.recordServedHere(name, "")
		r.emit(RelayHeartbeat{RequestID: m.RequestID, To: leader, Heartbeat: m.Heartbeat})
		return
	}
	to := r.cache.partitions.Holder(name)
	if !r.canServe(to, zone) {
		to = leader
	}
	r.redirectTo(m.RequestID, to)
}

// routeWithoutLeader handles a heartbeat that came directly from its worker and that this
// controller can't relay to the leader. The worker is redirected to a controller that can relay
// it, or to the leader itself if the leader reaches the worker's zone. A worker that returns soon
// after such a redirect reached neither, so its heartbeat is relayed through another controller.
func (r *heartbeatRouter) routeWithoutLeader(m HeartbeatReceived, leader string) {
	if !r.settings.Ops.Reach || leader == "" || leader == r.settings.Name {
		r.refuse(m.RequestID, "no leader known")
		return
	}
	relay := r.peers.connectivity.RelayTo(leader)
	to := relay
	if to == "" && !r.health.unavailable() && r.peers.connectivity.ReachesZone(leader, m.Heartbeat.Zone) {
		to = leader // based on its stored advertisement, which is as old as the cached state
	}
	switch {
	case to != "" && r.mayRedirect(&m.Heartbeat, r.elector.newestLeader.Token):
		r.redirectTo(m.RequestID, to)
	case relay != "":
		r.recordServedHere(m.Heartbeat.Machine, "")
		r.emit(RelayHeartbeat{RequestID: m.RequestID, To: relay, Heartbeat: m.Heartbeat, ViaPeer: true})
	default:
		r.refuse(m.RequestID, "no leader known")
	}
}

// canServe reports whether the controller is a peer that can handle the heartbeats of a zone's
// workers.
func (r *heartbeatRouter) canServe(controller, zone string) bool {
	return controller != "" && controller != r.settings.Name &&
		r.peers.connectivity.PeerUp(controller, r.now) &&
		!r.peers.connectivity.CannotReachZone(controller, zone)
}

// holdsPartition reports whether this controller holds the lease of a machine's partition.
func (r *heartbeatRouter) holdsPartition(machine string) bool {
	partitions := &r.cache.partitions
	return partitions.Holder(machine) == r.settings.Name &&
		partitions.FencingToken == r.cache.leader.Token &&
		r.now-r.cache.partitionsReadAt < partitions.LeaseDuration
}

// recordServedHere records that a heartbeat is accepted here. It ignores relayed heartbeats; from
// is the controller that relayed the heartbeat, or "" if it came directly from the worker.
func (r *heartbeatRouter) recordServedHere(machine, from string) {
	if from == "" {
		entry := r.redirects[machine]
		entry.servedAt = r.now
		r.redirects[machine] = entry
	}
}

// mayRedirect reports whether a worker is to be redirected. It records either the redirect, or
// the time until which the worker is kept here.
func (r *heartbeatRouter) mayRedirect(heartbeat *Heartbeat, token uint64) bool {
	entry := r.redirects[heartbeat.Machine]
	if r.now < entry.keepUntil {
		return false
	}
	// A worker that has accepted commands of this leader through another controller has
	// left the holder of its partition for a reason.
	leftHolder := heartbeat.FencingToken == token && (entry.servedAt == 0 || r.now-entry.servedAt > redirectReturnTime)
	cameBack := entry.sentAt != 0 && r.now-entry.sentAt < redirectReturnTime
	if leftHolder || cameBack {
		entry.keepUntil = r.now + keepWorkerTime
		r.redirects[heartbeat.Machine] = entry
		return false
	}
	entry.sentAt = r.now
	r.redirects[heartbeat.Machine] = entry
	return true
}

// expireRedirects deletes redirects that no longer affect routing.
func (r *heartbeatRouter) expireRedirects() {
	for machine, entry := range r.redirects {
		if r.now-max(entry.sentAt, entry.keepUntil, entry.servedAt) > 2*redirectReturnTime {
			delete(r.redirects, machine)
		}
	}
}

// onHeartbeatRelayed forwards the answer to a relayed heartbeat to the sender of the heartbeat.
func (r *heartbeatRouter) onHeartbeatRelayed(m HeartbeatRelayed) {
	if m.Err != nil {
		r.refuse(m.RequestID, "the leader does not answer")
		return
	}
	answer := m.Answer
	answer.RequestID = m.RequestID
	r.emit(answer)
}

// redirectTo answers a heartbeat with the controller that its worker should use.
func (r *heartbeatRouter) redirectTo(requestID uint64, controller string) {
	r.emit(Reply{RequestID: requestID, Status: ReplyMisdirected, Leader: controller})
}

// refuse answers a heartbeat that can't be handled here; the worker then tries another
// controller.
func (r *heartbeatRouter) refuse(requestID uint64, reason string) {
	r.emit(Reply{RequestID: requestID, Status: ReplyUnavailable, Error: reason})
}
