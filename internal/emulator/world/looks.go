package world

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// What users do at the worst moment: they ask everywhere at once, call off what
// has just ended, and send what they should not.

// looks are how long after an answer the controllers are asked, in microseconds;
// it repeats the submission with the second.
var looks = []int64{0, 4_000, 25_000, 120_000}

// callOffNow is in how many close looks at an acceptance one job is cancelled.
const callOffNow = 8

// askAt asks a controller, past the balancer.
func (f *front) askAt(n *node, op, job string, request any, done func(Told, wire.JobAnswer)) {
	most := int64(submitMost)
	if op == history.Poll {
		most = pollMost
	}
	call := f.w.Outside(op, job)
	over := false
	finish := func(t Told) {
		if over {
			return
		}
		over = true
		a, _ := t.Body.(wire.JobAnswer)
		f.w.OutsideTold(call, op, job, t.Status, a.State)
		done(t, a)
	}
	f.w.after(most, func() { finish(Told{}) })
	f.w.net.send(usersHost, n.name, func() { f.w.ask(usersHost, n.name, request, finish) }, func() { finish(Told{}) })
}

func ignore(Told, wire.JobAnswer) {}

// look asks all controllers about a job, and repeats its submission, right after
// its user was told that it is accepted or over.
func (u *user) look() {
	w := u.w
	if !w.front.looking {
		return
	}
	for _, n := range w.nodes {
		for i, d := range looks {
			w.after(d+w.rng.Int64N(2000), func() {
				w.met(history.MetLook)
				w.front.askAt(n, history.Poll, u.spec.ID, wire.Poll{ID: u.spec.ID}, ignore)
				if i == 1 {
					spec := u.spec
					w.front.askAt(n, history.Submit, u.spec.ID, &spec, ignore)
				}
			})
		}
	}
	if u.over == "" && w.rng.IntN(callOffNow) == 0 {
		w.after(w.rng.Int64N(5000), u.withdraw)
	}
}

// lastDone is called when the last task of a job has completed.
func (u *user) lastDone() {
	f := u.w.front
	if f.atEnd == 0 || u.w.rng.Float64() >= f.atEnd {
		return
	}
	// Before the controllers can know of the end, as they learn of it, and after.
	for _, d := range []int64{0, 40_000, 300_000, 900_000} {
		n := u.w.nodes[u.w.rng.IntN(len(u.w.nodes))]
		u.w.met(history.MetAtEnd)
		u.w.after(u.w.rng.Int64N(d+2000), func() {
			f.askAt(n, history.Withdraw, u.spec.ID, wire.Withdraw{ID: u.spec.ID}, ignore)
			f.askAt(n, history.Poll, u.spec.ID, wire.Poll{ID: u.spec.ID}, ignore)
			spec := u.spec
			f.askAt(n, history.Submit, u.spec.ID, &spec, ignore)
		})
	}
}

const (
	// longToGo is what a job has left at least that is called off with others.
	longToGo = 2 * second
	// within is the time in which they are.
	callOffWithin = second / 5
	// hangMost is how many of their machines hang.
	hangMost = 8
)

// cancelNow lets users call off so many jobs that run and have long to go. It
// returns what lets those of their machines that hang go on.
func (w *World) cancelNow(count int, hangs bool) (end func()) {
	on := map[*user][]*machine{}
	var users []*user
	for _, m := range w.cloud.order {
		for _, t := range m.tasks {
			u := t.job
			if m.gone || u == nil || t.state != wire.Running || u.spec.Kind == wire.Service || u.asksEnd || t.runs()-t.at() < longToGo {
				continue
			}
			if on[u] == nil {
				users = append(users, u)
			}
			if !slices.Contains(on[u], m) {
				on[u] = append(on[u], m)
			}
		}
	}
	w.rng.Shuffle(len(users), func(i, k int) { users[i], users[k] = users[k], users[i] })
	var hang []*machine
	for _, u := range users[:min(count, len(users))] {
		w.met(history.MetCallOff)
		w.after(w.rng.Int64N(callOffWithin), u.withdraw)
		for _, m := range on[u] {
			if hangs && len(hang) < hangMost && !m.hanging {
				w.met(history.MetHang)
				hang = append(hang, m)
				m.hang()
			}
		}
	}
	return func() {
		for _, m := range hang {
			m.goOn()
		}
	}
}

// oddEvery is how often a request comes that should not.
const oddEvery = 300_000

// oddRequests lets users send what they should not, until end is called.
func (f *front) oddRequests() (end func()) {
	over, turn := false, 0
	var next func()
	next = func() {
		if over {
			return
		}
		f.odd(turn)
		turn++
		f.w.after(f.w.spread(oddEvery, 0.5, 1.5), next)
	}
	next()
	return func() { over = true }
}

// Odd is a submission that can't run or lacks a field: what is wrong with it, the
// field that the refusal has to name, if it is one's fault, and its status.
type Odd struct {
	Why, Field string
	Status     int
	Body       []byte
}

// Odds are all kinds of submissions that have to be refused, made of a job that
// could run: each field wrong or missing, and what fits nothing.
func Odds(good wire.Job, types []wire.MachineType) (l []Odd) {
	var fields map[string]any
	b, err := json.Marshal(good)
	if err == nil {
		err = json.Unmarshal(b, &fields)
	}
	if err != nil {
		panic(err) // plain structs always encode
	}
	add := func(status int, field, why string, change func(map[string]any)) {
		m := maps.Clone(fields)
		change(m)
		b, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		l = append(l, Odd{why, field, status, b})
	}
	for _, k := range []string{"herd", "steward", "shape", "urgency", "hands", "vcpus", "gpus", "mem_gb", "seedstock", "pull_gb", "one_zone", "scatter", "borrowed", "expect_s", "bank_s", "bank_cost_s"} {
		add(400, k, k+" is missing", func(m map[string]any) { delete(m, k) })
		add(400, k, k+" is of the wrong kind", func(m map[string]any) { m[k] = []int{1} })
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
	return l
}

// odd sends the turn-th of them.
func (f *front) odd(turn int) {
	w := f.w
	n := w.nodes[turn%len(w.nodes)]
	if turn%2 == 0 {
		if len(w.Jobs) == 0 {
			return
		}
		odds := Odds(w.Jobs[0].Spec, w.Types)
		o := odds[turn/2%len(odds)]
		id := fmt.Sprintf("odd-%05d", turn)
		var m map[string]any
		if json.Unmarshal(o.Body, &m) != nil {
			return
		}
		m["name_id"] = id
		b, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		call := w.Outside(history.Submit, id)
		w.met(history.MetOdd)
		w.record(history.Event{Kind: history.Unfit, Job: id, Call: call, Why: o.Why})
		f.w.net.send(usersHost, n.name, func() {
			f.w.ask(usersHost, n.name, wire.Raw{Body: b}, func(t Told) { w.OutsideTold(call, history.Submit, id, t.Status, "") })
		}, func() {})
		return
	}
	// Of a job that is there: its submission once more, as it was or changed, and
	// a cancellation of what is done.
	var known []*user
	for i := range w.Jobs {
		if u := w.jobs[w.Jobs[i].Spec.ID]; u.accepted {
			known = append(known, u)
		}
	}
	if len(known) == 0 {
		return
	}
	u := known[w.rng.IntN(len(known))]
	id := u.spec.ID
	switch {
	case u.over == wire.Done:
		f.askAt(n, history.Withdraw, id, wire.Withdraw{ID: id}, ignore)
	case turn%4 == 1:
		spec := u.spec
		f.askAt(n, history.Submit, id, &spec, ignore)
	default:
		f.askAt(n, history.Submit, id, wire.Raw{Body: []byte(fmt.Sprintf(`{"name_id":%q,"hands":-1}`, id))}, ignore)
	}
}
