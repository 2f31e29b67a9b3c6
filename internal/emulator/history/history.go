// Package history defines the events of an emulated environment, which are recorded as one list,
// and checks them against rules. Both drivers of the environment, the packages faketime and
// sockets, record the same events, and this package does not depend on how they were produced.
package history

import (
	"fmt"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// RequestSent is a user's request (Op, Job, Call). ResponseReceived is the response to
	// it; Status is 0 if there was none in time.
	RequestSent      Kind = "sent"
	ResponseReceived Kind = "told"
	// MachineUp is a machine that starts to report, with Type, Zone and Spot.
	MachineUp Kind = "up"
	// InvalidSubmission marks the submission with the number Call as one that has to be
	// refused. Reason says why: it can't run or has an invalid or missing field.
	InvalidSubmission Kind = "unfit"
	// TaskPlaced is a task that has been given to a machine. It uses resources there until
	// it leaves, also while its image is fetched. RoomFreed is a task that has left before
	// TaskEntered.
	TaskPlaced Kind = "given"
	RoomFreed  Kind = "freed"
	// TaskEntered is a task whose image is on its machine. TaskStarted is a task that
	// starts to run; the tasks of a gang start together. TaskCompleted is a task whose work
	// is done. TaskLeft is a task that has left its machine, for the reason Reason.
	TaskEntered   Kind = "entered"
	TaskStarted   Kind = "started"
	TaskCompleted Kind = "completed"
	TaskLeft      Kind = "left"
	// StateChanged is a change of a key of the state service.
	StateChanged Kind = "stored"
	// FaultChanged is the start or end of a fault, ControllerChanged the start or exit of a
	// controller.
	FaultChanged      Kind = "fault"
	ControllerChanged Kind = "node"
	// Occurred is one occurrence of an effect that a fault may have many times; Reason names
	// the effect. The event shows that the combination under test took place.
	Occurred Kind = "met"
	// RequestDelayed is a request to the state service that gets no response and is
	// executed late, after newer requests.
	RequestDelayed Kind = "late"
	// CostRecorded is the total cost of a machine, recorded when the machine is gone or at
	// the end of the run.
	CostRecorded Kind = "paid"
)

// The occurrences: values of Reason in events of the kind Occurred.
const (
	OccurHeldCopy    = "a copy kept for the next leader"
	OccurStartCopy   = "a copy of a start that its worker does not know"
	OccurProbe       = "a close look"
	OccurMuteReport  = "a report that reaches no controller"
	OccurCancel      = "a job called off"
	OccurHungMachine = "a machine of a job called off hangs"
	OccurCancelAtEnd = "called off at its end"
	OccurInvalid     = "a submission that has to be refused"
	OccurLostAnswer  = "only the answer lost"
	OccurQuickBoot   = "up within two seconds"
)

// The operations of users' requests, in Event.Op.
const (
	Submit = "submit"
	Poll   = "poll"
	Cancel = "withdraw"
)

// Event is one recorded event. Its kind determines which fields are set. At is the time in
// microseconds.
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

// Expectations is the data that the rules check a history against.
type Expectations struct {
	Jobs map[string]*wire.Job
	// Sweeps has the runs of each sweep, which are submitted and cancelled with it.
	Sweeps map[string][]string
	Teams  map[string]Limits
	// Types has the machine types by name. Without them, waiting jobs are not checked.
	Types map[string]wire.MachineType
	// Stored says under which keys controllers store jobs and their ends. With the zero
	// value, the rule LostEnd is not checked.
	Stored StoredKeys
	// CancelWithin is the maximum time for which tasks of a cancelled job may stay on
	// machines, in microseconds.
	CancelWithin int64
}

// StoredKeys holds prefixes of keys of the state service: Jobs for jobs that have not ended, and
// Ends for how the other jobs ended. The rest of such a key is the ID of the job.
type StoredKeys struct{ Jobs, Ends string }

// The values of State in events of the kind StateChanged.
const (
	KeyPut     = "put"
	KeyRemoved = "removed"
)

// SweepJob returns the job name under which requests about a sweep are recorded.
func SweepJob(id string) string { return "sweep:" + id }

// Limits are the resource limits of a team, where 0 is no limit, or the resources in use.
type Limits struct{ CPUs, GPUs float64 }

// Violation is a violation of a rule at a time in microseconds.
type Violation struct {
	At     int64  `json:"at"`
	Rule   string `json:"rule"`
	Detail string `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("at %.3f s %s: %s", float64(v.At)/1e6, v.Rule, v.Detail)
}

// FormatViolations formats violations as one line of text each.
func FormatViolations(violations []Violation) (lines []string) {
	for _, v := range violations {
		lines = append(lines, v.String())
	}
	return lines
}

// CheckAll checks a history against all rules and for linearizability, and returns the
// violations.
func CheckAll(events []Event, expected Expectations) []Violation {
	return append(CheckRules(events, expected), CheckLinearizability(events, expected)...)
}
