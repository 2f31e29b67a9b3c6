package faultcombos

import (
	"fmt"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// classDependent is the class of jobs that are submitted after a job on which they depend was
// cancelled.
const classDependent = "behind"

// occurDependencyCancelled occurs when a response shows that a job of classDependent is
// cancelled, although no user cancelled that job itself.
const occurDependencyCancelled = "a job is cancelled by another's end"

// pipelineScripts cause jobs to end because their dependencies ended. Their cases come last, so
// that the numbers and seeds of the other cases stay the same.
var pipelineScripts = []faultScript{
	{
		name: "jobs depend on cancelled ones while each leader is refused and restarted", mustOccur: occurDependencyCancelled, minOccurrences: 20, overloaded: true,
		prepare: func(d *deploymentBuilder) {
			d.Params.State.RPS = 30 + 12*float64(d.Params.Size)
			for i := range 40 {
				first := fmt.Sprintf("before-%02d", i)
				at := faultsBegin - 40*second + int64(i)*second/2
				d.addJob(first, "before", "red", wire.Array, at, 1, 1, 30*second).Cancel = at + 3*second
				dependent := d.addJob(fmt.Sprintf("behind-%02d", i), classDependent, "red", wire.Array, faultsBegin+int64(i)*second, 1, 1, 3*second)
				dependent.Spec.DependsOn = []string{first}
			}
		},
		repeats: 10, interval: 4 * second,
		repeat: func(nodes []string, i int) []environment.Fault {
			faults := []environment.Fault{
				{Kind: environment.FaultProbes, Duration: 4 * second},
				{At: second, Kind: environment.FaultStateRefuse, Hosts: nodes[:1], Duration: 1500 * second / 1000},
			}
			if i%3 == 0 {
				faults = append(faults, environment.Fault{Kind: environment.FaultCrash, Hosts: nodes[:1+i%2]})
			}
			return faults
		},
	},
}

// isDependencyCancellation reports whether an event is a response that shows a job of
// classDependent as cancelled.
func isDependencyCancellation(e *history.Event, job *wire.Job) bool {
	return e.Kind == history.ResponseReceived && e.State == wire.Cancelled && job != nil && job.Class == classDependent
}
