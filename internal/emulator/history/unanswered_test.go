package history

import (
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The search for an order of requests called a history impossible that is not: of two
// cancellations of one job without an answer it kept the one that was given up first, and
// dropped the other, which had been sent before it and had taken effect before the kept one was
// sent. One of 311 days with many kinds of load was blamed for that.

// TestFirstUnanswered: of the requests of a kind that nobody answered, the one that was sent
// first may have taken effect, whichever was given up first.
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
		name   string
		events [][]Event
		broken bool
	}{
		{"the later request is given up first", [][]Event{accepted, {request(2, Cancel, 4*s)}, poll, late, {response(2, Cancel, 9*s, 0, "")}}, false},
		{"the earlier request is under way at the end", [][]Event{accepted, {request(2, Cancel, 4*s)}, poll, late}, false},
		{"the earlier request is given up first", [][]Event{accepted, {request(2, Cancel, 4*s), response(2, Cancel, 4*s+1, 503, "")}, poll, late}, false},
		{"only the later request was sent", [][]Event{accepted, poll, late}, true},
		{"both were sent later", [][]Event{accepted, poll, {request(2, Cancel, 13*s/2)}, late, {response(2, Cancel, 9*s, 0, "")}}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var events []Event
			for _, some := range tc.events {
				events = append(events, some...)
			}
			if found := CheckLinearizability(events, expected); (len(found) > 0) != tc.broken {
				t.Errorf("found %v", found)
			}
		})
	}
}
