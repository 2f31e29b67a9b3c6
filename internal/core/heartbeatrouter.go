package core

import "github.com/zinclb/zinclb/internal/core/connectivity"

// heartbeatRouter takes a worker's heartbeat to the leader, by the controller that holds the machine's partition.
type heartbeatRouter struct {
	*engine

	cache   *stateCache
	elector *elector
	health  *stateHealth
	peers   *peerMonitor
	workers *workerManager

	redirects map[string]redirect
}

// redirect is when a worker was last sent elsewhere, until when it is not
// sent elsewhere again, and when it was last served here.
type redirect struct{ sentAt, keepUntil, servedAt int64 }

// onHeartbeat routes a report to the one who decides: the partition's holder
// takes it from the worker and hands it to the leader.
func (h *heartbeatRouter) onHeartbeat(b HeartbeatReceived) {
	name := b.Heartbeat.Machine
	at := connectivity.Machine{Name: name, Addr: b.Heartbeat.Addr, Zone: b.Heartbeat.Zone}
	if b.From == "" {
		h.peers.connectivity.Workers.RecordHeartbeat(at, b.Heartbeat.Epoch, b.Heartbeat.Seq, h.now)
	} else {
		h.peers.connectivity.RecordInbound(b.From, h.now)
		h.peers.connectivity.Workers.Add(at, h.now)
	}
	if h.elector.isLeader() {
		holder := h.cache.partitions.Holder(name)
		if b.From == "" && holder != "" && holder != h.settings.Name && h.peers.connectivity.PeerUp(holder, h.now) && !h.peers.connectivity.CannotReachZone(holder, b.Heartbeat.Zone) && h.mayRedirect(&b.Heartbeat, h.elector.fencingToken()) {
			h.emit(Reply{RequestID: b.RequestID, Status: 421, Leader: holder})
			return
		}
		h.noteServedHere(name, b.From)
		h.workers.handleHeartbeat(b)
		return
	}
	h.elector.noteNewestLeader(h.cache.leader)
	leader := h.elector.newestLeader.Name
	up := leader != "" && leader != h.settings.Name && h.peers.connectivity.PeerUp(leader, h.now)
	if b.From != "" {
		if b.ViaPeer && up {
			h.emit(RelayHeartbeat{RequestID: b.RequestID, To: leader, Heartbeat: b.Heartbeat})
			return
		}
		h.emit(Reply{RequestID: b.RequestID, Status: 503, Error: "not leading"})
		return
	}
	if !up {
		h.redirectFromLeaderless(b, leader)
		return
	}
	if h.holdsPartition(name) || h.peers.connectivity.CannotReachZone(leader, b.Heartbeat.Zone) || !h.mayRedirect(&b.Heartbeat, h.elector.newestLeader.Token) {
		h.noteServedHere(name, "")
		h.emit(RelayHeartbeat{RequestID: b.RequestID, To: leader, Heartbeat: b.Heartbeat})
		return
	}
	to := h.cache.partitions.Holder(name)
	if to == "" || to == h.settings.Name || !h.peers.connectivity.PeerUp(to, h.now) || h.peers.connectivity.CannotReachZone(to, b.Heartbeat.Zone) {
		to = leader
	}
	h.emit(Reply{RequestID: b.RequestID, Status: 421, Leader: to})
}

// redirectFromLeaderless handles a report that can't be handed to the leader. Its worker is sent
// to a controller that can do that, or to the leader itself where that reaches
// the worker's zone; one that comes back can reach neither, and its report goes
// by way of another controller.
func (h *heartbeatRouter) redirectFromLeaderless(b HeartbeatReceived, leader string) {
	if h.settings.Ops.Reach && leader != "" && leader != h.settings.Name {
		way := h.peers.connectivity.RelayTo(leader)
		to := way
		if to == "" && !h.health.unavailable() && h.peers.connectivity.ReachesZone(leader, b.Heartbeat.Zone) {
			to = leader // by its stored word, which is as old as the mirror
		}
		switch {
		case to != "" && h.mayRedirect(&b.Heartbeat, h.elector.newestLeader.Token):
			h.emit(Reply{RequestID: b.RequestID, Status: 421, Leader: to})
			return
		case way != "":
			h.noteServedHere(b.Heartbeat.Machine, "")
			h.emit(RelayHeartbeat{RequestID: b.RequestID, To: way, Heartbeat: b.Heartbeat, ViaPeer: true})
			return
		}
	}
	h.emit(Reply{RequestID: b.RequestID, Status: 503, Error: "no leader known"})
}

// holdsPartition says whether this controller holds the lease of a machine's partition.
func (h *heartbeatRouter) holdsPartition(name string) bool {
	return h.cache.partitions.Holder(name) == h.settings.Name && h.cache.partitions.FencingToken == h.cache.leader.Token && h.now-h.cache.partitionsReadAt < h.cache.partitions.LeaseDuration
}

// noteServedHere notes that a worker's report is taken here.
func (h *heartbeatRouter) noteServedHere(name, from string) {
	if from == "" {
		r := h.redirects[name]
		r.servedAt = h.now
		h.redirects[name] = r
	}
}

// mayRedirect says whether a worker is to be sent to its holder.
func (h *heartbeatRouter) mayRedirect(rep *Heartbeat, token uint64) bool {
	r := h.redirects[rep.Machine]
	if h.now < r.keepUntil {
		return false
	}
	// One that has orders of this leader, and not from here, has left its
	// holder for a reason.
	left := rep.FencingToken == token && (r.servedAt == 0 || h.now-r.servedAt > redirectReturnTime)
	if left || r.sentAt != 0 && h.now-r.sentAt < redirectReturnTime {
		r.keepUntil = h.now + keepWorkerTime
		h.redirects[rep.Machine] = r
		return false
	}
	r.sentAt = h.now
	h.redirects[rep.Machine] = r
	return true
}

// expireRedirects forgets the workers that no redirect concerns any more.
func (h *heartbeatRouter) expireRedirects() {
	for machine, r := range h.redirects {
		if h.now-max(r.sentAt, r.keepUntil, r.servedAt) > 2*redirectReturnTime {
			delete(h.redirects, machine)
		}
	}
}

func (h *heartbeatRouter) onHeartbeatRelayed(m HeartbeatRelayed) {
	a := m.Answer
	if m.Err != nil {
		a = Reply{Status: 503, Error: "the leader does not answer"}
	}
	a.RequestID = m.RequestID
	h.emit(a)
}
