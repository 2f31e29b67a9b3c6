package sweep

import "fmt"

// visit is how far the search for an order has come with a run.
type visit uint8

const (
	visitNone visit = iota
	visitBegun
	visitDone
)

// sortByDependencies brings the runs into an order in which each comes after those that
// it depends on, and otherwise leaves them as they are.
func (x *expander) sortByDependencies() error {
	visits := make([]visit, len(x.Runs))
	var sorted []Run
	for first := range x.Runs {
		stack := []int{first} // no recursion: a chain may have all runs
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
				visits[i] = visitBegun
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

// unsortedDependencies are the runs of the sweep on which run i depends and that are not
// sorted yet. One of them that is begun depends on run i in turn.
func (x *expander) unsortedDependencies(i int, visits []visit) ([]int, error) {
	var unsorted []int
	for _, id := range dependenciesOf(x.Runs[i].Job) {
		k, own := x.runIndexes[id]
		if !own || visits[k] == visitDone {
			continue
		}
		if visits[k] == visitBegun || k == i {
			return nil, x.runError(x.Runs[i].Values, fmt.Errorf("awaits: it waits for itself, by way of %s", x.Describe(x.Runs[k].Values)))
		}
		unsorted = append(unsorted, k)
	}
	return unsorted, nil
}

// dependenciesOf are the jobs on which a job depends.
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
