package jobstate

import (
	"fmt"
	"slices"
	"testing"
)

// TestGraph releases, cancels and inherits along the edges "job<needed,...".
func TestGraph(t *testing.T) {
	type node struct {
		id       string
		awaits   []string
		rank     int
		estimate int64
		deadline int64
	}
	diamond := []node{{"a", nil, 0, 10, 0}, {"b", []string{"a"}, 0, 20, 0}, {"c", []string{"a"}, 1, 5, 0}, {"d", []string{"b", "c"}, 2, 8, 100}}
	cases := []struct {
		name      string
		nodes     []node
		done      []string
		cancelled []string
		// free are those that wait for nothing, over those cancelled along, ends
		// the latest ends and ranks as "id end rank"
		free, over []string
		ends       []string
	}{
		{"nothing ended", diamond, nil, nil, []string{"a"}, nil, []string{"a 70 2", "b 91 2", "c 91 2", "d 100 2"}},
		{"the first is done", diamond, []string{"a"}, nil, []string{"b", "c"}, nil, []string{"b 91 2", "c 91 2", "d 100 2"}},
		{"all before the last", diamond, []string{"a", "b", "c"}, nil, []string{"d"}, nil, []string{"d 100 2"}},
		{"the last is cancelled: nothing to inherit", diamond, nil, []string{"d"}, []string{"a"}, nil, []string{"a 0 1", "b 0 0", "c 0 1"}},
		{"one between is cancelled", diamond, []string{"a"}, []string{"b"}, []string{"c"}, []string{"d"}, []string{"c 0 1"}},
		{"the last stage has not come", diamond[:3], nil, nil, []string{"a"}, nil, []string{"a 0 1", "b 0 0", "c 0 1"}},
		{"two pipelines share a stage", append(slices.Clone(diamond), node{"e", []string{"a"}, 3, 1, 30}), nil, nil, []string{"a"}, nil, []string{"a 28 3", "b 91 2", "e 30 3"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewDependencyGraph()
			jobs := map[string]*Job{}
			var list []*Job
			for _, n := range tc.nodes {
				j := NewJob(&Spec{ID: n.id, Tasks: 1, Priority: n.rank, Estimate: n.estimate, Deadline: n.deadline, Dependencies: n.awaits})
				g.Add(j, func(string) (KnownEnd, bool) { return KnownEnd{}, false })
				jobs[n.id], list = j, append(list, j)
			}
			var over []string
			var end func(id, outcome string)
			end = func(id, outcome string) {
				jobs[id].RecordEnd(EndStoredAt(End{Outcome: outcome}, 1))
				g.Remove(jobs[id])
				_, cancelled := g.RecordEnd(id, End{Outcome: outcome})
				for _, j := range cancelled {
					over = append(over, j.ID)
					end(j.ID, Cancelled)
				}
			}
			for _, id := range tc.done {
				end(id, Done)
			}
			for _, id := range tc.cancelled {
				end(id, Cancelled)
			}
			var free, ends []string
			g.InheritPriorities(slices.Values(list), 1)
			for _, j := range list {
				if j.Outcome() == "" && !j.IsBlocked() {
					free = append(free, j.ID)
				}
				ends = append(ends, fmt.Sprintf("%s %d %d", j.ID, j.EffectiveDeadline, j.EffectivePriority))
			}
			if !slices.Equal(free, tc.free) || !slices.Equal(over, tc.over) {
				t.Errorf("free %v, cancelled along %v", free, over)
			}
			for _, want := range tc.ends {
				if !slices.Contains(ends, want) {
					t.Errorf("no %q in %v", want, ends)
				}
			}
		})
	}
}

// TestGraphKnown has what is known of awaited jobs when a job is entered.
func TestGraphKnown(t *testing.T) {
	known := map[string]End{"done": {Outcome: Done, At: 7}, "later": {Outcome: Done, At: 9}, "gone": {Outcome: Cancelled, At: 8}}
	cases := []struct {
		awaits    []string
		waits     bool
		last      int64
		cancelled bool
	}{
		{nil, false, 0, false},
		{[]string{"done", "later"}, false, 9, false},
		{[]string{"done", "open"}, true, 7, false},
		{[]string{"gone", "open"}, true, 0, true},
	}
	for _, tc := range cases {
		j := NewJob(&Spec{ID: "j", Tasks: 1, Dependencies: tc.awaits})
		last, cancelled := NewDependencyGraph().Add(j, func(id string) (KnownEnd, bool) { e, ok := known[id]; return EndStoredAt(e, 1), ok })
		if j.IsBlocked() != tc.waits || last != tc.last || cancelled != tc.cancelled {
			t.Errorf("%v: waits %v, last %d, cancelled %v", tc.awaits, j.IsBlocked(), last, cancelled)
		}
	}
}
