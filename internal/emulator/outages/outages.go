// Package outages enumerates runs in which the state service refuses the leader alone, other
// controllers confirm cancellations to users, and then the state service is down for all,
// for up to three times as long as a cancellation may take. They run in simulated time, and
// their histories are checked against all rules; jobs that were not cancelled have to keep
// running as far as that is possible.
package outages

import (
	"fmt"
	"log/slog"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const second = config.Second

const (
	refusalStart    = 60 * second // when the leader is refused
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
var writeLosses = []*environment.TransactionLoss{nil, {Outcome: "after"}, {Outcome: "late", Delay: second}}

// controllerEvent is what befalls the controllers in the outage. The leader is first.
type controllerEvent struct {
	name   string
	at     int64 // since the outage began, or before if it is negative
	faults func(nodes []string) []environment.Fault
	// mayLoseTasks: work on machines can't all be kept, as nobody may answer for it.
	mayLoseTasks bool
}

var controllerEvents = []controllerEvent{
	{"nothing else happens", 0, func([]string) []environment.Fault { return nil }, false},
	{"another crashes", second, func(n []string) []environment.Fault { return []environment.Fault{{Kind: "crash", Hosts: n[1:2]}} }, false},
	{"another is back at once", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "crash", Hosts: n[1:2], Duration: 200_000}}
	}, false},
	{"another crashes late, and once more", 14 * second, func(n []string) []environment.Fault {
		last := n[len(n)-1:]
		return []environment.Fault{{Kind: "crash", Hosts: last}, {At: 6 * second, Kind: "crash", Hosts: last, Duration: 200_000}}
	}, false},
	{"all others are back at once, as the outage begins", 20_000, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "crash", Hosts: n[1:], Duration: 200_000}}
	}, true}, // nobody can have vouched for them before
	{"another crashes while it is cut from the leader", 4 * second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "cut", Hosts: n[:1], To: n[1:2], Duration: 16 * second, PartitionMode: environment.PartitionMode{Reset: true}}, {At: 15 * second, Kind: "crash", Hosts: n[1:2], Duration: 200_000}}
	}, true},
	{"the leader is cut from another", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "cut", Hosts: n[:1], To: n[1:2], Duration: 60 * second}}
	}, true},
	{"the leader is deaf to another", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "cut", Hosts: n[1:2], To: n[:1], Duration: 60 * second, PartitionMode: environment.PartitionMode{OneWay: true}}}
	}, true},
	{"the others were cut from the leader before, and crash", -outageDelay - second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "cut", Hosts: n[:1], To: n[1:], Duration: 16 * second, PartitionMode: environment.PartitionMode{Reset: true}}, {At: 14 * second, Kind: "crash", Hosts: n[1:], Duration: 200_000}}
	}, true},
	{"a roll begins", second, func([]string) []environment.Fault { return []environment.Fault{{Kind: "roll", Duration: 6 * second}} }, true},
	{"a third of the machines is deaf", second, func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "machine_deaf", Share: 0.34, Duration: 40 * second}}
	}, true},
	{"the leader is back at once", second, func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "crash", Hosts: n[:1], Duration: 200_000}}
	}, true}, // nobody can lead in an outage
}

// Case is one such day.
type Case struct {
	Size      int
	Number    int
	timing    cancelTiming
	writeLoss *environment.TransactionLoss
	event     controllerEvent
	// quarters is the outage's in quarters of cancel_s, taken says that another
	// controller leads before it begins.
	quarters  int
	newLeader bool
	// Jobs is how many there are; two of three are cancelled.
	Jobs int
	// Legacy: one of the others runs a program from before controllers vouched.
	Legacy bool
}

func (c Case) String() string {
	s := fmt.Sprintf("%d controllers, cancelled %s", c.Size, c.timing.name)
	if c.writeLoss != nil {
		s += ", writes executed " + c.writeLoss.Outcome + " their answers' loss"
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

// defaultJobs is how many jobs a day has.
const defaultJobs = 24

// ManyJobs is a day of a size with so many jobs, in which they are cancelled in the
// second before a long outage, by writes that get no answer if unanswered is set.
func ManyJobs(size, jobs int, unanswered bool) Case {
	m := cancelTimings[1]
	m.interval = outageDelay / 2 / int64(jobs)
	c := Case{Size: size, Number: jobs, timing: m, event: controllerEvents[0], quarters: 8, Jobs: jobs}
	if unanswered {
		c.writeLoss = &environment.TransactionLoss{Outcome: "after"}
	}
	return c
}

// WithLegacyController is a case with an older program beside the leader.
func WithLegacyController(c Case) Case {
	c.Legacy, c.event.mayLoseTasks = true, true // which vouches for nothing
	return c
}

// outageStart is when the outage begins.
func (c Case) outageStart() int64 {
	if c.newLeader {
		return refusalStart + longOutageDelay
	}
	return refusalStart + outageDelay
}

func (c Case) outageDuration() int64 { return int64(c.quarters) * cancelS / 4 * second }

var zones = []string{"a", "b"}

func (c Case) deployment() environment.Config {
	var cfg environment.Config
	p := &cfg.Params
	p.Size, p.Zones, p.Teams = c.Size, zones, []config.Team{{Name: "red"}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2.5, leaseS, 30, 4, cancelS
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 200+float64(c.Jobs), 60+10*float64(c.Jobs), 8, 20
	p.Cloud.RPS, p.Cloud.ListLagS = 3, 4
	p.ClockErrorMS = 500
	cfg.Seed, cfg.RestartTime, cfg.StateDelay, cfg.CloudDelay, cfg.ClockDrift = uint64(c.Number+1), 4*second, 3000, 50_000, 0.0005
	cfg.Types = []wire.MachineType{{Name: "m", CPUs: 8, MemGB: 32, FetchRate: 1, CacheGB: 50, BootS: 15, Price: 1, SpotPrice: 0.4, Zones: zones}}
	for _, z := range zones {
		cfg.Machines = append(cfg.Machines, environment.Machines{Type: "m", Zone: z, Count: max(4, c.Jobs/6)})
		cfg.Capacity = append(cfg.Capacity, environment.Capacity{Type: "m", Zone: z, Count: max(6, c.Jobs/5)})
	}
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
	// Killed are tasks that nobody cancelled and that their machines' leases
	// ended; Told is how many jobs were called cancelled from the refusal on
	// until the outage's end, Lost how many writes were met by their fate.
	Killed, Confirmed, LostWrites int
	mayLoseTasks                  bool
}

// Shortfall says what falls short of what there should be, "" if nothing does.
func (r *Result) Shortfall() string {
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

// Run plays a case; log gets what controllers write, if it is not nil.
func Run(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	cfg := c.deployment()
	r := Result{mayLoseTasks: c.event.mayLoseTasks}
	var failed error

	var fates []*environment.TransactionLoss
	if c.writeLoss != nil {
		for range c.Jobs {
			l := *c.writeLoss
			l.Prefix = core.Prefix + "end/"
			fates = append(fates, &l)
		}
	}
	cl, err := faketime.Run(cfg, faketime.Options{Operators: ops, Log: log, Legacy: c.isLegacy, OnStart: func(cl *faketime.Cluster) {
		cl.After(refusalStart-2*second, func() {
			for _, l := range fates {
				cl.ScheduleFaults(&failed, environment.Fault{Kind: "state_lose", TransactionLoss: l})
			}
		})
		cl.After(refusalStart, func() {
			cl.ScheduleFaults(&failed, environment.Fault{Kind: "state_refuse", Hosts: cl.LeaderFirst()[:1], Duration: refusalDuration})
		})
		cl.After(c.outageStart(), func() {
			cl.ScheduleFaults(&failed, environment.Fault{Kind: "state_outage", Duration: c.outageDuration()})
		})
		cl.After(c.outageStart()+c.event.at, func() { cl.ScheduleFaults(&failed, c.event.faults(cl.LeaderFirst())...) })
	}})
	if err == nil {
		err = failed
	}
	if err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	for _, b := range history.CheckAll(cl.History, cl.Expectations()) {
		r.Violations = append(r.Violations, b.String())
	}
	r.Unfinished = cl.Environment.Unfinished()
	for _, l := range fates {
		r.LostWrites += l.Matched
	}
	told, cancelled := map[string]bool{}, map[string]bool{}
	for _, j := range cfg.Jobs {
		cancelled[j.Spec.ID] = j.Cancel > 0
	}
	for _, e := range cl.History {
		switch {
		case e.Kind == history.ResponseReceived && e.State == wire.Cancelled && e.At >= refusalStart && e.At < c.outageStart()+c.outageDuration():
			told[e.Job] = true
		case e.Kind == history.TaskLeft && e.Reason == "lease" && !cancelled[e.Job]:
			r.Killed++
		}
	}
	r.Confirmed = len(told)
	return r, nil
}

// isLegacy says which controllers run a program from before they vouched: the second,
// unless it leads, which is judged by its name as the days are the same.
func (c Case) isLegacy(node string) bool {
	return c.Legacy && node == environment.ControllerName(c.Size-1)
}
