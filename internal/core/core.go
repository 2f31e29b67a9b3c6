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
	LeaderKey = Prefix + "leader"
	tokenKey  = Prefix + "token"
	typesKey  = Prefix + "types"
	boundsKey = Prefix + "bounds"
	hintsKey  = Prefix + "hints"
	formatKey = Prefix + "format"
	logPrefix = Prefix + "log/"
	// memberPrefix is for what each controller says of itself.
	memberPrefix = Prefix + "member/"
	// featuresKey has the features that are on, gonePrefix is for controllers
	// that operators say will not come back.
	featuresKey = Prefix + "features"
	gonePrefix  = Prefix + "gone/"
	// reachPrefix is for what each controller reaches, on its lease.
	reachPrefix = Prefix + "reach/"
)

// StartPrefixes are listed at the start; ends are read one by one, as they
// are kept for ever.
var StartPrefixes = []string{jobPrefix, runPrefix, LeaderKey, tokenKey, typesKey, boundsKey, hintsKey, formatKey, memberPrefix, logPrefix, sweepRoot, reachPrefix, featuresKey, gonePrefix}

const second = config.Second

// Settings are what the core needs of both files.
type Settings struct {
	Name  string
	Boot  string // tells this start of the process from earlier ones
	Peers []string
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
	Tick struct{ Wall int64 }
	// Listed is the whole of the start prefixes; Ledger is the revision
	// that watching goes on from.
	Listed struct {
		Rows   []Change
		Ledger uint64
		Err    error
	}
	// Watched is the answer of a watch that began after After and was sent at
	// Sent. View marks a read of the moment, Asked one that users wait for, Gone
	// that the service has forgotten After. Relayed: the leader has read it.
	Watched struct {
		After, Ledger              uint64
		Sent                       int64
		Changes                    []Change
		View, Asked, Gone, Relayed bool
		Err                        error
	}
	// LeaderWatched is the answer of a WatchLeader: the leadership may have changed,
	// or the watch is over.
	LeaderWatched struct {
		Changed bool
		Err     error
	}
	// ViewFor asks a leader for what has changed after a revision, by a read that
	// begins after this came.
	ViewFor struct {
		Req   uint64
		After uint64
		// Need is how many changes the asker lacks for what its users ask.
		Need int
	}
	// Shown is how an AskView that was sent at Sent ended.
	Shown struct {
		Number, After uint64
		Sent          int64
		Answer        Reply
		Err           error
	}
	// Got is the answer to a Get; Stamp 0 means that the key is absent.
	Got struct {
		ID    uint64
		Key   string
		Value []byte
		Stamp uint64
		Err   error
	}
	// Leased answers NewLease, Touched answers Touch.
	Leased struct {
		Lease uint64
		Sent  int64
		Err   error
	}
	// Touched is the answer to a renewal that was sent at Sent.
	Touched struct {
		Lease uint64
		Sent  int64
		Gone  bool
		Err   error
	}
	// Submit, Status and Cancel are users' requests.
	Submit struct {
		Req uint64
		// Handed: a peer has handed the request on.
		Handed bool
		Spec   *jobstate.Spec
		// Invalid is set when only the id could be read.
		Invalid string
	}
	// Status asks for a job's state.
	Status struct {
		Req uint64
		// Handed: a peer has handed the request on.
		Handed bool
		ID     string
	}
	// Cancel asks to withdraw a job.
	Cancel struct {
		Req uint64
		// Handed: a peer has handed the request on.
		Handed bool
		ID     string
	}
	// Ready asks whether the controller can take requests.
	Ready struct{ Req uint64 }
	// Beat is a worker's report; From is the controller that relays it, Onward
	// that it can't reach the leader and this one can.
	Beat struct {
		Req    uint64
		Report Report
		From   string
		Onward bool
	}
	// Relayed is the leader's answer to a relayed report.
	Relayed struct {
		Req    uint64
		Answer Reply
		Err    error
	}
	// PeerSeen is a peer's answer to a ping sent at Sent, or its absence.
	PeerSeen struct {
		Peer string
		Sent int64
		OK   bool
		News PeerNews
	}
	// Pinged asks what this controller tells its peers; From is who asks, ""
	// for an older one, Need that it knows too few machines. Boot is the start of
	// who asks, Ask what this controller is to vouch for, Tell cancellations.
	Pinged struct {
		Req  uint64
		From string
		Need bool
		Boot string
		Ask  *readlease.GrantRequest
		Tell *readlease.CancellationPage
	}
	// Probed is how a Probe that was sent at Sent ended; Report is what the
	// machine said of itself, if it could be read.
	Probed struct {
		Machine string
		Sent    int64
		OK      bool
		Report  *Report
	}
	// SetGone says that a controller will not come back, or that it may.
	SetGone struct {
		Req  uint64
		Name string
		Gone bool
	}
	// Forwarded is a peer's answer to a user's request handed on to it.
	Forwarded struct {
		Req    uint64
		Answer Reply
		Err    error
	}
	// Types is the cloud's list of machine types. Token here and below is that of
	// the leadership under which the call was made.
	Types struct {
		Types []fleet.Type
		Err   error
		By    string // the peer that asked, "" for this controller
		Token uint64
	}
	// Machines is the cloud's list of machines.
	Machines struct {
		List  []Listing
		Err   error
		By    string
		Token uint64
	}
	// Rented answers Rent.
	Rented struct {
		Rent   Rent
		Names  []string
		Status int
	}
	// Released answers Release.
	Released struct {
		Names []string
		OK    bool
		Token uint64
	}
)

// PeerNews is what controllers tell each other once a second.
type PeerNews struct {
	// Token and Leader are of the newest leadership that is known.
	Token  uint64
	Leader string
	// StateAge is how long ago the state service last answered.
	StateAge int64
	// Cancelled are jobs that users were told are cancelled of late, for a
	// leader of an older program: newer ones learn of them from Vouch.
	Cancelled []string
	// Vouch answers a question, Ack says whether this controller lives on the
	// word of the one that it answers. Older ones say neither.
	Vouch *readlease.CancellationPage
	Ack   *readlease.HolderAck
	// Version is the format that the controller can write, 0 before there was
	// any, Features what it has; older ones say nothing of these.
	Version  int
	Features []upgrade.FeatureName
	// Lowered: the state service has shown that its limits have fallen.
	Lowered bool
	// Reach is what the controller reaches, Machines some that it knows, for
	// one that needs them. Older ones say neither.
	Reach    *connectivity.Advertisement
	Machines []connectivity.Machine
}

// Listing is a machine as the cloud lists it.
type Listing struct {
	Name, Addr, Type, Zone, Status string
	Spot                           bool
	Age                            int64
}

// Report is what a worker says of its machine.
type Report struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Seq, Token       uint64
	Notice                    int64 // microseconds, -1 for none
	Tasks                     []TaskReport
}

// TaskReport is one task of a report.
type TaskReport struct {
	Name    string
	Attempt uint64
	State   string
	Why     string
	Saved   bool
}

// Order is a command to a worker.
type Order struct {
	Op      string
	Task    string
	Attempt uint32
	Grace   int64 // microseconds
}

// Effects of the core.
type (
	// Reply answers a request.
	Reply struct {
		Req    uint64
		Status int
		Retry  int // seconds
		Error  string
		Job    *JobState
		Sweep  *SweepState
		Runs   *SweepPage
		News   *PeerNews
		Cloud  *CloudAnswer
		Gone   *GoneState
		Ops    *OpsView
		View   *replica.View
		// Token and Orders answer a report, Leader a misdirected one.
		Token  uint64
		Orders []Order
		Leader string
	}
	// Quit ends the process: what is stored needs a newer program.
	Quit struct{ Why string }
	// List reads the start prefixes: so many pages at once, and each further one
	// Gap later.
	List struct {
		AtOnce int
		Gap    int64
	}
	// Watch waits for changes after a revision, View reads them at once.
	Watch struct{ After uint64 }
	// WatchLeader waits for a change of the leadership alone.
	WatchLeader struct{ After uint64 }
	// AskView asks the leader for what has changed after a revision; Number tells
	// its answer from others.
	AskView struct {
		To            string
		After, Number uint64
		Need          int
	}
	// View is answered by Watched with View set, and Asked as it is here.
	View struct {
		After uint64
		Asked bool
	}
	// Multi is a transaction.
	Multi struct {
		ID     uint64
		When   []Cond
		Writes []Write
	}
	// Get reads a key.
	Get struct {
		ID  uint64
		Key string
	}
	// NewLease, Touch and DropLease handle the leader's lease.
	NewLease struct{ TTL int64 }
	// Touch renews a lease.
	Touch struct{ Lease uint64 }
	// DropLease ends a lease.
	DropLease struct{ Lease uint64 }
	// Relay hands a report to the leader, or, Onward, to a peer that reaches it.
	Relay struct {
		Req    uint64
		To     string
		Report Report
		Onward bool
	}
	// Forward hands a user's request to a peer that the state service
	// answers; it is one of Submit, Status and Cancel.
	Forward struct {
		Req     uint64
		To      string
		Request any
	}
	// Ping asks a peer whether it is there; see Pinged.
	Ping struct {
		Peer string
		Need bool
		Boot string
		Ask  *readlease.GrantRequest
		Tell *readlease.CancellationPage
	}
	// Probe asks a machine whether it can be reached.
	Probe struct{ Machine, Addr string }
	// Direct sends orders to a worker's own address.
	Direct struct {
		Addr           string
		Token, Session uint64
		Orders         []Order
	}
	// GetTypes and ListMachines ask the cloud.
	GetTypes struct{ Token uint64 }
	// ListMachines is answered by Machines.
	ListMachines struct {
		// Gap is the time between two pages.
		Gap   int64
		Token uint64
	}
	// Rent asks for machines under a request name of its own.
	Rent struct {
		Name, Type, Zone string
		Spot             bool
		Count            int
		// Until is the time of the steady clock after which it must not go out:
		// another controller may lead from then on.
		Until int64
		Token uint64
	}
	// Release returns machines, like Rent not after Until.
	Release struct {
		Names []string
		Until int64
		Token uint64
	}
)

// GoneState says whether operators take a controller for gone.
type GoneState struct {
	Name string
	Gone bool
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
	set  Settings
	now  int64
	out  []any
	rng  *rand.Rand
	log  *slog.Logger
	next uint64
	// wallOffset is the time of day less the steady clock.
	wallOffset int64

	// the mirror of the state service
	synced   bool
	listing  bool
	applied  uint64
	jobs     map[string]*jobstate.Job
	orphaned map[string]map[jobstate.ChunkRef]Change // chunks read before their job
	ends     map[string]jobstate.End
	endOrder []string
	types    []fleet.Type
	typesAt  uint64
	// typesWhole is when they were last stored as one value.
	typesWhole uint64
	bounds     fleet.Partitions
	boundsOn   int64 // when the bounds were read
	// stamps are the versions of what a leader writes as a whole: see leaderPuts.
	stamps   map[string]uint64
	leader   leaderValue
	leaderAt uint64
	token    tokenValue
	tokenAt  uint64
	// watching: a watch of everything is under way, watchingLeader one of the
	// leadership alone.
	watching, watchingLeader bool
	hints                    map[string][]byte
	format                   formatValue
	formatAt                 uint64
	activation               *upgrade.Activation
	// featuresAt and goneAt are versions of keys; unfit is why this program must
	// not go on.
	featuresAt uint64
	goneAt     map[string]uint64
	unfit      string
	// span is what the jobs' chunks are split to, which lags behind the
	// format while the leader has a write under way.
	span  int
	graph *jobstate.DependencyGraph
	// pages are the log of progress, in its order.
	pages  []*page
	recall recall
	// asking are the ends of awaited jobs that are being read.
	asking map[string]int64
	// sweeps by their ids; lastPlan is the closed one whose plan is kept.
	sweeps   map[string]*sweep
	lastPlan string
	// endRuns: there may be runs of cancelled sweeps that are not over yet.
	endRuns bool
	// lowered: the state service's limits have fallen to the ones to come.
	lowered bool

	// frugal: money is weighed.
	frugal bool

	requests requests
	elect    election
	lead     *leadership
	peers    map[string]peerView
	links    *connectivity.Links
	// reachAt are the versions of what controllers said of what they reach.
	reachAt map[string]uint64
	reached int64 // when the links were last looked at
	// behind is the newest revision that an answer has told of, behindAt when.
	behind   uint64
	behindAt int64
	// newest is the newest leadership that this controller has heard of.
	newest leaderValue
	// witness vouches for what this controller tells users, heldAnswers are answers
	// that wait for a leader to know of a cancellation.
	witness     *readlease.Grantor
	heldAnswers heldAnswers
	// stateOK and stateBad are when the state service last answered a
	// request, and when it last failed one.
	stateOK, stateBad int64
	seen              map[string]redirect // workers that were sent elsewhere
	// pings go out once a second
	pinged int64
	txns   *txn.Table
	gets   map[uint64]func(Got)
	// allowance is what this controller may use of the state service, budget what is
	// left of it for changes, reading for reads that can wait.
	allowance       ratelimit.Share
	budget, reading ratelimit.TokenBucket
	// follower decides whether the leader is asked for what is stored, recent has
	// the latest changes for those who ask this one.
	follower replica.Follower
	recent   replica.ChangeLog
	// mirrorAt is up to when, at the least, all that was stored is known.
	mirrorAt int64
}

// New makes a core. now is the steady clock.
func New(set Settings, now int64, rng *rand.Rand, log *slog.Logger) *Core {
	c := &Core{set: set, now: now, rng: rng, log: log, jobs: map[string]*jobstate.Job{},
		orphaned: map[string]map[jobstate.ChunkRef]Change{}, ends: map[string]jobstate.End{}, hints: map[string][]byte{},
		peers: map[string]peerView{}, seen: map[string]redirect{}, span: jobstate.DefaultChunkSize, graph: jobstate.NewDependencyGraph(), recall: newRecall(), asking: map[string]int64{}, sweeps: map[string]*sweep{}, activation: newActivation(&set), goneAt: map[string]uint64{},
		txns: txn.New(), gets: map[uint64]func(Got){}, reachAt: map[string]uint64{}, stamps: map[string]uint64{},
		links: connectivity.New(set.Name, set.Boot, set.Peers, set.Zones, config.MicrosOf(set.Workers.ReportS))}
	c.frugal = set.WeighsCost(&c.set.Ops)
	c.witness = readlease.NewGrantor(set.Boot, set.Peers, set.LeaderAuthorityTime(), now)
	c.heldAnswers.sent = map[string]int64{}
	c.requests.inFlight = map[string][]*ask{}
	c.allowance = c.allowanceNow()
	c.reading = ratelimit.NewTokenBucket(now, ratelimit.InitialTokens)
	c.list()
	return c
}

// Step handles one message and returns what is to be done.
func (c *Core) Step(now int64, msg any) []any {
	c.now = max(now, c.now)
	switch m := msg.(type) {
	case Tick:
		if m.Wall != 0 {
			c.wallOffset = m.Wall - c.now
		}
		c.tick()
	case Listed:
		c.onListed(m)
	case Watched:
		c.onWatched(m)
	case LeaderWatched:
		c.onLeaderWatched(m)
	case ViewFor:
		c.wait(&ask{req: m.Req, kind: askView, revision: m.After, need: m.Need, since: c.now, handed: true})
	case Shown:
		c.onShown(m)
	case Committed:
		if !c.txns.IsConditionOnly(m.ID) {
			c.noteLimits(m.Status)
		}
		c.noteWrite(m)
		c.txns.Complete(m)
	case Got:
		c.stateAnswered(&c.links.Reads, m.Err)
		if f := c.gets[m.ID]; f != nil {
			delete(c.gets, m.ID)
			f(m)
		}
	case Leased:
		c.onLeased(m)
	case Touched:
		c.onTouched(m)
	case Submit:
		c.onSubmit(m)
	case Status:
		c.onStatus(m)
	case Cancel:
		c.onCancel(m)
	case SubmitSweep:
		c.onSubmitSweep(m)
	case SweepStatus:
		c.askSweep(&ask{req: m.Req, id: m.ID, kind: askSweepStatus, handed: m.Handed})
	case SweepRuns:
		c.askSweep(&ask{req: m.Req, id: m.ID, kind: askSweepRuns, after: m.After, most: m.Most, handed: m.Handed})
	case CancelSweep:
		c.askSweep(&ask{req: m.Req, id: m.ID, kind: askSweepCancel, handed: m.Handed})
	case Expanded:
		c.onExpanded(m)
	case Ready:
		c.onReady(m)
	case Beat:
		c.onBeat(m)
	case Relayed:
		c.onRelayed(m)
	case PeerSeen:
		c.onPeerSeen(m)
	case Probed:
		c.links.Workers.RecordProbe(m.Machine, m.Sent, c.now, m.OK)
		c.onProbed(m)
	case Ops:
		c.onOps(m)
	case SetGone:
		c.onSetGone(m)
	case Pinged:
		c.onPinged(m)
	case Forwarded:
		c.onForwarded(m)
	case CloudFor:
		c.onCloudFor(m)
	case CloudDone:
		c.onCloudDone(m)
	case CloudTold:
		c.links.RecordCloudProxy(m.By, m.Err == nil, c.now)
	case Types:
		c.onTypes(m)
	case Machines:
		c.onMachines(m)
	case Rented:
		c.onRented(m)
	case Released:
		c.onReleased(m)
	}
	if c.lead != nil {
		c.leadStep()
	}
	if c.lead != nil {
		c.sendDirect()
	}
	out := c.out
	c.out = nil
	return out
}

func (c *Core) emit(e any) { c.out = append(c.out, e) }

func (c *Core) id() uint64 {
	c.next++
	return c.next
}

func (c *Core) multi(when []Cond, writes []Write, f func(Committed)) {
	id := c.id()
	c.txns.Begin(id, when, writes, c.now, f)
	c.emit(Multi{ID: id, When: when, Writes: writes})
}

func (c *Core) get(key string, f func(Got)) {
	id := c.id()
	c.gets[id] = f
	c.emit(Get{ID: id, Key: key})
}

func (c *Core) tick() {
	c.allowance = c.allowanceNow()
	c.reading.Refill(c.now, c.allowance.Reads)
	c.budget.Refill(c.now, c.allowance.Changes)
	if c.now-c.pinged >= second {
		c.pinged = c.now
		for _, p := range c.set.Peers {
			c.ping(p)
		}
		for m, r := range c.seen {
			if c.now-max(r.at, r.keep, r.served) > 2*cameBack {
				delete(c.seen, m)
			}
		}
	}
	for _, answer := range c.txns.Overdue(c.now) {
		c.txns.Complete(answer)
	}
	c.requestsTick()
	c.watch()
	c.heldAnswersTick()
	c.electTick()
	c.joinTick()
	c.reachTick()
	c.awaitTick()
	if c.lead != nil {
		c.leadTick()
	}
}

// LeaseTime is after how long without an answer a worker has certainly ended its
// session.
func (s *Settings) LeaseTime() int64 { return drift(config.MicrosOf(s.Workers.LeaseS)) + second }

// Silence is the same for a new leader, as an earlier one may go on answering for the
// hold time.
func (s *Settings) Silence() int64 { return s.LeaderAuthorityTime() + s.LeaseTime() }

// Overdue is for how long a machine may be silent and still be used.
func (s *Settings) Overdue() int64 { return config.MicrosOf(s.Workers.ReportS)*2 + second }
