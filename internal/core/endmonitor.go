package core

import (
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
)

// endLinesPerSecond bounds how many lines of each kind are logged about ends of jobs.
const endLinesPerSecond = 5

// EndCounts count, since this controller's start, how it learned of ends and how it answered
// without one.
type EndCounts struct {
	// Derived are ends that follow from others, Told those that peers have told first.
	Derived uint64 `json:"derived"`
	Told    uint64 `json:"told_by_peers"`
	// FailedReads are reads of the ends of dependencies that had no answer or found none.
	FailedReads uint64 `json:"failed_reads"`
	// NotFoundCompared and NotFoundRead are answers that a job is not known, because its end
	// was compared with others or read alone.
	NotFoundCompared uint64 `json:"not_found_compared"`
	NotFoundRead     uint64 `json:"not_found_read"`
}

// lineLimit bounds how often a kind of line is logged.
type lineLimit struct {
	budget  ratelimit.TokenBucket
	omitted int
}

// allow says whether a line may be logged now, and how many were left out before it.
func (l *lineLimit) allow(now int64) (omitted int, ok bool) {
	l.budget.Refill(now, endLinesPerSecond)
	if !l.budget.TryTake() {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// endMonitor logs and counts from where ends are known, on account of which end a job's key
// goes, and by what a job is called unknown: from these alone it can be told afterwards how a
// job was lost.
type endMonitor struct {
	*engine

	cache  *stateCache
	reader *stateReader

	counts EndCounts

	derivedLines, toldLines, readLines, removalLines, notFoundLines lineLimit
}

func newEndMonitor(run *engine) *endMonitor { return &endMonitor{engine: run} }

// unstored counts the jobs whose ends are known here, and not that they are stored.
func (m *endMonitor) unstored() int {
	n := 0
	for _, j := range m.cache.jobs {
		if j.Outcome() != "" && !j.End().IsStored() {
			n++
		}
	}
	return n
}

// derived notes that a job's end follows from the end of another, or of its sweep.
func (m *endMonitor) derived(job, from string, end jobstate.KnownEnd) {
	m.counts.Derived++
	if omitted, ok := m.derivedLines.allow(m.now); ok {
		m.log.Info("job cancelled by another's end", "job", job, "dependency", from, "dependency_end", end.Source().String(),
			"end_revision", end.Revision(), "revision", m.cache.appliedRevision, "omitted", omitted)
	}
}

// told notes that a peer tells of a job's cancellation.
func (m *endMonitor) told(job, peer string) {
	m.counts.Told++
	if omitted, ok := m.toldLines.allow(m.now); ok {
		_, unfinished := m.cache.jobs[job]
		m.log.Info("peer tells of a cancellation", "job", job, "peer", peer, "unfinished_here", unfinished,
			"revision", m.cache.appliedRevision, "omitted", omitted)
	}
}

// readFailed notes that the end of a dependency was read without success; err is nil if there
// is none.
func (m *endMonitor) readFailed(job string, err error) {
	m.counts.FailedReads++
	if omitted, ok := m.readLines.allow(m.now); ok {
		m.log.Info("end of a dependency is not known", "job", job, "error", err,
			"revision", m.cache.appliedRevision, "omitted", omitted)
	}
}

// removed notes that a cancelled job's key was removed at a revision, and by which proof.
func (m *endMonitor) removed(job string, proof endProof, revision uint64) {
	if omitted, ok := m.removalLines.allow(m.now); ok {
		m.log.Info("cancelled job removed", "job", job, "end_revision", proof.endRevision(revision),
			"revision", revision, "omitted", omitted)
	}
}

// lookup is how the end of a job was looked for.
type lookup struct {
	compared bool // with the ends of others, and else it was read alone
	revision uint64
}

func (l lookup) String() string {
	if l.compared {
		return "compared"
	}
	return "read"
}

// notFound notes that a job is answered to be unknown, after its end was looked for.
func (m *endMonitor) notFound(job string, by lookup) {
	if by.compared {
		m.counts.NotFoundCompared++
	} else {
		m.counts.NotFoundRead++
	}
	if omitted, ok := m.notFoundLines.allow(m.now); ok {
		m.log.Info("job is not known", "job", job, "lookup", by.String(), "lookup_revision", by.revision,
			"revision", m.cache.appliedRevision, "reads_from", m.reader.readSource(), "omitted", omitted)
	}
}
