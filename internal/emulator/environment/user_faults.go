package environment

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// probeDelays are the delays, in microseconds, from the response to a user until the controllers
// are polled. The submission is repeated after the second delay.
var probeDelays = []int64{0, 4_000, 25_000, 120_000}

// cancelOneIn is the average number of accepted and probed jobs of which one is cancelled.
const cancelOneIn = 8

// askController sends a user's request to a controller directly, bypassing the load balancer.
func (b *loadBalancer) askController(target *controller, op, job string, request any) {
	timeout := submitTimeout
	if op == history.Poll {
		timeout = pollTimeout
	}
	send := func(finish func(AskAnswer)) {
		b.env.network.send(usersHost, target.name, func() { b.env.ask(usersHost, target.name, request, finish) }, func() { finish(AskAnswer{}) })
	}
	b.exchange(op, job, timeout, send, func(AskAnswer, wire.JobAnswer) {})
}

// probeControllers polls all controllers for a job and repeats its submission, right after the
// user has received the response that the job is accepted or has ended. On average one in
// cancelOneIn jobs that have not ended is then cancelled.
func (u *jobUser) probeControllers() {
	env := u.env
	if !env.balancer.probeAfterAnswers {
		return
	}
	for _, target := range env.controllers {
		for i, delay := range probeDelays {
			env.after(delay+env.rng.Int64N(2000), func() {
				env.recordOccurrence(history.OccurProbe)
				env.balancer.askController(target, history.Poll, u.spec.ID, wire.Poll{ID: u.spec.ID})
				if i == 1 {
					spec := u.spec
					env.balancer.askController(target, history.Submit, u.spec.ID, &spec)
				}
			})
		}
	}
	if u.finalState == "" && env.rng.IntN(cancelOneIn) == 0 {
		env.after(env.rng.Int64N(5000), u.cancel)
	}
}

// onLastTaskDone is called when the last task of a job has completed. With the probability
// cancelAtEndShare it cancels, polls and resubmits the job several times.
func (u *jobUser) onLastTaskDone() {
	balancer := u.env.balancer
	if balancer.cancelAtEndShare == 0 || u.env.rng.Float64() >= balancer.cancelAtEndShare {
		return
	}
	// With these bounds, the random delays end before, around and after the time at which the
	// controllers learn that the job has ended.
	for _, maxDelay := range []int64{0, 40_000, 300_000, 900_000} {
		target := u.env.controllers[u.env.rng.IntN(len(u.env.controllers))]
		u.env.recordOccurrence(history.OccurCancelAtEnd)
		u.env.after(u.env.rng.Int64N(maxDelay+2000), func() {
			balancer.askController(target, history.Cancel, u.spec.ID, wire.Cancel{ID: u.spec.ID})
			balancer.askController(target, history.Poll, u.spec.ID, wire.Poll{ID: u.spec.ID})
			spec := u.spec
			balancer.askController(target, history.Submit, u.spec.ID, &spec)
		})
	}
}

const (
	// minTimeLeft is the minimum remaining run time of a job to be cancelled.
	minTimeLeft = 2 * second
	// cancelWindow is the time within which all of the jobs are cancelled.
	cancelWindow = second / 5
	// maxHungMachines is the maximum number of machines of these jobs that hang.
	maxHungMachines = 8
)

// cancelNow makes the users of count running jobs cancel them. With hangs, some machines of
// these jobs hang; end resumes them.
func (env *Environment) cancelNow(count int, hangs bool) (end func()) {
	machinesOf := map[*jobUser][]*machine{}
	var users []*jobUser
	for _, m := range env.cloud.order {
		for _, t := range m.tasks {
			u := t.job
			if m.gone || u == nil || t.state != wire.Running || u.spec.Kind == wire.Service || u.cancelRequested || t.totalTime()-t.currentProgress() < minTimeLeft {
				continue
			}
			if machinesOf[u] == nil {
				users = append(users, u)
			}
			if !slices.Contains(machinesOf[u], m) {
				machinesOf[u] = append(machinesOf[u], m)
			}
		}
	}
	env.rng.Shuffle(len(users), func(i, k int) { users[i], users[k] = users[k], users[i] })
	var hung []*machine
	for _, u := range users[:min(count, len(users))] {
		env.recordOccurrence(history.OccurCancel)
		env.after(env.rng.Int64N(cancelWindow), u.cancel)
		for _, m := range machinesOf[u] {
			if hangs && len(hung) < maxHungMachines && !m.hanging {
				env.recordOccurrence(history.OccurHungMachine)
				hung = append(hung, m)
				m.hang()
			}
		}
	}
	return func() {
		for _, m := range hung {
			m.resume()
		}
	}
}

// invalidInterval is the mean time between two invalid requests, in microseconds.
const invalidInterval = 300_000

// sendInvalidRequests makes users send invalid requests until end is called.
func (b *loadBalancer) sendInvalidRequests() (end func()) {
	over, turn := false, 0
	var next func()
	next = func() {
		if over {
			return
		}
		b.sendInvalid(turn)
		turn++
		b.env.after(b.env.jitter(invalidInterval, 0.5, 1.5), next)
	}
	next()
	return func() { over = true }
}

// InvalidSubmission is a submission that can't run or has an invalid or missing field. Reason
// says what is wrong with it, Field is the field that the error response has to name, if there
// is one, and Status is the expected status.
type InvalidSubmission struct {
	Reason, Field string
	Status        int
	Body          []byte
}

// InvalidSubmissions returns all kinds of submissions that have to be refused, derived from a
// valid job: with each field invalid or missing, and with demands that nothing fits.
func InvalidSubmissions(valid wire.Job, types []wire.MachineType) (submissions []InvalidSubmission) {
	var fields map[string]any
	b, err := json.Marshal(valid)
	if err == nil {
		err = json.Unmarshal(b, &fields)
	}
	if err != nil {
		panic(err) // plain structs always encode
	}
	add := func(status int, field, reason string, change func(map[string]any)) {
		m := maps.Clone(fields)
		change(m)
		b, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		submissions = append(submissions, InvalidSubmission{reason, field, status, b})
	}
	for _, name := range []string{"herd", "steward", "shape", "urgency", "hands", "vcpus", "gpus", "mem_gb", "seedstock", "pull_gb", "one_zone", "scatter", "borrowed", "expect_s", "bank_s", "bank_cost_s"} {
		add(400, name, name+" is missing", func(m map[string]any) { delete(m, name) })
		add(400, name, name+" is of the wrong kind", func(m map[string]any) { m[name] = []int{1} })
	}
	for _, x := range []struct {
		field string
		value any
	}{{"hands", 0}, {"hands", 1.5}, {"hands", 100_001}, {"vcpus", -1}, {"expect_s", -1}, {"due_s", -1}, {"shape", "heap"}, {"urgency", "soon"}, {"breeds", []string{}}} {
		add(400, x.field, fmt.Sprintf("%s is %v", x.field, x.value), func(m map[string]any) { m[x.field] = x.value })
	}
	add(422, "", "more CPUs than any machine", func(m map[string]any) { m["vcpus"] = 1e5 })
	add(422, "", "more memory than any machine", func(m map[string]any) { m["mem_gb"] = 1e5 })
	add(422, "", "an unknown team", func(m map[string]any) { m["steward"] = "nobody" })
	add(422, "", "an unknown type", func(m map[string]any) { m["breeds"] = []string{"none"} })
	add(422, "", "an unknown zone", func(m map[string]any) { m["paddock"] = "nowhere" })
	for _, kind := range []string{wire.Gang, wire.Service} {
		add(422, "scatter", "a spread "+kind+" in one zone", func(m map[string]any) {
			m["shape"], m["hands"], m["one_zone"], m["scatter"] = kind, 3, true, true
		})
		add(422, "scatter", "a spread "+kind+" in a zone", func(m map[string]any) {
			m["shape"], m["hands"], m["one_zone"], m["paddock"], m["scatter"] = kind, 3, false, types[0].Zones[0], true
		})
	}
	return submissions
}

// sendInvalid sends the next invalid request; turn is the number of requests so far. Even turns
// send a new submission that has to be refused, odd turns a request about an existing job.
func (b *loadBalancer) sendInvalid(turn int) {
	env := b.env
	target := env.controllers[turn%len(env.controllers)]
	if turn%2 == 0 {
		if len(env.Jobs) == 0 {
			return
		}
		invalid := InvalidSubmissions(env.Jobs[0].Spec, env.Types)
		submission := invalid[turn/2%len(invalid)]
		id := fmt.Sprintf("odd-%05d", turn)
		var fields map[string]any
		if json.Unmarshal(submission.Body, &fields) != nil {
			return
		}
		fields["name_id"] = id
		body, err := json.Marshal(fields)
		if err != nil {
			panic(err)
		}
		call := env.ExternalRequest(history.Submit, id)
		env.recordOccurrence(history.OccurInvalid)
		env.record(history.Event{Kind: history.InvalidSubmission, Job: id, Call: call, Reason: submission.Reason})
		b.env.network.send(usersHost, target.name, func() {
			b.env.ask(usersHost, target.name, wire.RawSubmission{Body: body}, func(answer AskAnswer) { env.ExternalAnswer(call, history.Submit, id, answer.Status, "") })
		}, func() {})
		return
	}
	// For a job that exists: a repeated submission, unchanged or invalid, or, if the job is
	// done, a cancellation.
	var known []*jobUser
	for i := range env.Jobs {
		if u := env.jobs[env.Jobs[i].Spec.ID]; u.accepted {
			known = append(known, u)
		}
	}
	if len(known) == 0 {
		return
	}
	u := known[env.rng.IntN(len(known))]
	id := u.spec.ID
	switch {
	case u.finalState == wire.Done:
		b.askController(target, history.Cancel, id, wire.Cancel{ID: id})
	case turn%4 == 1:
		spec := u.spec
		b.askController(target, history.Submit, id, &spec)
	default:
		b.askController(target, history.Submit, id, wire.RawSubmission{Body: []byte(fmt.Sprintf(`{"name_id":%q,"hands":-1}`, id))})
	}
}
