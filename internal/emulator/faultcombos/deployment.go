package faultcombos

import (
	"fmt"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The start time of a case's faults, and the time that the run continues after the faults.
const (
	faultsBegin = 60 * second
	quietTime   = 130 * second
)

// deployment returns the deployment of a case. Its load of services, gangs, arrays,
// cancellations and pipelines takes three quarters of its capacity, so that work that is lost
// with machines can be repeated in time.
func deployment(c Case) environment.Config {
	d := &deploymentBuilder{rng: 7 * c.Seed}
	d.Config = cases.Deployment{
		Size:            c.Size,
		Seed:            c.Seed,
		LeaseS:          16,
		CancelS:         36,
		StateRPS:        200,
		StateWriteRPS:   60,
		StateTxnOps:     20,
		ListLagS:        4,
		FetchRate:       1,
		BootS:           15,
		MachinesPerZone: 4,
		CapacityPerZone: 7,
	}.Config()
	cfg := &d.Config
	cfg.StrayRequestRate = 0.1
	cfg.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue", CPUs: 40, CPUsMax: 80}}
	cfg.Params.Objectives = []config.Objective{{Kind: "wait", Class: "gang", WithinS: 30}, {Kind: "wait", Class: "service", WithinS: 12}}
	cfg.Length = faultsBegin + faultDuration + quietTime
	for i := range 3 {
		j := d.addJob(fmt.Sprintf("serve-%d", i), "service", "red", wire.Service, second, 3, 2, 0)
		j.Spec.Priority, j.Spec.Spread, j.Spec.EstimateS = "production", true, 0
	}
	for i, at := 0, 5*second; at < cfg.Length-70*second; i, at = i+1, at+3*second {
		pick := d.random()
		switch i % 3 {
		case 0:
			j := d.addJob(fmt.Sprintf("gang-%02d", i), "gang", "blue", wire.Gang, at, []int{1, 2, 4}[pick%3], 6, 8*second)
			j.Spec.CheckpointS, j.Spec.CheckpointCostS = 4, 1
			if pick%5 == 0 {
				j.Cancel = at + 6*second
			}
		case 1:
			d.addJob(fmt.Sprintf("array-%02d", i), "array", "red", wire.Array, at, 2+pick%12, 1, 6*second)
		default:
			first := fmt.Sprintf("stage-%02d", i)
			d.addJob(first, "stage", "red", wire.Array, at, 2, 1, 4*second)
			// The tasks of this job end far apart, so that leaders change in between.
			d.addJob(fmt.Sprintf("uneven-%02d", i), "uneven", "red", wire.Array, at+second, 2+pick%2, 1, 3*second).RunIncrement = 6 * second
			d.addJob(fmt.Sprintf("stage-%02d-b", i), "stage", "red", wire.Array, at, 2, 1, 4*second).Spec.DependsOn = []string{first}
		}
	}
	for _, script := range c.scripts {
		if script.prepare != nil {
			script.prepare(d)
		}
	}
	return *cfg
}

// deploymentBuilder builds the deployment of a case.
type deploymentBuilder struct {
	environment.Config
	rng uint64
}

// random returns the next number of the random sequence of the case's seed.
func (d *deploymentBuilder) random() int {
	d.rng = d.rng*6364136223846793005 + 1442695040888963407
	return int(d.rng >> 33)
}

func (d *deploymentBuilder) addJob(id, class, team, kind string, at int64, tasks int, cpus float64, run int64) *environment.Job {
	d.Jobs = append(d.Jobs, environment.Job{At: at, Run: run, Spec: wire.Job{
		ID: id, Class: class, Team: team, Kind: kind, Tasks: tasks, CPUs: cpus, MemGB: 1,
		Priority: "normal", Image: "im-" + class, ImageGB: 1, EstimateS: float64(run) / 1e6,
	}})
	return &d.Jobs[len(d.Jobs)-1]
}
