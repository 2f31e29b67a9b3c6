package faketime

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestInvalidSubmissions sends every controller jobs that can't run, and jobs with a missing or
// invalid field. They have to be rejected permanently with an error that names the field, and
// nothing about them may be stored. The same submission with the ID of a job that is known, done
// or cancelled has to be answered with the state of that job. The test guards against a gang
// that had to be spread but could be in only one zone: it was accepted, and waited forever.
func TestInvalidSubmissions(t *testing.T) {
	d := newTestRun(3)
	d.Jobs, d.Length = nil, 40*second
	valid := wire.Job{ID: "good", Class: "c", Team: "red", Kind: wire.Array, Tasks: 1, CPUs: 1, GPUs: 0.5, MemGB: 1, Priority: "normal", Image: "i", ImageGB: 1, EstimateS: 3}
	known := map[string]string{"good": core.Queued, "was-done": "done", "was-cancelled": "cancelled"}
	for id := range known {
		j := job{At: second, Run: 500 * second, Spec: valid}
		switch j.Spec.ID = id; id {
		case "was-done":
			j.Run = second
		case "was-cancelled":
			j.Cancel = 4 * second
		}
		d.Jobs = append(d.Jobs, j)
	}
	submissions := environment.InvalidSubmissions(valid, d.Types)
	answers := 0
	c := d.run(t, func(c *Cluster) {
		c.After(20*second, func() {
			for _, n := range c.Controllers {
				for i, invalid := range submissions {
					send := func(id string, check func(core.Reply)) {
						body := strings.Replace(string(invalid.Body), `"good"`, fmt.Sprintf("%q", id), 1)
						build, rejection := toCoreMessage(wire.RawSubmission{Body: []byte(body)})
						if rejection != nil {
							t.Fatalf("%s: got reply %+v before the submission reached the core, want one only for an invalid ID", invalid.Reason, rejection)
						}
						n.Request(build, func(reply core.Reply) { answers++; check(reply) })
					}
					send(fmt.Sprintf("odd-%s-%d", n.name, i), func(reply core.Reply) {
						if int(reply.Status) != invalid.Status || !strings.Contains(reply.Error, invalid.Field) || reply.Error == "" {
							t.Errorf("%s, %s: got status %d, error %q, want status %d and an error that names %q", n.name, invalid.Reason, reply.Status, reply.Error, invalid.Status, invalid.Field)
						}
					})
					for id, want := range known {
						send(id, func(reply core.Reply) {
							if reply.Status != 200 || reply.Job == nil || reply.Job.State != want && (want != core.Queued || reply.Job.State != core.Running) {
								t.Errorf("%s, %s with the ID %s: got status %d, job %+v, want status 200, state %s", n.name, invalid.Reason, id, reply.Status, reply.Job, want)
							}
						})
					}
				}
			}
		})
	})
	if want := len(submissions) * 4 * len(c.Controllers); answers != want {
		t.Errorf("got %d answers, want %d", answers, want)
	}
	for _, e := range c.History {
		if strings.Contains(e.Key, "odd-") {
			t.Errorf("key %s of an invalid job was stored, want none", e.Key)
		}
	}
}
