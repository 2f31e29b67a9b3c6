package world

import (
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The manners of users.
const (
	submitMost  = 5 * second
	pollMost    = 2 * second
	pollEvery   = 5 * second
	retryMost   = 30 * second
	resubmitAll = 4 // every so many users submit once more when all is over
)

// user is a job and whoever has submitted it.
type user struct {
	w        *World
	spec     wire.Job
	run      int64
	apart    int64
	last     bool
	accepted bool
	over     string
	asked    int
	// submitted: the workers can get its description.
	submitted bool
	done      map[int]bool
	// progress is what is saved of each task; a gang has one, at 0.
	progress map[int]int64
	// every is how often its user polls.
	every int64
	// asksEnd: its user has asked to cancel it.
	asksEnd bool
}

func (w *World) addJob(j Job) error {
	id := j.Spec.ID
	if w.jobs[id] != nil {
		return fmt.Errorf("job %q is there twice", id)
	}
	u := &user{w: w, spec: j.Spec, run: j.Run, apart: j.Apart, last: j.Last, done: map[int]bool{}, progress: map[int]int64{}, every: pollEvery}
	w.jobs[id] = u
	if j.At >= 0 {
		w.timers.Add(j.At, u.submit)
	}
	if j.Cancel > 0 {
		w.timers.Add(j.Cancel, u.withdraw)
	}
	return nil
}

func (u *user) complete(t *task) {
	if !u.done[t.index] {
		u.done[t.index] = true
		t.record(history.Completed, "")
		if len(u.done) == u.spec.Tasks && u.w.front != nil {
			u.lastDone()
		}
	}
}

// front is the balancer, which knows which controllers are healthy.
type front struct {
	w     *World
	nodes []*health
	// looking: users ask everywhere right after each answer; atEnd is the share of
	// the jobs that end that are called off at that moment.
	looking bool
	atEnd   float64
}

// health is what the balancer has seen of a controller.
type health struct {
	n             *node
	healthy, ever bool
	good, bad     int
	recent        []bool // the last six probes
	since         int64  // when it became healthy or unhealthy
	pause         int64
	failures      int   // consecutive connections that were refused
	skip          int64 // until when it is passed over
	removals      []int64
}

const (
	probeEvery = second
	leastPause = 3 * second
	mostPause  = 60 * second
)

func newFront(w *World) *front {
	f := &front{w: w}
	for _, n := range w.nodes {
		h := &health{n: n}
		f.nodes = append(f.nodes, h)
		w.timers.Add(w.rng.Int64N(probeEvery), func() { f.probe(h) })
	}
	if w.Strays > 0 {
		w.after(second, f.stray)
	}
	return f
}

func (f *front) probe(h *health) {
	f.w.after(probeEvery, func() { f.probe(h) })
	over := false
	result := func(ok bool) {
		if !over {
			over = true
			f.probed(h, ok)
		}
	}
	f.w.after(probeEvery, func() { result(false) })
	f.w.net.send(usersHost, h.n.name, func() {
		f.w.ask(usersHost, h.n.name, wire.Ready{}, func(t Told) { result(t.Status == 200) })
	}, func() { result(false) })
}

func (f *front) probed(h *health, ok bool) {
	now := f.w.now
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
		h.good, h.bad = h.good+1, 0
	} else {
		h.good, h.bad = 0, h.bad+1
	}
	switch {
	case h.healthy && (h.bad >= 2 || failed >= 3):
		h.healthy, h.since, h.recent = false, now, nil
		h.removals = slices.DeleteFunc(append(h.removals, now), func(t int64) bool { return t < now-120*second })
		h.pause = min(leastPause<<(len(h.removals)-1), mostPause)
	case !h.healthy && (!h.ever && ok || h.good >= 2 && now-h.since >= h.pause):
		h.healthy, h.ever, h.since, h.recent = true, true, now, nil
	}
}

// pick chooses controllers for a connection, at most three, the first being the
// likeliest.
func (f *front) pick() []*health {
	var up []*health
	for _, h := range f.nodes {
		if h.healthy && f.w.now >= h.skip {
			up = append(up, h)
		}
	}
	f.w.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
	// One that has just become healthy gets its share over 10 s.
	slices.SortStableFunc(up, func(a, b *health) int {
		return f.new(a) - f.new(b)
	})
	return up[:min(len(up), 3)]
}

func (f *front) new(h *health) int {
	if age := f.w.now - h.since; age < 10*second && h.since > 0 && f.w.rng.Int64N(10*second) > age {
		return 1
	}
	return 0
}

// ask sends a user's request on a new connection; f gets the answer or status 0
// when none came within most.
func (f *front) ask(request any, most int64, done func(Told)) {
	over := false
	finish := func(t Told) {
		if !over {
			over = true
			done(t)
		}
	}
	f.w.after(most, func() { finish(Told{}) })
	f.try(request, f.pick(), finish)
}

func (f *front) try(request any, nodes []*health, finish func(Told)) {
	if len(nodes) == 0 {
		finish(Told{})
		return
	}
	h, rest := nodes[0], nodes[1:]
	refused := func() {
		if h.failures++; h.failures >= 3 {
			h.failures, h.skip = 0, f.w.now+3*second
		}
		f.try(request, rest, finish)
	}
	cut := f.w.net.between(usersHost, h.n.name)
	if !h.n.up || cut != nil || h.n.frozen && f.w.rng.IntN(2) == 0 {
		f.w.after(second/2, refused) // it does not accept in time
		return
	}
	f.w.net.send(usersHost, h.n.name, func() {
		f.w.ask(usersHost, h.n.name, request, func(t Told) {
			h.failures = 0
			finish(t)
		})
	}, refused)
}

// call makes a request about a job, or a sweep, and records it.
func (f *front) call(op, job string, request any, most int64, done func(t Told, a wire.JobAnswer)) {
	call := f.w.Outside(op, job)
	f.ask(request, most, func(t Told) {
		a, _ := t.Body.(wire.JobAnswer)
		f.w.OutsideTold(call, op, job, t.Status, a.State)
		done(t, a)
	})
}

// call makes a user's request about its job.
func (u *user) call(op string, request any, most int64, done func(t Told, a wire.JobAnswer)) {
	u.w.front.call(op, u.spec.ID, request, most, func(t Told, a wire.JobAnswer) {
		if t.Status == 200 && (a.State == wire.Done || a.State == wire.Withdrawn) && u.over != a.State {
			u.over = a.State
			u.look()
		}
		done(t, a)
	})
}

// retry is when a request is made again.
func (u *user) retry(t Told, f func()) {
	wait := second + u.w.rng.Int64N(second/2)
	u.w.after(max(wait, min(int64(t.Retry)*second, retryMost)), f)
}

// submit tries until it is accepted. Users give up after a minute; here they
// begin again at once, as nobody would be left to ask.
func (u *user) submit() {
	if !u.mayCome() {
		u.w.after(second, u.submit)
		return
	}
	u.submitted = true
	spec := u.spec
	u.call(history.Submit, &spec, submitMost, func(t Told, _ wire.JobAnswer) {
		switch t.Status {
		case 200, 201:
			if !u.accepted {
				u.accepted = true
				u.w.after(pollEvery, u.poll)
				u.look()
			}
		case 400, 422:
		default:
			u.retry(t, u.submit)
		}
	})
}

// mayCome says whether the jobs that it awaits are accepted, or over where it
// is submitted last.
func (u *user) mayCome() bool {
	for _, id := range u.spec.Awaits {
		if o := u.w.jobs[id]; o == nil || !o.accepted || u.last && o.over == "" {
			return o == nil
		}
	}
	return true
}

func (u *user) poll() {
	u.call(history.Poll, wire.Poll{ID: u.spec.ID}, pollMost, func(Told, wire.JobAnswer) {
		u.asked++
		switch {
		case u.over == "":
			u.w.after(u.w.spread(u.every, 0.9, 1.1), u.poll)
		case u.asked%resubmitAll == 0:
			// A retry that was long on its way.
			u.w.after(u.w.rng.Int64N(30*second), func() {
				spec := u.spec
				u.call(history.Submit, &spec, submitMost, func(Told, wire.JobAnswer) {})
			})
		case u.asked%resubmitAll < 3:
			u.w.after(u.w.rng.Int64N(40*second), u.poll)
		}
	})
}

func (u *user) withdraw() {
	u.asksEnd = true
	if !u.submitted {
		u.w.after(second, u.withdraw)
		return
	}
	u.call(history.Withdraw, wire.Withdraw{ID: u.spec.ID}, submitMost, func(t Told, _ wire.JobAnswer) {
		if t.Status != 200 {
			u.retry(t, u.withdraw)
		}
	})
}

// stray asks about a job that nobody submitted.
func (f *front) stray() {
	w := f.w
	id := fmt.Sprintf("req-x%05d", w.rng.IntN(100_000))
	f.call(history.Poll, id, wire.Poll{ID: id}, pollMost, func(Told, wire.JobAnswer) {})
	w.after(int64(w.rng.ExpFloat64()/w.Strays*1e6), f.stray)
}

// sweepUser is one of a sweep's users; what it is told is checked by its runs.
type sweepUser struct {
	Sweep
	w        *World
	accepted bool
}

func (w *World) addSweep(s Sweep) error {
	for _, j := range s.Jobs {
		if err := w.addJob(Job{At: -1, Run: s.Run, Spec: j}); err != nil {
			return err
		}
	}
	for range max(s.Times, 1) {
		u := &sweepUser{Sweep: s, w: w}
		w.sweeps = append(w.sweeps, u)
		w.timers.Add(s.At, u.submit)
		if s.Cancel > 0 {
			w.timers.Add(s.Cancel, u.cancel)
		}
	}
	return nil
}

// CancelSweep lets the users of a sweep withdraw it now.
func (w *World) CancelSweep(id string) {
	for _, u := range w.sweeps {
		if u.ID == id {
			u.cancel()
		}
	}
}

// call makes a request about the sweep. Its history is that of a job with the
// sweep's name.
func (u *sweepUser) call(op string, request any, done func(Told)) {
	u.w.front.call(op, history.SweepJob(u.ID), request, submitMost, func(t Told, _ wire.JobAnswer) { done(t) })
}

func (u *sweepUser) submit() {
	for _, j := range u.Jobs {
		u.w.jobs[j.ID].submitted = true
	}
	u.call(history.Submit, wire.Sweep{Text: u.Text}, func(t Told) {
		switch {
		case t.Status != 200 && t.Status != 201:
			u.w.after(second, u.submit)
		case !u.accepted:
			u.accepted = true
			u.w.after(pollEvery, u.poll)
			for _, j := range u.Jobs {
				// Whoever has thousands of runs asks about each now and then.
				r := u.w.jobs[j.ID]
				if r.every != pollEvery {
					continue // another user of the sweep does
				}
				r.every = pollEvery + int64(len(u.Jobs))*20_000
				u.w.after(u.w.spread(r.every, 0.1, 1), r.poll)
			}
		}
	})
}

func (u *sweepUser) poll() {
	u.call(history.Poll, wire.SweepPoll{ID: u.ID}, func(Told) { u.w.after(pollEvery, u.poll) })
}

func (u *sweepUser) cancel() {
	if !u.accepted {
		u.w.after(second, u.cancel)
		return
	}
	u.call(history.Withdraw, wire.SweepCancel{ID: u.ID}, func(t Told) {
		if t.Status != 200 {
			u.w.after(second, u.cancel)
		}
	})
}

// Unfinished names the jobs that their users were not told the end of.
func (w *World) Unfinished() []string {
	var l []string
	for id, u := range w.jobs {
		if u.over == "" && u.spec.Kind != wire.Service {
			l = append(l, id)
		}
	}
	slices.Sort(l)
	return l
}
