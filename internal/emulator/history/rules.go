package history

import (
	"fmt"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// silence is how long an accepted job may go without an answer while others get
// some, silenceQuiet how long once all troubles are over, however others fare.
const (
	silence      = 90_000_000
	silenceQuiet = 75_000_000
)

// Check says which of the rules a history breaks. Each breach is named once.
func Check(events []Event, terms Terms) []Breach {
	k := &checker{terms: terms, jobs: map[string]*seen{}, machines: map[string]Event{}, on: map[ref]map[string]bool{}, use: map[string]Limits{}, found: map[string]bool{}, calls: map[uint64]call{}, placed: newPlaced()}
	for i := range events {
		if e := &events[i]; e.Kind == Fault || e.Kind == Node {
			k.quiet = e.At
		}
	}
	for i := range events {
		if k.gang != nil && (events[i].Kind != Started || events[i].Job != k.gang.Job || events[i].Attempt != k.gang.Attempt) {
			k.whole()
		}
		k.late(events[i].At)
		k.waiting(events[i].At)
		k.event(&events[i])
	}
	k.finish()
	slices.SortStableFunc(k.broken, func(a, b Breach) int { return int(a.At - b.At) })
	return k.broken
}

// checker goes through a history once.
type checker struct {
	terms    Terms
	now      int64
	jobs     map[string]*seen
	machines map[string]Event
	// on says on which machines a task is.
	on     map[ref]map[string]bool
	use    map[string]Limits // by team
	calls  map[uint64]call
	ran    bool
	found  map[string]bool
	broken []Breach
	// due are the jobs whose cancellation has to have taken effect.
	due []due
	// gang is the one whose tasks begin at this moment, parts are they.
	gang  *Event
	parts map[int]bool
	// answered is when anybody last got an answer, quiet when the last fault had
	// begun or ended and the last controller was back.
	answered, quiet int64
	placed          placed
}

type ref struct {
	job  string
	task int
}

type call struct {
	job  string
	sent int64
	// known: the job was accepted when the request was sent.
	known bool
}

type due struct {
	at  int64
	job string
}

// seen is what was told of and seen of a job.
type seen struct {
	submitted, accepted, asked bool
	state                      string
	cancelledAt, overAt        int64 // when its user was first told
	done                       map[int]bool
	answered                   int64 // when its user last got an answer
	polls                      int   // since then
	acceptedAt                 int64 // when its user was first told
	unfit                      string
}

func (k *checker) breach(rule, format string, a ...any) {
	what := fmt.Sprintf(format, a...)
	if !k.found[rule+what] {
		k.found[rule+what] = true
		k.broken = append(k.broken, Breach{k.now, rule, what})
	}
}

func (k *checker) job(id string) *seen {
	j := k.jobs[id]
	if j == nil {
		j = &seen{done: map[int]bool{}}
		k.jobs[id] = j
	}
	return j
}

// late checks, before what happens at a time, what had to be over by then.
func (k *checker) late(now int64) {
	for len(k.due) > 0 && k.due[0].at < now {
		d := k.due[0]
		k.due = k.due[1:]
		k.now = d.at
		spec := k.terms.Jobs[d.job]
		for i := range spec.Tasks {
			for m := range k.on[ref{d.job, i}] {
				k.breach("ran_cancelled", "%s/%d is still on %s", d.job, i, m)
			}
		}
	}
	k.now = now
}

func (k *checker) event(e *Event) {
	switch e.Kind {
	case Up:
		k.machines[e.Machine] = *e
	case Sent:
		j := k.job(e.Job)
		k.calls[e.Call] = call{e.Job, e.At, j.accepted}
		for _, id := range append(k.terms.Sweeps[e.Job], e.Job) {
			j := k.job(id)
			j.submitted = j.submitted || e.Op == Submit
			j.asked = j.asked || e.Op == Withdraw
		}
	case Unfit:
		k.unfit(e)
	case Told:
		k.told(e)
	case Given:
		k.placed.give(k.terms.Jobs[e.Job], ref{e.Job, e.Task}, e.Machine)
	case Freed:
		k.placed.free(k.terms.Jobs[e.Job], ref{e.Job, e.Task}, e.Machine)
	case Paid: // it is gone, or the day is over
		delete(k.machines, e.Machine)
	case Entered:
		k.entered(e)
	case Started:
		k.started(e)
	case Completed:
		k.job(e.Job).done[e.Task] = true
	case Left:
		r := ref{e.Job, e.Task}
		k.placed.free(k.terms.Jobs[e.Job], r, e.Machine)
		if spec := k.terms.Jobs[e.Job]; spec != nil && k.on[r][e.Machine] {
			u := k.use[spec.Team]
			k.use[spec.Team] = Limits{u.CPUs - spec.CPUs, u.GPUs - spec.GPUs}
		}
		delete(k.on[r], e.Machine)
	}
}

// told is an answer to a user.
func (k *checker) told(e *Event) {
	c := k.calls[e.Call]
	delete(k.calls, e.Call)
	j := k.job(e.Job)
	if e.Status != 0 {
		k.answered = e.At
	}
	if e.Op == Poll && e.Status != 200 && e.Status != 404 {
		j.polls++
		if j.accepted && !j.over() && j.polls > 3 && e.At-j.answered > silence && e.At-k.answered < silence/10 {
			k.breach("forgotten", "no answer about %s for 90 s", e.Job)
		}
		if j.accepted && j.polls > 1 && e.At-max(j.answered, k.quiet) > silenceQuiet {
			k.breach("forgotten", "no answer about %s for 75 s after all troubles", e.Job)
		}
	}
	if e.Status == 404 && c.known {
		k.breach("forgotten", "%s is not found", e.Job)
	}
	if e.Op == Submit && (e.Status == 400 || e.Status == 422) && c.known {
		k.breach("forgotten", "%s is refused with %d", e.Job, e.Status)
	}
	if e.Status != 200 && e.Status != 201 {
		return
	}
	k.notAccepted(e, j)
	if !j.submitted {
		k.breach("invented", "%s", e.Job)
		return
	}
	if !j.accepted {
		j.acceptedAt = e.At
	}
	j.accepted, j.answered, j.polls = true, e.At, 0
	if e.State == "" {
		return // an answer that tells no state, as that to a sweep
	}
	if k.terms.Sweeps[e.Job] != nil {
		k.final(e, j, c)
		return
	}
	// A job that is submitted when one before it is cancelled already is
	// accepted all the same, and has as long from then on.
	if before := k.cancelledBefore(e.Job); before != 0 && c.sent > max(before, j.acceptedAt)+k.terms.Cancel && (e.State == wire.Pending || e.State == wire.Running) {
		k.breach("orphaned", "%s is %s though one before it is cancelled", e.Job, e.State)
	}
	if e.State == wire.Done && len(j.done) < k.tasks(e.Job) {
		k.breach("not_done", "%s with %d of %d", e.Job, len(j.done), k.tasks(e.Job))
	}
	if e.State == wire.Withdrawn && !j.asked && !k.askedBefore(e.Job) && k.terms.Jobs[e.Job] != nil {
		k.breach("went_back", "%s is cancelled by nobody", e.Job)
	}
	if e.State == wire.Withdrawn && j.cancelledAt == 0 {
		j.cancelledAt = e.At
		if k.terms.Jobs[e.Job] != nil {
			k.due = append(k.due, due{e.At + k.terms.Cancel, e.Job})
		}
	}
	k.final(e, j, c)
}

func (j *seen) over() bool { return j.state == wire.Done || j.state == wire.Withdrawn }

// final checks that a final state stays, for whoever asks after it was told.
func (k *checker) final(e *Event, j *seen, c call) {
	if j.over() && e.State != j.state && c.sent >= j.overAt {
		k.breach("went_back", "%s was %s and is %s", e.Job, j.state, e.State)
	}
	if !j.over() {
		j.state, j.overAt = e.State, e.At
	}
}

func (k *checker) tasks(id string) int {
	if s := k.terms.Jobs[id]; s != nil {
		return s.Tasks
	}
	return 0
}

// before calls f for every job that one needs, directly or through others.
func (k *checker) before(id string, f func(*seen)) {
	todo, met := []string{id}, map[string]bool{}
	for len(todo) > 0 {
		id, todo = todo[0], todo[1:]
		spec := k.terms.Jobs[id]
		if spec == nil {
			continue
		}
		for _, a := range spec.Awaits {
			if j := k.jobs[a]; j != nil && !met[a] {
				met[a] = true
				f(j)
				todo = append(todo, a)
			}
		}
	}
}

// cancelledBefore is when a user was first told that a job which this one needs
// is cancelled, 0 for never.
func (k *checker) cancelledBefore(id string) (at int64) {
	k.before(id, func(j *seen) {
		if j.cancelledAt != 0 && (at == 0 || j.cancelledAt < at) {
			at = j.cancelledAt
		}
	})
	return at
}

func (k *checker) askedBefore(id string) (asked bool) {
	k.before(id, func(j *seen) { asked = asked || j.asked })
	return asked
}

// entered: a task has its image and is on its machine.
func (k *checker) entered(e *Event) {
	k.ran = true
	r := ref{e.Job, e.Task}
	spec, j := k.terms.Jobs[e.Job], k.job(e.Job)
	name := fmt.Sprintf("%s/%d", e.Job, e.Task)
	if spec == nil {
		k.breach("invented", "%s starts", name)
		return
	}
	for m := range k.on[r] {
		if m != e.Machine {
			k.breach("ran_twice", "%s on %s and %s", name, m, e.Machine)
		}
	}
	for _, a := range spec.Awaits {
		if n := k.jobs[a]; n != nil && len(n.done) < k.tasks(a) {
			k.breach("too_early", "%s starts before %s is done", name, a)
		}
	}
	if j.cancelledAt > 0 && e.At > j.cancelledAt+k.terms.Cancel {
		k.breach("ran_cancelled", "%s starts", name)
	}
	if k.on[r] == nil {
		k.on[r] = map[string]bool{}
	}
	if !k.on[r][e.Machine] {
		u := k.use[spec.Team]
		k.use[spec.Team] = Limits{u.CPUs + spec.CPUs, u.GPUs + spec.GPUs}
	}
	k.on[r][e.Machine] = true
	k.placed.give(spec, r, e.Machine)
	k.place(e, name, spec)
	const dust = 1e-6
	if l, u := k.terms.Teams[spec.Team], k.use[spec.Team]; l.GPUs > 0 && u.GPUs > l.GPUs+dust || l.CPUs > 0 && u.CPUs > l.CPUs+dust {
		k.breach("quota", "%s uses %.1f CPUs and %.1f GPUs", spec.Team, u.CPUs, u.GPUs)
	}
}

func (k *checker) place(e *Event, name string, s *wire.Job) {
	m := k.machines[e.Machine]
	bad := s.Zone != nil && *s.Zone != m.Zone || !s.Spot && m.Spot || len(s.Types) > 0 && !slices.Contains(s.Types, m.Type)
	if s.OneZone || s.Spread {
		zones := map[string]int{}
		for i := range s.Tasks {
			for o := range k.on[ref{s.ID, i}] {
				zones[k.machines[o].Zone]++
			}
		}
		bad = bad || s.OneZone && len(zones) > 1 || s.Spread && zones[m.Zone] > (s.Tasks+1)/2
	}
	if bad {
		k.breach("wrong_place", "%s on %s", name, e.Machine)
	}
}

// started: a gang's tasks have to begin one right after the other, all of them.
func (k *checker) started(e *Event) {
	if s := k.terms.Jobs[e.Job]; s == nil || s.Kind != wire.Gang {
		return
	}
	if k.gang == nil {
		k.gang, k.parts = e, map[int]bool{}
	}
	k.parts[e.Task] = true
}

// whole checks the gang that has begun. The published rules don't name it, and
// operators do.
func (k *checker) whole() {
	if n := k.tasks(k.gang.Job); len(k.parts) != n {
		k.breach("part_of_gang", "%s begins with %d of %d tasks", k.gang.Job, len(k.parts), n)
	}
	k.gang = nil
}

// finish checks what shows only at the end.
func (k *checker) finish() {
	if k.gang != nil {
		k.whole()
	}
	if !k.ran {
		k.breach("nothing_ran", "all day")
	}
	if len(k.due) > 0 {
		k.late(k.now + 1)
	}
}
