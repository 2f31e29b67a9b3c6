package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/sched"
)

// queueCount is the number of queues and of partitions, as in the paper that package sched
// implements.
const queueCount = 3

const (
	// planInterval is the minimum and replanInterval the maximum time between two
	// planning rounds. There is a maximum because estimated ends shift as time passes.
	planInterval   = 150_000 // µs
	replanInterval = 2 * second
	// maxPlannedTasks is the maximum number of tasks that one round places.
	maxPlannedTasks = 400
	// For every machinesPerUrgentJob usable machines, each queue may reserve machines for one
	// more waiting urgent job.
	machinesPerUrgentJob = 64
	// Services may spread over more machines than they fill only if at least minSpareMachines
	// on-demand machines are idle. With fewer, machines are in demand.
	minSpareMachines = 16
	// serviceDuration is the expected duration of services, which never end.
	serviceDuration = int64(1) << 50
)

// plannedPivot is a job at the head of its queue, with its expected start time.
type plannedPivot struct {
	queue   int
	job     string
	startAt int64
}

// waitingJob is a job with tasks for which no machine was found. Scaling out is based on
// these jobs.
type waitingJob struct {
	spec  *jobstate.Spec
	tasks int
	since int64
}

// planState is the planner's state during one term of leadership.
type planState struct {
	roundRequested bool
	plannedAt      int64
	pivots         []plannedPivot
	waitingJobs    []waitingJob
	claims         []claim
	// capacity is the total of the resources of all usable machines.
	capacity   jobstate.Resources
	classSizes classSizes
	// exitedStarts are the attempts that have exited and whose starts may still be repeated.
	exitedStarts []exitedStart
	// onDemandNeededAt maps the name of a machine type to the last time at which a job that
	// needs on-demand machines could have used that type.
	onDemandNeededAt map[string]int64
}

func newPlanState() planState {
	return planState{
		roundRequested:   true,
		classSizes:       classSizes{},
		onDemandNeededAt: map[string]int64{},
	}
}

// requestRound schedules a planning round for the next step, because something that
// placements depend on has changed.
func (s *planState) requestRound() { s.roundRequested = true }

// planner runs the scheduling rounds: quotas, queues, pivots and preemption. Package sched
// decides the placements; the planner prepares its input from the state cache and the
// machines, and executes its plan.
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

// plan runs one planning round and executes the resulting plan.
func (p *planner) plan() {
	planning := &p.elector.leadership.planning
	planning.roundRequested, planning.plannedAt = false, p.now
	if !p.elector.mayStartTasks() || len(p.cache.machineTypes) == 0 {
		return
	}
	p.inheritPriorities()
	used := p.usage()
	unfinished := p.unfinished()
	guaranteed := p.jobsWithinGuarantee(unfinished)
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

// newRound prepares the input of package sched for one round.
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

// placeTasks records the planned placements; the start commands are sent once these are
// stored. All tasks of a job that are placed in one round belong to the same attempt.
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

// preemptTasks stops the tasks that the round preempts in favour of other jobs.
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

// recordWaiting stores the pivots and waiting jobs of a round. They are used for scaling out,
// image prefetching and the operators' view.
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

// claim is a job's claim on a machine that is being freed for it. It is removed when it has
// been used, when its job has ended or has no tasks left to place, and when it expires: by then
// the machine should long have become free.
type claim struct {
	sched.Claim
	until int64 // time of expiry
}

// claimTimeout is the time allowed for stopping tasks with a checkpoint, in addition to
// two heartbeat intervals.
const claimTimeout = 10 * second

// activeClaims removes the expired claims and returns the remaining ones.
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

// addClaims stores the claims of this round for the following rounds.
func (p *planner) addClaims(claims []sched.Claim) {
	planning := &p.elector.leadership.planning
	until := p.now + claimTimeout + 2*p.heartbeatInterval()
	for _, c := range claims {
		planning.claims = append(planning.claims, claim{c, until})
	}
}

// dropClaim removes a claim that has been used.
func (p *planner) dropClaim(job *jobstate.Job, machine string) {
	planning := &p.elector.leadership.planning
	used := func(c claim) bool { return c.Job == job && c.Machine == machine }
	if i := slices.IndexFunc(planning.claims, used); i >= 0 {
		planning.claims = slices.Delete(planning.claims, i, i+1)
	}
}
