package peer

import (
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/peer/internal/wire"
)

// TestDecodeVersion1Messages checks that messages recorded from version 1, which had no
// pipelines, are decoded correctly.
func TestDecodeVersion1Messages(t *testing.T) {
	b, err := os.ReadFile("../core/testdata/version1.json")
	if err != nil {
		t.Fatal(err)
	}
	var recorded struct {
		Gob map[string]string `json:"gob"`
	}
	if err := json.Unmarshal(b, &recorded); err != nil {
		t.Fatal(err)
	}
	cases := map[string]any{
		"PingArgs":  core.PingReceived{From: "node-1"},
		"PingReply": PingAnswer{Name: "node-1", Status: core.PeerStatus{FencingToken: 3, Leader: "node-0", StateAge: 5, Cancelled: []string{"job-01"}}},
		"BeatArgs": core.HeartbeatReceived{From: "node-1", Heartbeat: core.Heartbeat{
			Machine: "host-000001", Addr: "10.1.0.1:9000", Type: "big", Zone: "a", Spot: true, Epoch: 2, Seq: 9, FencingToken: 3, PreemptionNotice: -1,
			Tasks: []core.TaskStatus{{Name: "job-01/0", Attempt: 2, State: "exited", Reason: "done", Checkpointed: true}},
		}},
		"AskArgs submit": nil,
		"AskArgs status": core.QueryJob{RequestID: 1, Forwarded: true, ID: "job-01"},
		"AskArgs cancel": core.CancelJob{RequestID: 1, Forwarded: true, ID: "job-01"},
		"Reply orders":   core.Reply{RequestID: 1, Status: 200, FencingToken: 3, Commands: []core.Command{{Kind: "start", Task: "job-01/0", Attempt: 1}, {Kind: "stop", Task: "job-01/1", Attempt: 1, Grace: 5}}},
		"Reply job":      core.Reply{RequestID: 1, Status: 200, Job: &core.JobState{ID: "job-01", State: "done", Done: 2}},
	}
	for name, want := range cases {
		raw, err := base64.StdEncoding.DecodeString(recorded.Gob[name])
		if err != nil || len(raw) == 0 {
			t.Fatalf("%s: got %d recorded bytes, error %v, want a recorded message", name, len(raw), err)
		}
		if want == nil {
			submission, ok := fromWire(t, decoded(t, raw, reflect.TypeFor[wire.AskArgs]())).(core.SubmitJob)
			if !ok || submission.Spec.ID != "job-00" || submission.Spec.Need.CPU == 0 || submission.Spec.Estimate == 0 || submission.Spec.Team == "" {
				t.Errorf("%s: got %+v, want a submission of job-00 with CPU, estimate and team", name, submission)
			}
			continue
		}
		got := fromWire(t, decoded(t, raw, reflect.TypeOf(toWire(t, want))))
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
}

// TestVersion1DecodesPingReply checks that version 1, which had no pipelines, can decode a
// current ping reply although it knows none of the newer fields.
func TestVersion1DecodesPingReply(t *testing.T) {
	var old struct {
		Name string
		News struct {
			Token     uint64
			Leader    string
			StateAge  int64
			Cancelled []string
		}
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(wire.NewPingReply("n", core.PeerStatus{
		FencingToken: 3, Leader: "l", StateAge: 5, Cancelled: []string{"j"}, Version: 3, LimitsLowered: true,
		Features: []upgrade.FeatureName{upgrade.ProgressLog}, Connectivity: &connectivity.Advertisement{ReachableEighths: map[string]int{"a": 8}, Peers: []string{"m"}}, Machines: []connectivity.Machine{{Name: "h", Addr: "x", Zone: "a"}},
	})); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&b).Decode(&old); err != nil || old.Name != "n" || old.News.Token != 3 || old.News.Leader != "l" || old.News.StateAge != 5 || len(old.News.Cancelled) != 1 {
		t.Errorf("got %+v, error %v, want name n, token 3, leader l, state age 5 and one cancellation", old, err)
	}
}
