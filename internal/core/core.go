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

// Core is the state of one controller.
type Core struct {
	settings Settings
	now      int64
	effects  []any
	rng      *rand.Rand
	log      *slog.Logger
	lastID   uint64
	// wallOffset is the time of day less the steady clock.
	wallOffset int64

	// the mirror of the state service
	synced          bool
	listingState    bool
	appliedRevision uint64
	jobs            map[string]*jobstate.Job
	orphanedChunks  map[string]map[jobstate.ChunkRef]Change // chunks read before their job
	ends            map[string]jobstate.End
	endOrder        []string
	machineTypes    []fleet.Type
	typesRevision   uint64
	// typesWholeRevision is when they were last stored as one value.
	typesWholeRevision uint64
	partitions         fleet.Partitions
	partitionsReadAt   int64 // when the bounds were read
	// keyRevisions are the versions of what a leader writes as a whole: see putAsLeader.
	keyRevisions   map[string]uint64
	leader         leaderRecord
	leaderRevision uint64
	token          tokenRecord
	tokenRevision  uint64
	// watching: a watch of everything is under way, watchingLeader one of the
	// leadership alone.
	watching, watchingLeader bool
	imageHints               map[string][]byte
	format                   formatRecord
	formatRevision           uint64
	activation               *upgrade.Activation
	// featuresRevision and decommissionedRevisions are versions of keys; unfit is why this program must
	// not go on.
	featuresRevision        uint64
	decommissionedRevisions map[string]uint64
	incompatible            string
	// chunkTasks is what the jobs' chunks are split to, which lags behind the
	// format while the leader has a write under way.
	chunkTasks      int
	dependencyGraph *jobstate.DependencyGraph
	// progressLog are the log of progress, in its order.
	progressLog  []*logPage
	imageHistory imageHistory
	// endReads are the ends of awaited jobs that are being read.
	endReads map[string]int64
	// sweeps by their ids; lastPlan is the closed one whose plan is kept.
	sweeps   map[string]*sweep
	lastPlan string
	// mayHaveOpenRuns: there may be runs of cancelled sweeps that are not over yet.
	mayHaveOpenRuns bool
	// limitsLowered: the state service's limits have fallen to the ones to come.
	limitsLowered bool

	// costAware: money is weighed.
	costAware bool

	queues       requestQueues
	candidacy    candidacy
	leadership   *leadership
	peerStates   map[string]peerState
	connectivity *connectivity.Links
	// connectivityRevisions are the versions of what controllers said of what they reach.
	connectivityRevisions map[string]uint64
	connectivityCheckedAt int64 // when the links were last looked at
	// announcedRevision is the newest revision that an answer has told of, announcedAt when.
	announcedRevision uint64
	announcedAt       int64
	// newestLeader is the newest leadership that this controller has heard of.
	newestLeader leaderRecord
	// readLeaseGrantor vouches for what this controller tells users, heldReplies are answers
	// that wait for a leader to know of a cancellation.
	readLeaseGrantor *readlease.Grantor
	heldReplies      heldReplies
	// stateAnsweredAt and stateFailedAt are when the state service last answered a
	// request, and when it last failed one.
	stateAnsweredAt, stateFailedAt int64
	redirects                      map[string]redirect // workers that were sent elsewhere
	// pings go out once a second
	pingedAt     int64
	transactions *txn.Table
	keyReads     map[uint64]func(KeyRead)
	// allowance is what this controller may use of the state service, budget what is
	// left of it for changes, reading for reads that can wait.
	allowance               ratelimit.Share
	writeBudget, readBudget ratelimit.TokenBucket
	// follower decides whether the leader is asked for what is stored, recent has
	// the latest changes for those who ask this one.
	follower      replica.Follower
	recentChanges replica.ChangeLog
	// mirrorFreshAt is up to when, at the least, all that was stored is known.
	mirrorFreshAt int64
}

// New makes a core. now is the steady clock.
func New(set Settings, now int64, rng *rand.Rand, log *slog.Logger) *Core {
	c := &Core{settings: set, now: now, rng: rng, log: log, jobs: map[string]*jobstate.Job{},
		orphanedChunks: map[string]map[jobstate.ChunkRef]Change{}, ends: map[string]jobstate.End{}, imageHints: map[string][]byte{},
		peerStates: map[string]peerState{}, redirects: map[string]redirect{}, chunkTasks: jobstate.DefaultChunkSize, dependencyGraph: jobstate.NewDependencyGraph(), imageHistory: newImageHistory(), endReads: map[string]int64{}, sweeps: map[string]*sweep{}, activation: newActivation(&set), decommissionedRevisions: map[string]uint64{},
		transactions: txn.New(), keyReads: map[uint64]func(KeyRead){}, connectivityRevisions: map[string]uint64{}, keyRevisions: map[string]uint64{},
		connectivity: connectivity.New(set.Name, set.Incarnation, set.Peers, set.Zones, config.MicrosOf(set.Workers.ReportS))}
	c.costAware = set.WeighsCost(&c.settings.Ops)
	c.readLeaseGrantor = readlease.NewGrantor(set.Incarnation, set.Peers, set.LeaderAuthorityTime(), now)
	c.heldReplies.informedAt = map[string]int64{}
	c.queues.inFlight = map[string][]*request{}
	c.allowance = c.currentAllowance()
	c.readBudget = ratelimit.NewTokenBucket(now, ratelimit.InitialTokens)
	c.listState()
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
		c.onStateListed(m)
	case StateRead:
		c.onStateRead(m)
	case LeaderWatched:
		c.onLeaderWatched(m)
	case FollowerRead:
		c.waitForRead(&request{id: m.RequestID, kind: requestFollowerRead, revision: m.AfterRevision, writesNeeded: m.WritesNeeded, receivedAt: c.now, forwarded: true})
	case LeaderReadDone:
		c.onLeaderReadDone(m)
	case Committed:
		if !c.transactions.IsConditionOnly(m.ID) {
			c.noteRateLimited(m.Status)
		}
		c.noteTransactionResult(m)
		c.transactions.Complete(m)
	case KeyRead:
		c.noteStateResult(&c.connectivity.Reads, m.Err)
		if f := c.keyReads[m.ID]; f != nil {
			delete(c.keyReads, m.ID)
			f(m)
		}
	case LeaseGranted:
		c.onLeaseGranted(m)
	case LeaseRenewed:
		c.onLeaseRenewed(m)
	case SubmitJob:
		c.onSubmit(m)
	case QueryJob:
		c.onStatus(m)
	case CancelJob:
		c.onCancel(m)
	case SubmitSweep:
		c.onSubmitSweep(m)
	case QuerySweep:
		c.requestSweep(&request{id: m.RequestID, jobID: m.ID, kind: requestSweepStatus, forwarded: m.Forwarded})
	case ListSweepRuns:
		c.requestSweep(&request{id: m.RequestID, jobID: m.ID, kind: requestSweepRuns, after: m.After, limit: m.Limit, forwarded: m.Forwarded})
	case CancelSweep:
		c.requestSweep(&request{id: m.RequestID, jobID: m.ID, kind: requestSweepCancel, forwarded: m.Forwarded})
	case SweepExpanded:
		c.onExpanded(m)
	case CheckReady:
		c.onReady(m)
	case HeartbeatReceived:
		c.onHeartbeat(m)
	case HeartbeatRelayed:
		c.onHeartbeatRelayed(m)
	case PeerPinged:
		c.onPeerPinged(m)
	case MachineProbed:
		c.connectivity.Workers.RecordProbe(m.Machine, m.SentAt, c.now, m.OK)
		c.onMachineProbed(m)
	case QueryOperatorView:
		c.onQueryOperatorView(m)
	case SetDecommissioned:
		c.onSetDecommissioned(m)
	case PingReceived:
		c.onPingReceived(m)
	case RequestForwarded:
		c.onRequestForwarded(m)
	case CloudCallRequested:
		c.onCloudCallRequested(m)
	case CloudCalledForPeer:
		c.onCloudCalledForPeer(m)
	case PeerCloudCallEnded:
		c.connectivity.RecordCloudProxy(m.Peer, m.Err == nil, c.now)
	case MachineTypesListed:
		c.onMachineTypesListed(m)
	case MachinesListed:
		c.onMachinesListed(m)
	case ScaledOut:
		c.onScaledOut(m)
	case ScaledIn:
		c.onScaledIn(m)
	}
	if c.leadership != nil {
		c.leadStep()
	}
	if c.leadership != nil {
		c.sendDirectCommands()
	}
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) emit(e any) { c.effects = append(c.effects, e) }

func (c *Core) newID() uint64 {
	c.lastID++
	return c.lastID
}

func (c *Core) commitTransaction(when []Cond, writes []Write, f func(Committed)) {
	id := c.newID()
	c.transactions.Begin(id, when, writes, c.now, f)
	c.emit(CommitTransaction{ID: id, Conditions: when, Writes: writes})
}

func (c *Core) readKey(key string, f func(KeyRead)) {
	id := c.newID()
	c.keyReads[id] = f
	c.emit(ReadKey{ID: id, Key: key})
}

func (c *Core) tick() {
	c.allowance = c.currentAllowance()
	c.readBudget.Refill(c.now, c.allowance.Reads)
	c.writeBudget.Refill(c.now, c.allowance.Changes)
	if c.now-c.pingedAt >= second {
		c.pingedAt = c.now
		for _, p := range c.settings.Peers {
			c.ping(p)
		}
		for m, r := range c.redirects {
			if c.now-max(r.sentAt, r.keepUntil, r.servedAt) > 2*redirectReturnTime {
				delete(c.redirects, m)
			}
		}
	}
	for _, answer := range c.transactions.Overdue(c.now) {
		c.transactions.Complete(answer)
	}
	c.requestsTick()
	c.watchState()
	c.heldRepliesTick()
	c.electionTick()
	c.membershipTick()
	c.connectivityTick()
	c.dependencyTick()
	if c.leadership != nil {
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
