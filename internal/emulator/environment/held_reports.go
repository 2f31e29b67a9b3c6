package environment

import (
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// heldReports are copies of workers' reports that are delivered to all controllers when the
// next leader has started. A new leader has not received a later sequence number from the worker,
// so it cannot recognize the copies as old.
type heldReports struct {
	share float64 // share of the reports that are copied
	// copies has the copies of each machine's reports; names has the machines in the order
	// in which their copies are delivered, so that a seed always gives the same result. token
	// is the highest fencing token in any response so far.
	copies map[string][]*wire.Report
	names  []string
	token  uint64
}

// maxHeldCopies is the maximum number of report copies that are held for each machine.
const maxHeldCopies = 3

// holdReportCopy keeps a copy of a report with the probability share. If maxHeldCopies of the
// machine are held already, it replaces a random one.
func (env *Environment) holdReportCopy(report *wire.Report) {
	held := &env.heldReports
	if held.share == 0 || env.rng.Float64() >= held.share {
		return
	}
	if held.copies == nil {
		held.copies = map[string][]*wire.Report{}
	}
	copies := held.copies[report.Machine]
	if len(copies) == 0 {
		held.names = append(held.names, report.Machine)
	}
	if len(copies) < maxHeldCopies {
		copies = append(copies, report)
	} else {
		copies[env.rng.IntN(maxHeldCopies)] = report
	}
	held.copies[report.Machine] = copies
}

// onLeaderToken handles the fencing token of a response. A token higher than all before
// shows that another leader has started, so the held copies are delivered.
func (env *Environment) onLeaderToken(token uint64) {
	if token > env.heldReports.token {
		env.heldReports.token = token
		env.DeliverHeldReports()
	}
}

// DeliverHeldReports sends the held copies to all controllers, those of each machine in random
// order.
func (env *Environment) DeliverHeldReports() {
	held := &env.heldReports
	for _, name := range held.names {
		copies := held.copies[name]
		env.rng.Shuffle(len(copies), func(i, j int) { copies[i], copies[j] = copies[j], copies[i] })
		for _, report := range copies {
			env.recordOccurrence(history.OccurHeldCopy)
			for _, target := range env.controllers {
				env.network.send(report.Machine, target.name, func() { env.ask(report.Machine, target.name, report, func(AskAnswer) {}) }, func() {})
			}
		}
	}
	held.copies, held.names = nil, nil
}
