package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/golden"
)

const fullPlatform = `{"label":"n0","site":"a","front":"127.0.0.1:8080","back":"127.0.0.1:8081",
"members":[{"label":"n1","site":"b","peer_addr":"127.0.0.1:8091"},{"label":"n2","site":"c","peer_addr":"127.0.0.1:8092"}],
"outside":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
"settings":{"size":3,"zones":["a","b","c"],"teams":[{"name":"t","cpus":11.5,"cpus_max":12.5,"gpus":1.5,"gpus_max":2.5}],
"objectives":[{"kind":"wait","class":"fit","within_s":25.5}],
"workers":{"report_s":2.5,"lease_s":16.5,"gang_wait_s":30.5,"gang_peer_s":4.5,"cancel_s":36.5},
"state":{"rps":80.5,"write_rps":25.5,"value_kb":8.5,"txn_ops":12,"next":{"rps":70.5,"write_rps":18.5,"value_kb":2.5,"txn_ops":4}},
"cloud":{"rps":3.5,"list_lag_s":8.5},"resources":{"core_share":0.25,"mem_mb":125.5,"sockets":1500},"clock_error_ms":250.5}}`

// platformWithAllFields returns the settings that fullPlatform encodes.
func platformWithAllFields() *Platform {
	rps, writes, large, ops := 70.5, 18.5, 2.5, 4
	p := &Platform{
		Name: "n0", Zone: "a", UserAddr: "127.0.0.1:8080", PeerAddr: "127.0.0.1:8081",
		Peers:    []Peer{{Name: "n1", Zone: "b", Addr: "127.0.0.1:8091"}, {Name: "n2", Zone: "c", Addr: "127.0.0.1:8092"}},
		Services: Services{Cloud: "127.0.0.1:1", State: "127.0.0.1:2"},
		Deployment: Deployment{
			Size: 3, Zones: []string{"a", "b", "c"}, Teams: []Team{{Name: "t", CPUs: 11.5, CPUsMax: 12.5, GPUs: 1.5, GPUsMax: 2.5}},
			Objectives: []Objective{{Kind: "wait", Class: "fit", WithinS: 25.5}}, ClockErrorMS: 250.5,
		},
	}
	workers := &p.Deployment.Workers
	workers.ReportS, workers.LeaseS, workers.GangWaitS, workers.GangPeerS, workers.CancelS = 2.5, 16.5, 30.5, 4.5, 36.5
	p.Deployment.State.StateLimits = StateLimits{RPS: 80.5, WriteRPS: 25.5, ValueKB: 8.5, TxnOps: 12}
	p.Deployment.State.Next = &UpcomingStateLimits{RPS: &rps, WriteRPS: &writes, ValueKB: &large, TxnOps: &ops}
	p.Deployment.Cloud.RPS, p.Deployment.Cloud.ListLagS = 3.5, 8.5
	p.Deployment.Limits.CoreShare, p.Deployment.Limits.MemMB, p.Deployment.Limits.Sockets = 0.25, 125.5, 1500
	return p
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestRecordedPlatform decodes platform settings with every field set. It also encodes them,
// as the emulator does for the controllers that it starts, and compares them with a golden
// file.
func TestRecordedPlatform(t *testing.T) {
	want := platformWithAllFields()
	if paths := golden.Unset(want); len(paths) > 0 {
		t.Errorf("fields are not set in this test: %s", paths)
	}
	if got, err := Load(writeSettings(t, fullPlatform)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	body, err := json.MarshalIndent(want, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/platform.json", string(body)+"\n")
}

const fullOperators = `short_cutoff_s: 30.5 long_cutoff_s: 500.5 term_s: 11.5 trial_s: 90.5 idle_return_s: 41.5 spare_share: 2.5 leader_lease_s: 4.5
sweeps: true reach: true hold_features: "log" hold_features: "a-newer-1" weigh_money: true`

// TestRecordedOperators parses operators' settings with every field set, with none, which
// gives the defaults, and with one.
func TestRecordedOperators(t *testing.T) {
	weighMoney := true
	full := Operators{
		ShortCutoff: 30_500_000, LongCutoff: 500_500_000, Term: 11_500_000, Trial: 90_500_000, IdleReturn: 41_500_000, LeaderLease: 4_500_000,
		SpareShare: 2.5, Sweeps: true, Reach: true, WeighMoney: &weighMoney, HoldFeatures: []string{"log", "a-newer-1"},
	}
	if paths := golden.Unset(full); len(paths) > 0 {
		t.Errorf("fields are not set in this test: %s", paths)
	}
	defaults := Operators{ShortCutoff: 60_000_000, LongCutoff: 600_000_000, Term: 10_000_000, Trial: 180_000_000, IdleReturn: 40_000_000, LeaderLease: 3_000_000, SpareShare: 1, Reach: true}
	reachOff := defaults
	reachOff.Reach = false
	for _, tc := range []struct {
		text string
		want Operators
	}{{fullOperators, full}, {"", defaults}, {"reach: false", reachOff}} {
		if got, err := ParseOperators([]byte(tc.text)); err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%q: got %+v, error %v, want %+v", tc.text, got, err, tc.want)
		}
	}
}

// TestRecordedFaults compares the errors for invalid settings with a golden file.
func TestRecordedFaults(t *testing.T) {
	var recorded strings.Builder
	var empty Platform
	fmt.Fprintf(&recorded, "nothing set:\n%v\n", empty.Check())
	for _, replace := range [][2]string{
		{`"label":"n1"`, `"label":"n0"`},
		{`"peer_addr":"127.0.0.1:8092"`, `"peer_addr":"nowhere"`},
		{`"cancel_s":36.5`, `"cancel_s":17`},
		{`"name":"t"`, `"name":""`},
		{`"gpus":1.5`, `"gpus":-1`},
		{`"next":{"rps":70.5`, `"next":{"rps":-1`},
		{`"write_rps":18.5`, `"write_rps":0`},
		{`"value_kb":2.5`, `"value_kb":-2`},
		{`"txn_ops":4`, `"txn_ops":3`},
	} {
		_, err := Load(writeSettings(t, strings.Replace(fullPlatform, replace[0], replace[1], 1)))
		fmt.Fprintf(&recorded, "%s -> %s: %v\n", replace[0], replace[1], err)
	}
	for _, text := range []string{"short_cutoff_s: 0", "long_cutoff_s: 0", "term_s: 1", "trial_s: 1", "idle_return_s: 1", "leader_lease_s: 0", "spare_share: 11", `hold_features: "A"`, "short_cutoff_s: 700"} {
		_, err := ParseOperators([]byte(text))
		fmt.Fprintf(&recorded, "%s: %v\n", text, err)
	}
	// Errors of encoding/json contain the names of Go types and those of prototext have
	// random spaces, so only the names of the fields are checked.
	path := writeSettings(t, strings.Replace(fullPlatform, `"mem_mb":125.5`, `"mem_mb":"much"`, 1))
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "settings.resources.mem_mb") || !strings.HasPrefix(err.Error(), "settings "+path+": ") {
		t.Errorf("mem_mb of the wrong type: got error %v, want one with the file and the field", err)
	}
	golden.Compare(t, "testdata/faults.txt", recorded.String())
}
