package core

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// logPage is a value of the log of progress and what the leader keeps of it.
type logPage struct {
	jobstate.LogPage
	number int
	// unfoldedChunks are the chunks whose stored values lack entries that stand here; the
	// page is needed for as long as there are any.
	unfoldedChunks map[chunkRef]struct{}
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

// maxLogBytes is how much of the log is kept before its oldest page is folded
// into the values of the chunks that it tells of.
const maxLogBytes = 128 << 10

// pageKey sorts by number.
func pageKey(n int) string { return fmt.Sprintf("%s%010d", logPrefix, n) }

// applyPage takes over what is new in a page.
func (s *stateCache) applyPage(num string, ch Change, bad func(error)) {
	n, err := strconv.Atoi(num)
	if err != nil {
		bad(err)
		return
	}
	if s.elector.isLeader() {
		return // the leader is the one that writes these
	}
	i, had := slices.BinarySearchFunc(s.progressLog, n, func(p *logPage, n int) int { return cmp.Compare(p.number, n) })
	if ch.Removed {
		if had {
			s.progressLog = slices.Delete(s.progressLog, i, i+1)
		}
		return
	}
	if had && s.progressLog[i].Revision >= ch.Revision {
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
		from = len(s.progressLog[i].Entries)
		s.progressLog[i].LogPage = p
	} else {
		s.progressLog = slices.Insert(s.progressLog, i, &logPage{LogPage: p, number: n})
	}
	for k := from; k < len(p.Entries); k++ {
		if j := s.jobs[p.Entries[k].Job]; j != nil {
			j.ApplyLogEntry(&p.Entries[k], p.FirstSeq+uint64(k), s.now)
			s.imageHistory.placed(p.Entries[k].Machine, j)
		}
	}
}

// reapply goes through the log again for a job of which something older was
// read after it.
func (s *stateCache) reapply(j *jobstate.Job) {
	for _, p := range s.progressLog {
		for k := range p.Entries {
			if p.Entries[k].Job == j.ID {
				j.ApplyLogEntry(&p.Entries[k], p.FirstSeq+uint64(k), s.now)
			}
		}
	}
}

// openProgressLog is called when this controller begins to lead, and when chunks are
// split: it finds out what each page is needed for.
func (c *committer) openProgressLog() {
	l := c.elector.leadership
	for _, p := range c.cache.progressLog {
		p.unfoldedChunks = map[chunkRef]struct{}{}
		for k := range p.Entries {
			if j := c.cache.jobs[p.Entries[k].Job]; j != nil && j.Task(p.Entries[k].Task) != nil {
				p.unfoldedChunks[chunkRef{j, p.Entries[k].Task / j.ChunkSize()}] = struct{}{}
			}
		}
		l.commits.nextLogEntry = max(l.commits.nextLogEntry, p.NextSeq())
	}
	for _, j := range c.cache.jobs {
		for n := range j.NumChunks() {
			l.commits.nextLogEntry = max(l.commits.nextLogEntry, j.FirstUnstoredSeq(n))
		}
	}
}

// newPage begins the page that is written to next. One of an earlier leader is
// never gone on with.
func (c *committer) newPage() *logPage {
	n := 1
	if len(c.cache.progressLog) > 0 {
		n = c.cache.progressLog[len(c.cache.progressLog)-1].number + 1
	}
	p := &logPage{LogPage: jobstate.LogPage{FirstSeq: c.elector.leadership.commits.nextLogEntry}, number: n, unfoldedChunks: map[chunkRef]struct{}{}, newest: map[taskRef]int{}, names: map[string]struct{}{}, size: 80}
	c.cache.progressLog = append(c.cache.progressLog, p)
	c.elector.leadership.commits.logTail = p
	return p
}

// append enters changes of a chunk, or nothing if they don't fit. An entry that
// was once sent stays, as the write may have been, or may yet be, executed.
func (p *logPage) append(ref chunkRef, entries []jobstate.LogEntry, limit int) bool {
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
	p.unfoldedChunks[ref] = struct{}{}
	return true
}

// pageWrites are the pages of a transaction that is being put together.
type pageWrites struct {
	committer *committer
	pages     []*logPage
}

// count is how many writes they take.
func (w *pageWrites) count() int { return len(w.pages) }

// append enters the changes of a chunk in the log, if that can be done with so
// much room for writes.
func (w *pageWrites) append(j *jobstate.Job, index, room int) (version uint64, ok bool) {
	c := w.committer
	if !c.membership.logEnabled() {
		return 0, false
	}
	entries, whole := j.ChangedEntries(index)
	if whole {
		return 0, false
	}
	ref, limit := chunkRef{j, index}, c.membership.valueLimit()
	page := c.elector.leadership.commits.logTail
	if page == nil {
		page = c.newPage()
	}
	begun := len(w.pages) > 0 && w.pages[len(w.pages)-1] == page
	if !begun && room < 1 {
		return 0, false
	}
	if !page.append(ref, entries, limit) {
		if room < 1 || len(page.Entries) == 0 {
			return 0, false
		}
		page, begun = c.newPage(), false
		if !page.append(ref, entries, limit) {
			return 0, false
		}
	}
	if !begun {
		w.pages = append(w.pages, page)
	}
	c.elector.leadership.commits.nextLogEntry = page.NextSeq()
	return j.BeginLogWrite(index), true
}

// committed notes the revision at which the pages were written.
func (w *pageWrites) committed(revision uint64) {
	for _, page := range w.pages {
		page.Revision = revision
	}
}

// setPageRevision sets the revision of the page that a key is of.
func (s *stateCache) setPageRevision(key string, revision uint64) {
	for _, page := range s.progressLog {
		if pageKey(page.number) == key {
			page.Revision = revision
		}
	}
}

// setOrphanedRevision sets the version of a value without its job, 0 for none.
func (c *committer) setOrphanedRevision(id string, v jobstate.ChunkRef, stamp uint64) {
	m := c.cache.orphanedChunks[id]
	if m == nil {
		return
	}
	if stamp != 0 {
		m[v] = Change{Revision: stamp}
	} else if delete(m, v); len(m) == 0 {
		delete(c.cache.orphanedChunks, id)
	}
}

// lacksEntries says that the stored value of a chunk does not have all of a page's
// entries, and that its job is still there to need them.
func (c *committer) lacksEntries(r chunkRef, p *logPage) bool {
	return c.cache.jobs[r.job.ID] == r.job && r.job.FirstUnstoredSeq(r.chunk) < p.NextSeq()
}

// progressLogTick finds the pages that nothing needs any more, and folds the oldest
// when there are too many.
func (c *committer) progressLogTick() {
	l := c.elector.leadership
	l.commits.unneededPages = 0
	for i, p := range c.cache.progressLog {
		for r := range p.unfoldedChunks {
			if !c.lacksEntries(r, p) {
				delete(p.unfoldedChunks, r)
			}
		}
		if p == l.commits.logTail || len(p.unfoldedChunks) > 0 {
			break // they go in their order
		}
		l.commits.unneededPages = i + 1
	}
	most := max(8, maxLogBytes/max(c.membership.valueLimit(), 1))
	for i := range c.cache.progressLog[:max(0, len(c.cache.progressLog)-most)] {
		for r := range c.cache.progressLog[i].unfoldedChunks {
			if c.lacksEntries(r, c.cache.progressLog[i]) {
				r.job.CompactChunk(r.chunk, c.now)
				c.markDirty(r.job)
			}
		}
	}
}
