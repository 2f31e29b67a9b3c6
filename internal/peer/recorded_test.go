package peer

import (
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/readlease"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/peer/internal/wire"
)

var record = flag.Bool("record", false, "record the messages that have no recording yet")

// baseRecording is the name of the recording that has each message with all fields set,
// as encoded by the last version that sent the core's own types.
const baseRecording = "wire_63ef244"

// orderedRecording is the name of the recording that has the fields that were added to the messages
// after the base version.
const orderedRecording = "ordered"

// messagesVersion4 returns the requests and responses of each call as sent by version 4.
func messagesVersion4() map[string]any {
	return map[string]any{
		"PingArgs": core.PingReceived{From: "node-1", NeedMachines: true},
		"PingReply": PingAnswer{Name: "node-1", Status: core.PeerStatus{
			FencingToken: 3, Leader: "node-0", StateAge: 5, Cancelled: []string{"job-01"}, Version: 2, LimitsLowered: true,
			Features: []upgrade.FeatureName{upgrade.ProgressLog, upgrade.Connectivity}, Connectivity: &connectivity.Advertisement{Incarnation: "b", ReachableEighths: map[string]int{"a": 8, "b": 0}, Peers: []string{"node-0"}, Cloud: true, Flapping: true},
			Machines: []connectivity.Machine{{Name: "host-000001", Addr: "10.1.0.1:9000", Zone: "a"}},
		}},
		"BeatArgs": core.HeartbeatReceived{From: "node-1", ViaPeer: true, Heartbeat: core.Heartbeat{
			Machine: "host-000001", Addr: "10.1.0.1:9000", Type: "big", Zone: "a", Epoch: 2, Seq: 9, FencingToken: 3, PreemptionNotice: -1,
			Tasks: []core.TaskStatus{{Name: "job-01/0", Attempt: 2, State: "running"}},
		}},
		"AskArgs submit":      core.SubmitJob{Spec: &jobstate.Spec{ID: "job-01", Team: "t", Tasks: 2, Dependencies: []string{"job-00"}}, Forwarded: true},
		"AskArgs status":      core.QueryJob{ID: "job-01", Forwarded: true},
		"AskArgs cancel":      core.CancelJob{ID: "job-01", Forwarded: true},
		"AskArgs sweep":       core.ForwardedSweep{ID: "s", Stored: "x", Invalid: "y"},
		"AskArgs sweep state": core.QuerySweep{ID: "s", Forwarded: true},
		"AskArgs sweep runs":  core.ListSweepRuns{ID: "s", After: 1, Limit: 2, Forwarded: true},
		"AskArgs sweep end":   core.CancelSweep{ID: "s", Forwarded: true},
		"AskArgs rent":        core.CloudCallRequested{FencingToken: 3, Call: core.CloudCall{ScaleOut: &core.ScaleOut{Name: "r", Type: "big", Zone: "a", Spot: true, Count: 2}}},
		"AskArgs list":        core.CloudCallRequested{FencingToken: 3, Call: core.CloudCall{ListMachines: true, Gap: 7}},
		"Reply orders":        core.Reply{RequestID: 1, Status: 200, FencingToken: 3, Commands: []core.Command{{Kind: "stop", Task: "job-01/1", Attempt: 1, Grace: 5}}},
		"Reply job":           core.Reply{RequestID: 1, Status: 200, Job: &core.JobState{ID: "job-01", State: "done", Done: 2}},
		"Reply sweep":         core.Reply{RequestID: 1, Status: 200, Sweep: &core.SweepState{ID: "s", State: "running", Runs: 3, Done: 1}},
		"Reply cloud": core.Reply{RequestID: 1, Status: 200, Cloud: &core.CloudResult{
			Status: 200, Names: []string{"host-000002"}, Types: []fleet.Type{{Name: "big", Zones: []string{"a"}}},
			List: []core.CloudMachine{{Name: "host-000002", Type: "big", Zone: "a", Status: "running", Age: 5}},
		}},
		"Reply refused": core.Reply{RequestID: 1, Status: 503, RetryAfter: 2, Error: "why"},
	}
}

// messagesReadLease returns the messages that changed when controllers began to grant
// read leases on the cancellations that they confirm to users. The version number stayed
// the same, because no stored data depends on the change.
func messagesReadLease() map[string]any {
	return map[string]any{
		"PingArgs": core.PingReceived{From: "node-1", Incarnation: "b1", ReadLeaseRequest: &readlease.GrantRequest{Incarnation: "b2", UpTo: 3, AppliedRevision: 9}, Cancellations: &readlease.CancellationPage{Incarnation: "b1", After: 1, UpTo: 2, Cancelled: []string{"job-02"}}},
		"PingReply": PingAnswer{Name: "node-2", Status: core.PeerStatus{
			FencingToken: 3, Leader: "node-1", ReadLease: &readlease.CancellationPage{Incarnation: "b2", After: 3, UpTo: 5, Cancelled: []string{"job-01", "sweep/s"}, More: true, Complete: true},
			Ack: &readlease.HolderAck{Holds: true, Incarnation: "b1", UpTo: 2, AppliedRevision: 8},
		}},
		"AskArgs rent": core.CloudCallRequested{FencingToken: 3, Call: core.CloudCall{ScaleOut: &core.ScaleOut{Name: "r", Type: "big", Zone: "a", Spot: true, Count: 2, FencingToken: 3}}},
	}
}

// messagesFollowerRead returns the messages with which followers read the stored state
// from the leader, since version 5.
func messagesFollowerRead() map[string]any {
	return map[string]any{
		"AskArgs view": core.FollowerRead{AfterRevision: 7, WritesNeeded: 2},
		"Reply view": core.Reply{RequestID: 1, Status: 200, View: &replica.View{
			Revision: 9, Granted: 2,
			Changes: []core.Change{{Key: "zinclb/job/a", Value: []byte("{}"), Revision: 8}, {Key: "zinclb/job/b", Revision: 9, Removed: true}},
		}},
	}
}

// messagesOrderedView returns the messages that changed when leaders began to keep the changes for
// followers in the order of their revisions.
func messagesOrderedView() map[string]any {
	return map[string]any{
		"Reply view": core.Reply{RequestID: 1, Status: 200, View: &replica.View{
			Revision: 9, Granted: 2, Ordered: true,
			Changes: []core.Change{{Key: "zinclb/job/a", Value: []byte("{}"), Revision: 8}, {Key: "zinclb/job/b", Revision: 9, Removed: true}},
		}},
	}
}

// recordings returns the expected messages of each recording. Its keys are the names of
// the files that have the messages as they were first encoded.
func recordings() map[string]map[string]any {
	return map[string]map[string]any{"version4": messagesVersion4(), "vouch": messagesReadLease(), "shared": messagesFollowerRead(), orderedRecording: messagesOrderedView(), baseRecording: completeMessages()}
}

// TestRecorded decodes messages as recorded from earlier versions and from this one. It
// fails if a field was renamed or has another meaning.
func TestRecorded(t *testing.T) {
	for name, messages := range recordings() {
		t.Run(name, func(t *testing.T) {
			if *record {
				recordMissing(t, recordingFile(name), messages)
			}
			testRecorded(t, readRecording(t, name), messages)
		})
	}
}

func recordingFile(name string) string {
	return "testdata/" + name + ".json"
}

// recordMissing records the messages as this version encodes them, unless the file
// already exists.
func recordMissing(t *testing.T, file string, messages map[string]any) {
	t.Helper()
	if _, err := os.Stat(file); err == nil {
		return
	}
	out := map[string]string{}
	for name, message := range messages {
		out[name] = base64.StdEncoding.EncodeToString(encoded(t, toWire(t, message)))
	}
	b, err := json.MarshalIndent(out, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, append(b, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
}

// readRecording returns the encoded messages of a recording by name.
func readRecording(t *testing.T, name string) map[string][]byte {
	t.Helper()
	b, err := os.ReadFile(recordingFile(name))
	if err != nil {
		t.Fatal(err)
	}
	var texts map[string]string
	if err := json.Unmarshal(b, &texts); err != nil {
		t.Fatal(err)
	}
	raws := map[string][]byte{}
	for message, text := range texts {
		if raws[message], err = base64.StdEncoding.DecodeString(text); err != nil {
			t.Fatal(err)
		}
	}
	return raws
}

func encoded(t *testing.T, message any) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(message); err != nil {
		t.Fatalf("encode %+v: got error %v, want none", message, err)
	}
	return b.Bytes()
}

// decoded decodes a message into a new value of the given type.
func decoded(t *testing.T, raw []byte, as reflect.Type) any {
	t.Helper()
	got := reflect.New(as)
	if err := gob.NewDecoder(bytes.NewReader(raw)).DecodeValue(got); err != nil {
		t.Fatalf("decode a message as %v: got error %v, want none", as, err)
	}
	return got.Elem().Interface()
}

// toWire converts a message of the core to its wire type. A wire.AskArgs is returned
// unchanged.
func toWire(t *testing.T, message any) any {
	t.Helper()
	switch m := message.(type) {
	case core.PingReceived:
		return wire.NewPing(m)
	case PingAnswer:
		return wire.NewPingReply(m.Name, m.Status)
	case core.HeartbeatReceived:
		return wire.NewHeartbeat(m)
	case core.Reply:
		return wire.NewReply(m)
	case wire.AskArgs:
		return m
	}
	args, ok := wire.NewRequest(message)
	if !ok {
		t.Fatalf("NewRequest of type %T: got no forwarded request, want one", message)
	}
	return args
}

// fromWire converts a message of a wire type to a message of the core. It returns nil for
// an empty request.
func fromWire(t *testing.T, message any) any {
	t.Helper()
	switch m := message.(type) {
	case wire.PingArgs:
		return m.Core()
	case wire.PingReply:
		return PingAnswer{Name: m.Name, Status: m.Core()}
	case wire.BeatArgs:
		return m.Core()
	case wire.Reply:
		return m.Core()
	case wire.AskArgs:
		request, _ := m.Core()
		return request
	}
	t.Fatalf("%T is not a wire type", message)
	return nil
}

// testRecorded checks that each recorded message is decoded as the wire message that this
// version sends, and that its conversion to the core's type gives the expected message.
func testRecorded(t *testing.T, raws map[string][]byte, messages map[string]any) {
	t.Helper()
	if len(raws) != len(messages) {
		t.Errorf("got %d recorded messages, want %d", len(raws), len(messages))
	}
	for name, want := range messages {
		if len(raws[name]) == 0 {
			t.Fatalf("%s: got no recorded message, want one", name)
		}
		sent := toWire(t, want)
		got := decoded(t, raws[name], reflect.TypeOf(sent))
		if !reflect.DeepEqual(got, sent) {
			t.Errorf("%s: decoded as %+v, want %+v", name, got, sent)
		}
		if _, ok := want.(wire.AskArgs); ok {
			continue // with several requests or none, it has no equivalent in the core
		}
		if converted := fromWire(t, got); !reflect.DeepEqual(converted, want) {
			t.Errorf("%s: converted to %+v, want %+v", name, converted, want)
		}
	}
}
