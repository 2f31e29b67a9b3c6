package testbed

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

// Sweep is submitted at At as the text of a sweep file, so many Times by users
// that do not know of each other; Run is how long tasks take, Cancel when it is
// withdrawn, 0 for never.
type Sweep struct {
	At, Run, Cancel int64
	Times           int
	Text            string
}

// sweepUser is what the users of a sweep were told.
type sweepUser struct {
	Sweep
	c        *Cluster
	sub      core.SubmitSweep
	accepted bool
	over     string
	asked    bool
}

func (c *Cluster) sweep(s Sweep) *sweepUser {
	sub, err := api.DecodeSweep([]byte(s.Text))
	if err != nil || sub.Invalid != "" {
		panic(fmt.Sprint("a day's sweep: ", err, sub.Invalid))
	}
	u := &sweepUser{Sweep: s, c: c, sub: sub}
	for _, spec := range sub.Plan.Specs {
		c.users[spec.ID] = &user{job: Job{Run: s.Run, Spec: *spec}}
	}
	for range max(s.Times, 1) {
		c.at(s.At, u.submit)
	}
	if s.Cancel > 0 {
		c.at(s.Cancel, u.withdraw)
	}
	return u
}

// ask sends a request to some controller, and again until done says so.
func (u *sweepUser) ask(build func(req uint64) any, done func(r core.Reply) bool) {
	c := u.c
	again := func() { c.after(second, func() { u.ask(build, done) }) }
	n := c.reach()
	if n == nil {
		again()
		return
	}
	answered := false
	n.ask(build, func(r core.Reply) {
		if !answered {
			answered = true
			u.told(r)
			if !done(r) {
				again()
			}
		}
	})
	c.after(5*second, func() {
		if !answered {
			answered = true
			again()
		}
	})
}

// told checks that answers never go back.
func (u *sweepUser) told(r core.Reply) {
	k := u.c.Check
	switch {
	case r.Status == 404 && u.accepted:
		k.breach("forgotten", "sweep %s", u.sub.Plan.ID)
	case (r.Status == 400 || r.Status == 409 || r.Status == 422) && u.accepted:
		k.breach("forgotten", "sweep %s is refused with %d", u.sub.Plan.ID, r.Status)
	case r.Sweep == nil:
	case u.over != "" && r.Sweep.State != u.over:
		k.breach("went_back", "sweep %s was %s and is %s", u.sub.Plan.ID, u.over, r.Sweep.State)
	case r.Sweep.State == ledger.Cancelled && !u.asked:
		k.breach("went_back", "sweep %s is cancelled by nobody", u.sub.Plan.ID)
	case r.Sweep.State == ledger.Done || r.Sweep.State == ledger.Cancelled:
		if u.over = r.Sweep.State; u.over == ledger.Cancelled {
			u.c.after(config_(u.c.Settings.Workers.CancelS), func() {
				for _, s := range u.sub.Plan.Specs {
					k.afterCancel(s.ID)
				}
			})
		}
	}
}

func (u *sweepUser) submit() {
	for _, s := range u.sub.Plan.Specs {
		u.c.Check.submitted(s.ID, s)
	}
	u.ask(func(req uint64) any {
		m := u.sub
		m.Req = req
		return m
	}, func(r core.Reply) bool {
		if r.Status != 200 && r.Status != 201 {
			return false
		}
		if !u.accepted {
			u.accepted = true
			u.c.after(5*second, u.poll)
			for _, s := range u.sub.Plan.Specs {
				u.c.after(5*second, func() { u.c.users[s.ID].poll(u.c) })
			}
		}
		return true
	})
}

func (u *sweepUser) poll() {
	u.ask(func(req uint64) any { return core.SweepStatus{Req: req, ID: u.sub.Plan.ID} }, func(core.Reply) bool { return true })
	u.c.after(5*second, u.poll)
}

func (u *sweepUser) withdraw() {
	if !u.accepted {
		u.c.after(second, u.withdraw)
		return
	}
	u.asked = true
	for _, s := range u.sub.Plan.Specs {
		u.c.Check.askedToCancel(s.ID)
	}
	u.ask(func(req uint64) any { return core.CancelSweep{Req: req, ID: u.sub.Plan.ID} }, func(r core.Reply) bool { return r.Status == 200 })
}

// pages asks a controller for all runs of a sweep and calls f with them.
func (n *node) pages(id string, f func([]core.SweepRun)) {
	var runs []core.SweepRun
	var next func(after int)
	next = func(after int) {
		n.ask(func(req uint64) any { return core.SweepRuns{Req: req, ID: id, After: after, Most: 70} }, func(r core.Reply) {
			if r.Runs == nil {
				n.c.after(second, func() { next(after) })
				return
			}
			runs = append(runs, r.Runs.Runs...)
			if r.Runs.Next == 0 {
				f(runs)
				return
			}
			next(r.Runs.Next)
		})
	}
	next(0)
}

// Account says what is wrong with the runs of a sweep that is over: each must be
// listed once, with its values, and have come to the end that is stored.
func Account(plan *core.SweepPlan, runs []core.SweepRun, log []core.Change) []string {
	var wrong []string
	fail := func(format string, a ...any) { wrong = append(wrong, fmt.Sprintf(format, a...)) }
	ends, created := map[string]string{}, map[string]int{}
	there := map[string]bool{}
	for _, ch := range log {
		if id, ok := strings.CutPrefix(ch.Key, core.Prefix+"job/"); ok {
			if !ch.Removed && !there[id] {
				created[id]++
			}
			there[id] = !ch.Removed
		}
		if id, ok := strings.CutPrefix(ch.Key, core.Prefix+"end/"); ok {
			var e ledger.End
			if err := json.Unmarshal(ch.Value, &e); err != nil || ends[id] != "" {
				fail("%s has a second end, or none that can be read", id)
			}
			ends[id] = e.Outcome
		}
	}
	listed := map[int]core.SweepRun{}
	for _, r := range runs {
		if _, twice := listed[r.Number]; twice {
			fail("run %d is listed twice", r.Number)
		}
		listed[r.Number] = r
	}
	if len(listed) != len(plan.Specs) {
		fail("%d runs are listed, and there are %d", len(listed), len(plan.Specs))
	}
	for i, s := range plan.Specs {
		r, ok := listed[i]
		switch {
		case !ok:
			fail("run %d is not listed", i)
		case r.ID != s.ID || string(r.Values) != string(plan.Values[i]):
			fail("run %d is listed as %s with %s, and is %s with %s", i, r.ID, r.Values, s.ID, plan.Values[i])
		case created[s.ID] > 1:
			fail("run %d was created %d times", i, created[s.ID])
		case created[s.ID] == 1 && ends[s.ID] == "":
			fail("run %d was created and never ended", i)
		case created[s.ID] == 1 && ends[s.ID] != r.State || created[s.ID] == 0 && r.State != ledger.Cancelled:
			fail("run %d is listed as %s, and its end is %q", i, r.State, ends[s.ID])
		}
	}
	slices.Sort(wrong)
	return wrong
}
