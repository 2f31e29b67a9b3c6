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
	retainedChanges     = 10_000 // at least, before compaction
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
	slowFactor  float64
	limits      config.StateLimits
	calls       bucket
	writes      bucket
	watches     []*watch
	// transactionLosses are the injected losses that have not taken place yet.
	transactionLosses []*TransactionLoss
	// delayedWriteShare and delayedLeaseShare are the shares of transactions, and of lease
	// requests, that get no response and are executed late.
	delayedWriteShare, delayedLeaseShare float64
	// lostAnswerShare is the share of transactions that are executed at once and of which
	// only the response is lost.
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
	l := env.Params.State.StateLimits
	return &stateService{
		env: env, leases: map[uint64]*lease{}, limits: l, slowFactor: 1,
		calls: bucket{level: l.RPS}, writes: bucket{level: l.WriteRPS},
	}
}

// refuses reports whether requests of a host are answered with status 503.
func (s *stateService) refuses(from string) bool {
	n := s.env.controller(from)
	return s.down || n != nil && n.refused
}

func (s *stateService) call(from string, req any, answer func(int, any)) {
	// One request in 500 takes up to 300 ms longer.
	d := s.env.jitter(s.env.StateDelay, 0.5, 1.5)
	if s.env.rng.IntN(500) == 0 {
		d += s.env.rng.Int64N(300_000)
	}
	s.env.after(int64(float64(d)*s.slowFactor), func() { s.handleRequest(from, req, answer) })
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
	if q, ok := req.(wire.Watch); ok {
		s.watch(&watch{from: from, req: q, answer: answer})
		return
	}
	execute := func() { answer(s.execute(req)) }
	lost, late := s.env.loseAnswer()
	if s.shouldDelay(req) {
		lost, late = true, 2*second+s.env.rng.Int64N(10*second)
		s.env.record(history.Event{Kind: history.RequestDelayed})
	} else if _, ok := req.(wire.Transaction); ok && s.lostAnswerShare > 0 && s.env.rng.Float64() < s.lostAnswerShare {
		lost = true
		s.env.recordOccurrence(history.OccurLostAnswer)
	}
	if loss := s.matchLoss(req); loss != nil {
		if loss.Outcome == LostBefore {
			return
		}
		lost, late = true, loss.Delay
	}
	if lost {
		execute = func() { s.execute(req) }
	}
	if late > 0 {
		s.env.after(late, func() {
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
	m, ok := req.(wire.Transaction)
	if !ok {
		return nil
	}
	for i, l := range s.transactionLosses {
		if slices.ContainsFunc(m.Writes, func(x wire.Write) bool { return strings.HasPrefix(x.Key(), l.Prefix) }) {
			l.Matched++
			if l.Matched > l.Skip {
				s.transactionLosses = slices.Delete(s.transactionLosses, i, i+1)
				return l
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
func (s *stateService) apply(x wire.Write) {
	key := x.Key()
	if old, ok := s.keys.Get(key); ok && old.lease != 0 {
		if l := s.leases[old.lease]; l != nil {
			delete(l.keys, key)
		}
	}
	c := wire.Change{Put: x.Put, Remove: x.Remove, Value: x.Value, Revision: s.revision}
	if x.Remove != "" {
		s.keys.Delete(key)
	} else {
		s.keys.Set(key, storedValue{x.Value, s.revision, x.Lease})
		if x.Lease != 0 {
			s.leases[x.Lease].keys[key] = true
		}
	}
	s.changes = append(s.changes, c)
	if len(s.changes) > 2*retainedChanges {
		s.compactedRevision = s.changes[len(s.changes)-retainedChanges-1].Revision
		s.changes = slices.Clone(s.changes[len(s.changes)-retainedChanges:])
	}
	state := history.KeyPut
	if x.Remove != "" {
		state = history.KeyRemoved
	}
	s.env.record(history.Event{Kind: history.StateChanged, Key: key, Value: string(x.Value), State: state})
}

func (s *stateService) list(q wire.List) wire.Page {
	p := wire.Page{Revision: s.revision, Rows: []wire.Row{}}
	most := min(max(q.Limit, 1), maxPageRows)
	size := 0
	s.keys.Ascend(max(q.Prefix, q.After), func(k string, v storedValue) bool {
		if !strings.HasPrefix(k, q.Prefix) {
			return false
		}
		if q.After != "" && k <= q.After {
			return true
		}
		size += len(k) + len(v.value) + 60
		if len(p.Rows) == most || size > maxPageBytes && len(p.Rows) > 0 {
			p.More = true
			return false
		}
		p.Rows = append(p.Rows, wire.Row{Key: k, Value: v.value, Revision: v.revision, Lease: v.lease})
		return true
	})
	return p
}

// commit executes a transaction.
func (s *stateService) commit(q wire.Transaction) (int, any) {
	if fault := s.invalidReason(q); fault != "" {
		return http.StatusBadRequest, wire.Error{Error: fault}
	}
	if !s.writes.take(s.env.now, s.limits.WriteRPS, 1, float64(len(q.Writes))) {
		return http.StatusTooManyRequests, wire.Error{Error: "too many changes"}
	}
	for _, write := range q.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusBadRequest, wire.Error{Error: "no such lease"}
		}
	}
	var failed []string
	for _, condition := range q.Conditions {
		if v, _ := s.keys.Get(condition.Key); v.revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return http.StatusConflict, wire.TransactionAnswer{Revision: s.revision, Failed: failed}
	}
	if len(q.Writes) > 0 {
		s.revision++
		for _, write := range q.Writes {
			s.apply(write)
		}
		s.wakeWatches()
	}
	return http.StatusOK, wire.TransactionAnswer{Revision: s.revision}
}

// invalidReason returns the reason for which a transaction is invalid, "" if it is valid.
func (s *stateService) invalidReason(q wire.Transaction) string {
	size := 0
	for _, write := range q.Writes {
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
	if len(q.Writes) > s.limits.TxnOps || len(q.Conditions) > 4*s.limits.TxnOps || size > maxTransactionBytes {
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

func (s *stateService) watch(x *watch) {
	s.watches = append(s.watches, x)
	s.answerWatch(x, false)
	s.env.after(min(x.req.WaitMS, maxWatchWaitMS)*1000, func() { s.answerWatch(x, true) })
}

// answerWatch answers a watch if there are changes or its wait time is over. It stays open while
// the service refuses requests of the caller.
func (s *stateService) answerWatch(x *watch, over bool) {
	if x.done {
		return
	}
	if s.refuses(x.from) {
		if over {
			s.env.after(second/2, func() { s.answerWatch(x, true) })
		}
		return
	}
	changes, ok := s.changesSince(x.req.Prefix, x.req.After)
	switch {
	case !ok:
		x.answer(410, wire.Error{Error: "too old"})
	case len(changes) > 0 || over:
		if changes == nil {
			changes = []wire.Change{}
		}
		x.answer(200, wire.WatchAnswer{Revision: s.revision, Changes: changes})
	default:
		return
	}
	x.done = true
}

// wakeWatches answers the watches that have changes.
func (s *stateService) wakeWatches() {
	if s.down {
		return
	}
	for _, x := range s.watches {
		s.answerWatch(x, false)
	}
	s.watches = slices.DeleteFunc(s.watches, func(x *watch) bool { return x.done })
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
