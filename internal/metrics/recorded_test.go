package metrics

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/golden"
)

// TestRecorded compares the whole text with its recorded form: of a leader with
// every field set, of the same controller when it does not lead, and of one that
// knows nothing yet.
func TestRecorded(t *testing.T) {
	body, err := os.ReadFile("../api/testdata/ops.json")
	if err != nil {
		t.Fatal(err)
	}
	var whole core.OperatorView
	if err := json.Unmarshal(body, &whole); err != nil {
		t.Fatal(err)
	}
	if paths := golden.Unset(whole); len(paths) > 0 {
		t.Errorf("not recorded: %s", paths)
	}
	follower := whole
	follower.Leading = false
	for file, view := range map[string]*core.OperatorView{"leader": &whole, "follower": &follower, "empty": {}} {
		text, err := Encode(view)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "testdata/"+file+".txt", string(text))
	}
	if ContentType != "text/plain; version=0.0.4; charset=utf-8" {
		t.Errorf("the content type is %q", ContentType)
	}
}
