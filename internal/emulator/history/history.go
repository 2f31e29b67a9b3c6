// Package history is what happened in an emulated world, as one list of events,
// and the rules that it must keep. Both drivers of the model record the same
// events, and nothing here depends on how they came about.
package history

import (
	"fmt"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Kind says what an event is.
type Kind string

// The kinds of events.
const (
	// Sent is a user's request (Op, Job, Call), Told its answer: Status is 0
	// if none came in time.
	Sent Kind = "sent"
	Told Kind = "told"
	// Up is a machine that begins to report, with Type, Zone and Spot.
	Up Kind = "up"
	// Unfit: the submission of Call can't run or lacks a field, Why says which.
	Unfit Kind = "unfit"
	// Given: a task has been given to a machine, and takes room there until it
	// has left, also while its image is fetched; Freed: it has, in that state.
	Given Kind = "given"
	Freed Kind = "freed"
	// Entered: a task has its image and is on its machine. Started: it runs
	// (a gang: all of its tasks do). Completed: its work is done. Left: it is
	// on the machine no more, Why says for what reason.
	Entered   Kind = "entered"
	Started   Kind = "started"
	Completed Kind = "completed"
	Left      Kind = "left"
	// Stored is a change of a key of the state service.
	Stored Kind = "stored"
	// Fault is a fault that begins or ends, Node a controller's start or end.
	Fault Kind = "fault"
	Node  Kind = "node"
	// Met is a moment that a fault brings about again and again, Why says which:
	// it shows that the meeting that a test is about took place.
	Met Kind = "met"
	// Late is a request to the state service that gets no answer and is executed
	// after newer ones.
	Late Kind = "late"
	// Paid is what a machine has cost when it is gone or at the end.
	Paid Kind = "paid"
)

// What is met.
const (
	MetCopy    = "a copy kept for the next leader"
	MetLook    = "a close look"
	MetMute    = "a report that reaches no controller"
	MetCallOff = "a job called off"
	MetHang    = "a machine of a job called off hangs"
	MetAtEnd   = "called off at its end"
	MetOdd     = "a submission that has to be refused"
	MetLost    = "only the answer lost"
	MetQuick   = "up within two seconds"
)

// Ops of users' requests.
const (
	Submit   = "submit"
	Poll     = "poll"
	Withdraw = "withdraw"
)

// Event is one thing that happened. Which fields have a meaning depends on Kind.
type Event struct {
	At      int64   `json:"at"`
	Kind    Kind    `json:"kind"`
	Op      string  `json:"op,omitempty"`
	Call    uint64  `json:"call,omitempty"`
	Job     string  `json:"job,omitempty"`
	Task    int     `json:"task,omitempty"`
	Attempt uint64  `json:"attempt,omitempty"`
	Machine string  `json:"machine,omitempty"`
	Type    string  `json:"type,omitempty"`
	Zone    string  `json:"zone,omitempty"`
	Spot    bool    `json:"spot,omitempty"`
	Node    string  `json:"node,omitempty"`
	Status  int     `json:"status,omitempty"`
	State   string  `json:"state,omitempty"`
	Why     string  `json:"why,omitempty"`
	Key     string  `json:"key,omitempty"`
	Value   string  `json:"value,omitempty"`
	Cost    float64 `json:"cost,omitempty"`
}

// Terms are what the rules are judged by.
type Terms struct {
	Jobs map[string]*wire.Job
	// Sweeps has the runs of each sweep, which are submitted and withdrawn
	// with it.
	Sweeps map[string][]string
	Teams  map[string]Limits
	// Types of machines by name; without them nobody knows whether a job that
	// waits could run.
	Types map[string]wire.MachineType
	// Cancel is how long tasks of a cancelled job may stay, in microseconds.
	Cancel int64
}

// SweepJob is the name under which requests about a sweep are recorded.
func SweepJob(id string) string { return "sweep:" + id }

// Limits of a team; 0 is none.
type Limits struct{ CPUs, GPUs float64 }

// Breach is a rule broken.
type Breach struct {
	At   int64  `json:"at"`
	Rule string `json:"rule"`
	What string `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("at %.3f s %s: %s", float64(b.At)/1e6, b.Rule, b.What)
}

// Judge names all that is wrong with a history: rules that it breaks, and jobs
// whose answers could not have come about one after the other.
func Judge(events []Event, terms Terms) []Breach {
	return append(Check(events, terms), Linear(events, terms)...)
}
