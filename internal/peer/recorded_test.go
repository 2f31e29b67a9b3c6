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
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/ledger"
	"github.com/zinclb/zinclb/internal/core/reach"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/core/vouch"
)

var record = flag.Bool("record", false, "writes the messages of this program for later ones to read")

func asked(request any) *AskArgs {
	a := Ask(request)
	return &a
}

// messages4 are both directions of each call as program 4 sends them.
func messages4() map[string]any {
	return map[string]any{
		"PingArgs": &PingArgs{From: "node-1", Need: true},
		"PingReply": &PingReply{Name: "node-1", News: core.PeerNews{Token: 3, Leader: "node-0", StateAge: 5, Cancelled: []string{"job-01"}, Version: 2, Lowered: true,
			Features: []upgrade.Name{upgrade.Log, upgrade.Reach}, Reach: &reach.Value{Boot: "b", Workers: map[string]int{"a": 8, "b": 0}, Peers: []string{"node-0"}, Cloud: true, Flaps: true},
			Machines: []reach.Machine{{Name: "host-000001", Addr: "10.1.0.1:9000", Zone: "a"}}}},
		"BeatArgs": &BeatArgs{From: "node-1", Onward: true, Report: core.Report{Machine: "host-000001", Addr: "10.1.0.1:9000", Type: "big", Zone: "a", Session: 2, Seq: 9, Token: 3, Notice: -1,
			Tasks: []core.TaskReport{{Name: "job-01/0", Attempt: 2, State: "running"}}}},
		"AskArgs submit":      asked(core.Submit{Spec: &ledger.Spec{ID: "job-01", Team: "t", Tasks: 2, Awaits: []string{"job-00"}}, Handed: true}),
		"AskArgs status":      asked(core.Status{ID: "job-01", Handed: true}),
		"AskArgs cancel":      asked(core.Cancel{ID: "job-01", Handed: true}),
		"AskArgs sweep":       asked(core.HandedSweep{ID: "s", Stored: "x", Invalid: "y"}),
		"AskArgs sweep state": asked(core.SweepStatus{ID: "s", Handed: true}),
		"AskArgs sweep runs":  asked(core.SweepRuns{ID: "s", After: 1, Most: 2, Handed: true}),
		"AskArgs sweep end":   asked(core.CancelSweep{ID: "s", Handed: true}),
		"AskArgs rent":        asked(core.CloudFor{Token: 3, Call: core.CloudCall{Rent: &core.Rent{Name: "r", Type: "big", Zone: "a", Spot: true, Count: 2}}}),
		"AskArgs list":        asked(core.CloudFor{Token: 3, Call: core.CloudCall{List: true, Gap: 7}}),
		"Reply orders":        &core.Reply{Req: 1, Status: 200, Token: 3, Orders: []core.Order{{Op: "stop", Task: "job-01/1", Attempt: 1, Grace: 5}}},
		"Reply job":           &core.Reply{Req: 1, Status: 200, Job: &core.JobState{ID: "job-01", State: "done", Done: 2}},
		"Reply sweep":         &core.Reply{Req: 1, Status: 200, Sweep: &core.SweepState{ID: "s", State: "running", Runs: 3, Done: 1}},
		"Reply cloud": &core.Reply{Req: 1, Status: 200, Cloud: &core.CloudAnswer{Status: 200, Names: []string{"host-000002"}, Types: []fleet.Type{{Name: "big", Zones: []string{"a"}}},
			List: []core.Listing{{Name: "host-000002", Type: "big", Zone: "a", Status: "running", Age: 5}}}},
		"Reply refused": &core.Reply{Req: 1, Status: 503, Retry: 2, Error: "why"},
	}
}

// messagesVouch are those that changed when controllers began to vouch for what
// they tell users, which took no other program number: nothing stored depends on it.
func messagesVouch() map[string]any {
	return map[string]any{
		"PingArgs": &PingArgs{From: "node-1", Boot: "b1", Ask: &vouch.Question{Boot: "b2", Upto: 3, Applied: 9}, Tell: &vouch.Page{Boot: "b1", After: 1, Upto: 2, Cancelled: []string{"job-02"}}},
		"PingReply": &PingReply{Name: "node-2", News: core.PeerNews{Token: 3, Leader: "node-1", Vouch: &vouch.Page{Boot: "b2", After: 3, Upto: 5, Cancelled: []string{"job-01", "sweep/s"}, More: true, Whole: true},
			Ack: &vouch.Ack{Holds: true, Boot: "b1", Upto: 2, Applied: 8}}},
		"AskArgs rent": asked(core.CloudFor{Token: 3, Call: core.CloudCall{Rent: &core.Rent{Name: "r", Type: "big", Zone: "a", Spot: true, Count: 2, Token: 3}}}),
	}
}

// messagesShared are those by which followers ask the leader for what is stored, since
// program 5.
func messagesShared() map[string]any {
	return map[string]any{
		"AskArgs view": asked(core.ViewFor{After: 7, Need: 2}),
		"Reply view": &core.Reply{Req: 1, Status: 200, View: &replica.View{Ledger: 9, Granted: 2,
			Changes: []core.Change{{Key: "zinclb/job/a", Value: []byte("{}"), Stamp: 8}, {Key: "zinclb/job/b", Stamp: 9, Removed: true}}}},
	}
}

// TestRecorded reads messages as earlier programs and this one wrote them: a field
// that was renamed, or means something else, shows here.
func TestRecorded(t *testing.T) {
	for file, messages := range map[string]map[string]any{"version4": messages4(), "vouch": messagesVouch(), "shared": messagesShared(), "wire_63ef244": completeMessages()} {
		t.Run(file, func(t *testing.T) { recorded(t, "testdata/"+file+".json", messages) })
	}
}

func recorded(t *testing.T, file string, messages map[string]any) {
	if *record {
		out := map[string]string{}
		for name, m := range messages {
			var b bytes.Buffer
			if err := gob.NewEncoder(&b).Encode(m); err != nil {
				t.Fatal(err)
			}
			out[name] = base64.StdEncoding.EncodeToString(b.Bytes())
		}
		b, err := json.MarshalIndent(out, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, append(b, '\n'), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var raws map[string]string
	if err := json.Unmarshal(b, &raws); err != nil {
		t.Fatal(err)
	}
	for name, want := range messages {
		raw, err := base64.StdEncoding.DecodeString(raws[name])
		if err != nil || len(raw) == 0 {
			t.Fatalf("%s: not recorded", name)
		}
		got := reflect.New(reflect.TypeOf(want).Elem())
		if err := gob.NewDecoder(bytes.NewReader(raw)).DecodeValue(got); err != nil || !reflect.DeepEqual(got.Interface(), want) {
			t.Errorf("%s: %+v, %v", name, got.Interface(), err)
		}
		// A request is numbered anew and is otherwise what was handed on.
		if a, ok := got.Interface().(*AskArgs); ok && a.Sweep == nil && !reflect.DeepEqual(Ask(a.Message(0)), *a) {
			t.Errorf("%s: handed to the core as %+v", name, a.Message(0))
		}
	}
}
