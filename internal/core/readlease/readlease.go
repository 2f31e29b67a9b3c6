// Package readlease is the protocol by which the other controllers confirm a leader's right
// to answer workers while the state service does not answer it. It does no input or output.
//
// A user who was told that a job is cancelled may count on its tasks to be gone within
// cancel_s. A leader that answers a heartbeat keeps what is on the machine alive for another
// worker lease, so it may do so only while it knows every cancellation that any user was
// told of, but for the newest. A read of the state service proves that. While it can't be
// read, each other controller has to grant the leader a read lease:
//
//   - The leader (the [Holder]) sends a [GrantRequest] with its pings.
//   - The other controller (the [Grantor]) answers with what it knows to be cancelled, in
//     pages. With the last page the leader holds the read lease, for a duration that counts
//     from the time at which the request was sent.
//   - The leader may answer workers while it holds the read leases of all other controllers.
//
// As long as a leader may hold its read lease, a controller confirms no cancellation to a
// user that this leader does not know of: it sends the leader the cancellation first, and
// waits for its [HolderAck].
//
// A controller that has restarted has forgotten to whom it granted a read lease and which
// cancellations it confirmed. So it takes every controller for a holder until the leases of
// its earlier incarnation have expired or the controller says that it holds none. Its grants
// count once it has read the stored state, which has the confirmed cancellations, or if the
// leader's lease of the earlier incarnation has not expired: then the leader was informed of
// them.
package readlease

const second = 1_000_000

const (
	// maxPageEntries is how many cancellations a page holds.
	maxPageEntries = 500
	// maxLogEntries is how many cancellations a grantor keeps.
	maxLogEntries = 20_000
	// maxAnswerDelay is how late the answer to a request may arrive and count. Until then
	// a leader that has sent a request may come to hold the lease, and says so.
	maxAnswerDelay = 2 * second
	// grantMargin is how much longer a grantor takes a lease for valid than its holder,
	// for their clocks' drift and the time on the way, beside one part in clockDriftShare.
	grantMargin     = second / 2
	clockDriftShare = 500
)

// GrantRequest is a leader's request for the read lease of another controller.
type GrantRequest struct {
	// Incarnation is the incarnation of the grantor whose cancellations the leader knows
	// up to the number UpTo.
	Incarnation string
	UpTo        uint64
	// AppliedRevision is the revision up to which the leader knows what is stored.
	AppliedRevision uint64
}

// CancellationPage has a part of what an incarnation of a grantor knows to be cancelled: the
// cancellations with numbers above After and up to UpTo.
type CancellationPage struct {
	Incarnation string
	After, UpTo uint64
	Cancelled   []string
	// More: there are further pages.
	More bool
	// Complete: with this page the leader knows all cancellations that this incarnation
	// and the earlier ones have confirmed; without it, all that this one has.
	Complete bool
}

// HolderAck is what a controller that was informed of cancellations answers.
type HolderAck struct {
	// Holds: it holds, or may come to hold, a read lease of the grantor.
	Holds bool
	// Incarnation and UpTo say up to which cancellation it knows those of the grantor.
	Incarnation string
	UpTo        uint64
	// AppliedRevision is the revision up to which it knows what is stored.
	AppliedRevision uint64
}
