package metrics

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/golden"
)

// TestRecorded compares the encoded metrics with golden files for a leader with every field
// of the view set, for the same controller when it does not lead, and for an empty view.
func TestRecorded(t *testing.T) {
	body, err := os.ReadFile("../api/testdata/ops.json")
	if err != nil {
		t.Fatal(err)
	}
	var full core.OperatorView
	if err := json.Unmarshal(body, &full); err != nil {
		t.Fatal(err)
	}
	if paths := golden.Unset(full); len(paths) > 0 {
		t.Errorf("fields of the view are not set in ops.json: %s", paths)
	}
	follower := full
	follower.Leading = false
	for file, view := range map[string]*core.OperatorView{"leader": &full, "follower": &follower, "empty": {}} {
		text, err := Encode(view)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "testdata/"+file+".txt", string(text))
	}
	if ContentType != "text/plain; version=0.0.4; charset=utf-8" {
		t.Errorf("content type: got %q, want %q", ContentType, "text/plain; version=0.0.4; charset=utf-8")
	}
}
