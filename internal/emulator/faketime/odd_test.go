package faketime

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestInvalidSubmissions sends every controller what can't run, and what lacks a field or has a
// wrong one: it is refused for good with a word that names the field, and nothing of
// it is stored. The same with the id of a job that is known, done or cancelled is
// told of that job. A gang that was to be spread and could be in one zone only was
// accepted once, and waited for ever.
func TestInvalidSubmissions(t *testing.T) {
	d := newTestRun(3)
	d.Jobs, d.Length = nil, 40*second
	good := wire.Job{ID: "good", Class: "c", Team: "red", Kind: wire.Array, Tasks: 1, CPUs: 1, GPUs: 0.5, MemGB: 1, Priority: "normal", Image: "i", ImageGB: 1, EstimateS: 3}
	known := map[string]string{"good": core.Queued, "was-done": "done", "was-cancelled": "cancelled"}
	for id := range known {
		j := job{At: second, Run: 500 * second, Spec: good}
		switch j.Spec.ID = id; id {
		case "was-done":
			j.Run = second
		case "was-cancelled":
			j.Cancel = 4 * second
		}
		d.Jobs = append(d.Jobs, j)
	}
	odds := environment.InvalidSubmissions(good, d.Types)
	answers := 0
	c := d.run(t, func(c *Cluster) {
		c.After(20*second, func() {
			for _, n := range c.Controllers {
				for i, o := range odds {
					send := func(id string, check func(core.Reply)) {
						body := strings.Replace(string(o.Body), `"good"`, fmt.Sprintf("%q", id), 1)
						build, bad := toCoreMessage(wire.RawSubmission{Body: []byte(body)})
						if bad != nil {
							t.Fatalf("%s: only its id counts while the rest can't be read: %+v", o.Reason, bad)
						}
						n.Request(build, func(r core.Reply) { answers++; check(r) })
					}
					send(fmt.Sprintf("odd-%s-%d", n.name, i), func(r core.Reply) {
						if int(r.Status) != o.Status || !strings.Contains(r.Error, o.Field) || r.Error == "" {
							t.Errorf("%s, %s: %d %q, want %d naming %q", n.name, o.Reason, r.Status, r.Error, o.Status, o.Field)
						}
					})
					for id, want := range known {
						send(id, func(r core.Reply) {
							if r.Status != 200 || r.Job == nil || r.Job.State != want && (want != core.Queued || r.Job.State != core.Running) {
								t.Errorf("%s, %s of %s: %d %+v, want %s", n.name, o.Reason, id, r.Status, r.Job, want)
							}
						})
					}
				}
			}
		})
	})
	if want := len(odds) * 4 * len(c.Controllers); answers != want {
		t.Errorf("%d answers, want %d", answers, want)
	}
	for _, e := range c.History {
		if strings.Contains(e.Key, "odd-") {
			t.Errorf("%s is stored", e.Key)
		}
	}
}
