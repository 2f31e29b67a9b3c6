package jobstate

import (
	"iter"
	"slices"
)

// DependencyGraph is which unfinished jobs wait for which. A job waits until each job
// that it awaits has a stored end; one of them cancelled ends it as cancelled,
// as a stored end never changes and so it can never be done.
type DependencyGraph struct {
	// dependents are the jobs that await an id.
	dependents map[string][]*Job
	round      int
}

// NewDependencyGraph makes an empty graph.
func NewDependencyGraph() *DependencyGraph { return &DependencyGraph{dependents: map[string][]*Job{}} }

// Empty says that no job waits.
func (g *DependencyGraph) Empty() bool { return len(g.dependents) == 0 }

// Add enters a job. known tells of ends; last is the time of day of the
// last of them among the awaited, and cancelled that one of them is cancelled.
func (g *DependencyGraph) Add(j *Job, known func(id string) (KnownEnd, bool)) (last int64, cancelled bool) {
	for _, id := range j.Dependencies {
		end, isKnown := known(id)
		switch {
		case !isKnown:
			if j.UnmetDependencies == nil {
				j.UnmetDependencies = map[string]struct{}{}
			}
			if _, twice := j.UnmetDependencies[id]; !twice {
				j.UnmetDependencies[id] = struct{}{}
				g.dependents[id] = append(g.dependents[id], j)
			}
		case end.Outcome != Done:
			cancelled = true
		default:
			last = max(last, end.At)
		}
	}
	return last, cancelled
}

// RecordEnd notes a stored end, and returns the jobs that it releases and those
// that it cancels: only the ones that await it directly, as these end in turn.
func (g *DependencyGraph) RecordEnd(id string, end End) (released, cancelled []*Job) {
	dependents := g.dependents[id]
	delete(g.dependents, id)
	for _, j := range dependents {
		if j.Outcome() != "" {
			continue
		}
		delete(j.UnmetDependencies, id)
		j.DependenciesEndedWall = max(j.DependenciesEndedWall, end.At)
		switch {
		case end.Outcome != Done:
			cancelled = append(cancelled, j)
		case len(j.UnmetDependencies) == 0:
			released = append(released, j)
		}
	}
	return released, cancelled
}

// Remove forgets a job that waits no more.
func (g *DependencyGraph) Remove(j *Job) {
	for id := range j.UnmetDependencies {
		others := slices.DeleteFunc(g.dependents[id], func(dependent *Job) bool { return dependent == j })
		if len(others) == 0 {
			delete(g.dependents, id)
		} else {
			g.dependents[id] = others
		}
	}
	j.UnmetDependencies = nil
}

// Unresolved lists awaited jobs that are neither unfinished here nor known to
// have ended, at most so many.
func (g *DependencyGraph) Unresolved(isUnfinished func(id string) bool, limit int) []string {
	var ids []string
	for id := range g.dependents {
		if !isUnfinished(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), limit)]
}

// IsResolved says whether all that a job needs, directly or through others, is
// known to be unfinished. Otherwise it may have been cancelled by an end that
// is not known here.
func (g *DependencyGraph) IsResolved(j *Job, find func(id string) *Job) bool {
	g.round++
	todo := []*Job{j}
	for len(todo) > 0 {
		j, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if j.visitedRound == g.round {
			continue
		}
		j.visitedRound = g.round
		for id := range j.UnmetDependencies {
			dependency := find(id)
			if dependency == nil || dependency.Outcome() != "" {
				return false
			}
			todo = append(todo, dependency)
		}
	}
	return true
}

// InheritPriorities gives every job the highest priority of all that need it, and the
// latest end that leaves time for the longest path behind it by the owners'
// estimates and so much more a job. It is done anew in each round of planning,
// as later stages come and are cancelled.
func (g *DependencyGraph) InheritPriorities(jobs iter.Seq[*Job], overhead int64) {
	g.round++
	for j := range jobs {
		g.inheritFrom(j, overhead)
	}
}

func (g *DependencyGraph) inheritFrom(j *Job, overhead int64) {
	// No recursion: a chain may be as long as there are jobs.
	todo := []*Job{j}
	for len(todo) > 0 {
		j := todo[len(todo)-1]
		if j.visitedRound == g.round {
			todo = todo[:len(todo)-1]
			continue
		}
		hasUnvisited := false
		for _, dependent := range g.dependents[j.ID] {
			if dependent.Outcome() == "" && dependent.visitedRound != g.round {
				todo, hasUnvisited = append(todo, dependent), true
			}
		}
		if hasUnvisited {
			continue
		}
		j.visitedRound = g.round
		todo = todo[:len(todo)-1]
		j.EffectivePriority, j.EffectiveDeadline = j.Priority, 0
		if j.Deadline > 0 {
			j.EffectiveDeadline = j.SubmittedAt + j.Deadline
		}
		for _, dependent := range g.dependents[j.ID] {
			if dependent.Outcome() != "" {
				continue
			}
			j.EffectivePriority = max(j.EffectivePriority, dependent.EffectivePriority)
			if dependent.EffectiveDeadline == 0 {
				continue
			}
			latestEnd := max(1, dependent.EffectiveDeadline-dependent.Estimate-overhead)
			if j.EffectiveDeadline == 0 || latestEnd < j.EffectiveDeadline {
				j.EffectiveDeadline = latestEnd
			}
		}
	}
}

// HasDependents says whether unfinished jobs wait for a job.
func (g *DependencyGraph) HasDependents(j *Job) bool { return len(g.dependents[j.ID]) > 0 }

// DeadlineOwner is the job at the end of the path that decides j's latest end: the one
// whose deadline it is.
func (g *DependencyGraph) DeadlineOwner(j *Job) *Job {
	for {
		var next *Job
		for _, dependent := range g.dependents[j.ID] {
			if dependent.Outcome() != "" || dependent.EffectiveDeadline == 0 {
				continue
			}
			if next == nil || dependent.latestStart() < next.latestStart() {
				next = dependent
			}
		}
		if next == nil || j.Deadline > 0 && j.SubmittedAt+j.Deadline <= j.EffectiveDeadline {
			return j
		}
		j = next
	}
}

// latestStart is when a job has to start by its owner's estimate to keep its latest end.
func (j *Job) latestStart() int64 { return j.EffectiveDeadline - j.Estimate }
