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
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/sockets"
	"github.com/zinclb/zinclb/internal/emulator/workerproc"
	"github.com/zinclb/zinclb/internal/emulator/world"
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

// ErrMemory: the processes of a run have grown over their limit.
var ErrMemory = errors.New("the run holds more than half of the machine's memory")

// ErrStopped: the run was ended before its time.
var ErrStopped = errors.New("the run was ended")

// mostLate is how late the timers of workers may run, at the 99th percentile and in
// ms, before the machine rather than the service is taken for the limit.
const mostLate = 100

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
	if err := p.Need().Fits(limits); err != nil {
		return nil, err
	}
	r, err := newRun(p, o, limits)
	if err != nil {
		return nil, err
	}
	defer r.pool.Close()
	return r.play(stop)
}

// run is one under way.
type run struct {
	Plan
	Options
	limits Limits
	cfg    world.Config
	fs     procfs.FS
	meter  *meter.Meter
	driver *sockets.Driver
	pool   *workerproc.Pool
	alone  map[string]bool
	marks  map[string]mark
	peak   atomic.Int64 // the most memory that all processes held, in MB
	// lost is when the leader's process was ended, 0 for never.
	lost int64
	late Latency
	// known says for each token when workers first had an answer with it.
	known map[uint64][]int64
}

func newRun(p Plan, o Options, limits Limits) (*run, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, fmt.Errorf("look at processes: %w", err)
	}
	r := &run{Plan: p, Options: o, limits: limits, cfg: p.Config(), fs: fs, meter: meter.New(), alone: map[string]bool{}, marks: map[string]mark{}, known: map[uint64][]int64{}}
	alone := p.alone(&r.cfg)
	for _, name := range alone {
		r.alone[name] = true
	}
	start := time.Now()
	r.pool, err = workerproc.Start(o.Workers[0], o.Workers[1:], r.cfg, sockets.Fronts(o.Port, p.Controllers), start, workerproc.Layout{Alone: alone})
	if err != nil {
		return nil, err
	}
	r.driver, err = sockets.New(r.cfg, sockets.Options{Dir: o.Dir, Port: o.Port, Binaries: o.Binaries, Args: o.Args, Workers: r.pool, Meter: r.meter, Progress: r.progress})
	if err != nil {
		r.pool.Close()
		return nil, err
	}
	r.driver.StartsAt(start)
	r.pool.Events = r.driver.Absorb
	return r, nil
}

func (r *run) progress(p sockets.Progress) {
	_, _ = fmt.Fprintf(r.Out, "%4.0f of %.0f s: %d jobs accepted, %d tasks started, %d done, %d MB\n", p.Now.Seconds(), p.Length.Seconds(), p.Accepted, p.Ran, p.Done, r.peak.Load())
}

// play runs the world to its end and works the figures out.
func (r *run) play(stop <-chan struct{}) (*Figures, error) {
	end, over := make(chan struct{}), make(chan error, 1)
	var events []history.Event
	go func() {
		var err error
		events, err = r.driver.Run(end)
		over <- err
	}()
	err := r.watch(stop, over)
	close(end)
	if err == nil {
		err = <-over
	} else {
		<-over
	}
	if err != nil {
		return nil, err
	}
	return r.figures(events), nil
}

// moment is something that is done once in a run.
type moment struct {
	at int64
	do func() error
}

// moments are the marks and what is lost, in their order.
func (r *run) moments() []moment {
	end := r.Length.Microseconds()
	take := func(name string) func() error { return func() error { return r.mark(name) } }
	var l []moment
	if end >= least {
		// Starts take some seconds to reach their rate and to end at it.
		l = append(l, moment{peakFrom + 10*config.Second, take("peak from")}, moment{peakTo, take("peak to")}, moment{settled, take("steady from")})
	}
	if slices.Contains(r.Lose, "leader") {
		l = append(l, moment{peakTo + 20*config.Second, r.loseLeader})
	}
	l = append(l, moment{end - 2*config.Second, take("steady to")})
	slices.SortStableFunc(l, func(a, b moment) int { return int(a.at - b.at) })
	return l
}

// watch waits for the end, looks at the processes and does what has its time.
func (r *run) watch(stop <-chan struct{}, over chan error) error {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	moments := r.moments()
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
		for _, u := range usages(r.fs, r.processes()) {
			total += u.memory
		}
		r.peak.Store(max(r.peak.Load(), int64(total)))
		if total > r.limits.MemoryMB {
			return fmt.Errorf("%w: %.0f MB of %.0f", ErrMemory, total, r.limits.MemoryMB)
		}
		for len(moments) > 0 && r.now() >= moments[0].at {
			if err := moments[0].do(); err != nil {
				return err
			}
			moments = moments[1:]
		}
	}
}

func (r *run) now() int64 { return time.Since(r.driver.Start()).Microseconds() }

// processes are all of the run by name, the emulator's own too.
func (r *run) processes() map[string]int {
	pids := map[string]int{emulator: self()}
	for name, pid := range r.driver.Processes() {
		pids[name] = pid
	}
	for _, x := range r.pool.Processes() {
		pids[x.Name] = x.PID
	}
	return pids
}

// mark notes what has been counted and used until now.
func (r *run) mark(name string) error {
	snapshots, err := r.pool.Snapshot()
	if err != nil {
		return err
	}
	m := mark{at: r.now(), leader: r.leader(), use: usages(r.fs, r.processes()), counts: map[meter.Key]meter.Count{}}
	add := func(rows []meter.Row) {
		for _, row := range rows {
			c := m.counts[row.Key]
			c.Add(row.Count)
			m.counts[row.Key] = c
		}
	}
	add(r.meter.Rows())
	r.known = map[uint64][]int64{}
	late := r.driver.Lateness()
	for _, s := range snapshots {
		add(s.Counts)
		for token, at := range s.Known {
			r.known[token] = append(r.known[token], at...)
		}
		late.Median, late.P99, late.Worst = max(late.Median, s.Late.Median), max(late.P99, s.Late.P99), max(late.Worst, s.Late.Worst)
	}
	r.late = Latency{Median: float64(late.Median) / 1000, P99: float64(late.P99) / 1000, Worst: float64(late.Worst) / 1000, Count: len(snapshots) + 1}
	r.marks[name] = m
	return nil
}

// leader is the controller that leads, "" if there is none.
func (r *run) leader() string {
	var v struct {
		Name string `json:"n"`
	}
	if json.Unmarshal(r.driver.Stored(core.Prefix+"leader"), &v) != nil {
		return ""
	}
	return v.Name
}

func (r *run) loseLeader() error {
	leader := r.leader()
	if leader == "" {
		return nil // there is none at this moment, which the figures show
	}
	r.lost = r.now()
	return r.driver.Befall(world.Fault{Kind: "crash", Hosts: []string{leader}})
}

// figures works out what the run has shown.
func (r *run) figures(events []history.Event) *Figures {
	terms := r.driver.Terms()
	f := &Figures{Plan: r.Plan, Sources: r.Sources, Cores: runtime.NumCPU(), Windows: map[string]Window{}, Late: r.late,
		Urgent: waits(events, terms, classUrgent, urgentWithin), Gangs: waits(events, terms, classGang, 30),
		Submit: answers(events, history.Submit), Poll: answers(events, history.Poll), Events: len(events), PeakMemoryMB: float64(r.peak.Load())}
	if f.Late.P99 > mostLate {
		f.Limited = fmt.Sprintf("the workers' or the emulator's timers ran %.0f ms late at the 99th percentile, and %d are allowed", f.Late.P99, mostLate)
	}
	var controllers []string
	for i := range r.Controllers {
		controllers = append(controllers, world.NodeName(i))
	}
	for _, name := range []string{WindowPeak, WindowSteady} {
		from, ok := r.marks[name+" from"]
		to, ok2 := r.marks[name+" to"]
		if !ok || !ok2 || len(r.Lose) > 0 && name == WindowSteady {
			continue // what is lost is no steady load
		}
		w := window(from, to, controllers, r.alone)
		w.Starts, w.Running = rates(events, from.at, to.at)
		f.Windows[name] = w
	}
	if r.lost > 0 {
		f.Takeover = append(f.Takeover, takeover(r.known, r.lost))
	}
	for _, b := range history.Judge(events, terms) {
		f.Broken = append(f.Broken, b.String())
	}
	return f
}

// takeover is when workers had an answer of the first leader after a moment.
func takeover(known map[uint64][]int64, lost int64) Takeover {
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
	return Takeover{Latency: latencyOf(values), Workers: len(values)}
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
