package core

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// Ops asks for what operators are shown. It reads and changes nothing.
type Ops struct{ Req uint64 }

// OpsView is one controller's view of the service, for operators.
type OpsView struct {
	Controller string  `json:"controller"`
	Leader     string  `json:"leader"`
	Token      uint64  `json:"token"`
	Leading    bool    `json:"leading"`
	Synced     bool    `json:"synced"`
	Revision   uint64  `json:"revision"`
	StateAgeS  float64 `json:"state_silent_s"`
	WritesLeft float64 `json:"writes_left"`
	// ReadsLeft is what is left of its share of reads, ReadsBy the controller that it
	// asks for what is stored, "" for the state service.
	ReadsLeft  float64     `json:"reads_left"`
	ReadsBy    string      `json:"reads_by"`
	CallsLeft  float64     `json:"cloud_calls_left"`
	Peers      []OpsPeer   `json:"peers"`
	Partitions []OpsPart   `json:"partitions"`
	Queues     []OpsQueue  `json:"queues,omitempty"`
	Machines   OpsMachines `json:"machines"`
	Jobs       int         `json:"unfinished_jobs"`
	// AnswersForS is how long a leader may still answer workers without a newer
	// proof, below 0 when that is over.
	AnswersForS float64 `json:"answers_for_s,omitempty"`
	// Awaiting counts those of them that wait for others to be done.
	Awaiting int `json:"awaiting_jobs"`
	// Format is the version of stored data, Lowered says that the limits to
	// come of the state service are here.
	Format   int      `json:"format"`
	Lowered  bool     `json:"state_limits_fallen"`
	Troubles []string `json:"troubles"`
	// Features are this program's, and those that are on; Members is what each
	// controller says it is.
	Features []OpsFeature         `json:"features"`
	Members  map[string]OpsMember `json:"members"`
	Reach    OpsReach             `json:"reach"`
	// Latencies are those of users' requests in this process since its start.
	Latencies []OpsLatency `json:"latencies,omitempty"`
}

// OpsFeature is a feature, and what holds it back if it is not on.
type OpsFeature struct {
	Name string   `json:"name"`
	On   bool     `json:"on"`
	Held []string `json:"held_back,omitempty"`
}

// OpsMember is a controller by its own word: its program, 0 for one that tells
// nothing of it, the newest format that it reads, its features and those that
// its operators hold back.
type OpsMember struct {
	Program  int                   `json:"program"`
	Format   int                   `json:"format"`
	Features []upgrade.FeatureName `json:"features,omitempty"`
	Held     []upgrade.FeatureName `json:"holds_back,omitempty"`
}

// OpsReach is what this controller knows of its links and of the others'.
type OpsReach struct {
	Links []OpsLink `json:"links"`
	// Matrix has what each controller that could lead says it reaches: eighths
	// of each zone's machines, the controllers that answer it, the cloud.
	Matrix map[string]OpsRow `json:"matrix"`
	// GaveWay is when this controller last left the leadership to another.
	GaveWay *OpsMove `json:"gave_way,omitempty"`
}

// OpsLink is one link: up, slow, flapping, refusing, lost or unknown, and how
// long ago it was last proven, -1 for never.
type OpsLink struct {
	Link  string  `json:"link"`
	State string  `json:"state"`
	AgeS  float64 `json:"proven_s_ago"`
}

// OpsRow is what a controller says it reaches, and how much it would serve as
// the leader, through others too.
type OpsRow struct {
	Workers map[string]int `json:"workers_eighths"`
	Leading map[string]int `json:"as_leader_eighths"`
	Peers   []string       `json:"peers"`
	Cloud   bool           `json:"cloud"`
}

// OpsMove is a time at which a leader gave way.
type OpsMove struct {
	To   string  `json:"to"`
	Why  string  `json:"why"`
	AgeS float64 `json:"s_ago"`
}

// OpsLatency is how long a call of users took to be answered, in ms.
type OpsLatency struct {
	Call    string  `json:"call"`
	Answers int64   `json:"answers"`
	Mean    float64 `json:"mean_ms"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// OpsPeer is another controller.
type OpsPeer struct {
	Name string `json:"name"`
	Up   bool   `json:"up"`
}

// OpsPart is a partition: the hashes before Ends, and who holds it.
type OpsPart struct {
	Holder   string `json:"holder"`
	Ends     uint32 `json:"ends"`
	Machines int    `json:"machines"`
}

// OpsQueue is a queue and its pivot.
type OpsQueue struct {
	Waiting int     `json:"waiting_jobs"`
	Tasks   int     `json:"waiting_tasks"`
	Pivot   string  `json:"pivot,omitempty"`
	StartsS float64 `json:"pivot_starts_in_s,omitempty"`
	WaitsS  float64 `json:"pivot_waits_s,omitempty"`
	Why     string  `json:"why,omitempty"`
}

// OpsMachines counts machines by what they are doing.
type OpsMachines struct {
	Busy    int `json:"busy"`
	Idle    int `json:"idle"`
	Warming int `json:"warming"`
	Silent  int `json:"silent"`
	// Deaf ones report and do not hear.
	Deaf     int `json:"deaf"`
	Draining int `json:"draining"`
	Booting  int `json:"booting"`
}

func (c *Core) onOps(m Ops) {
	c.noteNewest(c.leader)
	v := &OpsView{Controller: c.set.Name, Leader: c.newest.Name, Token: c.newest.Token, Leading: c.lead != nil, Synced: c.synced,
		Revision: c.applied, StateAgeS: float64(c.stateAge()) / 1e6, WritesLeft: c.budget.Level(), ReadsLeft: c.reading.Level(), ReadsBy: c.viewSource(), Jobs: len(c.jobs), Format: max(c.format.Version, 1), Lowered: c.lowered, Troubles: []string{}}
	for _, j := range c.jobs {
		if j.Outcome == "" && j.IsBlocked() {
			v.Awaiting++
		}
	}
	if !c.joined() {
		v.Troubles = append(v.Troubles, "not all controllers are known to have this version: awaits is refused")
	}
	for _, p := range c.set.Peers {
		v.Peers = append(v.Peers, OpsPeer{p, c.links.PeerUp(p, c.now)})
		if !c.links.PeerUp(p, c.now) {
			v.Troubles = append(v.Troubles, "controller "+p+" does not answer")
		}
	}
	if c.stateLost() {
		v.Troubles = append(v.Troubles, "the state service does not answer")
	}
	if c.newest.Name == "" || c.leaderAt == 0 && c.synced {
		v.Troubles = append(v.Troubles, "no controller leads")
	}
	for i, h := range c.bounds.Holders {
		p := OpsPart{Holder: h, Ends: ^uint32(0)}
		if i < len(c.bounds.Boundaries) {
			p.Ends = c.bounds.Boundaries[i]
		}
		v.Partitions = append(v.Partitions, p)
	}
	for _, f := range c.activation.FeatureStates() {
		v.Features = append(v.Features, OpsFeature{string(f.Name), f.Enabled, f.Blockers})
	}
	v.Members = map[string]OpsMember{}
	for name, w := range c.activation.Advertisements() {
		v.Members[name] = OpsMember{w.Program, w.Format, w.Features, w.Withheld}
	}
	if c.unfit != "" {
		v.Troubles = append(v.Troubles, c.unfit)
	}
	c.opsReach(v)
	if c.lead != nil {
		c.opsLeader(v)
	}
	c.emit(Reply{Req: m.Req, Status: 200, Ops: v})
}

func (c *Core) opsReach(v *OpsView) {
	for _, l := range c.links.LinkViews(c.now) {
		o := OpsLink{l.Link, l.State, -1}
		if l.Age >= 0 {
			o.AgeS = float64(l.Age) / 1e6
		}
		v.Reach.Links = append(v.Reach.Links, o)
	}
	m := c.links.Matrix()
	v.Reach.Matrix = map[string]OpsRow{}
	for name, row := range m {
		v.Reach.Matrix[name] = OpsRow{row.Workers, m.Coverage(name), row.Peers, row.Cloud}
		if c.links.CannotReachMostZones(name) {
			v.Troubles = append(v.Troubles, "controller "+name+" is cut off from workers that others reach")
		}
	}
	if last := c.links.LastHandover(); last.At != 0 {
		v.Reach.GaveWay = &OpsMove{last.To, last.Reason, float64(c.now-last.At) / 1e6}
	}
	slices.Sort(v.Troubles)
}

func (c *Core) opsLeader(v *OpsView) {
	l := c.lead
	v.AnswersForS = float64(l.rightAt()+c.set.LeaderAuthorityTime()-c.now) / 1e6
	if c.now-l.byState() > askAfter {
		silent := l.vouched.StaleGrantors(c.now, askAfter)
		for _, p := range inOrder(silent) {
			since := "yet"
			if silent[p] >= 0 {
				since = fmt.Sprintf("for %d s", silent[p]/second)
			}
			v.Troubles = append(v.Troubles, "controller "+p+" has not vouched "+since+" for what it tells users: workers are answered for hold only")
		}
	}
	v.CallsLeft = l.cloud.level
	if l.cloud.failed > l.cloud.listed {
		v.Troubles = append(v.Troubles, "the cloud does not answer")
	}
	for _, m := range l.fleet.All() {
		if i := c.bounds.Partition(m.Name); i < len(v.Partitions) {
			v.Partitions[i].Machines++
		}
		switch {
		case m.Draining || m.Releasing || m.ReclaimAt != 0:
			v.Machines.Draining++
		case m.Delivery.CannotReceive:
			v.Machines.Deaf++
		case !c.usable(m):
			v.Machines.Silent++
		case len(m.Placed) > 0:
			v.Machines.Busy++
		case m.Prefetch != nil:
			v.Machines.Warming++
		default:
			v.Machines.Idle++
		}
	}
	if n := v.Machines.Deaf; n > 0 {
		v.Troubles = append(v.Troubles, fmt.Sprintf("%d machines report and do not hear what they are told", n))
	}
	v.Machines.Booting = len(l.cloud.booting)
	v.Queues = make([]OpsQueue, queues)
	for _, w := range l.waiting {
		q := &v.Queues[c.queueOf(w.spec)]
		q.Waiting++
		q.Tasks += w.tasks
	}
	for _, p := range l.pivots {
		q := &v.Queues[p.queue]
		if j := c.jobs[p.job]; j != nil && q.Pivot == "" {
			q.Pivot, q.WaitsS = p.job, float64(c.now-j.ReadyAt)/1e6
			q.Why = c.whyWaiting(p)
			if p.at > 0 {
				q.StartsS = float64(max(0, p.at-c.now)) / 1e6
			}
		}
	}
	v.Troubles = append(v.Troubles, l.stuck...)
	slices.Sort(v.Troubles)
}

// whyWaiting says in words what a pivot waits for.
func (c *Core) whyWaiting(p pivotView) string {
	j := c.jobs[p.job]
	if p.at != 0 {
		return "for running tasks to end"
	}
	able := 0
	for _, m := range c.lead.fleet.All() {
		if c.usable(m) && j.Allows(m.Type, m.Zone, m.Spot, m.Cap) {
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

// stuckTick tells operators of queues that do not move, before users do.
func (c *Core) stuckTick() {
	l := c.lead
	if c.now-l.stuckAt < 10*second {
		return
	}
	l.stuckAt = c.now
	l.stuck = l.stuck[:0]
	pivots := slices.Clone(l.pivots)
	slices.SortStableFunc(pivots, func(a, b pivotView) int { return cmp.Compare(a.queue, b.queue) })
	for _, p := range pivots {
		j := c.jobs[p.job]
		if j == nil || j.NumPlaced > 0 || c.now-j.ReadyAt < stuckAfter {
			continue
		}
		why := c.whyWaiting(p)
		l.stuck = append(l.stuck, fmt.Sprintf("queue %d: %s has waited %d s %s", p.queue, p.job, (c.now-j.ReadyAt)/second, why))
		if c.now-l.stuckLog[p.job] >= stuckAfter {
			l.stuckLog[p.job] = c.now
			c.log.Info("queue does not move", "queue", p.queue, "job", p.job, "waits_s", (c.now-j.ReadyAt)/second, "why", why)
		}
	}
	c.endangered()
	for id := range l.stuckLog {
		if c.jobs[id] == nil {
			delete(l.stuckLog, id)
		}
	}
}

// mostEndangered bounds the pipelines that operators are told of at once.
const mostEndangered = 5

// endangered tells operators of pipelines that will miss their deadline by the
// owners' estimates, before they do, and of the stage that holds each up.
func (c *Core) endangered() {
	l := c.lead
	var list []*jobstate.Job
	for _, j := range c.jobs {
		if j.Outcome == "" && !j.IsBlocked() && j.EffectiveDeadline != 0 && (len(j.Dependencies) > 0 || c.graph.HasDependents(j)) && c.now+c.remaining(j) > j.EffectiveDeadline {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobstate.Job) int {
		return cmp.Or(cmp.Compare(a.EffectiveDeadline, b.EffectiveDeadline), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range list[:min(len(list), mostEndangered)] {
		last := c.graph.DeadlineOwner(j)
		how := "running"
		if j.NumPlaced == 0 {
			how = "queued"
		}
		late := (c.now + c.remaining(j) - j.EffectiveDeadline) / second
		l.stuck = append(l.stuck, fmt.Sprintf("the pipeline to %s will be about %d s late: %s is %s, %d of %d tasks done", last.ID, late, j.ID, how, j.NumDone, j.Tasks))
		if c.now-l.stuckLog[j.ID] >= stuckAfter {
			l.stuckLog[j.ID] = c.now
			c.log.Info("pipeline will be late", "job", last.ID, "held_by", j.ID, "late_s", late, "state", how, "done", j.NumDone, "tasks", j.Tasks)
		}
	}
}

// remaining is how long a job still takes by its owner's estimate, if all of
// its tasks that wait start now.
func (c *Core) remaining(j *jobstate.Job) int64 {
	if j.Unplaced() > 0 {
		return j.Estimate
	}
	var left int64
	j.EachPlaced(func(_ int, t *jobstate.Task) {
		begun := t.StartedAt
		if begun == 0 {
			begun = c.now
		}
		left = max(left, begun+j.Estimate-c.now)
	})
	return max(left, 0)
}
