package history

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/golden"
	"github.com/zinclb/zinclb/internal/jsonlines"
)

// everyEvent returns an event of each kind with all fields set, events with each operation and
// occurrence, and an empty event.
func everyEvent() []Event {
	var events []Event
	for i, kind := range []Kind{RequestSent, ResponseReceived, MachineUp, InvalidSubmission, TaskPlaced, RoomFreed, TaskEntered, TaskStarted, TaskCompleted, TaskLeft, StateChanged, FaultChanged, ControllerChanged, Occurred, RequestDelayed, CostRecorded} {
		events = append(events, Event{
			At: int64(1_000_000 + i), Kind: kind, Op: Submit, Call: uint64(2 + i), Job: "job-1", Task: 3, Attempt: 4, Machine: "host-1", Type: "g8", Zone: "a", Spot: true,
			Node: "node-1", Status: 201, State: "running", Reason: "done", Key: "zinclb/job/job-1", Value: `{"a":1}`, Cost: 2.5,
		})
	}
	for _, op := range []string{Submit, Poll, Cancel} {
		events = append(events, Event{At: 5, Kind: RequestSent, Op: op, Job: SweepJob("s")})
	}
	for _, occurrence := range []string{OccurHeldCopy, OccurProbe, OccurMuteReport, OccurCancel, OccurHungMachine, OccurCancelAtEnd, OccurInvalid, OccurLostAnswer, OccurQuickBoot} {
		events = append(events, Event{At: 6, Kind: Occurred, Reason: occurrence})
	}
	return append(events, Event{})
}

// TestRecorded compares the JSON encoding of events and violations with the recorded one, and
// checks that events are decoded unchanged.
func TestRecorded(t *testing.T) {
	if paths := golden.Unset(everyEvent()[0]); len(paths) > 0 {
		t.Errorf("fields that are not set in the recorded event: got %s, want none", paths)
	}
	var b strings.Builder
	if err := jsonlines.Write(&b, everyEvent()); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/events.jsonl", b.String())
	decoder := json.NewDecoder(strings.NewReader(b.String()))
	for i, want := range everyEvent() {
		var got Event
		if err := decoder.Decode(&got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("event %d: decoded %+v, error %v, want %+v", i, got, err, want)
		}
	}
	b.Reset()
	violation := Violation{At: 1_500_000, Rule: "rule", Detail: "what"}
	if err := jsonlines.Write(&b, []Violation{violation}); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&b, violation)
	golden.Compare(t, "testdata/breaches.txt", b.String())
}
