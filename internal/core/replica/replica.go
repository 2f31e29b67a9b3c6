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
	// followsFor is for how long an answer makes a controller a follower.
	followsFor = 5 * second / 2
	// leastPause and mostPause bound for how long a leader that has failed is not
	// asked. The pause doubles with each failure in turn.
	leastPause = second
	mostPause  = 8 * second
)

// AnswerMost is how long the leader may take to answer, in microseconds. A read of
// the state service takes a few milliseconds, and users wait for two seconds.
const AnswerMost = 200_000

// Follower decides how a controller that does not lead learns what is stored.
type Follower struct {
	leader string
	token  uint64
	// asked numbers the questions; under is the one under way, 0 for none.
	asked, under uint64
	// answered is when the leader last answered, 0 if this one has not.
	answered int64
	// notBefore is until when it is not asked, pause how long that was.
	notBefore, pause int64
}

// Led notes who leads, "" for nobody, and by which token. Another leader is asked
// at once, and what the last one did proves nothing of it.
func (f *Follower) Led(leader string, token uint64) {
	if f.leader == leader && f.token == token {
		return
	}
	f.leader, f.token = leader, token
	f.answered, f.notBefore, f.pause = 0, 0, 0
}

// Source is whom to ask now for what is stored, "" for the state service.
func (f *Follower) Source(now int64) string {
	if now < f.notBefore {
		return ""
	}
	return f.leader
}

// Ask numbers a question that is asked now. An answer to an earlier one counts no
// more.
func (f *Follower) Ask() uint64 {
	f.asked++
	f.under = f.asked
	return f.under
}

// Ended takes the end of a question. It is false for one that is not under way: a
// late answer, or one that was answered before.
func (f *Follower) Ended(number uint64, ok bool, now int64) bool {
	if number == 0 || number != f.under {
		return false
	}
	f.under = 0
	if ok {
		f.answered, f.pause = now, 0
		return true
	}
	f.pause = min(max(2*f.pause, leastPause), mostPause)
	f.notBefore, f.answered = now+f.pause, 0
	return true
}

// Follows says whether the mirror lives on the leader's answers, so that nothing but
// the leadership need be watched in the state service.
func (f *Follower) Follows(now int64) bool {
	return f.answered != 0 && now-f.answered < followsFor && f.Source(now) != ""
}

// Due says whether the mirror is to be brought up to date though nobody waits; age is
// for how long nothing was read.
func (f *Follower) Due(now, age int64) bool {
	return f.Source(now) != "" && age >= refreshAfter
}

// View is what the leader shows: all changes after the asker's revision up to Ledger.
// Granted are writes that the asker may make on the leader's budget.
type View struct {
	Ledger  uint64
	Changes []kv.Change
	Granted int
}

const (
	// logMost and logBytes bound the changes that are kept for followers, which ask
	// once a second at least: 100 transactions of 48 operations and 44 kB a second
	// have to fit, or every follower reads the state service itself.
	logMost  = 10_000
	logBytes = 5 << 20
	// changeBytes is what a change takes beside its key and value.
	changeBytes = 64
)

// Log has the latest changes, for followers that lack them.
type Log struct {
	changes []kv.Change
	bytes   int
	// from is the revision after which the log has all changes.
	from uint64
}

// Restart begins anew at a revision.
func (l *Log) Restart(from uint64) { *l = Log{from: from} }

// Append takes a change that is newer than all before, or part of the newest
// transaction.
func (l *Log) Append(c kv.Change) {
	l.changes = append(l.changes, c)
	l.bytes += size(c)
	for len(l.changes) > 0 && (len(l.changes) > logMost || l.bytes > logBytes) {
		l.drop()
	}
}

// drop forgets the oldest transaction.
func (l *Log) drop() {
	l.from = l.changes[0].Stamp
	n := 0
	for n < len(l.changes) && l.changes[n].Stamp == l.from {
		l.bytes -= size(l.changes[n])
		n++
	}
	clear(l.changes[:n])
	l.changes = l.changes[n:]
}

func size(c kv.Change) int { return changeBytes + len(c.Key) + len(c.Value) }

// Since are the changes after a revision; ok is false if some of them are forgotten.
func (l *Log) Since(after uint64) (changes []kv.Change, ok bool) {
	if after < l.from {
		return nil, false
	}
	for i := len(l.changes); ; i-- {
		if i == 0 || l.changes[i-1].Stamp <= after {
			return append(changes, l.changes[i:]...), true
		}
	}
}
