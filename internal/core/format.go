package core

import (
	"encoding/json"
	"errors"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

// Version is what this program can read and write. Data of a new format is
// written only when every controller has been seen at this version, which is
// stored as the format and never taken back. A program of version 1 says
// nothing of its version.
//
// Version 2 is the log of progress and pipelines; 3 is sweeps, and is said and
// latched only where they are switched on.
const (
	formatLog    = 2
	formatSweeps = 3
)

// version is what this controller can read and is to write.
func (c *Core) version() int {
	if c.set.Ops.Sweeps {
		return formatSweeps
	}
	return formatLog
}

// formatValue is the latch: what all controllers can read. Tasks is how many
// tasks a value of progress has at most, which only ever falls.
type formatValue struct {
	Version int `json:"v"`
	Tasks   int `json:"n"`
}

// member is what a controller says of itself, on the lease that it has for
// elections: it is there only while that program runs.
type member struct {
	Version int    `json:"v"`
	Boot    string `json:"b"`
	stamp   uint64
	seen    int64
}

// joined says that data may be written that version 1 can't read.
func (c *Core) joined() bool { return c.format.Version >= formatLog }

// tight says that what is written has to fit the limits to come as well. In
// the first format it need not until they are here: a value that has to be
// split could not be read by a controller of version 1.
func (c *Core) tight() bool { return c.joined() || c.lowered }

// limits are the state service's, as far as they are known. The rate is the
// present one until there are signs of the next.
func (c *Core) limits() config.StateLimits {
	l := c.set.State.StateLimits
	next := c.set.Tight()
	if c.lowered {
		l.RPS, l.WriteRPS = next.RPS, next.WriteRPS
	}
	if c.tight() {
		l.ValueKB, l.TxnOps = next.ValueKB, next.TxnOps
	}
	return l
}

// valueLimit is how many bytes a value may have, counting a KiB as 1000.
func (c *Core) valueLimit() int { return int(c.limits().ValueKB * 1000) }

// noteLimits takes a refusal for its rate as the sign that the limits to come
// are here. Before the format holds it can't be.
func (c *Core) noteLimits(status int) {
	if status == 429 && c.joined() {
		c.lower("a request was refused for its rate")
	}
}

func (c *Core) lower(why string) {
	if !c.lowered && c.set.State.Next != nil {
		c.lowered = true
		c.log.Info("the state service's limits have fallen", "why", why)
	}
}

func (c *Core) applyFormat(ch Change, bad func(error)) {
	var f formatValue
	if err := json.Unmarshal(ch.Value, &f); err != nil {
		bad(err)
		return
	}
	if f.Version < 1 || !ledger.ValidSpan(f.Tasks) {
		bad(errors.New("no format"))
		return
	}
	if f != c.format {
		c.log.Info("format of stored data", "version", f.Version, "tasks", f.Tasks)
	}
	c.format, c.formatAt = f, ch.Stamp
	if c.lead == nil {
		c.resplit()
	}
}

// resplit brings the jobs' chunks to the format. The leader does it when no
// write is under way.
func (c *Core) resplit() {
	if !c.joined() || c.format.Tasks >= c.span {
		return
	}
	c.span = c.format.Tasks
	for _, j := range c.jobs {
		j.Split(c.span)
	}
	if c.lead != nil {
		c.openLog()
	}
}

func (c *Core) applyMember(name string, ch Change, bad func(error)) {
	delete(c.members, name)
	if ch.Removed {
		return
	}
	var m member
	if err := json.Unmarshal(ch.Value, &m); err != nil {
		bad(err)
		return
	}
	m.stamp, m.seen = ch.Stamp, c.now
	c.members[name] = m
}

// joinTick says of this controller what version it is, until all are known to
// be of that version.
func (c *Core) joinTick() {
	e := &c.elect
	if !c.synced || c.format.Version >= c.version() || c.now < e.joinAt {
		return
	}
	if e.lease == 0 {
		c.newLease()
		return
	}
	m := c.members[c.set.Name]
	if m.Boot == c.set.Boot && m.Version == c.version() || c.budget.level < 1 {
		return
	}
	e.joinAt = c.now + second
	c.budget.level--
	key, lease := memberPrefix+c.set.Name, e.lease
	c.multi([]Cond{{key, m.stamp}}, []Write{{Key: key, Value: encode(member{Version: c.version(), Boot: c.set.Boot}), Lease: lease}}, func(r Committed) {
		if r.Status == 400 && e.lease == lease && c.lead == nil {
			e.lease = 0 // it has run out
		}
	})
}

// latchTick raises the format when every controller has its word of this
// version in the state service at that moment, and none says otherwise. That a
// controller does not answer is no proof.
func (c *Core) latchTick() {
	l := c.lead
	tasks := l.spanWanted
	raise := c.format.Version < c.version()
	if !raise && (tasks == 0 || tasks >= c.format.Tasks) || l.latching || c.now < l.latchAt || !c.sure() || c.budget.level < 1 {
		return
	}
	when := []Cond{{leaderKey, l.stamp}, {formatKey, c.formatAt}}
	if raise {
		if !c.joined() {
			tasks = c.spanFor()
		} else if tasks == 0 || tasks > c.format.Tasks {
			tasks = c.format.Tasks
		}
		for _, name := range append([]string{c.set.Name}, c.set.Peers...) {
			m, ok := c.members[name]
			if v := c.peers[name]; !ok || m.Version < c.version() || v.at > m.seen && v.version < c.version() {
				return
			}
			if len(when) < 4*c.limits().TxnOps {
				when = append(when, Cond{memberPrefix + name, m.stamp})
			}
		}
	}
	l.latching, l.latchAt = true, c.now+second
	c.budget.level--
	c.multi(when, []Write{{Key: formatKey, Value: encode(formatValue{max(c.version(), c.format.Version), tasks})}}, func(Committed) {
		l.latching = false // it holds when the mirror shows it
	})
}

// spanFor is how many tasks a value may have, each on a machine of its own
// with a name as long as the longest there is.
func (c *Core) spanFor() int {
	name := 11
	for _, m := range c.lead.fleet.All() {
		name = max(name, len(m.Name))
	}
	room := int(c.set.Tight().ValueKB*1000) - 160
	span := ledger.ChunkTasks
	for span > 1 && span*(name+15) > room {
		span /= 2
	}
	return span
}
