// Package workerproc runs the workers of an emulated environment in other processes: some
// hundreds of simulated workers in one process, or one worker in a process whose cost can
// then be measured by itself. Both sides of the exchange are here; it goes over the standard
// input and output of each process.
package workerproc

import (
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/sockets"
)

// Hello is the first message to a process.
type Hello struct {
	Config environment.Config
	// ControllerAddresses are the controllers' addresses.
	ControllerAddresses []string
	// Start is when the environment's time begins, in microseconds of the time of day.
	Start int64
}

// Command is a message to a process after that.
type Command struct {
	Begin     []environment.WorkerBegin
	End       []environment.WorkerEnd
	Faults    []environment.WorkerFault
	Completed []environment.TaskCompleted
	// Snapshot asks for one under this number; 0 does not.
	Snapshot int
}

// Update is a message from a process.
type Update struct {
	Events []history.Event
	// Addresses are those of workers that have begun, Ended are workers that have
	// ended.
	Addresses map[string]string
	Ended     []string
	Snapshot  *Snapshot
}

// Snapshot is what a process has counted since its start.
type Snapshot struct {
	Number int
	Counts []meter.Row
	// TokenTimes says for each token when each worker first took an answer with it.
	TokenTimes TokenTimes
	Lateness   sockets.Lateness
}

// TokenTimes says for each fencing token when workers first had an answer with it, in
// microseconds since the start.
type TokenTimes map[uint64][]int64

// Add adds times of a token.
func (t TokenTimes) Add(token uint64, at ...int64) { t[token] = append(t[token], at...) }
