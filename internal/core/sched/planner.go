// Package sched plans: multiple-queue backfilling after Lawson and Smirni
// (section 2.1, figure 2) over machines with vectors of resources. It is a
// pure function of what it is given; docs/design.md names the departures.
package sched

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// RunningTask is something that occupies a machine until about End.
type RunningTask struct {
	End int64
	// Job, Index name the task; Lost is the work that stopping it costs,
	// Stoppable whether it may be stopped now.
	Job         *jobstate.Job
	Index       int
	LostWork    int64
	Preemptible bool
	// Guaranteed: its job lies within its team's guarantee, which is not to
	// be taken from it for another's; else two teams stop each other's work
	// in turns.
	Guaranteed bool
}

// reservation is what is kept of a machine for a job from a time on: for a pivot, for
// one of the urgent jobs behind it, or because work was stopped there for it.
type reservation struct {
	from int64
	need jobstate.Resources
	job  *Job
	kind reservationKind
}

type reservationKind uint8

const (
	forPivot reservationKind = iota
	behindPivot
	forClaim
)

// blocks says whether j must respect the hold. A pivot's binds everybody, a
// claim all that come later; what is held for a job behind the pivot binds
// what that job might stop.
func (h *reservation) blocks(j *Job) bool {
	switch {
	case h.job.Job == j.Job:
		return false
	case h.kind == forClaim:
		return Before(h.job, j)
	case h.kind == behindPivot:
		return j.EffectivePriority < h.job.EffectivePriority || h.job.Guaranteed && !j.Guaranteed && h.job.Team != j.Team
	}
	return true
}

// Claim says that work was, or is to be, stopped on a machine for one task of a
// job. Until the job starts the room must go to nobody behind it: what was
// stopped would else be back there in the next round, as a machine comes free
// piece by piece, and be stopped again.
type Claim struct {
	Job     *jobstate.Job
	Machine string
}

// Job is a job with tasks that wait.
type Job struct {
	*jobstate.Job
	Queue int
	// ExpectedDuration is how long a task is expected to hold its machine.
	ExpectedDuration int64
	// Headroom is what its team's limit leaves, shared by the team's jobs.
	Headroom *Headroom
	// Guaranteed: with its team's earlier jobs it fits the guarantee.
	Guaranteed bool
	// DeadlineLost: its deadline is lost, so it lets its equals go first.
	DeadlineLost bool
	// StartOverdue: it is one of its class's largest and has waited so long that it
	// goes before its equals.
	StartOverdue bool
	// NeedsGPUMachine: it needs no GPU, and yet no machine without GPUs can take it.
	NeedsGPUMachine bool
	// QueueOrder is when it came or, with a deadline, its latest start.
	QueueOrder int64
	// TasksByZone are the zones of its placed tasks, with their number.
	TasksByZone map[string]int
	// StartBy is when it needs its room to start in time, 0 for no such time.
	StartBy int64
	// deferred: better room is being made for it than there is.
	deferred bool
	// nextTask and planned: the search for unplaced tasks, and how many found
	// a place in this round.
	nextTask, planned int
}

// Headroom is what a team may still place; a resource without a limit has Free.
type Headroom struct{ CPU, GPU int64 }

// Free stands for no limit, forever for a time that never comes.
const (
	Unlimited = int64(1) << 50
	never     = int64(1) << 50
)

// tasksFitting is how many tasks of a need the room is good for.
func (r *Headroom) tasksFitting(need jobstate.Resources) int {
	n := Unlimited
	if need.CPU > 0 {
		n = min(n, r.CPU/need.CPU)
	}
	if need.GPU > 0 {
		n = min(n, r.GPU/need.GPU)
	}
	return int(max(n, 0))
}

// Start is one task to be placed.
type Start struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// Pivot is the head of a queue that waits; At is its expected start, 0 if no
// machine there is can ever take it.
type Pivot struct {
	Queue   int
	Job     *Job
	StartAt int64
}

// Preemption is a task to be stopped, and for which job.
type Preemption struct {
	RunningTask
	For *Job
	// Kill: without saving.
	Kill bool
}

// Plan is what is to be done now.
type Plan struct {
	Starts []Start
	Pivots []Pivot
	// Preemptions are tasks to be stopped to make room.
	Preemptions []Preemption
	// Claims are on the machines of the stops.
	Claims []Claim
	// Waiting are jobs with tasks that found no place.
	Waiting []*Job
}

// Planner carries one planning round.
type Planner struct {
	Now    int64
	Queues int
	Index  *Index
	// LoadRunningTasks sets a machine's Runs; a round calls it for those whose work it has
	// to know, once each. Without it they are as they stand.
	LoadRunningTasks func(*Machine)
	// ImageWorth is what images are worth to jobs to come, as a delay.
	ImageWorth map[string]int64
	// MaxStarts bounds the tasks placed in a round, so that a large array can
	// not keep reports waiting; the next round goes on.
	MaxStarts int
	// ReserveAhead is for how many urgent jobs after a queue's pivot room is made as
	// for the pivot, and held against lower work. Making room takes seconds, so that one at a time
	// starves a large deployment's urgent jobs; a small one needs none.
	ReserveAhead int
	// LargestGPUTask is what the largest task with GPUs needs.
	LargestGPUTask jobstate.Resources
	// PreemptDelay is how far off a start may be before lower work is stopped.
	PreemptDelay int64
	// HasSpareMachines: so many machines are idle that services may take more than they fill.
	HasSpareMachines bool
	// PreferSpot are the types whose ordinary machines are wanted by jobs that
	// may use no others; of the rest ordinary ones go first, as they stay.
	PreferSpot map[string]bool
	// BeyondGuarantee says whether stopping work of a team only takes it from
	// beyond the team's guarantee.
	BeyondGuarantee func(team string, need jobstate.Resources) bool
	// Claims are those of earlier rounds.
	Claims []Claim
	plan   Plan
	// fetching are the machines on which this round has placed a task that
	// brings an image.
	fetching     map[string][]*Machine
	searchBuffer []candidate // kept for its room, as at is
	timesBuffer  []int64
	// victimBuffer and slots are kept for their room too.
	victimBuffer []RunningTask
	slotBuffer   slotHeap
}

// compareJobs is figure 2's: high priority first, each by arrival; with the
// exceptions that a job within its team's guarantee goes before its equals, as
// it is not to wait for other teams, and that a job with a deadline waits its
// turn by when it has to start at the latest, and after its equals once its
// deadline is lost. Of equals those go first that are large and have to begin by now.
func compareJobs(a, b *Job) int {
	return cmp.Or(cmp.Compare(b.EffectivePriority, a.EffectivePriority), compareFalseFirst(!a.Guaranteed, !b.Guaranteed), compareFalseFirst(!a.StartOverdue, !b.StartOverdue), compareFalseFirst(a.DeadlineLost, b.DeadlineLost), cmp.Compare(a.QueueOrder, b.QueueOrder), cmp.Compare(a.Arrival, b.Arrival), cmp.Compare(a.ID, b.ID))
}

// compareFalseFirst puts the one that is so after the one that is not.
func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Before says whether a goes before b where both wait.
func Before(a, b *Job) bool { return compareJobs(a, b) < 0 }

// Plan walks the queues.
func (p *Planner) Plan(jobs []*Job) Plan {
	p.Index.beginRound(p.ImageWorth)
	queues := make([][]*Job, p.Queues)
	slices.SortStableFunc(jobs, compareJobs)
	for _, j := range jobs {
		queues[j.Queue] = append(queues[j.Queue], j)
	}
	p.reserveClaims(jobs)
	p.placePivots(queues)
	// Rules 7a and 7b: room of the own partition.
	for _, q := range queues {
		for _, j := range q {
			p.placeTasks(j, j.Queue)
		}
	}
	// Rule 7c: lending, to jobs of high priority first (jobs is sorted).
	for _, j := range jobs {
		p.placeTasks(j, -1)
	}
	for _, j := range jobs {
		if j.Unplaced() > j.planned {
			p.plan.Waiting = append(p.plan.Waiting, j)
		}
	}
	p.preempt()
	return p.plan
}

// reserveClaims holds what earlier rounds have claimed for jobs that still wait.
func (p *Planner) reserveClaims(jobs []*Job) {
	if len(p.Claims) == 0 {
		return
	}
	byJob := make(map[*jobstate.Job]*Job, len(jobs))
	for _, j := range jobs {
		byJob[j.Job] = j
	}
	for _, c := range p.Claims {
		if j, m := byJob[c.Job], p.Index.Find(c.Machine); j != nil && m != nil {
			p.resetForRound(m)
			m.reservations = append(m.reservations, reservation{from: p.Now, need: j.Need, job: j, kind: forClaim})
		}
	}
}

// placePivots starts heads of queues while they fit now, and holds room for the
// first of each queue that does not. High pivots go first, so that a low one
// is held only what no higher one claims.
func (p *Planner) placePivots(queues [][]*Job) {
	at := make([]int, len(queues))
	held := make([]int, len(queues))
	for {
		best := -1
		for q := range queues {
			for at[q] < len(queues[q]) && p.isFinished(queues[q][at[q]]) {
				at[q]++
			}
			if at[q] >= len(queues[q]) || held[q] > 0 && (held[q] > p.ReserveAhead || queues[q][at[q]].EffectivePriority < jobstate.Urgent) {
				continue
			}
			if best < 0 || compareJobs(queues[q][at[q]], queues[best][at[best]]) < 0 {
				best = q
			}
		}
		if best < 0 {
			return
		}
		j := queues[best][at[best]]
		if p.preemptForImage(j) {
			at[best]++
			continue
		}
		p.placeTasks(j, -1)
		if p.isFinished(j) {
			continue
		}
		kind := forPivot
		if held[best] > 0 {
			kind = behindPivot
		}
		when, ok := p.reserve(j, kind)
		p.plan.Pivots = append(p.plan.Pivots, Pivot{Queue: best, Job: j, StartAt: when})
		if !ok {
			// Nothing there is can take it, now or later: it waits for a
			// machine to be rented, and must not block its queue.
			at[best]++
			continue
		}
		at[best]++
		held[best]++
	}
}

// isFinished says that a job has nothing more to place in this round.
func (p *Planner) isFinished(j *Job) bool {
	left := j.Unplaced() - j.planned
	if left <= 0 || p.MaxStarts <= 0 || j.deferred {
		return true
	}
	if j.Kind == jobstate.Gang {
		return j.Headroom.tasksFitting(j.Need) < left
	}
	return j.Headroom.tasksFitting(j.Need) < 1
}

// placeTasks places what it can of a job on machines of one partition, or of all.
func (p *Planner) placeTasks(j *Job, part int) {
	if p.isFinished(j) {
		return
	}
	if j.Kind == jobstate.Gang {
		p.placeGang(j, part)
		return
	}
	c := p.search(j, part, nil, j.tasksByZone())
	for !p.isFinished(j) {
		m := c.next()
		if m == nil {
			return
		}
		p.placeTask(j, m)
		c.reinsert(m)
	}
}

func (j *Job) tasksByZone() map[string]int {
	if j.TasksByZone == nil {
		j.TasksByZone = make(map[string]int)
	}
	return j.TasksByZone
}

// placeGang places all tasks of a gang or none. With one_zone it tries the
// zones one after the other, the one with the most room to choose from first.
func (p *Planner) placeGang(j *Job, part int) {
	n := j.Unplaced() - j.planned
	if n > p.MaxStarts && p.MaxStarts < 1000 {
		return
	}
	for _, zone := range p.zoneChoices(j, n) {
		var got []*Machine
		zones := map[string]int{}
		for z, k := range j.TasksByZone {
			zones[z] = k
		}
		c := p.search(j, part, zone, zones)
		for len(got) < n {
			m := c.next()
			if m == nil {
				break
			}
			p.allocate(j, m, -1)
			zones[m.Zone]++
			got = append(got, m)
			c.reinsert(m)
		}
		// Take the trial occupation back; place does it for good.
		for _, m := range got {
			p.deallocate(j, m)
		}
		if len(got) == n {
			for _, m := range got {
				p.placeTask(j, m)
			}
			return
		}
	}
}

// zoneChoices are the zones to try for a gang of n more tasks; nil stands for
// any. A gang starts with the last of its tasks, so a zone is as good as the
// dearest machine that would be taken there.
func (p *Planner) zoneChoices(j *Job, n int) []*string {
	if !j.OneZone {
		return []*string{nil}
	}
	costs := map[string][]int64{}
	for _, g := range p.Index.groups {
		if j.allows(g.MachineClass) {
			p.eachFitting(j, g, true, func(m *Machine) { costs[g.Zone] = append(costs[g.Zone], p.cost(j, m, -1)) })
		}
	}
	cost := map[string]int64{}
	var zones []string
	for z, l := range costs {
		slices.Sort(l)
		cost[z] = l[min(n, len(l))-1]
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(cost[a], cost[b]), cmp.Compare(a, b))
	})
	out := make([]*string, len(zones))
	for i := range zones {
		out[i] = &zones[i]
	}
	return out
}

// allows says whether a job may ever be on machines of a class.
func (j *Job) allows(c MachineClass) bool {
	return j.Allows(c.Type, c.Zone, c.Spot, c.Cap)
}

// zoneKey is what machines are told apart by where the tasks of a gang have to
// be together: the zone, if it matters.
func (j *Job) zoneKey(c MachineClass) string {
	if j.OneZone {
		return c.Zone
	}
	return ""
}

// suits says whether a machine of a class could take a task of j, were it empty.
func (j *Job) suits(c MachineClass) bool {
	return j.allows(c) && zoneFits(j, c.Zone, j.TasksByZone) && !j.avoidsGPUs(c)
}

// avoidsGPUs says that a job leaves machines with GPUs to others.
func (j *Job) avoidsGPUs(c MachineClass) bool {
	return j.Need.GPU == 0 && c.Cap.GPU > 0 && !j.NeedsGPUMachine
}

// zoneFits checks one_zone and scatter against the zones in use.
func zoneFits(j *Job, zone string, zones map[string]int) bool {
	if j.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if j.Spread && zones[zone]+1 > (j.Tasks+1)/2 {
		return false
	}
	return true
}

func (j *Job) fetchDelay(m *Machine) int64 {
	if j.Image == "" || m.willHaveImage(j.Image) {
		return 0
	}
	return j.FetchTime(m.FetchRate)
}

func (j *Job) durationOn(m *Machine) int64 { return j.ExpectedDuration + j.fetchDelay(m) }

// cost orders machines for a task, in microseconds of expected harm: the
// image fetch, images that others will want, breaking into an idle machine that a gang could have whole,
// the wrong one of an ordinary and a spot machine, and lending.
func (p *Planner) cost(j *Job, m *Machine, part int) int64 {
	c := j.fetchDelay(m) + p.contactDelay(m) + p.resetForRound(m).imageWorth
	whole := m.Free == m.Cap
	small := j.Need.Scale(2).Fits(m.Cap)
	if whole && small {
		c += 8_000_000
	}
	if j.NeedsGPUMachine && p.LargestGPUTask.Fits(m.Free) && !p.LargestGPUTask.Fits(m.Free.Sub(j.Need)) {
		// Its GPUs would be idle for want of what this takes.
		c += 30_000_000
	}
	switch {
	case j.isDeadlineCritical():
		if m.Spot {
			c += 5_000_000
		}
	case j.Spot && m.Spot != p.PreferSpot[m.Type]:
		c += 3_000_000
	}
	if p.HasSpareMachines && j.Kind == jobstate.Service && !m.hasImage(j.Image) {
		c += p.serviceImageCost(j, m)
		if whole && small {
			c -= 8_000_000
		}
	}
	if m.Partition != j.Queue {
		c += 500_000
	}
	if small {
		// Best fit: the fuller machine first.
		dominant := max(permille(m.Free.CPU, m.Cap.CPU), permille(m.Free.GPU, m.Cap.GPU))
		c += dominant * 1000
	}
	return c
}

// serviceImageCost keeps room beside images: a replica that has to fetch its image anyway
// leaves what is free on machines in use to those whose image is there, and one
// service opens machines for no more than half of what they take. Replicas stay,
// and nothing else can bring their images to a machine.
func (p *Planner) serviceImageCost(j *Job, m *Machine) int64 {
	if m.Free == m.Cap {
		return 0
	}
	own := int64(0)
	for _, r := range p.runningTasks(m) {
		if r.Job == j.Job {
			own++
		}
	}
	switch {
	case own == 0:
		return 10_000_000
	case !j.Need.Scale(2 * (own + 1)).Fits(m.Cap):
		return 30_000_000
	}
	return 0
}

// isDeadlineCritical says that a task lost with a spot machine is likely to cost a
// deadline that urgent work has: that of a pipeline, by one stage's slowest task.
func (j *Job) isDeadlineCritical() bool {
	return j.EffectiveDeadline > 0 && j.EffectivePriority >= jobstate.Urgent && j.Checkpoint == 0
}

func permille(a, b int64) int64 {
	if b == 0 {
		return 0
	}
	return a * 1000 / b
}

// respectsReservations says that a task of j on m until end delays no hold.
func (p *Planner) respectsReservations(m *Machine, j *Job, end int64) bool {
	p.resetForRound(m)
	for i := range m.reservations {
		h := &m.reservations[i]
		if end <= h.from || !h.blocks(j) {
			continue
		}
		if !h.need.Add(j.Need).Fits(p.freeAt(m, h.from)) {
			return false
		}
	}
	return true
}

// freeAt is what is free on m at a time, by the estimated ends.
func (p *Planner) freeAt(m *Machine, at int64) jobstate.Resources {
	free := m.Free
	for _, r := range p.runningTasks(m) {
		if r.End > at {
			break
		}
		free = free.Add(r.Job.Need)
	}
	return free
}

// allocate plans a task on m; its work stays in the order of its ends.
func (p *Planner) allocate(j *Job, m *Machine, index int) {
	r := RunningTask{End: p.Now + j.durationOn(m), Job: j.Job, Index: index}
	runs := p.runningTasks(m)
	i, _ := slices.BinarySearchFunc(runs, r.End+1, func(o RunningTask, end int64) int { return cmp.Compare(o.End, end) })
	m.RunningTasks = slices.Insert(runs, i, r)
	p.Index.setFree(m, m.Free.Sub(j.Need))
}

// deallocate takes back what occupy planned of a gang on trial.
func (p *Planner) deallocate(j *Job, m *Machine) {
	i := slices.IndexFunc(m.RunningTasks, func(r RunningTask) bool { return r.Job == j.Job && r.Index < 0 })
	m.RunningTasks = slices.Delete(m.RunningTasks, i, i+1)
	p.Index.setFree(m, m.Free.Add(j.Need))
}

func (p *Planner) placeTask(j *Job, m *Machine) {
	i := j.NextUnplaced(j.nextTask)
	if i < 0 {
		return
	}
	p.allocate(j, m, i)
	j.nextTask = i + 1
	j.planned++
	j.Headroom.CPU -= j.Need.CPU
	j.Headroom.GPU -= j.Need.GPU
	j.tasksByZone()[m.Zone]++
	if j.Image != "" && !m.willHaveImage(j.Image) {
		m.plannedImages = append(m.plannedImages, j.Image)
		if p.fetching == nil {
			p.fetching = map[string][]*Machine{}
		}
		p.fetching[j.Image] = append(p.fetching[j.Image], m)
	}
	p.MaxStarts--
	p.plan.Starts = append(p.plan.Starts, Start{Job: j, Index: i, Machine: m})
}

// reserve finds the earliest time at which a pivot can start (a gang whole,
// of an array one task) and holds the room for it.
func (p *Planner) reserve(j *Job, kind reservationKind) (at int64, ok bool) {
	n := 1
	if j.Kind == jobstate.Gang {
		n = j.Unplaced() - j.planned
	}
	opts := p.slotBuffer[:0]
	for _, g := range p.Index.groups {
		if !j.allows(g.MachineClass) || j.avoidsGPUs(g.MachineClass) || j.OneZone && !zoneFits(j, g.Zone, j.TasksByZone) {
			continue
		}
		g.free.Scan(func(m *Machine) bool {
			for _, t := range p.freeTimes(m, j, n) {
				opts = append(opts, freeSlot{m, t})
			}
			return true
		})
	}
	p.slotBuffer = opts
	heap.Init(&opts)
	perZone := map[string][]freeSlot{}
	zones := map[string]int{}
	for z, k := range j.TasksByZone {
		zones[z] = k
	}
	for len(opts) > 0 {
		o := heap.Pop(&opts).(freeSlot)
		if j.Spread && !j.OneZone {
			if !zoneFits(j, o.m.Zone, zones) {
				continue
			}
			zones[o.m.Zone]++
		}
		key := j.zoneKey(o.m.group.MachineClass)
		perZone[key] = append(perZone[key], o)
		if len(perZone[key]) == n {
			for _, o := range perZone[key] {
				at = max(at, o.at)
				if j.StartOverdue {
					// Estimates have put it off long enough: what comes free there
					// is kept, whatever would end in time by its estimate.
					o.at = p.Now
				}
				o.m.reservations = append(o.m.reservations, reservation{from: o.at, need: j.Need, job: j, kind: kind})
			}
			return at, true
		}
	}
	return 0, false
}

// freeTimes lists when m has room for the first, second, ... of up to n tasks,
// next to the holds it already has for others.
func (p *Planner) freeTimes(m *Machine, j *Job, n int) []int64 {
	p.resetForRound(m)
	free, need := m.Free, j.Need
	for i := range m.reservations {
		if m.reservations[i].job.Job != j.Job {
			free = free.Sub(m.reservations[i].need)
		}
	}
	out := p.timesBuffer[:0]
	for len(out) < n && need.Fits(free) {
		free = free.Sub(need)
		out = append(out, p.Now)
	}
	if len(out) < n {
		for _, r := range p.runningTasks(m) {
			free = free.Add(r.Job.Need)
			for len(out) < n && need.Fits(free) {
				free = free.Sub(need)
				out = append(out, r.End)
			}
			if len(out) == n {
				break
			}
		}
	}
	p.timesBuffer = out
	return out
}

// preempt stops lower work for pivots that would wait longer than Patience:
// work of lower priority for any, and for a job within its team's guarantee
// what other teams run beyond theirs. It takes the machines where least work
// is lost, for a gang together with those that are free.
func (p *Planner) preempt() {
	for _, pv := range p.plan.Pivots {
		j := pv.Job
		if pv.StartAt != 0 && pv.StartAt-p.Now <= p.preemptDelay(j) {
			continue
		}
		n := 1
		if j.Kind == jobstate.Gang {
			n = j.Unplaced() - j.planned
		}
		type option struct {
			m *Machine
			// stops: work is stopped on it; lost is what that costs.
			stops bool
			lost  int64
		}
		byZone := map[string][]option{}
		p.eachSuitable(j, func(m *Machine) {
			if m.claimedAhead(j) {
				return // what is stopped there is stopped for another
			}
			// What is in the way on a machine that is claimed has been told to
			// stop. It may take longer than Patience; stopping more elsewhere
			// in every round until then would make room for nobody.
			claimed := m.claimedFor(j)
			o := option{m: m}
			if !j.Need.Fits(m.Free) {
				if _, lost, ok := p.victims(j, m); ok {
					o.stops, o.lost = true, lost
				} else if !claimed {
					return
				}
			} else if !p.respectsReservations(m, j, p.Now+j.durationOn(m)) {
				return
			}
			if !claimed || o.stops {
				// Room without the image is worth as much less.
				o.lost += j.fetchDelay(m) * j.Need.Weight()
			}
			key := j.zoneKey(m.group.MachineClass)
			byZone[key] = append(byZone[key], o)
		})
		var best []option
		var least int64
		for _, opts := range byZone {
			if len(opts) < n {
				continue
			}
			slices.SortStableFunc(opts, func(a, b option) int {
				return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.m.Name, b.m.Name))
			})
			var sum int64
			for _, o := range opts[:n] {
				sum += o.lost
			}
			if best == nil || sum < least || sum == least && opts[0].m.Name < best[0].m.Name {
				best, least = opts[:n], sum
			}
		}
		if !slices.ContainsFunc(best, func(o option) bool { return o.stops }) {
			continue
		}
		for _, o := range best {
			var stops []RunningTask
			if o.stops {
				stops, _, _ = p.victims(j, o.m)
			}
			p.planPreemption(j, o.m, stops)
		}
	}
}

// preemptDelay is how far off a pivot's start may be before lower work is stopped
// for it: not so far that it would start too late. What it has waited already
// counts: tasks past their estimates are
// taken to end soon, again and again, so that of many such machines some always
// seem about to come free.
func (p *Planner) preemptDelay(j *Job) int64 {
	if j.EffectivePriority < jobstate.Urgent && !j.Guaranteed {
		return p.PreemptDelay
	}
	left := p.PreemptDelay - (p.Now - j.ReadyAt)
	if j.StartBy != 0 {
		left = min(left, j.StartBy-p.Now)
	}
	return max(minPreemptDelay, left)
}

// minPreemptDelay is how far off a start may be for which stopping work is no use.
const minPreemptDelay = 2_000_000

// victims finds what to stop on m for one task of j. What it returns is valid until
// it is called again: it is asked about every machine for every pivot, and few of its
// answers are used.
func (p *Planner) victims(j *Job, m *Machine) (stops []RunningTask, lost int64, ok bool) {
	candidates, most := p.victimBuffer[:0], m.Free
	for _, r := range p.runningTasks(m) {
		if r.Preemptible && (r.Job.EffectivePriority < j.EffectivePriority || p.overGuarantee(j, r)) {
			candidates = append(candidates, r)
			most = most.Add(r.Job.Need)
		}
	}
	p.victimBuffer = candidates
	if len(candidates) == 0 || !j.Need.Fits(most) {
		return nil, 0, false
	}
	slices.SortStableFunc(candidates, func(a, b RunningTask) int {
		return cmp.Or(cmp.Compare(a.Job.EffectivePriority, b.Job.EffectivePriority), cmp.Compare(a.LostWork, b.LostWork))
	})
	free, n := m.Free, 0
	for n < len(candidates) && !j.Need.Fits(free) {
		free = free.Add(candidates[n].Job.Need)
		lost += candidates[n].LostWork
		n++
	}
	return candidates[:n], lost, n > 0
}

// overGuarantee says that j is within its team's guarantee, and that r is what another
// team runs beyond its own.
func (p *Planner) overGuarantee(j *Job, r RunningTask) bool {
	return j.Guaranteed && !r.Guaranteed && r.Job.Team != j.Team && p.BeyondGuarantee != nil && p.BeyondGuarantee(r.Job.Team, r.Job.Need)
}

// killsVictim says whether work is stopped for j without saving: an urgent job waits
// for the save, which costs about as much as the half interval that is lost.
func killsVictim(j *Job, victim *jobstate.Job) bool {
	return j.EffectivePriority >= jobstate.Urgent && victim.Checkpoint <= 4*victim.Save
}

// What a swap takes besides saving, and the least that it has to gain.
const (
	imagePreemptDelay   = 1_500_000
	minImagePreemptGain = 4_000_000
)

// preemptForImage finds an urgent gang machines that have its image but run lower work,
// where those that are free lack it and a fetch would take much longer than
// stopping that work. What is stopped can go to the free ones. It says that
// the gang is to wait for them.
func (p *Planner) preemptForImage(j *Job) bool {
	n := j.Unplaced() - j.planned
	if j.EffectivePriority < jobstate.Urgent || j.Kind != jobstate.Gang || j.Image == "" || p.isFinished(j) {
		return false
	}
	type option struct {
		m     *Machine
		delay int64
		stops []RunningTask
	}
	free, all := map[string][]int64{}, map[string][]option{}
	cold := never
	for _, g := range p.Index.groups {
		if !j.suits(g.MachineClass) {
			continue
		}
		key := j.zoneKey(g.MachineClass)
		p.eachFitting(j, g, false, func(m *Machine) {
			if p.respectsReservations(m, j, p.Now+j.durationOn(m)) {
				o := option{m: m, delay: j.fetchDelay(m) + p.contactDelay(m)}
				free[key] = append(free[key], o.delay)
				all[key] = append(all[key], o)
			}
		})
	}
	for _, l := range free {
		if len(l) >= n {
			slices.Sort(l)
			cold = min(cold, l[n-1])
		}
	}
	if cold == never || cold < minImagePreemptGain {
		return false
	}
	busy := func(m *Machine) {
		if !j.suits(m.group.MachineClass) || j.Need.Fits(m.Free) {
			return
		}
		if stops, delay, ok := p.imageVictims(j, m); ok {
			key := j.zoneKey(m.group.MachineClass)
			all[key] = append(all[key], option{m, delay, stops})
		}
	}
	p.Index.eachWithImage(j.Image, busy)
	for _, m := range p.fetching[j.Image] {
		busy(m)
	}
	warm := never
	var best []option
	for _, opts := range all {
		if len(opts) < n {
			continue
		}
		slices.SortStableFunc(opts, func(a, b option) int {
			return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(len(a.stops), len(b.stops)), cmp.Compare(a.m.Name, b.m.Name))
		})
		if d := opts[n-1].delay; d < warm || d == warm && opts[0].m.Name < best[0].m.Name {
			best, warm = opts[:n], d
		}
	}
	if cold-warm < minImagePreemptGain {
		return false
	}
	for _, o := range best {
		p.planPreemption(j, o.m, o.stops)
	}
	j.deferred = true
	return true
}

// imageVictims finds what to stop on m, which has work, for one task of a swap, and
// how long that takes: nothing more where room is being made for j already.
func (p *Planner) imageVictims(j *Job, m *Machine) (stops []RunningTask, delay int64, ok bool) {
	if m.FetchRate <= 0 || !m.willHaveImage(j.Image) || m.claimedAhead(j) {
		return nil, 0, false
	}
	if m.claimedFor(j) {
		return nil, imagePreemptDelay, true
	}
	stops, lost, ok := p.victims(j, m)
	if !ok || lost > 2*j.FetchTime(m.FetchRate)*j.Need.Weight() {
		return nil, 0, false
	}
	delay = imagePreemptDelay
	for _, r := range stops {
		if r.Job.Kind == jobstate.Gang && r.Job.NumPlaced > 1 {
			return nil, 0, false // the rest of it would stop elsewhere
		}
		if !killsVictim(j, r.Job) {
			delay = max(delay, imagePreemptDelay+r.Job.Save)
		}
	}
	return slices.Clone(stops), delay, true
}

// planPreemption plans to stop tasks on m for j, and claims what comes free.
func (p *Planner) planPreemption(j *Job, m *Machine, stops []RunningTask) {
	if !m.claimedFor(j) {
		p.plan.Claims = append(p.plan.Claims, Claim{j.Job, m.Name})
	}
	for _, s := range stops {
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{s, j, killsVictim(j, s.Job)})
		for i := range m.RunningTasks {
			if m.RunningTasks[i].Job == s.Job && m.RunningTasks[i].Index == s.Index {
				m.RunningTasks[i].Preemptible = false
			}
		}
	}
}
