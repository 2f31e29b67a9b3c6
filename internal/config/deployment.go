package config

import "slices"

// StrictestStateLimits returns, for each limit of the state service, the lower of the
// current and the upcoming value.
func (d *Deployment) StrictestStateLimits() StateLimits {
	limits := d.State.StateLimits
	next := d.State.Next
	if next == nil {
		return limits
	}
	lowerLimit(&limits.RPS, next.RPS)
	lowerLimit(&limits.WriteRPS, next.WriteRPS)
	lowerLimit(&limits.ValueKB, next.ValueKB)
	lowerLimit(&limits.TxnOps, next.TxnOps)
	return limits
}

// lowerLimit lowers a limit to the upcoming one, if there is one and it is lower.
func lowerLimit[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// Team returns the team with the given name, or nil if there is none.
func (d *Deployment) Team(name string) *Team {
	if i := slices.IndexFunc(d.Teams, func(t Team) bool { return t.Name == name }); i >= 0 {
		return &d.Teams[i]
	}
	return nil
}

// StartWithin returns the shortest time within which tasks of a class should start
// according to the objectives, or 0 if there is no such objective. guaranteed is set if the job
// is within its team's guarantee; the objective on guarantees then applies too.
func (d *Deployment) StartWithin(class string, guaranteed bool) Micros {
	var shortest Micros
	for _, objective := range d.Objectives {
		if objective.Kind == waitObjective && objective.Class == class || objective.Kind == guaranteeObjective && guaranteed {
			if within := MicrosOf(objective.WithinS); within > 0 && (shortest == 0 || within < shortest) {
				shortest = within
			}
		}
	}
	return shortest
}

// StartTimeMatters reports whether there is an objective on when tasks of a class start,
// rather than on when they are done. Without any objectives it returns true.
func (d *Deployment) StartTimeMatters(class string) bool {
	if len(d.Objectives) == 0 {
		return true
	}
	return slices.ContainsFunc(d.Objectives, func(o Objective) bool {
		return o.Kind == waitObjective && o.Class == class
	})
}

// WeighsCost reports whether cost is weighed against waiting time. Unless the operators'
// settings decide this, cost is weighed if no team has a guarantee. A guarantee is capacity that
// a team can use at once, which needs spare machines; without guarantees, spare machines are kept
// only for short-term variations of the load.
func (d *Deployment) WeighsCost(operators *Operators) bool {
	if operators.WeighMoney != nil {
		return *operators.WeighMoney
	}
	return !slices.ContainsFunc(d.Teams, func(t Team) bool { return t.CPUs > 0 || t.GPUs > 0 })
}

const (
	// epochTimeoutMargin is the factor on the timeout of a worker's epoch that allows for
	// worker clocks that run slow.
	epochTimeoutMargin = 1.002
	// cancelReserveS is the additional time that stopping a task takes, in seconds.
	cancelReserveS = 2
	// authorityShare is the share of the time that cancel_s leaves, after the epoch timeout
	// and cancelReserveS, for which the leader keeps its authority. In the rest, a task can
	// still be released.
	authorityShare = 0.55
)

// LeaderAuthorityTime returns the time for which a controller without proof of its fencing token
// still answers heartbeats. A task of a cancelled job can outlive the cancellation by this time
// plus the timeout of a worker's epoch, so both with their margins must fit into cancel_s.
func (d *Deployment) LeaderAuthorityTime() Micros {
	workers := d.Workers
	return MicrosOf((workers.CancelS - workers.LeaseS*epochTimeoutMargin - cancelReserveS) * authorityShare)
}
