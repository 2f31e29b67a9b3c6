package environment

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// ExternalRequest records a user's request, one of the world's own or of somebody who
// is not. The call that it gets is for ExternalAnswer.
func (w *Environment) ExternalRequest(op, job string) (call uint64) {
	w.nextID++
	w.record(history.Event{Kind: history.RequestSent, Op: op, Call: w.nextID, Job: job})
	return w.nextID
}

// ExternalAnswer is the answer to it.
func (w *Environment) ExternalAnswer(call uint64, op, job string, status int, state string) {
	w.record(history.Event{Kind: history.ResponseReceived, Op: op, Call: call, Job: job, Status: status, State: state})
}

// AddExternalJob gives workers the description of a job that is submitted from outside.
// Its tasks run as long as its owner estimates.
func (w *Environment) AddExternalJob(j wire.Job) {
	if w.jobs[j.ID] == nil {
		w.jobs[j.ID] = &jobUser{env: w, spec: j, run: config.MicrosOf(j.EstimateS), submitted: true, finalState: "outside", done: map[int]bool{}, progress: map[int]int64{}}
	}
}

// HealthyControllers are the controllers that the balancer would try, best first.
func (w *Environment) HealthyControllers() (names []string) {
	for _, h := range w.balancer.pick() {
		names = append(names, h.controller.name)
	}
	return names
}

// StoredValue is the value of a key of the state service, nil if it is not there.
func (w *Environment) StoredValue(key string) []byte {
	v, _ := w.state.keys.Get(key)
	return v.value
}

// LinkState says whether the network between two hosts is cut, and whether that breaks
// connections.
func (w *Environment) LinkState(a, b string) (cut, reset bool) {
	if c := w.network.partitionBetween(a, b); c != nil {
		return true, c.mode.Reset || c.mode.Refuse
	}
	return false, false
}
