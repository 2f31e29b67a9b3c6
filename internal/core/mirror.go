package core

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
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
	if !c.listing && c.unfit == "" {
		c.listing = true
		c.emit(listAll(c.limits(), len(c.set.Peers)+1))
	}
}

// besidesList is how many requests a start takes beside the list.
const besidesList = 5

// listAll reads everything, at the pace that all controllers can keep at once.
func listAll(l config.StateLimits, controllers int) List {
	each := l.RPS / float64(controllers)
	return List{AtOnce: max(1, int(each)-besidesList), Gap: ratelimit.Interval(each / 2)}
}

func (c *Core) onListed(m Listed) {
	c.listing = false
	c.stateAnswered(&c.links.Reads, m.Err)
	if m.Err != nil {
		c.log.Debug("listing the state failed", "err", m.Err)
		c.listing = true
		c.emit(listAll(c.limits(), len(c.set.Peers)+1)) // the store paces repeats
		return
	}
	c.jobs = map[string]*jobstate.Job{}
	c.orphaned = map[string]map[jobstate.ChunkRef]Change{}
	c.leader, c.leaderAt = leaderValue{}, 0
	c.token, c.tokenAt = tokenValue{}, 0
	c.graph = jobstate.NewDependencyGraph()
	c.activation.Restart()
	c.featuresAt, c.goneAt = 0, map[string]uint64{}
	c.reachAt = map[string]uint64{}
	c.stamps = map[string]uint64{}
	c.links.Restart()
	c.pages = nil
	c.dropSweeps()
	starting := c.applied == 0
	c.applied = m.Ledger
	c.recent.Restart(m.Ledger)
	for _, r := range m.Rows {
		c.apply(r)
	}
	if !c.checkFit(starting) {
		return
	}
	c.synced = true
	c.log.Info("state read", "jobs", len(c.jobs), "revision", m.Ledger)
	c.watch()
	c.resplit()
	// The pages of the list were read one after the other. What changed
	// meanwhile comes with a view, and only after it may this controller lead.
	c.emit(View{After: c.applied})
}

func (c *Core) onWatched(m Watched) {
	if !m.View {
		c.watching = false
	}
	side := &c.links.Watch
	if m.View {
		side = &c.links.Reads
	}
	if !m.Relayed {
		c.stateAnswered(side, m.Err)
	}
	switch {
	case m.Gone && c.lead != nil:
		// A leader takes its own progress from no list, so it begins anew.
		c.leave("the watch is too old")
	case m.Gone:
		c.list()
	}
	if m.Err == nil && !m.Gone && c.synced && m.After <= c.applied {
		from := c.applied
		for _, ch := range m.Changes {
			// Two watches may bring the same change.
			if ch.Revision > from {
				c.recent.Append(ch)
				c.apply(ch)
			}
		}
		c.applied = max(c.applied, m.Ledger)
		c.mirrorAt = max(c.mirrorAt, m.Sent)
		c.txns.Observe(m.Changes, c.now)
		if !c.checkFit(false) {
			return
		}
		c.endCancelledRuns()
		if c.lead != nil {
			c.lead.mirrored = max(c.lead.mirrored, m.Sent)
		}
		c.checkLeadership(m.Sent)
	}
	if !m.View {
		c.watch()
	}
	if m.Asked {
		// Another view, as that of a candidate, may have been read before the
		// requests came that wait for this one.
		c.onView(m.Err == nil && !m.Gone && c.synced && m.Ledger <= c.applied)
	}
}

func (c *Core) apply(ch Change) {
	key, ok := strings.CutPrefix(ch.Key, Prefix)
	if !ok {
		return
	}
	if key == "bounds" || key == "types" || strings.HasPrefix(key, "types/") || strings.HasPrefix(key, "hints/") {
		c.stamps[ch.Key] = ch.Revision
		if ch.Removed {
			delete(c.stamps, ch.Key)
		}
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
		var e jobstate.End
		if ch.Removed {
			return
		}
		if err := json.Unmarshal(ch.Value, &e); err != nil {
			bad(err)
			return
		}
		c.noteEnd(key[4:], e, ch.Revision)
		c.endStored(key[4:])
	case key == "leader":
		c.leader, c.leaderAt = leaderValue{}, 0
		if !ch.Removed {
			if err := json.Unmarshal(ch.Value, &c.leader); err != nil {
				bad(err)
			}
			c.leaderAt = ch.Revision
			if c.leader.Token > c.newest.Token {
				c.links.RecordHandover(c.now)
			}
			c.noteNewest(c.leader)
		}
	case key == "token" && !ch.Removed:
		if err := json.Unmarshal(ch.Value, &c.token); err != nil {
			bad(err)
		}
		c.tokenAt = ch.Revision
	case (key == "types" || strings.HasPrefix(key, "types/")) && !ch.Removed:
		c.applyTypes(ch, bad)
	case key == "format" && !ch.Removed:
		c.applyFormat(ch, bad)
	case strings.HasPrefix(key, "log/"):
		c.applyPage(key[len("log/"):], ch, bad)
	case strings.HasPrefix(key, "sweep"):
		c.applySweep(key, ch, bad)
	case key == "features" || strings.HasPrefix(key, "gone/") || strings.HasPrefix(key, "member/"):
		c.applyActivation(key, ch, bad)
	case strings.HasPrefix(key, "reach/"):
		c.applyReach(key[len("reach/"):], ch, bad)
	case strings.HasPrefix(key, "hints/") && !ch.Removed:
		c.hints[ch.Key] = ch.Value
	case key == "bounds" && !ch.Removed && c.lead == nil:
		var b fleet.Partitions
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
		if j != nil && ch.Revision > j.Revision {
			delete(c.jobs, id)
			c.dropJob(j)
			c.orphan(j)
		}
		return
	}
	if j != nil && ch.Revision <= j.Revision {
		return
	}
	var r jobstate.Record
	if err := json.Unmarshal(ch.Value, &r); err != nil || r.Spec == nil || r.Spec.Tasks < 1 || r.Spec.Tasks > jobstate.MaxTasks {
		bad(err)
		return
	}
	if j == nil {
		j = jobstate.NewJob(r.Spec)
		j.SplitChunks(c.span)
		j.Arrival, j.SubmittedWall, j.Truncated = r.Arrival, r.SubmittedWall, r.Truncated
		j.SubmittedAt = c.steady(r.SubmittedWall)
		j.ReadyAt = j.SubmittedAt
		if j.Arrival == 0 {
			j.Arrival = ch.Revision
		}
		c.jobs[id] = j
		for v, run := range c.orphaned[id] {
			if run.Value == nil {
				continue
			}
			if err := j.LoadChunk(v, run.Value, run.Revision, c.now); err != nil {
				bad(err)
			}
		}
		delete(c.orphaned, id)
		c.reapply(j)
		if e, ended := c.ends[id]; ended && r.Outcome == "" {
			// Derived before the list was read anew, perhaps.
			j.Outcome, j.CancelledByDependency = e.Outcome, true
			c.jobOver(j)
		} else if r.Outcome == "" {
			c.enterGraph(j)
			c.endRuns = c.endRuns || j.Sweep != ""
		}
		c.jobArrived(j)
	}
	j.Revision = ch.Revision
	if r.Outcome != "" && j.Outcome == "" {
		j.Outcome = r.Outcome
		c.noteEnd(id, jobstate.End{Outcome: r.Outcome, Tasks: j.Tasks}, ch.Revision)
		c.jobOver(j)
	}
	if r.Outcome != "" {
		j.CancelledByDependency = false
	}
}

func (c *Core) applyRun(rest string, ch Change, bad func(error)) {
	id, v, err := runValue(rest)
	if err != nil {
		bad(err)
		return
	}
	if c.lead != nil {
		return // the leader is the one that writes these
	}
	j := c.jobs[id]
	if ch.Removed {
		c.noteOrphan(id, v, 0)
		if j != nil {
			j.SetChunkRevision(v, 0)
		}
		return
	}
	if j == nil {
		// A job's chunks may be read before the job itself.
		c.putOrphan(id, v, ch)
		return
	}
	if j.ChunkRevision(v) >= ch.Revision {
		return
	}
	if err := j.LoadChunk(v, ch.Value, ch.Revision, c.now); err != nil {
		bad(err)
	}
	c.reapply(j)
	for i := v.Index * v.ChunkSize; i < min((v.Index+1)*v.ChunkSize, j.Tasks); i++ {
		c.recall.placed(j.Task(i).Machine, j)
	}
}

// orphan remembers the values that a removed job leaves, for the leader to
// remove when it can spare a write.
func (c *Core) orphan(j *jobstate.Job) {
	values, stamps := j.StoredChunks()
	for i, v := range values {
		c.putOrphan(j.ID, v, Change{Revision: stamps[i]})
	}
}

func (c *Core) putOrphan(id string, v jobstate.ChunkRef, ch Change) {
	if c.orphaned[id] == nil {
		c.orphaned[id] = map[jobstate.ChunkRef]Change{}
	}
	c.orphaned[id][v] = ch
}

// noteEnd notes how a job has ended, stored with a revision, or 0 if that is not
// known. Whatever users are told of an end has passed here, so it is here that
// this controller begins to vouch for a cancellation.
func (c *Core) noteEnd(id string, e jobstate.End, rev uint64) {
	if e.Outcome == jobstate.Cancelled && !c.sweepTells(id) {
		c.witness.RecordCancellation(id, rev)
	}
	if _, ok := c.ends[id]; ok {
		return
	}
	c.ends[id] = e
	c.endOrder = append(c.endOrder, id)
	if len(c.endOrder) > maxEnds {
		delete(c.ends, c.endOrder[0])
		c.endOrder = c.endOrder[1:]
	}
	if j := c.jobs[id]; j != nil && j.Outcome == "" {
		j.Outcome = e.Outcome
		if e.Outcome == jobstate.Done {
			c.recall.finished(j)
		}
		c.jobOver(j)
	}
	c.endedFor(id, e)
}

// applyTypes reads machine types, all or some: those that do not fit one value
// are stored in several.
func (c *Core) applyTypes(ch Change, bad func(error)) {
	var list []fleet.Type
	if err := json.Unmarshal(ch.Value, &list); err != nil {
		bad(err)
		return
	}
	if ch.Key == typesKey {
		c.types, c.typesAt, c.typesWhole = list, ch.Revision, ch.Revision
		return
	}
	// Parts of before the value fitted again, as when a list is read.
	if ch.Revision < c.typesWhole {
		return
	}
	c.typesAt = ch.Revision
	for _, t := range list {
		if i := slices.IndexFunc(c.types, func(o fleet.Type) bool { return o.Name == t.Name }); i >= 0 {
			c.types[i] = t
		} else {
			c.types = append(c.types, t)
		}
	}
}

// steady converts a time of day to the steady clock; one that is not known, or
// that lies ahead, is now.
func (c *Core) steady(wall int64) int64 {
	if wall == 0 || c.wallOffset == 0 {
		return c.now
	}
	return min(c.now, wall-c.wallOffset)
}

// runKey is the key of a value of a job's progress. Values of the first format
// have a number only.
func runKey(id string, v jobstate.ChunkRef) string {
	n := strconv.Itoa(v.Index)
	if v.ChunkSize != jobstate.DefaultChunkSize {
		n = strconv.Itoa(v.ChunkSize) + "-" + n
	}
	return runPrefix + id + "/" + n
}

// runValue reads what follows the prefix of such a key.
func runValue(rest string) (id string, v jobstate.ChunkRef, err error) {
	id, num, _ := strings.Cut(rest, "/")
	v.ChunkSize = jobstate.DefaultChunkSize
	if span, n, ok := strings.Cut(num, "-"); ok {
		num = n
		if v.ChunkSize, err = strconv.Atoi(span); err != nil {
			return id, v, err
		}
	}
	v.Index, err = strconv.Atoi(num)
	return id, v, err
}

func encode(v any) []byte { return jobstate.Encode(v) }
