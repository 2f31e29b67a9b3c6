package api

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/httpwire"
)

const sweepJob = `job { herd: "h" steward: "t" shape: "sweep" urgency: "idle" hands: 2 vcpus: 1 mem_gb: 1 seedstock: "im" expect_s: 5 } `

// TestSweepRoutes checks the messages that requests about sweeps are converted to, and the errors
// for invalid requests.
func TestSweepRoutes(t *testing.T) {
	validSweep := `id: "s" ` + sweepJob + `parameter { name: "a" value { int: 1 } value { text: "x\"y" } }`
	cases := []struct {
		method, target, body string
		want                 string // beginning of the message, or of the status and error
	}{
		{"POST", "/sweeps", validSweep, "submit s 2"},
		{"POST", "/sweeps", "nonsense", "400 sweep:"},
		{"POST", "/sweeps", strings.Replace(validSweep, `id: "s"`, `id: "s/t"`, 1), `400 id: "s/t" is not`},
		{"POST", "/sweeps", strings.Replace(validSweep, `herd: "h"`, ``, 1), "submit s 0 run {a: 1}: herd: missing"},
		{"POST", "/sweeps", strings.Replace(validSweep, `hands: 2`, `hands: 0.5`, 1), "submit s 0 run {a: 1}: hands: must be a whole number"},
		{"GET", "/sweeps", "", "405 use POST"},
		{"GET", "/sweeps/s", "", "status s"},
		{"POST", "/sweeps/s", "", "405 use GET"},
		{"GET", "/sweeps/s/runs?after=20&most=10", "", "runs s 20 10"},
		{"GET", "/sweeps/s/runs", "", "runs s 0 100"},
		{"GET", "/sweeps/s/runs?after=x", "", `400 after: "x" is no number`},
		{"GET", "/sweeps/s/runs?most=-1", "", `400 most: "-1" is no number`},
		{"GET", "/sweeps/s/runs?other=1", "", "runs s 0 100"},
		{"POST", "/sweeps/s/withdraw", "{}", "cancel s"},
		{"GET", "/sweeps/s/withdraw", "", "405 use POST"},
		{"GET", "/sweeps/s/what", "", "404 no such path"},
		{"GET", "/sweeps/a%20b", "", "404 no such sweep"},
	}
	for _, tc := range cases {
		build, answer := Route(&httpwire.Message{Method: tc.method, Target: tc.target, Body: []byte(tc.body)})
		got := ""
		if answer != nil {
			var body struct{ Error string }
			_ = json.Unmarshal(answer.Body, &body)
			got = fmt.Sprint(answer.Status, " ", body.Error)
		} else {
			switch m := build(7).(type) {
			case core.SubmitSweep:
				got = fmt.Sprint("submit ", m.Plan.ID, " ", len(m.Plan.Specs), " ", m.Invalid)
			case core.QuerySweep:
				got = "status " + m.ID
			case core.ListSweepRuns:
				got = fmt.Sprint("runs ", m.ID, " ", m.After, " ", m.Limit)
			case core.CancelSweep:
				got = "cancel " + m.ID
			}
		}
		if !strings.HasPrefix(got, tc.want) {
			t.Errorf("%s %s %.30s: got %q, want it to begin with %q", tc.method, tc.target, tc.body, got, tc.want)
		}
	}
}

// TestPackSweep checks that a packed sweep expands to the same runs, with their values and
// the indexes of merged sets, and that invalid packed sweeps are refused. It also checks the
// encoding of replies about the sweep.
func TestPackSweep(t *testing.T) {
	m, err := DecodeSweep([]byte(`id: "s" duplicates: MERGE ` + sweepJob + `parameter { name: "a" value { int: 1 } value { text: "x\"y" } value { real: 1 } value { real: 0.5 } }`))
	if err != nil || m.Invalid != "" {
		t.Fatalf("DecodeSweep: got error %v, invalid %q, want none", err, m.Invalid)
	}
	plan, err := UnpackSweep(m.Stored)
	if err != nil {
		t.Fatalf("UnpackSweep: got error %v, want none", err)
	}
	if plan.Digest != m.Plan.Digest || len(plan.Specs) != 3 || plan.Specs[1].Sweep != "s" || plan.Specs[1].Run != 1 {
		t.Errorf("unpacked plan: got %+v, want 3 runs with digest %s, the second being run 1 of sweep s", plan, m.Plan.Digest)
	}
	answer := string(EncodeReply(core.Reply{Status: 200, Runs: &core.SweepPage{Next: 2, Runs: []core.SweepRun{
		{Number: 0, ID: plan.Specs[0].ID, State: core.Running, Values: plan.Values[0], Sets: plan.Sets[0]},
		{Number: 1, ID: "x", State: core.RunStatePlanned, Values: plan.Values[1], Sets: plan.Sets[1]},
	}}}))
	want := `{"runs":[{"run":0,"name_id":"` + plan.Specs[0].ID + `","status":"running","values":{"a":1},"sets":[0,2]},{"run":1,"name_id":"x","status":"planned","values":{"a":"x\"y"}}],"next":2}`
	if answer != want {
		t.Errorf("page of runs:\ngot  %s\nwant %s", answer, want)
	}
	state := string(EncodeReply(core.Reply{Status: 201, Sweep: &core.SweepState{ID: "s", State: jobstate.Cancelled, Runs: 3, Cancelled: 3}}))
	if want := `{"id":"s","status":"withdrawn","runs":3,"created":0,"done":0,"withdrawn":3}`; state != want {
		t.Errorf("state of the sweep: got %s, want %s", state, want)
	}
	for _, invalid := range []string{"", "!", "AAAA", m.Stored[:len(m.Stored)/2]} {
		if _, err := UnpackSweep(invalid); err == nil {
			t.Errorf("unpack %q: got no error, want one", invalid)
		}
	}
}
