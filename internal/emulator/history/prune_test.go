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
	good, bad := 0, 0
	for range 20_000 {
		// The times at which the job is accepted and at which it completes or is cancelled.
		in, end := 10+rng.Int64N(10), 25+rng.Int64N(20)
		last := []string{wire.Done, wire.Cancelled}[rng.IntN(2)]
		at := func(when int64) operationOutput {
			switch {
			case when < in:
				return operationOutput{404, ""}
			case when < end:
				return operationOutput{200, wire.Pending}
			}
			return operationOutput{200, last}
		}
		var ops []porcupine.Operation
		add := func(op string, from, to int64, a operationOutput) {
			ops = append(ops, porcupine.Operation{Input: operationInput{op, "j"}, Call: from, Return: to, Output: a})
		}
		around := func(op string, when int64) {
			from, to := when-rng.Int64N(6), when+1+rng.Int64N(6)
			if op == Submit {
				add(op, from, to, operationOutput{})
				op = Poll
			}
			add(op, from, to, at(when))
		}
		around(Submit, in)
		if last == wire.Cancelled {
			if rng.IntN(3) == 0 {
				add(Cancel, end-1, math.MaxInt64, operationOutput{})
			} else {
				around(Cancel, end)
			}
		} else {
			add(finishOp, end-rng.Int64N(3), math.MaxInt64, operationOutput{})
		}
		for range rng.IntN(7) {
			around(Poll, rng.Int64N(55))
		}
		for range rng.IntN(3) {
			around(Submit, in+rng.Int64N(40))
		}
		if rng.IntN(3) == 0 {
			around(Cancel, end+rng.Int64N(8))
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
		whole := porcupine.CheckOperations(model(), ops)
		if got := porcupine.CheckOperations(model(), pruneOperations(ops)); got != whole {
			t.Fatalf("got verdict %v for the pruned history, want %v as for the complete one: %+v", got, whole, ops)
		}
		if whole {
			good++
		} else {
			bad++
		}
	}
	if good < 5000 || bad < 500 {
		t.Errorf("got %d linearizable histories and %d others, want at least 5000 and 500", good, bad)
	}
}
