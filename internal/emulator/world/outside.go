package world

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Outside records a user's request, one of the world's own or of somebody who
// is not. The call that it gets is for OutsideTold.
func (w *World) Outside(op, job string) (call uint64) {
	w.next++
	w.record(history.Event{Kind: history.Sent, Op: op, Call: w.next, Job: job})
	return w.next
}

// OutsideTold is the answer to it.
func (w *World) OutsideTold(call uint64, op, job string, status int, state string) {
	w.record(history.Event{Kind: history.Told, Op: op, Call: call, Job: job, Status: status, State: state})
}

// Upload gives workers the description of a job that is submitted from outside.
// Its tasks run as long as its owner estimates.
func (w *World) Upload(j wire.Job) {
	if w.jobs[j.ID] == nil {
		w.jobs[j.ID] = &user{w: w, spec: j, run: config.Secs(j.EstimateS), submitted: true, over: "outside", done: map[int]bool{}, progress: map[int]int64{}}
	}
}

// Healthy are the controllers that the balancer would try, best first.
func (w *World) Healthy() (names []string) {
	for _, h := range w.front.pick() {
		names = append(names, h.n.name)
	}
	return names
}

// Stored is the value of a key of the state service, nil if it is not there.
func (w *World) Stored(key string) []byte {
	v, _ := w.state.keys.Get(key)
	return v.value
}

// Cut says whether the network between two hosts is cut, and whether that breaks
// connections.
func (w *World) Cut(a, b string) (cut, reset bool) {
	if c := w.net.between(a, b); c != nil {
		return true, c.how.Reset || c.how.Refuse
	}
	return false, false
}
