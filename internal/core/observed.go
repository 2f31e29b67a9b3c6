package core

import (
	"bytes"
	"slices"
)

// The answer to a transaction may be lost although it was carried out. Others then
// read what it wrote, and tell users, while its writer waits for the answer, gives
// up and writes it again, in vain. So a writer goes by what it reads as well: if the
// mirror shows every change of a transaction, all of one revision, it was carried
// out, by this sending or by an earlier one of the same changes. That proves what is
// stored, and nothing of when: see Committed.Observed.

// transaction is one that is under way.
type transaction struct {
	writes []Write
	// after is the newest revision that it is conditional on: what was stored up to
	// then is something earlier, however alike.
	after uint64
	done  func(Committed)
	// stored is the revision at which its changes were seen, 0 for not yet, and seen
	// is when.
	stored uint64
	seen   int64
}

// observedWait is how long the answer to a transaction may take once its changes are
// seen: the two come by different ways.
const observedWait = 80_000

// observe looks for transactions whose changes have come.
func (c *Core) observe(changes []Change) {
	if len(c.commit) == 0 || len(changes) == 0 {
		return
	}
	at := map[string][]Change{}
	for _, ch := range changes {
		at[ch.Key] = append(at[ch.Key], ch)
	}
	has := func(w Write, stamp uint64) bool {
		return slices.ContainsFunc(at[w.Key], func(ch Change) bool {
			return ch.Stamp == stamp && ch.Removed == (w.Value == nil) && bytes.Equal(ch.Value, w.Value)
		})
	}
	for _, t := range c.commit {
		if t.stored != 0 || len(t.writes) == 0 {
			continue
		}
		for _, ch := range at[t.writes[0].Key] {
			if ch.Stamp > t.after && !slices.ContainsFunc(t.writes, func(w Write) bool { return !has(w, ch.Stamp) }) {
				t.stored, t.seen = ch.Stamp, c.now
			}
		}
	}
}

// observedTick ends transactions that are known to be stored and that nobody answers.
func (c *Core) observedTick() {
	var ids []uint64
	for id, t := range c.commit {
		if t.stored != 0 && c.now-t.seen >= observedWait {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if t := c.commit[id]; t != nil {
			c.ended(Committed{ID: id, Status: 200, Ledger: t.stored, Observed: true})
		}
	}
}

// ended takes the answer to a transaction, or its absence.
func (c *Core) ended(m Committed) {
	if t := c.commit[m.ID]; t != nil {
		if m.Status == 0 && t.stored != 0 {
			m.Status, m.Ledger, m.Observed = 200, t.stored, true
		}
		delete(c.commit, m.ID)
		t.done(m)
	}
}
