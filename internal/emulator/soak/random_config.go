// Package soak runs random configurations in simulated time: pipelines with many cancelled
// jobs, near the limits of the state service, while single or all controllers are restarted
// and the state service refuses one controller after the other. A seed always gives the same
// run, and each history is checked against all rules.
package soak

import (
	"fmt"
	"math/rand/v2"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const (
	second = config.Second

	// length is the length of a run. The last fault begins before lastFault, and so do the
	// submissions, except of jobs that wait for their dependencies. The rule on forgotten
	// jobs needs 75 s after the last fault.
	length     = 210 * second
	firstFault = 14 * second
	lastFault  = 90 * second

	// rngStream separates the random numbers of a configuration from others of the same seed.
	rngStream = 47
)

// configBuilder builds a random configuration.
type configBuilder struct {
	environment.Config
	rng *rand.Rand
	// ids are the IDs of the jobs so far, for pipelines that depend on earlier jobs.
	ids []string
}

// RandomConfig returns the random configuration of a seed.
func RandomConfig(seed uint64) environment.Config {
	p := &configBuilder{rng: rand.New(rand.NewPCG(seed, rngStream))}
	p.Config = p.deployment(seed).Config()
	p.Length = length
	p.StrayRequestRate = 0.3
	p.Params.Teams = []config.Team{{Name: "red", CPUs: 30}, {Name: "blue", CPUs: 20, CPUsMax: 60}}
	for i := range 20 + p.rng.IntN(30) {
		p.addPipeline(i)
	}
	for i := range 4 + p.rng.IntN(8) {
		p.addGang(i)
	}
	p.addFaults()
	return p.Config
}

// deployment returns a random deployment whose state service has rate limits slightly above
// the usage.
func (p *configBuilder) deployment(seed uint64) cases.Deployment {
	size := []int{3, 5}[p.rng.IntN(2)]
	return cases.Deployment{
		Size:            size,
		Seed:            seed,
		LeaseS:          16,
		CancelS:         36,
		StateRPS:        float64(20 + size*(14+p.rng.IntN(10))),
		StateWriteRPS:   float64(25 + p.rng.IntN(35)),
		StateTxnOps:     []int{12, 20, 48}[p.rng.IntN(3)],
		ListLagS:        4,
		FetchRate:       1,
		BootS:           10,
		MachinesPerZone: 6,
		CapacityPerZone: 9,
	}
}

// between returns a random time in [from, to).
func (p *configBuilder) between(from, to int64) int64 { return from + p.rng.Int64N(to-from) }

// chance returns true with the given probability.
func (p *configBuilder) chance(share float64) bool { return p.rng.Float64() < share }

func (p *configBuilder) addJob(at int64, spec wire.Job) *environment.Job {
	run := p.between(2*second, 8*second)
	spec.MemGB, spec.Image, spec.ImageGB = 1, "im-"+spec.Class, 0.5
	spec.EstimateS = float64(run) / float64(second)
	p.Jobs = append(p.Jobs, environment.Job{At: at, Run: run, Spec: spec})
	p.ids = append(p.ids, spec.ID)
	return &p.Jobs[len(p.Jobs)-1]
}

// addPipeline adds jobs each of which depends on the one before. Half of the pipelines are
// cancelled at some stage, some depend on an earlier job, which may have ended by then, and
// some last stages are submitted only after their dependencies have ended.
func (p *configBuilder) addPipeline(number int) {
	at := p.between(2*second, lastFault-10*second)
	team := []string{"red", "blue"}[p.rng.IntN(2)]
	var dependencies []string
	if len(p.ids) > 0 && p.chance(0.4) {
		dependencies = []string{p.ids[p.rng.IntN(len(p.ids))]}
	}
	stages := 2 + p.rng.IntN(3)
	cancelledStage := -1
	if p.chance(0.5) {
		cancelledStage = p.rng.IntN(stages)
	}
	for stage := range stages {
		job := p.addJob(at, wire.Job{
			ID: fmt.Sprintf("pipeline-%02d-%d", number, stage), Class: "pipeline", Team: team, Kind: wire.Array,
			Priority: "normal", Tasks: 1 + p.rng.IntN(3), CPUs: 1, DependsOn: dependencies,
		})
		if stage == cancelledStage {
			job.Cancel = at + p.between(second/10, 20*second)
		}
		job.AfterDependencies = stage == stages-1 && p.chance(0.3)
		dependencies = []string{job.Spec.ID}
	}
}

// addGang adds a gang job, which runs with all its tasks or not at all.
func (p *configBuilder) addGang(number int) {
	at := p.between(2*second, lastFault)
	job := p.addJob(at, wire.Job{
		ID: fmt.Sprintf("gang-%02d", number), Class: "gang", Team: "red", Kind: wire.Gang,
		Priority: "urgent", Tasks: 1 + p.rng.IntN(3), CPUs: 4, OneZone: p.chance(0.5),
	})
	if p.chance(0.3) {
		job.Cancel = at + p.between(second, 12*second)
	}
}

// addFaults adds successive faults, some of which overlap.
func (p *configBuilder) addFaults() {
	p.Faults = append(p.Faults, environment.Fault{At: 4 * second, Kind: environment.FaultProbes, Duration: lastFault})
	for at := firstFault; at < lastFault; at += p.between(2*second, 10*second) {
		fault := p.fault()
		fault.At = at
		p.Faults = append(p.Faults, fault)
	}
}

// fault returns a random fault. Restarts and refusals are the most frequent.
func (p *configBuilder) fault() environment.Fault {
	one := []string{environment.ControllerName(p.rng.IntN(p.Params.Size))}
	switch p.rng.IntN(14) {
	case 0, 1, 2:
		return environment.Fault{Kind: environment.FaultCrash, Hosts: one}
	case 3:
		return environment.Fault{Kind: environment.FaultCrash, Hosts: one, Duration: p.between(second/20, second)}
	case 4, 5:
		return environment.Fault{Kind: environment.FaultCrash, Hosts: []string{"all"}}
	case 6, 7, 8:
		return environment.Fault{Kind: environment.FaultStateRefuse, Hosts: one, Duration: p.between(second, 6*second)}
	case 9:
		return environment.Fault{Kind: environment.FaultStateOutage, Duration: p.between(second, 8*second)}
	case 10:
		return environment.Fault{Kind: environment.FaultStateSlow, Factor: 30, Duration: p.between(3*second, 10*second)}
	case 11:
		return environment.Fault{Kind: environment.FaultLateWrites, Share: 0.2, LoseOnlyResponses: p.chance(0.5), Duration: p.between(3*second, 10*second)}
	case 12:
		to := [][]string{{"controllers"}, {environment.StateHost}, {"controllers", environment.StateHost}}[p.rng.IntN(3)]
		return environment.Fault{Kind: environment.FaultPartition, Hosts: one, To: to, Duration: p.between(2*second, 9*second)}
	default:
		return environment.Fault{Kind: environment.FaultFreeze, Hosts: one, Duration: p.between(second, 7*second)}
	}
}
