package core

import (
	"cmp"
	"encoding/json"
	"github.com/zinclb/zinclb/internal/core/kv"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// leaderState is the leader's work in progress.
type leaderState struct {
	dirty     map[*jobstate.Job]struct{}
	flying    bool
	resolving int
	notBefore int64

	planWanted bool
	plannedAt  int64
	pivots     []pivotView
	waiting    []waitingJob
	claims     []claim

	boundsSeq     uint64
	boundsWritten int64
	boundsAt      int64 // when they were last looked at
	boundsFlying  bool
	// capacity is what all usable machines have together.
	capacity jobstate.Resources
	hashes   []uint32 // of the machines that report, kept for its room
	// known are the images that the last leader knew of, inherited its
	// sources; hints is what this one has written.
	known     map[string][]hintImage
	inherited []*jobstate.Spec
	hints     map[string][]byte
	hintsAt   int64
	hintsNext int
	// stuck tells operators of queues that do not move.
	stuck    []string
	stuckAt  int64
	stuckLog map[string]int64
	// via is when a report last came straight to a controller, shunned until
	// when one gets no partition because none came to it.
	via, shunned map[string]int64

	// ordinary is when a type's ordinary machines were last wanted.
	ordinary      map[string]int64
	cloud         cloudState
	parkedAnswers parkedAnswers
	// unparkWanted: orders may have come for parked reports.
	unparkWanted bool
	// spanWanted is a smaller number of tasks for values that did not fit.
	spanWanted int
	activating bool
	activateAt int64
	// backedOff are jobs whose writes were refused or too long, until when; alone
	// says that each is written alone, to find the one that is refused.
	backedOff map[*jobstate.Job]int64
	alone     bool
	// tail is the page that is written to, seq the number of the next entry,
	// unneeded how many pages at the front can go.
	tail     *page
	seq      uint64
	unneeded int
	// keepUntil puts removals of what is not needed off.
	keepUntil int64
	sweptAt   int64
	gone      departed
	sizes     sizes
	sweepsAt  int64 // when sweeps were last gone on with
	warm      warmState
}

func newLeaderState(now int64) leaderState {
	return leaderState{dirty: map[*jobstate.Job]struct{}{}, planWanted: true, cloud: newCloudState(now), parkedAnswers: newParkedAnswers(), ordinary: map[string]int64{}, stuckLog: map[string]int64{}, known: map[string][]hintImage{}, hints: map[string][]byte{}, backedOff: map[*jobstate.Job]int64{}, hintsAt: now, warm: newWarmState(), via: map[string]int64{}, shunned: map[string]int64{}, gone: departed{last: map[string]departure{}}, sizes: sizes{}}
}

// leaderPuts writes a value as a whole, if nothing newer is stored: one of its own
// that got no answer may be executed after later ones.
func (c *Core) leaderPuts(key string, value []byte, done func(Committed)) {
	c.multi([]Cond{kv.RevisionIs(LeaderKey, c.lead.stamp), kv.RevisionIs(key, c.stamps[key])}, []Write{{Key: key, Value: value}}, func(m Committed) {
		if m.Status == 200 {
			c.stamps[key] = max(c.stamps[key], m.Revision)
		}
		done(m)
	})
}

// commitGap is the least time between transactions, to gather changes.
const (
	commitGap = 60_000
	scarceGap = 200_000
)

// maxTxnBytes stays below the service's 64 KiB for a transaction.
const maxTxnBytes = 44 << 10

func (c *Core) mark(j *jobstate.Job) {
	c.lead.dirty[j] = struct{}{}
}

// endsWait is how long the ends of tasks may wait to be written while the
// budget is short. Nothing waits for them: the worker keeps an exited task
// until it is told to forget it, and a new leader learns of it from there.
const endsWait = 4 * second

// commitKey is what jobs are written in the order of.
type commitKey struct {
	rank int
	at   int64
}

// commitRank is 0 where a start or a user waits for a job's writes, and else 1.
func commitRank(j *jobstate.Job) int {
	// Of one that is over only keys are left to be removed.
	if j.Outcome == "" && (j.NumDone == j.Tasks || j.HasAnyPlacementToWrite()) {
		return 0
	}
	return 1
}

// chunkWrite is a version of a chunk that is written, as a value or to the log.
type chunkWrite struct {
	n       int
	version uint64
	logged  bool
}

// item is one job's part of a transaction.
type item struct {
	job     *jobstate.Job
	chunks  []chunkWrite
	finish  bool // writes the end
	derived bool // writes the end of one that is over by another's
	end     jobstate.End
	remove  bool // deletes the job's keys
	removed []jobstate.ChunkRef
}

// commitNow writes as much of what changed as the budget allows: high
// priority first, then what has waited longest. All of it holds only while
// this controller's leadership key stands as it was.
func (c *Core) commitNow() {
	l := c.lead
	if l == nil || l.flying || l.resolving > 0 || c.now < l.notBefore || len(l.dirty) == 0 && l.unneeded == 0 && len(c.orphaned) == 0 {
		return
	}
	c.budget.Refill(c.now, c.allowance.Changes)
	c.resplit()
	ops := min(c.limits().TxnOps, int(c.budget.Level())-1)
	if ops < 1 {
		return
	}
	jobs := make([]*jobstate.Job, 0, len(l.dirty))
	for j := range l.dirty {
		jobs = append(jobs, j)
	}
	order := make(map[*jobstate.Job]commitKey, len(jobs))
	for _, j := range jobs {
		order[j] = commitKey{commitRank(j), c.oldest(j)}
	}
	slices.SortFunc(jobs, func(a, b *jobstate.Job) int {
		x, y := order[a], order[b]
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(b.EffectivePriority, a.EffectivePriority), cmp.Compare(x.at, y.at), cmp.Compare(a.Arrival, b.Arrival), cmp.Compare(a.ID, b.ID))
	})
	// While the budget is short, what can wait does so for a while, so that
	// one write takes many tasks' ends.
	scarce := c.budget.Level() < c.allowance.Changes/2
	when := []Cond{kv.RevisionIs(LeaderKey, l.stamp)}
	var writes []Write
	var items []item
	size := 0
	pages := &pageWrites{c: c}
	full := func() bool { return size+pages.ops()*c.valueLimit() > maxTxnBytes }
	add := func(w Write, cond Cond) {
		writes = append(writes, w)
		when = append(when, cond)
		size += len(w.Value) + len(w.Key)*2 + 80
	}
	// A run must not be done once its sweep is cancelled, as users may have
	// been told that it is.
	open := map[string]bool{}
	stillOpen := func(j *jobstate.Job) {
		if j.Sweep != "" && !open[j.Sweep] {
			open[j.Sweep] = true
			when = append(when, kv.RevisionIs(sweepEndPrefix+j.Sweep, 0))
		}
	}
	addEnd := func(j *jobstate.Job, outcome string) jobstate.End {
		e := c.end(outcome, j)
		add(Write{Key: endPrefix + j.ID, Value: encode(e)}, kv.RevisionIs(endPrefix+j.ID, 0))
		return e
	}
	for _, j := range jobs {
		room := ops - len(writes) - pages.ops()
		if room < 1 && pages.ops() == 0 || full() || l.alone && len(items) > 0 {
			break
		}
		if until, ok := l.backedOff[j]; ok {
			if c.now < until {
				continue
			}
			delete(l.backedOff, j)
		}
		it := item{job: j}
		switch {
		case j.Outcome == "" && j.NumDone == j.Tasks:
			if room < 2 {
				continue
			}
			stillOpen(j)
			it.finish = true
			it.end = addEnd(j, jobstate.Done)
			if values, _ := j.StoredChunks(); j.NumPlaced == 0 && (c.joined() || len(values)+2 <= room) {
				c.addRemoval(&it, room-1, add)
				break
			}
			add(Write{Key: jobPrefix + j.ID, Value: c.overRecord(j, jobstate.Done)}, kv.RevisionIs(jobPrefix+j.ID, j.Revision))
		case j.Outcome != "" && j.NumPlaced == 0:
			if j.CancelledByDependency {
				if room < 2 {
					continue
				}
				addEnd(j, j.Outcome)
				it.derived = true
				room--
			}
			if room < 1 {
				continue
			}
			c.addRemoval(&it, room, add)
		case j.Outcome != "":
			// Nothing of it will be started again, so its exits need not
			// be stored one by one.
			continue
		default:
			for _, n := range j.DirtyChunks() {
				room := ops - len(writes) - pages.ops()
				if version, ok := pages.append(j, n, room); ok {
					it.chunks = append(it.chunks, chunkWrite{n, version, true})
					continue
				}
				if room < 1 || full() {
					break
				}
				if scarce && !j.HasPlacementToWrite(n) && c.now-j.Chunk(n).DirtySince < endsWait {
					continue
				}
				v, version := j.BeginChunkWrite(n, l.seq)
				if len(v) > c.valueLimit() {
					c.tooLong(j, n)
					continue
				}
				key := runKey(j.ID, jobstate.ChunkRef{ChunkSize: j.ChunkSize(), Index: n})
				add(Write{Key: key, Value: v}, kv.RevisionIs(key, j.Chunk(n).Revision))
				it.chunks = append(it.chunks, chunkWrite{n, version, false})
			}
		}
		if len(it.chunks) > 0 || len(it.removed) > 0 || it.finish || it.remove {
			items = append(items, it)
		}
	}
	pages.add(add)
	removals := c.addGarbage(ops-len(writes), scarce, add)
	if len(writes) == 0 {
		return
	}
	c.budget.Spend(float64(len(writes)))
	l.flying = true
	sent := c.now
	c.multi(when, writes, func(m Committed) {
		if c.lead != l {
			return
		}
		l.flying = false
		l.notBefore = sent + commitGap
		if scarce {
			l.notBefore = sent + scarceGap
		}
		if m.Status == 200 {
			if !m.Observed {
				c.proven(sent)
			}
			l.alone = false
			pages.written(m.Revision)
			removals.done()
			for i := range items {
				c.committed(&items[i], m.Revision)
			}
			l.planWanted, l.unparkWanted = true, true
			return
		}
		// Refused, or nobody knows. Either way the same keys are written
		// again under the same versions: if the first write was or will be
		// executed after all, one of the two fails, and nothing was told
		// to anybody on its account.
		for i := range items {
			for _, w := range items[i].chunks {
				items[i].job.AbortChunkWrite(w.n)
			}
		}
		l.notBefore = c.now + 150_000
		if m.Status == 409 {
			for _, k := range m.Failed {
				c.resolve(l, k)
			}
		} else if m.Status == 400 {
			c.malformed(items, len(writes))
		}
	})
}

// malformed handles a transaction that the state service calls malformed: its
// limits may have fallen. What is refused again alone must not hold up the rest.
func (c *Core) malformed(items []item, writes int) {
	l := c.lead
	if len(items) == 0 {
		c.log.Error("the state service calls a transaction malformed", "writes", writes)
		l.keepUntil = c.now + writeBackoff // it had only removals
		return
	}
	c.log.Error("the state service calls a transaction malformed", "writes", writes, "job", items[0].job.ID)
	if !c.tight() {
		if c.lower("a transaction was refused"); c.tight() {
			return // it is made again, within them
		}
	}
	l.tail = nil // what the page was to have goes into another
	if len(items) == 1 {
		l.backedOff[items[0].job] = c.now + writeBackoff
	}
	l.alone = true
}

// writeBackoff is for how long a job is left alone whose write was refused.
const writeBackoff = 10 * second

// tooLong puts a value off that does not fit, and asks for smaller ones.
func (c *Core) tooLong(j *jobstate.Job, n int) {
	j.AbortChunkWrite(n)
	c.lead.backedOff[j] = c.now + second
	if j.ChunkSize() == c.span && c.span > 1 {
		c.lead.spanWanted = c.span / 2
	}
}

// addRemoval deletes a job's keys, its own one last; where there are more than
// there is room for, the others first.
//
// In the second format the job's own key goes at once, and the others when there
// is room: values without their job mean nothing.
func (c *Core) addRemoval(it *item, room int, add func(Write, Cond)) {
	j := it.job
	if c.joined() {
		it.remove = true
		add(Write{Key: jobPrefix + j.ID}, kv.RevisionIs(jobPrefix+j.ID, j.Revision))
		return
	}
	values, stamps := j.StoredChunks()
	it.remove = len(values)+1 <= room
	it.removed = values[:min(room, len(values))]
	for i, v := range it.removed {
		add(Write{Key: runKey(j.ID, v)}, kv.RevisionIs(runKey(j.ID, v), stamps[i]))
	}
	if it.remove {
		add(Write{Key: jobPrefix + j.ID}, kv.RevisionIs(jobPrefix+j.ID, j.Revision))
	}
}

// oldest is when the oldest unwritten change of a job was made.
func (c *Core) oldest(j *jobstate.Job) int64 {
	if at := j.DirtySince(); at != 0 {
		return at
	}
	return c.now
}

// committed applies what a transaction made true.
func (c *Core) committed(it *item, stamp uint64) {
	j := it.job
	if it.finish {
		if !it.remove {
			j.Revision = stamp
		}
		c.log.Info("job done", "job", j.ID, "tasks", j.Tasks)
		c.noteEnd(j.ID, it.end, stamp)
	}
	if it.derived {
		// Not by any write: one of its progress may have been under way when
		// its sweep was cancelled, and the job be removed without an end.
		j.CancelledByDependency = false
	}
	for _, w := range it.chunks {
		if w.logged {
			j.CommitLogWrite(w.n, w.version)
		} else {
			j.CommitChunkWrite(w.n, w.version, stamp)
		}
	}
	for _, v := range it.removed {
		j.SetChunkRevision(v, 0)
	}
	if it.remove {
		if j.Outcome == jobstate.Done && !j.Truncated {
			c.addSources(j.Spec) // none of its tasks is on a machine now
		}
		delete(c.jobs, j.ID)
		c.dropJob(j)
		c.orphan(j)
		return
	}
	c.settle(j)
}

// settle takes a job off the list of dirty ones if nothing is left to write.
func (c *Core) settle(j *jobstate.Job) {
	if j.Outcome != "" && j.NumPlaced == 0 || j.Outcome == "" && j.NumDone == j.Tasks || len(j.DirtyChunks()) > 0 {
		c.mark(j)
		return
	}
	delete(c.lead.dirty, j)
}

// resolve reads a key whose version was not the expected one.
func (c *Core) resolve(l *leadership, key string) {
	if key == LeaderKey {
		c.emit(View{After: c.applied})
		l.resolving++ // nothing more is written under this leadership
		if c.lead == l {
			c.stepDown("the leadership key changed")
		}
		return
	}
	l.resolving++
	c.get(key, func(g Got) {
		if c.lead != l {
			return
		}
		l.resolving--
		if g.Err != nil {
			return // the write is tried again and fails again
		}
		switch {
		case strings.HasPrefix(key, runPrefix):
			id, v, err := runValue(key[len(runPrefix):])
			if err == nil && c.jobs[id] != nil {
				c.jobs[id].SetChunkRevision(v, g.Stamp)
			} else if err == nil {
				c.noteOrphan(id, v, g.Stamp)
			}
		case strings.HasPrefix(key, logPrefix):
			for _, p := range c.pages {
				if pageKey(p.n) == key {
					p.Revision = g.Stamp
				}
			}
		case strings.HasPrefix(key, sweepEndPrefix) && g.Stamp != 0:
			c.sweepTold(key[len(sweepEndPrefix):])
		case strings.HasPrefix(key, endPrefix):
			var e jobstate.End
			if g.Stamp != 0 && json.Unmarshal(g.Value, &e) == nil {
				c.noteEnd(key[len(endPrefix):], e, g.Stamp)
				c.endStored(key[len(endPrefix):])
			}
		case strings.HasPrefix(key, jobPrefix):
			if g.Stamp != 0 {
				c.apply(Change{Key: key, Value: g.Value, Revision: g.Stamp})
			} else if j := c.jobs[key[len(jobPrefix):]]; j != nil {
				delete(c.jobs, j.ID)
				c.dropJob(j)
			}
		}
	})
}

// jobArrived, jobOver and dropJob are called by the mirror.
func (c *Core) jobArrived(j *jobstate.Job) {
	if c.lead != nil {
		c.lead.planWanted = true
		c.noteUse(j.Spec)
		c.lead.sizes.note(j.Spec)
	}
}

func (c *Core) jobOver(j *jobstate.Job) {
	c.graph.Remove(j)
	if c.lead == nil {
		return
	}
	j.EachPlaced(func(i int, t *jobstate.Task) {
		if !t.StartSent {
			c.clear(j, i) // no worker was ever told of it
			return
		}
		c.stop(j, i, j.Outcome, 0)
	})
	c.mark(j)
	c.lead.planWanted = true
}

func (c *Core) dropJob(j *jobstate.Job) {
	c.graph.Remove(j)
	if c.lead == nil {
		return
	}
	delete(c.lead.dirty, j)
	delete(c.lead.backedOff, j)
	j.EachPlaced(func(i int, t *jobstate.Task) {
		if m := c.lead.fleet.Get(t.Machine); m != nil {
			m.RemovePlacement(fleet.TaskRef{Job: j, Index: i})
		}
	})
	c.lead.planWanted = true
}

// clear removes a placement that is proven to be gone.
func (c *Core) clear(j *jobstate.Job, i int) {
	t := j.Task(i)
	if m := c.lead.fleet.Get(t.Machine); m != nil {
		m.RemovePlacement(fleet.TaskRef{Job: j, Index: i})
		if t.Phase == jobstate.Fetching && !fetchesFor(m, j.Image) {
			m.AbandonFetch(j.Image)
		}
		if len(m.Placed) == 0 {
			m.IdleSince = c.now
		}
	}
	j.UnplaceTask(i, c.now)
	c.mark(j)
	c.lead.planWanted = true
}

// fetchesFor says whether a task on a machine waits for an image.
func fetchesFor(m *fleet.Machine, image string) bool {
	for ref := range m.Placed {
		if ref.Job.Image == image && ref.Job.Task(ref.Index).Phase == jobstate.Fetching {
			return true
		}
	}
	return false
}

// stop asks for an attempt to be stopped; grace 0 ends it at once.
func (c *Core) stop(j *jobstate.Job, i int, why string, grace int64) {
	t := j.Task(i)
	if t.StopReason != "" && grace >= t.Grace {
		return
	}
	if t.StopReason == "" {
		t.StopRequestedAt = c.now
	}
	t.StopReason, t.Grace = why, grace
	c.lead.unparkWanted = true
	c.direct(j, i)
}
