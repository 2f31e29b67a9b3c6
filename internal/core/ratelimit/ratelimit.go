// Package ratelimit divides among the controllers what the state service allows, so that
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
package ratelimit

const second = 1_000_000

// Limits are what the state service allows, a second.
type Limits struct{ Requests, Changes float64 }

// Settled is for how long a controller has to be a member before it uses the part of
// those that are not there, and Fresh how old its view of the members may be; both in
// microseconds. The first has to be longer by more than any two clocks differ.
const (
	SettleTime = 3 * second
	MaxViewAge = 2 * second
)

// Members is what a controller knows of all.
type Members struct {
	// Configured is how many controllers there are by the settings.
	Configured int
	// Present is how many of them are members and do not lead, this one included.
	Present int
	// Legacy is how many members run a program that shares nothing.
	Legacy int
	// Confirmed: this controller's own membership is proven and has settled, and its
	// view of the others is fresh.
	Confirmed bool
	// HasLeader: somebody leads. Leads: this controller does, and all others have had the
	// time to see it.
	HasLeader, IsLeader bool
	// SharingEnabled: all controllers share. Before, each goes by its own.
	SharingEnabled bool
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
	// viewShare is the share of all requests that a controller may use for views, and
	// leaderViewShare that of a leader which reads for the others too.
	viewShare       = 0.06
	leaderViewShare = 3 * viewShare
	// minReadShare is the share of the requests that is for reads in any case.
	minReadShare = 0.25
	// legacyShare is the part of the others' reads that is left to each controller
	// which shares nothing, maxLegacyShare that of all of them.
	legacyShare    = 0.2
	maxLegacyShare = 0.5
)

// ShareFor is a controller's share.
func ShareFor(l Limits, m Members) Share {
	if !m.SharingEnabled || m.Configured < 2 {
		return unsharedShare(l, m)
	}
	others := float64(m.Configured - 1)
	changes := l.Changes * (1 - leaderChanges)
	reads := readBudget(l, m, changes)
	if !m.HasLeader {
		// Nobody uses the leader's part, and all see at once when somebody begins to.
		even := 1 / float64(m.Configured)
		s := Share{Reads: readBudget(l, m, l.Changes) * even, Changes: l.Changes * even}
		s.Views = min(viewShare*l.Requests, s.Reads)
		return s
	}
	if m.IsLeader {
		return Share{Views: min(viewShare*(1+others), leaderViewShare) * l.Requests, Reads: leaderReads * reads, Changes: l.Changes * leaderChanges}
	}
	reads *= 1 - leaderReads
	left := 1 - min(legacyShare*float64(m.Legacy), maxLegacyShare)
	s := Share{Reads: memberShare(reads*left, others, m), Changes: memberShare(changes*left, others, m)}
	s.Views = min(viewShare*l.Requests, s.Reads)
	return s
}

// readBudget is what is left for reads beside the leases, the leader's transactions, and
// the changes of others, each of which may be a transaction of its own.
func readBudget(l Limits, m Members, changes float64) float64 {
	return max(l.Requests-leaseRequests*float64(m.Configured)-leaderWrites-changes, minReadShare*l.Requests)
}

// memberShare is a controller's of a pool that so many share when all are there.
func memberShare(pool, all float64, m Members) float64 {
	own := pool / all / 2
	if !m.Confirmed {
		return own
	}
	present := min(max(float64(m.Present), 1), all)
	return own + pool/2/present
}

// maxUnsharedWriters is for how many controllers beside the leader each may use the whole of
// the changes that the leader leaves, while nothing is shared.
const maxUnsharedWriters = 4

// unsharedShare is what a controller uses while nothing is shared: an even part of the reads.
// Users come in bursts at one controller or another, and change far less than that on
// average: each may use the whole of what the leader leaves, unless there are many.
func unsharedShare(l Limits, m Members) Share {
	few := min(1, maxUnsharedWriters/float64(max(m.Configured-1, 1)))
	s := Share{Views: viewShare * l.Requests, Changes: l.Changes * (1 - leaderChanges) * few}
	s.Reads = readBudget(l, m, s.Changes) / float64(max(m.Configured, 1))
	if m.IsLeader {
		s.Changes = l.Changes * leaderChanges
	}
	return s
}

// Interval is the time between two things that may be done so often a second.
func Interval(rate float64) int64 { return int64(second / rate) }

// minBurst is how much a budget holds at least: a cancellation is two changes.
const minBurst = 2

// TokenBucket is what may be used at a rate, with a burst of a second's worth.
type TokenBucket struct {
	level      float64
	refilledAt int64
}

// NewTokenBucket is a budget with so much in it.
func NewTokenBucket(now int64, level float64) TokenBucket {
	return TokenBucket{level: level, refilledAt: now}
}

// InitialTokens is what a controller that starts may use at once: others may start with it.
const InitialTokens = minBurst

// Refill adds what has come since the last time.
func (b *TokenBucket) Refill(now int64, rate float64) {
	// What was given on top of a full budget stays.
	b.level = max(b.level, min(b.level+float64(now-b.refilledAt)/second*rate, max(rate, minBurst)))
	b.refilledAt = now
}

// Withdraw moves as many as are wanted to another budget, down to a level that may be
// below 0, and returns how many. What is given is spent once at most: it is gone here
// whether it arrives there or not.
func (b *TokenBucket) Withdraw(wanted int, least float64) int {
	n := max(0, min(wanted, int(b.level-least)))
	b.level -= float64(n)
	return n
}

// Deposit takes what another budget has given.
func (b *TokenBucket) Deposit(n int) { b.level += float64(n) }

// Level is how much there is; it is below 0 after more was used than there was.
func (b *TokenBucket) Level() float64 { return b.level }

// Spend uses n, though there may be less.
func (b *TokenBucket) Spend(n float64) { b.level -= n }

// TryTake uses one if there is one.
func (b *TokenBucket) TryTake() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
