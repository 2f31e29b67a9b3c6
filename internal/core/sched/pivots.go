package sched

import (
	"cmp"
	"container/heap"
	"maps"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// queueHead is the progress of the pivot placement in one queue.
type queueHead struct {
	jobs []*Job
	// next is the index of the first job that was not considered yet, reserved is the number
	// of jobs before that one for which machines are reserved.
	next, reserved int
}

// placePivots starts the first jobs of each queue as long as they fit, and reserves machines for
// the first one that does not. Pivots of high priority go first, so that those of low priority
// reserve only what the former leave.
func (p *Planner) placePivots(queues [][]*Job) {
	heads := make([]queueHead, len(queues))
	for i := range queues {
		heads[i].jobs = queues[i]
	}
	for {
		queue := p.nextQueue(heads)
		if queue < 0 {
			return
		}
		head := &heads[queue]
		j := head.jobs[head.next]
		if p.preemptForImage(j) {
			head.next++
			continue
		}
		p.placeTasks(j, anyPartition)
		if p.isFinished(j) {
			continue
		}
		kind := forPivot
		if head.reserved > 0 {
			kind = behindPivot
		}
		startAt, ok := p.reserve(j, kind)
		p.plan.Pivots = append(p.plan.Pivots, Pivot{Queue: queue, Job: j, StartAt: startAt})
		head.next++
		if ok {
			head.reserved++
		}
		// Otherwise no existing machines can run the job, now or later. It waits for a
		// scale-out and must not block its queue.
	}
}

// nextQueue returns the queue whose next job goes before those of the others, -1 if all queues
// have enough reservations or no more jobs.
func (p *Planner) nextQueue(heads []queueHead) int {
	best := -1
	for i := range heads {
		head := &heads[i]
		for head.next < len(head.jobs) && p.isFinished(head.jobs[head.next]) {
			head.next++
		}
		if head.next >= len(head.jobs) || p.hasPivots(head) {
			continue
		}
		if best < 0 || compareJobs(head.jobs[head.next], heads[best].jobs[heads[best].next]) < 0 {
			best = i
		}
	}
	return best
}

// hasPivots reports whether machines are reserved for enough jobs of a queue: one, and up to
// ReserveAhead more as long as they are urgent.
func (p *Planner) hasPivots(head *queueHead) bool {
	if head.reserved == 0 {
		return false
	}
	return head.reserved > p.ReserveAhead || head.jobs[head.next].EffectivePriority < jobstate.Urgent
}

// reserve finds the earliest time at which a pivot can start, with all tasks of a gang or one
// task of any other job, and reserves the machines for it.
func (p *Planner) reserve(j *Job, kind reservationKind) (at int64, ok bool) {
	tasks := j.tasksAtOnce()
	slots := p.freeSlots(j, tasks)
	heap.Init(&slots)
	byZone := map[string][]freeSlot{}
	tasksByZone := map[string]int{}
	maps.Copy(tasksByZone, j.TasksByZone)
	for len(slots) > 0 {
		slot := heap.Pop(&slots).(freeSlot)
		if j.Spread && !j.OneZone {
			if !j.fitsZone(slot.m.Zone, tasksByZone) {
				continue
			}
			tasksByZone[slot.m.Zone]++
		}
		key := j.zoneKey(slot.m.group.MachineClass)
		byZone[key] = append(byZone[key], slot)
		if len(byZone[key]) == tasks {
			return p.reserveSlots(j, kind, byZone[key]), true
		}
	}
	return 0, false
}

// reserveSlots reserves machines for a job's tasks and returns the time at which the last of the
// machines is free.
func (p *Planner) reserveSlots(j *Job, kind reservationKind, slots []freeSlot) (startAt int64) {
	for _, slot := range slots {
		startAt = max(startAt, slot.at)
		from := slot.at
		if j.StartOverdue {
			// A job that has waited too long must not be delayed further by wrong
			// estimates. The room on the machine is kept for it from now on, also
			// against tasks that, by their estimates, would end before slot.at.
			from = p.Now
		}
		slot.m.reservations = append(slot.m.reservations, reservation{from: from, need: j.Need, job: j, kind: kind})
	}
	return startAt
}

// freeSlots returns room for tasks of a job, at most the given number on each machine, with the
// time from which there is room for each. The result is valid until the next call.
func (p *Planner) freeSlots(j *Job, tasks int) slotHeap {
	slots := p.slotBuffer[:0]
	for _, g := range p.Index.groups {
		if !j.allows(g.MachineClass) || j.avoidsGPUs(g.MachineClass) || j.OneZone && !j.fitsZone(g.Zone, j.TasksByZone) {
			continue
		}
		g.free.Scan(func(m *Machine) bool {
			for _, at := range p.freeTimes(m, j, tasks) {
				slots = append(slots, freeSlot{m, at})
			}
			return true
		})
	}
	p.slotBuffer = slots
	return slots
}

// freeTimes returns the times from which m has room for one task, two tasks and so on, up to the
// given number of tasks, without using what is reserved for other jobs. The result is valid until
// the next call.
func (p *Planner) freeTimes(m *Machine, j *Job, tasks int) []int64 {
	p.resetForRound(m)
	free, need := m.Free, j.Need
	for i := range m.reservations {
		if m.reservations[i].job.Job != j.Job {
			free = free.Sub(m.reservations[i].need)
		}
	}
	times := p.timesBuffer[:0]
	for len(times) < tasks && need.Fits(free) {
		free = free.Sub(need)
		times = append(times, p.Now)
	}
	if len(times) < tasks {
		for _, run := range p.runningTasks(m) {
			free = free.Add(run.Job.Need)
			for len(times) < tasks && need.Fits(free) {
				free = free.Sub(need)
				times = append(times, run.End)
			}
			if len(times) == tasks {
				break
			}
		}
	}
	p.timesBuffer = times
	return times
}

// freeSlot is room for one task on a machine; at is the time from which the room is available.
type freeSlot struct {
	m  *Machine
	at int64
}

// slotHeap is a heap of slots by time and machine name. It implements heap.Interface.
type slotHeap []freeSlot

func (s slotHeap) Len() int { return len(s) }

func (s slotHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(s[a].at, s[b].at), cmp.Compare(s[a].m.Name, s[b].m.Name)) < 0
}

func (s slotHeap) Swap(a, b int) { s[a], s[b] = s[b], s[a] }

func (s *slotHeap) Push(x any) { *s = append(*s, x.(freeSlot)) }

func (s *slotHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
