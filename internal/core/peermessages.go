package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/readlease"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// PingPeer pings a peer, which receives PingReceived. PeerPinged is the peer's answer.
type PingPeer struct {
	Peer             string
	NeedMachines     bool
	Incarnation      string
	ReadLeaseRequest *readlease.GrantRequest
	Cancellations    *readlease.CancellationPage
}

// PingReceived is a peer's ping. The reply to it contains this controller's PeerStatus.
type PingReceived struct {
	RequestID uint64
	// From is the name of the peer, "" if the peer runs an older program.
	From string
	// NeedMachines is set if the peer knows too few machines to probe.
	NeedMachines bool
	// Incarnation identifies the start of the peer's process, "" if the peer runs a
	// program without read leases.
	Incarnation string
	// ReadLeaseRequest is a request for a read lease, nil for none. Cancellations are
	// those that this controller, as the holder of a read lease, has to know of.
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

// PeerStatus is the status that controllers exchange once a second.
type PeerStatus struct {
	// FencingToken and Leader are those of the newest known leader.
	FencingToken uint64
	Leader       string
	// StateAge is the time since the state service last answered, 0 if the newest request
	// did not fail.
	StateAge int64
	// Cancelled are jobs whose cancellation was recently reported to users, for a leader
	// that runs an older program; newer ones learn of them from read leases.
	Cancelled []string
	// ReadLease answers the request for a read lease. Ack reports whether the controller that
	// sends this status holds a read lease from the one that receives it. Older programs send
	// neither.
	ReadLease *readlease.CancellationPage
	Ack       *readlease.HolderAck
	// Version is the newest stored format that the controller can write, 0 if its program
	// is older than that field. Features are the features that it supports. Older programs
	// send neither.
	Version  int
	Features []upgrade.FeatureName
	// LimitsLowered is set once the state service has shown that its limits have been
	// lowered.
	LimitsLowered bool
	// Connectivity is what the controller reaches. Machines are some machines that it
	// knows, for a peer that needs them. Older programs send neither.
	Connectivity *connectivity.Advertisement
	Machines     []connectivity.Machine
}

// ForwardRequest forwards a user's request to a peer that the state service answers.
// RequestForwarded is the answer.
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

// ReadFromLeader asks the leader for the changes after a revision. The leader receives
// FollowerRead, and LeaderReadDone is its answer.
type ReadFromLeader struct {
	To            string
	AfterRevision uint64
	// Number identifies the read; LeaderReadDone has the same number.
	Number       uint64
	WritesNeeded int
}

// FollowerRead asks a leader for the changes after a revision. The read that answers it must
// begin after the request arrived.
type FollowerRead struct {
	RequestID     uint64
	AfterRevision uint64
	// WritesNeeded is the number of writes that the follower's budget lacks for the requests
	// of its users.
	WritesNeeded int
}

// LeaderReadDone is the leader's answer, or the error if there is none.
type LeaderReadDone struct {
	Number        uint64
	AfterRevision uint64
	SentAt        int64
	Answer        Reply
	Err           error
}
