package scale

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/sockets"
)

// Figures are the measurements of a run.
type Figures struct {
	Plan Plan `json:"plan"`
	// Sources identifies what was measured: the commit, and further details if needed.
	Sources string `json:"sources"`
	Cores   int    `json:"cores"`
	// MachineLimited says why the computer on which the run took place, rather than the
	// service, limited the run. If it is set, the other values are not valid measurements.
	MachineLimited string `json:"limited,omitempty"`
	// Windows are the measured parts of the run by name.
	Windows map[string]Window `json:"windows"`
	// TimerLateness is the lateness of the timers of the workers and the emulator.
	TimerLateness Latency    `json:"late_ms"`
	Urgent        StartWaits `json:"urgent"`
	Gangs         StartWaits `json:"gangs"`
	Submit        Latency    `json:"submit_ms"`
	Poll          Latency    `json:"poll_ms"`
	Failovers     []Failover `json:"takeover,omitempty"`
	Violations    []string   `json:"broken,omitempty"`
	Events        int        `json:"events"`
	PeakMemoryMB  float64    `json:"peak_memory_mb"`
}

// Latency summarizes a distribution. The unit depends on where it is used.
type Latency struct {
	Median float64 `json:"p50"`
	P95    float64 `json:"p95"`
	P99    float64 `json:"p99"`
	Worst  float64 `json:"worst"`
	Count  int     `json:"count"`
}

// StartWaits is the distribution of the waiting times of a class's jobs, in seconds. Within is the
// target of the class for these times, and Share is the share of jobs that met it.
type StartWaits struct {
	Latency
	Within float64 `json:"within"`
	Share  float64 `json:"share"`
}

// Failover is the distribution of the time between the loss of a leader and the first
// response that a worker received from the next leader, in seconds.
type Failover struct {
	Latency
	Workers int `json:"workers"`
}

// Names of the windows of a run.
const (
	WindowPeak   = "peak"
	WindowSteady = "steady"
)

// Window has the measurements of a part of the run. All rates are per second.
type Window struct {
	Seconds float64 `json:"seconds"`
	Starts  float64 `json:"starts"`
	// Running is the number of tasks that were running at the end of the window.
	Running int             `json:"running"`
	Workers int             `json:"workers"`
	Roles   map[string]Role `json:"roles"`
	// WorkerBytes is the distribution of the bytes per second, in both directions together,
	// of the workers in shared processes.
	WorkerBytes Latency `json:"worker_bytes"`
}

// Names of the roles. RoleSharedWorkers are workers that share a process, RoleDedicated are
// workers that have a process of their own.
const (
	RoleLeader        = "leader"
	RoleStandBy       = "stand-by"
	RoleBusiest       = "busiest stand-by"
	RoleSharedWorkers = "hollow worker"
	RoleDedicated     = "worker alone"
	RoleState         = "state service"
	RoleCloud         = "cloud"
	RoleEmulator      = "emulator"
)

// Role is the resource usage and traffic of one process of a role, or of one worker, in a
// window.
type Role struct {
	Count int `json:"count"`
	// CPU is the share of a core, Memory and Peak are in MB.
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory_mb"`
	Peak   float64 `json:"peak_mb"`
	// Kinds are the message rates by kind of message.
	Kinds map[string]Rate `json:"kinds,omitempty"`
}

// Rate is the rate of a kind of message, per second.
type Rate struct {
	Messages float64 `json:"messages"`
	Refused  float64 `json:"refused,omitempty"`
	Changes  float64 `json:"changes,omitempty"`
	BytesIn  float64 `json:"bytes_in"`
	BytesOut float64 `json:"bytes_out"`
}

func (r *Rate) add(c meter.Count, seconds float64) {
	r.Messages += float64(c.Messages) / seconds
	r.Refused += float64(c.Refused) / seconds
	r.Changes += float64(c.Changes) / seconds
	r.BytesIn += float64(c.BytesIn) / seconds
	r.BytesOut += float64(c.BytesOut) / seconds
}

// summarize returns the distribution of values, which it sorts in place.
func summarize(values []float64) Latency {
	if len(values) == 0 {
		return Latency{}
	}
	slices.Sort(values)
	return Latency{
		Median: history.Quantile(values, 0.5),
		P95:    history.Quantile(values, 0.95),
		P99:    history.Quantile(values, 0.99),
		Worst:  values[len(values)-1],
		Count:  len(values),
	}
}

// measurement has the message counts and the resource usage up to a point in time.
type measurement struct {
	at     int64
	leader string
	usage  map[string]usage
	counts map[meter.Key]meter.Count
}

// window computes the window between two measurements. dedicated has the machines whose
// workers have processes of their own.
func window(from, to measurement, controllers []string, dedicated map[string]bool) Window {
	w := Window{Seconds: float64(to.at-from.at) / 1e6, Roles: map[string]Role{}}
	d := difference{from: from, to: to, seconds: w.Seconds, byHost: map[string]map[string]Rate{}}
	for key, count := range to.counts {
		r := Rate{}
		r.add(count.Sub(from.counts[key]), w.Seconds)
		if d.byHost[key.Host] == nil {
			d.byHost[key.Host] = map[string]Rate{}
		}
		d.byHost[key.Host][key.Kind] = r
	}
	d.addControllers(&w, controllers)
	if r, ok := d.process(emulatorProcess); ok {
		w.Roles[RoleEmulator] = r
	}
	d.addWorkers(&w, controllers, dedicated)
	w.Roles[RoleState] = serviceRole(d.byHost, controllers, "state ")
	w.Roles[RoleCloud] = serviceRole(d.byHost, controllers, "cloud")
	return w
}

// difference has the message rates and the resource usage between two measurements.
type difference struct {
	from, to measurement
	seconds  float64
	byHost   map[string]map[string]Rate // rates by kind of message
}

// process returns the resource usage of a process, and false if the process is missing from
// one of the two measurements.
func (d *difference) process(name string) (Role, bool) {
	before, foundBefore := d.from.usage[name]
	after, foundAfter := d.to.usage[name]
	return Role{
		Count:  1,
		CPU:    (after.cpu - before.cpu) / d.seconds,
		Memory: after.memory,
		Peak:   after.peak,
		Kinds:  map[string]Rate{},
	}, foundBefore && foundAfter
}

// addControllers adds the roles of the leader, of the average stand-by controller and of the
// stand-by controller with the highest CPU usage.
func (d *difference) addControllers(w *Window, controllers []string) {
	var standBys []Role
	for _, name := range controllers {
		r, ok := d.process(name)
		if !ok {
			continue
		}
		r.Kinds = d.byHost[name]
		if name == d.to.leader {
			w.Roles[RoleLeader] = r
		} else {
			standBys = append(standBys, r)
		}
	}
	if len(standBys) > 0 {
		w.Roles[RoleStandBy] = mean(standBys)
		w.Roles[RoleBusiest] = slices.MaxFunc(standBys, func(a, b Role) int { return cmp.Compare(a.CPU, b.CPU) })
	}
}

// addWorkers adds the roles of the workers, and the bytes sent and received by those in shared
// processes.
func (d *difference) addWorkers(w *Window, controllers []string, dedicated map[string]bool) {
	var sharedRoles, dedicatedRoles []Role
	var bytes []float64
	for host, kinds := range d.byHost {
		reports := kinds[sockets.ReportKind]
		if slices.Contains(controllers, host) || reports.Messages == 0 {
			continue
		}
		if !dedicated[host] {
			sharedRoles = append(sharedRoles, Role{Count: 1, Kinds: kinds})
			bytes = append(bytes, reports.BytesIn+reports.BytesOut)
			continue
		}
		if r, ok := d.process(host); ok {
			r.Kinds = kinds
			dedicatedRoles = append(dedicatedRoles, r)
		}
	}
	w.Workers = len(sharedRoles) + len(dedicatedRoles)
	w.WorkerBytes = summarize(bytes)
	if len(sharedRoles) > 0 {
		w.Roles[RoleSharedWorkers] = mean(sharedRoles)
	}
	if len(dedicatedRoles) > 0 {
		w.Roles[RoleDedicated] = mean(dedicatedRoles)
	}
}

// mean returns the average of several processes, or workers, of a role. Peak is the maximum
// rather than the average.
func mean(roles []Role) Role {
	out := Role{Count: len(roles), Kinds: map[string]Rate{}}
	n := float64(len(roles))
	for _, r := range roles {
		out.CPU += r.CPU / n
		out.Memory += r.Memory / n
		out.Peak = max(out.Peak, r.Peak)
		for kind, rate := range r.Kinds {
			sum := out.Kinds[kind]
			sum.Messages += rate.Messages / n
			sum.Refused += rate.Refused / n
			sum.Changes += rate.Changes / n
			sum.BytesIn += rate.BytesIn / n
			sum.BytesOut += rate.BytesOut / n
			out.Kinds[kind] = sum
		}
	}
	return out
}

// serviceRole sums the traffic of all controllers with a service, over the kinds of message
// that begin with prefix. Bytes are counted as seen by the service.
func serviceRole(byHost map[string]map[string]Rate, controllers []string, prefix string) Role {
	out := Role{Count: 1, Kinds: map[string]Rate{}}
	for _, name := range controllers {
		for kind, rate := range byHost[name] {
			if len(kind) < len(prefix) || kind[:len(prefix)] != prefix {
				continue
			}
			sum := out.Kinds[kind]
			sum.Messages += rate.Messages
			sum.Refused += rate.Refused
			sum.Changes += rate.Changes
			sum.BytesIn += rate.BytesOut
			sum.BytesOut += rate.BytesIn
			out.Kinds[kind] = sum
		}
	}
	return out
}

// startWaits returns the distribution of the waiting times of a class's jobs, in seconds: from
// the first submission of a job until all its tasks had started. The parameter within is the target
// for this time, in seconds. Cancelled jobs are left out, and so are jobs that were submitted so
// late that the run ended before the target time had passed. A job that has not fully started by
// the end of the run counts as having waited until then, and as late.
func startWaits(events []history.Event, expectations history.Expectations, class string, within float64) StartWaits {
	type jobStarts struct {
		first, last int64
		started     map[int]bool
		cancelled   bool
	}
	jobs := map[string]*jobStarts{}
	end := int64(0)
	for _, e := range events {
		end = max(end, e.At)
		spec := expectations.Jobs[e.Job]
		if spec == nil || spec.Class != class {
			continue
		}
		j := jobs[e.Job]
		if j == nil {
			j = &jobStarts{first: e.At, started: map[int]bool{}}
			jobs[e.Job] = j
		}
		switch {
		case e.Kind == history.RequestSent && e.Op == history.Cancel:
			j.cancelled = true
		case e.Kind == history.TaskStarted && !j.started[e.Task]:
			j.started[e.Task] = true
			j.last = e.At
		}
	}
	var values []float64
	inTime := 0
	for id, j := range jobs {
		if j.cancelled || j.first+int64(within*1e6) > end {
			continue
		}
		if len(j.started) < expectations.Jobs[id].Tasks {
			j.last = end
		} else if float64(j.last-j.first)/1e6 <= within {
			inTime++
		}
		values = append(values, float64(j.last-j.first)/1e6)
	}
	s := StartWaits{Latency: summarize(values), Within: within}
	if len(values) > 0 {
		s.Share = float64(inTime) / float64(len(values))
	}
	return s
}

// requestLatencies returns the latencies of users' requests of a kind, in ms. It leaves out
// requests without a response.
func requestLatencies(events []history.Event, op string) Latency {
	sent := map[uint64]int64{}
	var values []float64
	for _, e := range events {
		switch {
		case e.Op != op:
		case e.Kind == history.RequestSent:
			sent[e.Call] = e.At
		case e.Kind == history.ResponseReceived && e.Status != 0:
			if at, ok := sent[e.Call]; ok {
				values = append(values, float64(e.At-at)/1000)
			}
		}
	}
	return summarize(values)
}

// startRate returns the number of tasks per second that were placed on a machine between from
// and to, and the number of tasks that were on a machine at the end of that time.
func startRate(events []history.Event, from, to int64) (starts float64, running int) {
	started := 0
	for _, e := range events {
		if e.At >= to {
			break
		}
		switch e.Kind {
		case history.TaskEntered:
			running++
			if e.At >= from {
				started++
			}
		case history.TaskLeft:
			running--
		}
	}
	return float64(started) / (float64(to-from) / 1e6), running
}
