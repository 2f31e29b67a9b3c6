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

type leaderRecord struct {
	Name        string `json:"n"`
	Incarnation string `json:"b"`
	Token       uint64 `json:"t"`
	Lease       uint64 `json:"l"`
}

type tokenRecord struct {
	Token uint64 `json:"t"`
}

// listState starts over from the stored state, as at the start, after a watch
// that was too old, and after losing the leadership, since plans that were
// never stored must not be taken for placements.
func (c *Core) listState() {
	c.synced = false
	if !c.listingState && c.incompatible == "" {
		c.listingState = true
		c.emit(listAll(c.limits(), len(c.settings.Peers)+1))
	}
}

// startupRequests is how many requests a start takes beside the list.
const startupRequests = 5

// listAll reads everything, at the pace that all controllers can keep at once.
func listAll(l config.StateLimits, controllers int) ListState {
	each := l.RPS / float64(controllers)
	return ListState{AtOnce: max(1, int(each)-startupRequests), Gap: ratelimit.Interval(each / 2)}
}

func (c *Core) onStateListed(m StateListed) {
	c.listingState = false
	c.noteStateResult(&c.connectivity.Reads, m.Err)
	if m.Err != nil {
		c.log.Debug("listing the state failed", "err", m.Err)
		c.listingState = true
		c.emit(listAll(c.limits(), len(c.settings.Peers)+1)) // the store paces repeats
		return
	}
	c.jobs = map[string]*jobstate.Job{}
	c.orphanedChunks = map[string]map[jobstate.ChunkRef]Change{}
	c.leader, c.leaderRevision = leaderRecord{}, 0
	c.token, c.tokenRevision = tokenRecord{}, 0
	c.dependencyGraph = jobstate.NewDependencyGraph()
	c.activation.Restart()
	c.featuresRevision, c.decommissionedRevisions = 0, map[string]uint64{}
	c.connectivityRevisions = map[string]uint64{}
	c.keyRevisions = map[string]uint64{}
	c.connectivity.Restart()
	c.progressLog = nil
	c.resetSweeps()
	starting := c.appliedRevision == 0
	c.appliedRevision = m.Revision
	c.recentChanges.Restart(m.Revision)
	for _, r := range m.Changes {
		c.apply(r)
	}
	if !c.checkCompatible(starting) {
		return
	}
	c.synced = true
	c.log.Info("state read", "jobs", len(c.jobs), "revision", m.Revision)
	c.watchState()
	c.changeChunkSize()
	// The pages of the list were read one after the other. What changed
	// meanwhile comes with a view, and only after it may this controller lead.
	c.emit(ReadState{AfterRevision: c.appliedRevision})
}

func (c *Core) onStateRead(m StateRead) {
	if !m.Immediate {
		c.watching = false
	}
	side := &c.connectivity.Watch
	if m.Immediate {
		side = &c.connectivity.Reads
	}
	if !m.ViaLeader {
		c.noteStateResult(side, m.Err)
	}
	switch {
	case m.Compacted && c.leadership != nil:
		// A leader takes its own progress from no list, so it begins anew.
		c.resign("the watch is too old")
	case m.Compacted:
		c.listState()
	}
	if m.Err == nil && !m.Compacted && c.synced && m.AfterRevision <= c.appliedRevision {
		from := c.appliedRevision
		for _, ch := range m.Changes {
			// Two watches may bring the same change.
			if ch.Revision > from {
				c.recentChanges.Append(ch)
				c.apply(ch)
			}
		}
		c.appliedRevision = max(c.appliedRevision, m.Revision)
		c.mirrorFreshAt = max(c.mirrorFreshAt, m.SentAt)
		c.transactions.Observe(m.Changes, c.now)
		if !c.checkCompatible(false) {
			return
		}
		c.endCancelledRuns()
		if c.leadership != nil {
			c.leadership.mirrorFreshAt = max(c.leadership.mirrorFreshAt, m.SentAt)
		}
		c.checkLeadership(m.SentAt)
	}
	if !m.Immediate {
		c.watchState()
	}
	if m.ForRequests {
		// Another view, as that of a candidate, may have been read before the
		// requests came that wait for this one.
		c.requestsReadDone(m.Err == nil && !m.Compacted && c.synced && m.Revision <= c.appliedRevision)
	}
}

func (c *Core) apply(ch Change) {
	key, ok := strings.CutPrefix(ch.Key, Prefix)
	if !ok {
		return
	}
	if key == "bounds" || key == "types" || strings.HasPrefix(key, "types/") || strings.HasPrefix(key, "hints/") {
		c.keyRevisions[ch.Key] = ch.Revision
		if ch.Removed {
			delete(c.keyRevisions, ch.Key)
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
		c.endWasStored(key[4:])
	case key == "leader":
		c.leader, c.leaderRevision = leaderRecord{}, 0
		if !ch.Removed {
			if err := json.Unmarshal(ch.Value, &c.leader); err != nil {
				bad(err)
			}
			c.leaderRevision = ch.Revision
			if c.leader.Token > c.newestLeader.Token {
				c.connectivity.RecordHandover(c.now)
			}
			c.noteNewestLeader(c.leader)
		}
	case key == "token" && !ch.Removed:
		if err := json.Unmarshal(ch.Value, &c.token); err != nil {
			bad(err)
		}
		c.tokenRevision = ch.Revision
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
		c.applyConnectivity(key[len("reach/"):], ch, bad)
	case strings.HasPrefix(key, "hints/") && !ch.Removed:
		c.imageHints[ch.Key] = ch.Value
	case key == "bounds" && !ch.Removed && c.leadership == nil:
		var b fleet.Partitions
		if err := json.Unmarshal(ch.Value, &b); err != nil {
			bad(err)
			return
		}
		c.partitions, c.partitionsReadAt = b, c.now
	}
}

func (c *Core) applyJob(id string, ch Change, bad func(error)) {
	j := c.jobs[id]
	if ch.Removed {
		if j != nil && ch.Revision > j.Revision {
			delete(c.jobs, id)
			c.jobRemoved(j)
			c.orphanChunks(j)
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
		j.SplitChunks(c.chunkTasks)
		j.Arrival, j.SubmittedWall, j.Truncated = r.Arrival, r.SubmittedWall, r.Truncated
		j.SubmittedAt = c.steadyTime(r.SubmittedWall)
		j.ReadyAt = j.SubmittedAt
		if j.Arrival == 0 {
			j.Arrival = ch.Revision
		}
		c.jobs[id] = j
		for v, run := range c.orphanedChunks[id] {
			if run.Value == nil {
				continue
			}
			if err := j.LoadChunk(v, run.Value, run.Revision, c.now); err != nil {
				bad(err)
			}
		}
		delete(c.orphanedChunks, id)
		c.reapply(j)
		if e, ended := c.ends[id]; ended && r.Outcome == "" {
			// Derived before the list was read anew, perhaps.
			j.Outcome, j.CancelledByDependency = e.Outcome, true
			c.jobEnded(j)
		} else if r.Outcome == "" {
			c.addDependencies(j)
			c.mayHaveOpenRuns = c.mayHaveOpenRuns || j.Sweep != ""
		}
		c.jobArrived(j)
	}
	j.Revision = ch.Revision
	if r.Outcome != "" && j.Outcome == "" {
		j.Outcome = r.Outcome
		c.noteEnd(id, jobstate.End{Outcome: r.Outcome, Tasks: j.Tasks}, ch.Revision)
		c.jobEnded(j)
	}
	if r.Outcome != "" {
		j.CancelledByDependency = false
	}
}

func (c *Core) applyRun(rest string, ch Change, bad func(error)) {
	id, v, err := parseChunkKey(rest)
	if err != nil {
		bad(err)
		return
	}
	if c.leadership != nil {
		return // the leader is the one that writes these
	}
	j := c.jobs[id]
	if ch.Removed {
		c.setOrphanedRevision(id, v, 0)
		if j != nil {
			j.SetChunkRevision(v, 0)
		}
		return
	}
	if j == nil {
		// A job's chunks may be read before the job itself.
		c.putOrphanedChunk(id, v, ch)
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
		c.imageHistory.placed(j.Task(i).Machine, j)
	}
}

// orphanChunks remembers the values that a removed job leaves, for the leader to
// remove when it can spare a write.
func (c *Core) orphanChunks(j *jobstate.Job) {
	values, stamps := j.StoredChunks()
	for i, v := range values {
		c.putOrphanedChunk(j.ID, v, Change{Revision: stamps[i]})
	}
}

func (c *Core) putOrphanedChunk(id string, v jobstate.ChunkRef, ch Change) {
	if c.orphanedChunks[id] == nil {
		c.orphanedChunks[id] = map[jobstate.ChunkRef]Change{}
	}
	c.orphanedChunks[id][v] = ch
}

// noteEnd notes how a job has ended, stored with a revision, or 0 if that is not
// known. Whatever users are told of an end has passed here, so it is here that
// this controller begins to vouch for a cancellation.
func (c *Core) noteEnd(id string, e jobstate.End, rev uint64) {
	if e.Outcome == jobstate.Cancelled && !c.cancelledWithSweep(id) {
		c.readLeaseGrantor.RecordCancellation(id, rev)
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
			c.imageHistory.finished(j)
		}
		c.jobEnded(j)
	}
	c.resolveDependents(id, e)
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
		c.machineTypes, c.typesRevision, c.typesWholeRevision = list, ch.Revision, ch.Revision
		return
	}
	// Parts of before the value fitted again, as when a list is read.
	if ch.Revision < c.typesWholeRevision {
		return
	}
	c.typesRevision = ch.Revision
	for _, t := range list {
		if i := slices.IndexFunc(c.machineTypes, func(o fleet.Type) bool { return o.Name == t.Name }); i >= 0 {
			c.machineTypes[i] = t
		} else {
			c.machineTypes = append(c.machineTypes, t)
		}
	}
}

// steadyTime converts a time of day to the steady clock; one that is not known, or
// that lies ahead, is now.
func (c *Core) steadyTime(wall int64) int64 {
	if wall == 0 || c.wallOffset == 0 {
		return c.now
	}
	return min(c.now, wall-c.wallOffset)
}

// chunkKey is the key of a value of a job's progress. Values of the first format
// have a number only.
func chunkKey(id string, v jobstate.ChunkRef) string {
	n := strconv.Itoa(v.Index)
	if v.ChunkSize != jobstate.DefaultChunkSize {
		n = strconv.Itoa(v.ChunkSize) + "-" + n
	}
	return runPrefix + id + "/" + n
}

// parseChunkKey reads what follows the prefix of such a key.
func parseChunkKey(rest string) (id string, v jobstate.ChunkRef, err error) {
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

func encodeJSON(v any) []byte { return jobstate.Encode(v) }
