// Package core is zinclb without input and output: it takes messages with the
// time of the steady clock and answers with effects to be carried out. Every
// controller runs it; the one that holds the leadership key also decides.
package core

import (
	"log/slog"
	"math/rand/v2"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
	"github.com/zinclb/zinclb/internal/core/readlease"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/txn"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// Keys of the state service.
const (
	Prefix    = "zinclb/"
	jobPrefix = Prefix + "job/"
	runPrefix = Prefix + "run/"
	endPrefix = Prefix + "end/"
	// LeaderKey is on the leader's lease.
	LeaderKey     = Prefix + "leader"
	tokenKey      = Prefix + "token"
	typesKey      = Prefix + "types"
	partitionsKey = Prefix + "bounds"
	hintsKey      = Prefix + "hints"
	formatKey     = Prefix + "format"
	logPrefix     = Prefix + "log/"
	// memberPrefix is for what each controller says of itself.
	memberPrefix = Prefix + "member/"
	// featuresKey has the features that are on, decommissionedPrefix is for controllers
	// that operators say will not come back.
	featuresKey          = Prefix + "features"
	decommissionedPrefix = Prefix + "gone/"
	// connectivityPrefix is for what each controller reaches, on its lease.
	connectivityPrefix = Prefix + "reach/"
)

// StartPrefixes are listed at the start; ends are read one by one, as they
// are kept for ever.
var StartPrefixes = []string{jobPrefix, runPrefix, LeaderKey, tokenKey, typesKey, partitionsKey, hintsKey, formatKey, memberPrefix, logPrefix, sweepRoot, connectivityPrefix, featuresKey, decommissionedPrefix}

const second = config.Second

// Settings are what the core needs of both files.
type Settings struct {
	Name        string
	Incarnation string // tells this start of the process from earlier ones
	Peers       []string
	config.Deployment
	Ops config.Operators
	// Program is what this controller is taken to run, nil for this program.
	Program *upgrade.Program
}

// What is stored, as package kv has it.
type (
	Cond      = kv.Condition
	Write     = kv.Write
	Change    = kv.Change
	Committed = kv.Committed
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
		RequestID     uint64
		From          string
		NeedMachines  bool
		Incarnation   string
		Question      *readlease.GrantRequest
		Cancellations *readlease.CancellationPage
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

// Heartbeat is what a worker says of its machine.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Epoch, Seq, FencingToken  uint64
	PreemptionNotice          int64 // microseconds, -1 for none
	Tasks                     []TaskStatus
}

// TaskStatus is one task of a report.
type TaskStatus struct {
	Name         string
	Attempt      uint64
	State        string
	Reason       string
	Checkpointed bool
}

// Command is a command to a worker.
type Command struct {
	Op      string
	Task    string
	Attempt uint32
	Grace   int64 // microseconds
}

// Effects of the core.
type (
	// Reply answers a request.
	Reply struct {
		RequestID    uint64
		Status       int
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
		Peer          string
		NeedMachines  bool
		Incarnation   string
		Question      *readlease.GrantRequest
		Cancellations *readlease.CancellationPage
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

// Core is one controller: it hands each message to the part that it concerns, and
// collects the effects that follow.
type Core struct {
	*engine

	elector          *elector
	membership       *membership
	peers            *peerMonitor
	readLeases       *readLeaseManager
	health           *stateHealth
	reader           *stateReader
	cache            *stateCache
	committer        *committer
	tasks            *taskManager
	router           *heartbeatRouter
	workers          *workerManager
	requests         *requestHandler
	dependencies     *dependencyResolver
	planner          *planner
	partitionManager *partitionManager
	scaler           *scaler
	cloud            *cloudCaller
	prefetcher       *prefetcher
	sweepManager     *sweepManager
	operators        *operatorViewer
}

func (c *Core) connect() {
	c.elector.cache, c.elector.committer, c.elector.health, c.elector.membership, c.elector.peers, c.elector.prefetcher, c.elector.tasks, c.elector.workers = c.cache, c.committer, c.health, c.membership, c.peers, c.prefetcher, c.tasks, c.workers
	c.membership.cache, c.membership.committer, c.membership.elector, c.membership.health = c.cache, c.committer, c.elector, c.health
	c.peers.cache, c.peers.elector, c.peers.health, c.peers.membership, c.peers.readLeases, c.peers.reader = c.cache, c.elector, c.health, c.membership, c.readLeases, c.reader
	c.readLeases.cache, c.readLeases.elector, c.readLeases.peers, c.readLeases.sweepManager = c.cache, c.elector, c.peers, c.sweepManager
	c.health.cache, c.health.elector, c.health.membership, c.health.peers = c.cache, c.elector, c.membership, c.peers
	c.reader.cache, c.reader.elector, c.reader.health, c.reader.membership, c.reader.peers, c.reader.requests = c.cache, c.elector, c.health, c.membership, c.peers, c.requests
	c.cache.committer, c.cache.dependencies, c.cache.elector, c.cache.health, c.cache.membership, c.cache.peers, c.cache.readLeases, c.cache.reader, c.cache.requests, c.cache.sweepManager, c.cache.tasks = c.committer, c.dependencies, c.elector, c.health, c.membership, c.peers, c.readLeases, c.reader, c.requests, c.sweepManager, c.tasks
	c.committer.cache, c.committer.dependencies, c.committer.elector, c.committer.health, c.committer.membership, c.committer.prefetcher, c.committer.requests, c.committer.sweepManager, c.committer.tasks = c.cache, c.dependencies, c.elector, c.health, c.membership, c.prefetcher, c.requests, c.sweepManager, c.tasks
	c.tasks.committer, c.tasks.dependencies, c.tasks.elector, c.tasks.prefetcher, c.tasks.workers = c.committer, c.dependencies, c.elector, c.prefetcher, c.workers
	c.router.cache, c.router.elector, c.router.health, c.router.peers, c.router.workers = c.cache, c.elector, c.health, c.peers, c.workers
	c.workers.cache, c.workers.elector, c.workers.prefetcher, c.workers.tasks = c.cache, c.elector, c.prefetcher, c.tasks
	c.requests.cache, c.requests.dependencies, c.requests.elector, c.requests.health, c.requests.membership, c.requests.peers, c.requests.readLeases, c.requests.reader, c.requests.sweepManager = c.cache, c.dependencies, c.elector, c.health, c.membership, c.peers, c.readLeases, c.reader, c.sweepManager
	c.dependencies.cache, c.dependencies.elector, c.dependencies.requests, c.dependencies.tasks = c.cache, c.elector, c.requests, c.tasks
	c.planner.cache, c.planner.committer, c.planner.dependencies, c.planner.elector, c.planner.prefetcher, c.planner.sweepManager, c.planner.tasks = c.cache, c.committer, c.dependencies, c.elector, c.prefetcher, c.sweepManager, c.tasks
	c.partitionManager.cache, c.partitionManager.committer, c.partitionManager.elector, c.partitionManager.health, c.partitionManager.peers = c.cache, c.committer, c.elector, c.health, c.peers
	c.scaler.cache, c.scaler.cloud, c.scaler.committer, c.scaler.elector, c.scaler.membership, c.scaler.planner, c.scaler.prefetcher = c.cache, c.cloud, c.committer, c.elector, c.membership, c.planner, c.prefetcher
	c.cloud.cache, c.cloud.elector, c.cloud.peers = c.cache, c.elector, c.peers
	c.prefetcher.cache, c.prefetcher.committer, c.prefetcher.elector, c.prefetcher.health, c.prefetcher.membership, c.prefetcher.planner = c.cache, c.committer, c.elector, c.health, c.membership, c.planner
	c.sweepManager.cache, c.sweepManager.committer, c.sweepManager.dependencies, c.sweepManager.elector, c.sweepManager.health, c.sweepManager.membership, c.sweepManager.readLeases, c.sweepManager.requests, c.sweepManager.tasks = c.cache, c.committer, c.dependencies, c.elector, c.health, c.membership, c.readLeases, c.requests, c.tasks
	c.operators.cache, c.operators.dependencies, c.operators.elector, c.operators.health, c.operators.membership, c.operators.peers, c.operators.planner, c.operators.reader = c.cache, c.dependencies, c.elector, c.health, c.membership, c.peers, c.planner, c.reader
}

// New makes a core. now is the steady clock in microseconds.
func New(set Settings, now int64, rng *rand.Rand, log *slog.Logger) *Core {
	run := &engine{settings: set, log: log, rng: rng, now: now, transactions: txn.New(), keyReads: map[uint64]func(KeyRead){}}
	c := &Core{
		engine:           run,
		elector:          &elector{engine: run},
		membership:       newMembership(run),
		peers:            newPeerMonitor(run),
		readLeases:       newReadLeaseManager(run),
		health:           &stateHealth{engine: run},
		reader:           &stateReader{engine: run},
		cache:            newStateCache(run),
		committer:        &committer{engine: run},
		tasks:            &taskManager{engine: run},
		router:           &heartbeatRouter{engine: run, redirects: map[string]redirect{}},
		workers:          &workerManager{engine: run},
		requests:         newRequestHandler(run),
		dependencies:     newDependencyResolver(run),
		planner:          &planner{engine: run},
		partitionManager: &partitionManager{engine: run},
		scaler:           &scaler{engine: run, costAware: set.WeighsCost(&run.settings.Ops)},
		cloud:            &cloudCaller{engine: run},
		prefetcher:       &prefetcher{engine: run},
		sweepManager:     &sweepManager{engine: run, sweeps: map[string]*sweep{}},
		operators:        &operatorViewer{engine: run},
	}
	c.connect()
	c.health.allowance = c.health.currentAllowance()
	c.health.readBudget = ratelimit.NewTokenBucket(now, ratelimit.InitialTokens)
	c.cache.listState()
	return c
}

// Step handles one message and returns what is to be done.
func (c *Core) Step(now int64, msg any) []any {
	c.now = max(now, c.now)
	switch m := msg.(type) {
	case Tick:
		if m.TimeOfDay != 0 {
			c.wallOffset = m.TimeOfDay - c.now
		}
		c.tick()
	case StateListed:
		c.cache.onStateListed(m)
	case StateRead:
		c.cache.onStateRead(m)
	case LeaderWatched:
		c.reader.onLeaderWatched(m)
	case FollowerRead:
		c.requests.waitForRead(&request{id: m.RequestID, kind: requestFollowerRead, revision: m.AfterRevision, writesNeeded: m.WritesNeeded, receivedAt: c.now, forwarded: true})
	case LeaderReadDone:
		c.reader.onLeaderReadDone(m)
	case Committed:
		if !c.transactions.IsConditionOnly(m.ID) {
			c.membership.noteRateLimited(m.Status)
		}
		c.health.noteTransactionResult(m)
		c.transactions.Complete(m)
	case KeyRead:
		c.health.noteStateResult(&c.peers.connectivity.Reads, m.Err)
		if f := c.keyReads[m.ID]; f != nil {
			delete(c.keyReads, m.ID)
			f(m)
		}
	case LeaseGranted:
		c.elector.onLeaseGranted(m)
	case LeaseRenewed:
		c.elector.onLeaseRenewed(m)
	case SubmitJob:
		c.requests.onSubmit(m)
	case QueryJob:
		c.requests.onStatus(m)
	case CancelJob:
		c.requests.onCancel(m)
	case SubmitSweep:
		c.sweepManager.onSubmitSweep(m)
	case QuerySweep:
		c.sweepManager.requestSweep(&request{id: m.RequestID, jobID: m.ID, kind: requestSweepStatus, forwarded: m.Forwarded})
	case ListSweepRuns:
		c.sweepManager.requestSweep(&request{id: m.RequestID, jobID: m.ID, kind: requestSweepRuns, after: m.After, limit: m.Limit, forwarded: m.Forwarded})
	case CancelSweep:
		c.sweepManager.requestSweep(&request{id: m.RequestID, jobID: m.ID, kind: requestSweepCancel, forwarded: m.Forwarded})
	case SweepExpanded:
		c.sweepManager.onExpanded(m)
	case CheckReady:
		c.requests.onReady(m)
	case HeartbeatReceived:
		c.router.onHeartbeat(m)
	case HeartbeatRelayed:
		c.router.onHeartbeatRelayed(m)
	case PeerPinged:
		c.peers.onPeerPinged(m)
	case MachineProbed:
		c.peers.connectivity.Workers.RecordProbe(m.Machine, m.SentAt, c.now, m.OK)
		c.workers.onMachineProbed(m)
	case QueryOperatorView:
		c.operators.onQueryOperatorView(m)
	case SetDecommissioned:
		c.membership.onSetDecommissioned(m)
	case PingReceived:
		c.peers.onPingReceived(m)
	case RequestForwarded:
		c.peers.onRequestForwarded(m)
	case CloudCallRequested:
		c.cloud.onCloudCallRequested(m)
	case CloudCalledForPeer:
		c.cloud.onCloudCalledForPeer(m)
	case PeerCloudCallEnded:
		c.peers.connectivity.RecordCloudProxy(m.Peer, m.Err == nil, c.now)
	case MachineTypesListed:
		c.scaler.onMachineTypesListed(m)
	case MachinesListed:
		c.scaler.onMachinesListed(m)
	case ScaledOut:
		c.scaler.onScaledOut(m)
	case ScaledIn:
		c.scaler.onScaledIn(m)
	}
	if c.elector.leadership != nil {
		c.leadStep()
	}
	if c.elector.leadership != nil {
		c.tasks.sendDirectCommands()
	}
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) tick() {
	c.health.allowance = c.health.currentAllowance()
	c.health.readBudget.Refill(c.now, c.health.allowance.Reads)
	c.health.writeBudget.Refill(c.now, c.health.allowance.Changes)
	if c.now-c.peers.pingedAt >= second {
		c.peers.pingedAt = c.now
		for _, p := range c.settings.Peers {
			c.peers.ping(p)
		}
		for m, r := range c.router.redirects {
			if c.now-max(r.sentAt, r.keepUntil, r.servedAt) > 2*redirectReturnTime {
				delete(c.router.redirects, m)
			}
		}
	}
	for _, answer := range c.transactions.Overdue(c.now) {
		c.transactions.Complete(answer)
	}
	c.requests.requestsTick()
	c.reader.watchState()
	c.readLeases.heldRepliesTick()
	c.elector.electionTick()
	c.membership.membershipTick()
	c.peers.connectivityTick()
	c.dependencies.dependencyTick()
	if c.elector.leadership != nil {
		c.leadTick()
	}
}

// EpochTimeout is after how long without an answer a worker has certainly ended its
// session.
func (s *Settings) EpochTimeout() int64 {
	return withClockDrift(config.MicrosOf(s.Workers.LeaseS)) + second
}

// FailoverEpochTimeout is the same for a new leader, as an earlier one may go on answering for the
// hold time.
func (s *Settings) FailoverEpochTimeout() int64 { return s.LeaderAuthorityTime() + s.EpochTimeout() }

// Overdue is for how long a machine may be silent and still be used.
func (s *Settings) Overdue() int64 { return config.MicrosOf(s.Workers.ReportS)*2 + second }
