// Package scale runs a large deployment on one machine: real controllers, one process each,
// the emulated state service, cloud and users, simulated ("hollow") workers that share
// processes, and a few workers in processes of their own. It measures the resource usage and
// traffic of each role and checks the rules over the whole history of the run.
package scale

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Plan describes a scale run.
type Plan struct {
	Workers      int `json:"workers"`
	Accelerators int `json:"accelerators"`
	Controllers  int `json:"controllers"`
	Zones        int `json:"zones"`
	Regions      int `json:"regions"`
	Teams        int `json:"teams"`
	// Running is the number of tasks that run at the same time, Starts the number of tasks
	// that start per second in the peak minute.
	Running int `json:"running"`
	Starts  int `json:"starts"`
	// LargestGang is the maximum number of tasks of a gang.
	LargestGang int `json:"largest_gang"`
	// Dedicated is the number of workers that have a process of their own.
	Dedicated int `json:"alone"`
	// FaultSpeedup multiplies the plan's rates of machine faults; 0 disables them.
	FaultSpeedup float64 `json:"faults_times"`
	// Failures are the failures that happen once in the run, see FailureKinds.
	Failures []string `json:"lose"`
	// StateRPS and StateWrites are the state service's limits on requests and changes per
	// second.
	StateRPS    float64       `json:"state_rps"`
	StateWrites float64       `json:"state_writes"`
	RemoteMS    float64       `json:"remote_ms"`
	Seed        uint64        `json:"seed"`
	Length      time.Duration `json:"length"`
	// Scenario names the scenario that replaces the plan's own environment and load.
	Scenario    string              `json:"scenario,omitempty"`
	givenConfig *environment.Config // environment of the scenario, nil without one
}

// FromScenario returns a plan that runs a given environment. dedicated is the number of workers
// that get a process of their own.
func FromScenario(name string, c environment.Config, dedicated int) (Plan, error) {
	p := Plan{
		Scenario: name, givenConfig: &c, Controllers: c.Params.Size, Zones: len(c.Params.Zones), Regions: 1, Teams: len(c.Params.Teams), Running: 1, Starts: 1, LargestGang: 1,
		Dedicated: dedicated, StateRPS: c.Params.State.RPS, StateWrites: c.Params.State.WriteRPS, RemoteMS: max(0.1, float64(c.Network.CrossRegion)/1000), Seed: c.Seed, Length: time.Duration(c.Length) * time.Microsecond,
	}
	var errs []error
	for _, m := range c.Machines {
		p.Workers += m.Count
	}
	for i, f := range c.Faults {
		if !slices.Contains(environment.RemoteFaults, f.Kind) {
			errs = append(errs, fmt.Errorf("fault[%d].kind: scale runs do not support %s", i, f.Kind))
		}
	}
	for _, j := range c.Jobs {
		if j.Spec.Kind == wire.Gang && j.Spec.Tasks > 1 && !j.Spec.OneZone {
			errs = append(errs, fmt.Errorf("load: class %s: the tasks of a gang have to share a process, and each zone has its own: one_zone is required", j.Spec.Class))
			break
		}
	}
	if len(c.Sweeps) > 0 {
		errs = append(errs, errors.New("sweep: scale runs do not support sweeps"))
	}
	return p, errors.Join(errs...)
}

// The size that the operators plan for in two years. Other sizes are scaled from it by their
// number of workers.
const (
	planWorkers         = 3200
	planAccelerators    = 4900
	planRunningTasks    = 18_000
	planStartsPerSecond = 750
	// planDeathsPerDay and planRestartsPerDay are numbers of machines per day.
	planDeathsPerDay   = 53
	planRestartsPerDay = 230
)

// Default returns the operators' plan scaled to a number of workers.
func Default(workers int) Plan {
	share := func(n int) int { return max(1, int(math.Round(float64(n)*float64(workers)/planWorkers))) }
	return Plan{
		Workers: workers, Accelerators: share(planAccelerators), Controllers: 12, Zones: 15, Regions: 4, Teams: 380,
		Running: share(planRunningTasks), Starts: share(planStartsPerSecond), LargestGang: 64, Dedicated: 3, StateRPS: 250, StateWrites: 90, RemoteMS: 8,
		Seed: 1, Length: 130 * time.Second,
	}
}

// The kinds of failure that can happen once in a run.
const (
	FailureLeader = "leader"
	FailureRack   = "rack"
	FailureRegion = "region"
	FailureZone   = "zone"
)

// FailureKinds describes each kind of failure that can happen once in a run.
var FailureKinds = map[string]string{
	FailureLeader: "the leader's process is killed 20 s after the peak",
	FailureZone:   "a zone is partitioned for 20 s, 30 s after the peak",
	FailureRegion: "a region is partitioned for 60 s, 30 s after the peak",
	FailureRack:   "sixteen machines of a zone die at the same time, 25 s after the peak",
}

// FailureNames returns the keys of FailureKinds in alphabetical order.
func FailureNames() []string { return slices.Sorted(maps.Keys(FailureKinds)) }

// The phases of a run, as times since its start.
const (
	peakStart    = 15 * config.Second
	peakDuration = 60 * config.Second
	peakEnd      = peakStart + peakDuration
	// steadyStart is the time at which the load after the peak has become steady.
	steadyStart = peakEnd + 10*config.Second
	// minLength is the length of the shortest run with measured windows, see Figures.Windows.
	minLength = steadyStart + 25*config.Second
)

// Check returns an error that names every invalid field.
func (p *Plan) Check() error {
	var errs []error
	within := func(name string, v, lo, hi float64) {
		if !(v >= lo && v <= hi) {
			errs = append(errs, fmt.Errorf("%s: %v is not within %v and %v", name, v, lo, hi))
		}
	}
	within("workers", float64(p.Workers), 1, 10_000)
	within("accelerators", float64(p.Accelerators), 0, float64(8*p.Workers))
	within("controllers", float64(p.Controllers), 1, 40)
	within("zones", float64(p.Zones), 1, 60)
	within("regions", float64(p.Regions), 1, float64(max(1, p.Zones)))
	within("teams", float64(p.Teams), 1, 2000)
	within("running", float64(p.Running), 1, 100_000)
	within("starts", float64(p.Starts), 1, 5000)
	within("largest-gang", float64(p.LargestGang), 1, 1000)
	within("alone", float64(p.Dedicated), 0, 100)
	within("faults-times", p.FaultSpeedup, 0, 1e6)
	within("state-rps", p.StateRPS, 1, 1e6)
	within("state-writes", p.StateWrites, 1, 1e6)
	within("remote-ms", p.RemoteMS, 0.1, 1000)
	within("length", p.Length.Seconds(), 5, 3600)
	for _, failure := range p.Failures {
		if FailureKinds[failure] == "" {
			errs = append(errs, fmt.Errorf("lose: %q is not one of leader, rack, region and zone", failure))
		}
	}
	return errors.Join(errs...)
}

// The machines of a run.
const (
	cpuType            = "cpu16"
	gpuType            = "gpu4"
	gpusPerMachine     = 4
	cpusPerMachine     = 16.0
	memoryGBPerMachine = 64.0
	rackMachines       = 16
	rackZone           = 1
	partitionedZone    = 2
	fetchGBPerS        = 2.0
	cacheGB            = 60.0
	bootSeconds        = 20.0
	spareCapacity      = 1.2 // multiple of the machines that are up at the start
)

// The names of the job classes.
const (
	classBatch  = "batch"
	classTrain  = "train"
	classGang   = "gang"
	classUrgent = "urgent"
)

// urgentTargetS is the target for the waiting time of urgent jobs, in seconds.
const urgentTargetS = 1.2

func zoneName(i int) string   { return fmt.Sprintf("zone-%02d", i) }
func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// Config returns the environment of the plan.
func (p *Plan) Config() environment.Config {
	if p.givenConfig != nil {
		c := *p.givenConfig
		c.RemoteWorkers = true
		return c
	}
	c := environment.Config{
		Seed: p.Seed, Length: p.Length.Microseconds(), RestartTime: 4 * config.Second, StateDelay: 3000, CloudDelay: 250_000, ClockDrift: 0.0005, StrayRequestRate: 0.1, RemoteWorkers: true,
		Network: environment.Network{SameZone: 400, CrossZone: 800, CrossRegion: int64(p.RemoteMS * 1000), Jitter: 0.25, Regions: map[string]string{}, HomeRegion: regionName(0)},
	}
	p.addPlatform(&c)
	p.addMachines(&c)
	p.addJobs(&c)
	p.addFaults(&c)
	return c
}

// addPlatform adds the zones, the teams and the settings. The settings are those of a large
// present-day site, scaled up to the size of the operators' plan.
func (p *Plan) addPlatform(c *environment.Config) {
	s := &c.Params
	s.Size = p.Controllers
	for i := range p.Zones {
		s.Zones = append(s.Zones, zoneName(i))
		c.Network.Regions[zoneName(i)] = regionName(i % p.Regions)
	}
	for i := range p.Teams {
		s.Teams = append(s.Teams, config.Team{Name: teamName(i), CPUs: 50, CPUsMax: 800, GPUs: 8, GPUsMax: max(96, float64(p.LargestGang))})
	}
	w := &s.Workers
	w.ReportS, w.LeaseS, w.GangWaitS, w.GangPeerS, w.CancelS = 8, 44, 50, 8, 69
	s.State.StateLimits = config.StateLimits{RPS: p.StateRPS, WriteRPS: p.StateWrites, ValueKB: 8, TxnOps: 48}
	s.Cloud.RPS, s.Cloud.ListLagS = 5, 8
	s.Limits.CoreShare, s.Limits.MemMB, s.Limits.Sockets = 1, 512, 4000
	s.ClockErrorMS = 1000
	for _, x := range []string{classBatch, classTrain, classGang} {
		s.Objectives = append(s.Objectives, config.Objective{Kind: "wait", Class: x, WithinS: 30})
	}
	s.Objectives = append(s.Objectives, config.Objective{Kind: "wait", Class: classUrgent, WithinS: urgentTargetS})
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// addMachines adds the machine types and the machines, which are all up at the start and spread
// evenly over the zones.
func (p *Plan) addMachines(c *environment.Config) {
	gpu := min(p.Workers, (p.Accelerators+gpusPerMachine-1)/gpusPerMachine)
	for _, group := range []struct {
		name  string
		gpus  float64
		count int
	}{{cpuType, 0, p.Workers - gpu}, {gpuType, gpusPerMachine, gpu}} {
		if group.count == 0 {
			continue
		}
		c.Types = append(c.Types, wire.MachineType{
			Name: group.name, CPUs: cpusPerMachine, GPUs: group.gpus, MemGB: memoryGBPerMachine, CacheGB: cacheGB, FetchRate: fetchGBPerS,
			Price: 1 + group.gpus, SpotPrice: 0.4, BootS: bootSeconds, Zones: c.Params.Zones,
		})
		for i, zone := range c.Params.Zones {
			n := group.count / p.Zones
			if i < group.count%p.Zones {
				n++
			}
			if n > 0 {
				c.Machines = append(c.Machines, environment.InitialMachines{Type: group.name, Zone: zone, Count: n})
			}
			c.Capacity = append(c.Capacity, environment.Capacity{Type: group.name, Zone: zone, Count: int(math.Ceil(float64(n) * spareCapacity))})
		}
	}
}

// machinesOfType returns the names of the machines of a type that are up at the start, in the
// order in which the cloud names them. If zone is not empty, it returns those of the zone only.
func machinesOfType(c *environment.Config, machineType, zone string) (names []string) {
	n := 0
	for _, m := range c.Machines {
		for range m.Count {
			if m.Type == machineType && (zone == "" || m.Zone == zone) {
				names = append(names, environment.MachineName(n))
			}
			n++
		}
	}
	return names
}

// dedicatedMachines returns the machines whose workers have processes of their own. They are
// machines that gangs do not use (without accelerators in the operators' plan), as the tasks of
// a gang have to share a process.
func (p *Plan) dedicatedMachines(c *environment.Config) []string {
	names := machinesOfType(c, cpuType, "")
	if p.givenConfig != nil {
		names = machinesOfType(c, typeWithoutGangs(c), "")
	}
	return names[:min(p.Dedicated, len(names))]
}

// typeWithoutGangs returns a machine type that no gang of several tasks may use, or "" if there
// is none.
func typeWithoutGangs(c *environment.Config) string {
	for _, t := range c.Types {
		fits := func(j environment.Job) bool {
			return j.Spec.Kind == wire.Gang && j.Spec.Tasks > 1 && j.Spec.GPUs <= t.GPUs && j.Spec.CPUs <= t.CPUs && (len(j.Spec.Types) == 0 || slices.Contains(j.Spec.Types, t.Name))
		}
		if !slices.ContainsFunc(c.Jobs, fits) {
			return t.Name
		}
	}
	return ""
}

// jobClass describes a class of jobs. share is its share of all task starts, sizes are the
// possible numbers of tasks of a job.
type jobClass struct {
	class, kind, priority string
	share                 float64
	sizes                 []int
	cpus, gpus, mem       float64
	images                int
	imageGB               float64
}

func (p *Plan) jobClasses() []jobClass {
	gangs := []int{}
	for n := 8; n < p.LargestGang; n *= 2 {
		gangs = append(gangs, n)
	}
	gangs = append(gangs, p.LargestGang)
	all := []jobClass{
		{class: classBatch, kind: wire.Array, priority: "normal", share: 0.78, sizes: []int{40, 80, 100, 160}, cpus: 2, mem: 4, images: 20, imageGB: 1},
		{class: classTrain, kind: wire.Array, priority: "normal", share: 0.12, sizes: []int{10, 20, 40}, cpus: 1, gpus: 1, mem: 8, images: 10, imageGB: 1},
		{class: classGang, kind: wire.Gang, priority: "normal", share: 0.10, sizes: gangs, cpus: 1, gpus: 1, mem: 8, images: 10, imageGB: 1},
	}
	if p.Accelerators < p.LargestGang {
		all = all[:1]
		all[0].share = 1
	}
	return all
}

// The load of a run. cancelledShare is the share of the non-urgent jobs that their users cancel.
const (
	cancelledShare = 0.03
	urgentInterval = config.Second / 2
	urgentRunTime  = 5 * config.Second
	// afterPeakShare is the rate of starts after the peak, as a share of the rate at the peak.
	afterPeakShare = 0.1
	// maxEstimateError is the maximum relative error of the run time estimates of job owners.
	maxEstimateError = 0.2
)

// addJobs adds the jobs. They arrive at random intervals: at the full rate during the peak, and at
// a tenth of it afterwards. Jobs run for Running/Starts seconds on average, which keeps Running
// tasks running at Starts starts per second. Jobs that arrive later than Running/Starts seconds
// before the end of the peak run ten times as long, so that their tasks are still running after the
// peak. One urgent job arrives every urgentInterval.
func (p *Plan) addJobs(c *environment.Config) {
	rng := rand.New(rand.NewPCG(p.Seed, 7))
	short := float64(p.Running) / float64(p.Starts)
	longFrom := float64(peakEnd) - short*1e6
	end := float64(c.Length)
	for _, class := range p.jobClasses() {
		mean := 0
		for _, n := range class.sizes {
			mean += n
		}
		gap := float64(mean) / float64(len(class.sizes)) / (float64(p.Starts) * class.share) * 1e6
		for at := float64(peakStart); at < end; {
			run := short
			if at >= longFrom {
				run *= 10
			}
			size := class.sizes[rng.IntN(len(class.sizes))]
			p.addJob(c, rng, class, int64(at), size, run*(0.6+0.8*rng.Float64()))
			step := gap * rng.ExpFloat64()
			if at >= float64(peakEnd) {
				step /= afterPeakShare
			}
			at += step
		}
	}
	urgent := jobClass{class: classUrgent, kind: wire.Array, priority: "urgent", cpus: 1, mem: 2, images: 2, imageGB: 0.1}
	for at := peakStart; at < c.Length; at += urgentInterval {
		p.addJob(c, rng, urgent, at, 1, float64(urgentRunTime)/1e6)
	}
	slices.SortStableFunc(c.Jobs, func(a, b environment.Job) int { return int(a.At - b.At) })
}

func (p *Plan) addJob(c *environment.Config, rng *rand.Rand, class jobClass, at int64, tasks int, run float64) {
	spec := wire.Job{
		ID: fmt.Sprintf("req-%06d", len(c.Jobs)+1), Class: class.class, Team: teamName(rng.IntN(p.Teams)), Kind: class.kind, Priority: class.priority, Tasks: tasks,
		CPUs: class.cpus, GPUs: class.gpus, MemGB: class.mem, Image: fmt.Sprintf("%s-%02d", class.class, rng.IntN(class.images)), ImageGB: class.imageGB, OneZone: class.kind == wire.Gang,
		EstimateS: run * (1 + maxEstimateError*(2*rng.Float64()-1)),
	}
	j := environment.Job{At: at, Run: int64(run * 1e6), Spec: spec}
	if class.class != classUrgent && rng.Float64() < cancelledShare {
		j.Cancel = at + 5*config.Second + rng.Int64N(20*config.Second)
	}
	c.Jobs = append(c.Jobs, j)
}

// addFaults adds machine faults at the plan's rates multiplied by FaultSpeedup, and the failures
// that happen once. The loss of the leader is not among them: execution.loseLeader injects it, as
// only the running deployment shows which controller leads.
func (p *Plan) addFaults(c *environment.Config) {
	rng := rand.New(rand.NewPCG(p.Seed, 9))
	scaledDay := 86_400e6 * planWorkers / float64(p.Workers)
	for _, x := range []struct {
		kind     environment.FaultKind
		perDay   float64
		duration int64
	}{{environment.FaultMachineDie, planDeathsPerDay, 0}, {environment.FaultWorkerRestart, planRestartsPerDay, 10 * config.Second}} {
		if p.FaultSpeedup == 0 {
			break
		}
		gap := scaledDay / x.perDay / p.FaultSpeedup
		for at := float64(peakStart) + gap*rng.ExpFloat64(); at < float64(c.Length); at += gap * rng.ExpFloat64() {
			c.Faults = append(c.Faults, environment.Fault{At: int64(at), Kind: x.kind, Duration: x.duration, Count: 1})
		}
	}
	partition := func(hosts string, duration int64) environment.Fault {
		return environment.Fault{At: peakEnd + 30*config.Second, Duration: duration, Kind: environment.FaultPartition, Hosts: []string{hosts}, To: []string{"all"}}
	}
	for _, failure := range p.Failures {
		switch failure {
		case FailureZone:
			c.Faults = append(c.Faults, partition("zone:"+zoneName(partitionedZone%p.Zones), 20*config.Second))
		case FailureRegion:
			c.Faults = append(c.Faults, partition("region:"+regionName(p.Regions-1), 60*config.Second))
		case FailureRack:
			names := machinesOfType(c, cpuType, zoneName(rackZone%p.Zones))
			c.Faults = append(c.Faults, environment.Fault{At: peakEnd + 25*config.Second, Kind: environment.FaultMachineDie, Hosts: names[:min(rackMachines, len(names))]})
		}
	}
}
