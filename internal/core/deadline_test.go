package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/zinclb/zinclb/internal/core/ledger"
)

// TestLost: as few deadlines as possible are given up, and those of the jobs
// with the most work left.
func TestLost(t *testing.T) {
	type job struct {
		tasks        float64
		length, left int64 // seconds
	}
	cases := []struct {
		name string
		jobs []job
		want []int
		busy float64 // work under way
	}{
		{name: "all can be met", jobs: []job{{10, 50, 100}, {10, 50, 100}}},
		{name: "but not with as much under way", jobs: []job{{10, 50, 100}, {9, 50, 100}}, busy: 100, want: []int{0}},
		{name: "which a narrow one need not wait for", jobs: []job{{1, 50, 60}}, busy: 500},
		{name: "more than can be met: the wide one goes", jobs: []job{{30, 50, 110}, {10, 50, 120}, {5, 50, 120}}, want: []int{0}},
		{name: "whatever their order", jobs: []job{{10, 50, 100}, {5, 50, 105}, {30, 50, 130}}, want: []int{2}},
		{name: "one alone is lost if a task takes too long", jobs: []job{{1, 50, 40}}, want: []int{0}},
		{name: "what is lost takes nothing from the others", jobs: []job{{30, 50, 40}, {10, 50, 60}}, want: []int{0}},
		{name: "one that is too wide for its time", jobs: []job{{30, 50, 100}}, want: []int{0}},
		{name: "a narrow one after a wide one waits for it to end", jobs: []job{{20, 50, 100}, {1, 50, 101}}, want: []int{0}},
		{name: "none"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var jobs []due
			for i, j := range tc.jobs {
				lj := ledger.NewJob(&ledger.Spec{ID: fmt.Sprint(i), Tasks: 1})
				lj.Arrival = uint64(i)
				jobs = append(jobs, due{lj, j.tasks * float64(j.length), j.length, j.left})
			}
			var got []int
			for j := range lost(jobs, 10, tc.busy) {
				got = append(got, int(j.Arrival))
			}
			slices.Sort(got)
			if !slices.Equal(got, tc.want) {
				t.Errorf("lost %v, want %v", got, tc.want)
			}
		})
	}
}
