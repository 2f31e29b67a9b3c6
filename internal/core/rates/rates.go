// Package rates divides among the controllers what the state service allows, so that
// all of them together stay within it.
//
// Each configured controller has a part for good, half of an even share: it may use
// that as soon as it starts, whatever it knows. The other half of all shares is
// divided among those that are members, each of which has a key on its lease. A
// controller uses that only while its own membership is proven and its view of the
// others is fresh, and a new member waits until all others must have seen it; so
// the parts never add up to more than there is, whoever comes, goes or is cut off.
// Users come in bursts at one controller or another, so the leader gives some of its
// own budget to whoever lacks changes. The package does no input or output.
package rates

const second = 1_000_000

// Limits are what the state service allows, a second.
type Limits struct{ Requests, Changes float64 }

// Settled is for how long a controller has to be a member before it uses the part of
// those that are not there, and Fresh how old its view of the members may be; both in
// microseconds. The first has to be longer by more than any two clocks differ.
const (
	Settled = 3 * second
	Fresh   = 2 * second
)

// Members is what a controller knows of all.
type Members struct {
	// All is how many controllers there are by the settings.
	All int
	// Present is how many of them are members and do not lead, this one included.
	Present int
	// Older is how many members run a program that shares nothing.
	Older int
	// Proven: this controller's own membership is proven and has settled, and its
	// view of the others is fresh.
	Proven bool
	// Led: somebody leads. Leads: this controller does, and all others have had the
	// time to see it.
	Led, Leads bool
	// Shared: all controllers share. Before, each goes by its own.
	Shared bool
}

// Share is a controller's part, a second.
type Share struct {
	// Views are reads of what is stored for requests that wait, Reads all reads that
	// can wait. Renewals of leases and the leader's writes have parts of their own.
	Views, Reads float64
	// Changes are written keys.
	Changes float64
}

// The parts of what the state service allows.
const (
	// leaseRequests are what a controller needs for its lease, leaderWrites the
	// leader for its transactions, of which one is under way at a time.
	leaseRequests = 1.4
	leaderWrites  = 20
	// leaderChanges is the share of the changes that only the leader makes, and
	// leaderReads its share of the reads.
	leaderChanges = 0.75
	leaderReads   = 0.45
	// views is the share of all requests that a controller may use for views, and
	// sharedViews that of a leader which reads for the others too.
	views       = 0.06
	sharedViews = 3 * views
	// leastReads is the share of the requests that is for reads in any case.
	leastReads = 0.25
	// olderShare is the part of the others' reads that is left to each controller
	// which shares nothing, olderMost that of all of them.
	olderShare = 0.2
	olderMost  = 0.5
)

// Of is a controller's share.
func Of(l Limits, m Members) Share {
	if !m.Shared || m.All < 2 {
		return alone(l, m)
	}
	others := float64(m.All - 1)
	changes := l.Changes * (1 - leaderChanges)
	reads := readable(l, m, changes)
	if !m.Led {
		// Nobody uses the leader's part, and all see at once when somebody begins to.
		even := 1 / float64(m.All)
		s := Share{Reads: readable(l, m, l.Changes) * even, Changes: l.Changes * even}
		s.Views = min(views*l.Requests, s.Reads)
		return s
	}
	if m.Leads {
		return Share{Views: min(views*(1+others), sharedViews) * l.Requests, Reads: leaderReads * reads, Changes: l.Changes * leaderChanges}
	}
	reads *= 1 - leaderReads
	left := 1 - min(olderShare*float64(m.Older), olderMost)
	s := Share{Reads: part(reads*left, others, m), Changes: part(changes*left, others, m)}
	s.Views = min(views*l.Requests, s.Reads)
	return s
}

// readable is what is left for reads beside the leases, the leader's transactions, and
// the changes of others, each of which may be a transaction of its own.
func readable(l Limits, m Members, changes float64) float64 {
	return max(l.Requests-leaseRequests*float64(m.All)-leaderWrites-changes, leastReads*l.Requests)
}

// part is a controller's of a pool that so many share when all are there.
func part(pool, all float64, m Members) float64 {
	own := pool / all / 2
	if !m.Proven {
		return own
	}
	present := min(max(float64(m.Present), 1), all)
	return own + pool/2/present
}

// manyOthers is for how many controllers beside the leader each may use the whole of
// the changes that the leader leaves, while nothing is shared.
const manyOthers = 4

// alone is what a controller uses while nothing is shared: an even part of the reads.
// Users come in bursts at one controller or another, and change far less than that on
// average: each may use the whole of what the leader leaves, unless there are many.
func alone(l Limits, m Members) Share {
	few := min(1, manyOthers/float64(max(m.All-1, 1)))
	s := Share{Views: views * l.Requests, Changes: l.Changes * (1 - leaderChanges) * few}
	s.Reads = readable(l, m, s.Changes) / float64(max(m.All, 1))
	if m.Leads {
		s.Changes = l.Changes * leaderChanges
	}
	return s
}

// Gap is the time between two things that may be done so often a second.
func Gap(rate float64) int64 { return int64(second / rate) }

// leastBurst is how much a budget holds at least: a cancellation is two changes.
const leastBurst = 2

// Budget is what may be used at a rate, with a burst of a second's worth.
type Budget struct {
	level float64
	at    int64
}

// NewBudget is a budget with so much in it.
func NewBudget(now int64, level float64) Budget { return Budget{level: level, at: now} }

// First is what a controller that starts may use at once: others may start with it.
const First = leastBurst

// Refill adds what has come since the last time.
func (b *Budget) Refill(now int64, rate float64) {
	// What was given on top of a full budget stays.
	b.level = max(b.level, min(b.level+float64(now-b.at)/second*rate, max(rate, leastBurst)))
	b.at = now
}

// Give moves as many as are wanted to another budget, down to a level that may be
// below 0, and returns how many. What is given is spent once at most: it is gone here
// whether it arrives there or not.
func (b *Budget) Give(wanted int, least float64) int {
	n := max(0, min(wanted, int(b.level-least)))
	b.level -= float64(n)
	return n
}

// Get takes what another budget has given.
func (b *Budget) Get(n int) { b.level += float64(n) }

// Level is how much there is; it is below 0 after more was used than there was.
func (b *Budget) Level() float64 { return b.level }

// Use uses n, though there may be less.
func (b *Budget) Use(n float64) { b.level -= n }

// Take uses one if there is one.
func (b *Budget) Take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
