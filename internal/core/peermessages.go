package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/readlease"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// PingPeer pings a peer; PingReceived is what comes there, and PeerPinged answers it.
type PingPeer struct {
	Peer             string
	NeedMachines     bool
	Incarnation      string
	ReadLeaseRequest *readlease.GrantRequest
	Cancellations    *readlease.CancellationPage
}

// PingReceived is a peer's ping. The reply to it has this controller's PeerStatus.
type PingReceived struct {
	RequestID uint64
	// From is the peer, "" for one of an older program, and Incarnation its start.
	From string
	// NeedMachines: the peer knows too few machines to probe.
	NeedMachines bool
	Incarnation  string
	// ReadLeaseRequest asks for a read lease, and Cancellations are those that the
	// holder of one is to know of.
	ReadLeaseRequest *readlease.GrantRequest
	Cancellations    *readlease.CancellationPage
}

// PeerPinged is a peer's answer to a ping, or its absence.
type PeerPinged struct {
	Peer   string
	SentAt int64
	OK     bool
	Status PeerStatus
}

// PeerStatus is what controllers tell each other once a second.
type PeerStatus struct {
	// FencingToken and Leader are of the newest leader that is known.
	FencingToken uint64
	Leader       string
	// StateAge is how long ago the state service last answered.
	StateAge int64
	// Cancelled are jobs that users were told are cancelled of late, for a
	// leader of an older program: newer ones learn of them from read leases.
	Cancelled []string
	// ReadLease answers the request for a read lease, Ack says whether this controller
	// holds one that the other has granted. Older programs have neither.
	ReadLease *readlease.CancellationPage
	Ack       *readlease.HolderAck
	// Version is the format that the controller can write, 0 before there was
	// any, Features what it has; older programs have neither.
	Version  int
	Features []upgrade.FeatureName
	// LimitsLowered: the state service has shown that its limits have been lowered.
	LimitsLowered bool
	// Connectivity is what the controller reaches, Machines some that it knows, for
	// one that needs them. Older programs have neither.
	Connectivity *connectivity.Advertisement
	Machines     []connectivity.Machine
}

// ForwardRequest forwards a user's request to a peer that the state service answers;
// RequestForwarded answers it.
type ForwardRequest struct {
	RequestID uint64
	To        string
	// Request is SubmitJob, QueryJob, CancelJob, ForwardedSweep, QuerySweep,
	// ListSweepRuns or CancelSweep.
	Request any
}

// RequestForwarded is a peer's reply to a request that was forwarded to it.
type RequestForwarded struct {
	RequestID uint64
	Answer    Reply
	Err       error
}

// ReadFromLeader asks the leader for what has changed after a revision; FollowerRead is
// what comes there, and LeaderReadDone answers it.
type ReadFromLeader struct {
	To            string
	AfterRevision uint64
	// Number tells the answer from others.
	Number       uint64
	WritesNeeded int
}

// FollowerRead asks a leader for what has changed after a revision, by a read that
// begins after this came.
type FollowerRead struct {
	RequestID     uint64
	AfterRevision uint64
	// WritesNeeded is how many writes the follower lacks for the requests of its users.
	WritesNeeded int
}

// LeaderReadDone is the leader's answer, or why there is none.
type LeaderReadDone struct {
	Number        uint64
	AfterRevision uint64
	SentAt        int64
	Answer        Reply
	Err           error
}
