package environment

import (
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// heldReports are copies of reports that arrive when the next leader has begun, at all
// controllers at once: such a leader has no newer sequence number to compare them with.
type heldReports struct {
	share float64
	// copies are by machine and in the order of names, so that a seed always gives the
	// same result; token is the highest that an answer had.
	copies map[string][]*wire.Report
	names  []string
	token  uint64
}

// maxHeldCopies is how many copies of a machine's reports are held.
const maxHeldCopies = 3

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

// noteLeaderToken records the fencing token of an answer: a higher one than any before shows
// that another leader has begun.
func (env *Environment) noteLeaderToken(token uint64) {
	if token > env.heldReports.token {
		env.heldReports.token = token
		env.DeliverHeldReports()
	}
}

// DeliverHeldReports delivers the copies that are held for the next leader to all
// controllers, in random order.
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
