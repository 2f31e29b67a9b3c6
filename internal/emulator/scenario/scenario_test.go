package scenario

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const minimalScenario = `machine_type { name: "m" } machines { type: "m" zone: "a" count: 2 } team { name: "t" } `

// TestParse checks that the error for each invalid scenario names the field.
func TestParse(t *testing.T) {
	cases := []struct{ text, wantError string }{
		{minimalScenario, ""},
		{minimalScenario + `length_s: -1`, "length_s: -1"},
		{minimalScenario + `len_s: 1`, "len_s"},
		{minimalScenario + `controllers { count: 99 }`, "controllers.count: 99"},
		{minimalScenario + `workers { lease_s: 40 cancel_s: 30 }`, "workers.cancel_s: 30 leaves no time"},
		{`team { name: "t" }`, "machine_type: at least one"},
		{`machine_type { name: "m" }`, "team: at least one"},
		{minimalScenario + `team { name: "t" }`, "team[1].name"},
		{minimalScenario + `machine_type { name: "n" zones: "c" }`, `machine_type[1].zones: no zone is called "c"`},
		{minimalScenario + `machines { type: "x" zone: "a" }`, `machines[1].type: no type is called "x"`},
		{minimalScenario + `machines { type: "m" zone: "x" }`, "machines[1].zone"},
		{minimalScenario + `load { }`, "load[0].class: missing"},
		{minimalScenario + `load { class: "c" teams: "x" }`, `load[0].teams: no team is called "x"`},
		{minimalScenario + `load { class: "c" zone: "x" }`, "load[0].zone"},
		{minimalScenario + `load { class: "c" tasks { sizes: 1 weights: 1 weights: 2 } }`, "load[0].tasks.weights: 2 for 1 sizes"},
		{minimalScenario + `load { class: "c" run_s { median: 5 p95: 2 } }`, "load[0].run_s.p95"},
		{minimalScenario + `load { class: "c" per_minute: 1000000 } length_s: 90000`, "more than 200000 jobs"},
		{minimalScenario + `fault { kind: "fire" }`, `fault[0].kind: "fire" is none of`},
		{minimalScenario + `fault { kind: "crash" hosts: "node-7" }`, `no controller is called "node-7"`},
		{minimalScenario + `fault { kind: "cut" hosts: "zone:x" }`, `unknown zone "x"`},
		{minimalScenario + `fault { kind: "cut" hosts: "10.1.0.0/16" for_s: 3 }`, ""},
		{minimalScenario + `fault { kind: "state_lose" lose { how: "soon" } }`, "lose.how"},
		{minimalScenario + `fault { kind: "state_slow" }`, "factor"},
		{minimalScenario + `aim { kind: "luck" }`, "aim[0].kind"},
		{minimalScenario + `sweep { text: "id: 3" }`, "sweep[0].text"},
		{minimalScenario + `region { name: "north" zones: "a" } network { remote_ms: 9 home: "north" } fault { kind: "cut" hosts: "region:north" }`, ""},
		{minimalScenario + `region { zones: "a" }`, "region[0].name: missing"},
		{minimalScenario + `region { name: "north" zones: "x" }`, `region[0].zones: no zone is called "x"`},
		{minimalScenario + `region { name: "n" zones: "a" } region { name: "s" zones: "a" }`, `region[1].zones: "a" is in "n" already`},
		{minimalScenario + `network { home: "south" }`, `network.home: no region is called "south"`},
		{minimalScenario + `network { remote_ms: -1 }`, "network.remote_ms: -1"},
		{minimalScenario + `fault { kind: "cut" hosts: "region:x" }`, `unknown region "x"`},
	}
	for _, tc := range cases {
		_, err := Parse([]byte(tc.text), 0)
		if tc.wantError == "" && err != nil || tc.wantError != "" && (err == nil || !strings.Contains(err.Error(), tc.wantError)) {
			t.Errorf("Parse(%s): got error %v, want one with %q (\"\": none)", strings.TrimPrefix(tc.text, minimalScenario), err, tc.wantError)
		}
	}
}

// TestDirectory checks that all scenarios of the repository can be read, that the same seed
// gives the same jobs, and that another seed gives other jobs.
func TestDirectory(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.txtpb")
	if err != nil || len(files) < 7 {
		t.Fatalf("got %d scenarios and error %v, want at least 7 scenarios", len(files), err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(b, 0)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		if again, err := Parse(b, 0); err != nil || !reflect.DeepEqual(s.Jobs, again.Jobs) {
			t.Errorf("%s: got different jobs or error %v with the same seed, want the same jobs", f, err)
		}
		if other, err := Parse(b, 77); err != nil || reflect.DeepEqual(s.Jobs, other.Jobs) || len(s.Jobs) == 0 {
			t.Errorf("%s: got the same jobs, %d jobs or error %v with another seed, want different jobs", f, len(s.Jobs), err)
		}
	}
}
