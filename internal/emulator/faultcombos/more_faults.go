package faultcombos

import (
	"fmt"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// moreScripts are further scripts. docs/fault-combinations.md describes which combination of
// faults each represents.
var moreScripts = []faultScript{
	{name: "users ask everywhere at once", mustOccur: history.OccurProbe, begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultProbes, Duration: faultDuration}}
	}},
	{name: "only answers of writes are lost", mustOccur: history.OccurLostAnswer, begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultLateWrites, Share: 0.4, LoseOnlyResponses: true, Duration: faultDuration}, {Kind: environment.FaultProbes, Duration: faultDuration}}
	}},
	{name: "copies of reports wait for the next leader", mustOccur: history.OccurHeldCopy, begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{
			{Kind: environment.FaultReportCopies, Share: 0.5, UntilNextLeader: true, Duration: faultDuration},
			{At: 8 * second, Kind: environment.FaultCrash, Hosts: nodes[:1]},
			{At: 20 * second, Kind: environment.FaultStateRefuse, Hosts: nodes[1:], Duration: 2 * second},
			{At: 20*second + 50_000, Kind: environment.FaultCrash, Hosts: nodes[:2]},
			{At: 33 * second, Kind: environment.FaultCrash, Hosts: []string{"all"}},
		}
	}},
	{name: "a third of the machines is mute", mustOccur: history.OccurMuteReport, begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineReportsBlocked, Share: 0.34, Duration: faultDuration}, {At: 5 * second, Kind: environment.FaultCancelNow, Count: 4}}
	}},
	{name: "a third of the machines is mute for a moment, and the leader ends", mustOccur: history.OccurMuteReport, begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{
			{Kind: environment.FaultMachineReportsBlocked, Share: 0.34, Duration: 9 * second},
			{At: second, Kind: environment.FaultCrash, Hosts: nodes[:1]},
			{At: 2 * second, Kind: environment.FaultCancelNow, Count: 3},
			{At: 22 * second, Kind: environment.FaultMachineReportsBlocked, Share: 0.34, Duration: 13 * second},
			{At: 23 * second, Kind: environment.FaultCancelNow, Count: 3},
			{At: 24 * second, Kind: environment.FaultCrash, Hosts: nodes[:2]},
		}
	}},
	{name: "jobs are called off and their machines hang", mustOccur: history.OccurHungMachine, begin: func([]string) []environment.Fault {
		return []environment.Fault{{At: 2 * second, Kind: environment.FaultCancelNow, Count: 4, Duration: 20 * second}, {At: 14 * second, Kind: environment.FaultCancelNow, Count: 4, Duration: 5 * second}, {At: 26 * second, Kind: environment.FaultCancelNow, Count: 4, Duration: 12 * second}}
	}},
	{name: "jobs are called off while work changes hands", mustOccur: history.OccurCancel, minOccurrences: 8, repeats: 5, interval: 8 * second, repeat: handoverFaults},
	{name: "jobs are called off at their end", mustOccur: history.OccurCancelAtEnd, begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCancelAtEnd, Share: 0.6, Duration: faultDuration}}
	}},
	{name: "users send what they should not", mustOccur: history.OccurInvalid, begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultInvalidRequests, Duration: faultDuration}}
	}},
	{name: "machines are up at once, and leaders end", mustOccur: history.OccurQuickBoot, begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{
			{Kind: environment.FaultCloudSlow, Factor: 0.06, Duration: faultDuration},
			{Kind: environment.FaultLateWrites, Share: 0.25, Duration: faultDuration},
			{At: 300_000, Kind: environment.FaultMachineDie, Count: 2},
			{At: 3 * second, Kind: environment.FaultCrash, Hosts: nodes[:1]},
			{At: 12 * second, Kind: environment.FaultMachineDie, Count: 2},
			{At: 15 * second, Kind: environment.FaultCrash, Hosts: []string{"all"}},
			{At: 25 * second, Kind: environment.FaultMachineDie, Count: 2},
			{At: 26_500_000, Kind: environment.FaultCrash, Hosts: nodes[1:2]},
		}
	}},
	{name: "a zone is cut off for longer than a lease", mustOccur: occurLeaseExpired, begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: []string{"zone:a"}, To: []string{"zone:b", "services", "users"}, Duration: 34 * second}, {At: 4 * second, Kind: environment.FaultCancelNow, Count: 4}}
	}},
	{name: "leaders change ten times, also in an outage", mustOccur: occurLeaderElected, minOccurrences: 6, repeats: 10, interval: 4200 * second / 1000, repeat: func(nodes []string, i int) []environment.Fault {
		l := []environment.Fault{{Kind: environment.FaultCrash, Hosts: nodes[:1], Duration: second}}
		if i%3 == 1 {
			l[0] = environment.Fault{Kind: environment.FaultStateRefuse, Hosts: nodes[:1], Duration: 4 * second}
		}
		if i == 4 {
			l = append(l, environment.Fault{At: 3 * second, Kind: environment.FaultStateOutage, Duration: 6 * second})
		}
		return l
	}},
	{name: "all controllers are away for longer than a lease", mustOccur: occurLeaseExpired, begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: []string{"all"}, Duration: 19 * second}}
	}},
	// No job can start during this outage, hence overloaded.
	{name: "cancellations as the leader is refused, and then all", mustOccur: history.OccurCancel, overloaded: true, outage: true, begin: func(nodes []string) (l []environment.Fault) {
		for i := range int64(4) {
			l = append(l, environment.Fault{At: i * 300_000, Kind: environment.FaultCancelNow, Count: 2})
		}
		return append(l, environment.Fault{Kind: environment.FaultStateRefuse, Hosts: nodes[:1], Duration: 6 * second}, environment.Fault{At: second, Kind: environment.FaultStateOutage, Duration: 38 * second})
	}},
	{name: "teams are at their limits, machines of cancelled jobs hang, leaders change", mustOccur: history.OccurHungMachine, overloaded: true, prepare: func(d *deploymentBuilder) {
		d.Params.Teams[1].CPUs, d.Params.Teams[1].CPUsMax = 16, 32
		for i := range 8 {
			d.addJob(fmt.Sprintf("full-%02d", i), "full", "blue", wire.Array, faultsBegin-10*second+int64(i)*2*second, 4, 3, 9*second)
		}
		d.Params.Teams = append(d.Params.Teams, config.Team{Name: "one", CPUsMax: 1})
		for i := range 18 {
			d.addJob(fmt.Sprintf("single-%02d", i), "single", "one", wire.Array, faultsBegin-10*second+int64(i)*2*second, 1, 1, 3*second)
		}
	}, begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{
			{At: second, Kind: environment.FaultCancelNow, Count: 5, Duration: 22 * second},
			{At: 1500 * second / 1000, Kind: environment.FaultCrash, Hosts: nodes[:1]},
			{At: 2 * second, Kind: environment.FaultMachineSilent, Share: 0.3, Duration: 9 * second},
			{At: 20 * second, Kind: environment.FaultCancelNow, Count: 4, Duration: 6 * second},
			{At: 20_500_000, Kind: environment.FaultCrash, Hosts: nodes[:2]},
			{At: 27 * second, Kind: environment.FaultCancelNow, Count: 4, Duration: 9 * second},
			{At: 30 * second, Kind: environment.FaultStateRefuse, Hosts: nodes[:1], Duration: 5 * second},
		}
	}},
	{name: "one-task jobs come four a second", mustOccur: occurOneTaskJob, minOccurrences: 120, prepare: func(d *deploymentBuilder) {
		d.Params.State.WriteRPS = 25
		for i := range int(faultDuration / 250_000) {
			at := faultsBegin + int64(i)*250_000
			j := d.addJob(fmt.Sprintf("tiny-%03d", i), "tiny", "red", wire.Array, at, 1, 1, 3*second)
			if d.random()%4 == 0 {
				j.Cancel = at + int64(d.random()%4000)*1000
			}
		}
	}},
	{name: "more work than room, over slow links", mustOccur: occurLongWait, minOccurrences: 10, overloaded: true, prepare: func(d *deploymentBuilder) {
		d.Network = environment.Network{SameZone: 60_000, CrossZone: 160_000, Jitter: 0.4, Loss: 0.01}
		for i := range 20 {
			j := d.addJob(fmt.Sprintf("more-%02d", i), "more", []string{"blue", "red", "red", "red"}[i%4], []string{wire.Array, wire.Gang}[i/2%2], faultsBegin+int64(i)*second, 4, 4, 9*second)
			j.Spec.Priority = []string{"urgent", "normal", "idle"}[i%3]
			j.Spec.CheckpointS, j.Spec.CheckpointCostS = 4, 1
		}
	}},
	{name: "jobs bound to a zone lose machines", mustOccur: occurBoundTaskLost, prepare: func(d *deploymentBuilder) {
		for i := range 16 {
			z := cases.Zones()[i%2]
			j := d.addJob(fmt.Sprintf("bound-%02d", i), "bound", "red", []string{wire.Array, wire.Gang}[i/2%2], faultsBegin-4*second+int64(i)*2*second, 3, 2, 5*second)
			if j.Spec.Zone = &z; i%4 == 3 {
				j.Spec.Zone, j.Spec.OneZone = nil, true
			}
		}
	}, begin: func([]string) []environment.Fault {
		return []environment.Fault{{At: 2 * second, Kind: environment.FaultMachineDie, Count: 1, Class: "bound"}, {At: 14 * second, Kind: environment.FaultMachineHang, Count: 1, Class: "bound", Duration: 20 * second}, {At: 26 * second, Kind: environment.FaultMachineDie, Count: 1, Class: "bound"}}
	}},
}

// handoverFaults returns faults that hand tasks over between leaders, or between the holders
// of a partition of the machines, and cancellations before, during and after the handover.
func handoverFaults(nodes []string, i int) []environment.Fault {
	faults := []environment.Fault{{At: 200_000, Kind: environment.FaultCrash, Hosts: nodes[:1]}}
	switch i % 5 {
	case 1:
		faults = []environment.Fault{{At: 200_000, Kind: environment.FaultPartition, Hosts: nodes[1:2], To: []string{"workers"}, Duration: 5 * second}}
	case 2:
		faults = []environment.Fault{{At: 200_000, Kind: environment.FaultStateRefuse, Hosts: nodes[:1], Duration: 5 * second}}
	case 3:
		faults = []environment.Fault{{At: 200_000, Kind: environment.FaultPartition, Hosts: nodes[1:2], To: []string{"controllers"}, Duration: 5 * second}}
	case 4:
		faults = []environment.Fault{{At: 200_000, Kind: environment.FaultFreeze, Hosts: nodes[:1], Duration: 5 * second}}
	}
	for _, at := range []int64{0, 800_000, 2600_000} {
		faults = append(faults, environment.Fault{At: at, Kind: environment.FaultCancelNow, Count: 1})
	}
	return faults
}
