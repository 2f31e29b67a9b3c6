package api

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zinclb/zinclb/internal/core"
)

// noPreemptionNotice is the notice of a machine that got none.
const noPreemptionNotice = -1

var errNoWorker = errors.New("report: stoker or shift is missing")

// reportWire is a worker's heartbeat on the wire. The type's name is part of the errors
// that workers see.
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

// heartbeatResponse answers a heartbeat.
type heartbeatResponse struct {
	FencingToken uint64        `json:"baton"`
	Commands     []commandWire `json:"orders"`
}

// commandsRequest brings commands to a worker's own address.
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
	// Grace, in seconds, is there for a stop only.
	Grace *float64 `json:"wind_down_s,omitempty"`
}

// DecodeHeartbeat reads a worker's heartbeat.
func DecodeHeartbeat(body []byte) (core.Heartbeat, error) {
	var w reportWire
	if err := json.Unmarshal(body, &w); err != nil {
		return core.Heartbeat{}, fmt.Errorf("report: %w", err)
	}
	if w.Machine == "" || len(w.Machine) > MaxIDLength || w.Epoch == 0 {
		return core.Heartbeat{}, errNoWorker
	}
	heartbeat := core.Heartbeat{
		Machine:          w.Machine,
		Addr:             w.Addr,
		Type:             w.Type,
		Zone:             w.Zone,
		Spot:             w.Spot,
		Epoch:            w.Epoch,
		Seq:              w.Seq,
		FencingToken:     w.FencingToken,
		PreemptionNotice: noPreemptionNotice,
	}
	if w.ReclaimIn != nil {
		heartbeat.PreemptionNotice = max(0, int64(*w.ReclaimIn*microsPerSecond))
	}
	heartbeat.Tasks = make([]core.TaskStatus, len(w.Tasks))
	for i, t := range w.Tasks {
		heartbeat.Tasks[i] = NewTaskStatus(t.Name, t.Attempt, t.State, t.Reason, t.Checkpointed)
	}
	return heartbeat, nil
}

// NewTaskStatus is the status of a task in a heartbeat, in the core's terms. State and
// reason are those of the wire.
func NewTaskStatus(name string, attempt uint64, state, reason string, checkpointed bool) core.TaskStatus {
	return core.TaskStatus{
		Name:         name,
		Attempt:      attempt,
		State:        taskState(state),
		Reason:       exitReason(reason),
		Checkpointed: checkpointed,
	}
}

// taskState is a task's state in the core's terms.
func taskState(state string) core.TaskState {
	if state == "ended" {
		return core.TaskExited
	}
	return core.TaskState(state)
}

// exitReason is why a task has ended, in the core's terms. One that is not known
// stays as it is.
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

// CommandVerb is the kind of a command on the wire, "" for one that has no name there.
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

// newCommands are commands on the wire: an empty list, never null.
func newCommands(commands []core.Command) []commandWire {
	out := make([]commandWire, len(commands))
	for i, c := range commands {
		out[i] = commandWire{Verb: CommandVerb(c), Task: c.Task, Attempt: c.Attempt}
		if c.Kind == core.CommandStop {
			grace := float64(c.Grace) / microsPerSecond
			out[i].Grace = &grace
		}
	}
	return out
}

// EncodeCommands makes the body of the request that brings commands to a worker's own
// address.
func EncodeCommands(e core.SendCommands) []byte {
	return encode(commandsRequest{
		FencingToken: e.FencingToken,
		Epoch:        e.Epoch,
		Commands:     newCommands(e.Commands),
	})
}
