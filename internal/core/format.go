package core

import (
	"encoding/json"
	"errors"
	"github.com/zinclb/zinclb/internal/core/kv"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// formatRecord is the stored format: what all controllers can read. Tasks is how
// many tasks a value of progress has at most, which only ever falls.
type formatRecord struct {
	Version int `json:"v"`
	Tasks   int `json:"n"`
}

// featuresRecord has the features that are on by their names.
type featuresRecord struct {
	On []upgrade.StoredFeature `json:"on"`
}

// decommissionedRecord says since when operators take a controller for gone, as time of day.
type decommissionedRecord struct {
	At int64 `json:"t"`
}

// newActivation makes the activation, of which nothing is known.
func newActivation(set *Settings) *upgrade.Activation {
	program := upgrade.CurrentProgram()
	if set.Program != nil {
		program = *set.Program
	}
	var chosen, held []upgrade.FeatureName
	if set.Ops.Sweeps {
		chosen = append(chosen, upgrade.Sweeps)
	}
	for _, n := range set.Ops.HoldFeatures {
		held = append(held, upgrade.FeatureName(n))
	}
	return upgrade.New(program, set.Name, set.Incarnation, set.Peers, chosen, held)
}

// writableFormat is the newest format that this controller is to write.
func (c *Core) writableFormat() int {
	w, _, _ := c.activation.LocalAdvertisement()
	return w.Format
}

// logEnabled says that data may be written that version 1 can't read.
func (c *Core) logEnabled() bool { return c.activation.Enabled(upgrade.ProgressLog) }

// useLowerLimits says that what is written has to fit the limits to come as well. In
// the first format it need not until they are here: a value that has to be
// split could not be read by a controller of version 1.
func (c *Core) useLowerLimits() bool { return c.logEnabled() || c.limitsLowered }

// limits are the state service's, as far as they are known. The rate is the
// present one until there are signs of the next.
func (c *Core) limits() config.StateLimits {
	l := c.settings.State.StateLimits
	next := c.settings.StrictestStateLimits()
	if c.limitsLowered {
		l.RPS, l.WriteRPS = next.RPS, next.WriteRPS
	}
	if c.useLowerLimits() {
		l.ValueKB, l.TxnOps = next.ValueKB, next.TxnOps
	}
	return l
}

// valueLimit is how many bytes a value may have, counting a KiB as 1000.
func (c *Core) valueLimit() int { return int(c.limits().ValueKB * 1000) }

// noteRateLimited takes a refusal for its rate as the sign that the limits to come
// are here. Before the format holds it can't be.
func (c *Core) noteRateLimited(status int) {
	if status == 429 && c.logEnabled() {
		c.lowerLimits("a request was refused for its rate")
	}
}

func (c *Core) lowerLimits(why string) {
	if !c.limitsLowered && c.settings.State.Next != nil {
		c.limitsLowered = true
		c.log.Info("the state service's limits have fallen", "why", why)
	}
}

func (c *Core) applyFormat(ch Change, bad func(error)) {
	var f formatRecord
	if err := json.Unmarshal(ch.Value, &f); err != nil {
		bad(err)
		return
	}
	if f.Version < 1 || !jobstate.ValidChunkSize(f.Tasks) {
		bad(errors.New("no format"))
		return
	}
	if f != c.format {
		c.log.Info("format of stored data", "version", f.Version, "tasks", f.Tasks)
	}
	c.format, c.formatRevision = f, ch.Revision
	c.activation.SetFormat(f.Version)
	if c.leadership == nil {
		c.changeChunkSize()
	}
}

// changeChunkSize brings the jobs' chunks to the format. The leader does it when no
// write is under way.
func (c *Core) changeChunkSize() {
	if !c.logEnabled() || c.format.Tasks >= c.chunkTasks {
		return
	}
	c.chunkTasks = c.format.Tasks
	for _, j := range c.jobs {
		j.SplitChunks(c.chunkTasks)
	}
	if c.leadership != nil {
		c.openProgressLog()
	}
}

// applyActivation takes over what is stored of controllers and features.
func (c *Core) applyActivation(key string, ch Change, bad func(error)) {
	read := func(v any) bool {
		if err := json.Unmarshal(ch.Value, v); err != nil {
			bad(err)
			return false
		}
		return true
	}
	name, isGone := strings.CutPrefix(key, "gone/")
	word, isWord := strings.CutPrefix(key, "member/")
	switch {
	case isGone:
		c.decommissionedRevisions[name] = ch.Revision
		if ch.Removed {
			c.decommissionedRevisions[name] = 0
		}
		c.activation.SetGone(name, !ch.Removed)
	case isWord && ch.Removed:
		c.activation.RemoveAdvertisement(word)
	case isWord:
		var w upgrade.Advertisement
		if read(&w) {
			c.activation.SetAdvertisement(word, w, ch.Revision, c.now)
		}
	case !ch.Removed: // the features that are on
		var v featuresRecord
		if read(&v) {
			c.featuresRevision = ch.Revision
			c.activation.SetEnabled(v.On)
			c.log.Info("features that are on", "features", v.On)
		}
	}
}

// checkCompatible ends what this controller does if what is stored needs a newer
// program: from then on it would write, or answer, what is wrong. At its start
// it ends with one sentence that says so.
func (c *Core) checkCompatible(starting bool) bool {
	why := c.activation.Incompatibility()
	if why == "" {
		return true
	}
	if c.incompatible == "" {
		c.incompatible = why
		c.log.Error("this program must not go on", "why", why)
		if c.leadership != nil {
			c.resign(why)
		}
		c.synced = false
		if starting {
			c.emit(Quit{Reason: why})
		}
	}
	return false
}

// putOnLease stores what this controller says of itself, on its lease: it is there
// only while the controller lives and reaches the state service. done is told
// whether it was stored.
func (c *Core) putOnLease(key string, stamp uint64, v any, done func(ok bool)) {
	e := &c.candidacy
	if e.lease == 0 {
		c.requestLease()
		done(false)
		return
	}
	c.writeBudget.Spend(1)
	lease := e.lease
	c.commitTransaction([]Cond{kv.RevisionIs(key, stamp)}, []Write{{Key: key, Value: encodeJSON(v), Lease: lease}}, func(r Committed) {
		if r.Status == 400 && e.lease == lease && c.leadership == nil {
			e.lease = 0 // it has run out
		}
		done(r.Status == 200)
	})
}

// membershipTick says what this controller is, for as long as it runs.
func (c *Core) membershipTick() {
	e := &c.candidacy
	if !c.synced || c.now < e.publishAt || c.writeBudget.Level() < 1 {
		return
	}
	w, stamp, say := c.activation.LocalAdvertisement()
	if !say {
		return
	}
	c.putOnLease(memberPrefix+c.settings.Name, stamp, w, func(bool) {})
	if e.lease != 0 {
		e.publishAt = c.now + second // a lease is worth no wait
	}
}

// activationTick switches on the next feature that every controller has, as its word
// in the state service says at that moment. The write is conditional on the
// leadership and on all of these words, so that one which is replaced by an
// older program meanwhile is not overlooked. It lowers the tasks of a value too.
func (c *Core) activationTick() {
	l := c.leadership
	if l.activating || c.now < l.activateNotBefore || !c.mayStartTasks() || c.writeBudget.Level() < 1 {
		return
	}
	for _, n := range c.activation.Returned() {
		// Operators took it for gone, and it is there.
		l.activating, l.activateNotBefore = true, c.now+second
		c.writeBudget.Spend(1)
		c.commitTransaction([]Cond{kv.RevisionIs(LeaderKey, l.keyRevision), kv.RevisionIs(decommissionedPrefix+n, c.decommissionedRevisions[n])}, []Write{{Key: decommissionedPrefix + n}}, func(Committed) { l.activating = false })
		return
	}
	f, by := c.activation.NextFeature()
	tasks := l.chunkTasksWanted
	if f == nil && (!c.logEnabled() || tasks == 0 || tasks >= c.format.Tasks) {
		return
	}
	when := []Cond{kv.RevisionIs(LeaderKey, l.keyRevision)}
	write := Write{Key: formatKey}
	switch {
	case f != nil && f.Format == 0:
		write = Write{Key: featuresKey, Value: encodeJSON(featuresRecord{c.activation.EnabledWith(f)})}
		when = append(when, kv.RevisionIs(featuresKey, c.featuresRevision))
	default:
		version := c.format.Version
		if f != nil {
			version = max(version, f.Format)
		}
		if !c.logEnabled() {
			tasks = c.chunkTasksForLimits()
		} else if tasks == 0 || tasks > c.format.Tasks {
			tasks = c.format.Tasks
		}
		write.Value = encodeJSON(formatRecord{version, tasks})
		when = append(when, kv.RevisionIs(formatKey, c.formatRevision))
	}
	if f != nil {
		if len(by)+len(when) > 4*c.limits().TxnOps {
			return // more controllers than conditions: it can't be proven
		}
		for _, m := range by {
			when = append(when, kv.RevisionIs(memberPrefix+m.Name, m.Revision))
		}
	}
	l.activating, l.activateNotBefore = true, c.now+second
	c.writeBudget.Spend(1)
	c.commitTransaction(when, []Write{write}, func(Committed) {
		l.activating = false // it holds when the mirror shows it
	})
}

// onSetDecommissioned notes that operators take a controller for gone for good, or not.
func (c *Core) onSetDecommissioned(m SetDecommissioned) {
	reply := func(status int, why string) {
		r := Reply{RequestID: m.RequestID, Status: status, Error: why}
		if status == 503 {
			r.RetryAfter = 1
		}
		c.emit(r)
	}
	_, there := c.activation.Advertisements()[m.Name]
	switch {
	case !slices.Contains(c.settings.Peers, m.Name):
		reply(404, "no other controller is called "+strconv.Quote(m.Name))
	case !c.synced || c.stateUnavailable():
		reply(503, "the state service does not answer")
	case m.Decommissioned && there:
		reply(409, m.Name+" is there, and says what it can")
	case m.Decommissioned == (c.decommissionedRevisions[m.Name] != 0):
		c.emit(Reply{RequestID: m.RequestID, Status: 200, Decommission: &DecommissionState{m.Name, m.Decommissioned}})
	default:
		w := Write{Key: decommissionedPrefix + m.Name}
		if m.Decommissioned {
			w.Value = encodeJSON(decommissionedRecord{c.now + c.wallOffset})
		}
		c.commitTransaction([]Cond{kv.RevisionIs(w.Key, c.decommissionedRevisions[m.Name])}, []Write{w}, func(r Committed) {
			if r.Status == 200 {
				c.emit(Reply{RequestID: m.RequestID, Status: 200, Decommission: &DecommissionState{m.Name, m.Decommissioned}})
				return
			}
			reply(503, "it was not stored")
		})
	}
}

// chunkTasksForLimits is how many tasks a value may have, each on a machine of its own
// with a name as long as the longest there is.
func (c *Core) chunkTasksForLimits() int {
	name := 11
	for _, m := range c.leadership.fleet.All() {
		name = max(name, len(m.Name))
	}
	room := int(c.settings.StrictestStateLimits().ValueKB*1000) - 160
	span := jobstate.DefaultChunkSize
	for span > 1 && span*(name+15) > room {
		span /= 2
	}
	return span
}
