package api

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/httpwire"
)

const validSubmission = `{"name_id":"req-1","herd":"train","steward":"vision","shape":"gang","urgency":"urgent","hands":16,
"vcpus":8.0,"gpus":1.0,"mem_gb":64.0,"seedstock":"img-07","pull_gb":6.2,"breeds":["g8"],"paddock":null,"one_zone":true,
"scatter":false,"borrowed":true,"expect_s":240.0,"bank_s":30.0,"bank_cost_s":4.0,"due_s":900.0,"more":{"a":[1]}}`

// TestDecodeSubmission changes one field at a time in a valid submission. If the value is
// invalid, the error must name the field.
func TestDecodeSubmission(t *testing.T) {
	cases := []struct{ name, old, new, wantField string }{
		{"unchanged", "", "", ""},
		{"due_s null", `"due_s":900.0`, `"due_s":null`, ""},
		{"breeds null", `["g8"]`, `null`, ""},
		{"hands 0", `"hands":16`, `"hands":0`, "hands"},
		{"hands over the limit", `"hands":16`, `"hands":100001`, "hands"},
		{"fractional hands", `"hands":16`, `"hands":1.5`, "hands"},
		{"hands missing", `"hands":16,`, ``, "hands"},
		{"hands of wrong type", `"hands":16`, `"hands":"16"`, "hands"},
		{"unknown shape", `"gang"`, `"flock"`, "shape"},
		{"unknown urgency", `"urgent"`, `"asap"`, "urgency"},
		{"negative vcpus", `"vcpus":8.0`, `"vcpus":-1`, "vcpus"},
		{"mem_gb out of range", `"mem_gb":64.0`, `"mem_gb":1e300`, "mem_gb"},
		{"steward missing", `"steward":"vision",`, ``, "steward"},
		{"borrowed missing", `"borrowed":true,`, ``, "borrowed"},
		{"borrowed of wrong type", `"borrowed":true`, `"borrowed":1`, "borrowed"},
		{"breeds empty", `["g8"]`, `[]`, "breeds"},
		{"awaits null", `"hands":16`, `"hands":16,"awaits":null`, ""},
		{"awaits empty", `"hands":16`, `"hands":16,"awaits":[]`, ""},
		{"awaits two jobs", `"hands":16`, `"hands":16,"awaits":["req-2","req-3"]`, ""},
		{"awaits not a list", `"hands":16`, `"hands":16,"awaits":"req-2"`, "awaits"},
		{"awaits a number", `"hands":16`, `"hands":16,"awaits":[7]`, "awaits"},
		{"awaits an invalid id", `"hands":16`, `"hands":16,"awaits":["a b"]`, "awaits"},
		{"awaits null in the list", `"hands":16`, `"hands":16,"awaits":[null]`, "awaits"},
		{"awaits too many jobs", `"hands":16`, `"hands":16,"awaits":["req-2"` + strings.Repeat(`,"req-2"`, maxDependencies) + `]`, "awaits"},
		{"seedstock too long", `"img-07"`, `"` + strings.Repeat("x", 300) + `"`, "seedstock"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m, err := DecodeSubmission([]byte(strings.Replace(validSubmission, tc.old, tc.new, 1)))
			if err != nil {
				t.Fatalf("DecodeSubmission: got error %v, want none", err)
			}
			if m.Spec.ID != "req-1" || (m.Invalid != "") != (tc.wantField != "") || !strings.Contains(m.Invalid, tc.wantField) {
				t.Errorf("got id %q and error %q, want id \"req-1\" and an error that names the field %q (no error if \"\")", m.Spec.ID, m.Invalid, tc.wantField)
			}
		})
	}
	duplicate, err := DecodeSubmission([]byte(strings.Replace(validSubmission, `"hands":16`, `"hands":16,"awaits":["req-2","req-3","req-2"]`, 1)))
	if err != nil || len(duplicate.Spec.Dependencies) != 2 {
		t.Errorf("awaits with a duplicate id: got dependencies %v, error %v, want 2 dependencies", duplicate.Spec.Dependencies, err)
	}
	m, err := DecodeSubmission([]byte(validSubmission))
	if err != nil || m.Spec.Kind != jobstate.Gang || m.Spec.Priority != 2 || m.Spec.Need != (jobstate.Resources{CPU: 8000, GPU: 1000, Mem: 64000}) ||
		m.Spec.Estimate != 240_000_000 || m.Spec.ImageMB != 6200 || !m.Spec.Spot || !m.Spec.OneZone || m.Spec.Spread {
		t.Errorf("valid submission: got %+v, error %v, want the fields of %s", m.Spec, err, validSubmission)
	}
}

// TestRoute checks valid and invalid requests for each path.
func TestRoute(t *testing.T) {
	cases := []struct {
		method, target, body string
		status               int // 0: a message for the core
	}{
		{"GET", "/ready", "", 0},
		{"GET", "/ready?x=1", "", 0},
		{"POST", "/ready", "", 405},
		{"POST", "/work", validSubmission, 0},
		{"GET", "/work", "", 405},
		{"POST", "/work", "not json", 400},
		{"POST", "/work", `[1]`, 400},
		{"POST", "/work", `{"name_id":"a b"}`, 400},
		{"POST", "/work", `{"name_id":"` + strings.Repeat("x", MaxIDLength+1) + `"}`, 400},
		{"GET", "/work/req-1", "", 0},
		{"DELETE", "/work/req-1", "", 405},
		{"GET", "/work/", "", 404},
		{"GET", "/work/a%20b", "", 404},
		{"POST", "/work/req-1/withdraw", "", 0},
		{"GET", "/work/req-1/withdraw", "", 405},
		{"POST", "/work/req-1/other", "", 404},
		{"POST", "/agent/beat", `{"stoker":"m","shift":1}`, 0},
		{"POST", "/agent/beat", `{"stoker":"m"}`, 400},
		{"POST", "/agent/beat", `{`, 400},
		{"GET", "/ops/status", "", 0},
		{"POST", "/ops/status", "", 405},
		{"GET", "/ops/metrics", "", 0},
		{"POST", "/ops/gone/stoker-2", "{}", 0},
		{"DELETE", "/ops/gone/stoker-2", "", 0},
		{"GET", "/ops/gone/stoker-2", "", 405},
		{"POST", "/ops/gone/", "{}", 404},
		{"POST", "/ops/metrics", "", 405},
		{"GET", "/", "", 404},
	}
	for _, tc := range cases {
		build, answer := Route(&httpwire.Message{Method: tc.method, Target: tc.target, Body: []byte(tc.body)})
		switch {
		case tc.status == 0 && (build == nil || answer != nil):
			t.Errorf("%s %s: got answer %+v, want a message for the core", tc.method, tc.target, answer)
		case tc.status != 0 && (answer == nil || answer.Status != tc.status):
			t.Errorf("%s %s: got answer %+v, want status %d", tc.method, tc.target, answer, tc.status)
		}
	}
}

// TestEncodeReply checks the JSON of replies, including the names of the fields.
func TestEncodeReply(t *testing.T) {
	cases := []struct {
		reply core.Reply
		want  string
	}{
		{core.Reply{Status: 201, Job: &core.JobState{ID: "a", State: core.Queued}}, `{"name_id":"a","status":"pending","done":0,"running":0}`},
		{core.Reply{Status: 200, Job: &core.JobState{ID: "a", State: jobstate.Cancelled}}, `{"name_id":"a","status":"withdrawn","done":0,"running":0}`},
		{core.Reply{Status: 421, Leader: "n"}, `{"foreman":"n"}`},
		{core.Reply{Status: 421}, `{}`},
		{core.Reply{Status: 200, FencingToken: 7}, `{"baton":7,"orders":[]}`},
		{
			core.Reply{Status: 200, FencingToken: 7, Commands: []core.Command{{Kind: "start", Task: "a/0", Attempt: 2}, {Kind: "stop", Task: "a/1", Attempt: 1, Grace: 2_500_000}}},
			`{"baton":7,"orders":[{"verb":"run","hand":"a/0","try":2},{"verb":"kill","hand":"a/1","try":1,"wind_down_s":2.5}]}`,
		},
		{core.Reply{Status: 503, Error: "why"}, `{"error":"why"}`},
	}
	for _, tc := range cases {
		if got := string(EncodeReply(tc.reply)); got != tc.want {
			t.Errorf("%+v: got %s, want %s", tc.reply, got, tc.want)
		}
	}
}

// FuzzDecode checks that no body makes the decoders panic, and that an accepted submission
// can be stored and read back.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"stoker":"m","shift":1,"hands":[{"hand":"a/1","try":1,"status":"ended","cause":"done"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = DecodeHeartbeat(body)
		m, err := DecodeSubmission(body)
		if err != nil || m.Invalid != "" {
			return
		}
		b, err := json.Marshal(m.Spec)
		if err != nil {
			t.Fatalf("encode the submission: got error %v, want none", err)
		}
		var stored jobstate.Spec
		if err := json.Unmarshal(b, &stored); err != nil || stored.ID != m.Spec.ID || stored.Need != m.Spec.Need {
			t.Fatalf("stored submission: got %+v, error %v, want %+v", stored, err, m.Spec)
		}
	})
}
