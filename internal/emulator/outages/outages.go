// Package outages enumerates runs in which the state service refuses the leader alone, other
// controllers confirm cancellations to users, and then the state service is down for all,
// for up to three times as long as a cancellation may take. They run in simulated time, and
// their histories are checked against all rules; jobs that were not cancelled have to keep
// running as far as that is possible.
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
	refusalStart    = 60 * second // when the state service begins to refuse the leader
	refusalDuration = 14 * second
	outageDelay     = 2 * second // from then until the outage, less than the leader's lease
	longOutageDelay = 7 * second // the same, so that another leads by then
	cancelS         = 26         // three times this is less than users are kept waiting for
	leaseS          = 11
	taskDuration    = 200 * second // longer than until the longest outage is over
)

// cancelTiming is when users cancel: so long before the outage, and so far apart.
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

// writeLosses are how the state service treats the writes of cancellations.
var writeLosses = []*environment.TransactionLoss{nil, {Outcome: environment.LostAfter}, {Outcome: environment.LostLate, Delay: second}}

// controllerEvent is what happens to the controllers in the outage. The leader comes first.
type controllerEvent struct {
	name   string
	at     int64 // since the outage began, or before if it is negative
	faults func(nodes []string) []environment.Fault
	// mayLoseTasks: not all tasks can be kept, as no controller may answer heartbeats.
	mayLoseTasks bool
}

var controllerEvents = []controllerEvent{
	{"nothing else happens", 0, func([]string) []environment.Fault { return nil }, false},
	{"another crashes", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[1:2]}}
	}, false},
	{"another is back at once", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[1:2], Duration: 200_000}}
	}, false},
	{"another crashes late, and once more", 14 * second, func(n []string) []environment.Fault {
		last := n[len(n)-1:]
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: last}, {At: 6 * second, Kind: environment.FaultCrash, Hosts: last, Duration: 200_000}}
	}, false},
	{"all others are back at once, as the outage begins", 20_000, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[1:], Duration: 200_000}}
	}, true}, // nobody can have granted them a read lease before
	{"another crashes while it is cut from the leader", 4 * second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[:1], To: n[1:2], Duration: 16 * second, PartitionMode: environment.PartitionMode{Reset: true}}, {At: 15 * second, Kind: environment.FaultCrash, Hosts: n[1:2], Duration: 200_000}}
	}, true},
	{"the leader is cut from another", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[:1], To: n[1:2], Duration: 60 * second}}
	}, true},
	{"the leader is deaf to another", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[1:2], To: n[:1], Duration: 60 * second, PartitionMode: environment.PartitionMode{OneWay: true}}}
	}, true},
	{"the others were cut from the leader before, and crash", -outageDelay - second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[:1], To: n[1:], Duration: 16 * second, PartitionMode: environment.PartitionMode{Reset: true}}, {At: 14 * second, Kind: environment.FaultCrash, Hosts: n[1:], Duration: 200_000}}
	}, true},
	{"a roll begins", second, func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultRoll, Duration: 6 * second}}
	}, true},
	{"a third of the machines is deaf", second, func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineDeaf, Share: 0.34, Duration: 40 * second}}
	}, true},
	{"the leader is back at once", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[:1], Duration: 200_000}}
	}, true}, // nobody can lead in an outage
}

// ID is the case's number.
func (c Case) ID() uint64 { return uint64(c.Number) }

// Case is one such run.
type Case struct {
	Size      int
	Number    int
	timing    cancelTiming
	writeLoss *environment.TransactionLoss
	event     controllerEvent
	// quarters is the length of the outage in quarters of cancel_s, newLeader says that
	// another controller leads before it begins.
	quarters  int
	newLeader bool
	// Jobs is how many there are; two of three are cancelled.
	Jobs int
	// Legacy: one of the followers runs a program without read leases.
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
	return s + fmt.Sprintf(", an outage of %.1f cancel_s in which %s", float64(c.quarters)/4, c.event.name)
}

// AllCases are the cases of a size.
func AllCases(size int) (out []Case) {
	for _, e := range controllerEvents {
		for _, m := range cancelTimings {
			for _, f := range writeLosses {
				for _, l := range []int{2, 4, 6, 12} {
					for _, taken := range []bool{false, true} {
						out = append(out, Case{Size: size, Number: len(out), timing: m, writeLoss: f, event: e, quarters: l, newLeader: taken, Jobs: defaultJobs})
					}
				}
			}
		}
	}
	return out
}

// defaultJobs is how many jobs a case has.
const defaultJobs = 24

// outageStart is when the outage begins.
func (c Case) outageStart() int64 {
	if c.newLeader {
		return refusalStart + longOutageDelay
	}
	return refusalStart + outageDelay
}

func (c Case) outageDuration() int64 { return int64(c.quarters) * cancelS / 4 * second }

// deployment is that of the case, with jobs that run for longer than the outage.
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
		j := environment.Job{At: 2*second + int64(i)*min(200_000, 10*second/int64(c.Jobs)), Run: taskDuration, Spec: wire.Job{
			ID: fmt.Sprintf("job-%02d", i), Class: "long", Team: "red", Kind: wire.Array, Tasks: 2, CPUs: 1, MemGB: 1,
			Priority: "normal", Image: "im", ImageGB: 1, EstimateS: float64(taskDuration) / 1e6,
		}}
		if i%4 == 1 {
			j.Spec.Kind = wire.Gang
		}
		if i%3 != 0 {
			j.Cancel = c.outageStart() - c.timing.beforeOutage + int64(i)*c.timing.interval
		}
		cfg.Jobs = append(cfg.Jobs, j)
	}
	return cfg
}

// Result is how a case went.
type Result struct {
	Violations []string
	Unfinished []string
	// Killed are tasks that nobody cancelled and that ended with the leases of their
	// machines; Confirmed is how many jobs users had an answer of as cancelled from the
	// refusal on until the outage's end, LostWrites how many writes were lost.
	Killed, Confirmed, LostWrites int
	mayLoseTasks                  bool
}

// HasViolations says whether the history violates a rule.
func (r Result) HasViolations() bool { return len(r.Violations) > 0 }

// Shortfall says what falls short of what is required, "" if nothing does.
func (r Result) Shortfall() string {
	switch {
	case len(r.Violations) > 0:
		return fmt.Sprintf("broken: %v", r.Violations)
	case len(r.Unfinished) > 0:
		return fmt.Sprintf("not over at the end: %v", r.Unfinished)
	case r.Killed > 0 && !r.mayLoseTasks:
		return fmt.Sprintf("%d tasks that nobody cancelled ended with their lease", r.Killed)
	}
	return ""
}

// Run runs a case; log gets what controllers log, if it is not nil.
func Run(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	run := caseRun{Case: c, losses: c.losses()}
	options := faketime.Options{Operators: ops, Log: log, Legacy: c.isLegacy, OnStart: run.schedule}
	cl, err := faketime.Run(c.deployment(), options)
	if err = cmp.Or(err, run.failed); err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	return run.evaluate(cl), nil
}

// losses are the losses of the writes of cancellations.
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

// caseRun is a case that is running.
type caseRun struct {
	Case
	losses []*environment.TransactionLoss
	failed error
}

// schedule schedules the faults.
func (r *caseRun) schedule(cl *faketime.Cluster) {
	cl.After(refusalStart-2*second, func() {
		for _, loss := range r.losses {
			cl.ScheduleFaults(&r.failed, environment.Fault{Kind: environment.FaultStateLose, TransactionLoss: loss})
		}
	})
	cl.After(refusalStart, func() {
		cl.ScheduleFaults(&r.failed, environment.Fault{Kind: environment.FaultStateRefuse, Hosts: cl.LeaderFirst()[:1], Duration: refusalDuration})
	})
	cl.After(r.outageStart(), func() {
		cl.ScheduleFaults(&r.failed, environment.Fault{Kind: environment.FaultStateOutage, Duration: r.outageDuration()})
	})
	cl.After(r.outageStart()+r.event.at, func() { cl.ScheduleFaults(&r.failed, r.event.faults(cl.LeaderFirst())...) })
}

func (r *caseRun) evaluate(cl *faketime.Cluster) Result {
	result := Result{
		Violations:   cl.Violations(),
		Unfinished:   cl.Environment.Unfinished(),
		mayLoseTasks: r.event.mayLoseTasks,
	}
	for _, loss := range r.losses {
		result.LostWrites += loss.Matched
	}
	cancelled, confirmed := map[string]bool{}, map[string]bool{}
	for _, j := range cl.Config.Jobs {
		cancelled[j.Spec.ID] = j.Cancel > 0
	}
	for i := range cl.History {
		switch e := &cl.History[i]; {
		case e.Kind == history.ResponseReceived && e.State == wire.Cancelled && e.At >= refusalStart && e.At < r.outageStart()+r.outageDuration():
			confirmed[e.Job] = true
		case e.Kind == history.TaskLeft && e.Reason == "lease" && !cancelled[e.Job]:
			result.Killed++
		}
	}
	result.Confirmed = len(confirmed)
	return result
}

// isLegacy says which controllers run a program without read leases: the last, which does
// not lead in these cases.
func (c Case) isLegacy(node string) bool {
	return c.Legacy && node == environment.ControllerName(c.Size-1)
}
