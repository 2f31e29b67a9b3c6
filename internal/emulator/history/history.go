// Package history records what happened in an emulated environment, as one list of events,
// and checks it against rules. Both drivers of the environment record the same events, and
// nothing here depends on how they came about.
package history

import (
	"fmt"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Kind says what an event is.
type Kind string

// The kinds of events.
const (
	// RequestSent is a user's request (Op, Job, Call), ResponseReceived its answer:
	// Status is 0 if none came in time.
	RequestSent      Kind = "sent"
	ResponseReceived Kind = "told"
	// MachineUp is a machine that begins to report, with Type, Zone and Spot.
	MachineUp Kind = "up"
	// InvalidSubmission: the submission of Call can't run or lacks a field, Reason says which.
	InvalidSubmission Kind = "unfit"
	// TaskPlaced: a task has been given to a machine, and takes room there until it
	// has left, also while its image is fetched. RoomFreed: it has left before it entered.
	TaskPlaced Kind = "given"
	RoomFreed  Kind = "freed"
	// TaskEntered: a task has its image and is on its machine. TaskStarted: it runs
	// (a gang: all of its tasks do). TaskCompleted: its work is done. TaskLeft: it is
	// no longer on the machine, for the reason Reason.
	TaskEntered   Kind = "entered"
	TaskStarted   Kind = "started"
	TaskCompleted Kind = "completed"
	TaskLeft      Kind = "left"
	// StateChanged is a change of a key of the state service.
	StateChanged Kind = "stored"
	// FaultChanged is a fault that begins or ends, ControllerChanged a controller's start
	// or end.
	FaultChanged      Kind = "fault"
	ControllerChanged Kind = "node"
	// Occurred is an occurrence that a fault brings about repeatedly, Reason says which:
	// it shows that the combination that a test is about took place.
	Occurred Kind = "met"
	// RequestDelayed is a request to the state service that gets no answer and is executed
	// after newer ones.
	RequestDelayed Kind = "late"
	// CostRecorded is what a machine has cost when it is gone or at the end.
	CostRecorded Kind = "paid"
)

// The reasons of Occurred.
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

// Expectations are what the rules are checked against.
type Expectations struct {
	Jobs map[string]*wire.Job
	// Sweeps has the runs of each sweep, which are submitted and cancelled with it.
	Sweeps map[string][]string
	Teams  map[string]Limits
	// Types of machines by name; without them jobs that wait are not checked.
	Types map[string]wire.MachineType
	// Stored says where controllers keep what no job may be without; the zero value checks
	// nothing.
	Stored StoredKeys
	// CancelWithin is how long tasks of a cancelled job may stay, in microseconds.
	CancelWithin int64
}

// StoredKeys are prefixes of the state service's keys: Jobs of the jobs that are not over, and
// Ends of how the others ended. What follows them is the ID of a job.
type StoredKeys struct{ Jobs, Ends string }

// The states of StateChanged.
const (
	KeyPut     = "put"
	KeyRemoved = "removed"
)

// SweepJob is the name under which requests about a sweep are recorded.
func SweepJob(id string) string { return "sweep:" + id }

// Limits of a team; 0 is none.
type Limits struct{ CPUs, GPUs float64 }

// Violation is a violation of a rule.
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

// CheckAll checks a history against all rules and for linearizability.
func CheckAll(events []Event, terms Expectations) []Violation {
	return append(CheckRules(events, terms), CheckLinearizability(events, terms)...)
}
