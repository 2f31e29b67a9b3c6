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
	// callTimeout is the maximum time that a controller may take to answer.
	// sweepCallTimeout is the maximum time for a call about a sweep, for which the
	// controller may have to check many runs.
	callTimeout      = 5 * time.Second
	sweepCallTimeout = 30 * time.Second
	// maxAnswerBytes is the maximum size of a controller's answer, and
	// maxSweepAnswerBytes of the answer to a call about a sweep.
	maxAnswerBytes      = 1 << 20
	maxSweepAnswerBytes = 4 << 20
	// retryTimeout is the time for which a command retries a call that fails.
	retryTimeout = time.Minute
	// minRetryDelay is the minimum time between two attempts.
	minRetryDelay = time.Second
)

// emptyBody is the body of a request that has no parameters besides its path.
const emptyBody = "{}"

// responseError is the error for an answer in which a controller refuses a request.
type responseError struct {
	addr   string
	status int
	reason string
	// retryAfter is the value of the answer's Retry-After header: the number of seconds
	// after which to retry, or "" if there is none.
	retryAfter string
}

func (e *responseError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.addr, e.status, e.reason)
}

// isTemporary reports whether the same request may succeed if it is retried.
func (e *responseError) isTemporary() bool {
	switch e.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// retryDelay returns the time to wait before the request is retried.
func (e *responseError) retryDelay() time.Duration {
	seconds, err := strconv.Atoi(e.retryAfter)
	if err != nil {
		return minRetryDelay
	}
	return max(time.Duration(seconds)*time.Second, minRetryDelay)
}

// call sends a request to a controller over a new connection and returns the body of the
// answer. For a status of 300 or more it returns a responseError.
func call(addr, method, path string, body []byte, maxAnswer int, timeout time.Duration) ([]byte, error) {
	client := httpwire.NewClient(addr, 1, maxAnswer)
	defer client.Close()
	response, err := client.Do(method, path, body, timeout)
	if err != nil {
		return nil, err
	}
	if response.Status < http.StatusMultipleChoices {
		return response.Body, nil
	}
	var answer struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(response.Body, &answer) != nil || answer.Error == "" {
		answer.Error = "no reason given"
	}
	return nil, &responseError{
		addr:       addr,
		status:     response.Status,
		reason:     answer.Error,
		retryAfter: response.Get("retry-after"),
	}
}

// callForSweep sends a request about a sweep, with retries, and decodes the answer.
func callForSweep(addr, method, path string, body []byte, answer any) error {
	return retry(func() error {
		answerBody, err := call(addr, method, path, body, maxSweepAnswerBytes, sweepCallTimeout)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(answerBody, answer); err != nil {
			return fmt.Errorf("%s: decode answer: %w", addr, err)
		}
		return nil
	})
}

// retry repeats a call until it succeeds, is refused with an error that is not temporary, or
// the next attempt would begin after retryTimeout. It also repeats a call that had no
// answer.
func retry(attempt func() error) error {
	deadline := time.Now().Add(retryTimeout)
	for {
		err := attempt()
		delay := minRetryDelay
		var refused *responseError
		if errors.As(err, &refused) {
			if !refused.isTemporary() {
				return err
			}
			delay = refused.retryDelay()
		}
		if err == nil || time.Now().Add(delay).After(deadline) {
			return err
		}
		time.Sleep(delay)
	}
}
