package peer

import "errors"

// Errors of calls between controllers. After ErrTimeout and ErrNoAnswer it is unknown
// whether the peer has executed the call.
var (
	// ErrTimeout is returned if the peer did not answer within the call's timeout.
	ErrTimeout = errors.New("peer did not answer in time")
	// ErrTooManyCalls is returned for a call that was not made because the client's
	// maximum number of calls is already in progress.
	ErrTooManyCalls = errors.New("too many calls to the peer under way")
	// ErrEmptyRequest is returned by a peer for a message without a request, or with one
	// that the peer's version does not know, and by Ask for a request of a type that can't
	// be forwarded.
	ErrEmptyRequest = errors.New("empty request")
	// ErrNoAnswer is returned if the core of the peer did not answer the call.
	ErrNoAnswer = errors.New("no answer from the core")
)

// sentinels returns the errors with which a peer answers. net/rpc transmits only the texts
// of errors, so the texts must be the same in all versions.
func sentinels() []error {
	return []error{ErrEmptyRequest, ErrNoAnswer}
}

// sentinelFor returns the sentinel error with the same text as an error with which a
// peer has answered, or that error itself if there is none.
func sentinelFor(answered error) error {
	for _, sentinel := range sentinels() {
		if answered.Error() == sentinel.Error() {
			return sentinel
		}
	}
	return answered
}
