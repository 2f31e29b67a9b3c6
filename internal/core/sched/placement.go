package sched

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// What speaks against a machine for a task, as a delay in microseconds.
const (
	// openMachineCost is for a small task on an idle machine that a gang could have whole.
	openMachineCost = 8_000_000
	// idleGPUCost is for a task without GPUs that leaves GPUs without the CPUs and memory
	// that tasks with GPUs need.
	idleGPUCost = 30_000_000
	// spotRiskCost is for a deadline-critical task on a spot machine, wrongKindCost for
	// a task that may use either on the kind that others need more.
	spotRiskCost  = 5_000_000
	wrongKindCost = 3_000_000
	// lendingCost is for a machine of another queue's partition.
	lendingCost = 500_000
	// loneReplicaCost is for a replica beside those of other services, crowdedCost for one
	// that would give its service more than half of a machine.
	loneReplicaCost = 10_000_000
	crowdedCost     = 30_000_000
	// permilleCost is for each thousandth of a machine that is free: best fit.
	permilleCost = 1000
)

// trialIndex stands for the tasks of a gang that is placed on trial.
const trialIndex = -1

// placeTasks places what it can of a job on machines of one partition, or of all.
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

// placeTask places the next task of a job for good.
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

// planFetch notes that a task that was placed brings an image to a machine.
func (p *Planner) planFetch(image string, m *Machine) {
	m.plannedImages = append(m.plannedImages, image)
	if p.fetching == nil {
		p.fetching = map[string][]*Machine{}
	}
	p.fetching[image] = append(p.fetching[image], m)
}

// allocate plans a task on m; its running tasks stay in the order of their ends.
func (p *Planner) allocate(j *Job, m *Machine, index int) {
	run := RunningTask{End: p.Now + j.durationOn(m), Job: j.Job, Index: index}
	runs := p.runningTasks(m)
	i, _ := slices.BinarySearchFunc(runs, run.End+1, func(o RunningTask, end int64) int { return cmp.Compare(o.End, end) })
	m.RunningTasks = slices.Insert(runs, i, run)
	p.Index.setFree(m, m.Free.Sub(j.Need))
}

// deallocate takes back what allocate planned of a gang on trial.
func (p *Planner) deallocate(j *Job, m *Machine) {
	i := slices.IndexFunc(m.RunningTasks, func(r RunningTask) bool { return r.Job == j.Job && r.Index == trialIndex })
	m.RunningTasks = slices.Delete(m.RunningTasks, i, i+1)
	p.Index.setFree(m, m.Free.Add(j.Need))
}

// cost orders machines for a task, in microseconds of expected harm: the
// image fetch, images that others will want, opening an idle machine that a gang could
// have whole, the wrong one of an on-demand and a spot machine, and lending.
func (p *Planner) cost(j *Job, m *Machine) int64 {
	cost := j.fetchDelay(m) + p.contactDelay(m) + p.resetForRound(m).imageWorth
	isSmall := j.Need.Scale(2).Fits(m.Cap)
	opens := isSmall && m.Free == m.Cap
	if opens {
		cost += openMachineCost
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
		cost += wrongKindCost
	}
	if p.HasSpareMachines && j.Kind == jobstate.Service && !m.hasImage(j.Image) {
		cost += p.serviceImageCost(j, m)
		if opens {
			cost -= openMachineCost
		}
	}
	if m.Partition != j.Queue {
		cost += lendingCost
	}
	if isSmall {
		// Best fit: the fuller machine first.
		dominant := max(permille(m.Free.CPU, m.Cap.CPU), permille(m.Free.GPU, m.Cap.GPU))
		cost += dominant * permilleCost
	}
	return cost
}

// serviceImageCost keeps room beside images: a replica that has to fetch its image anyway
// leaves what is free on machines in use to those whose image is there, and one
// service opens machines for no more than half of what they take. Replicas stay,
// and nothing else can bring their images to a machine.
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
		return loneReplicaCost
	case !j.Need.Scale(2 * (replicas + 1)).Fits(m.Cap):
		return crowdedCost
	}
	return 0
}

// permille is how many thousandths a is of b.
func permille(a, b int64) int64 {
	if b == 0 {
		return 0
	}
	return a * 1000 / b
}
