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
	// uncompactedChunks are the chunks whose stored values lack entries that stand here; the
	// page is needed for as long as there are any.
	uncompactedChunks map[chunkRef]struct{}
	// newest has the newest entry of each task here, size about how long the
	// value is, names whose names it has.
	newest map[taskRef]int
	names  map[string]struct{}
	size   int
}

// chunkRef is a chunk of a job.
type chunkRef struct {
	job   *jobstate.Job
	chunk int
}

// taskRef is a task of a job by its ID.
type taskRef struct {
	job  string
	task int
}

// maxLogBytes is how much of the log is kept before its oldest page is folded
// into the values of the chunks that it tells of.
const maxLogBytes = 128 << 10

// emptyPageBytes is no less than the value of a page without entries takes.
const emptyPageBytes = 80

// pageKey sorts by number.
func pageKey(n int) string { return fmt.Sprintf("%s%010d", logPrefix, n) }

// applyPage takes over what is new in a page; name is its key without the prefix.
func (s *stateCache) applyPage(name string, change Change, reject func(error)) {
	number, err := strconv.Atoi(name)
	if err != nil {
		reject(err)
		return
	}
	if s.elector.isLeader() {
		return // the leader is the one that writes these
	}
	i, known := slices.BinarySearchFunc(s.progressLog, number, func(page *logPage, number int) int {
		return cmp.Compare(page.number, number)
	})
	if change.Removed {
		if known {
			s.progressLog = slices.Delete(s.progressLog, i, i+1)
		}
		return
	}
	if known && s.progressLog[i].Revision >= change.Revision {
		return
	}
	page, err := jobstate.DecodeLogPage(change.Value)
	if err != nil {
		reject(err)
		return
	}
	page.Revision = change.Revision
	from := 0
	if known {
		from = len(s.progressLog[i].Entries)
		s.progressLog[i].LogPage = page
	} else {
		s.progressLog = slices.Insert(s.progressLog, i, &logPage{LogPage: page, number: number})
	}
	s.applyEntries(&page, from)
}

// applyEntries takes over the entries of a page from an index on.
func (s *stateCache) applyEntries(page *jobstate.LogPage, from int) {
	for k := from; k < len(page.Entries); k++ {
		entry := &page.Entries[k]
		if j := s.jobs[entry.Job]; j != nil {
			j.ApplyLogEntry(entry, page.FirstSeq+uint64(k), s.now)
			s.imageHistory.recordPlacement(entry.Machine, j)
		}
	}
}

// replayLog goes through the log again for a job of which something older was
// read after it.
func (s *stateCache) replayLog(j *jobstate.Job) {
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
	commits := &c.elector.leadership.commits
	for _, page := range c.cache.progressLog {
		page.uncompactedChunks = map[chunkRef]struct{}{}
		for k := range page.Entries {
			entry := &page.Entries[k]
			if j := c.cache.jobs[entry.Job]; j != nil && j.Task(entry.Task) != nil {
				page.uncompactedChunks[chunkRef{j, entry.Task / j.ChunkSize()}] = struct{}{}
			}
		}
		commits.nextLogEntry = max(commits.nextLogEntry, page.NextSeq())
	}
	for _, j := range c.cache.jobs {
		for n := range j.NumChunks() {
			commits.nextLogEntry = max(commits.nextLogEntry, j.FirstUnstoredSeq(n))
		}
	}
}

// newPage begins the page that is written to next. A leader never goes on with a page of
// an earlier one.
func (c *committer) newPage() *logPage {
	number := 1
	if pages := c.cache.progressLog; len(pages) > 0 {
		number = pages[len(pages)-1].number + 1
	}
	commits := &c.elector.leadership.commits
	page := &logPage{
		LogPage:           jobstate.LogPage{FirstSeq: commits.nextLogEntry},
		number:            number,
		uncompactedChunks: map[chunkRef]struct{}{},
		newest:            map[taskRef]int{},
		names:             map[string]struct{}{},
		size:              emptyPageBytes,
	}
	c.cache.progressLog = append(c.cache.progressLog, page)
	commits.logTail = page
	return page
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
	p.uncompactedChunks[ref] = struct{}{}
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

// setOrphanedRevision sets the revision of a chunk without its job, 0 for none.
func (c *committer) setOrphanedRevision(id string, ref jobstate.ChunkRef, revision uint64) {
	chunks := c.cache.orphanedChunks[id]
	if chunks == nil {
		return
	}
	if revision != 0 {
		chunks[ref] = Change{Revision: revision}
		return
	}
	delete(chunks, ref)
	if len(chunks) == 0 {
		delete(c.cache.orphanedChunks, id)
	}
}

// lacksEntries says that the stored value of a chunk does not have all of a page's
// entries, and that its job is still there to need them.
func (c *committer) lacksEntries(ref chunkRef, page *logPage) bool {
	return c.cache.jobs[ref.job.ID] == ref.job && ref.job.FirstUnstoredSeq(ref.chunk) < page.NextSeq()
}

// progressLogTick finds the pages that nothing needs any more, and folds the oldest
// when there are too many.
func (c *committer) progressLogTick() {
	c.countRemovablePages()
	most := max(minLogPages, maxLogBytes/max(c.membership.valueLimit(), 1))
	pages := c.cache.progressLog
	for _, page := range pages[:max(0, len(pages)-most)] {
		c.compactPage(page)
	}
}

// minLogPages is how many pages are kept at least, however small they are.
const minLogPages = 8

// countRemovablePages counts the pages at the front that nothing needs any more.
func (c *committer) countRemovablePages() {
	commits := &c.elector.leadership.commits
	commits.removablePages = 0
	for i, page := range c.cache.progressLog {
		for ref := range page.uncompactedChunks {
			if !c.lacksEntries(ref, page) {
				delete(page.uncompactedChunks, ref)
			}
		}
		if page == commits.logTail || len(page.uncompactedChunks) > 0 {
			return // they go in their order
		}
		commits.removablePages = i + 1
	}
}

// compactPage has the chunks that a page is needed for written as values.
func (c *committer) compactPage(page *logPage) {
	for ref := range page.uncompactedChunks {
		if c.lacksEntries(ref, page) {
			ref.job.CompactChunk(ref.chunk, c.now)
			c.markDirty(ref.job)
		}
	}
}
