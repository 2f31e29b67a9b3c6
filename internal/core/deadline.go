package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/ledger"
)

// due is a job with a deadline, as far as it is not placed: the work that is
// left, in units of a pool's resource times microseconds, how long a task
// takes, and how long there is.
type due struct {
	job    *ledger.Job
	work   float64
	length int64
	left   int64
}

// lost picks the jobs whose deadlines are given up so that as many others as
// possible are met: Moore and Hodgson's rule. In the order of the deadlines,
// whenever a job would be late, the one with the most work left so far is
// given up. With more work than machines, an order of deadlines alone would
// make every job late by the same backlog. capacity is what of the resource
// the jobs can have at once, running the work that is under way on it.
func lost(jobs []due, capacity, running float64) map[*ledger.Job]bool {
	out := map[*ledger.Job]bool{}
	slices.SortFunc(jobs, func(a, b due) int {
		return cmp.Or(cmp.Compare(a.left, b.left), cmp.Compare(a.job.Arrival, b.job.Arrival))
	})
	var kept []due
	before := 0.0 // when all that is kept is through
	for _, d := range jobs {
		if d.length > d.left {
			out[d.job] = true // not even with all machines
			continue
		}
		kept = append(kept, d)
		after := before + d.work/capacity
		if max(after+running/capacity, before+float64(d.length)) <= float64(d.left) {
			before = after
			continue
		}
		most := 0
		for i := range kept {
			if kept[i].work > kept[most].work {
				most = i
			}
		}
		out[kept[most].job] = true
		before = after - kept[most].work/capacity
		kept = slices.Delete(kept, most, most+1)
	}
	return out
}

// lateJobs are the jobs that let their equals go first, as their deadlines
// are lost. One that has waited for many times its deadline is not kept
// waiting any longer. Jobs with GPUs and those without share different
// machines, so they are judged apart.
func (c *Core) lateJobs(unfinished []*ledger.Job) map[*ledger.Job]bool {
	late := map[*ledger.Job]bool{}
	for _, gpus := range []bool{true, false} {
		amount := func(v ledger.Vec) float64 {
			if gpus {
				return float64(v.GPU)
			}
			return float64(v.CPU)
		}
		all, taken, running := 0.0, 0.0, 0.0
		for _, m := range c.lead.fleet {
			if c.usable(m) && (m.Cap.GPU > 0) == gpus {
				all += amount(m.Cap)
			}
		}
		var jobs []due
		for _, j := range unfinished {
			if (j.Need.GPU > 0) != gpus {
				continue
			}
			if j.Deadline == 0 {
				taken += float64(j.Tasks-j.NumDone) * amount(j.Need)
				continue
			}
			running += float64(j.NumPlaced) * float64(j.Estimate) * amount(j.Need) / 2
			if age := c.now - j.Known; j.Unplaced() > 0 && age < 8*j.Deadline {
				jobs = append(jobs, due{j, float64(j.Unplaced()) * float64(j.Estimate) * amount(j.Need), j.Estimate, j.Deadline - age})
			}
		}
		if len(jobs) > 0 {
			for j := range lost(jobs, max(all-taken, all/10, 1), running) {
				late[j] = true
			}
		}
	}
	return late
}
