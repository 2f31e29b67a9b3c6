package environment

import (
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// task is an attempt of a task on a machine.
type task struct {
	machine *machine
	job     *jobUser // nil for one that was refused
	name    string
	index   int
	attempt uint64
	state   string
	reason  string
	saved   bool
	// planVersion numbers what is scheduled next; a new plan cancels the last.
	planVersion int
	// startedAt is when it last began to run, at the progress base.
	startedAt, startProgress int64
	paused                   bool
	gang                     *gang
	// ready is held back while the machine hangs.
	imageArrived bool
}

func (t *task) report() wire.Task {
	state := t.state
	if state == wire.Saving && t.gang != nil && t.gang.failed {
		state = wire.Running
	}
	return wire.Task{Name: t.name, Attempt: t.attempt, State: state, Reason: t.reason, Saved: t.saved}
}

func (t *task) record(k history.Kind, why string) {
	t.machine.env.record(history.Event{Kind: k, Job: t.job.spec.ID, Task: t.index, Attempt: t.attempt, Machine: t.machine.name, Reason: why})
}

// schedule schedules what happens next unless something else happens first.
func (t *task) schedule(d int64, f func()) {
	t.machine.env.afterUnlessReplanned(&t.planVersion, d, func() {
		if t.state != wire.Ended && !t.machine.hanging {
			f()
		}
	})
}

// ready is called when the image is there.
func (t *task) ready() {
	if t.state != wire.Fetching {
		return
	}
	if t.machine.hanging {
		t.imageArrived = true
		return
	}
	u := t.job
	t.state = wire.Waiting
	t.record(history.TaskEntered, "")
	switch {
	case u.done[t.index]:
		t.exit("done") // its result is kept
	case t.machine.faulty:
		t.state = wire.Running
		t.machine.reportSoon()
		t.schedule(failAfter, func() { t.exit("error") })
	case u.spec.Kind == wire.Gang:
		t.machine.reportSoon()
		t.machine.env.join(t)
	default:
		t.start()
	}
}

func (t *task) start() {
	t.state = wire.Running
	t.startedAt, t.startProgress = t.machine.env.now, t.job.progress[t.index]
	t.record(history.TaskStarted, "")
	t.machine.reportSoon()
	t.planEnd()
}

// remainingTime is how long the rest of the work takes on this machine.
func (t *task) remainingTime() int64 {
	return int64(float64(t.totalTime()-t.startProgress) / t.machine.speed)
}

// totalTime is how long it takes altogether.
func (t *task) totalTime() int64 { return t.job.run + int64(t.index)*t.job.runIncrement }

func (t *task) planEnd() {
	if t.job.spec.Kind != wire.Service && t.gang == nil {
		t.schedule(t.remainingTime(), func() {
			t.job.complete(t)
			t.exit("done")
		})
	}
}

// currentProgress is its progress now, and bank the part of that which is safe.
func (t *task) currentProgress() int64 {
	if t.startedAt == 0 || t.paused {
		return t.startProgress
	}
	return min(t.startProgress+int64(float64(t.machine.env.now-t.startedAt)*t.machine.speed), t.totalTime())
}

func (t *task) safeProgress() int64 {
	step := int64(t.job.spec.CheckpointS * 1e6)
	if step <= 0 {
		return 0
	}
	return t.currentProgress() / step * step
}

// storeCheckpoints stores the checkpoints that it has made by itself.
func (t *task) storeCheckpoints() {
	if t.startedAt != 0 {
		t.job.progress[t.index] = max(t.job.progress[t.index], t.safeProgress())
	}
}

// kill is the command.
func (t *task) kill(grace int64) {
	save := int64(t.spec().CheckpointCostS * 1e6)
	saves := t.spec().CheckpointS > 0
	switch t.state {
	case wire.Ended:
	case wire.Running:
		if t.gang != nil {
			t.gang.kill(t, grace, save, saves)
			return
		}
		if !saves || grace < save || t.machine.faulty {
			t.exit("stopped")
			return
		}
		t.halt()
		t.schedule(save, func() {
			t.job.progress[t.index] = t.startProgress
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

// spec is the description, an empty one for a task that was refused.
func (t *task) spec() *wire.Job {
	if t.job == nil {
		return &wire.Job{}
	}
	return &t.job.spec
}

// halt stops progress.
func (t *task) halt() {
	t.storeCheckpoints()
	t.startProgress = t.currentProgress()
	t.startedAt = 0
	t.state = wire.Saving
	t.machine.reportSoon()
}

// exit ends it, and leaves it in the reports.
func (t *task) exit(why string) {
	t.remove(why)
	t.reason = why
	t.machine.reportSoon()
}

// remove takes it from its machine.
func (t *task) remove(why string) {
	if t.state == wire.Ended {
		return
	}
	if t.state == wire.Fetching {
		t.machine.cache.cancelFetch(t)
		t.record(history.RoomFreed, why)
	} else {
		t.storeCheckpoints()
		t.record(history.TaskLeft, why)
	}
	t.state = wire.Ended
	t.planVersion++
	if g := t.gang; g != nil {
		g.taskLost(t, why)
	}
}

// drop ends it and removes it from the reports, as its session or machine ends.
func (t *task) drop(why string) {
	t.remove(why)
	if i, ok := t.machine.find(t.name, t.attempt); ok {
		t.machine.tasks = slices.Delete(t.machine.tasks, i, i+1)
	}
}

// pause and resume follow the machine, which hangs and resumes.
func (t *task) pause() {
	if t.state == wire.Ended || t.job == nil {
		return
	}
	t.startProgress, t.paused = t.currentProgress(), true
	if t.gang != nil {
		t.gang.machineHung()
	}
}

func (t *task) resume() {
	if t.state == wire.Ended || t.job == nil {
		return
	}
	t.paused = false
	switch {
	case t.imageArrived:
		t.imageArrived = false
		t.ready()
	case t.state == wire.Running && t.startedAt != 0 && t.gang == nil:
		t.startedAt = t.machine.env.now
		t.planEnd()
	case t.state == wire.Saving:
		t.exit("stopped")
	case t.gang != nil:
		t.gang.machineResumed(t)
	}
}

// gangKey names an attempt of a gang.
type gangKey struct {
	job     string
	attempt uint64
}

// gang is an attempt of a gang: those of its tasks that have their image.
type gang struct {
	env     *Environment
	key     gangKey
	job     *jobUser
	tasks   []*task
	running bool
	// startedAt is when it began to run, at the progress base.
	startedAt, startProgress int64
	speed                    float64
	planVersion              int
	// failed: a running gang that has lost a task.
	failed bool
	// firstKillAt is when the first command to save came.
	firstKillAt   int64
	killsReceived int
	stored        bool
}

func (env *Environment) join(t *task) {
	key := gangKey{t.job.spec.ID, t.attempt}
	g := env.gangs[key]
	if g == nil {
		g = &gang{env: env, key: key, job: t.job}
		env.gangs[key] = g
	}
	t.gang = g
	g.tasks = append(g.tasks, t)
	if g.running || g.failed {
		// It came when the others had begun, or were about to go.
		t.schedule(g.peerTimeout(), func() { t.exit("mates_gone") })
		return
	}
	t.schedule(int64(env.Params.Workers.GangWaitS*1e6), func() { t.exit("incomplete") })
	g.begin()
}

func (g *gang) peerTimeout() int64 { return int64(g.env.Params.Workers.GangPeerS * 1e6) }

// begin starts all tasks, once the last has its image and none hangs.
func (g *gang) begin() {
	have := map[int]bool{}
	for _, t := range g.tasks {
		if t.state == wire.Waiting && !t.machine.hanging {
			have[t.index] = true
		}
	}
	if len(have) < g.job.spec.Tasks || g.running {
		return
	}
	g.running, g.startedAt, g.startProgress = true, g.env.now, g.job.progress[0]
	g.speed = g.tasks[0].machine.speed
	for _, t := range g.tasks {
		g.speed = min(g.speed, t.machine.speed)
		t.state = wire.Running
		t.planVersion++
		t.record(history.TaskStarted, "")
		t.machine.reportSoon()
	}
	g.env.afterUnlessReplanned(&g.planVersion, int64(float64(g.job.run-g.startProgress)/g.speed), g.complete)
}

func (g *gang) complete() {
	g.storeProgress(g.job.run)
	for _, t := range slices.Clone(g.tasks) {
		g.job.complete(t)
	}
	for _, t := range slices.Clone(g.tasks) {
		t.exit("done")
	}
}

// currentProgress is the gang's progress.
func (g *gang) currentProgress() int64 {
	if !g.running || g.startedAt == 0 {
		return g.startProgress
	}
	return min(g.startProgress+int64(float64(g.env.now-g.startedAt)*g.speed), g.job.run)
}

// storeProgress stores progress, which is the gang's and not a task's.
func (g *gang) storeProgress(to int64) {
	g.job.progress[0] = max(g.job.progress[0], to)
}

// halt stops progress, with the checkpoints made until now.
func (g *gang) halt() {
	if step := int64(g.job.spec.CheckpointS * 1e6); step > 0 {
		g.storeProgress(g.currentProgress() / step * step)
	}
	g.startProgress, g.startedAt = g.currentProgress(), 0
	g.planVersion++
}

// fail has the remaining tasks notice that one is gone.
func (g *gang) fail() {
	if !g.running || g.failed || g.stored {
		return
	}
	g.failed = true
	g.halt()
	for _, t := range g.tasks {
		t.saved = false
		t.schedule(g.env.rng.Int64N(g.peerTimeout()+1), func() { t.exit("mates_gone") })
	}
}

// taskLost is called when a task has left.
func (g *gang) taskLost(t *task, why string) {
	t.gang = nil
	g.tasks = slices.DeleteFunc(g.tasks, func(o *task) bool { return o == t })
	if why != "done" && (why != "stopped" || !t.saved) {
		g.fail()
	}
	if len(g.tasks) == 0 {
		delete(g.env.gangs, g.key)
		g.planVersion++
	}
}

// machineHung is called when a machine of the gang hangs, which the others notice in time.
func (g *gang) machineHung() {
	if g.running {
		g.fail()
	}
}

// machineResumed is called when the machine of a task resumes.
func (g *gang) machineResumed(t *task) {
	if g.failed || g.running {
		t.schedule(0, func() { t.exit("mates_gone") })
		return
	}
	t.schedule(int64(g.env.Params.Workers.GangWaitS*1e6), func() { t.exit("incomplete") })
	g.begin()
}

// kill is the command to one of its running tasks: with enough grace the orderly stop, in
// which all have to get it within gang_peer_s of the first.
func (g *gang) kill(t *task, grace, save int64, saves bool) {
	if !saves || grace < save || g.failed {
		t.exit("stopped")
		return
	}
	if g.firstKillAt == 0 {
		g.firstKillAt = g.env.now
		g.halt()
		g.env.after(g.peerTimeout(), func() {
			if g.killsReceived < g.job.spec.Tasks {
				g.fail() // those that got no command exit, and the save fails
			}
			g.exitSaved()
		})
	}
	t.state = wire.Saving
	t.machine.reportSoon()
	g.killsReceived++
	t.schedule(save, func() {
		t.saved = true
		g.exitSaved()
	})
}

// exitSaved has the tasks that have saved exit, once all got the command and have saved or
// their time is over. Progress is safe when the first exits.
func (g *gang) exitSaved() {
	if g.failed || g.killsReceived < g.job.spec.Tasks {
		return
	}
	busy := slices.ContainsFunc(g.tasks, func(t *task) bool { return !t.saved })
	if busy && g.env.now < g.firstKillAt+g.peerTimeout() {
		return
	}
	for _, t := range slices.Clone(g.tasks) {
		if t.saved {
			g.stored = true
			g.storeProgress(g.startProgress)
			t.exit("stopped")
		}
	}
}
