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
	// RequestSent is a user's request (Op, Job, Call), Told its answer: Status is 0
	// if none came in time.
	RequestSent      Kind = "sent"
	ResponseReceived Kind = "told"
	// MachineUp is a machine that begins to report, with Type, Zone and Spot.
	MachineUp Kind = "up"
	// InvalidSubmission: the submission of Call can't run or lacks a field, Why says which.
	InvalidSubmission Kind = "unfit"
	// TaskPlaced: a task has been given to a machine, and takes room there until it
	// has left, also while its image is fetched; Freed: it has, in that state.
	TaskPlaced Kind = "given"
	RoomFreed  Kind = "freed"
	// TaskEntered: a task has its image and is on its machine. Started: it runs
	// (a gang: all of its tasks do). Completed: its work is done. Left: it is
	// on the machine no more, Why says for what reason.
	TaskEntered   Kind = "entered"
	TaskStarted   Kind = "started"
	TaskCompleted Kind = "completed"
	TaskLeft      Kind = "left"
	// StateChanged is a change of a key of the state service.
	StateChanged Kind = "stored"
	// FaultChanged is a fault that begins or ends, Node a controller's start or end.
	FaultChanged      Kind = "fault"
	ControllerChanged Kind = "node"
	// Occurred is a moment that a fault brings about again and again, Why says which:
	// it shows that the meeting that a test is about took place.
	Occurred Kind = "met"
	// RequestDelayed is a request to the state service that gets no answer and is executed
	// after newer ones.
	RequestDelayed Kind = "late"
	// CostRecorded is what a machine has cost when it is gone or at the end.
	CostRecorded Kind = "paid"
)

// What is met.
const (
	OccurHeldCopy    = "a copy kept for the next leader"
	OccurProbe       = "a close look"
	OccurMuteReport  = "a report that reaches no controller"
	OccurCancel      = "a job called off"
	OccurHungMachine = "a machine of a job called off hangs"
	OccurCancelAtEnd = "called off at its end"
	OccurInvalid     = "a submission that has to be refused"
	OccurLostAnswer  = "only the answer lost"
	OccurQuickBoot   = "up within two seconds"
)

// Ops of users' requests.
const (
	Submit = "submit"
	Poll   = "poll"
	Cancel = "withdraw"
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
	Reason  string  `json:"why,omitempty"`
	Key     string  `json:"key,omitempty"`
	Value   string  `json:"value,omitempty"`
	Cost    float64 `json:"cost,omitempty"`
}

// Expectations are what the rules are judged by.
type Expectations struct {
	Jobs map[string]*wire.Job
	// Sweeps has the runs of each sweep, which are submitted and withdrawn
	// with it.
	Sweeps map[string][]string
	Teams  map[string]Limits
	// Types of machines by name; without them nobody knows whether a job that
	// waits could run.
	Types map[string]wire.MachineType
	// CancelWithin is how long tasks of a cancelled job may stay, in microseconds.
	CancelWithin int64
}

// SweepJob is the name under which requests about a sweep are recorded.
func SweepJob(id string) string { return "sweep:" + id }

// Limits of a team; 0 is none.
type Limits struct{ CPUs, GPUs float64 }

// Violation is a rule broken.
type Violation struct {
	At     int64  `json:"at"`
	Rule   string `json:"rule"`
	Detail string `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("at %.3f s %s: %s", float64(v.At)/1e6, v.Rule, v.Detail)
}

// Lines are violations as text, one each.
func Lines(violations []Violation) (lines []string) {
	for _, v := range violations {
		lines = append(lines, v.String())
	}
	return lines
}

// CheckAll names all that is wrong with a history: rules that it breaks, and jobs
// whose answers could not have come about one after the other.
func CheckAll(events []Event, terms Expectations) []Violation {
	return append(CheckRules(events, terms), CheckLinearizability(events, terms)...)
}
