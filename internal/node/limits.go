package node

// Capacity of the core's inbox, in messages. It grows with the number of sockets, so
// that a heartbeat from every machine fits beside users' requests, results of effects
// and messages relayed by peers.
const (
	inboxPerSocket = 4
	minInbox       = 4096
	maxInbox       = 1 << 16
)

func inboxSize(sockets int) int { return min(max(minInbox, sockets*inboxPerSocket), maxInbox) }

// Shares of a controller's sockets. The remaining sockets are for the state service,
// the cloud, peers and probes of machines.
const (
	// userQuarters is the number of quarters of the sockets for users and workers.
	userQuarters = 3
	// socketsPerCommandCall is the number of sockets per concurrent call that delivers
	// commands to a worker.
	socketsPerCommandCall = 16
	minCommandCalls       = 16
	// stateConns and watchConns are the numbers of connections to the state service
	// for ordinary calls and for watches.
	stateConns = 24
	watchConns = 2
)

func maxUserConns(sockets int) int { return sockets * userQuarters / 4 }

func maxCommandCalls(sockets int) int {
	return max(minCommandCalls, sockets/socketsPerCommandCall)
}

// Maximum number of connections from peers: more than one for each, because a broken
// connection may not have been detected yet.
const (
	connsPerPeer = 2
	minPeerConns = 32
)

func maxPeerConns(peers int) int { return max(minPeerConns, peers*connsPerPeer) }
