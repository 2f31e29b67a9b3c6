package core

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/core/kv"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// A sweep is stored as its description, in one transaction, and so accepted
// whole or not at all. Its runs are derived from that by whoever leads, in their
// order, a few at a time; how far that has come is stored with each step. One
// key, created once, says how it ended. docs/sweeps.md has the reasons.
const (
	sweepRoot           = Prefix + "sweep"
	sweepPrefix         = sweepRoot + "/"    // ID: the head; ID/N: a part of the description
	sweepPositionPrefix = sweepRoot + "at/"  // ID: how far the runs have come
	sweepEndPrefix      = sweepRoot + "end/" // ID: how it ended
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
		RequestID uint64
		Plan      *SweepPlan
		Stored    string
		// Invalid is set if there is only an id.
		Invalid string
		// Forwarded: a peer has handed the request on, as with the others.
		Forwarded bool
	}
	// ForwardedSweep is a submitted sweep on its way to a peer: what was expanded
	// here is expanded again there, as the runs are much longer than what
	// describes them.
	ForwardedSweep struct{ ID, Stored, Invalid string }
	// QuerySweep asks for a sweep's state, ListSweepRuns for some of its runs.
	QuerySweep struct {
		RequestID uint64
		ID        string
		Forwarded bool
	}
	// ListSweepRuns asks for at most Most runs from number After on.
	ListSweepRuns struct {
		RequestID    uint64
		ID           string
		After, Limit int
		Forwarded    bool
	}
	// CancelSweep asks to withdraw a sweep.
	CancelSweep struct {
		RequestID uint64
		ID        string
		Forwarded bool
	}
	// ExpandSweep asks for the plan of a stored description.
	ExpandSweep struct{ ID, Stored string }
	// SweepExpanded answers it.
	SweepExpanded struct {
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
	RunStatePlanned = "planned" // it is not created yet
	RunStateEnded   = "ended"   // it has ended, and this controller is about to learn how
)

type sweepHead struct {
	Runs      int    `json:"n"`
	Parts     int    `json:"p"`
	Pending   int    `json:"b"`
	Digest    string `json:"d"`
	Submitted int64  `json:"t"`
}

// sweepPosition is how far a sweep has come: runs before Next are created, and of
// these all have ended and are counted but the open ones.
type sweepPosition struct {
	Next   int    `json:"n"`
	Open   string `json:"o,omitempty"`
	Closed bool   `json:"c,omitempty"`
}

// sweepWithdrawn are the counted runs that are not done, in a value of its own, as
// both would not fit the smallest one. It is written with sweepPosition where it changed.
type sweepWithdrawn struct {
	Runs string `json:"r"`
}

const decommissionedRunsSuffix = "/gone"

type sweepEndRecord struct {
	Outcome string `json:"o"`
	At      int64  `json:"t"`
}

// sweep is what a controller knows of one.
type sweep struct {
	id           string
	head         sweepHead
	headRevision uint64 // of the head, 0 until it is known
	parts        map[int]string
	// next, ended and gone are sweepPosition's; the leader's may be ahead of what is
	// stored under the version at.
	next              int
	ended, withdrawn  *roaring.Bitmap
	withdrawnStored   uint64 // how many of gone are stored
	positionRevision  uint64
	closed            bool
	countPendingSince int64 // since when a count waits to be stored, 0 for none
	outcome           string
	// cancelConfirmed: it is known to be cancelled, but perhaps not yet what was stored
	// before; nothing of it is started any more.
	cancelConfirmed bool
	plan            *SweepPlan
	expanding       bool
	stoppedReason   string // why nothing more is created
	writing         bool
	notBefore       int64
	planRequests    []*request // for the plan
}

// Bounds of the work on sweeps.
const (
	sweepGap        = 200_000
	sweepCountDelay = 5 * second // how long a count may wait for a write of its own
	sweepReserve    = 0.4        // of the leader's writes in a second, left to all else
	maxSweepPage    = 200
	maxPlanRequests = 100
)

// sweepManager expands sweeps into jobs and follows how these end.
type sweepManager struct {
	*engine

	cache        *stateCache
	committer    *committer
	dependencies *dependencyResolver
	elector      *elector
	health       *stateHealth
	membership   *membership
	readLeases   *readLeaseManager
	requests     *requestHandler
	tasks        *taskManager

	sweeps          map[string]*sweep
	lastPlan        string
	mayHaveOpenRuns bool
}

func (sw *sweepManager) sweepsEnabled() bool { return sw.membership.activation.Enabled(upgrade.Sweeps) }

// sweep finds a sweep, or makes what is to be filled by the keys that are read.
func (sw *sweepManager) sweep(id string) *sweep {
	s := sw.sweeps[id]
	if s == nil {
		s = &sweep{id: id, parts: map[int]string{}, ended: roaring.New(), withdrawn: roaring.New()}
		sw.sweeps[id] = s
	}
	return s
}

// knownSweep finds an accepted sweep, or nil.
func (sw *sweepManager) knownSweep(id string) *sweep {
	if s := sw.sweeps[id]; s != nil && s.headRevision != 0 {
		return s
	}
	return nil
}

// applySweep takes a key of a sweep over; key is without the prefix of all.
func (sw *sweepManager) applySweep(key string, ch Change, bad func(error)) {
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
	s := sw.sweep(id)
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
			s.headRevision = ch.Revision
		}
	case kind == "sweepat" && part:
		var g sweepWithdrawn
		if !read(&g) {
			return
		}
		b, err := decodeBitmap(g.Runs)
		if err != nil {
			bad(err)
			return
		}
		s.withdrawn.Or(b)
		s.withdrawnStored = max(s.withdrawnStored, b.GetCardinality())
	case kind == "sweepat":
		var at sweepPosition
		if ch.Revision <= s.positionRevision || !read(&at) {
			return
		}
		sw.mergeSweep(s, at, ch.Revision, bad)
	case kind == "sweepend":
		var e sweepEndRecord
		if read(&e) {
			sw.sweepEnded(id, e.Outcome, ch.Revision)
		}
	}
}

// mergeSweep takes stored progress over; all of it only ever grows.
func (sw *sweepManager) mergeSweep(s *sweep, at sweepPosition, stamp uint64, bad func(error)) {
	open, err := decodeBitmap(at.Open)
	if err != nil {
		bad(err)
		return
	}
	b := roaring.New()
	b.AddRange(0, uint64(at.Next))
	b.AndNot(open)
	s.ended.Or(b)
	s.next, s.positionRevision = max(s.next, at.Next), stamp
	if at.Closed {
		sw.closeSweep(s)
	}
}

// closeSweep forgets what only a sweep under way needs.
func (sw *sweepManager) closeSweep(s *sweep) {
	s.closed = true
	s.parts, s.plan = map[int]string{}, nil
}

// sweepEnded notes how a sweep has ended.
func (sw *sweepManager) sweepEnded(id, outcome string, rev uint64) {
	s := sw.sweep(id)
	if outcome == jobstate.Cancelled {
		sw.readLeases.readLeaseGrantor.RecordCancellation(cancelledSweepPrefix+id, rev)
	}
	if s.outcome == "" {
		s.outcome = outcome
		sw.mayHaveOpenRuns = sw.mayHaveOpenRuns || outcome == jobstate.Cancelled
	}
}

// endCancelledRuns ends the runs of cancelled sweeps that are not over, as every
// controller derives for itself: users are told at once, and the leader stores
// the ends as its budget allows.
//
// It is called only when the mirror has all that was stored before some moment:
// a run whose end was stored before its sweep was cancelled is done, and a list,
// a key that was read or another's word would miss that.
func (sw *sweepManager) endCancelledRuns() {
	if !sw.mayHaveOpenRuns {
		return
	}
	sw.mayHaveOpenRuns = false
	for _, id := range sortedKeys(sw.cache.jobs) {
		j := sw.cache.jobs[id]
		if j.Sweep == "" || j.Outcome != "" {
			continue
		}
		if s := sw.sweeps[j.Sweep]; s != nil && s.outcome == jobstate.Cancelled {
			sw.dependencies.deriveEnd(j)
		}
	}
}

// noteSweepCancelled is called when a sweep is known to be cancelled but the mirror may
// lag: its tasks are stopped, and none is started.
func (sw *sweepManager) noteSweepCancelled(id string) {
	s := sw.sweep(id)
	if s.cancelConfirmed || s.outcome != "" {
		return
	}
	s.cancelConfirmed = true
	sw.emit(ReadState{AfterRevision: sw.cache.appliedRevision})
	if !sw.elector.isLeader() {
		return
	}
	for _, j := range sw.cache.jobs {
		if j.Sweep != id || j.Outcome != "" {
			continue
		}
		sw.tasks.stopAllPlaced(j, jobstate.StopSweep)
	}
}

// endIsUnconfirmed says that nothing speaks against starting a job's tasks.
func (sw *sweepManager) endIsUnconfirmed(j *jobstate.Job) bool {
	if j.Sweep == "" {
		return true
	}
	s := sw.sweeps[j.Sweep]
	return s == nil || !s.cancelConfirmed
}

// resetSweeps is called before the stored state is read anew.
func (sw *sweepManager) resetSweeps() {
	for _, id := range sortedKeys(sw.sweeps) {
		for _, a := range sw.sweeps[id].planRequests {
			sw.requests.refuse(a)
		}
	}
	sw.sweeps = map[string]*sweep{}
}

func (sw *sweepManager) onSubmitSweep(m SubmitSweep) {
	a := &request{id: m.RequestID, jobID: m.Plan.ID, kind: requestSweepSubmit, receivedAt: sw.now, sweep: &m, forwarded: m.Forwarded}
	refuse := func(status int, why string) {
		a.refusal = Reply{Status: status, Error: why}
		sw.requests.waitForRead(a)
	}
	switch {
	case !sw.settings.Ops.Sweeps:
		sw.emit(Reply{RequestID: m.RequestID, Status: 404, Error: "sweeps are switched off"})
		return
	case !sw.cache.synced:
		sw.requests.refuse(a)
		return
	case m.Invalid != "":
		refuse(400, m.Invalid)
		return
	case len(sw.cache.machineTypes) == 0:
		sw.emit(Reply{RequestID: m.RequestID, Status: 503, RetryAfter: 2, Error: "machine types are not known yet"})
		return
	case !sw.sweepsEnabled():
		sw.emit(Reply{RequestID: m.RequestID, Status: 503, RetryAfter: 2, Error: "not before all controllers have sweeps switched on"})
		return
	}
	own := make(map[string]bool, len(m.Plan.Specs))
	var awaits []string
	for i, s := range m.Plan.Specs {
		if why := sw.requests.infeasibleReason(s); why != "" {
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
	if most := sw.membership.valueLimit(); m.Plan.Longest > most {
		refuse(400, fmt.Sprintf("a run's description takes %d bytes, and %d can be stored", m.Plan.Longest, most))
		return
	}
	if parts := sw.sweepParts(m.Stored); len(parts) >= sw.membership.limits().TxnOps || len(m.Stored) > maxTxnBytes {
		refuse(400, fmt.Sprintf("the sweep's description takes %d bytes when packed, and %d can be stored", len(m.Stored), min(maxTxnBytes, (sw.membership.limits().TxnOps-1)*(sw.membership.valueLimit()-2))))
		return
	}
	a.spec = &jobstate.Spec{ID: a.jobID, Dependencies: awaits}
	sw.dependencies.checkDependencies(a)
}

// sweepParts cuts a description into values.
func (sw *sweepManager) sweepParts(stored string) []string {
	var parts []string
	for most := sw.membership.valueLimit() - 2; len(stored) > 0; {
		n := min(most, len(stored))
		parts, stored = append(parts, stored[:n]), stored[n:]
	}
	return parts
}

func (sw *sweepManager) requestSweep(a *request) {
	a.receivedAt = sw.now
	if !sw.settings.Ops.Sweeps && sw.knownSweep(a.jobID) == nil {
		sw.emit(Reply{RequestID: a.id, Status: 404, Error: "no such sweep"})
		return
	}
	sw.requests.waitForRead(a)
}

// resumeSweep goes on with a request about a sweep after a view that is younger
// than it.
func (sw *sweepManager) resumeSweep(a *request) {
	s := sw.knownSweep(a.jobID)
	switch {
	case s == nil && a.kind == requestSweepSubmit && a.refusal.Status != 0:
		r := a.refusal
		r.RequestID = a.id
		sw.emit(r)
	case s == nil && a.kind == requestSweepSubmit:
		sw.requests.queueWrite(a)
	case s == nil:
		sw.emit(Reply{RequestID: a.id, Status: 404, Error: "no such sweep"})
	case a.kind == requestSweepSubmit && a.sweep.Invalid == "" && a.sweep.Plan.Digest != s.head.Digest:
		sw.emit(Reply{RequestID: a.id, Status: 409, Error: "id: in use by another sweep"})
	case a.kind == requestSweepRuns:
		sw.sweepRuns(s, a)
	case a.kind == requestSweepCancel && s.outcome == "":
		sw.requests.queueWrite(a)
	case s.outcome == jobstate.Cancelled:
		sw.readLeases.replyCancelled(Reply{RequestID: a.id, Status: 200, Sweep: s.state()}, cancelledSweepPrefix+s.id)
	default:
		sw.emit(Reply{RequestID: a.id, Status: 200, Sweep: s.state()})
	}
}

func (s *sweep) state() *SweepState {
	gone := int(s.withdrawn.GetCardinality())
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
func (sw *sweepManager) createSweep(a *request) {
	parts := sw.sweepParts(a.sweep.Stored)
	key := sweepPrefix + a.jobID
	head := sweepHead{Runs: len(a.sweep.Plan.Specs), Parts: len(parts), Pending: a.sweep.Plan.Pending, Digest: a.sweep.Plan.Digest, Submitted: a.receivedAt + sw.wallOffset}
	writes := []Write{{Key: key, Value: encodeJSON(head)}}
	for i, p := range parts {
		writes = append(writes, Write{Key: key + "/" + strconv.Itoa(i), Value: encodeJSON(p)})
	}
	sw.health.spendWrites(float64(len(writes)))
	sw.commitTransaction([]Cond{kv.RevisionIs(key, 0)}, writes, func(m Committed) {
		switch m.Status {
		case 200:
			sw.emit(Reply{RequestID: a.id, Status: 201, Sweep: &SweepState{ID: a.jobID, State: Queued, Runs: head.Runs}})
		case 409:
			sw.requests.waitForRead(a)
		case 400:
			sw.membership.lowerLimits("a sweep's description was refused")
			sw.requests.refuse(a)
		default:
			sw.requests.retryWrite(a)
		}
	})
}

// cancelSweep creates the one key that ends a sweep.
func (sw *sweepManager) cancelSweep(a *request) {
	sw.health.spendWrites(1)
	key := sweepEndPrefix + a.jobID
	sw.commitTransaction([]Cond{kv.RevisionIs(key, 0)}, []Write{{Key: key, Value: encodeJSON(sweepEndRecord{jobstate.Cancelled, sw.now + sw.wallOffset})}}, func(m Committed) {
		switch m.Status {
		case 200:
			sw.readLeases.readLeaseGrantor.RecordCancellation(cancelledSweepPrefix+a.jobID, m.Revision)
			sw.noteSweepCancelled(a.jobID)
			sw.requests.waitForRead(a) // what was done before is told from a view
		case 409:
			sw.requests.retryCancellation(a)
		default:
			sw.requests.retryWrite(a)
		}
	})
}

// cancelledSweepPrefix marks a sweep among the cancellations that peers tell each other; no
// job's id has a slash.
const cancelledSweepPrefix = "sweep/"

// loadSweepPlan makes sure that a sweep's plan is there or comes.
func (sw *sweepManager) loadSweepPlan(s *sweep) {
	if s.plan != nil || s.expanding || s.stoppedReason != "" || sw.now < s.notBefore {
		return
	}
	for i := range s.head.Parts {
		if _, ok := s.parts[i]; ok {
			continue
		}
		// It was closed, and its parts are not kept in memory.
		s.expanding = true
		sw.readKey(sweepPrefix+s.id+"/"+strconv.Itoa(i), func(g KeyRead) {
			s.expanding = false
			var text string
			if g.Err != nil || g.Revision == 0 || json.Unmarshal(g.Value, &text) != nil {
				sw.sweepPlanFailed(s, "its description can't be read now")
				return
			}
			s.parts[i] = text
			sw.loadSweepPlan(s)
		})
		return
	}
	var b strings.Builder
	for i := range s.head.Parts {
		b.WriteString(s.parts[i])
	}
	s.expanding = true
	sw.emit(ExpandSweep{ID: s.id, Stored: b.String()})
}

// sweepPlanFailed refuses what waits for a plan.
func (sw *sweepManager) sweepPlanFailed(s *sweep, why string) {
	s.notBefore = sw.now + second
	for _, a := range s.planRequests {
		sw.emit(Reply{RequestID: a.id, Status: 503, RetryAfter: 1, Error: why})
	}
	s.planRequests = nil
}

func (sw *sweepManager) onExpanded(m SweepExpanded) {
	s := sw.knownSweep(m.ID)
	if s == nil {
		return
	}
	s.expanding = false
	if m.Err == nil && m.Plan.Digest != s.head.Digest {
		m.Err = errors.New("another version of the program expanded it to other runs")
	}
	if m.Err != nil {
		s.stoppedReason = m.Err.Error()
		sw.log.Error("stored sweep can't be expanded", "sweep", s.id, "err", m.Err)
		sw.sweepPlanFailed(s, s.stoppedReason)
		return
	}
	s.plan = m.Plan
	asks := s.planRequests
	s.planRequests = nil
	for _, a := range asks {
		sw.sweepRuns(s, a)
	}
	if s.closed {
		// Only the one that was last asked for is kept.
		if o := sw.sweeps[sw.lastPlan]; o != nil && o != s && o.closed {
			o.plan, o.parts = nil, map[int]string{}
		}
		sw.lastPlan = s.id
	}
}

// sweepRuns answers with a page of runs.
func (sw *sweepManager) sweepRuns(s *sweep, a *request) {
	if s.plan == nil {
		switch {
		case s.stoppedReason != "":
			sw.emit(Reply{RequestID: a.id, Status: 503, RetryAfter: 30, Error: s.stoppedReason})
		case len(s.planRequests) >= maxPlanRequests:
			sw.emit(Reply{RequestID: a.id, Status: 503, RetryAfter: 2, Error: "too many ask for runs"})
		default:
			s.planRequests = append(s.planRequests, a)
			sw.loadSweepPlan(s)
		}
		return
	}
	page := &SweepPage{}
	for i := a.after; i < len(s.plan.Specs) && len(page.Runs) < min(max(a.limit, 1), maxSweepPage); i++ {
		page.Runs = append(page.Runs, SweepRun{Number: i, ID: s.plan.Specs[i].ID, State: sw.runState(s, i), Values: s.plan.Values[i], Sets: s.plan.Sets[i]})
	}
	var gone []string
	for _, r := range page.Runs {
		if r.State == jobstate.Cancelled {
			gone = append(gone, r.ID)
		}
	}
	if s.outcome == jobstate.Cancelled && len(gone) > 0 {
		gone = []string{cancelledSweepPrefix + s.id}
	}
	if n := a.after + len(page.Runs); n < len(s.plan.Specs) {
		page.Next = n
	}
	r := Reply{RequestID: a.id, Status: 200, Runs: page}
	if len(gone) > 0 {
		sw.readLeases.replyCancelled(r, gone...)
		return
	}
	sw.emit(r)
}

func (sw *sweepManager) runState(s *sweep, i int) string {
	id := s.plan.Specs[i].ID
	j := sw.cache.jobs[id]
	switch e, ok := sw.dependencies.knownEnd(id); {
	case ok:
		return e.Outcome
	case s.withdrawn.ContainsInt(i):
		return jobstate.Cancelled
	case s.ended.ContainsInt(i):
		return jobstate.Done
	case j != nil:
		return stateOf(j).State
	case i >= s.next && s.outcome == jobstate.Cancelled:
		return jobstate.Cancelled
	case i >= s.next:
		return RunStatePlanned
	}
	return RunStateEnded
}

// sweepTick goes on with the sweeps under way, when this controller leads.
func (sw *sweepManager) sweepTick() {
	l := sw.elector.leadership
	if !sw.sweepsEnabled() || len(sw.sweeps) == 0 || sw.now-l.sweepsAdvancedAt < sweepGap || !sw.elector.mayStartTasks() {
		return
	}
	l.sweepsAdvancedAt = sw.now
	var ready []*sweep
	for _, s := range sw.sweeps {
		if s.headRevision != 0 && !s.closed && !s.writing && s.stoppedReason == "" && sw.now >= s.notBefore {
			ready = append(ready, s)
		}
	}
	// The first to be accepted goes first.
	slices.SortFunc(ready, func(a, b *sweep) int {
		return cmp.Or(cmp.Compare(a.headRevision, b.headRevision), cmp.Compare(a.id, b.id))
	})
	for _, s := range ready {
		if s.plan == nil {
			sw.loadSweepPlan(s)
			continue
		}
		sw.advanceSweep(s, sw.countRuns(s))
	}
}

// countRuns counts the runs that have ended, and returns how many have not.
func (sw *sweepManager) countRuns(s *sweep) (open int) {
	reading := 0
	for it := s.open().Iterator(); it.HasNext(); {
		i := int(it.Next())
		id := s.plan.Specs[i].ID
		j := sw.cache.jobs[id]
		e, ok := sw.dependencies.knownEnd(id)
		switch {
		case ok && (j == nil || !j.CancelledByDependency):
			s.ended.AddInt(i)
			if e.Outcome != jobstate.Done {
				s.withdrawn.AddInt(i)
			}
			if s.countPendingSince == 0 {
				s.countPendingSince = sw.now
			}
			continue
		case j == nil && !ok && reading < maxEndReads && sw.dependencies.endReads[id] <= sw.now:
			// It ended before this controller began to lead.
			reading++
			sw.dependencies.endReads[id] = sw.now + endReadRetry
			sw.readKey(endPrefix+id, func(g KeyRead) {
				var e jobstate.End
				if g.Err == nil && g.Revision != 0 && json.Unmarshal(g.Value, &e) == nil {
					delete(sw.dependencies.endReads, id)
					sw.cache.noteEnd(id, e, g.Revision)
				}
			})
		}
		open++
	}
	return open
}

// advanceSweep makes the next transaction of a sweep, if there is one to make and
// writes can be spared: users' requests and starts go first.
func (sw *sweepManager) advanceSweep(s *sweep, open int) {
	l := sw.elector.leadership
	sw.health.refillWrites()
	spare := int(sw.health.writesLeft() - sw.health.writeRate()*sweepReserve)
	if len(sw.requests.queues.queuedWrites) > 0 || spare < 2 {
		return
	}
	when := []Cond{kv.RevisionIs(LeaderKey, l.keyRevision), kv.RevisionIs(sweepPositionPrefix+s.id, s.positionRevision)}
	var writes []Write
	at := sweepPosition{Next: s.next}
	all := len(s.plan.Specs)
	switch {
	case s.outcome != "" && open == 0:
		at.Closed = true
	case s.outcome != "" || s.cancelConfirmed:
	case s.next == all && open == 0:
		when = append(when, kv.RevisionIs(sweepEndPrefix+s.id, 0))
		writes = append(writes, Write{Key: sweepEndPrefix + s.id, Value: encodeJSON(sweepEndRecord{jobstate.Done, sw.now + sw.wallOffset})})
		at.Closed = true
	default:
		when = append(when, kv.RevisionIs(sweepEndPrefix+s.id, 0))
		size := 0
		for at.Next < all && at.Next-s.next < min(s.head.Pending-open, spare-1, sw.membership.limits().TxnOps-2) {
			spec := s.plan.Specs[at.Next]
			v := jobstate.Record{Spec: spec, SubmittedWall: sw.now + sw.wallOffset}.Encode(0)
			if size += len(v) + 200; size > maxTxnBytes {
				break
			}
			when = append(when, kv.RevisionIs(jobPrefix+spec.ID, 0), kv.RevisionIs(endPrefix+spec.ID, 0))
			writes = append(writes, Write{Key: jobPrefix + spec.ID, Value: v})
			at.Next++
		}
	}
	if len(writes) == 0 && !at.Closed && (s.countPendingSince == 0 || sw.now-s.countPendingSince < sweepCountDelay) {
		return
	}
	left := roaring.New()
	left.AddRange(uint64(s.next), uint64(at.Next))
	left.Or(s.open())
	at.Open = encodeBitmap(left)
	writes = append(writes, Write{Key: sweepPositionPrefix + s.id, Value: encodeJSON(at)})
	gone := s.withdrawn.GetCardinality()
	if gone != s.withdrawnStored {
		writes = append(writes, Write{Key: sweepPositionPrefix + s.id + decommissionedRunsSuffix, Value: encodeJSON(sweepWithdrawn{encodeBitmap(s.withdrawn)})})
	}
	sw.health.spendWrites(float64(len(writes)))
	s.writing = true
	counted := s.countPendingSince
	sw.commitTransaction(when, writes, func(m Committed) {
		if sw.sweeps[s.id] != s {
			return // the state was read anew meanwhile
		}
		switch m.Status {
		case 200:
			s.writing = false
			s.next, s.positionRevision, s.withdrawnStored = at.Next, max(s.positionRevision, m.Revision), gone
			if s.countPendingSince == counted {
				s.countPendingSince = 0
			}
			if at.Closed {
				sw.sweepEnded(s.id, jobstate.Done, 0) // unless it was cancelled
				sw.closeSweep(s)
			}
		case 409:
			sw.sweepConflict(l, s, m.Failed)
		default:
			sw.rereadSweep(s)
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

// encodeBitmap writes a set of runs: as the bitmap library does, or as plain bits,
// whatever is shorter, so that any set of 10,000 fits 2 KB.
func encodeBitmap(b *roaring.Bitmap) string {
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

func decodeBitmap(text string) (*roaring.Bitmap, error) {
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
func (sw *sweepManager) sweepConflict(l *leadership, s *sweep, failed []string) {
	for _, key := range failed {
		switch {
		case key == LeaderKey:
			if sw.elector.leadership == l {
				sw.committer.resolveConflict(l, key)
			}
		case strings.HasPrefix(key, jobPrefix), strings.HasPrefix(key, endPrefix):
			// This step may have been executed before, without an answer; then
			// the progress says so. If not, somebody else has the id.
			if !slices.Contains(failed, sweepPositionPrefix+s.id) {
				s.stoppedReason = "a job has the id of a run: " + key
				sw.log.Error("a job has the id of a run", "sweep", s.id, "key", key)
			}
		}
	}
	sw.rereadSweep(s)
}

// rereadSweep reads what is stored of a sweep after a write whose outcome is not
// known. A late one fails: its condition is on the progress as it was.
func (sw *sweepManager) rereadSweep(s *sweep) {
	again := func() {
		s.notBefore = sw.now + second
		s.writing = false
	}
	sw.readKey(sweepPositionPrefix+s.id, func(g KeyRead) {
		if sw.sweeps[s.id] != s {
			return
		}
		if g.Err != nil {
			again()
			return
		}
		if g.Revision != 0 {
			sw.cache.apply(Change{Key: sweepPositionPrefix + s.id, Value: g.Value, Revision: g.Revision})
		}
		sw.readSweepEnd(s.id, again, func() { s.writing = false })
	})
}

// readSweepEnd reads whether a sweep was cancelled.
func (sw *sweepManager) readSweepEnd(id string, failed, then func()) {
	sw.readKey(sweepEndPrefix+id, func(g KeyRead) {
		var e sweepEndRecord
		switch {
		case g.Err != nil:
			failed()
			return
		case g.Revision != 0 && json.Unmarshal(g.Value, &e) == nil && e.Outcome == jobstate.Cancelled:
			sw.noteSweepCancelled(id)
		}
		then()
	})
}
