package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestSweepFiles runs the sweep commands on the example files, as the documentation shows,
// and on invalid arguments.
func TestSweepFiles(t *testing.T) {
	cases := []struct{ args, want, wantErr string }{
		{"sweep check ../../deploy/examples/rainfall.txtpb", "pest-rainfall: 11 runs, 4 at once", ""},
		{"sweep expand ../../deploy/examples/stations.txtpb", `{"station":"hill","stage":"clean"} sets [0 4]`, ""},
		{"sweep expand --output json ../../deploy/examples/stations.txtpb", `"values":{"station":"valley","stage":"fit"}}`, ""},
		{"sweep expand --output xml ../../deploy/examples/stations.txtpb", "", `--output: "xml"`},
		{"sweep check nothing.txtpb", "", "nothing.txtpb"},
		{"sweep status a/b", "", `"a/b" is not a valid sweep id`},
	}
	for _, tc := range cases {
		cmd := rootCommand()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(strings.Fields(tc.args))
		err := cmd.Execute()
		if tc.wantErr != "" && (err == nil || !strings.Contains(err.Error(), tc.wantErr)) || tc.wantErr == "" && (err != nil || !strings.Contains(out.String(), tc.want)) {
			t.Errorf("%s: got error %v and output\n%s\nwant output with %q or error with %q", tc.args, err, out.String(), tc.want, tc.wantErr)
		}
	}
}
