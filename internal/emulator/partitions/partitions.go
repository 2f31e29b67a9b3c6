// Package partitions enumerates partial network partitions, in which some links of a
// controller stay up, runs each in simulated time, and checks that the service continued
// as far as possible.
package partitions

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const second = config.Second

// Roles of the partitioned controller when the partition begins.
const (
	Leader   = "leader"
	Follower = "holder"
)

// Directions of a partition, relative to the controller.
const (
	bothWays = "both"
	outward  = "out"
	inward   = "in"
)

// Modes of a partition: what happens to messages and connections on its links.
const (
	modeHold   = "hold"
	modeReset  = "reset"
	modeRefuse = "refuse"
)

// Extra faults, injected 3 s after the partitions have begun.
const (
	extraNone     = ""
	extraFailover = "take-over"  // the leader crashes
	extraFreeze   = "standstill" // the leader's process is suspended for longer than its lease
	extraCrash    = "crash"      // the first partitioned controller crashes and restarts
)

// Partition takes some links of one controller down.
type Partition struct {
	Role            string
	Links           []string // state, cloud, users, peers, peer-1 etc., zone:a etc.
	Direction, Mode string
	Duration        int64
}

// Case is one or two simultaneous partitions, and possibly an extra fault 3 s later.
type Case struct {
	Size       int
	Partitions []Partition
	Extra      string
	Seed       uint64
}

// ID returns the number of the case.
func (c Case) ID() uint64 { return c.Seed }

func (c Case) String() string {
	s := fmt.Sprintf("%d controllers", c.Size)
	for _, partition := range c.Partitions {
		s += fmt.Sprintf(", %s without %s (%s, %s, %d s)", partition.Role, strings.Join(partition.Links, "+"), partition.Direction, partition.Mode, partition.Duration/second)
	}
	if c.Extra != "" {
		s += ", with " + c.Extra
	}
	return s
}

// links returns all links of a controller.
func links(size int) []string {
	all := []string{"state"}
	for i := 1; i < size; i++ {
		all = append(all, fmt.Sprintf("peer-%d", i))
	}
	for _, zone := range cases.Zones() {
		all = append(all, "zone:"+zone)
	}
	return append(all, "cloud", "users")
}

// subsets returns all non-empty subsets of links.
func subsets(links []string) (out [][]string) {
	for set := 1; set < 1<<len(links); set++ {
		var subset []string
		for i, link := range links {
			if set>>i&1 == 1 {
				subset = append(subset, link)
			}
		}
		out = append(out, subset)
	}
	return out
}

// extraFaults lists all extra faults.
var extraFaults = []string{extraNone, extraFailover, extraFreeze, extraCrash}

// pairLinks are the sets of links that are down when two controllers are partitioned.
var pairLinks = [][]string{{"state"}, {"peers"}, {"zone:a"}, {"zone:a", "zone:b"}, {"state", "peers"}, {"zone:a", "zone:b", "peers"}, {"state", "zone:a", "zone:b"}}

// AllCases returns all cases with the given number of controllers: single partitions, pairs
// of partitions, and single partitions with an extra fault.
func AllCases(size int) []Case {
	all := slices.Concat(singleCases(size), pairCases(size), extraCases(size))
	for i := range all {
		all[i].Seed = uint64(i + 1)
	}
	return all
}

// singleCases returns one partition for each subset of the links of the leader and of a
// follower, in each direction, mode and duration.
func singleCases(size int) (out []Case) {
	for _, role := range []string{Leader, Follower} {
		for _, set := range subsets(links(size)) {
			for _, direction := range []string{bothWays, outward, inward} {
				for _, mode := range []string{modeHold, modeReset, modeRefuse} {
					for _, seconds := range []int64{4, 16, 90} {
						out = append(out, Case{Size: size, Partitions: []Partition{{role, set, direction, mode, seconds * second}}})
					}
				}
			}
		}
	}
	return out
}

// pairCases returns simultaneous partitions of the leader and a follower, without and with
// each extra fault.
func pairCases(size int) (out []Case) {
	for _, leaderLinks := range pairLinks {
		for _, followerLinks := range pairLinks {
			for _, extra := range extraFaults {
				for _, seconds := range []int64{16, 90} {
					out = append(out, Case{Size: size, Extra: extra, Partitions: []Partition{
						{Leader, leaderLinks, bothWays, modeHold, seconds * second},
						{Follower, followerLinks, bothWays, modeReset, seconds * second},
					}})
				}
			}
		}
	}
	return out
}

// extraCases returns one partition for each subset of the links to the state service, the peers
// and the zones, with each extra fault.
func extraCases(size int) (out []Case) {
	for _, role := range []string{Leader, Follower} {
		for _, set := range subsets(links(size)[:size+len(cases.Zones())]) {
			for _, extra := range extraFaults[1:] {
				out = append(out, Case{Size: size, Extra: extra, Partitions: []Partition{{role, set, bothWays, modeHold, 90 * second}}})
			}
		}
	}
	return out
}

// Result is the result of a case.
type Result struct {
	// Serviceable is set if, while the partitions last, some controller reaches the state
	// service and, directly or through at most two others, all workers.
	Serviceable bool
	// Served is the share of jobs that were done in time. It counts the jobs submitted from
	// 15 s after the partition began until 20 s after it ended, or until 35 s after it began
	// if that is later. Killed is the number of tasks that ended because the lease of their
	// worker expired.
	Served     float64
	Killed     int
	Violations []string
}

// HasViolations reports whether the history violates a rule.
func (r Result) HasViolations() bool { return len(r.Violations) > 0 }

// Shortfall describes the first unmet requirement, "" if all are met.
func (r Result) Shortfall() string {
	switch {
	case len(r.Violations) > 0:
		return "rules violated: " + strings.Join(r.Violations, "; ")
	case r.Serviceable && r.Killed > 0:
		return fmt.Sprintf("%d tasks ended when their lease expired", r.Killed)
	case r.Serviceable && r.Served < 0.9:
		return fmt.Sprintf("share of jobs served is %.2f, want at least 0.90", r.Served)
	}
	return ""
}

const (
	partitionStart = 60 * second
	settleTime     = 15 * second
	serveWithin    = 15 * second
	jobInterval    = 1 * second
)

// deployment returns a small deployment with spare capacity, so that only a partition can
// keep jobs waiting. Its load is one short job per second, and tasks that run all the time.
func deployment(c Case) environment.Config {
	cfg := cases.Deployment{
		Size:            c.Size,
		Seed:            c.Seed,
		LeaseS:          16,
		CancelS:         36,
		StateRPS:        200,
		StateWriteRPS:   100,
		StateTxnOps:     24,
		ListLagS:        8,
		FetchRate:       2,
		BootS:           20,
		MachinesPerZone: 5,
		CapacityPerZone: 8,
	}.Config()
	cfg.Params.Teams = []config.Team{{Name: "t", CPUs: 100}}
	cfg.StrayRequestRate = 0.1
	cfg.Length = partitionStart + c.longest() + settleTime + 60*second
	newJob := func(id, class string, tasks int, run int64) environment.Job {
		return environment.Job{Run: run, Spec: wire.Job{ID: id, Class: class, Team: "t", Kind: wire.Array, Tasks: tasks, CPUs: 1, MemGB: 1, Priority: "normal", Image: "i", ImageGB: 0.5, EstimateS: float64(run) / 1e6}}
	}
	long := newJob("long", "long", 20, cfg.Length)
	long.At = 2 * second
	cfg.Jobs = append(cfg.Jobs, long)
	for i := int64(0); 10*second+i*jobInterval < cfg.Length-serveWithin; i++ {
		job := newJob(fmt.Sprintf("job-%03d", i), "short", 2, 2*second)
		job.At = 10*second + i*jobInterval
		cfg.Jobs = append(cfg.Jobs, job)
	}
	return cfg
}

// Run runs a case with the given controller settings. If log is not nil, it receives the log
// records of the controllers.
func Run(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	run := caseRun{Case: c}
	cluster, err := faketime.Run(deployment(c), faketime.Options{Operators: ops, Log: log, OnStart: run.schedule})
	if err = cmp.Or(err, run.failed); err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	return evaluate(cluster, c, run.serviceable), nil
}

// caseRun is the state of a running case.
type caseRun struct {
	Case
	hosts       []string // the partitioned controllers, in the order of Partitions
	serviceable bool
	failed      error
}

// schedule schedules the faults of the case.
func (r *caseRun) schedule(cluster *faketime.Cluster) {
	cluster.After(partitionStart, func() {
		r.hosts = affectedControllers(cluster, r.Case)
		for i, p := range r.Partitions {
			r.failed = cmp.Or(r.failed, beginPartition(cluster, p, r.hosts[i]))
		}
	})
	cluster.After(partitionStart+3*second, func() {
		unavailable := ""
		if r.Extra != extraNone {
			unavailable = r.injectExtra(cluster)
		}
		r.serviceable = serviceable(r.Case, r.hosts, unavailable)
	})
}

// injectExtra injects the extra fault and returns the controller that it affects.
func (r *caseRun) injectExtra(cluster *faketime.Cluster) string {
	affected := r.hosts[0]
	if leaders := cluster.Leaders(); len(leaders) > 0 && r.Extra != extraCrash {
		affected = leaders[len(leaders)-1]
	}
	fault := environment.Fault{Kind: environment.FaultCrash, Hosts: []string{affected}}
	if r.Extra == extraFreeze {
		fault.Kind, fault.Duration = environment.FaultFreeze, 8*second
	}
	r.failed = cmp.Or(r.failed, cluster.InjectFault(fault))
	return affected
}

// longest returns the duration of the longest partition of the case.
func (c Case) longest() (longest int64) {
	for _, p := range c.Partitions {
		longest = max(longest, p.Duration)
	}
	return longest
}

func evaluate(cluster *faketime.Cluster, c Case, serviceable bool) Result {
	r := Result{Serviceable: serviceable, Violations: cluster.Violations()}
	from, to := partitionStart+settleTime, partitionStart+max(c.longest(), settleTime)+20*second
	var deadlines []cases.Deadline
	for _, j := range cluster.Config.Jobs {
		if j.Spec.Class == "short" && j.At >= from && j.At < to {
			deadlines = append(deadlines, cases.Deadline{Job: j.Spec.ID, Tasks: j.Spec.Tasks, By: j.At + serveWithin})
		}
	}
	r.Served = cases.ServedShare(cluster.History, deadlines)
	for i := range cluster.History {
		if e := &cluster.History[i]; e.Kind == history.TaskLeft && e.Reason == "lease" {
			r.Killed++
		}
	}
	return r
}

// affectedControllers returns the controller of each partition of a case: the leader for the
// role Leader, the other controllers in the order of their numbers for the role Follower.
func affectedControllers(cluster *faketime.Cluster, c Case) (out []string) {
	leaders := cluster.Leaders()
	if len(leaders) == 0 {
		leaders = []string{environment.ControllerName(0)}
	}
	next := 0
	for _, partition := range c.Partitions {
		if partition.Role == Leader {
			out = append(out, leaders[0])
			continue
		}
		for environment.ControllerName(next) == leaders[0] {
			next++
		}
		out = append(out, environment.ControllerName(next))
		next++
	}
	return out
}

// farSide returns the hosts on the far side of a partition's links.
func farSide(partition Partition, host string, size int) (out []string) {
	peers := []string{}
	for i := range size {
		if name := environment.ControllerName(i); name != host {
			peers = append(peers, name)
		}
	}
	for _, link := range partition.Links {
		var number int
		switch _, err := fmt.Sscanf(link, "peer-%d", &number); {
		case err == nil:
			out = append(out, peers[number-1])
		case link == "peers":
			out = append(out, peers...)
		case link == "state":
			out = append(out, environment.StateHost)
		case link == "cloud":
			out = append(out, environment.CloudHost)
		default:
			out = append(out, link)
		}
	}
	return out
}

func beginPartition(cluster *faketime.Cluster, partition Partition, host string) error {
	fault := environment.Fault{
		Kind:     environment.FaultPartition,
		Duration: partition.Duration,
		PartitionMode: environment.PartitionMode{
			Reset:  partition.Mode == modeReset,
			Refuse: partition.Mode == modeRefuse,
			OneWay: partition.Direction != bothWays,
		},
	}
	for _, farHost := range farSide(partition, host, cluster.Config.Params.Size) {
		// A partition from a zone affects only the zone's workers, not its controllers.
		to := []string{farHost}
		if zone, ok := strings.CutPrefix(farHost, "zone:"); ok {
			to = []string{"workers:" + zone}
		}
		fault.Hosts, fault.To = []string{host}, to
		if partition.Direction == inward {
			fault.Hosts, fault.To = to, []string{host}
		}
		if err := cluster.InjectFault(fault); err != nil {
			return err
		}
	}
	return nil
}

// serviceable is the oracle for Result.Serviceable: it reports whether some controller could
// lead and reach all workers through at most two others. A link that is down in one direction
// counts as down. unavailable is a controller that crashes or is suspended during the case, or "".
func serviceable(c Case, hosts []string, unavailable string) bool {
	down := map[[2]string]bool{}
	for i, partition := range c.Partitions {
		for _, farHost := range farSide(partition, hosts[i], c.Size) {
			down[[2]string{hosts[i], farHost}], down[[2]string{farHost, hosts[i]}] = true, true
		}
	}
	var names []string
	for i := range c.Size {
		if name := environment.ControllerName(i); name != unavailable {
			names = append(names, name)
		}
	}
	return slices.ContainsFunc(names, func(candidate string) bool {
		if down[[2]string{candidate, environment.StateHost}] {
			return false
		}
		reachable := []string{candidate}
		for range 2 {
			for _, name := range names {
				if !slices.Contains(reachable, name) && slices.ContainsFunc(reachable, func(via string) bool { return !down[[2]string{via, name}] }) {
					reachable = append(reachable, name)
				}
			}
		}
		for _, zone := range cases.Zones() {
			if !slices.ContainsFunc(reachable, func(via string) bool { return !down[[2]string{via, "zone:" + zone}] }) {
				return false
			}
		}
		return true
	})
}
