// Package ratelimit divides the request and change rates that the state service allows among
// the controllers, so that all controllers together stay within the limits.
//
// Each configured controller has a fixed share, which it may use as soon as it starts, whatever
// it knows of the others. The fixed share is half of what the controller would have if all
// controllers were members. The other halves are divided among the members: the controllers
// that have a key on their lease. A controller uses its part of the other halves only while its
// own membership is proven and its view of the members is fresh, and a new member waits until
// all others must have seen it. The shares therefore never add up to more than the limits,
// whichever controllers start, stop or are cut off. Users come in bursts at single controllers,
// so the leader grants changes from its own budget to controllers that run short. The package
// does no I/O.
package ratelimit

const second = 1_000_000

// Limits are the rates that the state service allows, per second.
type Limits struct{ Requests, Changes float64 }

// SettleTime is the time for which a controller has to be a member before it uses the shares of
// absent controllers, and MaxViewAge the maximum age of its view of the members; both in
// microseconds. SettleTime has to exceed MaxViewAge by more than any two clocks differ.
const (
	SettleTime = 3 * second
	MaxViewAge = 2 * second
)

// Members is the knowledge of a controller about all controllers.
type Members struct {
	// Configured is the number of controllers in the settings.
	Configured int
	// Present is the number of members that do not lead, this controller included.
	Present int
	// Legacy is the number of members whose program does not share the limits.
	Legacy int
	// Confirmed reports whether this controller's own membership is proven and older than
	// SettleTime, and its view of the members is fresh.
	Confirmed bool
	// HasLeader reports whether some controller leads. IsLeader reports whether this
	// controller leads and all others have had the time to see it.
	HasLeader, IsLeader bool
	// SharingEnabled reports whether all controllers share the limits. If not, each controller
	// uses a share that does not depend on the members.
	SharingEnabled bool
}

// Share is the share of one controller, per second.
type Share struct {
	// Views are reads of the stored state for requests that wait, Reads all reads that can
	// be delayed. Lease renewals and the leader's writes have budgets of their own.
	Views, Reads float64
	// Changes are written keys.
	Changes float64
}

// How the limits of the state service are divided.
const (
	// leaseRequests is the request rate per second that a controller needs for its lease,
	// leaderWrites that of the leader's transactions, of which one is in flight at a time.
	leaseRequests = 1.4
	leaderWrites  = 20
	// leaderChanges is the fraction of the changes that is reserved for the leader, and
	// leaderReads its fraction of the reads.
	leaderChanges = 0.75
	leaderReads   = 0.45
	// viewShare is the fraction of all requests that a controller may use for views. A leader
	// also reads for the others and may use viewShare for each controller, but at most
	// leaderViewShare in total.
	viewShare       = 0.06
	leaderViewShare = 3 * viewShare
	// minReadShare is the fraction of all requests that always remains for reads.
	minReadShare = 0.25
	// legacyShare is the fraction of the followers' reads and changes that is left to each
	// member that does not share the limits, maxLegacyShare the maximum for all of them.
	legacyShare    = 0.2
	maxLegacyShare = 0.5
)

// ShareFor returns the share of a controller that has the given knowledge of the members.
func ShareFor(limits Limits, members Members) Share {
	if !members.SharingEnabled || members.Configured < 2 {
		return unsharedShare(limits, members)
	}
	others := float64(members.Configured - 1)
	changes := limits.Changes * (1 - leaderChanges)
	reads := readBudget(limits, members, changes)
	if !members.HasLeader {
		// No controller uses the leader's share, and as soon as a controller becomes leader
		// all others notice it.
		even := 1 / float64(members.Configured)
		share := Share{Reads: readBudget(limits, members, limits.Changes) * even, Changes: limits.Changes * even}
		share.Views = min(viewShare*limits.Requests, share.Reads)
		return share
	}
	if members.IsLeader {
		return Share{Views: min(viewShare*(1+others), leaderViewShare) * limits.Requests, Reads: leaderReads * reads, Changes: limits.Changes * leaderChanges}
	}
	reads *= 1 - leaderReads
	left := 1 - min(legacyShare*float64(members.Legacy), maxLegacyShare)
	share := Share{Reads: memberShare(reads*left, others, members), Changes: memberShare(changes*left, others, members)}
	share.Views = min(viewShare*limits.Requests, share.Reads)
	return share
}

// readBudget returns the request rate that remains for reads after the leases, the leader's
// transactions, and the changes of other controllers, each of which may be a transaction of
// its own.
func readBudget(limits Limits, members Members, changes float64) float64 {
	return max(limits.Requests-leaseRequests*float64(members.Configured)-leaderWrites-changes, minReadShare*limits.Requests)
}

// memberShare returns a controller's share of a budget that is divided among a number of
// followers when all of them are members.
func memberShare(budget, followers float64, members Members) float64 {
	fixed := budget / followers / 2
	if !members.Confirmed {
		return fixed
	}
	present := min(max(float64(members.Present), 1), followers)
	return fixed + budget/2/present
}

// maxUnsharedWriters is the number of controllers besides the leader up to which, while the
// limits are not shared, each may use all changes that are not reserved for the leader.
const maxUnsharedWriters = 4

// unsharedShare returns the share of a controller while the limits are not shared: an even part
// of the reads. Users come in bursts at single controllers, and on average make far fewer
// changes than the limit allows, so each controller may use all changes that are not reserved
// for the leader, unless there are more than maxUnsharedWriters.
func unsharedShare(limits Limits, members Members) Share {
	fraction := min(1, maxUnsharedWriters/float64(max(members.Configured-1, 1)))
	share := Share{Views: viewShare * limits.Requests, Changes: limits.Changes * (1 - leaderChanges) * fraction}
	share.Reads = readBudget(limits, members, share.Changes) / float64(max(members.Configured, 1))
	if members.IsLeader {
		share.Changes = limits.Changes * leaderChanges
	}
	return share
}

// Interval returns the time between two operations at a rate per second, in microseconds.
func Interval(rate float64) int64 { return int64(second / rate) }

// minBurst is the minimum capacity of a token bucket: a cancellation takes two changes.
const minBurst = 2

// TokenBucket is a rate limiter with a burst of one second of its rate.
type TokenBucket struct {
	level      float64
	refilledAt int64
}

// NewTokenBucket returns a token bucket that holds level tokens.
func NewTokenBucket(now int64, level float64) TokenBucket {
	return TokenBucket{level: level, refilledAt: now}
}

// InitialTokens is the number of tokens that a controller has when it starts. It is small since
// other controllers may start at the same time.
const InitialTokens = minBurst

// Refill adds the tokens that have accrued since the last call.
func (b *TokenBucket) Refill(now int64, rate float64) {
	// Tokens deposited beyond the capacity are kept.
	b.level = max(b.level, min(b.level+float64(now-b.refilledAt)/second*rate, max(rate, minBurst)))
	b.refilledAt = now
}

// Withdraw takes up to requested tokens for another bucket, down to the level least, which may
// be below 0, and returns the number of tokens taken. A token is spent at most once: it is removed
// here whether or not it arrives at the other bucket.
func (b *TokenBucket) Withdraw(requested int, least float64) int {
	n := max(0, min(requested, int(b.level-least)))
	b.level -= float64(n)
	return n
}

// Deposit adds tokens that were withdrawn from another bucket.
func (b *TokenBucket) Deposit(n int) { b.level += float64(n) }

// Level returns the number of tokens. It is below 0 after Spend has removed more tokens than the
// bucket had, or Withdraw was allowed to.
func (b *TokenBucket) Level() float64 { return b.level }

// Spend removes n tokens, even if there are fewer.
func (b *TokenBucket) Spend(n float64) { b.level -= n }

// TryTake takes one token if there is one, and reports whether it did.
func (b *TokenBucket) TryTake() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
