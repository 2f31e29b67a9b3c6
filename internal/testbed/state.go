package testbed

import (
	"errors"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
)

var errUnreachable = errors.New("unreachable")

// State is the stand-in for the state service.
type State struct {
	c       *Cluster
	keys    map[string]stored
	log     []core.Change
	times   []int64 // when each revision was made, from the first on
	ledger  uint64
	leases  map[uint64]*lease
	last    uint64
	down    bool
	watches []*watch
	// the budget of changes a second, with a burst of one second's worth
	level float64
	at    int64
	// limits are those of the settings until they fall.
	limits config.StateLimits
	// Refused counts requests over the limit.
	Refused int
	// written, if set, is called after each transaction that was executed.
	written func([]core.Write)
	// Malformed counts those beyond the limits of a value or a transaction.
	Malformed int
}

type stored struct {
	value []byte
	stamp uint64
	lease uint64
}

type lease struct {
	ttl, until int64
}

type watch struct {
	n     *node
	epoch int
	after uint64
	until int64
	done  bool
}

func newState(c *Cluster) *State {
	return &State{c: c, keys: map[string]stored{}, leases: map[uint64]*lease{}, limits: c.Settings.State.StateLimits}
}

func (s *State) recover() {
	s.down = false
	for _, l := range s.leases {
		l.until = s.c.now + l.ttl
	}
	s.wake()
}

// call carries a request out after the network's delay, or fails it.
func (s *State) call(n *node, epoch int, e any) {
	c := s.c
	sent := c.now + 1
	unreachable := n.cut
	lost := c.rng.Float64() < c.Loss
	if w, ok := e.(core.Watch); ok {
		c.after(c.lag(), func() { s.watch(n, epoch, w.After) })
		return
	}
	c.after(c.lag(), func() {
		s.expire()
		if unreachable {
			c.after(2*second, func() { n.tell(epoch, failed(e, sent)) })
			return
		}
		if s.down || n.refused {
			c.after(c.lag(), func() { n.tell(epoch, refused(e, sent)) })
			return
		}
		if lost {
			// The answer is lost; the request is executed now or later.
			late := int64(0)
			if c.rng.IntN(2) == 0 {
				late = c.rng.Int64N(20 * second)
			}
			c.after(late, func() { s.expire(); s.execute(e, sent) })
			c.after(2*second, func() { n.tell(epoch, failed(e, sent)) })
			return
		}
		answer := s.execute(e, sent)
		c.after(c.lag(), func() { n.tell(epoch, answer) })
	})
}

// failed is what a caller makes of no answer.
func failed(e any, sent int64) any {
	switch e := e.(type) {
	case core.List:
		return core.Listed{Err: errUnreachable}
	case core.View:
		return core.Watched{After: e.After, View: true, Err: errUnreachable}
	case core.Multi:
		return core.Committed{ID: e.ID}
	case core.Get:
		return core.Got{ID: e.ID, Key: e.Key, Err: errUnreachable}
	case core.NewLease:
		return core.Leased{Sent: sent, Err: errUnreachable}
	case core.Touch:
		return core.Touched{Lease: e.Lease, Sent: sent, Err: errUnreachable}
	}
	return nil
}

func refused(e any, sent int64) any {
	if m, ok := e.(core.Multi); ok {
		return core.Committed{ID: m.ID, Status: 503}
	}
	return failed(e, sent)
}

func (s *State) execute(e any, sent int64) any {
	switch e := e.(type) {
	case core.List:
		var rows []core.Change
		for _, p := range core.StartPrefixes {
			var keys []string
			for k := range s.keys {
				if strings.HasPrefix(k, p) {
					keys = append(keys, k)
				}
			}
			slices.Sort(keys)
			for _, k := range keys {
				rows = append(rows, core.Change{Key: k, Value: s.keys[k].value, Stamp: s.keys[k].stamp})
			}
		}
		return core.Listed{Rows: rows, Ledger: s.ledger}
	case core.View:
		return core.Watched{After: e.After, Ledger: s.ledger, Changes: s.since(e.After), View: true}
	case core.Multi:
		return s.multi(e)
	case core.Get:
		k := s.keys[e.Key]
		return core.Got{ID: e.ID, Key: e.Key, Value: k.value, Stamp: k.stamp}
	case core.NewLease:
		s.last++
		s.leases[s.last] = &lease{e.TTL, s.c.now + e.TTL}
		id := s.last
		return core.Leased{Lease: id, Sent: sent}
	case core.Touch:
		l := s.leases[e.Lease]
		if l == nil {
			return core.Touched{Lease: e.Lease, Sent: sent, Gone: true}
		}
		l.until = s.c.now + l.ttl
		return core.Touched{Lease: e.Lease, Sent: sent}
	case core.DropLease:
		s.end(e.Lease)
	}
	return nil
}

func (s *State) multi(e core.Multi) core.Committed {
	set := &s.limits
	s.level = min(s.level+float64(s.c.now-s.at)/1e6*set.WriteRPS, set.WriteRPS)
	s.at = s.c.now
	if s.level < float64(len(e.Writes)) {
		s.Refused++
		return core.Committed{ID: e.ID, Status: 429}
	}
	s.level -= float64(len(e.Writes))
	if len(e.Writes) > set.TxnOps || len(e.When) > 4*set.TxnOps {
		s.Malformed++
		return core.Committed{ID: e.ID, Status: 400}
	}
	var bad []string
	for _, w := range e.When {
		if s.keys[w.Key].stamp != w.Stamp {
			bad = append(bad, w.Key)
		}
	}
	for _, w := range e.Writes {
		if float64(len(w.Value)) > set.ValueKB*1024 {
			s.Malformed++
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil || float64(len(w.Value)) > set.ValueKB*1024 {
			return core.Committed{ID: e.ID, Status: 400}
		}
	}
	if bad != nil {
		return core.Committed{ID: e.ID, Status: 409, Failed: bad, Ledger: s.ledger}
	}
	s.advance()
	for _, w := range e.Writes {
		if w.Value == nil {
			delete(s.keys, w.Key)
			s.log = append(s.log, core.Change{Key: w.Key, Stamp: s.ledger, Removed: true})
			continue
		}
		s.keys[w.Key] = stored{w.Value, s.ledger, w.Lease}
		s.log = append(s.log, core.Change{Key: w.Key, Value: w.Value, Stamp: s.ledger})
	}
	s.wake()
	if s.written != nil {
		s.written(e.Writes)
	}
	return core.Committed{ID: e.ID, Status: 200, Ledger: s.ledger}
}

// advance begins a new revision, when says when one was.
func (s *State) advance() {
	s.ledger++
	s.times = append(s.times, s.c.now)
}

func (s *State) when(stamp uint64) int64 {
	if stamp == 0 {
		return 0
	}
	return s.times[stamp-1]
}

func (s *State) since(after uint64) []core.Change {
	i, _ := slices.BinarySearchFunc(s.log, after+1, func(c core.Change, stamp uint64) int {
		return int(int64(c.Stamp) - int64(stamp))
	})
	return slices.Clone(s.log[i:])
}

// expire ends the leases that were not renewed.
func (s *State) expire() {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if l.until < s.c.now {
			s.end(id)
		}
	}
}

func (s *State) end(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for k, v := range s.keys {
		if v.lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.advance()
		delete(s.keys, k)
		s.log = append(s.log, core.Change{Key: k, Stamp: s.ledger, Removed: true})
	}
	s.wake()
}

func (s *State) watch(n *node, epoch int, after uint64) {
	s.expire()
	w := &watch{n: n, epoch: epoch, after: after, until: s.c.now + 10*second}
	s.watches = append(s.watches, w)
	s.wake()
	var poll func()
	poll = func() {
		if w.done || n.epoch != epoch {
			w.done = true
			return
		}
		s.expire()
		if s.c.now >= w.until {
			w.done = true
			if s.down || n.refused || n.cut {
				n.tell(epoch, core.Watched{After: after, Err: errUnreachable})
			} else {
				n.tell(epoch, core.Watched{After: after, Ledger: s.ledger, Changes: s.since(after)})
			}
			return
		}
		s.wake()
		s.c.after(500_000, poll)
	}
	s.c.after(500_000, poll)
}

// wake answers the watches for which something has changed.
func (s *State) wake() {
	if s.down {
		return
	}
	open := s.watches[:0]
	for _, w := range s.watches {
		if w.done || w.n.epoch != w.epoch {
			continue
		}
		changes := s.since(w.after)
		if len(changes) == 0 || w.n.refused || w.n.cut {
			open = append(open, w)
			continue
		}
		w.done = true
		at := s.ledger
		s.c.after(s.c.lag(), func() {
			w.n.tell(w.epoch, core.Watched{After: w.after, Ledger: at, Changes: changes})
		})
	}
	s.watches = open
}
