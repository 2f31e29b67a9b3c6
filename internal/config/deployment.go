package config

import "slices"

// StrictestStateLimits are the smaller ones of the limits of now and of those to come.
func (d *Deployment) StrictestStateLimits() StateLimits {
	limits := d.State.StateLimits
	next := d.State.Next
	if next == nil {
		return limits
	}
	lower(&limits.RPS, next.RPS)
	lower(&limits.WriteRPS, next.WriteRPS)
	lower(&limits.ValueKB, next.ValueKB)
	lower(&limits.TxnOps, next.TxnOps)
	return limits
}

// lower lowers a limit to one to come, if that is known and less.
func lower[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// Team finds a team by its name, nil if there is none.
func (d *Deployment) Team(name string) *Team {
	if i := slices.IndexFunc(d.Teams, func(t Team) bool { return t.Name == name }); i >= 0 {
		return &d.Teams[i]
	}
	return nil
}

// StartWithin is the shortest time within which tasks of a class should start, 0 if no
// objective says so. A job within its team's guarantee has that objective too.
func (d *Deployment) StartWithin(class string, guaranteed bool) Micros {
	var shortest Micros
	for _, o := range d.Objectives {
		if o.Kind == waitObjective && o.Class == class || o.Kind == guaranteeObjective && guaranteed {
			if within := MicrosOf(o.WithinS); within > 0 && (shortest == 0 || within < shortest) {
				shortest = within
			}
		}
	}
	return shortest
}

// StartTimeMatters says whether it matters to anybody when tasks of a class start,
// rather than when they are done. Without objectives it does.
func (d *Deployment) StartTimeMatters(class string) bool {
	if len(d.Objectives) == 0 {
		return true
	}
	return slices.ContainsFunc(d.Objectives, func(o Objective) bool {
		return o.Kind == waitObjective && o.Class == class
	})
}

// WeighsCost says whether cost is weighed against waiting. A guarantee is room that a
// team may count on at once, which is what spare machines are for; where nobody has one,
// they are kept for what varies from moment to moment.
func (d *Deployment) WeighsCost(operators *Operators) bool {
	if operators.WeighMoney != nil {
		return *operators.WeighMoney
	}
	return !slices.ContainsFunc(d.Teams, func(t Team) bool { return t.CPUs > 0 || t.GPUs > 0 })
}

const (
	// epochTimeoutMargin allows for workers' clocks that run slow.
	epochTimeoutMargin = 1.002
	// cancelReserveS is what stopping a task takes beside, in seconds.
	cancelReserveS = 2
	// authorityShare is the share of the time that is left: a task can still be
	// released in the rest.
	authorityShare = 0.55
)

// LeaderAuthorityTime is how long a controller without proof of its fencing token still
// answers heartbeats. A task of a cancelled job can outlive its cancellation by that time
// and the timeout of a worker's epoch, so both with their margins must fit into cancel_s.
func (d *Deployment) LeaderAuthorityTime() Micros {
	w := d.Workers
	return MicrosOf((w.CancelS - w.LeaseS*epochTimeoutMargin - cancelReserveS) * authorityShare)
}
