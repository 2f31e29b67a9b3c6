// Package faultcombos enumerates combinations of faults beside crashes and partitions:
// one-way partitions of machines, delayed copies of heartbeats, controllers that only
// workers can reach, and processes and machines that restart at once. Each fault runs in
// simulated time, alone and in pairs, with a further fault inside, under a load with every
// kind of job, and the history is checked against all rules.
package faultcombos

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const second = config.Second

// Trouble is one that a day may have. Begin is called with the controllers, the
// leader first, and returns what befalls them.
type faultScript struct {
	name  string
	begin func(nodes []string) []environment.Fault
	// repeat is called several times, so long apart, with the controllers as they are
	// then, and the number of the time.
	repeat   func(nodes []string, i int) []environment.Fault
	repeats  int
	interval int64
	// prepare changes the deployment or adds to what comes, if it is set.
	prepare func(*deploymentBuilder)
	// overloaded: there is more work than room, so that not all of it is served.
	overloaded bool
	// outage: the state service is down for almost all of it.
	outage bool
	// mustOccur is what the trouble has to have brought about, least how often at least.
	mustOccur      string
	minOccurrences int
}

// faultDuration is how long a trouble goes on, longer than two leases.
const faultDuration = 40 * second

// repeatedCrashes lets a fault come several times, each a little longer than the last.
func repeatedCrashes(times int, hosts ...string) (l []environment.Fault) {
	away := []int64{50_000, 200_000, 1_000_000, 400_000, 100_000}
	at := int64(0)
	for i := range times {
		l = append(l, environment.Fault{At: at, Kind: "crash", Hosts: hosts, Duration: away[i%len(away)]})
		at += away[i%len(away)] + 900_000
	}
	return l
}

// isolate cuts a controller off from the state service and the other controllers.
func isolate(node string, how environment.PartitionMode) []environment.Fault {
	return []environment.Fault{{Kind: "cut", Duration: faultDuration, Hosts: []string{node}, To: []string{environment.StateHost, "controllers"}, PartitionMode: how}}
}

var baseScripts = []faultScript{
	{name: "a third of the machines is deaf, orders held", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "machine_deaf", Share: 0.34, Duration: faultDuration}}
	}},
	{name: "a third of the machines is deaf, orders broken", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "machine_deaf", Share: 0.34, Duration: faultDuration, PartitionMode: environment.PartitionMode{Reset: true}}}
	}},
	{name: "a third of the machines is deaf to the leader", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "cut", Duration: faultDuration, Hosts: n[:1], To: []string{"workers:a"}, PartitionMode: environment.PartitionMode{OneWay: true}}}
	}},
	{name: "copies of reports", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "report_copies", Share: 0.5, Factor: 3, Duration: faultDuration}}
	}},
	{name: "the leader has only its workers", begin: func(n []string) []environment.Fault { return isolate(n[0], environment.PartitionMode{}) }},
	{name: "another has only its workers", begin: func(n []string) []environment.Fault { return isolate(n[1], environment.PartitionMode{Reset: true}) }},
	{name: "machines are back at once", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "machine_back", Share: 0.25, Duration: 200_000}, {At: 9 * second, Kind: "machine_back", Share: 0.25, Duration: 50_000}}
	}},
	{name: "machines are back at once and count anew", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "machine_anew", Share: 0.25, Duration: 200_000}, {At: 9 * second, Kind: "machine_anew", Share: 0.25, Duration: second}}
	}},
	{name: "the leader is back at once", begin: func(n []string) []environment.Fault { return repeatedCrashes(1, n[0]) }},
	{name: "the leader is back at once, five times", begin: func(n []string) []environment.Fault { return repeatedCrashes(5, n[0]) }},
	{name: "two are back at once, twice", begin: func(n []string) []environment.Fault { return repeatedCrashes(2, n[0], n[1]) }},
	{name: "writes are executed late", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "late_writes", Share: 0.3, Duration: faultDuration}}
	}},
	{name: "renewals and dropped leases are executed late", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "late_leases", Share: 0.3, Duration: faultDuration}, {Kind: "late_writes", Share: 0.1, Duration: faultDuration}}
	}},
	{name: "the leader is refused, and then all", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "state_refuse", Hosts: n[:1], Duration: 6 * second}, {At: 2 * second, Kind: "state_outage", Duration: 20 * second}}
	}},
	{name: "the state service is slow", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: "state_slow", Factor: 100, Duration: faultDuration}}
	}},
	{name: "a third of the machines stands still, again and again", begin: func([]string) (l []environment.Fault) {
		for i := range int64(5) {
			l = append(l, environment.Fault{At: i * 7 * second, Kind: "machine_hang", Share: 0.34, Duration: 4*second + i*second/2})
		}
		return l
	}},
	{name: "a third of the machines can't be reached, and the leader ends", begin: func(n []string) []environment.Fault {
		return []environment.Fault{
			{Kind: "machine_silent", Share: 0.34, Duration: 12 * second},
			{At: second, Kind: "crash", Hosts: n[:1]},
			{At: 24 * second, Kind: "machine_silent", Share: 0.34, Duration: 12 * second},
			{At: 25 * second, Kind: "crash", Hosts: n[:2]},
		}
	}},
	{name: "a third of the machines is deaf, and the leader ends", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "machine_deaf", Share: 0.34, Duration: faultDuration}, {At: second, Kind: "crash", Hosts: n[:1]}}
	}},
	{name: "leading is handed over and back", begin: func(n []string) (l []environment.Fault) {
		for i := range int64(4) {
			l = append(l, environment.Fault{At: i * 9 * second, Kind: "cut", Hosts: n[i%2 : i%2+1], Duration: 8 * second})
		}
		return l
	}},
	{name: "leading is handed over and back within seconds", begin: func(n []string) (l []environment.Fault) {
		for i := range int64(8) {
			l = append(l, environment.Fault{At: i * 4 * second, Kind: "state_refuse", Hosts: n[i%2 : i%2+1], Duration: 3800 * second / 1000})
		}
		return l
	}},
	{name: "all end, and the first is back at once", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "crash", Hosts: n[:1], Duration: 300_000}, {Kind: "crash", Hosts: n[1:], Duration: 25 * second}}
	}},
	{name: "all end, and another is back at once", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "crash", Hosts: n[1:2], Duration: 50_000}, {Kind: "crash", Hosts: append(n[:1:1], n[2:]...), Duration: 25 * second}}
	}},
	{name: "all are back at once, five times", begin: func([]string) []environment.Fault { return repeatedCrashes(5, "all") }},
}

// extraScripts is what else may happen 3 s after the troubles have begun.
var extraScripts = []faultScript{
	{name: ""},
	{name: "a take-over", begin: func(n []string) []environment.Fault { return []environment.Fault{{Kind: "crash", Hosts: n[:1]}} }},
	{name: "a standstill", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "freeze", Hosts: n[:1], Duration: 8 * second}}
	}},
	{name: "the state service cut off", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: "cut", Hosts: n[:1], To: []string{environment.StateHost}, Duration: 20 * second}}
	}},
	{name: "a roll", begin: func(n []string) []environment.Fault { return []environment.Fault{{Kind: "roll", Duration: 5 * second}} }},
}

// Case is a day with one or two troubles.
type Case struct {
	Size    int
	scripts []faultScript
	extra   faultScript
	Seed    uint64
}

func (c Case) String() string {
	var l []string
	for _, t := range c.scripts {
		l = append(l, t.name)
	}
	s := fmt.Sprintf("%d controllers, %s", c.Size, strings.Join(l, " and "))
	if c.extra.name != "" {
		s += ", with " + c.extra.name
	}
	return s
}

// isSingle says whether it has one of the later troubles and nothing else.
func (c Case) isSingle() bool {
	return len(c.scripts) == 1 && c.extra.name == "" && slices.ContainsFunc(moreScripts, func(t faultScript) bool { return t.name == c.scripts[0].name })
}

// AllCases are the cases of a size: each of the first troubles, then each pair of them,
// with each of what may happen inside; then the later ones.
func AllCases(size int) (out []Case) {
	add := func(l ...faultScript) {
		for _, w := range extraScripts {
			out = append(out, Case{Size: size, scripts: l, extra: w, Seed: uint64(len(out) + 1)})
		}
	}
	for _, t := range baseScripts {
		add(t)
	}
	for i, a := range baseScripts {
		for _, b := range baseScripts[i+1:] {
			add(a, b)
		}
	}
	for _, t := range moreScripts {
		add(t)
	}
	// Pairs with the later ones have one thing inside each, in turn.
	for i, a := range moreScripts {
		for _, b := range slices.Concat(baseScripts, moreScripts[i+1:]) {
			out = append(out, Case{Size: size, scripts: []faultScript{a, b}, extra: extraScripts[len(out)%len(extraScripts)], Seed: uint64(len(out) + 1)})
		}
	}
	return out
}

// EveryNth is every n-th case, from the first.
func EveryNth(all []Case, first, n int) (out []Case) {
	for i := first; i < len(all); i += n {
		out = append(out, all[i])
	}
	return out
}

const (
	faultsBegin = 60 * second
	quietTime   = 130 * second // after the last trouble
	// serveWithin is what jobs of 4 to 8 s have, and least the share of a class or a
	// team that has to be done by then, over a day a quarter of which is troubled.
	serveWithin = 25 * second
	minServed   = 0.7
	// minServedDuring is the same of all that comes in the midst of the troubles.
	minServedDuring = 0.5
)

var zones = []string{"a", "b"}

// deployment is one of three quarters' load, so that what machines lose can be
// made up for, with services, gangs, arrays, cancellations and pipelines.
func deployment(c Case) environment.Config {
	d := &deploymentBuilder{rng: 7 * c.Seed}
	cfg := &d.Config
	p := &cfg.Params
	p.Size, p.Zones = c.Size, zones
	p.Teams = []config.Team{{Name: "red"}, {Name: "blue", CPUs: 40, CPUsMax: 80}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2.5, 16, 30, 4, 36
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 200, 60, 8, 20
	p.Cloud.RPS, p.Cloud.ListLagS = 3, 4
	p.ClockErrorMS = 500
	p.Objectives = []config.Objective{{Kind: "wait", Class: "gang", WithinS: 30}, {Kind: "wait", Class: "service", WithinS: 12}}
	cfg.Seed, cfg.RestartTime, cfg.StateDelay, cfg.CloudDelay, cfg.ClockDrift, cfg.StrayRequestRate = c.Seed, 4*second, 3000, 50_000, 0.0005, 0.1
	cfg.Types = []wire.MachineType{{Name: "m", CPUs: 8, MemGB: 32, FetchRate: 1, CacheGB: 50, BootS: 15, Price: 1, SpotPrice: 0.4, Zones: zones}}
	for _, z := range zones {
		cfg.Machines = append(cfg.Machines, environment.Machines{Type: "m", Zone: z, Count: 4})
		cfg.Capacity = append(cfg.Capacity, environment.Capacity{Type: "m", Zone: z, Count: 7})
	}
	cfg.Length = faultsBegin + faultDuration + quietTime
	for i := range 3 {
		j := d.addJob(fmt.Sprintf("serve-%d", i), "service", "red", wire.Service, second, 3, 2, 0)
		j.Spec.Priority, j.Spec.Spread, j.Spec.EstimateS = "production", true, 0
	}
	for i, at := 0, 5*second; at < cfg.Length-70*second; i, at = i+1, at+3*second {
		pick := d.random()
		switch i % 3 {
		case 0:
			j := d.addJob(fmt.Sprintf("gang-%02d", i), "gang", "blue", wire.Gang, at, []int{1, 2, 4}[pick%3], 6, 8*second)
			j.Spec.CheckpointS, j.Spec.CheckpointCostS = 4, 1
			if pick%5 == 0 {
				j.Cancel = at + 6*second
			}
		case 1:
			d.addJob(fmt.Sprintf("array-%02d", i), "array", "red", wire.Array, at, 2+pick%12, 1, 6*second)
		default:
			first := fmt.Sprintf("stage-%02d", i)
			d.addJob(first, "stage", "red", wire.Array, at, 2, 1, 4*second)
			// Its tasks end far apart, and leaders change in between.
			d.addJob(fmt.Sprintf("uneven-%02d", i), "uneven", "red", wire.Array, at+second, 2+pick%2, 1, 3*second).RunIncrement = 6 * second
			d.addJob(fmt.Sprintf("stage-%02d-b", i), "stage", "red", wire.Array, at, 2, 1, 4*second).Spec.DependsOn = []string{first}
		}
	}
	for _, t := range c.scripts {
		if t.prepare != nil {
			t.prepare(d)
		}
	}
	return *cfg
}

// deploymentBuilder is a deployment that is made.
type deploymentBuilder struct {
	environment.Config
	rng uint64
}

// random is some number, the next of those that the day's seed has.
func (d *deploymentBuilder) random() int {
	d.rng = d.rng*6364136223846793005 + 1442695040888963407
	return int(d.rng >> 33)
}

func (d *deploymentBuilder) addJob(id, class, team, kind string, at int64, tasks int, cpus float64, run int64) *environment.Job {
	d.Jobs = append(d.Jobs, environment.Job{At: at, Run: run, Spec: wire.Job{
		ID: id, Class: class, Team: team, Kind: kind, Tasks: tasks, CPUs: cpus, MemGB: 1,
		Priority: "normal", Image: "im-" + class, ImageGB: 1, EstimateS: float64(run) / 1e6,
	}})
	return &d.Jobs[len(d.Jobs)-1]
}

// Result is how a case went.
type Result struct {
	Violations []string
	// MinServed is the least share of a class or a team that was served, Largest of
	// a class's largest jobs that were served or begun in four minutes; Left are
	// the jobs that had not ended when they should have.
	MinServed, MinLargestServed float64
	Unfinished                  []string
	// ServedDuringFaults is the share of the jobs submitted in the midst of the troubles
	// that were done in time.
	ServedDuringFaults float64
	// DelayedRequests is how many requests to the state service were executed late, Met how
	// often each thing was met that the troubles are to bring about.
	DelayedRequests int
	Occurrences     map[string]int
	// StartsAfter is how many tasks entered a machine after users were told that
	// their job is cancelled.
	StartsAfter int
	overloaded  bool
	required    map[string]int
}

// Shortfall says what falls short of what there should be, "" if nothing does.
func (r *Result) Shortfall() string {
	switch {
	case len(r.Violations) > 0:
		return "broken: " + strings.Join(r.Violations, "; ")
	case len(r.missing()) > 0:
		return fmt.Sprintf("not met: %v", r.missing())
	case len(r.Unfinished) > 0:
		return fmt.Sprintf("not over at the end: %v", r.Unfinished)
	case r.overloaded:
	case r.MinServed < minServed:
		return fmt.Sprintf("%.2f served of a class or team", r.MinServed)
	case r.ServedDuringFaults < minServedDuring:
		return fmt.Sprintf("%.2f served of what came within", r.ServedDuringFaults)
	case r.MinLargestServed < 0.5:
		return fmt.Sprintf("%.2f served or begun of a class's largest", r.MinLargestServed)
	}
	return ""
}

// missing names what the troubles were to bring about and did not.
func (r *Result) missing() (l []string) {
	for _, w := range slices.Sorted(maps.Keys(r.required)) {
		if r.Occurrences[w] < r.required[w] {
			l = append(l, fmt.Sprintf("%s (%d of %d)", w, r.Occurrences[w], r.required[w]))
		}
	}
	return l
}

// Run plays a case; log gets what controllers write, if it is not nil.
func Run(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	cl, err := runCluster(c, ops, log)
	if err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	r := evaluate(cl)
	r.required = map[string]int{}
	for _, t := range c.scripts {
		r.overloaded = r.overloaded || t.overloaded
		if t.mustOccur != "" && len(c.scripts) == 1 && c.extra.name == "" { // one may keep another from being met
			r.required[t.mustOccur] = max(t.minOccurrences, 1)
		}
	}
	return r, nil
}

func runCluster(c Case, ops config.Operators, log *slog.Logger) (*faketime.Cluster, error) {
	cfg := deployment(c)
	var failed error
	var cluster *faketime.Cluster
	begun := func(e history.Event) {
		// Copies that are kept arrive before the new leader knows that it leads,
		// as it begins, and after its first reports.
		if e.Kind == history.StateChanged && e.Key == core.Prefix+"leader" && e.State == "put" {
			cluster.After([]int64{1000, 5000, 20_000, 300_000}[c.Seed%4], cluster.DeliverHeldReports)
		}
	}
	cl, err := faketime.Run(cfg, faketime.Options{Operators: ops, Log: log, OnEvent: begun, OnStart: func(cl *faketime.Cluster) {
		cluster = cl
		cl.After(faultsBegin, func() {
			nodes := cl.LeaderFirst()
			for _, t := range c.scripts {
				if t.begin != nil {
					cl.ScheduleFaults(&failed, t.begin(nodes)...)
				}
				for i := range t.repeats {
					cl.After(int64(i)*t.interval, func() { cl.ScheduleFaults(&failed, t.repeat(cl.LeaderFirst(), i)...) })
				}
			}
		})
		cl.After(faultsBegin+3*second, func() {
			if c.extra.begin != nil {
				cl.ScheduleFaults(&failed, c.extra.begin(cl.LeaderFirst())...)
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
	occurLeader = "a leader begins"
	occurLease  = "a task ends with its machine's lease"
	occurBound  = "a task bound to a zone loses its machine"
	occurTiny   = "a one-task job is accepted"
	occurQueue  = "a job waits for ten seconds"
)

func evaluate(cl *faketime.Cluster) Result {
	r := Result{MinServed: 1, MinLargestServed: 1, Occurrences: map[string]int{}}
	for _, b := range history.CheckAll(cl.History, cl.Expectations()) {
		r.Violations = append(r.Violations, b.String())
	}
	var aims []history.Objective
	for _, class := range []string{"gang", "array", "stage"} {
		aims = append(aims, history.Objective{Kind: "complete", Class: class, Within: serveWithin})
	}
	for name, v := range history.Metrics(cl.History, cl.Expectations(), aims) {
		switch {
		case name == history.ServedLeast:
			r.MinServed = v
		case name == history.LargestLeast:
			r.MinLargestServed = v
		case name == history.StartsAfter:
			r.StartsAfter = int(v)
		case math.IsNaN(v):
			r.Violations = append(r.Violations, name+" is no number")
		}
	}
	r.Unfinished = cl.Environment.Unfinished()
	r.ServedDuringFaults = servedDuringFaults(cl)
	jobs, first, begun := cl.Expectations().Jobs, map[string]int64{}, map[string]bool{}
	for _, e := range cl.History {
		switch e.Kind {
		case history.TaskStarted:
			if !begun[e.Job] && e.At-first[e.Job] > 10*second {
				r.Occurrences[occurQueue]++
			}
			begun[e.Job] = true
		case history.RequestSent:
			if first[e.Job] == 0 {
				first[e.Job] = e.At
			}
		case history.RequestDelayed:
			r.DelayedRequests++
		case history.Occurred:
			r.Occurrences[e.Reason]++
		case history.StateChanged:
			if e.Key == core.Prefix+"leader" && e.State == "put" && e.At > faultsBegin {
				r.Occurrences[occurLeader]++
			}
		case history.TaskLeft:
			if e.Reason == "lease" {
				r.Occurrences[occurLease]++
			} else if e.Reason == "died" && jobs[e.Job].Class == "bound" {
				r.Occurrences[occurBound]++
			}
		case history.ResponseReceived:
			if e.Status == 201 && jobs[e.Job] != nil && jobs[e.Job].Class == "tiny" {
				r.Occurrences[occurTiny]++
			}
		}
	}
	return r
}

// servedDuringFaults is the share of the jobs submitted in the midst of the troubles that
// were done in time; a second stage has as long again.
func servedDuringFaults(cl *faketime.Cluster) float64 {
	left, by := map[string]int{}, map[string]int64{}
	for _, j := range cl.Config.Jobs {
		if j.At >= faultsBegin && j.At < faultsBegin+faultDuration && j.Cancel == 0 {
			left[j.Spec.ID] = j.Spec.Tasks
			by[j.Spec.ID] = j.At + serveWithin*int64(1+len(j.Spec.DependsOn))
		}
	}
	for _, e := range cl.History {
		switch {
		case e.Kind == history.RequestSent && e.Op == history.Cancel:
			delete(left, e.Job)
		case e.Kind == history.TaskCompleted && e.At <= by[e.Job] && left[e.Job] > 0:
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
