package connectivity

const (
	// cloudFailureTimeout is the time for which cloud calls have to fail before a peer makes
	// them.
	cloudFailureTimeout = 3 * second
	// cloudProxyDuration is the time for which a peer makes the cloud calls before this
	// controller tries to make them itself again, and the time for which a peer that failed
	// is not asked.
	cloudProxyDuration = 30 * second
)

// cloudProxyState tracks the peer that makes this controller's cloud calls.
type cloudProxyState struct {
	peer     string
	until    int64
	failedAt map[string]int64 // time of each peer's last failure
}

// CloudProxy returns the peer that should make this leader's cloud calls, "" if the leader should
// make them itself. A new peer is chosen only if the cloud has not answered the leader for
// cloudFailureTimeout. The choice is among the peers that can be reached and have not failed
// recently; those that advertise that they reach the cloud are preferred.
func (l *Links) CloudProxy(now int64) string {
	proxy := &l.cloudProxy
	if proxy.peer != "" && now < proxy.until && l.PeerUp(proxy.peer, now) {
		return proxy.peer
	}
	proxy.peer = ""
	// No peer is chosen if the cloud refused the last call, because it would refuse a peer as
	// well, or if the last failure is so old that the leader should try again itself.
	if l.Cloud.DownFor(now) < cloudFailureTimeout || l.Cloud.failure != NoResponse || now-l.Cloud.failedAt > cloudProxyDuration {
		return ""
	}
	for _, peer := range l.peers() {
		if !l.PeerUp(peer, now) || proxy.hasFailed(peer, now) {
			continue
		}
		if proxy.peer == "" || l.matrix[peer].Cloud && !l.matrix[proxy.peer].Cloud {
			proxy.peer, proxy.until = peer, now+cloudProxyDuration
		}
	}
	return proxy.peer
}

func (p *cloudProxyState) hasFailed(peer string, now int64) bool {
	failedAt := p.failedAt[peer]
	return failedAt != 0 && now-failedAt <= cloudProxyDuration
}

// RecordCloudProxy records the result of a cloud call through a peer.
func (l *Links) RecordCloudProxy(peer string, ok bool, now int64) {
	if ok {
		return
	}
	l.cloudProxy.failedAt[peer] = now
	if l.cloudProxy.peer == peer {
		l.cloudProxy.peer = ""
	}
}
