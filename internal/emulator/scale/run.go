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

// Options say how a run is carried out.
type Options struct {
	// Dir gets settings and logs, Port is the balancer's.
	Dir  string
	Port int
	// Binaries are the controllers' programs, given out in turn, Args their
	// arguments before --config.
	Binaries, Args []string
	// Workers is the program, with its arguments, that runs workers.
	Workers []string
	// Sources name what is measured.
	Sources string
	// Out gets the progress, a line every ten seconds.
	Out io.Writer
}

// ErrMemory is returned if the processes of a run grow beyond their memory limit.
var ErrMemory = errors.New("the run holds more than half of the machine's memory")

// ErrStopped is returned if a run is interrupted before its end.
var ErrStopped = errors.New("the run was ended")

// maxTimerLateness is how late the timers of workers may run, at the 99th percentile and in
// ms, before the machine rather than the service is taken for the limit.
const maxTimerLateness = 100

// sampleEvery is how often the processes are looked at.
const sampleEvery = time.Second

// Run plays a plan. Whatever it starts has ended when it returns.
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

// execution is one under way.
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
	marks        map[string]measurement
	peakMemoryMB atomic.Int64 // the most memory that all processes held, in MB
	// leaderLostAt is when the leader's process was ended, 0 for never.
	leaderLostAt int64
	lateness     Latency
	tokenTimes   workerproc.TokenTimes
}

func newRun(p Plan, o Options, limits Limits) (*execution, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, fmt.Errorf("look at processes: %w", err)
	}
	r := &execution{Plan: p, Options: o, limits: limits, config: p.Config(), procFS: fs, meter: meter.New(), dedicated: map[string]bool{}, marks: map[string]measurement{}, tokenTimes: workerproc.TokenTimes{}}
	alone := p.dedicatedMachines(&r.config)
	for _, name := range alone {
		r.dedicated[name] = true
	}
	start := time.Now()
	r.pool, err = workerproc.Start(o.Workers[0], o.Workers[1:], r.config, sockets.ControllerAddresses(o.Port, p.Controllers), start, workerproc.Layout{Dedicated: alone})
	if err != nil {
		return nil, err
	}
	r.driver, err = sockets.New(r.config, sockets.Options{Dir: o.Dir, Port: o.Port, Binaries: o.Binaries, Args: o.Args, Workers: r.pool, Meter: r.meter, OnProgress: r.progress})
	if err != nil {
		r.pool.Close()
		return nil, err
	}
	r.driver.SetStart(start)
	r.pool.OnEvents = r.driver.AddEvents
	return r, nil
}

func (r *execution) progress(p sockets.Progress) {
	_, _ = fmt.Fprintf(r.Out, "%4.0f of %.0f s: %d jobs accepted, %d tasks started, %d done, %d MB\n", p.Now.Seconds(), p.Length.Seconds(), p.Accepted, p.Finished, p.Done, r.peakMemoryMB.Load())
}

// execute runs the environment to its end and computes the figures.
func (r *execution) execute(stop <-chan struct{}) (*Figures, error) {
	end, over := make(chan struct{}), make(chan error, 1)
	var events []history.Event
	go func() {
		var err error
		events, err = r.driver.Run(end)
		over <- err
	}()
	err := r.watch(stop, over)
	close(end)
	ended := <-over
	if err == nil {
		err = ended
	}
	if err != nil {
		return nil, err
	}
	return r.figures(events), nil
}

// scheduledAction is something that is done once in a run.
type scheduledAction struct {
	at  int64
	run func() error
}

// scheduledActions are the marks and what is lost, in their order.
func (r *execution) scheduledActions() []scheduledAction {
	end := r.Length.Microseconds()
	take := func(name string) func() error { return func() error { return r.measure(name) } }
	var l []scheduledAction
	if end >= minLength {
		// Starts take some seconds to reach their rate and to end at it.
		l = append(l, scheduledAction{peakFrom + 10*config.Second, take("peak from")}, scheduledAction{peakTo, take("peak to")}, scheduledAction{steadyFrom, take("steady from")})
	}
	if slices.Contains(r.Failures, FailureLeader) {
		l = append(l, scheduledAction{peakTo + 20*config.Second, r.loseLeader})
	}
	l = append(l, scheduledAction{end - 2*config.Second, take("steady to")})
	slices.SortStableFunc(l, func(a, b scheduledAction) int { return int(a.at - b.at) })
	return l
}

// watch waits for the end, looks at the processes and does what has its time.
func (r *execution) watch(stop <-chan struct{}, over chan error) error {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	moments := r.scheduledActions()
	for {
		select {
		case err := <-over:
			over <- err
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
		for len(moments) > 0 && r.now() >= moments[0].at {
			if err := moments[0].run(); err != nil {
				return err
			}
			moments = moments[1:]
		}
	}
}

func (r *execution) now() int64 { return time.Since(r.driver.Start()).Microseconds() }

// processes are all of the run by name, the emulator's own too.
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

// measure notes what has been counted and used until now.
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
	r.marks[name] = m
	return nil
}

// leader is the controller that leads, "" if there is none.
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
		return nil // there is none at this moment, which the figures show
	}
	r.leaderLostAt = r.now()
	return r.driver.InjectFault(environment.Fault{Kind: environment.FaultCrash, Hosts: []string{leader}})
}

// figures works out what the run has shown.
func (r *execution) figures(events []history.Event) *Figures {
	terms := r.driver.Expectations()
	f := &Figures{
		Plan: r.Plan, Sources: r.Sources, Cores: runtime.NumCPU(), Windows: map[string]Window{}, TimerLateness: r.lateness,
		Urgent: startWaits(events, terms, classUrgent, urgentWithin), Gangs: startWaits(events, terms, classGang, 30),
		Submit: requestLatencies(events, history.Submit), Poll: requestLatencies(events, history.Poll), Events: len(events), PeakMemoryMB: float64(r.peakMemoryMB.Load()),
	}
	if f.TimerLateness.P99 > maxTimerLateness {
		f.MachineLimited = fmt.Sprintf("the workers' or the emulator's timers ran %.0f ms late at the 99th percentile, and %d are allowed", f.TimerLateness.P99, maxTimerLateness)
	}
	var controllers []string
	for i := range r.Controllers {
		controllers = append(controllers, environment.ControllerName(i))
	}
	for _, name := range []string{WindowPeak, WindowSteady} {
		from, ok := r.marks[name+" from"]
		to, ok2 := r.marks[name+" to"]
		if !ok || !ok2 || len(r.Failures) > 0 && name == WindowSteady {
			continue // what is lost is no steady load
		}
		w := window(from, to, controllers, r.dedicated)
		w.Starts, w.Running = rates(events, from.at, to.at)
		f.Windows[name] = w
	}
	if r.leaderLostAt > 0 {
		f.Failovers = append(f.Failovers, failoverOf(r.tokenTimes, r.leaderLostAt))
	}
	f.Violations = history.Lines(history.CheckAll(events, terms))
	return f
}

// failoverOf is when workers had an answer of the first leader after a moment.
func failoverOf(known workerproc.TokenTimes, lost int64) Failover {
	var token uint64
	for t, at := range known {
		if slices.Min(at) > lost && (token == 0 || t < token) {
			token = t
		}
	}
	var values []float64
	for _, at := range known[token] {
		values = append(values, float64(at-lost)/1e6)
	}
	return Failover{Latency: summarize(values), Workers: len(values)}
}

// CheckPrograms says which of the programs can't be run.
func CheckPrograms(paths []string) error {
	if len(paths) == 0 {
		return errors.New("binary: missing; the controllers' program")
	}
	for _, path := range paths {
		if s, err := os.Stat(path); err != nil {
			return fmt.Errorf("binary: %w", err)
		} else if s.IsDir() || s.Mode()&0o111 == 0 {
			return fmt.Errorf("binary: %s is no program", path)
		}
	}
	return nil
}
