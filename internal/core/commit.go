package core

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

// leaderState is the leader's work in progress.
type leaderState struct {
	dirty     map[*ledger.Job]struct{}
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
	// known are the images that the last leader knew of, inherited its
	// sources; hints is what this one has written.
	known     map[string][]hintImage
	inherited []*ledger.Spec
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
	ordinary map[string]int64
	cloud    cloudState
	parked   map[string]parked
	// unparkWanted: orders may have come for parked reports.
	unparkWanted bool
	sweptAt      int64
	warm         warmState
}

func newLeaderState(now int64) leaderState {
	return leaderState{dirty: map[*ledger.Job]struct{}{}, planWanted: true, cloud: newCloudState(now), parked: map[string]parked{}, ordinary: map[string]int64{}, stuckLog: map[string]int64{}, known: map[string][]hintImage{}, hints: map[string][]byte{}, hintsAt: now, warm: newWarmState(), via: map[string]int64{}, shunned: map[string]int64{}}
}

// commitGap is the least time between transactions, to gather changes.
const commitGap = 60_000

// maxTxnBytes stays below the service's 64 KiB for a transaction.
const maxTxnBytes = 48 << 10

func (c *Core) mark(j *ledger.Job) {
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
func commitRank(j *ledger.Job) int {
	// Of one that is over only keys are left to be removed.
	if j.Over == "" && (j.NumDone == j.Tasks || j.AnyPlacing()) {
		return 0
	}
	return 1
}

// item is one job's part of a transaction.
type item struct {
	job      *ledger.Job
	chunks   []int
	versions []uint64
	finish   bool // writes the end
	remove   bool // deletes the job's keys
	removed  []int
}

// commitNow writes as much of what changed as the budget allows: high
// priority first, then what has waited longest. All of it holds only while
// this controller's leadership key stands as it was.
func (c *Core) commitNow() {
	l := c.lead
	if l == nil || l.flying || l.resolving > 0 || c.now < l.notBefore || len(l.dirty) == 0 {
		return
	}
	c.budget.refill(c.now, c.writeRate())
	ops := min(c.set.State.TxnOps, int(c.budget.level)-1)
	if ops < 1 {
		return
	}
	jobs := make([]*ledger.Job, 0, len(l.dirty))
	for j := range l.dirty {
		jobs = append(jobs, j)
	}
	order := make(map[*ledger.Job]commitKey, len(jobs))
	for _, j := range jobs {
		order[j] = commitKey{commitRank(j), c.oldest(j)}
	}
	slices.SortFunc(jobs, func(a, b *ledger.Job) int {
		x, y := order[a], order[b]
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(b.Priority, a.Priority), cmp.Compare(x.at, y.at), cmp.Compare(a.Arrival, b.Arrival))
	})
	// While the budget is short, what can wait does so for a while, so that
	// one write takes many tasks' ends.
	scarce := c.budget.level < c.writeRate()/2
	when := []Cond{{leaderKey, l.stamp}}
	var writes []Write
	var items []item
	size := 0
	add := func(w Write, cond Cond) {
		writes = append(writes, w)
		when = append(when, cond)
		size += len(w.Value) + len(w.Key)*2 + 80
	}
	for _, j := range jobs {
		room := ops - len(writes)
		if room < 1 || size > maxTxnBytes {
			break
		}
		it := item{job: j}
		switch {
		case j.Over == "" && j.NumDone == j.Tasks:
			if room < 2 {
				continue
			}
			it.finish = true
			e := ledger.End{Outcome: ledger.Done, Tasks: j.Tasks}
			add(Write{Key: endPrefix + j.ID, Value: encode(e)}, Cond{endPrefix + j.ID, 0})
			if it.removed = storedChunks(j); j.NumPlaced == 0 && len(it.removed)+2 <= room {
				c.addRemoval(&it, add)
				break
			}
			it.removed = nil
			add(Write{Key: jobPrefix + j.ID, Value: encode(ledger.Record{Spec: j.Spec, Arrival: j.Arrival, Over: ledger.Done, Submitted: j.Submitted})},
				Cond{jobPrefix + j.ID, j.Stamp})
		case j.Over != "" && j.NumPlaced == 0:
			if it.removed = storedChunks(j); len(it.removed)+1 > room {
				// More chunks than fit: some now, the job's key last.
				it.removed = it.removed[:min(room, len(it.removed))]
				for _, n := range it.removed {
					add(Write{Key: runKey(j.ID, n)}, Cond{runKey(j.ID, n), j.Chunk(n).Stamp})
				}
				break
			}
			c.addRemoval(&it, add)
		case j.Over != "":
			// Nothing of it will be started again, so its exits need not
			// be stored one by one.
			continue
		default:
			for _, n := range j.Dirty() {
				if len(writes) >= ops || size > maxTxnBytes {
					break
				}
				if scarce && !j.Placing(n) && c.now-j.Chunk(n).Queued < endsWait {
					continue
				}
				v, version := j.Take(n)
				add(Write{Key: runKey(j.ID, n), Value: v}, Cond{runKey(j.ID, n), j.Chunk(n).Stamp})
				it.chunks = append(it.chunks, n)
				it.versions = append(it.versions, version)
			}
		}
		if len(it.chunks) > 0 || len(it.removed) > 0 || it.finish || it.remove {
			items = append(items, it)
		}
	}
	if len(writes) == 0 {
		return
	}
	c.budget.level -= float64(len(writes))
	l.flying = true
	sent := c.now
	c.multi(when, writes, func(m Committed) {
		if c.lead != l {
			return
		}
		l.flying = false
		l.notBefore = sent + commitGap
		if m.Status == 200 {
			c.proven(sent)
			for i := range items {
				c.committed(&items[i], m.Ledger)
			}
			l.planWanted, l.unparkWanted = true, true
			return
		}
		// Refused, or nobody knows. Either way the same keys are written
		// again under the same versions: if the first write was or will be
		// executed after all, one of the two fails, and nothing was told
		// to anybody on its account.
		for i := range items {
			for _, n := range items[i].chunks {
				items[i].job.Unwritten(n)
			}
		}
		l.notBefore = c.now + 150_000
		if m.Status == 409 {
			for _, k := range m.Failed {
				c.resolve(l, k)
			}
		} else if m.Status == 400 {
			c.log.Error("the state service calls a transaction malformed", "writes", len(writes))
			l.notBefore = c.now + second
		}
	})
}

func storedChunks(j *ledger.Job) []int {
	var l []int
	for n := range j.Chunks() {
		if j.Chunk(n).Stamp != 0 {
			l = append(l, n)
		}
	}
	return l
}

func (c *Core) addRemoval(it *item, add func(Write, Cond)) {
	it.remove = true
	j := it.job
	for _, n := range it.removed {
		add(Write{Key: runKey(j.ID, n)}, Cond{runKey(j.ID, n), j.Chunk(n).Stamp})
	}
	add(Write{Key: jobPrefix + j.ID}, Cond{jobPrefix + j.ID, j.Stamp})
}

// oldest is when the oldest unwritten change of a job was made.
func (c *Core) oldest(j *ledger.Job) int64 {
	if at := j.Queued(); at != 0 {
		return at
	}
	return c.now
}

// committed applies what a transaction made true.
func (c *Core) committed(it *item, stamp uint64) {
	j := it.job
	if it.finish {
		if !it.remove {
			j.Stamp = stamp
		}
		c.log.Info("job done", "job", j.ID, "tasks", j.Tasks)
		c.noteEnd(j.ID, ledger.End{Outcome: ledger.Done, Tasks: j.Tasks})
	}
	for i, n := range it.chunks {
		j.Written(n, it.versions[i], stamp)
	}
	for _, n := range it.removed {
		j.Chunk(n).Stamp = 0
	}
	if it.remove {
		if j.Over == ledger.Done {
			c.addSources(j.Spec) // none of its tasks is on a machine now
		}
		delete(c.jobs, j.ID)
		c.dropJob(j)
		return
	}
	c.settle(j)
}

// settle takes a job off the list of dirty ones if nothing is left to write.
func (c *Core) settle(j *ledger.Job) {
	if j.Over != "" && j.NumPlaced == 0 || j.Over == "" && j.NumDone == j.Tasks || len(j.Dirty()) > 0 {
		c.mark(j)
		return
	}
	delete(c.lead.dirty, j)
}

// resolve reads a key whose version was not the expected one.
func (c *Core) resolve(l *leadership, key string) {
	if key == leaderKey {
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
		id, n, isRun := strings.Cut(strings.TrimPrefix(key, runPrefix), "/")
		switch {
		case strings.HasPrefix(key, runPrefix) && isRun:
			if j := c.jobs[id]; j != nil {
				if i := atoi(n); i >= 0 && i < j.Chunks() {
					j.Chunk(i).Stamp = g.Stamp
				}
			}
		case strings.HasPrefix(key, endPrefix):
			var e ledger.End
			if g.Stamp != 0 && json.Unmarshal(g.Value, &e) == nil {
				c.noteEnd(key[len(endPrefix):], e)
			}
		case strings.HasPrefix(key, jobPrefix):
			if g.Stamp != 0 {
				c.apply(Change{Key: key, Value: g.Value, Stamp: g.Stamp})
			} else if j := c.jobs[key[len(jobPrefix):]]; j != nil {
				delete(c.jobs, j.ID)
				c.dropJob(j)
			}
		}
	})
}

func atoi(s string) int {
	n := 0
	for _, r := range s {
		if r < '0' || r > '9' || n > ledger.MaxTasks {
			return -1
		}
		n = n*10 + int(r-'0')
	}
	return n
}

// jobArrived, jobOver and dropJob are called by the mirror.
func (c *Core) jobArrived(j *ledger.Job) {
	if c.lead != nil {
		c.lead.planWanted = true
		c.noteUse(j.Spec)
	}
}

func (c *Core) jobOver(j *ledger.Job) {
	if c.lead == nil {
		return
	}
	j.EachPlaced(func(i int, t *ledger.Task) {
		if !t.Sent {
			c.clear(j, i) // no worker was ever told of it
			return
		}
		c.stop(j, i, j.Over, 0)
	})
	c.mark(j)
	c.lead.planWanted = true
}

func (c *Core) dropJob(j *ledger.Job) {
	if c.lead == nil {
		return
	}
	delete(c.lead.dirty, j)
	j.EachPlaced(func(i int, t *ledger.Task) {
		if m := c.lead.fleet[t.Machine]; m != nil {
			m.Drop(fleet.Ref{Job: j, Index: i})
		}
	})
	c.lead.planWanted = true
}

// clear removes a placement that is proven to be gone.
func (c *Core) clear(j *ledger.Job, i int) {
	t := j.Task(i)
	if m := c.lead.fleet[t.Machine]; m != nil {
		m.Drop(fleet.Ref{Job: j, Index: i})
		if len(m.Placed) == 0 {
			m.IdleSince = c.now
		}
	}
	j.Clear(i, c.now)
	c.mark(j)
	c.lead.planWanted = true
}

// stop asks for an attempt to be stopped; grace 0 ends it at once.
func (c *Core) stop(j *ledger.Job, i int, why string, grace int64) {
	t := j.Task(i)
	if t.Stop != "" && grace >= t.Grace {
		return
	}
	if t.Stop == "" {
		t.StopAt = c.now
	}
	t.Stop, t.Grace = why, grace
	c.lead.unparkWanted = true
	c.direct(j, i)
}
