package history

import (
	"math"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// What a job is, to its users: it is not there, it is accepted, or it has its
// end. It gets that end at some moment after its last task has completed, or
// when it is withdrawn.
const (
	jobAbsent = iota
	jobAccepted
	jobDone
	jobCancelled
)

// asked and got are a request and its answer; finish is the job's own end.
type (
	operationInput  struct{ op, job string }
	operationOutput struct {
		status int
		state  string
	}
)

const finishOp = "finish"

// CheckLinearizability says whether acceptance, withdrawal and ends of each job could have
// happened one after the other, each between its request and its answer, and
// names the jobs of which they could not. A request without an answer may take
// effect at any later time. Jobs that await others are left out: they end with
// those.
func CheckLinearizability(events []Event, terms Expectations) (broken []Violation) {
	var ops []porcupine.Operation
	sent := map[uint64]Event{}
	left := map[string]int{}
	// Of requests without an answer the first of its kind is enough: what a
	// later one could do it can have done, and neither does it twice. All of
	// them would make the search grow beyond measure.
	open := map[operationInput]bool{}
	unknown := func(op, job string, at int64) {
		if q := (operationInput{op, job}); op != Poll && !open[q] {
			open[q] = true
			ops = append(ops, porcupine.Operation{Input: q, Call: at, Output: operationOutput{}, Return: math.MaxInt64})
		}
	}
	swept := map[string]bool{} // sweeps, and runs, which end with them
	for id, runs := range terms.Sweeps {
		swept[id] = true
		for _, r := range runs {
			swept[r] = true
		}
	}
	tied := func(id string) bool {
		s := terms.Jobs[id]
		return s != nil && len(s.DependsOn) > 0 || swept[id]
	}
	for _, e := range events {
		switch e.Kind {
		case RequestSent:
			sent[e.Call] = e
		case ResponseReceived:
			s, ok := sent[e.Call]
			if !ok || tied(e.Job) {
				continue
			}
			delete(sent, e.Call)
			switch e.Status {
			case 200, 201, 404:
				ops = append(ops, porcupine.Operation{Input: operationInput{e.Op, e.Job}, Call: s.At, Output: operationOutput{e.Status, e.State}, Return: e.At})
				if e.Op == Submit {
					// What a submission is told may be younger than what it
					// did: its job may have been withdrawn meanwhile.
					ops[len(ops)-1].Output = operationOutput{}
					ops = append(ops, porcupine.Operation{Input: operationInput{Poll, e.Job}, Call: s.At, Output: operationOutput{e.Status, e.State}, Return: e.At})
				}
			case 400, 422:
			default:
				unknown(e.Op, e.Job, s.At)
			}
		case TaskCompleted:
			if n, ok := left[e.Job]; !ok {
				if s := terms.Jobs[e.Job]; s != nil {
					left[e.Job] = s.Tasks - 1
				}
			} else {
				left[e.Job] = n - 1
			}
			if left[e.Job] == 0 && !tied(e.Job) {
				ops = append(ops, porcupine.Operation{Input: operationInput{finishOp, e.Job}, Call: e.At, Output: operationOutput{}, Return: math.MaxInt64})
			}
		}
	}
	for _, e := range events { // those that are under way at the end
		if _, ok := sent[e.Call]; ok && e.Kind == RequestSent && !tied(e.Job) {
			unknown(e.Op, e.Job, e.At)
		}
	}
	for _, part := range byJob(ops) {
		if !porcupine.CheckOperations(model(), pruneOperations(part)) {
			last := part[len(part)-1]
			broken = append(broken, Violation{last.Call, "not_linear", last.Input.(operationInput).job})
		}
	}
	return broken
}

// pruneOperations leaves out requests that say nothing beside others, since the search grows
// beyond measure with those that overlap, as when users look closely. A job only goes
// on, from absent to accepted to its end, so of all answers that tell the same state
// the last to be asked for and the first to come bound when that was; and what was
// asked for after an answer that shows the job accepted, or over, can't have made it
// so, and is no more than a question. TestThin compares.
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
	bounds := map[int][2]int{} // by what is told: last asked, first answered
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

// model is one job.
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

// stateUnknown is an answer that tells no state.
const stateUnknown = jobCancelled + 1

// reportedState is the state that an answer tells.
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

// matchesState says whether an answer fits a state. One without a status came never.
func matchesState(s int, a operationOutput) bool {
	t := reportedState(a)
	return t == stateUnknown || t == s
}
