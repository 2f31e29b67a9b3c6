package jobstate

import (
	"errors"
	"strconv"
	"strings"
)

// Phase is the last known phase of an attempt on its machine.
type Phase uint8

// The phases of an attempt, in their order.
const (
	Unconfirmed Phase = iota
	Fetching
	Waiting
	Running
	Checkpointing
)

// Task is one task of a job. Machine is empty while the task is not placed.
type Task struct {
	Machine string
	Attempt uint32
	Done    bool
	// Stored reports whether the state service has the placement, so that a start may be
	// sent.
	Stored bool
	// StartSent reports whether a start may have been sent, by this leader or an earlier
	// one.
	StartSent bool
	// Confirmed reports whether a heartbeat to this leader has listed the attempt.
	Confirmed bool
	// version is the first version of the chunk that includes the placement.
	version uint64
	Phase   Phase
	// Trial reports whether the attempt is the job's trial run.
	Trial bool
	// PlacedAt is the time at which the attempt was placed, StartedAt the time at which it
	// was first reported as running, both on the leader's monotonic clock.
	PlacedAt, StartedAt int64
	// StopReason is the reason for which the attempt is to be stopped, Grace the grace period
	// of the stop in microseconds, and StopRequestedAt the time of the decision to stop.
	StopReason      StopReason
	Grace           int64
	StopRequestedAt int64
}

// errNoTaskNumber is returned for a task name without a "/".
var errNoTaskNumber = errors.New("task name without a number")

// TaskName returns the name of task i on the wire.
func TaskName(job string, i int) string { return job + "/" + strconv.Itoa(i) }

// ParseTaskName splits the name of a task into its job and its number.
func ParseTaskName(name string) (job string, i int, err error) {
	job, num, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, errNoTaskNumber
	}
	i, err = strconv.Atoi(num)
	return job, i, err
}
