// Package partitions enumerates partial network partitions, in which some links of a
// controller stay up, runs each in simulated time, and tells whether the service went on
// as far as it could.
package partitions

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const second = config.Second

// Roles of the controller that is cut off, by what it is when the cut begins.
const (
	Leader   = "leader"
	Follower = "holder"
)

// Partition takes some links of one controller.
type Partition struct {
	Role  string
	Links []string // state, cloud, users, peers, peer-1 and so on, zone:a and so on
	// Direction is "both", "out" or "in", seen from the controller; How is "hold",
	// "reset" or "refuse".
	Direction, Mode string
	Duration        int64
}

// Case is one or two cuts at once, and what else happens a moment later.
type Case struct {
	Size       int
	Partitions []Partition
	// Extra is "", "take-over" (the leader crashes), "standstill" (it stands
	// still for longer than its lease) or "crash" (the controller that is cut
	// off first crashes and comes back).
	Extra string
	Seed  uint64
}

func (c Case) String() string {
	s := fmt.Sprintf("%d controllers", c.Size)
	for _, x := range c.Partitions {
		s += fmt.Sprintf(", %s without %s (%s, %s, %d s)", x.Role, strings.Join(x.Links, "+"), x.Direction, x.Mode, x.Duration/second)
	}
	if c.Extra != "" {
		s += ", with " + c.Extra
	}
	return s
}

// Zones of the deployment that is played.
var zones = []string{"a", "b"}

func links(size int) []string {
	l := []string{"state"}
	for i := 1; i < size; i++ {
		l = append(l, fmt.Sprintf("peer-%d", i))
	}
	for _, z := range zones {
		l = append(l, "zone:"+z)
	}
	return append(l, "cloud", "users")
}

func subsets(l []string) (out [][]string) {
	for set := 1; set < 1<<len(l); set++ {
		var s []string
		for i, x := range l {
			if set>>i&1 == 1 {
				s = append(s, x)
			}
		}
		out = append(out, s)
	}
	return out
}

// AllCases are all cases of a size: every subset of the links of the leader and of
// another controller, each way and manner of cutting and length; then pairs of
// cuts, each alone and with what may happen inside; then every subset of those
// that service goes by with the same.
func AllCases(size int) (out []Case) {
	for _, role := range []string{Leader, Follower} {
		for _, set := range subsets(links(size)) {
			for _, way := range []string{"both", "out", "in"} {
				for _, how := range []string{"hold", "reset", "refuse"} {
					for _, d := range []int64{4, 16, 90} {
						out = append(out, Case{Size: size, Partitions: []Partition{{role, set, way, how, d * second}}})
					}
				}
			}
		}
	}
	for _, a := range pairLinks {
		for _, b := range pairLinks {
			for _, with := range extraFaults {
				for _, d := range []int64{16, 90} {
					out = append(out, Case{Size: size, Extra: with, Partitions: []Partition{{Leader, a, "both", "hold", d * second}, {Follower, b, "both", "reset", d * second}}})
				}
			}
		}
	}
	for _, role := range []string{Leader, Follower} {
		for _, set := range subsets(links(size)[:size+len(zones)]) {
			for _, with := range extraFaults[1:] {
				out = append(out, Case{Size: size, Extra: with, Partitions: []Partition{{role, set, "both", "hold", 90 * second}}})
			}
		}
	}
	for i := range out {
		out[i].Seed = uint64(i + 1)
	}
	return out
}

// extraFaults is what may happen a moment after a cut has begun.
var extraFaults = []string{"", "take-over", "standstill", "crash"}

// pairLinks are the sets of links that cuts of two controllers are made of.
var pairLinks = [][]string{{"state"}, {"peers"}, {"zone:a"}, {"zone:a", "zone:b"}, {"state", "peers"}, {"zone:a", "zone:b", "peers"}, {"state", "zone:a", "zone:b"}}

// EveryNth is every n-th case, from the first.
func EveryNth(all []Case, first, n int) (out []Case) {
	for i := first; i < len(all); i += n {
		out = append(out, all[i])
	}
	return out
}

// Result is how a case went.
type Result struct {
	// Serviceable be served: some controller reaches the state service and, itself
	// or through at most two others, all workers, for as long as it lasts.
	Serviceable bool
	// Served is the share of the jobs submitted from 15 s after the cut, while
	// it lasts and a little longer, that were done in time; Killed counts tasks
	// whose worker's lease ran out.
	Served     float64
	Killed     int
	Violations []string
}

// Shortfall says what falls short of what there should be, "" if nothing does.
func (r *Result) Shortfall() string {
	switch {
	case len(r.Violations) > 0:
		return "broken: " + strings.Join(r.Violations, "; ")
	case r.Serviceable && r.Killed > 0:
		return fmt.Sprintf("%d tasks were killed by their lease", r.Killed)
	case r.Serviceable && r.Served < 0.9:
		return fmt.Sprintf("%.2f served", r.Served)
	}
	return ""
}

const (
	partitionStart = 60 * second
	settleTime     = 15 * second
	serveWithin    = 15 * second
	jobInterval    = 1 * second
)

// deployment is small, with more room than is needed, so that only a cut can
// keep work waiting: a job a second, and tasks that run all the time.
func deployment(c Case) environment.Config {
	var cfg environment.Config
	p := &cfg.Params
	p.Size, p.Zones = c.Size, zones
	p.Teams = []config.Team{{Name: "t", CPUs: 100}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2.5, 16, 30, 4, 36
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 200, 100, 8, 24
	p.Cloud.RPS, p.Cloud.ListLagS = 3, 8
	p.ClockErrorMS = 500
	cfg.Seed, cfg.RestartTime, cfg.StateDelay, cfg.CloudDelay, cfg.ClockDrift, cfg.StrayRequestRate = c.Seed, 4*second, 3000, 50_000, 0.0005, 0.1
	cfg.Types = []wire.MachineType{{Name: "m", CPUs: 8, MemGB: 32, FetchRate: 2, CacheGB: 50, BootS: 20, Price: 1, SpotPrice: 0.4, Zones: zones}}
	for _, z := range zones {
		cfg.Machines = append(cfg.Machines, environment.Machines{Type: "m", Zone: z, Count: 5})
		cfg.Capacity = append(cfg.Capacity, environment.Capacity{Type: "m", Zone: z, Count: 8})
	}
	last := int64(0)
	for _, x := range c.Partitions {
		last = max(last, x.Duration)
	}
	cfg.Length = partitionStart + last + settleTime + 60*second
	spec := func(id, class string, tasks int, run int64) environment.Job {
		return environment.Job{Run: run, Spec: wire.Job{ID: id, Class: class, Team: "t", Kind: wire.Array, Tasks: tasks, CPUs: 1, MemGB: 1, Priority: "normal", Image: "i", ImageGB: 0.5, EstimateS: float64(run) / 1e6}}
	}
	long := spec("long", "long", 20, cfg.Length)
	long.At = 2 * second
	cfg.Jobs = append(cfg.Jobs, long)
	for i := int64(0); 10*second+i*jobInterval < cfg.Length-serveWithin; i++ {
		j := spec(fmt.Sprintf("job-%03d", i), "short", 2, 2*second)
		j.At = 10*second + i*jobInterval
		cfg.Jobs = append(cfg.Jobs, j)
	}
	return cfg
}

// Run plays a case with controllers of some settings; log gets what they write,
// if it is not nil.
func Run(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	cfg := deployment(c)
	var hosts []string // of each cut
	could := false
	var failed error
	gone := ""
	cl, err := faketime.Run(cfg, faketime.Options{Operators: ops, Log: log, OnStart: func(cl *faketime.Cluster) {
		cl.After(partitionStart, func() {
			hosts = affectedControllers(cl, c)
			for i, x := range c.Partitions {
				failed = firstError(failed, beginPartition(cl, x, hosts[i]))
			}
		})
		cl.After(partitionStart+3*second, func() {
			if c.Extra != "" {
				gone = hosts[0]
				if l := cl.Leaders(); len(l) > 0 && c.Extra != "crash" {
					gone = l[len(l)-1]
				}
				f := environment.Fault{Kind: "crash", Hosts: []string{gone}}
				if c.Extra == "standstill" {
					f.Kind, f.Duration = "freeze", 8*second
				}
				failed = firstError(failed, cl.InjectFault(f))
			}
			could = serviceable(c, hosts, gone)
		})
	}})
	if err = firstError(err, failed); err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	return evaluate(cl, c, could), nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func evaluate(cl *faketime.Cluster, c Case, could bool) Result {
	r := Result{Serviceable: could}
	for _, b := range history.CheckAll(cl.History, cl.Expectations()) {
		r.Violations = append(r.Violations, b.String())
	}
	last := int64(0)
	for _, x := range c.Partitions {
		last = max(last, x.Duration)
	}
	from, to := partitionStart+settleTime, partitionStart+max(last, settleTime)+20*second
	left := map[string]int{}
	at := map[string]int64{}
	for _, j := range cl.Config.Jobs {
		if j.Spec.Class == "short" && j.At >= from && j.At < to {
			left[j.Spec.ID], at[j.Spec.ID] = j.Spec.Tasks, j.At
		}
	}
	all := len(left)
	for _, e := range cl.History {
		switch {
		case e.Kind == history.TaskLeft && e.Reason == "lease":
			r.Killed++
		case e.Kind == history.TaskCompleted && left[e.Job] > 0 && e.At <= at[e.Job]+serveWithin:
			left[e.Job]--
		}
	}
	done := 0
	for _, n := range left {
		if n == 0 {
			done++
		}
	}
	r.Served = float64(done) / float64(max(all, 1))
	return r
}

// affectedControllers are the controllers that the cuts of a case befall: the leader, and the
// others in their order.
func affectedControllers(cl *faketime.Cluster, c Case) (out []string) {
	lead := cl.Leaders()
	if len(lead) == 0 {
		lead = []string{environment.ControllerName(0)}
	}
	next := 0
	for _, x := range c.Partitions {
		if x.Role == Leader {
			out = append(out, lead[0])
			continue
		}
		for environment.ControllerName(next) == lead[0] {
			next++
		}
		out = append(out, environment.ControllerName(next))
		next++
	}
	return out
}

// farSide is the far side of a cut's links.
func farSide(x Partition, host string, size int) (out []string) {
	peers := []string{}
	for i := range size {
		if n := environment.ControllerName(i); n != host {
			peers = append(peers, n)
		}
	}
	for _, l := range x.Links {
		var n int
		switch _, err := fmt.Sscanf(l, "peer-%d", &n); {
		case err == nil:
			out = append(out, peers[n-1])
		case l == "peers":
			out = append(out, peers...)
		case l == "state":
			out = append(out, environment.StateHost)
		case l == "cloud":
			out = append(out, environment.CloudHost)
		default:
			out = append(out, l)
		}
	}
	return out
}

func beginPartition(cl *faketime.Cluster, x Partition, host string) error {
	f := environment.Fault{Kind: "cut", Duration: x.Duration, Hosts: []string{host}, PartitionMode: environment.PartitionMode{Reset: x.Mode == "reset", Refuse: x.Mode == "refuse", OneWay: x.Direction != "both"}}
	for _, o := range farSide(x, host, cl.Config.Params.Size) {
		// A zone's controllers are not part of the link to its workers.
		to := []string{o}
		if z, ok := strings.CutPrefix(o, "zone:"); ok {
			to = []string{"workers:" + z}
		}
		f.To = to
		if x.Direction == "in" {
			f.Hosts, f.To = to, []string{host}
		}
		if err := cl.InjectFault(f); err != nil {
			return err
		}
	}
	return nil
}

// serviceable is the oracle: whether some controller could lead and serve all, with
// ways through at most two others. A link that is cut one way counts as cut,
// and a controller that crashes or stands still inside a case as gone.
func serviceable(c Case, hosts []string, gone string) bool {
	cut := map[[2]string]bool{}
	for i, x := range c.Partitions {
		for _, o := range farSide(x, hosts[i], c.Size) {
			cut[[2]string{hosts[i], o}], cut[[2]string{o, hosts[i]}] = true, true
		}
	}
	var names []string
	for i := range c.Size {
		if n := environment.ControllerName(i); n != gone {
			names = append(names, n)
		}
	}
	return slices.ContainsFunc(names, func(lead string) bool {
		if cut[[2]string{lead, environment.StateHost}] {
			return false
		}
		near := []string{lead}
		for range 2 {
			for _, n := range names {
				if !slices.Contains(near, n) && slices.ContainsFunc(near, func(x string) bool { return !cut[[2]string{x, n}] }) {
					near = append(near, n)
				}
			}
		}
		for _, z := range zones {
			if !slices.ContainsFunc(near, func(x string) bool { return !cut[[2]string{x, "zone:" + z}] }) {
				return false
			}
		}
		return true
	})
}
