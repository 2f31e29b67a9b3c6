package core

import (
	"cmp"
	"fmt"
	"github.com/zinclb/zinclb/internal/core/kv"
	"maps"
	"slices"
	"strconv"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// page is a value of the log of progress and what the leader keeps of it.
type page struct {
	jobstate.LogPage
	n int
	// refs are the chunks whose stored values lack entries that stand here; the
	// page is needed for as long as there are any.
	refs map[chunkRef]struct{}
	// newest has the newest entry of each task here, size about how long the
	// value is, names whose names it has.
	newest map[taskRef]int
	names  map[string]struct{}
	size   int
}

type chunkRef struct {
	job   *jobstate.Job
	chunk int
}

type taskRef struct {
	job  string
	task int
}

// logBytes is how much of the log is kept before its oldest page is folded
// into the values of the chunks that it tells of.
const logBytes = 128 << 10

// pageKey sorts by number.
func pageKey(n int) string { return fmt.Sprintf("%s%010d", logPrefix, n) }

// applyPage takes over what is new in a page.
func (c *Core) applyPage(num string, ch Change, bad func(error)) {
	n, err := strconv.Atoi(num)
	if err != nil {
		bad(err)
		return
	}
	if c.lead != nil {
		return // the leader is the one that writes these
	}
	i, had := slices.BinarySearchFunc(c.pages, n, func(p *page, n int) int { return cmp.Compare(p.n, n) })
	if ch.Removed {
		if had {
			c.pages = slices.Delete(c.pages, i, i+1)
		}
		return
	}
	if had && c.pages[i].Revision >= ch.Revision {
		return
	}
	p, err := jobstate.DecodeLogPage(ch.Value)
	if err != nil {
		bad(err)
		return
	}
	p.Revision = ch.Revision
	from := 0
	if had {
		from = len(c.pages[i].Entries)
		c.pages[i].LogPage = p
	} else {
		c.pages = slices.Insert(c.pages, i, &page{LogPage: p, n: n})
	}
	for k := from; k < len(p.Entries); k++ {
		if j := c.jobs[p.Entries[k].Job]; j != nil {
			j.ApplyLogEntry(&p.Entries[k], p.FirstSeq+uint64(k), c.now)
			c.recall.placed(p.Entries[k].Machine, j)
		}
	}
}

// reapply goes through the log again for a job of which something older was
// read after it.
func (c *Core) reapply(j *jobstate.Job) {
	for _, p := range c.pages {
		for k := range p.Entries {
			if p.Entries[k].Job == j.ID {
				j.ApplyLogEntry(&p.Entries[k], p.FirstSeq+uint64(k), c.now)
			}
		}
	}
}

// openLog is called when this controller begins to lead, and when chunks are
// split: it finds out what each page is needed for.
func (c *Core) openLog() {
	l := c.lead
	for _, p := range c.pages {
		p.refs = map[chunkRef]struct{}{}
		for k := range p.Entries {
			if j := c.jobs[p.Entries[k].Job]; j != nil && j.Task(p.Entries[k].Task) != nil {
				p.refs[chunkRef{j, p.Entries[k].Task / j.ChunkSize()}] = struct{}{}
			}
		}
		l.seq = max(l.seq, p.NextSeq())
	}
	for _, j := range c.jobs {
		for n := range j.NumChunks() {
			l.seq = max(l.seq, j.FirstUnstoredSeq(n))
		}
	}
}

// newPage begins the page that is written to next. One of an earlier leader is
// never gone on with.
func (c *Core) newPage() *page {
	n := 1
	if len(c.pages) > 0 {
		n = c.pages[len(c.pages)-1].n + 1
	}
	p := &page{LogPage: jobstate.LogPage{FirstSeq: c.lead.seq}, n: n, refs: map[chunkRef]struct{}{}, newest: map[taskRef]int{}, names: map[string]struct{}{}, size: 80}
	c.pages = append(c.pages, p)
	c.lead.tail = p
	return p
}

// append enters changes of a chunk, or nothing if they don't fit. An entry that
// was once sent stays, as the write may have been, or may yet be, executed.
func (p *page) append(ref chunkRef, entries []jobstate.LogEntry, limit int) bool {
	had := len(p.Entries)
	for _, e := range entries {
		if k, ok := p.newest[taskRef{e.Job, e.Task}]; ok && p.Entries[k] == e {
			continue // a write that failed had it
		}
		// No less than it takes: names may be new, and numbers as long as they
		// ever get but the attempt's.
		p.size += len("9999,99999,,9999,") + len(strconv.FormatUint(uint64(e.Attempt)*2+1, 10))
		for _, n := range []string{e.Machine, e.Job} {
			if _, ok := p.names[n]; !ok {
				p.size += len(n) + 3
			}
		}
		p.Entries = append(p.Entries, e)
	}
	if p.size > limit {
		// It is less in fact, as names share what they begin with.
		if p.size = len(p.Encode()); p.size > limit {
			p.Entries = p.Entries[:had]
			p.size = len(p.Encode())
			return false
		}
	}
	for k := had; k < len(p.Entries); k++ {
		e := &p.Entries[k]
		p.newest[taskRef{e.Job, e.Task}] = k
		p.names[e.Machine], p.names[e.Job] = struct{}{}, struct{}{}
	}
	p.refs[ref] = struct{}{}
	return true
}

// pageWrites are the pages of a transaction that is being put together.
type pageWrites struct {
	c     *Core
	pages []*page
}

// ops is how many writes they take.
func (w *pageWrites) ops() int { return len(w.pages) }

// append enters the changes of a chunk in the log, if that can be done with so
// much room for writes.
func (w *pageWrites) append(j *jobstate.Job, n, room int) (version uint64, ok bool) {
	c := w.c
	if !c.joined() {
		return 0, false
	}
	entries, whole := j.ChangedEntries(n)
	if whole {
		return 0, false
	}
	ref, limit := chunkRef{j, n}, c.valueLimit()
	p := c.lead.tail
	if p == nil {
		p = c.newPage()
	}
	begun := len(w.pages) > 0 && w.pages[len(w.pages)-1] == p
	if !begun && room < 1 {
		return 0, false
	}
	if !p.append(ref, entries, limit) {
		if room < 1 || len(p.Entries) == 0 {
			return 0, false
		}
		if p, begun = c.newPage(), false; !p.append(ref, entries, limit) {
			return 0, false
		}
	}
	if !begun {
		w.pages = append(w.pages, p)
	}
	c.lead.seq = p.NextSeq()
	return j.BeginLogWrite(n), true
}

func (w *pageWrites) add(add func(Write, Cond)) {
	for _, p := range w.pages {
		add(Write{Key: pageKey(p.n), Value: p.Encode()}, kv.RevisionIs(pageKey(p.n), p.Revision))
	}
}

func (w *pageWrites) written(stamp uint64) {
	for _, p := range w.pages {
		p.Revision = stamp
	}
}

// garbage are the keys that a transaction removes because nothing needs them.
type garbage struct {
	c     *Core
	pages int
	runs  map[string][]jobstate.ChunkRef
}

// addGarbage fills up a transaction with removals, if writes can be spared.
func (c *Core) addGarbage(room int, scarce bool, add func(Write, Cond)) *garbage {
	g := &garbage{c: c, runs: map[string][]jobstate.ChunkRef{}}
	if !c.joined() || c.now < c.lead.keepUntil {
		return g
	}
	if scarce {
		room = min(room, 1)
	}
	for ; g.pages < c.lead.unneeded && room > 0; room-- {
		p := c.pages[g.pages]
		add(Write{Key: pageKey(p.n)}, kv.RevisionIs(pageKey(p.n), p.Revision))
		g.pages++
	}
	if scarce {
		return g
	}
	for _, id := range slices.Sorted(maps.Keys(c.orphaned)) {
		if c.jobs[id] != nil {
			continue
		}
		for v, ch := range c.orphaned[id] {
			if room <= 0 {
				return g
			}
			add(Write{Key: runKey(id, v)}, kv.RevisionIs(runKey(id, v), ch.Revision))
			g.runs[id] = append(g.runs[id], v)
			room--
		}
	}
	return g
}

func (g *garbage) done() {
	c := g.c
	c.pages = slices.Delete(c.pages, 0, g.pages)
	c.lead.unneeded -= g.pages
	for id, values := range g.runs {
		for _, v := range values {
			c.noteOrphan(id, v, 0)
		}
	}
}

// noteOrphan sets the version of a value without its job, 0 for none.
func (c *Core) noteOrphan(id string, v jobstate.ChunkRef, stamp uint64) {
	m := c.orphaned[id]
	if m == nil {
		return
	}
	if stamp != 0 {
		m[v] = Change{Revision: stamp}
	} else if delete(m, v); len(m) == 0 {
		delete(c.orphaned, id)
	}
}

// lacks says that the stored value of a chunk does not have all of a page's
// entries, and that its job is still there to need them.
func (c *Core) lacks(r chunkRef, p *page) bool {
	return c.jobs[r.job.ID] == r.job && r.job.FirstUnstoredSeq(r.chunk) < p.NextSeq()
}

// logTick finds the pages that nothing needs any more, and folds the oldest
// when there are too many.
func (c *Core) logTick() {
	l := c.lead
	l.unneeded = 0
	for i, p := range c.pages {
		for r := range p.refs {
			if !c.lacks(r, p) {
				delete(p.refs, r)
			}
		}
		if p == l.tail || len(p.refs) > 0 {
			break // they go in their order
		}
		l.unneeded = i + 1
	}
	most := max(8, logBytes/max(c.valueLimit(), 1))
	for i := range c.pages[:max(0, len(c.pages)-most)] {
		for r := range c.pages[i].refs {
			if c.lacks(r, c.pages[i]) {
				r.job.CompactChunk(r.chunk, c.now)
				c.mark(r.job)
			}
		}
	}
}
