package api

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/golden"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// commandsOfEachKind returns a command of each kind, and a stop with and without a grace
// period.
func commandsOfEachKind() []core.Command {
	return []core.Command{
		{Kind: "start", Task: "job-1/0", Attempt: 2},
		{Kind: "stop", Task: "job-1/1", Attempt: 3, Grace: 2_500_000},
		{Kind: "stop", Task: "job-1/2", Attempt: 4},
		{Kind: "forget", Task: "job-1/3", Attempt: 5},
	}
}

// operatorViewWithAllFields returns an operators' view in which every field is set.
func operatorViewWithAllFields() *core.OperatorView {
	return &core.OperatorView{
		Controller: "node-0", Leader: "node-1", FencingToken: 7, Leading: true, Synced: true, Revision: 901, StateAgeS: 0.25,
		WritesLeft: 12.5, ReadsLeft: 30.5, ReadsBy: "node-2", ReorderedReads: 3, CallsLeft: 2.75,
		Peers:      []core.PeerView{{Name: "node-1", Up: true}, {Name: "node-2", Up: true}},
		Partitions: []core.PartitionView{{Holder: "node-0", Ends: 2147483648, Machines: 11}, {Holder: "node-1", Ends: 4294967295, Machines: 12}},
		Queues: []core.QueueView{
			{Waiting: 3, Tasks: 40, Pivot: "job-1", StartsS: 1.5, WaitsS: 62.25, Reason: "for running tasks to end"},
			{Waiting: 4, Tasks: 41, Pivot: "job-2", StartsS: 2.5, WaitsS: 63.25, Reason: "no machine that it may use is up"},
		},
		Machines: core.MachinesView{Busy: 21, Idle: 22, Prefetching: 23, Silent: 24, NotReceiving: 25, Draining: 26, Booting: 27},
		Jobs:     31, AnswersForS: 4.5, Awaiting: 5, UnstoredEnds: 7, Ends: core.EndCounts{Derived: 61, Reported: 62, FailedReads: 63, NotFoundCompared: 64, NotFoundRead: 65}, Format: 6, LimitsLowered: true, Conditions: []string{"no controller leads", "the cloud does not answer"},
		Features: []core.FeatureView{{Name: "log", On: true, Held: []string{"node-2"}}},
		Members:  map[string]core.MemberView{"node-0": {Program: 5, Format: 6, Features: []upgrade.FeatureName{upgrade.ProgressLog, upgrade.Connectivity}, Held: []upgrade.FeatureName{upgrade.Connectivity}}},
		Reach: core.ConnectivityView{
			Links:        []core.LinkView{{Link: "to node-2", State: "lost", AgeS: 33.5}, {Link: "cloud", State: "slow", AgeS: 0.5}, {Link: "from node-1", State: "flapping", AgeS: 1.25}},
			Matrix:       map[string]core.ConnectivityRowView{"node-2": {Workers: map[string]int{"a": 6, "b": 7}, Leading: map[string]int{"a": 8, "b": 5}, Peers: []string{"node-0"}, Cloud: true}},
			SteppedAside: &core.LeadershipTransferView{To: "node-2", Reason: "it serves more", AgeS: 55.5},
		},
		Latencies: []core.LatencyView{{Call: "submit", Answers: 10, Mean: 20.5, P50: 15.5, P95: 40.5, P99: 50.5, Max: 60.5}, {Call: "status", Answers: 11, Mean: 2.5, P50: 1.5, P95: 4.5, P99: 5.5, Max: 6.5}},
	}
}

// TestRecordedAnswers compares the body of each kind of answer with a golden file.
func TestRecordedAnswers(t *testing.T) {
	job := func(state string) core.Reply {
		return core.Reply{Status: 200, Job: &core.JobState{ID: "job-1", State: state, Done: 3, Running: 4}}
	}
	sweepIn := func(state string) core.Reply {
		return core.Reply{Status: 200, Sweep: &core.SweepState{ID: "sweep-1", State: state, Runs: 9, Created: 8, Done: 5, Cancelled: 2}}
	}
	runs := func(next int, runs ...core.SweepRun) core.Reply {
		return core.Reply{Status: 200, Runs: &core.SweepPage{Runs: runs, Next: next}}
	}
	var everyRun []core.SweepRun
	for i, state := range []string{core.RunStatePlanned, core.Queued, core.Running, jobstate.Done, jobstate.Cancelled, core.RunStateEnded} {
		everyRun = append(everyRun, core.SweepRun{Number: i, ID: fmt.Sprint("sweep.", i), State: state, Values: json.RawMessage(`{"a":1,"b":"x"}`), Sets: []int{i}})
	}
	everyRun = append(everyRun, core.SweepRun{Number: 6, ID: "sweep.6", State: core.Queued, Values: json.RawMessage(`{}`), Sets: []int{6, 11}})
	var b strings.Builder
	for _, tc := range []struct {
		name  string
		reply core.Reply
	}{
		{"job queued", job(core.Queued)},
		{"job running", job(core.Running)},
		{"job done", job(jobstate.Done)},
		{"job cancelled", job(jobstate.Cancelled)},
		{"sweep queued", sweepIn(core.Queued)},
		{"sweep running", sweepIn(core.Running)},
		{"sweep done", sweepIn(jobstate.Done)},
		{"sweep cancelled", sweepIn(jobstate.Cancelled)},
		{"runs, none", runs(0)},
		{"runs, each state, the last page", runs(0, everyRun...)},
		{"runs, a page before", runs(7, everyRun[:1]...)},
		{"gone", core.Reply{Status: 200, Decommission: &core.DecommissionState{Name: "node-2", Decommissioned: true}}},
		{"not gone", core.Reply{Status: 200, Decommission: &core.DecommissionState{Name: "node-2"}}},
		{"ready", core.Reply{Status: 200}},
		{"misdirected, leader known", core.Reply{Status: 421, Leader: "node-1"}},
		{"misdirected, no leader", core.Reply{Status: 421, Error: "not shown"}},
		{"report, no orders", core.Reply{Status: 200, FencingToken: 7}},
		{"report, each kind of order", core.Reply{Status: 200, FencingToken: 7, Commands: commandsOfEachKind()}},
		{"error 400", core.Reply{Status: 400, Error: "hands: missing"}},
		{"error 404", core.Reply{Status: 404, Error: "no such job"}},
		{"error 409", core.Reply{Status: 409, Error: `another job has "job-1" & this <id>`}},
		{"error 422", core.Reply{Status: 422, Error: "steward: unknown"}},
		{"error 429", core.Reply{Status: 429, Error: "too many", RetryAfter: 2}},
		{"error 503", core.Reply{Status: 503, Error: "why", RetryAfter: 5}},
		{"error 503 without a reason", core.Reply{Status: 503, RetryAfter: 5}},
		{"error with a token", core.Reply{Status: 503, FencingToken: 7, Error: "why"}},
	} {
		fmt.Fprintf(&b, "%s: %s\n", tc.name, EncodeReply(tc.reply))
	}
	golden.Compare(t, "testdata/answers.txt", b.String())
}

// TestRecordedOps compares an encoded operators' view with a golden file and decodes it
// again. Every field of the view must be set.
func TestRecordedOps(t *testing.T) {
	view := operatorViewWithAllFields()
	if paths := golden.Unset(view); len(paths) > 0 {
		t.Errorf("fields of the view that are not set: got %s, want none", paths)
	}
	body := EncodeReply(core.Reply{Status: 200, Ops: view})
	golden.Compare(t, "testdata/ops.json", string(body))
	var decoded core.OperatorView
	if err := json.Unmarshal(body, &decoded); err != nil || !reflect.DeepEqual(&decoded, view) {
		t.Errorf("decoded view: got %+v, error %v, want %+v", decoded, err, view)
	}
	golden.Compare(t, "testdata/ops_empty.json", string(EncodeReply(core.Reply{Status: 200, Ops: &core.OperatorView{}})))
}

// TestRecordedDirect compares the encoded commands to a worker's own address with a golden
// file.
func TestRecordedDirect(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "each kind of order: %s\n", EncodeCommands(core.SendCommands{Addr: "10.1.0.1:9000", FencingToken: 7, Epoch: 4, Commands: commandsOfEachKind()}))
	fmt.Fprintf(&b, "no orders: %s\n", EncodeCommands(core.SendCommands{Addr: "10.1.0.1:9000", FencingToken: 7, Epoch: 4}))
	golden.Compare(t, "testdata/direct.txt", b.String())
	for command, want := range map[core.Command]string{{Kind: "start"}: "run", {Kind: "stop"}: "kill", {Kind: "forget"}: "forget"} {
		if got := CommandVerb(command); got != want {
			t.Errorf("verb of command %s: got %q, want %q", command.Kind, got, want)
		}
	}
}

const fullHeartbeat = `{"stoker":"host-1","endpoint":"10.1.0.1:9000","breed":"g8","paddock":"a","borrowed":true,"shift":4,"tally":19,"baton":7,"recall_s":12.5,"hands":[
{"hand":"job-1/0","try":2,"status":"fetching"},{"hand":"job-1/1","try":3,"status":"ready"},{"hand":"job-1/2","try":4,"status":"running","stored":true},
{"hand":"job-1/3","try":5,"status":"ended","cause":"done"},{"hand":"job-1/4","try":6,"status":"ended","cause":"stopped","stored":true},
{"hand":"job-1/5","try":7,"status":"ended","cause":"mates_gone"},{"hand":"job-1/6","try":8,"status":"ended","cause":"incomplete"},
{"hand":"job-1/7","try":9,"status":"ended","cause":"error"},{"hand":"job-1/8","try":10,"status":"ended","cause":"no_room"},
{"hand":"job-1/9","try":11,"status":"ended","cause":"in_use"},{"hand":"job-1/10","try":12,"status":"ended","cause":"no_such"},
{"hand":"job-1/11","try":13,"status":"ended","cause":"something newer"}]}`

// TestRecordedHeartbeat decodes heartbeats of workers: one with every field set, and ones
// without some of them.
func TestRecordedHeartbeat(t *testing.T) {
	full := core.Heartbeat{Machine: "host-1", Addr: "10.1.0.1:9000", Type: "g8", Zone: "a", Spot: true, Epoch: 4, Seq: 19, FencingToken: 7, PreemptionNotice: 12_500_000, Tasks: []core.TaskStatus{
		{Name: "job-1/0", Attempt: 2, State: "fetching"},
		{Name: "job-1/1", Attempt: 3, State: "ready"},
		{Name: "job-1/2", Attempt: 4, State: "running", Checkpointed: true},
		{Name: "job-1/3", Attempt: 5, State: "exited", Reason: "done"},
		{Name: "job-1/4", Attempt: 6, State: "exited", Reason: "stopped", Checkpointed: true},
		{Name: "job-1/5", Attempt: 7, State: "exited", Reason: "peers"},
		{Name: "job-1/6", Attempt: 8, State: "exited", Reason: "alone"},
		{Name: "job-1/7", Attempt: 9, State: "exited", Reason: "error"},
		{Name: "job-1/8", Attempt: 10, State: "exited", Reason: "no_room"},
		{Name: "job-1/9", Attempt: 11, State: "exited", Reason: "busy"},
		{Name: "job-1/10", Attempt: 12, State: "exited", Reason: "unknown"},
		{Name: "job-1/11", Attempt: 13, State: "exited", Reason: "something newer"},
	}}
	for _, tc := range []struct {
		name, body string
		want       core.Heartbeat
	}{
		{"all fields", fullHeartbeat, full},
		{"required fields only", `{"stoker":"host-1","shift":1}`, core.Heartbeat{Machine: "host-1", Epoch: 1, PreemptionNotice: -1, Tasks: []core.TaskStatus{}}},
		{"null preemption notice", `{"stoker":"host-1","shift":1,"recall_s":null,"hands":null}`, core.Heartbeat{Machine: "host-1", Epoch: 1, PreemptionNotice: -1, Tasks: []core.TaskStatus{}}},
		{"preemption time in the past", `{"stoker":"host-1","shift":1,"recall_s":-3}`, core.Heartbeat{Machine: "host-1", Epoch: 1, Tasks: []core.TaskStatus{}}},
	} {
		if got, err := DecodeHeartbeat([]byte(tc.body)); err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: got %+v, error %v, want %+v", tc.name, got, err, tc.want)
		}
	}
}

const fullSubmission = `{"name_id":"job-1","herd":"train","steward":"vision","shape":"gang","urgency":"urgent","hands":16,"vcpus":8.5,"gpus":1.25,"mem_gb":64.125,
"seedstock":"img-07","pull_gb":6.2,"breeds":["g8","g9"],"paddock":"a","one_zone":true,"scatter":true,"borrowed":true,"expect_s":240.5,"bank_s":30.25,"bank_cost_s":4.5,"due_s":900.75,"awaits":["job-0","job-2"]}`

// TestRecordedSubmission decodes a submission with every field set, and each value of the
// fields shape and urgency.
func TestRecordedSubmission(t *testing.T) {
	want := jobstate.Spec{
		ID: "job-1", Class: "train", Team: "vision", Kind: jobstate.Gang, Priority: jobstate.Urgent, Tasks: 16,
		Need: jobstate.Resources{CPU: 8500, GPU: 1250, Mem: 64125}, Image: "img-07", ImageMB: 6200, Types: []string{"g8", "g9"}, Zone: "a", OneZone: true, Spread: true, Spot: true,
		Estimate: 240_500_000, Checkpoint: 30_250_000, Save: 4_500_000, Deadline: 900_750_000, Dependencies: []string{"job-0", "job-2"},
	}
	m, err := DecodeSubmission([]byte(fullSubmission))
	if err != nil || m.Invalid != "" || !reflect.DeepEqual(*m.Spec, want) {
		t.Errorf("got %+v, error %v, invalid %q, want %+v", m.Spec, err, m.Invalid, want)
	}
	replaced := func(from, to string) *jobstate.Spec {
		m, err := DecodeSubmission([]byte(strings.Replace(fullSubmission, from, to, 1)))
		if err != nil || m.Invalid != "" {
			t.Fatalf("submission with %s: got error %v, invalid %q, want none", to, err, m.Invalid)
		}
		return m.Spec
	}
	for word, kind := range map[string]jobstate.Kind{"sweep": jobstate.Array, "gang": jobstate.Gang, "standing": jobstate.Service} {
		if got := replaced(`"gang"`, `"`+word+`"`).Kind; got != kind {
			t.Errorf("shape %s: got kind %q, want %q", word, got, kind)
		}
	}
	for word, priority := range map[string]int{"idle": jobstate.Idle, "normal": jobstate.Normal, "urgent": jobstate.Urgent, "production": jobstate.Production} {
		if got := replaced(`"urgent"`, `"`+word+`"`).Priority; got != priority {
			t.Errorf("urgency %s: got priority %d, want %d", word, got, priority)
		}
	}
}

// TestRecordedFaults compares the errors for invalid submissions, and the complete answers to
// invalid requests, with a golden file. Errors of encoding/json contain the names of Go types,
// so renaming such a type changes what users read.
func TestRecordedFaults(t *testing.T) {
	var b strings.Builder
	for _, replace := range [][2]string{
		{`"name_id":"job-1",`, ``},
		{`"herd":"train",`, ``},
		{`"steward":"vision",`, ``},
		{`"shape":"gang"`, `"shape":"flock"`},
		{`"urgency":"urgent",`, ``},
		{`"urgency":"urgent"`, `"urgency":"asap"`},
		{`"hands":16`, `"hands":0`},
		{`"hands":16`, `"hands":"16"`},
		{`"vcpus":8.5,`, ``},
		{`"gpus":1.25`, `"gpus":-1`},
		{`"mem_gb":64.125`, `"mem_gb":1e300`},
		{"\"seedstock\":\"img-07\",", ``},
		{`"pull_gb":6.2,`, ``},
		{`["g8","g9"]`, `[]`},
		{`["g8","g9"]`, `[""]`},
		{`"paddock":"a"`, `"paddock":"` + strings.Repeat("x", 257) + `"`},
		{`"one_zone":true,`, ``},
		{`"scatter":true,`, ``},
		{`"borrowed":true,`, ``},
		{`"expect_s":240.5,`, ``},
		{`"bank_s":30.25,`, ``},
		{`"bank_cost_s":4.5,`, ``},
		{`"due_s":900.75`, `"due_s":-1`},
		{`["job-0","job-2"]`, `["a b"]`},
	} {
		m, err := DecodeSubmission([]byte(strings.Replace(fullSubmission, replace[0], replace[1], 1)))
		if err != nil {
			m.Invalid = "refused, " + strings.ReplaceAll(err.Error(), "\n", " ")
		}
		fmt.Fprintf(&b, "%.40s -> %.40s: %s\n", replace[0], replace[1], m.Invalid)
	}
	for _, request := range [][3]string{
		{"POST", "/ready", ""},
		{"GET", "/work", ""},
		{"DELETE", "/work/job-1", ""},
		{"GET", "/work/job-1/withdraw", ""},
		{"GET", "/work/", ""},
		{"GET", "/work/a%20b", ""},
		{"POST", "/work/job-1/x", ""},
		{"GET", "/sweeps", ""},
		{"POST", "/sweeps/s", ""},
		{"GET", "/sweeps/s/withdraw", ""},
		{"GET", "/sweeps/s/x", ""},
		{"GET", "/sweeps/a%20b", ""},
		{"GET", "/sweeps/s/runs?after=x", ""},
		{"POST", "/ops/status", ""},
		{"POST", "/ops/metrics", ""},
		{"GET", "/ops/gone/node-1", ""},
		{"POST", "/ops/gone/", ""},
		{"GET", "/agent/beat", ""},
		{"POST", "/agent/beat", `{"stoker":"m"}`},
		{"GET", "/", ""},
		{"POST", "/agent/beat", `{"stoker":1}`},
		{"POST", "/agent/beat", `{"stoker":"m","shift":1,"hands":[{"try":-1}]}`},
		{"POST", "/work", `[1]`},
		{"POST", "/work", `{`},
	} {
		_, answer := Route(&httpwire.Message{Method: request[0], Target: request[1], Body: []byte(request[2])})
		if answer == nil {
			t.Fatalf("%s: got no answer, want a refusal", request)
		}
		fmt.Fprintf(&b, "%s: %q\n", request, httpwire.AppendResponse(nil, *answer))
	}
	golden.Compare(t, "testdata/faults.txt", b.String())
}

// TestRecordedRoutes checks the message to the core for each kind of request.
func TestRecordedRoutes(t *testing.T) {
	for _, tc := range []struct {
		method, target, body string
		want                 any
	}{
		{"GET", "/ready", "", core.CheckReady{RequestID: 9}},
		{"GET", "/ops/status", "", core.QueryOperatorView{RequestID: 9}},
		{"GET", "/ops/metrics", "", core.QueryOperatorView{RequestID: 9}},
		{"POST", "/ops/gone/node-1", "{}", core.SetDecommissioned{RequestID: 9, Name: "node-1", Decommissioned: true}},
		{"DELETE", "/ops/gone/node-1", "{}", core.SetDecommissioned{RequestID: 9, Name: "node-1"}},
		{"POST", "/agent/beat", `{"stoker":"host-1","shift":1}`, core.HeartbeatReceived{RequestID: 9, Heartbeat: core.Heartbeat{Machine: "host-1", Epoch: 1, PreemptionNotice: -1, Tasks: []core.TaskStatus{}}}},
		{"POST", "/work", `{"name_id":"job-1"}`, core.SubmitJob{RequestID: 9, Spec: &jobstate.Spec{ID: "job-1"}, Invalid: "herd: missing"}},
		{"GET", "/work/job-1", "", core.QueryJob{RequestID: 9, ID: "job-1"}},
		{"POST", "/work/job-1/withdraw", "", core.CancelJob{RequestID: 9, ID: "job-1"}},
		{"GET", "/sweeps/s", "", core.QuerySweep{RequestID: 9, ID: "s"}},
		{"GET", "/sweeps/s/runs?after=3&most=4", "", core.ListSweepRuns{RequestID: 9, ID: "s", After: 3, Limit: 4}},
		{"POST", "/sweeps/s/withdraw", "", core.CancelSweep{RequestID: 9, ID: "s"}},
	} {
		build, answer := Route(&httpwire.Message{Method: tc.method, Target: tc.target, Body: []byte(tc.body)})
		if answer != nil {
			t.Errorf("%s %s: got an answer with status %d, want a message for the core", tc.method, tc.target, answer.Status)
		} else if got := build(9); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s %s: got %+v, want %+v", tc.method, tc.target, got, tc.want)
		}
	}
}

// TestRecordedSweep compares the plan of a sweep, and the jobs and values of its runs, with
// a golden file.
func TestRecordedSweep(t *testing.T) {
	m, err := DecodeSweep([]byte(`id: "s" pending: 3 duplicates: MERGE ` + sweepJob + `parameter { name: "a" value { int: 1 } value { text: "x\"y" } value { real: 1 } value { real: 0.5 } }`))
	if err != nil || m.Invalid != "" {
		t.Fatalf("DecodeSweep: got error %v, invalid %q, want none", err, m.Invalid)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %d at once, digest %s, longest %d\n", m.Plan.ID, m.Plan.MaxUnfinished, m.Plan.Digest, m.Plan.Longest)
	for i, spec := range m.Plan.Specs {
		fmt.Fprintf(&b, "%s %s sets %v: %s\n", spec.ID, m.Plan.Values[i], m.Plan.Sets[i], jobstate.Encode(spec))
	}
	golden.Compare(t, "testdata/sweep.txt", b.String())
}
