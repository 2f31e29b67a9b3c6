package faultcombos

import (
	"github.com/zinclb/zinclb/internal/emulator/environment"
)

// faultScript is a named sequence of faults.
type faultScript struct {
	name string
	// begin returns the faults; nodes are the controllers, the leader first.
	begin func(nodes []string) []environment.Fault
	// repeat returns further faults. It is called repeats times, once every interval, with the
	// controllers, the current leader first, and the number of the call, from 0.
	repeat   func(nodes []string, i int) []environment.Fault
	repeats  int
	interval int64
	// prepare, if set, changes the deployment or adds jobs to it.
	prepare func(*deploymentBuilder)
	// overloaded is set if there are more jobs than capacity, so that not all are served.
	overloaded bool
	// outage is set if the state service is down for almost the whole script.
	outage bool
	// mustOccur is the event that the faults have to cause, at least minOccurrences times.
	mustOccur      string
	minOccurrences int
}

// faultDuration is the duration of a fault that lasts for a whole script, longer than two leases.
const faultDuration = 40 * second

// repeatedCrashes returns successive crashes of the hosts, with different downtimes.
func repeatedCrashes(times int, hosts ...string) (faults []environment.Fault) {
	downtimes := []int64{50_000, 200_000, 1_000_000, 400_000, 100_000}
	at := int64(0)
	for i := range times {
		faults = append(faults, environment.Fault{At: at, Kind: environment.FaultCrash, Hosts: hosts, Duration: downtimes[i%len(downtimes)]})
		at += downtimes[i%len(downtimes)] + 900_000
	}
	return faults
}

// isolate returns a partition of a controller from the state service and the other
// controllers.
func isolate(node string, mode environment.PartitionMode) []environment.Fault {
	return []environment.Fault{{Kind: environment.FaultPartition, Duration: faultDuration, Hosts: []string{node}, To: []string{environment.StateHost, "controllers"}, PartitionMode: mode}}
}

var baseScripts = []faultScript{
	{name: "a third of the machines is deaf, orders held", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineCommandsBlocked, Share: 0.34, Duration: faultDuration}}
	}},
	{name: "a third of the machines is deaf, orders broken", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineCommandsBlocked, Share: 0.34, Duration: faultDuration, PartitionMode: environment.PartitionMode{Reset: true}}}
	}},
	{name: "a third of the machines is deaf to the leader", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Duration: faultDuration, Hosts: nodes[:1], To: []string{"workers:a"}, PartitionMode: environment.PartitionMode{OneWay: true}}}
	}},
	{name: "copies of reports", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultReportCopies, Share: 0.5, Factor: 3, Duration: faultDuration}}
	}},
	{name: "the leader has only its workers", begin: func(nodes []string) []environment.Fault { return isolate(nodes[0], environment.PartitionMode{}) }},
	{name: "another has only its workers", begin: func(nodes []string) []environment.Fault {
		return isolate(nodes[1], environment.PartitionMode{Reset: true})
	}},
	{name: "machines are back at once", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultWorkerRestart, Share: 0.25, Duration: 200_000}, {At: 9 * second, Kind: environment.FaultWorkerRestart, Share: 0.25, Duration: 50_000}}
	}},
	{name: "machines are back at once and count anew", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultWorkerReset, Share: 0.25, Duration: 200_000}, {At: 9 * second, Kind: environment.FaultWorkerReset, Share: 0.25, Duration: second}}
	}},
	{name: "the leader is back at once", begin: func(nodes []string) []environment.Fault { return repeatedCrashes(1, nodes[0]) }},
	{name: "the leader is back at once, five times", begin: func(nodes []string) []environment.Fault { return repeatedCrashes(5, nodes[0]) }},
	{name: "two are back at once, twice", begin: func(nodes []string) []environment.Fault { return repeatedCrashes(2, nodes[0], nodes[1]) }},
	{name: "writes are executed late", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultLateWrites, Share: 0.3, Duration: faultDuration}}
	}},
	{name: "renewals and dropped leases are executed late", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultLateLeases, Share: 0.3, Duration: faultDuration}, {Kind: environment.FaultLateWrites, Share: 0.1, Duration: faultDuration}}
	}},
	{name: "the leader is refused, and then all", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultStateRefuse, Hosts: nodes[:1], Duration: 6 * second}, {At: 2 * second, Kind: environment.FaultStateOutage, Duration: 20 * second}}
	}},
	{name: "the state service is slow", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultStateSlow, Factor: 100, Duration: faultDuration}}
	}},
	{name: "a third of the machines stands still, again and again", begin: func([]string) (l []environment.Fault) {
		for i := range int64(5) {
			l = append(l, environment.Fault{At: i * 7 * second, Kind: environment.FaultMachineHang, Share: 0.34, Duration: 4*second + i*second/2})
		}
		return l
	}},
	{name: "a third of the machines can't be reached, and the leader ends", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{
			{Kind: environment.FaultMachineSilent, Share: 0.34, Duration: 12 * second},
			{At: second, Kind: environment.FaultCrash, Hosts: nodes[:1]},
			{At: 24 * second, Kind: environment.FaultMachineSilent, Share: 0.34, Duration: 12 * second},
			{At: 25 * second, Kind: environment.FaultCrash, Hosts: nodes[:2]},
		}
	}},
	{name: "a third of the machines is deaf, and the leader ends", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultMachineCommandsBlocked, Share: 0.34, Duration: faultDuration}, {At: second, Kind: environment.FaultCrash, Hosts: nodes[:1]}}
	}},
	{name: "leading is handed over and back", begin: func(nodes []string) (l []environment.Fault) {
		for i := range int64(4) {
			l = append(l, environment.Fault{At: i * 9 * second, Kind: environment.FaultPartition, Hosts: nodes[i%2 : i%2+1], Duration: 8 * second})
		}
		return l
	}},
	{name: "leading is handed over and back within seconds", begin: func(nodes []string) (l []environment.Fault) {
		for i := range int64(8) {
			l = append(l, environment.Fault{At: i * 4 * second, Kind: environment.FaultStateRefuse, Hosts: nodes[i%2 : i%2+1], Duration: 3800 * second / 1000})
		}
		return l
	}},
	{name: "all end, and the first is back at once", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: nodes[:1], Duration: 300_000}, {Kind: environment.FaultCrash, Hosts: nodes[1:], Duration: 25 * second}}
	}},
	{name: "all end, and another is back at once", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: nodes[1:2], Duration: 50_000}, {Kind: environment.FaultCrash, Hosts: append(nodes[:1:1], nodes[2:]...), Duration: 25 * second}}
	}},
	{name: "all are back at once, five times", begin: func([]string) []environment.Fault { return repeatedCrashes(5, "all") }},
}

// extraScripts are faults that are injected in addition, 3 s after the first faults.
var extraScripts = []faultScript{
	{name: ""},
	{name: "a take-over", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultCrash, Hosts: nodes[:1]}}
	}},
	{name: "a standstill", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultFreeze, Hosts: nodes[:1], Duration: 8 * second}}
	}},
	{name: "the state service cut off", begin: func(nodes []string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultPartition, Hosts: nodes[:1], To: []string{environment.StateHost}, Duration: 20 * second}}
	}},
	{name: "a roll", begin: func([]string) []environment.Fault {
		return []environment.Fault{{Kind: environment.FaultRollingRestart, Duration: 5 * second}}
	}},
}
