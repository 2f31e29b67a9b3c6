package node

// Bounds of the messages that wait for the core: so many for each socket, which
// leaves room for a heartbeat of every machine beside the users' requests, the
// results of effects and what peers relay.
const (
	inboxPerSocket = 4
	minInbox       = 4096
	maxInbox       = 1 << 16
)

func inboxSize(sockets int) int { return min(max(minInbox, sockets*inboxPerSocket), maxInbox) }

// Shares of a controller's sockets. The rest is for the state service, the cloud,
// peers and probes of machines.
const (
	// userQuarters of four are for workers and users.
	userQuarters = 3
	// socketsPerCommandCall is how many sockets there are for each call that brings
	// commands to a worker.
	socketsPerCommandCall = 16
	minCommandCalls       = 16
	// stateConns and watchConns are for the state service.
	stateConns = 24
	watchConns = 2
)

func maxUserConns(sockets int) int { return sockets * userQuarters / 4 }

func maxCommandCalls(sockets int) int {
	return max(minCommandCalls, sockets/socketsPerCommandCall)
}

// Connections that peers may have here: a few for each, as one that broke may not
// have been noticed yet.
const (
	connsPerPeer = 2
	minPeerConns = 32
)

func maxPeerConns(peers int) int { return max(minPeerConns, peers*connsPerPeer) }
