package jobstate

import (
	"iter"
	"slices"
)

// DependencyGraph records which unfinished jobs wait for which others. A job waits until the
// ends of all its dependencies are known. If a dependency ends as cancelled, so does the job: an
// end never changes, so the dependency can never be done.
type DependencyGraph struct {
	// dependents holds, by the ID of each job that others wait for, the jobs that wait for it.
	dependents map[string][]*Job
	// round numbers the traversals; Job.visitedRound holds the last one that visited a job.
	round int
}

// NewDependencyGraph returns an empty graph.
func NewDependencyGraph() *DependencyGraph { return &DependencyGraph{dependents: map[string][]*Job{}} }

// Empty reports whether no job waits.
func (g *DependencyGraph) Empty() bool { return len(g.dependents) == 0 }

// Add adds a job. known returns the end of a job if it is known. last is the time of day of
// the latest known end among the job's done dependencies, and cancelled reports whether one of
// its dependencies is cancelled.
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

// RecordEnd records the end of a job and returns the jobs that this end releases and those that
// it cancels. These are only the direct dependents, as each cancelled job's own end is recorded
// in turn.
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

// Remove removes a job that no longer waits.
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

// Unresolved returns at most limit IDs of dependencies that are neither unfinished jobs of
// this controller nor known to have ended, in the order of their IDs.
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

// IsResolved reports whether all direct and indirect dependencies that a job still waits for
// are known to be unfinished. Otherwise the job may have been cancelled through an end that
// this controller does not know.
func (g *DependencyGraph) IsResolved(job *Job, find func(id string) *Job) bool {
	g.round++
	todo := []*Job{job}
	for len(todo) > 0 {
		job, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if job.visitedRound == g.round {
			continue
		}
		job.visitedRound = g.round
		for id := range job.UnmetDependencies {
			dependency := find(id)
			if dependency == nil || dependency.Outcome() != "" {
				return false
			}
			todo = append(todo, dependency)
		}
	}
	return true
}

// InheritPriorities sets the effective priority and deadline of every job. A job inherits the
// highest priority of all jobs that depend on it. Its effective deadline is the latest end that
// meets its own deadline and leaves time for all paths of dependents to meet theirs, by their
// owners' estimates plus overhead microseconds per job; 0 means that there is no deadline. Each
// planning round calls this again, because dependents are submitted and cancelled between rounds.
func (g *DependencyGraph) InheritPriorities(jobs iter.Seq[*Job], overhead int64) {
	g.round++
	for j := range jobs {
		g.inheritFrom(j, overhead)
	}
}

func (g *DependencyGraph) inheritFrom(j *Job, overhead int64) {
	// Iterative, because a chain of dependencies may be as long as the number of jobs.
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

// HasDependents reports whether jobs wait for a job.
func (g *DependencyGraph) HasDependents(j *Job) bool { return len(g.dependents[j.ID]) > 0 }

// DeadlineOwner returns the job from whose own deadline j's effective deadline follows: the
// last one on the path of dependents that determines it.
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

// latestStart returns the latest start with which a job meets its effective deadline, by its
// owner's estimate.
func (j *Job) latestStart() int64 { return j.EffectiveDeadline - j.Estimate }
