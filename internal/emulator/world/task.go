package world

import (
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// task is an attempt of a task on a machine.
type task struct {
	m       *machine
	job     *user // nil for one that was refused
	name    string
	index   int
	attempt uint64
	state   string
	why     string
	saved   bool
	// plan numbers what is to happen to it next; a new plan cancels the last.
	plan int
	// begun is when it last began to run, at the progress base.
	begun, base int64
	paused      bool
	gang        *gang
	// ready is held back while the machine hangs.
	imageCame bool
}

func (t *task) report() wire.Task {
	state := t.state
	if state == wire.Saving && t.gang != nil && t.gang.failed {
		state = wire.Running
	}
	return wire.Task{Name: t.name, Attempt: t.attempt, State: state, Why: t.why, Saved: t.saved}
}

func (t *task) record(k history.Kind, why string) {
	t.m.w.record(history.Event{Kind: k, Job: t.job.spec.ID, Task: t.index, Attempt: t.attempt, Machine: t.m.name, Why: why})
}

// later plans what happens next unless something else happens first.
func (t *task) later(d int64, f func()) {
	t.m.w.replan(&t.plan, d, func() {
		if t.state != wire.Ended && !t.m.hanging {
			f()
		}
	})
}

// ready is called when the image is there.
func (t *task) ready() {
	if t.state != wire.Fetching {
		return
	}
	if t.m.hanging {
		t.imageCame = true
		return
	}
	u := t.job
	t.state = wire.Waiting
	t.record(history.Entered, "")
	switch {
	case u.done[t.index]:
		t.exit("done") // its result is kept
	case t.m.faulty:
		t.state = wire.Running
		t.m.changed()
		t.later(failAfter, func() { t.exit("error") })
	case u.spec.Kind == wire.Gang:
		t.m.changed()
		t.m.w.join(t)
	default:
		t.start()
	}
}

func (t *task) start() {
	t.state = wire.Running
	t.begun, t.base = t.m.w.now, t.job.progress[t.index]
	t.record(history.Started, "")
	t.m.changed()
	t.planEnd()
}

// left is how long the rest of the work takes on this machine.
func (t *task) left() int64 { return int64(float64(t.runs()-t.base) / t.m.speed) }

// runs is how long it takes altogether.
func (t *task) runs() int64 { return t.job.run + int64(t.index)*t.job.apart }

func (t *task) planEnd() {
	if t.job.spec.Kind != wire.Service && t.gang == nil {
		t.later(t.left(), func() {
			t.job.complete(t)
			t.exit("done")
		})
	}
}

// at is its progress now, and bank the part of that which is safe.
func (t *task) at() int64 {
	if t.begun == 0 || t.paused {
		return t.base
	}
	return min(t.base+int64(float64(t.m.w.now-t.begun)*t.m.speed), t.runs())
}

func (t *task) bank() int64 {
	step := int64(t.job.spec.CheckpntS * 1e6)
	if step <= 0 {
		return 0
	}
	return t.at() / step * step
}

// keep stores the checkpoints that it has made by itself.
func (t *task) keep() {
	if t.begun != 0 {
		t.job.progress[t.index] = max(t.job.progress[t.index], t.bank())
	}
}

// kill is the command.
func (t *task) kill(grace int64) {
	save := int64(t.job0().SaveS * 1e6)
	saves := t.job0().CheckpntS > 0
	switch t.state {
	case wire.Ended:
	case wire.Running:
		if t.gang != nil {
			t.gang.kill(t, grace, save, saves)
			return
		}
		if !saves || grace < save || t.m.faulty {
			t.exit("stopped")
			return
		}
		t.save()
		t.later(save, func() {
			t.job.progress[t.index] = t.base
			t.saved = true
			t.exit("stopped")
		})
	case wire.Saving:
		if grace == 0 {
			t.exit("stopped")
		}
	default: // fetching or waiting
		t.exit("stopped")
	}
}

// job0 is the description, an empty one for a task that was refused.
func (t *task) job0() *wire.Job {
	if t.job == nil {
		return &wire.Job{}
	}
	return &t.job.spec
}

// save stops progress.
func (t *task) save() {
	t.keep()
	t.base = t.at()
	t.begun = 0
	t.state = wire.Saving
	t.m.changed()
}

// exit ends it, and leaves it in the reports.
func (t *task) exit(why string) {
	t.leave(why)
	t.why = why
	t.m.changed()
}

// leave takes it from its machine.
func (t *task) leave(why string) {
	if t.state == wire.Ended {
		return
	}
	if t.state == wire.Fetching {
		t.m.cache.giveUp(t)
		t.record(history.Freed, why)
	} else {
		t.keep()
		t.record(history.Left, why)
	}
	t.state = wire.Ended
	t.plan++
	if g := t.gang; g != nil {
		g.lost(t, why)
	}
}

// vanish ends it and removes it from the reports, as its session or machine is
// at its end.
func (t *task) vanish(why string) {
	t.leave(why)
	if i, ok := t.m.find(t.name, t.attempt); ok {
		t.m.tasks = slices.Delete(t.m.tasks, i, i+1)
	}
}

// pause and resume follow the machine, which hangs and goes on.
func (t *task) pause() {
	if t.state == wire.Ended || t.job == nil {
		return
	}
	t.base, t.paused = t.at(), true
	if t.gang != nil {
		t.gang.hung()
	}
}

func (t *task) resume() {
	if t.state == wire.Ended || t.job == nil {
		return
	}
	t.paused = false
	switch {
	case t.imageCame:
		t.imageCame = false
		t.ready()
	case t.state == wire.Running && t.begun != 0 && t.gang == nil:
		t.begun = t.m.w.now
		t.planEnd()
	case t.state == wire.Saving:
		t.exit("stopped")
	case t.gang != nil:
		t.gang.returned(t)
	}
}

// gangKey names an attempt of a gang.
type gangKey struct {
	job     string
	attempt uint64
}

// gang is an attempt of a gang: those of its tasks that have their image.
type gang struct {
	w       *World
	key     gangKey
	job     *user
	tasks   []*task
	running bool
	// begun is when it began to run, at the progress base.
	begun, base int64
	speed       float64
	plan        int
	// failed: a running gang that has lost a task.
	failed bool
	// firstKill is when the first command to save came.
	firstKill int64
	told      int
	stored    bool
}

func (w *World) join(t *task) {
	key := gangKey{t.job.spec.ID, t.attempt}
	g := w.gangs[key]
	if g == nil {
		g = &gang{w: w, key: key, job: t.job}
		w.gangs[key] = g
	}
	t.gang = g
	g.tasks = append(g.tasks, t)
	if g.running || g.failed {
		// It came when the others had begun, or were about to go.
		t.later(g.peer(), func() { t.exit("mates_gone") })
		return
	}
	t.later(int64(w.Params.Workers.GangWaitS*1e6), func() { t.exit("incomplete") })
	g.begin()
}

func (g *gang) peer() int64 { return int64(g.w.Params.Workers.GangPeerS * 1e6) }

// begin starts all tasks, once the last has its image and none hangs.
func (g *gang) begin() {
	have := map[int]bool{}
	for _, t := range g.tasks {
		if t.state == wire.Waiting && !t.m.hanging {
			have[t.index] = true
		}
	}
	if len(have) < g.job.spec.Tasks || g.running {
		return
	}
	g.running, g.begun, g.base = true, g.w.now, g.job.progress[0]
	g.speed = g.tasks[0].m.speed
	for _, t := range g.tasks {
		g.speed = min(g.speed, t.m.speed)
		t.state = wire.Running
		t.plan++
		t.record(history.Started, "")
		t.m.changed()
	}
	g.w.replan(&g.plan, int64(float64(g.job.run-g.base)/g.speed), g.complete)
}

func (g *gang) complete() {
	g.bank(g.job.run)
	for _, t := range slices.Clone(g.tasks) {
		g.job.complete(t)
	}
	for _, t := range slices.Clone(g.tasks) {
		t.exit("done")
	}
}

// at is the gang's progress.
func (g *gang) at() int64 {
	if !g.running || g.begun == 0 {
		return g.base
	}
	return min(g.base+int64(float64(g.w.now-g.begun)*g.speed), g.job.run)
}

// bank stores progress, which is the gang's and not a task's.
func (g *gang) bank(to int64) {
	g.job.progress[0] = max(g.job.progress[0], to)
}

// halt stops progress, with the checkpoints made until now.
func (g *gang) halt() {
	if step := int64(g.job.spec.CheckpntS * 1e6); step > 0 {
		g.bank(g.at() / step * step)
	}
	g.base, g.begun = g.at(), 0
	g.plan++
}

// fail lets the tasks that are left notice that one is gone.
func (g *gang) fail() {
	if !g.running || g.failed || g.stored {
		return
	}
	g.failed = true
	g.halt()
	for _, t := range g.tasks {
		t.saved = false
		t.later(g.w.rng.Int64N(g.peer()+1), func() { t.exit("mates_gone") })
	}
}

// lost is called when a task has left.
func (g *gang) lost(t *task, why string) {
	t.gang = nil
	g.tasks = slices.DeleteFunc(g.tasks, func(o *task) bool { return o == t })
	if why != "done" && !(why == "stopped" && t.saved) {
		g.fail()
	}
	if len(g.tasks) == 0 {
		delete(g.w.gangs, g.key)
		g.plan++
	}
}

// hung: a machine of the gang hangs, which the others notice in time.
func (g *gang) hung() {
	if g.running {
		g.fail()
	}
}

// returned: a task's machine goes on.
func (g *gang) returned(t *task) {
	if g.failed || g.running {
		t.later(0, func() { t.exit("mates_gone") })
		return
	}
	t.later(int64(g.w.Params.Workers.GangWaitS*1e6), func() { t.exit("incomplete") })
	g.begin()
}

// kill is the command to one of its running tasks: with enough grace the orderly
// stop, in which all have to be told within gang_peer_s of the first.
func (g *gang) kill(t *task, grace, save int64, saves bool) {
	if !saves || grace < save || g.failed {
		t.exit("stopped")
		return
	}
	if g.firstKill == 0 {
		g.firstKill = g.w.now
		g.halt()
		g.w.after(g.peer(), func() {
			if g.told < g.job.spec.Tasks {
				g.fail() // those that were not told exit, and the save fails
			}
			g.settle()
		})
	}
	t.state = wire.Saving
	t.m.changed()
	g.told++
	t.later(save, func() {
		t.saved = true
		g.settle()
	})
}

// settle lets the tasks that have saved exit, once all were told and have saved
// or their time is over. Progress is safe when the first exits.
func (g *gang) settle() {
	if g.failed || g.told < g.job.spec.Tasks {
		return
	}
	busy := slices.ContainsFunc(g.tasks, func(t *task) bool { return !t.saved })
	if busy && g.w.now < g.firstKill+g.peer() {
		return
	}
	for _, t := range slices.Clone(g.tasks) {
		if t.saved {
			g.stored = true
			g.bank(g.base)
			t.exit("stopped")
		}
	}
}
