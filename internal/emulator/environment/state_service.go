package environment

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The limits of the state service.
const (
	maxPageRows         = 1000
	maxPageBytes        = 512 << 10
	retainedChanges     = 10_000 // changes that compaction keeps
	maxTransactionBytes = 64 << 10
	maxKeyBytes         = 200
	maxLeaseDelay       = 100_000 // µs from the end of a lease to its removal
	maxWatchWaitMS      = 60_000  // ms
)

// stateService is a revisioned key-value store with transactions, leases and watches.
type stateService struct {
	env      *Environment
	keys     btree.Map[string, storedValue]
	changes  []wire.Change
	revision uint64
	// compactedRevision is the newest revision that has been compacted.
	compactedRevision uint64
	leases            map[uint64]*lease
	lastLeaseID       uint64
	down              bool
	// coldRestart is set if all earlier changes are compacted when the outage ends.
	coldRestart bool
	slowFactor  float64 // multiplies the service time of requests
	limits      config.StateLimits
	calls       bucket
	writes      bucket
	watches     []*watch
	// transactionLosses are the injected losses that have not taken place yet.
	transactionLosses []*TransactionLoss
	// delayedWriteShare and delayedLeaseShare are the shares of transactions, and of lease
	// requests, that get no response and are executed late.
	delayedWriteShare, delayedLeaseShare float64
	// lostAnswerShare is the share of transactions that are executed at once but whose
	// response is lost.
	lostAnswerShare float64
}

type storedValue struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type lease struct {
	id, expiresAt int64
	duration      int64
	keys          map[string]bool
}

type watch struct {
	from   string
	req    wire.Watch
	answer func(int, any)
	done   bool
}

// LossOutcome says what happens to a transaction that gets no response.
type LossOutcome string

// The outcomes, as scenarios name them.
const (
	LostBefore LossOutcome = "before" // not executed
	LostAfter  LossOutcome = "after"  // executed, response lost
	LostLate   LossOutcome = "late"   // executed after a delay, response lost
)

// TransactionLoss is the loss of one transaction: the first that writes a key with the prefix
// Prefix, after Skip such transactions.
type TransactionLoss struct {
	Prefix  string
	Skip    int
	Outcome LossOutcome
	Delay   int64 // for LostLate, in microseconds
	// Matched counts the transactions so far that write such a key.
	Matched int
}

func newStateService(env *Environment) *stateService {
	limits := env.Params.State.StateLimits
	return &stateService{
		env: env, leases: map[uint64]*lease{}, limits: limits, slowFactor: 1,
		calls: bucket{level: limits.RPS}, writes: bucket{level: limits.WriteRPS},
	}
}

// refuses reports whether requests of a host are answered with status 503.
func (s *stateService) refuses(from string) bool {
	caller := s.env.controller(from)
	return s.down || caller != nil && caller.refused
}

func (s *stateService) call(from string, req any, answer func(int, any)) {
	// One request in 500 takes up to 300 ms longer.
	delay := s.env.jitter(s.env.StateDelay, 0.5, 1.5)
	if s.env.rng.IntN(500) == 0 {
		delay += s.env.rng.Int64N(300_000)
	}
	s.env.after(int64(float64(delay)*s.slowFactor), func() { s.handleRequest(from, req, answer) })
}

// handleRequest handles a request after the service time, with rate limits and injected losses.
func (s *stateService) handleRequest(from string, req any, answer func(int, any)) {
	if s.refuses(from) {
		answer(503, wire.Error{Error: "trouble"})
		return
	}
	if !s.calls.take(s.env.now, s.limits.RPS, 1, 1) {
		answer(429, wire.Error{Error: "too many requests"})
		return
	}
	if request, ok := req.(wire.Watch); ok {
		s.watch(&watch{from: from, req: request, answer: answer})
		return
	}
	execute := func() { answer(s.execute(req)) }
	lost, delay := s.env.loseAnswer()
	if s.shouldDelay(req) {
		lost, delay = true, 2*second+s.env.rng.Int64N(10*second)
		s.env.record(history.Event{Kind: history.RequestDelayed})
	} else if _, ok := req.(wire.Transaction); ok && s.lostAnswerShare > 0 && s.env.rng.Float64() < s.lostAnswerShare {
		lost = true
		s.env.recordOccurrence(history.OccurLostAnswer)
	}
	if loss := s.matchLoss(req); loss != nil {
		if loss.Outcome == LostBefore {
			return
		}
		lost, delay = true, loss.Delay
	}
	if lost {
		execute = func() { s.execute(req) }
	}
	if delay > 0 {
		s.env.after(delay, func() {
			if !s.down {
				execute()
			}
		})
		return
	}
	execute()
}

// shouldDelay decides whether a request is executed late.
func (s *stateService) shouldDelay(req any) bool {
	share := 0.0
	switch req.(type) {
	case wire.Transaction:
		share = s.delayedWriteShare
	case wire.NewLease, wire.RenewLease, wire.RevokeLease:
		share = s.delayedLeaseShare
	}
	return share > 0 && s.env.rng.Float64() < share
}

// matchLoss returns the loss that applies to a request and removes it from the pending losses,
// or returns nil if there is none.
func (s *stateService) matchLoss(req any) *TransactionLoss {
	transaction, ok := req.(wire.Transaction)
	if !ok {
		return nil
	}
	for i, loss := range s.transactionLosses {
		if slices.ContainsFunc(transaction.Writes, func(write wire.Write) bool { return strings.HasPrefix(write.Key(), loss.Prefix) }) {
			loss.Matched++
			if loss.Matched > loss.Skip {
				s.transactionLosses = slices.Delete(s.transactionLosses, i, i+1)
				return loss
			}
		}
	}
	return nil
}

func (s *stateService) execute(req any) (int, any) {
	switch q := req.(type) {
	case wire.Get:
		v, ok := s.keys.Get(q.Key)
		if !ok {
			return 404, wire.TransactionAnswer{Revision: s.revision}
		}
		return 200, wire.Row{Key: q.Key, Value: v.value, Revision: v.revision, Lease: v.lease}
	case wire.List:
		return 200, s.list(q)
	case wire.Transaction:
		return s.commit(q)
	case wire.NewLease:
		if q.DurationMS < 100 || q.DurationMS > 600_000 {
			return 400, wire.Error{Error: "life_ms: from 100 to 600000"}
		}
		s.lastLeaseID++
		l := &lease{id: int64(s.lastLeaseID), duration: q.DurationMS * 1000, keys: map[string]bool{}}
		s.leases[s.lastLeaseID] = l
		s.renewLease(l)
		return 200, wire.Lease{Lease: s.lastLeaseID}
	case wire.RenewLease:
		l := s.leases[q.Lease]
		if l == nil {
			return 404, wire.Error{Error: "no such lease"}
		}
		s.renewLease(l)
		return 200, wire.Lease(q)
	case wire.RevokeLease:
		if s.leases[q.Lease] == nil {
			return 404, wire.Error{Error: "no such lease"}
		}
		s.endLease(q.Lease)
		return 200, struct{}{}
	}
	return 400, wire.Error{Error: "unknown request"}
}

// renewLease extends a lease to its full duration from now. The service removes it up to
// maxLeaseDelay after its end.
func (s *stateService) renewLease(l *lease) {
	l.expiresAt = s.env.now + l.duration + s.env.rng.Int64N(maxLeaseDelay)
	until := l.expiresAt
	s.env.timers.Add(until, func() {
		if l.expiresAt == until && !s.down {
			s.endLease(uint64(l.id))
		}
	})
}

// endLease removes a lease and the keys attached to it.
func (s *stateService) endLease(id uint64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	if len(keys) > 0 {
		s.revision++
	}
	for _, k := range keys {
		s.apply(wire.Write{Remove: k})
	}
	s.wakeWatches()
}

// apply executes a write at the current revision. It compacts the changes down to the newest
// retainedChanges once there are more than twice as many.
func (s *stateService) apply(write wire.Write) {
	key := write.Key()
	if old, ok := s.keys.Get(key); ok && old.lease != 0 {
		if l := s.leases[old.lease]; l != nil {
			delete(l.keys, key)
		}
	}
	change := wire.Change{Put: write.Put, Remove: write.Remove, Value: write.Value, Revision: s.revision}
	if write.Remove != "" {
		s.keys.Delete(key)
	} else {
		s.keys.Set(key, storedValue{write.Value, s.revision, write.Lease})
		if write.Lease != 0 {
			s.leases[write.Lease].keys[key] = true
		}
	}
	s.changes = append(s.changes, change)
	if len(s.changes) > 2*retainedChanges {
		s.compactedRevision = s.changes[len(s.changes)-retainedChanges-1].Revision
		s.changes = slices.Clone(s.changes[len(s.changes)-retainedChanges:])
	}
	state := history.KeyPut
	if write.Remove != "" {
		state = history.KeyRemoved
	}
	s.env.record(history.Event{Kind: history.StateChanged, Key: key, Value: string(write.Value), State: state})
}

func (s *stateService) list(request wire.List) wire.Page {
	page := wire.Page{Revision: s.revision, Rows: []wire.Row{}}
	limit := min(max(request.Limit, 1), maxPageRows)
	size := 0
	s.keys.Ascend(max(request.Prefix, request.After), func(k string, v storedValue) bool {
		if !strings.HasPrefix(k, request.Prefix) {
			return false
		}
		if request.After != "" && k <= request.After {
			return true
		}
		size += len(k) + len(v.value) + 60
		if len(page.Rows) == limit || size > maxPageBytes && len(page.Rows) > 0 {
			page.More = true
			return false
		}
		page.Rows = append(page.Rows, wire.Row{Key: k, Value: v.value, Revision: v.revision, Lease: v.lease})
		return true
	})
	return page
}

// commit executes a transaction.
func (s *stateService) commit(transaction wire.Transaction) (int, any) {
	if reason := s.invalidReason(transaction); reason != "" {
		return http.StatusBadRequest, wire.Error{Error: reason}
	}
	if !s.writes.take(s.env.now, s.limits.WriteRPS, 1, float64(len(transaction.Writes))) {
		return http.StatusTooManyRequests, wire.Error{Error: "too many changes"}
	}
	for _, write := range transaction.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusBadRequest, wire.Error{Error: "no such lease"}
		}
	}
	var failed []string
	for _, condition := range transaction.Conditions {
		if v, _ := s.keys.Get(condition.Key); v.revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return http.StatusConflict, wire.TransactionAnswer{Revision: s.revision, Failed: inAnyOrder(s.env, failed)}
	}
	if len(transaction.Writes) > 0 {
		s.revision++
		for _, write := range transaction.Writes {
			s.apply(write)
		}
		s.wakeWatches()
	}
	return http.StatusOK, wire.TransactionAnswer{Revision: s.revision}
}

// invalidReason returns the reason for which a transaction is invalid, "" if it is valid.
func (s *stateService) invalidReason(transaction wire.Transaction) string {
	size := 0
	for _, write := range transaction.Writes {
		size += len(write.Key()) + len(write.Value)
		switch {
		case (write.Put == "") == (write.Remove == "") || len(write.Key()) > maxKeyBytes || strings.Contains(write.Key(), " "):
			return "put or remove: one key of 1 to 200 bytes without spaces"
		case write.Put != "" && !json.Valid(write.Value):
			return "data: no JSON"
		case float64(len(write.Value)) > s.limits.ValueKB*1024:
			return "data: value too large"
		}
	}
	if len(transaction.Writes) > s.limits.TxnOps || len(transaction.Conditions) > 4*s.limits.TxnOps || size > maxTransactionBytes {
		return "transaction too large"
	}
	return ""
}

// changesSince returns the changes of keys with a prefix after a revision; ok is false if some
// of them have been compacted.
func (s *stateService) changesSince(prefix string, after uint64) (changes []wire.Change, ok bool) {
	if after < s.compactedRevision {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(s.changes, after+1, func(c wire.Change, revision uint64) int {
		return int(int64(c.Revision) - int64(revision))
	})
	for _, c := range s.changes[i:] {
		if strings.HasPrefix(c.Key(), prefix) {
			changes = append(changes, c)
		}
	}
	return changes, true
}

func (s *stateService) watch(w *watch) {
	s.watches = append(s.watches, w)
	s.answerWatch(w, false)
	s.env.after(min(w.req.WaitMS, maxWatchWaitMS)*1000, func() { s.answerWatch(w, true) })
}

// answerWatch answers a watch if there are changes, if some of them have been compacted or if the
// wait time is over. The watch stays open while the service refuses requests of the caller.
func (s *stateService) answerWatch(w *watch, timedOut bool) {
	if w.done {
		return
	}
	if s.refuses(w.from) {
		if timedOut {
			s.env.after(second/2, func() { s.answerWatch(w, true) })
		}
		return
	}
	changes, ok := s.changesSince(w.req.Prefix, w.req.After)
	switch {
	case !ok:
		w.answer(410, wire.Error{Error: "too old"})
	case len(changes) > 0 || timedOut:
		if changes == nil {
			changes = []wire.Change{}
		}
		w.answer(200, wire.WatchAnswer{Revision: s.revision, Changes: inAnyOrder(s.env, changes)})
	default:
		return
	}
	w.done = true
}

// wakeWatches answers the watches that have changes.
func (s *stateService) wakeWatches() {
	if s.down {
		return
	}
	for _, w := range s.watches {
		s.answerWatch(w, false)
	}
	s.watches = slices.DeleteFunc(s.watches, func(w *watch) bool { return w.done })
}

// recover ends an outage. Every lease is renewed for its full duration.
func (s *stateService) recover() {
	s.down = false
	if s.coldRestart {
		s.changes, s.compactedRevision, s.coldRestart = nil, s.revision, false
	}
	ids := make([]uint64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.renewLease(s.leases[id])
	}
	s.wakeWatches()
}
