package core

import (
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
)

// endLogsPerSecond is the maximum rate of log lines of each kind about ends of jobs.
const endLogsPerSecond = 5

// EndCounts counts, since this controller's start, how it learned of ends and how it found
// that a job is not known.
type EndCounts struct {
	// Derived counts ends that were derived from the ends of other jobs or of sweeps; Reported
	// counts ends that this controller learned first from a peer.
	Derived  uint64 `json:"derived"`
	Reported uint64 `json:"told_by_peers"`
	// FailedReads counts reads of dependencies' ends that failed or found no end.
	FailedReads uint64 `json:"failed_reads"`
	// NotFoundCompared counts replies that a job is not known after a batch comparison found
	// its end to be absent; NotFoundRead counts those after a read of this end alone.
	NotFoundCompared uint64 `json:"not_found_compared"`
	NotFoundRead     uint64 `json:"not_found_read"`
}

// logLimiter limits the rate of one kind of log line.
type logLimiter struct {
	budget  ratelimit.TokenBucket
	omitted int
}

// allow reports whether a line may be logged now, and the number of lines omitted before it.
func (l *logLimiter) allow(now int64) (omitted int, ok bool) {
	l.budget.Refill(now, endLogsPerSecond)
	if !l.budget.TryTake() {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// endMonitor logs and counts how this controller learned of each end, which stored end
// allowed the removal of a job's key, and which lookup found that a job is not known. If a
// job is lost, only these records show how it happened.
type endMonitor struct {
	*engine

	cache  *stateCache
	reader *stateReader

	counts EndCounts

	derivedLogs, reportedLogs, failedReadLogs, removalLogs, notFoundLogs logLimiter
}

func newEndMonitor(shared *engine) *endMonitor { return &endMonitor{engine: shared} }

// countUnstoredEnds counts the jobs whose ends this controller knows but does not know to be
// stored.
func (m *endMonitor) countUnstoredEnds() int {
	n := 0
	for _, job := range m.cache.jobs {
		if job.Outcome() != "" && !job.End().IsStored() {
			n++
		}
	}
	return n
}

// recordDerived records that a job's end was derived from the end of another job or of its
// sweep.
func (m *endMonitor) recordDerived(job, from string, end jobstate.KnownEnd) {
	m.counts.Derived++
	if omitted, ok := m.derivedLogs.allow(m.now); ok {
		m.log.Info("job cancelled by end of dependency", "job", job, "dependency", from, "dependency_end", end.Source().String(),
			"end_revision", end.Revision(), "revision", m.cache.appliedRevision, "omitted", omitted)
	}
}

// recordReportedEnd records that a peer reported a job's cancellation.
func (m *endMonitor) recordReportedEnd(job, peer string) {
	m.counts.Reported++
	if omitted, ok := m.reportedLogs.allow(m.now); ok {
		_, unfinished := m.cache.jobs[job]
		m.log.Info("cancellation reported by peer", "job", job, "peer", peer, "unfinished_here", unfinished,
			"revision", m.cache.appliedRevision, "omitted", omitted)
	}
}

// recordFailedRead records that a read of a dependency's end failed; err is nil if the read
// found no end.
func (m *endMonitor) recordFailedRead(job string, err error) {
	m.counts.FailedReads++
	if omitted, ok := m.failedReadLogs.allow(m.now); ok {
		m.log.Info("end of dependency not known", "job", job, "error", err,
			"revision", m.cache.appliedRevision, "omitted", omitted)
	}
}

// recordRemoval records that a cancelled job's key was removed at a revision, and the proof that
// its end was stored.
func (m *endMonitor) recordRemoval(job string, proof endProof, revision uint64) {
	if omitted, ok := m.removalLogs.allow(m.now); ok {
		m.log.Info("cancelled job removed", "job", job, "end_revision", proof.endRevision(revision),
			"revision", revision, "omitted", omitted)
	}
}

// endLookup describes the lookup that found the end of a job to be absent.
type endLookup struct {
	compared bool   // in one transaction with other ends; otherwise the end was read alone
	revision uint64 // at which the end was absent
}

func (l endLookup) String() string {
	if l.compared {
		return "compared"
	}
	return "read"
}

// recordNotFound records a reply that a job is not known, after its end was looked up.
func (m *endMonitor) recordNotFound(job string, lookup endLookup) {
	if lookup.compared {
		m.counts.NotFoundCompared++
	} else {
		m.counts.NotFoundRead++
	}
	if omitted, ok := m.notFoundLogs.allow(m.now); ok {
		m.log.Info("job is not known", "job", job, "lookup", lookup.String(), "lookup_revision", lookup.revision,
			"revision", m.cache.appliedRevision, "reads_from", m.reader.readSource(), "omitted", omitted)
	}
}
