package sweep

import "fmt"

// visit is the state of a run in the depth-first search of sortByDependencies.
type visit uint8

const (
	visitPending visit = iota
	visitStarted
	visitDone
)

// sortByDependencies sorts the runs so that each comes after the runs that it depends on. It
// takes the runs in order, each preceded by those of its dependencies that are not sorted yet,
// the last one first. A cycle of dependencies is an error.
func (x *expander) sortByDependencies() error {
	visits := make([]visit, len(x.Runs))
	var sorted []Run
	for first := range x.Runs {
		stack := []int{first} // not recursive: a chain of dependencies may include all runs
		for len(stack) > 0 {
			i := stack[len(stack)-1]
			if visits[i] == visitDone {
				stack = stack[:len(stack)-1]
				continue
			}
			unsorted, err := x.unsortedDependencies(i, visits)
			if err != nil {
				return err
			}
			if len(unsorted) > 0 {
				visits[i] = visitStarted
				stack = append(stack, unsorted...)
				continue
			}
			visits[i] = visitDone
			stack = stack[:len(stack)-1]
			sorted = append(sorted, x.Runs[i])
		}
	}
	x.Runs = sorted
	return nil
}

// unsortedDependencies returns the runs of the sweep that run i depends on and that are not
// sorted yet. If the search has already started on one of them, that run depends on run i
// too, and the cycle is an error.
func (x *expander) unsortedDependencies(i int, visits []visit) ([]int, error) {
	var unsorted []int
	for _, id := range dependenciesOf(x.Runs[i].Job) {
		k, own := x.runIndexes[id]
		if !own || visits[k] == visitDone {
			continue
		}
		if visits[k] == visitStarted || k == i {
			return nil, x.runError(x.Runs[i].Values, fmt.Errorf("awaits: it waits for itself, by way of %s", x.Describe(x.Runs[k].Values)))
		}
		unsorted = append(unsorted, k)
	}
	return unsorted, nil
}

// dependenciesOf returns the ids of the jobs that a job depends on.
func dependenciesOf(job map[string]any) []string {
	list, _ := job["awaits"].([]any)
	ids := make([]string, 0, len(list))
	for _, item := range list {
		if id, ok := item.(string); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
