package faketime

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestStartWithoutMachines runs deployments in which no machine is up at the start and no team
// has guaranteed resources, so that the costs of machines are weighed, with services spread over
// zones. The faults are those that have caused failures in such deployments.
func TestStartWithoutMachines(t *testing.T) {
	partition := func(from, forS int64, hosts, to []string, mode environment.PartitionMode) fault {
		return fault{At: from * second, Duration: forS * second, Kind: "cut", Hosts: hosts, To: to, PartitionMode: mode}
	}
	controllers := []string{"controllers"}
	spotWave := fault{At: 70 * second, Kind: "spot_wave", Share: 0.5}
	cases := []struct {
		name   string
		faults []fault
	}{
		{"machines die and spot machines are preempted", []fault{spotWave, {At: 90 * second, Kind: "machine_die", Count: 3}}},
		{"rolling restart with a wave of spot preemptions and a crash", []fault{faultAt(65, "roll", 9), spotWave, faultAt(110, "crash", 0, "node-1")}},
		{"slow state service, a zone is partitioned, two zones are partitioned from each other", []fault{
			{At: 60 * second, Duration: 60 * second, Kind: "state_slow", Factor: 20},
			partition(65, 40, []string{"zone:a"}, nil, environment.PartitionMode{Reset: true}), partition(130, 25, []string{"zone:a"}, []string{"zone:b"}, environment.PartitionMode{Reset: true}),
		}},
		{"all controllers crash in a state outage, and machines die", []fault{faultAt(80, "state_outage", 10), faultAt(87, "crash", 0), {At: 110 * second, Kind: "machine_die", Count: 4}}},
		{"controllers are refused and partitioned, also from each other", []fault{
			faultAt(60, "state_refuse", 30, "node-0"), partition(95, 30, controllers, controllers, environment.PartitionMode{Refuse: true}),
			partition(130, 40, []string{"node-1"}, []string{"workers"}, environment.PartitionMode{}), faultAt(135, "cut", 20, "node-2"),
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newTestRun(uint64(700 + i))
			d.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
			d.Params.State.TxnOps = 20
			d.Machines = nil
			d.Spot = environment.Spot{PerHour: 2, SilentShare: 0.3, Notice: 8 * second}
			d.Boot = environment.Boot{Slow: 0.1, Never: 0.05}
			for k := range 3 {
				d.Jobs = append(d.Jobs, job{At: second, Cancel: int64(200+20*k) * second, Spec: wire.Job{
					ID: fmt.Sprintf("serve-%d", k), Class: "serve", Team: "red", Kind: wire.Service,
					Priority: "production", Tasks: 4, CPUs: 2, GPUs: 0.5, MemGB: 4, Image: "s", ImageGB: 2, Spread: true,
				}})
			}
			d.Faults = tc.faults
			d.runAndCheck(t)
		})
	}
}
