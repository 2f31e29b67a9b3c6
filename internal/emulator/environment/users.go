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
	// cancelRequested is set once the user has requested the cancellation.
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
func (u *jobUser) complete(t *task) {
	if !u.done[t.index] {
		u.done[t.index] = true
		t.record(history.TaskCompleted, "")
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
	// probeAfterAnswers makes users poll all controllers right after each acceptance and
	// end. cancelAtEndShare is the share of the jobs that are cancelled as they end.
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
	skipUntil                        int64   // end of the time without connections
	removals                         []int64 // times at which it became unhealthy, last 120 s
}

const (
	probeInterval = second
	minBackoff    = 3 * second
	maxBackoff    = 60 * second
)

func newLoadBalancer(env *Environment) *loadBalancer {
	balancer := &loadBalancer{env: env}
	for _, n := range env.controllers {
		h := &controllerHealth{controller: n}
		balancer.controllers = append(balancer.controllers, h)
		env.timers.Add(env.rng.Int64N(probeInterval), func() { balancer.probe(h) })
	}
	if env.StrayRequestRate > 0 {
		env.after(second, balancer.askUnknownJob)
	}
	return balancer
}

// probe sends a readiness probe, which fails without a response within probeInterval, and
// schedules the next one.
func (b *loadBalancer) probe(h *controllerHealth) {
	b.env.after(probeInterval, func() { b.probe(h) })
	over := false
	result := func(ok bool) {
		if !over {
			over = true
			b.onProbeResult(h, ok)
		}
	}
	b.env.after(probeInterval, func() { result(false) })
	b.env.network.send(usersHost, h.controller.name, func() {
		b.env.ask(usersHost, h.controller.name, wire.ReadyProbe{}, func(t AskAnswer) { result(t.Status == 200) })
	}, func() { result(false) })
}

// onProbeResult updates the health of a controller by the result of a probe. It becomes unhealthy
// after two consecutive failed probes or three of the last six. It becomes healthy with its
// first successful probe, and later after two consecutive successful ones and a backoff, which
// doubles with each removal within 120 s.
func (b *loadBalancer) onProbeResult(h *controllerHealth, ok bool) {
	now := b.env.now
	h.recent = append(h.recent, ok)
	if len(h.recent) > 6 {
		h.recent = h.recent[1:]
	}
	failed := 0
	for _, r := range h.recent {
		if !r {
			failed++
		}
	}
	if ok {
		h.consecutiveOK, h.consecutiveFailed = h.consecutiveOK+1, 0
	} else {
		h.consecutiveOK, h.consecutiveFailed = 0, h.consecutiveFailed+1
	}
	switch {
	case h.healthy && (h.consecutiveFailed >= 2 || failed >= 3):
		h.healthy, h.since, h.recent = false, now, nil
		h.removals = slices.DeleteFunc(append(h.removals, now), func(t int64) bool { return t < now-120*second })
		h.backoff = min(minBackoff<<(len(h.removals)-1), maxBackoff)
	case !h.healthy && (!h.everHealthy && ok || h.consecutiveOK >= 2 && now-h.since >= h.backoff):
		h.healthy, h.everHealthy, h.since, h.recent = true, true, now, nil
	}
}

// pick returns at most three healthy controllers to try for a connection, in random order.
// Controllers that are warming up may come last.
func (b *loadBalancer) pick() []*controllerHealth {
	var up []*controllerHealth
	for _, h := range b.controllers {
		if h.healthy && b.env.now >= h.skipUntil {
			up = append(up, h)
		}
	}
	b.env.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
	// A controller that has just become healthy ramps up to its full share over 10 s.
	slices.SortStableFunc(up, func(x, y *controllerHealth) int {
		return b.warmupRank(x) - b.warmupRank(y)
	})
	return up[:min(len(up), 3)]
}

// warmupRank returns 1 if a controller that became healthy less than 10 s ago is to be tried
// last, which is the less likely the longer it has been healthy, and 0 otherwise.
func (b *loadBalancer) warmupRank(h *controllerHealth) int {
	if age := b.env.now - h.since; age < 10*second && h.since > 0 && b.env.rng.Int64N(10*second) > age {
		return 1
	}
	return 0
}

// exchange records a request about a job or a sweep, sends it, and calls done with the response,
// which has status 0 if none arrives within the timeout.
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
	h, rest := controllers[0], controllers[1:]
	refused := func() {
		if h.failures++; h.failures >= 3 {
			h.failures, h.skipUntil = 0, b.env.now+3*second
		}
		b.tryControllers(request, rest, finish)
	}
	partition := b.env.network.partitionBetween(usersHost, h.controller.name)
	if !h.controller.up || partition != nil || h.controller.frozen && b.env.rng.IntN(2) == 0 {
		b.env.after(second/2, refused) // connection timeout
		return
	}
	b.env.network.send(usersHost, h.controller.name, func() {
		b.env.ask(usersHost, h.controller.name, request, func(t AskAnswer) {
			h.failures = 0
			finish(t)
		})
	}, refused)
}

// call sends a request about a job or a sweep through the load balancer.
func (b *loadBalancer) call(op, job string, request any, timeout int64, done func(AskAnswer, wire.JobAnswer)) {
	b.exchange(op, job, timeout, func(finish func(AskAnswer)) { b.tryControllers(request, b.pick(), finish) }, done)
}

// call sends a user's request about the job, and tracks the final state that responses show.
func (u *jobUser) call(op string, request any, timeout int64, done func(t AskAnswer, a wire.JobAnswer)) {
	u.env.balancer.call(op, u.spec.ID, request, timeout, func(t AskAnswer, a wire.JobAnswer) {
		if t.Status == 200 && (a.State == wire.Done || a.State == wire.Cancelled) && u.finalState != a.State {
			u.finalState = a.State
			u.probeControllers()
		}
		done(t, a)
	})
}

// retry calls f after 1 to 1.5 s, or after the response's Retry-After time, capped at
// maxRetryDelay, if that is longer.
func (u *jobUser) retry(t AskAnswer, f func()) {
	wait := second + u.env.rng.Int64N(second/2)
	u.env.after(max(wait, min(int64(t.RetryAfter)*second, maxRetryDelay)), f)
}

// submit submits the job until it is accepted or refused. Real users give up after a minute;
// here they keep trying, as otherwise nobody would poll for the job.
func (u *jobUser) submit() {
	if !u.dependenciesAllow() {
		u.env.after(second, u.submit)
		return
	}
	u.submitted = true
	spec := u.spec
	u.call(history.Submit, &spec, submitTimeout, func(t AskAnswer, _ wire.JobAnswer) {
		switch t.Status {
		case 200, 201:
			if !u.accepted {
				u.accepted = true
				u.env.after(pollInterval, u.poll)
				u.probeControllers()
			}
		case 400, 422:
		default:
			u.retry(t, u.submit)
		}
	})
}

// dependenciesAllow reports whether the job can be submitted: the jobs that it depends on are
// accepted, or have ended if afterDependencies is set.
func (u *jobUser) dependenciesAllow() bool {
	for _, id := range u.spec.DependsOn {
		if o := u.env.jobs[id]; o == nil || !o.accepted || u.afterDependencies && o.finalState == "" {
			return o == nil
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
			// A retry of the submission that was delayed for a long time.
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
	u.call(history.Cancel, wire.Cancel{ID: u.spec.ID}, submitTimeout, func(t AskAnswer, _ wire.JobAnswer) {
		if t.Status != 200 {
			u.retry(t, u.cancel)
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

// sweepUser is one of the users of a sweep. The responses to it are checked only through those
// about the runs.
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

// call sends a request about the sweep. It is recorded as that of a job with the name
// history.SweepJob.
func (u *sweepUser) call(op string, request any, done func(AskAnswer)) {
	u.env.balancer.call(op, history.SweepJob(u.ID), request, submitTimeout, func(t AskAnswer, _ wire.JobAnswer) { done(t) })
}

func (u *sweepUser) submit() {
	for _, j := range u.Jobs {
		u.env.jobs[j.ID].submitted = true
	}
	u.call(history.Submit, wire.Sweep{Text: u.Text}, func(t AskAnswer) {
		switch {
		case t.Status != 200 && t.Status != 201:
			u.env.after(second, u.submit)
		case !u.accepted:
			u.accepted = true
			u.env.after(pollInterval, u.poll)
			for _, j := range u.Jobs {
				// Users with thousands of runs poll for each run less often.
				r := u.env.jobs[j.ID]
				if r.pollInterval != pollInterval {
					continue // another user of the sweep polls for it
				}
				r.pollInterval = pollInterval + int64(len(u.Jobs))*20_000
				u.env.after(u.env.jitter(r.pollInterval, 0.1, 1), r.poll)
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
	u.call(history.Cancel, wire.SweepCancel{ID: u.ID}, func(t AskAnswer) {
		if t.Status != 200 {
			u.env.after(second, u.cancel)
		}
	})
}

// Unfinished returns the jobs, except services, whose users have got no response that shows
// their end, sorted by ID.
func (env *Environment) Unfinished() []string {
	var l []string
	for id, u := range env.jobs {
		if u.finalState == "" && u.spec.Kind != wire.Service {
			l = append(l, id)
		}
	}
	slices.Sort(l)
	return l
}
