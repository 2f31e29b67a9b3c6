// Package faketime runs the emulated environment and real controller cores in simulated
// time. It uses neither sockets nor goroutines, so that a seed always gives the same history.
package faketime

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
)

const second = config.Second

// tickInterval is the time between two ticks of a controller's core, in microseconds.
const tickInterval = 50_000

// startTime is the wall-clock time at which a run begins, in microseconds.
const startTime = 1_000_000 * second

// Options contains the settings of a run that are not part of the environment's configuration.
type Options struct {
	Operators config.Operators
	// OneMissing adds to each controller's settings a peer that never starts.
	OneMissing bool
	// Programs, if set, returns the program version that a controller runs from the start
	// of the given epoch. A controller's epoch increases at each start and each end.
	Programs func(node, epoch int) upgrade.Program
	// Legacy, if set, reports whether a controller runs a program without read leases.
	Legacy func(node string) bool
	// OnStart, if set, is called after the controllers have started and before simulated
	// time advances.
	OnStart func(*Cluster)
	// OnEvent, if set, is called with each event as it happens.
	OnEvent func(history.Event)
	// OnTransaction, if set, is called with each transaction that a controller sends.
	OnTransaction func(core.CommitTransaction)
	// OnQuery, if set, is called with each read that a follower sends to the leader.
	// OnQueryEnd, if set, is called with the result of the read and may change it.
	OnQuery    func(node string, query core.ReadFromLeader)
	OnQueryEnd func(node string, result *core.LeaderReadDone)
	// OnProgress, if set, is called every simulated minute.
	OnProgress func(now int64)
	// Log, if set, receives the log records of the controllers.
	Log *slog.Logger
}

// Cluster is an emulated environment with its controllers.
type Cluster struct {
	Options
	Environment *environment.Environment
	Config      environment.Config
	Controllers []*Controller
	// History contains all events so far.
	History []history.Event
	now     int64
	timers  environment.Timers
	rng     *rand.Rand
}

// Run runs a cluster until the configured length of simulated time has passed.
func Run(cfg environment.Config, options Options) (*Cluster, error) {
	c := &Cluster{Options: options, Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	c.Log = slog.New(simulatedTimeHandler{c.Log.Handler(), c})
	env, err := environment.New(cfg, func(e history.Event) {
		c.History = append(c.History, e)
		if c.OnEvent != nil {
			c.OnEvent(e)
		}
	})
	if err != nil {
		return nil, err
	}
	c.Environment = env
	c.startControllers()
	if c.OnStart != nil {
		c.OnStart(c)
	}
	c.runTimers()
	env.Close()
	return c, nil
}

// startControllers starts all controllers, each with a random clock error within the
// configured bound.
func (c *Cluster) startControllers() {
	maxClockError := int64(c.Config.Params.ClockErrorMS * 1000)
	for i := range c.Config.Params.Size {
		controller := &Controller{cluster: c, name: environment.ControllerName(i), index: i}
		if maxClockError > 0 {
			controller.clockOffset = c.rng.Int64N(maxClockError+1) - maxClockError/2
		}
		c.Controllers = append(c.Controllers, controller)
		c.Start(controller)
	}
}

// runTimers advances the time from one timer to the next until the configured length. If
// timers are due at the same time, those of the environment run before those of the cluster.
func (c *Cluster) runTimers() {
	for minute := int64(0); ; {
		at, ok := c.timers.Next()
		isClusterTimer := ok
		if envAt, envOK := c.Environment.Next(); envOK && (!ok || envAt <= at) {
			at, ok, isClusterTimer = envAt, true, false
		}
		if !ok || at > c.Config.Length {
			return
		}
		c.now = max(c.now, at)
		if isClusterTimer {
			c.timers.Take()()
		} else {
			c.step(nil)
		}
		if elapsed := c.now / (60 * second); elapsed > minute && c.OnProgress != nil {
			minute = elapsed
			c.OnProgress(c.now)
		}
	}
}

// simulatedTimeHandler is a slog.Handler that sets the time of log records to the simulated
// time.
type simulatedTimeHandler struct {
	slog.Handler
	cluster *Cluster
}

func (h simulatedTimeHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Time = time.UnixMicro(h.cluster.now).UTC()
	return h.Handler.Handle(ctx, record)
}

func (h simulatedTimeHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return simulatedTimeHandler{h.Handler.WithAttrs(attrs), h.cluster}
}

// Now returns the simulated time in microseconds.
func (c *Cluster) Now() int64 { return c.now }

// After schedules a call of f after a delay in microseconds of simulated time.
func (c *Cluster) After(delay int64, f func()) { c.timers.Add(c.now+delay, f) }

// Leaders returns the controllers that consider themselves the leader, in ascending order of
// their fencing tokens.
func (c *Cluster) Leaders() (leaders []string) {
	tokens := map[string]uint64{}
	for _, controller := range c.Controllers {
		controller.Request(func(req uint64) any { return core.QueryOperatorView{RequestID: req} }, func(reply core.Reply) {
			if reply.Ops != nil && reply.Ops.Leading {
				leaders, tokens[controller.name] = append(leaders, controller.name), reply.Ops.FencingToken
			}
		})
	}
	slices.SortFunc(leaders, func(a, b string) int { return cmp.Compare(tokens[a], tokens[b]) })
	return leaders
}

// InjectFault starts a fault immediately.
func (c *Cluster) InjectFault(f environment.Fault) error {
	err := c.Environment.InjectFault(f)
	c.step(nil)
	return err
}

// DeliverHeldReports delivers the copies of heartbeats that were held back for the next
// leader.
func (c *Cluster) DeliverHeldReports() {
	c.Environment.DeliverHeldReports()
	c.step(nil)
}

// LeaderFirst returns the names of all controllers, beginning with the leader.
func (c *Cluster) LeaderFirst() []string {
	names := make([]string, c.Config.Params.Size)
	for i := range names {
		names[i] = environment.ControllerName(i)
	}
	if leaders := c.Leaders(); len(leaders) > 0 {
		i := slices.Index(names, leaders[len(leaders)-1])
		names[0], names[i] = names[i], names[0]
	}
	return names
}

// ScheduleFaults injects each fault at its time At, counted from now, and stores the first error
// in failed.
func (c *Cluster) ScheduleFaults(failed *error, faults ...environment.Fault) {
	for _, f := range faults {
		c.After(f.At, func() {
			if err := c.InjectFault(f); err != nil && *failed == nil {
				*failed = err
			}
		})
	}
}

// Violations returns the rule violations found in the history, one per line.
func (c *Cluster) Violations() []string {
	return history.FormatViolations(history.CheckAll(c.History, c.Expectations()))
}

// Expectations returns the expectations that the rules are checked against.
func (c *Cluster) Expectations() history.Expectations { return c.Config.Expectations() }

// step passes a message to the environment and executes the effects that it returns. With a nil
// message, the environment only runs its due timers.
func (c *Cluster) step(msg any) {
	for _, e := range c.Environment.Step(c.now, msg) {
		switch e := e.(type) {
		case environment.Ask:
			c.controller(e.To).onRequest(e)
		case environment.Answer:
			c.controller(e.To).onAnswer(e)
		case environment.Kill:
			c.Kill(c.controller(e.Controller))
		case environment.Start:
			c.Start(c.controller(e.Controller))
		case environment.Freeze:
			c.controller(e.Controller).freeze(e.On)
		}
	}
}

func (c *Cluster) controller(name string) *Controller {
	for _, candidate := range c.Controllers {
		if candidate.name == name {
			return candidate
		}
	}
	return nil
}
