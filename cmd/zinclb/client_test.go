package main

import (
	"errors"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/golden"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// TestCall checks that call returns the body of an answer, or the error for a refusal.
func TestCall(t *testing.T) {
	service := golden.NewFakeServer(t)
	for _, tc := range []struct {
		name       string
		answer     httpwire.Response
		want       string
		wantErr    string // after the address
		temporary  bool
		retryDelay time.Duration
	}{
		{"success", httpwire.Response{Status: 201, Body: []byte(`{"a":1}`)}, `{"a":1}`, "", false, 0},
		{"permanent refusal", httpwire.Response{Status: 409, Body: []byte(`{"error":"why"}`)}, "", " answered 409: why", false, time.Second},
		{"refusal without a reason", httpwire.Response{Status: 404, Body: []byte(`{}`)}, "", " answered 404: no reason given", false, time.Second},
		{"temporary refusal", httpwire.Response{Status: 503, Body: []byte(`{"error":"why"}`), RetryAfter: 3}, "", " answered 503: why", true, 3 * time.Second},
		{"temporary refusal without Retry-After", httpwire.Response{Status: 429}, "", " answered 429: no reason given", true, time.Second},
	} {
		service.SetAnswers(tc.answer)
		body, err := call(service.Addr, "GET", "/work/a", nil, maxAnswerBytes, callTimeout)
		if tc.wantErr == "" {
			if err != nil || string(body) != tc.want {
				t.Errorf("%s: got body %q, error %v, want body %q", tc.name, body, err, tc.want)
			}
			continue
		}
		var refused *responseError
		if !errors.As(err, &refused) || err.Error() != service.Addr+tc.wantErr || refused.isTemporary() != tc.temporary || refused.retryDelay() != tc.retryDelay {
			t.Errorf("%s: got error %v, want one ending in %q, temporary %v, retry delay %v", tc.name, err, tc.wantErr, tc.temporary, tc.retryDelay)
		}
	}
}

// TestRetry checks that a call is retried only if it may succeed, and not beyond the time
// limit.
func TestRetry(t *testing.T) {
	for _, tc := range []struct {
		name  string
		errs  []error
		calls int
	}{
		{"success", []error{nil}, 1},
		{"permanent refusal", []error{&responseError{status: 409}}, 1},
		{"no answer, then permanent refusal", []error{errors.New("no answer"), &responseError{status: 404}}, 2},
		{"temporary refusal, retry after the time limit", []error{&responseError{status: 503, retryAfter: "100"}}, 1},
	} {
		calls := 0
		err := retry(func() error {
			calls++
			return tc.errs[calls-1]
		})
		if calls != tc.calls || !errors.Is(err, tc.errs[calls-1]) {
			t.Errorf("%s: got %d calls, error %v, want %d calls and the error of the last one", tc.name, calls, err, tc.calls)
		}
	}
}
