package history

import (
	"math"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The states of a job as its users see them. A job ends at some time after its last task has
// completed, or when it is cancelled.
const (
	jobAbsent = iota
	jobAccepted
	jobDone
	jobCancelled
)

// operationInput and operationOutput are a request and its response, as porcupine uses them.
type (
	operationInput  struct{ op, job string }
	operationOutput struct {
		status int
		state  string
	}
)

// finishOp is the operation in which a job ends by itself, in addition to users' requests.
const finishOp = "finish"

// CheckLinearizability checks whether acceptance, cancellation and end of each job could have
// happened one after the other, each between its request and its response, and returns a
// violation for each job for which this is impossible. A request without a response may take
// effect at any later time. Jobs that depend on others, and sweeps with their runs, are left
// out, as they also end when others do.
func CheckLinearizability(events []Event, expected Expectations) (violations []Violation) {
	for _, part := range byJob(operations(events, expected)) {
		if !porcupine.CheckOperations(model(), pruneOperations(part)) {
			last := part[len(part)-1]
			violations = append(violations, Violation{last.Call, "not_linear", last.Input.(operationInput).job})
		}
	}
	return violations
}

// operations returns all operations of a history on jobs that do not end with others.
func operations(events []Event, expected Expectations) []porcupine.Operation {
	b := operationBuilder{
		expected:       expected,
		sent:           map[uint64]Event{},
		remainingTasks: map[string]int{},
		unanswered:     map[operationInput]int{},
		inSweep:        map[string]bool{},
	}
	for id, runs := range expected.Sweeps {
		b.inSweep[id] = true
		for _, run := range runs {
			b.inSweep[run] = true
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case RequestSent:
			b.sent[e.Call] = *e
		case ResponseReceived:
			b.onResponse(e)
		case TaskCompleted:
			b.onCompleted(e)
		}
	}
	for i := range events { // requests without a response at the end
		e := &events[i]
		if _, ok := b.sent[e.Call]; ok && e.Kind == RequestSent && !b.endsWithOthers(e.Job) {
			b.addUnknown(e.Op, e.Job, e.At)
		}
	}
	return b.operations
}

// operationBuilder collects the operations of a history.
type operationBuilder struct {
	expected       Expectations
	operations     []porcupine.Operation
	sent           map[uint64]Event // requests that await their response, by call
	remainingTasks map[string]int   // remaining tasks by job
	// unanswered has the index in operations of each request whose effect is unknown, as it got
	// no response or one that does not show the effect, such as status 503. One operation for
	// each input, sent as early as the first such request, is enough: it can
	// have any effect that a later request could have, and only the first of equal requests
	// changes the state. With an operation for each request the search would become too large.
	unanswered map[operationInput]int
	inSweep    map[string]bool // sweeps and their runs, which end with the sweep
}

// endsWithOthers reports whether a job can end because others do: it depends on other jobs or
// belongs to a sweep.
func (b *operationBuilder) endsWithOthers(id string) bool {
	spec := b.expected.Jobs[id]
	return spec != nil && len(spec.DependsOn) > 0 || b.inSweep[id]
}

// addUnknown adds a request of which it is unknown whether and when it took effect.
func (b *operationBuilder) addUnknown(op, job string, at int64) {
	input := operationInput{op, job}
	if op == Poll {
		return
	}
	if i, isOpen := b.unanswered[input]; isOpen {
		// The request that timed out first is not always the one that was sent first.
		b.operations[i].Call = min(b.operations[i].Call, at)
		return
	}
	b.unanswered[input] = len(b.operations)
	b.operations = append(b.operations, porcupine.Operation{Input: input, Call: at, Output: operationOutput{}, Return: math.MaxInt64})
}

// onResponse adds the operation of a request with a response.
func (b *operationBuilder) onResponse(e *Event) {
	request, ok := b.sent[e.Call]
	if !ok || b.endsWithOthers(e.Job) {
		return
	}
	delete(b.sent, e.Call)
	switch e.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNotFound:
		operation := porcupine.Operation{
			Input:  operationInput{e.Op, e.Job},
			Call:   request.At,
			Output: operationOutput{e.Status, e.State},
			Return: e.At,
		}
		if e.Op != Submit {
			b.operations = append(b.operations, operation)
			return
		}
		// The state in the response to a submission can be newer than the submission
		// itself, as the job may have been cancelled before the response. So the response
		// counts as that of a separate poll.
		submit, poll := operation, operation
		submit.Output = operationOutput{}
		poll.Input = operationInput{Poll, e.Job}
		b.operations = append(b.operations, submit, poll)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
	default:
		b.addUnknown(e.Op, e.Job, request.At)
	}
}

// onCompleted adds the end of a job when its last task has completed.
func (b *operationBuilder) onCompleted(e *Event) {
	if n, ok := b.remainingTasks[e.Job]; ok {
		b.remainingTasks[e.Job] = n - 1
	} else if spec := b.expected.Jobs[e.Job]; spec != nil {
		b.remainingTasks[e.Job] = spec.Tasks - 1
	}
	if b.remainingTasks[e.Job] == 0 && !b.endsWithOthers(e.Job) {
		b.operations = append(b.operations, porcupine.Operation{Input: operationInput{finishOp, e.Job}, Call: e.At, Output: operationOutput{}, Return: math.MaxInt64})
	}
}

// pruneOperations removes operations of one job that do not affect the verdict, since the search
// would become too large with many overlapping operations. A job only moves forward, from absent
// to accepted to its end. So among all responses with the same state, the one requested last and
// the one received first bound the time of that state. And a submission that was sent after a
// response that shows the job accepted, or a cancellation sent after one that shows its end, had
// no effect and counts as a poll. TestPruneOperations compares the verdicts with and without
// pruning.
func pruneOperations(ops []porcupine.Operation) (out []porcupine.Operation) {
	// The latest possible times at which the job was accepted and ended.
	acceptedBy, endedBy := int64(math.MaxInt64), int64(math.MaxInt64)
	for _, o := range ops {
		output := o.Output.(operationOutput)
		switch {
		case output.state == wire.Done || output.state == wire.Cancelled:
			acceptedBy, endedBy = min(acceptedBy, o.Return), min(endedBy, o.Return)
		case o.Input.(operationInput).op == Submit || output.state == wire.Pending || output.state == wire.Running:
			acceptedBy = min(acceptedBy, o.Return)
		}
	}
	bounds := map[int][2]int{} // by state: indices of the last requested and the first answered
	for i, o := range ops {
		input, output := o.Input.(operationInput), o.Output.(operationOutput)
		isQuery := input.op == Poll || input.op == Submit && o.Call > acceptedBy || input.op == Cancel && o.Call > endedBy
		switch state := reportedState(output); {
		case !isQuery:
			out = append(out, o)
		case state != stateUnknown:
			bound, ok := bounds[state]
			if !ok {
				bound = [2]int{i, i}
			}
			if o.Call > ops[bound[0]].Call {
				bound[0] = i
			}
			if o.Return < ops[bound[1]].Return {
				bound[1] = i
			}
			bounds[state] = bound
		}
	}
	for state := range stateUnknown {
		if bound, ok := bounds[state]; ok {
			for _, i := range slices.Compact(bound[:]) {
				o := ops[i]
				o.Input = operationInput{Poll, o.Input.(operationInput).job}
				out = append(out, o)
			}
		}
	}
	return out
}

// byJob groups operations by job, in the order of each job's first operation.
func byJob(ops []porcupine.Operation) [][]porcupine.Operation {
	at := map[string]int{}
	var parts [][]porcupine.Operation
	for _, o := range ops {
		id := o.Input.(operationInput).job
		i, ok := at[id]
		if !ok {
			i = len(parts)
			at[id] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], o)
	}
	return parts
}

// model is the sequential specification of a job.
func model() porcupine.Model {
	return porcupine.Model{
		Init:  func() any { return jobAbsent },
		Equal: func(a, b any) bool { return a == b },
		Step: func(state, in, out any) (bool, any) {
			current, input, output := state.(int), in.(operationInput), out.(operationOutput)
			switch input.op {
			case finishOp:
				if current == jobAccepted {
					current = jobDone
				}
				return true, current
			case Submit:
				current = max(current, jobAccepted)
			case Cancel:
				if current == jobAccepted {
					current = jobCancelled
				}
			}
			return matchesState(current, output), current
		},
	}
}

// stateUnknown stands for a response that shows no state.
const stateUnknown = jobCancelled + 1

// reportedState returns the state that a response shows.
func reportedState(output operationOutput) int {
	switch output.status {
	case http.StatusNotFound:
		return jobAbsent
	case 0:
		return stateUnknown
	}
	switch output.state {
	case wire.Done:
		return jobDone
	case wire.Cancelled:
		return jobCancelled
	case wire.Pending, wire.Running:
		return jobAccepted
	}
	return stateUnknown
}

// matchesState reports whether a response is possible in a state. A response without a status was
// never received and is possible in any state.
func matchesState(state int, output operationOutput) bool {
	reported := reportedState(output)
	return reported == stateUnknown || reported == state
}
