package core

import (
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/ledger"
	"github.com/zinclb/zinclb/internal/core/rates"
)

// TestCommitOrder: where the budget of changes is short, starts and finished
// jobs are written before the ends of tasks, which wait for a while and go
// together; with room to spare everything is written at once.
func TestCommitOrder(t *testing.T) {
	cases := []struct {
		name  string
		level float64
		age   int64
		want  string
	}{
		{"plenty", 70, second, "place done end "},
		{"scarce", 20, second, "place done "},
		{"scarce, and the ends have waited", 20, 5 * second, "place done end "},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			c := r.c
			clear(c.lead.dirty)
			add := func(id string, priority int) *ledger.Job {
				j := ledger.NewJob(&ledger.Spec{ID: id, Team: "t", Kind: ledger.Array, Tasks: 2, Priority: priority, Need: ledger.Vec{CPU: 1000}, Estimate: 10 * second})
				c.jobs[id] = j
				c.mark(j)
				return j
			}
			then := c.now - tc.age
			end := add("end", ledger.Urgent) // even if more urgent
			end.Place(0, "x0", 1, then)
			end.Place(1, "x1", 1, then)
			_, version := end.Take(0, 0)
			end.Written(0, version, 1)
			end.SetDone(0, then)
			end.Clear(0, then)
			add("place", ledger.Normal).Place(0, "x2", 1, then)
			done := add("done", ledger.Idle)
			done.SetDone(0, then)
			done.SetDone(1, then)
			c.budget = rates.NewBudget(c.now, tc.level)
			c.lead.flying, c.lead.notBefore = false, 0
			c.commitNow()
			got := ""
			for _, e := range c.out {
				m, ok := e.(Multi)
				if !ok {
					continue
				}
				for _, w := range m.Writes {
					if strings.HasPrefix(w.Key, runPrefix) && w.Value != nil || strings.HasPrefix(w.Key, endPrefix) {
						id, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(w.Key, runPrefix), endPrefix), "/")
						got += id + " "
					}
				}
			}
			if got != tc.want {
				t.Errorf("wrote %q, want %q", got, tc.want)
			}
		})
	}
}
