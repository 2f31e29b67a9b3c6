package faultcombos

import (
	"fmt"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// classBehind is the class of jobs that depend on one that was cancelled before them.
const classBehind = "behind"

// occurDerived: a user is told that such a job is cancelled, which nobody has asked for.
const occurDerived = "a job is cancelled by another's end"

// pipelineScripts are about jobs that end because others did. Their cases come after all others,
// whose numbers and seeds stay.
var pipelineScripts = []faultScript{
	{
		name: "jobs depend on cancelled ones while each leader is refused and restarted", mustOccur: occurDerived, minOccurrences: 20, overloaded: true,
		prepare: func(d *deploymentBuilder) {
			d.Params.State.RPS = 30 + 12*float64(d.Params.Size)
			for i := range 40 {
				before := fmt.Sprintf("before-%02d", i)
				at := faultsBegin - 40*second + int64(i)*second/2
				d.addJob(before, "before", "red", wire.Array, at, 1, 1, 30*second).Cancel = at + 3*second
				behind := d.addJob(fmt.Sprintf("behind-%02d", i), classBehind, "red", wire.Array, faultsBegin+int64(i)*second, 1, 1, 3*second)
				behind.Spec.DependsOn = []string{before}
			}
		},
		repeats: 10, interval: 4 * second,
		repeat: func(nodes []string, i int) []environment.Fault {
			faults := []environment.Fault{
				{Kind: environment.FaultCloseLooks, Duration: 4 * second},
				{At: second, Kind: environment.FaultStateRefuse, Hosts: nodes[:1], Duration: 1500 * second / 1000},
			}
			if i%3 == 0 {
				faults = append(faults, environment.Fault{Kind: environment.FaultCrash, Hosts: nodes[:1+i%2]})
			}
			return faults
		},
	},
}

// isDerivedEnd says whether an event tells a user of a job of classBehind that it is cancelled.
func isDerivedEnd(e *history.Event, job *wire.Job) bool {
	return e.Kind == history.ResponseReceived && e.State == wire.Cancelled && job != nil && job.Class == classBehind
}
