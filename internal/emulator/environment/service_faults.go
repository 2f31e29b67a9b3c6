package environment

import (
	"errors"
	"slices"
)

var errFactorNotPositive = errors.New("factor: must be positive")

// stateOutage returns a fault in which the state service is down. With cold, all earlier
// changes are compacted afterwards.
func stateOutage(cold bool) prepareFault {
	return func(env *Environment, _ Fault) (beginFault, error) {
		return func() func() {
			env.state.down, env.state.coldRestart = true, cold
			return env.state.recover
		}, nil
	}
}

// slowdown returns a fault that sets a slowdown factor to Factor, and back to 1 at its end.
func slowdown(factor func(*Environment) *float64) prepareFault {
	return func(env *Environment, f Fault) (beginFault, error) {
		if f.Factor <= 0 {
			return nil, errFactorNotPositive
		}
		setting := factor(env)
		return func() func() {
			*setting = f.Factor
			return func() { *setting = 1 }
		}, nil
	}
}

func lowerStateLimits(env *Environment, _ Fault) (beginFault, error) {
	return func() func() {
		env.state.limits = env.Params.StrictestStateLimits()
		return nil
	}, nil
}

func loseTransaction(env *Environment, f Fault) (beginFault, error) {
	if f.TransactionLoss == nil || !f.TransactionLoss.Outcome.known() {
		return nil, errors.New("lose.how: must be before, after or late")
	}
	return func() func() {
		env.state.transactionLosses = append(env.state.transactionLosses, f.TransactionLoss)
		return nil
	}, nil
}

// lateRequests returns a fault that sets the share of requests that are executed late, or, with
// LoseOnlyResponses, the share of transactions that are executed at once but whose response is
// lost.
func lateRequests(share func(*Environment) *float64) prepareFault {
	return func(env *Environment, f Fault) (beginFault, error) {
		setting := share(env)
		if f.LoseOnlyResponses {
			setting = &env.state.lostAnswerShare
		}
		return func() func() {
			*setting = f.Share
			return func() { *setting = 0 }
		}, nil
	}
}

func limitCapacity(env *Environment, f Fault) (beginFault, error) {
	return func() func() {
		env.cloud.capacityShare = f.Share
		return func() { env.cloud.capacityShare = 1 }
	}, nil
}

func cancelJobsNow(env *Environment, f Fault) (beginFault, error) {
	return func() func() { return env.cancelNow(f.Count, f.Duration > 0) }, nil
}

func cancelJobsAtEnd(env *Environment, f Fault) (beginFault, error) {
	return func() func() {
		env.balancer.cancelAtEndShare = f.Share
		return func() { env.balancer.cancelAtEndShare = 0 }
	}, nil
}

func sendInvalidRequests(env *Environment, _ Fault) (beginFault, error) {
	return func() func() { return env.balancer.sendInvalidRequests() }, nil
}

func (o LossOutcome) known() bool {
	return slices.Contains([]LossOutcome{LostBefore, LostAfter, LostLate}, o)
}
