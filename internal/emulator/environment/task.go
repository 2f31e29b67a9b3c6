package environment

import (
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// task is an attempt of a task on a machine.
type task struct {
	machine *machine
	job     *jobUser // nil if the machine refused the task
	name    string
	index   int
	attempt uint64
	state   string
	reason  string
	saved   bool
	// planVersion is the version of the scheduled step; a new plan cancels the previous one.
	planVersion int
	// startedAt is the time at which the task last started to run, 0 if it is not running;
	// startProgress is its progress at that time.
	startedAt, startProgress int64
	paused                   bool
	gang                     *gang
	// imageArrived is set if the image arrived while the machine hung: ready is then called
	// when the machine resumes.
	imageArrived bool
}

func (t *task) report() wire.Task {
	state := t.state
	if state == wire.Saving && t.gang != nil && t.gang.failed {
		state = wire.Running
	}
	return wire.Task{Name: t.name, Attempt: t.attempt, State: state, Reason: t.reason, Saved: t.saved}
}

func (t *task) record(kind history.Kind, reason string) {
	t.machine.env.record(history.Event{Kind: kind, Job: t.job.spec.ID, Task: t.index, Attempt: t.attempt, Machine: t.machine.name, Reason: reason})
}

// schedule calls f after delay, unless another step is scheduled before then, or the task has
// ended or its machine hangs at that time.
func (t *task) schedule(delay int64, f func()) {
	t.machine.env.afterUnlessReplanned(&t.planVersion, delay, func() {
		if t.state != wire.Ended && !t.machine.hanging {
			f()
		}
	})
}

// ready is called when the image is on the machine.
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
		t.exit("done") // the result of an earlier attempt is kept
	case t.machine.faulty:
		t.state = wire.Running
		t.machine.reportSoon()
		t.schedule(faultyTaskDuration, func() { t.exit("error") })
	case u.spec.Kind == wire.Gang:
		t.machine.reportSoon()
		t.machine.env.join(t)
	default:
		t.start()
	}
}

// start starts a task that is not part of a gang.
func (t *task) start() {
	t.state = wire.Running
	t.startedAt, t.startProgress = t.machine.env.now, t.job.progress[t.index]
	t.record(history.TaskStarted, "")
	t.machine.reportSoon()
	t.planEnd()
}

// remainingTime returns the duration of the remaining work on this machine.
func (t *task) remainingTime() int64 {
	return int64(float64(t.totalTime()-t.startProgress) / t.machine.speed)
}

// totalTime returns the duration of the whole work on a machine of speed 1.
func (t *task) totalTime() int64 { return t.job.run + int64(t.index)*t.job.runIncrement }

// planEnd schedules the completion of the task. Services never complete, and gangs schedule the
// completion of their tasks themselves.
func (t *task) planEnd() {
	if t.job.spec.Kind != wire.Service && t.gang == nil {
		t.schedule(t.remainingTime(), func() {
			t.job.complete(t)
			t.exit("done")
		})
	}
}

// currentProgress returns the progress of the task now.
func (t *task) currentProgress() int64 {
	if t.startedAt == 0 || t.paused {
		return t.startProgress
	}
	return min(t.startProgress+int64(float64(t.machine.env.now-t.startedAt)*t.machine.speed), t.totalTime())
}

// safeProgress returns the progress at the last checkpoint, 0 if the job has no checkpoints.
func (t *task) safeProgress() int64 {
	step := int64(t.job.spec.CheckpointS * 1e6)
	if step <= 0 {
		return 0
	}
	return t.currentProgress() / step * step
}

// storeCheckpoints records the progress at the last periodic checkpoint of a running task.
func (t *task) storeCheckpoints() {
	if t.startedAt != 0 {
		t.job.progress[t.index] = max(t.job.progress[t.index], t.safeProgress())
	}
}

// kill executes a kill command. With enough grace the task saves its progress and then exits.
func (t *task) kill(grace int64) {
	saveTime := int64(t.spec().CheckpointCostS * 1e6)
	canSave := t.spec().CheckpointS > 0
	switch t.state {
	case wire.Ended:
	case wire.Running:
		if t.gang != nil {
			t.gang.kill(t, grace, saveTime, canSave)
			return
		}
		if !canSave || grace < saveTime || t.machine.faulty {
			t.exit("stopped")
			return
		}
		t.stopProgress()
		t.schedule(saveTime, func() {
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

// spec returns the job description, an empty one if the machine refused the task.
func (t *task) spec() *wire.Job {
	if t.job == nil {
		return &wire.Job{}
	}
	return &t.job.spec
}

// stopProgress stops the task's progress while it saves.
func (t *task) stopProgress() {
	t.storeCheckpoints()
	t.startProgress = t.currentProgress()
	t.startedAt = 0
	t.state = wire.Saving
	t.machine.reportSoon()
}

// exit ends the task and keeps it in the machine's reports.
func (t *task) exit(reason string) {
	t.remove(reason)
	t.reason = reason
	t.machine.reportSoon()
}

// remove ends the task and frees its resources.
func (t *task) remove(reason string) {
	if t.state == wire.Ended {
		return
	}
	if t.state == wire.Fetching {
		t.machine.cache.cancelFetch(t)
		t.record(history.RoomFreed, reason)
	} else {
		t.storeCheckpoints()
		t.record(history.TaskLeft, reason)
	}
	t.state = wire.Ended
	t.planVersion++
	if g := t.gang; g != nil {
		g.taskLost(t, reason)
	}
}

// drop ends the task and removes it from the machine's reports, as the session or the machine
// ends.
func (t *task) drop(reason string) {
	t.remove(reason)
	if i, ok := t.machine.find(t.name, t.attempt); ok {
		t.machine.tasks = slices.Delete(t.machine.tasks, i, i+1)
	}
}

// pause stops the task's progress when its machine hangs.
func (t *task) pause() {
	if t.state == wire.Ended || t.job == nil {
		return
	}
	t.startProgress, t.paused = t.currentProgress(), true
	if t.gang != nil {
		t.gang.machineHung()
	}
}

// resume continues the task when its machine resumes.
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

// gangKey identifies an attempt of a gang.
type gangKey struct {
	job     string
	attempt uint64
}

// gang is an attempt of a gang. Its tasks are those whose image is on their machine.
type gang struct {
	env     *Environment
	key     gangKey
	job     *jobUser
	tasks   []*task
	running bool
	// startedAt is the time at which the gang started to run, 0 if it is not running;
	// startProgress is its progress at that time.
	startedAt, startProgress int64
	speed                    float64 // of the slowest machine
	planVersion              int
	// failed is set if the gang lost a task while it was running.
	failed bool
	// firstKillAt is the time of the first kill command with enough grace to save.
	firstKillAt   int64
	killsReceived int
	stored        bool
}

// join adds a task that has its image to its gang, and starts the gang if it is complete.
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
		// The other tasks have already started or are about to exit.
		t.schedule(g.peerTimeout(), func() { t.exit("mates_gone") })
		return
	}
	t.schedule(int64(env.Params.Workers.GangWaitS*1e6), func() { t.exit("incomplete") })
	g.start()
}

func (g *gang) peerTimeout() int64 { return int64(g.env.Params.Workers.GangPeerS * 1e6) }

// start starts all tasks of the gang if all have their image and none of their machines hangs.
func (g *gang) start() {
	ready := map[int]bool{}
	for _, t := range g.tasks {
		if t.state == wire.Waiting && !t.machine.hanging {
			ready[t.index] = true
		}
	}
	if len(ready) < g.job.spec.Tasks || g.running {
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

// complete ends all tasks of the gang when their work is done.
func (g *gang) complete() {
	g.storeProgress(g.job.run)
	for _, t := range slices.Clone(g.tasks) {
		g.job.complete(t)
	}
	for _, t := range slices.Clone(g.tasks) {
		t.exit("done")
	}
}

// currentProgress returns the progress of the gang now.
func (g *gang) currentProgress() int64 {
	if !g.running || g.startedAt == 0 {
		return g.startProgress
	}
	return min(g.startProgress+int64(float64(g.env.now-g.startedAt)*g.speed), g.job.run)
}

// storeProgress records the progress of the gang, which is kept under task 0.
func (g *gang) storeProgress(progress int64) {
	g.job.progress[0] = max(g.job.progress[0], progress)
}

// stopProgress stops the gang's progress and records the progress at the last checkpoint.
func (g *gang) stopProgress() {
	if step := int64(g.job.spec.CheckpointS * 1e6); step > 0 {
		g.storeProgress(g.currentProgress() / step * step)
	}
	g.startProgress, g.startedAt = g.currentProgress(), 0
	g.planVersion++
}

// fail makes the remaining tasks of a running gang exit within the peer timeout, each when it
// detects that a task of the gang is gone. It has no effect once the progress has been saved.
func (g *gang) fail() {
	if !g.running || g.failed || g.stored {
		return
	}
	g.failed = true
	g.stopProgress()
	for _, t := range g.tasks {
		t.saved = false
		t.schedule(g.env.rng.Int64N(g.peerTimeout()+1), func() { t.exit("mates_gone") })
	}
}

// taskLost is called when a task has left its machine. The gang fails unless the task was done
// or stopped after saving.
func (g *gang) taskLost(t *task, reason string) {
	t.gang = nil
	g.tasks = slices.DeleteFunc(g.tasks, func(other *task) bool { return other == t })
	if reason != "done" && (reason != "stopped" || !t.saved) {
		g.fail()
	}
	if len(g.tasks) == 0 {
		delete(g.env.gangs, g.key)
		g.planVersion++
	}
}

// machineHung is called when a machine of the gang hangs. A running gang fails, as its other
// tasks detect the hang within the peer timeout.
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
	g.start()
}

// kill executes a kill command for one of the running tasks. With enough grace it begins or
// continues an orderly stop, in which all tasks have to receive the command within gang_peer_s
// of the first.
func (g *gang) kill(t *task, grace, saveTime int64, canSave bool) {
	if !canSave || grace < saveTime || g.failed {
		t.exit("stopped")
		return
	}
	if g.firstKillAt == 0 {
		g.firstKillAt = g.env.now
		g.stopProgress()
		g.env.after(g.peerTimeout(), func() {
			if g.killsReceived < g.job.spec.Tasks {
				g.fail() // tasks that received no command exit, and the save fails
			}
			g.exitSaved()
		})
	}
	t.state = wire.Saving
	t.machine.reportSoon()
	g.killsReceived++
	t.schedule(saveTime, func() {
		t.saved = true
		g.exitSaved()
	})
}

// exitSaved ends the tasks that have saved. It does so once all tasks have received the kill
// command, and either all have saved or the peer timeout is over. The progress is stored when
// the first one exits.
func (g *gang) exitSaved() {
	if g.failed || g.killsReceived < g.job.spec.Tasks {
		return
	}
	anyUnsaved := slices.ContainsFunc(g.tasks, func(t *task) bool { return !t.saved })
	if anyUnsaved && g.env.now < g.firstKillAt+g.peerTimeout() {
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
