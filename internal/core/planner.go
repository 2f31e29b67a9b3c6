package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// queueCount is how many queues and partitions there are, as in the paper.
const queueCount = 3

const (
	// planInterval is the least time between two planning rounds, replanInterval the
	// most: estimated ends move with time.
	planInterval   = 150_000
	replanInterval = 2 * second
	// maxPlannedTasks bounds what one round places.
	maxPlannedTasks = 400
	// machinesPerUrgentJob is how many machines there are for each further waiting
	// urgent job that gets a reservation.
	machinesPerUrgentJob = 64
	// minSpareMachines is how many on-demand machines have to be idle for services to
	// take more machines than they fill: not while every machine is wanted.
	minSpareMachines = 16
	// distantFuture is when a service is expected to end.
	distantFuture = int64(1) << 50
)

// plannedPivot is a job at the head of its queue, and when it is expected to start.
type plannedPivot struct {
	queue int
	job   string
	at    int64
}

// waitingJob is a job with tasks that found no machine; scaling out goes by them.
type waitingJob struct {
	spec  *jobstate.Spec
	tasks int
	since int64
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
	// onDemandWantedAt is when a type's on-demand machines were last wanted.
	onDemandWantedAt map[string]int64
}

func newPlanState() planState {
	return planState{
		wanted:           true,
		classSizes:       classSizes{},
		onDemandWantedAt: map[string]int64{},
	}
}

// requestRound has the next step run a planning round, as something has changed that
// placements depend on.
func (s *planState) requestRound() { s.wanted = true }

// planner runs the rounds of scheduling: quotas, queues, pivots and preemption. What goes
// where is decided by package sched; the planner prepares its input from the state cache
// and the machines, and carries out its plan.
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

// plan runs one planning round and carries it out.
func (p *planner) plan() {
	planning := &p.elector.leadership.planning
	planning.wanted, planning.plannedAt = false, p.now
	if !p.elector.mayStartTasks() || len(p.cache.machineTypes) == 0 {
		return
	}
	p.inheritPriorities()
	used := p.usage()
	unfinished := p.unfinished()
	guaranteed := p.jobsWithinQuota(unfinished)
	machines := p.refreshIndex()
	planning.capacity = machines.Capacity()
	jobs := p.schedJobs(unfinished, used, guaranteed)
	round := p.newRound(machines, used, guaranteed)
	plan := round.Plan(jobs)

	p.placeTasks(plan.Starts)
	p.addClaims(plan.Claims)
	p.preemptTasks(plan.Preemptions)
	p.recordWaiting(&plan)
	if len(plan.Starts) >= maxPlannedTasks {
		planning.requestRound()
	}
	p.endTrials(plan, guaranteed)
	if len(plan.Waiting) > 0 || len(plan.Pivots) > 0 {
		p.log.Debug("planning round", "machines", machines.Len(), "starts", len(plan.Starts), "waiting", len(plan.Waiting),
			"pivots", len(plan.Pivots), "preemptions", len(plan.Preemptions))
	}
}

// newRound prepares a round of package sched.
func (p *planner) newRound(machines *sched.Index, used map[string]teamUsage, guaranteed map[*jobstate.Job]bool) *sched.Planner {
	return &sched.Planner{
		Now:              p.now,
		Queues:           queueCount,
		Index:            machines,
		ImageWorth:       p.prefetcher.imageWorth(),
		MaxStarts:        maxPlannedTasks,
		PreemptDelay:     2*p.heartbeatInterval() + 3*second,
		PreferSpot:       p.spotPreferred(),
		ReserveAhead:     machines.Len() / machinesPerUrgentJob,
		Claims:           p.activeClaims(),
		LargestGPUTask:   p.largestGPUTask(),
		HasSpareMachines: p.elector.leadership.scaling.idleOnDemand >= minSpareMachines,
		LoadRunningTasks: func(m *sched.Machine) { p.loadRunningTasks(m, guaranteed) },
		BeyondGuarantee: func(team string, need jobstate.Resources) bool {
			return p.isBeyondGuarantee(team, used[team], need)
		},
	}
}

// placeTasks records where tasks are to start; the start commands follow once that is
// stored. All tasks of a job that are placed in one round are of the same attempt.
func (p *planner) placeTasks(starts []sched.Start) {
	term := p.elector.leadership
	attempts := map[*jobstate.Job]uint32{}
	for _, start := range starts {
		job := start.Job.Job
		attempt := attempts[job]
		if attempt == 0 {
			attempt = job.NextAttempt()
			attempts[job] = attempt
		}
		machine := term.fleet.Get(start.Machine.Name)
		p.log.Debug("task placed", "class", job.Class, "team", job.Team, "guaranteed", start.Job.Guaranteed,
			"job", job.ID, "task", start.Index, "attempt", attempt,
			"machine", machine.Name, "type", machine.Type, "spot", machine.Spot,
			"image", job.Image, "has_image", machine.Images[job.Image].LastUsed != 0,
			"waited_s", float64(p.now-job.ReadyAt)/1e6)
		job.PlaceTask(start.Index, machine.Name, attempt, p.now)
		job.Task(start.Index).Trial = p.wantsTrial(job)
		machine.AddPlacement(fleet.TaskRef{Job: job, Index: start.Index})
		machine.IdleSince = 0
		term.heartbeats.held.expectCommands(machine.Name)
		p.committer.markDirty(job)
		p.dropClaim(job, machine.Name)
	}
}

// preemptTasks stops what the round wants stopped for other jobs.
func (p *planner) preemptTasks(preemptions []sched.Preemption) {
	for _, victim := range preemptions {
		p.log.Debug("preempting a task", "job", victim.Job.ID, "task", victim.Index,
			"machine", victim.Job.Task(victim.Index).Machine, "for", victim.For.ID, "for_class", victim.For.Class)
		grace := checkpointGrace(victim.Job)
		if victim.Kill {
			grace = 0
		}
		p.tasks.preempt(victim.Job, victim.Index, grace)
	}
}

// recordWaiting keeps what waits for scaling out, for prefetches and for operators.
func (p *planner) recordWaiting(plan *sched.Plan) {
	planning := &p.elector.leadership.planning
	planning.pivots = planning.pivots[:0]
	for _, pivot := range plan.Pivots {
		planning.pivots = append(planning.pivots, plannedPivot{pivot.Queue, pivot.Job.ID, pivot.StartAt})
	}
	planning.waitingJobs = planning.waitingJobs[:0]
	for _, job := range plan.Waiting {
		planning.waitingJobs = append(planning.waitingJobs, waitingJob{job.Spec, job.Unplaced(), job.ReadyAt})
	}
}

// claim is kept until it is used, until its job is over, or until the machine should long
// have come free.
type claim struct {
	sched.Claim
	until int64
}

// claimTimeout is how long it may take to stop work with a checkpoint, beyond two
// heartbeats.
const claimTimeout = 10 * second

// activeClaims drops the claims that are over and returns the others.
func (p *planner) activeClaims() []sched.Claim {
	planning := &p.elector.leadership.planning
	planning.claims = slices.DeleteFunc(planning.claims, func(c claim) bool {
		return p.now > c.until || c.Job.Outcome() != "" || c.Job.Unplaced() == 0
	})
	active := make([]sched.Claim, len(planning.claims))
	for i := range planning.claims {
		active[i] = planning.claims[i].Claim
	}
	return active
}

// addClaims keeps the claims of this round for the next ones.
func (p *planner) addClaims(claims []sched.Claim) {
	planning := &p.elector.leadership.planning
	until := p.now + claimTimeout + 2*p.heartbeatInterval()
	for _, c := range claims {
		planning.claims = append(planning.claims, claim{c, until})
	}
}

// dropClaim ends a claim that has been used.
func (p *planner) dropClaim(job *jobstate.Job, machine string) {
	planning := &p.elector.leadership.planning
	used := func(c claim) bool { return c.Job == job && c.Machine == machine }
	if i := slices.IndexFunc(planning.claims, used); i >= 0 {
		planning.claims = slices.Delete(planning.claims, i, i+1)
	}
}
