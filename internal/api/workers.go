package api

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zinclb/zinclb/internal/core"
)

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
		Name    string `json:"hand"`
		Attempt uint64 `json:"try"`
		State   string `json:"status"`
		Why     string `json:"cause"`
		Saved   bool   `json:"stored"`
	} `json:"hands"`
}

var exitReasons = map[string]core.ExitReason{
	"done":       core.ExitDone,
	"stopped":    core.ExitStopped,
	"mates_gone": core.ExitPeersLost,
	"incomplete": core.ExitGangIncomplete,
	"error":      core.ExitError,
	"no_room":    core.ExitNoRoom,
	"in_use":     core.ExitBusy,
	"no_such":    core.ExitUnknownTask,
}

// DecodeHeartbeat reads a worker's report.
func DecodeHeartbeat(body []byte) (core.Heartbeat, error) {
	var w reportWire
	if err := json.Unmarshal(body, &w); err != nil {
		return core.Heartbeat{}, fmt.Errorf("report: %w", err)
	}
	if w.Machine == "" || len(w.Machine) > MaxIDLength || w.Epoch == 0 {
		return core.Heartbeat{}, errors.New("report: stoker or shift is missing")
	}
	r := core.Heartbeat{
		Machine: w.Machine, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Epoch: w.Epoch, Seq: w.Seq, FencingToken: w.FencingToken, PreemptionNotice: -1,
	}
	if w.ReclaimIn != nil {
		r.PreemptionNotice = max(0, int64(*w.ReclaimIn*1e6))
	}
	r.Tasks = make([]core.TaskStatus, len(w.Tasks))
	for i, t := range w.Tasks {
		r.Tasks[i] = NewTaskStatus(t.Name, t.Attempt, t.State, t.Why, t.Saved)
	}
	return r, nil
}

// NewTaskStatus is a task of a report in the core's words.
func NewTaskStatus(name string, attempt uint64, state, why string, saved bool) core.TaskStatus {
	status := core.TaskStatus{
		Name:         name,
		Attempt:      attempt,
		State:        core.TaskState(state),
		Reason:       core.ExitReason(why),
		Checkpointed: saved,
	}
	if state == "ended" {
		status.State = core.TaskExited
	}
	if reason, ok := exitReasons[why]; ok {
		status.Reason = reason
	}
	return status
}

// EncodeDirectOrders makes the body of orders to a worker's own address.
func EncodeDirectOrders(d core.SendCommands) []byte {
	b, err := json.Marshal(struct {
		Token   uint64      `json:"baton"`
		Session uint64      `json:"shift"`
		Orders  []orderWire `json:"orders"`
	}{d.FencingToken, d.Epoch, ordersWire(d.Commands)})
	if err != nil {
		panic(err)
	}
	return b
}
