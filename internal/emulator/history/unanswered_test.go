package history

import (
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestFirstUnanswered guards against a false violation. Of several unanswered requests of one kind
// about a job, the one that was sent first may have taken effect, whichever timed out first. The
// checker once kept only the cancellation that had timed out first, and dropped one that had been
// sent earlier and had taken effect before the kept one was sent. This failed one of 311 runs with
// many kinds of load.
func TestFirstUnanswered(t *testing.T) {
	const s = 1_000_000
	expected := Expectations{Jobs: map[string]*wire.Job{"j": {ID: "j", Tasks: 1}}}
	request := func(call uint64, op string, at int64) Event {
		return Event{At: at, Kind: RequestSent, Op: op, Job: "j", Call: call}
	}
	response := func(call uint64, op string, at int64, status int, state string) Event {
		return Event{At: at, Kind: ResponseReceived, Op: op, Job: "j", Call: call, Status: status, State: state}
	}
	accepted := []Event{request(1, Submit, s), response(1, Submit, 2*s, 201, wire.Pending)}
	poll := []Event{request(4, Poll, 5*s), response(4, Poll, 6*s, 200, wire.Cancelled)}
	late := []Event{request(3, Cancel, 7*s), response(3, Cancel, 8*s, 503, "")}
	cases := []struct {
		name     string
		events   [][]Event
		violated bool
	}{
		{"the later request times out first", [][]Event{accepted, {request(2, Cancel, 4*s)}, poll, late, {response(2, Cancel, 9*s, 0, "")}}, false},
		{"the earlier request is pending at the end", [][]Event{accepted, {request(2, Cancel, 4*s)}, poll, late}, false},
		{"the earlier request fails first", [][]Event{accepted, {request(2, Cancel, 4*s), response(2, Cancel, 4*s+1, 503, "")}, poll, late}, false},
		{"only the later request was sent", [][]Event{accepted, poll, late}, true},
		{"both were sent later", [][]Event{accepted, poll, {request(2, Cancel, 13*s/2)}, late, {response(2, Cancel, 9*s, 0, "")}}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var events []Event
			for _, part := range tc.events {
				events = append(events, part...)
			}
			if found := CheckLinearizability(events, expected); (len(found) > 0) != tc.violated {
				t.Errorf("got violations %v, want at least one: %v", found, tc.violated)
			}
		})
	}
}
