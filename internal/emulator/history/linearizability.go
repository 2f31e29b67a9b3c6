package history

import (
	"math"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The states of a job as its users see them. A job ends at some moment after its last task
// has completed, or when it is cancelled.
const (
	jobAbsent = iota
	jobAccepted
	jobDone
	jobCancelled
)

// operationInput and operationOutput are a request and its answer.
type (
	operationInput  struct{ op, job string }
	operationOutput struct {
		status int
		state  string
	}
)

// finishOp is the end that a job has by itself, beside the requests of users.
const finishOp = "finish"

// CheckLinearizability says whether acceptance, cancellation and end of each job could have
// happened one after the other, each between its request and its answer, and names the jobs
// of which they could not. A request without an answer may take effect at any later time.
// Jobs that depend on others are left out, as they end with those.
func CheckLinearizability(events []Event, terms Expectations) (broken []Violation) {
	for _, part := range byJob(operations(events, terms)) {
		if !porcupine.CheckOperations(model(), pruneOperations(part)) {
			last := part[len(part)-1]
			broken = append(broken, Violation{last.Call, "not_linear", last.Input.(operationInput).job})
		}
	}
	return broken
}

// operations are all operations of a history on jobs that end by themselves.
func operations(events []Event, terms Expectations) []porcupine.Operation {
	b := operationBuilder{
		expected: terms,
		sent:     map[uint64]Event{},
		left:     map[string]int{},
		open:     map[operationInput]int{},
		swept:    map[string]bool{},
	}
	for id, runs := range terms.Sweeps {
		b.swept[id] = true
		for _, run := range runs {
			b.swept[run] = true
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
	for i := range events { // requests that are under way at the end
		e := &events[i]
		if _, ok := b.sent[e.Call]; ok && e.Kind == RequestSent && !b.isTied(e.Job) {
			b.addUnknown(e.Op, e.Job, e.At)
		}
	}
	return b.operations
}

// operationBuilder collects the operations of a history.
type operationBuilder struct {
	expected   Expectations
	operations []porcupine.Operation
	sent       map[uint64]Event // requests without an answer so far
	left       map[string]int   // tasks by job
	// open are requests without an answer, by their places in operations. The first of its
	// kind to be sent is enough: what a later one could do it can have done, and neither does
	// it twice. All of them would make the search grow beyond measure.
	open  map[operationInput]int
	swept map[string]bool // sweeps, and their runs, which end with them
}

// isTied says whether a job ends with others.
func (b *operationBuilder) isTied(id string) bool {
	spec := b.expected.Jobs[id]
	return spec != nil && len(spec.DependsOn) > 0 || b.swept[id]
}

// addUnknown adds a request of which nobody knows whether and when it took effect.
func (b *operationBuilder) addUnknown(op, job string, at int64) {
	input := operationInput{op, job}
	if op == Poll {
		return
	}
	if i, isOpen := b.open[input]; isOpen {
		// The one that is given up first need not be the one that was sent first.
		b.operations[i].Call = min(b.operations[i].Call, at)
		return
	}
	b.open[input] = len(b.operations)
	b.operations = append(b.operations, porcupine.Operation{Input: input, Call: at, Output: operationOutput{}, Return: math.MaxInt64})
}

func (b *operationBuilder) onResponse(e *Event) {
	request, ok := b.sent[e.Call]
	if !ok || b.isTied(e.Job) {
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
		// The state in the answer to a submission may be later than the submission
		// itself: its job may have been cancelled meanwhile.
		submit, poll := operation, operation
		submit.Output = operationOutput{}
		poll.Input = operationInput{Poll, e.Job}
		b.operations = append(b.operations, submit, poll)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
	default:
		b.addUnknown(e.Op, e.Job, request.At)
	}
}

func (b *operationBuilder) onCompleted(e *Event) {
	if n, ok := b.left[e.Job]; ok {
		b.left[e.Job] = n - 1
	} else if spec := b.expected.Jobs[e.Job]; spec != nil {
		b.left[e.Job] = spec.Tasks - 1
	}
	if b.left[e.Job] == 0 && !b.isTied(e.Job) {
		b.operations = append(b.operations, porcupine.Operation{Input: operationInput{finishOp, e.Job}, Call: e.At, Output: operationOutput{}, Return: math.MaxInt64})
	}
}

// pruneOperations leaves out requests that say nothing beside others, since the search grows
// beyond measure with those that overlap. A job only moves on, from absent to accepted to
// its end, so of all answers with the same state the last to be requested and the first to
// come bound when that was; and what was requested after an answer that shows the job
// accepted, or over, can't have made it so, and is no more than a poll. TestThin compares.
func pruneOperations(ops []porcupine.Operation) (out []porcupine.Operation) {
	// When the job was at the latest accepted, and over.
	in, ended := int64(math.MaxInt64), int64(math.MaxInt64)
	for _, o := range ops {
		a := o.Output.(operationOutput)
		switch {
		case a.state == wire.Done || a.state == wire.Cancelled:
			in, ended = min(in, o.Return), min(ended, o.Return)
		case o.Input.(operationInput).op == Submit || a.state == wire.Pending || a.state == wire.Running:
			in = min(in, o.Return)
		}
	}
	bounds := map[int][2]int{} // by state: the last requested, the first answered
	for i, o := range ops {
		q, a := o.Input.(operationInput), o.Output.(operationOutput)
		question := q.op == Poll || q.op == Submit && o.Call > in || q.op == Cancel && o.Call > ended
		switch s := reportedState(a); {
		case !question:
			out = append(out, o)
		case s != stateUnknown:
			b, ok := bounds[s]
			if !ok {
				b = [2]int{i, i}
			}
			if o.Call > ops[b[0]].Call {
				b[0] = i
			}
			if o.Return < ops[b[1]].Return {
				b[1] = i
			}
			bounds[s] = b
		}
	}
	for s := range stateUnknown {
		if b, ok := bounds[s]; ok {
			for _, i := range slices.Compact(b[:]) {
				o := ops[i]
				o.Input = operationInput{Poll, o.Input.(operationInput).job}
				out = append(out, o)
			}
		}
	}
	return out
}

// byJob splits operations by their jobs, in the order of their first ones.
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
			s, q, a := state.(int), in.(operationInput), out.(operationOutput)
			switch q.op {
			case finishOp:
				if s == jobAccepted {
					s = jobDone
				}
				return true, s
			case Submit:
				s = max(s, jobAccepted)
			case Cancel:
				if s == jobAccepted {
					s = jobCancelled
				}
			}
			return matchesState(s, a), s
		},
	}
}

// stateUnknown stands for an answer without a state.
const stateUnknown = jobCancelled + 1

// reportedState is the state that an answer shows.
func reportedState(a operationOutput) int {
	switch a.status {
	case http.StatusNotFound:
		return jobAbsent
	case 0:
		return stateUnknown
	}
	switch a.state {
	case wire.Done:
		return jobDone
	case wire.Cancelled:
		return jobCancelled
	case wire.Pending, wire.Running:
		return jobAccepted
	}
	return stateUnknown
}

// matchesState says whether an answer is possible in a state. One without a status never came.
func matchesState(s int, a operationOutput) bool {
	t := reportedState(a)
	return t == stateUnknown || t == s
}
