// Package troubles enumerates what may go wrong beside crashes and cuts:
// machines that are heard and do not hear, copies of reports that come late,
// controllers that only workers reach, and processes and machines that are back
// at once. Each is played in fake time, alone and in pairs, with something else
// inside, on a day with every kind of job, and judged by all rules.
package troubles

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/fake"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

const second = config.Second

// Trouble is one that a day may have. Begin is called with the controllers, the
// leader first, and returns what befalls them.
type trouble struct {
	name  string
	begin func(nodes []string) []world.Fault
	// again is called several times, so long apart, with the controllers as they are
	// then, and the number of the time.
	again func(nodes []string, i int) []world.Fault
	times int
	every int64
	// load changes the deployment or adds to what comes, if it is set.
	load func(*day)
	// scarce: there is more work than room, so that not all of it is served.
	scarce bool
	// outage: the state service is down for almost all of it.
	outage bool
	// met is what the trouble has to have brought about, least how often at least.
	met   string
	least int
}

// lasts is how long a trouble goes on, longer than two leases.
const lasts = 40 * second

// again lets a fault come several times, each a little longer than the last.
func again(times int, hosts ...string) (l []world.Fault) {
	away := []int64{50_000, 200_000, 1_000_000, 400_000, 100_000}
	at := int64(0)
	for i := range times {
		l = append(l, world.Fault{At: at, Kind: "crash", Hosts: hosts, For: away[i%len(away)]})
		at += away[i%len(away)] + 900_000
	}
	return l
}

// apart cuts a controller off from the state service and the other controllers.
func apart(node string, how world.Cutting) []world.Fault {
	return []world.Fault{{Kind: "cut", For: lasts, Hosts: []string{node}, To: []string{world.StateHost, "controllers"}, Cutting: how}}
}

var first = []trouble{
	{name: "a third of the machines is deaf, orders held", begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "machine_deaf", Share: 0.34, For: lasts}}
	}},
	{name: "a third of the machines is deaf, orders broken", begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "machine_deaf", Share: 0.34, For: lasts, Cutting: world.Cutting{Reset: true}}}
	}},
	{name: "a third of the machines is deaf to the leader", begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "cut", For: lasts, Hosts: n[:1], To: []string{"workers:a"}, Cutting: world.Cutting{OneWay: true}}}
	}},
	{name: "copies of reports", begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "report_copies", Share: 0.5, Factor: 3, For: lasts}}
	}},
	{name: "the leader has only its workers", begin: func(n []string) []world.Fault { return apart(n[0], world.Cutting{}) }},
	{name: "another has only its workers", begin: func(n []string) []world.Fault { return apart(n[1], world.Cutting{Reset: true}) }},
	{name: "machines are back at once", begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "machine_back", Share: 0.25, For: 200_000}, {At: 9 * second, Kind: "machine_back", Share: 0.25, For: 50_000}}
	}},
	{name: "machines are back at once and count anew", begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "machine_anew", Share: 0.25, For: 200_000}, {At: 9 * second, Kind: "machine_anew", Share: 0.25, For: second}}
	}},
	{name: "the leader is back at once", begin: func(n []string) []world.Fault { return again(1, n[0]) }},
	{name: "the leader is back at once, five times", begin: func(n []string) []world.Fault { return again(5, n[0]) }},
	{name: "two are back at once, twice", begin: func(n []string) []world.Fault { return again(2, n[0], n[1]) }},
	{name: "writes are executed late", begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "late_writes", Share: 0.3, For: lasts}}
	}},
	{name: "renewals and dropped leases are executed late", begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "late_leases", Share: 0.3, For: lasts}, {Kind: "late_writes", Share: 0.1, For: lasts}}
	}},
	{name: "the leader is refused, and then all", begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "state_refuse", Hosts: n[:1], For: 6 * second}, {At: 2 * second, Kind: "state_outage", For: 20 * second}}
	}},
	{name: "the state service is slow", begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "state_slow", Factor: 100, For: lasts}}
	}},
	{name: "a third of the machines stands still, again and again", begin: func([]string) (l []world.Fault) {
		for i := range int64(5) {
			l = append(l, world.Fault{At: i * 7 * second, Kind: "machine_hang", Share: 0.34, For: 4*second + i*second/2})
		}
		return l
	}},
	{name: "a third of the machines can't be reached, and the leader ends", begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "machine_silent", Share: 0.34, For: 12 * second}, {At: second, Kind: "crash", Hosts: n[:1]},
			{At: 24 * second, Kind: "machine_silent", Share: 0.34, For: 12 * second}, {At: 25 * second, Kind: "crash", Hosts: n[:2]}}
	}},
	{name: "a third of the machines is deaf, and the leader ends", begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "machine_deaf", Share: 0.34, For: lasts}, {At: second, Kind: "crash", Hosts: n[:1]}}
	}},
	{name: "leading is handed over and back", begin: func(n []string) (l []world.Fault) {
		for i := range int64(4) {
			l = append(l, world.Fault{At: i * 9 * second, Kind: "cut", Hosts: n[i%2 : i%2+1], For: 8 * second})
		}
		return l
	}},
	{name: "leading is handed over and back within seconds", begin: func(n []string) (l []world.Fault) {
		for i := range int64(8) {
			l = append(l, world.Fault{At: i * 4 * second, Kind: "state_refuse", Hosts: n[i%2 : i%2+1], For: 3800 * second / 1000})
		}
		return l
	}},
	{name: "all end, and the first is back at once", begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "crash", Hosts: n[:1], For: 300_000}, {Kind: "crash", Hosts: n[1:], For: 25 * second}}
	}},
	{name: "all end, and another is back at once", begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "crash", Hosts: n[1:2], For: 50_000}, {Kind: "crash", Hosts: append(n[:1:1], n[2:]...), For: 25 * second}}
	}},
	{name: "all are back at once, five times", begin: func([]string) []world.Fault { return again(5, "all") }},
}

// inside is what else may happen 3 s after the troubles have begun.
var inside = []trouble{
	{name: ""},
	{name: "a take-over", begin: func(n []string) []world.Fault { return []world.Fault{{Kind: "crash", Hosts: n[:1]}} }},
	{name: "a standstill", begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "freeze", Hosts: n[:1], For: 8 * second}}
	}},
	{name: "the state service cut off", begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "cut", Hosts: n[:1], To: []string{world.StateHost}, For: 20 * second}}
	}},
	{name: "a roll", begin: func(n []string) []world.Fault { return []world.Fault{{Kind: "roll", For: 5 * second}} }},
}

// Case is a day with one or two troubles.
type Case struct {
	Size     int
	troubles []trouble
	with     trouble
	Seed     uint64
}

func (c Case) String() string {
	var l []string
	for _, t := range c.troubles {
		l = append(l, t.name)
	}
	s := fmt.Sprintf("%d controllers, %s", c.Size, strings.Join(l, " and "))
	if c.with.name != "" {
		s += ", with " + c.with.name
	}
	return s
}

// single says whether it has one of the later troubles and nothing else.
func (c Case) single() bool {
	return len(c.troubles) == 1 && c.with.name == "" && slices.ContainsFunc(later, func(t trouble) bool { return t.name == c.troubles[0].name })
}

// All are the cases of a size: each of the first troubles, then each pair of them,
// with each of what may happen inside; then the later ones.
func All(size int) (out []Case) {
	add := func(l ...trouble) {
		for _, w := range inside {
			out = append(out, Case{Size: size, troubles: l, with: w, Seed: uint64(len(out) + 1)})
		}
	}
	for _, t := range first {
		add(t)
	}
	for i, a := range first {
		for _, b := range first[i+1:] {
			add(a, b)
		}
	}
	for _, t := range later {
		add(t)
	}
	// Pairs with the later ones have one thing inside each, in turn.
	for i, a := range later {
		for _, b := range slices.Concat(first, later[i+1:]) {
			out = append(out, Case{Size: size, troubles: []trouble{a, b}, with: inside[len(out)%len(inside)], Seed: uint64(len(out) + 1)})
		}
	}
	return out
}

// Part is every n-th case, from the first.
func Part(all []Case, first, n int) (out []Case) {
	for i := first; i < len(all); i += n {
		out = append(out, all[i])
	}
	return out
}

const (
	begins = 60 * second
	quiet  = 130 * second // after the last trouble
	// inTime is what jobs of 4 to 8 s have, and least the share of a class or a
	// team that has to be done by then, over a day a quarter of which is troubled.
	inTime = 25 * second
	least  = 0.7
	// leastWithin is the same of all that comes in the midst of the troubles.
	leastWithin = 0.5
)

var zones = []string{"a", "b"}

// deployment is one of three quarters' load, so that what machines lose can be
// made up for, with services, gangs, arrays, cancellations and pipelines.
func deployment(c Case) world.Config {
	d := &day{rng: 7 * c.Seed}
	cfg := &d.Config
	p := &cfg.Params
	p.Size, p.Zones = c.Size, zones
	p.Teams = []config.Team{{Name: "red"}, {Name: "blue", CPUs: 40, CPUsMax: 80}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2.5, 16, 30, 4, 36
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 200, 60, 8, 20
	p.Cloud.RPS, p.Cloud.ListLagS = 3, 4
	p.ClockErrorMS = 500
	p.Objectives = []config.Objective{{Kind: "wait", Class: "gang", WithinS: 30}, {Kind: "wait", Class: "service", WithinS: 12}}
	cfg.Seed, cfg.Restart, cfg.StateDelay, cfg.CloudDelay, cfg.Drift, cfg.Strays = c.Seed, 4*second, 3000, 50_000, 0.0005, 0.1
	cfg.Types = []wire.MachineType{{Name: "m", CPUs: 8, MemGB: 32, FetchRate: 1, CacheGB: 50, BootS: 15, Price: 1, SpotPrice: 0.4, Zones: zones}}
	for _, z := range zones {
		cfg.Machines = append(cfg.Machines, world.Machines{Type: "m", Zone: z, Count: 4})
		cfg.Capacity = append(cfg.Capacity, world.Capacity{Type: "m", Zone: z, Count: 7})
	}
	cfg.Length = begins + lasts + quiet
	for i := range 3 {
		j := d.add(fmt.Sprintf("serve-%d", i), "service", "red", wire.Service, second, 3, 2, 0)
		j.Spec.Priority, j.Spec.Spread, j.Spec.EstimateS = "production", true, 0
	}
	for i, at := 0, 5*second; at < cfg.Length-70*second; i, at = i+1, at+3*second {
		pick := d.pick()
		switch i % 3 {
		case 0:
			j := d.add(fmt.Sprintf("gang-%02d", i), "gang", "blue", wire.Gang, at, []int{1, 2, 4}[pick%3], 6, 8*second)
			j.Spec.CheckpntS, j.Spec.SaveS = 4, 1
			if pick%5 == 0 {
				j.Cancel = at + 6*second
			}
		case 1:
			d.add(fmt.Sprintf("array-%02d", i), "array", "red", wire.Array, at, 2+pick%12, 1, 6*second)
		default:
			first := fmt.Sprintf("stage-%02d", i)
			d.add(first, "stage", "red", wire.Array, at, 2, 1, 4*second)
			// Its tasks end far apart, and leaders change in between.
			d.add(fmt.Sprintf("uneven-%02d", i), "uneven", "red", wire.Array, at+second, 2+pick%2, 1, 3*second).Apart = 6 * second
			d.add(fmt.Sprintf("stage-%02d-b", i), "stage", "red", wire.Array, at, 2, 1, 4*second).Spec.Awaits = []string{first}
		}
	}
	for _, t := range c.troubles {
		if t.load != nil {
			t.load(d)
		}
	}
	return *cfg
}

// day is a deployment that is made.
type day struct {
	world.Config
	rng uint64
}

// pick is some number, the next of those that the day's seed has.
func (d *day) pick() int {
	d.rng = d.rng*6364136223846793005 + 1442695040888963407
	return int(d.rng >> 33)
}

func (d *day) add(id, class, team, kind string, at int64, tasks int, cpus float64, run int64) *world.Job {
	d.Jobs = append(d.Jobs, world.Job{At: at, Run: run, Spec: wire.Job{ID: id, Class: class, Team: team, Kind: kind, Tasks: tasks, CPUs: cpus, MemGB: 1,
		Priority: "normal", Image: "im-" + class, ImageGB: 1, EstimateS: float64(run) / 1e6}})
	return &d.Jobs[len(d.Jobs)-1]
}

// Result is how a case went.
type Result struct {
	Breaches []string
	// Least is the least share of a class or a team that was served, Largest of
	// a class's largest jobs that were served or begun in four minutes; Left are
	// the jobs that had not ended when they should have.
	Least, Largest float64
	Left           []string
	// Within is the share of the jobs submitted in the midst of the troubles
	// that were done in time.
	Within float64
	// Late is how many requests to the state service were executed late, Met how
	// often each thing was met that the troubles are to bring about.
	Late int
	Met  map[string]int
	// StartsAfter is how many tasks entered a machine after users were told that
	// their job is cancelled.
	StartsAfter int
	scarce      bool
	want        map[string]int
}

// Short says what falls short of what there should be, "" if nothing does.
func (r *Result) Short() string {
	switch {
	case len(r.Breaches) > 0:
		return "broken: " + strings.Join(r.Breaches, "; ")
	case len(r.lacks()) > 0:
		return fmt.Sprintf("not met: %v", r.lacks())
	case len(r.Left) > 0:
		return fmt.Sprintf("not over at the end: %v", r.Left)
	case r.scarce:
	case r.Least < least:
		return fmt.Sprintf("%.2f served of a class or team", r.Least)
	case r.Within < leastWithin:
		return fmt.Sprintf("%.2f served of what came within", r.Within)
	case r.Largest < 0.5:
		return fmt.Sprintf("%.2f served or begun of a class's largest", r.Largest)
	}
	return ""
}

// lacks names what the troubles were to bring about and did not.
func (r *Result) lacks() (l []string) {
	for _, w := range slices.Sorted(maps.Keys(r.want)) {
		if r.Met[w] < r.want[w] {
			l = append(l, fmt.Sprintf("%s (%d of %d)", w, r.Met[w], r.want[w]))
		}
	}
	return l
}

// Play plays a case; log gets what controllers write, if it is not nil.
func Play(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	cl, err := run(c, ops, log)
	if err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	r := judge(cl)
	r.want = map[string]int{}
	for _, t := range c.troubles {
		r.scarce = r.scarce || t.scarce
		if t.met != "" && len(c.troubles) == 1 && c.with.name == "" { // one may keep another from being met
			r.want[t.met] = max(t.least, 1)
		}
	}
	return r, nil
}

func run(c Case, ops config.Operators, log *slog.Logger) (*fake.Cluster, error) {
	cfg := deployment(c)
	var failed error
	var cluster *fake.Cluster
	begun := func(e history.Event) {
		// Copies that are kept arrive before the new leader knows that it leads,
		// as it begins, and after its first reports.
		if e.Kind == history.Stored && e.Key == core.Prefix+"leader" && e.State == "put" {
			cluster.After([]int64{1000, 5000, 20_000, 300_000}[c.Seed%4], cluster.Deliver)
		}
	}
	cl, err := fake.Run(cfg, fake.Options{Operators: ops, Log: log, Seen: begun, Begin: func(cl *fake.Cluster) {
		cluster = cl
		cl.After(begins, func() {
			nodes := cl.LeaderFirst()
			for _, t := range c.troubles {
				if t.begin != nil {
					cl.BefallLater(&failed, t.begin(nodes)...)
				}
				for i := range t.times {
					cl.After(int64(i)*t.every, func() { cl.BefallLater(&failed, t.again(cl.LeaderFirst(), i)...) })
				}
			}
		})
		cl.After(begins+3*second, func() {
			if c.with.begin != nil {
				cl.BefallLater(&failed, c.with.begin(cl.LeaderFirst())...)
			}
		})
	}})
	if err == nil {
		err = failed
	}
	return cl, err
}

// What is met beside what the world records.
const (
	metLeader = "a leader begins"
	metLease  = "a task ends with its machine's lease"
	metBound  = "a task bound to a zone loses its machine"
	metTiny   = "a one-task job is accepted"
	metQueue  = "a job waits for ten seconds"
)

func judge(cl *fake.Cluster) Result {
	r := Result{Least: 1, Largest: 1, Met: map[string]int{}}
	for _, b := range history.Judge(cl.History, cl.Terms()) {
		r.Breaches = append(r.Breaches, b.String())
	}
	var aims []history.Aim
	for _, class := range []string{"gang", "array", "stage"} {
		aims = append(aims, history.Aim{Kind: "complete", Class: class, Within: inTime})
	}
	for name, v := range history.Measure(cl.History, cl.Terms(), aims) {
		switch {
		case name == history.ServedLeast:
			r.Least = v
		case name == history.LargestLeast:
			r.Largest = v
		case name == history.StartsAfter:
			r.StartsAfter = int(v)
		case math.IsNaN(v):
			r.Breaches = append(r.Breaches, name+" is no number")
		}
	}
	r.Left = cl.World.Unfinished()
	r.Within = within(cl)
	jobs, first, begun := cl.Terms().Jobs, map[string]int64{}, map[string]bool{}
	for _, e := range cl.History {
		switch e.Kind {
		case history.Started:
			if !begun[e.Job] && e.At-first[e.Job] > 10*second {
				r.Met[metQueue]++
			}
			begun[e.Job] = true
		case history.Sent:
			if first[e.Job] == 0 {
				first[e.Job] = e.At
			}
		case history.Late:
			r.Late++
		case history.Met:
			r.Met[e.Why]++
		case history.Stored:
			if e.Key == core.Prefix+"leader" && e.State == "put" && e.At > begins {
				r.Met[metLeader]++
			}
		case history.Left:
			if e.Why == "lease" {
				r.Met[metLease]++
			} else if e.Why == "died" && jobs[e.Job].Class == "bound" {
				r.Met[metBound]++
			}
		case history.Told:
			if e.Status == 201 && jobs[e.Job] != nil && jobs[e.Job].Class == "tiny" {
				r.Met[metTiny]++
			}
		}
	}
	return r
}

// within is the share of the jobs submitted in the midst of the troubles that
// were done in time; a second stage has as long again.
func within(cl *fake.Cluster) float64 {
	left, by := map[string]int{}, map[string]int64{}
	for _, j := range cl.Config.Jobs {
		if j.At >= begins && j.At < begins+lasts && j.Cancel == 0 {
			left[j.Spec.ID] = j.Spec.Tasks
			by[j.Spec.ID] = j.At + inTime*int64(1+len(j.Spec.Awaits))
		}
	}
	for _, e := range cl.History {
		switch {
		case e.Kind == history.Sent && e.Op == history.Withdraw:
			delete(left, e.Job)
		case e.Kind == history.Completed && e.At <= by[e.Job] && left[e.Job] > 0:
			left[e.Job]--
		}
	}
	done := 0
	for _, n := range left {
		if n == 0 {
			done++
		}
	}
	return float64(done) / float64(max(len(left), 1))
}
