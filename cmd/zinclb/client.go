package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/zinclb/zinclb/internal/httpwire"
)

const (
	// callTimeout is how long a controller may take to answer, and sweepCallTimeout how
	// long for a call about a sweep, which may have many runs to be checked.
	callTimeout      = 5 * time.Second
	sweepCallTimeout = 30 * time.Second
	// maxAnswerBytes bounds a controller's answer, in bytes, and maxSweepAnswer that to a call
	// about a sweep.
	maxAnswerBytes      = 1 << 20
	maxSweepAnswerBytes = 4 << 20
	// retryTimeout is how long a command goes on asking a service that does not answer.
	retryTimeout = time.Minute
	// minRetryDelay is the shortest time between two tries.
	minRetryDelay = time.Second
)

// emptyBody is the body of a request that says everything by its path.
const emptyBody = "{}"

// responseError is an answer by which a controller refuses a request.
type responseError struct {
	addr   string
	status int
	reason string
	// retryAfter is in how many seconds the request may be repeated, as the answer has
	// it: "" if it does not say.
	retryAfter string
}

func (e *responseError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.addr, e.status, e.reason)
}

// isTemporary says that the request may be repeated as it is.
func (e *responseError) isTemporary() bool {
	switch e.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// retryDelay is how long to wait before the request is repeated.
func (e *responseError) retryDelay() time.Duration {
	seconds, err := strconv.Atoi(e.retryAfter)
	if err != nil {
		return minRetryDelay
	}
	return max(time.Duration(seconds)*time.Second, minRetryDelay)
}

// call makes a request of a controller over a connection of its own and returns the body
// of the answer. A status of 300 or more is an answerError.
func call(addr, method, path string, body []byte, maxAnswer int, timeout time.Duration) ([]byte, error) {
	client := httpwire.NewClient(addr, 1, maxAnswer)
	defer client.Close()
	m, err := client.Do(method, path, body, timeout)
	if err != nil {
		return nil, err
	}
	if m.Status < http.StatusMultipleChoices {
		return m.Body, nil
	}
	var answer struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(m.Body, &answer) != nil || answer.Error == "" {
		answer.Error = "no reason given"
	}
	return nil, &responseError{
		addr:       addr,
		status:     m.Status,
		reason:     answer.Error,
		retryAfter: m.Get("retry-after"),
	}
}

// callForSweep makes a request about a sweep and decodes the answer. It repeats the
// request while there is no answer, or one that says to try again.
func callForSweep(addr, method, path string, body []byte, answer any) error {
	return retry(func() error {
		b, err := call(addr, method, path, body, maxSweepAnswerBytes, sweepCallTimeout)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(b, answer); err != nil {
			return fmt.Errorf("%s: answer can't be read: %w", addr, err)
		}
		return nil
	})
}

// retry repeats a call until it succeeds or is refused for good, for as long as
// retryTimeout says.
func retry(attempt func() error) error {
	deadline := time.Now().Add(retryTimeout)
	for {
		err := attempt()
		pause := minRetryDelay
		var refused *responseError
		if errors.As(err, &refused) {
			if !refused.isTemporary() {
				return err
			}
			pause = refused.retryDelay()
		}
		if err == nil || time.Now().Add(pause).After(deadline) {
			return err
		}
		time.Sleep(pause)
	}
}
