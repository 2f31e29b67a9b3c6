// Package outages enumerates cases in which the state service first refuses only the leader,
// while other controllers confirm cancellations to users, and is then down for all
// controllers, for up to three times as long as a cancellation may take (cancel_s). The cases
// run in simulated time, and their histories are checked against all rules. Jobs that were
// not cancelled have to keep running as far as possible.
package outages

import (
	"cmp"
	"fmt"
	"log/slog"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const second = config.Second

const (
	refusalStart    = 60 * second // when the state service starts refusing the leader
	refusalDuration = 14 * second
	outageDelay     = 2 * second // from the refusal to the outage, shorter than the leader's lease
	longOutageDelay = 7 * second // long enough for another controller to become the leader before the outage
	cancelS         = 26         // three times this is less than the time that users wait for an answer
	leaseS          = 11
	taskDuration    = 200 * second // extends past the end of the longest outage
)

// cancelTiming describes when users cancel jobs. The first cancellation is sent beforeOutage
// before the start of the outage, or after it if beforeOutage is negative. The others follow
// at the given interval.
type cancelTiming struct {
	name         string
	beforeOutage int64
	interval     int64
}

var cancelTimings = []cancelTiming{
	{"before the refusal", outageDelay + second, 20_000},
	{"while the leader is refused", outageDelay - second/5, 100_000},
	{"as the outage begins", 60_000, 6_000},
	{"in the outage", -5 * second, 500_000},
}

// writeLosses are the ways in which the writes of cancellations are lost; nil means that none
// are lost.
var writeLosses = []*environment.TransactionLoss{nil, {Outcome: environment.LostAfter}, {Outcome: environment.LostLate, Delay: second}}

// controllerEvent is a set of faults that happen to controllers or machines shortly before or
// during the outage. faults gets the names of the controllers, the leader first.
type controllerEvent struct {
	name   string
	at     int64 // relative to the start of the outage
	faults func(nodes []string) []environment.Fault
	// mayLoseTasks is set if not all tasks can be kept, as no controller is allowed to answer
	// heartbeats.
	mayLoseTasks bool
}

var controllerEvents = []controllerEvent{
	{"nothing else happens", 0, func([]string) []environment.Fault { return nil }, false},
	{"another crashes", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[1:2]}}
	}, false},
	{"another restarts immediately", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[1:2], Duration: 200_000}}
	}, false},
	{"another crashes late, and once more", 14 * second, func(n []string) []environment.Fault {
		last := n[len(n)-1:]
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: last}, {At: 6 * second, Kind: environment.FaultCrash, Hosts: last, Duration: 200_000}}
	}, false},
	{"all others restart immediately, as the outage begins", 20_000, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[1:], Duration: 200_000}}
	}, true}, // no controller can have granted them a read lease before the outage
	{"another crashes while it is partitioned from the leader", 4 * second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[:1], To: n[1:2], Duration: 16 * second, PartitionMode: environment.PartitionMode{Reset: true}}, {At: 15 * second, Kind: environment.FaultCrash, Hosts: n[1:2], Duration: 200_000}}
	}, true},
	{"the leader is partitioned from another", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[:1], To: n[1:2], Duration: 60 * second}}
	}, true},
	{"the leader gets no messages of another", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[1:2], To: n[:1], Duration: 60 * second, PartitionMode: environment.PartitionMode{OneWay: true}}}
	}, true},
	{"the others were partitioned from the leader before, and crash", -outageDelay - second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[:1], To: n[1:], Duration: 16 * second, PartitionMode: environment.PartitionMode{Reset: true}}, {At: 14 * second, Kind: environment.FaultCrash, Hosts: n[1:], Duration: 200_000}}
	}, true},
	{"a rolling restart begins", second, func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultRollingRestart, Duration: 6 * second}}
	}, true},
	{"a third of the machines gets no responses or commands", second, func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineCommandsBlocked, Share: 0.34, Duration: 40 * second}}
	}, true},
	{"the leader restarts immediately", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[:1], Duration: 200_000}}
	}, true}, // no controller can become leader during an outage
}

// ID returns the number of the case.
func (c Case) ID() uint64 { return uint64(c.Number) }

// Case is one combination of cancellation timing, lost writes, outage and controller event.
type Case struct {
	Size      int
	Number    int
	timing    cancelTiming
	writeLoss *environment.TransactionLoss
	event     controllerEvent
	// outageQuarters is the length of the outage in quarters of cancel_s. If newLeader is
	// set, another controller becomes the leader before the outage begins.
	outageQuarters int
	newLeader      bool
	// Jobs is the number of jobs; two of three are cancelled.
	Jobs int
	// Legacy is set if one of the followers runs a program without read leases.
	Legacy bool
}

func (c Case) String() string {
	s := fmt.Sprintf("%d controllers, cancelled %s", c.Size, c.timing.name)
	if c.writeLoss != nil {
		s += ", writes executed " + string(c.writeLoss.Outcome) + " their answers' loss"
	}
	if c.newLeader {
		s += ", after a hand-over"
	}
	if c.Jobs != defaultJobs {
		s += fmt.Sprintf(", %d jobs", c.Jobs)
	}
	if c.Legacy {
		s += ", beside an older program"
	}
	return s + fmt.Sprintf(", an outage of %.1f cancel_s in which %s", float64(c.outageQuarters)/4, c.event.name)
}

// AllCases returns all cases with the given number of controllers.
func AllCases(size int) (out []Case) {
	for _, event := range controllerEvents {
		for _, timing := range cancelTimings {
			for _, loss := range writeLosses {
				for _, quarters := range []int{2, 4, 6, 12} {
					for _, newLeader := range []bool{false, true} {
						out = append(out, Case{Size: size, Number: len(out), timing: timing, writeLoss: loss, event: event, outageQuarters: quarters, newLeader: newLeader, Jobs: defaultJobs})
					}
				}
			}
		}
	}
	return out
}

// defaultJobs is the number of jobs of the cases of AllCases.
const defaultJobs = 24

// outageStart returns the time at which the outage begins.
func (c Case) outageStart() int64 {
	if c.newLeader {
		return refusalStart + longOutageDelay
	}
	return refusalStart + outageDelay
}

func (c Case) outageDuration() int64 { return int64(c.outageQuarters) * cancelS / 4 * second }

// deployment returns the case's deployment, with jobs that run longer than the outage.
func (c Case) deployment() environment.Config {
	cfg := cases.Deployment{
		Size:            c.Size,
		Seed:            uint64(c.Number + 1),
		LeaseS:          leaseS,
		CancelS:         cancelS,
		StateRPS:        200 + float64(c.Jobs),
		StateWriteRPS:   60 + 10*float64(c.Jobs),
		StateTxnOps:     20,
		ListLagS:        4,
		FetchRate:       1,
		BootS:           15,
		MachinesPerZone: max(4, c.Jobs/6),
		CapacityPerZone: max(6, c.Jobs/5),
	}.Config()
	cfg.Params.Teams = []config.Team{{Name: "red"}}
	cfg.Length = c.outageStart() + c.outageDuration() + taskDuration + 60*second + int64(c.Jobs)*second/30
	for i := range c.Jobs {
		job := environment.Job{At: 2*second + int64(i)*min(200_000, 10*second/int64(c.Jobs)), Run: taskDuration, Spec: wire.Job{
			ID: fmt.Sprintf("job-%02d", i), Class: "long", Team: "red", Kind: wire.Array, Tasks: 2, CPUs: 1, MemGB: 1,
			Priority: "normal", Image: "im", ImageGB: 1, EstimateS: float64(taskDuration) / 1e6,
		}}
		if i%4 == 1 {
			job.Spec.Kind = wire.Gang
		}
		if i%3 != 0 {
			job.Cancel = c.outageStart() - c.timing.beforeOutage + int64(i)*c.timing.interval
		}
		cfg.Jobs = append(cfg.Jobs, job)
	}
	return cfg
}

// Result is the result of a case.
type Result struct {
	Violations []string
	Unfinished []string
	// Killed is the number of tasks that were not cancelled and that ended because the lease
	// of their machine expired. Confirmed is the number of jobs whose cancellation was
	// confirmed to a user between the start of the refusal and the end of the outage.
	// LostWrites is the number of writes that were lost.
	Killed, Confirmed, LostWrites int
	mayLoseTasks                  bool
}

// HasViolations reports whether the history violates a rule.
func (r Result) HasViolations() bool { return len(r.Violations) > 0 }

// Shortfall describes the first unmet requirement, "" if all are met.
func (r Result) Shortfall() string {
	switch {
	case len(r.Violations) > 0:
		return fmt.Sprintf("rules violated: %v", r.Violations)
	case len(r.Unfinished) > 0:
		return fmt.Sprintf("jobs unfinished at the end: %v", r.Unfinished)
	case r.Killed > 0 && !r.mayLoseTasks:
		return fmt.Sprintf("%d tasks that were not cancelled ended when their lease expired", r.Killed)
	}
	return ""
}

// Run runs a case. If log is not nil, it receives the log records of the controllers.
func Run(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	run := caseRun{Case: c, losses: c.losses()}
	options := faketime.Options{Operators: ops, Log: log, Legacy: c.isLegacy, OnStart: run.schedule}
	cluster, err := faketime.Run(c.deployment(), options)
	if err = cmp.Or(err, run.failed); err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	return run.evaluate(cluster), nil
}

// losses returns the losses to inject for the writes of cancellations.
func (c Case) losses() (losses []*environment.TransactionLoss) {
	if c.writeLoss == nil {
		return nil
	}
	for range c.Jobs {
		loss := *c.writeLoss
		loss.Prefix = core.Prefix + "end/"
		losses = append(losses, &loss)
	}
	return losses
}

// caseRun is the state of a running case.
type caseRun struct {
	Case
	losses []*environment.TransactionLoss
	failed error
}

// schedule schedules the faults of the case.
func (r *caseRun) schedule(cluster *faketime.Cluster) {
	cluster.After(refusalStart-2*second, func() {
		for _, loss := range r.losses {
			cluster.ScheduleFaults(&r.failed, environment.Fault{Kind: environment.FaultStateLose, TransactionLoss: loss})
		}
	})
	cluster.After(refusalStart, func() {
		cluster.ScheduleFaults(&r.failed, environment.Fault{Kind: environment.FaultStateRefuse, Hosts: cluster.LeaderFirst()[:1], Duration: refusalDuration})
	})
	cluster.After(r.outageStart(), func() {
		cluster.ScheduleFaults(&r.failed, environment.Fault{Kind: environment.FaultStateOutage, Duration: r.outageDuration()})
	})
	cluster.After(r.outageStart()+r.event.at, func() { cluster.ScheduleFaults(&r.failed, r.event.faults(cluster.LeaderFirst())...) })
}

func (r *caseRun) evaluate(cluster *faketime.Cluster) Result {
	result := Result{
		Violations:   cluster.Violations(),
		Unfinished:   cluster.Environment.Unfinished(),
		mayLoseTasks: r.event.mayLoseTasks,
	}
	for _, loss := range r.losses {
		result.LostWrites += loss.Matched
	}
	cancelled, confirmed := map[string]bool{}, map[string]bool{}
	for _, j := range cluster.Config.Jobs {
		cancelled[j.Spec.ID] = j.Cancel > 0
	}
	for i := range cluster.History {
		switch e := &cluster.History[i]; {
		case e.Kind == history.ResponseReceived && e.State == wire.Cancelled && e.At >= refusalStart && e.At < r.outageStart()+r.outageDuration():
			confirmed[e.Job] = true
		case e.Kind == history.TaskLeft && e.Reason == "lease" && !cancelled[e.Job]:
			result.Killed++
		}
	}
	result.Confirmed = len(confirmed)
	return result
}

// isLegacy reports whether a controller runs a program without read leases. In legacy cases
// this is the last controller, which does not lead in them.
func (c Case) isLegacy(node string) bool {
	return c.Legacy && node == environment.ControllerName(c.Size-1)
}
