package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const platform = `{"label":"n0","site":"a","front":"127.0.0.1:8080","back":"127.0.0.1:8081",
"members":[{"label":"n1","site":"b","peer_addr":"127.0.0.1:8091"}],"outside":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
"settings":{"size":2,"zones":["a","b"],"teams":[{"name":"t","gpus":1,"gpus_max":2}],
"workers":{"report_s":2.5,"lease_s":16,"gang_wait_s":30,"gang_peer_s":4,"cancel_s":36},
"state":{"rps":80,"write_rps":25,"value_kb":8,"txn_ops":12},"cloud":{"rps":3,"list_lag_s":8},
"resources":{"core_share":0.2,"mem_mb":125,"sockets":1500},"clock_error_ms":250},"newer":1}`

// TestLoad changes one field at a time. If the value is invalid, the error must name the
// field.
func TestLoad(t *testing.T) {
	cases := []struct{ old, new, wantField string }{
		{"", "", ""},
		{`"label":"n0"`, `"label":""`, "label"},
		{`"front":"127.0.0.1:8080"`, `"front":"nowhere"`, "front"},
		{`"label":"n1"`, `"label":"n0"`, "members[0].label"},
		{`"report_s":2.5`, `"report_s":0`, "report_s"},
		{`"cancel_s":36`, `"cancel_s":17`, "cancel_s"},
		{`"txn_ops":12`, `"txn_ops":1`, "txn_ops"},
		{`"txn_ops":12`, `"txn_ops":12,"next":null`, ""},
		{`"txn_ops":12`, `"txn_ops":12,"next":{"write_rps":18,"value_kb":2,"txn_ops":4,"more":1}`, ""},
		{`"txn_ops":12`, `"txn_ops":12,"next":{"value_kb":99}`, ""},
		{`"txn_ops":12`, `"txn_ops":12,"next":{"write_rps":0}`, "next.write_rps"},
		{`"txn_ops":12`, `"txn_ops":12,"next":{"value_kb":-1}`, "next.value_kb"},
		{`"txn_ops":12`, `"txn_ops":12,"next":{"txn_ops":3}`, "next.txn_ops"},
		{`"txn_ops":12`, `"txn_ops":12,"next":[]`, "next"},
		{`"zones":["a","b"]`, `"zones":[]`, "zones"},
		{`"gpus":1`, `"gpus":-1`, "teams[0]"},
		{`"zones":`, `"objectives":null,"zones":`, ""},
		{`"zones":`, `"objectives":[{"kind":"guarantee","class":null,"share":0.8}],"zones":`, ""},
		{`"zones":`, `"objectives":{},"zones":`, "objectives"},
		{`"mem_mb":125`, `"mem_mb":"much"`, "mem_mb"},
		{`"newer":1}`, `"newer":`, "settings"},
	}
	for _, tc := range cases {
		path := filepath.Join(t.TempDir(), "s.json")
		if err := os.WriteFile(path, []byte(strings.Replace(platform, tc.old, tc.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := Load(path)
		switch {
		case tc.wantField == "" && err != nil:
			t.Errorf("%s: got error %v, want none", tc.new, err)
		case tc.wantField == "" && got.Deployment.LeaderAuthorityTime()+MicrosOf(16*1.001)+Second >= MicrosOf(36):
			t.Errorf("%s: got leader authority time %d µs, want less than %d µs to leave a margin within cancel_s", tc.new, got.Deployment.LeaderAuthorityTime(), MicrosOf(36)-MicrosOf(16*1.001)-Second)
		case tc.wantField != "" && (err == nil || !strings.Contains(err.Error(), tc.wantField)):
			t.Errorf("%s: got error %v, want one with %q", tc.new, err, tc.wantField)
		}
	}
}

// TestStrictestStateLimits checks that each limit is the lower of the current and the
// upcoming one.
func TestStrictestStateLimits(t *testing.T) {
	rate, large, ops := 18.0, 99.0, 4
	current := StateLimits{RPS: 80, WriteRPS: 25, ValueKB: 8, TxnOps: 12}
	cases := []struct {
		next *UpcomingStateLimits
		want StateLimits
	}{
		{nil, current},
		{&UpcomingStateLimits{}, current},
		{&UpcomingStateLimits{WriteRPS: &rate, ValueKB: &large, TxnOps: &ops}, StateLimits{RPS: 80, WriteRPS: 18, ValueKB: 8, TxnOps: 4}},
	}
	for _, tc := range cases {
		var deployment Deployment
		deployment.State.StateLimits, deployment.State.Next = current, tc.next
		if got := deployment.StrictestStateLimits(); got != tc.want {
			t.Errorf("limits: got %+v, want %+v", got, tc.want)
		}
	}
}

// TestOperators parses operators' settings. If they are invalid, the error must name the
// field. The file in deploy must have the defaults.
func TestOperators(t *testing.T) {
	cases := []struct{ text, wantField string }{
		{"", ""},
		{"short_cutoff_s: 30 # half\ntrial_s: 90", ""},
		{"short_cutof_s: 30", "short_cutof_s"},
		{"trial_s: 1", "trial_s"},
		{"spare_share: -1", "spare_share"},
		{"short_cutoff_s: 700", "long_cutoff_s"},
		{"term_s: nan", "term_s"},
	}
	for _, tc := range cases {
		got, err := ParseOperators([]byte(tc.text))
		if tc.wantField == "" && err != nil || tc.wantField != "" && (err == nil || !strings.Contains(err.Error(), tc.wantField)) {
			t.Errorf("%q: got error %v, want one with %q, or none if that is empty", tc.text, err, tc.wantField)
		}
		if strings.HasPrefix(tc.text, "short_cutoff_s: 30") && (got.ShortCutoff != 30*Second || got.Trial != 90*Second || got.Term != 10*Second) {
			t.Errorf("%q: got %+v, want a short cutoff of 30 s, a trial of 90 s and a term of 10 s", tc.text, got)
		}
	}
	b, err := os.ReadFile("../../deploy/operators.txtpb")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ParseOperators(b); err != nil || !reflect.DeepEqual(got, Defaults()) {
		t.Errorf("deploy/operators.txtpb: got %+v, error %v, want the defaults", got, err)
	}
}

// TestStartWithin checks that the strictest objective applies, and that the objective on
// guarantees applies only to jobs within their team's guarantee.
func TestStartWithin(t *testing.T) {
	objectives := []Objective{{"wait", "fit", 150}, {"wait", "fit", 25}, {"finished", "fit", 5}, {"guarantee", "", 15}, {"wait", "scan", 200}}
	cases := []struct {
		class      string
		guaranteed bool
		want       Micros
	}{
		{"fit", false, 25 * Second},
		{"fit", true, 15 * Second},
		{"scan", false, 200 * Second},
		{"other", false, 0},
		{"other", true, 15 * Second},
	}
	for _, tc := range cases {
		deployment := Deployment{Objectives: objectives}
		if got := deployment.StartWithin(tc.class, tc.guaranteed); got != tc.want {
			t.Errorf("class %s, guaranteed %v: got %d µs, want %d µs", tc.class, tc.guaranteed, got, tc.want)
		}
	}
}

// TestSweepsSwitch checks that sweeps are off by default and that deploy/sweeps.txtpb
// switches them on.
func TestSweepsSwitch(t *testing.T) {
	text, err := os.ReadFile("../../deploy/sweeps.txtpb")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseOperators(text)
	if err != nil || !got.Sweeps || Defaults().Sweeps {
		t.Errorf("got error %v, sweeps %v with the file and %v by default, want true and false", err, got.Sweeps, Defaults().Sweeps)
	}
}
