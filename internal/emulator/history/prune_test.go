package history

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestPruneOperations compares the verdicts on pruned and complete histories of one job. The
// histories are random and linearizable, with overlapping requests; in about half of them a
// response or a time is then changed.
func TestPruneOperations(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 8))
	linearizable, others := 0, 0
	for range 20_000 {
		// The times at which the job is accepted and at which it completes or is cancelled.
		acceptedAt, endedAt := 10+rng.Int64N(10), 25+rng.Int64N(20)
		finalState := []string{wire.Done, wire.Cancelled}[rng.IntN(2)]
		responseAt := func(when int64) operationOutput {
			switch {
			case when < acceptedAt:
				return operationOutput{404, ""}
			case when < endedAt:
				return operationOutput{200, wire.Pending}
			}
			return operationOutput{200, finalState}
		}
		var ops []porcupine.Operation
		add := func(op string, from, to int64, output operationOutput) {
			ops = append(ops, porcupine.Operation{Input: operationInput{op, "j"}, Call: from, Return: to, Output: output})
		}
		addAround := func(op string, when int64) {
			from, to := when-rng.Int64N(6), when+1+rng.Int64N(6)
			if op == Submit {
				add(op, from, to, operationOutput{})
				op = Poll
			}
			add(op, from, to, responseAt(when))
		}
		addAround(Submit, acceptedAt)
		if finalState == wire.Cancelled {
			if rng.IntN(3) == 0 {
				add(Cancel, endedAt-1, math.MaxInt64, operationOutput{})
			} else {
				addAround(Cancel, endedAt)
			}
		} else {
			add(finishOp, endedAt-rng.Int64N(3), math.MaxInt64, operationOutput{})
		}
		for range rng.IntN(7) {
			addAround(Poll, rng.Int64N(55))
		}
		for range rng.IntN(3) {
			addAround(Submit, acceptedAt+rng.Int64N(40))
		}
		if rng.IntN(3) == 0 {
			addAround(Cancel, endedAt+rng.Int64N(8))
		}
		if rng.IntN(2) == 0 { // a change that may make the history impossible
			o := &ops[rng.IntN(len(ops))]
			switch rng.IntN(3) {
			case 0:
				o.Call = min(o.Call+rng.Int64N(30), o.Return)
			case 1:
				o.Return = max(o.Return-rng.Int64N(30), o.Call)
			default:
				if o.Input.(operationInput).op == Poll {
					o.Output = []operationOutput{{404, ""}, {200, wire.Running}, {200, wire.Done}, {200, wire.Cancelled}}[rng.IntN(4)]
				}
			}
		}
		want := porcupine.CheckOperations(model(), ops)
		if got := porcupine.CheckOperations(model(), pruneOperations(ops)); got != want {
			t.Fatalf("got verdict %v for the pruned history, want %v as for the complete one: %+v", got, want, ops)
		}
		if want {
			linearizable++
		} else {
			others++
		}
	}
	if linearizable < 5000 || others < 500 {
		t.Errorf("got %d linearizable histories and %d others, want at least 5000 and 500", linearizable, others)
	}
}
