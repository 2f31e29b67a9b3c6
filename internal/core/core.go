// Package core is zinclb without input and output: it takes messages with the
// time of the steady clock and answers with effects to be carried out. Every
// controller runs it; the one that holds the leadership key also decides.
package core

import (
	"log/slog"
	"math/rand/v2"

	"github.com/zinclb/zinclb/internal/core/txn"
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
	c.readLeases.cache, c.readLeases.elector, c.readLeases.health, c.readLeases.peers, c.readLeases.sweepManager = c.cache, c.elector, c.health, c.peers, c.sweepManager
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
		router:           newHeartbeatRouter(run),
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
	c.health.start()
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
		c.requests.onFollowerRead(m)
	case LeaderReadDone:
		c.reader.onLeaderReadDone(m)
	case TransactionResult:
		if !c.transactions.IsConditionOnly(m.ID) {
			c.membership.noteRateLimited(m.Outcome)
		}
		c.health.recordTransaction(m)
		c.transactions.Complete(m)
	case KeyRead:
		c.health.recordResult(&c.peers.connectivity.Reads, m.Err)
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
		c.sweepManager.onQuerySweep(m)
	case ListSweepRuns:
		c.sweepManager.onListSweepRuns(m)
	case CancelSweep:
		c.sweepManager.onCancelSweep(m)
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
	if c.elector.isLeader() {
		c.leadStep()
	}
	if c.elector.isLeader() {
		c.tasks.sendDirectCommands()
	}
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) tick() {
	c.health.refillBudgets()
	if c.peers.pingDue() {
		c.peers.pingAll()
		c.router.expireRedirects()
	}
	for _, answer := range c.transactions.Overdue(c.now) {
		c.transactions.Complete(answer)
	}
	c.requests.tick()
	c.reader.watchState()
	c.readLeases.heldRepliesTick()
	c.elector.electionTick()
	c.membership.membershipTick()
	c.peers.connectivityTick()
	c.dependencies.tick()
	if c.elector.isLeader() {
		c.leadTick()
	}
}

// leadTick does what the leader does in its own time.
func (c *Core) leadTick() {
	term := c.elector.leadership
	if c.now-term.planning.plannedAt >= replanInterval {
		term.planning.requestRound()
	}
	term.heartbeats.requestRelease() // some may have been held for long enough
	c.reader.refreshMirrorTick()
	c.partitionManager.partitionsTick()
	if c.now-term.machinesSweptAt >= machineSweepInterval {
		// What goes through all machines, and can wait.
		term.machinesSweptAt = c.now
		c.planner.expireMachineLeases()
		c.workers.probeNotReceiving()
		c.workers.probeUnreachable()
		c.scaler.cloudTick()
		c.committer.progressLogTick()
	}
	c.prefetcher.inheritPrefetchSources()
	c.prefetcher.prefetchTick()
	c.membership.activationTick()
	c.sweepManager.tick()
	c.prefetcher.imageHintsTick()
	c.operators.alertTick()
}

// machineSweepInterval is how often a leader does what goes through all machines.
const machineSweepInterval = second / 4

// leadStep plans, writes and answers what the last message made possible.
func (c *Core) leadStep() {
	if term := c.elector.leadership; term.planning.wanted && c.now-term.planning.plannedAt >= planInterval {
		c.planner.plan()
	}
	c.committer.commitNow()
	if term := c.elector.leadership; term != nil && term.heartbeats.releaseWanted {
		c.workers.releaseReadyReplies()
	}
}
