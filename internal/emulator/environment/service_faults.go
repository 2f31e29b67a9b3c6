package environment

import (
	"errors"
	"slices"
)

var errFactorNotPositive = errors.New("factor: must be positive")

// stateOutage makes an outage of the state service, which has compacted its changes
// afterwards if it is cold.
func stateOutage(cold bool) prepareFault {
	return func(w *Environment, _ Fault) (beginFault, error) {
		return func() func() {
			w.state.down, w.state.coldRestart = true, cold
			return w.state.recover
		}, nil
	}
}

// slowdown makes a fault that sets a factor of time.
func slowdown(factor func(*Environment) *float64) prepareFault {
	return func(w *Environment, f Fault) (beginFault, error) {
		if f.Factor <= 0 {
			return nil, errFactorNotPositive
		}
		v := factor(w)
		return func() func() {
			*v = f.Factor
			return func() { *v = 1 }
		}, nil
	}
}

func lowerStateLimits(w *Environment, _ Fault) (beginFault, error) {
	return func() func() {
		w.state.limits = w.Params.StrictestStateLimits()
		return nil
	}, nil
}

func loseTransaction(w *Environment, f Fault) (beginFault, error) {
	if f.TransactionLoss == nil || !f.TransactionLoss.Outcome.known() {
		return nil, errors.New("lose.how: must be before, after or late")
	}
	return func() func() {
		w.state.transactionLosses = append(w.state.transactionLosses, f.TransactionLoss)
		return nil
	}, nil
}

// lateRequests makes a fault that sets the share of requests that are executed late, or,
// with OnlyAnswers, of transactions whose answers alone are lost.
func lateRequests(share func(*Environment) *float64) prepareFault {
	return func(w *Environment, f Fault) (beginFault, error) {
		v := share(w)
		if f.OnlyAnswers {
			v = &w.state.lostAnswerShare
		}
		return func() func() {
			*v = f.Share
			return func() { *v = 0 }
		}, nil
	}
}

func limitCapacity(w *Environment, f Fault) (beginFault, error) {
	return func() func() {
		w.cloud.capacityShare = f.Share
		return func() { w.cloud.capacityShare = 1 }
	}, nil
}

func cancelJobsNow(w *Environment, f Fault) (beginFault, error) {
	return func() func() { return w.cancelNow(f.Count, f.Duration > 0) }, nil
}

func cancelJobsAtEnd(w *Environment, f Fault) (beginFault, error) {
	return func() func() {
		w.balancer.cancelAtEndShare = f.Share
		return func() { w.balancer.cancelAtEndShare = 0 }
	}, nil
}

func sendInvalidRequests(w *Environment, _ Fault) (beginFault, error) {
	return func() func() { return w.balancer.sendInvalidRequests() }, nil
}

func (o LossOutcome) known() bool {
	return slices.Contains([]LossOutcome{LostBefore, LostAfter, LostLate}, o)
}
