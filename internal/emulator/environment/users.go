package environment

import (
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The timeouts and intervals of users.
const (
	submitTimeout = 5 * second
	pollTimeout   = 2 * second
	pollInterval  = 5 * second
	maxRetryDelay = 30 * second
	resubmitEvery = 4 // one in resubmitEvery users submits an ended job again
)

// jobUser is a job and the user who submits it.
type jobUser struct {
	env               *Environment
	spec              wire.Job
	run               int64
	runIncrement      int64
	afterDependencies bool
	accepted          bool
	finalState        string
	polls             int
	// submitted is set once workers can get the job's description.
	submitted bool
	done      map[int]bool // by task
	// progress is the saved progress of each task; that of a gang is under task 0.
	progress map[int]int64
	// pollInterval is the time between the user's polls.
	pollInterval int64
	// cancelRequested is set once the user wants to cancel the job, which can be before it is
	// submitted.
	cancelRequested bool
}

func (env *Environment) addJob(j Job) error {
	id := j.Spec.ID
	if env.jobs[id] != nil {
		return fmt.Errorf("duplicate job ID %q", id)
	}
	u := &jobUser{env: env, spec: j.Spec, run: j.Run, runIncrement: j.RunIncrement, afterDependencies: j.AfterDependencies, done: map[int]bool{}, progress: map[int]int64{}, pollInterval: pollInterval}
	env.jobs[id] = u
	if j.At >= 0 {
		env.timers.Add(j.At, u.submit)
	}
	if j.Cancel > 0 {
		env.timers.Add(j.Cancel, u.cancel)
	}
	return nil
}

// complete records that a task of the job is done.
func (u *jobUser) complete(finished *task) {
	if !u.done[finished.index] {
		u.done[finished.index] = true
		finished.record(history.TaskCompleted, "")
		if len(u.done) == u.spec.Tasks && u.env.balancer != nil {
			u.onLastTaskDone()
		}
	}
}

// loadBalancer is the users' load balancer. It probes the controllers and sends requests to
// healthy ones.
type loadBalancer struct {
	env         *Environment
	controllers []*controllerHealth
	// probeAfterAnswers makes users poll all controllers right after each response that
	// shows that a job is accepted or has ended. cancelAtEndShare is the share of the jobs
	// that users cancel when the last task is done.
	probeAfterAnswers bool
	cancelAtEndShare  float64
}

// controllerHealth is the health of a controller as the load balancer sees it.
type controllerHealth struct {
	controller                       *controller
	healthy, everHealthy             bool
	consecutiveOK, consecutiveFailed int
	recent                           []bool // results of the last six probes
	since                            int64  // time of the last change of healthy
	backoff                          int64
	failures                         int     // consecutive refused connections
	skipUntil                        int64   // no new connections before this time
	removals                         []int64 // times at which it became unhealthy, last 120 s
}

const (
	probeInterval = second
	minBackoff    = 3 * second
	maxBackoff    = 60 * second
)

func newLoadBalancer(env *Environment) *loadBalancer {
	balancer := &loadBalancer{env: env}
	for _, target := range env.controllers {
		health := &controllerHealth{controller: target}
		balancer.controllers = append(balancer.controllers, health)
		env.timers.Add(env.rng.Int64N(probeInterval), func() { balancer.probe(health) })
	}
	if env.StrayRequestRate > 0 {
		env.after(second, balancer.askUnknownJob)
	}
	return balancer
}

// probe sends a readiness probe, which fails without a response within probeInterval, and
// schedules the next one.
func (b *loadBalancer) probe(health *controllerHealth) {
	b.env.after(probeInterval, func() { b.probe(health) })
	over := false
	result := func(ok bool) {
		if !over {
			over = true
			b.onProbeResult(health, ok)
		}
	}
	b.env.after(probeInterval, func() { result(false) })
	b.env.network.send(usersHost, health.controller.name, func() {
		b.env.ask(usersHost, health.controller.name, wire.ReadyProbe{}, func(answer AskAnswer) { result(answer.Status == 200) })
	}, func() { result(false) })
}

// onProbeResult updates the health of a controller by the result of a probe. A controller becomes
// unhealthy after two consecutive failed probes or three of the last six. It becomes healthy with
// its first successful probe, and later after two consecutive successful ones and a backoff,
// which doubles with each removal within 120 s.
func (b *loadBalancer) onProbeResult(health *controllerHealth, ok bool) {
	now := b.env.now
	health.recent = append(health.recent, ok)
	if len(health.recent) > 6 {
		health.recent = health.recent[1:]
	}
	failed := 0
	for _, succeeded := range health.recent {
		if !succeeded {
			failed++
		}
	}
	if ok {
		health.consecutiveOK, health.consecutiveFailed = health.consecutiveOK+1, 0
	} else {
		health.consecutiveOK, health.consecutiveFailed = 0, health.consecutiveFailed+1
	}
	switch {
	case health.healthy && (health.consecutiveFailed >= 2 || failed >= 3):
		health.healthy, health.since, health.recent = false, now, nil
		health.removals = slices.DeleteFunc(append(health.removals, now), func(removedAt int64) bool { return removedAt < now-120*second })
		health.backoff = min(minBackoff<<(len(health.removals)-1), maxBackoff)
	case !health.healthy && (!health.everHealthy && ok || health.consecutiveOK >= 2 && now-health.since >= health.backoff):
		health.healthy, health.everHealthy, health.since, health.recent = true, true, now, nil
	}
}

// pick returns at most three healthy controllers to try for a connection, in random order.
// Controllers that are warming up may come last.
func (b *loadBalancer) pick() []*controllerHealth {
	var healthy []*controllerHealth
	for _, health := range b.controllers {
		if health.healthy && b.env.now >= health.skipUntil {
			healthy = append(healthy, health)
		}
	}
	b.env.rng.Shuffle(len(healthy), func(i, k int) { healthy[i], healthy[k] = healthy[k], healthy[i] })
	// A controller that has just become healthy ramps up to its full share over 10 s.
	slices.SortStableFunc(healthy, func(x, y *controllerHealth) int {
		return b.warmupRank(x) - b.warmupRank(y)
	})
	return healthy[:min(len(healthy), 3)]
}

// warmupRank returns 1 if a controller is to be tried last, and 0 otherwise. This happens only to
// controllers that became healthy less than 10 s ago, with a probability that falls from 1 to 0
// over these 10 s.
func (b *loadBalancer) warmupRank(health *controllerHealth) int {
	if age := b.env.now - health.since; age < 10*second && health.since > 0 && b.env.rng.Int64N(10*second) > age {
		return 1
	}
	return 0
}

// exchange records a request about a job or a sweep, sends it, and calls done with the response.
// If none arrives within the timeout, it calls done with a response of status 0.
func (b *loadBalancer) exchange(op, job string, timeout int64, send func(finish func(AskAnswer)), done func(AskAnswer, wire.JobAnswer)) {
	call := b.env.ExternalRequest(op, job)
	over := false
	finish := func(answer AskAnswer) {
		if over {
			return
		}
		over = true
		body, _ := answer.Body.(wire.JobAnswer)
		b.env.ExternalAnswer(call, op, job, answer.Status, body.State)
		done(answer, body)
	}
	b.env.after(timeout, func() { finish(AskAnswer{}) })
	send(finish)
}

// tryControllers sends a request on a new connection to the first controller that accepts it.
func (b *loadBalancer) tryControllers(request any, controllers []*controllerHealth, finish func(AskAnswer)) {
	if len(controllers) == 0 {
		finish(AskAnswer{})
		return
	}
	health, rest := controllers[0], controllers[1:]
	refused := func() {
		if health.failures++; health.failures >= 3 {
			health.failures, health.skipUntil = 0, b.env.now+3*second
		}
		b.tryControllers(request, rest, finish)
	}
	partition := b.env.network.partitionBetween(usersHost, health.controller.name)
	if !health.controller.up || partition != nil || health.controller.frozen && b.env.rng.IntN(2) == 0 {
		b.env.after(second/2, refused) // connection timeout
		return
	}
	b.env.network.send(usersHost, health.controller.name, func() {
		b.env.ask(usersHost, health.controller.name, request, func(answer AskAnswer) {
			health.failures = 0
			finish(answer)
		})
	}, refused)
}

// call sends a request about a job or a sweep through the load balancer.
func (b *loadBalancer) call(op, job string, request any, timeout int64, done func(AskAnswer, wire.JobAnswer)) {
	b.exchange(op, job, timeout, func(finish func(AskAnswer)) { b.tryControllers(request, b.pick(), finish) }, done)
}

// call sends a user's request about the job, and records the final state once a response shows it.
func (u *jobUser) call(op string, request any, timeout int64, done func(answer AskAnswer, body wire.JobAnswer)) {
	u.env.balancer.call(op, u.spec.ID, request, timeout, func(answer AskAnswer, body wire.JobAnswer) {
		if answer.Status == 200 && (body.State == wire.Done || body.State == wire.Cancelled) && u.finalState != body.State {
			u.finalState = body.State
			u.probeControllers()
		}
		done(answer, body)
	})
}

// retry calls resend after 1 to 1.5 s, or after the response's Retry-After time, capped at
// maxRetryDelay, if that is longer.
func (u *jobUser) retry(answer AskAnswer, resend func()) {
	wait := second + u.env.rng.Int64N(second/2)
	u.env.after(max(wait, min(int64(answer.RetryAfter)*second, maxRetryDelay)), resend)
}

// submit submits the job until it is accepted or refused. Real users stop retrying after a
// minute; here they continue, as otherwise the job would never be polled.
func (u *jobUser) submit() {
	if !u.dependenciesAllow() {
		u.env.after(second, u.submit)
		return
	}
	u.submitted = true
	spec := u.spec
	u.call(history.Submit, &spec, submitTimeout, func(answer AskAnswer, _ wire.JobAnswer) {
		switch answer.Status {
		case 200, 201:
			if !u.accepted {
				u.accepted = true
				u.env.after(pollInterval, u.poll)
				u.probeControllers()
			}
		case 400, 422:
		default:
			u.retry(answer, u.submit)
		}
	})
}

// dependenciesAllow reports whether the job can be submitted: the jobs that it depends on are
// accepted, or have ended if afterDependencies is set. At a dependency that is not a job of the
// run, it stops checking and returns true.
func (u *jobUser) dependenciesAllow() bool {
	for _, id := range u.spec.DependsOn {
		if dependency := u.env.jobs[id]; dependency == nil || !dependency.accepted || u.afterDependencies && dependency.finalState == "" {
			return dependency == nil
		}
	}
	return true
}

func (u *jobUser) poll() {
	u.call(history.Poll, wire.Poll{ID: u.spec.ID}, pollTimeout, func(AskAnswer, wire.JobAnswer) {
		u.polls++
		switch {
		case u.finalState == "":
			u.env.after(u.env.jitter(u.pollInterval, 0.9, 1.1), u.poll)
		case u.polls%resubmitEvery == 0:
			// Send a late retry of the submission.
			u.env.after(u.env.rng.Int64N(30*second), func() {
				spec := u.spec
				u.call(history.Submit, &spec, submitTimeout, func(AskAnswer, wire.JobAnswer) {})
			})
		case u.polls%resubmitEvery < 3:
			u.env.after(u.env.rng.Int64N(40*second), u.poll)
		}
	})
}

func (u *jobUser) cancel() {
	u.cancelRequested = true
	if !u.submitted {
		u.env.after(second, u.cancel)
		return
	}
	u.call(history.Cancel, wire.Cancel{ID: u.spec.ID}, submitTimeout, func(answer AskAnswer, _ wire.JobAnswer) {
		if answer.Status != 200 {
			u.retry(answer, u.cancel)
		}
	})
}

// askUnknownJob polls for a job that was never submitted, and schedules the next such poll.
func (b *loadBalancer) askUnknownJob() {
	env := b.env
	id := fmt.Sprintf("req-x%05d", env.rng.IntN(100_000))
	b.call(history.Poll, id, wire.Poll{ID: id}, pollTimeout, func(AskAnswer, wire.JobAnswer) {})
	env.after(int64(env.rng.ExpFloat64()/env.StrayRequestRate*1e6), b.askUnknownJob)
}

// sweepUser is one of the users of a sweep. The rules check the progress of a sweep only in the
// responses about its runs.
type sweepUser struct {
	Sweep
	env      *Environment
	accepted bool
}

func (env *Environment) addSweep(s Sweep) error {
	for _, j := range s.Jobs {
		if err := env.addJob(Job{At: -1, Run: s.Run, Spec: j}); err != nil {
			return err
		}
	}
	for range max(s.Times, 1) {
		u := &sweepUser{Sweep: s, env: env}
		env.sweeps = append(env.sweeps, u)
		env.timers.Add(s.At, u.submit)
		if s.Cancel > 0 {
			env.timers.Add(s.Cancel, u.cancel)
		}
	}
	return nil
}

// CancelSweep makes the users of a sweep cancel it now.
func (env *Environment) CancelSweep(id string) {
	for _, u := range env.sweeps {
		if u.ID == id {
			u.cancel()
		}
	}
}

// call sends a request about the sweep. The request is recorded under the job name that
// history.SweepJob returns.
func (u *sweepUser) call(op string, request any, done func(AskAnswer)) {
	u.env.balancer.call(op, history.SweepJob(u.ID), request, submitTimeout, func(answer AskAnswer, _ wire.JobAnswer) { done(answer) })
}

func (u *sweepUser) submit() {
	for _, run := range u.Jobs {
		u.env.jobs[run.ID].submitted = true
	}
	u.call(history.Submit, wire.Sweep{Text: u.Text}, func(answer AskAnswer) {
		switch {
		case answer.Status != 200 && answer.Status != 201:
			u.env.after(second, u.submit)
		case !u.accepted:
			u.accepted = true
			u.env.after(pollInterval, u.poll)
			for _, j := range u.Jobs {
				// Users with thousands of runs poll for each run less often.
				user := u.env.jobs[j.ID]
				if user.pollInterval != pollInterval {
					continue // another user of the sweep polls for it
				}
				user.pollInterval = pollInterval + int64(len(u.Jobs))*20_000
				u.env.after(u.env.jitter(user.pollInterval, 0.1, 1), user.poll)
			}
		}
	})
}

func (u *sweepUser) poll() {
	u.call(history.Poll, wire.SweepPoll{ID: u.ID}, func(AskAnswer) { u.env.after(pollInterval, u.poll) })
}

func (u *sweepUser) cancel() {
	if !u.accepted {
		u.env.after(second, u.cancel)
		return
	}
	u.call(history.Cancel, wire.SweepCancel{ID: u.ID}, func(answer AskAnswer) {
		if answer.Status != 200 {
			u.env.after(second, u.cancel)
		}
	})
}

// Unfinished returns the IDs of the jobs, except services, whose users have not received a
// response that shows the job's end. They are sorted.
func (env *Environment) Unfinished() []string {
	var unfinished []string
	for id, u := range env.jobs {
		if u.finalState == "" && u.spec.Kind != wire.Service {
			unfinished = append(unfinished, id)
		}
	}
	slices.Sort(unfinished)
	return unfinished
}
