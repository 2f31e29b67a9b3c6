// Package replica lets a controller that does not lead answer linearizable reads
// without a read of the state service for each, after Raft's ReadIndex: it asks the
// leader, which reads the state service once for all that have asked until then, and
// answers with what has changed since the revision that the asker has. What is shown
// was read after the question came, so it is younger than every request that waits
// for it, whoever leads by then; a leader's lease proves nothing here.
//
// A controller that gets no such answer reads the state service itself, and watches
// it, until the leader answers again. The package does no input or output.
package replica

import "github.com/zinclb/zinclb/internal/core/kv"

const second = 1_000_000

const (
	// refreshAfter is how old the mirror of a follower may be before it asks though
	// nobody waits.
	refreshAfter = second
	// followDuration is for how long an answer makes a controller a follower.
	followDuration = 5 * second / 2
	// minRetryDelay and maxRetryDelay bound for how long a leader that has failed is not
	// asked. The pause doubles with each failure in turn.
	minRetryDelay = second
	maxRetryDelay = 8 * second
)

// AnswerTimeout is how long the leader may take to answer, in microseconds. A read of
// the state service takes a few milliseconds, and users wait for two seconds.
const AnswerTimeout = 200_000

// Follower decides how a controller that does not lead learns what is stored.
type Follower struct {
	leader       string
	fencingToken uint64
	// lastRequest numbers the questions; under is the one under way, 0 for none.
	lastRequest, inFlight uint64
	// answeredAt is when the leader last answered, 0 if this one has not.
	answeredAt int64
	// notBefore is until when it is not asked, pause how long that was.
	notBefore, retryDelay int64
}

// SetLeader notes who leads, "" for nobody, and by which token. Another leader is asked
// at once, and what the last one did proves nothing of it.
func (f *Follower) SetLeader(leader string, token uint64) {
	if f.leader == leader && f.fencingToken == token {
		return
	}
	f.leader, f.fencingToken = leader, token
	f.answeredAt, f.notBefore, f.retryDelay = 0, 0, 0
}

// Source is whom to ask now for what is stored, "" for the state service.
func (f *Follower) Source(now int64) string {
	if now < f.notBefore {
		return ""
	}
	return f.leader
}

// BeginRequest numbers a question that is asked now. An answer to an earlier one counts no
// more.
func (f *Follower) BeginRequest() uint64 {
	f.lastRequest++
	f.inFlight = f.lastRequest
	return f.inFlight
}

// EndRequest takes the end of a question. It is false for one that is not under way: a
// late answer, or one that was answered before.
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

// IsFollowing says whether the mirror lives on the leader's answers, so that nothing but
// the leadership need be watched in the state service.
func (f *Follower) IsFollowing(now int64) bool {
	return f.answeredAt != 0 && now-f.answeredAt < followDuration && f.Source(now) != ""
}

// RefreshDue says whether the mirror is to be brought up to date though nobody waits; age is
// for how long nothing was read.
func (f *Follower) RefreshDue(now, age int64) bool {
	return f.Source(now) != "" && age >= refreshAfter
}

// View is what the leader shows: all changes after the asker's revision up to Ledger.
// Granted are writes that the asker may make on the leader's budget.
type View struct {
	Revision uint64
	Changes  []kv.Change
	Granted  int
}

const (
	// maxLogChanges and maxLogBytes bound the changes that are kept for followers, which ask
	// once a second at least: 100 transactions of 48 operations and 44 kB a second
	// have to fit, or every follower reads the state service itself.
	maxLogChanges = 10_000
	maxLogBytes   = 5 << 20
	// changeOverhead is what a change takes beside its key and value.
	changeOverhead = 64
)

// ChangeLog has the latest changes, for followers that lack them.
type ChangeLog struct {
	changes []kv.Change
	bytes   int
	// startRevision is the revision after which the log has all changes.
	startRevision uint64
}

// Restart begins anew at a revision.
func (l *ChangeLog) Restart(from uint64) { *l = ChangeLog{startRevision: from} }

// Append takes a change that is newer than all before, or part of the newest
// transaction.
func (l *ChangeLog) Append(c kv.Change) {
	l.changes = append(l.changes, c)
	l.bytes += size(c)
	for len(l.changes) > 0 && (len(l.changes) > maxLogChanges || l.bytes > maxLogBytes) {
		l.dropOldest()
	}
}

// dropOldest forgets the oldest transaction.
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

// Since are the changes after a revision; ok is false if some of them are forgotten.
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
