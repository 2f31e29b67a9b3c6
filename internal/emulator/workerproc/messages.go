// Package workerproc runs the workers of an emulated environment in separate processes:
// either hundreds of simulated workers in one process, or a single worker in a process of its
// own so that its cost can be measured. The package implements both sides of the protocol,
// which uses the standard input and output of each process.
package workerproc

import (
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/sockets"
)

// Hello is the first message to a worker process.
type Hello struct {
	Config environment.Config
	// ControllerAddresses are the addresses at which controllers serve workers.
	ControllerAddresses []string
	// Start is the start time of the environment, in microseconds since the Unix epoch.
	Start int64
}

// Command is any message to a worker process after Hello.
type Command struct {
	Begin     []environment.WorkerBegin
	End       []environment.WorkerEnd
	Faults    []environment.WorkerFault
	Completed []environment.TaskCompleted
	// Snapshot requests a snapshot with this number; 0 requests none.
	Snapshot int
}

// Update is a message from a worker process.
type Update struct {
	Events []history.Event
	// Addresses holds the addresses of workers that have started, by machine name. Ended
	// lists the machines whose workers have stopped.
	Addresses map[string]string
	Ended     []string
	Snapshot  *Snapshot
}

// Snapshot holds the counters of a worker process since its start.
type Snapshot struct {
	Number int
	Counts []meter.Row
	// TokenTimes holds, for each token, the times at which workers first accepted an answer
	// with it.
	TokenTimes TokenTimes
	Lateness   sockets.Lateness
}

// TokenTimes maps each fencing token to the times at which workers first received an answer
// with it, in microseconds since the start.
type TokenTimes map[uint64][]int64

// Add appends times to those of a token.
func (t TokenTimes) Add(token uint64, at ...int64) { t[token] = append(t[token], at...) }
