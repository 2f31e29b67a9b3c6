package scenario

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const least = `machine_type { name: "m" } machines { type: "m" zone: "a" count: 2 } team { name: "t" } `

// TestParse names the field of each fault.
func TestParse(t *testing.T) {
	cases := []struct{ text, wants string }{
		{least, ""},
		{least + `length_s: -1`, "length_s: -1"},
		{least + `len_s: 1`, "len_s"},
		{least + `controllers { count: 99 }`, "controllers.count: 99"},
		{least + `workers { lease_s: 40 cancel_s: 30 }`, "workers.cancel_s: 30 leaves no time"},
		{`team { name: "t" }`, "machine_type: at least one"},
		{`machine_type { name: "m" }`, "team: at least one"},
		{least + `team { name: "t" }`, "team[1].name"},
		{least + `machine_type { name: "n" zones: "c" }`, `machine_type[1].zones: no zone is called "c"`},
		{least + `machines { type: "x" zone: "a" }`, `machines[1].type: no type is called "x"`},
		{least + `machines { type: "m" zone: "x" }`, "machines[1].zone"},
		{least + `load { }`, "load[0].class: missing"},
		{least + `load { class: "c" teams: "x" }`, `load[0].teams: no team is called "x"`},
		{least + `load { class: "c" zone: "x" }`, "load[0].zone"},
		{least + `load { class: "c" tasks { sizes: 1 weights: 1 weights: 2 } }`, "load[0].tasks.weights: 2 for 1 sizes"},
		{least + `load { class: "c" run_s { median: 5 p95: 2 } }`, "load[0].run_s.p95"},
		{least + `load { class: "c" per_minute: 1000000 } length_s: 90000`, "more than 200000 jobs"},
		{least + `fault { kind: "fire" }`, `fault[0].kind: "fire" is none of`},
		{least + `fault { kind: "crash" hosts: "node-7" }`, `no controller is called "node-7"`},
		{least + `fault { kind: "cut" hosts: "zone:x" }`, `unknown zone "x"`},
		{least + `fault { kind: "cut" hosts: "10.1.0.0/16" for_s: 3 }`, ""},
		{least + `fault { kind: "state_lose" lose { how: "soon" } }`, "lose.how"},
		{least + `fault { kind: "state_slow" }`, "factor"},
		{least + `aim { kind: "luck" }`, "aim[0].kind"},
		{least + `sweep { text: "id: 3" }`, "sweep[0].text"},
		{least + `region { name: "north" zones: "a" } network { remote_ms: 9 home: "north" } fault { kind: "cut" hosts: "region:north" }`, ""},
		{least + `region { zones: "a" }`, "region[0].name: missing"},
		{least + `region { name: "north" zones: "x" }`, `region[0].zones: no zone is called "x"`},
		{least + `region { name: "n" zones: "a" } region { name: "s" zones: "a" }`, `region[1].zones: "a" is in "n" already`},
		{least + `network { home: "south" }`, `network.home: no region is called "south"`},
		{least + `network { remote_ms: -1 }`, "network.remote_ms: -1"},
		{least + `fault { kind: "cut" hosts: "region:x" }`, `unknown region "x"`},
	}
	for _, tc := range cases {
		_, err := Parse([]byte(tc.text), 0)
		if tc.wants == "" && err != nil || tc.wants != "" && (err == nil || !strings.Contains(err.Error(), tc.wants)) {
			t.Errorf("%s: %v, want %q", strings.TrimPrefix(tc.text, least), err, tc.wants)
		}
	}
}

// TestDirectory reads all scenarios of the repository, twice the same.
func TestDirectory(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.txtpb")
	if err != nil || len(files) < 7 {
		t.Fatalf("%d scenarios, %v", len(files), err)
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
			t.Errorf("%s: other jobs the second time", f)
		}
		if other, err := Parse(b, 77); err != nil || reflect.DeepEqual(s.Jobs, other.Jobs) || len(s.Jobs) == 0 {
			t.Errorf("%s: the same jobs with another seed, or none", f)
		}
	}
}
