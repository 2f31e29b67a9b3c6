package api

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zinclb/zinclb/internal/core"
)

// noPreemptionNotice is the value of Heartbeat.PreemptionNotice for a machine that has
// received no preemption notice.
const noPreemptionNotice = -1

var errMissingWorkerID = errors.New("report: stoker or shift is missing")

// reportWire is a worker's heartbeat on the wire. Renaming the type would change the errors that
// workers see, because encoding/json puts the name into them.
type reportWire struct {
	Machine      string   `json:"stoker"`
	Addr         string   `json:"endpoint"`
	Type         string   `json:"breed"`
	Zone         string   `json:"paddock"`
	Spot         bool     `json:"borrowed"`
	Epoch        uint64   `json:"shift"`
	Seq          uint64   `json:"tally"`
	FencingToken uint64   `json:"baton"`
	ReclaimIn    *float64 `json:"recall_s"`
	Tasks        []struct {
		Name         string `json:"hand"`
		Attempt      uint64 `json:"try"`
		State        string `json:"status"`
		Reason       string `json:"cause"`
		Checkpointed bool   `json:"stored"`
	} `json:"hands"`
}

// heartbeatResponse is the body of the answer to a heartbeat.
type heartbeatResponse struct {
	FencingToken uint64        `json:"baton"`
	Commands     []commandWire `json:"orders"`
}

// commandsRequest is the body of a request that sends commands to a worker's own address.
type commandsRequest struct {
	FencingToken uint64        `json:"baton"`
	Epoch        uint64        `json:"shift"`
	Commands     []commandWire `json:"orders"`
}

// commandWire is a command to a worker on the wire.
type commandWire struct {
	Verb    string `json:"verb"`
	Task    string `json:"hand"`
	Attempt uint32 `json:"try"`
	// Grace is the grace period in seconds. It is set only for a stop command.
	Grace *float64 `json:"wind_down_s,omitempty"`
}

// DecodeHeartbeat decodes a worker's heartbeat.
func DecodeHeartbeat(body []byte) (core.Heartbeat, error) {
	var report reportWire
	if err := json.Unmarshal(body, &report); err != nil {
		return core.Heartbeat{}, fmt.Errorf("report: %w", err)
	}
	if report.Machine == "" || len(report.Machine) > MaxIDLength || report.Epoch == 0 {
		return core.Heartbeat{}, errMissingWorkerID
	}
	heartbeat := core.Heartbeat{
		Machine:          report.Machine,
		Addr:             report.Addr,
		Type:             report.Type,
		Zone:             report.Zone,
		Spot:             report.Spot,
		Epoch:            report.Epoch,
		Seq:              report.Seq,
		FencingToken:     report.FencingToken,
		PreemptionNotice: noPreemptionNotice,
	}
	if report.ReclaimIn != nil {
		heartbeat.PreemptionNotice = max(0, int64(*report.ReclaimIn*microsPerSecond))
	}
	heartbeat.Tasks = make([]core.TaskStatus, len(report.Tasks))
	for i, task := range report.Tasks {
		heartbeat.Tasks[i] = NewTaskStatus(task.Name, task.Attempt, task.State, task.Reason, task.Checkpointed)
	}
	return heartbeat, nil
}

// NewTaskStatus converts the status of a task in a heartbeat to the core's type. state and
// reason are the names used on the wire.
func NewTaskStatus(name string, attempt uint64, state, reason string, checkpointed bool) core.TaskStatus {
	return core.TaskStatus{
		Name:         name,
		Attempt:      attempt,
		State:        taskState(state),
		Reason:       exitReason(reason),
		Checkpointed: checkpointed,
	}
}

// taskState converts a task's state from its wire name to the core's state.
func taskState(state string) core.TaskState {
	if state == "ended" {
		return core.TaskExited
	}
	return core.TaskState(state)
}

// exitReason converts the reason for a task's end from its wire name to the core's reason. It
// returns an unknown reason unchanged.
func exitReason(reason string) core.ExitReason {
	switch reason {
	case "done":
		return core.ExitDone
	case "stopped":
		return core.ExitStopped
	case "mates_gone":
		return core.ExitPeersLost
	case "incomplete":
		return core.ExitGangIncomplete
	case "error":
		return core.ExitError
	case "no_room":
		return core.ExitNoRoom
	case "in_use":
		return core.ExitBusy
	case "no_such":
		return core.ExitUnknownTask
	default:
		return core.ExitReason(reason)
	}
}

// CommandVerb returns the wire name of a command's kind, or "" if the kind has none.
func CommandVerb(c core.Command) string {
	switch c.Kind {
	case core.CommandStart:
		return "run"
	case core.CommandStop:
		return "kill"
	case core.CommandForget:
		return "forget"
	default:
		return ""
	}
}

// newCommands converts commands to their wire form. It returns an empty list, which is
// encoded as [] and not as null, if there are none.
func newCommands(commands []core.Command) []commandWire {
	out := make([]commandWire, len(commands))
	for i, command := range commands {
		out[i] = commandWire{Verb: CommandVerb(command), Task: command.Task, Attempt: command.Attempt}
		if command.Kind == core.CommandStop {
			grace := float64(command.Grace) / microsPerSecond
			out[i].Grace = &grace
		}
	}
	return out
}

// EncodeCommands encodes the body of the request that sends commands to a worker's own
// address.
func EncodeCommands(send core.SendCommands) []byte {
	return encode(commandsRequest{
		FencingToken: send.FencingToken,
		Epoch:        send.Epoch,
		Commands:     newCommands(send.Commands),
	})
}
