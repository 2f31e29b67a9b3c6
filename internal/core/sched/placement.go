package sched

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Costs of placing a task on a machine, as a delay in microseconds.
const (
	// idleMachineCost is the cost of a small task on an idle machine that a gang could use
	// as a whole.
	idleMachineCost = 8_000_000
	// idleGPUCost is the cost of a task without GPUs that leaves GPUs without the CPUs and
	// memory that tasks with GPUs need.
	idleGPUCost = 30_000_000
	// spotRiskCost is the cost of a deadline-critical task on a spot machine. spotMismatchCost
	// is the cost of a task that may use both spot and on-demand machines on the kind that
	// other jobs need more.
	spotRiskCost     = 5_000_000
	spotMismatchCost = 3_000_000
	// lendingCost is the cost of a machine of another queue's partition.
	lendingCost = 500_000
	// firstReplicaCost is the cost of the first replica of a service on a machine in use.
	// crowdedCost is the cost of a further one with which the service would occupy more
	// than half of the machine.
	firstReplicaCost = 10_000_000
	crowdedCost      = 30_000_000
	// permilleCost is the cost per free thousandth of a machine, for a best fit.
	permilleCost = 1000
)

// tentativeIndex is the task index of tentatively allocated tasks of a gang.
const tentativeIndex = -1

// placeTasks places as many tasks of a job as possible on machines of one partition, or of all
// partitions.
func (p *Planner) placeTasks(j *Job, partition int) {
	if p.isFinished(j) {
		return
	}
	if j.Kind == jobstate.Gang {
		p.placeGang(j, partition)
		return
	}
	machines := p.search(j, partition, nil, j.tasksByZone())
	for !p.isFinished(j) {
		m := machines.next()
		if m == nil {
			return
		}
		p.placeTask(j, m)
		machines.reinsert(m)
	}
}

// placeTask places the next unplaced task of a job on m and adds it to the plan.
func (p *Planner) placeTask(j *Job, m *Machine) {
	index := j.NextUnplaced(j.nextTask)
	if index < 0 {
		return
	}
	p.allocate(j, m, index)
	j.nextTask = index + 1
	j.planned++
	j.Headroom.CPU -= j.Need.CPU
	j.Headroom.GPU -= j.Need.GPU
	j.tasksByZone()[m.Zone]++
	if j.Image != "" && !m.willHaveImage(j.Image) {
		p.planFetch(j.Image, m)
	}
	p.MaxStarts--
	p.plan.Starts = append(p.plan.Starts, Start{Job: j, Index: index, Machine: m})
}

// planFetch records that a task placed in this round makes a machine fetch an image.
func (p *Planner) planFetch(image string, m *Machine) {
	m.plannedImages = append(m.plannedImages, image)
	if p.fetching == nil {
		p.fetching = map[string][]*Machine{}
	}
	p.fetching[image] = append(p.fetching[image], m)
}

// allocate adds a task to the running tasks of m, in the order of their ends, and takes its
// resources from what is free.
func (p *Planner) allocate(j *Job, m *Machine, index int) {
	run := RunningTask{End: p.Now + j.durationOn(m), Job: j.Job, Index: index}
	runs := p.runningTasks(m)
	i, _ := slices.BinarySearchFunc(runs, run.End+1, func(o RunningTask, end int64) int { return cmp.Compare(o.End, end) })
	m.RunningTasks = slices.Insert(runs, i, run)
	p.Index.setFree(m, m.Free.Sub(j.Need))
}

// deallocate reverts one tentative allocation of a gang's task on m.
func (p *Planner) deallocate(j *Job, m *Machine) {
	i := slices.IndexFunc(m.RunningTasks, func(r RunningTask) bool { return r.Job == j.Job && r.Index == tentativeIndex })
	m.RunningTasks = slices.Delete(m.RunningTasks, i, i+1)
	p.Index.setFree(m, m.Free.Add(j.Need))
}

// cost returns the cost of placing a task on a machine, as a delay in microseconds. It includes
// the image fetch, the wait for the next contact, the value of the machine's images to other
// jobs, the use of an idle machine that a gang could use as a whole, GPUs left without CPUs and
// memory, the choice between spot and on-demand machines, room for replicas of services whose
// images the machine has, lending between partitions, and best fit.
func (p *Planner) cost(j *Job, m *Machine) int64 {
	cost := j.fetchDelay(m) + p.contactDelay(m) + p.resetForRound(m).imageWorth
	isSmall := j.Need.Scale(2).Fits(m.Cap)
	startsIdle := isSmall && m.Free == m.Cap
	if startsIdle {
		cost += idleMachineCost
	}
	if j.NeedsGPUMachine && p.LargestGPUTask.Fits(m.Free) && !p.LargestGPUTask.Fits(m.Free.Sub(j.Need)) {
		cost += idleGPUCost
	}
	switch {
	case j.isDeadlineCritical():
		if m.Spot {
			cost += spotRiskCost
		}
	case j.Spot && m.Spot != p.PreferSpot[m.Type]:
		cost += spotMismatchCost
	}
	if p.HasSpareMachines && j.Kind == jobstate.Service && !m.hasImage(j.Image) {
		cost += p.serviceImageCost(j, m)
		if startsIdle {
			cost -= idleMachineCost
		}
	}
	if m.Partition != j.Queue {
		cost += lendingCost
	}
	if isSmall {
		// Best fit prefers the fuller machine.
		dominant := max(permille(m.Free.CPU, m.Cap.CPU), permille(m.Free.GPU, m.Cap.GPU))
		cost += dominant * permilleCost
	}
	return cost
}

// serviceImageCost returns a cost that keeps room on machines for replicas whose images are there.
// A replica that has to fetch its image anyway leaves the free resources of machines in use to
// such replicas. The replicas of one service preferably fill at most half of a machine that was
// idle. Replicas are long-lived, and a machine fetches their image only when a replica is placed
// on it.
func (p *Planner) serviceImageCost(j *Job, m *Machine) int64 {
	if m.Free == m.Cap {
		return 0
	}
	replicas := int64(0)
	for _, run := range p.runningTasks(m) {
		if run.Job == j.Job {
			replicas++
		}
	}
	switch {
	case replicas == 0:
		return firstReplicaCost
	case !j.Need.Scale(2 * (replicas + 1)).Fits(m.Cap):
		return crowdedCost
	}
	return 0
}

// permille returns a in thousandths of b, 0 if b is 0.
func permille(a, b int64) int64 {
	if b == 0 {
		return 0
	}
	return a * 1000 / b
}
