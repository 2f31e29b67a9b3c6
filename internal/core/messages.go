package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/readlease"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// What is stored, as package kv has it.
type (
	Cond              = kv.Condition
	Write             = kv.Write
	Change            = kv.Change
	TransactionResult = kv.TransactionResult
)

// ListPage is how many machines a page of the cloud's list holds.
const ListPage = 500

// Messages to the core.
type (
	// Tick comes many times a second, with the time of day in microseconds.
	Tick struct{ TimeOfDay int64 }
	// StateListed is the whole of the start prefixes; Ledger is the revision
	// that watching goes on from.
	StateListed struct {
		Changes  []Change
		Revision uint64
		Err      error
	}
	// StateRead is the answer of a watch that began after After and was sent at
	// Sent. View marks a read of the moment, Asked one that users wait for, Gone
	// that the service has forgotten After. Relayed: the leader has read it.
	StateRead struct {
		AfterRevision, Revision                      uint64
		SentAt                                       int64
		Changes                                      []Change
		Immediate, ForRequests, Compacted, ViaLeader bool
		Err                                          error
	}
	// LeaderWatched is the answer of a WatchLeader: the leadership may have changed,
	// or the watch is over.
	LeaderWatched struct {
		Changed bool
		Err     error
	}
	// FollowerRead asks a leader for what has changed after a revision, by a read that
	// begins after this came.
	FollowerRead struct {
		RequestID     uint64
		AfterRevision uint64
		// WritesNeeded is how many changes the asker lacks for what its users ask.
		WritesNeeded int
	}
	// LeaderReadDone is how an ReadFromLeader that was sent at Sent ended.
	LeaderReadDone struct {
		Number, AfterRevision uint64
		SentAt                int64
		Answer                Reply
		Err                   error
	}
	// KeyRead is the answer to a Get; Stamp 0 means that the key is absent.
	KeyRead struct {
		ID       uint64
		Key      string
		Value    []byte
		Revision uint64
		Err      error
	}
	// LeaseGranted answers GrantLease, Touched answers Touch.
	LeaseGranted struct {
		Lease  uint64
		SentAt int64
		Err    error
	}
	// LeaseRenewed is the answer to a renewal that was sent at Sent.
	LeaseRenewed struct {
		Lease   uint64
		SentAt  int64
		Expired bool
		Err     error
	}
	// SubmitJob, Status and Cancel are users' requests.
	SubmitJob struct {
		RequestID uint64
		// Forwarded: a peer has handed the request on.
		Forwarded bool
		Spec      *jobstate.Spec
		// Invalid is set when only the id could be read.
		Invalid string
	}
	// QueryJob asks for a job's state.
	QueryJob struct {
		RequestID uint64
		// Forwarded: a peer has handed the request on.
		Forwarded bool
		ID        string
	}
	// CancelJob asks to withdraw a job.
	CancelJob struct {
		RequestID uint64
		// Forwarded: a peer has handed the request on.
		Forwarded bool
		ID        string
	}
	// CheckReady asks whether the controller can take requests.
	CheckReady struct{ RequestID uint64 }
	// HeartbeatReceived is a worker's report; From is the controller that relays it, Onward
	// that it can't reach the leader and this one can.
	HeartbeatReceived struct {
		RequestID uint64
		Heartbeat Heartbeat
		From      string
		ViaPeer   bool
	}
	// HeartbeatRelayed is the leader's answer to a relayed report.
	HeartbeatRelayed struct {
		RequestID uint64
		Answer    Reply
		Err       error
	}
	// PeerPinged is a peer's answer to a ping sent at Sent, or its absence.
	PeerPinged struct {
		Peer   string
		SentAt int64
		OK     bool
		Status PeerStatus
	}
	// PingReceived asks what this controller tells its peers; From is who asks, ""
	// for an older one, Need that it knows too few machines. Boot is the start of
	// who asks, Ask what this controller is to vouch for, Tell cancellations.
	PingReceived struct {
		RequestID        uint64
		From             string
		NeedMachines     bool
		Incarnation      string
		ReadLeaseRequest *readlease.GrantRequest
		Cancellations    *readlease.CancellationPage
	}
	// MachineProbed is how a Probe that was sent at Sent ended; Report is what the
	// machine said of itself, if it could be read.
	MachineProbed struct {
		Machine   string
		SentAt    int64
		OK        bool
		Heartbeat *Heartbeat
	}
	// SetDecommissioned says that a controller will not come back, or that it may.
	SetDecommissioned struct {
		RequestID      uint64
		Name           string
		Decommissioned bool
	}
	// RequestForwarded is a peer's answer to a user's request handed on to it.
	RequestForwarded struct {
		RequestID uint64
		Answer    Reply
		Err       error
	}
	// MachineTypesListed is the cloud's list of machine types. Token here and below is that of
	// the leadership under which the call was made.
	MachineTypesListed struct {
		Types        []fleet.Type
		Err          error
		ViaPeer      string // the peer that asked, "" for this controller
		FencingToken uint64
	}
	// MachinesListed is the cloud's list of machines.
	MachinesListed struct {
		List         []CloudMachine
		Err          error
		ViaPeer      string
		FencingToken uint64
	}
	// ScaledOut answers Rent.
	ScaledOut struct {
		Request ScaleOut
		Names   []string
		Status  int
	}
	// ScaledIn answers Release.
	ScaledIn struct {
		Names        []string
		OK           bool
		FencingToken uint64
	}
)

// PeerStatus is what controllers tell each other once a second.
type PeerStatus struct {
	// FencingToken and Leader are of the newest leadership that is known.
	FencingToken uint64
	Leader       string
	// StateAge is how long ago the state service last answered.
	StateAge int64
	// Cancelled are jobs that users were told are cancelled of late, for a
	// leader of an older program: newer ones learn of them from Vouch.
	Cancelled []string
	// ReadLease answers a question, Ack says whether this controller lives on the
	// word of the one that it answers. Older ones say neither.
	ReadLease *readlease.CancellationPage
	Ack       *readlease.HolderAck
	// Version is the format that the controller can write, 0 before there was
	// any, Features what it has; older ones say nothing of these.
	Version  int
	Features []upgrade.FeatureName
	// LimitsLowered: the state service has shown that its limits have fallen.
	LimitsLowered bool
	// Connectivity is what the controller reaches, Machines some that it knows, for
	// one that needs them. Older ones say neither.
	Connectivity *connectivity.Advertisement
	Machines     []connectivity.Machine
}

// CloudMachine is a machine as the cloud lists it.
type CloudMachine struct {
	Name, Addr, Type, Zone, Status string
	Spot                           bool
	Age                            int64
}

// ReplyCode is how a request ended. Its numbers are those of HTTP, in which users and
// workers get them; 0 stands for a reply that does not exist or did not come.
type ReplyCode int

// The codes of replies.
const (
	ReplyOK      ReplyCode = 200
	ReplyCreated ReplyCode = 201
	// ReplyInvalid: the request is malformed or too large.
	ReplyInvalid  ReplyCode = 400
	ReplyNotFound ReplyCode = 404
	// ReplyConflict: what is stored does not allow it.
	ReplyConflict ReplyCode = 409
	// ReplyMisdirected: another controller handles such requests; see Reply.Leader.
	ReplyMisdirected ReplyCode = 421
	// ReplyUnacceptable: the request is well-formed and can never be fulfilled.
	ReplyUnacceptable ReplyCode = 422
	// ReplyUnavailable: it may be fulfilled later.
	ReplyUnavailable ReplyCode = 503
)

// Effects of the core.
type (
	// Reply answers a request.
	Reply struct {
		RequestID    uint64
		Status       ReplyCode
		RetryAfter   int // seconds
		Error        string
		Job          *JobState
		Sweep        *SweepState
		Runs         *SweepPage
		PeerStatus   *PeerStatus
		Cloud        *CloudResult
		Decommission *DecommissionState
		Ops          *OperatorView
		View         *replica.View
		// FencingToken and Orders answer a report, Leader a misdirected one.
		FencingToken uint64
		Commands     []Command
		Leader       string
	}
	// Quit ends the process: what is stored needs a newer program.
	Quit struct{ Reason string }
	// ListState reads the start prefixes: so many pages at once, and each further one
	// Gap later.
	ListState struct {
		AtOnce int
		Gap    int64
	}
	// WatchState waits for changes after a revision, View reads them at once.
	WatchState struct{ AfterRevision uint64 }
	// WatchLeader waits for a change of the leadership alone.
	WatchLeader struct{ AfterRevision uint64 }
	// ReadFromLeader asks the leader for what has changed after a revision; Number tells
	// its answer from others.
	ReadFromLeader struct {
		To                    string
		AfterRevision, Number uint64
		WritesNeeded          int
	}
	// ReadState is answered by Watched with View set, and Asked as it is here.
	ReadState struct {
		AfterRevision uint64
		ForRequests   bool
	}
	// CommitTransaction is a transaction.
	CommitTransaction struct {
		ID         uint64
		Conditions []Cond
		Writes     []Write
	}
	// ReadKey reads a key.
	ReadKey struct {
		ID  uint64
		Key string
	}
	// GrantLease, Touch and RevokeLease handle the leader's lease.
	GrantLease struct{ TTL int64 }
	// RenewLease renews a lease.
	RenewLease struct{ Lease uint64 }
	// RevokeLease ends a lease.
	RevokeLease struct{ Lease uint64 }
	// RelayHeartbeat hands a report to the leader, or, Onward, to a peer that reaches it.
	RelayHeartbeat struct {
		RequestID uint64
		To        string
		Heartbeat Heartbeat
		ViaPeer   bool
	}
	// ForwardRequest hands a user's request to a peer that the state service
	// answers; it is one of Submit, Status and Cancel.
	ForwardRequest struct {
		RequestID uint64
		To        string
		Request   any
	}
	// PingPeer asks a peer whether it is there; see Pinged.
	PingPeer struct {
		Peer             string
		NeedMachines     bool
		Incarnation      string
		ReadLeaseRequest *readlease.GrantRequest
		Cancellations    *readlease.CancellationPage
	}
	// ProbeMachine asks a machine whether it can be reached.
	ProbeMachine struct{ Machine, Addr string }
	// SendCommands sends orders to a worker's own address.
	SendCommands struct {
		Addr                string
		FencingToken, Epoch uint64
		Commands            []Command
	}
	// ListMachineTypes and ListMachines ask the cloud.
	ListMachineTypes struct{ FencingToken uint64 }
	// ListMachines is answered by Machines.
	ListMachines struct {
		// Gap is the time between two pages.
		Gap          int64
		FencingToken uint64
	}
	// ScaleOut asks for machines under a request name of its own.
	ScaleOut struct {
		Name, Type, Zone string
		Spot             bool
		Count            int
		// NotAfter is the time of the steady clock after which it must not go out:
		// another controller may lead from then on.
		NotAfter     int64
		FencingToken uint64
	}
	// ScaleIn returns machines, like Rent not after Until.
	ScaleIn struct {
		Names        []string
		NotAfter     int64
		FencingToken uint64
	}
)

// DecommissionState says whether operators take a controller for gone.
type DecommissionState struct {
	Name           string
	Decommissioned bool
}

// JobState is what users are told.
type JobState struct {
	ID            string
	State         string
	Done, Running int
}

// The states that users are told.
const (
	Queued  = "queued"
	Running = "running"
)
