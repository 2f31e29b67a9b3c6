package core

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"github.com/zinclb/zinclb/internal/core/kv"
	"slices"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// A sweep is stored as its description, in one transaction, and so accepted
// whole or not at all. Its runs are derived from that by whoever leads, in their
// order, a few at a time; how far that has come is stored with each step. One
// key, created once, says how it ended. docs/sweeps.md has the reasons.
const (
	sweepRoot      = Prefix + "sweep"
	sweepPrefix    = sweepRoot + "/"    // ID: the head; ID/N: a part of the description
	sweepAtPrefix  = sweepRoot + "at/"  // ID: how far the runs have come
	sweepEndPrefix = sweepRoot + "end/" // ID: how it ended
	// RunPrefix begins the ids of all runs, and of no other job.
	RunPrefix = "sweep."
)

// SweepPlan is what a description expands to.
type SweepPlan struct {
	ID, Digest string
	Pending    int
	Specs      []*jobstate.Spec
	// Values are the runs' values as JSON, in the order of Specs, and Sets which
	// sets of values each stands for, where identical ones were merged. Longest
	// is the longest stored job.
	Values  []json.RawMessage
	Sets    [][]int
	Longest int
}

// Messages and effects of sweeps.
type (
	// SubmitSweep is a sweep that was expanded; Stored is its description as it
	// is to be stored, without characters that JSON escapes.
	SubmitSweep struct {
		Req    uint64
		Plan   *SweepPlan
		Stored string
		// Invalid is set if there is only an id.
		Invalid string
		// Handed: a peer has handed the request on, as with the others.
		Handed bool
	}
	// HandedSweep is a submitted sweep on its way to a peer: what was expanded
	// here is expanded again there, as the runs are much longer than what
	// describes them.
	HandedSweep struct{ ID, Stored, Invalid string }
	// SweepStatus asks for a sweep's state, SweepRuns for some of its runs.
	SweepStatus struct {
		Req    uint64
		ID     string
		Handed bool
	}
	// SweepRuns asks for at most Most runs from number After on.
	SweepRuns struct {
		Req         uint64
		ID          string
		After, Most int
		Handed      bool
	}
	// CancelSweep asks to withdraw a sweep.
	CancelSweep struct {
		Req    uint64
		ID     string
		Handed bool
	}
	// Expand asks for the plan of a stored description.
	Expand struct{ ID, Stored string }
	// Expanded answers it.
	Expanded struct {
		ID   string
		Plan *SweepPlan
		Err  error
	}
	// SweepState is what users are told of a sweep.
	SweepState struct {
		ID, State                      string
		Runs, Created, Done, Withdrawn int
	}
	// SweepRun is one run.
	SweepRun struct {
		Number    int
		ID, State string
		Values    json.RawMessage
		Sets      []int
	}
	// SweepPage is some runs; Next is where to go on, 0 at the end.
	SweepPage struct {
		Runs []SweepRun
		Next int
	}
)

// The states of runs that are not jobs' states.
const (
	RunPlanned = "planned" // it is not created yet
	RunEnded   = "ended"   // it has ended, and this controller is about to learn how
)

type sweepHead struct {
	Runs      int    `json:"n"`
	Parts     int    `json:"p"`
	Pending   int    `json:"b"`
	Digest    string `json:"d"`
	Submitted int64  `json:"t"`
}

// sweepAt is how far a sweep has come: runs before Next are created, and of
// these all have ended and are counted but the open ones.
type sweepAt struct {
	Next   int    `json:"n"`
	Open   string `json:"o,omitempty"`
	Closed bool   `json:"c,omitempty"`
}

// sweepGone are the counted runs that are not done, in a value of its own, as
// both would not fit the smallest one. It is written with sweepAt where it changed.
type sweepGone struct {
	Runs string `json:"r"`
}

const goneKey = "/gone"

type sweepEnd struct {
	Outcome string `json:"o"`
	At      int64  `json:"t"`
}

// sweep is what a controller knows of one.
type sweep struct {
	id    string
	head  sweepHead
	stamp uint64 // of the head, 0 until it is known
	parts map[int]string
	// next, ended and gone are sweepAt's; the leader's may be ahead of what is
	// stored under the version at.
	next        int
	ended, gone *roaring.Bitmap
	goneStored  uint64 // how many of gone are stored
	at          uint64
	closed      bool
	counted     int64 // since when a count waits to be stored, 0 for none
	outcome     string
	// told: it is known to be cancelled, but perhaps not yet what was stored
	// before; nothing of it is started any more.
	told      bool
	plan      *SweepPlan
	expanding bool
	broken    string // why nothing more is created
	flying    bool
	notBefore int64
	asks      []*ask // for the plan
}

// Bounds of the work on sweeps.
const (
	sweepGap     = 200_000
	sweepCounts  = 5 * second // how long a count may wait for a write of its own
	sweepReserve = 0.4        // of the leader's writes in a second, left to all else
	maxPage      = 200
	maxAskPlan   = 100
)

func (c *Core) sweeping() bool { return c.activation.Enabled(upgrade.Sweeps) }

// sweep finds a sweep, or makes what is to be filled by the keys that are read.
func (c *Core) sweep(id string) *sweep {
	s := c.sweeps[id]
	if s == nil {
		s = &sweep{id: id, parts: map[int]string{}, ended: roaring.New(), gone: roaring.New()}
		c.sweeps[id] = s
	}
	return s
}

// knownSweep finds an accepted sweep, or nil.
func (c *Core) knownSweep(id string) *sweep {
	if s := c.sweeps[id]; s != nil && s.stamp != 0 {
		return s
	}
	return nil
}

// applySweep takes a key of a sweep over; key is without the prefix of all.
func (c *Core) applySweep(key string, ch Change, bad func(error)) {
	if ch.Removed {
		return // none ever is
	}
	read := func(to any) bool {
		if err := json.Unmarshal(ch.Value, to); err != nil {
			bad(err)
			return false
		}
		return true
	}
	kind, id, _ := strings.Cut(key, "/")
	id, num, part := strings.Cut(id, "/")
	s := c.sweep(id)
	switch {
	case kind == "sweep" && part:
		n, err := strconv.Atoi(num)
		var text string
		if err != nil || !read(&text) {
			bad(err)
			return
		}
		if !s.closed {
			s.parts[n] = text
		}
	case kind == "sweep":
		if read(&s.head) {
			s.stamp = ch.Revision
		}
	case kind == "sweepat" && part:
		var g sweepGone
		if !read(&g) {
			return
		}
		b, err := unpackSet(g.Runs)
		if err != nil {
			bad(err)
			return
		}
		s.gone.Or(b)
		s.goneStored = max(s.goneStored, b.GetCardinality())
	case kind == "sweepat":
		var at sweepAt
		if ch.Revision <= s.at || !read(&at) {
			return
		}
		c.mergeSweep(s, at, ch.Revision, bad)
	case kind == "sweepend":
		var e sweepEnd
		if read(&e) {
			c.noteSweepEnd(id, e.Outcome, ch.Revision)
		}
	}
}

// mergeSweep takes stored progress over; all of it only ever grows.
func (c *Core) mergeSweep(s *sweep, at sweepAt, stamp uint64, bad func(error)) {
	open, err := unpackSet(at.Open)
	if err != nil {
		bad(err)
		return
	}
	b := roaring.New()
	b.AddRange(0, uint64(at.Next))
	b.AndNot(open)
	s.ended.Or(b)
	s.next, s.at = max(s.next, at.Next), stamp
	if at.Closed {
		c.closeSweep(s)
	}
}

// closeSweep forgets what only a sweep under way needs.
func (c *Core) closeSweep(s *sweep) {
	s.closed = true
	s.parts, s.plan = map[int]string{}, nil
}

// noteSweepEnd notes how a sweep has ended.
func (c *Core) noteSweepEnd(id, outcome string, rev uint64) {
	s := c.sweep(id)
	if outcome == jobstate.Cancelled {
		c.witness.RecordCancellation(toldSweep+id, rev)
	}
	if s.outcome == "" {
		s.outcome = outcome
		c.endRuns = c.endRuns || outcome == jobstate.Cancelled
	}
}

// endCancelledRuns ends the runs of cancelled sweeps that are not over, as every
// controller derives for itself: users are told at once, and the leader stores
// the ends as its budget allows.
//
// It is called only when the mirror has all that was stored before some moment:
// a run whose end was stored before its sweep was cancelled is done, and a list,
// a key that was read or another's word would miss that.
func (c *Core) endCancelledRuns() {
	if !c.endRuns {
		return
	}
	c.endRuns = false
	for _, id := range inOrder(c.jobs) {
		j := c.jobs[id]
		if j.Sweep == "" || j.Outcome != "" {
			continue
		}
		if s := c.sweeps[j.Sweep]; s != nil && s.outcome == jobstate.Cancelled {
			c.derive(j)
		}
	}
}

// sweepTold is called when a sweep is known to be cancelled but the mirror may
// lag: its tasks are stopped, and none is started.
func (c *Core) sweepTold(id string) {
	s := c.sweep(id)
	if s.told || s.outcome != "" {
		return
	}
	s.told = true
	c.emit(View{After: c.applied})
	if c.lead == nil {
		return
	}
	for _, j := range c.jobs {
		if j.Sweep != id || j.Outcome != "" {
			continue
		}
		j.EachPlaced(func(i int, t *jobstate.Task) {
			if !t.StartSent {
				c.clear(j, i)
				return
			}
			c.stop(j, i, stopSweep, 0)
		})
	}
}

// stopSweep is why tasks of a sweep that is known to be cancelled are stopped.
const stopSweep = "sweep"

// untold says that nothing speaks against starting a job's tasks.
func (c *Core) untold(j *jobstate.Job) bool {
	if j.Sweep == "" {
		return true
	}
	s := c.sweeps[j.Sweep]
	return s == nil || !s.told
}

// dropSweeps is called before the stored state is read anew.
func (c *Core) dropSweeps() {
	for _, id := range inOrder(c.sweeps) {
		for _, a := range c.sweeps[id].asks {
			c.refuse(a)
		}
	}
	c.sweeps = map[string]*sweep{}
}

func (c *Core) onSubmitSweep(m SubmitSweep) {
	a := &ask{req: m.Req, id: m.Plan.ID, kind: askSweepSubmit, since: c.now, sweep: &m, handed: m.Handed}
	refuse := func(status int, why string) {
		a.refusal = Reply{Status: status, Error: why}
		c.wait(a)
	}
	switch {
	case !c.set.Ops.Sweeps:
		c.emit(Reply{Req: m.Req, Status: 404, Error: "sweeps are switched off"})
		return
	case !c.synced:
		c.refuse(a)
		return
	case m.Invalid != "":
		refuse(400, m.Invalid)
		return
	case len(c.types) == 0:
		c.emit(Reply{Req: m.Req, Status: 503, Retry: 2, Error: "machine types are not known yet"})
		return
	case !c.sweeping():
		c.emit(Reply{Req: m.Req, Status: 503, Retry: 2, Error: "not before all controllers have sweeps switched on"})
		return
	}
	own := make(map[string]bool, len(m.Plan.Specs))
	var awaits []string
	for i, s := range m.Plan.Specs {
		if why := c.infeasible(s); why != "" {
			refuse(422, fmt.Sprintf("run %s: %s", m.Plan.Values[i], why))
			return
		}
		own[s.ID] = true
		for _, id := range s.Dependencies {
			if !own[id] && !slices.Contains(awaits, id) {
				awaits = append(awaits, id)
			}
		}
		if len(awaits) > 1000 {
			refuse(400, "awaits: more than 1000 jobs of others")
			return
		}
	}
	if most := c.valueLimit(); m.Plan.Longest > most {
		refuse(400, fmt.Sprintf("a run's description takes %d bytes, and %d can be stored", m.Plan.Longest, most))
		return
	}
	if parts := c.sweepParts(m.Stored); len(parts) >= c.limits().TxnOps || len(m.Stored) > maxTxnBytes {
		refuse(400, fmt.Sprintf("the sweep's description takes %d bytes when packed, and %d can be stored", len(m.Stored), min(maxTxnBytes, (c.limits().TxnOps-1)*(c.valueLimit()-2))))
		return
	}
	a.spec = &jobstate.Spec{ID: a.id, Dependencies: awaits}
	c.checkAwaits(a)
}

// sweepParts cuts a description into values.
func (c *Core) sweepParts(stored string) []string {
	var parts []string
	for most := c.valueLimit() - 2; len(stored) > 0; {
		n := min(most, len(stored))
		parts, stored = append(parts, stored[:n]), stored[n:]
	}
	return parts
}

func (c *Core) askSweep(a *ask) {
	a.since = c.now
	if !c.set.Ops.Sweeps && c.knownSweep(a.id) == nil {
		c.emit(Reply{Req: a.req, Status: 404, Error: "no such sweep"})
		return
	}
	c.wait(a)
}

// resumeSweep goes on with a request about a sweep after a view that is younger
// than it.
func (c *Core) resumeSweep(a *ask) {
	s := c.knownSweep(a.id)
	switch {
	case s == nil && a.kind == askSweepSubmit && a.refusal.Status != 0:
		r := a.refusal
		r.Req = a.req
		c.emit(r)
	case s == nil && a.kind == askSweepSubmit:
		c.write(a)
	case s == nil:
		c.emit(Reply{Req: a.req, Status: 404, Error: "no such sweep"})
	case a.kind == askSweepSubmit && a.sweep.Invalid == "" && a.sweep.Plan.Digest != s.head.Digest:
		c.emit(Reply{Req: a.req, Status: 409, Error: "id: in use by another sweep"})
	case a.kind == askSweepRuns:
		c.sweepRuns(s, a)
	case a.kind == askSweepCancel && s.outcome == "":
		c.write(a)
	case s.outcome == jobstate.Cancelled:
		c.answerCancelled(Reply{Req: a.req, Status: 200, Sweep: s.state()}, toldSweep+s.id)
	default:
		c.emit(Reply{Req: a.req, Status: 200, Sweep: s.state()})
	}
}

func (s *sweep) state() *SweepState {
	gone := int(s.gone.GetCardinality())
	x := &SweepState{ID: s.id, State: s.outcome, Runs: s.head.Runs, Created: s.next, Done: int(s.ended.GetCardinality()) - gone, Withdrawn: gone}
	switch {
	case s.outcome == jobstate.Cancelled:
		x.Withdrawn = s.head.Runs - x.Done // what is not done never will be
	case s.outcome == "" && s.next > 0:
		x.State = Running
	case s.outcome == "":
		x.State = Queued
	}
	return x
}

// createSweep stores a sweep: all of it, or nothing.
func (c *Core) createSweep(a *ask) {
	parts := c.sweepParts(a.sweep.Stored)
	key := sweepPrefix + a.id
	head := sweepHead{Runs: len(a.sweep.Plan.Specs), Parts: len(parts), Pending: a.sweep.Plan.Pending, Digest: a.sweep.Plan.Digest, Submitted: a.since + c.wallOffset}
	writes := []Write{{Key: key, Value: encode(head)}}
	for i, p := range parts {
		writes = append(writes, Write{Key: key + "/" + strconv.Itoa(i), Value: encode(p)})
	}
	c.budget.Spend(float64(len(writes)))
	c.multi([]Cond{kv.RevisionIs(key, 0)}, writes, func(m Committed) {
		switch m.Status {
		case 200:
			c.emit(Reply{Req: a.req, Status: 201, Sweep: &SweepState{ID: a.id, State: Queued, Runs: head.Runs}})
		case 409:
			c.wait(a)
		case 400:
			c.lower("a sweep's description was refused")
			c.refuse(a)
		default:
			c.again(a)
		}
	})
}

// cancelSweep creates the one key that ends a sweep.
func (c *Core) cancelSweep(a *ask) {
	c.budget.Spend(1)
	key := sweepEndPrefix + a.id
	c.multi([]Cond{kv.RevisionIs(key, 0)}, []Write{{Key: key, Value: encode(sweepEnd{jobstate.Cancelled, c.now + c.wallOffset})}}, func(m Committed) {
		switch m.Status {
		case 200:
			c.witness.RecordCancellation(toldSweep+a.id, m.Revision)
			c.sweepTold(a.id)
			c.wait(a) // what was done before is told from a view
		case 409:
			c.overtaken(a)
		default:
			c.again(a)
		}
	})
}

// toldSweep marks a sweep among the cancellations that peers tell each other; no
// job's id has a slash.
const toldSweep = "sweep/"

// needPlan makes sure that a sweep's plan is there or comes.
func (c *Core) needPlan(s *sweep) {
	if s.plan != nil || s.expanding || s.broken != "" || c.now < s.notBefore {
		return
	}
	for i := range s.head.Parts {
		if _, ok := s.parts[i]; ok {
			continue
		}
		// It was closed, and its parts are not kept in memory.
		s.expanding = true
		c.get(sweepPrefix+s.id+"/"+strconv.Itoa(i), func(g Got) {
			s.expanding = false
			var text string
			if g.Err != nil || g.Stamp == 0 || json.Unmarshal(g.Value, &text) != nil {
				c.planFails(s, "its description can't be read now")
				return
			}
			s.parts[i] = text
			c.needPlan(s)
		})
		return
	}
	var b strings.Builder
	for i := range s.head.Parts {
		b.WriteString(s.parts[i])
	}
	s.expanding = true
	c.emit(Expand{ID: s.id, Stored: b.String()})
}

// planFails refuses what waits for a plan.
func (c *Core) planFails(s *sweep, why string) {
	s.notBefore = c.now + second
	for _, a := range s.asks {
		c.emit(Reply{Req: a.req, Status: 503, Retry: 1, Error: why})
	}
	s.asks = nil
}

func (c *Core) onExpanded(m Expanded) {
	s := c.knownSweep(m.ID)
	if s == nil {
		return
	}
	s.expanding = false
	if m.Err == nil && m.Plan.Digest != s.head.Digest {
		m.Err = errors.New("another version of the program expanded it to other runs")
	}
	if m.Err != nil {
		s.broken = m.Err.Error()
		c.log.Error("stored sweep can't be expanded", "sweep", s.id, "err", m.Err)
		c.planFails(s, s.broken)
		return
	}
	s.plan = m.Plan
	asks := s.asks
	s.asks = nil
	for _, a := range asks {
		c.sweepRuns(s, a)
	}
	if s.closed {
		// Only the one that was last asked for is kept.
		if o := c.sweeps[c.lastPlan]; o != nil && o != s && o.closed {
			o.plan, o.parts = nil, map[int]string{}
		}
		c.lastPlan = s.id
	}
}

// sweepRuns answers with a page of runs.
func (c *Core) sweepRuns(s *sweep, a *ask) {
	if s.plan == nil {
		switch {
		case s.broken != "":
			c.emit(Reply{Req: a.req, Status: 503, Retry: 30, Error: s.broken})
		case len(s.asks) >= maxAskPlan:
			c.emit(Reply{Req: a.req, Status: 503, Retry: 2, Error: "too many ask for runs"})
		default:
			s.asks = append(s.asks, a)
			c.needPlan(s)
		}
		return
	}
	page := &SweepPage{}
	for i := a.after; i < len(s.plan.Specs) && len(page.Runs) < min(max(a.most, 1), maxPage); i++ {
		page.Runs = append(page.Runs, SweepRun{Number: i, ID: s.plan.Specs[i].ID, State: c.runState(s, i), Values: s.plan.Values[i], Sets: s.plan.Sets[i]})
	}
	var gone []string
	for _, r := range page.Runs {
		if r.State == jobstate.Cancelled {
			gone = append(gone, r.ID)
		}
	}
	if s.outcome == jobstate.Cancelled && len(gone) > 0 {
		gone = []string{toldSweep + s.id}
	}
	if n := a.after + len(page.Runs); n < len(s.plan.Specs) {
		page.Next = n
	}
	r := Reply{Req: a.req, Status: 200, Runs: page}
	if len(gone) > 0 {
		c.answerCancelled(r, gone...)
		return
	}
	c.emit(r)
}

func (c *Core) runState(s *sweep, i int) string {
	id := s.plan.Specs[i].ID
	j := c.jobs[id]
	switch e, ok := c.outcome(id); {
	case ok:
		return e.Outcome
	case s.gone.ContainsInt(i):
		return jobstate.Cancelled
	case s.ended.ContainsInt(i):
		return jobstate.Done
	case j != nil:
		return jobState(j).State
	case i >= s.next && s.outcome == jobstate.Cancelled:
		return jobstate.Cancelled
	case i >= s.next:
		return RunPlanned
	}
	return RunEnded
}

// sweepTick goes on with the sweeps under way, when this controller leads.
func (c *Core) sweepTick() {
	l := c.lead
	if !c.sweeping() || len(c.sweeps) == 0 || c.now-l.sweepsAt < sweepGap || !c.sure() {
		return
	}
	l.sweepsAt = c.now
	var ready []*sweep
	for _, s := range c.sweeps {
		if s.stamp != 0 && !s.closed && !s.flying && s.broken == "" && c.now >= s.notBefore {
			ready = append(ready, s)
		}
	}
	// The first to be accepted goes first.
	slices.SortFunc(ready, func(a, b *sweep) int { return cmp.Or(cmp.Compare(a.stamp, b.stamp), cmp.Compare(a.id, b.id)) })
	for _, s := range ready {
		if s.plan == nil {
			c.needPlan(s)
			continue
		}
		c.stepSweep(s, c.countRuns(s))
	}
}

// countRuns counts the runs that have ended, and returns how many have not.
func (c *Core) countRuns(s *sweep) (open int) {
	reading := 0
	for it := s.open().Iterator(); it.HasNext(); {
		i := int(it.Next())
		id := s.plan.Specs[i].ID
		j := c.jobs[id]
		e, ok := c.outcome(id)
		switch {
		case ok && (j == nil || !j.CancelledByDependency):
			s.ended.AddInt(i)
			if e.Outcome != jobstate.Done {
				s.gone.AddInt(i)
			}
			if s.counted == 0 {
				s.counted = c.now
			}
			continue
		case j == nil && !ok && reading < asksAtOnce && c.asking[id] <= c.now:
			// It ended before this controller began to lead.
			reading++
			c.asking[id] = c.now + asksAgain
			c.get(endPrefix+id, func(g Got) {
				var e jobstate.End
				if g.Err == nil && g.Stamp != 0 && json.Unmarshal(g.Value, &e) == nil {
					delete(c.asking, id)
					c.noteEnd(id, e, g.Stamp)
				}
			})
		}
		open++
	}
	return open
}

// stepSweep makes the next transaction of a sweep, if there is one to make and
// writes can be spared: users' requests and starts go first.
func (c *Core) stepSweep(s *sweep, open int) {
	l := c.lead
	c.budget.Refill(c.now, c.allowance.Changes)
	spare := int(c.budget.Level() - c.allowance.Changes*sweepReserve)
	if len(c.requests.writes) > 0 || spare < 2 {
		return
	}
	when := []Cond{kv.RevisionIs(LeaderKey, l.stamp), kv.RevisionIs(sweepAtPrefix+s.id, s.at)}
	var writes []Write
	at := sweepAt{Next: s.next}
	all := len(s.plan.Specs)
	switch {
	case s.outcome != "" && open == 0:
		at.Closed = true
	case s.outcome != "" || s.told:
	case s.next == all && open == 0:
		when = append(when, kv.RevisionIs(sweepEndPrefix+s.id, 0))
		writes = append(writes, Write{Key: sweepEndPrefix + s.id, Value: encode(sweepEnd{jobstate.Done, c.now + c.wallOffset})})
		at.Closed = true
	default:
		when = append(when, kv.RevisionIs(sweepEndPrefix+s.id, 0))
		size := 0
		for at.Next < all && at.Next-s.next < min(s.head.Pending-open, spare-1, c.limits().TxnOps-2) {
			spec := s.plan.Specs[at.Next]
			v := jobstate.Record{Spec: spec, SubmittedWall: c.now + c.wallOffset}.Encode(0)
			if size += len(v) + 200; size > maxTxnBytes {
				break
			}
			when = append(when, kv.RevisionIs(jobPrefix+spec.ID, 0), kv.RevisionIs(endPrefix+spec.ID, 0))
			writes = append(writes, Write{Key: jobPrefix + spec.ID, Value: v})
			at.Next++
		}
	}
	if len(writes) == 0 && !at.Closed && (s.counted == 0 || c.now-s.counted < sweepCounts) {
		return
	}
	left := roaring.New()
	left.AddRange(uint64(s.next), uint64(at.Next))
	left.Or(s.open())
	at.Open = packSet(left)
	writes = append(writes, Write{Key: sweepAtPrefix + s.id, Value: encode(at)})
	gone := s.gone.GetCardinality()
	if gone != s.goneStored {
		writes = append(writes, Write{Key: sweepAtPrefix + s.id + goneKey, Value: encode(sweepGone{packSet(s.gone)})})
	}
	c.budget.Spend(float64(len(writes)))
	s.flying = true
	counted := s.counted
	c.multi(when, writes, func(m Committed) {
		if c.sweeps[s.id] != s {
			return // the state was read anew meanwhile
		}
		switch m.Status {
		case 200:
			s.flying = false
			s.next, s.at, s.goneStored = at.Next, max(s.at, m.Revision), gone
			if s.counted == counted {
				s.counted = 0
			}
			if at.Closed {
				c.noteSweepEnd(s.id, jobstate.Done, 0) // unless it was cancelled
				c.closeSweep(s)
			}
		case 409:
			c.sweepConflict(l, s, m.Failed)
		default:
			c.rereadSweep(s)
		}
	})
}

// open are the runs that are created and not counted.
func (s *sweep) open() *roaring.Bitmap {
	b := roaring.New()
	b.AddRange(0, uint64(s.next))
	b.AndNot(s.ended)
	return b
}

// packSet writes a set of runs: as the bitmap library does, or as plain bits,
// whatever is shorter, so that any set of 10,000 fits 2 KB.
func packSet(b *roaring.Bitmap) string {
	if b.IsEmpty() {
		return ""
	}
	b.RunOptimize()
	packed, err := b.ToBytes()
	if err != nil {
		panic(err) // it is written to memory
	}
	bits := make([]byte, b.Maximum()/8+1)
	for it := b.Iterator(); it.HasNext(); {
		i := it.Next()
		bits[i/8] |= 1 << (i % 8)
	}
	if len(bits) < len(packed) {
		return "b" + base64.RawStdEncoding.EncodeToString(bits)
	}
	return "r" + base64.RawStdEncoding.EncodeToString(packed)
}

func unpackSet(text string) (*roaring.Bitmap, error) {
	b := roaring.New()
	if text == "" {
		return b, nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(text[1:])
	if err != nil {
		return nil, fmt.Errorf("set of runs: %w", err)
	}
	switch text[0] {
	case 'r':
		if err := b.UnmarshalBinary(raw); err != nil {
			return nil, fmt.Errorf("set of runs: %w", err)
		}
	case 'b':
		for i, x := range raw {
			for k := range 8 {
				if x>>k&1 == 1 {
					b.AddInt(i*8 + k)
				}
			}
		}
	default:
		return nil, errors.New("set of runs: of no known kind")
	}
	return b, nil
}

// sweepConflict finds out why a transaction's conditions failed.
func (c *Core) sweepConflict(l *leadership, s *sweep, failed []string) {
	for _, key := range failed {
		switch {
		case key == LeaderKey:
			if c.lead == l {
				c.resolve(l, key)
			}
		case strings.HasPrefix(key, jobPrefix), strings.HasPrefix(key, endPrefix):
			// This step may have been executed before, without an answer; then
			// the progress says so. If not, somebody else has the id.
			if !slices.Contains(failed, sweepAtPrefix+s.id) {
				s.broken = "a job has the id of a run: " + key
				c.log.Error("a job has the id of a run", "sweep", s.id, "key", key)
			}
		}
	}
	c.rereadSweep(s)
}

// rereadSweep reads what is stored of a sweep after a write whose outcome is not
// known. A late one fails: its condition is on the progress as it was.
func (c *Core) rereadSweep(s *sweep) {
	again := func() {
		s.notBefore = c.now + second
		s.flying = false
	}
	c.get(sweepAtPrefix+s.id, func(g Got) {
		if c.sweeps[s.id] != s {
			return
		}
		if g.Err != nil {
			again()
			return
		}
		if g.Stamp != 0 {
			c.apply(Change{Key: sweepAtPrefix + s.id, Value: g.Value, Revision: g.Stamp})
		}
		c.readSweepEnd(s.id, again, func() { s.flying = false })
	})
}

// readSweepEnd reads whether a sweep was cancelled.
func (c *Core) readSweepEnd(id string, failed, then func()) {
	c.get(sweepEndPrefix+id, func(g Got) {
		var e sweepEnd
		switch {
		case g.Err != nil:
			failed()
			return
		case g.Stamp != 0 && json.Unmarshal(g.Value, &e) == nil && e.Outcome == jobstate.Cancelled:
			c.sweepTold(id)
		}
		then()
	})
}
