// Package core decides what a controller does. It performs no input or output itself:
// Core.Step takes one message and the time of the monotonic clock, and returns the
// resulting effects as values for package node (or an emulator) to carry out. The results of
// an effect come back as a later message. The same messages at the same times have the same
// effects, so that a whole cluster can be run in simulated time.
//
// Every controller runs a Core. One of them is the leader: it holds the leadership key of
// the state service on a lease, and only it plans tasks, commands workers and scales the
// cluster. All controllers serve users' requests; the followers also relay heartbeats and
// take over when the lease expires. Durable state is kept in the state service. It is changed
// only by conditional transactions (compare-and-swap), and those of a leader are conditional
// on the leadership key.
//
// A Core consists of parts, each with a type of its own, which share an engine (clock, settings,
// log, effects):
//
//   - the stored state: stateCache is the local copy, stateReader keeps this copy up to date
//     by watches and reads, committer writes what the leader decides, stateHealth tracks
//     whether the state service answers and how many requests may be sent;
//   - the controllers: elector campaigns and leads, membership tracks which programs and
//     features are present, peerMonitor pings the others and forwards requests to them,
//     readLeaseManager lets a leader continue to answer workers while the state service
//     does not answer that leader;
//   - users and operators: requestHandler, sweepManager, dependencyResolver and
//     operatorViewer;
//   - machines: heartbeatRouter passes heartbeats to the leader, workerManager keeps
//     the reported state and answers with commands, taskManager tracks each task,
//     partitionManager divides the machines among the controllers;
//   - planning: planner uses package sched to decide which task starts where, prefetcher
//     has images fetched in advance, scaler rents and returns machines, cloudCaller calls
//     the cloud through a peer if this controller does not reach it.
//
// State that a part keeps only while this controller leads is in leadership.
package core

import (
	"log/slog"
	"math/rand/v2"
)

// Core is the logic of one controller: it dispatches each message to the part that handles
// it, and collects the resulting effects. It is not safe for concurrent use.
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
	endMonitor       *endMonitor
	planner          *planner
	partitionManager *partitionManager
	scaler           *scaler
	cloud            *cloudCaller
	prefetcher       *prefetcher
	sweepManager     *sweepManager
	operators        *operatorViewer
}

// connect sets the references of each part to the other parts that it uses. As parts refer to
// each other in cycles, connect is called after all of them have been created.
func (c *Core) connect() {
	c.connectState()
	c.connectControllers()
	c.connectRequests()
	c.connectMachines()
}

// connectState sets the references of the parts that read and write the stored state.
func (c *Core) connectState() {
	c.health.cache = c.cache
	c.health.elector = c.elector
	c.health.membership = c.membership
	c.health.peers = c.peers

	c.cache.committer = c.committer
	c.cache.dependencies = c.dependencies
	c.cache.elector = c.elector
	c.cache.health = c.health
	c.cache.membership = c.membership
	c.cache.peers = c.peers
	c.cache.readLeases = c.readLeases
	c.cache.reader = c.reader
	c.cache.requests = c.requests
	c.cache.sweepManager = c.sweepManager
	c.cache.tasks = c.tasks

	c.reader.cache = c.cache
	c.reader.elector = c.elector
	c.reader.health = c.health
	c.reader.membership = c.membership
	c.reader.peers = c.peers
	c.reader.requests = c.requests

	c.committer.cache = c.cache
	c.committer.dependencies = c.dependencies
	c.committer.elector = c.elector
	c.committer.endMonitor = c.endMonitor
	c.committer.health = c.health
	c.committer.membership = c.membership
	c.committer.prefetcher = c.prefetcher
	c.committer.requests = c.requests
	c.committer.sweepManager = c.sweepManager
	c.committer.tasks = c.tasks

	c.readLeases.cache = c.cache
	c.readLeases.elector = c.elector
	c.readLeases.endMonitor = c.endMonitor
	c.readLeases.health = c.health
	c.readLeases.peers = c.peers
	c.readLeases.sweepManager = c.sweepManager
}

// connectControllers sets the references of the parts that deal with the other controllers and
// with operators.
func (c *Core) connectControllers() {
	c.elector.cache = c.cache
	c.elector.committer = c.committer
	c.elector.dependencies = c.dependencies
	c.elector.health = c.health
	c.elector.membership = c.membership
	c.elector.peers = c.peers
	c.elector.prefetcher = c.prefetcher
	c.elector.tasks = c.tasks
	c.elector.workers = c.workers

	c.membership.cache = c.cache
	c.membership.committer = c.committer
	c.membership.elector = c.elector
	c.membership.health = c.health

	c.peers.cache = c.cache
	c.peers.elector = c.elector
	c.peers.health = c.health
	c.peers.membership = c.membership
	c.peers.readLeases = c.readLeases
	c.peers.reader = c.reader

	c.partitionManager.cache = c.cache
	c.partitionManager.committer = c.committer
	c.partitionManager.elector = c.elector
	c.partitionManager.health = c.health
	c.partitionManager.peers = c.peers

	c.operators.cache = c.cache
	c.operators.dependencies = c.dependencies
	c.operators.elector = c.elector
	c.operators.endMonitor = c.endMonitor
	c.operators.health = c.health
	c.operators.membership = c.membership
	c.operators.peers = c.peers
	c.operators.planner = c.planner
	c.operators.reader = c.reader
}

// connectRequests sets the references of the parts that handle users' requests.
func (c *Core) connectRequests() {
	c.requests.cache = c.cache
	c.requests.dependencies = c.dependencies
	c.requests.elector = c.elector
	c.requests.endMonitor = c.endMonitor
	c.requests.health = c.health
	c.requests.membership = c.membership
	c.requests.peers = c.peers
	c.requests.readLeases = c.readLeases
	c.requests.reader = c.reader
	c.requests.sweepManager = c.sweepManager

	c.dependencies.cache = c.cache
	c.dependencies.elector = c.elector
	c.dependencies.endMonitor = c.endMonitor
	c.dependencies.requests = c.requests
	c.dependencies.tasks = c.tasks

	c.endMonitor.cache = c.cache
	c.endMonitor.reader = c.reader

	c.sweepManager.cache = c.cache
	c.sweepManager.committer = c.committer
	c.sweepManager.dependencies = c.dependencies
	c.sweepManager.elector = c.elector
	c.sweepManager.health = c.health
	c.sweepManager.membership = c.membership
	c.sweepManager.readLeases = c.readLeases
	c.sweepManager.requests = c.requests
	c.sweepManager.tasks = c.tasks
}

// connectMachines sets the references of the parts that deal with machines, their tasks and the
// cloud.
func (c *Core) connectMachines() {
	c.router.cache = c.cache
	c.router.elector = c.elector
	c.router.health = c.health
	c.router.peers = c.peers
	c.router.workers = c.workers

	c.workers.cache = c.cache
	c.workers.elector = c.elector
	c.workers.prefetcher = c.prefetcher
	c.workers.tasks = c.tasks

	c.tasks.committer = c.committer
	c.tasks.dependencies = c.dependencies
	c.tasks.elector = c.elector
	c.tasks.prefetcher = c.prefetcher
	c.tasks.workers = c.workers

	c.planner.cache = c.cache
	c.planner.committer = c.committer
	c.planner.dependencies = c.dependencies
	c.planner.elector = c.elector
	c.planner.prefetcher = c.prefetcher
	c.planner.sweepManager = c.sweepManager
	c.planner.tasks = c.tasks

	c.prefetcher.cache = c.cache
	c.prefetcher.committer = c.committer
	c.prefetcher.elector = c.elector
	c.prefetcher.health = c.health
	c.prefetcher.membership = c.membership
	c.prefetcher.planner = c.planner

	c.scaler.cache = c.cache
	c.scaler.cloud = c.cloud
	c.scaler.committer = c.committer
	c.scaler.elector = c.elector
	c.scaler.membership = c.membership
	c.scaler.peers = c.peers
	c.scaler.planner = c.planner
	c.scaler.prefetcher = c.prefetcher

	c.cloud.cache = c.cache
	c.cloud.elector = c.elector
	c.cloud.peers = c.peers
}

// New returns a Core that is about to list the stored state. now is the time of the monotonic
// clock in microseconds.
func New(settings Settings, now int64, rng *rand.Rand, log *slog.Logger) *Core {
	shared := newEngine(settings, now, rng, log)
	c := &Core{
		engine:           shared,
		elector:          &elector{engine: shared},
		membership:       newMembership(shared),
		peers:            newPeerMonitor(shared),
		readLeases:       newReadLeaseManager(shared),
		health:           &stateHealth{engine: shared},
		reader:           &stateReader{engine: shared},
		cache:            newStateCache(shared),
		committer:        &committer{engine: shared},
		tasks:            &taskManager{engine: shared},
		router:           newHeartbeatRouter(shared),
		workers:          &workerManager{engine: shared},
		requests:         newRequestHandler(shared),
		dependencies:     newDependencyResolver(shared),
		endMonitor:       newEndMonitor(shared),
		planner:          &planner{engine: shared},
		partitionManager: &partitionManager{engine: shared},
		scaler:           &scaler{engine: shared, costAware: settings.WeighsCost(&shared.settings.Ops)},
		cloud:            &cloudCaller{engine: shared},
		prefetcher:       &prefetcher{engine: shared},
		sweepManager:     &sweepManager{engine: shared, sweeps: map[string]*sweep{}},
		operators:        &operatorViewer{engine: shared},
	}
	c.connect()
	c.health.start()
	c.cache.listState()
	return c
}

// Step handles one message at the given time of the monotonic clock and returns the resulting
// effects, which must be carried out in order. A message of an unknown type has no effects of
// its own, but time advances.
func (c *Core) Step(now int64, msg any) []any {
	c.now = max(now, c.now)
	c.handle(msg)
	if c.elector.isLeader() {
		c.leadStep()
	}
	if c.elector.isLeader() {
		c.tasks.sendDirectCommands()
	}
	effects := c.effects
	c.effects = nil
	return effects
}

// handle dispatches a message to the part that handles it.
func (c *Core) handle(msg any) {
	if tick, ok := msg.(Tick); ok {
		c.onTick(tick)
		return
	}
	handled := c.handleMachineMessage(msg) || c.handleStateMessage(msg) || c.handleRequest(msg) || c.handlePeerMessage(msg)
	if !handled {
		c.handleCloudMessage(msg)
	}
}

// handleMachineMessage handles messages from machines, including relayed ones, and the
// results of probes.
func (c *Core) handleMachineMessage(msg any) (handled bool) {
	switch m := msg.(type) {
	case HeartbeatReceived:
		c.router.onHeartbeat(m)
	case HeartbeatRelayed:
		c.router.onHeartbeatRelayed(m)
	case MachineProbed:
		c.peers.connectivity.Workers.RecordProbe(m.Machine, m.SentAt, c.now, m.OK)
		c.workers.onMachineProbed(m)
	default:
		return false
	}
	return true
}

// handleStateMessage handles answers of the state service, or of the leader in its place.
func (c *Core) handleStateMessage(msg any) (handled bool) {
	switch m := msg.(type) {
	case StateListed:
		c.cache.onStateListed(m)
	case StateRead:
		c.cache.onStateRead(m)
	case LeaderWatched:
		c.reader.onLeaderWatched(m)
	case LeaderReadDone:
		c.reader.onLeaderReadDone(m)
	case TransactionResult:
		c.onTransactionResult(m)
	case KeyRead:
		c.onKeyRead(m)
	case LeaseGranted:
		c.elector.onLeaseGranted(m)
	case LeaseRenewed:
		c.elector.onLeaseRenewed(m)
	default:
		return false
	}
	return true
}

// handleRequest handles the requests of users and operators, and expanded sweeps.
func (c *Core) handleRequest(msg any) (handled bool) {
	switch m := msg.(type) {
	case SubmitJob:
		c.requests.onSubmit(m)
	case QueryJob:
		c.requests.onStatus(m)
	case CancelJob:
		c.requests.onCancel(m)
	case CheckReady:
		c.requests.onReady(m)
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
	case QueryOperatorView:
		c.operators.onQueryOperatorView(m)
	case SetDecommissioned:
		c.membership.onSetDecommissioned(m)
	default:
		return false
	}
	return true
}

// handlePeerMessage handles requests and answers of the other controllers.
func (c *Core) handlePeerMessage(msg any) (handled bool) {
	switch m := msg.(type) {
	case PingReceived:
		c.peers.onPingReceived(m)
	case PeerPinged:
		c.peers.onPeerPinged(m)
	case RequestForwarded:
		c.peers.onRequestForwarded(m)
	case FollowerRead:
		c.requests.onFollowerRead(m)
	case CloudCallRequested:
		c.cloud.onCloudCallRequested(m)
	case PeerCloudCallEnded:
		c.peers.connectivity.RecordCloudProxy(m.Peer, m.Err == nil, c.now)
	default:
		return false
	}
	return true
}

// handleCloudMessage handles the results of calls to the cloud.
func (c *Core) handleCloudMessage(msg any) {
	switch m := msg.(type) {
	case CloudCalledForPeer:
		c.cloud.onCloudCalledForPeer(m)
	case MachineTypesListed:
		c.scaler.onMachineTypesListed(m)
	case MachinesListed:
		c.scaler.onMachinesListed(m)
	case ScaledOut:
		c.scaler.onScaledOut(m)
	case ScaledIn:
		c.scaler.onScaledIn(m)
	}
}

// onTransactionResult records what the result shows about the state service, and passes it to
// the callback of the transaction.
func (c *Core) onTransactionResult(m TransactionResult) {
	if !c.transactions.IsConditionOnly(m.ID) {
		c.membership.handleRateLimited(m.Outcome)
	}
	c.health.recordTransaction(m)
	c.transactions.RecordAnswer(m.ID, m.Outcome, c.now)
	c.transactions.Complete(m)
}

// onKeyRead records what the answer shows about the state service, and passes it to the
// callback of the read.
func (c *Core) onKeyRead(m KeyRead) {
	c.health.recordResult(&c.peers.connectivity.Reads, m.Err)
	c.completeRead(m)
}

// onTick performs the periodic work that is due.
func (c *Core) onTick(m Tick) {
	if m.TimeOfDay != 0 {
		c.wallOffset = m.TimeOfDay - c.now
	}
	c.health.refillBudgets()
	if c.peers.pingDue() {
		c.peers.pingAll()
		c.router.expireRedirects()
	}
	for _, result := range c.transactions.Overdue(c.now) {
		c.transactions.Complete(result)
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

// leadTick performs the periodic work of the leader.
func (c *Core) leadTick() {
	c.committer.abandonOverdue()
	term := c.elector.leadership
	if c.now-term.planning.plannedAt >= replanInterval {
		term.planning.requestRound()
	}
	term.heartbeats.requestRelease() // held replies may have reached their maximum delay
	c.reader.refreshCacheTick()
	c.partitionManager.partitionsTick()
	if c.now-term.machinesScannedAt >= machineScanInterval {
		// Work that iterates over all machines and can wait.
		term.machinesScannedAt = c.now
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

// machineScanInterval is the interval at which a leader does the work that iterates over all
// machines.
const machineScanInterval = second / 4

// leadStep does the work of the leader that the last message may have made possible: it plans
// tasks, writes state and answers held heartbeats.
func (c *Core) leadStep() {
	if term := c.elector.leadership; term.planning.roundRequested && c.now-term.planning.plannedAt >= planInterval {
		c.planner.plan()
	}
	c.committer.commitNow()
	if term := c.elector.leadership; term != nil && term.heartbeats.releaseRequested {
		c.workers.releaseReadyReplies()
	}
}
