package environment

import (
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// heldReports are copies of workers' reports that are delivered to all controllers when the
// next leader has started: a new leader has no newer sequence number to compare them with.
type heldReports struct {
	share float64 // share of the reports that are copied
	// copies has the copies of each machine; names is the order in which they are
	// delivered, so that a seed always gives the same result. token is the highest fencing
	// token in any response so far.
	copies map[string][]*wire.Report
	names  []string
	token  uint64
}

// maxHeldCopies is the maximum number of report copies that are held for each machine.
const maxHeldCopies = 3

// holdReportCopy keeps a copy of a report with the probability share. If maxHeldCopies of the
// machine are held already, it replaces a random one.
func (env *Environment) holdReportCopy(r *wire.Report) {
	k := &env.heldReports
	if k.share == 0 || env.rng.Float64() >= k.share {
		return
	}
	if k.copies == nil {
		k.copies = map[string][]*wire.Report{}
	}
	l := k.copies[r.Machine]
	if len(l) == 0 {
		k.names = append(k.names, r.Machine)
	}
	if len(l) < maxHeldCopies {
		l = append(l, r)
	} else {
		l[env.rng.IntN(maxHeldCopies)] = r
	}
	k.copies[r.Machine] = l
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
	k := &env.heldReports
	for _, name := range k.names {
		l := k.copies[name]
		env.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		for _, r := range l {
			env.recordOccurrence(history.OccurHeldCopy)
			for _, n := range env.controllers {
				env.network.send(r.Machine, n.name, func() { env.ask(r.Machine, n.name, r, func(AskAnswer) {}) }, func() {})
			}
		}
	}
	k.copies, k.names = nil, nil
}
