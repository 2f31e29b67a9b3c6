// Package replica lets a follower, a controller that does not lead, answer linearizable
// reads without a read of the state service for each. The protocol is modelled on Raft's
// ReadIndex. The follower asks the leader, which reads the state service once for all
// followers that have asked until then, and answers with the changes since the revision that
// the follower has. The leader's read began after the follower's request arrived, so its
// result is newer than every request that waits for it, whichever controller leads by then.
// The protocol does not rely on the leader's lease.
//
// A follower that gets no such answer reads and watches the state service itself until the
// leader answers again. The package does no I/O.
package replica

import "github.com/zinclb/zinclb/internal/core/kv"

const second = 1_000_000

const (
	// refreshAfter is the age of a follower's state cache from which the follower asks the leader
	// even if no request waits.
	refreshAfter = second
	// followDuration is the time after an answer for which the leader counts as the source of
	// the follower's state cache.
	followDuration = 5 * second / 2
	// minRetryDelay and maxRetryDelay bound the backoff after a leader has failed to answer.
	// The delay doubles with each consecutive failure.
	minRetryDelay = second
	maxRetryDelay = 8 * second
)

// AnswerTimeout is the time limit for the leader's answer, in microseconds. A read of the
// state service takes a few milliseconds, and users wait for two seconds.
const AnswerTimeout = 200_000

// Follower decides from where a controller that does not lead reads the stored state.
type Follower struct {
	leader       string
	fencingToken uint64
	// lastRequest is the number of the last request, inFlight that of the request in flight,
	// 0 if there is none.
	lastRequest, inFlight uint64
	// answeredAt is when the present leader last answered, 0 if it has not or has failed
	// since.
	answeredAt int64
	// notBefore is the time until which the leader is not asked, retryDelay the backoff that
	// led to it.
	notBefore, retryDelay int64
}

// SetLeader records the leader, "" for none, and its fencing token. A new leader is asked at
// once: the answers and failures of the previous one say nothing about it.
func (f *Follower) SetLeader(leader string, token uint64) {
	if f.leader == leader && f.fencingToken == token {
		return
	}
	f.leader, f.fencingToken = leader, token
	f.answeredAt, f.notBefore, f.retryDelay = 0, 0, 0
}

// Source returns the controller to ask for the stored state now, "" for the state service.
func (f *Follower) Source(now int64) string {
	if now < f.notBefore {
		return ""
	}
	return f.leader
}

// BeginRequest returns the number of a request that is sent now. Answers to earlier requests
// are ignored from now on.
func (f *Follower) BeginRequest() uint64 {
	f.lastRequest++
	f.inFlight = f.lastRequest
	return f.inFlight
}

// EndRequest records the end of a request. It returns false if the request is not in flight:
// the answer is late, or the request was answered before.
func (f *Follower) EndRequest(number uint64, ok bool, now int64) bool {
	if number == 0 || number != f.inFlight {
		return false
	}
	f.inFlight = 0
	if ok {
		f.answeredAt, f.retryDelay = now, 0
		return true
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	f.notBefore, f.answeredAt = now+f.retryDelay, 0
	return true
}

// IsFollowing reports whether the leader's answers keep the state cache up to date, so that
// only the leadership has to be watched in the state service.
func (f *Follower) IsFollowing(now int64) bool {
	return f.answeredAt != 0 && now-f.answeredAt < followDuration && f.Source(now) != ""
}

// RefreshDue reports whether the state cache should be refreshed from the leader even if no
// request waits. age is the time since the last read began.
func (f *Follower) RefreshDue(now, age int64) bool {
	return f.Source(now) != "" && age >= refreshAfter
}

// View is the leader's answer to a follower: all changes after the follower's revision up to
// Revision. Granted is the number of writes that the follower may make from the leader's
// budget.
type View struct {
	Revision uint64
	Changes  []kv.Change
	Granted  int
	// Ordered reports whether the leader keeps its log of changes in the order of their
	// revisions. A leader of an earlier version does not set it. Its log has the order in which
	// the state service listed the changes, so some may be missing from Changes.
	Ordered bool
}

// AnswersRead reports whether the view is a complete answer to a read of the changes after a
// revision.
func (v *View) AnswersRead(after uint64) bool {
	return v != nil && v.Ordered && v.Revision >= after
}

const (
	// maxLogChanges and maxLogBytes bound the changes that are kept for followers, which ask
	// at least once a second. 100 transactions of 48 operations and 44 kB per second have to
	// fit, otherwise every follower reads the state service itself.
	maxLogChanges = 10_000
	maxLogBytes   = 5 << 20
	// changeOverhead is the size of a change without its key and value, in bytes.
	changeOverhead = 64
)

// ChangeLog holds the latest changes, for followers that do not have them yet.
type ChangeLog struct {
	changes []kv.Change
	bytes   int
	// startRevision is the revision after which the log contains all changes.
	startRevision uint64
}

// Reset empties the log, which then contains the changes after the revision from.
func (l *ChangeLog) Reset(from uint64) { *l = ChangeLog{startRevision: from} }

// Append adds a change, which must be newer than all others or belong to the newest
// transaction: Since and the removal of the oldest changes rely on rising revisions.
func (l *ChangeLog) Append(c kv.Change) {
	l.changes = append(l.changes, c)
	l.bytes += size(c)
	for len(l.changes) > 0 && (len(l.changes) > maxLogChanges || l.bytes > maxLogBytes) {
		l.dropOldest()
	}
}

// dropOldest removes all changes of the oldest transaction.
func (l *ChangeLog) dropOldest() {
	l.startRevision = l.changes[0].Revision
	n := 0
	for n < len(l.changes) && l.changes[n].Revision == l.startRevision {
		l.bytes -= size(l.changes[n])
		n++
	}
	clear(l.changes[:n])
	l.changes = l.changes[n:]
}

func size(c kv.Change) int { return changeOverhead + len(c.Key) + len(c.Value) }

// Since returns the changes after a revision; ok is false if some of them were dropped.
func (l *ChangeLog) Since(after uint64) (changes []kv.Change, ok bool) {
	if after < l.startRevision {
		return nil, false
	}
	for i := len(l.changes); ; i-- {
		if i == 0 || l.changes[i-1].Revision <= after {
			return append(changes, l.changes[i:]...), true
		}
	}
}
