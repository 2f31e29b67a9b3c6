package jobstate

import (
	"errors"
	"strconv"
	"strings"
)

// Phase is what is known of an attempt on its machine.
type Phase uint8

// The phases of an attempt, in their order.
const (
	Unconfirmed Phase = iota
	Fetching
	Waiting
	Running
	Checkpointing
)

// Task is one task. Machine is empty while it is placed nowhere.
type Task struct {
	Machine string
	Attempt uint32
	Done    bool
	// Stored: the placement is in the state service, so a start may be sent.
	Stored bool
	// StartSent: a start may have been sent, by this leader or an earlier one.
	StartSent bool
	// Confirmed: a heartbeat to this leader has shown the attempt.
	Confirmed bool
	// version of the chunk that first has the placement.
	version uint64
	Phase   Phase
	// Trial: the attempt is the job's trial run.
	Trial bool
	// PlacedAt is when the attempt was placed, Started when it was seen
	// running, both on the leader's steady clock.
	PlacedAt, StartedAt int64
	// StopReason is why the attempt is to be stopped, StopRequestedAt since when.
	StopReason      StopReason
	Grace           int64
	StopRequestedAt int64
}

// errNoTaskNumber is the fault of a name that is no task's.
var errNoTaskNumber = errors.New("task name without a number")

// TaskName is a task's name on the wire.
func TaskName(job string, i int) string { return job + "/" + strconv.Itoa(i) }

// ParseTaskName reads a task's name.
func ParseTaskName(name string) (job string, i int, err error) {
	job, num, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, errNoTaskNumber
	}
	i, err = strconv.Atoi(num)
	return job, i, err
}
