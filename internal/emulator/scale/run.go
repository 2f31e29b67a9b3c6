package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/procfs"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/sockets"
	"github.com/zinclb/zinclb/internal/emulator/workerproc"
)

// Options configure a run.
type Options struct {
	// Dir is the directory for settings and logs, Port is the port of the load balancer.
	Dir  string
	Port int
	// Binaries are the controller programs, assigned to the controllers in rotation. Args are
	// their arguments before --config.
	Binaries, Args []string
	// Workers is the program that runs workers, followed by its arguments.
	Workers []string
	// Sources identifies what is measured, see Figures.Sources.
	Sources string
	// Out receives the progress, one line every ten seconds.
	Out io.Writer
}

// ErrMemory is returned if the processes of a run exceed their memory limit.
var ErrMemory = errors.New("the run uses more than half of the machine's memory")

// ErrStopped is returned if a run is interrupted before its end.
var ErrStopped = errors.New("the run was interrupted")

// maxTimerLatenessMS is the limit on the 99th percentile of the timer lateness of the workers and
// the emulator, in ms. Beyond it, the machine rather than the service counts as the bottleneck.
const maxTimerLatenessMS = 100

// sampleInterval is the interval between two samples of the processes.
const sampleInterval = time.Second

// Run executes a plan. All processes that it starts have ended when it returns.
func Run(p Plan, o Options, stop <-chan struct{}) (*Figures, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	limits, err := MachineLimits()
	if err != nil {
		return nil, err
	}
	if err := p.Requirements().Fits(limits); err != nil {
		return nil, err
	}
	r, err := newRun(p, o, limits)
	if err != nil {
		return nil, err
	}
	defer r.pool.Close()
	return r.execute(stop)
}

// execution is a run in progress.
type execution struct {
	Plan
	Options
	limits       Limits
	config       environment.Config
	procFS       procfs.FS
	meter        *meter.Meter
	driver       *sockets.Driver
	pool         *workerproc.Pool
	dedicated    map[string]bool
	measurements map[string]measurement
	peakMemoryMB atomic.Int64 // peak memory of all processes together, in MB
	// leaderLostAt is the time at which the leader's process was killed, in microseconds since
	// the start; 0 if it was not.
	leaderLostAt int64
	lateness     Latency
	tokenTimes   workerproc.TokenTimes
}

func newRun(p Plan, o Options, limits Limits) (*execution, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, fmt.Errorf("read process information: %w", err)
	}
	r := &execution{Plan: p, Options: o, limits: limits, config: p.Config(), procFS: fs, meter: meter.New(), dedicated: map[string]bool{}, measurements: map[string]measurement{}, tokenTimes: workerproc.TokenTimes{}}
	dedicated := p.dedicatedMachines(&r.config)
	for _, name := range dedicated {
		r.dedicated[name] = true
	}
	start := time.Now()
	r.pool, err = workerproc.Start(o.Workers[0], o.Workers[1:], r.config, sockets.ControllerAddresses(o.Port, p.Controllers), start, workerproc.Layout{Dedicated: dedicated})
	if err != nil {
		return nil, err
	}
	r.driver, err = sockets.New(r.config, sockets.Options{Dir: o.Dir, Port: o.Port, Binaries: o.Binaries, Args: o.Args, Workers: r.pool, Meter: r.meter, OnProgress: r.printProgress})
	if err != nil {
		r.pool.Close()
		return nil, err
	}
	r.driver.SetStart(start)
	r.pool.OnEvents = r.driver.AddEvents
	return r, nil
}

func (r *execution) printProgress(p sockets.Progress) {
	_, _ = fmt.Fprintf(r.Out, "%4.0f of %.0f s: %d jobs accepted, %d tasks started, %d done, %d MB\n", p.Now.Seconds(), p.Length.Seconds(), p.JobsAccepted, p.TasksStarted, p.TasksCompleted, r.peakMemoryMB.Load())
}

// execute runs the environment until the run ends and computes the figures.
func (r *execution) execute(stop <-chan struct{}) (*Figures, error) {
	end, finished := make(chan struct{}), make(chan error, 1)
	var events []history.Event
	go func() {
		var err error
		events, err = r.driver.Run(end)
		finished <- err
	}()
	err := r.watch(stop, finished)
	close(end)
	ended := <-finished
	if err == nil {
		err = ended
	}
	if err != nil {
		return nil, err
	}
	return r.computeFigures(events), nil
}

// scheduledAction is an action that is executed once in a run, at a given time in microseconds
// since the start.
type scheduledAction struct {
	at  int64
	run func() error
}

// scheduledActions returns the measurements at the bounds of the windows and the loss of the
// leader, in the order of their times.
func (r *execution) scheduledActions() []scheduledAction {
	end := r.Length.Microseconds()
	measureAs := func(name string) func() error { return func() error { return r.measure(name) } }
	var actions []scheduledAction
	if end >= minLength {
		// The rate of starts takes some seconds to reach its peak value, and to fall after
		// the peak.
		actions = append(actions, scheduledAction{peakStart + 10*config.Second, measureAs("peak from")}, scheduledAction{peakEnd, measureAs("peak to")}, scheduledAction{steadyStart, measureAs("steady from")})
	}
	if slices.Contains(r.Failures, FailureLeader) {
		actions = append(actions, scheduledAction{peakEnd + 20*config.Second, r.loseLeader})
	}
	actions = append(actions, scheduledAction{end - 2*config.Second, measureAs("steady to")})
	slices.SortStableFunc(actions, func(a, b scheduledAction) int { return int(a.at - b.at) })
	return actions
}

// watch samples the processes, enforces the memory limit and executes the scheduled actions
// that are due, until the run ends or is interrupted.
func (r *execution) watch(stop <-chan struct{}, finished chan error) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	actions := r.scheduledActions()
	for {
		select {
		case err := <-finished:
			finished <- err
			return nil
		case <-stop:
			return ErrStopped
		case <-tick.C:
		}
		total := 0.0
		for _, u := range usages(r.procFS, r.processes()) {
			total += u.memory
		}
		r.peakMemoryMB.Store(max(r.peakMemoryMB.Load(), int64(total)))
		if total > r.limits.MemoryMB {
			return fmt.Errorf("%w: %.0f MB of %.0f", ErrMemory, total, r.limits.MemoryMB)
		}
		for len(actions) > 0 && r.now() >= actions[0].at {
			if err := actions[0].run(); err != nil {
				return err
			}
			actions = actions[1:]
		}
	}
}

func (r *execution) now() int64 { return time.Since(r.driver.Start()).Microseconds() }

// processes returns the process IDs of the run by name, including the emulator's own.
func (r *execution) processes() map[string]int {
	pids := map[string]int{emulatorProcess: ownPID()}
	for name, pid := range r.driver.Processes() {
		pids[name] = pid
	}
	for _, x := range r.pool.Processes() {
		pids[x.Name] = x.PID
	}
	return pids
}

// measure records the current message counts and resource usage under a name.
func (r *execution) measure(name string) error {
	snapshots, err := r.pool.Snapshot()
	if err != nil {
		return err
	}
	m := measurement{at: r.now(), leader: r.leader(), usage: usages(r.procFS, r.processes()), counts: map[meter.Key]meter.Count{}}
	add := func(rows []meter.Row) {
		for _, row := range rows {
			c := m.counts[row.Key]
			c.Add(row.Count)
			m.counts[row.Key] = c
		}
	}
	add(r.meter.Rows())
	r.tokenTimes = workerproc.TokenTimes{}
	late := r.driver.Lateness()
	for _, s := range snapshots {
		add(s.Counts)
		for token, at := range s.TokenTimes {
			r.tokenTimes.Add(token, at...)
		}
		late.Median, late.P99, late.Worst = max(late.Median, s.Lateness.Median), max(late.P99, s.Lateness.P99), max(late.Worst, s.Lateness.Worst)
	}
	r.lateness = Latency{Median: float64(late.Median) / 1000, P99: float64(late.P99) / 1000, Worst: float64(late.Worst) / 1000, Count: len(snapshots) + 1}
	r.measurements[name] = m
	return nil
}

// leader returns the name of the stored leader, or "" if there is none.
func (r *execution) leader() string {
	var v struct {
		Name string `json:"n"`
	}
	if json.Unmarshal(r.driver.StoredValue(core.LeaderKey), &v) != nil {
		return ""
	}
	return v.Name
}

func (r *execution) loseLeader() error {
	leader := r.leader()
	if leader == "" {
		return nil // no leader at this time, which the figures show
	}
	r.leaderLostAt = r.now()
	return r.driver.InjectFault(environment.Fault{Kind: environment.FaultCrash, Hosts: []string{leader}})
}

// computeFigures computes the figures from the events and the measurements.
func (r *execution) computeFigures(events []history.Event) *Figures {
	expectations := r.driver.Expectations()
	f := &Figures{
		Plan: r.Plan, Sources: r.Sources, Cores: runtime.NumCPU(), Windows: map[string]Window{}, TimerLateness: r.lateness,
		Urgent: startWaits(events, expectations, classUrgent, urgentTargetS), Gangs: startWaits(events, expectations, classGang, 30),
		Submit: requestLatencies(events, history.Submit), Poll: requestLatencies(events, history.Poll), Events: len(events), PeakMemoryMB: float64(r.peakMemoryMB.Load()),
	}
	if f.TimerLateness.P99 > maxTimerLatenessMS {
		f.MachineLimited = fmt.Sprintf("the workers' or the emulator's timers ran %.0f ms late at the 99th percentile, and %d are allowed", f.TimerLateness.P99, maxTimerLatenessMS)
	}
	var controllers []string
	for i := range r.Controllers {
		controllers = append(controllers, environment.ControllerName(i))
	}
	for _, name := range []string{WindowPeak, WindowSteady} {
		from, ok := r.measurements[name+" from"]
		to, ok2 := r.measurements[name+" to"]
		if !ok || !ok2 || len(r.Failures) > 0 && name == WindowSteady {
			continue // with failures, the load is not steady
		}
		w := window(from, to, controllers, r.dedicated)
		w.Starts, w.Running = startRate(events, from.at, to.at)
		f.Windows[name] = w
	}
	if r.leaderLostAt > 0 {
		f.Failovers = append(f.Failovers, failoverOf(r.tokenTimes, r.leaderLostAt))
	}
	f.Violations = history.FormatViolations(history.CheckAll(events, expectations))
	return f
}

// failoverOf computes the failover after the loss of a leader from the times at which workers
// first received a response of the next leader. The next leader's token is the lowest one that no
// worker had received before the loss.
func failoverOf(tokenTimes workerproc.TokenTimes, lostAt int64) Failover {
	var token uint64
	for t, at := range tokenTimes {
		if slices.Min(at) > lostAt && (token == 0 || t < token) {
			token = t
		}
	}
	var values []float64
	for _, at := range tokenTimes[token] {
		values = append(values, float64(at-lostAt)/1e6)
	}
	return Failover{Latency: summarize(values), Workers: len(values)}
}

// CheckPrograms returns an error if paths is empty, or one that names the first path that is not
// an executable file.
func CheckPrograms(paths []string) error {
	if len(paths) == 0 {
		return errors.New("binary: missing; name at least one controller program")
	}
	for _, path := range paths {
		if s, err := os.Stat(path); err != nil {
			return fmt.Errorf("binary: %w", err)
		} else if s.IsDir() || s.Mode()&0o111 == 0 {
			return fmt.Errorf("binary: %s is not an executable file", path)
		}
	}
	return nil
}
