// Package gaps enumerates days on which the state service refuses the leader
// alone, users are told of cancellations by other controllers, and then the state
// service is down for all, for up to three times as long as a cancellation may
// take. They are played in fake time and judged by all rules; and what was not
// cancelled is to go on running, as far as that can be.
package gaps

import (
	"fmt"
	"log/slog"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/fake"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

const second = config.Second

const (
	begins   = 60 * second // when the leader is refused
	refused  = 14 * second
	lead     = 2 * second // from then until the outage, less than the leader's lease
	longLead = 7 * second // the same, so that another leads by then
	cancelS  = 26         // three times this is less than users are kept waiting for
	leaseS   = 11
	run      = 200 * second // longer than until the longest outage is over
)

// moment is when users cancel: so long before the outage, and so far apart.
type moment struct {
	name  string
	early int64
	apart int64
}

var moments = []moment{
	{"before the refusal", lead + second, 20_000},
	{"while the leader is refused", lead - second/5, 100_000},
	{"as the outage begins", 60_000, 6_000},
	{"in the outage", -5 * second, 500_000},
}

// fates are how the state service treats the writes of cancellations.
var fates = []*world.Lose{nil, {How: "after"}, {How: "late", Late: second}}

// event is what befalls the controllers in the outage. The leader is first.
type event struct {
	name string
	at   int64 // since the outage began, or before if it is negative
	does func(nodes []string) []world.Fault
	// loses: work on machines can't all be kept, as nobody may answer for it.
	loses bool
}

var events = []event{
	{"nothing else happens", 0, func([]string) []world.Fault { return nil }, false},
	{"another crashes", second, func(n []string) []world.Fault { return []world.Fault{{Kind: "crash", Hosts: n[1:2]}} }, false},
	{"another is back at once", second, func(n []string) []world.Fault {
		return []world.Fault{{Kind: "crash", Hosts: n[1:2], For: 200_000}}
	}, false},
	{"another crashes late, and once more", 14 * second, func(n []string) []world.Fault {
		last := n[len(n)-1:]
		return []world.Fault{{Kind: "crash", Hosts: last}, {At: 6 * second, Kind: "crash", Hosts: last, For: 200_000}}
	}, false},
	{"all others are back at once, as the outage begins", 20_000, func(n []string) []world.Fault {
		return []world.Fault{{Kind: "crash", Hosts: n[1:], For: 200_000}}
	}, true}, // nobody can have vouched for them before
	{"another crashes while it is cut from the leader", 4 * second, func(n []string) []world.Fault {
		return []world.Fault{{Kind: "cut", Hosts: n[:1], To: n[1:2], For: 16 * second, Cutting: world.Cutting{Reset: true}}, {At: 15 * second, Kind: "crash", Hosts: n[1:2], For: 200_000}}
	}, true},
	{"the leader is cut from another", second, func(n []string) []world.Fault {
		return []world.Fault{{Kind: "cut", Hosts: n[:1], To: n[1:2], For: 60 * second}}
	}, true},
	{"the leader is deaf to another", second, func(n []string) []world.Fault {
		return []world.Fault{{Kind: "cut", Hosts: n[1:2], To: n[:1], For: 60 * second, Cutting: world.Cutting{OneWay: true}}}
	}, true},
	{"the others were cut from the leader before, and crash", -lead - second, func(n []string) []world.Fault {
		return []world.Fault{{Kind: "cut", Hosts: n[:1], To: n[1:], For: 16 * second, Cutting: world.Cutting{Reset: true}}, {At: 14 * second, Kind: "crash", Hosts: n[1:], For: 200_000}}
	}, true},
	{"a roll begins", second, func([]string) []world.Fault { return []world.Fault{{Kind: "roll", For: 6 * second}} }, true},
	{"a third of the machines is deaf", second, func([]string) []world.Fault {
		return []world.Fault{{Kind: "machine_deaf", Share: 0.34, For: 40 * second}}
	}, true},
	{"the leader is back at once", second, func(n []string) []world.Fault {
		return []world.Fault{{Kind: "crash", Hosts: n[:1], For: 200_000}}
	}, true}, // nobody can lead in an outage
}

// Case is one such day.
type Case struct {
	Size   int
	Number int
	moment moment
	fate   *world.Lose
	event  event
	// length is the outage's in quarters of cancel_s, taken says that another
	// controller leads before it begins.
	length int
	taken  bool
	// Jobs is how many there are; two of three are cancelled.
	Jobs int
	// Old: one of the others runs a program from before controllers vouched.
	Old bool
}

func (c Case) String() string {
	s := fmt.Sprintf("%d controllers, cancelled %s", c.Size, c.moment.name)
	if c.fate != nil {
		s += ", writes executed " + c.fate.How + " their answers' loss"
	}
	if c.taken {
		s += ", after a hand-over"
	}
	if c.Jobs != usual {
		s += fmt.Sprintf(", %d jobs", c.Jobs)
	}
	if c.Old {
		s += ", beside an older program"
	}
	return s + fmt.Sprintf(", an outage of %.1f cancel_s in which %s", float64(c.length)/4, c.event.name)
}

// All are the cases of a size.
func All(size int) (out []Case) {
	for _, e := range events {
		for _, m := range moments {
			for _, f := range fates {
				for _, l := range []int{2, 4, 6, 12} {
					for _, taken := range []bool{false, true} {
						out = append(out, Case{Size: size, Number: len(out), moment: m, fate: f, event: e, length: l, taken: taken, Jobs: usual})
					}
				}
			}
		}
	}
	return out
}

// usual is how many jobs a day has.
const usual = 24

// Many is a day of a size with so many jobs, in which they are cancelled in the
// second before a long outage, by writes that get no answer if unanswered is set.
func Many(size, jobs int, unanswered bool) Case {
	m := moments[1]
	m.apart = int64(lead) / 2 / int64(jobs)
	c := Case{Size: size, Number: jobs, moment: m, event: events[0], length: 8, Jobs: jobs}
	if unanswered {
		c.fate = &world.Lose{How: "after"}
	}
	return c
}

// Beside is a case with an older program beside the leader.
func Beside(c Case) Case {
	c.Old, c.event.loses = true, true // which vouches for nothing
	return c
}

// outage is when the outage begins.
func (c Case) outage() int64 {
	if c.taken {
		return begins + longLead
	}
	return begins + lead
}

func (c Case) lasts() int64 { return int64(c.length) * cancelS / 4 * second }

var zones = []string{"a", "b"}

func (c Case) deployment() world.Config {
	var cfg world.Config
	p := &cfg.Params
	p.Size, p.Zones, p.Teams = c.Size, zones, []config.Team{{Name: "red"}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2.5, leaseS, 30, 4, cancelS
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 200+float64(c.Jobs), 60+10*float64(c.Jobs), 8, 20
	p.Cloud.RPS, p.Cloud.ListLagS = 3, 4
	p.ClockErrorMS = 500
	cfg.Seed, cfg.Restart, cfg.StateDelay, cfg.CloudDelay, cfg.Drift = uint64(c.Number+1), 4*second, 3000, 50_000, 0.0005
	cfg.Types = []wire.MachineType{{Name: "m", CPUs: 8, MemGB: 32, FetchRate: 1, CacheGB: 50, BootS: 15, Price: 1, SpotPrice: 0.4, Zones: zones}}
	for _, z := range zones {
		cfg.Machines = append(cfg.Machines, world.Machines{Type: "m", Zone: z, Count: max(4, c.Jobs/6)})
		cfg.Capacity = append(cfg.Capacity, world.Capacity{Type: "m", Zone: z, Count: max(6, c.Jobs/5)})
	}
	cfg.Length = c.outage() + c.lasts() + run + 60*second + int64(c.Jobs)*second/30
	for i := range c.Jobs {
		j := world.Job{At: 2*second + int64(i)*min(200_000, 10*second/int64(c.Jobs)), Run: run, Spec: wire.Job{ID: fmt.Sprintf("job-%02d", i), Class: "long", Team: "red", Kind: wire.Array, Tasks: 2, CPUs: 1, MemGB: 1,
			Priority: "normal", Image: "im", ImageGB: 1, EstimateS: float64(run) / 1e6}}
		if i%4 == 1 {
			j.Spec.Kind = wire.Gang
		}
		if i%3 != 0 {
			j.Cancel = c.outage() - c.moment.early + int64(i)*c.moment.apart
		}
		cfg.Jobs = append(cfg.Jobs, j)
	}
	return cfg
}

// Result is how a case went.
type Result struct {
	Breaches []string
	Left     []string
	// Killed are tasks that nobody cancelled and that their machines' leases
	// ended; Told is how many jobs were called cancelled from the refusal on
	// until the outage's end, Lost how many writes were met by their fate.
	Killed, Told, Lost int
	loses              bool
}

// Short says what falls short of what there should be, "" if nothing does.
func (r *Result) Short() string {
	switch {
	case len(r.Breaches) > 0:
		return fmt.Sprintf("broken: %v", r.Breaches)
	case len(r.Left) > 0:
		return fmt.Sprintf("not over at the end: %v", r.Left)
	case r.Killed > 0 && !r.loses:
		return fmt.Sprintf("%d tasks that nobody cancelled ended with their lease", r.Killed)
	}
	return ""
}

// Play plays a case; log gets what controllers write, if it is not nil.
func Play(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	cfg := c.deployment()
	r := Result{loses: c.event.loses}
	var failed error

	var fates []*world.Lose
	if c.fate != nil {
		for range c.Jobs {
			l := *c.fate
			l.Prefix = core.Prefix + "end/"
			fates = append(fates, &l)
		}
	}
	cl, err := fake.Run(cfg, fake.Options{Operators: ops, Log: log, Plain: c.plain, Begin: func(cl *fake.Cluster) {
		cl.After(begins-2*second, func() {
			for _, l := range fates {
				cl.BefallLater(&failed, world.Fault{Kind: "state_lose", Lose: l})
			}
		})
		cl.After(begins, func() {
			cl.BefallLater(&failed, world.Fault{Kind: "state_refuse", Hosts: cl.LeaderFirst()[:1], For: refused})
		})
		cl.After(c.outage(), func() {
			cl.BefallLater(&failed, world.Fault{Kind: "state_outage", For: c.lasts()})
		})
		cl.After(c.outage()+c.event.at, func() { cl.BefallLater(&failed, c.event.does(cl.LeaderFirst())...) })
	}})
	if err == nil {
		err = failed
	}
	if err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	for _, b := range history.Judge(cl.History, cl.Terms()) {
		r.Breaches = append(r.Breaches, b.String())
	}
	r.Left = cl.World.Unfinished()
	for _, l := range fates {
		r.Lost += l.Done
	}
	told, cancelled := map[string]bool{}, map[string]bool{}
	for _, j := range cfg.Jobs {
		cancelled[j.Spec.ID] = j.Cancel > 0
	}
	for _, e := range cl.History {
		switch {
		case e.Kind == history.Told && e.State == wire.Withdrawn && e.At >= begins && e.At < c.outage()+c.lasts():
			told[e.Job] = true
		case e.Kind == history.Left && e.Why == "lease" && !cancelled[e.Job]:
			r.Killed++
		}
	}
	r.Told = len(told)
	return r, nil
}

// plain says which controllers run a program from before they vouched: the second,
// unless it leads, which is judged by its name as the days are the same.
func (c Case) plain(node string) bool { return c.Old && node == world.NodeName(c.Size-1) }
