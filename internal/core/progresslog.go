package core

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// logPage is a page of the progress log, with the leader's bookkeeping of it.
type logPage struct {
	jobstate.LogPage
	number int
	// uncompactedChunks are the chunks whose stored values lack entries of this page; the
	// page is needed as long as there are any.
	uncompactedChunks map[chunkRef]struct{}
	// newest has the index of each task's newest entry in this page. size is the approximate
	// size of the encoded page in bytes, names the names of machines and jobs in it.
	newest map[taskRef]int
	names  map[string]struct{}
	size   int
}

// chunkRef identifies a chunk of a job.
type chunkRef struct {
	job   *jobstate.Job
	chunk int
}

// taskRef identifies a task of a job by the job's ID.
type taskRef struct {
	job  string
	task int
}

// maxLogBytes is the size up to which log pages are kept. Beyond it the oldest pages are
// compacted: the chunks to which their entries belong are written as values.
const maxLogBytes = 128 << 10

// emptyPageBytes is an upper bound on the size of an encoded page without entries.
const emptyPageBytes = 80

// pageKey returns the key of a page; keys sort by page number.
func pageKey(n int) string { return fmt.Sprintf("%s%010d", logPrefix, n) }

// applyPage applies the new entries of a page; name is its key without the prefix.
func (s *stateCache) applyPage(name string, change Change, reportInvalid func(error)) {
	number, err := strconv.Atoi(name)
	if err != nil {
		reportInvalid(err)
		return
	}
	if s.elector.isLeader() {
		return // only the leader writes pages
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
		reportInvalid(err)
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

// applyEntries applies the entries of a page from an index on.
func (s *stateCache) applyEntries(page *jobstate.LogPage, from int) {
	for k := from; k < len(page.Entries); k++ {
		entry := &page.Entries[k]
		if job := s.jobs[entry.Job]; job != nil {
			job.ApplyLogEntry(entry, page.FirstSeq+uint64(k), s.now)
			s.imageHistory.recordPlacement(entry.Machine, job)
		}
	}
}

// replayLog applies the log's entries for a job again. It is called after the job's record or a
// chunk was loaded, because these may be older than the log entries but be read later.
func (s *stateCache) replayLog(job *jobstate.Job) {
	for _, p := range s.progressLog {
		for k := range p.Entries {
			if p.Entries[k].Job == job.ID {
				job.ApplyLogEntry(&p.Entries[k], p.FirstSeq+uint64(k), s.now)
			}
		}
	}
}

// openProgressLog determines for which chunks each page is needed, and the next sequence number.
// It is called when this controller becomes the leader, and when chunks are split.
func (c *committer) openProgressLog() {
	commits := &c.elector.leadership.commits
	for _, page := range c.cache.progressLog {
		page.uncompactedChunks = map[chunkRef]struct{}{}
		for k := range page.Entries {
			entry := &page.Entries[k]
			if job := c.cache.jobs[entry.Job]; job != nil && job.Task(entry.Task) != nil {
				page.uncompactedChunks[chunkRef{job, entry.Task / job.ChunkSize()}] = struct{}{}
			}
		}
		commits.nextLogEntry = max(commits.nextLogEntry, page.NextSeq())
	}
	for _, job := range c.cache.jobs {
		for n := range job.NumChunks() {
			commits.nextLogEntry = max(commits.nextLogEntry, job.FirstUnstoredSeq(n))
		}
	}
}

// newPage adds a page and makes it the one that is appended to. A leader never appends to a page
// of an earlier leader.
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

// append appends the changed entries of a chunk and reports whether they fit; if they do not, it
// appends none. An entry that was sent once stays in the page, as the write may have been
// executed, or may be executed later.
func (p *logPage) append(ref chunkRef, entries []jobstate.LogEntry, limit int) bool {
	previousLen := len(p.Entries)
	for _, entry := range entries {
		if k, ok := p.newest[taskRef{entry.Job, entry.Task}]; ok && p.Entries[k] == entry {
			continue // already appended for a write that failed
		}
		// This is an upper bound: names that are not in the page yet count in full, and
		// numbers other than the attempt count as the most digits that they can have.
		p.size += len("9999,99999,,9999,") + len(strconv.FormatUint(uint64(entry.Attempt)*2+1, 10))
		for _, name := range []string{entry.Machine, entry.Job} {
			if _, ok := p.names[name]; !ok {
				p.size += len(name) + 3
			}
		}
		p.Entries = append(p.Entries, entry)
	}
	if p.size > limit {
		// The encoded size is smaller than the estimate, as names share prefixes.
		if p.size = len(p.Encode()); p.size > limit {
			p.Entries = p.Entries[:previousLen]
			p.size = len(p.Encode())
			return false
		}
	}
	for k := previousLen; k < len(p.Entries); k++ {
		entry := &p.Entries[k]
		p.newest[taskRef{entry.Job, entry.Task}] = k
		p.names[entry.Machine], p.names[entry.Job] = struct{}{}, struct{}{}
	}
	p.uncompactedChunks[ref] = struct{}{}
	return true
}

// pageWrites are the log pages of a transaction that is being built.
type pageWrites struct {
	committer *committer
	pages     []*logPage
}

// count returns the number of writes that the pages take.
func (w *pageWrites) count() int { return len(w.pages) }

// append appends the changes of a chunk to the log, if that is possible with the given number of
// remaining writes.
func (w *pageWrites) append(job *jobstate.Job, index, remainingWrites int) (version uint64, ok bool) {
	c := w.committer
	if !c.membership.logEnabled() {
		return 0, false
	}
	entries, fullWrite := job.ChangedEntries(index)
	if fullWrite {
		return 0, false
	}
	ref, limit := chunkRef{job, index}, c.membership.valueLimit()
	page := c.elector.leadership.commits.logTail
	if page == nil {
		page = c.newPage()
	}
	isIncluded := len(w.pages) > 0 && w.pages[len(w.pages)-1] == page
	if !isIncluded && remainingWrites < 1 {
		return 0, false
	}
	if !page.append(ref, entries, limit) {
		if remainingWrites < 1 || len(page.Entries) == 0 {
			return 0, false
		}
		page, isIncluded = c.newPage(), false
		if !page.append(ref, entries, limit) {
			return 0, false
		}
	}
	if !isIncluded {
		w.pages = append(w.pages, page)
	}
	c.elector.leadership.commits.nextLogEntry = page.NextSeq()
	return job.BeginLogWrite(index), true
}

// committed records the revision at which the pages were written.
func (w *pageWrites) committed(revision uint64) {
	for _, page := range w.pages {
		page.Revision = revision
	}
}

// setPageRevision sets the revision of the page with the given key.
func (s *stateCache) setPageRevision(key string, revision uint64) {
	for _, page := range s.progressLog {
		if pageKey(page.number) == key {
			page.Revision = revision
		}
	}
}

// setOrphanedRevision sets the revision of an orphaned chunk, or removes the chunk if revision is
// 0. It does nothing if the job has no orphaned chunks.
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

// lacksEntries reports whether the stored value of a chunk lacks entries of a page while its job
// still exists.
func (c *committer) lacksEntries(ref chunkRef, page *logPage) bool {
	return c.cache.jobs[ref.job.ID] == ref.job && ref.job.FirstUnstoredSeq(ref.chunk) < page.NextSeq()
}

// progressLogTick determines which pages are not needed any more, and compacts the oldest pages
// if there are too many.
func (c *committer) progressLogTick() {
	c.countRemovablePages()
	maxPages := max(minLogPages, maxLogBytes/max(c.membership.valueLimit(), 1))
	pages := c.cache.progressLog
	for _, page := range pages[:max(0, len(pages)-maxPages)] {
		c.compactPage(page)
	}
}

// minLogPages is the minimum number of pages that are kept, however small they are.
const minLogPages = 8

// countRemovablePages counts the pages at the front that are not needed any more.
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
			return // pages are removed in order
		}
		commits.removablePages = i + 1
	}
}

// compactPage requests that the chunks for which a page is needed are written as values.
func (c *committer) compactPage(page *logPage) {
	for ref := range page.uncompactedChunks {
		if c.lacksEntries(ref, page) {
			ref.job.CompactChunk(ref.chunk, c.now)
			c.markDirty(ref.job)
		}
	}
}
