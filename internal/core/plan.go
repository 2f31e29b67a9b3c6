package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// queueCount is how many queues and partitions there are, as in the paper.
const queueCount = 3

// planGap paces planning rounds, maxPlannedTasks bounds what one round places.
const (
	planGap         = 150_000
	maxPlannedTasks = 400
)

// machinesPerUrgentJob is for how many machines one more waiting job is held room.
const machinesPerUrgentJob = 64

// minRoomyTasks is how many ordinary machines have to be idle for services to take more
// machines than they fill: not while everything that there is is wanted.
const minRoomyTasks = 16

type plannedPivot struct {
	queue int
	job   string
	at    int64
}

// waitingJob is what the rentals go by.
type waitingJob struct {
	spec  *jobstate.Spec
	tasks int
	since int64
}

func sortRefs(refs []fleet.TaskRef) {
	slices.SortFunc(refs, func(a, b fleet.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job.Arrival, b.Job.Arrival), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index))
	})
}

// planState is what the planner keeps while this controller leads.
type planState struct {
	wanted      bool
	plannedAt   int64
	pivots      []plannedPivot
	waitingJobs []waitingJob
	claims      []claim
	// capacity is what all usable machines have together.
	capacity   jobstate.Resources
	classSizes classSizes
	// stuckQueues tells operators of queues that do not move.
	stuckQueues    []string
	stuckCheckedAt int64
	stuckLoggedAt  map[string]int64
	// onDemandWantedAt is when a type's on-demand machines were last wanted.
	onDemandWantedAt map[string]int64
}

func newPlanState() planState {
	return planState{wanted: true, classSizes: classSizes{}, stuckLoggedAt: map[string]int64{}, onDemandWantedAt: map[string]int64{}}
}

// planner runs the rounds of scheduling: quotas, queues, pivots and preemption.
type planner struct {
	*engine

	cache        *stateCache
	committer    *committer
	dependencies *dependencyResolver
	elector      *elector
	prefetcher   *prefetcher
	sweepManager *sweepManager
	tasks        *taskManager
}

// queueOf is equation (1) with our cutoffs; services never end and go to the
// long queue.
func (pl *planner) queueOf(s *jobstate.Spec) int {
	switch {
	case s.Kind == jobstate.Service:
		return 2
	case s.Estimate < pl.settings.Ops.ShortCutoff:
		return 0
	case s.Estimate < pl.settings.Ops.LongCutoff:
		return 1
	}
	return 2
}

// wantsTrial says whether a job's next run is its trial.
func (pl *planner) wantsTrial(j *jobstate.Job) bool {
	return j.Checkpoint > 0 && !j.TrialDone && j.Kind != jobstate.Service && pl.queueOf(j.Spec) > 0
}

const distantFuture = int64(1) << 50

type teamUsage struct{ cpu, gpu int64 }

// usage is what the teams' placements take, stored or planned, and what
// warming tasks take in their names.
func (pl *planner) usage() map[string]teamUsage {
	used := maps.Clone(pl.elector.leadership.prefetch.usedByTeam)
	for _, j := range pl.cache.jobs {
		u := used[j.Team]
		u.cpu += j.Need.CPU * int64(j.NumPlaced)
		u.gpu += j.Need.GPU * int64(j.NumPlaced)
		used[j.Team] = u
	}
	return used
}

// plan runs one planning round and carries it out.
func (pl *planner) plan() {
	l := pl.elector.leadership
	l.planning.wanted, l.planning.plannedAt = false, pl.now
	if !pl.elector.mayStartTasks() || len(pl.cache.machineTypes) == 0 {
		return
	}
	pl.inheritPriorities()
	used := pl.usage()
	unfinished := pl.unfinished()
	guaranteed := pl.jobsWithinQuota(unfinished)
	machines := pl.refreshIndex()
	l.planning.capacity = machines.Capacity()
	jobs := pl.schedJobs(unfinished, used, guaranteed)
	report := config.MicrosOf(pl.settings.Workers.ReportS)
	p := sched.Planner{
		Now: pl.now, Queues: queueCount, Index: machines, ImageWorth: pl.prefetcher.imageWorth(), MaxStarts: maxPlannedTasks, PreemptDelay: 2*report + 3*second,
		PreferSpot: pl.spotPreferred(), ReserveAhead: machines.Len() / machinesPerUrgentJob, Claims: pl.activeClaims(), LargestGPUTask: pl.largestMachine(),
		LoadRunningTasks: func(m *sched.Machine) { pl.loadRuns(m, guaranteed) },
		BeyondGuarantee: func(team string, need jobstate.Resources) bool {
			t := pl.settings.Team(team)
			return t == nil || used[team].gpu-need.GPU >= int64(t.GPUs*1000) && (t.CPUs == 0 || used[team].cpu-need.CPU >= int64(t.CPUs*1000))
		},
	}
	p.HasSpareMachines = l.scaling.idleOnDemand >= minRoomyTasks
	plan := p.Plan(jobs)
	attempts := map[*jobstate.Job]uint32{}
	for _, s := range plan.Starts {
		j := s.Job.Job
		a := attempts[j]
		if a == 0 {
			a = j.NextAttempt()
			attempts[j] = a
		}
		m := l.fleet.Get(s.Machine.Name)
		pl.log.Debug("placed", "class", j.Class, "team", j.Team, "guaranteed", s.Job.Guaranteed, "job", j.ID, "task", s.Index, "attempt", a, "machine", m.Name, "type", m.Type,
			"spot", m.Spot, "image", j.Image, "has_image", m.Images[j.Image].LastUsed != 0, "known_s", float64(pl.now-j.ReadyAt)/1e6)
		j.PlaceTask(s.Index, m.Name, a, pl.now)
		j.Task(s.Index).Trial = pl.wantsTrial(j)
		m.AddPlacement(fleet.TaskRef{Job: j, Index: s.Index})
		m.IdleSince = 0
		l.heartbeats.held.expectCommands(m.Name)
		pl.committer.markDirty(j)
		pl.dropClaim(j, m.Name)
	}
	for _, cl := range plan.Claims {
		l.planning.claims = append(l.planning.claims, claim{cl, pl.now + claimFor + 2*report})
	}
	for _, r := range plan.Preemptions {
		pl.log.Debug("stopping to make room", "job", r.Job.ID, "task", r.Index, "machine", r.Job.Task(r.Index).Machine, "for", r.For.ID, "for_class", r.For.Class)
		grace := checkpointGrace(r.Job)
		if r.Kill {
			grace = 0
		}
		pl.tasks.stopAtCheckpoint(r.Job, r.Index, jobstate.StopPreempt, grace)
	}
	l.planning.pivots = l.planning.pivots[:0]
	for _, pv := range plan.Pivots {
		l.planning.pivots = append(l.planning.pivots, plannedPivot{pv.Queue, pv.Job.ID, pv.StartAt})
	}
	l.planning.waitingJobs = l.planning.waitingJobs[:0]
	for _, j := range plan.Waiting {
		l.planning.waitingJobs = append(l.planning.waitingJobs, waitingJob{j.Spec, j.Unplaced(), j.ReadyAt})
	}
	if len(plan.Starts) >= maxPlannedTasks {
		l.planning.wanted = true
	}
	pl.endTrials(plan, guaranteed)
	if len(plan.Waiting) > 0 || len(plan.Pivots) > 0 {
		pl.log.Debug("round", "machines", machines.Len(), "starts", len(plan.Starts), "waiting", len(plan.Waiting), "pivots", len(plan.Pivots), "stops", len(plan.Preemptions))
	}
}

// claim is kept until it is used, its job is over, or the room should long
// have come free.
type claim struct {
	sched.Claim
	until int64
}

// claimFor is how long it takes to stop work in order, beyond two reports.
const claimFor = 10 * second

func (pl *planner) activeClaims() []sched.Claim {
	l := pl.elector.leadership
	l.planning.claims = slices.DeleteFunc(l.planning.claims, func(cl claim) bool {
		return pl.now > cl.until || cl.Job.Outcome != "" || cl.Job.Unplaced() == 0
	})
	out := make([]sched.Claim, len(l.planning.claims))
	for i := range l.planning.claims {
		out[i] = l.planning.claims[i].Claim
	}
	return out
}

// dropClaim ends a claim that has been used.
func (pl *planner) dropClaim(j *jobstate.Job, machine string) {
	l := pl.elector.leadership
	if i := slices.IndexFunc(l.planning.claims, func(cl claim) bool { return cl.Job == j && cl.Machine == machine }); i >= 0 {
		l.planning.claims = slices.Delete(l.planning.claims, i, i+1)
	}
}

// endTrials stops trials that are over while somebody waits for a machine
// they are on who would come before the job when it is requeued. Otherwise
// the job itself would be started again there at once, after a save and an
// image fetch for nothing, so it goes on as if it had been.
func (pl *planner) endTrials(plan sched.Plan, guaranteed map[*jobstate.Job]bool) {
	if len(plan.Waiting) == 0 {
		return
	}
	var tried []*jobstate.Job
	for _, j := range pl.cache.jobs {
		if j.NumPlaced > 0 && !j.TrialDone && j.Outcome == "" && j.Checkpoint > 0 {
			tried = append(tried, j)
		}
	}
	slices.SortFunc(tried, func(a, b *jobstate.Job) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range tried {
		due := false
		requeued := &sched.Job{Job: j, QueueOrder: pl.queueOrder(j), Guaranteed: guaranteed[j]}
		j.EachPlaced(func(i int, t *jobstate.Task) {
			due = due || t.Trial && !t.IsStopping() && t.Phase == jobstate.Running && pl.now-t.PlacedAt >= pl.settings.Ops.Trial && pl.hasWaitingUse(t.Machine, requeued, plan.Waiting)
		})
		if !due {
			continue
		}
		pl.log.Debug("trial over", "job", j.ID)
		j.EachPlaced(func(i int, t *jobstate.Task) {
			if t.Trial {
				pl.tasks.preemptGang(j, i, jobstate.StopTrial)
			}
		})
	}
}

// hasWaitingUse says whether a job that waits could use a machine, and
// would go before the requeued one.
func (pl *planner) hasWaitingUse(machine string, requeued *sched.Job, waiting []*sched.Job) bool {
	m := pl.elector.leadership.fleet.Get(machine)
	if m == nil {
		return false
	}
	for _, w := range waiting {
		if sched.Before(w, requeued) && w.Allows(m.Type, m.Zone, m.Spot, m.Cap) && (w.Need.GPU > 0 || m.Cap.GPU == 0) {
			return true
		}
	}
	return false
}

// nextHeartbeatAt is when orders can probably get to a machine next: they
// travel in the answer to a report, so a parked one takes them at once, and
// else they wait for the next. Where reports are seconds apart that decides
// when an urgent job starts.
func (pl *planner) nextHeartbeatAt(m *fleet.Machine) int64 {
	if pl.elector.leadership.heartbeats.held.has(m.Name) {
		return 0
	}
	return m.LastHeartbeat + config.MicrosOf(pl.settings.Workers.ReportS)
}

// plannedRun estimates how long a placed task holds its room. One past its estimate
// is taken to end one report interval later.
func (pl *planner) plannedRun(m *fleet.Machine, ref fleet.TaskRef, guaranteed bool) sched.RunningTask {
	j, t := ref.Job, ref.Job.Task(ref.Index)
	report := config.MicrosOf(pl.settings.Workers.ReportS)
	r := sched.RunningTask{Job: j, Index: ref.Index, Guaranteed: guaranteed}
	switch {
	case j.Outcome != "" || t.IsStopping():
		r.End = max(t.StopRequestedAt+t.Grace+report, pl.now+second)
		return r
	case j.Kind == jobstate.Service:
		r.End = pl.now + distantFuture
	case t.StartedAt != 0:
		r.End = t.StartedAt + j.Estimate
	default:
		r.End = t.PlacedAt + j.Estimate + j.FetchTime(m.FetchRate)
	}
	if r.End <= pl.now {
		r.End = pl.now + report
	}
	r.Preemptible = t.StartSent
	switch {
	case t.StartedAt == 0:
		r.LostWork = pl.now - t.PlacedAt
	case j.Checkpoint > 0:
		r.LostWork = j.Save + 10*second
	default:
		r.LostWork = pl.now - t.StartedAt
	}
	if (t.StartedAt == 0 || pl.now-t.StartedAt < 30*second) && (guaranteed || pl.settings.StartTimeMatters(j.Class)) {
		// A start that is stopped this early was no start for its user.
		r.LostWork += 30 * second
	}
	r.LostWork *= j.Need.Weight()
	if j.Kind == jobstate.Gang {
		// All of it stops with one task.
		r.LostWork *= int64(max(j.NumPlaced, 1))
	}
	return r
}

// unfinished lists the jobs that are not over and wait for no other, by arrival.
func (pl *planner) unfinished() []*jobstate.Job {
	var all []*jobstate.Job
	for _, j := range pl.cache.jobs {
		if j.Outcome == "" && !j.IsBlocked() && pl.sweepManager.endIsUnconfirmed(j) {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(a, b *jobstate.Job) int {
		return cmp.Or(cmp.Compare(a.Arrival, b.Arrival), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// jobsWithinQuota finds the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (pl *planner) jobsWithinQuota(unfinished []*jobstate.Job) map[*jobstate.Job]bool {
	asked := map[string]teamUsage{}
	in := map[*jobstate.Job]bool{}
	for _, j := range unfinished {
		left := int64(j.Tasks - j.NumDone)
		u := asked[j.Team]
		u.cpu += j.Need.CPU * left
		u.gpu += j.Need.GPU * left
		asked[j.Team] = u
		if t := pl.settings.Team(j.Team); t != nil {
			in[j] = (t.GPUs > 0 || t.CPUs > 0) && (t.GPUs == 0 || u.gpu <= int64(t.GPUs*1000)) && (t.CPUs == 0 || u.cpu <= int64(t.CPUs*1000))
		}
	}
	return in
}

// schedJobs lists the jobs that have tasks to place.
func (pl *planner) schedJobs(unfinished []*jobstate.Job, used map[string]teamUsage, guaranteed map[*jobstate.Job]bool) []*sched.Job {
	rooms := map[string]*sched.Headroom{}
	var jobs []*sched.Job
	for _, j := range unfinished {
		if j.Unplaced() <= 0 || pl.now < j.NotBefore || j.IsBlocked() {
			continue
		}
		if j.Kind == jobstate.Gang && j.NumPlaced > 0 {
			continue // what is left of the last attempt has to go first
		}
		sj := &sched.Job{Job: j, Queue: pl.queueOf(j.Spec), ExpectedDuration: j.Estimate, Headroom: pl.quotaHeadroom(rooms, used, j.Team), Guaranteed: guaranteed[j]}
		if pl.wantsTrial(j) {
			sj.ExpectedDuration = min(sj.ExpectedDuration, pl.settings.Ops.Trial)
		}
		if j.Kind == jobstate.Service {
			sj.ExpectedDuration = distantFuture
		}
		sj.NeedsGPUMachine = j.Need.GPU == 0 && !fleet.FitsWithoutGPUs(pl.cache.machineTypes, j.Spec)
		sj.DeadlineLost, sj.QueueOrder, sj.StartOverdue = pl.startsLate(j), pl.queueOrder(j), pl.startIsOverdue(j)
		sj.StartBy = pl.makeRoomBy(j, sj.Guaranteed)
		if j.OneZone || j.Spread {
			sj.TasksByZone = pl.zonesOf(j)
			if sj.TasksByZone == nil {
				continue
			}
		}
		jobs = append(jobs, sj)
	}
	return jobs
}

// startMargin is how long a start takes besides the image: stopping what is in
// the way, the write, the order and the report.
const startMargin = 3 * second

// makeRoomBy is when a job needs its room to start as its class should, if its
// image has to be fetched; 0 if nobody says when it should.
func (pl *planner) makeRoomBy(j *jobstate.Job, guaranteed bool) int64 {
	within := pl.settings.StartWithin(j.Class, guaranteed)
	if within == 0 {
		return 0
	}
	var fetch int64
	for i := range pl.cache.machineTypes {
		if t := &pl.cache.machineTypes[i]; j.Need.Fits(t.Cap) && (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) {
			fetch = max(fetch, j.FetchTime(t.FetchRate))
		}
	}
	return j.ReadyAt + within - fetch - startMargin
}

// inheritPriorities treats jobs as those that need them: a job in front of an
// urgent one holds it up.
func (pl *planner) inheritPriorities() {
	pl.dependencies.dependencyGraph.InheritPriorities(maps.Values(pl.cache.jobs), config.MicrosOf(pl.settings.Workers.ReportS)/2+second)
}

// largestMachine is what the largest task with GPUs of any job needs.
func (pl *planner) largestMachine() jobstate.Resources {
	var most jobstate.Resources
	for _, j := range pl.cache.jobs {
		if n := j.Need; n.GPU > most.GPU || n.GPU == most.GPU && n.GPU > 0 && n.CPU > most.CPU {
			most = n
		}
	}
	return most
}

// queueOrder is when a job came or, with a deadline, its latest start, later by how
// much the job would hold up others.
func (pl *planner) queueOrder(j *jobstate.Job) int64 {
	switch {
	case j.EffectiveDeadline == 0:
		return j.ReadyAt
	case len(j.Dependencies) > 0 || pl.dependencies.dependencyGraph.HasDependents(j):
		// A stage of a pipeline: its deadline is all of its stages'.
		return max(j.SubmittedAt, j.EffectiveDeadline-j.Estimate)
	}
	return max(j.SubmittedAt, j.EffectiveDeadline-j.Estimate) + shortFirstFactor*pl.quotaShare(j)
}

// shortFirstFactor is how many times the time that the whole fleet needs for a job
// its turn comes later by: of jobs that can't all be in time those with little
// work go first, as they keep the others waiting for the least.
const shortFirstFactor = 10

// quotaShare is how long all machines together would work on what is left of a job.
func (pl *planner) quotaShare(j *jobstate.Job) int64 {
	all, left := pl.elector.leadership.planning.capacity, int64(j.Tasks-j.NumDone)
	need, of := left*j.Need.CPU, all.CPU
	if j.Need.GPU > 0 {
		need, of = left*j.Need.GPU, all.GPU
	}
	if of <= 0 {
		return 0
	}
	return int64(float64(need) / float64(of) * float64(j.Estimate))
}

// onDemandWantedFor is how long a job that may use ordinary machines only keeps
// them free for its like.
const onDemandWantedFor = 600 * second

// spotPreferred finds the machine types on which jobs that may use spot machines
// leave the ordinary ones to others.
func (pl *planner) spotPreferred() map[string]bool {
	l := pl.elector.leadership
	for _, j := range pl.cache.jobs {
		if j.Spot || j.Outcome != "" || j.IsBlocked() {
			continue
		}
		for i := range pl.cache.machineTypes {
			if t := &pl.cache.machineTypes[i]; j.Need.Fits(t.Cap) && (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && (j.Need.GPU > 0 || t.Cap.GPU == 0) {
				l.planning.onDemandWantedAt[t.Name] = pl.now
			}
		}
	}
	first := map[string]bool{}
	for t, at := range l.planning.onDemandWantedAt {
		first[t] = pl.now-at < onDemandWantedFor
	}
	return first
}

// startsLate says that a job can hardly meet its deadline any more. It then lets
// those that still can go first, until it has waited for many times its
// deadline: with more work than machines, strict arrival order would make
// every job late by the same backlog.
func (pl *planner) startsLate(j *jobstate.Job) bool {
	if j.Deadline == 0 || j.Unplaced() == 0 {
		return false
	}
	age := pl.now - j.SubmittedAt
	return age+j.Estimate > j.Deadline && age < 8*j.Deadline
}

// quotaHeadroom is what a team's limit leaves. All its jobs share it, so that one
// round can't place for each of them what is there once.
func (pl *planner) quotaHeadroom(rooms map[string]*sched.Headroom, used map[string]teamUsage, team string) *sched.Headroom {
	if r := rooms[team]; r != nil {
		return r
	}
	r := &sched.Headroom{CPU: sched.Unlimited, GPU: sched.Unlimited}
	t := pl.settings.Team(team)
	left := 1.0
	if pl.prefetcher.earlierPrefetchesRunning() {
		left -= prefetchQuotaShare
	}
	if t != nil && t.CPUsMax > 0 {
		r.CPU = int64(t.CPUsMax*1000*left) - used[team].cpu
	}
	if t != nil && t.GPUsMax > 0 {
		r.GPU = int64(t.GPUsMax*1000*left) - used[team].gpu
	}
	rooms[team] = r
	return r
}

// zonesOf counts a job's placements by zone; nil if a machine's zone is not
// known, as after a take-over before it reports.
func (pl *planner) zonesOf(j *jobstate.Job) map[string]int {
	zones := map[string]int{}
	known := true
	j.EachPlaced(func(_ int, t *jobstate.Task) {
		m := pl.elector.leadership.fleet.Get(t.Machine)
		if m == nil || m.Zone == "" {
			known = false
			return
		}
		zones[m.Zone]++
	})
	if !known {
		return nil
	}
	return zones
}

// leadTick does what the leader does in its own time.
func (c *Core) leadTick() {
	l := c.elector.leadership
	if c.now-l.planning.plannedAt >= 2*second {
		l.planning.wanted = true // estimated ends move with time
	}
	l.heartbeats.releaseWanted = true // the time of some may be up
	c.reader.refreshMirrorTick()
	c.partitionManager.partitionsTick()
	if c.now-l.machinesSweptAt >= second/4 {
		// What goes through all machines, and can wait.
		l.machinesSweptAt = c.now
		c.planner.silentTick()
		c.workers.probeNotReceiving()
		c.workers.probeUnreachable()
		c.scaler.cloudTick()
		c.committer.progressLogTick()
	}
	c.prefetcher.inheritPrefetchSources()
	c.prefetcher.prefetchTick()
	c.membership.activationTick()
	c.sweepManager.sweepTick()
	c.prefetcher.imageHintsTick()
	c.operators.stuckQueuesTick()
}

// leadStep plans, writes and answers what the last message made possible.
func (c *Core) leadStep() {
	if l := c.elector.leadership; l.planning.wanted && c.now-l.planning.plannedAt >= planGap {
		c.planner.plan()
	}
	c.committer.commitNow()
	if l := c.elector.leadership; l != nil && l.heartbeats.releaseWanted {
		c.workers.releaseReadyReplies()
	}
}

// silentTick clears the placements of machines whose lease must have run
// out: hold and lease after the last answer that anybody can have given.
func (pl *planner) silentTick() {
	lease := pl.settings.EpochTimeout()
	for _, m := range pl.elector.leadership.fleet.All() {
		if len(m.Placed) == 0 || pl.now-m.LastAnswer < lease {
			continue
		}
		pl.machineGone(m, "its lease has run out")
	}
}

// machineGone clears everything on a machine: all of it has ended for certain.
func (pl *planner) machineGone(m *fleet.Machine, why string) {
	if len(m.Placed) > 0 {
		pl.log.Info("machine's tasks are gone", "machine", m.Name, "tasks", len(m.Placed), "why", why)
	}
	refs := make([]fleet.TaskRef, 0, len(m.Placed))
	for ref := range m.Placed {
		refs = append(refs, ref)
	}
	sortRefs(refs)
	for _, ref := range refs {
		if ref.Job.Task(ref.Index).Machine == m.Name {
			pl.tasks.taskLost(ref.Job, ref.Index)
		}
	}
	m.HasCurrentToken = false
	m.MarkChanged()
}
