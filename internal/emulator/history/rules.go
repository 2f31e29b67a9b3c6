package history

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// maxSilence is the maximum time for which users may get no answer about an accepted job while
// there are answers about other jobs. maxQuietSilence is the maximum time without an answer about an
// accepted job once all faults are over, even if there are no answers about other jobs either. Both
// are in microseconds.
const (
	maxSilence      = 90_000_000
	maxQuietSilence = 75_000_000
)

// CheckRules checks a history against the rules and returns the violations in the order of time.
// Equal violations of the same rule are reported once.
func CheckRules(events []Event, expected Expectations) []Violation {
	k := &checker{expected: expected, jobs: map[string]*jobState{}, machines: map[string]Event{}, taskMachines: map[taskRef]map[string]bool{}, teamUse: map[string]Limits{}, reported: map[string]bool{}, calls: map[uint64]userCall{}, placed: newPlacements(), ends: newEndChecker(expected.Stored)}
	for i := range events {
		if e := &events[i]; e.Kind == FaultChanged || e.Kind == ControllerChanged {
			k.quietSince = e.At
		}
	}
	for i := range events {
		if k.startingGang != nil && (events[i].Kind != TaskStarted || events[i].Job != k.startingGang.Job || events[i].Attempt != k.startingGang.Attempt) {
			k.checkGangStart()
		}
		k.checkDeadlines(events[i].At)
		k.checkEndsStored(events[i].At)
		k.checkWaiting(events[i].At)
		k.onEvent(&events[i])
	}
	k.checkEnd()
	slices.SortStableFunc(k.violations, func(a, b Violation) int { return int(a.At - b.At) })
	return k.violations
}

// checker checks the rules in one pass over a history.
type checker struct {
	expected Expectations
	now      int64
	jobs     map[string]*jobState
	machines map[string]Event
	// taskMachines has the machines that a task is on.
	taskMachines   map[taskRef]map[string]bool
	teamUse        map[string]Limits // by team
	calls          map[uint64]userCall
	anyTaskEntered bool
	reported       map[string]bool // by rule and detail
	violations     []Violation
	// cancelDeadlines has the times by which cancellations have to take effect, earliest first.
	cancelDeadlines []cancelDeadline
	// startingGang is the first start event of the gang whose tasks are starting, nil if there
	// is none. startedGangTasks are the tasks of this gang that have started.
	startingGang     *Event
	startedGangTasks map[int]bool
	// lastResponseAt is the time of the last response to any user. quietSince is the time of the
	// last begin or end of a fault, or start or exit of a controller, in the whole history.
	lastResponseAt, quietSince int64
	placed                     placements
	ends                       endChecker
}

type taskRef struct {
	job  string
	task int
}

type userCall struct {
	job  string
	sent int64
	// known is set if the job was accepted when the request was sent.
	known bool
}

type cancelDeadline struct {
	at  int64
	job string
}

// jobState is the state of a job according to responses, and its completed tasks.
type jobState struct {
	submitted, accepted, cancelRequested bool
	state                                string
	cancelledAt, finishedAt              int64 // time of the first response that shows it
	done                                 map[int]bool
	lastResponseAt                       int64 // time of the last response with status 200 or 201
	failedPolls                          int   // since lastResponseAt
	acceptedAt                           int64 // time of the first response that shows it
	invalidReason                        string
}

func (k *checker) addViolation(rule, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	if !k.reported[rule+detail] {
		k.reported[rule+detail] = true
		k.violations = append(k.violations, Violation{k.now, rule, detail})
	}
}

func (k *checker) job(id string) *jobState {
	j := k.jobs[id]
	if j == nil {
		j = &jobState{done: map[int]bool{}}
		k.jobs[id] = j
	}
	return j
}

// checkDeadlines checks that no task of a cancelled job is still on a machine after the job's
// deadline, for all deadlines before now. It is called before the events at now are handled.
func (k *checker) checkDeadlines(now int64) {
	for len(k.cancelDeadlines) > 0 && k.cancelDeadlines[0].at < now {
		deadline := k.cancelDeadlines[0]
		k.cancelDeadlines = k.cancelDeadlines[1:]
		k.now = deadline.at
		spec := k.expected.Jobs[deadline.job]
		for i := range spec.Tasks {
			for m := range k.taskMachines[taskRef{deadline.job, i}] {
				k.addViolation("ran_cancelled", "%s/%d is still on %s", deadline.job, i, m)
			}
		}
	}
	k.now = now
}

func (k *checker) onEvent(e *Event) {
	switch e.Kind {
	case MachineUp:
		k.machines[e.Machine] = *e
	case RequestSent:
		j := k.job(e.Job)
		k.calls[e.Call] = userCall{e.Job, e.At, j.accepted}
		for _, id := range append(k.expected.Sweeps[e.Job], e.Job) {
			j := k.job(id)
			j.submitted = j.submitted || e.Op == Submit
			j.cancelRequested = j.cancelRequested || e.Op == Cancel
		}
	case InvalidSubmission:
		k.recordInvalid(e)
	case ResponseReceived:
		k.onResponse(e)
	case TaskPlaced:
		k.placed.place(k.expected.Jobs[e.Job], taskRef{e.Job, e.Task}, e.Machine)
	case RoomFreed:
		k.placed.remove(k.expected.Jobs[e.Job], taskRef{e.Job, e.Task}, e.Machine)
	case StateChanged:
		k.ends.onStateChanged(e)
	case CostRecorded: // the machine is gone or the run is over
		delete(k.machines, e.Machine)
	case TaskEntered:
		k.onEntered(e)
	case TaskStarted:
		k.onStarted(e)
	case TaskCompleted:
		k.job(e.Job).done[e.Task] = true
	case TaskLeft:
		ref := taskRef{e.Job, e.Task}
		k.placed.remove(k.expected.Jobs[e.Job], ref, e.Machine)
		if spec := k.expected.Jobs[e.Job]; spec != nil && k.taskMachines[ref][e.Machine] {
			u := k.teamUse[spec.Team]
			k.teamUse[spec.Team] = Limits{u.CPUs - spec.CPUs, u.GPUs - spec.GPUs}
		}
		delete(k.taskMachines[ref], e.Machine)
	}
}

// onResponse handles a response to a user.
func (k *checker) onResponse(e *Event) {
	call := k.calls[e.Call]
	delete(k.calls, e.Call)
	j := k.job(e.Job)
	if e.Status != 0 {
		k.lastResponseAt = e.At
	}
	k.checkRemembered(e, j, call)
	if !isAccepted(e.Status) {
		return
	}
	k.checkNotAccepted(e, j)
	if !j.submitted {
		k.addViolation("invented", "%s", e.Job)
		return
	}
	if !j.accepted {
		j.acceptedAt = e.At
	}
	j.accepted, j.lastResponseAt, j.failedPolls = true, e.At, 0
	if e.State == "" {
		return // the response contains no state, so there is none to check
	}
	if k.expected.Sweeps[e.Job] == nil {
		k.checkState(e, j, call)
	}
	k.checkFinalState(e, j, call)
}

// checkRemembered reports an accepted job as forgotten if a response shows that the job has been
// lost, or if users get no answer about the job for too long.
func (k *checker) checkRemembered(e *Event, j *jobState, call userCall) {
	if e.Op == Poll && e.Status != http.StatusOK && e.Status != http.StatusNotFound {
		j.failedPolls++
		if j.accepted && !j.isOver() && j.failedPolls > 3 && e.At-j.lastResponseAt > maxSilence && e.At-k.lastResponseAt < maxSilence/10 {
			k.addViolation("forgotten", "no answer about %s for 90 s", e.Job)
		}
		if j.accepted && j.failedPolls > 1 && e.At-max(j.lastResponseAt, k.quietSince) > maxQuietSilence {
			k.addViolation("forgotten", "no answer about %s for 75 s after all troubles", e.Job)
		}
	}
	if e.Status == http.StatusNotFound && call.known {
		k.addViolation("forgotten", "%s is not found", e.Job)
	}
	if e.Op == Submit && (e.Status == http.StatusBadRequest || e.Status == http.StatusUnprocessableEntity) && call.known {
		k.addViolation("forgotten", "%s is refused with %d", e.Job, e.Status)
	}
}

// checkState checks the state of a job in a response against the job's completed tasks and the
// requested cancellations.
func (k *checker) checkState(e *Event, j *jobState, call userCall) {
	// A job that is submitted after one of its dependencies has been cancelled is still
	// accepted, and has to end within CancelWithin of its acceptance.
	if dependencyCancelledAt := k.dependencyCancelledAt(e.Job); dependencyCancelledAt != 0 && call.sent > max(dependencyCancelledAt, j.acceptedAt)+k.expected.CancelWithin && (e.State == wire.Pending || e.State == wire.Running) {
		k.addViolation("orphaned", "%s is %s though one before it is cancelled", e.Job, e.State)
	}
	if e.State == wire.Done && len(j.done) < k.tasks(e.Job) {
		k.addViolation("not_done", "%s with %d of %d", e.Job, len(j.done), k.tasks(e.Job))
	}
	if e.State == wire.Cancelled && !j.cancelRequested && !k.dependencyCancelRequested(e.Job) && k.expected.Jobs[e.Job] != nil {
		k.addViolation("went_back", "%s is cancelled by nobody", e.Job)
	}
	if e.State == wire.Cancelled && j.cancelledAt == 0 {
		j.cancelledAt = e.At
		if k.expected.Jobs[e.Job] != nil {
			k.cancelDeadlines = append(k.cancelDeadlines, cancelDeadline{e.At + k.expected.CancelWithin, e.Job})
		}
	}
}

// isOver reports whether a response has shown the end of the job.
func (j *jobState) isOver() bool { return j.state == wire.Done || j.state == wire.Cancelled }

// checkFinalState checks that later responses show the same final state.
func (k *checker) checkFinalState(e *Event, j *jobState, call userCall) {
	if j.isOver() && e.State != j.state && call.sent >= j.finishedAt {
		k.addViolation("went_back", "%s was %s and is %s", e.Job, j.state, e.State)
	}
	if !j.isOver() {
		j.state, j.finishedAt = e.State, e.At
	}
}

func (k *checker) tasks(id string) int {
	if s := k.expected.Jobs[id]; s != nil {
		return s.Tasks
	}
	return 0
}

// eachDependency calls f for every job that a job depends on, directly or through others.
func (k *checker) eachDependency(id string, f func(*jobState)) {
	queue, visited := []string{id}, map[string]bool{}
	for len(queue) > 0 {
		id, queue = queue[0], queue[1:]
		spec := k.expected.Jobs[id]
		if spec == nil {
			continue
		}
		for _, dependency := range spec.DependsOn {
			if j := k.jobs[dependency]; j != nil && !visited[dependency] {
				visited[dependency] = true
				f(j)
				queue = append(queue, dependency)
			}
		}
	}
}

// dependencyCancelledAt returns the time of the first response that shows a dependency of a job as
// cancelled, 0 for never.
func (k *checker) dependencyCancelledAt(id string) (at int64) {
	k.eachDependency(id, func(j *jobState) {
		if j.cancelledAt != 0 && (at == 0 || j.cancelledAt < at) {
			at = j.cancelledAt
		}
	})
	return at
}

// dependencyCancelRequested reports whether the cancellation of a dependency of a job was
// requested.
func (k *checker) dependencyCancelRequested(id string) (requested bool) {
	k.eachDependency(id, func(j *jobState) { requested = requested || j.cancelRequested })
	return requested
}

// onEntered checks a task whose image has arrived on its machine.
func (k *checker) onEntered(e *Event) {
	k.anyTaskEntered = true
	ref := taskRef{e.Job, e.Task}
	spec, j := k.expected.Jobs[e.Job], k.job(e.Job)
	name := fmt.Sprintf("%s/%d", e.Job, e.Task)
	if spec == nil {
		k.addViolation("invented", "%s starts", name)
		return
	}
	for m := range k.taskMachines[ref] {
		if m != e.Machine {
			k.addViolation("ran_twice", "%s on %s and %s", name, m, e.Machine)
		}
	}
	for _, id := range spec.DependsOn {
		if dependency := k.jobs[id]; dependency != nil && len(dependency.done) < k.tasks(id) {
			k.addViolation("too_early", "%s starts before %s is done", name, id)
		}
	}
	if j.cancelledAt > 0 && e.At > j.cancelledAt+k.expected.CancelWithin {
		k.addViolation("ran_cancelled", "%s starts", name)
	}
	if k.taskMachines[ref] == nil {
		k.taskMachines[ref] = map[string]bool{}
	}
	if !k.taskMachines[ref][e.Machine] {
		u := k.teamUse[spec.Team]
		k.teamUse[spec.Team] = Limits{u.CPUs + spec.CPUs, u.GPUs + spec.GPUs}
	}
	k.taskMachines[ref][e.Machine] = true
	k.placed.place(spec, ref, e.Machine)
	k.checkPlacement(e, name, spec)
	if limits, use := k.expected.Teams[spec.Team], k.teamUse[spec.Team]; limits.GPUs > 0 && use.GPUs > limits.GPUs+roundingError || limits.CPUs > 0 && use.CPUs > limits.CPUs+roundingError {
		k.addViolation("quota", "%s uses %.1f CPUs and %.1f GPUs", spec.Team, use.CPUs, use.GPUs)
	}
}

// checkPlacement checks a task's machine against the constraints of its job.
func (k *checker) checkPlacement(e *Event, name string, spec *wire.Job) {
	machine := k.machines[e.Machine]
	violated := !isAllowedOn(spec, machine)
	if spec.OneZone || spec.Spread {
		zones := map[string]int{}
		for i := range spec.Tasks {
			for other := range k.taskMachines[taskRef{spec.ID, i}] {
				zones[k.machines[other].Zone]++
			}
		}
		violated = violated || spec.OneZone && len(zones) > 1 || spec.Spread && zones[machine.Zone] > (spec.Tasks+1)/2
	}
	if violated {
		k.addViolation("wrong_place", "%s on %s", name, e.Machine)
	}
}

// onStarted collects the started tasks of a gang. Their start events have to follow each other
// without other events in between.
func (k *checker) onStarted(e *Event) {
	if s := k.expected.Jobs[e.Job]; s == nil || s.Kind != wire.Gang {
		return
	}
	if k.startingGang == nil {
		k.startingGang, k.startedGangTasks = e, map[int]bool{}
	}
	k.startedGangTasks[e.Task] = true
}

// checkGangStart checks that all tasks of a gang have started together. Operators demand this
// rule; the published rules do not contain it.
func (k *checker) checkGangStart() {
	if tasks := k.tasks(k.startingGang.Job); len(k.startedGangTasks) != tasks {
		k.addViolation("part_of_gang", "%s begins with %d of %d tasks", k.startingGang.Job, len(k.startedGangTasks), tasks)
	}
	k.startingGang = nil
}

// checkEnd checks the rules that can be checked only at the end of the history.
func (k *checker) checkEnd() {
	if k.startingGang != nil {
		k.checkGangStart()
	}
	if !k.anyTaskEntered {
		k.addViolation("nothing_ran", "all day")
	}
	if len(k.cancelDeadlines) > 0 {
		k.checkDeadlines(k.now + 1)
	}
	k.checkEndsStored(k.now + 1)
}
