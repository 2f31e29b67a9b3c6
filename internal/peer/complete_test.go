package peer

import (
	"encoding/json"
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

// completeStatus returns a status with all fields set.
func completeStatus() core.PeerStatus {
	return core.PeerStatus{
		FencingToken: 3, Leader: "node-0", StateAge: 5, Cancelled: []string{"job-01", "job-02"},
		ReadLease: &readlease.CancellationPage{Incarnation: "b2", After: 3, UpTo: 5, Cancelled: []string{"job-01", "sweep/s"}, More: true, Complete: true},
		Ack:       &readlease.HolderAck{Holds: true, Incarnation: "b1", UpTo: 2, AppliedRevision: 8},
		Version:   6, Features: []upgrade.FeatureName{upgrade.ProgressLog, upgrade.Connectivity}, LimitsLowered: true,
		Connectivity: &connectivity.Advertisement{Incarnation: "b3", ReachableEighths: map[string]int{"zone-a": 7}, Peers: []string{"node-0", "node-2"}, Cloud: true, Flapping: true},
		Machines:     []connectivity.Machine{{Name: "host-000001", Addr: "10.1.0.1:9000", Zone: "zone-a"}, {Name: "host-000002", Addr: "10.1.0.2:9000", Zone: "zone-b"}},
	}
}

// completeSpec returns a job specification with all fields set.
func completeSpec() *jobstate.Spec {
	return &jobstate.Spec{
		ID: "job-01", Class: "class-1", Team: "team-1", Kind: "batch", Priority: 4, Tasks: 5,
		Need: jobstate.Resources{CPU: 1000, GPU: 2, Mem: 3000}, Types: []string{"big", "small"}, Zone: "zone-a", OneZone: true, Spread: true, Spot: true,
		Image: "image-1", ImageMB: 700, Estimate: 8_000_000, Checkpoint: 9_000_000, Save: 1_000_000, Deadline: 11_000_000,
		Dependencies: []string{"job-00", "job-0"}, Sweep: "sweep-1", Run: 12,
	}
}

// completeMessages returns all requests and responses between controllers with all
// fields set, and also with pointers to zero values, as their presence alone has a
// meaning. The names of the messages are part of the recording.
func completeMessages() map[string]any {
	status := completeStatus()
	return map[string]any{
		"PingArgs": core.PingReceived{
			From: "node-1", NeedMachines: true, Incarnation: "b1",
			ReadLeaseRequest: &readlease.GrantRequest{Incarnation: "b2", UpTo: 3, AppliedRevision: 9},
			Cancellations:    &readlease.CancellationPage{Incarnation: "b1", After: 1, UpTo: 2, Cancelled: []string{"job-02"}, More: true, Complete: true},
		},
		"PingArgs with nothing in its pointers":  core.PingReceived{From: "node-1", ReadLeaseRequest: &readlease.GrantRequest{}, Cancellations: &readlease.CancellationPage{}},
		"PingReply":                              PingAnswer{Name: "node-1", Status: status},
		"PingReply with nothing in its pointers": PingAnswer{Name: "node-1", Status: core.PeerStatus{ReadLease: &readlease.CancellationPage{}, Ack: &readlease.HolderAck{}, Connectivity: &connectivity.Advertisement{}}},
		"PingReply with an empty map":            PingAnswer{Name: "node-1", Status: core.PeerStatus{Connectivity: &connectivity.Advertisement{ReachableEighths: map[string]int{}}}},
		"BeatArgs": core.HeartbeatReceived{
			From: "node-1", ViaPeer: true,
			Heartbeat: core.Heartbeat{
				Machine: "host-000001", Addr: "10.1.0.1:9000", Type: "big", Zone: "zone-a", Spot: true, Epoch: 2, Seq: 9, FencingToken: 3, PreemptionNotice: -1,
				Tasks: []core.TaskStatus{{Name: "job-01/0", Attempt: 2, State: "exited", Reason: "done", Checkpointed: true}, {Name: "job-01/1", Attempt: 3, State: "running"}},
			},
		},
		"AskArgs submit":        core.SubmitJob{RequestID: 1, Forwarded: true, Spec: completeSpec(), Invalid: "why"},
		"AskArgs status":        core.QueryJob{RequestID: 2, Forwarded: true, ID: "job-01"},
		"AskArgs cancel":        core.CancelJob{RequestID: 3, Forwarded: true, ID: "job-01"},
		"AskArgs cloud types":   core.CloudCallRequested{RequestID: 4, FencingToken: 3, Call: core.CloudCall{ListTypes: true}},
		"AskArgs cloud list":    core.CloudCallRequested{RequestID: 5, FencingToken: 3, Call: core.CloudCall{ListMachines: true, Gap: 7}},
		"AskArgs cloud rent":    core.CloudCallRequested{RequestID: 6, FencingToken: 3, Call: core.CloudCall{ScaleOut: &core.ScaleOut{Name: "rent-1", Type: "big", Zone: "zone-a", Spot: true, Count: 2, NotAfter: 8, FencingToken: 3}}},
		"AskArgs cloud release": core.CloudCallRequested{RequestID: 7, FencingToken: 3, Call: core.CloudCall{ScaleIn: []string{"host-000001", "host-000002"}}},
		"AskArgs view":          core.FollowerRead{RequestID: 8, AfterRevision: 7, WritesNeeded: 2},
		"AskArgs sweep":         core.ForwardedSweep{ID: "sweep-1", Stored: "plan", Invalid: "why"},
		"AskArgs sweep status":  core.QuerySweep{RequestID: 9, ID: "sweep-1", Forwarded: true},
		"AskArgs sweep runs":    core.ListSweepRuns{RequestID: 10, ID: "sweep-1", After: 1, Limit: 2, Forwarded: true},
		"AskArgs cancel sweep":  core.CancelSweep{RequestID: 11, ID: "sweep-1", Forwarded: true},
		"AskArgs empty":         wire.AskArgs{},
		"AskArgs with nothing in its pointers": wire.AskArgs{
			Submit: &wire.Submit{}, Status: &wire.Status{}, Cancel: &wire.Cancel{}, Cloud: &wire.CloudFor{Call: wire.CloudCall{Rent: &wire.Rent{}}}, View: &wire.ViewFor{},
			Sweep: &wire.HandedSweep{}, SweepStatus: &wire.SweepStatus{}, SweepRuns: &wire.SweepRuns{}, CancelSweep: &wire.CancelSweep{},
		},
		"Reply orders": core.Reply{RequestID: 1, Status: 200, FencingToken: 3, Commands: []core.Command{{Kind: "start", Task: "job-01/0", Attempt: 1, Grace: 4}, {Kind: "stop", Task: "job-01/1", Attempt: 2, Grace: 5}}},
		"Reply job":    core.Reply{RequestID: 2, Status: 200, Job: &core.JobState{ID: "job-01", State: "running", Done: 2, Running: 3}},
		"Reply sweep":  core.Reply{RequestID: 3, Status: 200, Sweep: &core.SweepState{ID: "sweep-1", State: "running", Runs: 3, Created: 2, Done: 1, Cancelled: 4}},
		"Reply runs": core.Reply{RequestID: 4, Status: 200, Runs: &core.SweepPage{
			Runs: []core.SweepRun{{Number: 1, ID: "job-01", State: "done", Values: json.RawMessage(`{"a":1}`), Sets: []int{2, 3}}, {Number: 2, ID: "job-02", State: "waiting"}}, Next: 5,
		}},
		"Reply news":          core.Reply{RequestID: 5, Status: 200, PeerStatus: &status},
		"Reply cloud types":   core.Reply{RequestID: 6, Status: 200, Cloud: &core.CloudResult{Status: 200, Types: []fleet.Type{{Name: "big", Cap: jobstate.Resources{CPU: 1, GPU: 2, Mem: 3}, FetchRate: 4, CacheMB: 5, Price: 6.5, SpotPrice: 7.5, Boot: 8, Zones: []string{"zone-a"}}}}},
		"Reply cloud list":    core.Reply{RequestID: 7, Status: 200, Cloud: &core.CloudResult{Status: 200, List: []core.CloudMachine{{Name: "host-000002", Addr: "10.1.0.2:9000", Type: "big", Zone: "zone-a", Status: "running", Spot: true, Age: 5}}}},
		"Reply cloud rent":    core.Reply{RequestID: 8, Status: 200, Cloud: &core.CloudResult{Status: 202, Names: []string{"host-000002"}}},
		"Reply cloud release": core.Reply{RequestID: 9, Status: 200, Cloud: &core.CloudResult{Status: 200}},
		"Reply gone":          core.Reply{RequestID: 10, Status: 200, Decommission: &core.DecommissionState{Name: "host-000001", Decommissioned: true}},
		"Reply view": core.Reply{RequestID: 11, Status: 200, View: &replica.View{
			Revision: 9, Granted: 2,
			Changes: []core.Change{{Key: "zinclb/job/a", Value: []byte("{}"), Revision: 8}, {Key: "zinclb/job/b", Revision: 9, Removed: true}},
		}},
		"Reply refused":     core.Reply{RequestID: 12, Status: 503, RetryAfter: 2, Error: "why"},
		"Reply misdirected": core.Reply{RequestID: 13, Status: 421, FencingToken: 3, Leader: "node-0"},
		"Reply empty":       core.Reply{},
		"Reply with nothing in its pointers": core.Reply{
			Job: &core.JobState{}, Sweep: &core.SweepState{}, Runs: &core.SweepPage{}, PeerStatus: &core.PeerStatus{}, Cloud: &core.CloudResult{}, Decommission: &core.DecommissionState{}, View: &replica.View{},
		},
	}
}

// neverSent are the fields that no message between controllers has: request IDs, which
// each core assigns itself, and the operators' view, because requests for it are not
// forwarded.
var neverSent = map[string]bool{"PingReceived.RequestID": true, "HeartbeatReceived.RequestID": true, "Reply.Ops": true}

// TestCoreFieldsComplete checks that each field of the core's message types, at any depth,
// is set in at least one of the complete messages, or in a message recorded when it was added.
func TestCoreFieldsComplete(t *testing.T) {
	roots := []any{
		core.PingReceived{},
		PingAnswer{},
		core.HeartbeatReceived{},
		core.Reply{},
		core.SubmitJob{},
		core.QueryJob{},
		core.CancelJob{},
		core.CloudCallRequested{},
		core.FollowerRead{},
		core.ForwardedSweep{},
		core.QuerySweep{},
		core.ListSweepRuns{},
		core.CancelSweep{},
	}
	var messages []any
	for _, recorded := range []map[string]any{completeMessages(), messagesOrderedView()} {
		for _, message := range recorded {
			messages = append(messages, message)
		}
	}
	testComplete(t, roots, messages)
}

// TestWireFieldsComplete checks that each field of the wire types is set in at least one
// of the complete messages as encoded by the base version, or, if it was added later, in a
// message recorded at that time. A renamed field would stay zero.
func TestWireFieldsComplete(t *testing.T) {
	roots := []any{wire.PingArgs{}, wire.PingReply{}, wire.BeatArgs{}, wire.AskArgs{}, wire.Reply{}}
	var messages []any
	for recording, sent := range map[string]map[string]any{baseRecording: completeMessages(), orderedRecording: messagesOrderedView()} {
		raws := readRecording(t, recording)
		for name, message := range sent {
			messages = append(messages, decoded(t, raws[name], reflect.TypeOf(toWire(t, message))))
		}
	}
	testComplete(t, roots, messages)
}

// testComplete checks that each field of the types of roots is set in one of messages.
func testComplete(t *testing.T, roots, messages []any) {
	t.Helper()
	set := map[string]bool{}
	for _, message := range messages {
		v := reflect.ValueOf(message)
		fieldsSet(v.Type().Name(), v, set)
	}
	for _, root := range roots {
		fields := map[string]bool{}
		fieldsOf(reflect.TypeOf(root).Name(), reflect.TypeOf(root), fields)
		for field := range fields {
			if !set[field] {
				t.Errorf("field %s is set in no message, want it set in at least one", field)
			}
		}
	}
}

// fieldsSet adds the paths of the nonzero fields of a value to set.
func fieldsSet(path string, v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			fieldsSet(path, v.Elem(), set)
		}
	case reflect.Slice:
		for i := range v.Len() {
			fieldsSet(path, v.Index(i), set)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := path + "." + v.Type().Field(i).Name; !v.Field(i).IsZero() {
				set[field] = true
				fieldsSet(field, v.Field(i), set)
			}
		}
	}
}

// fieldsOf adds the paths of all fields of a type that are sent to fields.
func fieldsOf(path string, t reflect.Type, fields map[string]bool) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice:
		fieldsOf(path, t.Elem(), fields)
	case reflect.Struct:
		for i := range t.NumField() {
			field := path + "." + t.Field(i).Name
			if t.Field(i).IsExported() && !neverSent[field] {
				fields[field] = true
				fieldsOf(field, t.Field(i).Type, fields)
			}
		}
	}
}
