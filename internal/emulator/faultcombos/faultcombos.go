// Package faultcombos enumerates combinations of faults beside crashes and partitions:
// one-way partitions of machines, delayed copies of heartbeats, controllers that only
// workers can reach, and processes and machines that restart at once. Each fault runs in
// simulated time, alone and in pairs, with a further fault inside, under a load with every
// kind of job, and the history is checked against all rules.
package faultcombos

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const second = config.Second

// faultScript is a sequence of faults that a case may have.
type faultScript struct {
	name string
	// begin gets the controllers, the leader first, and returns the faults.
	begin func(nodes []string) []environment.Fault
	// repeat is called several times, so long apart, with the controllers as they are
	// then, and the number of the call.
	repeat   func(nodes []string, i int) []environment.Fault
	repeats  int
	interval int64
	// prepare changes the deployment or adds to what comes, if it is set.
	prepare func(*deploymentBuilder)
	// overloaded: there are more jobs than room, so that not all are served.
	overloaded bool
	// outage: the state service is down for almost all of it.
	outage bool
	// mustOccur is what the faults have to bring about, minOccurrences how often at least.
	mustOccur      string
	minOccurrences int
}

// faultDuration is how long a fault lasts, longer than two leases.
const faultDuration = 40 * second

// repeatedCrashes are crashes of controllers one after the other, away for different times.
func repeatedCrashes(times int, hosts ...string) (l []environment.Fault) {
	away := []int64{50_000, 200_000, 1_000_000, 400_000, 100_000}
	at := int64(0)
	for i := range times {
		l = append(l, environment.Fault{At: at, Kind: environment.FaultCrash, Hosts: hosts, Duration: away[i%len(away)]})
		at += away[i%len(away)] + 900_000
	}
	return l
}

// isolate partitions a controller from the state service and the other controllers.
func isolate(node string, how environment.PartitionMode) []environment.Fault {
	return []environment.Fault{{Kind: environment.FaultPartition, Duration: faultDuration, Hosts: []string{node}, To: []string{environment.StateHost, "controllers"}, PartitionMode: how}}
}

var baseScripts = []faultScript{
	{name: "a third of the machines is deaf, orders held", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineDeaf, Share: 0.34, Duration: faultDuration}}
	}},
	{name: "a third of the machines is deaf, orders broken", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineDeaf, Share: 0.34, Duration: faultDuration, PartitionMode: environment.PartitionMode{Reset: true}}}
	}},
	{name: "a third of the machines is deaf to the leader", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Duration: faultDuration, Hosts: n[:1], To: []string{"workers:a"}, PartitionMode: environment.PartitionMode{OneWay: true}}}
	}},
	{name: "copies of reports", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultReportCopies, Share: 0.5, Factor: 3, Duration: faultDuration}}
	}},
	{name: "the leader has only its workers", begin: func(n []string) []environment.Fault { return isolate(n[0], environment.PartitionMode{}) }},
	{name: "another has only its workers", begin: func(n []string) []environment.Fault { return isolate(n[1], environment.PartitionMode{Reset: true}) }},
	{name: "machines are back at once", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineBack, Share: 0.25, Duration: 200_000}, {At: 9 * second, Kind: environment.FaultMachineBack, Share: 0.25, Duration: 50_000}}
	}},
	{name: "machines are back at once and count anew", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineAnew, Share: 0.25, Duration: 200_000}, {At: 9 * second, Kind: environment.FaultMachineAnew, Share: 0.25, Duration: second}}
	}},
	{name: "the leader is back at once", begin: func(n []string) []environment.Fault { return repeatedCrashes(1, n[0]) }},
	{name: "the leader is back at once, five times", begin: func(n []string) []environment.Fault { return repeatedCrashes(5, n[0]) }},
	{name: "two are back at once, twice", begin: func(n []string) []environment.Fault { return repeatedCrashes(2, n[0], n[1]) }},
	{name: "writes are executed late", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultLateWrites, Share: 0.3, Duration: faultDuration}}
	}},
	{name: "renewals and dropped leases are executed late", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultLateLeases, Share: 0.3, Duration: faultDuration}, {Kind: environment.FaultLateWrites, Share: 0.1, Duration: faultDuration}}
	}},
	{name: "the leader is refused, and then all", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultStateRefuse, Hosts: n[:1], Duration: 6 * second}, {At: 2 * second, Kind: environment.FaultStateOutage, Duration: 20 * second}}
	}},
	{name: "the state service is slow", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultStateSlow, Factor: 100, Duration: faultDuration}}
	}},
	{name: "a third of the machines stands still, again and again", begin: func([]string) (l []environment.Fault) {
		for i := range int64(5) {
			l = append(l, environment.Fault{At: i * 7 * second, Kind: environment.FaultMachineHang, Share: 0.34, Duration: 4*second + i*second/2})
		}
		return l
	}},
	{name: "a third of the machines can't be reached, and the leader ends", begin: func(n []string) []environment.Fault {
		return []environment.Fault{
			{Kind: environment.FaultMachineSilent, Share: 0.34, Duration: 12 * second},
			{At: second, Kind: environment.FaultCrash, Hosts: n[:1]},
			{At: 24 * second, Kind: environment.FaultMachineSilent, Share: 0.34, Duration: 12 * second},
			{At: 25 * second, Kind: environment.FaultCrash, Hosts: n[:2]},
		}
	}},
	{name: "a third of the machines is deaf, and the leader ends", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineDeaf, Share: 0.34, Duration: faultDuration}, {At: second, Kind: environment.FaultCrash, Hosts: n[:1]}}
	}},
	{name: "leading is handed over and back", begin: func(n []string) (l []environment.Fault) {
		for i := range int64(4) {
			l = append(l, environment.Fault{At: i * 9 * second, Kind: environment.FaultPartition, Hosts: n[i%2 : i%2+1], Duration: 8 * second})
		}
		return l
	}},
	{name: "leading is handed over and back within seconds", begin: func(n []string) (l []environment.Fault) {
		for i := range int64(8) {
			l = append(l, environment.Fault{At: i * 4 * second, Kind: environment.FaultStateRefuse, Hosts: n[i%2 : i%2+1], Duration: 3800 * second / 1000})
		}
		return l
	}},
	{name: "all end, and the first is back at once", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[:1], Duration: 300_000}, {Kind: environment.FaultCrash, Hosts: n[1:], Duration: 25 * second}}
	}},
	{name: "all end, and another is back at once", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[1:2], Duration: 50_000}, {Kind: environment.FaultCrash, Hosts: append(n[:1:1], n[2:]...), Duration: 25 * second}}
	}},
	{name: "all are back at once, five times", begin: func([]string) []environment.Fault { return repeatedCrashes(5, "all") }},
}

// extraScripts is what else may happen 3 s after the first faults have begun.
var extraScripts = []faultScript{
	{name: ""},
	{name: "a take-over", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: n[:1]}}
	}},
	{name: "a standstill", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultFreeze, Hosts: n[:1], Duration: 8 * second}}
	}},
	{name: "the state service cut off", begin: func(n []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: n[:1], To: []string{environment.StateHost}, Duration: 20 * second}}
	}},
	{name: "a roll", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultRoll, Duration: 5 * second}}
	}},
}

// ID is the case's number.
func (c Case) ID() uint64 { return c.Seed }

// Case is a run with one or two fault scripts.
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

// AllCases are the cases of a size: each of the base scripts, then each pair of them, with
// each extra script; then the other scripts, and those about pipelines.
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
	// Pairs with the other scripts have one extra script each, in turn.
	for i, a := range moreScripts {
		for _, b := range slices.Concat(baseScripts, moreScripts[i+1:]) {
			out = append(out, Case{Size: size, scripts: []faultScript{a, b}, extra: extraScripts[len(out)%len(extraScripts)], Seed: uint64(len(out) + 1)})
		}
	}
	for _, t := range pipelineScripts {
		add(t)
	}
	return out
}

const (
	faultsBegin = 60 * second
	quietTime   = 130 * second // after the last fault
	// serveWithin is what jobs of 4 to 8 s have, and minServed the share of a class or a
	// team that has to be done by then, over a run a quarter of which has faults.
	serveWithin = 25 * second
	minServed   = 0.7
	// minServedDuring is the same of all that is submitted during the faults.
	minServedDuring = 0.5
)

// deployment has a load of three quarters of its capacity, so that what machines lose can be
// made up for, with services, gangs, arrays, cancellations and pipelines.
func deployment(c Case) environment.Config {
	d := &deploymentBuilder{rng: 7 * c.Seed}
	d.Config = cases.Deployment{
		Size:            c.Size,
		Seed:            c.Seed,
		LeaseS:          16,
		CancelS:         36,
		StateRPS:        200,
		StateWriteRPS:   60,
		StateTxnOps:     20,
		ListLagS:        4,
		FetchRate:       1,
		BootS:           15,
		MachinesPerZone: 4,
		CapacityPerZone: 7,
	}.Config()
	cfg := &d.Config
	cfg.StrayRequestRate = 0.1
	cfg.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue", CPUs: 40, CPUsMax: 80}}
	cfg.Params.Objectives = []config.Objective{{Kind: "wait", Class: "gang", WithinS: 30}, {Kind: "wait", Class: "service", WithinS: 12}}
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

// deploymentBuilder builds the deployment of a case.
type deploymentBuilder struct {
	environment.Config
	rng uint64
}

// random is the next random number of the case's seed.
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
	// MinServed is the least share of a class or a team that was served,
	// MinLargestServed of a class's largest jobs that were served or begun in four
	// minutes; Unfinished are the jobs that had not ended when they should have.
	MinServed, MinLargestServed float64
	Unfinished                  []string
	// ServedDuringFaults is the share of the jobs submitted during the faults that were
	// done in time.
	ServedDuringFaults float64
	// DelayedRequests is how many requests to the state service were executed late,
	// Occurrences how often each thing occurred that the faults are to bring about.
	DelayedRequests int
	Occurrences     map[string]int
	// StartsAfter is how many tasks entered a machine after users had an answer that
	// their job is cancelled.
	StartsAfter int
	overloaded  bool
	required    map[string]int
}

// HasViolations says whether the history violates a rule.
func (r Result) HasViolations() bool { return len(r.Violations) > 0 }

// Shortfall says what falls short of what is required, "" if nothing does.
func (r Result) Shortfall() string {
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

// missing names what the faults were to bring about and did not.
func (r Result) missing() (l []string) {
	for _, w := range slices.Sorted(maps.Keys(r.required)) {
		if r.Occurrences[w] < r.required[w] {
			l = append(l, fmt.Sprintf("%s (%d of %d)", w, r.Occurrences[w], r.required[w]))
		}
	}
	return l
}

// Run runs a case; log gets what controllers log, if it is not nil.
func Run(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	cl, err := runCluster(c, ops, log)
	if err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	r := evaluate(cl)
	r.required = map[string]int{}
	for _, t := range c.scripts {
		r.overloaded = r.overloaded || t.overloaded
		if t.mustOccur != "" && len(c.scripts) == 1 && c.extra.name == "" { // one may keep another from occurring
			r.required[t.mustOccur] = max(t.minOccurrences, 1)
		}
	}
	return r, nil
}

// heldReportDelays are how long after a new leader's key is written the held copies of
// reports arrive: before it knows that it leads, as it begins, and after its first reports.
var heldReportDelays = []int64{1000, 5000, 20_000, 300_000}

// runCluster runs a case's deployment with its faults.
func runCluster(c Case, ops config.Operators, log *slog.Logger) (*faketime.Cluster, error) {
	var failed error
	var cluster *faketime.Cluster
	onEvent := func(e history.Event) {
		if e.Kind == history.StateChanged && e.Key == core.LeaderKey && e.State == "put" {
			cluster.After(heldReportDelays[c.Seed%uint64(len(heldReportDelays))], cluster.DeliverHeldReports)
		}
	}
	onStart := func(cl *faketime.Cluster) {
		cluster = cl
		cl.After(faultsBegin, func() { c.beginFaults(cl, &failed) })
		cl.After(faultsBegin+3*second, func() {
			if c.extra.begin != nil {
				cl.ScheduleFaults(&failed, c.extra.begin(cl.LeaderFirst())...)
			}
		})
	}
	cl, err := faketime.Run(deployment(c), faketime.Options{Operators: ops, Log: log, OnEvent: onEvent, OnStart: onStart})
	return cl, cmp.Or(err, failed)
}

// beginFaults schedules the faults of the case's scripts.
func (c Case) beginFaults(cl *faketime.Cluster, failed *error) {
	nodes := cl.LeaderFirst()
	for _, script := range c.scripts {
		if script.begin != nil {
			cl.ScheduleFaults(failed, script.begin(nodes)...)
		}
		for i := range script.repeats {
			cl.After(int64(i)*script.interval, func() { cl.ScheduleFaults(failed, script.repeat(cl.LeaderFirst(), i)...) })
		}
	}
}

// Occurrences beside those that the environment records.
const (
	occurLeader = "a leader begins"
	occurLease  = "a task ends with its machine's lease"
	occurBound  = "a task bound to a zone loses its machine"
	occurTiny   = "a one-task job is accepted"
	occurQueue  = "a job waits for ten seconds"
)

func evaluate(cl *faketime.Cluster) Result {
	r := Result{MinServed: 1, MinLargestServed: 1, Occurrences: map[string]int{}}
	r.Violations = cl.Violations()
	r.addMetrics(cl)
	r.Unfinished = cl.Environment.Unfinished()
	r.ServedDuringFaults = servedDuringFaults(cl)
	r.countOccurrences(cl)
	return r
}

// addMetrics adds the shares that were served.
func (r *Result) addMetrics(cl *faketime.Cluster) {
	var objectives []history.Objective
	for _, class := range []string{"gang", "array", "stage"} {
		objectives = append(objectives, history.Objective{Kind: "complete", Class: class, Within: serveWithin})
	}
	for name, v := range history.Metrics(cl.History, cl.Expectations(), objectives) {
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
}

// countOccurrences counts what the faults are to bring about.
func (r *Result) countOccurrences(cl *faketime.Cluster) {
	jobs, firstRequest, begun := cl.Expectations().Jobs, map[string]int64{}, map[string]bool{}
	for i := range cl.History {
		switch e := &cl.History[i]; e.Kind {
		case history.RequestSent:
			if firstRequest[e.Job] == 0 {
				firstRequest[e.Job] = e.At
			}
		case history.RequestDelayed:
			r.DelayedRequests++
		case history.TaskStarted:
			if !begun[e.Job] && e.At-firstRequest[e.Job] > 10*second {
				r.Occurrences[occurQueue]++
			}
			begun[e.Job] = true
		default:
			if occurrence := occurrenceOf(e, jobs); occurrence != "" {
				r.Occurrences[occurrence]++
			}
		}
	}
}

// occurrenceOf is what an event shows that faults are to bring about, "" for nothing.
func occurrenceOf(e *history.Event, jobs map[string]*wire.Job) string {
	job := jobs[e.Job]
	switch {
	case e.Kind == history.Occurred:
		return e.Reason
	case e.Kind == history.StateChanged && e.Key == core.LeaderKey && e.State == "put" && e.At > faultsBegin:
		return occurLeader
	case isDerivedEnd(e, job):
		return occurDerived
	case e.Kind == history.TaskLeft && e.Reason == "lease":
		return occurLease
	case e.Kind == history.TaskLeft && e.Reason == "died" && job != nil && job.Class == "bound":
		return occurBound
	case e.Kind == history.ResponseReceived && e.Status == http.StatusCreated && job != nil && job.Class == "tiny":
		return occurTiny
	}
	return ""
}

// servedDuringFaults is the share of the jobs submitted during the faults that were done in
// time; the second stage of a pipeline has as long again.
func servedDuringFaults(cl *faketime.Cluster) float64 {
	var deadlines []cases.Deadline
	for _, j := range cl.Config.Jobs {
		if j.At >= faultsBegin && j.At < faultsBegin+faultDuration && j.Cancel == 0 {
			by := j.At + serveWithin*int64(1+len(j.Spec.DependsOn))
			deadlines = append(deadlines, cases.Deadline{Job: j.Spec.ID, Tasks: j.Spec.Tasks, By: by})
		}
	}
	return cases.ServedShare(cl.History, deadlines)
}
