package core

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// QueryOperatorView asks for what operators are shown. It reads and changes nothing.
type QueryOperatorView struct{ RequestID uint64 }

// OperatorView is one controller's view of the service, for operators.
type OperatorView struct {
	Controller   string  `json:"controller"`
	Leader       string  `json:"leader"`
	FencingToken uint64  `json:"token"`
	Leading      bool    `json:"leading"`
	Synced       bool    `json:"synced"`
	Revision     uint64  `json:"revision"`
	StateAgeS    float64 `json:"state_silent_s"`
	WritesLeft   float64 `json:"writes_left"`
	// ReadsLeft is what is left of its share of reads, ReadsBy the controller that it
	// asks for what is stored, "" for the state service.
	ReadsLeft  float64         `json:"reads_left"`
	ReadsBy    string          `json:"reads_by"`
	CallsLeft  float64         `json:"cloud_calls_left"`
	Peers      []PeerView      `json:"peers"`
	Partitions []PartitionView `json:"partitions"`
	Queues     []QueueView     `json:"queues,omitempty"`
	Machines   MachinesView    `json:"machines"`
	Jobs       int             `json:"unfinished_jobs"`
	// AnswersForS is how long a leader may still answer workers without a newer
	// proof, below 0 when that is over.
	AnswersForS float64 `json:"answers_for_s,omitempty"`
	// Awaiting counts those of them that wait for others to be done.
	Awaiting int `json:"awaiting_jobs"`
	// Format is the version of stored data, Lowered says that the limits to
	// come of the state service are here.
	Format        int      `json:"format"`
	LimitsLowered bool     `json:"state_limits_fallen"`
	Conditions    []string `json:"troubles"`
	// Features are this program's, and those that are on; Members is what each
	// controller says it is.
	Features []FeatureView         `json:"features"`
	Members  map[string]MemberView `json:"members"`
	Reach    ConnectivityView      `json:"reach"`
	// Latencies are those of users' requests in this process since its start.
	Latencies []LatencyView `json:"latencies,omitempty"`
}

// FeatureView is a feature, and what holds it back if it is not on.
type FeatureView struct {
	Name string   `json:"name"`
	On   bool     `json:"on"`
	Held []string `json:"held_back,omitempty"`
}

// MemberView is a controller by its own word: its program, 0 for one that tells
// nothing of it, the newest format that it reads, its features and those that
// its operators hold back.
type MemberView struct {
	Program  int                   `json:"program"`
	Format   int                   `json:"format"`
	Features []upgrade.FeatureName `json:"features,omitempty"`
	Held     []upgrade.FeatureName `json:"holds_back,omitempty"`
}

// ConnectivityView is what this controller knows of its links and of the others'.
type ConnectivityView struct {
	Links []LinkView `json:"links"`
	// Matrix has what each controller that could lead says it reaches: eighths
	// of each zone's machines, the controllers that answer it, the cloud.
	Matrix map[string]ConnectivityRowView `json:"matrix"`
	// SteppedAside is when this controller last left the leadership to another.
	SteppedAside *LeadershipTransferView `json:"gave_way,omitempty"`
}

// LinkView is one link: up, slow, flapping, refusing, lost or unknown, and how
// long ago it was last proven, -1 for never.
type LinkView struct {
	Link  string  `json:"link"`
	State string  `json:"state"`
	AgeS  float64 `json:"proven_s_ago"`
}

// ConnectivityRowView is what a controller says it reaches, and how much it would serve as
// the leader, through others too.
type ConnectivityRowView struct {
	Workers map[string]int `json:"workers_eighths"`
	Leading map[string]int `json:"as_leader_eighths"`
	Peers   []string       `json:"peers"`
	Cloud   bool           `json:"cloud"`
}

// LeadershipTransferView is a time at which a leader gave way.
type LeadershipTransferView struct {
	To     string  `json:"to"`
	Reason string  `json:"why"`
	AgeS   float64 `json:"s_ago"`
}

// LatencyView is how long a call of users took to be answered, in ms.
type LatencyView struct {
	Call    string  `json:"call"`
	Answers int64   `json:"answers"`
	Mean    float64 `json:"mean_ms"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// PeerView is another controller.
type PeerView struct {
	Name string `json:"name"`
	Up   bool   `json:"up"`
}

// PartitionView is a partition: the hashes before Ends, and who holds it.
type PartitionView struct {
	Holder   string `json:"holder"`
	Ends     uint32 `json:"ends"`
	Machines int    `json:"machines"`
}

// QueueView is a queue and its pivot.
type QueueView struct {
	Waiting int     `json:"waiting_jobs"`
	Tasks   int     `json:"waiting_tasks"`
	Pivot   string  `json:"pivot,omitempty"`
	StartsS float64 `json:"pivot_starts_in_s,omitempty"`
	WaitsS  float64 `json:"pivot_waits_s,omitempty"`
	Reason  string  `json:"why,omitempty"`
}

// MachinesView counts machines by what they are doing.
type MachinesView struct {
	Busy        int `json:"busy"`
	Idle        int `json:"idle"`
	Prefetching int `json:"warming"`
	Silent      int `json:"silent"`
	// NotReceiving ones report and do not hear.
	NotReceiving int `json:"deaf"`
	Draining     int `json:"draining"`
	Booting      int `json:"booting"`
}

// operatorViewer shows operators the state of this controller.
type operatorViewer struct {
	*engine

	cache        *stateCache
	dependencies *dependencyResolver
	elector      *elector
	health       *stateHealth
	membership   *membership
	peers        *peerMonitor
	planner      *planner
	reader       *stateReader
}

func (ov *operatorViewer) onQueryOperatorView(m QueryOperatorView) {
	ov.elector.noteNewestLeader(ov.cache.leader)
	v := &OperatorView{
		Controller: ov.settings.Name, Leader: ov.elector.newestLeader.Name, FencingToken: ov.elector.newestLeader.Token, Leading: ov.elector.isLeader(), Synced: ov.cache.synced,
		Revision: ov.cache.appliedRevision, StateAgeS: float64(ov.health.outageAge()) / 1e6, WritesLeft: ov.health.writesLeft(), ReadsLeft: ov.health.readsLeft(), ReadsBy: ov.reader.readSource(), Jobs: len(ov.cache.jobs), Format: max(ov.membership.format.Version, 1), LimitsLowered: ov.membership.limitsLowered, Conditions: []string{},
	}
	for _, j := range ov.cache.jobs {
		if j.Outcome == "" && j.IsBlocked() {
			v.Awaiting++
		}
	}
	if !ov.membership.logEnabled() {
		v.Conditions = append(v.Conditions, "not all controllers are known to have this version: awaits is refused")
	}
	for _, p := range ov.settings.Peers {
		v.Peers = append(v.Peers, PeerView{p, ov.peers.connectivity.PeerUp(p, ov.now)})
		if !ov.peers.connectivity.PeerUp(p, ov.now) {
			v.Conditions = append(v.Conditions, "controller "+p+" does not answer")
		}
	}
	if ov.health.unavailable() {
		v.Conditions = append(v.Conditions, "the state service does not answer")
	}
	if ov.elector.newestLeader.Name == "" || ov.cache.leaderRevision == 0 && ov.cache.synced {
		v.Conditions = append(v.Conditions, "no controller leads")
	}
	for i, h := range ov.cache.partitions.Holders {
		p := PartitionView{Holder: h, Ends: ^uint32(0)}
		if i < len(ov.cache.partitions.Boundaries) {
			p.Ends = ov.cache.partitions.Boundaries[i]
		}
		v.Partitions = append(v.Partitions, p)
	}
	for _, f := range ov.membership.activation.FeatureStates() {
		v.Features = append(v.Features, FeatureView{string(f.Name), f.Enabled, f.Blockers})
	}
	v.Members = map[string]MemberView{}
	for name, w := range ov.membership.activation.Advertisements() {
		v.Members[name] = MemberView{w.Program, w.Format, w.Features, w.Withheld}
	}
	if ov.membership.incompatible != "" {
		v.Conditions = append(v.Conditions, ov.membership.incompatible)
	}
	ov.viewConnectivity(v)
	if ov.elector.isLeader() {
		ov.viewLeadership(v)
	}
	ov.emit(Reply{RequestID: m.RequestID, Status: 200, Ops: v})
}

func (ov *operatorViewer) viewConnectivity(v *OperatorView) {
	for _, l := range ov.peers.connectivity.LinkViews(ov.now) {
		o := LinkView{l.Link, l.State, -1}
		if l.Age >= 0 {
			o.AgeS = float64(l.Age) / 1e6
		}
		v.Reach.Links = append(v.Reach.Links, o)
	}
	m := ov.peers.connectivity.Matrix()
	v.Reach.Matrix = map[string]ConnectivityRowView{}
	for name, row := range m {
		v.Reach.Matrix[name] = ConnectivityRowView{row.Workers, m.Coverage(name), row.Peers, row.Cloud}
		if ov.peers.connectivity.CannotReachMostZones(name) {
			v.Conditions = append(v.Conditions, "controller "+name+" is cut off from workers that others reach")
		}
	}
	if last := ov.peers.connectivity.LastHandover(); last.At != 0 {
		v.Reach.SteppedAside = &LeadershipTransferView{last.To, last.Reason, float64(ov.now-last.At) / 1e6}
	}
	slices.Sort(v.Conditions)
}

func (ov *operatorViewer) viewLeadership(v *OperatorView) {
	l := ov.elector.leadership
	v.AnswersForS = float64(l.authorityProvenAt()+ov.settings.LeaderAuthorityTime()-ov.now) / 1e6
	if ov.now-l.stateProofAt() > readLeaseAfter {
		silent := l.readLeases.StaleGrantors(ov.now, readLeaseAfter)
		for _, p := range sortedKeys(silent) {
			since := "yet"
			if silent[p] >= 0 {
				since = fmt.Sprintf("for %d s", silent[p]/second)
			}
			v.Conditions = append(v.Conditions, "controller "+p+" has not vouched "+since+" for what it tells users: workers are answered for hold only")
		}
	}
	v.CallsLeft = l.scaling.callBudget
	if l.scaling.listFailedAt > l.scaling.listedAt {
		v.Conditions = append(v.Conditions, "the cloud does not answer")
	}
	for _, m := range l.fleet.All() {
		if i := ov.cache.partitions.Partition(m.Name); i < len(v.Partitions) {
			v.Partitions[i].Machines++
		}
		switch {
		case m.Draining || m.Releasing || m.ReclaimAt != 0:
			v.Machines.Draining++
		case m.Delivery.CannotReceive:
			v.Machines.NotReceiving++
		case !ov.planner.usable(m):
			v.Machines.Silent++
		case len(m.Placed) > 0:
			v.Machines.Busy++
		case m.Prefetch != nil:
			v.Machines.Prefetching++
		default:
			v.Machines.Idle++
		}
	}
	if n := v.Machines.NotReceiving; n > 0 {
		v.Conditions = append(v.Conditions, fmt.Sprintf("%d machines report and do not hear what they are told", n))
	}
	v.Machines.Booting = len(l.scaling.booting)
	v.Queues = make([]QueueView, queueCount)
	for _, w := range l.planning.waitingJobs {
		q := &v.Queues[ov.planner.queueOf(w.spec)]
		q.Waiting++
		q.Tasks += w.tasks
	}
	for _, p := range l.planning.pivots {
		q := &v.Queues[p.queue]
		if j := ov.cache.jobs[p.job]; j != nil && q.Pivot == "" {
			q.Pivot, q.WaitsS = p.job, float64(ov.now-j.ReadyAt)/1e6
			q.Reason = ov.whyWaiting(p)
			if p.at > 0 {
				q.StartsS = float64(max(0, p.at-ov.now)) / 1e6
			}
		}
	}
	v.Conditions = append(v.Conditions, l.planning.stuckQueues...)
	slices.Sort(v.Conditions)
}

// whyWaiting says in words what a pivot waits for.
func (ov *operatorViewer) whyWaiting(p plannedPivot) string {
	j := ov.cache.jobs[p.job]
	if p.at != 0 {
		return "for running tasks to end"
	}
	able := 0
	for _, m := range ov.elector.leadership.fleet.All() {
		if ov.planner.usable(m) && j.Allows(m.Type, m.Zone, m.Spot, m.Cap) {
			able++
		}
	}
	if able == 0 {
		return "no machine that it may use is up"
	}
	return "too few machines that it may use are up"
}

// stuckAfter is when a pivot is reported as stuck, and how often again.
const stuckAfter = 60 * second

// stuckQueuesTick tells operators of queues that do not move, before users do.
func (ov *operatorViewer) stuckQueuesTick() {
	l := ov.elector.leadership
	if ov.now-l.planning.stuckCheckedAt < 10*second {
		return
	}
	l.planning.stuckCheckedAt = ov.now
	l.planning.stuckQueues = l.planning.stuckQueues[:0]
	pivots := slices.Clone(l.planning.pivots)
	slices.SortStableFunc(pivots, func(a, b plannedPivot) int { return cmp.Compare(a.queue, b.queue) })
	for _, p := range pivots {
		j := ov.cache.jobs[p.job]
		if j == nil || j.NumPlaced > 0 || ov.now-j.ReadyAt < stuckAfter {
			continue
		}
		why := ov.whyWaiting(p)
		l.planning.stuckQueues = append(l.planning.stuckQueues, fmt.Sprintf("queue %d: %s has waited %d s %s", p.queue, p.job, (ov.now-j.ReadyAt)/second, why))
		if ov.now-l.planning.stuckLoggedAt[p.job] >= stuckAfter {
			l.planning.stuckLoggedAt[p.job] = ov.now
			ov.log.Info("queue does not move", "queue", p.queue, "job", p.job, "waits_s", (ov.now-j.ReadyAt)/second, "why", why)
		}
	}
	ov.logLateDependencies()
	for id := range l.planning.stuckLoggedAt {
		if ov.cache.jobs[id] == nil {
			delete(l.planning.stuckLoggedAt, id)
		}
	}
}

// maxLateDependencies bounds the pipelines that operators are told of at once.
const maxLateDependencies = 5

// logLateDependencies tells operators of pipelines that will miss their deadline by the
// owners' estimates, before they do, and of the stage that holds each up.
func (ov *operatorViewer) logLateDependencies() {
	l := ov.elector.leadership
	var list []*jobstate.Job
	for _, j := range ov.cache.jobs {
		if j.Outcome == "" && !j.IsBlocked() && j.EffectiveDeadline != 0 && (len(j.Dependencies) > 0 || ov.dependencies.dependencyGraph.HasDependents(j)) && ov.now+ov.remainingTime(j) > j.EffectiveDeadline {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobstate.Job) int {
		return cmp.Or(cmp.Compare(a.EffectiveDeadline, b.EffectiveDeadline), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range list[:min(len(list), maxLateDependencies)] {
		last := ov.dependencies.dependencyGraph.DeadlineOwner(j)
		how := "running"
		if j.NumPlaced == 0 {
			how = "queued"
		}
		late := (ov.now + ov.remainingTime(j) - j.EffectiveDeadline) / second
		l.planning.stuckQueues = append(l.planning.stuckQueues, fmt.Sprintf("the pipeline to %s will be about %d s late: %s is %s, %d of %d tasks done", last.ID, late, j.ID, how, j.NumDone, j.Tasks))
		if ov.now-l.planning.stuckLoggedAt[j.ID] >= stuckAfter {
			l.planning.stuckLoggedAt[j.ID] = ov.now
			ov.log.Info("pipeline will be late", "job", last.ID, "held_by", j.ID, "late_s", late, "state", how, "done", j.NumDone, "tasks", j.Tasks)
		}
	}
}

// remainingTime is how long a job still takes by its owner's estimate, if all of
// its tasks that wait start now.
func (ov *operatorViewer) remainingTime(j *jobstate.Job) int64 {
	if j.Unplaced() > 0 {
		return j.Estimate
	}
	var left int64
	j.EachPlaced(func(_ int, t *jobstate.Task) {
		begun := t.StartedAt
		if begun == 0 {
			begun = ov.now
		}
		left = max(left, begun+j.Estimate-ov.now)
	})
	return max(left, 0)
}
