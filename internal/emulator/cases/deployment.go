package cases

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

const second = config.Second

// Deployment describes a small deployment with one machine type in two zones. The packages
// that define cases add jobs, teams and other settings to its Config.
type Deployment struct {
	Size             int // number of controllers
	Seed             uint64
	LeaseS, CancelS  float64
	StateRPS         float64
	StateWriteRPS    float64
	StateTxnOps      int
	ListLagS         float64
	FetchRate, BootS float64 // of machines
	// MachinesPerZone is the number of machines that are up at the start, CapacityPerZone
	// the number that the cloud offers.
	MachinesPerZone, CapacityPerZone int
}

// Zones returns the zones of a Deployment.
func Zones() []string { return []string{"a", "b"} }

// Config returns the configuration of the environment.
func (d Deployment) Config() environment.Config {
	zones := Zones()
	cfg := environment.Config{
		Seed:        d.Seed,
		RestartTime: 4 * second,
		StateDelay:  3000,
		CloudDelay:  50_000,
		ClockDrift:  0.0005,
		Types: []wire.MachineType{{
			Name: "m", CPUs: 8, MemGB: 32, FetchRate: d.FetchRate, CacheGB: 50, BootS: d.BootS,
			Price: 1, SpotPrice: 0.4, Zones: zones,
		}},
	}
	params := &cfg.Params
	params.Size, params.Zones = d.Size, zones
	params.ClockErrorMS = 500
	params.Workers.ReportS, params.Workers.LeaseS, params.Workers.CancelS = 2.5, d.LeaseS, d.CancelS
	params.Workers.GangWaitS, params.Workers.GangPeerS = 30, 4
	params.State.RPS, params.State.WriteRPS, params.State.ValueKB, params.State.TxnOps = d.StateRPS, d.StateWriteRPS, 8, d.StateTxnOps
	params.Cloud.RPS, params.Cloud.ListLagS = 3, d.ListLagS
	for _, zone := range zones {
		cfg.Machines = append(cfg.Machines, environment.InitialMachines{Type: "m", Zone: zone, Count: d.MachinesPerZone})
		cfg.Capacity = append(cfg.Capacity, environment.Capacity{Type: "m", Zone: zone, Count: d.CapacityPerZone})
	}
	return cfg
}
