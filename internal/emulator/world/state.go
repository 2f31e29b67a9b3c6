package world

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// What a response of the state service holds at most, how many changes it
// retains, and how late a lease may end.
const (
	pageRows    = 1000
	pageBytes   = 512 << 10
	retained    = 10_000
	txnBytes    = 64 << 10
	leaseLate   = 100_000
	longestWait = 60_000 // ms
)

// state is the state service.
type state struct {
	w      *World
	keys   btree.Map[string, stored]
	log    []wire.Change
	ledger uint64
	// forgot is the newest change that it has forgotten.
	forgot uint64
	leases map[uint64]*lease
	last   uint64
	down   bool
	// cold: it comes back without any change that was before.
	cold    bool
	slow    float64
	limits  config.StateLimits
	calls   bucket
	writes  bucket
	waiting []*watch
	// losses are the transactions whose fate is set.
	losses []*Lose
	// lateWrites and lateLeases are the shares of transactions, and of what is
	// done with leases, that get no answer and are executed late.
	lateWrites, lateLeases float64
	// lostAnswers is the share of those that are executed at once, and only their
	// answers are lost.
	lostAnswers float64
}

type stored struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type lease struct {
	id, until int64
	life      int64
	keys      map[string]bool
}

type watch struct {
	from   string
	req    wire.Watch
	answer func(int, any)
	done   bool
}

// Lose is what happens to the first transaction from Skip on that writes a key
// with a prefix: "before" it is executed it is lost, "after" it only its answer
// is, and "late" it is executed after Late.
type Lose struct {
	Prefix string
	Skip   int
	How    string
	Late   int64
	// Done counts those that it has met.
	Done int
}

func newState(w *World) *state {
	l := w.Params.State.StateLimits
	return &state{w: w, leases: map[uint64]*lease{}, limits: l, slow: 1,
		calls: bucket{level: l.RPS}, writes: bucket{level: l.WriteRPS}}
}

// refuses says whether a caller gets 503.
func (s *state) refuses(from string) bool {
	n := s.w.node(from)
	return s.down || n != nil && n.refused
}

func (s *state) call(from string, req any, answer func(int, any)) {
	// Mostly a few milliseconds, now and then a few hundred.
	d := s.w.spread(s.w.StateDelay, 0.5, 1.5)
	if s.w.rng.IntN(500) == 0 {
		d += s.w.rng.Int64N(300_000)
	}
	s.w.after(int64(float64(d)*s.slow), func() { s.arrived(from, req, answer) })
}

func (s *state) arrived(from string, req any, answer func(int, any)) {
	if s.refuses(from) {
		answer(503, wire.Error{Error: "trouble"})
		return
	}
	if !s.calls.take(s.w.now, s.limits.RPS, 1, 1) {
		answer(429, wire.Error{Error: "too many requests"})
		return
	}
	if q, ok := req.(wire.Watch); ok {
		s.watch(&watch{from: from, req: q, answer: answer})
		return
	}
	execute := func() { answer(s.execute(req)) }
	lost, late := s.w.lost()
	if s.tarries(req) {
		lost, late = true, 2*second+s.w.rng.Int64N(10*second)
		s.w.record(history.Event{Kind: history.Late})
	} else if _, ok := req.(wire.Multi); ok && s.lostAnswers > 0 && s.w.rng.Float64() < s.lostAnswers {
		lost = true
		s.w.met(history.MetLost)
	}
	if how := s.fate(req); how != nil {
		if how.How == "before" {
			return
		}
		lost, late = true, how.Late
	}
	if lost {
		execute = func() { s.execute(req) }
	}
	if late > 0 {
		s.w.after(late, func() {
			if !s.down {
				execute()
			}
		})
		return
	}
	execute()
}

// tarries says whether a request is to be executed late.
func (s *state) tarries(req any) bool {
	share := 0.0
	switch req.(type) {
	case wire.Multi:
		share = s.lateWrites
	case wire.NewLease, wire.Touch, wire.Drop:
		share = s.lateLeases
	}
	return share > 0 && s.w.rng.Float64() < share
}

// fate is what a Lose has in store for a transaction.
func (s *state) fate(req any) *Lose {
	m, ok := req.(wire.Multi)
	if !ok {
		return nil
	}
	for i, l := range s.losses {
		if slices.ContainsFunc(m.Writes, func(x wire.Write) bool { return strings.HasPrefix(x.Key(), l.Prefix) }) {
			l.Done++
			if l.Done > l.Skip {
				s.losses = slices.Delete(s.losses, i, i+1)
				return l
			}
		}
	}
	return nil
}

func (s *state) execute(req any) (int, any) {
	switch q := req.(type) {
	case wire.Get:
		v, ok := s.keys.Get(q.Key)
		if !ok {
			return 404, wire.MultiAnswer{Ledger: s.ledger}
		}
		return 200, wire.Row{Key: q.Key, Value: v.value, Stamp: v.stamp, Lease: v.lease}
	case wire.List:
		return 200, s.list(q)
	case wire.Multi:
		return s.multi(q)
	case wire.NewLease:
		if q.LifeMS < 100 || q.LifeMS > 600_000 {
			return 400, wire.Error{Error: "life_ms: from 100 to 600000"}
		}
		s.last++
		l := &lease{id: int64(s.last), life: q.LifeMS * 1000, keys: map[string]bool{}}
		s.leases[s.last] = l
		s.renew(l)
		return 200, wire.Lease{Lease: s.last}
	case wire.Touch:
		l := s.leases[q.Lease]
		if l == nil {
			return 404, wire.Error{Error: "no such lease"}
		}
		s.renew(l)
		return 200, wire.Lease(q)
	case wire.Drop:
		if s.leases[q.Lease] == nil {
			return 404, wire.Error{Error: "no such lease"}
		}
		s.end(q.Lease)
		return 200, struct{}{}
	}
	return 400, wire.Error{Error: "unknown request"}
}

// renew gives a lease its full time, and ends it up to leaseLate late.
func (s *state) renew(l *lease) {
	l.until = s.w.now + l.life + s.w.rng.Int64N(leaseLate)
	until := l.until
	s.w.timers.Add(until, func() {
		if l.until == until && !s.down {
			s.end(uint64(l.id))
		}
	})
}

// end removes a lease and the keys attached to it.
func (s *state) end(id uint64) {
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
		s.ledger++
	}
	for _, k := range keys {
		s.put(wire.Write{Remove: k})
	}
	s.wake()
}

// put carries one change out, at the present revision.
func (s *state) put(x wire.Write) {
	key := x.Key()
	if old, ok := s.keys.Get(key); ok && old.lease != 0 {
		if l := s.leases[old.lease]; l != nil {
			delete(l.keys, key)
		}
	}
	c := wire.Change{Put: x.Put, Remove: x.Remove, Value: x.Value, Stamp: s.ledger}
	if x.Remove != "" {
		s.keys.Delete(key)
	} else {
		s.keys.Set(key, stored{x.Value, s.ledger, x.Lease})
		if x.Lease != 0 {
			s.leases[x.Lease].keys[key] = true
		}
	}
	s.log = append(s.log, c)
	if len(s.log) > 2*retained {
		s.forgot = s.log[len(s.log)-retained-1].Stamp
		s.log = slices.Clone(s.log[len(s.log)-retained:])
	}
	state := "put"
	if x.Remove != "" {
		state = "removed"
	}
	s.w.record(history.Event{Kind: history.Stored, Key: key, Value: string(x.Value), State: state})
}

func (s *state) list(q wire.List) wire.Page {
	p := wire.Page{Ledger: s.ledger, Rows: []wire.Row{}}
	most := min(max(q.Most, 1), pageRows)
	size := 0
	s.keys.Ascend(max(q.Prefix, q.After), func(k string, v stored) bool {
		if !strings.HasPrefix(k, q.Prefix) {
			return false
		}
		if q.After != "" && k <= q.After {
			return true
		}
		size += len(k) + len(v.value) + 60
		if len(p.Rows) == most || size > pageBytes && len(p.Rows) > 0 {
			p.More = true
			return false
		}
		p.Rows = append(p.Rows, wire.Row{Key: k, Value: v.value, Stamp: v.stamp, Lease: v.lease})
		return true
	})
	return p
}

func (s *state) multi(q wire.Multi) (int, any) {
	l := &s.limits
	size := 0
	for _, x := range q.Writes {
		size += len(x.Key()) + len(x.Value)
		bad := ""
		switch {
		case (x.Put == "") == (x.Remove == "") || len(x.Key()) > 200 || strings.Contains(x.Key(), " "):
			bad = "put or remove: one key of 1 to 200 bytes without spaces"
		case x.Put != "" && !json.Valid(x.Value):
			bad = "data: no JSON"
		case float64(len(x.Value)) > l.ValueKB*1024:
			bad = "data: value too large"
		}
		if bad != "" {
			return 400, wire.Error{Error: bad}
		}
	}
	if len(q.Writes) > l.TxnOps || len(q.When) > 4*l.TxnOps || size > txnBytes {
		return 400, wire.Error{Error: "transaction too large"}
	}
	if !s.writes.take(s.w.now, l.WriteRPS, 1, float64(len(q.Writes))) {
		return 429, wire.Error{Error: "too many changes"}
	}
	for _, x := range q.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			return 400, wire.Error{Error: "no such lease"}
		}
	}
	var failed []string
	for _, c := range q.When {
		if v, _ := s.keys.Get(c.Key); v.stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, wire.MultiAnswer{Ledger: s.ledger, Failed: failed}
	}
	if len(q.Writes) > 0 {
		s.ledger++
		for _, x := range q.Writes {
			s.put(x)
		}
		s.wake()
	}
	return 200, wire.MultiAnswer{Ledger: s.ledger}
}

// since are the changes of a prefix after a revision; ok is false if they are
// forgotten.
func (s *state) since(prefix string, after uint64) (news []wire.Change, ok bool) {
	if after < s.forgot {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(s.log, after+1, func(c wire.Change, stamp uint64) int {
		return int(int64(c.Stamp) - int64(stamp))
	})
	for _, c := range s.log[i:] {
		if strings.HasPrefix(c.Key(), prefix) {
			news = append(news, c)
		}
	}
	return news, true
}

func (s *state) watch(x *watch) {
	s.waiting = append(s.waiting, x)
	s.look(x, false)
	s.w.after(min(x.req.WaitMS, longestWait)*1000, func() { s.look(x, true) })
}

// look answers a watch if it has something, or is over. While the service does
// not answer its caller it stays open.
func (s *state) look(x *watch, over bool) {
	if x.done {
		return
	}
	if s.refuses(x.from) {
		if over {
			s.w.after(second/2, func() { s.look(x, true) })
		}
		return
	}
	news, ok := s.since(x.req.Prefix, x.req.After)
	switch {
	case !ok:
		x.answer(410, wire.Error{Error: "too old"})
	case len(news) > 0 || over:
		if news == nil {
			news = []wire.Change{}
		}
		x.answer(200, wire.WatchAnswer{Ledger: s.ledger, News: news})
	default:
		return
	}
	x.done = true
}

// wake answers the watches for which something has changed.
func (s *state) wake() {
	if s.down {
		return
	}
	for _, x := range s.waiting {
		s.look(x, false)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(x *watch) bool { return x.done })
}

// recover ends an outage: every lease has its full time again.
func (s *state) recover() {
	s.down = false
	if s.cold {
		s.log, s.forgot, s.cold = nil, s.ledger, false
	}
	ids := make([]uint64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.renew(s.leases[id])
	}
	s.wake()
}
