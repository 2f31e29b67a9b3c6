package jobstate

import (
	"fmt"
	"slices"
	"testing"
)

// TestDependencyGraph checks which jobs are released and cancelled when their dependencies end,
// and which priorities and deadlines they inherit.
func TestDependencyGraph(t *testing.T) {
	type node struct {
		id       string
		needs    []string
		priority int
		estimate int64
		deadline int64
	}
	diamond := []node{{"a", nil, 0, 10, 0}, {"b", []string{"a"}, 0, 20, 0}, {"c", []string{"a"}, 1, 5, 0}, {"d", []string{"b", "c"}, 2, 8, 100}}
	cases := []struct {
		name      string
		nodes     []node
		done      []string
		cancelled []string
		// ready are the unfinished jobs without unmet dependencies, alsoCancelled those
		// cancelled because of a dependency, and effective the jobs' effective deadlines
		// and priorities as "id deadline priority".
		ready, alsoCancelled []string
		effective            []string
	}{
		{"no job has ended", diamond, nil, nil, []string{"a"}, nil, []string{"a 70 2", "b 91 2", "c 91 2", "d 100 2"}},
		{"first stage done", diamond, []string{"a"}, nil, []string{"b", "c"}, nil, []string{"b 91 2", "c 91 2", "d 100 2"}},
		{"all stages before the last done", diamond, []string{"a", "b", "c"}, nil, []string{"d"}, nil, []string{"d 100 2"}},
		{"last stage cancelled, nothing is inherited", diamond, nil, []string{"d"}, []string{"a"}, nil, []string{"a 0 1", "b 0 0", "c 0 1"}},
		{"middle stage cancelled", diamond, []string{"a"}, []string{"b"}, []string{"c"}, []string{"d"}, []string{"c 0 1"}},
		{"last stage not submitted yet", diamond[:3], nil, nil, []string{"a"}, nil, []string{"a 0 1", "b 0 0", "c 0 1"}},
		{"two pipelines share the first stage", append(slices.Clone(diamond), node{"e", []string{"a"}, 3, 1, 30}), nil, nil, []string{"a"}, nil, []string{"a 28 3", "b 91 2", "e 30 3"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewDependencyGraph()
			jobs := map[string]*Job{}
			var list []*Job
			for _, n := range tc.nodes {
				j := NewJob(&Spec{ID: n.id, Tasks: 1, Priority: n.priority, Estimate: n.estimate, Deadline: n.deadline, Dependencies: n.needs})
				g.Add(j, func(string) (KnownEnd, bool) { return KnownEnd{}, false })
				jobs[n.id], list = j, append(list, j)
			}
			var alsoCancelled []string
			var end func(id, outcome string)
			end = func(id, outcome string) {
				jobs[id].RecordEnd(EndStoredAt(End{Outcome: outcome}, 1))
				g.Remove(jobs[id])
				_, cancelled := g.RecordEnd(id, End{Outcome: outcome})
				for _, j := range cancelled {
					alsoCancelled = append(alsoCancelled, j.ID)
					end(j.ID, Cancelled)
				}
			}
			for _, id := range tc.done {
				end(id, Done)
			}
			for _, id := range tc.cancelled {
				end(id, Cancelled)
			}
			var ready, effective []string
			g.InheritPriorities(slices.Values(list), 1)
			for _, j := range list {
				if j.Outcome() == "" && !j.IsBlocked() {
					ready = append(ready, j.ID)
				}
				effective = append(effective, fmt.Sprintf("%s %d %d", j.ID, j.EffectiveDeadline, j.EffectivePriority))
			}
			if !slices.Equal(ready, tc.ready) || !slices.Equal(alsoCancelled, tc.alsoCancelled) {
				t.Errorf("ready jobs: got %v, want %v; cancelled with a dependency: got %v, want %v", ready, tc.ready, alsoCancelled, tc.alsoCancelled)
			}
			for _, want := range tc.effective {
				if !slices.Contains(effective, want) {
					t.Errorf("effective deadlines and priorities: got %v, want %q among them", effective, want)
				}
			}
		})
	}
}

// TestDependencyGraphKnownEnds checks how the ends that are already known affect a job that is
// added.
func TestDependencyGraphKnownEnds(t *testing.T) {
	known := map[string]End{"done": {Outcome: Done, At: 7}, "later": {Outcome: Done, At: 9}, "gone": {Outcome: Cancelled, At: 8}}
	cases := []struct {
		needs     []string
		blocked   bool
		last      int64
		cancelled bool
	}{
		{nil, false, 0, false},
		{[]string{"done", "later"}, false, 9, false},
		{[]string{"done", "open"}, true, 7, false},
		{[]string{"gone", "open"}, true, 0, true},
	}
	for _, tc := range cases {
		j := NewJob(&Spec{ID: "j", Tasks: 1, Dependencies: tc.needs})
		last, cancelled := NewDependencyGraph().Add(j, func(id string) (KnownEnd, bool) { e, ok := known[id]; return EndStoredAt(e, 1), ok })
		if j.IsBlocked() != tc.blocked || last != tc.last || cancelled != tc.cancelled {
			t.Errorf("dependencies %v: got blocked %v, last end %d, cancelled %v, want %v, %d, %v", tc.needs, j.IsBlocked(), last, cancelled, tc.blocked, tc.last, tc.cancelled)
		}
	}
}
