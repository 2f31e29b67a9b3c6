// Package readlease implements the protocol by which the other controllers allow a leader to
// answer workers while the state service does not answer the leader. It does no I/O.
//
// Once a cancellation is confirmed to a user, the user may rely on the job's tasks being gone
// within cancel_s. A leader that answers a heartbeat keeps the tasks on the machine alive for
// another worker lease. It may therefore answer only while it knows every cancellation that was
// confirmed to any user, except for those confirmed more recently than the duration of a read
// lease. A read of the state service proves that. While the state service can't be read, each
// other controller has to grant the leader a read lease:
//
//   - The leader (the [Holder]) sends a [GrantRequest] with its pings.
//   - The other controller (the [Grantor]) answers with the cancellations that it knows, in
//     pages. With the last page the leader holds the read lease, for a duration that starts
//     at the time at which the request was sent.
//   - The leader may answer workers while it holds the read leases of all other controllers.
//
// While a leader may hold a controller's read lease, the controller confirms no cancellation
// to a user that this leader does not know: it sends the leader the cancellation first, and
// waits for its [HolderAck].
//
// A controller that has restarted no longer knows to whom it granted a read lease and which
// cancellations it confirmed. It therefore treats every controller as a holder until the
// leases of its earlier incarnation have expired or the other controller answers that it holds
// none.
// Its grants are valid once it has read the stored state, which contains the confirmed
// cancellations, or if the leader's lease of the earlier incarnation has not expired, because
// then the leader was informed of them.
package readlease

const second = 1_000_000

const (
	// maxPageEntries is the maximum number of cancellations in a page.
	maxPageEntries = 500
	// maxLogEntries is the maximum number of cancellations that a grantor keeps.
	maxLogEntries = 20_000
	// maxAnswerDelay is the time after a request from which the answer to it is ignored.
	// Until then a leader that has sent a request may still obtain the lease, and reports
	// that it holds the lease.
	maxAnswerDelay = 2 * second
	// A grantor considers a lease valid for longer than its holder does, by grantMargin plus
	// the fraction 1/clockDriftShare of the duration. This allows for clock drift and for
	// the time that messages are in transit.
	grantMargin     = second / 2
	clockDriftShare = 500
)

// GrantRequest is a leader's request for the read lease of another controller.
type GrantRequest struct {
	// Incarnation is the incarnation of the grantor whose cancellations the leader knows,
	// up to the number UpTo.
	Incarnation string
	UpTo        uint64
	// AppliedRevision is the revision up to which the leader knows the stored state.
	AppliedRevision uint64
}

// CancellationPage is a part of the cancellations that an incarnation of a grantor knows:
// those with numbers above After and up to UpTo.
type CancellationPage struct {
	Incarnation string
	After, UpTo uint64
	Cancelled   []string
	// More reports whether there are further pages.
	More bool
	// Complete reports whether the leader, after the last page, knows all cancellations that
	// this incarnation and the earlier ones have confirmed. If not, the leader knows only
	// those that this incarnation has confirmed.
	Complete bool
}

// HolderAck is the answer of a controller that was informed of cancellations.
type HolderAck struct {
	// Holds reports whether the controller holds, or may still obtain, a read lease of the
	// grantor.
	Holds bool
	// Incarnation is the grantor's incarnation whose cancellations the controller knows up
	// to the number UpTo.
	Incarnation string
	UpTo        uint64
	// AppliedRevision is the revision up to which the controller knows the stored state.
	AppliedRevision uint64
}
