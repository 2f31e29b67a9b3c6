package environment

import (
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// heldReports are copies of reports that arrive when the next leader has begun, at all
// controllers at once: such a leader has no newer number to hold them against.
type heldReports struct {
	share float64
	// copies are by machine and in the order of names, so that a seed plays the
	// same again; token is the highest that an answer had.
	copies map[string][]*wire.Report
	names  []string
	token  uint64
}

// maxHeldCopies is how many copies of one machine are kept.
const maxHeldCopies = 3

func (w *Environment) holdReportCopy(r *wire.Report) {
	k := &w.heldReports
	if k.share == 0 || w.rng.Float64() >= k.share {
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
		l[w.rng.IntN(maxHeldCopies)] = r
	}
	k.copies[r.Machine] = l
}

// noteLeaderToken notes the token of an answer: a higher one than any before shows that
// another leader has begun.
func (w *Environment) noteLeaderToken(token uint64) {
	if token > w.heldReports.token {
		w.heldReports.token = token
		w.DeliverHeldReports()
	}
}

// DeliverHeldReports lets the copies that are kept for the next leader arrive now, in no
// order, at all controllers.
func (w *Environment) DeliverHeldReports() {
	k := &w.heldReports
	for _, name := range k.names {
		l := k.copies[name]
		w.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		for _, r := range l {
			w.recordOccurrence(history.OccurHeldCopy)
			for _, n := range w.controllers {
				w.network.send(r.Machine, n.name, func() { w.ask(r.Machine, n.name, r, func(AskAnswer) {}) }, func() {})
			}
		}
	}
	k.copies, k.names = nil, nil
}
