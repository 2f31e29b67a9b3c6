package peer

import "errors"

// The errors of calls between controllers. ErrTimeout and ErrNoAnswer leave open
// whether the peer has done what it was asked.
var (
	// ErrTimeout says that the peer did not answer within the time that the caller
	// gave it.
	ErrTimeout = errors.New("peer did not answer in time")
	// ErrTooManyCalls says that as many calls as the client may have are under way,
	// so this one was not made.
	ErrTooManyCalls = errors.New("too many calls to the peer under way")
	// ErrEmptyRequest says that there is no request, or none that the receiver's
	// version knows.
	ErrEmptyRequest = errors.New("empty request")
	// ErrNoAnswer says that the peer's core did not answer the peer.
	ErrNoAnswer = errors.New("no answer from the core")
)

// sentinels are the errors that a peer answers with. net/rpc carries only their text.
func sentinels() []error {
	return []error{ErrEmptyRequest, ErrNoAnswer}
}

// fromText is the sentinel error with the text of an error that a peer answered
// with, or that error itself if there is none.
func fromText(answered error) error {
	for _, sentinel := range sentinels() {
		if answered.Error() == sentinel.Error() {
			return sentinel
		}
	}
	return answered
}
