package core

import (
	"fmt"
	"math"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
)

// operatorViewer shows operators the state of this controller.
type operatorViewer struct {
	*engine

	cache        *stateCache
	dependencies *dependencyResolver
	elector      *elector
	endMonitor   *endMonitor
	health       *stateHealth
	membership   *membership
	peers        *peerMonitor
	planner      *planner
	reader       *stateReader
}

// addCondition adds a condition that needs an operator's attention.
func (v *OperatorView) addCondition(condition string) {
	v.Conditions = append(v.Conditions, condition)
}

// inSeconds converts microseconds to seconds.
func inSeconds(microseconds int64) float64 { return float64(microseconds) / float64(second) }

func (o *operatorViewer) onQueryOperatorView(m QueryOperatorView) {
	o.emit(Reply{RequestID: m.RequestID, Status: ReplyOK, Ops: o.view()})
}

// view returns the current view.
func (o *operatorViewer) view() *OperatorView {
	o.elector.updateNewestLeader(o.cache.leader)
	newest := o.elector.newestLeader
	v := &OperatorView{
		Controller:     o.settings.Name,
		Leader:         newest.Name,
		FencingToken:   newest.Token,
		Leading:        o.elector.isLeader(),
		Synced:         o.cache.synced,
		Revision:       o.cache.appliedRevision,
		StateAgeS:      inSeconds(o.health.outageAge()),
		WritesLeft:     o.health.writesLeft(),
		ReadsLeft:      o.health.readsLeft(),
		ReadsBy:        o.reader.readSource(),
		ReorderedReads: o.cache.reorderedReads,

		Jobs:          len(o.cache.jobs),
		Format:        max(o.membership.format.Version, 1),
		LimitsLowered: o.membership.limitsLowered,
		Conditions:    []string{},
	}
	o.viewJobs(v)
	o.viewStateService(v)
	o.viewPeers(v)
	o.viewPartitions(v)
	o.viewMembership(v)
	o.viewConnectivity(v)
	if term := o.elector.leadership; term != nil {
		o.viewAuthority(v, term)
		o.viewScaling(v, &term.scaling)
		o.viewMachines(v, term.fleet.All())
		o.viewQueues(v, &term.planning)
		v.Conditions = append(v.Conditions, term.alerts.current...)
	}
	slices.Sort(v.Conditions)
	return v
}

func (o *operatorViewer) viewJobs(v *OperatorView) {
	for _, job := range o.cache.jobs {
		if job.Outcome() == "" && job.IsBlocked() {
			v.Awaiting++
		}
	}
	v.UnstoredEnds = o.endMonitor.countUnstoredEnds()
	v.Ends = o.endMonitor.counts
}

func (o *operatorViewer) viewStateService(v *OperatorView) {
	if o.health.unavailable() {
		v.addCondition("the state service does not answer")
	}
	if v.Leader == "" || o.cache.leaderRevision == 0 && o.cache.synced {
		v.addCondition("no controller leads")
	}
}

func (o *operatorViewer) viewPeers(v *OperatorView) {
	for _, peer := range o.settings.Peers {
		up := o.peers.connectivity.PeerUp(peer, o.now)
		v.Peers = append(v.Peers, PeerView{Name: peer, Up: up})
		if !up {
			v.addCondition("controller " + peer + " does not answer")
		}
	}
}

func (o *operatorViewer) viewPartitions(v *OperatorView) {
	partitions := &o.cache.partitions
	for i, holder := range partitions.Holders {
		partition := PartitionView{Holder: holder, Ends: math.MaxUint32}
		if i < len(partitions.Boundaries) {
			partition.Ends = partitions.Boundaries[i]
		}
		v.Partitions = append(v.Partitions, partition)
	}
}

func (o *operatorViewer) viewMembership(v *OperatorView) {
	if !o.membership.logEnabled() {
		v.addCondition("not all controllers are known to have this version: awaits is refused")
	}
	if o.membership.incompatible != "" {
		v.addCondition(o.membership.incompatible)
	}
	for _, feature := range o.membership.activation.FeatureStates() {
		v.Features = append(v.Features, FeatureView{
			Name: string(feature.Name),
			On:   feature.Enabled,
			Held: feature.Blockers,
		})
	}
	v.Members = map[string]MemberView{}
	for name, member := range o.membership.activation.Advertisements() {
		v.Members[name] = MemberView{
			Program:  member.Program,
			Format:   member.Format,
			Features: member.Features,
			Held:     member.Withheld,
		}
	}
}

func (o *operatorViewer) viewConnectivity(v *OperatorView) {
	for _, link := range o.peers.connectivity.LinkViews(o.now) {
		view := LinkView{Link: link.Link, State: link.State, AgeS: -1}
		if link.Age >= 0 {
			view.AgeS = inSeconds(link.Age)
		}
		v.Reach.Links = append(v.Reach.Links, view)
	}
	matrix := o.peers.connectivity.Matrix()
	v.Reach.Matrix = map[string]ConnectivityRowView{}
	for name, row := range matrix {
		v.Reach.Matrix[name] = ConnectivityRowView{
			Workers: row.ReachableEighths,
			Leading: matrix.Coverage(name),
			Peers:   row.Peers,
			Cloud:   row.Cloud,
		}
		if o.peers.connectivity.CannotReachMostZones(name) {
			v.addCondition("controller " + name + " is cut off from workers that others reach")
		}
	}
	if last := o.peers.connectivity.LastHandover(); last.At != 0 {
		v.Reach.SteppedAside = &LeadershipTransferView{
			To:     last.To,
			Reason: last.Reason,
			AgeS:   inSeconds(o.now - last.At),
		}
	}
}

// viewAuthority adds the time for which the leader may still answer workers and, while the state
// service does not respond, the controllers whose read leases are stale.
func (o *operatorViewer) viewAuthority(v *OperatorView, term *leadership) {
	v.AnswersForS = inSeconds(term.authorityProvenAt() + o.settings.LeaderAuthorityTime() - o.now)
	if o.now-term.stateProofAt() <= readLeaseAfter {
		return
	}
	stale := term.readLeases.StaleGrantors(o.now, readLeaseAfter)
	for _, peer := range sortedKeys(stale) {
		since := "yet"
		if stale[peer] >= 0 {
			since = fmt.Sprintf("for %d s", stale[peer]/second)
		}
		v.addCondition("controller " + peer + " has not vouched " + since + " for what it tells users: workers are answered for hold only")
	}
}

func (o *operatorViewer) viewScaling(v *OperatorView, scaling *scalingState) {
	v.CallsLeft = scaling.callBudget
	v.Machines.Booting = len(scaling.booting)
	if scaling.listFailedAt > scaling.listedAt {
		v.addCondition("the cloud does not answer")
	}
}

func (o *operatorViewer) viewMachines(v *OperatorView, machines []*fleet.Machine) {
	for _, machine := range machines {
		if i := o.cache.partitions.Partition(machine.Name); i < len(v.Partitions) {
			v.Partitions[i].Machines++
		}
		o.countMachine(&v.Machines, machine)
	}
	if n := v.Machines.NotReceiving; n > 0 {
		v.addCondition(fmt.Sprintf("%d machines report and do not hear what they are told", n))
	}
}

// countMachine adds a machine to the count of its state.
func (o *operatorViewer) countMachine(counts *MachinesView, machine *fleet.Machine) {
	switch {
	case machine.Draining || machine.Releasing || machine.ReclaimAt != 0:
		counts.Draining++
	case machine.Delivery.CannotReceive:
		counts.NotReceiving++
	case !o.planner.usable(machine):
		counts.Silent++
	case len(machine.Placed) > 0:
		counts.Busy++
	case machine.Prefetch != nil:
		counts.Prefetching++
	default:
		counts.Idle++
	}
}

func (o *operatorViewer) viewQueues(v *OperatorView, planning *planState) {
	v.Queues = make([]QueueView, queueCount)
	for _, waiting := range planning.waitingJobs {
		queue := &v.Queues[o.planner.queueOf(waiting.spec)]
		queue.Waiting++
		queue.Tasks += waiting.tasks
	}
	for _, pivot := range planning.pivots {
		queue := &v.Queues[pivot.queue]
		job := o.cache.jobs[pivot.job]
		if job == nil || queue.Pivot != "" {
			continue
		}
		queue.Pivot = pivot.job
		queue.WaitsS = inSeconds(o.now - job.ReadyAt)
		queue.Reason = o.waitReason(pivot)
		if pivot.startAt > 0 {
			queue.StartsS = inSeconds(max(0, pivot.startAt-o.now))
		}
	}
}

// waitReason describes what a pivot waits for.
func (o *operatorViewer) waitReason(pivot plannedPivot) string {
	if pivot.startAt != 0 {
		return "for running tasks to end"
	}
	job := o.cache.jobs[pivot.job]
	for _, machine := range o.elector.leadership.fleet.All() {
		if o.planner.usable(machine) && job.Allows(machine.Type, machine.Zone, machine.Spot, machine.Cap) {
			return "too few machines that it may use are up"
		}
	}
	return "no machine that it may use is up"
}
