package core

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

// maxEnds bounds the ends kept in memory; older ones are read when asked for.
const maxEnds = 20_000

type leaderValue struct {
	Name  string `json:"n"`
	Boot  string `json:"b"`
	Token uint64 `json:"t"`
	Lease uint64 `json:"l"`
}

type tokenValue struct {
	Token uint64 `json:"t"`
}

// list starts over from the stored state, as at the start, after a watch
// that was too old, and after losing the leadership, since plans that were
// never stored must not be taken for placements.
func (c *Core) list() {
	c.synced = false
	if !c.listing {
		c.listing = true
		c.emit(List{})
	}
}

func (c *Core) onListed(m Listed) {
	c.listing = false
	c.stateAnswered(m.Err == nil)
	if m.Err != nil {
		c.log.Debug("listing the state failed", "err", m.Err)
		c.listing = true
		c.emit(List{}) // the store paces repeats
		return
	}
	c.jobs = map[string]*ledger.Job{}
	c.orphaned = map[string]map[int]Change{}
	c.leader, c.leaderAt = leaderValue{}, 0
	c.token, c.tokenAt = tokenValue{}, 0
	c.applied = m.Ledger
	for _, r := range m.Rows {
		c.apply(r)
	}
	c.synced = true
	c.log.Info("state read", "jobs", len(c.jobs), "revision", m.Ledger)
	if !c.watching {
		c.watch()
	}
	c.checkLeadership()
}

func (c *Core) watch() {
	c.watching = true
	c.emit(Watch{After: c.applied})
}

func (c *Core) onWatched(m Watched) {
	if !m.View {
		c.watching = false
	}
	c.stateAnswered(m.Err == nil)
	if m.Gone {
		c.list()
	}
	if m.Err == nil && !m.Gone && c.synced && m.After <= c.applied {
		from := c.applied
		for _, ch := range m.Changes {
			// Two watches may bring the same change.
			if ch.Stamp > from {
				c.apply(ch)
			}
		}
		c.applied = max(c.applied, m.Ledger)
		c.checkLeadership()
	}
	if !m.View && c.synced {
		c.watch()
	}
	if m.View {
		c.onView(m.Err == nil && !m.Gone && c.synced && m.Ledger <= c.applied)
	}
}

func (c *Core) apply(ch Change) {
	key, ok := strings.CutPrefix(ch.Key, Prefix)
	if !ok {
		return
	}
	bad := func(err error) {
		c.log.Error("stored value can't be read", "key", ch.Key, "err", err)
	}
	switch {
	case strings.HasPrefix(key, "job/"):
		c.applyJob(key[4:], ch, bad)
	case strings.HasPrefix(key, "run/"):
		c.applyRun(key[4:], ch, bad)
	case strings.HasPrefix(key, "end/"):
		var e ledger.End
		if ch.Removed {
			return
		}
		if err := json.Unmarshal(ch.Value, &e); err != nil {
			bad(err)
			return
		}
		c.noteEnd(key[4:], e)
	case key == "leader":
		c.leader, c.leaderAt = leaderValue{}, 0
		if !ch.Removed {
			if err := json.Unmarshal(ch.Value, &c.leader); err != nil {
				bad(err)
			}
			c.leaderAt = ch.Stamp
		}
	case key == "token" && !ch.Removed:
		if err := json.Unmarshal(ch.Value, &c.token); err != nil {
			bad(err)
		}
		c.tokenAt = ch.Stamp
	case key == "types" && !ch.Removed:
		var t []fleet.Type
		if err := json.Unmarshal(ch.Value, &t); err != nil {
			bad(err)
			return
		}
		c.types, c.typesAt = t, ch.Stamp
	case strings.HasPrefix(key, "hints/") && !ch.Removed:
		c.hints[ch.Key] = ch.Value
	case key == "bounds" && !ch.Removed && c.lead == nil:
		var b fleet.Bounds
		if err := json.Unmarshal(ch.Value, &b); err != nil {
			bad(err)
			return
		}
		c.bounds, c.boundsOn = b, c.now
	}
}

func (c *Core) applyJob(id string, ch Change, bad func(error)) {
	j := c.jobs[id]
	if ch.Removed {
		if j != nil && ch.Stamp > j.Stamp {
			delete(c.jobs, id)
			c.dropJob(j)
		}
		return
	}
	if j != nil && ch.Stamp <= j.Stamp {
		return
	}
	var r ledger.Record
	if err := json.Unmarshal(ch.Value, &r); err != nil || r.Spec == nil || r.Spec.Tasks < 1 || r.Spec.Tasks > ledger.MaxTasks {
		bad(err)
		return
	}
	if j == nil {
		j = ledger.NewJob(r.Spec)
		j.Arrival, j.Known, j.Submitted = r.Arrival, c.now, r.Submitted
		if r.Submitted != 0 && c.wallOffset != 0 {
			j.Known = min(c.now, r.Submitted-c.wallOffset)
		}
		if j.Arrival == 0 {
			j.Arrival = ch.Stamp
		}
		c.jobs[id] = j
		for n, run := range c.orphaned[id] {
			if err := j.Load(n, run.Value, run.Stamp, c.now); err != nil {
				bad(err)
			}
		}
		delete(c.orphaned, id)
		c.jobArrived(j)
	}
	j.Stamp = ch.Stamp
	if r.Over != "" && j.Over == "" {
		j.Over = r.Over
		c.noteEnd(id, ledger.End{Outcome: r.Over, Tasks: j.Tasks})
		c.jobOver(j)
	}
}

func (c *Core) applyRun(rest string, ch Change, bad func(error)) {
	id, num, _ := strings.Cut(rest, "/")
	n, err := strconv.Atoi(num)
	if err != nil {
		bad(err)
		return
	}
	if c.lead != nil {
		return // the leader is the one that writes these
	}
	j := c.jobs[id]
	if ch.Removed {
		delete(c.orphaned[id], n)
		if j != nil && n >= 0 && n < j.Chunks() {
			j.Chunk(n).Stamp = 0
		}
		return
	}
	if j == nil {
		// A job's chunks may be read before the job itself.
		if c.orphaned[id] == nil {
			c.orphaned[id] = map[int]Change{}
		}
		c.orphaned[id][n] = ch
		return
	}
	if n >= 0 && n < j.Chunks() && j.Chunk(n).Stamp >= ch.Stamp {
		return
	}
	if err := j.Load(n, ch.Value, ch.Stamp, c.now); err != nil {
		bad(err)
	}
}

func (c *Core) noteEnd(id string, e ledger.End) {
	if _, ok := c.ends[id]; ok {
		return
	}
	c.ends[id] = e
	c.endOrder = append(c.endOrder, id)
	if len(c.endOrder) > maxEnds {
		delete(c.ends, c.endOrder[0])
		c.endOrder = c.endOrder[1:]
	}
	if j := c.jobs[id]; j != nil && j.Over == "" {
		j.Over = e.Outcome
		c.jobOver(j)
	}
}

func runKey(id string, chunk int) string { return runPrefix + id + "/" + strconv.Itoa(chunk) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // our own plain structs always encode
	}
	return b
}
