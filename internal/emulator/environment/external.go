package environment

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// ExternalRequest records a request of a user, in this environment or from outside, and
// returns the call number for ExternalAnswer.
func (env *Environment) ExternalRequest(op, job string) (call uint64) {
	env.nextID++
	env.record(history.Event{Kind: history.RequestSent, Op: op, Call: env.nextID, Job: job})
	return env.nextID
}

// ExternalAnswer records the response to a request.
func (env *Environment) ExternalAnswer(call uint64, op, job string, status int, state string) {
	env.record(history.Event{Kind: history.ResponseReceived, Op: op, Call: call, Job: job, Status: status, State: state})
}

// AddExternalJob adds a job that is submitted from outside, so that workers know its
// description. Its tasks run for the estimated time.
func (env *Environment) AddExternalJob(j wire.Job) {
	if env.jobs[j.ID] == nil {
		env.jobs[j.ID] = &jobUser{env: env, spec: j, run: config.MicrosOf(j.EstimateS), submitted: true, finalState: "outside", done: map[int]bool{}, progress: map[int]int64{}}
	}
}

// HealthyControllers returns the controllers that the load balancer would try, in order of
// preference.
func (env *Environment) HealthyControllers() (names []string) {
	for _, h := range env.balancer.pick() {
		names = append(names, h.controller.name)
	}
	return names
}

// StoredValue returns the value of a key of the state service, nil if there is none.
func (env *Environment) StoredValue(key string) []byte {
	v, _ := env.state.keys.Get(key)
	return v.value
}

// LinkState reports whether a partition separates two hosts, and whether it breaks
// connections.
func (env *Environment) LinkState(a, b string) (partitioned, reset bool) {
	if separating := env.network.partitionBetween(a, b); separating != nil {
		return true, separating.mode.Reset || separating.mode.Refuse
	}
	return false, false
}
