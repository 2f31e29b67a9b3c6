package connectivity

const (
	// cloudFailureTimeout is for how long calls of the cloud have to fail until a peer
	// makes them.
	cloudFailureTimeout = 3 * second
	// cloudProxyDuration is for how long a peer makes them before they are tried from
	// here again, and for how long a peer that failed is not asked.
	cloudProxyDuration = 30 * second
)

// cloudProxyState is which peer makes this controller's calls of the cloud.
type cloudProxyState struct {
	peer     string
	until    int64
	failedAt map[string]int64 // when a peer last could not
}

// CloudProxy is the peer that is to make a leader's calls of the cloud, "" for the leader
// itself: one that can be reached while the cloud has not answered here for a while, and that
// advertises that it reaches the cloud or at least has not failed.
func (l *Links) CloudProxy(now int64) string {
	proxy := &l.cloudProxy
	if proxy.peer != "" && now < proxy.until && l.PeerUp(proxy.peer, now) {
		return proxy.peer
	}
	proxy.peer = ""
	// A refusal is the cloud's own, and no better elsewhere.
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

// RecordCloudProxy notes how a call of the cloud by way of a peer ended.
func (l *Links) RecordCloudProxy(peer string, ok bool, now int64) {
	if ok {
		return
	}
	l.cloudProxy.failedAt[peer] = now
	if l.cloudProxy.peer == peer {
		l.cloudProxy.peer = ""
	}
}
