// Package cuts enumerates cuts between hosts that leave some links up, plays
// each in fake time, and says whether the service went on as far as it could.
package cuts

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/fake"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

const second = config.Second

// Roles of the controller that is cut off, by what it is when the cut begins.
const (
	Leader = "leader"
	Holder = "holder"
)

// Cut takes some links of one controller.
type Cut struct {
	Role  string
	Links []string // state, cloud, users, peers, peer-1 and so on, zone:a and so on
	// Way is "both", "out" or "in", seen from the controller; How is "hold",
	// "reset" or "refuse".
	Way, How string
	For      int64
}

// Case is one or two cuts at once, and what else happens a moment later.
type Case struct {
	Size int
	Cuts []Cut
	// With is "", "take-over" (the leader crashes), "standstill" (it stands
	// still for longer than its lease) or "crash" (the controller that is cut
	// off first crashes and comes back).
	With string
	Seed uint64
}

func (c Case) String() string {
	s := fmt.Sprintf("%d controllers", c.Size)
	for _, x := range c.Cuts {
		s += fmt.Sprintf(", %s without %s (%s, %s, %d s)", x.Role, strings.Join(x.Links, "+"), x.Way, x.How, x.For/second)
	}
	if c.With != "" {
		s += ", with " + c.With
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

// All are all cases of a size: every subset of the links of the leader and of
// another controller, each way and manner of cutting and length; then pairs of
// cuts, each alone and with what may happen inside; then every subset of those
// that service goes by with the same.
func All(size int) (out []Case) {
	for _, role := range []string{Leader, Holder} {
		for _, set := range subsets(links(size)) {
			for _, way := range []string{"both", "out", "in"} {
				for _, how := range []string{"hold", "reset", "refuse"} {
					for _, d := range []int64{4, 16, 90} {
						out = append(out, Case{Size: size, Cuts: []Cut{{role, set, way, how, d * second}}})
					}
				}
			}
		}
	}
	for _, a := range pairLinks {
		for _, b := range pairLinks {
			for _, with := range inside {
				for _, d := range []int64{16, 90} {
					out = append(out, Case{Size: size, With: with, Cuts: []Cut{{Leader, a, "both", "hold", d * second}, {Holder, b, "both", "reset", d * second}}})
				}
			}
		}
	}
	for _, role := range []string{Leader, Holder} {
		for _, set := range subsets(links(size)[:size+len(zones)]) {
			for _, with := range inside[1:] {
				out = append(out, Case{Size: size, With: with, Cuts: []Cut{{role, set, "both", "hold", 90 * second}}})
			}
		}
	}
	for i := range out {
		out[i].Seed = uint64(i + 1)
	}
	return out
}

// inside is what may happen a moment after a cut has begun.
var inside = []string{"", "take-over", "standstill", "crash"}

// pairLinks are the sets of links that cuts of two controllers are made of.
var pairLinks = [][]string{{"state"}, {"peers"}, {"zone:a"}, {"zone:a", "zone:b"}, {"state", "peers"}, {"zone:a", "zone:b", "peers"}, {"state", "zone:a", "zone:b"}}

// Part is every n-th case, from the first.
func Part(all []Case, first, n int) (out []Case) {
	for i := first; i < len(all); i += n {
		out = append(out, all[i])
	}
	return out
}

// Result is how a case went.
type Result struct {
	// Could be served: some controller reaches the state service and, itself
	// or through at most two others, all workers, for as long as it lasts.
	Could bool
	// Served is the share of the jobs submitted from 15 s after the cut, while
	// it lasts and a little longer, that were done in time; Killed counts tasks
	// whose worker's lease ran out.
	Served   float64
	Killed   int
	Breaches []string
}

// Short says what falls short of what there should be, "" if nothing does.
func (r *Result) Short() string {
	switch {
	case len(r.Breaches) > 0:
		return "broken: " + strings.Join(r.Breaches, "; ")
	case r.Could && r.Killed > 0:
		return fmt.Sprintf("%d tasks were killed by their lease", r.Killed)
	case r.Could && r.Served < 0.9:
		return fmt.Sprintf("%.2f served", r.Served)
	}
	return ""
}

const (
	cutAt  = 60 * second
	settle = 15 * second
	inTime = 15 * second
	every  = 1 * second
)

// deployment is small, with more room than is needed, so that only a cut can
// keep work waiting: a job a second, and tasks that run all the time.
func deployment(c Case) world.Config {
	var cfg world.Config
	p := &cfg.Params
	p.Size, p.Zones = c.Size, zones
	p.Teams = []config.Team{{Name: "t", CPUs: 100}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2.5, 16, 30, 4, 36
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 200, 100, 8, 24
	p.Cloud.RPS, p.Cloud.ListLagS = 3, 8
	p.ClockErrorMS = 500
	cfg.Seed, cfg.Restart, cfg.StateDelay, cfg.CloudDelay, cfg.Drift, cfg.Strays = c.Seed, 4*second, 3000, 50_000, 0.0005, 0.1
	cfg.Types = []wire.MachineType{{Name: "m", CPUs: 8, MemGB: 32, FetchRate: 2, CacheGB: 50, BootS: 20, Price: 1, SpotPrice: 0.4, Zones: zones}}
	for _, z := range zones {
		cfg.Machines = append(cfg.Machines, world.Machines{Type: "m", Zone: z, Count: 5})
		cfg.Capacity = append(cfg.Capacity, world.Capacity{Type: "m", Zone: z, Count: 8})
	}
	last := int64(0)
	for _, x := range c.Cuts {
		last = max(last, x.For)
	}
	cfg.Length = cutAt + last + settle + 60*second
	spec := func(id, class string, tasks int, run int64) world.Job {
		return world.Job{Run: run, Spec: wire.Job{ID: id, Class: class, Team: "t", Kind: wire.Array, Tasks: tasks, CPUs: 1, MemGB: 1, Priority: "normal", Image: "i", ImageGB: 0.5, EstimateS: float64(run) / 1e6}}
	}
	long := spec("long", "long", 20, cfg.Length)
	long.At = 2 * second
	cfg.Jobs = append(cfg.Jobs, long)
	for i := int64(0); 10*second+i*every < cfg.Length-inTime; i++ {
		j := spec(fmt.Sprintf("job-%03d", i), "short", 2, 2*second)
		j.At = 10*second + i*every
		cfg.Jobs = append(cfg.Jobs, j)
	}
	return cfg
}

// Play plays a case with controllers of some settings; log gets what they write,
// if it is not nil.
func Play(c Case, ops config.Operators, log *slog.Logger) (Result, error) {
	cfg := deployment(c)
	var hosts []string // of each cut
	could := false
	var failed error
	gone := ""
	cl, err := fake.Run(cfg, fake.Options{Operators: ops, Log: log, Begin: func(cl *fake.Cluster) {
		cl.After(cutAt, func() {
			hosts = roles(cl, c)
			for i, x := range c.Cuts {
				failed = firstOf(failed, begin(cl, x, hosts[i]))
			}
		})
		cl.After(cutAt+3*second, func() {
			if c.With != "" {
				gone = hosts[0]
				if l := cl.Leaders(); len(l) > 0 && c.With != "crash" {
					gone = l[len(l)-1]
				}
				f := world.Fault{Kind: "crash", Hosts: []string{gone}}
				if c.With == "standstill" {
					f.Kind, f.For = "freeze", 8*second
				}
				failed = firstOf(failed, cl.Befall(f))
			}
			could = possible(c, hosts, gone)
		})
	}})
	if err = firstOf(err, failed); err != nil {
		return Result{}, fmt.Errorf("%s: %w", c, err)
	}
	return judge(cl, c, could), nil
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func judge(cl *fake.Cluster, c Case, could bool) Result {
	r := Result{Could: could}
	for _, b := range history.Judge(cl.History, cl.Terms()) {
		r.Breaches = append(r.Breaches, b.String())
	}
	last := int64(0)
	for _, x := range c.Cuts {
		last = max(last, x.For)
	}
	from, to := cutAt+settle, cutAt+max(last, settle)+20*second
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
		case e.Kind == history.Left && e.Why == "lease":
			r.Killed++
		case e.Kind == history.Completed && left[e.Job] > 0 && e.At <= at[e.Job]+inTime:
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

// roles are the controllers that the cuts of a case befall: the leader, and the
// others in their order.
func roles(cl *fake.Cluster, c Case) (out []string) {
	lead := cl.Leaders()
	if len(lead) == 0 {
		lead = []string{world.NodeName(0)}
	}
	next := 0
	for _, x := range c.Cuts {
		if x.Role == Leader {
			out = append(out, lead[0])
			continue
		}
		for world.NodeName(next) == lead[0] {
			next++
		}
		out = append(out, world.NodeName(next))
		next++
	}
	return out
}

// others is the far side of a cut's links.
func others(x Cut, host string, size int) (out []string) {
	peers := []string{}
	for i := range size {
		if n := world.NodeName(i); n != host {
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
			out = append(out, world.StateHost)
		case l == "cloud":
			out = append(out, world.CloudHost)
		default:
			out = append(out, l)
		}
	}
	return out
}

func begin(cl *fake.Cluster, x Cut, host string) error {
	f := world.Fault{Kind: "cut", For: x.For, Hosts: []string{host}, Cutting: world.Cutting{Reset: x.How == "reset", Refuse: x.How == "refuse", OneWay: x.Way != "both"}}
	for _, o := range others(x, host, cl.Config.Params.Size) {
		// A zone's controllers are not part of the link to its workers.
		to := []string{o}
		if z, ok := strings.CutPrefix(o, "zone:"); ok {
			to = []string{"workers:" + z}
		}
		f.To = to
		if x.Way == "in" {
			f.Hosts, f.To = to, []string{host}
		}
		if err := cl.Befall(f); err != nil {
			return err
		}
	}
	return nil
}

// possible is the oracle: whether some controller could lead and serve all, with
// ways through at most two others. A link that is cut one way counts as cut,
// and a controller that crashes or stands still inside a case as gone.
func possible(c Case, hosts []string, gone string) bool {
	cut := map[[2]string]bool{}
	for i, x := range c.Cuts {
		for _, o := range others(x, hosts[i], c.Size) {
			cut[[2]string{hosts[i], o}], cut[[2]string{o, hosts[i]}] = true, true
		}
	}
	var names []string
	for i := range c.Size {
		if n := world.NodeName(i); n != gone {
			names = append(names, n)
		}
	}
	return slices.ContainsFunc(names, func(lead string) bool {
		if cut[[2]string{lead, world.StateHost}] {
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
